//! New weights, from the operator's word to the requests that use them.

use std::time::Duration;

use serde_json::{json, Value};
use standin::hosted::replica::{Fault, Replica};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

use crate::fleet::{ask, Platform, LIMIT, MODEL};
use crate::pool::Three;

#[tokio::test]
async fn a_sidecar_orders_its_engine_and_the_entries_follow() {
    // The operator names new weights. The engine's sidecar orders them once, with a fencing token,
    // and requests then ask for the new version and for nothing cached under the old one.
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
    sidecar.event("ordered", |e| e["outcome"] == "begun").await;
    assert_eq!(engine.version(MODEL), 2);
    let orders = engine.orders();
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!(orders[0]["holder"], "side-1");
    assert!(orders[0]["fence"].as_u64().expect("a token") > 0);
    // An order that names nobody may be carried out late by the engine's next life, and put older
    // weights in the place of newer ones.
    assert_eq!(orders[0]["meant"], "e1");
    let served = async {
        let mut n = 0;
        loop {
            n += 1;
            let answer = ask(&entry, "/probe/1", &format!("new-{n}")).await;
            let last = engine.requests().pop();
            if let (Ok(a), Some(seen)) = (answer, last) {
                if a.status == 200 && seen.headers["expect-version"] == "2" {
                    return seen;
                }
            }
            sleep(Duration::from_millis(50)).await;
        }
    };
    let seen = timeout(LIMIT, served)
        .await
        .expect("a request on the new weights");
    assert_eq!(seen.headers["cache-salt"], "lekha.2");
}

#[tokio::test]
async fn a_restarted_sidecar_orders_with_a_higher_token() {
    // A sidecar is killed and starts again with nothing of before. Its next order bears a higher
    // token than its last, so that an engine that checks tokens takes it.
    let mut platform = Platform::start().await;
    let engine = Replica::new("e1", 2, Duration::ZERO);
    engine.set_version(MODEL, 1);
    let at = platform.replica(&engine, "engines").await;
    for version in [2, 3] {
        let sidecar = platform.sidecar("side-1", at);
        let named = json!({"model": MODEL, "version": version});
        platform.store.write("op", "version/lekha", &named);
        sidecar.event("ordered", |e| e["outcome"] == "begun").await;
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
async fn sidecars_agree_on_turns_and_callers_are_served_meanwhile() {
    // New weights are named for three engines, and a load takes 300 ms, which no sidecar has seen yet.
    // If two engines load at a time, a pool of three serves hardly anybody; a caller finds all of them
    // refusing. The sidecars have nothing but one another's words to keep apart.
    let three = Three::start().await;
    three.name(2);
    let rolled = async {
        let (mut most, mut n, mut refused) = (0, 0, 0);
        while !three.have(2) {
            most = three.loading().max(most);
            n += 1;
            let answer = ask(&three.entry, "/probe/1", &format!("roll-{n}")).await;
            refused += usize::from(!answer.is_ok_and(|a| a.status == 200));
        }
        (most, refused, n)
    };
    let (most, refused, n) = timeout(LIMIT, rolled).await.expect("all have them");
    let orders = three.orders();
    assert_eq!(most, 1, "engines that loaded at a time: {orders:?}");
    let refusals = three.entry.process.events("refused");
    let first = refusals.first();
    let named = three.entry.process.events("named");
    assert_eq!(
        refused, 0,
        "of {n} requests: {first:?}; {named:?}; {orders:?}"
    );
    let loads: usize = three.engines.iter().map(|e| e.orders().len()).sum();
    assert_eq!(loads, 3, "each loads once");
}

#[tokio::test]
async fn a_sidecar_that_was_stopped_doesn_t_load_beside_another_one() {
    // A sidecar stands still while new weights are named and another engine begins to load. That
    // engine's answer to its order takes long. The first sidecar goes on, stands before the other one
    // and, unless it has been told that the other loads already, loads as well: of three engines one
    // is left, and callers are refused.
    for stopped in 0..3 {
        let three = Three::start().await;
        three.engines.iter().for_each(|e| {
            e.set_order_delay(Duration::from_millis(200));
            e.set_load_time(Duration::from_millis(600));
        });
        three.sidecars[stopped].signal("STOP");
        three.name(2);
        let rolled = async {
            while three.loading() == 0 {
                yield_now().await;
            }
            three.sidecars[stopped].signal("CONT");
            let mut most = 0;
            while !three.have(2) {
                most = three.loading().max(most);
                yield_now().await;
            }
            most
        };
        let most = timeout(LIMIT, rolled).await.expect("all have them");
        assert_eq!(most, 1, "{stopped} was stopped: {:?}", three.orders());
    }
}

#[tokio::test]
async fn while_the_only_engine_loads_its_callers_wait_or_learn_when_it_is_back() {
    // The only engine of a pool loads weights. What is sent to it meanwhile is refused, and each such
    // try would cost a retry. A caller with time waits at the router and is served after the load; one
    // without is told at once how long the load goes on.
    let mut platform = Platform::start().await;
    let engine = Replica::new("e1", 2, Duration::ZERO);
    engine.set_version(MODEL, 1);
    engine.set_load_time(Duration::from_millis(900));
    let at = platform.replica(&engine, "engines").await;
    let entry = platform.entry("front-1", 1).await;
    let sidecar = platform.sidecar("side-1", at);
    sidecar.event("members", |e| e["entries"] == 1).await;
    let named = json!({"model": MODEL, "version": 2});
    platform.store.write("op", "version/lekha", &named);
    sidecar.event("ordered", |e| e["outcome"] == "begun").await;
    // The entry hears of it by the sidecar's next word.
    sleep(Duration::from_millis(250)).await;
    let answer = timeout(LIMIT, ask(&entry, "/probe/1", "patient")).await;
    let answer = answer.expect("in time").expect("an answer");
    assert_eq!(answer.status, 200, "{}", entry.process.about("patient"));
    assert_eq!(engine.version(MODEL), 2, "served after the load");
    let tries = engine
        .requests()
        .iter()
        .filter(|s| s.id == "patient")
        .count();
    assert_eq!(tries, 1, "sent once, when the engine takes it");
}

/// Guards against refusing a caller because the pool's only engine has newer weights than its entry knew.
#[tokio::test]
async fn engine_with_newer_weights_than_known_serves_the_same_request() {
    let mut platform = Platform::start().await;
    let engine = Replica::new("e1", 2, Duration::ZERO);
    engine.set_version(MODEL, 1);
    platform.replica(&engine, "engines").await;
    let named = json!({"model": MODEL, "version": 2});
    platform.store.write("op", "version/lekha", &named);
    let entry = platform.entry("front-1", 1).await;
    engine.set_version(MODEL, 2);
    let answer = timeout(LIMIT, ask(&entry, "/probe/1", "newer")).await;
    let answer = answer.expect("in time").expect("an answer");
    assert_eq!(answer.status, 200, "{}", entry.process.about("newer"));
}

#[tokio::test]
async fn an_engine_with_too_old_weights_hides_no_other_one() {
    // One engine has been left with old weights for too long to be used. The other one has the newest
    // and has just failed a request, so that it is to be left alone for a moment. Callers get it all
    // the same: it is the only one that may serve them, and nobody is refused.
    let mut platform = Platform::start().await;
    let newer = Replica::new("e1", 2, Duration::ZERO);
    newer.set_version(MODEL, 2);
    let older = Replica::new("e2", 2, Duration::ZERO);
    older.set_version(MODEL, 1);
    platform.replica(&newer, "engines").await;
    platform.replica(&older, "engines").await;
    let named = json!({"model": MODEL, "version": 2});
    platform.store.write("op", "version/lekha", &named);
    let entry = platform.entry("front-1", 2).await;
    // Named before the entry's start, they count as 2.5 s old then; 4.8 s are allowed.
    let old = async {
        let mut n = 0;
        let late = |e: &Value| e["up_ms"].as_u64().is_some_and(|ms| ms > 2_600);
        while !entry.process.events("answered").iter().any(late) {
            n += 1;
            let answer = ask(&entry, "/probe/1", &format!("wait-{n}")).await;
            assert!(answer.is_ok_and(|a| a.status == 200));
        }
    };
    timeout(LIMIT, old).await.expect("old weights");
    newer.set_fault(Fault::Error);
    let failed = async {
        let mut n = 0;
        while entry.process.events("left_out").is_empty() {
            n += 1;
            let _failed = ask(&entry, "/probe/1", &format!("fail-{n}")).await;
        }
    };
    timeout(LIMIT, failed).await.expect("left out");
    newer.set_fault(Fault::None);
    let answer = ask(&entry, "/probe/1", "served").await.expect("an answer");
    let refusals = entry.process.events("refused");
    assert_eq!(answer.status, 200, "{refusals:?}");
    assert!(newer.requests().iter().any(|s| s.id == "served"));
}
