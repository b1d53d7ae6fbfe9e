//! HTTP answers of the stand-ins.

use serde::Serialize;
use viz::header::CONTENT_TYPE;
use viz::{Body, Bytes, Response, Result, StatusCode};

/// An answer with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Result<Response> {
    let body = serde_json::to_vec(value).map_err(viz::Error::boxed)?;
    with_body(status, "application/json", body)
}

/// An answer with any body and content type.
pub fn with_body(
    status: StatusCode,
    content_type: &str,
    body: impl Into<Bytes>,
) -> Result<Response> {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(Body::Full(body.into().into()))
        .map_err(viz::Error::boxed)
}

/// An answer with an error message as JSON.
pub fn error(status: StatusCode, message: &impl std::fmt::Display) -> Result<Response> {
    json(status, &serde_json::json!({"error": message.to_string()}))
}
