//! One exchange from its turn in the queue to the target's last byte.
//!
//! The order of the steps decides what an entry may do after a failure. Up to the hand-over every
//! end is a refusal, and the request may run elsewhere; from then on the target may have begun it.

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
use crate::sidecar::ask::Asker;
use crate::sidecar::live::{Last, Live};
use crate::sidecar::serve::Exchanges;
use crate::sidecar::turn::{self, Slot};
use crate::sidecar::{claim, target};
use crate::{hop, trace};

/// Longest wait to learn whether an engine died: two refused calls of its feed.
const VERDICT: Duration = Duration::from_millis(400);

/// What every exchange of this process shares.
#[derive(Debug)]
pub struct Context {
    /// This process's life.
    pub life: u64,
    /// Its peer address as others see it.
    pub address: SocketAddr,
    /// The target.
    pub target: SocketAddr,
    /// Whether the target streams server-sent events.
    pub model: bool,
    /// The platform's table, if there is one.
    pub table: Option<Platform>,
    /// All exchanges.
    pub exchanges: Exchanges,
    /// The control thread.
    pub control: Asker,
}

/// A request that has its turn.
#[derive(Debug)]
pub struct Job<'a> {
    /// Its slot at the target.
    pub slot: Slot<'a>,
    /// The request.
    pub open: &'a Open,
    /// Where its answer goes.
    pub live: &'a Live,
    /// When the answer is of no more use.
    pub until: Instant,
    /// How long it waited for its turn.
    pub waited: Micros,
    /// Its place in the trace.
    pub hop: trace::Context,
}

/// Runs an exchange to its end.
pub async fn run(cx: &Context, o: Open, live: &Live) {
    let ex = Exchange::new();
    let until = Instant::now() + Duration::from_millis(o.deadline);
    let enqueued = clock::now();
    let above = trace::Context::parse(&o.trace).unwrap_or_else(trace::Context::random);
    let queue = hop!("queue", above, above.child(), request = o.request);
    let last = tokio::select! {
        r = turn::wait(cx, &o).instrument(queue) => match r {
            Ok(slot) => {
                let job = Job {
                    slot,
                    open: &o,
                    live,
                    until,
                    waited: clock::now().since(enqueued),
                    hop: above.child(),
                };
                let span = hop!("target", above, job.hop, request = o.request);
                admitted(&job, ex).instrument(span).await
            }
            Err(r) => Last::NotRun(ex.refuse(r.code, r.retry), None),
        },
        () = sleep_until(until) => Last::NotRun(ex.refuse(Code::Deadline, None), None),
        () = live.cancel.cancelled() => Last::NotRun(ex.refuse(Code::Cancelled, None), None),
    };
    live.end(last);
}

/// Has its turn: claims if it may run only once, then hands it over.
async fn admitted(job: &Job<'_>, ex: Exchange<Queued>) -> Last {
    let cx = job.slot.cx;
    // Connecting comes before claiming: a target that is down must not use the claim up.
    let Some(sender) = target::connect(cx.target).await else {
        let soon = Some(Micros::from_secs(1));
        return Last::NotRun(ex.refuse(Code::NoTarget, soon), None);
    };
    let claim = match claim::claim(cx, job.open, job.until).await {
        Ok(c) => c,
        Err(e) => return Last::NotRun(ex.refuse(e.refusal.code, e.refusal.retry), e.owner),
    };
    // A process that was paused wakes here with a request whose caller has given up.
    if Instant::now() >= job.until || job.live.cancel.is_cancelled() {
        claim::release(cx, claim).await;
        return Last::NotRun(ex.refuse(Code::Deadline, None), None);
    }
    let life = cx.control.health().life;
    let ex = ex.dispatch();
    let answer = tokio::select! {
        r = target::answer(job, sender) => r,
        () = job.live.cancel.cancelled() => Err(Code::Cancelled),
        () = lost(job, life) => Err(Code::TargetLost),
    };
    match answer {
        Ok(()) => Last::Done(ex.complete()),
        Err(code) => {
            let crashed = code == Code::TargetLost && died(cx, life).await;
            if crashed {
                job.live.crashed(job.slot.crashed(life));
            }
            spdlog::warn!(
                logger: log::sidecar(),
                "request {} ended: {code}, target died: {crashed}", job.open.request
            );
            Last::Failed(ex.fail(code, false, crashed))
        }
    }
}

/// Waits until the target can't complete a request any more. One that may run only once isn't helped by
/// another target, so that it is left to a target that hangs.
async fn lost(job: &Job<'_>, life: Incarnation) {
    let control = &job.slot.cx.control;
    match job.open.idempotent {
        true => control.stalled(life).await,
        false => control.exited(life).await,
    }
}

/// Whether an engine died, rather than one connection to it. Only then does the request count as
/// one that may have killed it.
async fn died(cx: &Context, life: Incarnation) -> bool {
    if !cx.model {
        return false;
    }
    timeout(VERDICT, cx.control.exited(life)).await.is_ok()
}
