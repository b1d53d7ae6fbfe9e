//! Requests that crash the replicas that run them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use standin::hosted::replica::Replica;
use standin::switch::{Conditions, Switch};
use tokio::time::sleep;

use crate::fleet::{ask, Entry, Platform, MODEL};

/// Pause between the events of a stream in these tests.
const PAUSE: Duration = Duration::from_millis(2);
/// How long all datagrams are lost.
const LOST: Duration = Duration::from_millis(300);
/// The request that crashes replicas.
const FATAL: &str = "/probe/fatal";
/// A request beside it, of the same kind and for the same model.
const OTHER: &str = "/probe/other";

/// Four engines that one request crashes, and two entries.
struct Fleet {
    platform: Platform,
    engines: Vec<(Arc<Replica>, SocketAddr, u64)>,
    entries: [Entry; 2],
}

impl Fleet {
    async fn start() -> Self {
        Self::on(Platform::start().await).await
    }

    async fn on(mut platform: Platform) -> Self {
        let mut engines = Vec::new();
        for id in ["e1", "e2", "e3", "e4"] {
            let engine = Replica::new(id, 4, PAUSE);
            engine.set_version(MODEL, 1);
            engine.set_crash_path(FATAL);
            let at = platform.replica(&engine, "engines").await;
            engines.push((engine, at, 1));
        }
        let entries = [
            platform.entry("front-1", 4).await,
            platform.entry("front-2", 4).await,
        ];
        for e in &entries {
            e.process.event("members", |m| m["entries"] == 1).await;
        }
        Self {
            platform,
            engines,
            entries,
        }
    }

    /// Times that a request to a path ran.
    fn runs(&self, path: &str) -> usize {
        let all = self.engines.iter().flat_map(|(e, _, _)| e.requests());
        all.filter(|s| s.path == path && s.ran).count()
    }

    /// Enters the next life of each engine on which the request has run since the last time.
    fn crash(&mut self, before: &[usize]) {
        for ((engine, at, born), before) in self.engines.iter_mut().zip(before) {
            if runs(engine) > *before {
                *born += 1;
                self.platform
                    .list_life(engine, "engines", *at, "ready", *born);
            }
        }
    }

    fn each(&self) -> Vec<usize> {
        self.engines.iter().map(|(e, _, _)| runs(e)).collect()
    }
}

fn runs(engine: &Replica) -> usize {
    let seen = engine.requests();
    seen.iter().filter(|s| s.path == FATAL && s.ran).count()
}

#[tokio::test]
async fn a_request_that_crashes_each_engine_is_refused_by_all_entries_after_a_few() {
    // One request crashes whatever engine runs it, and is sent again through any entry. Unless the
    // entries tell one another, each of them gives it some engines of its own, and all streams there
    // are cut. Once three engines have ended under it, every entry refuses it and says when it may be tried again;
    // requests beside it are served all the while.
    let mut fleet = Fleet::start().await;
    for (turn, id) in ["f1", "f2"].into_iter().enumerate() {
        let before = fleet.each();
        let answer = ask(&fleet.entries[turn], FATAL, id).await;
        let failed = answer.map_or(true, |a| a.status == 502);
        assert!(failed, "a crashed request looked served");
        fleet.crash(&before);
        let crashes = fleet.runs(FATAL);
        for e in &fleet.entries {
            e.process
                .event("suspected", |s| {
                    s["crashes"].as_u64() >= Some(crashes.min(3) as u64)
                })
                .await;
        }
    }
    let crashes = fleet.runs(FATAL);
    assert!(
        (3..=4).contains(&crashes),
        "{crashes} engines were given to it"
    );
    for (entry, id) in fleet.entries.iter().zip(["f3", "f4"]) {
        let refused = ask(entry, FATAL, id).await.expect("an answer");
        assert_eq!(refused.status, 503);
        let back: f64 = refused.headers["retry-after"]
            .to_str()
            .expect("text")
            .parse()
            .expect("a number");
        assert!(
            (5.0..=15.0).contains(&back),
            "told to come back after {back} s"
        );
        let beside = ask(entry, OTHER, &format!("{id}-other")).await;
        assert_eq!(beside.expect("an answer").status, 200);
    }
    assert_eq!(fleet.runs(FATAL), crashes, "ran after three crashes");
}

#[tokio::test]
async fn a_request_that_was_under_way_at_a_crash_and_then_served_is_clear() {
    // An engine ends while it runs a request, for reasons of its own. The next try is served, so
    // that the request wasn't the reason. If that weren't taken back, three such crashes in ten
    // minutes would have a good request refused.
    let mut fleet = Fleet::start().await;
    let before = fleet.each();
    let _ = ask(&fleet.entries[0], FATAL, "f1").await;
    fleet.crash(&before);
    let struck = |s: &serde_json::Value| s["verdict"] == "suspect";
    for e in &fleet.entries {
        e.process.event("suspected", struck).await;
    }
    for (engine, _, _) in &fleet.engines {
        engine.set_crash_path("/none");
    }
    let served = ask(&fleet.entries[1], FATAL, "f2").await;
    assert_eq!(served.expect("an answer").status, 200);
    for e in &fleet.entries {
        let clear = |s: &serde_json::Value| s["verdict"] == "clear";
        e.process.event("suspected", clear).await;
    }
}

/// An entry whose peers' updates on a crash were lost gives the request another engine.
#[tokio::test]
async fn crash_reaches_an_entry_to_which_datagrams_were_lost() {
    let platform = Platform::start().await;
    let switch = Switch::new(0);
    platform.store.set_switch(Arc::clone(&switch));
    let mut fleet = Fleet::on(platform).await;
    switch.set_conditions(Conditions {
        loss: 1.0,
        delay: Duration::ZERO,
    });
    let before = fleet.each();
    let _ = ask(&fleet.entries[0], FATAL, "f1").await;
    fleet.crash(&before);
    let own = |s: &serde_json::Value| s["source"] == "own";
    fleet.entries[0].process.event("suspected", own).await;
    sleep(LOST).await;
    switch.set_conditions(Conditions::IDEAL);
    let peer = |s: &serde_json::Value| s["source"] == "peer";
    fleet.entries[1].process.event("suspected", peer).await;
}

/// Neither entry knows yet of the other's crash, and each gives the request further engines.
#[tokio::test]
async fn request_sent_through_two_entries_at_once_is_refused_after_the_tries_of_both() {
    let mut fleet = Fleet::start().await;
    let mut crashes = 0;
    while crashes < 3 {
        let before = fleet.each();
        let [one, other] = &fleet.entries;
        let (a, b) = (format!("a{crashes}"), format!("b{crashes}"));
        let _ = tokio::join!(ask(one, FATAL, &a), ask(other, FATAL, &b));
        let after = fleet.each();
        crashes += before.iter().zip(&after).filter(|(b, a)| a > b).count();
        fleet.crash(&before);
        let all = |s: &serde_json::Value| s["crashes"].as_u64() >= Some(crashes.min(3) as u64);
        for e in &fleet.entries {
            e.process.event("suspected", all).await;
        }
    }
    // Two tries of each entry.
    assert!(crashes <= 4, "{crashes} engines were given to it");
    let runs = fleet.runs(FATAL);
    for (entry, id) in fleet.entries.iter().zip(["c1", "c2"]) {
        let refused = ask(entry, FATAL, id).await.expect("an answer");
        assert_eq!(refused.status, 503);
    }
    assert_eq!(fleet.runs(FATAL), runs, "ran after three crashes");
}
