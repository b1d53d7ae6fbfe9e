//! Admission to an engine pool that is short.

use std::fs::OpenOptions;
use std::io::Write;
use std::time::Duration;

use http_body_util::BodyExt;
use serde_json::Value;
use standin::call::Call;
use standin::hosted::replica::Replica;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::fleet::{request, Entry, Platform, MODEL, TIMEOUT};

/// Sends a prompt and collects its answer; returns the status and whether it states a retry time.
async fn send(call: Call) -> (u16, bool) {
    let answer = async {
        let response = call.send().await.expect("an answer");
        let status = response.status().as_u16();
        let retry = response.headers().contains_key("retry-after");
        response
            .into_body()
            .collect()
            .await
            .expect("a whole answer");
        (status, retry)
    };
    timeout(TIMEOUT, answer).await.expect("an answer")
}

/// Sends prompts of 5,000 tokens that share nothing with each other to the entries in turn.
async fn overload(entries: &[Entry], seconds: usize) -> Vec<(u16, bool)> {
    let mut calls = JoinSet::new();
    for n in 0..seconds * 50 {
        let mut call = request(&entries[n % entries.len()], "/probe/1", &format!("r-{n}"));
        let replaced = ["token-counts", "prompt-prefix"];
        call.headers.retain(|(name, _)| !replaced.contains(name));
        call.headers.push(("token-counts", "5000,10".to_owned()));
        call.headers.push(("prompt-prefix", format!("{n:x}:5000")));
        calls.spawn(send(call));
        sleep(Duration::from_millis(20)).await;
    }
    calls.join_all().await
}

#[tokio::test]
async fn short_pool_refuses_nothing_for_room_or_refuses_without_the_setting() {
    // Guards against first events, waits, reports of other entries or settings that don't reach the
    // decision.
    let mut platform = Platform::start().await;
    let engine = Replica::new("e1", 1, Duration::from_millis(200));
    engine.set_version(MODEL, 1);
    platform.replica(&engine, "engines").await;
    let mut entries = Vec::new();
    for n in 0..2 {
        entries.push(platform.entry(&format!("front-{n}"), 1).await);
    }
    let for_room = |entry: &Entry| {
        let refused = entry.process.events("refused");
        refused.iter().filter(|e| e["reason"] == "no_room").count()
    };
    overload(&entries, 4).await;
    assert_eq!(entries.iter().map(for_room).sum::<usize>(), 0);

    for entry in &entries {
        let file = entry.process.settings_file();
        let mut file = OpenOptions::new()
            .append(true)
            .open(file)
            .expect("settings");
        writeln!(file, "\ncontracts=pressure").expect("a line");
        entry.process.signal("HUP");
        let by_signal = |e: &Value| e["signal"] == true;
        entry.process.wait_for_event("reloaded", by_signal).await;
    }
    let answers = overload(&entries, 8).await;
    assert!(answers.iter().any(|(status, _)| *status == 200));
    assert!(answers
        .iter()
        .all(|(status, retry)| *status == 200 || *retry));
    for entry in &entries {
        assert!(for_room(entry) > 0, "{}", entry.process.log_of_state());
        let short = |e: &Value| e["short"] == true && e["entries"] == 1;
        let line = entry.process.wait_for_event("room", short).await;
        assert!(
            line["offered"].as_u64() > line["capacity"].as_u64(),
            "{line}"
        );
    }
}
