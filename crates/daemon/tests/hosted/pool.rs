//! A pool of three engines with their sidecars.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{json, Value};
use standin::hosted::replica::Replica;
use standin::switch::Switch;
use tokio::time::{sleep, timeout};

use crate::fleet::{Entry, Platform, Process, MODEL, TIMEOUT};

/// Interval between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Duration of a weight load.
const LOAD_TIME: Duration = Duration::from_millis(300);

/// EnginePool engines with their sidecars, and an entry. All processes have discovered one another.
pub struct EnginePool {
    pub platform: Platform,
    pub engines: [Arc<Replica>; 3],
    pub sidecars: Vec<Process>,
    pub entry: Entry,
    /// Addresses of the engines.
    addrs: Vec<SocketAddr>,
}

impl EnginePool {
    /// Starts the pool on a new platform.
    pub async fn start() -> Self {
        Self::start_on(Platform::start().await).await
    }

    /// Starts the pool on a new platform whose processes exchange datagrams through a switch.
    pub async fn start_behind(switch: &Arc<Switch>) -> Self {
        let platform = Platform::start().await;
        platform.store.set_switch(Arc::clone(switch));
        Self::start_on(platform).await
    }

    async fn start_on(mut platform: Platform) -> Self {
        let engines = ["e1", "e2", "e3"].map(|id| Replica::new(id, 2, Duration::ZERO));
        let (mut sidecars, mut addrs) = (Vec::new(), Vec::new());
        for e in &engines {
            e.set_version(MODEL, 1);
            e.set_load_time(LOAD_TIME);
            let at = platform.replica(e, "engines").await;
            sidecars.push(platform.sidecar(&format!("side-{}", e.id), at));
            addrs.push(at);
        }
        let entry = platform.entry("front-1", 3).await;
        for s in &sidecars {
            let is_complete = |e: &Value| e["entries"] == 1 && e["sidecars"] == 2;
            s.wait_for_event("members", is_complete).await;
        }
        Self {
            platform,
            engines,
            sidecars,
            entry,
            addrs,
        }
    }

    /// Kills a sidecar and restarts it.
    pub fn restart_sidecar(&mut self, index: usize) {
        self.sidecars[index].signal("KILL");
        self.sidecars[index].wait_for_end();
        self.sidecars[index] = self.start_sidecar(index);
    }

    fn start_sidecar(&self, index: usize) -> Process {
        let name = format!("side-{}", self.engines[index].id);
        self.platform.sidecar(&name, self.addrs[index])
    }

    /// Announces a version of the model to all engines.
    pub fn announce(&self, version: u64) {
        let announcement = json!({"model": MODEL, "version": version});
        self.platform
            .store
            .write("op", "version/lekha", &announcement);
    }

    /// Number of engines that are loading.
    pub fn loading_count(&self) -> usize {
        let loading = self.engines.iter().filter(|e| e.loading().is_some());
        loading.count()
    }

    /// Whether all engines have a version.
    pub fn all_have(&self, version: u64) -> bool {
        self.engines.iter().all(|e| e.version(MODEL) == version)
    }

    /// Log lines on the orders that the sidecars sent, for failure messages.
    pub fn orders(&self) -> Vec<Value> {
        let orders = self.sidecars.iter().flat_map(|s| s.events("ordered"));
        orders.collect()
    }

    /// Waits until all engines have a version.
    pub async fn wait_for_version(&self, version: u64) {
        let all_have = async {
            while !self.all_have(version) {
                // A finished load takes effect only when the stand-in's state is next read.
                let _loading = self.loading_count();
                sleep(POLL_INTERVAL).await;
            }
        };
        let result = timeout(TIMEOUT, all_have).await;
        assert!(
            result.is_ok(),
            "not all engines have version {version}: {:?}",
            self.orders()
        );
    }

    /// Highest number of engines that have loaded at a time.
    pub fn max_concurrent_loads(&self) -> usize {
        let loads: Vec<_> = self.engines.iter().flat_map(|e| e.loads()).collect();
        let count_at = |at| {
            loads
                .iter()
                .filter(|l| l.started <= at && at < l.ends)
                .count()
        };
        loads.iter().map(|l| count_at(l.started)).max().unwrap_or(0)
    }
}
