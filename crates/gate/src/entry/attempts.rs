//! The tries at a job, up to an answer to pass on.
//!
//! What has run is tried again only if that does no harm; what ran nowhere is tried again as long as
//! there is time. Tries that targets have seen come out of the pool's budget.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Response, StatusCode};
use model::Micros;
use platform::replica;
use policy::loading::RemainingLoad;
use policy::retry_budget::RetryReason;
use site::{Boot, Mode};
use tokio::time::{sleep, timeout};

use super::pick::{self, Pick};
use super::refuse::Reason;
use super::request::Job;
use super::send::{self, LiveAnswer, SendOutcome};
use super::{suspects, Ctx};
use crate::log::{self, Event};
use crate::meter;

/// How long past the time of its route a request waits for a replica's own last word.
pub(super) const ANSWER_GRACE: Duration = Duration::from_millis(100);
/// Largest answer that is collected before it is passed on; plain services answer with kilobytes.
const MAX_ANSWER: usize = 4 << 20;
/// Part of the aim after which an idempotent request is sent to another target; usual work takes a
/// fifth of the aim, and the second target needs time too.
const IDEMPOTENT_SHARE: f64 = 0.6;
/// Time beyond twice its estimate after which a resumable stream without an event goes to another
/// replica. A replica that is only slow must keep it: at 0.6 s in all, four in ten of the streams of
/// a fleet with a quarter of its engines dark were begun twice, which doubled the load of the rest.
const STREAM_SLACK: Duration = Duration::from_millis(1_200);
/// Shortest time in which a target can answer anything.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// Pause between two looks whether one has loaded; sidecars look as often.
const LOADING_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An answer to pass on.
pub(super) enum FirstAnswer {
    /// A stream, event by event.
    Stream(Box<LiveAnswer>),
    /// A whole answer.
    Whole(Response<Bytes>),
}

/// How one try ended.
enum AttemptOutcome {
    Answered(FirstAnswer),
    /// It did not run, and the target may not even have seen it.
    NotRun {
        delivered: bool,
        reason: &'static str,
    },
    /// It may have run; what the target answered, if it did.
    Ran {
        reason: &'static str,
        answer: Option<Response<Bytes>>,
    },
}

/// Sends a job to one target after the other until one answers it or nothing more can be done.
pub(super) async fn first_answer(ctx: &Ctx, job: &mut Job) -> Result<FirstAnswer, Reason> {
    let mut last: Option<Response<Bytes>> = None;
    loop {
        let plan = ctx.node.plan().ok_or(Reason::Unconfigured)?;
        if job.time_left(ctx.now()) < MIN_TIME_LEFT {
            return last.map(FirstAnswer::Whole).ok_or(timed_out(job));
        }
        if !suspects::may_run(ctx, job) {
            return Err(quarantined(ctx, job));
        }
        let pick = match pick::pick(ctx, &plan, job) {
            Ok(p) => p,
            Err(Reason::Loading { remaining }) if worth_waiting(job, ctx.now(), remaining) => {
                // Not shorter where the load should be over already: until the sidecar's next word each
                // look finds the same.
                sleep(LOADING_POLL_INTERVAL).await;
                job.forget_refusals();
                continue;
            }
            Err(reason) if job.run_count == 0 => return Err(reason),
            Err(_) => return last.map(FirstAnswer::Whole).ok_or(Reason::Unknown),
        };
        let outcome = attempt(ctx, job, &pick).await;
        let mut status = None;
        let (delivered, ran, reason) = match outcome {
            AttemptOutcome::Answered(found) => return Ok(found),
            AttemptOutcome::NotRun { delivered, reason } => {
                job.refused_by.push(pick.key);
                (delivered, false, reason)
            }
            AttemptOutcome::Ran { reason, answer } => {
                job.run_count += 1;
                status = answer.as_ref().map(Response::status);
                last = answer.or(last);
                (true, true, reason)
            }
        };
        log_failed(job, &pick.boot, reason, status, ran);
        if !may_retry(ctx, job, delivered, ran) {
            let reason = match job.run_count {
                0 => Reason::NotRun,
                _ if job.time_left(ctx.now()) < MIN_TIME_LEFT => Reason::Overdue,
                _ => Reason::Unknown,
            };
            return last.map(FirstAnswer::Whole).ok_or(reason);
        }
    }
}

/// Whether a job waits for engines that load. What is sent to them meanwhile is refused, and each such try
/// costs the pool a retry.
fn worth_waiting(job: &Job, now: Micros, remaining: RemainingLoad) -> bool {
    let rest = job.time_left(now).into();
    remaining.is_worth_waiting(rest, job.time_left(job.received_at).into())
}

fn quarantined(ctx: &Ctx, job: &Job) -> Reason {
    match job.run_count {
        0 => Reason::Quarantined {
            remaining: suspects::time_to_retry(ctx, job),
        },
        _ => Reason::Unknown,
    }
}

fn timed_out(job: &Job) -> Reason {
    match job.run_count {
        0 => Reason::Expired,
        _ => Reason::Overdue,
    }
}

/// Tells that a try came to nothing.
pub(super) fn log_failed(
    job: &Job,
    boot: &Boot,
    reason: &'static str,
    status: Option<StatusCode>,
    ran: bool,
) {
    meter::count(meter::FAILED_TRIES, "reason", reason);
    log::event(&Event::Tried {
        request: &job.id,
        target: &boot.id,
        attempt: job.send_count,
        reason,
        status: status.map(|s| s.as_u16()),
        ran,
    });
}

/// Tells why a job isn't tried once more, where its answer doesn't.
pub(super) fn log_no_retry(job: &Job, reason: &str) {
    log::event(&Event::Tried {
        request: &job.id,
        target: "",
        attempt: job.send_count,
        reason,
        status: None,
        ran: job.run_count > 0,
    });
}

/// Whether a job may be sent once more.
fn may_retry(ctx: &Ctx, job: &Job, delivered: bool, ran: bool) -> bool {
    let harmless = !ran || matches!(job.route.mode, Mode::Idempotent | Mode::Resumable);
    if !harmless {
        return false;
    }
    if !job.may_run_again() {
        log_no_retry(job, "no try left");
        return false;
    }
    if job.time_left(ctx.now()) < MIN_TIME_LEFT {
        return false;
    }
    // What no target has seen costs the pool nothing.
    let retry_reason = match job.run_count {
        0 => RetryReason::NotRun,
        _ => RetryReason::HasRun,
    };
    let spent = !delivered || ctx.retry_budget(&job.pool, |b| b.spend(ctx.now(), retry_reason));
    if !spent {
        log_no_retry(job, "no retry left");
    }
    spent
}

/// How long a try may go without an answer's head.
fn head_timeout(ctx: &Ctx, job: &Job, pick: &Pick) -> Duration {
    let end = job.time_left(ctx.now()) + ANSWER_GRACE;
    // Given up on with no retry left, its answer would be lost however soon it came.
    let has_retry = ctx.retry_budget(&job.pool, |b| b.remaining() >= 1.0);
    let may_retry = has_retry && job.run_count + 1 < job.route.max_attempts;
    match job.route.mode {
        Mode::Idempotent if may_retry => job.route.latency_goal.mul_f64(IDEMPOTENT_SHARE).min(end),
        Mode::Resumable if may_retry => {
            let estimate = Duration::from_secs_f64(pick.estimate.clamp(0.0, 60_000.0) / 1e3);
            (STREAM_SLACK + estimate * 2).min(end)
        }
        _ => end,
    }
}

async fn attempt(ctx: &Ctx, job: &mut Job, pick: &Pick) -> AttemptOutcome {
    job.attempted.push(pick.key);
    job.send_count += 1;
    let sent_at = ctx.now();
    send::log_send(ctx, job, pick, job.time_left(sent_at));
    let sent = send::send(ctx, job, pick, head_timeout(ctx, job, pick)).await;
    let now = ctx.now();
    match sent {
        SendOutcome::Answer(live) => handle_answer(ctx, job, *live).await,
        SendOutcome::NotDelivered(reason) => AttemptOutcome::NotRun {
            delivered: false,
            reason,
        },
        SendOutcome::NotRun(reason) => {
            if reason == "full" {
                ctx.fleet.borrow_mut().record_failure(now, pick.key, reason);
            }
            if has_newer_weights(ctx, job, pick) {
                job.attempted.retain(|k| *k != pick.key);
            }
            AttemptOutcome::NotRun {
                delivered: true,
                reason,
            }
        }
        SendOutcome::Unknown(reason) => {
            ctx.fleet.borrow_mut().record_failure(now, pick.key, reason);
            suspects::record_broken_answer(ctx, job, &pick.boot, sent_at);
            AttemptOutcome::Ran {
                reason,
                answer: None,
            }
        }
    }
}

/// Whether a target is known by now to have newer weights than it was asked for. It may be the only one, and
/// takes the job with those.
fn has_newer_weights(ctx: &Ctx, job: &Job, pick: &Pick) -> bool {
    let (Some(prompt), Some(asked)) = (&job.prompt, pick.weights) else {
        return false;
    };
    let fleet = ctx.fleet.borrow();
    let replica = fleet.replicas.get(pick.key);
    let known = replica.and_then(|r| r.weights.get(&prompt.model));
    known.is_some_and(|version| *version > asked)
}

/// Takes an answer whose head is there.
async fn handle_answer(ctx: &Ctx, job: &Job, live: LiveAnswer) -> AttemptOutcome {
    let status = live.response.status();
    let good = status.is_success();
    let key = live.in_flight.key();
    if good && (!live.head.signed || live.head.encoded) {
        ctx.fleet
            .borrow_mut()
            .record_failure(ctx.now(), key, "spoiled answer");
        return AttemptOutcome::Ran {
            reason: "spoiled answer",
            answer: None,
        };
    }
    if good && job.route.mode.is_stream() {
        return AttemptOutcome::Answered(FirstAnswer::Stream(Box::new(live)));
    }
    let left = job.time_left(ctx.now()) + ANSWER_GRACE;
    let not_run = live.head.not_run;
    let (boot, sent_at) = (live.in_flight.boot.clone(), live.in_flight.sent_at);
    let whole = match timeout(left, collect(ctx, live)).await {
        Ok(Some(w)) => w,
        _ => {
            ctx.fleet
                .borrow_mut()
                .record_failure(ctx.now(), key, "cut answer");
            suspects::record_broken_answer(ctx, job, &boot, sent_at);
            return AttemptOutcome::Ran {
                reason: "cut answer",
                answer: None,
            };
        }
    };
    match good || status.is_client_error() {
        true => {
            ctx.fleet.borrow_mut().record_success(key);
            suspects::record_success(ctx, job);
        }
        false => ctx
            .fleet
            .borrow_mut()
            .record_failure(ctx.now(), key, "error answer"),
    }
    match status {
        // These promise that nothing ran, which only the target can know.
        StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::REQUEST_TIMEOUT
            if !not_run =>
        {
            AttemptOutcome::Ran {
                reason: "refusal without a promise",
                answer: None,
            }
        }
        s if s.is_server_error() => AttemptOutcome::Ran {
            reason: "error answer",
            answer: Some(whole),
        },
        _ => AttemptOutcome::Answered(FirstAnswer::Whole(whole)),
    }
}

/// Collects a whole answer and keeps its connection.
async fn collect(ctx: &Ctx, live: LiveAnswer) -> Option<Response<Bytes>> {
    let LiveAnswer {
        response,
        head,
        connection,
        in_flight,
    } = live;
    let (mut parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER)
        .collect()
        .await
        .ok()?
        .to_bytes();
    if !head.closes {
        if let Some(r) = ctx.fleet.borrow_mut().replicas.get_mut(in_flight.key()) {
            r.connections.keep(connection);
        }
    }
    parts.headers = replica::answer_headers(&parts.headers);
    Some(Response::from_parts(parts, body))
}
