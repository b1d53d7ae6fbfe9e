//! The platform: a transactional table, an object store and a lagging host list.
//!
//! The calls are those of the `store` package. A transaction with several writes takes effect as
//! a whole or not at all and counts as one write. `POST /faults` sets how it misbehaves,
//! `GET /counts` says what it has answered. Beyond its budget of reads and writes in a second it
//! answers 503 with `Retry-After`, without effect.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::json;
use viz::{Method, Request, RequestExt, Response, Result, Router, StatusCode};

use crate::delayed_value::DelayedValue;
use crate::{lock, reply};

/// How the platform misbehaves; what a `POST /faults` leaves out is back at its default.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every call is answered 503 without effect.
    pub outage: bool,
    /// Every call is accepted and never answered, without effect.
    pub paused: bool,
    /// Milliseconds before each answer.
    pub delay_ms: u64,
    /// Answers still to be lost after their write took effect.
    pub lose: u64,
    /// Milliseconds by which changes of the host list are shown late.
    pub hosts_lag_ms: u64,
}

/// What the platform bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Reads a second.
    pub reads: u64,
    /// Writes a second.
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

/// Calls counted since the start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Calls that arrived, answered or not.
    pub arrived: u64,
    /// Reads.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Writes that met another version.
    pub conflicts: u64,
    /// Calls refused as over the budget.
    pub refused: u64,
    /// Most reads in one second.
    pub most_reads: u64,
    /// Most writes in one second.
    pub most_writes: u64,
    /// Reads and writes of each second since the start in which there were any.
    pub seconds: Vec<Second>,
}

/// Calls within one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// Seconds since the start.
    pub at: u64,
    /// Reads.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
}

/// Seconds that are kept.
const SECONDS: usize = 3_600;

#[derive(Debug, Default)]
struct State {
    rows: HashMap<String, (u64, String)>,
    objects: HashMap<String, Vec<u8>>,
    hosts: DelayedValue<Vec<serde_json::Value>>,
    faults: Faults,
    counts: Counts,
}

/// All the platform knows.
#[derive(Debug)]
pub struct Platform {
    born: Instant,
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
enum Kind {
    Read,
    Write,
}

impl Platform {
    /// An empty platform with the usual budget.
    pub fn new() -> Arc<Self> {
        Self::with_budget(Budget::default())
    }

    /// An empty platform.
    pub fn with_budget(budget: Budget) -> Arc<Self> {
        Arc::new(Self {
            born: Instant::now(),
            budget,
            state: Mutex::default(),
        })
    }

    /// Its HTTP interface.
    pub fn router(self: &Arc<Self>) -> Router {
        let this = Arc::clone(self);
        Router::new().any("/*", move |r: Request| Arc::clone(&this).serve(r))
    }

    /// Sets how it misbehaves.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Calls so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts.clone()
    }

    /// Calls that arrived, answered or not.
    pub fn arrived(&self) -> u64 {
        self.lock().counts.arrived
    }

    /// A row's version and value.
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
            (&Method::POST, "/faults") => return self.set(&body),
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
            Kind::Read
        } else {
            Kind::Write
        };
        // The host list is changed by tests, not by the fleet, and costs it nothing.
        if area != "hosts" && !self.count(kind) {
            return over();
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

    /// Counts a call; says whether it is within the budget.
    fn count(&self, kind: Kind) -> bool {
        let at = self.born.elapsed().as_secs();
        let mut s = self.lock();
        let counts = &mut s.counts;
        if counts.seconds.last().is_none_or(|l| l.at != at) {
            let surplus = (counts.seconds.len() + 1).saturating_sub(SECONDS);
            counts.seconds.drain(..surplus);
            counts.seconds.push(Second {
                at,
                ..Second::default()
            });
        }
        let Some(now) = counts.seconds.last_mut() else {
            return true;
        };
        let (here, all, most, budget) = match kind {
            Kind::Read => (
                &mut now.reads,
                &mut counts.reads,
                &mut counts.most_reads,
                self.budget.reads,
            ),
            Kind::Write => (
                &mut now.writes,
                &mut counts.writes,
                &mut counts.most_writes,
                self.budget.writes,
            ),
        };
        if *here >= budget {
            counts.refused += 1;
            return false;
        }
        *here += 1;
        *all += 1;
        *most = (*most).max(*here);
        true
    }

    fn set(&self, body: &[u8]) -> Result<Response> {
        match serde_json::from_slice(body) {
            Ok(f) => self.set_faults(f),
            Err(e) => return reply::refused(StatusCode::BAD_REQUEST, &e),
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
        let t = match serde_json::from_slice::<Transact>(body) {
            Ok(t) => t,
            Err(e) => return reply::refused(StatusCode::BAD_REQUEST, &e),
        };
        match self.commit(&t.writes) {
            Err(key) => reply::json(StatusCode::CONFLICT, &json!({"conflict": key})),
            // The write took effect; its answer never comes.
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
            Err(e) => return reply::refused(StatusCode::BAD_REQUEST, &e),
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
            Some(o) => reply::full(StatusCode::OK, "application/octet-stream", o),
            None => reply::json(StatusCode::NOT_FOUND, &json!({})),
        }
    }
}

fn over() -> Result<Response> {
    let mut res = reply::json(StatusCode::SERVICE_UNAVAILABLE, &json!({"error": "budget"}))?;
    let headers = res.headers_mut();
    headers.insert(
        viz::header::RETRY_AFTER,
        viz::header::HeaderValue::from_static("1"),
    );
    Ok(res)
}
