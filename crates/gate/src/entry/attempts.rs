//! The attempts to run a job, until there is an answer to pass on.
//!
//! A job that may have run is sent again only if running it twice does no harm. A job that ran
//! nowhere is sent again while there is time. Retries after an attempt that reached a target are
//! taken from the pool's retry budget.

use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body as _;
use hyper::{Response, StatusCode};
use model::Micros;
use overload::Charge;
use platform::replica;
use policy::loading::RemainingLoad;
use policy::retry_budget::RetryReason;
use site::Boot;
use tokio::time::{sleep, timeout};

use super::pick::{self, Pick};
use super::refuse::Reason;
use super::request::Job;
use super::send::{self, LiveAnswer, SendOutcome};
use super::{crashing_parts, limits, room, stalled, suspects, Ctx};
use crate::log::{self, Event};
use crate::meter;

/// How long a request waits beyond its deadline for the target's own answer.
pub(super) const ANSWER_GRACE: Duration = Duration::from_millis(100);
/// Maximum size of an answer that is collected before it is passed on; plain services answer with
/// kilobytes.
const MAX_ANSWER: usize = 4 << 20;
/// Bytes of an answer that are counted with its request.
const COUNTED_ANSWER: usize = 32 << 10;
/// Least remaining time for an attempt; no target answers in less.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// Interval between checks whether an engine has finished loading; sidecars check as often.
const LOADING_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// First usable answer to a job.
pub(super) enum FirstAnswer {
    /// A stream, which is passed on event by event.
    Stream(Box<LiveAnswer>),
    /// A complete answer.
    Whole(Response<Bytes>),
    /// An answer that is too long to be collected, and is passed on as it arrives.
    Long(Box<LiveAnswer>),
}

/// Outcome of one attempt.
enum AttemptOutcome {
    Answered(FirstAnswer),
    /// The request did not run; `delivered` is false if the target hasn't received it either.
    NotRun {
        delivered: bool,
        reason: &'static str,
    },
    /// The request may have run; `answer` is the target's answer, if it gave one.
    Ran {
        reason: &'static str,
        answer: Option<Response<Bytes>>,
    },
}

/// Sends a job to one target after another until one answers it or no further attempt is possible.
pub(super) async fn first_answer(ctx: &Ctx, job: &mut Job) -> Result<FirstAnswer, Reason> {
    room::admit(ctx, job)?;
    let mut last: Option<Response<Bytes>> = None;
    loop {
        let plan = ctx.node.plan().ok_or(Reason::Unconfigured)?;
        if job.time_left(ctx.now()) < MIN_TIME_LEFT {
            return last.map(FirstAnswer::Whole).ok_or(timed_out(job));
        }
        if !ctx.ends_in_time(job) {
            return match job.run_count {
                0 => Err(Reason::Stopping),
                _ => last.map(FirstAnswer::Whole).ok_or(Reason::Unknown),
            };
        }
        let is_trial = match suspects::may_run(ctx, job) {
            Ok(is_trial) => is_trial,
            Err(_) if job.run_count > 0 => return Err(Reason::Unknown),
            Err(remaining) => return Err(Reason::Quarantined { remaining }),
        };
        let picked = pick::pick(ctx, &plan, job);
        room::record_pick(ctx, job, &picked);
        if is_trial && picked.is_err() {
            crashing_parts::return_trial(ctx, job);
        }
        let pick = match picked {
            Ok(p) => p,
            Err(Reason::Loading { remaining }) if is_worth_waiting(job, ctx.now(), remaining) => {
                // The interval isn't shortened for a load that is overdue: each check would find
                // the same report until the sidecar sends the next one.
                sleep(LOADING_POLL_INTERVAL).await;
                job.forget_refusals();
                continue;
            }
            Err(reason) if job.run_count == 0 => return Err(reason),
            // The job has run and has its retry; a target may become free.
            Err(_) if last.is_none() && stalled::is_worth_waiting(job, ctx.now()) => {
                sleep(LOADING_POLL_INTERVAL).await;
                continue;
            }
            Err(_) => return last.map(FirstAnswer::Whole).ok_or(Reason::Unknown),
        };
        if !limits::start_run(job, ctx.now()) {
            log_no_retry(job, "over the team's limit");
            return last.map(FirstAnswer::Whole).ok_or(Reason::Unknown);
        }
        let outcome = attempt(ctx, job, &pick).await;
        let mut status = None;
        let (delivered, ran, reason) = match outcome {
            AttemptOutcome::Answered(found) => return Ok(found),
            AttemptOutcome::NotRun { delivered, reason } => {
                if is_trial && !delivered {
                    crashing_parts::return_trial(ctx, job);
                }
                job.refused_by.push(pick.key);
                limits::keep(job);
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
        if !may_retry(ctx, job, delivered, ran, last.is_some()).await {
            let reason = match job.run_count {
                0 => Reason::NotRun,
                _ if job.time_left(ctx.now()) < MIN_TIME_LEFT => Reason::Overdue,
                _ => Reason::Unknown,
            };
            return last.map(FirstAnswer::Whole).ok_or(reason);
        }
    }
}

/// Whether a job waits for engines that are loading. Requests sent to them meanwhile are refused,
/// and each such attempt costs the pool a retry.
fn is_worth_waiting(job: &Job, now: Micros, remaining: RemainingLoad) -> bool {
    let rest = job.time_left(now).into();
    remaining.is_worth_waiting(rest, job.time_left(job.received_at).into())
}

fn timed_out(job: &Job) -> Reason {
    match job.run_count {
        0 => Reason::Expired,
        _ => Reason::Overdue,
    }
}

/// Logs a failed attempt.
pub(super) fn log_failed(
    job: &Job,
    boot: &Boot,
    reason: &'static str,
    status: Option<StatusCode>,
    ran: bool,
) {
    meter::increment(meter::FAILED_ATTEMPTS, "reason", reason);
    log::event(&Event::Tried {
        request: &job.id,
        target: &boot.id,
        attempt: job.send_count,
        reason,
        status: status.map(|s| s.as_u16()),
        ran,
    });
}

/// Logs why a job isn't sent again, if that can't be seen from its answer.
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

/// Whether a job may be sent again. A job that has run and has no answer waits for a retry if none is
/// left; one that has the target's error as its answer gets it at once.
async fn may_retry(ctx: &Ctx, job: &mut Job, delivered: bool, ran: bool, answered: bool) -> bool {
    if ran && !job.route.mode.may_rerun() {
        return false;
    }
    if !job.may_run_again() {
        log_no_retry(job, "no try left");
        return false;
    }
    if job.time_left(ctx.now()) < MIN_TIME_LEFT {
        return false;
    }
    // A retry after an attempt that reached no target isn't taken from the budget.
    let spent = match job.run_count {
        _ if !delivered => true,
        0 => ctx.retry_budget(&job.pool, |b| b.spend(ctx.now(), RetryReason::NotRun)),
        _ if answered && !job.has_retry => {
            ctx.retry_budget(&job.pool, |b| b.spend(ctx.now(), RetryReason::HasRun))
        }
        _ => stalled::wait_for_retry(ctx, job).await,
    };
    if !spent {
        log_no_retry(job, "no retry left");
    }
    spent
}

async fn attempt(ctx: &Ctx, job: &mut Job, pick: &Pick) -> AttemptOutcome {
    job.attempted.push(pick.key);
    job.send_count += 1;
    let sent_at = ctx.now();
    send::log_send(ctx, job, pick, job.time_left(sent_at));
    let head_timeout = job.time_left(sent_at) + ANSWER_GRACE;
    let sent = send::send(ctx, job, pick, head_timeout).await;
    let now = ctx.now();
    match sent {
        SendOutcome::Answer(live) => handle_answer(ctx, job, *live).await,
        SendOutcome::NotDelivered(reason) => AttemptOutcome::NotRun {
            delivered: false,
            reason,
        },
        SendOutcome::NotRun(reason) => {
            if reason == "full" {
                let mut fleet = ctx.fleet.borrow_mut();
                fleet.record_failure(now, pick.key, reason);
                if let Some(r) = fleet.replicas.get_mut(pick.key) {
                    r.history.full(now, rand::random());
                }
            }
            if has_newer_weights(ctx, job, pick) {
                job.attempted.retain(|k| *k != pick.key);
            }
            AttemptOutcome::NotRun {
                delivered: true,
                reason,
            }
        }
        SendOutcome::Stalled => {
            job.has_retry = true;
            stalled::record_moved(ctx, pick.key, sent_at);
            suspects::record_broken_answer(ctx, job, &pick.boot, sent_at);
            AttemptOutcome::Ran {
                reason: "silent",
                answer: None,
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

/// Whether the target is now known to have newer weights than the attempt required. It may be the
/// only target, and accepts the job with the newer weights.
fn has_newer_weights(ctx: &Ctx, job: &Job, pick: &Pick) -> bool {
    let (Some(prompt), Some(asked)) = (&job.prompt, pick.weights) else {
        return false;
    };
    let fleet = ctx.fleet.borrow();
    let replica = fleet.replicas.get(pick.key);
    let known = replica.and_then(|r| r.weights.get(&prompt.model));
    known.is_some_and(|version| *version > asked)
}

/// Handles an answer whose head has been received.
async fn handle_answer(ctx: &Ctx, job: &Job, mut live: LiveAnswer) -> AttemptOutcome {
    let status = live.response.status();
    let succeeded = status.is_success();
    let key = live.in_flight.key();
    if succeeded && (!live.head.signed || live.head.encoded) {
        ctx.fleet
            .borrow_mut()
            .record_failure(ctx.now(), key, "spoiled answer");
        return AttemptOutcome::Ran {
            reason: "spoiled answer",
            answer: None,
        };
    }
    if succeeded && job.route.mode.is_stream() {
        return AttemptOutcome::Answered(FirstAnswer::Stream(Box::new(live)));
    }
    let mut memory = job.connection.charge_content();
    if succeeded
        && stated_length(&live).is_some_and(|len| !memory.grow(len.saturating_sub(COUNTED_ANSWER)))
    {
        return AttemptOutcome::Answered(FirstAnswer::Long(Box::new(live)));
    }
    let left = job.time_left(ctx.now()) + ANSWER_GRACE;
    let sent_to = live.in_flight.sent_to();
    let (not_run, delimited) = (live.head.not_run, live.head.delimited);
    let witness = live.witness.take();
    let waited = live.head.load.is_none_or(|l| l.waiting > 0);
    let whole = match timeout(left, collect(ctx, live, memory)).await {
        Ok(Some(w)) => w,
        _ => {
            ctx.fleet
                .borrow_mut()
                .record_failure(ctx.now(), key, "cut answer");
            suspects::record_broken_answer(ctx, job, &sent_to.boot, sent_to.at);
            return AttemptOutcome::Ran {
                reason: "cut answer",
                answer: None,
            };
        }
    };
    let mut fleet = ctx.fleet.borrow_mut();
    match succeeded || status.is_client_error() {
        true => fleet.record_success(key),
        false => fleet.record_failure(ctx.now(), key, "error answer"),
    }
    if succeeded && job.prompt.is_none() && !waited {
        let (now, pressure) = (ctx.now(), ctx.node.settings.borrow().pressure);
        let took = now.since(sent_to.at);
        fleet.with_speed(key, |s, target| {
            s.record_duration(now, pressure, target, took)
        });
    }
    drop(fleet);
    match status {
        s if s.is_success() => suspects::record_end(ctx, job, delimited, sent_to, witness),
        s if s.is_client_error() => suspects::record_rejection(ctx, job),
        _ => {}
    }
    match status {
        // These statuses promise that the request didn't run, but only if the target itself sent
        // them.
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

/// Length of an answer, if its head states one.
fn stated_length(live: &LiveAnswer) -> Option<usize> {
    let len = live.response.body().size_hint().exact()?;
    // A length that no memory holds counts as the longest.
    Some(usize::try_from(len).unwrap_or(usize::MAX))
}

/// Collects a complete answer and returns its connection to the pool.
async fn collect(ctx: &Ctx, live: LiveAnswer, mut memory: Charge) -> Option<Response<Bytes>> {
    let LiveAnswer {
        response,
        head,
        connection,
        in_flight,
        witness: _,
    } = live;
    let (mut parts, body) = response.into_parts();
    let accepts = |len: usize| len <= MAX_ANSWER && memory.grow(len.saturating_sub(COUNTED_ANSWER));
    let body = platform::call::collect(body, accepts).await?;
    let body = memory.hold(body);
    if !head.closes {
        if let Some(r) = ctx.fleet.borrow_mut().replicas.get_mut(in_flight.key()) {
            r.connections.keep(connection);
        }
    }
    parts.headers = replica::answer_headers(&parts.headers);
    Some(Response::from_parts(parts, body))
}
