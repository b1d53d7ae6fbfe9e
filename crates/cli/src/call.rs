//! Calls to an entry's operators' interface.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use store::{Call, Client};

use crate::exit::Failure;

/// Environment variable with the operators' key.
const KEY: &str = "CLEMENTINESTEP_OPERATOR_KEY";

/// Sends a call; answers other than success are failures.
pub(crate) async fn send(
    method: Method,
    entry: &str,
    path: &str,
    body: impl Into<Bytes>,
    limit: Duration,
) -> Result<Bytes, Failure> {
    let key = std::env::var(KEY).unwrap_or_default();
    let call = Call::new(method, format!("http://{entry}{path}"), limit)
        .header("authorization", format!("Bearer {key}"))
        .body(body);
    match Client::default().call(call).await {
        Ok((status, body)) if status.is_success() => Ok(body),
        Ok((status, body)) => Err(Failure::Refused {
            status: status.as_u16(),
            message: String::from_utf8_lossy(&body).into_owned(),
        }),
        Err(error) => Err(Failure::Away {
            address: entry.to_owned(),
            error,
        }),
    }
}
