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
/// Shortest time in which a target can answer anything.
const LEAST: Duration = Duration::from_millis(5);

/// Pause between two looks whether one has loaded; sidecars look as often.
const LOOK: Duration = Duration::from_millis(50);

/// An answer to pass on.
pub(super) enum Found {
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

/// Sends a job to one target after the other until one answers it or nothing more can be done.
pub(super) async fn first_answer(ctx: &Ctx, job: &mut Job) -> Result<Found, Reason> {
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
            Err(Reason::Loading { left }) if worth_waiting(job, ctx.now(), left) => {
                // Not shorter where the load should be over already: until the sidecar's next word each
                // look finds the same.
                sleep(LOOK).await;
                job.forget_refusals();
                continue;
            }
            Err(reason) if job.runs == 0 => return Err(reason),
            Err(_) => return last.map(Found::Whole).ok_or(Reason::Unknown),
        };
        let tried = once(ctx, job, &pick).await;
        let mut status = None;
        let (seen, ran, reason) = match tried {
            Tried::Found(found) => return Ok(found),
            Tried::NotRun { seen, reason } => {
                job.refused.push(pick.key);
                (seen, false, reason)
            }
            Tried::Ran { reason, answer } => {
                job.runs += 1;
                status = answer.as_ref().map(Response::status);
                last = answer.or(last);
                (true, true, reason)
            }
        };
        failed(job, &pick.boot, reason, status, ran);
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

/// Whether a job waits for engines that load. What is sent to them meanwhile is refused, and each such try
/// costs the pool a retry.
fn worth_waiting(job: &Job, now: Micros, left: RemainingLoad) -> bool {
    let rest = job.left(now).into();
    left.is_worth_waiting(rest, job.left(job.came).into())
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

/// Tells that a try came to nothing.
pub(super) fn failed(
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
        attempt: job.sends,
        reason,
        status: status.map(|s| s.as_u16()),
        ran,
    });
}

/// Tells why a job isn't tried once more, where its answer doesn't.
pub(super) fn stuck(job: &Job, reason: &str) {
    log::event(&Event::Tried {
        request: &job.id,
        target: "",
        attempt: job.sends,
        reason,
        status: None,
        ran: job.runs > 0,
    });
}

/// Whether a job may be sent once more.
fn again(ctx: &Ctx, job: &Job, seen: bool, ran: bool) -> bool {
    let harmless = !ran || matches!(job.route.mode, Mode::Idempotent | Mode::Resumable);
    if !harmless {
        return false;
    }
    if !job.may_run() {
        stuck(job, "no try left");
        return false;
    }
    if job.left(ctx.now()) < LEAST {
        return false;
    }
    // What no target has seen costs the pool nothing.
    let need = match job.runs {
        0 => RetryReason::NotRun,
        _ => RetryReason::HasRun,
    };
    let spent = !seen || ctx.budget(&job.pool, |b| b.spend(ctx.now(), need));
    if !spent {
        stuck(job, "no retry left");
    }
    spent
}

/// How long a try may go without an answer's head.
fn patience(ctx: &Ctx, job: &Job, pick: &Pick) -> Duration {
    let end = job.left(ctx.now()) + LAST_WORD;
    // Given up on with no retry left, its answer would be lost however soon it came.
    let room = ctx.budget(&job.pool, |b| b.remaining() >= 1.0);
    let more = room && job.runs + 1 < job.route.max_attempts;
    match job.route.mode {
        Mode::Idempotent if more => job.route.latency_goal.mul_f64(PATIENCE).min(end),
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
    send::tell(ctx, job, pick, job.left(began));
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
            if has_newer(ctx, job, pick) {
                job.tried.retain(|k| *k != pick.key);
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

/// Whether a target is known by now to have newer weights than it was asked for. It may be the only one, and
/// takes the job with those.
fn has_newer(ctx: &Ctx, job: &Job, pick: &Pick) -> bool {
    let (Some(prompt), Some(asked)) = (&job.prompt, pick.weights) else {
        return false;
    };
    let fleet = ctx.fleet.borrow();
    let replica = fleet.replicas.get(pick.key);
    let known = replica.and_then(|r| r.weights.get(&prompt.model));
    known.is_some_and(|version| *version > asked)
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
    if good && job.route.mode.is_stream() {
        return Tried::Found(Found::Stream(Box::new(live)));
    }
    let left = job.left(ctx.now()) + LAST_WORD;
    let unrun = live.told.not_run;
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
