//! Error responses of the entry, in the format of the OpenAI API, and headers of all responses.

use model::{Code, Micros, Outcome, RequestId};
use serde::Serialize;
use viz::{Body, Response};

/// Header with the id of a request, in the request and in the response.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that says whether a failed request took effect.
pub const OUTCOME_HEADER: &str = "x-outcome";
/// Header with the name of the rule that decided.
pub const RULE_HEADER: &str = "x-rule";

/// Error that a caller gets instead of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Reason for the error.
    pub code: Code,
    /// Whether the request took effect.
    pub outcome: Outcome,
    /// Text for people.
    pub message: String,
    /// How long the caller should wait before it sends the request again.
    pub retry: Option<Micros>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetails<'a>,
}

#[derive(Serialize)]
struct ErrorDetails<'a> {
    message: &'a str,
    r#type: &'static str,
    code: &'static str,
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Problem {
    /// Error for a request that was not sent to any sidecar.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        let retry = code.is_retryable().then_some(Micros::from_secs(1));
        Self {
            code,
            outcome: Outcome::NotRun,
            message: message.into(),
            retry,
        }
    }

    /// Body of the response.
    pub fn body(&self) -> Vec<u8> {
        let kind = match self.code.status() {
            401 => "authentication_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        };
        let error = ErrorDetails {
            message: &self.message,
            r#type: kind,
            code: self.code.as_str(),
            outcome: self.outcome.as_str(),
            retry_after_ms: self.retry.map(Micros::as_millis),
        };
        serde_json::to_vec(&ErrorBody { error }).unwrap_or_default()
    }

    /// The response with its headers.
    pub fn response(&self, id: &RequestId) -> Response {
        let mut res = Response::builder()
            .status(self.code.status())
            .header("content-type", "application/json")
            .header(REQUEST_ID_HEADER, id.as_str())
            .header(OUTCOME_HEADER, self.outcome.as_str());
        if let Some(t) = self.retry {
            res = res.header("retry-after", t.as_millis().div_ceil(1_000).max(1));
        }
        let body: Body = Body::Full(self.body().into());
        res.body(body).unwrap_or_default()
    }

    /// Server-sent event that ends a stream which can't be completed.
    pub fn event(&self) -> Vec<u8> {
        let mut out = b"event: error\ndata: ".to_vec();
        out.extend(self.body());
        out.extend(b"\n\n");
        out
    }
}
