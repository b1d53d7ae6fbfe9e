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
use policy::quarantine::Fingerprint;
use rand::Rng;
use rules::Facts;
use site::{Plan, Route};
use thiserror::Error;
use tokio::time::sleep;

use super::listen::Watch;
use super::refuse::{self, Reason};
use super::relay;
use super::request::{Answer, Job};
use super::tries::{self, Found};
use super::{suspects, Ctx};
use crate::log::{self, Event};
use crate::meter;

/// Longest time from a process's start in which requests wait for what it doesn't know yet; a slow
/// store answers its two calls within it.
const START: Micros = Micros::from_millis(400);
/// Pause between two looks whether it is known.
const LOOK: Duration = Duration::from_millis(5);

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
    let head = match caller::decode_request_head(&parts) {
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
    let limited = Limited::new(body, plan.limits().max_body);
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
        None if route.anonymous || !plan.requires_key() => None,
        None => return Err(Reason::NoKey),
    };
    let tenancy = team.as_ref().map(|t| plan.tenancy(t)).unwrap_or_default();
    let wait = head.deadline.unwrap_or(route.timeout).min(route.timeout);
    let job = Job {
        id: head.id,
        version: plan.version(),
        pool: share(&route).ok_or(Reason::NoTarget)?,
        walled: tenancy.isolated,
        rank: tenancy.rank.unwrap_or(route.rank),
        team,
        prompt: head.prompt,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body: Bytes::new(),
        print: Fingerprint::default(),
        resume: head.last_event_id,
        came,
        deadline: came + wait.into(),
        tried: Vec::new(),
        refused: Vec::new(),
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
    ctx.budget(&job.pool, |b| b.record_request(ctx.now()));
    meter::record_duration(meter::WAITING, ctx.now().since(job.came).into());
    match tries::first_answer(ctx, &mut job).await {
        Ok(Found::Stream(live)) => {
            told(ctx, &job, live.response.status());
            relay::relay(ctx, watch, job, *live)
        }
        Ok(Found::Whole(response)) => {
            told(ctx, &job, response.status());
            meter::record_duration(meter::ANSWER_END, ctx.now().since(job.came).into());
            let (parts, body) = response.into_parts();
            let body = Full::new(body).map_err(|e| match e {});
            Response::from_parts(parts, Answer::new(body, Rc::clone(watch)))
        }
        Err(reason) => refuse::job(ctx, watch, &job, reason),
    }
}

fn told(ctx: &Ctx, job: &Job, status: StatusCode) {
    let after = ctx.now().since(job.came);
    meter::record_duration(meter::ANSWER_HEAD, after.into());
    let class = match status.as_u16() {
        200..300 => "2xx",
        300..500 => "4xx",
        _ => "5xx",
    };
    meter::increment(meter::ANSWERS, "status", class);
    log::event(&Event::Answered {
        request: &job.id,
        route: &job.route.name,
        team: job.team.as_deref().unwrap_or_default(),
        status: status.as_u16(),
        attempts: job.sends,
        head_ms: after.as_millis(),
    });
}
