//! Refusals: answers that the entry gives itself, without a target.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{Response, StatusCode};
use model::Micros;
use overload::Connection;
use policy::limit::Refusal;
use policy::loading::RemainingLoad;
use rand::Rng;

use super::request::{AnswerBody, Job};
use super::Ctx;
use crate::log::{self, Event, LimitState};
use crate::meter;

/// Maximum fraction of the caller's remaining time for which the caller is asked to wait; callers
/// don't wait longer than that.
const MAX_WAIT_SHARE: f64 = 1.0 / 3.0;
/// Relative jitter of the retry time, so that callers refused at the same moment don't return at
/// the same moment.
const JITTER: f64 = 0.3;

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// The entry has no configuration yet.
    Unconfigured,
    /// The process is stopping.
    Stopping,
    /// The request's head is invalid.
    Malformed,
    /// No route matches.
    NoRoute,
    /// The API key is missing or unknown.
    NoKey,
    /// The body is larger than allowed.
    TooLarge,
    /// Too much is held for callers.
    NoMemory,
    /// The body hasn't arrived by the deadline.
    LateBody,
    /// The team is over its limit.
    OverLimit(Refusal),
    /// The targets that could serve the request have got as many as they state.
    TargetLimits {
        /// Time until one of them may get the request.
        wait: Micros,
    },
    /// The targets that could serve the request have asked for rest.
    Resting {
        /// Time until the first of them may get the request.
        wait: Micros,
    },
    /// The pool is short, and other requests go first.
    NoRoom {
        /// Time after which a retry is useful; it differs between callers.
        wait: Micros,
    },
    /// The build that began the stream is unknown.
    BuildUnknown,
    /// No target has the build that began the stream.
    BuildGone,
    /// No target of the pool is available.
    NoTarget,
    /// No target can answer in time.
    Late {
        /// Wait before the request at the best target.
        wait: Micros,
        /// By how much that wait would have to fall.
        excess: Micros,
    },
    /// All targets are loading weights and refuse new requests meanwhile.
    Loading {
        /// Shortest remaining load time among the targets.
        remaining: RemainingLoad,
    },
    /// The request has crashed the targets that ran it.
    Quarantined {
        /// Shortest time until the request may run again.
        remaining: Micros,
    },
    /// All attempts failed, and the request ran nowhere.
    NotRun,
    /// The request may have run, and its answer is lost.
    Unknown,
    /// The deadline has passed, and the request ran nowhere.
    Expired,
    /// The deadline has passed, and the request may have run.
    Overdue,
}

impl Reason {
    /// Name of the reason in logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Unconfigured => "unconfigured",
            Self::Stopping => "stopping",
            Self::Malformed => "malformed",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::TooLarge => "too_large",
            Self::NoMemory => "no_memory",
            Self::LateBody => "late_body",
            Self::OverLimit(_) => "over_limit",
            Self::TargetLimits { .. } => "target_limits",
            Self::Resting { .. } => "resting",
            Self::NoRoom { .. } => "no_room",
            Self::BuildUnknown => "build_unknown",
            Self::BuildGone => "build_gone",
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
            Self::OverLimit(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::Unconfigured
            | Self::Stopping
            | Self::NoMemory
            | Self::LateBody
            | Self::TargetLimits { .. }
            | Self::Resting { .. }
            | Self::NoRoom { .. }
            | Self::BuildUnknown
            | Self::BuildGone
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

    /// Time after which a retry is useful, for reasons that have one.
    fn retry_after(self) -> Option<Duration> {
        match self {
            // A configuration is read within a few round trips to the store.
            Self::Unconfigured => Some(Duration::from_millis(400)),
            // Targets read long bodies within some seconds, and other entries may have memory.
            Self::NoMemory => Some(Duration::from_millis(500)),
            // The caller's next connection goes to another process.
            Self::Stopping => Some(Duration::from_millis(50)),
            // A target registers in the list with its next heartbeat.
            Self::NoTarget => Some(Duration::from_millis(800)),
            // The excess is worked off in this time if as many requests are refused as arrive.
            Self::Late { excess, .. } => Some(excess.into()),
            Self::Loading { remaining } => Some(remaining.time.into()),
            // In this time, a queue as long as a typical latency goal has been served.
            Self::NotRun => Some(Duration::from_millis(300)),
            _ => None,
        }
    }
}

/// Refuses a request for which no job exists yet.
pub(super) fn without_job(
    ctx: &Ctx,
    connection: &Connection,
    id: &str,
    received_at: Micros,
    reason: Reason,
) -> Response<AnswerBody> {
    refuse(
        ctx,
        connection,
        &Details {
            id,
            team: "",
            route: "",
            attempts: 0,
            received_at,
            version: ctx.node.plan().map_or(0, |p| p.version()),
            time_left: None,
            reason,
        },
    )
}

/// Refuses a job.
pub(super) fn job(
    ctx: &Ctx,
    connection: &Connection,
    job: &Job,
    reason: Reason,
) -> Response<AnswerBody> {
    refuse(
        ctx,
        connection,
        &Details {
            id: &job.id,
            team: job.team.as_deref().unwrap_or_default(),
            route: &job.route.name,
            attempts: job.send_count,
            received_at: job.received_at,
            version: job.version,
            time_left: Some(job.time_left(ctx.now())),
            reason,
        },
    )
}

/// Data of a refusal.
struct Details<'a> {
    id: &'a str,
    team: &'a str,
    route: &'a str,
    attempts: u32,
    received_at: Micros,
    version: u64,
    time_left: Option<Duration>,
    reason: Reason,
}

fn refuse(ctx: &Ctx, connection: &Connection, r: &Details<'_>) -> Response<AnswerBody> {
    let retry_after = match r.reason {
        // Without jitter, as this concerns a single request; a shorter time would be wrong.
        Reason::Quarantined { remaining } => Some(remaining.into()),
        // Each refused request gets its own time.
        Reason::OverLimit(refusal) => Some(refusal.wait.into()),
        Reason::TargetLimits { wait } | Reason::Resting { wait } | Reason::NoRoom { wait } => {
            Some(wait.into())
        }
        _ => r
            .reason
            .retry_after()
            .map(|after| jitter(after, r.time_left)),
    };
    let status = r.reason.status();
    meter::increment(meter::REFUSALS, "reason", r.reason.name());
    log::event(&Event::Refused {
        request: r.id,
        route: r.route,
        status: status.as_u16(),
        reason: r.reason.name(),
        attempts: r.attempts,
        after_ms: ctx.now().since(r.received_at).as_millis(),
        version: r.version,
        retry_ms: retry_after.map(|after| after.as_millis() as u64),
        wait_ms: match r.reason {
            Reason::Late { wait, .. }
            | Reason::TargetLimits { wait }
            | Reason::Resting { wait } => Some(wait.as_millis()),
            Reason::Loading { remaining } => Some(remaining.time.as_millis()),
            _ => None,
        },
        limit: match r.reason {
            Reason::OverLimit(refusal) => Some(LimitState {
                team: r.team,
                left: refusal.level,
                part: refusal.part,
                counts_ms: refusal.age.as_millis(),
            }),
            _ => None,
        },
    });
    let mut response = Response::new(empty(connection));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    if let Some(retry_after) = retry_after {
        headers.insert(RETRY_AFTER, platform::caller::retry_after(retry_after));
    }
    // The rest of the head or body hasn't been read and couldn't be distinguished from the next
    // request on the connection.
    if matches!(
        r.reason,
        Reason::Malformed | Reason::TooLarge | Reason::NoMemory | Reason::LateBody
    ) {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn jitter(retry_after: Duration, time_left: Option<Duration>) -> Duration {
    let factor = rand::rng().random_range(1.0 - JITTER..1.0 + JITTER);
    let retry_after = retry_after.mul_f64(factor);
    time_left.map_or(retry_after, |l| retry_after.min(l.mul_f64(MAX_WAIT_SHARE)))
}

fn empty(connection: &Connection) -> AnswerBody {
    let body = Empty::<Bytes>::new().map_err(|e| match e {});
    AnswerBody::new(body, connection.clone())
}
