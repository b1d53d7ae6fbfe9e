//! Answers in JSON.

use serde::Serialize;
use viz::header::CONTENT_TYPE;
use viz::{Body, Bytes, Response, Result, StatusCode};

/// An answer with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Result<Response> {
    let body = serde_json::to_vec(value).map_err(viz::Error::boxed)?;
    full(status, "application/json", body)
}

/// An answer with any body.
pub fn full(status: StatusCode, kind: &str, body: impl Into<Bytes>) -> Result<Response> {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, kind)
        .body(Body::Full(body.into().into()))
        .map_err(viz::Error::boxed)
}

/// An answer that says what was wrong.
pub fn refused(status: StatusCode, why: &impl std::fmt::Display) -> Result<Response> {
    json(status, &serde_json::json!({"error": why.to_string()}))
}
