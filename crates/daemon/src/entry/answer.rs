//! Answers of the entry's own: errors in the OpenAI shape.

use model::{Code, Micros, Outcome, RequestId};
use serde::Serialize;
use viz::{Body, Response};

/// Header that carries the request's id, both ways.
pub const REQUEST_ID: &str = "x-request-id";
/// Header that states what is known of a request's effect.
pub const OUTCOME: &str = "x-outcome";
/// Header that names the rule that decided.
pub const RULE: &str = "x-rule";

/// Why a request has no answer, as its caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Why.
    pub code: Code,
    /// What is known of its effect.
    pub outcome: Outcome,
    /// In words.
    pub message: String,
    /// When to come back.
    pub retry: Option<Micros>,
}

#[derive(Serialize)]
struct Shape<'a> {
    error: Inner<'a>,
}

#[derive(Serialize)]
struct Inner<'a> {
    message: &'a str,
    r#type: &'static str,
    code: &'static str,
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Problem {
    /// A problem found before anything was sent on.
    pub fn unsent(code: Code, message: impl Into<String>) -> Self {
        let retry = code.is_retryable().then_some(Micros::from_secs(1));
        Self {
            code,
            outcome: Outcome::NotRun,
            message: message.into(),
            retry,
        }
    }

    /// The body.
    pub fn body(&self) -> Vec<u8> {
        let kind = match self.code.status() {
            401 => "authentication_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        };
        let error = Inner {
            message: &self.message,
            r#type: kind,
            code: self.code.as_str(),
            outcome: self.outcome.as_str(),
            retry_after_ms: self.retry.map(Micros::as_millis),
        };
        serde_json::to_vec(&Shape { error }).unwrap_or_default()
    }

    /// The whole answer.
    pub fn response(&self, id: &RequestId) -> Response {
        let mut res = Response::builder()
            .status(self.code.status())
            .header("content-type", "application/json")
            .header(REQUEST_ID, id.as_str())
            .header(OUTCOME, self.outcome.as_str());
        if let Some(t) = self.retry {
            res = res.header("retry-after", t.as_millis().div_ceil(1_000).max(1));
        }
        let body: Body = Body::Full(self.body().into());
        res.body(body).unwrap_or_default()
    }

    /// The event that ends a stream which can't be completed.
    pub fn event(&self) -> Vec<u8> {
        let mut out = b"event: error\ndata: ".to_vec();
        out.extend(self.body());
        out.extend(b"\n\n");
        out
    }
}
