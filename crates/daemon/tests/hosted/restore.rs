//! A store that comes back from a copy some seconds old.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use serde_json::json;
use standin::hosted::replica::Replica;
use standin::hosted::row_store::{EraHeader, Fault, Snapshot, Store};
use tokio::time::{sleep, timeout};

use crate::fleet::{ask, config, Entry, Platform, LIMIT, MODEL};
use crate::store::fleet;

/// Pause between two looks at something that is awaited.
const LOOK: Duration = Duration::from_millis(20);

/// How the store comes back, and how a process learns of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Return {
    /// As soon as it was there.
    AtOnce,
    /// With more rows written again than the copy lacked, before any process asks.
    Overtaken,
    /// After an outage.
    Outage,
    /// Twice in a row.
    Twice,
    /// The first answers don't name the era.
    Unnamed,
    /// The first answers name it in a way that can't be read.
    Unreadable,
}

/// A configuration without the callers' key.
fn revoked(version: u64) -> serde_json::Value {
    let mut config = config(version);
    config["tenants"][0]["api_keys"] = json!(["another"]);
    config
}

/// Waits until the callers' key is refused, then looks that it stays so.
async fn is_refused(entry: &Entry, name: &str) {
    let waited = timeout(LIMIT, async {
        for n in 0.. {
            let answer = ask(entry, "/log/1", &format!("revoked-{n}")).await;
            if answer.is_ok_and(|a| a.status == 401) {
                return;
            }
            sleep(LOOK).await;
        }
    });
    let tail = || entry.process.tail();
    assert!(waited.await.is_ok(), "{name}: still served\n{}", tail());
    for n in 0..20 {
        let answer = ask(entry, "/log/1", &format!("after-{n}")).await;
        let status = answer.expect("an answer").status;
        assert_eq!(status, 401, "{name}: served again\n{}", tail());
        sleep(LOOK).await;
    }
}

/// A key that was taken away after a restore is served for good.
#[tokio::test]
async fn key_that_is_taken_away_after_a_restore_is_refused() {
    let ways = [
        Return::AtOnce,
        Return::Overtaken,
        Return::Outage,
        Return::Twice,
        Return::Unnamed,
        Return::Unreadable,
    ];
    join_all(ways.map(revoke)).await;
}

async fn revoke(way: Return) {
    let (platform, _plain, entry) = fleet().await;
    let store = &platform.store;
    let copy = store.snapshot();
    for version in 2..=10 {
        store.write("op", "config", &config(version));
    }
    let configured = |v: u64| {
        entry
            .process
            .event("configured", move |e| e["version"] == v)
    };
    configured(10).await;
    come_back(store, &copy, way).await;
    store.write("op", "config", &config(10));
    if way == Return::Overtaken {
        for _ in 0..20 {
            store.write("op", "other", &json!({}));
        }
    }
    store.write("op", "config", &revoked(11));
    if matches!(way, Return::Unnamed | Return::Unreadable) {
        sleep(Duration::from_millis(300)).await;
        store.set_era_header(EraHeader::Current);
    }
    is_refused(&entry, &format!("{way:?}")).await;
}

async fn come_back(store: &Store, copy: &Snapshot, way: Return) {
    match way {
        Return::AtOnce | Return::Overtaken => store.restore(copy),
        Return::Outage => {
            store.set_fault(Fault::Busy);
            sleep(Duration::from_millis(700)).await;
            store.restore(copy);
            store.set_fault(Fault::None);
        }
        Return::Twice => {
            store.restore(copy);
            sleep(Duration::from_millis(400)).await;
            store.restore(copy);
        }
        Return::Unnamed => {
            store.set_era_header(EraHeader::Missing);
            store.restore(copy);
        }
        Return::Unreadable => {
            store.set_era_header(EraHeader::Value("second"));
            store.restore(copy);
        }
    }
}

/// A process that the restored store turns away keeps a key that was taken away, or gives it back to others.
#[tokio::test]
async fn key_that_is_taken_away_after_a_restore_is_refused_where_the_store_turns_a_process_away() {
    let (platform, _plain, near) = fleet().await;
    // Another address of the same rows, as far as one process is concerned.
    let second = Arc::new(Store::default());
    let (at, _served) = second.start().await.expect("a store");
    for version in 1..=9 {
        second.write("op", "config", &config(version));
    }
    let far = platform.unready("front-2", at).await;
    far.process.event("configured", |e| e["version"] == 9).await;
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
    far.process.event("members", |e| e["entries"] == 1).await;
    near.process.event("members", |e| e["entries"] == 1).await;
    second.set_fault(Fault::Busy);
    let copy = platform.store.snapshot();
    platform.store.restore(&copy);
    platform.store.write("op", "config", &revoked(10));
    is_refused(&near, "near").await;
    is_refused(&far, "far").await;
    // The process that is cut off has the older rows with higher versions.
    assert!(near
        .process
        .events("configured")
        .iter()
        .all(|e| e["version"] != 9));
}

/// Processes that start after a restore never learn of those whose rows it has lost.
#[tokio::test]
async fn row_of_a_process_that_a_restore_has_lost_is_written_again() {
    let mut platform = Platform::start().await;
    let plain = Replica::new("p1", 0, Duration::ZERO);
    platform.replica(&plain, "plain").await;
    let copy = platform.store.snapshot();
    let first = platform.entry("front-1", 1).await;
    let engine = Replica::new("e1", 2, Duration::ZERO);
    engine.set_version(MODEL, 1);
    let at = platform.replica(&engine, "engines").await;
    let side = platform.sidecar("side-1", at);
    side.event("members", |e| e["entries"] == 1).await;
    let before = platform.member("front-1").await;
    platform.store.restore(&copy);
    platform.list(&engine, "engines", at, "ready");
    assert_eq!(platform.member("front-1").await, before);
    platform.member("side-1").await;
    let written = |e: &serde_json::Value| e["table"] == "members" && e["written"] == 1;
    first.process.event("reread", written).await;
    first.process.event("restored", |e| e["era"] == 2).await;
    // Meanwhile the entry knew the sidecar all the same.
    let known = |e: &serde_json::Value| e["sidecars"] == 0;
    let lost = first
        .process
        .events("members")
        .into_iter()
        .skip(1)
        .any(|e| known(&e));
    assert!(!lost, "{:?}", first.process.events("members"));
}

/// Callers are sent to a target that left before the restore, or not to one that joined after the copy.
#[tokio::test]
async fn targets_are_what_they_were_before_a_restore() {
    let (mut platform, left, entry) = fleet().await;
    let copy = platform.store.snapshot();
    let joined = Replica::new("p2", 0, Duration::ZERO);
    platform.replica(&joined, "plain").await;
    let joins = |e: &serde_json::Value| e["target"] == "p2" && e["state"] == "ready";
    entry.process.event("target", joins).await;
    platform.store.remove("servers", "p1");
    let leaves = |e: &serde_json::Value| e["target"] == "p1" && e["state"] == "gone";
    entry.process.event("target", leaves).await;
    let seen = left.requests().len();
    platform.store.restore(&copy);
    entry.process.event("restored", |_| true).await;
    let reread = |e: &serde_json::Value| e["source"] == "store" && e["missing"] == 1;
    entry.process.event("listed", reread).await;
    for n in 0..10 {
        let answer = ask(&entry, "/log/1", &format!("restored-{n}")).await;
        assert_eq!(answer.expect("an answer").status, 200);
        sleep(LOOK).await;
    }
    assert_eq!(left.requests().len(), seen, "the target that left");
    let addr = joined.addr().expect("an address");
    platform.list(&joined, "plain", addr, "ready");
    platform.store.remove("servers", "p1");
    sleep(Duration::from_millis(2_500)).await;
    let answer = ask(&entry, "/log/1", "later").await;
    assert_eq!(answer.expect("an answer").status, 200);
}

/// A store that names no era has each of its answers logged as one whose era is missing.
#[tokio::test]
async fn store_that_names_no_era_is_followed_in_silence() {
    let platform = Platform::start().await;
    platform.store.set_era_header(EraHeader::Missing);
    let entries = [
        platform.entry("front-1", 0).await,
        platform.entry("front-2", 0).await,
    ];
    for e in &entries {
        e.process.event("members", |e| e["entries"] == 1).await;
    }
    // Each list of targets that one of them finds is reported to the other.
    let plain = Replica::new("p1", 0, Duration::ZERO);
    let (at, _served) = plain.start().await.expect("a replica");
    platform.list(&plain, "plain", at, "ready");
    platform.store.write("op", "config", &config(2));
    for e in &entries {
        e.process.event("target", |_| true).await;
        e.process.event("configured", |e| e["version"] == 2).await;
    }
    platform.store.write("op", "config", &config(3));
    for e in &entries {
        e.process.event("configured", |e| e["version"] == 3).await;
        assert!(
            e.process.events("bad_era").is_empty(),
            "{}",
            e.process.tail()
        );
    }
}
