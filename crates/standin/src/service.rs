//! A plain service with repeatable calls (quota checks) and calls that must run only once
//! (records).
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /quota/{district}` | `{"district","left"}` |
//! | `POST /records/{poll}` | 201 `{"record":n}`; each call adds a record |
//! | `GET /log` | bodies of all records, in order |
//! | `GET /runs` | every call that ran |
//! | `GET /load` | `{"incarnation","running"}` |
//! | `POST /faults`, `GET /faults` | set or show the injected faults |

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;
use viz::{Method, Request, RequestExt, Response, Result, Router, StatusCode};

use crate::{lock, micros, reply};

/// Injected faults of the service. `POST /faults` resets the fields that it omits to their
/// defaults.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Number of calls still to be answered with 500 instead of being run.
    pub errors: u32,
    /// Number of calls still to abort the process before they run.
    pub die_before: u32,
    /// Number of calls still to abort the process after they have run, before their answer.
    pub die_after: u32,
    /// Number of calls still to hang forever before they run.
    pub hang_before: u32,
    /// Number of calls still to hang forever after they have run.
    pub hang_after: u32,
}

/// A call that ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedCall {
    /// Time of the call in microseconds since 1970.
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

/// The service, its faults and the calls that ran.
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

    /// The HTTP interface of the service.
    pub fn router(self: &Arc<Self>) -> Router {
        let service = Arc::clone(self);
        Router::new().any("/*", move |r: Request| Arc::clone(&service).serve(r))
    }

    /// The bodies of all records, in order.
    pub fn bodies(&self) -> Vec<String> {
        let runs = lock(&self.runs);
        let records = runs.iter().filter(|c| c.path.starts_with("/records"));
        records.map(|c| c.body.clone()).collect()
    }

    /// Every call that ran.
    pub fn runs(&self) -> Vec<RecordedCall> {
        lock(&self.runs).clone()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }

    /// The injected faults that have not occurred yet.
    pub fn faults(&self) -> Faults {
        lock(&self.faults).clone()
    }

    async fn serve(self: Arc<Self>, mut req: Request) -> Result<Response> {
        let body = req.bytes().await.map_err(viz::Error::boxed)?;
        let path = req.path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::GET, "/log") => reply::json(StatusCode::OK, &self.bodies()),
            (&Method::GET, "/runs") => reply::json(StatusCode::OK, &self.runs()),
            (&Method::GET, "/load") => self.report_load(),
            (&Method::GET, "/faults") => reply::json(StatusCode::OK, &self.faults()),
            (&Method::POST, "/faults") => self.post_faults(&body),
            (&Method::GET, p) if p.starts_with("/quota/") => {
                self.run(recorded_call(&req, &body), check_quota).await
            }
            (&Method::POST, p) if p.starts_with("/records") => {
                self.run(recorded_call(&req, &body), add_record).await
            }
            _ => reply::json(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    /// Runs a call: it takes effect at once and is answered after the delay.
    async fn run(
        &self,
        call: RecordedCall,
        answer: fn(&RecordedCall, &[RecordedCall]) -> Answer,
    ) -> Result<Response> {
        let faults = &self.faults;
        if take_fault(faults, |f| &mut f.errors) {
            return reply::json(
                StatusCode::INTERNAL_SERVER_ERROR,
                &json!({"error": "fault"}),
            );
        }
        abort_or_hang(faults, |f| &mut f.die_before, |f| &mut f.hang_before).await;
        let _running = RunningCall::new(&self.running);
        let (status, body) = {
            let mut runs = lock(&self.runs);
            runs.push(call.clone());
            answer(&call, &runs)
        };
        abort_or_hang(faults, |f| &mut f.die_after, |f| &mut f.hang_after).await;
        tokio::time::sleep(self.delay).await;
        reply::json(status, &body)
    }

    fn report_load(&self) -> Result<Response> {
        let running = self.running.load(Ordering::Relaxed);
        let body = json!({"incarnation": self.incarnation, "running": running});
        reply::json(StatusCode::OK, &body)
    }

    fn post_faults(&self, body: &[u8]) -> Result<Response> {
        match serde_json::from_slice::<Faults>(body) {
            Ok(f) => self.set_faults(f),
            Err(e) => return reply::error(StatusCode::BAD_REQUEST, &e),
        }
        reply::json(StatusCode::OK, &json!({}))
    }
}

type Answer = (StatusCode, serde_json::Value);

fn check_quota(call: &RecordedCall, _: &[RecordedCall]) -> Answer {
    let district = call.path.rsplit('/').next().unwrap_or_default();
    (StatusCode::OK, json!({"district": district, "left": 12}))
}

fn add_record(_: &RecordedCall, runs: &[RecordedCall]) -> Answer {
    let n = runs
        .iter()
        .filter(|c| c.path.starts_with("/records"))
        .count();
    (StatusCode::CREATED, json!({ "record": n }))
}

fn recorded_call(req: &Request, body: &[u8]) -> RecordedCall {
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

/// Decrements the counter of a fault and returns whether the fault occurs.
fn take_fault(faults: &Mutex<Faults>, counter: impl Fn(&mut Faults) -> &mut u32) -> bool {
    let mut f = lock(faults);
    let remaining = counter(&mut f);
    let occurs = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    occurs
}

/// Aborts the process or hangs if such a fault is due.
async fn abort_or_hang(
    faults: &Mutex<Faults>,
    die: impl Fn(&mut Faults) -> &mut u32,
    hang: impl Fn(&mut Faults) -> &mut u32,
) {
    if take_fault(faults, die) {
        std::process::abort();
    }
    if take_fault(faults, hang) {
        std::future::pending::<()>().await;
    }
}

/// Counts one running call until dropped.
struct RunningCall<'a>(&'a AtomicUsize);

impl<'a> RunningCall<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
