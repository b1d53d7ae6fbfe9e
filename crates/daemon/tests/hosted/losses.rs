//! Targets that leave while datagrams between entries are lost.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use standin::hosted::replica::Replica;
use standin::switch::{Conditions, Switch};
use tokio::time::{sleep, sleep_until, Instant};

use crate::fleet::{fetch, Platform};

/// Number of entries; two of them read the list of targets for all.
const ENTRIES: usize = 4;
/// Time after which a target that has left gets no new request.
const REROUTE_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of requests to each entry after that time, enough for each of two targets to get some.
const REQUESTS: usize = 12;

struct Case {
    /// Time from the start of the losses until the target leaves.
    loss_before: Duration,
    /// Whether the target lists itself as draining, or only removes its row.
    draining: bool,
}

/// An entry that gets the list from other entries misses their updates and goes on sending requests
/// to a target that has left.
#[tokio::test]
async fn target_that_leaves_gets_no_new_request_while_datagrams_between_entries_are_lost() {
    let ms = Duration::from_millis;
    #[rustfmt::skip]
    let cases = [
        Case { loss_before: ms(0), draining: true },
        Case { loss_before: ms(300), draining: false },
        Case { loss_before: ms(700), draining: true },
        Case { loss_before: ms(1_100), draining: false },
    ];
    join_all(cases.iter().map(check_case)).await;
}

async fn check_case(c: &Case) {
    let mut platform = Platform::start().await;
    let switch = Switch::new(0);
    platform.store.set_switch(Arc::clone(&switch));
    let replicas = ["p1", "p2"].map(|id| Replica::new(id, 1, Duration::ZERO));
    let stays = platform.replica(&replicas[0], "plain").await;
    let leaves = platform.replica(&replicas[1], "plain").await;
    assert_ne!(stays, leaves);
    let names = (0..ENTRIES).map(|n| format!("front-{n}"));
    let names: Vec<_> = names.collect();
    let entries = join_all(names.iter().map(|n| platform.entry(n, 2))).await;
    for e in &entries {
        let is_complete = |m: &serde_json::Value| m["entries"] == ENTRIES - 1;
        e.process.wait_for_event("members", is_complete).await;
    }
    // Within a few reads the entries agree on which of them read the list.
    sleep(REROUTE_TIMEOUT).await;
    switch.set_conditions(Conditions {
        loss: 1.0,
        delay: Duration::ZERO,
    });
    sleep(c.loss_before).await;
    let left = Instant::now();
    match c.draining {
        true => platform.list(&replicas[1], "plain", leaves, "draining"),
        false => platform.store.remove("servers", "p2"),
    }
    sleep_until(left + REROUTE_TIMEOUT).await;
    for (n, e) in entries.iter().enumerate() {
        for attempt in 0..REQUESTS {
            let id = format!("left-{n}-{attempt}");
            let answer = fetch(e, "/log/1", &id).await;
            assert_eq!(answer.expect("an answer").status, 200);
            let reached = replicas[1].requests().iter().any(|s| s.id == id);
            let (loss_before, draining) = (c.loss_before, c.draining);
            assert!(
                !reached,
                "entry {n} sent a request to a target {:?} after it left ({loss_before:?}, {draining}):\n{}",
                left.elapsed(),
                e.process.log_tail()
            );
        }
    }
}
