//! Engines whose speed changes all the time, and that state it.

use std::time::Duration;

use futures::future::join_all;
use standin::hosted::replica::Replica;

use crate::fleet::{fetch, Platform, MODEL};

#[tokio::test]
async fn engine_that_is_slow_for_a_while_keeps_its_requests() {
    // Guards against answers in which the pace hides the load, and against ejecting an engine or
    // starting its streams twice because it takes 2.5 times as long for a while.
    let mut platform = Platform::start().await;
    let engines = ["e1", "e2", "e3"].map(|id| Replica::new(id, 6, Duration::from_millis(20)));
    for engine in &engines {
        engine.set_version(MODEL, 1);
        platform.replica(engine, "engines").await;
    }
    let entry = platform.entry("front-1", engines.len()).await;
    for round in 0..8 {
        for (n, engine) in engines.iter().enumerate() {
            engine.set_pace(Some(if n == round % engines.len() { 250 } else { 100 }));
        }
        let send = |n: usize| {
            let entry = &entry;
            async move { fetch(entry, "/probe/1", &format!("{round}-{n}")).await }
        };
        for answer in join_all((0..6).map(send)).await {
            assert_eq!(answer.expect("an answer").status, 200, "round {round}");
        }
    }
    let received: usize = engines.iter().map(|e| e.requests().len()).sum();
    assert_eq!(received, 8 * 6, "streams were started twice");
    let ejected = entry.process.events("left_out");
    assert!(ejected.is_empty(), "{ejected:?}");
}
