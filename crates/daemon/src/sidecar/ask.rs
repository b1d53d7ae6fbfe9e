//! The channel between traffic and the control thread.
//!
//! Traffic runs on many threads and decisions on one, so that they need no lock. What traffic has
//! to say goes there as messages; what all of traffic waits for (the target's health, the wish for
//! its whole cache, the leave to exit) comes back as watched values.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use model::{Incarnation, Micros};
use policy::liveness::{Check, State};
use tokio::sync::{mpsc, oneshot, watch};

use crate::clock;
use crate::sidecar::scheduler::{Refusal, RequestSpec, RunKey};

/// Told when a request's turn comes, or that it doesn't.
pub type Grant = oneshot::Sender<Result<RunKey, Refusal>>;

/// What traffic tells control.
#[derive(Debug)]
pub enum Ask {
    /// A request wants its turn.
    Enqueue {
        /// What it asks.
        request: RequestSpec,
        /// Told when its turn comes.
        grant: Grant,
    },
    /// The target sent a first byte.
    First(RunKey),
    /// The target died under a request.
    Crashed(RunKey),
    /// The target answered a request well.
    Served(RunKey),
    /// So many more events of a stream came.
    Progress(RunKey, u64),
    /// A request that had its turn has ended, after so many more events of its stream.
    Finished(RunKey, u64),
    /// An exchange began.
    Taken,
    /// An exchange has ended and its entry knows.
    Ended,
    /// The target's load.
    Load(Load),
    /// The target didn't say its load.
    Missed(Check),
    /// Cache events.
    Events(Vec<prefix::Event>),
    /// The whole cache.
    Cache(Incarnation, u64, Vec<prefix::Block>),
    /// Leave the target alone for an order; told once nothing runs there. The engine's own
    /// report of what runs lags and can't be used for this.
    Quiet(oneshot::Sender<()>),
    /// The order is over.
    Unquiet,
    /// The process is told to stop.
    Stop,
}

/// What a target reports of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Its life.
    pub incarnation: Incarnation,
    /// Model it serves.
    pub model: String,
    /// Weights it serves.
    pub weights: String,
    /// Whether it is loading others.
    pub loading: bool,
}

/// What the target was found to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Whether it is alive.
    pub state: State,
    /// Its life.
    pub life: Incarnation,
}

/// Traffic's way to the control thread.
#[derive(Clone, Debug)]
pub struct Asker {
    ask: mpsc::UnboundedSender<Ask>,
    health: watch::Receiver<Health>,
    need: watch::Receiver<u64>,
    gone: watch::Receiver<bool>,
    /// When a byte of an answer came last.
    byte: Arc<AtomicU64>,
}

/// Control's end of it.
#[derive(Debug)]
pub struct Asked {
    pub(super) ask: mpsc::UnboundedReceiver<Ask>,
    pub(super) health: watch::Sender<Health>,
    pub(super) need: watch::Sender<u64>,
    pub(super) gone: watch::Sender<bool>,
    byte: Arc<AtomicU64>,
}

impl Asked {
    /// When a byte of an answer came last.
    pub fn received(&self) -> Micros {
        Micros(self.byte.load(Ordering::Relaxed))
    }
}

impl Asker {
    /// Tells control something; it is lost if control has stopped.
    pub fn send(&self, ask: Ask) {
        let _ = self.ask.send(ask);
    }

    /// Notes a byte of the target's answers, which outweighs a late check.
    pub fn received(&self) {
        self.byte.store(clock::now().0, Ordering::Relaxed);
    }

    /// What the target was last found to be.
    pub fn health(&self) -> Health {
        *self.health.borrow()
    }

    /// Waits until the target's process has exited or another one is there. The first incarnation found
    /// is not another one than that which wasn't known yet: a sidecar that serves as soon as it starts
    /// would else break off its first requests, and hold a crash against them.
    pub async fn exited(&self, life: Incarnation) {
        self.lost(life, &[State::Exited]).await;
    }

    /// The same, or until the target hangs.
    pub async fn stalled(&self, life: Incarnation) {
        self.lost(life, &[State::Exited, State::Hung]).await;
    }

    async fn lost(&self, mut life: Incarnation, states: &[State]) {
        let mut health = self.health.clone();
        let is_lost = |h: &Health| {
            if life == Incarnation(0) {
                life = h.life;
            }
            states.contains(&h.state) || h.life != life
        };
        let stopped = health.wait_for(is_lost).await.is_err();
        if stopped {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until control wants the engine's whole cache.
    pub async fn wanted(&mut self) {
        if self.need.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the process may exit.
    pub async fn exit(&mut self) {
        let _ = self.gone.wait_for(|g| *g).await;
    }
}

/// A new way to a control thread.
pub fn channel() -> (Asker, Asked) {
    let (tx, rx) = mpsc::unbounded_channel();
    let (health, is_healthy) = watch::channel(Health::default());
    let (need, needed) = watch::channel(0);
    let (gone, is_gone) = watch::channel(false);
    let byte = Arc::<AtomicU64>::default();
    let asker = Asker {
        ask: tx,
        health: is_healthy,
        need: needed,
        gone: is_gone,
        byte: Arc::clone(&byte),
    };
    let asked = Asked {
        ask: rx,
        health,
        need,
        gone,
        byte,
    };
    (asker, asked)
}
