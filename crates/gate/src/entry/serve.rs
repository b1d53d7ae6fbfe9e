//! A caller's request from its head to its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use model::Micros;
use platform::caller::{self, Head};
use platform::replica;
use policy::quarantine::Fingerprint;
use policy::shared::Need;
use rand::Rng;
use rules::Facts;
use site::{Mode, Plan, Route};
use thiserror::Error;
use tokio::time::{sleep, timeout};

use super::listen::Watch;
use super::pick::{self, Pick};
use super::refuse::{self, Reason};
use super::relay;
use super::request::{Answer, Job};
use super::send::{self, Live, Sent};
use super::{suspects, Ctx};
use crate::log::{self, Event};
use crate::meter;

/// How long past the time of its route a request waits for a replica's own last word.
pub(super) const LAST_WORD: Duration = Duration::from_millis(100);
/// Largest answer that is collected before it is passed on; plain services answer with kilobytes.
const LARGEST: usize = 4 << 20;
/// Part of the aim after which an idempotent request is sent to another target; usual work takes a
/// fifth of the aim, and the second target needs time too.
const PATIENCE: f64 = 0.6;
/// Time beyond twice its estimate after which a resumable stream without an event goes to another
/// replica. A replica that is only slow must keep it: at 0.6 s in all, four in ten of the streams of
/// a fleet with a quarter of its engines dark were begun twice, which doubled the load of the rest.
const STREAM_PATIENCE: Duration = Duration::from_millis(1_200);
/// Longest time from a process's start in which requests wait for what it doesn't know yet; a slow
/// store answers its two calls within it.
const START: Micros = Micros::from_millis(400);
/// Pause between two looks whether it is known.
const LOOK: Duration = Duration::from_millis(5);
/// Shortest time in which a target can answer anything.
const LEAST: Duration = Duration::from_millis(5);

/// Why a connection ends without an answer: the request never came in whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the request was cut short")]
pub(super) struct Torn;

/// Answers a request.
pub(super) async fn serve(
    ctx: Ctx,
    watch: Rc<Watch>,
    request: Request<Incoming>,
) -> Result<Response<Answer>, Torn> {
    let came = ctx.now();
    let (parts, body) = request.into_parts();
    let head = match caller::head(&parts) {
        Ok(h) => h,
        Err(_) => return Ok(refuse::early(&ctx, &watch, "", came, Reason::Malformed)),
    };
    let chunked = head.chunked;
    let id = head.id.clone();
    know(&ctx).await;
    let mut response = match prepare(&ctx, came, parts, head) {
        Err(reason) => refuse::early(&ctx, &watch, &id, came, reason),
        Ok((plan, mut job)) => match read(&plan, body).await {
            Err(ReadError::Torn) => return Err(Torn),
            Err(ReadError::Large) => refuse::job(&ctx, &watch, &job, Reason::TooLarge),
            Ok(body) => {
                job.body = body;
                job.print = suspects::print(&job);
                answer(&ctx, &watch, job).await
            }
        },
    };
    // After a body without a stated length, what follows might be a second reading of that body.
    if chunked || ctx.node.stopping.get() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

/// Waits until a process that has just started knows its configuration and targets. It takes some tens
/// of milliseconds; a caller who is refused meanwhile comes back after several times that. Fifty callers
/// were refused so when six entries started at once under 100 requests a second.
async fn know(ctx: &Ctx) {
    while ctx.now() < START && (ctx.node.plan().is_none() || !ctx.list.read()) {
        sleep(LOOK).await;
    }
}

/// Why a body isn't there.
enum ReadError {
    Torn,
    Large,
}

async fn read(plan: &Plan, body: Incoming) -> Result<Bytes, ReadError> {
    let limited = Limited::new(body, plan.limits().body);
    match limited.collect().await {
        Ok(b) => Ok(b.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(ReadError::Large),
        Err(_) => Err(ReadError::Torn),
    }
}

/// Finds a request's route and team.
fn prepare(ctx: &Ctx, came: Micros, parts: Parts, head: Head) -> Result<(Rc<Plan>, Job), Reason> {
    if ctx.closing.get() {
        return Err(Reason::Stopping);
    }
    let plan = ctx.node.plan().ok_or(Reason::Unconfigured)?;
    let mut facts = Facts {
        method: parts.method.as_str().to_owned(),
        path: parts.uri.path().to_owned(),
        ..Facts::default()
    };
    facts.headers.insert("host".to_owned(), head.host);
    let route = plan.route(&facts).ok_or(Reason::NoRoute)?.clone();
    let key = head.key.as_ref().and_then(|k| plan.team(k));
    let team = match key {
        Some(team) => Some(team.to_owned()),
        None if route.open || !plan.keyed() => None,
        None => return Err(Reason::NoKey),
    };
    let tenancy = team.as_ref().map(|t| plan.tenancy(t)).unwrap_or_default();
    let wait = head.deadline.unwrap_or(route.timeout).min(route.timeout);
    let job = Job {
        id: head.id,
        version: plan.version(),
        pool: share(&route).ok_or(Reason::NoTarget)?,
        walled: tenancy.walled,
        rank: tenancy.rank.unwrap_or(route.rank),
        team,
        prompt: head.prompt,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body: Bytes::new(),
        print: Fingerprint::default(),
        resume: head.resume,
        came,
        deadline: came + wait.into(),
        tried: Vec::new(),
        sends: 0,
        runs: 0,
        route: Rc::new(route),
    };
    Ok((plan, job))
}

/// Draws the pool by the shares' weights.
fn share(route: &Route) -> Option<String> {
    let total: f64 = route.shares.iter().map(|s| s.weight.max(0.0)).sum();
    let mut drawn = rand::rng().random_range(0.0..1.0) * total;
    let hit = route.shares.iter().find(|s| {
        drawn -= s.weight.max(0.0);
        drawn < 0.0
    });
    hit.or(route.shares.last()).map(|s| s.pool.clone())
}

/// Sends a job until a target answers it or nothing more can be done.
async fn answer(ctx: &Ctx, watch: &Rc<Watch>, mut job: Job) -> Response<Answer> {
    ctx.budget(&job.pool, |b| b.request(ctx.now()));
    meter::span(meter::WAITING, ctx.now().since(job.came).into());
    match first_answer(ctx, &mut job).await {
        Ok(Found::Stream(live)) => {
            told(ctx, &job, live.response.status());
            relay::relay(ctx, watch, job, *live)
        }
        Ok(Found::Whole(response)) => {
            told(ctx, &job, response.status());
            meter::span(meter::WHOLE, ctx.now().since(job.came).into());
            let (parts, body) = response.into_parts();
            let body = Full::new(body).map_err(|e| match e {});
            Response::from_parts(parts, Answer::new(body, Rc::clone(watch)))
        }
        Err(reason) => refuse::job(ctx, watch, &job, reason),
    }
}

fn told(ctx: &Ctx, job: &Job, status: StatusCode) {
    let after = ctx.now().since(job.came);
    meter::span(meter::HEAD, after.into());
    let class = match status.as_u16() {
        200..300 => "2xx",
        300..500 => "4xx",
        _ => "5xx",
    };
    meter::count(meter::ANSWERS, "status", class);
    log::event(&Event::Answered {
        request: &job.id,
        route: &job.route.name,
        team: job.team.as_deref().unwrap_or_default(),
        status: status.as_u16(),
        attempts: job.sends,
        head_ms: after.as_millis(),
    });
}

/// An answer to pass on.
enum Found {
    /// A stream, event by event.
    Stream(Box<Live>),
    /// A whole answer.
    Whole(Response<Bytes>),
}

/// How one try ended.
enum Tried {
    Found(Found),
    /// It did not run, and the target may not even have seen it.
    NotRun {
        seen: bool,
        reason: &'static str,
    },
    /// It may have run; what the target answered, if it did.
    Ran {
        reason: &'static str,
        answer: Option<Response<Bytes>>,
    },
}

async fn first_answer(ctx: &Ctx, job: &mut Job) -> Result<Found, Reason> {
    let mut last: Option<Response<Bytes>> = None;
    loop {
        let plan = ctx.node.plan().ok_or(Reason::Unconfigured)?;
        if job.left(ctx.now()) < LEAST {
            return last.map(Found::Whole).ok_or(over(job));
        }
        if !suspects::may_run(ctx, job) {
            return Err(convicted(ctx, job));
        }
        let pick = match pick::pick(ctx, &plan, job) {
            Ok(p) => p,
            Err(reason) if job.runs == 0 => return Err(reason),
            Err(_) => return last.map(Found::Whole).ok_or(Reason::Unknown),
        };
        let tried = once(ctx, job, &pick).await;
        let mut status = None;
        let (seen, ran, reason) = match tried {
            Tried::Found(found) => return Ok(found),
            Tried::NotRun { seen, reason } => (seen, false, reason),
            Tried::Ran { reason, answer } => {
                job.runs += 1;
                status = answer.as_ref().map(Response::status);
                last = answer.or(last);
                (true, true, reason)
            }
        };
        failed(job, &pick, reason, status, ran);
        if !again(ctx, job, seen, ran) {
            let reason = match job.runs {
                0 => Reason::NotRun,
                _ if job.left(ctx.now()) < LEAST => Reason::Overdue,
                _ => Reason::Unknown,
            };
            return last.map(Found::Whole).ok_or(reason);
        }
    }
}

fn convicted(ctx: &Ctx, job: &Job) -> Reason {
    match job.runs {
        0 => Reason::Quarantined {
            left: suspects::left(ctx, job),
        },
        _ => Reason::Unknown,
    }
}

fn over(job: &Job) -> Reason {
    match job.runs {
        0 => Reason::Expired,
        _ => Reason::Overdue,
    }
}

fn failed(job: &Job, pick: &Pick, reason: &'static str, status: Option<StatusCode>, ran: bool) {
    meter::count(meter::FAILED_TRIES, "reason", reason);
    log::event(&Event::Tried {
        request: &job.id,
        target: &pick.boot.id,
        attempt: job.sends,
        reason,
        status: status.map(|s| s.as_u16()),
        ran,
    });
}

/// Whether a job may be sent once more.
fn again(ctx: &Ctx, job: &Job, seen: bool, ran: bool) -> bool {
    let harmless = !ran || matches!(job.route.mode, Mode::Idempotent | Mode::Resumable);
    let allowed = harmless && job.may_run() && job.left(ctx.now()) >= LEAST;
    // What no target has seen costs the pool nothing.
    let need = match job.runs {
        0 => Need::NotRun,
        _ => Need::HasRun,
    };
    allowed && (!seen || ctx.budget(&job.pool, |b| b.spend(ctx.now(), need)))
}

/// How long a try may go without an answer's head.
fn patience(ctx: &Ctx, job: &Job, pick: &Pick) -> Duration {
    let end = job.left(ctx.now()) + LAST_WORD;
    let more = job.runs + 1 < job.route.attempts;
    match job.route.mode {
        Mode::Idempotent if more => job.route.aim.mul_f64(PATIENCE).min(end),
        Mode::Resumable if more => {
            let estimate = Duration::from_secs_f64(pick.estimate.clamp(0.0, 60_000.0) / 1e3);
            (STREAM_PATIENCE + estimate * 2).min(end)
        }
        _ => end,
    }
}

async fn once(ctx: &Ctx, job: &mut Job, pick: &Pick) -> Tried {
    job.tried.push(pick.key);
    job.sends += 1;
    let began = ctx.now();
    send::tell(job, pick, job.left(began));
    let sent = send::send(ctx, job, pick, patience(ctx, job, pick)).await;
    let now = ctx.now();
    match sent {
        Sent::Answer(live) => take(ctx, job, *live).await,
        Sent::Unseen(reason) => Tried::NotRun {
            seen: false,
            reason,
        },
        Sent::NotRun(reason) => {
            if reason == "full" {
                ctx.fleet.borrow_mut().bad(now, pick.key, reason);
            }
            Tried::NotRun { seen: true, reason }
        }
        Sent::Unknown(reason) => {
            ctx.fleet.borrow_mut().bad(now, pick.key, reason);
            suspects::broke(ctx, job, &pick.boot, began);
            Tried::Ran {
                reason,
                answer: None,
            }
        }
    }
}

/// Takes an answer whose head is there.
async fn take(ctx: &Ctx, job: &Job, live: Live) -> Tried {
    let status = live.response.status();
    let good = status.is_success();
    let key = live.place.key();
    if good && (!live.told.signed || live.told.encoded) {
        ctx.fleet.borrow_mut().bad(ctx.now(), key, "spoiled answer");
        return Tried::Ran {
            reason: "spoiled answer",
            answer: None,
        };
    }
    if good && job.route.mode.streams() {
        return Tried::Found(Found::Stream(Box::new(live)));
    }
    let left = job.left(ctx.now()) + LAST_WORD;
    let unrun = live.told.unrun;
    let (boot, sent) = (live.place.boot.clone(), live.place.sent);
    let whole = match timeout(left, collect(ctx, live)).await {
        Ok(Some(w)) => w,
        _ => {
            ctx.fleet.borrow_mut().bad(ctx.now(), key, "cut answer");
            suspects::broke(ctx, job, &boot, sent);
            return Tried::Ran {
                reason: "cut answer",
                answer: None,
            };
        }
    };
    match good || status.is_client_error() {
        true => {
            ctx.fleet.borrow_mut().good(key);
            suspects::served(ctx, job);
        }
        false => ctx.fleet.borrow_mut().bad(ctx.now(), key, "error answer"),
    }
    match status {
        // These promise that nothing ran, which only the target can know.
        StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::REQUEST_TIMEOUT
            if !unrun =>
        {
            Tried::Ran {
                reason: "refusal without a promise",
                answer: None,
            }
        }
        s if s.is_server_error() => Tried::Ran {
            reason: "error answer",
            answer: Some(whole),
        },
        _ => Tried::Found(Found::Whole(whole)),
    }
}

/// Collects a whole answer and keeps its connection.
async fn collect(ctx: &Ctx, live: Live) -> Option<Response<Bytes>> {
    let Live {
        response,
        told,
        upstream,
        place,
    } = live;
    let (mut parts, body) = response.into_parts();
    let body = Limited::new(body, LARGEST).collect().await.ok()?.to_bytes();
    if !told.closes {
        if let Some(r) = ctx.fleet.borrow_mut().replicas.get_mut(place.key()) {
            r.idle.keep(upstream);
        }
    }
    parts.headers = replica::answer_headers(&parts.headers);
    Some(Response::from_parts(parts, body))
}
