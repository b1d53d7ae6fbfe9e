//! Tests of orders to the engine stand-in, and of export and import of cached KV blocks.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use serde_json::{json, Value};
use standin::call::{Call, CallError};
use standin::engine::{Fencing, OrderRecord, Settings, Status};

use common::{completion, eventually, quick, start};

#[tokio::test]
async fn outdated_orders_are_refused_only_if_the_engine_honours_fencing() {
    struct Case {
        fencing: Fencing,
        second: Status,
        weights: &'static str,
    }
    let cases = [
        Case {
            fencing: Fencing::Honour,
            second: Status::Fenced,
            weights: "w2",
        },
        Case {
            fencing: Fencing::Ignore,
            second: Status::Done,
            weights: "w0",
        },
    ];
    for c in cases {
        let (engine, at) = start(Settings {
            fencing: c.fencing,
            ..quick()
        })
        .await;
        for (fence, weights) in [(7, "w2"), (6, "w0")] {
            let order = json!({"fence": fence, "order": "load", "weights": weights}).to_string();
            Call::post(at, "/orders", order).fetch().await.unwrap();
            eventually(|| engine.orders().iter().all(|o| o.status != Status::Running)).await;
        }
        let (_, orders) = Call::get(at, "/orders")
            .json::<Vec<OrderRecord>>()
            .await
            .unwrap();
        let statuses: Vec<_> = orders.iter().map(|o| o.status).collect();
        assert_eq!(statuses, [Status::Done, c.second]);
        let (_, load) = Call::get(at, "/load").json::<Value>().await.unwrap();
        assert_eq!(load["weights"], c.weights);
    }
}

/// New weights are ordered while a request runs. Blocks of the old weights must not be found
/// afterwards, or a caller would get tokens that neither version computes.
#[tokio::test]
async fn loading_weights_cuts_running_requests_and_clears_the_cache() {
    let settings = Settings {
        decode_per_token: Duration::from_millis(5),
        load_time: Duration::from_millis(50),
        ..quick()
    };
    let (engine, at) = start(settings).await;
    let long = json!({"prompt": "x".repeat(640), "max_tokens": 1_000_000, "stream": true});
    let call = tokio::spawn(completion(at, "old", &long).fetch());
    eventually(|| engine.running() == 1).await;
    let order = r#"{"fence":1,"order":"load","weights":"w2"}"#;
    let (status, _) = Call::post(at, "/orders", order).fetch().await.unwrap();
    assert_eq!(status, 202);
    assert_matches!(call.await.unwrap(), Err(CallError::Broken(_)));
    eventually(|| engine.orders()[0].status == Status::Done).await;
    let body = json!({"prompt": "x".repeat(640), "max_tokens": 1});
    completion(at, "new", &body).fetch().await.unwrap();
    let log = engine.run_log();
    let runs: Vec<_> = log
        .iter()
        .map(|r| (&*r.weights, r.cached, r.whole))
        .collect();
    assert_eq!(runs, [("w1", 0, false), ("w2", 0, true)]);
}

#[tokio::test]
async fn kv_blocks_are_imported_for_the_same_weights_only() {
    struct Case {
        weights: &'static str,
        status: u16,
        cached: u64,
    }
    let cases = [
        Case {
            weights: "w1",
            status: 200,
            cached: 160,
        },
        Case {
            weights: "w2",
            status: 409,
            cached: 0,
        },
    ];
    let (_, from) = start(quick()).await;
    let body = json!({"prompt": "x".repeat(640), "max_tokens": 1, "cache_salt": "s"});
    completion(from, "a", &body).fetch().await.unwrap();
    let (_, v) = Call::get(from, "/cache").json::<Value>().await.unwrap();
    let last = v["blocks"].as_array().unwrap().last().unwrap()["hash"]
        .as_u64()
        .unwrap();
    let (_, export) = Call::get(from, format!("/kv/{last}"))
        .fetch()
        .await
        .unwrap();
    for c in cases {
        let (_, to) = start(Settings {
            weights: c.weights.to_owned(),
            ..quick()
        })
        .await;
        let (status, _) = Call::post(to, "/kv", export.clone()).fetch().await.unwrap();
        assert_eq!(status, c.status);
        let (_, v) = completion(to, "a", &body).json::<Value>().await.unwrap();
        assert_eq!(
            v["usage"]["prompt_tokens_details"]["cached_tokens"],
            c.cached
        );
    }
}
