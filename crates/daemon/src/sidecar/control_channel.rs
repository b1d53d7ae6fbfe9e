//! The channel between the traffic threads and the control thread.
//!
//! Traffic runs on many threads and scheduling on one, so that the scheduler needs no lock. Traffic
//! threads send messages to the control thread. The values that all traffic threads wait for (the
//! target's health, requests for the engine's list of blocks, permission to exit) come back through
//! watch channels.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use model::{Incarnation, Micros};
use policy::liveness::{Check, State};
use tokio::sync::{mpsc, oneshot, watch};

use crate::clock;
use crate::sidecar::scheduler::{Refusal, RequestSpec, RunKey};

/// Receives the key of the run when a request is dispatched, or its refusal.
pub type Grant = oneshot::Sender<Result<RunKey, Refusal>>;

/// A message from a traffic thread to the control thread.
#[derive(Debug)]
pub enum ControlMessage {
    /// A request arrived and is to be queued.
    Enqueue {
        /// The request.
        request: RequestSpec,
        /// Sidecars of the pool that its entry lists.
        peers: Vec<wire::Peer>,
        /// Receives the result.
        grant: Grant,
    },
    /// The target sent the first byte of an answer.
    FirstByte(RunKey),
    /// The target crashed under a request.
    TargetCrashed(RunKey),
    /// The target answered a request successfully.
    Succeeded(RunKey),
    /// More events of a stream arrived; their number.
    Progress(RunKey, u64),
    /// A dispatched request has ended; the number of events since the last [`Self::Progress`].
    Finished(RunKey, u64),
    /// An exchange was opened.
    ExchangeStarted,
    /// An exchange has ended and its entry has received the last frame.
    ExchangeEnded,
    /// A report from the target.
    Report(TargetReport),
    /// A report of the target is late or failed.
    ReportMissed(Check),
    /// Events of the engine's cache.
    CacheEvents(Vec<prefix::Event>),
    /// The engine's list of blocks as it was after an event with this sequence number.
    BlockList(Incarnation, u64, Vec<prefix::Block>),
    /// Dispatch nothing until [`Self::Unquiesce`], so that the engine can load weights, and notify
    /// the sender once nothing runs at the target. The engine's own report of running requests
    /// can't be used for this, because it is delayed.
    Quiesce(oneshot::Sender<()>),
    /// Dispatch requests again.
    Unquiesce,
    /// Start the planned stop.
    Stop,
}

/// Report of a target's state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetReport {
    /// Incarnation of the target.
    pub incarnation: Incarnation,
    /// Model in use.
    pub model: String,
    /// Weights in use.
    pub weights: String,
    /// Whether the target is loading other weights.
    pub loading: bool,
}

/// Health of the target as the control thread sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// State of the target.
    pub state: State,
    /// Incarnation of the target.
    pub incarnation: Incarnation,
}

/// Traffic threads' end of the channel.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    messages: mpsc::UnboundedSender<ControlMessage>,
    health: watch::Receiver<Health>,
    snapshot_requests: watch::Receiver<u64>,
    may_exit: watch::Receiver<bool>,
    /// Time at which a byte of any answer last arrived.
    last_byte: Arc<AtomicU64>,
}

/// Control thread's end of the channel.
#[derive(Debug)]
pub struct ControlEndpoint {
    pub(super) messages: mpsc::UnboundedReceiver<ControlMessage>,
    pub(super) health: watch::Sender<Health>,
    pub(super) snapshot_requests: watch::Sender<u64>,
    pub(super) may_exit: watch::Sender<bool>,
    last_byte: Arc<AtomicU64>,
}

impl ControlEndpoint {
    /// Time at which a byte of any answer last arrived.
    pub fn last_byte_at(&self) -> Micros {
        Micros(self.last_byte.load(Ordering::Relaxed))
    }
}

impl ControlHandle {
    /// Sends a message to the control thread; it is lost if that thread has stopped.
    pub fn send(&self, message: ControlMessage) {
        let _ = self.messages.send(message);
    }

    /// Records that a byte of an answer arrived, which outweighs a late check.
    pub fn record_byte(&self) {
        self.last_byte.store(clock::now().0, Ordering::Relaxed);
    }

    /// Current health of the target.
    pub fn health(&self) -> Health {
        *self.health.borrow()
    }

    /// Waits until the target's process has exited or another incarnation has started. If the
    /// incarnation was unknown (0), the first one that is found counts as the same: otherwise a
    /// sidecar that serves right after its start would break off its first requests and record a
    /// crash against them.
    pub async fn until_exited(&self, incarnation: Incarnation) {
        self.until_lost(incarnation, &[State::Exited]).await;
    }

    /// Like [`Self::until_exited`], but also returns when the target hangs.
    pub async fn until_stalled(&self, incarnation: Incarnation) {
        self.until_lost(incarnation, &[State::Exited, State::Hung])
            .await;
    }

    async fn until_lost(&self, mut incarnation: Incarnation, states: &[State]) {
        let mut health = self.health.clone();
        let is_lost = |h: &Health| {
            if incarnation == Incarnation(0) {
                incarnation = h.incarnation;
            }
            states.contains(&h.state) || h.incarnation != incarnation
        };
        let stopped = health.wait_for(is_lost).await.is_err();
        if stopped {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the control thread requests the engine's list of blocks.
    pub async fn snapshot_requested(&mut self) {
        if self.snapshot_requests.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the process may exit.
    pub async fn until_may_exit(&mut self) {
        let _ = self.may_exit.wait_for(|may_exit| *may_exit).await;
    }
}

/// Creates a channel to a control thread.
pub fn channel() -> (ControlHandle, ControlEndpoint) {
    let (tx, rx) = mpsc::unbounded_channel();
    let (health_tx, health_rx) = watch::channel(Health::default());
    let (snapshot_tx, snapshot_rx) = watch::channel(0);
    let (exit_tx, exit_rx) = watch::channel(false);
    let last_byte = Arc::<AtomicU64>::default();
    let handle = ControlHandle {
        messages: tx,
        health: health_rx,
        snapshot_requests: snapshot_rx,
        may_exit: exit_rx,
        last_byte: Arc::clone(&last_byte),
    };
    let endpoint = ControlEndpoint {
        messages: rx,
        health: health_tx,
        snapshot_requests: snapshot_tx,
        may_exit: exit_tx,
        last_byte,
    };
    (handle, endpoint)
}
