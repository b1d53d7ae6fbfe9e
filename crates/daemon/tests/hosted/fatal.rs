//! Requests that crash the engines that run them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use standin::hosted::replica::{CrashPoint, Replica};
use standin::switch::{Conditions, Switch};
use tokio::time::sleep;

use crate::fleet::{fetch, Entry, Platform, MODEL};

/// Interval between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(2);
/// Time for which all datagrams are lost.
const LOSS_DURATION: Duration = Duration::from_millis(300);
/// Path of the request that crashes engines.
const CRASHING_PATH: &str = "/probe/fatal";
/// Path of a harmless request of the same kind and for the same model.
const HARMLESS_PATH: &str = "/probe/other";

/// Four engines that requests to `CRASHING_PATH` crash, and two entries.
struct Fleet {
    platform: Platform,
    /// Engines with their addresses and the incarnation numbers under which they are listed.
    engines: Vec<(Arc<Replica>, SocketAddr, u64)>,
    entries: [Entry; 2],
}

impl Fleet {
    async fn start() -> Self {
        Self::start_on(Platform::start().await).await
    }

    async fn start_on(mut platform: Platform) -> Self {
        let mut engines = Vec::new();
        for id in ["e1", "e2", "e3", "e4"] {
            let engine = Replica::new(id, 4, EVENT_INTERVAL);
            engine.set_version(MODEL, 1);
            engine.set_crash_path(CRASHING_PATH);
            let at = platform.replica(&engine, "engines").await;
            engines.push((engine, at, 1));
        }
        let entries = [
            platform.entry("front-1", 4).await,
            platform.entry("front-2", 4).await,
        ];
        for e in &entries {
            e.process
                .wait_for_event("members", |m| m["entries"] == 1)
                .await;
        }
        Self {
            platform,
            engines,
            entries,
        }
    }

    /// Number of times that a request to a path ran on any engine.
    fn runs(&self, path: &str) -> usize {
        let all = self.engines.iter().flat_map(|(e, _, _)| e.requests());
        all.filter(|s| s.path == path && s.ran).count()
    }

    /// Lists the next incarnation of each engine on which the crashing request has run more often
    /// than the given number of times.
    fn restart_crashed(&mut self, before: &[usize]) {
        for ((engine, at, incarnation), before) in self.engines.iter_mut().zip(before) {
            if crashing_runs(engine) > *before {
                *incarnation += 1;
                self.platform
                    .list_incarnation(engine, "engines", *at, "ready", *incarnation);
            }
        }
    }

    /// Number of runs of the crashing request on each engine.
    fn runs_per_engine(&self) -> Vec<usize> {
        self.engines
            .iter()
            .map(|(e, _, _)| crashing_runs(e))
            .collect()
    }
}

/// Number of runs of the crashing request on an engine.
fn crashing_runs(engine: &Replica) -> usize {
    let seen = engine.requests();
    seen.iter()
        .filter(|s| s.path == CRASHING_PATH && s.ran)
        .count()
}

#[tokio::test]
async fn request_that_crashes_engines_is_refused_by_all_entries_after_three_crashes() {
    // A request that crashes every engine is repeated through different entries. Unless the entries
    // share crash reports, each sends it to further engines, and all streams on these are cut.
    let mut fleet = Fleet::start().await;
    for (index, id) in ["f1", "f2"].into_iter().enumerate() {
        let before = fleet.runs_per_engine();
        let answer = fetch(&fleet.entries[index], CRASHING_PATH, id).await;
        let failed = answer.map_or(true, |a| a.status == 502);
        assert!(
            failed,
            "a request that crashed its engine was answered as served"
        );
        fleet.restart_crashed(&before);
        let crashes = fleet.runs(CRASHING_PATH);
        for e in &fleet.entries {
            e.process
                .wait_for_event("suspected", |s| {
                    s["crashes"].as_u64() >= Some(crashes.min(3) as u64)
                })
                .await;
        }
    }
    let crashes = fleet.runs(CRASHING_PATH);
    assert!((3..=4).contains(&crashes), "{crashes} engines ran it");
    for (entry, id) in fleet.entries.iter().zip(["f3", "f4"]) {
        let refused = fetch(entry, CRASHING_PATH, id).await.expect("an answer");
        assert_eq!(refused.status, 503);
        let retry_after: f64 = refused.headers["retry-after"]
            .to_str()
            .expect("text")
            .parse()
            .expect("a number");
        assert!(
            (5.0..=15.0).contains(&retry_after),
            "retry-after is {retry_after} s"
        );
        let harmless = fetch(entry, HARMLESS_PATH, &format!("{id}-other")).await;
        assert_eq!(harmless.expect("an answer").status, 200);
    }
    assert_eq!(
        fleet.runs(CRASHING_PATH),
        crashes,
        "the request ran again after it was refused"
    );
}

#[tokio::test]
async fn request_that_crashes_engines_at_the_end_of_an_event_is_refused() {
    // Guards against breaks after the first event that aren't recorded, and against answers that end
    // with their connections and count as complete.
    for undelimited in [false, true] {
        let mut fleet = Fleet::start().await;
        for (engine, _, _) in &fleet.engines {
            engine.set_crash_path("/none");
            // The last part is the request's own.
            engine.add_crash_part("c3", CrashPoint::AfterEvent);
            engine.set_undelimited(undelimited);
        }
        for n in 0..3 {
            let before = fleet.runs_per_engine();
            let _ = fetch(&fleet.entries[n % 2], CRASHING_PATH, &format!("f{n}")).await;
            fleet.restart_crashed(&before);
            let crashes = n as u64 + 1;
            let is_counted = |s: &serde_json::Value| s["crashes"].as_u64() >= Some(crashes);
            for e in &fleet.entries {
                e.process.wait_for_event("suspected", is_counted).await;
            }
            fleet.engines.iter().for_each(|(e, _, _)| e.recover());
        }
        for (entry, id) in fleet.entries.iter().zip(["f4", "f5"]) {
            let refused = fetch(entry, CRASHING_PATH, id).await.expect("an answer");
            assert_eq!(refused.status, 503, "undelimited: {undelimited}");
        }
    }
}

#[tokio::test]
async fn suspected_request_is_cleared_once_it_is_served() {
    // An engine crashes for another reason while it runs a request, and the next attempt is served.
    // Unless suspicion is withdrawn, three such crashes in ten minutes get a good request refused.
    let mut fleet = Fleet::start().await;
    let before = fleet.runs_per_engine();
    let _ = fetch(&fleet.entries[0], CRASHING_PATH, "f1").await;
    fleet.restart_crashed(&before);
    let is_suspect = |s: &serde_json::Value| s["verdict"] == "suspect";
    for e in &fleet.entries {
        e.process.wait_for_event("suspected", is_suspect).await;
    }
    for (engine, _, _) in &fleet.engines {
        engine.set_crash_path("/none");
    }
    let served = fetch(&fleet.entries[1], CRASHING_PATH, "f2").await;
    assert_eq!(served.expect("an answer").status, 200);
    for e in &fleet.entries {
        let is_clear = |s: &serde_json::Value| s["verdict"] == "clear";
        e.process.wait_for_event("suspected", is_clear).await;
    }
}

/// An entry that misses its peers' updates on a crash because datagrams are lost sends the request
/// to another engine.
#[tokio::test]
async fn crash_report_reaches_an_entry_after_datagrams_were_lost() {
    let platform = Platform::start().await;
    let switch = Switch::new(0);
    platform.store.set_switch(Arc::clone(&switch));
    let mut fleet = Fleet::start_on(platform).await;
    switch.set_conditions(Conditions {
        loss: 1.0,
        delay: Duration::ZERO,
    });
    let before = fleet.runs_per_engine();
    let _ = fetch(&fleet.entries[0], CRASHING_PATH, "f1").await;
    fleet.restart_crashed(&before);
    let is_own = |s: &serde_json::Value| s["source"] == "own";
    fleet.entries[0]
        .process
        .wait_for_event("suspected", is_own)
        .await;
    sleep(LOSS_DURATION).await;
    switch.set_conditions(Conditions::IDEAL);
    let is_from_peer = |s: &serde_json::Value| s["source"] == "peer";
    fleet.entries[1]
        .process
        .wait_for_event("suspected", is_from_peer)
        .await;
}

/// Two entries receive the request at the same time, and each sends it to further engines before
/// the other's crash report arrives.
#[tokio::test]
async fn request_sent_through_two_entries_at_once_is_refused_after_the_attempts_of_both() {
    let mut fleet = Fleet::start().await;
    let mut crashes = 0;
    while crashes < 3 {
        let before = fleet.runs_per_engine();
        let [one, other] = &fleet.entries;
        let (a, b) = (format!("a{crashes}"), format!("b{crashes}"));
        let _ = tokio::join!(
            fetch(one, CRASHING_PATH, &a),
            fetch(other, CRASHING_PATH, &b)
        );
        let after = fleet.runs_per_engine();
        crashes += before.iter().zip(&after).filter(|(b, a)| a > b).count();
        fleet.restart_crashed(&before);
        let has_all = |s: &serde_json::Value| s["crashes"].as_u64() >= Some(crashes.min(3) as u64);
        for e in &fleet.entries {
            e.process.wait_for_event("suspected", has_all).await;
        }
    }
    // Each entry makes two attempts.
    assert!(crashes <= 4, "{crashes} engines ran it");
    let runs = fleet.runs(CRASHING_PATH);
    for (entry, id) in fleet.entries.iter().zip(["c1", "c2"]) {
        let refused = fetch(entry, CRASHING_PATH, id).await.expect("an answer");
        assert_eq!(refused.status, 503);
    }
    assert_eq!(
        fleet.runs(CRASHING_PATH),
        runs,
        "the request ran again after it was refused"
    );
}
