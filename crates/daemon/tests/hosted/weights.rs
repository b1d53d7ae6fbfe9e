//! New weights, from the operator's word to the requests that use them.

use std::time::Duration;

use serde_json::json;
use standin::hosted::replica::Replica;
use tokio::time::{sleep, timeout};

use crate::fleet::{ask, Platform, LIMIT, MODEL};

#[tokio::test]
async fn a_sidecar_orders_its_engine_and_the_entries_follow() {
    // The operator names new weights. The engine's sidecar orders them once, with a fencing token,
    // and requests then ask for the new version and for nothing cached under the old one.
    let mut platform = Platform::start().await;
    let engine = Replica::new("e1", 2, Duration::ZERO);
    engine.load(MODEL, 1);
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
            let last = engine.seen().pop();
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
    engine.load(MODEL, 1);
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
