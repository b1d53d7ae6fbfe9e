//! A replica of a service or a model, with the faults that its callers encounter.

use std::collections::HashMap;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH};
use hyper::{Request, Response, StatusCode, Version};
use serde_json::{json, Value};
use tokio::sync::{watch, Notify};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::prompt_cache::PromptCache;
use super::{reply, serve_while, Body, ConnectionCut, CutOff};
use crate::lock;

/// Version of the software of a replica without another one.
const FIRST_BUILD: &str = "v1";

/// Header in which a caller states the length that the events of its stream are filled up to with
/// spaces.
pub const EVENT_SIZE: &str = "x-event-size";

/// A fault of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Refuses requests and states that they did not run.
    Full,
    /// Answers 503 without stating whether the request ran.
    Vague,
    /// Answers 500.
    Error,
    /// Runs the request and closes the connection without an answer.
    Lost,
    /// Runs the request and never answers.
    Hang,
    /// Answers without a signature.
    Unsigned,
    /// Answers with `content-encoding: gzip`.
    Encoded,
    /// Answers with the id of another request.
    Crossed,
    /// Cuts the stream off in the middle of the fourth event, with an error.
    Cut,
    /// Ends the stream without an error, but in the middle of the fourth event.
    Short,
}

/// When a replica crashes that runs a request with a certain prompt part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Before it has sent any of the answer.
    BeforeHead,
    /// In the middle of the first event.
    WithinEvent,
    /// At the end of the first event.
    AfterEvent,
    /// At the end of the third event, so that a caller and an entry have seen several whole events.
    BetweenEvents,
}

impl CrashPoint {
    /// Number of whole events before the crash.
    fn events(self) -> u64 {
        match self {
            Self::BeforeHead | Self::WithinEvent => 0,
            Self::AfterEvent => 1,
            Self::BetweenEvents => 3,
        }
    }
}

/// A request that a replica received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Request id.
    pub id: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Path and query.
    pub path: String,
    /// Request body.
    pub body: Bytes,
    /// Whether the request ran.
    pub ran: bool,
    /// When the request was received.
    pub received: Instant,
    /// Fault with which the request was handled.
    pub fault: Fault,
    /// Whether the answer has neither a length nor chunks.
    pub undelimited: bool,
}

#[derive(Debug, Default)]
struct State {
    fault: Fault,
    /// A fault for only the first request to any of several replicas, and whether it has occurred.
    first_fault: Option<(Fault, Arc<AtomicBool>)>,
    crash_path: Option<String>,
    /// Prompt parts that crash the replica, and when.
    crash_parts: Vec<(String, CrashPoint)>,
    /// When the replica crashed.
    crashes: Vec<Instant>,
    /// Whether the replica is down after a crash.
    down: bool,
    /// Whether answers have neither a length nor chunks.
    undelimited: bool,
    /// Whether the replica says in its answers that it leaves.
    leaving: bool,
    /// Text of the header by which the replica asks for rest in its refusals.
    rest: Option<String>,
    requests: Vec<ReceivedRequest>,
    cache: PromptCache,
    orders: Vec<Value>,
    versions: HashMap<String, u64>,
    seq: u64,
    /// Start time in the report, which has no id.
    born: Option<u64>,
    /// How long a load of weights takes.
    load_time: Duration,
    /// The load in progress, if any.
    load: Option<Load>,
    loads: Vec<Load>,
    /// Delay of the answers to orders.
    order_delay: Duration,
    restarts: u64,
    addr: Option<SocketAddr>,
    /// Requests per second that the replica states in its answers.
    limit: Option<f64>,
    /// Version of the replica's software, if it isn't the first one.
    build: Option<String>,
    /// Number of requests being run.
    running: usize,
    /// Number of requests whose caller disconnected before the end.
    abandoned: usize,
    /// How long an answer may stay unread before the replica cuts it off.
    unread_limit: Option<Duration>,
    /// Ids of the requests whose answers were cut off unread.
    unread_cuts: Vec<String>,
    /// Pace that the replica states with its load, and by which its pauses are longer.
    pace: Option<u32>,
}

/// A load of weights.
#[derive(Clone, Debug)]
pub struct Load {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// When the load started.
    pub started: Instant,
    /// When the load is complete.
    pub ends: Instant,
}

/// A replica on the hosted platform.
#[derive(Debug)]
pub struct Replica {
    /// Id of the replica in the list.
    pub id: String,
    events: u64,
    pause: Duration,
    created: Instant,
    state: Mutex<State>,
    changed: Notify,
}

impl Replica {
    /// A replica that answers a stream request with `events` events, each after `pause`.
    pub fn new(id: &str, events: u64, pause: Duration) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            events,
            pause,
            created: Instant::now(),
            state: Mutex::default(),
            changed: Notify::new(),
        })
    }

    /// Answers requests on a port of 127.0.0.1.
    pub async fn start(self: &Arc<Self>) -> std::io::Result<(SocketAddr, JoinSet<()>)> {
        let (replica, state) = (Arc::clone(self), Arc::clone(self));
        let answer = move |r| {
            let replica = Arc::clone(&replica);
            async move { replica.answer(r).await }
        };
        let (addr, served) = serve_while(answer, move || state.current_start()).await?;
        lock(&self.state).addr = Some(addr);
        Ok((addr, served))
    }

    /// Sets the fault of all requests from now on.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.state).fault = fault;
    }

    /// Sets a fault for only the next request to any of `replicas`.
    pub fn set_first_fault(replicas: &[Arc<Self>], fault: Fault) {
        let occurred: Arc<AtomicBool> = Arc::default();
        for r in replicas {
            lock(&r.state).first_fault = Some((fault, Arc::clone(&occurred)));
        }
    }

    /// The fault of the next request.
    fn next_fault(&self) -> Fault {
        let state = lock(&self.state);
        match &state.first_fault {
            Some((fault, occurred)) if !occurred.swap(true, Ordering::Relaxed) => *fault,
            _ => state.fault,
        }
    }

    /// From now on a request to `path` breaks the connection as soon as it has started to run, as
    /// if it had crashed the replica. The test writes the next incarnation of the replica to the
    /// list.
    pub fn set_crash_path(&self, path: &str) {
        lock(&self.state).crash_path = Some(path.to_owned());
    }

    /// Adds a prompt part that crashes the replica from now on: all connections break, and new ones
    /// are refused until [`Self::recover`].
    pub fn add_crash_part(&self, part: &str, point: CrashPoint) {
        lock(&self.state).crash_parts.push((part.to_owned(), point));
    }

    /// When the replica crashed.
    pub fn crashes(&self) -> Vec<Instant> {
        lock(&self.state).crashes.clone()
    }

    /// Crashes the replica.
    pub fn crash(&self) {
        let mut state = lock(&self.state);
        state.crashes.push(Instant::now());
        state.down = true;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Whether the replica is down after a crash.
    pub fn is_down(&self) -> bool {
        lock(&self.state).down
    }

    /// Number of crashes before the current start; `None` while the replica is down.
    fn current_start(&self) -> Option<usize> {
        let state = lock(&self.state);
        (!state.down).then_some(state.crashes.len())
    }

    /// Lets a replica that has crashed answer again.
    pub fn recover(&self) {
        lock(&self.state).down = false;
    }

    /// Waits until the replica has crashed more often than `crashes` times.
    async fn wait_for_crash(&self, crashes: usize) {
        loop {
            let changed = self.changed.notified();
            if lock(&self.state).crashes.len() > crashes {
                return;
            }
            changed.await;
        }
    }

    /// Sets whether answers have neither a length nor chunks from now on.
    pub fn set_undelimited(&self, undelimited: bool) {
        lock(&self.state).undelimited = undelimited;
    }

    /// Sets whether the replica says in all answers that it leaves.
    pub fn set_leaving(&self, leaving: bool) {
        lock(&self.state).leaving = leaving;
    }

    /// Sets the text of the header by which the replica asks for rest in its refusals.
    pub fn set_rest(&self, rest: Option<&str>) {
        lock(&self.state).rest = rest.map(str::to_owned);
    }

    /// When a request with these prompt parts crashes the replica.
    fn crash_point(&self, parts: &str) -> Option<CrashPoint> {
        let ids = parts.split(',').filter_map(|p| p.split(':').next());
        let ids: Vec<_> = ids.map(str::trim).collect();
        let state = lock(&self.state);
        let mut bad = state.crash_parts.iter();
        let (_, point) = bad.find(|(part, _)| ids.contains(&part.as_str()))?;
        Some(*point)
    }

    /// Sets how long a load of weights takes from now on; requests that arrive during a load are
    /// refused.
    pub fn set_load_time(&self, load_time: Duration) {
        lock(&self.state).load_time = load_time;
    }

    /// Sets the start time that the report states; the report has no id.
    pub fn set_born(&self, born: u64) {
        lock(&self.state).born = Some(born);
    }

    /// From now on carries out orders at once, but delays the answers to them.
    pub fn set_order_delay(&self, order_delay: Duration) {
        lock(&self.state).order_delay = order_delay;
    }

    /// The load in progress, if any. A load whose time has passed is put in force first.
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

    /// All loads with a load time above zero.
    pub fn loads(&self) -> Vec<Load> {
        lock(&self.state).loads.clone()
    }

    /// Sets the requests per second that the replica states in its answers from now on.
    pub fn set_limit(&self, limit: Option<f64>) {
        lock(&self.state).limit = limit;
    }

    /// Sets the version of the replica's software. Events of other builds than the first one name
    /// it.
    pub fn set_build(&self, build: &str) {
        lock(&self.state).build = Some(build.to_owned());
    }

    /// Version of the replica's software.
    pub fn build(&self) -> String {
        let build = lock(&self.state).build.clone();
        build.unwrap_or_else(|| FIRST_BUILD.to_owned())
    }

    /// Restarts the replica: it keeps its weights and loses all other state.
    pub fn restart(&self) {
        let mut state = lock(&self.state);
        state.seq = 0;
        state.load = None;
        state.restarts += 1;
        state.cache.restart();
    }

    /// Restarts the replica under its id; its report states the new start.
    pub fn restart_under_its_id(&self, born: u64) {
        self.restart();
        self.set_born(born);
    }

    /// Number of restarts.
    pub fn restarts(&self) -> u64 {
        lock(&self.state).restarts
    }

    /// Sets the version of the weights of a model without a load, as after a start.
    pub fn set_version(&self, model: &str, version: u64) {
        let mut state = lock(&self.state);
        state.versions.insert(model.to_owned(), version);
    }

    /// The version of the weights of a model; 0 if none are loaded.
    pub fn version(&self, model: &str) -> u64 {
        let state = lock(&self.state);
        state.versions.get(model).copied().unwrap_or_default()
    }

    /// Calls `change` with the prompt cache.
    pub fn with_cache<T>(&self, change: impl FnOnce(&mut PromptCache) -> T) -> T {
        change(&mut lock(&self.state).cache)
    }

    /// All requests received.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        lock(&self.state).requests.clone()
    }

    /// The address of the replica, once started.
    pub fn addr(&self) -> Option<SocketAddr> {
        lock(&self.state).addr
    }

    /// All orders accepted. In each, `meant` is the instance that the order named, and `at_ms` its
    /// arrival in milliseconds since the replica was created.
    pub fn orders(&self) -> Vec<Value> {
        lock(&self.state).orders.clone()
    }

    /// Number of requests being run.
    pub fn running(&self) -> usize {
        lock(&self.state).running
    }

    /// Number of requests whose caller disconnected before the end.
    pub fn abandoned(&self) -> usize {
        lock(&self.state).abandoned
    }

    /// From now on cuts off answers of which nothing could be sent for this long.
    pub fn set_unread_limit(&self, limit: Option<Duration>) {
        lock(&self.state).unread_limit = limit;
    }

    /// Sets the pace, in percent of the usual duration, that the replica keeps and states.
    pub fn set_pace(&self, pace: Option<u32>) {
        lock(&self.state).pace = pace;
    }

    /// Waits until the answer to the request with this id has been cut off unread.
    pub async fn wait_unread_cut(&self, id: &str) {
        loop {
            let changed = self.changed.notified();
            if lock(&self.state).unread_cuts.iter().any(|i| i == id) {
                return;
            }
            changed.await;
        }
    }

    /// Cuts off a connection if its answer stays unread for too long. `waits` has the time since when
    /// bytes of the answer wait to be sent.
    async fn cut_if_unread(
        self: Arc<Self>,
        limit: Duration,
        mut waits: watch::Receiver<Option<Instant>>,
        connection: ConnectionCut,
        id: String,
    ) {
        loop {
            let since = *waits.borrow_and_update();
            let left = since.map_or(Duration::MAX, |at| limit.saturating_sub(at.elapsed()));
            match timeout(left, waits.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return,
                Err(_) => break,
            }
        }
        connection.cut();
        lock(&self.state).unread_cuts.push(id);
        self.changed.notify_waiters();
    }

    /// Waits until a request is being run.
    pub async fn wait_running(&self) {
        loop {
            let changed = self.changed.notified();
            if self.running() > 0 {
                return;
            }
            changed.await;
        }
    }

    /// Waits until a caller has disconnected before the end of its request.
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
        let mut answer = self.answer_without_notices(request).await?;
        let state = lock(&self.state);
        if let Some(limit) = state.limit {
            set_header(&mut answer, "server-limit", &limit.to_string());
        }
        if let Some(pace) = state.pace {
            let load = format!("{},0,8,{pace}", state.running);
            set_header(&mut answer, "server-load", &load);
        }
        if state.leaving {
            set_header(&mut answer, "server-leaving", "1");
        }
        let refused = answer.status() == StatusCode::SERVICE_UNAVAILABLE;
        if let Some(rest) = state.rest.as_ref().filter(|_| refused) {
            set_header(&mut answer, "retry-after", rest);
        }
        drop(state);
        Some(answer)
    }

    /// Answers a request, without what the replica says about itself in each answer.
    async fn answer_without_notices(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Option<Response<Body>> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        match parts.uri.path() {
            "/api/report" => return Some(reply(StatusCode::OK, self.report().to_string())),
            "/api/order" => {
                let instance = parts.headers.get("expect-instance");
                let instance = instance.and_then(|v| v.to_str().ok());
                let answer = match instance {
                    Some(id) if id != self.id => {
                        let mut answer = reply(StatusCode::MISDIRECTED_REQUEST, "");
                        set_header(&mut answer, "instance-id", &self.id);
                        answer
                    }
                    _ => self.order(&body, instance),
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
            set_header(&mut answer, "instance-id", &self.id);
            return Some(answer);
        }
        let expected = text("expect-version").and_then(|v| v.parse::<u64>().ok());
        let model = text("model").unwrap_or_default();
        if expected.is_some_and(|v| v != self.version(&model)) {
            let mut answer = reply(StatusCode::MISDIRECTED_REQUEST, "");
            set_header(&mut answer, "instance-id", &self.id);
            return Some(answer);
        }
        let loading = !model.is_empty() && self.loading().is_some();
        let fault = if loading {
            Fault::Full
        } else {
            self.next_fault()
        };
        let undelimited = lock(&self.state).undelimited;
        lock(&self.state).requests.push(ReceivedRequest {
            id: id.clone(),
            headers: parts.headers.clone(),
            path: parts.uri.to_string(),
            body: body.clone(),
            ran: fault != Fault::Full,
            received: Instant::now(),
            fault,
            undelimited,
        });
        if lock(&self.state).crash_path.as_deref() == Some(parts.uri.path()) {
            return None;
        }
        let crash = text("prompt-prefix").and_then(|p| self.crash_point(&p));
        if crash == Some(CrashPoint::BeforeHead) {
            self.crash();
            return None;
        }
        match fault {
            Fault::Full => {
                let mut answer = reply(StatusCode::SERVICE_UNAVAILABLE, "");
                set_header(&mut answer, "not-executed", "1");
                set_header(&mut answer, "attempt-id", &id);
                return Some(answer);
            }
            Fault::Lost => return None,
            Fault::Hang => {
                let _running = RunningRequest::new(self);
                return std::future::pending().await;
            }
            _ => {}
        }
        let streams = !model.is_empty();
        let mut answer = match fault {
            Fault::Vague => reply(StatusCode::SERVICE_UNAVAILABLE, "busy"),
            Fault::Error => reply(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
            _ if streams => {
                let connection = parts.extensions.get::<ConnectionCut>().cloned();
                let event_size = text(EVENT_SIZE).and_then(|n| n.parse().ok());
                let form = StreamForm {
                    id: id.clone(),
                    after: text("last-event-id").and_then(|n| n.parse().ok()),
                    event_size: event_size.unwrap_or_default(),
                    fault,
                    crash,
                };
                self.stream(form, connection.unwrap_or_default())
            }
            _ => reply(StatusCode::OK, [b"echo ".as_slice(), &body].concat()),
        };
        let echoed = if fault == Fault::Crossed {
            "another"
        } else {
            &id
        };
        set_header(&mut answer, "attempt-id", echoed);
        if fault != Fault::Unsigned {
            set_header(
                &mut answer,
                "response-signature",
                &format!("sig.{}", self.id),
            );
        }
        if fault == Fault::Encoded {
            set_header(&mut answer, "content-encoding", "gzip");
        }
        if undelimited {
            *answer.version_mut() = Version::HTTP_10;
            answer.headers_mut().remove(CONTENT_LENGTH);
        }
        Some(answer)
    }

    fn stream(self: &Arc<Self>, form: StreamForm, connection: ConnectionCut) -> Response<Body> {
        let (fault, crash, event_size) = (form.fault, form.crash, form.event_size);
        let first = form.after.unwrap_or(0) + 1;
        let running = RunningRequest::new(self);
        let (unread_limit, pace) = {
            let state = lock(&self.state);
            (state.unread_limit, state.pace)
        };
        let (last, pause) = (self.events, self.pause * pace.unwrap_or(100) / 100);
        let (waits, waiting) = watch::channel(None);
        if let Some(limit) = unread_limit {
            tokio::spawn(Arc::clone(self).cut_if_unread(limit, waiting, connection, form.id));
        }
        let build = lock(&self.state).build.clone();
        let build = build.map_or_else(String::new, |b| format!(" by {b}"));
        let crashes = lock(&self.state).crashes.len();
        let short = fault == Fault::Short;
        let cut = (short || fault == Fault::Cut).then_some(first + 3);
        let events = stream::unfold(
            (first, running, build, waits),
            move |(n, running, build, waits)| async move {
                waits.send_replace(None);
                if cut == Some(n) {
                    let half = Frame::data(Bytes::from(format!("id: {n}\nda")));
                    return Some((Ok(half), (u64::MAX, running, build, waits)));
                }
                if n == u64::MAX && short {
                    return None;
                }
                if n == u64::MAX {
                    // The pause lets the half event leave before the connection breaks. The stream ends
                    // with the error, which drops `running`.
                    sleep(pause).await;
                    return Some((Err(CutOff), (n, running, build, waits)));
                }
                if n > last {
                    running.end();
                    return None;
                }
                let replica = Arc::clone(&running.replica);
                // The connections of a replica that crashes break together, so that none of them
                // outlives another.
                tokio::select! {
                    biased;
                    () = replica.wait_for_crash(crashes) => pending().await,
                    () = sleep(pause) => {}
                }
                if crash.is_some_and(|point| n >= first + point.events().max(1)) {
                    replica.crash();
                    return pending().await;
                }
                if crash == Some(CrashPoint::WithinEvent) {
                    let half = Frame::data(Bytes::from(format!("id: {n}\nda")));
                    return Some((Ok(half), (n + 1, running, build, waits)));
                }
                let mut event = format!("id: {n}\ndata: token {n}{build}").into_bytes();
                event.resize(event_size.max(event.len()), b' ');
                event.extend_from_slice(b"\n\n");
                let event = Bytes::from(event);
                waits.send_replace(Some(Instant::now()));
                Some((Ok(Frame::data(event)), (n + 1, running, build, waits)))
            },
        );
        let mut answer = Response::new(StreamBody::new(events).boxed_unsync());
        set_header(&mut answer, "content-type", "text/event-stream");
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
        let mut report = json!({"stage": "unified", "models": models, "busy": busy,
            "seq": state.seq, "queued": 0, "active": state.running, "kv_used": 0,
            "kv_total": 100_000, "runs": []});
        if let Some(born) = state.born {
            report["born"] = born.into();
        }
        report
    }

    fn order(&self, body: &Bytes, instance: Option<&str>) -> Response<Body> {
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
        order["meant"] = instance.into();
        let at = started.duration_since(self.created).as_millis() as u64;
        order["at_ms"] = at.into();
        state.orders.push(order);
        reply(StatusCode::ACCEPTED, "")
    }
}

/// The stream that a request gets.
struct StreamForm {
    /// Id of the request.
    id: String,
    /// Number of the last event that the caller has.
    after: Option<u64>,
    /// Length in bytes that events are filled up to.
    event_size: usize,
    fault: Fault,
    crash: Option<CrashPoint>,
}

/// Counts a request as being run until dropped; if dropped before `end`, the caller has
/// disconnected.
struct RunningRequest {
    replica: Arc<Replica>,
    done: bool,
}

impl RunningRequest {
    fn new(replica: &Arc<Replica>) -> Self {
        lock(&replica.state).running += 1;
        replica.changed.notify_waiters();
        Self {
            replica: Arc::clone(replica),
            done: false,
        }
    }
}

impl RunningRequest {
    /// Marks the request as run to its end.
    fn end(mut self) {
        self.done = true;
    }
}

impl Drop for RunningRequest {
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

fn set_header(answer: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::try_from(value) {
        answer.headers_mut().insert(name, value);
    }
}
