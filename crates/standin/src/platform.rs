//! The platform: a transactional table, an object store and a lagging host list.
//!
//! The calls are those of the `store` package. `POST /faults` sets how it misbehaves:
//! `{"outage":bool,"delay_ms":n,"lose":n}`; `lose` answers are lost after their write took effect.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;
use viz::{Method, Request, RequestExt, Response, Result, Router, StatusCode};

use crate::reply;

/// How the platform misbehaves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every call is answered 503 without effect.
    pub outage: bool,
    /// Milliseconds before each answer.
    pub delay_ms: u64,
    /// Answers still to be lost after their write took effect.
    pub lose: u64,
}

/// Calls counted since the start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Reads.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Writes that met another version.
    pub conflicts: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: HashMap<String, (u64, String)>,
    objects: HashMap<String, Vec<u8>>,
    hosts: Vec<serde_json::Value>,
    faults: Faults,
    counts: Counts,
}

/// All the platform knows.
#[derive(Debug, Default)]
pub struct Platform {
    state: Mutex<State>,
}

#[derive(Deserialize)]
struct Write {
    key: String,
    version: u64,
    value: String,
}

#[derive(Deserialize)]
struct Transact {
    writes: Vec<Write>,
}

impl Platform {
    /// An empty platform.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Its HTTP interface.
    pub fn router(self: &Arc<Self>) -> Router {
        let this = Arc::clone(self);
        Router::new().any("/*", move |r: Request| Arc::clone(&this).serve(r))
    }

    /// Sets how it misbehaves.
    pub fn misbehave(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Calls so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts.clone()
    }

    /// A row's version and value.
    pub fn row(&self, key: impl AsRef<str>) -> Option<(u64, String)> {
        self.lock().rows.get(key.as_ref()).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(self: Arc<Self>, mut req: Request) -> Result<Response> {
        let body = req.bytes().await.map_err(viz::Error::boxed)?;
        let path = req.path().to_owned();
        let faults = self.lock().faults.clone();
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        let (area, key) = path[1..].split_once('/').unwrap_or((&path[1..], ""));
        match (req.method(), area) {
            (&Method::POST, "faults") => self.set(&body),
            (&Method::GET, "counts") => reply::json(StatusCode::OK, &self.counts()),
            _ if faults.outage => reply::json(StatusCode::SERVICE_UNAVAILABLE, &json!({})),
            (&Method::GET, "table") => self.read(key),
            (&Method::POST, "transact") => self.transact(&body).await,
            (&Method::GET, "hosts") => reply::json(StatusCode::OK, &self.lock().hosts),
            (&Method::PUT, "hosts") => self.put_hosts(&body),
            (&Method::PUT, "objects") => self.put(key, body.to_vec()),
            (&Method::GET, "objects") => self.get(key),
            _ => reply::json(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    fn set(&self, body: &[u8]) -> Result<Response> {
        match serde_json::from_slice(body) {
            Ok(f) => self.misbehave(f),
            Err(e) => {
                return reply::json(StatusCode::BAD_REQUEST, &json!({"error": e.to_string()}))
            }
        }
        reply::json(StatusCode::OK, &json!({}))
    }

    fn read(&self, key: &str) -> Result<Response> {
        let mut s = self.lock();
        s.counts.reads += 1;
        match s.rows.get(key) {
            Some((version, value)) => {
                reply::json(StatusCode::OK, &json!({"version": version, "value": value}))
            }
            None => reply::json(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    async fn transact(&self, body: &[u8]) -> Result<Response> {
        let Ok(t) = serde_json::from_slice::<Transact>(body) else {
            return reply::json(StatusCode::BAD_REQUEST, &json!({}));
        };
        match self.commit(&t.writes) {
            Err(key) => reply::json(StatusCode::CONFLICT, &json!({"conflict": key})),
            Ok((_, true)) => {
                // The write took effect; its answer never comes.
                std::future::pending::<()>().await;
                unreachable!("a pending future never ends")
            }
            Ok((versions, false)) => reply::json(StatusCode::OK, &json!({"versions": versions})),
        }
    }

    fn commit(&self, writes: &[Write]) -> Result<(Vec<u64>, bool), String> {
        let mut s = self.lock();
        s.counts.writes += 1;
        let version = |s: &State, k: &str| s.rows.get(k).map_or(0, |r| r.0);
        if let Some(w) = writes.iter().find(|w| version(&s, &w.key) != w.version) {
            s.counts.conflicts += 1;
            return Err(w.key.clone());
        }
        for w in writes {
            s.rows
                .insert(w.key.clone(), (w.version + 1, w.value.clone()));
        }
        let lost = s.faults.lose > 0;
        s.faults.lose = s.faults.lose.saturating_sub(1);
        Ok((writes.iter().map(|w| w.version + 1).collect(), lost))
    }

    fn put_hosts(&self, body: &[u8]) -> Result<Response> {
        match serde_json::from_slice(body) {
            Ok(h) => self.lock().hosts = h,
            Err(_) => return reply::json(StatusCode::BAD_REQUEST, &json!({})),
        }
        reply::json(StatusCode::OK, &json!({}))
    }

    fn put(&self, key: &str, body: Vec<u8>) -> Result<Response> {
        self.lock().objects.insert(key.to_owned(), body);
        reply::json(StatusCode::OK, &json!({}))
    }

    fn get(&self, key: &str) -> Result<Response> {
        match self.lock().objects.get(key) {
            Some(o) => reply::full(StatusCode::OK, "application/octet-stream", o.clone()),
            None => reply::json(StatusCode::NOT_FOUND, &json!({})),
        }
    }
}
