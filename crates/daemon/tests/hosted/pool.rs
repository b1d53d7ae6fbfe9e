//! A pool of three engines with their sidecars.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{json, Value};
use standin::hosted::replica::Replica;
use standin::switch::Switch;
use tokio::time::{sleep, timeout};

use crate::fleet::{Entry, Platform, Process, LIMIT, MODEL};

/// Pause between two looks at something that is awaited.
const LOOK: Duration = Duration::from_millis(5);
/// How long a load takes in the pool of three.
const LOAD: Duration = Duration::from_millis(300);

/// Three engines with their sidecars, which know one another, and an entry.
pub struct Three {
    pub platform: Platform,
    pub engines: [Arc<Replica>; 3],
    pub sidecars: Vec<Process>,
    pub entry: Entry,
    /// Where the engines are reached.
    addrs: Vec<SocketAddr>,
}

impl Three {
    pub async fn start() -> Self {
        Self::on(Platform::start().await).await
    }

    /// The same on a platform whose processes reach one another through a switch.
    pub async fn behind(switch: &Arc<Switch>) -> Self {
        let platform = Platform::start().await;
        platform.store.set_switch(Arc::clone(switch));
        Self::on(platform).await
    }

    async fn on(mut platform: Platform) -> Self {
        let engines = ["e1", "e2", "e3"].map(|id| Replica::new(id, 2, Duration::ZERO));
        let (mut sidecars, mut addrs) = (Vec::new(), Vec::new());
        for e in &engines {
            e.set_version(MODEL, 1);
            e.set_load_time(LOAD);
            let at = platform.replica(e, "engines").await;
            sidecars.push(platform.sidecar(&format!("side-{}", e.id), at));
            addrs.push(at);
        }
        let entry = platform.entry("front-1", 3).await;
        for s in &sidecars {
            let all = |e: &Value| e["entries"] == 1 && e["sidecars"] == 2;
            s.event("members", all).await;
        }
        Self {
            platform,
            engines,
            sidecars,
            entry,
            addrs,
        }
    }

    /// Kills a sidecar and starts it again.
    pub fn restart(&mut self, n: usize) {
        self.sidecars[n].signal("KILL");
        self.sidecars[n].wait();
        self.sidecars[n] = self.start_sidecar(n);
    }

    fn start_sidecar(&self, n: usize) -> Process {
        let name = format!("side-{}", self.engines[n].id);
        self.platform.sidecar(&name, self.addrs[n])
    }

    pub fn name(&self, version: u64) {
        let named = json!({"model": MODEL, "version": version});
        self.platform.store.write("op", "version/lekha", &named);
    }

    /// Engines that load now.
    pub fn loading(&self) -> usize {
        let loading = self.engines.iter().filter(|e| e.loading().is_some());
        loading.count()
    }

    /// Whether all have a version.
    pub fn have(&self, version: u64) -> bool {
        self.engines.iter().all(|e| e.version(MODEL) == version)
    }

    /// What was ordered, for a failure's message.
    pub fn orders(&self) -> Vec<Value> {
        let orders = self.sidecars.iter().flat_map(|s| s.events("ordered"));
        orders.collect()
    }

    /// Waits until all have a version.
    pub async fn all_have(&self, version: u64) {
        let all = async {
            while !self.have(version) {
                // A load that has ended is in force from the next look on.
                let _loading = self.loading();
                sleep(LOOK).await;
            }
        };
        let waited = timeout(LIMIT, all).await;
        assert!(
            waited.is_ok(),
            "not all have {version}: {:?}",
            self.orders()
        );
    }

    /// Most engines that have loaded at a time.
    pub fn most(&self) -> usize {
        let loads: Vec<_> = self.engines.iter().flat_map(|e| e.loads()).collect();
        let at_start = |at| {
            loads
                .iter()
                .filter(|l| l.started <= at && at < l.ends)
                .count()
        };
        loads.iter().map(|l| at_start(l.started)).max().unwrap_or(0)
    }
}
