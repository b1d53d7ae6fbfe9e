//! Answers of the entry's own.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{Response, StatusCode};
use model::Micros;
use policy::loading::RemainingLoad;
use rand::Rng;

use super::listen::Watch;
use super::request::{Answer, Job};
use super::Ctx;
use crate::log::{self, Event};
use crate::meter;

/// Part of the time left that a caller is asked to wait at most; callers don't wait for longer.
const PART: f64 = 1.0 / 3.0;
/// Spread of the time to come back, so that those refused together don't return together.
const SPREAD: f64 = 0.3;

/// Why a request isn't served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// No configuration is known yet.
    Unconfigured,
    /// The process is about to end.
    Stopping,
    /// The head can't be used.
    Malformed,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    NoKey,
    /// The body is larger than allowed.
    TooLarge,
    /// No target of the pool is known.
    NoTarget,
    /// No target can answer in time.
    Late {
        /// What waits before it at the best target.
        wait: Micros,
        /// By how much that would have to fall.
        over: Micros,
    },
    /// All targets load weights, and refuse what is new until then.
    Loading {
        /// How long the first of them continues.
        left: RemainingLoad,
    },
    /// It has crashed the targets that ran it.
    Quarantined {
        /// For how long it won't be run at least.
        left: Micros,
    },
    /// Its tries came to nothing, and it ran nowhere.
    NotRun,
    /// It may have run, and its answer is lost.
    Unknown,
    /// Its time is over, and it ran nowhere.
    Expired,
    /// Its time is over, and it may have run.
    Overdue,
}

impl Reason {
    /// The word in logs and metrics.
    pub(super) fn word(self) -> &'static str {
        match self {
            Self::Unconfigured => "unconfigured",
            Self::Stopping => "stopping",
            Self::Malformed => "malformed",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::TooLarge => "too_large",
            Self::NoTarget => "no_target",
            Self::Late { .. } => "late",
            Self::Loading { .. } => "loading",
            Self::Quarantined { .. } => "quarantined",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Expired => "expired",
            Self::Overdue => "overdue",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Unconfigured
            | Self::Stopping
            | Self::NoTarget
            | Self::Late { .. }
            | Self::Loading { .. }
            | Self::Quarantined { .. }
            | Self::NotRun
            | Self::Expired => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::Overdue => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When it is worth coming back, for refusals that say so.
    fn back(self) -> Option<Duration> {
        match self {
            // A configuration is read within a few round trips to the store.
            Self::Unconfigured => Some(Duration::from_millis(400)),
            // Another process takes the caller's next connection.
            Self::Stopping => Some(Duration::from_millis(50)),
            // A target enters itself in the list with its next heartbeat.
            Self::NoTarget => Some(Duration::from_millis(800)),
            // What waits is worked off in its own length, if as much is turned away as comes.
            Self::Late { over, .. } => Some(over.into()),
            Self::Loading { left } => Some(left.time.into()),
            // A queue as long as an aim has gone by then.
            Self::NotRun => Some(Duration::from_millis(300)),
            _ => None,
        }
    }
}

/// Refuses a request that hasn't become a job.
pub(super) fn early(
    ctx: &Ctx,
    watch: &Rc<Watch>,
    id: &str,
    came: Micros,
    reason: Reason,
) -> Response<Answer> {
    refuse(
        ctx,
        watch,
        &Refused {
            id,
            route: "",
            attempts: 0,
            came,
            version: ctx.node.plan().map_or(0, |p| p.version()),
            left: None,
            reason,
        },
    )
}

/// Refuses a job.
pub(super) fn job(ctx: &Ctx, watch: &Rc<Watch>, job: &Job, reason: Reason) -> Response<Answer> {
    refuse(
        ctx,
        watch,
        &Refused {
            id: &job.id,
            route: &job.route.name,
            attempts: job.sends,
            came: job.came,
            version: job.version,
            left: Some(job.left(ctx.now())),
            reason,
        },
    )
}

/// What a refusal tells.
struct Refused<'a> {
    id: &'a str,
    route: &'a str,
    attempts: u32,
    came: Micros,
    version: u64,
    left: Option<Duration>,
    reason: Reason,
}

fn refuse(ctx: &Ctx, watch: &Rc<Watch>, r: &Refused<'_>) -> Response<Answer> {
    let back = match r.reason {
        // One request, so that there is nothing to spread, and no sooner time is true.
        Reason::Quarantined { left } => Some(left.into()),
        _ => r.reason.back().map(|b| spread(b, r.left)),
    };
    let status = r.reason.status();
    meter::increment(meter::REFUSALS, "reason", r.reason.word());
    log::event(&Event::Refused {
        request: r.id,
        route: r.route,
        status: status.as_u16(),
        reason: r.reason.word(),
        attempts: r.attempts,
        after_ms: ctx.now().since(r.came).as_millis(),
        version: r.version,
        retry_ms: back.map(|b| b.as_millis() as u64),
        wait_ms: match r.reason {
            Reason::Late { wait, .. } => Some(wait.as_millis()),
            Reason::Loading { left } => Some(left.time.as_millis()),
            _ => None,
        },
    });
    let mut response = Response::new(empty(watch));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    if let Some(back) = back {
        headers.insert(RETRY_AFTER, platform::caller::retry_after(back));
    }
    // What follows a head or body that wasn't read can't be told from it.
    if matches!(r.reason, Reason::Malformed | Reason::TooLarge) {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn spread(back: Duration, left: Option<Duration>) -> Duration {
    let factor = rand::rng().random_range(1.0 - SPREAD..1.0 + SPREAD);
    let back = back.mul_f64(factor);
    left.map_or(back, |l| back.min(l.mul_f64(PART)))
}

fn empty(watch: &Rc<Watch>) -> Answer {
    let body = Empty::<Bytes>::new().map_err(|e| match e {});
    Answer::new(body, Rc::clone(watch))
}
