//! Datagrams between entries are lost while targets leave.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use standin::hosted::replica::Replica;
use standin::switch::{Conditions, Switch};
use tokio::time::{sleep, sleep_until, Instant};

use crate::fleet::{ask, Platform};

/// Entries; two of them read the list for the others.
const ENTRIES: usize = 4;
/// Time after which a target that has left gets nothing new.
const LEFT: Duration = Duration::from_secs(2);
/// Requests to each entry after that; each of two targets would get some.
const ASKED: usize = 12;

struct Case {
    /// How long before the target leaves the losses begin.
    before: Duration,
    /// Whether the target says that it leaves, or only takes its row away.
    draining: bool,
}

/// An entry for which others read the list goes on sending to a target that has left.
#[tokio::test]
async fn target_that_leaves_gets_nothing_new_while_datagrams_between_entries_are_lost() {
    let ms = Duration::from_millis;
    #[rustfmt::skip]
    let cases = [
        Case { before: ms(0), draining: true },
        Case { before: ms(300), draining: false },
        Case { before: ms(700), draining: true },
        Case { before: ms(1_100), draining: false },
    ];
    join_all(cases.iter().map(run)).await;
}

async fn run(c: &Case) {
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
        let all = |m: &serde_json::Value| m["entries"] == ENTRIES - 1;
        e.process.event("members", all).await;
    }
    // Readers are found within a few reads of the list.
    sleep(LEFT).await;
    switch.set_conditions(Conditions {
        loss: 1.0,
        delay: Duration::ZERO,
    });
    sleep(c.before).await;
    let left = Instant::now();
    match c.draining {
        true => platform.list(&replicas[1], "plain", leaves, "draining"),
        false => platform.store.remove("servers", "p2"),
    }
    sleep_until(left + LEFT).await;
    for (n, e) in entries.iter().enumerate() {
        for tries in 0..ASKED {
            let id = format!("left-{n}-{tries}");
            let answer = ask(e, "/log/1", &id).await;
            assert_eq!(answer.expect("an answer").status, 200);
            let there = replicas[1].requests().iter().any(|s| s.id == id);
            let (before, draining) = (c.before, c.draining);
            assert!(
                !there,
                "entry {n} sends to a target that left {:?} before ({before:?}, {draining}):\n{}",
                left.elapsed(),
                e.process.tail()
            );
        }
    }
}
