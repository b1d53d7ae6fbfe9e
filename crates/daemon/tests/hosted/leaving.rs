//! Targets that say in their answers that they leave.

use std::sync::Arc;
use std::time::{Duration, Instant};

use standin::hosted::replica::{Fault, Replica};
use standin::hosted::row_store;
use tokio::time::sleep;

use crate::fleet::{fetch, Entry, Platform, MODEL};

/// Time after an answer that says so from which on the target gets no request.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time for which requests are sent after that.
const LATE_TIME: Duration = Duration::from_millis(1_500);
/// Interval between requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
/// Interval between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(2);

/// What happens to the target's row in the meantime.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Row {
    Renewed,
    /// The store does not answer.
    Away,
    /// The row is gone for a while and comes back.
    Back,
}

struct Case {
    name: &'static str,
    path: &'static str,
    /// Fault of the answers of the target that leaves.
    fault: Fault,
    /// Fault of the answers of the others, so that second attempts are needed.
    others: Fault,
    row: Row,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            name: "",
            path: "/check/1",
            fault: Fault::None,
            others: Fault::None,
            row: Row::Renewed,
        }
    }
}

struct Fleet {
    platform: Platform,
    targets: Vec<Arc<Replica>>,
    entries: Vec<Entry>,
    service: &'static str,
}

impl Fleet {
    async fn start(path: &str, targets: usize) -> Self {
        let mut platform = Platform::start().await;
        let service = match path.starts_with("/check/") {
            true => "plain",
            false => "engines",
        };
        let mut replicas = Vec::new();
        for n in 0..targets {
            let replica = Replica::new(&format!("r{n}"), 6, EVENT_INTERVAL);
            replica.set_version(MODEL, 1);
            platform.replica(&replica, service).await;
            replicas.push(replica);
        }
        let mut entries = Vec::new();
        for n in 0..2 {
            entries.push(platform.entry(&format!("front-{n}"), targets).await);
        }
        for entry in &entries {
            let knows = |m: &serde_json::Value| m["entries"].as_u64() >= Some(1);
            entry.process.wait_for_event("members", knows).await;
        }
        Self {
            platform,
            targets: replicas,
            entries,
            service,
        }
    }

    fn list(&self, target: &Replica, incarnation: u64) {
        let at = target.addr().expect("an address");
        self.platform
            .list_incarnation(target, self.service, at, "ready", incarnation);
    }

    /// Sends requests through all entries for some time; returns the ids of their last ones.
    async fn send(&self, path: &str, name: &str, time: Duration) {
        let end = Instant::now() + time;
        for n in 0.. {
            let entry = &self.entries[n % self.entries.len()];
            // The request may fail or be refused.
            let _ = fetch(entry, path, &format!("{name}-{n}")).await;
            sleep(REQUEST_INTERVAL).await;
            if Instant::now() > end {
                return;
            }
        }
    }
}

/// Number of requests that a target has got since a time.
fn received_since(target: &Replica, from: Instant) -> usize {
    let requests = target.requests();
    requests.iter().filter(|r| r.received > from).count()
}

#[tokio::test]
async fn target_that_says_that_it_leaves_gets_no_request() {
    // Guards against relying on the list alone, which shows the target as ready while the store is
    // away, and against second attempts that fall back to the target.
    #[rustfmt::skip]
    let cases = [
        Case { name: "row renewed", ..Case::default() },
        Case { name: "store away", row: Row::Away, ..Case::default() },
        Case { name: "row gone and back", row: Row::Back, ..Case::default() },
        Case { name: "in refusals", fault: Fault::Full, ..Case::default() },
        Case { name: "in errors", fault: Fault::Error, ..Case::default() },
        Case { name: "second attempts", others: Fault::Error, ..Case::default() },
        Case { name: "streams", path: "/probe/1", ..Case::default() },
        Case { name: "broken streams", path: "/probe/1", others: Fault::Cut, ..Case::default() },
    ];
    for case in cases {
        let fleet = Fleet::start(case.path, 3).await;
        let (target, others) = fleet.targets.split_first().expect("targets");
        fleet
            .send(case.path, "before", Duration::from_millis(300))
            .await;
        target.set_leaving(true);
        target.set_fault(case.fault);
        others.iter().for_each(|o| o.set_fault(case.others));
        if case.row == Row::Away {
            fleet.platform.store.set_fault(row_store::Fault::Silent);
        }
        let said = Instant::now();
        let sending = fleet.send(case.path, "during", DRAIN_TIME);
        let renewing = async {
            sleep(DRAIN_TIME / 4).await;
            match case.row {
                Row::Renewed => fleet.list(target, 1),
                Row::Back => {
                    fleet.platform.store.remove("servers", &target.id);
                    sleep(DRAIN_TIME / 2).await;
                    fleet.list(target, 1);
                }
                Row::Away => {}
            }
        };
        tokio::join!(sending, renewing);
        assert!(received_since(target, said) > 0, "{}: no answer", case.name);
        let from = Instant::now();
        fleet.send(case.path, "after", LATE_TIME).await;
        let late = received_since(target, from);
        assert_eq!(late, 0, "{}", case.name);
    }
}

#[tokio::test]
async fn requests_are_refused_at_once_if_all_targets_leave_and_served_after_a_restart() {
    // Guards against waiting for targets that leave, and against a target that stays excluded after
    // its next start.
    let fleet = Fleet::start("/check/1", 1).await;
    let target = &fleet.targets[0];
    target.set_leaving(true);
    fleet.send("/check/1", "during", DRAIN_TIME).await;
    for (n, entry) in fleet.entries.iter().enumerate() {
        let asked = Instant::now();
        let answer = fetch(entry, "/check/1", &format!("none-{n}")).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"));
        assert!(asked.elapsed() < Duration::from_millis(500));
    }
    target.set_leaving(false);
    fleet.list(target, 2);
    for (n, entry) in fleet.entries.iter().enumerate() {
        let is_new = |t: &serde_json::Value| t["state"] == "gone";
        entry.process.wait_for_event("target", is_new).await;
        let answer = fetch(entry, "/check/1", &format!("back-{n}")).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
}
