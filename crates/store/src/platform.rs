//! Adapter for a platform that is accessed with HTTP and JSON.
//!
//! | call | body | answer |
//! | --- | --- | --- |
//! | `GET /table/{key}` | | 200 `{"version":n,"value":text}`, 404 |
//! | `POST /transact` | `{"writes":[{"key","version","value"}]}` | 200 `{"versions":[n]}`, 409 |
//! | `GET /hosts` | | 200 `[{"name","state":"live" or "leaving"}]` |
//! | `GET /objects/{key}`, `PUT /objects/{key}` | bytes | 200, 404 |
//!
//! Status 503 means that the call certainly took no effect.

use std::time::Duration;

use bytes::Bytes;
use contract::{Reply, Request, Row};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http::{Call, Client, HttpError};
use crate::Table;

/// Timeout for calls to the platform. A caller may wait on the phone while its request is claimed;
/// after this time a refusal is better than a longer wait.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// State of a host in the platform's host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The platform keeps the host.
    Live,
    /// The platform will remove the host.
    Leaving,
}

/// An entry of the platform's host list, which lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of the host.
    pub name: String,
    /// State of the host.
    pub state: HostState,
    /// Peer addresses of the fleet's processes on the host.
    #[serde(default)]
    pub peers: Vec<std::net::SocketAddr>,
}

/// Client for the platform at one address.
#[derive(Clone, Debug)]
pub struct Platform {
    base: String,
    client: Client,
}

#[derive(Deserialize)]
struct ReadBody {
    version: u64,
    value: String,
}

#[derive(Serialize)]
struct WriteBody<'a> {
    key: &'a str,
    version: u64,
    value: &'a str,
}

#[derive(Serialize)]
struct TransactBody<'a> {
    writes: [WriteBody<'a>; 1],
}

#[derive(Deserialize)]
struct TransactReply {
    versions: Vec<u64>,
}

impl Platform {
    /// Creates a client for the platform at `base`, such as `http://127.0.0.1:7000`.
    pub fn new(base: impl Into<String>, client: Client) -> Self {
        Self {
            base: base.into().trim_end_matches('/').to_owned(),
            client,
        }
    }

    /// Reads the platform's host list; `None` if the call fails.
    pub async fn hosts(&self) -> Option<Vec<ListedHost>> {
        let call = Call::new(Method::GET, format!("{}/hosts", self.base), CALL_TIMEOUT);
        match self.client.call(call).await {
            Ok((StatusCode::OK, body)) => serde_json::from_slice(&body).ok(),
            _ => None,
        }
    }

    async fn read(&self, key: &str) -> Reply {
        let call = Call::new(
            Method::GET,
            format!("{}/table/{key}", self.base),
            CALL_TIMEOUT,
        );
        match self.client.call(call).await {
            Ok((StatusCode::NOT_FOUND, _)) => Reply::Row(None),
            Ok((StatusCode::OK, body)) => match serde_json::from_slice::<ReadBody>(&body) {
                Ok(r) => Reply::Row(Some(Row {
                    version: r.version,
                    value: r.value.into(),
                })),
                Err(_) => Reply::Down,
            },
            _ => Reply::Down,
        }
    }

    async fn write(&self, key: &str, version: u64, value: &Bytes) -> Reply {
        let Ok(value) = std::str::from_utf8(value) else {
            return Reply::Down;
        };
        let body = TransactBody {
            writes: [WriteBody {
                key,
                version,
                value,
            }],
        };
        let Ok(body) = serde_json::to_vec(&body) else {
            return Reply::Down;
        };
        let call = Call::new(
            Method::POST,
            format!("{}/transact", self.base),
            CALL_TIMEOUT,
        )
        .body(body);
        match self.client.call(call).await {
            Ok((StatusCode::OK, body)) => write_reply(&body),
            Ok((StatusCode::CONFLICT, _)) => Reply::Conflict,
            Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => Reply::Down,
            Err(HttpError::Connect(_) | HttpError::Call(_)) => Reply::Down,
            Ok(_) | Err(HttpError::Lost(_) | HttpError::Timeout(_) | HttpError::TooLong) => {
                Reply::Lost
            }
        }
    }
}

impl Table for Platform {
    async fn call(&self, request: Request) -> Reply {
        match request {
            Request::Read { key } => self.read(&key).await,
            Request::Write {
                key,
                version,
                value,
            } => self.write(&key, version, &value).await,
        }
    }
}

fn write_reply(body: &Bytes) -> Reply {
    match serde_json::from_slice::<TransactReply>(body) {
        Ok(r) => r
            .versions
            .first()
            .map_or(Reply::Lost, |v| Reply::Written(*v)),
        Err(_) => Reply::Lost,
    }
}
