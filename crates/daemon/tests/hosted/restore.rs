//! Restores of the store from a snapshot that is some seconds old.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use serde_json::json;
use standin::hosted::replica::Replica;
use standin::hosted::row_store::{EraHeader, Fault, Snapshot, Store};
use tokio::time::{sleep, timeout};

use crate::fleet::{config, fetch, Entry, Platform, MODEL, TIMEOUT};
use crate::store::fleet;

/// Interval between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Circumstances of a restore and of the first answers after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RestoreMode {
    /// The store is restored without an outage.
    Immediate,
    /// Before any process reads the store, more rows are written than the snapshot lacked.
    Overtaken,
    /// The store is restored during an outage.
    Outage,
    /// The store is restored twice.
    Twice,
    /// The first answers lack the era header.
    MissingEra,
    /// The first answers have an era header that can't be parsed.
    MalformedEra,
}

/// A configuration in which the callers' key is revoked.
fn revoked_config(version: u64) -> serde_json::Value {
    let mut config = config(version);
    config["tenants"][0]["api_keys"] = json!(["another"]);
    config
}

/// Waits until the callers' key is refused, then checks that it stays refused.
async fn check_key_is_refused(entry: &Entry, name: &str) {
    let result = timeout(TIMEOUT, async {
        for n in 0.. {
            let answer = fetch(entry, "/log/1", &format!("revoked-{n}")).await;
            if answer.is_ok_and(|a| a.status == 401) {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    });
    let log = || entry.process.log_tail();
    assert!(
        result.await.is_ok(),
        "{name}: the key is still accepted\n{}",
        log()
    );
    for n in 0..20 {
        let answer = fetch(entry, "/log/1", &format!("after-{n}")).await;
        let status = answer.expect("an answer").status;
        assert_eq!(status, 401, "{name}: the key is accepted again\n{}", log());
        sleep(POLL_INTERVAL).await;
    }
}

/// Rows written after a restore look older than those from before it, and a key that is revoked
/// after the restore stays accepted.
#[tokio::test]
async fn key_revoked_after_a_restore_is_refused() {
    let modes = [
        RestoreMode::Immediate,
        RestoreMode::Overtaken,
        RestoreMode::Outage,
        RestoreMode::Twice,
        RestoreMode::MissingEra,
        RestoreMode::MalformedEra,
    ];
    join_all(modes.map(check_revoked_key)).await;
}

async fn check_revoked_key(mode: RestoreMode) {
    let (platform, _plain, entry) = fleet().await;
    let store = &platform.store;
    let snapshot = store.snapshot();
    for version in 2..=10 {
        store.write("op", "config", &config(version));
    }
    let configured = |v: u64| {
        entry
            .process
            .wait_for_event("configured", move |e| e["version"] == v)
    };
    configured(10).await;
    restore(store, &snapshot, mode).await;
    store.write("op", "config", &config(10));
    if mode == RestoreMode::Overtaken {
        for _ in 0..20 {
            store.write("op", "other", &json!({}));
        }
    }
    store.write("op", "config", &revoked_config(11));
    if matches!(mode, RestoreMode::MissingEra | RestoreMode::MalformedEra) {
        sleep(Duration::from_millis(300)).await;
        store.set_era_header(EraHeader::Current);
    }
    check_key_is_refused(&entry, &format!("{mode:?}")).await;
}

async fn restore(store: &Store, snapshot: &Snapshot, mode: RestoreMode) {
    match mode {
        RestoreMode::Immediate | RestoreMode::Overtaken => store.restore(snapshot),
        RestoreMode::Outage => {
            store.set_fault(Fault::Busy);
            sleep(Duration::from_millis(700)).await;
            store.restore(snapshot);
            store.set_fault(Fault::None);
        }
        RestoreMode::Twice => {
            store.restore(snapshot);
            sleep(Duration::from_millis(400)).await;
            store.restore(snapshot);
        }
        RestoreMode::MissingEra => {
            store.set_era_header(EraHeader::Missing);
            store.restore(snapshot);
        }
        RestoreMode::MalformedEra => {
            store.set_era_header(EraHeader::Value("second"));
            store.restore(snapshot);
        }
    }
}

/// A process that the restored store rejects keeps accepting a revoked key, or passes its older
/// configuration on to other processes.
#[tokio::test]
async fn key_revoked_after_a_restore_is_refused_by_a_process_that_the_store_rejects() {
    let (platform, _plain, near) = fleet().await;
    // A second store with the same configuration rows represents the same store at another address.
    let second = Arc::new(Store::default());
    let (at, _served) = second.start().await.expect("a store");
    for version in 1..=9 {
        second.write("op", "config", &config(version));
    }
    let far = platform.start_entry("front-2", at).await;
    far.process
        .wait_for_event("configured", |e| e["version"] == 9)
        .await;
    let peer = |e: &Entry| e.process.events("listening")[0]["peer"].clone();
    let (near_at, far_at) = (peer(&near), peer(&far));
    second.write(
        "members",
        "front-1",
        &json!({"addr": near_at, "entry": true}),
    );
    platform.store.write(
        "members",
        "front-2",
        &json!({"addr": far_at, "entry": true}),
    );
    far.process
        .wait_for_event("members", |e| e["entries"] == 1)
        .await;
    near.process
        .wait_for_event("members", |e| e["entries"] == 1)
        .await;
    second.set_fault(Fault::Busy);
    let snapshot = platform.store.snapshot();
    platform.store.restore(&snapshot);
    platform.store.write("op", "config", &revoked_config(10));
    check_key_is_refused(&near, "near").await;
    check_key_is_refused(&far, "far").await;
    // The process without access to the store has older rows with higher versions.
    assert!(near
        .process
        .events("configured")
        .iter()
        .all(|e| e["version"] != 9));
}

/// Processes that start after a restore never discover those whose rows the restore has lost.
#[tokio::test]
async fn member_row_lost_in_a_restore_is_written_again() {
    let mut platform = Platform::start().await;
    let plain = Replica::new("p1", 0, Duration::ZERO);
    platform.replica(&plain, "plain").await;
    let snapshot = platform.store.snapshot();
    let first = platform.entry("front-1", 1).await;
    let engine = Replica::new("e1", 2, Duration::ZERO);
    engine.set_version(MODEL, 1);
    let at = platform.replica(&engine, "engines").await;
    let side = platform.sidecar("side-1", at);
    side.wait_for_event("members", |e| e["entries"] == 1).await;
    let before = platform.wait_for_member("front-1").await;
    platform.store.restore(&snapshot);
    platform.list(&engine, "engines", at, "ready");
    assert_eq!(platform.wait_for_member("front-1").await, before);
    platform.wait_for_member("side-1").await;
    let is_rewritten = |e: &serde_json::Value| e["table"] == "members" && e["written"] == 1;
    first.process.wait_for_event("reread", is_rewritten).await;
    first
        .process
        .wait_for_event("restored", |e| e["era"] == 2)
        .await;
    // The entry never dropped the sidecar from its members.
    let has_no_sidecar = |e: &serde_json::Value| e["sidecars"] == 0;
    let dropped = first
        .process
        .events("members")
        .into_iter()
        .skip(1)
        .any(|e| has_no_sidecar(&e));
    assert!(!dropped, "{:?}", first.process.events("members"));
}

/// Requests are sent to a target that left before the restore, or not sent to one that joined after
/// the snapshot.
#[tokio::test]
async fn restore_neither_brings_back_targets_that_left_nor_drops_those_that_joined() {
    let (mut platform, left, entry) = fleet().await;
    let snapshot = platform.store.snapshot();
    let joined = Replica::new("p2", 0, Duration::ZERO);
    platform.replica(&joined, "plain").await;
    let is_ready = |e: &serde_json::Value| e["target"] == "p2" && e["state"] == "ready";
    entry.process.wait_for_event("target", is_ready).await;
    platform.store.remove("servers", "p1");
    let is_gone = |e: &serde_json::Value| e["target"] == "p1" && e["state"] == "gone";
    entry.process.wait_for_event("target", is_gone).await;
    let requests_before = left.requests().len();
    platform.store.restore(&snapshot);
    entry.process.wait_for_event("restored", |_| true).await;
    let is_reread = |e: &serde_json::Value| e["source"] == "store" && e["missing"] == 1;
    entry.process.wait_for_event("listed", is_reread).await;
    for n in 0..10 {
        let answer = fetch(&entry, "/log/1", &format!("restored-{n}")).await;
        assert_eq!(answer.expect("an answer").status, 200);
        sleep(POLL_INTERVAL).await;
    }
    assert_eq!(
        left.requests().len(),
        requests_before,
        "requests reached the target that left"
    );
    let addr = joined.addr().expect("an address");
    platform.list(&joined, "plain", addr, "ready");
    platform.store.remove("servers", "p1");
    sleep(Duration::from_millis(2_500)).await;
    let answer = fetch(&entry, "/log/1", "later").await;
    assert_eq!(answer.expect("an answer").status, 200);
}

/// A store that never sends an era header has each of its answers logged as an error.
#[tokio::test]
async fn store_without_era_headers_is_followed_without_errors() {
    let platform = Platform::start().await;
    platform.store.set_era_header(EraHeader::Missing);
    let entries = [
        platform.entry("front-1", 0).await,
        platform.entry("front-2", 0).await,
    ];
    for e in &entries {
        e.process
            .wait_for_event("members", |e| e["entries"] == 1)
            .await;
    }
    // Each entry reports every list of targets that it reads to the other entry.
    let plain = Replica::new("p1", 0, Duration::ZERO);
    let (at, _served) = plain.start().await.expect("a replica");
    platform.list(&plain, "plain", at, "ready");
    platform.store.write("op", "config", &config(2));
    for e in &entries {
        e.process.wait_for_event("target", |_| true).await;
        e.process
            .wait_for_event("configured", |e| e["version"] == 2)
            .await;
    }
    platform.store.write("op", "config", &config(3));
    for e in &entries {
        e.process
            .wait_for_event("configured", |e| e["version"] == 3)
            .await;
        assert!(
            e.process.events("bad_era").is_empty(),
            "{}",
            e.process.log_tail()
        );
    }
}
