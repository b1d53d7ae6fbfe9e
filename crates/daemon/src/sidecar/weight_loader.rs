//! Orders the engine to load other weights when the configuration names others.
//!
//! An engine doesn't serve while it loads, and loading slows down when more than a few engines of a
//! pool load at the same time. The sidecar therefore first takes one of the pool's permits and then
//! the engine's lease, waits until no request runs, and only then sends the order with the lease's
//! fencing token. Both are rows of the platform's table (`contract::lease`). Without the table
//! nothing is loaded, and the engine continues to serve its current weights.
//!
//! A permit is held until the engine reports that the load has ended, whatever its length. If the
//! sidecar is silent meanwhile, the sidecars that wait for a permit check its engine
//! ([`EngineWork`]), and so does a process that replaces it.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use contract::lease::Config;
use contract::{Lease, LeaseStep};
use hyper::{Method, StatusCode};
use model::Micros;
use policy::liveness::Check;
use serde_json::json;
use store::{Call, Client, Platform, Table};
use tokio::sync::{oneshot, watch, Notify};
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::log;
use crate::sidecar::control_channel::{ControlHandle, ControlMessage, TargetReport};
use crate::sidecar::engine_work::{self, EngineWork};
use crate::sidecar::feed;
use crate::view::SharedView;

/// Interval at which the engine's weights are compared with the configuration.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a condition is checked while waiting for it.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for an order to the engine.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time until an order is sent; after that the permit is released for other sidecars.
const ORDER_DEADLINE: Duration = Duration::from_secs(180);
/// How long an engine that doesn't answer counts as loading.
const LOST_ENGINE_TIMEOUT: Micros = Micros::from_secs(180);
/// Time after an accepted order within which the engine's report may not show the load yet.
const REPORT_DELAY: Micros = Micros::from_millis(500);
/// How long an order may be on its way to an engine that doesn't check fencing tokens.
const SETTLE_TIME: Micros = Micros::from_secs(5);

/// Task that keeps the engine's weights in line with the configuration.
#[derive(Clone, Debug)]
pub struct WeightLoader {
    /// Address of this host, as it is announced.
    pub host: IpAddr,
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
    #[error("the engine exited during the load")]
    Exited,
    #[error("the engine ended the load with other weights")]
    Ended,
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
            if desired.weights.is_empty() || desired.weights == report.weights {
                continue;
            }
            if report.loading {
                self.watch_load(&client, &desired).await;
                continue;
            }
            let weights = &desired.weights;
            spdlog::info!(logger: log::sidecar(), "engine has weights {}, configured are {weights}", report.weights);
            let result = self.reload(&client, &desired).await;
            self.control.send(ControlMessage::Unquiesce);
            match result {
                Ok(()) => spdlog::info!(logger: log::sidecar(), "weights {weights} loaded"),
                Err(e) => {
                    spdlog::warn!(logger: log::sidecar(), "weights {weights} not loaded: {e}")
                }
            }
        }
    }

    async fn reload(&self, client: &Client, desired: &DesiredWeights) -> Result<(), LoadError> {
        let acquiring = timeout(ORDER_DEADLINE, self.acquire(client, desired));
        let rights = acquiring.await.map_err(|_| LoadError::TimedOut)??;
        if !self.is_desired(desired) {
            return Err(LoadError::Superseded);
        }
        let settled = self
            .send_order(client, rights.fencing_token, &desired.weights)
            .await?;
        let report = self.until_ended(client, &desired.weights, settled).await?;
        rights.permit.end_work();
        // Reported before the lease is released, so that callers needn't wait for the feed's next
        // report.
        self.control.send(ControlMessage::Unquiesce);
        self.control.send(ControlMessage::Report(report));
        Ok(())
    }

    /// Takes a permit and the engine's lease, and waits until no request runs.
    async fn acquire(
        &self,
        client: &Client,
        desired: &DesiredWeights,
    ) -> Result<Rights, LoadError> {
        let settle = if desired.fencing {
            Micros::ZERO
        } else {
            SETTLE_TIME
        };
        let lease_config = Config {
            settle,
            ..Config::default()
        };
        let permit = self.hold_permit(desired.permits.max(1));
        permit.until_valid().await;
        let lease = self.hold_lease(lease_config, format!("lease/{}", self.target));
        loop {
            permit.until_valid().await;
            lease.until_valid().await;
            self.quiesce(client, desired).await?;
            permit.start_work(self.work());
            permit.until_work_recorded().await;
            // Last check before the order: a process that was paused until here finds its lease
            // expired.
            let now = clock::now();
            if let (Some(fencing_token), true) = (lease.valid(now), permit.may_work(now)) {
                return Ok(Rights {
                    permit,
                    _lease: lease,
                    fencing_token,
                });
            }
            self.control.send(ControlMessage::Unquiesce);
            spdlog::warn!(
                logger: log::sidecar(),
                "lease or permit expired before the order to load weights {}, waiting for both", desired.weights
            );
        }
    }

    /// Keeps the permit of an earlier process of this sidecar while the engine loads.
    async fn watch_load(&self, client: &Client, desired: &DesiredWeights) {
        // With no size the lease is never acquired and only watches the holders.
        let watcher = self.hold_permit(0);
        let now = clock::now();
        match self.until_ended(client, &desired.weights, now).await {
            Ok(r) => {
                spdlog::info!(logger: log::sidecar(), "earlier load of weights {} has ended", r.weights)
            }
            Err(e) => {
                spdlog::warn!(logger: log::sidecar(), "earlier load is no longer watched, weights {} not loaded: {e}", desired.weights)
            }
        }
        drop(watcher);
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

    /// Waits until the engine's report shows that a load has ended. Before `settled` the report may
    /// not show the load yet.
    async fn until_ended(
        &self,
        client: &Client,
        weights: &str,
        settled: Micros,
    ) -> Result<TargetReport, LoadError> {
        let mut last_report = settled;
        loop {
            let now = clock::now();
            match feed::fetch_report(client, self.target).await {
                Ok(r) if r.weights == weights => return Ok(r),
                Ok(r) if r.loading || now < settled => last_report = now.max(settled),
                Ok(_) => return Err(LoadError::Ended),
                Err(e) if e.check() == Check::Refused && now >= settled => {
                    return Err(LoadError::Exited)
                }
                Err(_) if now.since(last_report) >= LOST_ENGINE_TIMEOUT => {
                    return Err(LoadError::TimedOut)
                }
                Err(_) => {}
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends an order. Returns the time from which the engine's report is certain to show the load.
    /// An order without an answer may still be carried out, and a busy engine carries out one.
    async fn send_order(
        &self,
        client: &Client,
        fencing_token: u64,
        weights: &str,
    ) -> Result<Micros, LoadError> {
        let body = json!({"fence": fencing_token, "order": "load", "weights": weights}).to_string();
        let uri = format!("http://{}/orders", self.target);
        let call = Call::new(Method::POST, uri, ORDER_TIMEOUT).body(body);
        match client.call(call).await {
            Ok((s, _)) if s.is_success() => Ok(clock::now() + REPORT_DELAY),
            Ok((StatusCode::CONFLICT, _)) => Err(LoadError::Fenced),
            Ok((s, _)) if s.is_client_error() => Err(LoadError::Refused),
            Err(e) if e.is_refused() => Err(LoadError::Refused),
            Ok((s, _)) => {
                spdlog::warn!(logger: log::sidecar(), "order to load weights {weights}: status {s}");
                Ok(clock::now() + SETTLE_TIME)
            }
            Err(e) => {
                spdlog::warn!(logger: log::sidecar(), "order to load weights {weights}: {e}");
                Ok(clock::now() + SETTLE_TIME)
            }
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

    /// The work of this sidecar's engine.
    fn work(&self) -> EngineWork {
        EngineWork {
            host: self.host,
            target: self.target,
        }
    }

    fn hold_permit(&self, size: usize) -> HeldLease {
        let config = Config {
            size,
            ..Config::default()
        };
        self.hold_lease(config, format!("permit/{}", self.pool))
    }

    fn hold_lease(&self, config: Config, key: String) -> HeldLease {
        let lease = Lease::new(config, key, self.process.clone());
        HeldLease::start(lease, self.table.clone(), self.host)
    }
}

/// What an order to the engine requires.
struct Rights {
    permit: HeldLease,
    /// The engine's lease, held until the load has ended.
    _lease: HeldLease,
    fencing_token: u64,
}

/// A lease that is renewed until this is dropped.
struct HeldLease {
    lease: Arc<Mutex<Lease>>,
    changed: watch::Receiver<()>,
    /// Notified when the row has to be written at once.
    wake: Arc<Notify>,
}

impl HeldLease {
    fn start(lease: Lease, table: Platform, host: IpAddr) -> Self {
        let lease = Arc::new(Mutex::new(lease));
        let wake = Arc::<Notify>::default();
        let (tx, changed) = watch::channel(());
        let maintaining = Maintaining {
            lease: Arc::clone(&lease),
            table,
            host,
            changed: tx,
            wake: Arc::clone(&wake),
        };
        tokio::spawn(maintaining.run());
        Self {
            lease,
            changed,
            wake,
        }
    }

    fn valid(&self, now: Micros) -> Option<u64> {
        lock(&self.lease).valid(now)
    }

    fn may_work(&self, now: Micros) -> bool {
        lock(&self.lease).may_work(now)
    }

    /// Records work in the row, at once.
    fn start_work(&self, work: EngineWork) {
        lock(&self.lease).start_work(clock::now(), work.to_string());
        self.wake.notify_one();
    }

    fn end_work(&self) {
        lock(&self.lease).end_work(clock::now());
    }

    /// Waits until the work is recorded or the lease has expired.
    async fn until_work_recorded(&self) {
        let mut changed = self.changed.clone();
        let pending = |now| self.valid(now).is_some() && !self.may_work(now);
        while pending(clock::now()) {
            let _ = timeout(POLL_INTERVAL, changed.changed()).await;
        }
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
        self.wake.notify_one();
    }
}

/// The task that renews a lease.
struct Maintaining {
    lease: Arc<Mutex<Lease>>,
    table: Platform,
    host: IpAddr,
    changed: watch::Sender<()>,
    wake: Arc<Notify>,
}

impl Maintaining {
    async fn run(self) {
        let client = Client::default();
        let lease = &self.lease;
        let mut step = lock(lease).tick(clock::now());
        while !lock(lease).is_released() {
            step = match step {
                LeaseStep::Call(request) => {
                    let reply = self.table.call(request).await;
                    lock(lease).step(clock::now(), reply)
                }
                LeaseStep::Check(work) => {
                    let work = engine_work::check(&client, self.host, &work).await;
                    lock(lease).checked(clock::now(), work)
                }
                LeaseStep::Sleep(until) => {
                    let delay = until.since(clock::now()).into();
                    let _ = timeout(delay, self.wake.notified()).await;
                    lock(lease).tick(clock::now())
                }
            };
            self.changed.send_replace(());
        }
    }
}

fn lock(lease: &Mutex<Lease>) -> MutexGuard<'_, Lease> {
    lease.lock().unwrap_or_else(PoisonError::into_inner)
}
