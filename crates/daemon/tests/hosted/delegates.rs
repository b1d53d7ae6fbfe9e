//! Engines that no sidecar reports on: entries order their weights.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use serde_json::{json, Value};
use standin::hosted::replica::Replica;
use standin::switch::{Conditions, Switch};
use tokio::time::{sleep, timeout};

use crate::fleet::{ask, Entry, Platform, Process, MODEL};

/// Longest wait for all engines to have a version.
const LIMIT: Duration = Duration::from_secs(40);
/// How long orders of two processes to one engine stay apart.
const LEASE: u64 = 3_000;
/// How long a load takes.
const LOAD: Duration = Duration::from_millis(300);
/// Pause between two looks at the engines.
const LOOK: Duration = Duration::from_millis(5);

/// What happens while versions are named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// One sidecar after the other is killed once a load is under way, and starts again.
    SidecarsKilled,
    /// A sidecar is paused until a delegate has ordered its engine.
    SidecarPaused,
    /// One entry after the other is killed once a load is under way, and starts again.
    EntriesKilled,
}

struct Case {
    name: &'static str,
    /// Engines with a sidecar, of three.
    sidecars: usize,
    loss: f64,
    fault: Fault,
    /// Whether callers may be refused while versions are named.
    refusals: bool,
}

/// Engines keep old weights, load twice, or get crossing orders when their sidecars are missing.
#[tokio::test]
async fn engines_without_a_reporting_sidecar_take_new_weights_once_and_in_order() {
    #[rustfmt::skip]
    let cases = [
        Case { name: "no sidecars", sidecars: 0, loss: 0.0, fault: Fault::None, refusals: false },
        Case { name: "no sidecars, datagrams are lost", sidecars: 0, loss: 0.3, fault: Fault::None, refusals: false },
        Case { name: "one sidecar", sidecars: 1, loss: 0.0, fault: Fault::None, refusals: false },
        Case { name: "two sidecars, datagrams are lost", sidecars: 2, loss: 0.3, fault: Fault::None, refusals: false },
        Case { name: "sidecars are killed in turn", sidecars: 3, loss: 0.0, fault: Fault::SidecarsKilled, refusals: true },
        Case { name: "a sidecar is paused", sidecars: 3, loss: 0.0, fault: Fault::SidecarPaused, refusals: true },
        Case { name: "entries are killed in turn", sidecars: 0, loss: 0.0, fault: Fault::EntriesKilled, refusals: true },
    ];
    join_all((0..).zip(&cases).map(|(seed, c)| play(c, seed))).await;
}

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
            e.set_load_time(LOAD);
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

    fn name(&self, version: u64) {
        let named = json!({"model": MODEL, "version": version});
        self.platform.store.write("op", "version/lekha", &named);
    }

    fn have(&self, version: u64) -> bool {
        self.engines.iter().all(|e| e.version(MODEL) == version)
    }

    fn loading(&self) -> usize {
        let loading = self.engines.iter().filter(|e| e.loading().is_some());
        loading.count()
    }

    fn processes(&self) -> impl Iterator<Item = &Process> {
        let entries = self.entries.iter().map(|e| &e.process);
        self.sidecars.iter().chain(entries)
    }

    fn orders(&self) -> Vec<Value> {
        let orders = self.processes().flat_map(|p| p.events("ordered"));
        let delegates = self.processes().flat_map(|p| p.events("delegate"));
        delegates.chain(orders).collect()
    }

    /// Waits until all engines have a version; returns how many callers were refused meanwhile.
    async fn all_have(&self, version: u64) -> usize {
        let (mut n, mut refused) = (0, 0);
        while !self.have(version) {
            let _loading = self.loading();
            let entry = &self.entries[n % self.entries.len()];
            let answer = ask(entry, "/probe/1", &format!("have-{version}-{n}")).await;
            refused += usize::from(!answer.is_ok_and(|a| a.status == 200));
            n += 1;
            sleep(LOOK).await;
        }
        refused
    }
}

async fn play(c: &Case, seed: u64) {
    let mut fleet = Fleet::start(c, seed).await;
    // Nothing is ordered within a lease of the start where no sidecar is.
    fleet.name(2);
    let first = timeout(LIMIT, fleet.all_have(2)).await;
    assert!(first.is_ok(), "{}: {:?}", c.name, fleet.orders());
    let disturbed = timeout(LIMIT, disturb(&mut fleet, c)).await;
    assert!(disturbed.is_ok(), "{}: {:?}", c.name, fleet.orders());
    let mut refused = 0;
    for version in [4, 5] {
        fleet.name(version);
        let changed = timeout(LIMIT, fleet.all_have(version)).await;
        refused += changed.unwrap_or_else(|_| panic!("{}: {:?}", c.name, fleet.orders()));
    }
    assert!(c.refusals || refused == 0, "{}: {refused} refused", c.name);
    for e in &fleet.engines {
        check(c, e, &fleet);
    }
}

/// Names a version and lets the fault happen.
async fn disturb(fleet: &mut Fleet, c: &Case) {
    if c.fault == Fault::SidecarPaused {
        fleet.sidecars[0].signal("STOP");
    }
    fleet.name(3);
    while c.fault != Fault::None && fleet.loading() == 0 && !fleet.have(3) {
        sleep(LOOK).await;
    }
    match c.fault {
        Fault::None => {}
        Fault::SidecarsKilled => {
            for i in 0..3 {
                let name = format!("side-{}", fleet.engines[i].id);
                let at = fleet.engines[i].addr().expect("an address");
                fleet.sidecars[i].signal("KILL");
                fleet.sidecars[i].wait();
                fleet.sidecars[i] = fleet.platform.sidecar(&name, at);
            }
        }
        Fault::SidecarPaused => {
            while fleet.engines[0].version(MODEL) < 3 {
                let _loading = fleet.loading();
                sleep(LOOK).await;
            }
            fleet.sidecars[0].signal("CONT");
        }
        Fault::EntriesKilled => {
            for i in 0..2 {
                fleet.entries[i].process.signal("KILL");
                fleet.entries[i].process.wait();
                let name = format!("front-{}", i + 1);
                fleet.entries[i] = fleet.platform.entry(&name, 3).await;
            }
        }
    }
    fleet.all_have(3).await;
}

/// Checks that an engine was loaded once for each version, and that orders of two processes stayed apart
/// with rising tokens.
fn check(c: &Case, engine: &Replica, fleet: &Fleet) {
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
    let mut once = versions.clone();
    once.dedup();
    assert_eq!(versions, once, "{}", context());
    for pair in orders.windows(2) {
        let number = |i: usize, name: &str| pair[i][name].as_u64().expect("a number");
        assert!(number(0, "fence") <= number(1, "fence"), "{}", context());
        if pair[0]["holder"] != pair[1]["holder"] {
            assert!(number(0, "fence") < number(1, "fence"), "{}", context());
            let apart = number(1, "at_ms") - number(0, "at_ms");
            assert!(apart >= LEASE, "{apart} ms: {}", context());
        }
    }
}
