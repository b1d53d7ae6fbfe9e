//! Connections to the store that stay open and deliver nothing more, while new ones work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use serde_json::{json, Value};
use standin::hosted::replica::Replica;
use standin::link::{Link, LinkFault};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout_at, Instant};

use crate::fleet::{config, fetch, Entry, Platform, Process, MODEL};

/// Time after the end of a fault from which the bounds hold.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time after the acknowledgement of a change within which it is in force.
const APPLY: Duration = Duration::from_millis(2_000);
/// Pause between two faults of a series.
const SERIES_PAUSE: Duration = Duration::from_millis(700);
/// Time in which a process that has received a change of the members waits for further ones.
const BATCH_DELAY: Duration = Duration::from_millis(800);

/// A table of the store that a process follows.
#[derive(Clone, Copy, PartialEq)]
enum Table {
    Configuration,
    Weights,
    Members,
    Targets,
}

/// The processes whose connections fall silent.
#[derive(Clone, Copy)]
enum Silenced {
    First,
    Some,
    All,
}

struct Case {
    name: &'static str,
    table: Table,
    entries: usize,
    silenced: Silenced,
    /// Number of times that the connections fall silent.
    times: u32,
    /// How long the store gives no response before the connections stay silent.
    outage: Duration,
}

/// The configuration at three entries whose connections all fall silent once.
const CASE: Case = Case {
    name: "",
    table: Table::Configuration,
    entries: 3,
    silenced: Silenced::All,
    times: 1,
    outage: Duration::ZERO,
};

/// The processes of a case, each with its own link to the store.
struct Fleet {
    platform: Platform,
    replica: Arc<Replica>,
    entries: Vec<Entry>,
    sidecar: Option<Process>,
    links: Vec<Arc<Link>>,
    tasks: Vec<JoinSet<()>>,
}

impl Fleet {
    async fn start(case: &Case) -> Self {
        let mut fleet = Self {
            platform: Platform::start().await,
            replica: Replica::new("p1", 0, Duration::ZERO),
            entries: Vec::new(),
            sidecar: None,
            links: Vec::new(),
            tasks: Vec::new(),
        };
        fleet.platform.replica(&fleet.replica, "plain").await;
        if case.table == Table::Weights {
            let engine = Replica::new("e1", 2, Duration::ZERO);
            engine.set_version(MODEL, 1);
            let at = fleet.platform.start_replica(&engine).await;
            let store = fleet.link().await;
            fleet.sidecar = Some(fleet.platform.sidecar_on("side-1", store, at));
        }
        for n in 1..=case.entries {
            let store = fleet.link().await;
            let name = format!("front-{n}");
            let entry = fleet.platform.entry_on(&name, store, 1).await;
            fleet.entries.push(entry);
        }
        if case.entries > 1 {
            fleet.wait_for_members(case.entries).await;
        }
        sleep(BATCH_DELAY).await;
        fleet
    }

    /// Starts a link to the store, and returns its address.
    async fn link(&mut self) -> SocketAddr {
        let (link, tasks) = Link::start(self.platform.store_addr).await.expect("a link");
        let addr = link.addr();
        self.tasks.push(tasks);
        self.links.push(link);
        addr
    }

    async fn wait_for_members(&self, entries: usize) {
        for e in &self.entries {
            let knows = |m: &Value| m["entries"] == entries - 1;
            e.process.wait_for_event("members", knows).await;
        }
    }

    /// Makes connections fall silent, and returns when the last fault has ended.
    async fn silence(&self, case: &Case) -> Instant {
        let count = match case.silenced {
            Silenced::First => 1,
            Silenced::Some => self.links.len().div_ceil(2),
            Silenced::All => self.links.len(),
        };
        let links = &self.links[..count];
        for n in 0..case.times {
            if n > 0 {
                sleep(SERIES_PAUSE).await;
            }
            links.iter().for_each(|l| l.set_fault(LinkFault::HoldBoth));
            sleep(case.outage).await;
            links.iter().for_each(|l| l.silence());
            links.iter().for_each(|l| l.set_fault(LinkFault::None));
        }
        Instant::now()
    }

    /// Makes a change, and returns when it was acknowledged.
    async fn change(&mut self, table: Table) -> Instant {
        match table {
            Table::Configuration => {
                let mut revoked = config(2);
                revoked["tenants"][0]["api_keys"] = json!(["another"]);
                self.platform.store.write("op", "config", &revoked);
            }
            Table::Weights => {
                let weights = json!({"model": MODEL, "version": 2});
                self.platform.store.write("op", "version/lekha", &weights);
            }
            Table::Members => {
                let at = self.platform.store_addr;
                let entry = self.platform.start_entry("front-new", at).await;
                self.platform.wait_for_member("front-new").await;
                self.entries.push(entry);
            }
            Table::Targets => self.platform.store.remove("servers", &self.replica.id),
        }
        Instant::now()
    }

    /// Waits until all processes that follow the table have applied the change.
    async fn wait_for_change(&self, table: Table) {
        let (kind, version): (_, fn(&Value) -> bool) = match table {
            Table::Configuration => ("configured", |e| e["version"] == 2),
            Table::Weights => ("named", |e| e["version"] == 2),
            Table::Members => return self.wait_for_members(self.entries.len()).await,
            Table::Targets => ("target", |e| e["state"] == "gone"),
        };
        let entries = self.entries.iter().map(|e| &e.process);
        for p in entries.chain(&self.sidecar) {
            p.wait_for_event(kind, version).await;
        }
    }
}

/// Describes how a case fails; `None` if it passes.
async fn failure(case: &Case) -> Option<String> {
    let mut fleet = Fleet::start(case).await;
    let in_touch = fleet.silence(case).await + CONTACT;
    let changed = fleet.change(case.table).await;
    let bound = in_touch.max(changed + APPLY);
    let name = case.name;
    if timeout_at(bound, fleet.wait_for_change(case.table))
        .await
        .is_err()
    {
        return Some(format!("{name}: not in force in time"));
    }
    if case.table == Table::Configuration {
        for e in &fleet.entries {
            let answer = fetch(e, "/log/1", "revoked").await.expect("an answer");
            assert_eq!(answer.status, 401, "{name}");
        }
    }
    None
}

#[tokio::test]
async fn silent_connection_to_the_store_delays_no_change() {
    // Guards against processes that take a held call without an answer for a table without a change.
    let cases = [
        Case {
            name: "configuration, one of three entries",
            silenced: Silenced::First,
            ..CASE
        },
        Case {
            name: "configuration, some entries",
            silenced: Silenced::Some,
            ..CASE
        },
        Case {
            name: "configuration, all entries",
            ..CASE
        },
        Case {
            name: "configuration, the only entry",
            entries: 1,
            ..CASE
        },
        Case {
            name: "configuration, all entries, in series",
            times: 6,
            ..CASE
        },
        Case {
            name: "configuration, one entry after a long outage",
            silenced: Silenced::First,
            outage: Duration::from_secs(7),
            ..CASE
        },
        Case {
            name: "configuration, all entries after a long outage",
            outage: Duration::from_secs(7),
            ..CASE
        },
        Case {
            name: "weights, the only sidecar",
            table: Table::Weights,
            entries: 1,
            silenced: Silenced::First,
            ..CASE
        },
        Case {
            name: "weights, all processes",
            table: Table::Weights,
            entries: 1,
            ..CASE
        },
        Case {
            name: "members, one of three entries",
            table: Table::Members,
            silenced: Silenced::First,
            ..CASE
        },
        Case {
            name: "members, all entries",
            table: Table::Members,
            ..CASE
        },
        Case {
            name: "targets, one of three entries",
            table: Table::Targets,
            silenced: Silenced::First,
            ..CASE
        },
        Case {
            name: "targets, all entries",
            table: Table::Targets,
            ..CASE
        },
    ];
    let outcomes = join_all(cases.iter().map(failure)).await;
    let failures: Vec<_> = outcomes.into_iter().flatten().collect();
    assert!(failures.is_empty(), "{failures:#?}");
}
