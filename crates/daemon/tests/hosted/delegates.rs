//! Weight orders that entries send as delegates to engines without a reporting sidecar.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use serde_json::{json, Value};
use standin::hosted::replica::Replica;
use standin::switch::{Conditions, Switch};
use tokio::time::{sleep, timeout};

use crate::fleet::{fetch, Entry, Platform, Process, MODEL};

/// Time limit for all engines to load a version.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(40);
/// Minimum interval, in milliseconds, between orders of two processes to one engine.
const LEASE_MS: u64 = 3_000;
/// Duration of a weight load.
const LOAD_TIME: Duration = Duration::from_millis(300);
/// Interval between two checks of the engines' state.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Fault that occurs while a version is rolled out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Once an engine loads, each sidecar is killed and restarted, one after the other.
    SidecarsKilled,
    /// A sidecar is paused until a delegate has loaded the version on its engine.
    SidecarPaused,
    /// Once an engine loads, each entry is killed and restarted, one after the other.
    EntriesKilled,
}

struct Case {
    name: &'static str,
    /// Number of the three engines that have a sidecar.
    sidecars: usize,
    /// Share of datagrams that are lost.
    loss: f64,
    fault: Fault,
    /// Whether callers may be refused while the last two versions are rolled out.
    allow_refusals: bool,
}

/// Engines whose sidecars are missing keep old weights, load twice, or get conflicting orders.
#[tokio::test]
async fn engines_without_a_reporting_sidecar_load_each_version_once_and_in_order() {
    #[rustfmt::skip]
    let cases = [
        Case { name: "no sidecars", sidecars: 0, loss: 0.0, fault: Fault::None, allow_refusals: false },
        Case { name: "no sidecars, datagrams are lost", sidecars: 0, loss: 0.3, fault: Fault::None, allow_refusals: false },
        Case { name: "one sidecar", sidecars: 1, loss: 0.0, fault: Fault::None, allow_refusals: false },
        Case { name: "two sidecars, datagrams are lost", sidecars: 2, loss: 0.3, fault: Fault::None, allow_refusals: false },
        Case { name: "sidecars are killed one after the other", sidecars: 3, loss: 0.0, fault: Fault::SidecarsKilled, allow_refusals: true },
        Case { name: "a sidecar is paused", sidecars: 3, loss: 0.0, fault: Fault::SidecarPaused, allow_refusals: true },
        Case { name: "entries are killed one after the other", sidecars: 0, loss: 0.0, fault: Fault::EntriesKilled, allow_refusals: true },
    ];
    join_all((0..).zip(&cases).map(|(seed, c)| check_case(c, seed))).await;
}

/// Three engines, some of them with sidecars, and two entries.
struct Fleet {
    platform: Platform,
    engines: [Arc<Replica>; 3],
    sidecars: Vec<Process>,
    entries: Vec<Entry>,
}

impl Fleet {
    async fn start(c: &Case, seed: u64) -> Self {
        let mut platform = Platform::start().await;
        let switch = Switch::new(seed);
        switch.set_conditions(Conditions {
            loss: c.loss,
            ..Conditions::IDEAL
        });
        platform.store.set_switch(switch);
        let engines = ["e1", "e2", "e3"].map(|id| Replica::new(id, 2, Duration::ZERO));
        let mut sidecars = Vec::new();
        for (i, e) in engines.iter().enumerate() {
            e.set_version(MODEL, 1);
            e.set_load_time(LOAD_TIME);
            let at = platform.replica(e, "engines").await;
            if i < c.sidecars {
                sidecars.push(platform.sidecar(&format!("side-{}", e.id), at));
            }
        }
        let mut entries = Vec::new();
        for name in ["front-1", "front-2"] {
            entries.push(platform.entry(name, 3).await);
        }
        Self {
            platform,
            engines,
            sidecars,
            entries,
        }
    }

    /// Announces a version of the model to all engines.
    fn announce(&self, version: u64) {
        let announcement = json!({"model": MODEL, "version": version});
        self.platform
            .store
            .write("op", "version/lekha", &announcement);
    }

    /// Whether all engines have a version.
    fn all_have(&self, version: u64) -> bool {
        self.engines.iter().all(|e| e.version(MODEL) == version)
    }

    /// Number of engines that are loading.
    fn loading_count(&self) -> usize {
        let loading = self.engines.iter().filter(|e| e.loading().is_some());
        loading.count()
    }

    /// All sidecars and entries.
    fn processes(&self) -> impl Iterator<Item = &Process> {
        let entries = self.entries.iter().map(|e| &e.process);
        self.sidecars.iter().chain(entries)
    }

    /// Log lines on delegates and orders, for failure messages.
    fn orders(&self) -> Vec<Value> {
        let orders = self.processes().flat_map(|p| p.events("ordered"));
        let delegates = self.processes().flat_map(|p| p.events("delegate"));
        delegates.chain(orders).collect()
    }

    /// Waits until all engines have a version and returns the number of requests that were refused
    /// until then.
    async fn wait_for_version(&self, version: u64) -> usize {
        let (mut n, mut refused) = (0, 0);
        while !self.all_have(version) {
            let _loading = self.loading_count();
            let entry = &self.entries[n % self.entries.len()];
            let answer = fetch(entry, "/probe/1", &format!("have-{version}-{n}")).await;
            refused += usize::from(!answer.is_ok_and(|a| a.status == 200));
            n += 1;
            sleep(POLL_INTERVAL).await;
        }
        refused
    }
}

async fn check_case(c: &Case, seed: u64) {
    let mut fleet = Fleet::start(c, seed).await;
    // Entries order nothing for engines without a sidecar within one lease of the start.
    fleet.announce(2);
    let first = timeout(ROLLOUT_TIMEOUT, fleet.wait_for_version(2)).await;
    assert!(first.is_ok(), "{}: {:?}", c.name, fleet.orders());
    let result = timeout(ROLLOUT_TIMEOUT, roll_out_with_fault(&mut fleet, c)).await;
    assert!(result.is_ok(), "{}: {:?}", c.name, fleet.orders());
    let mut refused = 0;
    for version in [4, 5] {
        fleet.announce(version);
        let result = timeout(ROLLOUT_TIMEOUT, fleet.wait_for_version(version)).await;
        refused += result.unwrap_or_else(|_| panic!("{}: {:?}", c.name, fleet.orders()));
    }
    assert!(
        c.allow_refusals || refused == 0,
        "{}: {refused} refused",
        c.name
    );
    for e in &fleet.engines {
        check_orders(c, e, &fleet);
    }
}

/// Announces version 3, applies the case's fault and waits until all engines have that version.
async fn roll_out_with_fault(fleet: &mut Fleet, c: &Case) {
    if c.fault == Fault::SidecarPaused {
        fleet.sidecars[0].signal("STOP");
    }
    fleet.announce(3);
    while c.fault != Fault::None && fleet.loading_count() == 0 && !fleet.all_have(3) {
        sleep(POLL_INTERVAL).await;
    }
    match c.fault {
        Fault::None => {}
        Fault::SidecarsKilled => {
            for i in 0..3 {
                let name = format!("side-{}", fleet.engines[i].id);
                let at = fleet.engines[i].addr().expect("an address");
                fleet.sidecars[i].signal("KILL");
                fleet.sidecars[i].wait_for_end();
                fleet.sidecars[i] = fleet.platform.sidecar(&name, at);
            }
        }
        Fault::SidecarPaused => {
            while fleet.engines[0].version(MODEL) < 3 {
                let _loading = fleet.loading_count();
                sleep(POLL_INTERVAL).await;
            }
            fleet.sidecars[0].signal("CONT");
        }
        Fault::EntriesKilled => {
            for i in 0..2 {
                fleet.entries[i].process.signal("KILL");
                fleet.entries[i].process.wait_for_end();
                let name = format!("front-{}", i + 1);
                fleet.entries[i] = fleet.platform.entry(&name, 3).await;
            }
        }
    }
    fleet.wait_for_version(3).await;
}

/// Checks that an engine was ordered to load each version once, and that orders of different
/// processes carried rising fencing tokens and were at least a lease apart.
fn check_orders(c: &Case, engine: &Replica, fleet: &Fleet) {
    let orders = engine.orders();
    let context = || {
        format!(
            "{}, {}: {orders:?}; {:?}",
            c.name,
            engine.id,
            fleet.orders()
        )
    };
    let versions: Vec<_> = orders.iter().map(|o| o["version"].as_u64()).collect();
    let mut deduplicated = versions.clone();
    deduplicated.dedup();
    assert_eq!(versions, deduplicated, "{}", context());
    for pair in orders.windows(2) {
        let number = |i: usize, name: &str| pair[i][name].as_u64().expect("a number");
        assert!(number(0, "fence") <= number(1, "fence"), "{}", context());
        if pair[0]["holder"] != pair[1]["holder"] {
            assert!(number(0, "fence") < number(1, "fence"), "{}", context());
            let interval = number(1, "at_ms") - number(0, "at_ms");
            assert!(interval >= LEASE_MS, "{interval} ms: {}", context());
        }
    }
}
