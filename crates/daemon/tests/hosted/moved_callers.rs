//! Callers whose new connections all go to one entry.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use standin::hosted::replica::Replica;

use crate::fleet::{fetch, Entry, Platform, MODEL};

/// Number of engines and of entries.
const ENGINES: usize = 4;
const ENTRIES: usize = 3;
/// Number of callers at once, more than there were at an entry before.
const CALLERS: usize = 90;
/// Interval between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
/// Least share of the requests that is served at the first attempt after the move, as a multiple of
/// the share before.
const LEAST_SHARE: f64 = 0.75;

/// Share of the requests, each on a new connection, that an entry serves.
async fn served(entries: &[Entry], round: &str) -> f64 {
    let answers = (0..CALLERS).map(|n| {
        let entry = &entries[n % entries.len()];
        let path = ["/probe/1", "/check/1", "/log/1"][n % 3];
        async move { fetch(entry, path, &format!("{round}-{n}")).await }
    });
    let answers = join_all(answers).await;
    let served = answers.iter().flatten().filter(|a| a.status == 200);
    served.count() as f64 / CALLERS as f64
}

#[tokio::test]
async fn requests_are_served_when_one_entry_gets_all_new_connections() {
    // Guards against parts of limits, budgets and connections that stay at entries without callers.
    let mut platform = Platform::start().await;
    let mut engines = Vec::new();
    for n in 0..ENGINES {
        let engine = Replica::new(&format!("e{n}"), 4, EVENT_INTERVAL);
        engine.set_version(MODEL, 1);
        platform.replica(&engine, "engines").await;
        let plain = Replica::new(&format!("p{n}"), 1, EVENT_INTERVAL);
        platform.replica(&plain, "plain").await;
        engines.push(Arc::clone(&engine));
        engines.push(plain);
    }
    let mut entries = Vec::new();
    for n in 0..ENTRIES {
        entries.push(platform.entry(&format!("front-{n}"), 2 * ENGINES).await);
    }
    for entry in &entries {
        let knows = |m: &serde_json::Value| m["entries"].as_u64() >= Some(ENTRIES as u64 - 1);
        entry.process.wait_for_event("members", knows).await;
    }
    let before = served(&entries, "spread").await;
    assert!(before >= LEAST_SHARE, "{before} before");
    for entry in 0..ENTRIES {
        let moved = &entries[entry..=entry];
        for round in 0..3 {
            let after = served(moved, &format!("moved-{entry}-{round}")).await;
            assert!(after >= LEAST_SHARE * before, "{after} of {before}");
        }
    }
}
