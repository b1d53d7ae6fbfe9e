//! Orders the engine to load other weights when the configuration names others.
//!
//! An engine doesn't serve while it loads, and loading slows down when more than a few engines of a
//! pool load at the same time. The sidecar therefore first takes one of the pool's permits and then
//! the engine's lease, waits until no request runs, and only then sends the order with the lease's
//! fencing token. Both are rows of the platform's table (`contract::lease`). Without the table
//! nothing is loaded, and the engine continues to serve its current weights.

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
use crate::sidecar::control_channel::{ControlHandle, ControlMessage, TargetReport};
use crate::sidecar::feed;
use crate::view::SharedView;

/// Interval at which the engine's weights are compared with the configuration.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a condition is checked while waiting for it.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for an order to the engine.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for running requests to end and the weights to load; after that the permit is
/// released for other sidecars.
const LOAD_TIMEOUT: Duration = Duration::from_secs(180);
/// How long an order may be on its way to an engine that doesn't check fencing tokens.
const SETTLE_TIME: Micros = Micros::from_secs(5);

/// Task that keeps the engine's weights in line with the configuration.
#[derive(Clone, Debug)]
pub struct WeightLoader {
    /// Address of the engine.
    pub target: SocketAddr,
    /// Pool of the engine.
    pub pool: String,
    /// View with the configuration in force.
    pub view: SharedView,
    /// Sends messages to the control thread.
    pub control: ControlHandle,
    /// The platform's table.
    pub table: Platform,
    /// Identifies this process; different in each incarnation.
    pub process: String,
}

/// The pool's weights according to the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
struct DesiredWeights {
    weights: String,
    fencing: bool,
    permits: usize,
}

/// Reason why the weights were not loaded. The next comparison starts another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum LoadError {
    #[error("the engine rejected the fencing token")]
    Fenced,
    #[error("the engine didn't accept the order")]
    Refused,
    #[error("the engine gave no report")]
    NoReport,
    #[error("timeout")]
    TimedOut,
    #[error("another sidecar has loaded them, or the configuration has changed")]
    Superseded,
}

impl WeightLoader {
    /// Compares and sends orders until the process ends.
    pub async fn run(self) {
        let client = Client::default();
        loop {
            sleep(COMPARE_INTERVAL).await;
            let (Some(desired), Some(report)) = (self.desired(), self.report(&client).await) else {
                continue;
            };
            if desired.weights.is_empty() || desired.weights == report.weights || report.loading {
                continue;
            }
            let weights = &desired.weights;
            spdlog::info!(logger: log::sidecar(), "engine has weights {}, configured are {weights}", report.weights);
            let result = timeout(LOAD_TIMEOUT, self.reload(&client, &desired)).await;
            self.control.send(ControlMessage::Unquiesce);
            match result.unwrap_or(Err(LoadError::TimedOut)) {
                Ok(()) => spdlog::info!(logger: log::sidecar(), "weights {weights} loaded"),
                Err(e) => {
                    spdlog::warn!(logger: log::sidecar(), "weights {weights} not loaded: {e}")
                }
            }
        }
    }

    async fn reload(&self, client: &Client, desired: &DesiredWeights) -> Result<(), LoadError> {
        let permit_config = Config {
            size: desired.permits.max(1),
            ..Config::default()
        };
        let settle = if desired.fencing {
            Micros::ZERO
        } else {
            SETTLE_TIME
        };
        let lease_config = Config {
            settle,
            ..Config::default()
        };
        let permit = self.hold_lease(permit_config, format!("permit/{}", self.pool));
        permit.until_valid().await;
        let lease = self.hold_lease(lease_config, format!("lease/{}", self.target));
        let fencing_token = loop {
            permit.until_valid().await;
            lease.until_valid().await;
            self.quiesce(client, desired).await?;
            // Last check before the order: a process that was paused until here finds its lease
            // expired.
            let now = clock::now();
            if let (Some(fencing_token), Some(_)) = (lease.valid(now), permit.valid(now)) {
                break fencing_token;
            }
            self.control.send(ControlMessage::Unquiesce);
            spdlog::warn!(
                logger: log::sidecar(),
                "lease or permit expired before the order to load weights {}, waiting for both", desired.weights
            );
        };
        if !self.is_desired(desired) {
            return Err(LoadError::Superseded);
        }
        self.send_order(client, fencing_token, &desired.weights)
            .await?;
        let report = self.until_loaded(client, &desired.weights).await;
        // Reported before the lease is released, so that callers needn't wait for the feed's next
        // report.
        self.control.send(ControlMessage::Unquiesce);
        self.control.send(ControlMessage::Report(report));
        Ok(())
    }

    /// Waits until nothing runs at the engine; fails if the load is no longer necessary.
    async fn quiesce(&self, client: &Client, desired: &DesiredWeights) -> Result<(), LoadError> {
        // Another sidecar of the same engine may have loaded the weights while this one waited.
        // Loading them again would break off the requests that run now.
        let report = self.report(client).await.ok_or(LoadError::NoReport)?;
        if report.weights == desired.weights || !self.is_desired(desired) {
            return Err(LoadError::Superseded);
        }
        let (quiesced, when_quiesced) = oneshot::channel();
        self.control.send(ControlMessage::Quiesce(quiesced));
        when_quiesced.await.map_err(|_| LoadError::TimedOut)
    }

    async fn until_loaded(&self, client: &Client, weights: &str) -> TargetReport {
        loop {
            match self.report(client).await {
                Some(report) if report.weights == weights => return report,
                _ => sleep(POLL_INTERVAL).await,
            }
        }
    }

    async fn send_order(
        &self,
        client: &Client,
        fencing_token: u64,
        weights: &str,
    ) -> Result<(), LoadError> {
        let body = json!({"fence": fencing_token, "order": "load", "weights": weights}).to_string();
        let uri = format!("http://{}/orders", self.target);
        let call = Call::new(Method::POST, uri, ORDER_TIMEOUT).body(body);
        match client.call(call).await {
            Ok((s, _)) if s.is_success() => Ok(()),
            Ok((StatusCode::CONFLICT, _)) => Err(LoadError::Fenced),
            _ => Err(LoadError::Refused),
        }
    }

    /// Fetches the engine's report; the feed logs failures.
    async fn report(&self, client: &Client) -> Option<TargetReport> {
        feed::fetch_report(client, self.target).await.ok()
    }

    fn desired(&self) -> Option<DesiredWeights> {
        let view = self.view.load();
        let pool = view.rules.as_ref()?.config().pool.get(&self.pool)?;
        Some(DesiredWeights {
            weights: pool.weights.clone(),
            fencing: pool.fencing,
            permits: pool.permits as usize,
        })
    }

    fn is_desired(&self, desired: &DesiredWeights) -> bool {
        self.desired().as_ref() == Some(desired)
    }

    fn hold_lease(&self, config: Config, key: String) -> HeldLease {
        let lease = Lease::new(config, key, self.process.clone());
        HeldLease::start(lease, self.table.clone())
    }
}

/// A lease that is renewed until this is dropped.
struct HeldLease {
    lease: Arc<Mutex<Lease>>,
    changed: watch::Receiver<()>,
    /// Notified when the lease is released.
    released: Arc<Notify>,
}

impl HeldLease {
    fn start(lease: Lease, table: Platform) -> Self {
        let lease = Arc::new(Mutex::new(lease));
        let released = Arc::<Notify>::default();
        let (tx, changed) = watch::channel(());
        let maintaining = maintain_lease(Arc::clone(&lease), table, tx, Arc::clone(&released));
        tokio::spawn(maintaining);
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
            // The lease may also become valid by the passing of time.
            let _ = timeout(POLL_INTERVAL, changed.changed()).await;
        }
    }
}

impl Drop for HeldLease {
    fn drop(&mut self) {
        // The task continues until the entry is removed from the row, starting at once because
        // others wait for the lease.
        lock(&self.lease).release();
        self.released.notify_one();
    }
}

async fn maintain_lease(
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
                let delay = until.since(clock::now()).into();
                let _ = timeout(delay, released.notified()).await;
                lock(&lease).tick(clock::now())
            }
        };
        changed.send_replace(());
    }
}

fn lock(lease: &Mutex<Lease>) -> MutexGuard<'_, Lease> {
    lease.lock().unwrap_or_else(PoisonError::into_inner)
}
