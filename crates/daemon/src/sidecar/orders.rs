//! Orders to the engine: other weights when the configuration names others.
//!
//! Loading takes the engine out of service and slows down when more than a few of a pool load at
//! once, so that a sidecar first takes one of the pool's permits, then the engine's lease, lets
//! what runs end, and only then orders, with the lease's fencing number. Both are rows of the
//! platform's table (`contract::lease`); without the table nothing is loaded and the engine goes
//! on serving what it has.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use contract::lease::Config;
use contract::{Lease, LeaseStep};
use hyper::{Method, StatusCode};
use model::Micros;
use serde_json::json;
use store::{Call, Client, Platform, Table};
use tokio::sync::{oneshot, watch, Notify};
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::log;
use crate::sidecar::ask::{Ask, Asker, Load};
use crate::sidecar::feed;
use crate::view::SharedView;

/// How often what the engine serves is compared with the configuration.
const PERIOD: Duration = Duration::from_secs(1);
/// How often a state that is waited for is looked at.
const LOOK: Duration = Duration::from_millis(100);
/// Longest order to the engine.
const LIMIT: Duration = Duration::from_secs(1);
/// Longest time for what runs to end and for weights to load; then others get the permit.
const LONGEST: Duration = Duration::from_secs(180);
/// How long an order may stay on its way to an engine that doesn't check fencing numbers.
const SETTLE: Micros = Micros::from_secs(5);

/// What the driver needs.
#[derive(Clone, Debug)]
pub struct Orders {
    /// The engine.
    pub target: SocketAddr,
    /// Its pool.
    pub pool: String,
    /// The configuration.
    pub view: SharedView,
    /// The control thread.
    pub control: Asker,
    /// The platform's table.
    pub table: Platform,
    /// Names this process, differently in each life.
    pub who: String,
}

/// What the configuration says of the pool.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Wanted {
    weights: String,
    fencing: bool,
    permits: usize,
}

/// Why a load didn't come about; the next round tries again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum Missed {
    #[error("the engine refused the order as old")]
    Fenced,
    #[error("the engine didn't take the order")]
    Refused,
    #[error("the engine doesn't say what it serves")]
    Silent,
    #[error("it took too long")]
    Late,
    #[error("another sidecar has loaded them, or others are wanted by now")]
    Over,
}

impl Orders {
    /// Compares and orders for ever.
    pub async fn run(self) {
        let client = Client::default();
        loop {
            sleep(PERIOD).await;
            let (Some(want), Some(load)) = (self.wanted(), self.load(&client).await) else {
                continue;
            };
            if want.weights.is_empty() || want.weights == load.weights || load.loading {
                continue;
            }
            let text = &want.weights;
            spdlog::info!(logger: log::sidecar(), "weights {text} wanted, has {}", load.weights);
            let done = timeout(LONGEST, self.reload(&client, &want)).await;
            self.control.send(Ask::Unquiet);
            match done.unwrap_or(Err(Missed::Late)) {
                Ok(()) => spdlog::info!(logger: log::sidecar(), "weights {text} loaded"),
                Err(e) => spdlog::warn!(logger: log::sidecar(), "weights {text} not loaded: {e}"),
            }
        }
    }

    async fn reload(&self, client: &Client, want: &Wanted) -> Result<(), Missed> {
        let permit = Config {
            size: want.permits.max(1),
            ..Config::default()
        };
        let settle = if want.fencing { Micros::ZERO } else { SETTLE };
        let engine = Config {
            settle,
            ..Config::default()
        };
        let permit = self.keep(permit, format!("permit/{}", self.pool));
        permit.until_valid().await;
        let lease = self.keep(engine, format!("lease/{}", self.target));
        let fence = loop {
            permit.until_valid().await;
            lease.until_valid().await;
            self.until_quiet(client, want).await?;
            // The last look before the order: a process that was paused up to here finds it invalid.
            let now = clock::now();
            if let (Some(fence), Some(_)) = (lease.valid(now), permit.valid(now)) {
                break fence;
            }
            self.control.send(Ask::Unquiet);
            spdlog::warn!(
                logger: log::sidecar(),
                "the lease ran out before the order of weights {}, waiting for it", want.weights
            );
        };
        if !self.is_wanted(want) {
            return Err(Missed::Over);
        }
        self.order(client, fence, &want.weights).await?;
        let load = self.until_loaded(client, &want.weights).await;
        // Before others get the lease: callers needn't wait for the next look at the engine.
        self.control.send(Ask::Unquiet);
        self.control.send(Ask::Load(load));
        Ok(())
    }

    /// Waits until nothing runs at the engine, unless it needs no load any more.
    async fn until_quiet(&self, client: &Client, want: &Wanted) -> Result<(), Missed> {
        // Whoever stands before the same engine may have loaded them while this one waited. To
        // load them again would cut what runs there by now.
        let load = self.load(client).await.ok_or(Missed::Silent)?;
        if load.weights == want.weights || !self.is_wanted(want) {
            return Err(Missed::Over);
        }
        let (quiet, is_quiet) = oneshot::channel();
        self.control.send(Ask::Quiet(quiet));
        is_quiet.await.map_err(|_| Missed::Late)
    }

    async fn until_loaded(&self, client: &Client, weights: &str) -> Load {
        loop {
            match self.load(client).await {
                Some(load) if load.weights == weights => return load,
                _ => sleep(LOOK).await,
            }
        }
    }

    async fn order(&self, client: &Client, fence: u64, weights: &str) -> Result<(), Missed> {
        let body = json!({"fence": fence, "order": "load", "weights": weights}).to_string();
        let uri = format!("http://{}/orders", self.target);
        let call = Call::new(Method::POST, uri, LIMIT).body(body);
        match client.call(call).await {
            Ok((s, _)) if s.is_success() => Ok(()),
            Ok((StatusCode::CONFLICT, _)) => Err(Missed::Fenced),
            _ => Err(Missed::Refused),
        }
    }

    /// The engine's load; why it can't be had is logged by the feed.
    async fn load(&self, client: &Client) -> Option<Load> {
        feed::load(client, self.target).await.ok()
    }

    fn wanted(&self) -> Option<Wanted> {
        let view = self.view.load();
        let pool = view.rules.as_ref()?.config().pool.get(&self.pool)?;
        Some(Wanted {
            weights: pool.weights.clone(),
            fencing: pool.fencing,
            permits: pool.permits as usize,
        })
    }

    fn is_wanted(&self, want: &Wanted) -> bool {
        self.wanted().as_ref() == Some(want)
    }

    fn keep(&self, config: Config, key: String) -> Keeper {
        let lease = Lease::new(config, key, self.who.clone());
        Keeper::start(lease, self.table.clone())
    }
}

/// Holds a lease until it is dropped.
struct Keeper {
    lease: Arc<Mutex<Lease>>,
    changed: watch::Receiver<()>,
    /// Notified when it is given up.
    released: Arc<Notify>,
}

impl Keeper {
    fn start(lease: Lease, table: Platform) -> Self {
        let lease = Arc::new(Mutex::new(lease));
        let released = Arc::<Notify>::default();
        let (tx, changed) = watch::channel(());
        let keeping = keep(Arc::clone(&lease), table, tx, Arc::clone(&released));
        tokio::spawn(keeping);
        Self {
            lease,
            changed,
            released,
        }
    }

    fn valid(&self, now: Micros) -> Option<u64> {
        lock(&self.lease).valid(now)
    }

    async fn until_valid(&self) {
        let mut changed = self.changed.clone();
        while self.valid(clock::now()).is_none() {
            // A right may also begin by the passing of time.
            let _ = timeout(LOOK, changed.changed()).await;
        }
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        // The task continues until the row shows it; at once, since others wait for the place.
        lock(&self.lease).release();
        self.released.notify_one();
    }
}

async fn keep(
    lease: Arc<Mutex<Lease>>,
    table: Platform,
    changed: watch::Sender<()>,
    released: Arc<Notify>,
) {
    let mut step = lock(&lease).tick(clock::now());
    while !lock(&lease).is_released() {
        step = match step {
            LeaseStep::Call(request) => {
                let reply = table.call(request).await;
                lock(&lease).step(clock::now(), reply)
            }
            LeaseStep::Sleep(until) => {
                let pause = until.since(clock::now()).into();
                let _ = timeout(pause, released.notified()).await;
                lock(&lease).tick(clock::now())
            }
        };
        changed.send_replace(());
    }
}

fn lock(lease: &Mutex<Lease>) -> MutexGuard<'_, Lease> {
    lease.lock().unwrap_or_else(PoisonError::into_inner)
}
