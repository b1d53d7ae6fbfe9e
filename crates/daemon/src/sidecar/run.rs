//! Runs one exchange, from the queue to the last byte of the target's answer.
//!
//! The order of the steps decides what an entry may do after a failure. Until the request is
//! dispatched, every failure is a refusal, and the request may run elsewhere. After that the target
//! may have started to run it.

use std::net::SocketAddr;
use std::time::Duration;

use exchange::{Exchange, Queued};
use model::{Code, Incarnation, Micros};
use store::Platform;
use tokio::time::{sleep_until, timeout, Instant};
use tracing::Instrument;
use wire::Open;

use crate::clock;
use crate::log;
use crate::sidecar::active_exchange::{ActiveExchange, ExchangeEnd};
use crate::sidecar::control_channel::ControlHandle;
use crate::sidecar::serve::Exchanges;
use crate::sidecar::slot::{self, Slot};
use crate::sidecar::{claim, target};
use crate::{hop, trace};

/// Interval of the waits to find out whether an engine crashed: that of the calls of its feed.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of these waits; two refused calls of the feed show the crash.
const MAX_CRASH_CHECKS: u32 = 4;

/// Data shared by all exchanges of this process.
#[derive(Debug)]
pub struct Context {
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Peer address of this process as other processes see it.
    pub address: SocketAddr,
    /// Address of the target.
    pub target: SocketAddr,
    /// Whether the target is a model engine, which streams server-sent events.
    pub is_model: bool,
    /// The platform's table, if there is one.
    pub table: Option<Platform>,
    /// All exchanges of this process.
    pub exchanges: Exchanges,
    /// Sends messages to the control thread.
    pub control: ControlHandle,
}

/// A request that may run now.
#[derive(Debug)]
pub struct Job<'a> {
    /// Slot of the request at the target.
    pub slot: Slot<'a>,
    /// Frame that opened the exchange.
    pub open: &'a Open,
    /// Exchange that receives the answer.
    pub active: &'a ActiveExchange,
    /// When the caller gives up.
    pub deadline: Instant,
    /// How long the request waited in the queue.
    pub waited: Micros,
    /// Span of the call to the target.
    pub hop: trace::Context,
}

/// Runs an exchange to its end.
pub async fn run(cx: &Context, open: Open, active: &ActiveExchange) {
    let ex = Exchange::new();
    let deadline = Instant::now() + Duration::from_millis(open.deadline);
    let enqueued = clock::now();
    let parent = trace::Context::parse(&open.trace).unwrap_or_else(trace::Context::random);
    let queue = hop!("queue", parent, parent.child(), request = open.request);
    let end = tokio::select! {
        r = slot::acquire(cx, &open).instrument(queue) => match r {
            Ok(slot) => {
                let job = Job {
                    slot,
                    open: &open,
                    active,
                    deadline,
                    waited: clock::now().since(enqueued),
                    hop: parent.child(),
                };
                let span = hop!("target", parent, job.hop, request = open.request);
                dispatch(&job, ex).instrument(span).await
            }
            Err(r) => ExchangeEnd::NotRun(ex.refuse(r.code, r.retry), None),
        },
        () = sleep_until(deadline) => ExchangeEnd::NotRun(ex.refuse(Code::Deadline, None), None),
        () = active.cancel.cancelled() => ExchangeEnd::NotRun(ex.refuse(Code::Cancelled, None), None),
    };
    active.end(end);
}

/// Claims the request if it may run only once, and dispatches it.
async fn dispatch(job: &Job<'_>, ex: Exchange<Queued>) -> ExchangeEnd {
    let cx = job.slot.cx;
    // The connection comes before the claim, so that a target that is down doesn't use up the
    // claim.
    let Some(sender) = target::connect(cx.target).await else {
        let retry = Some(Micros::from_secs(1));
        return ExchangeEnd::NotRun(ex.refuse(Code::NoTarget, retry), None);
    };
    let claim = match claim::claim(cx, job.open, job.deadline).await {
        Ok(c) => c,
        Err(e) => return ExchangeEnd::NotRun(ex.refuse(e.refusal.code, e.refusal.retry), e.owner),
    };
    // A process that was paused may resume here with a request whose caller has given up.
    if Instant::now() >= job.deadline || job.active.cancel.is_cancelled() {
        claim::release(cx, claim).await;
        return ExchangeEnd::NotRun(ex.refuse(Code::Deadline, None), None);
    }
    let incarnation = cx.control.health().incarnation;
    let ex = ex.dispatch();
    let answer = tokio::select! {
        r = target::forward(job, sender) => r,
        () = job.active.cancel.cancelled() => Err(Code::Cancelled),
        () = until_lost(job, incarnation) => Err(Code::TargetLost),
    };
    match answer {
        Ok(()) => ExchangeEnd::Done(ex.complete()),
        Err(code) => {
            let crashed = code == Code::TargetLost && engine_crashed(cx, incarnation).await;
            if crashed {
                job.active.set_crash(job.slot.record_crash(incarnation));
            }
            spdlog::warn!(
                logger: log::sidecar(),
                "request {} ended: {code}, target died: {crashed}", job.open.request
            );
            ExchangeEnd::Failed(ex.fail(code, false, crashed))
        }
    }
}

/// Waits until the target can no longer complete the request. A request that isn't
/// idempotent stays at a target that hangs, because no other target may run it.
async fn until_lost(job: &Job<'_>, incarnation: Incarnation) {
    let control = &job.slot.cx.control;
    match job.open.idempotent {
        true => control.until_stalled(incarnation).await,
        false => control.until_exited(incarnation).await,
    }
}

/// Whether the engine crashed, and not only one connection to it. Only then does the request count
/// as one that may have caused the crash.
async fn engine_crashed(cx: &Context, incarnation: Incarnation) -> bool {
    if !cx.is_model {
        return false;
    }
    let exited = cx.control.until_exited(incarnation);
    tokio::pin!(exited);
    // A process that was paused has made no calls meanwhile. The pause uses up one of these waits; it
    // would use up all of a single longer one.
    for _ in 0..MAX_CRASH_CHECKS {
        if timeout(CRASH_CHECK_INTERVAL, &mut exited).await.is_ok() {
            return true;
        }
    }
    false
}
