//! A replica of a service or a model, with the faults that callers of it meet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use serde_json::{json, Value};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::prompt_cache::PromptCache;
use super::{reply, serve, Body, Broken};
use crate::lock;

/// How a replica misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// It doesn't.
    #[default]
    None,
    /// It refuses what comes and says that it did not run.
    Full,
    /// It answers 503 without saying whether the request ran.
    Vague,
    /// It answers 500.
    Error,
    /// It runs the request and closes the connection without an answer.
    Lost,
    /// It runs the request and never answers.
    Hang,
    /// It answers without a signature.
    Unsigned,
    /// It answers in another encoding.
    Encoded,
    /// It answers with another request's id.
    Crossed,
    /// It breaks its stream off after three events, in the middle of the fourth.
    Cut,
    /// It ends its stream in order, but in the middle of the fourth event.
    Short,
}

/// A request that a replica has seen.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Its id.
    pub id: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its path and query.
    pub path: String,
    /// Its body.
    pub body: Bytes,
    /// Whether it ran.
    pub ran: bool,
}

#[derive(Debug, Default)]
struct State {
    fault: Fault,
    /// A fault that only the first request of several replicas meets, and whether one has met it.
    first: Option<(Fault, Arc<AtomicBool>)>,
    crash_path: Option<String>,
    requests: Vec<ReceivedRequest>,
    cache: PromptCache,
    orders: Vec<Value>,
    versions: HashMap<String, u64>,
    seq: u64,
    /// How long it takes to load weights, and the load under way.
    load_time: Duration,
    load: Option<Load>,
    loads: Vec<Load>,
    /// How long its answer to an order takes.
    order_delay: Duration,
    restarts: u64,
    addr: Option<SocketAddr>,
    /// Requests at work, and those whose caller left before the end.
    running: usize,
    abandoned: usize,
}

/// A load of weights.
#[derive(Clone, Debug)]
pub struct Load {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// When it began.
    pub started: Instant,
    /// When it is there.
    pub ends: Instant,
}

/// A replica.
#[derive(Debug)]
pub struct Replica {
    /// Its id in the list.
    pub id: String,
    events: u64,
    pause: Duration,
    began: Instant,
    state: Mutex<State>,
    changed: Notify,
}

impl Replica {
    /// A replica that answers with so many events, a pause apart.
    pub fn new(id: &str, events: u64, pause: Duration) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            events,
            pause,
            began: Instant::now(),
            state: Mutex::default(),
            changed: Notify::new(),
        })
    }

    /// Answers requests on a port of 127.0.0.1.
    pub async fn start(self: &Arc<Self>) -> std::io::Result<(SocketAddr, JoinSet<()>)> {
        let replica = Arc::clone(self);
        let (addr, served) = serve(move |r| {
            let replica = Arc::clone(&replica);
            async move { replica.answer(r).await }
        })
        .await?;
        lock(&self.state).addr = Some(addr);
        Ok((addr, served))
    }

    /// Misbehaves from now on.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.state).fault = fault;
    }

    /// The next request to any of some replicas meets a fault; those after it don't.
    pub fn set_first_fault(replicas: &[Arc<Self>], fault: Fault) {
        let met: Arc<AtomicBool> = Arc::default();
        for r in replicas {
            lock(&r.state).first = Some((fault, Arc::clone(&met)));
        }
    }

    /// The fault that a request meets.
    fn fault(&self) -> Fault {
        let state = lock(&self.state);
        match &state.first {
            Some((fault, met)) if !met.swap(true, Ordering::Relaxed) => *fault,
            _ => state.fault,
        }
    }

    /// From now on a request to a path breaks the connection as soon as it has begun to run, as if it
    /// had crashed the replica. The test enters the replica's next life in the list.
    pub fn set_crash_path(&self, path: &str) {
        lock(&self.state).crash_path = Some(path.to_owned());
    }

    /// Takes so long to load weights from now on; what comes meanwhile is refused.
    pub fn set_load_time(&self, load_time: Duration) {
        lock(&self.state).load_time = load_time;
    }

    /// Carries orders out at once from now on, and answers them so much later.
    pub fn set_order_delay(&self, order_delay: Duration) {
        lock(&self.state).order_delay = order_delay;
    }

    /// The load under way, if there is one; one that has ended is in force.
    pub fn loading(&self) -> Option<Load> {
        let mut state = lock(&self.state);
        let load = state.load.clone()?;
        if load.ends > Instant::now() {
            return Some(load);
        }
        state.load = None;
        state.versions.insert(load.model, load.version);
        None
    }

    /// All loads that took some time.
    pub fn loads(&self) -> Vec<Load> {
        lock(&self.state).loads.clone()
    }

    /// Starts again: it has the weights that it had, and knows nothing else of before.
    pub fn restart(&self) {
        let mut state = lock(&self.state);
        state.seq = 0;
        state.load = None;
        state.restarts += 1;
        state.cache.restart();
    }

    /// Times that it has started again.
    pub fn restarts(&self) -> u64 {
        lock(&self.state).restarts
    }

    /// Loads a model's weights, as after a start.
    pub fn load(&self, model: &str, version: u64) {
        let mut state = lock(&self.state);
        state.versions.insert(model.to_owned(), version);
    }

    /// The version of a model's weights.
    pub fn version(&self, model: &str) -> u64 {
        let state = lock(&self.state);
        state.versions.get(model).copied().unwrap_or_default()
    }

    /// Does something with what it holds of prompts.
    pub fn with_cache<T>(&self, change: impl FnOnce(&mut PromptCache) -> T) -> T {
        change(&mut lock(&self.state).cache)
    }

    /// All requests seen.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        lock(&self.state).requests.clone()
    }

    /// Where it answers, once it does.
    pub fn addr(&self) -> Option<SocketAddr> {
        lock(&self.state).addr
    }

    /// All orders taken; `meant` is the target that each named, `at_ms` when it came.
    pub fn orders(&self) -> Vec<Value> {
        lock(&self.state).orders.clone()
    }

    /// Requests at work.
    pub fn running(&self) -> usize {
        lock(&self.state).running
    }

    /// Requests whose caller left before the end.
    pub fn abandoned(&self) -> usize {
        lock(&self.state).abandoned
    }

    /// Waits until a request is at work.
    pub async fn wait_running(&self) {
        loop {
            let changed = self.changed.notified();
            if self.running() > 0 {
                return;
            }
            changed.await;
        }
    }

    /// Waits until some caller has left.
    pub async fn wait_abandoned(&self) {
        loop {
            let changed = self.changed.notified();
            if self.abandoned() > 0 {
                return;
            }
            changed.await;
        }
    }

    async fn answer(self: &Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        match parts.uri.path() {
            "/api/report" => return Some(reply(StatusCode::OK, self.report().to_string())),
            "/api/order" => {
                let meant = parts.headers.get("expect-instance");
                let meant = meant.and_then(|v| v.to_str().ok());
                let answer = match meant {
                    Some(id) if id != self.id => reply(StatusCode::MISDIRECTED_REQUEST, ""),
                    _ => self.order(&body, meant),
                };
                let order_delay = lock(&self.state).order_delay;
                sleep(order_delay).await;
                return Some(answer);
            }
            "/api/kv-events" => {
                sleep(Duration::from_millis(50)).await;
                let query = parts.uri.query().unwrap_or_default();
                let since = query.strip_prefix("since=").and_then(|n| n.parse().ok());
                let changes = self.with_cache(|c| c.changes(since.unwrap_or_default()));
                return Some(reply(StatusCode::OK, changes.to_string()));
            }
            "/api/kv-list" => {
                let held = self.with_cache(PromptCache::list);
                return Some(reply(StatusCode::OK, held.to_string()));
            }
            _ => {}
        }
        let text = |n: &str| {
            let value = parts.headers.get(n).and_then(|v| v.to_str().ok());
            value.map(str::to_owned)
        };
        let id = text("attempt-id").unwrap_or_default();
        if text("expect-instance").is_some_and(|e| e != self.id) {
            let mut answer = reply(StatusCode::MISDIRECTED_REQUEST, "");
            set(&mut answer, "instance-id", &self.id);
            return Some(answer);
        }
        let wanted = text("expect-version").and_then(|v| v.parse::<u64>().ok());
        let model = text("model").unwrap_or_default();
        if wanted.is_some_and(|v| v != self.version(&model)) {
            let mut answer = reply(StatusCode::MISDIRECTED_REQUEST, "");
            set(&mut answer, "instance-id", &self.id);
            return Some(answer);
        }
        let loading = !model.is_empty() && self.loading().is_some();
        let fault = if loading { Fault::Full } else { self.fault() };
        lock(&self.state).requests.push(ReceivedRequest {
            id: id.clone(),
            headers: parts.headers.clone(),
            path: parts.uri.to_string(),
            body: body.clone(),
            ran: fault != Fault::Full,
        });
        if lock(&self.state).crash_path.as_deref() == Some(parts.uri.path()) {
            return None;
        }
        match fault {
            Fault::Full => {
                let mut answer = reply(StatusCode::SERVICE_UNAVAILABLE, "");
                set(&mut answer, "not-executed", "1");
                set(&mut answer, "attempt-id", &id);
                return Some(answer);
            }
            Fault::Lost => return None,
            Fault::Hang => {
                let _work = Work::new(self);
                return std::future::pending().await;
            }
            _ => {}
        }
        let streams = !model.is_empty();
        let mut answer = match fault {
            Fault::Vague => reply(StatusCode::SERVICE_UNAVAILABLE, "busy"),
            Fault::Error => reply(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
            _ if streams => self.stream(text("last-event-id"), fault),
            _ => reply(StatusCode::OK, [b"echo ".as_slice(), &body].concat()),
        };
        let echoed = if fault == Fault::Crossed {
            "another"
        } else {
            &id
        };
        set(&mut answer, "attempt-id", echoed);
        if fault != Fault::Unsigned {
            set(
                &mut answer,
                "response-signature",
                &format!("sig.{}", self.id),
            );
        }
        if fault == Fault::Encoded {
            set(&mut answer, "content-encoding", "gzip");
        }
        Some(answer)
    }

    fn stream(self: &Arc<Self>, after: Option<String>, fault: Fault) -> Response<Body> {
        let first = after.and_then(|a| a.parse::<u64>().ok()).unwrap_or(0) + 1;
        let work = Work::new(self);
        let (last, pause) = (self.events, self.pause);
        let short = fault == Fault::Short;
        let cut = (short || fault == Fault::Cut).then_some(first + 3);
        let events = stream::unfold((first, work), move |(n, work)| async move {
            if cut == Some(n) {
                let half = Frame::data(Bytes::from(format!("id: {n}\nda")));
                return Some((Ok(half), (u64::MAX, work)));
            }
            if n == u64::MAX && short {
                return None;
            }
            if n == u64::MAX {
                // What was sent is on its way before the connection breaks; the state ends with the
                // error, and the work with it.
                sleep(pause).await;
                return Some((Err(Broken), (n, work)));
            }
            if n > last {
                work.end();
                return None;
            }
            sleep(pause).await;
            let event = Bytes::from(format!("id: {n}\ndata: token {n}\n\n"));
            Some((Ok(Frame::data(event)), (n + 1, work)))
        });
        let mut answer = Response::new(StreamBody::new(events).boxed_unsync());
        set(&mut answer, "content-type", "text/event-stream");
        answer
    }

    fn report(&self) -> Value {
        let busy = self.loading().is_some();
        let state = lock(&self.state);
        let models: Vec<_> = state
            .versions
            .iter()
            .map(|(m, v)| json!({"name": m, "version": v, "adapters": []}))
            .collect();
        json!({"stage": "unified", "models": models, "busy": busy, "seq": state.seq,
            "queued": 0, "active": state.running, "kv_used": 0, "kv_total": 100_000, "runs": []})
    }

    fn order(&self, body: &Bytes, meant: Option<&str>) -> Response<Body> {
        let Ok(mut order) = serde_json::from_slice::<Value>(body) else {
            return reply(StatusCode::BAD_REQUEST, "");
        };
        let busy = self.loading().is_some();
        let mut state = lock(&self.state);
        if busy || order["expected"].as_u64().is_some_and(|e| e != state.seq) {
            return reply(StatusCode::CONFLICT, "");
        }
        state.seq += 1;
        let model = order["model"].as_str().unwrap_or_default().to_owned();
        let version = order["version"].as_u64().unwrap_or_default();
        let started = Instant::now();
        let ends = started + state.load_time;
        match state.load_time.is_zero() {
            true => drop(state.versions.insert(model, version)),
            false => {
                let load = Load {
                    model,
                    version,
                    started,
                    ends,
                };
                state.loads.push(load.clone());
                state.load = Some(load);
            }
        }
        order["meant"] = meant.into();
        let at = started.duration_since(self.began).as_millis() as u64;
        order["at_ms"] = at.into();
        state.orders.push(order);
        reply(StatusCode::ACCEPTED, "")
    }
}

/// A request at work; dropped before its end if the caller leaves.
struct Work {
    replica: Arc<Replica>,
    done: bool,
}

impl Work {
    fn new(replica: &Arc<Replica>) -> Self {
        lock(&replica.state).running += 1;
        replica.changed.notify_waiters();
        Self {
            replica: Arc::clone(replica),
            done: false,
        }
    }
}

impl Work {
    /// The request has been worked on to its end.
    fn end(mut self) {
        self.done = true;
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        let mut state = lock(&self.replica.state);
        state.running -= 1;
        if !self.done {
            state.abandoned += 1;
        }
        drop(state);
        self.replica.changed.notify_waiters();
    }
}

fn set(answer: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::try_from(value) {
        answer.headers_mut().insert(name, value);
    }
}
