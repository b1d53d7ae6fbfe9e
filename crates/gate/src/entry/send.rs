//! One sending of a request to a target, up to the head of its answer.

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
use policy::prefill_priority;
use policy::quarantine::Verdict;
use site::{Boot, Part};
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::fleet::Key;
use super::idle::Upstream;
use super::pick::Pick;
use super::request::Job;
use super::{suspects, Ctx};
use crate::agent::AgentId;
use crate::log::{self, Event};
use crate::meter;
use crate::update::PromptNote;

/// A request's place at a target; freed with this value.
#[derive(Debug)]
pub(super) struct Place {
    ctx: Ctx,
    key: Key,
    /// The target's agent, if it has been received, and the key of the request that was reported to it.
    told: Option<(AgentId, u64)>,
    /// Tokens that the target has yet to read; none once it has.
    unread: Option<u32>,
    /// Parts that it is expected to hold, and their scope.
    expected: Option<(u64, Vec<Part>)>,
    /// Tokens that an idle engine reads for the first event, if that is to be learnt from.
    pub(super) alone: Option<u32>,
    /// Whether the request is suspected of crashing targets.
    suspect: bool,
    /// The target's life.
    pub(super) boot: Boot,
    /// When the request was sent there.
    pub(super) sent: Micros,
}

impl Place {
    fn new(ctx: &Ctx, job: &Job, pick: &Pick) -> Self {
        let now = ctx.now();
        let expected = match (&job.prompt, &pick.scope) {
            (Some(p), Some(s)) => Some((s.key(), p.shared().to_vec())),
            _ => None,
        };
        let suspect = suspects::verdict(ctx, job) == Verdict::Suspect;
        let mut fleet = ctx.fleet.borrow_mut();
        let mut told = None;
        if let Some(r) = fleet.replicas.get_mut(pick.key) {
            r.send(now, pick.read);
            r.suspects += u32::from(suspect);
            let request = xxh3_64(job.id.as_bytes());
            let agent = r.heard.map(|h| (h.agent, request));
            told = agent.filter(|_| expected.is_some());
            if let Some((scope, parts)) = &expected {
                r.expect(now, *scope, parts);
            }
        }
        drop(fleet);
        if let Some(prompt) = &job.prompt {
            let reading = f64::from(pick.read) * ctx.prefill_rate(&job.pool, |p| p.ms_per_token());
            ctx.work.borrow_mut().add(now, prompt.input_tokens, reading);
        }
        if let Some((agent, request)) = told {
            let note = PromptNote {
                request,
                tokens: Some(pick.read),
            };
            ctx.report_prompt(agent, note);
        }
        if let (Some((_, parts)), Some(scope)) = (&expected, pick.scope.as_ref()) {
            if pick.cold > 0 {
                ctx.tell_expected(pick.addr, scope, parts);
            }
        }
        Self {
            ctx: Rc::clone(ctx),
            key: pick.key,
            told,
            unread: Some(pick.read),
            expected,
            alone: pick.idle.then_some(pick.read),
            suspect,
            boot: pick.boot.clone(),
            sent: now,
        }
    }

    /// The target.
    pub(super) fn key(&self) -> Key {
        self.key
    }

    /// Notes that the target has read the prompt.
    pub(super) fn read(&mut self) {
        self.settle(true);
    }

    fn settle(&mut self, done: bool) {
        let Some(unread) = self.unread.take() else {
            return;
        };
        if let Some(r) = self.ctx.fleet.borrow_mut().replicas.get_mut(self.key) {
            r.unread = r.unread.saturating_sub(unread);
            if let Some((scope, parts)) = &self.expected {
                r.settle(*scope, parts, done);
            }
        }
        self.expected = None;
        if let Some((agent, request)) = self.told.take() {
            let note = PromptNote {
                request,
                tokens: None,
            };
            self.ctx.report_prompt(agent, note);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.settle(false);
        if let Some(r) = self.ctx.fleet.borrow_mut().replicas.get_mut(self.key) {
            r.inflight = r.inflight.saturating_sub(1);
            r.suspects -= u32::from(self.suspect);
        }
    }
}

/// An answer whose head has come.
#[derive(Debug)]
pub(super) struct Live {
    /// The answer.
    pub(super) response: Response<Incoming>,
    /// What its head tells.
    pub(super) told: AnswerHead,
    /// The connection that it comes on.
    pub(super) upstream: Upstream,
    /// The request's place at the target.
    pub(super) place: Place,
}

/// What became of a sending.
#[derive(Debug)]
pub(super) enum Sent {
    /// The head of an answer has come.
    Answer(Box<Live>),
    /// The request did not run, and the target has not even seen it.
    Unseen(&'static str),
    /// The target says that it did not run the request.
    NotRun(&'static str),
    /// The request may have run.
    Unknown(&'static str),
}

/// Sends a request and waits for the head of its answer.
pub(super) async fn send(ctx: &Ctx, job: &Job, pick: &Pick, patience: Duration) -> Sent {
    let place = Place::new(ctx, job, pick);
    let Some(request) = request(ctx, job, pick) else {
        return Sent::Unseen("unsendable");
    };
    let kept = {
        let mut fleet = ctx.fleet.borrow_mut();
        let replica = fleet.replicas.get_mut(pick.key);
        replica.and_then(|r| r.idle.take(!job.route.mode.is_repeatable()))
    };
    let upstream = match kept {
        Some(u) => u,
        None => match open(pick).await {
            Some(u) => u,
            None => {
                let now = ctx.now();
                ctx.fleet
                    .borrow_mut()
                    .unreachable(now, pick.key, "unreachable");
                return Sent::Unseen("unreachable");
            }
        },
    };
    match timeout(patience, exchange(ctx, job, pick, upstream, place, request)).await {
        Ok(sent) => sent,
        Err(_) => Sent::Unknown("silent"),
    }
}

fn request(ctx: &Ctx, job: &Job, pick: &Pick) -> Option<Request<Full<Bytes>>> {
    let terms = AddedHeaders {
        boot: Some(&pick.boot),
        time_left: job.left(ctx.now()),
        team: job.team.as_deref(),
        scope: pick.scope.as_ref(),
        weights: pick.weights,
        fetch: pick.fetch,
        save: pick.save,
        rank: job
            .prompt
            .is_some()
            .then_some(prefill_priority::rank(job.rank, pick.read)),
        last_event_id: job.resume.as_deref(),
    };
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = replica::request_headers(&job.headers, &terms);
    Some(request)
}

async fn open(pick: &Pick) -> Option<Upstream> {
    let tcp = platform::call::connect(pick.addr).await.ok()?;
    let (send, conn) = http1::handshake(TokioIo::new(tcp)).await.ok()?;
    metrics::counter!(meter::TARGET_CONNECTIONS).increment(1);
    let task = tokio::task::spawn_local(async move {
        // The error reaches whoever waits for an answer on this connection.
        let _ = conn.await;
    });
    Some(Upstream::new(send, task.abort_handle()))
}

async fn exchange(
    ctx: &Ctx,
    job: &Job,
    pick: &Pick,
    mut upstream: Upstream,
    place: Place,
    request: Request<Full<Bytes>>,
) -> Sent {
    let response = match upstream.send.try_send_request(request).await {
        Ok(r) => r,
        // The request comes back if the connection ended before anything of it was written.
        Err(mut e) => {
            return match e.take_message() {
                Some(_) => Sent::Unseen("connection gone"),
                None => Sent::Unknown("connection broken"),
            }
        }
    };
    let told = replica::decode_answer_head(response.status(), response.headers(), &job.id);
    if let Some(limit) = told.idle_timeout {
        upstream.limit(limit);
    }
    note(ctx, pick, job, &told);
    match response.status() {
        _ if !told.matches_request => Sent::Unknown("another request's answer"),
        StatusCode::MISDIRECTED_REQUEST => misdirected(ctx, pick, job, &told),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS if told.not_run => {
            keep(ctx, pick.key, upstream, &told, response).await;
            Sent::NotRun("full")
        }
        _ => Sent::Answer(Box::new(Live {
            response,
            told,
            upstream,
            place,
        })),
    }
}

/// Keeps the connection of an answer that isn't passed on, once its short body is in.
async fn keep(
    ctx: &Ctx,
    key: Key,
    upstream: Upstream,
    told: &AnswerHead,
    response: Response<Incoming>,
) {
    use http_body_util::BodyExt;
    let rest = timeout(Duration::from_millis(20), response.into_body().collect()).await;
    if matches!(rest, Ok(Ok(_))) && !told.closes {
        if let Some(r) = ctx.fleet.borrow_mut().replicas.get_mut(key) {
            r.idle.keep(upstream);
        }
    }
}

/// A refusal by another target at the address, or by the right one with other weights.
fn misdirected(ctx: &Ctx, pick: &Pick, job: &Job, told: &AnswerHead) -> Sent {
    let same = told.target_id.as_ref().is_none_or(|t| *t == pick.boot.id);
    let (Some(prompt), true) = (&job.prompt, same) else {
        ctx.fleet.borrow_mut().replaced(ctx.now(), pick.key);
        return Sent::NotRun("another target has its address");
    };
    // It doesn't say which weights it has; the newest ones are what it is ordered to load.
    let cluster = ctx.node.cluster.borrow();
    let named = cluster
        .announced_weights
        .get(&prompt.model)
        .map(|n| n.newest());
    if let (Some(version), Some(r)) = (named, ctx.fleet.borrow_mut().replicas.get_mut(pick.key)) {
        r.loaded(ctx.now(), &prompt.model, version);
    }
    Sent::NotRun("other weights")
}

/// Takes over what an answer's head tells of its target.
fn note(ctx: &Ctx, pick: &Pick, job: &Job, told: &AnswerHead) {
    let now = ctx.now();
    let mut fleet = ctx.fleet.borrow_mut();
    let Some(r) = fleet.replicas.get_mut(pick.key) else {
        return;
    };
    if let Some(load) = told.load {
        r.load = Some((load, now));
    }
    if let (Some(version), Some(prompt)) = (told.weights, &job.prompt) {
        r.loaded(now, &prompt.model, version);
    }
}

fn subject(job: &Job) -> Option<String> {
    let part = job.prompt.as_ref()?.shared().last()?;
    Some(format!("{:x}", part.id.0))
}

/// Tells of a sending.
pub(super) fn tell(ctx: &Ctx, job: &Job, pick: &Pick, left: Duration) {
    if let Some(age) = pick.age {
        meter::record_duration(meter::LOAD_AGE, age.into());
    }
    if let Some(prompt) = &job.prompt {
        let fetched = prompt.input_tokens.saturating_sub(pick.held + pick.read);
        meter::add(meter::PROMPT_TOKENS, "way", "held", pick.held.into());
        meter::add(meter::PROMPT_TOKENS, "way", "read", pick.read.into());
        meter::add(meter::PROMPT_TOKENS, "way", "fetched", fetched.into());
    }
    let listed = ctx.now().since(ctx.fleet.borrow().listed);
    meter::record_duration(meter::LIST_AGE, listed.into());
    log::event(&Event::Sent {
        request: &job.id,
        target: &pick.boot.id,
        attempt: job.sends,
        estimate_ms: pick.estimate,
        subject: subject(job),
        held: pick.held,
        read: pick.read,
        cold: pick.cold,
        fetch: pick.fetch.map(|a| a.to_string()),
        left_ms: left.as_millis() as u64,
        weights: pick.weights,
        age_ms: pick.age.map(model::Micros::as_millis),
        list_ms: listed.as_millis(),
    });
}
