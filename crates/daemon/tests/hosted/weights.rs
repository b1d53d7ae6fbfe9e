//! New weights, from the operator's announcement to the requests that run on them.

use std::time::Duration;

use serde_json::{json, Value};
use standin::hosted::replica::{Fault, Replica};
use standin::hosted::sample;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

use crate::fleet::{fetch, Platform, MODEL, TIMEOUT};
use crate::pool::EnginePool;

#[tokio::test]
async fn announced_weights_are_ordered_once_and_used_by_requests() {
    // Guards against repeated or unfenced orders, and against requests that still use the old
    // version or its cache after the operator has announced a new one.
    let mut platform = Platform::start().await;
    let engine = Replica::new("e1", 2, Duration::ZERO);
    engine.set_version(MODEL, 1);
    let at = platform.replica(&engine, "engines").await;
    let entry = platform.entry("front-1", 1).await;
    let sidecar = platform.sidecar("side-1", at);
    platform.store.write(
        "op",
        "version/lekha",
        &json!({"model": MODEL, "version": 2}),
    );
    sidecar
        .wait_for_event("ordered", |e| e["outcome"] == "begun")
        .await;
    assert_eq!(engine.version(MODEL), 2);
    let orders = engine.orders();
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!(orders[0]["holder"], "side-1");
    assert!(orders[0]["fence"].as_u64().expect("a token") > 0);
    // An order without an incarnation may be executed late by the engine's next incarnation and
    // replace newer weights by older ones.
    assert_eq!(orders[0]["meant"], "e1");
    let new_version_request = async {
        let mut n = 0;
        loop {
            n += 1;
            let answer = fetch(&entry, "/probe/1", &format!("new-{n}")).await;
            let last_request = engine.requests().pop();
            if let (Ok(a), Some(received)) = (answer, last_request) {
                if a.status == 200 && received.headers["expect-version"] == "2" {
                    return received;
                }
            }
            sleep(Duration::from_millis(50)).await;
        }
    };
    let received = timeout(TIMEOUT, new_version_request)
        .await
        .expect("a request on the new weights");
    assert_eq!(received.headers["cache-salt"], "lekha.2");
}

#[tokio::test]
async fn engine_that_states_its_start_but_no_id_is_ordered() {
    // Guards against orders to an empty or denied id, which the engine refuses without end.
    struct Case {
        name: &'static str,
        listed: &'static str,
        start: u64,
    }
    let cases = [
        Case {
            name: "listed under its id and start",
            listed: "e1",
            start: 1,
        },
        Case {
            name: "listed under the id of another engine",
            listed: "other",
            start: 1,
        },
    ];
    for c in cases {
        let mut platform = Platform::start().await;
        let engine = Replica::new("e1", 2, Duration::ZERO);
        engine.set_version(MODEL, 1);
        engine.set_born(c.start);
        let at = platform.start_replica(&engine).await;
        let row = sample::entry(&engine, "engines", at, "ready", c.start);
        platform.store.write("servers", c.listed, &row);
        let _entry = platform.entry("front-1", 1).await;
        let sidecar = platform.sidecar("side-1", at);
        let announcement = json!({"model": MODEL, "version": 2});
        platform.store.write("op", "version/lekha", &announcement);
        sidecar
            .wait_for_event("ordered", |e| e["outcome"] == "begun")
            .await;
        let orders = engine.orders();
        assert_eq!(orders.len(), 1, "{}: {orders:?}", c.name);
        assert_eq!(orders[0]["meant"], "e1", "{}", c.name);
    }
}

#[tokio::test]
async fn engine_that_restarts_under_its_id_is_ordered_again() {
    // Guards against the count of orders and the identity of an engine's former start.
    let mut platform = Platform::start().await;
    let engine = Replica::new("e1", 2, Duration::ZERO);
    engine.set_version(MODEL, 1);
    engine.set_born(1);
    let at = platform.replica(&engine, "engines").await;
    let _entry = platform.entry("front-1", 1).await;
    let sidecar = platform.sidecar("side-1", at);
    for version in [2, 3] {
        let announcement = json!({"model": MODEL, "version": version});
        platform.store.write("op", "version/lekha", &announcement);
        sidecar
            .wait_for_event("ordered", |e| {
                e["outcome"] == "begun" && e["version"] == version
            })
            .await;
        engine.restart_under_its_id(version);
        platform.list_incarnation(&engine, "engines", at, "ready", version);
    }
    let orders = engine.orders();
    assert_eq!(orders.len(), 2, "{orders:?}");
    assert_eq!(orders[1]["expected"], 0);
    assert_eq!(orders[1]["meant"], "e1");
}

#[tokio::test]
async fn restarted_sidecar_orders_with_a_higher_fencing_token() {
    // A sidecar that is killed loses its state. If its next order doesn't carry a higher token than
    // its last one, an engine that checks tokens rejects it.
    let mut platform = Platform::start().await;
    let engine = Replica::new("e1", 2, Duration::ZERO);
    engine.set_version(MODEL, 1);
    let at = platform.replica(&engine, "engines").await;
    for version in [2, 3] {
        let sidecar = platform.sidecar("side-1", at);
        let announcement = json!({"model": MODEL, "version": version});
        platform.store.write("op", "version/lekha", &announcement);
        sidecar
            .wait_for_event("ordered", |e| e["outcome"] == "begun")
            .await;
    }
    let fences: Vec<_> = engine
        .orders()
        .iter()
        .map(|o| o["fence"].as_u64())
        .collect();
    assert_eq!(fences.len(), 2);
    assert!(fences[0] < fences[1], "{fences:?}");
}

#[tokio::test]
async fn sidecars_load_one_engine_at_a_time_and_callers_are_served() {
    // A load takes 300 ms, which no sidecar has observed yet; only messages between the sidecars
    // keep loads apart. If two of three engines load at a time, callers find all of them refusing.
    let pool = EnginePool::start().await;
    pool.announce(2);
    let rollout = async {
        let (mut max_loading, mut n, mut refused) = (0, 0, 0);
        while !pool.all_have(2) {
            max_loading = pool.loading_count().max(max_loading);
            n += 1;
            let answer = fetch(&pool.entry, "/probe/1", &format!("roll-{n}")).await;
            refused += usize::from(!answer.is_ok_and(|a| a.status == 200));
        }
        (max_loading, refused, n)
    };
    let (max_loading, refused, n) = timeout(TIMEOUT, rollout)
        .await
        .expect("all engines load the version");
    let orders = pool.orders();
    assert_eq!(
        max_loading, 1,
        "more than one engine loaded at a time: {orders:?}"
    );
    let refusals = pool.entry.process.events("refused");
    let first = refusals.first();
    let announced = pool.entry.process.events("named");
    assert_eq!(
        refused, 0,
        "of {n} requests: {first:?}; {announced:?}; {orders:?}"
    );
    let loads: usize = pool.engines.iter().map(|e| e.orders().len()).sum();
    assert_eq!(loads, 3, "each engine loads once");
}

#[tokio::test]
async fn resumed_sidecar_never_loads_alongside_another() {
    // A sidecar is paused while another engine starts to load and answers its order slowly. The
    // resumed sidecar ranks first; unless it learns of that load, it loads too: one engine is left.
    for paused in 0..3 {
        let pool = EnginePool::start().await;
        pool.engines.iter().for_each(|e| {
            e.set_order_delay(Duration::from_millis(200));
            e.set_load_time(Duration::from_millis(600));
        });
        pool.sidecars[paused].signal("STOP");
        pool.announce(2);
        let rollout = async {
            while pool.loading_count() == 0 {
                yield_now().await;
            }
            pool.sidecars[paused].signal("CONT");
            let mut max_loading = 0;
            while !pool.all_have(2) {
                max_loading = pool.loading_count().max(max_loading);
                yield_now().await;
            }
            max_loading
        };
        let max_loading = timeout(TIMEOUT, rollout)
            .await
            .expect("all engines load the version");
        assert_eq!(
            max_loading,
            1,
            "sidecar {paused} was paused: {:?}",
            pool.orders()
        );
    }
}

#[tokio::test]
async fn request_waits_at_the_router_while_the_only_engine_loads() {
    // A loading engine refuses requests, and each refused attempt would use up a retry. A request
    // with enough time must wait at the router and be sent once, after the load.
    let mut platform = Platform::start().await;
    let engine = Replica::new("e1", 2, Duration::ZERO);
    engine.set_version(MODEL, 1);
    engine.set_load_time(Duration::from_millis(900));
    let at = platform.replica(&engine, "engines").await;
    let entry = platform.entry("front-1", 1).await;
    let sidecar = platform.sidecar("side-1", at);
    sidecar
        .wait_for_event("members", |e| e["entries"] == 1)
        .await;
    let announcement = json!({"model": MODEL, "version": 2});
    platform.store.write("op", "version/lekha", &announcement);
    sidecar
        .wait_for_event("ordered", |e| e["outcome"] == "begun")
        .await;
    // The sidecar's next update reports the load to the entry.
    sleep(Duration::from_millis(250)).await;
    let answer = timeout(TIMEOUT, fetch(&entry, "/probe/1", "patient")).await;
    let answer = answer.expect("in time").expect("an answer");
    assert_eq!(
        answer.status,
        200,
        "{}",
        entry.process.log_of_request("patient")
    );
    assert_eq!(engine.version(MODEL), 2, "served after the load");
    let attempts = engine
        .requests()
        .iter()
        .filter(|s| s.id == "patient")
        .count();
    assert_eq!(attempts, 1, "sent once, when the engine accepts requests");
}

/// A caller is refused because the pool's only engine has newer weights than the entry recorded.
#[tokio::test]
async fn request_is_served_by_an_engine_with_newer_weights_than_recorded() {
    let mut platform = Platform::start().await;
    let engine = Replica::new("e1", 2, Duration::ZERO);
    engine.set_version(MODEL, 1);
    platform.replica(&engine, "engines").await;
    let announcement = json!({"model": MODEL, "version": 2});
    platform.store.write("op", "version/lekha", &announcement);
    let entry = platform.entry("front-1", 1).await;
    engine.set_version(MODEL, 2);
    let answer = timeout(TIMEOUT, fetch(&entry, "/probe/1", "newer")).await;
    let answer = answer.expect("in time").expect("an answer");
    assert_eq!(
        answer.status,
        200,
        "{}",
        entry.process.log_of_request("newer")
    );
}

#[tokio::test]
async fn ejected_engine_serves_when_the_other_has_outdated_weights() {
    // One engine's weights are too old to be used, and the only engine with the newest weights has
    // just been ejected after a failure. Callers are refused unless the ejected engine serves them.
    let mut platform = Platform::start().await;
    let newer = Replica::new("e1", 2, Duration::ZERO);
    newer.set_version(MODEL, 2);
    let older = Replica::new("e2", 2, Duration::ZERO);
    older.set_version(MODEL, 1);
    platform.replica(&newer, "engines").await;
    platform.replica(&older, "engines").await;
    let announcement = json!({"model": MODEL, "version": 2});
    platform.store.write("op", "version/lekha", &announcement);
    let entry = platform.entry("front-1", 2).await;
    // A version announced before the entry's start counts as 2.5 s old at the start; outdated
    // weights may be used until 4.8 s.
    let outdated = async {
        let mut n = 0;
        let is_late = |e: &Value| e["up_ms"].as_u64().is_some_and(|ms| ms > 2_600);
        while !entry.process.events("answered").iter().any(is_late) {
            n += 1;
            let answer = fetch(&entry, "/probe/1", &format!("wait-{n}")).await;
            assert!(answer.is_ok_and(|a| a.status == 200));
        }
    };
    timeout(TIMEOUT, outdated)
        .await
        .expect("the old weights are outdated");
    newer.set_fault(Fault::Error);
    let ejection = async {
        let mut n = 0;
        while entry.process.events("left_out").is_empty() {
            n += 1;
            let _failed = fetch(&entry, "/probe/1", &format!("fail-{n}")).await;
        }
    };
    timeout(TIMEOUT, ejection)
        .await
        .expect("the engine is ejected");
    newer.set_fault(Fault::None);
    let answer = fetch(&entry, "/probe/1", "served")
        .await
        .expect("an answer");
    let refusals = entry.process.events("refused");
    assert_eq!(answer.status, 200, "{refusals:?}");
    assert!(newer.requests().iter().any(|s| s.id == "served"));
}
