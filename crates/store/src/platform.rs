//! The platform over HTTP and JSON.
//!
//! | call | body | answer |
//! | --- | --- | --- |
//! | `GET /table/{key}` | | 200 `{"version":n,"value":text}`, 404 |
//! | `POST /transact` | `{"writes":[{"key","version","value"}]}` | 200 `{"versions":[n]}`, 409 |
//! | `GET /hosts` | | 200 `[{"name","state":"live" or "leaving"}]` |
//! | `GET /objects/{key}`, `PUT /objects/{key}` | bytes | 200, 404 |
//!
//! 503 stands for a call that surely took no effect.

use std::time::Duration;

use bytes::Bytes;
use contract::{Reply, Request, Row};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http::{Call, Client, HttpError};
use crate::Table;

/// Longest wait for the platform. A caller on the line waits for a claim; beyond this a refusal
/// serves better.
pub const LIMIT: Duration = Duration::from_millis(1_500);

/// Whether the platform keeps a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// It stays.
    Live,
    /// It goes.
    Leaving,
}

/// A line of the platform's host list, which lags behind reality.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name.
    pub name: String,
    /// State.
    pub state: HostState,
    /// Peer addresses of our processes on it.
    #[serde(default)]
    pub peers: Vec<std::net::SocketAddr>,
}

/// The platform at one address.
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
    /// The platform at `base`, such as `http://127.0.0.1:7000`.
    pub fn new(base: impl Into<String>, client: Client) -> Self {
        Self {
            base: base.into().trim_end_matches('/').to_owned(),
            client,
        }
    }

    /// Hosts as the platform lists them.
    pub async fn hosts(&self) -> Option<Vec<ListedHost>> {
        let call = Call::new(Method::GET, format!("{}/hosts", self.base), LIMIT);
        match self.client.call(call).await {
            Ok((StatusCode::OK, body)) => serde_json::from_slice(&body).ok(),
            _ => None,
        }
    }

    async fn read(&self, key: &str) -> Reply {
        let call = Call::new(Method::GET, format!("{}/table/{key}", self.base), LIMIT);
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
        let call = Call::new(Method::POST, format!("{}/transact", self.base), LIMIT).body(body);
        match self.client.call(call).await {
            Ok((StatusCode::OK, body)) => written(&body),
            Ok((StatusCode::CONFLICT, _)) => Reply::Conflict,
            Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => Reply::Down,
            Err(HttpError::Connect(_) | HttpError::Call(_)) => Reply::Down,
            Ok(_) | Err(HttpError::Lost(_) | HttpError::Timeout(_)) => Reply::Lost,
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

fn written(body: &Bytes) -> Reply {
    match serde_json::from_slice::<TransactReply>(body) {
        Ok(r) => r
            .versions
            .first()
            .map_or(Reply::Lost, |v| Reply::Written(*v)),
        Err(_) => Reply::Lost,
    }
}
