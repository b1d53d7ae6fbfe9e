//! The platform: a transactional table, an object store and a host list that shows changes late.
//!
//! The calls are those of the `store` package. A transaction with several writes takes effect as
//! a whole or not at all and counts as one write. `POST /faults` sets the injected faults and
//! `GET /counts` returns the call counters. Calls beyond the budget of reads or writes per second
//! are answered with 503 and `Retry-After`, without effect.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::json;
use viz::{Method, Request, RequestExt, Response, Result, Router, StatusCode};

use crate::delayed_value::DelayedValue;
use crate::{lock, reply};

/// Injected faults of the platform. `POST /faults` resets the fields that it omits to their
/// defaults.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Answers every call with 503, without effect.
    pub outage: bool,
    /// Accepts every call and never answers it, without effect.
    pub paused: bool,
    /// Delay of each call in milliseconds.
    pub delay_ms: u64,
    /// Number of answers still to be lost after their write took effect.
    pub lose: u64,
    /// Delay in milliseconds after which changes of the host list are shown.
    pub hosts_lag_ms: u64,
}

/// Number of calls that the platform answers per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Reads per second.
    pub reads: u64,
    /// Writes per second.
    pub writes: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            reads: 2_000,
            writes: 400,
        }
    }
}

/// Counters of calls since the start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Calls that arrived, answered or not.
    pub arrived: u64,
    /// Reads.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Writes that expected another version than the current one.
    pub conflicts: u64,
    /// Calls refused because they exceeded the budget.
    pub refused: u64,
    /// Most reads in one second.
    pub most_reads: u64,
    /// Most writes in one second.
    pub most_writes: u64,
    /// Reads and writes of each second with any, the latest `MAX_SECONDS` of them.
    pub seconds: Vec<Second>,
}

/// Counters of calls within one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// Seconds since the start.
    pub at: u64,
    /// Reads.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
}

/// Number of seconds whose counters are kept.
const MAX_SECONDS: usize = 3_600;

#[derive(Debug, Default)]
struct State {
    rows: HashMap<String, (u64, String)>,
    objects: HashMap<String, Vec<u8>>,
    hosts: DelayedValue<Vec<serde_json::Value>>,
    faults: Faults,
    counts: Counts,
}

/// The platform and its state.
#[derive(Debug)]
pub struct Platform {
    started: Instant,
    budget: Budget,
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    Read,
    Write,
}

impl Platform {
    /// An empty platform with the default budget.
    pub fn new() -> Arc<Self> {
        Self::with_budget(Budget::default())
    }

    /// An empty platform with the given budget.
    pub fn with_budget(budget: Budget) -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            budget,
            state: Mutex::default(),
        })
    }

    /// The HTTP interface of the platform.
    pub fn router(self: &Arc<Self>) -> Router {
        let platform = Arc::clone(self);
        Router::new().any("/*", move |r: Request| Arc::clone(&platform).serve(r))
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// The call counters.
    pub fn counts(&self) -> Counts {
        self.lock().counts.clone()
    }

    /// Number of calls that arrived, answered or not.
    pub fn arrived(&self) -> u64 {
        self.lock().counts.arrived
    }

    /// The version and value of a row.
    pub fn row(&self, key: impl AsRef<str>) -> Option<(u64, String)> {
        self.lock().rows.get(key.as_ref()).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    async fn serve(self: Arc<Self>, mut req: Request) -> Result<Response> {
        let body = req.bytes().await.map_err(viz::Error::boxed)?;
        let path = req.path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::POST, "/faults") => return self.post_faults(&body),
            (&Method::GET, "/faults") => {
                let faults = self.lock().faults.clone();
                return reply::json(StatusCode::OK, &faults);
            }
            (&Method::GET, "/counts") => return reply::json(StatusCode::OK, &self.counts()),
            _ => (),
        }
        let faults = {
            let mut s = self.lock();
            s.counts.arrived += 1;
            s.faults.clone()
        };
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        match () {
            () if faults.paused => std::future::pending().await,
            () if faults.outage => reply::json(StatusCode::SERVICE_UNAVAILABLE, &json!({})),
            () => self.answer(req.method(), &path[1..], &body).await,
        }
    }

    async fn answer(&self, method: &Method, path: &str, body: &[u8]) -> Result<Response> {
        let (area, key) = path.split_once('/').unwrap_or((path, ""));
        let kind = if method == Method::GET {
            CallKind::Read
        } else {
            CallKind::Write
        };
        // Calls for the host list do not count towards the budget: tests change the list, not the
        // fleet.
        if area != "hosts" && !self.count(kind) {
            return over_budget();
        }
        match (method, area) {
            (&Method::GET, "table") => self.read(key),
            (&Method::POST, "transact") => self.transact(body).await,
            (&Method::GET, "hosts") => self.hosts(),
            (&Method::PUT, "hosts") => self.put_hosts(body),
            (&Method::PUT, "objects") => self.put(key, body.to_vec()),
            (&Method::GET, "objects") => self.get(key),
            _ => reply::json(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    /// Counts a call and returns whether it is within the budget.
    fn count(&self, kind: CallKind) -> bool {
        let at = self.started.elapsed().as_secs();
        let mut s = self.lock();
        let counts = &mut s.counts;
        if counts.seconds.last().is_none_or(|l| l.at != at) {
            let surplus = (counts.seconds.len() + 1).saturating_sub(MAX_SECONDS);
            counts.seconds.drain(..surplus);
            counts.seconds.push(Second {
                at,
                ..Second::default()
            });
        }
        let Some(now) = counts.seconds.last_mut() else {
            return true;
        };
        let (in_second, total, most, budget) = match kind {
            CallKind::Read => (
                &mut now.reads,
                &mut counts.reads,
                &mut counts.most_reads,
                self.budget.reads,
            ),
            CallKind::Write => (
                &mut now.writes,
                &mut counts.writes,
                &mut counts.most_writes,
                self.budget.writes,
            ),
        };
        if *in_second >= budget {
            counts.refused += 1;
            return false;
        }
        *in_second += 1;
        *total += 1;
        *most = (*most).max(*in_second);
        true
    }

    fn post_faults(&self, body: &[u8]) -> Result<Response> {
        match serde_json::from_slice(body) {
            Ok(f) => self.set_faults(f),
            Err(e) => return reply::error(StatusCode::BAD_REQUEST, &e),
        }
        reply::json(StatusCode::OK, &json!({}))
    }

    fn read(&self, key: &str) -> Result<Response> {
        match self.row(key) {
            Some((version, value)) => {
                reply::json(StatusCode::OK, &json!({"version": version, "value": value}))
            }
            None => reply::json(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    async fn transact(&self, body: &[u8]) -> Result<Response> {
        let transaction = match serde_json::from_slice::<Transact>(body) {
            Ok(t) => t,
            Err(e) => return reply::error(StatusCode::BAD_REQUEST, &e),
        };
        match self.commit(&transaction.writes) {
            Err(key) => reply::json(StatusCode::CONFLICT, &json!({"conflict": key})),
            // The write took effect, but its answer is lost.
            Ok((_, true)) => std::future::pending().await,
            Ok((versions, false)) => reply::json(StatusCode::OK, &json!({"versions": versions})),
        }
    }

    fn commit(&self, writes: &[Write]) -> Result<(Vec<u64>, bool), String> {
        let mut s = self.lock();
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

    fn hosts(&self) -> Result<Response> {
        let hosts = self.lock().hosts.get(Instant::now()).clone();
        reply::json(StatusCode::OK, &hosts)
    }

    fn put_hosts(&self, body: &[u8]) -> Result<Response> {
        let hosts = match serde_json::from_slice(body) {
            Ok(h) => h,
            Err(e) => return reply::error(StatusCode::BAD_REQUEST, &e),
        };
        let mut s = self.lock();
        let lag = Duration::from_millis(s.faults.hosts_lag_ms);
        s.hosts.set(Instant::now(), lag, hosts);
        reply::json(StatusCode::OK, &json!({}))
    }

    fn put(&self, key: &str, body: Vec<u8>) -> Result<Response> {
        self.lock().objects.insert(key.to_owned(), body);
        reply::json(StatusCode::OK, &json!({}))
    }

    fn get(&self, key: &str) -> Result<Response> {
        let object = self.lock().objects.get(key).cloned();
        match object {
            Some(o) => reply::with_body(StatusCode::OK, "application/octet-stream", o),
            None => reply::json(StatusCode::NOT_FOUND, &json!({})),
        }
    }
}

fn over_budget() -> Result<Response> {
    let mut res = reply::json(StatusCode::SERVICE_UNAVAILABLE, &json!({"error": "budget"}))?;
    let headers = res.headers_mut();
    headers.insert(
        viz::header::RETRY_AFTER,
        viz::header::HeaderValue::from_static("1"),
    );
    Ok(res)
}
