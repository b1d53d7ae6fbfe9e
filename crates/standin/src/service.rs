//! A plain service: quota checks that may be repeated, records that may not.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /quota/{district}` | `{"district","left"}` |
//! | `POST /records/{poll}` | 201 `{"record":n}`; each call adds one |
//! | `GET /log` | bodies of all records, in order |
//! | `GET /runs` | every call that was run |
//! | `GET /load` | `{"incarnation","running"}` |
//! | `POST /faults`, `GET /faults` | how it misbehaves |

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;
use viz::{Method, Request, RequestExt, Response, Result, Router, StatusCode};

use crate::{lock, micros, reply};

/// How the service misbehaves; what a `POST /faults` leaves out is back at its default.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Calls still to be answered with 500 instead of being run.
    pub errors: u32,
    /// Calls still to kill the process before they run.
    pub die_before: u32,
    /// Calls still to kill the process once they have run, before their answer.
    pub die_after: u32,
    /// Calls still to hang for ever before they run.
    pub hang_before: u32,
    /// Calls still to hang for ever once they have run.
    pub hang_after: u32,
}

/// One call that was run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedCall {
    /// Microseconds since 1970.
    pub at: u64,
    /// Request id.
    pub request: String,
    /// Idempotency key.
    pub idempotency: String,
    /// HTTP method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Body.
    pub body: String,
}

/// What the service has run.
#[derive(Debug)]
pub struct Service {
    delay: Duration,
    incarnation: u64,
    running: AtomicUsize,
    faults: Mutex<Faults>,
    runs: Mutex<Vec<RecordedCall>>,
}

impl Service {
    /// A service whose calls take `delay`.
    pub fn new(delay: Duration) -> Arc<Self> {
        Arc::new(Self {
            delay,
            incarnation: micros(),
            running: AtomicUsize::new(0),
            faults: Mutex::default(),
            runs: Mutex::default(),
        })
    }

    /// Its HTTP interface.
    pub fn router(self: &Arc<Self>) -> Router {
        let this = Arc::clone(self);
        Router::new().any("/*", move |r: Request| Arc::clone(&this).serve(r))
    }

    /// Bodies of all records.
    pub fn bodies(&self) -> Vec<String> {
        let runs = lock(&self.runs);
        let records = runs.iter().filter(|c| c.path.starts_with("/records"));
        records.map(|c| c.body.clone()).collect()
    }

    /// Every call that was run.
    pub fn runs(&self) -> Vec<RecordedCall> {
        lock(&self.runs).clone()
    }

    /// Sets how it misbehaves.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }

    /// Faults still to strike.
    pub fn faults(&self) -> Faults {
        lock(&self.faults).clone()
    }

    async fn serve(self: Arc<Self>, mut req: Request) -> Result<Response> {
        let body = req.bytes().await.map_err(viz::Error::boxed)?;
        let path = req.path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::GET, "/log") => reply::json(StatusCode::OK, &self.bodies()),
            (&Method::GET, "/runs") => reply::json(StatusCode::OK, &self.runs()),
            (&Method::GET, "/load") => self.load(),
            (&Method::GET, "/faults") => reply::json(StatusCode::OK, &self.faults()),
            (&Method::POST, "/faults") => self.set(&body),
            (&Method::GET, p) if p.starts_with("/quota/") => {
                self.run(call(&req, &body), quota).await
            }
            (&Method::POST, p) if p.starts_with("/records") => {
                self.run(call(&req, &body), record).await
            }
            _ => reply::json(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    /// Runs a call: its effect comes at once, its answer after the delay.
    async fn run(
        &self,
        call: RecordedCall,
        answer: fn(&RecordedCall, &[RecordedCall]) -> Answer,
    ) -> Result<Response> {
        let faults = &self.faults;
        if take(faults, |f| &mut f.errors) {
            return reply::json(
                StatusCode::INTERNAL_SERVER_ERROR,
                &json!({"error": "fault"}),
            );
        }
        fail(faults, |f| &mut f.die_before, |f| &mut f.hang_before).await;
        let _running = Running::new(&self.running);
        let (status, body) = {
            let mut runs = lock(&self.runs);
            runs.push(call.clone());
            answer(&call, &runs)
        };
        fail(faults, |f| &mut f.die_after, |f| &mut f.hang_after).await;
        tokio::time::sleep(self.delay).await;
        reply::json(status, &body)
    }

    fn load(&self) -> Result<Response> {
        let running = self.running.load(Ordering::Relaxed);
        let body = json!({"incarnation": self.incarnation, "running": running});
        reply::json(StatusCode::OK, &body)
    }

    fn set(&self, body: &[u8]) -> Result<Response> {
        match serde_json::from_slice::<Faults>(body) {
            Ok(f) => self.set_faults(f),
            Err(e) => return reply::refused(StatusCode::BAD_REQUEST, &e),
        }
        reply::json(StatusCode::OK, &json!({}))
    }
}

type Answer = (StatusCode, serde_json::Value);

fn quota(call: &RecordedCall, _: &[RecordedCall]) -> Answer {
    let district = call.path.rsplit('/').next().unwrap_or_default();
    (StatusCode::OK, json!({"district": district, "left": 12}))
}

fn record(_: &RecordedCall, runs: &[RecordedCall]) -> Answer {
    let n = runs
        .iter()
        .filter(|c| c.path.starts_with("/records"))
        .count();
    (StatusCode::CREATED, json!({ "record": n }))
}

fn call(req: &Request, body: &[u8]) -> RecordedCall {
    let header = |name| req.header::<_, String>(name).unwrap_or_default();
    RecordedCall {
        at: micros(),
        request: header("x-request-id"),
        idempotency: header("idempotency-key"),
        method: req.method().to_string(),
        path: req.path().to_owned(),
        body: String::from_utf8_lossy(body).into_owned(),
    }
}

/// Counts one fault down; says whether it strikes.
fn take(faults: &Mutex<Faults>, which: impl Fn(&mut Faults) -> &mut u32) -> bool {
    let mut f = lock(faults);
    let left = which(&mut f);
    let strikes = *left > 0;
    *left = left.saturating_sub(1);
    strikes
}

async fn fail(
    faults: &Mutex<Faults>,
    die: impl Fn(&mut Faults) -> &mut u32,
    hang: impl Fn(&mut Faults) -> &mut u32,
) {
    if take(faults, die) {
        std::process::abort();
    }
    if take(faults, hang) {
        std::future::pending::<()>().await;
    }
}

/// Counts one for as long as it lives.
struct Running<'a>(&'a AtomicUsize);

impl<'a> Running<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
