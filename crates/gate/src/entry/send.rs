//! Sending a request to one target, up to the head of its answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use model::Micros;
use platform::replica::{self, AddedHeaders, AnswerHead};
use policy::{prefill_priority, stall};
use site::{Boot, Part};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::connection_pool::Connection;
use super::fleet::ReplicaKey;
use super::pick::Pick;
use super::request::Job;
use super::stalled::{self, Sent, Stall};
use super::{leaving, origins, rests, suspects, target_limits, Ctx};
use crate::agent::AgentId;
use crate::log::{self, Event};
use crate::meter;
use crate::stall::watch;
use crate::update::{PromptNote, SpeedNote};

/// Time limit for a connection that shows that a target is running.
const REACH_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest head of an answer. By default the HTTP library also reads that much, 408 KiB, ahead of callers.
const MAX_READ_BUFFER: usize = 64 << 10;

/// Accounting of a request that is in flight at a target. Dropping it removes the request from the
/// target's counts.
#[derive(Debug)]
pub(super) struct InFlight {
    ctx: Ctx,
    key: ReplicaKey,
    /// Agent to which the request was reported, and the request's key there; `None` if no agent was
    /// known or once the prefill has been reported as done.
    reported_to: Option<(AgentId, u64)>,
    /// Tokens that the target has yet to prefill; `None` once it has.
    unread_tokens: Option<u32>,
    /// Scope and parts that the target is expected to hold soon.
    expected: Option<(u64, Vec<Part>)>,
    /// Tokens that an idle engine prefills for the first event, if that measures the prefill rate.
    pub(super) measured_tokens: Option<u32>,
    /// What the first event shows of the engine's speed.
    pub(super) speed: Option<SpeedNote>,
    /// Whether the request is suspected of crashing targets.
    suspect: bool,
    /// Incarnation of the target.
    pub(super) boot: Boot,
    /// When the request was sent to the target.
    pub(super) sent_at: Micros,
    /// Estimated milliseconds until the first token.
    estimate: f64,
    /// Whether bytes of a stream have arrived.
    has_bytes: bool,
}

impl InFlight {
    fn new(ctx: &Ctx, job: &Job, pick: &Pick) -> Self {
        let now = ctx.now();
        let expected = match (&job.prompt, &pick.scope) {
            (Some(p), Some(s)) => Some((s.key(), p.shared().to_vec())),
            _ => None,
        };
        let suspect = suspects::is_isolated(ctx, job);
        let mut fleet = ctx.fleet.borrow_mut();
        let mut reported_to = None;
        if let Some(r) = fleet.replicas.get_mut(pick.key) {
            r.record_send(now, pick.prefill_tokens);
            r.suspects += u32::from(suspect);
            r.history.send(now);
            let request = xxh3_64(job.id.as_bytes());
            let agent = r.agent_report.map(|report| (report.agent, request));
            reported_to = agent.filter(|_| expected.is_some());
            if let Some((scope, parts)) = &expected {
                r.expect_parts(now, *scope, parts);
            }
        }
        drop(fleet);
        if let Some(prompt) = &job.prompt {
            let prefill_ms =
                f64::from(pick.prefill_tokens) * ctx.prefill_rate(&job.pool, |p| p.ms_per_token());
            ctx.recent_work
                .borrow_mut()
                .add(now, prompt.input_tokens, prefill_ms);
        }
        if let Some((agent, request)) = reported_to {
            let note = PromptNote {
                request,
                tokens: Some(pick.prefill_tokens),
                speed: None,
            };
            ctx.report_prompt(agent, note);
        }
        if let (Some((_, parts)), Some(scope)) = (&expected, pick.scope.as_ref()) {
            if pick.shared_prefill_tokens > 0 || pick.is_copy {
                ctx.announce_expected(pick.addr, scope, parts);
            }
        }
        Self {
            ctx: Rc::clone(ctx),
            key: pick.key,
            reported_to,
            unread_tokens: Some(pick.prefill_tokens),
            expected,
            measured_tokens: pick.measures_prefill.then_some(pick.prefill_tokens),
            speed: None,
            suspect,
            boot: pick.boot.clone(),
            sent_at: now,
            estimate: pick.estimate,
            has_bytes: false,
        }
    }

    /// Records that bytes of a stream have arrived. The first ones begin the answer: targets may send the
    /// head at once, so that a head doesn't show that the target serves the request.
    pub(super) fn record_bytes(&mut self) {
        let now = self.ctx.now();
        if let Some(r) = self.ctx.fleet.borrow_mut().replicas.get_mut(self.key) {
            match std::mem::replace(&mut self.has_bytes, true) {
                false => r.history.answer(now, self.sent_at),
                true => r.history.bytes(now),
            }
        }
    }

    /// The request, for decisions on its stall.
    pub(super) fn sent(&self) -> Sent {
        Sent {
            key: self.key,
            at: self.sent_at,
            estimate: self.estimate,
        }
    }

    /// Key of the target.
    pub(super) fn key(&self) -> ReplicaKey {
        self.key
    }

    /// The target, and when the request was sent there.
    pub(super) fn sent_to(&self) -> SentTo {
        SentTo {
            key: self.key,
            boot: self.boot.clone(),
            at: self.sent_at,
        }
    }

    /// Records that the target has prefilled the prompt.
    pub(super) fn record_prefilled(&mut self) {
        self.settle(true);
    }

    fn settle(&mut self, done: bool) {
        let Some(unread) = self.unread_tokens.take() else {
            return;
        };
        if let Some(r) = self.ctx.fleet.borrow_mut().replicas.get_mut(self.key) {
            r.unread_tokens = r.unread_tokens.saturating_sub(unread);
            if let Some((scope, parts)) = &self.expected {
                r.settle_parts(*scope, parts, done);
            }
        }
        self.expected = None;
        if let Some((agent, request)) = self.reported_to.take() {
            let note = PromptNote {
                request,
                tokens: None,
                speed: self.speed.take(),
            };
            self.ctx.report_prompt(agent, note);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.settle(false);
        if let Some(r) = self.ctx.fleet.borrow_mut().replicas.get_mut(self.key) {
            r.inflight = r.inflight.saturating_sub(1);
            r.suspects -= u32::from(self.suspect);
            r.history.end(self.sent_at);
        }
    }
}

/// A target to which a request was sent.
#[derive(Clone, Debug)]
pub(super) struct SentTo {
    /// Key of the target.
    pub(super) key: ReplicaKey,
    /// Incarnation of the target.
    pub(super) boot: Boot,
    /// When the request was sent.
    pub(super) at: Micros,
}

/// An answer whose head has been received.
#[derive(Debug)]
pub(super) struct LiveAnswer {
    /// The response, with a body that is still arriving.
    pub(super) response: Response<Incoming>,
    /// Decoded head of the answer.
    pub(super) head: AnswerHead,
    /// The connection on which the answer arrives.
    pub(super) connection: Connection,
    /// Accounting of the request at the target.
    pub(super) in_flight: InFlight,
    /// Shows whether the target outlives an answer that has neither a length nor chunks.
    pub(super) witness: Option<Witness>,
}

/// A connection that is opened while an answer arrives. It breaks with the target's process, while a
/// connection that is opened after the answer may reach the next start of the target.
#[derive(Debug)]
pub(super) struct Witness(JoinHandle<Option<Connection>>);

impl Witness {
    fn open(addr: SocketAddr) -> Self {
        Self(tokio::task::spawn_local(connect(addr)))
    }

    /// The connection, if it was opened and hasn't been closed.
    pub(super) async fn connection(self) -> Option<Connection> {
        let opened = timeout(REACH_TIMEOUT, self.0).await.ok()?;
        opened.ok()?.filter(|c| !c.send.is_closed())
    }
}

/// Outcome of sending a request.
#[derive(Debug)]
pub(super) enum SendOutcome {
    /// The head of an answer has been received.
    Answer(Box<LiveAnswer>),
    /// The request did not run, and the target hasn't received it.
    NotDelivered(&'static str),
    /// The target answered that it did not run the request.
    NotRun(&'static str),
    /// The request may have run.
    Unknown(&'static str),
    /// The request may have run, and moves to another target; the retry for that is spent.
    Stalled,
}

/// Sends a request and waits up to `head_timeout` for the head of its answer.
pub(super) async fn send(ctx: &Ctx, job: &Job, pick: &Pick, head_timeout: Duration) -> SendOutcome {
    let counted = target_limits::record_send(ctx, &pick.boot);
    let outcome = send_counted(ctx, job, pick, head_timeout).await;
    if matches!(outcome, SendOutcome::NotDelivered(_)) && counted {
        target_limits::give_back(ctx, &pick.boot);
    }
    outcome
}

/// Sends a request that counts toward its target's limit.
async fn send_counted(ctx: &Ctx, job: &Job, pick: &Pick, head_timeout: Duration) -> SendOutcome {
    let in_flight = InFlight::new(ctx, job, pick);
    let Some(request) = build_request(ctx, job, pick) else {
        return SendOutcome::NotDelivered("unsendable");
    };
    let idle = {
        let mut fleet = ctx.fleet.borrow_mut();
        let replica = fleet.replicas.get_mut(pick.key);
        replica.and_then(|r| r.connections.take(job.route.mode.may_rerun()))
    };
    let connection = match idle {
        Some(c) => c,
        None => match connect(pick.addr).await {
            Some(c) => c,
            None => {
                let now = ctx.now();
                ctx.fleet
                    .borrow_mut()
                    .record_unreachable(now, pick.key, "unreachable");
                return SendOutcome::NotDelivered("unreachable");
            }
        },
    };
    // Another answer may have arrived while the connection was opened.
    if leaving::is_leaving(ctx, &pick.boot) || rests::left(ctx, ctx.now(), &pick.boot).is_some() {
        return SendOutcome::NotDelivered("target leaves or rests");
    }
    let (sent, mut stall) = (in_flight.sent(), Stall::default());
    let exchange = exchange(ctx, job, pick, connection, in_flight, request);
    let route = &job.route;
    let first = match stalled::may_move(job) {
        true => stall::Config::default()
            .first_wait(route.mode.is_stream(), route.latency_goal.into())
            .into(),
        false => Duration::MAX,
    };
    let watched = watch(exchange, first, || {
        stall.step(ctx, job, &sent).map(Duration::from)
    });
    match timeout(head_timeout, watched).await {
        Ok(Some(outcome)) => outcome,
        Ok(None) => SendOutcome::Stalled,
        Err(_) => SendOutcome::Unknown("silent"),
    }
}

fn build_request(ctx: &Ctx, job: &Job, pick: &Pick) -> Option<Request<Full<Bytes>>> {
    let headers = AddedHeaders {
        boot: Some(&pick.boot),
        time_left: job.time_left(ctx.now()),
        team: job.team.as_deref(),
        scope: pick.scope.as_ref(),
        weights: pick.weights,
        fetch: pick.fetch,
        save: pick.save,
        rank: job
            .prompt
            .is_some()
            .then_some(prefill_priority::rank(job.rank, pick.prefill_tokens)),
        last_event_id: job.last_event_id.as_deref(),
    };
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = replica::request_headers(&job.headers, &headers);
    Some(request)
}

/// Opens a connection to a target and keeps it for a later request; returns whether that succeeded.
pub(super) async fn reach(ctx: &Ctx, key: ReplicaKey) -> bool {
    let addr = {
        let fleet = ctx.fleet.borrow();
        fleet.replicas.get(key).map(|r| r.target.addr)
    };
    let Some(addr) = addr else {
        return false;
    };
    let Ok(Some(connection)) = timeout(REACH_TIMEOUT, connect(addr)).await else {
        return false;
    };
    if let Some(r) = ctx.fleet.borrow_mut().replicas.get_mut(key) {
        r.connections.keep(connection);
    }
    true
}

async fn connect(addr: SocketAddr) -> Option<Connection> {
    let tcp = platform::call::connect_bounded(addr).await.ok()?;
    let (send, conn) = http1::Builder::new()
        .max_buf_size(MAX_READ_BUFFER)
        .handshake(TokioIo::new(tcp))
        .await
        .ok()?;
    metrics::counter!(meter::TARGET_CONNECTIONS).increment(1);
    let task = tokio::task::spawn_local(async move {
        // The error is also returned to the request that waits for an answer on this connection.
        let _ = conn.await;
    });
    Some(Connection::new(send, task.abort_handle()))
}

async fn exchange(
    ctx: &Ctx,
    job: &Job,
    pick: &Pick,
    mut connection: Connection,
    in_flight: InFlight,
    request: Request<Full<Bytes>>,
) -> SendOutcome {
    let response = match connection.send.try_send_request(request).await {
        Ok(r) => r,
        // The request is returned if the connection ended before any byte of it was written.
        Err(mut e) => {
            return match e.take_message() {
                Some(_) => SendOutcome::NotDelivered("connection gone"),
                None => {
                    ctx.fleet.borrow_mut().record_break(pick.key);
                    SendOutcome::Unknown("connection broken")
                }
            }
        }
    };
    let head = replica::decode_answer_head(response.status(), response.headers(), &job.id);
    if !head.is_final {
        // Nothing else in it counts either.
        return SendOutcome::Unknown("no final status");
    }
    if let Some(timeout) = head.idle_timeout {
        connection.set_idle_timeout(timeout);
    }
    let is_whole = response.status().is_success() && !job.route.mode.is_stream();
    let began = is_whole.then_some(in_flight.sent_at);
    record_head(ctx, pick, job, &head, began);
    let mut rests = false;
    let misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
    // Without the right id, a misdirected answer is of another process at the address.
    if !misdirected || head.target_id.as_ref() == Some(&pick.boot.id) {
        leaving::observe(ctx, &pick.boot, &head);
        rests = rests::observe(ctx, &pick.boot, &head);
    }
    if head.matches_request && response.status() != StatusCode::MISDIRECTED_REQUEST {
        target_limits::observe(ctx, &pick.boot, &head, in_flight.sent_at);
    }
    let at_build = match response.status().is_success() {
        true => origins::confirm_build(ctx, job, pick.key, connection.opened()).await,
        false => true,
    };
    match response.status() {
        _ if !head.matches_request => SendOutcome::Unknown("another request's answer"),
        StatusCode::MISDIRECTED_REQUEST => handle_misdirected(ctx, pick, job, &head),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS if head.not_run => {
            keep_connection(ctx, pick.key, connection, &head, response).await;
            SendOutcome::NotRun(if rests { "rests" } else { "full" })
        }
        _ if !at_build => SendOutcome::Unknown("another build's answer"),
        _ => SendOutcome::Answer(Box::new(LiveAnswer {
            // Only prompts with shared parts need it.
            witness: job
                .prompt
                .as_ref()
                .filter(|p| !head.delimited && !p.shared().is_empty())
                .map(|_| Witness::open(pick.addr)),
            response,
            head,
            connection,
            in_flight,
        })),
    }
}

/// Returns the connection to the pool after an answer that isn't passed on, once its short body has
/// been read.
async fn keep_connection(
    ctx: &Ctx,
    key: ReplicaKey,
    connection: Connection,
    head: &AnswerHead,
    response: Response<Incoming>,
) {
    use http_body_util::BodyExt;
    let rest = timeout(Duration::from_millis(20), response.into_body().collect()).await;
    if matches!(rest, Ok(Ok(_))) && !head.closes {
        if let Some(r) = ctx.fleet.borrow_mut().replicas.get_mut(key) {
            r.connections.keep(connection);
        }
    }
}

/// Handles a refusal by another target at this address, or by the right target because of its
/// weights.
fn handle_misdirected(ctx: &Ctx, pick: &Pick, job: &Job, head: &AnswerHead) -> SendOutcome {
    let same = head.target_id.as_ref().is_none_or(|t| *t == pick.boot.id);
    let (Some(prompt), true) = (&job.prompt, same) else {
        ctx.fleet
            .borrow_mut()
            .record_misdirected(ctx.now(), pick.key);
        return SendOutcome::NotRun("another target has its address");
    };
    // The answer doesn't contain the target's version; the newest version is the one that the
    // target is ordered to load.
    let cluster = ctx.node.cluster.borrow();
    let newest = cluster
        .announced_weights
        .get(&prompt.model)
        .map(|n| n.newest());
    if let (Some(version), Some(r)) = (newest, ctx.fleet.borrow_mut().replicas.get_mut(pick.key)) {
        r.raise_weights(ctx.now(), &prompt.model, version);
    }
    SendOutcome::NotRun("other weights")
}

/// Records what the head of an answer says about its target, and when the request was sent, if the head
/// shows that the answer has started.
fn record_head(ctx: &Ctx, pick: &Pick, job: &Job, head: &AnswerHead, began: Option<Micros>) {
    let now = ctx.now();
    let mut fleet = ctx.fleet.borrow_mut();
    let Some(r) = fleet.replicas.get_mut(pick.key) else {
        return;
    };
    match began {
        Some(sent_at) => r.history.answer(now, sent_at),
        None => r.history.bytes(now),
    }
    if let Some(load) = head.load {
        r.load = Some((load, now));
    }
    if let (Some(version), Some(prompt)) = (head.weights, &job.prompt) {
        r.raise_weights(now, &prompt.model, version);
    }
    // Another process at the address may have answered.
    let own = head.matches_request && head.target_id.as_ref().is_none_or(|t| *t == pick.boot.id);
    if let Some(percent) = head.load.and_then(|l| l.pace).filter(|_| own) {
        fleet.with_speed(pick.key, |s, target| s.record_pace(now, target, percent));
    }
}

fn subject_id(job: &Job) -> Option<String> {
    let part = job.prompt.as_ref()?.shared().last()?;
    Some(format!("{:x}", part.id.0))
}

/// Logs and counts the sending of a request.
pub(super) fn log_send(ctx: &Ctx, job: &Job, pick: &Pick, left: Duration) {
    if let Some(age) = pick.load_age {
        meter::record_duration(meter::LOAD_AGE, age.into());
    }
    if let Some(prompt) = &job.prompt {
        let fetched = prompt
            .input_tokens
            .saturating_sub(pick.held + pick.prefill_tokens);
        meter::add(meter::PROMPT_TOKENS, "way", "held", pick.held.into());
        meter::add(
            meter::PROMPT_TOKENS,
            "way",
            "read",
            pick.prefill_tokens.into(),
        );
        meter::add(meter::PROMPT_TOKENS, "way", "fetched", fetched.into());
    }
    if let Some(speed) = pick.speed {
        let kind = match speed {
            s if s < 0.9 => "fast",
            s if s < 1.1 => "usual",
            _ => "slow",
        };
        meter::increment(meter::SPEED_CHOICES, "speed", kind);
    }
    let list_age = ctx.now().since(ctx.fleet.borrow().list_confirmed_at);
    meter::record_duration(meter::LIST_AGE, list_age.into());
    log::event(&Event::Sent {
        request: &job.id,
        target: &pick.boot.id,
        build: &pick.build,
        resumes: job.resumes.as_deref(),
        attempt: job.send_count,
        estimate_ms: pick.estimate,
        subject: subject_id(job),
        held: pick.held,
        read: pick.prefill_tokens,
        cold: pick.shared_prefill_tokens,
        fetch: pick.fetch.map(|a| a.to_string()),
        left_ms: left.as_millis() as u64,
        weights: pick.weights,
        age_ms: pick.load_age.map(model::Micros::as_millis),
        list_ms: list_age.as_millis(),
        speed: pick.speed,
    });
}
