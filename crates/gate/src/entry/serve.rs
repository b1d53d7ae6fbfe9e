//! Handling of a caller's request, from its head to the head of its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, EXPECT};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use model::Micros;
use overload::body::{collect, discard, BodyError};
use overload::Connection;
use platform::caller::{self, Head};
use policy::quarantine::Fingerprint;
use rand::Rng;
use rules::Facts;
use site::{Plan, Route};
use thiserror::Error;
use tokio::time::sleep;

use super::attempts::{self, FirstAnswer};
use super::limits::{self, Charge};
use super::origins::{self, Origin};
use super::refuse::{self, Reason};
use super::relay;
use super::request::{AnswerBody, Job};
use super::{pass_through, room, suspects, Ctx};
use crate::log::{self, Event};
use crate::meter;

/// Time after the process's start up to which requests wait for a configuration and a list of
/// targets; a slow store answers both calls within that time.
pub(super) const MAX_STARTUP_WAIT: Micros = Micros::from_millis(400);
/// Interval between checks for a configuration and a list of targets during startup.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A request whose body never arrived completely; its connection is closed without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the request was cut short")]
pub(super) struct IncompleteRequest;

/// Handles a request and returns its answer.
pub(super) async fn serve(
    ctx: Ctx,
    connection: Connection,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, IncompleteRequest> {
    let received_at = ctx.now();
    let (parts, mut body) = request.into_parts();
    // A caller that waits for permission to send its body needs the answer instead.
    let sends_body = !parts.headers.contains_key(EXPECT);
    let head = match caller::decode_request_head(&parts) {
        Ok(h) => h,
        Err(_) => {
            return Ok(refuse::without_job(
                &ctx,
                &connection,
                "",
                received_at,
                Reason::Malformed,
            ))
        }
    };
    let chunked = head.chunked;
    let id = head.id.clone();
    wait_for_startup(&ctx).await;
    let mut response = match prepare(&ctx, &connection, received_at, parts, head) {
        Err(reason) => {
            if sends_body {
                discard(&connection, &mut body).await;
            }
            refuse::without_job(&ctx, &connection, &id, received_at, reason)
        }
        Ok((plan, mut job)) => {
            connection.keep_for(job.gives_up.since(received_at).into());
            let (max, time) = (plan.limits().max_body, job.time_left(ctx.now()));
            match collect(&connection, &mut body, max, time).await {
                Ok(body) => {
                    job.body = body;
                    job.fingerprint = suspects::fingerprint(&job);
                    answer(&ctx, &connection, job).await
                }
                Err(BodyError::Incomplete) => return Err(IncompleteRequest),
                Err(error) => {
                    let reason = match error {
                        BodyError::TooLong => Reason::TooLarge,
                        BodyError::Late => Reason::LateBody,
                        BodyError::Full | BodyError::Incomplete => Reason::NoMemory,
                    };
                    if sends_body && reason != Reason::LateBody {
                        discard(&connection, &mut body).await;
                    }
                    refuse::job(&ctx, &connection, &job, reason)
                }
            }
        }
    };
    // After a body of unstated length, the bytes that follow might be read as another request
    // although they belong to that body, so the connection is closed.
    if chunked || ctx.node.stopping.get() || connection.is_pressed() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

/// Waits until a process that has just started has a configuration and a list of targets. That
/// takes some tens of milliseconds, and a caller that is refused meanwhile returns only after
/// several times as long: fifty callers were refused when six entries started at once under 100
/// requests a second.
async fn wait_for_startup(ctx: &Ctx) {
    while ctx.now() < MAX_STARTUP_WAIT && (ctx.node.plan().is_none() || !ctx.list.is_read()) {
        sleep(POLL_INTERVAL).await;
    }
}

/// Determines a request's route and team, and creates its job.
fn prepare(
    ctx: &Ctx,
    connection: &Connection,
    received_at: Micros,
    parts: Parts,
    head: Head,
) -> Result<(Rc<Plan>, Job), Reason> {
    if *ctx.closing.borrow() {
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
    connection.set_team(team.as_deref());
    let memory = connection.charge_request().map_err(|_| Reason::NoMemory)?;
    let tenancy = team.as_ref().map(|t| plan.tenancy(t)).unwrap_or_default();
    let charge = team.as_ref().zip(tenancy.limit);
    let charge = charge.map(|(t, limit)| Charge::new(ctx, t, limit.units(head.tokens)));
    let wait = head.deadline.unwrap_or(route.timeout).min(route.timeout);
    let job = Job {
        id: head.id,
        version: plan.version(),
        pool: draw_pool(&route).ok_or(Reason::NoTarget)?,
        isolated: tenancy.isolated,
        rank: tenancy.rank.unwrap_or(route.rank),
        team,
        charge,
        prompt: head.prompt,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        connection: connection.clone(),
        _memory: memory,
        body: Bytes::new(),
        fingerprint: Fingerprint::default(),
        last_event_id: head.last_event_id,
        resumes: head.resumes,
        origin: Origin::default(),
        gives_up: received_at + head.deadline.unwrap_or(route.timeout).into(),
        received_at,
        deadline: received_at + wait.into(),
        attempted: Vec::new(),
        refused_by: Vec::new(),
        has_retry: false,
        send_count: 0,
        run_count: 0,
        route: Rc::new(route),
    };
    Ok((plan, job))
}

/// Draws a pool at random by the weights of the route's shares.
fn draw_pool(route: &Route) -> Option<String> {
    let total: f64 = route.shares.iter().map(|s| s.weight.max(0.0)).sum();
    let mut drawn = rand::rng().random_range(0.0..1.0) * total;
    let hit = route.shares.iter().find(|s| {
        drawn -= s.weight.max(0.0);
        drawn < 0.0
    });
    hit.or(route.shares.last()).map(|s| s.pool.clone())
}

/// Runs a job and returns its answer, or a refusal if no target answers it.
async fn answer(ctx: &Ctx, connection: &Connection, mut job: Job) -> Response<AnswerBody> {
    ctx.retry_budget(&job.pool, |b| b.record_request(ctx.now()));
    if let Err(refusal) = limits::admit(&mut job, ctx.now()) {
        return refuse::job(ctx, connection, &job, Reason::OverLimit(refusal));
    }
    if let Err(reason) = origins::resolve(ctx, &mut job).await {
        return refuse::job(ctx, connection, &job, reason);
    }
    meter::record_duration(meter::WAITING, ctx.now().since(job.received_at).into());
    let mut exiting = ctx.exiting.subscribe();
    let first = tokio::select! {
        biased;
        first = attempts::first_answer(ctx, &mut job) => Some(first),
        _ = exiting.wait_for(|e| *e) => None,
    };
    let given_up = match job.send_count {
        0 => Reason::Stopping,
        _ => Reason::Unknown,
    };
    match first.unwrap_or(Err(given_up)) {
        Ok(FirstAnswer::Stream(live)) => {
            record_answer(ctx, &job, live.response.status());
            relay::relay(ctx, connection, job, *live)
        }
        Ok(FirstAnswer::Whole(response)) => {
            record_answer(ctx, &job, response.status());
            if response.status().is_success() {
                room::record_first_event(ctx, &job);
                ctx.record_duration(&job);
            }
            meter::record_duration(meter::ANSWER_END, ctx.now().since(job.received_at).into());
            let (parts, body) = response.into_parts();
            let body = Full::new(body).map_err(|e| match e {});
            Response::from_parts(parts, AnswerBody::new(body, connection.clone()))
        }
        Ok(FirstAnswer::Long(live)) => {
            record_answer(ctx, &job, live.response.status());
            pass_through::pass_through(ctx, connection, job, *live)
        }
        Err(reason) => refuse::job(ctx, connection, &job, reason),
    }
}

fn record_answer(ctx: &Ctx, job: &Job, status: StatusCode) {
    let after = ctx.now().since(job.received_at);
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
        attempts: job.send_count,
        head_ms: after.as_millis(),
    });
}
