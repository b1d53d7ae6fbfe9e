//! Tests of the engine stand-in: scheduling, cache, cancellation, resumption, faults.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use http_body_util::BodyExt;
use serde_json::{json, Value};
use standin::call::{Call, CallError};
use standin::engine::{answer_token, Engine, Faults, Queue, Rank, Settings};

use common::{answer_tokens, completion, eventually, quick, start};

#[tokio::test]
async fn resumed_stream_starts_after_the_tokens_already_received() {
    struct Case {
        resume: usize,
        tokens: usize,
    }
    let cases = [
        Case {
            resume: 0,
            tokens: 5,
        },
        Case {
            resume: 3,
            tokens: 5,
        },
        Case {
            resume: 5,
            tokens: 5,
        },
    ];
    let (engine, at) = start(quick()).await;
    for c in cases {
        let body =
            json!({"prompt": "p", "max_tokens": c.tokens, "stream": true, "resume": c.resume});
        let (_, text) = completion(at, "a", &body).fetch().await.unwrap();
        let want: Vec<_> = (c.resume..c.tokens).map(|i| answer_token("p", i)).collect();
        assert_eq!(answer_tokens(&text), want);
        assert!(text.ends_with(b"data: [DONE]\n\n"));
    }
    assert!(engine.run_log().iter().all(|r| r.whole));
}

#[tokio::test]
async fn cached_blocks_are_found_in_the_same_scope_only() {
    struct Case {
        scope: &'static str,
        prompt: String,
        cached: usize,
    }
    let long = "x".repeat(640);
    let fork = format!("{}{}", "x".repeat(320), "y".repeat(320));
    let cases = [
        Case {
            scope: "a",
            prompt: long.clone(),
            cached: 0,
        },
        Case {
            scope: "a",
            prompt: long.clone(),
            cached: 160,
        },
        Case {
            scope: "b",
            prompt: long.clone(),
            cached: 0,
        },
        Case {
            scope: "a",
            prompt: fork,
            cached: 80,
        },
    ];
    let (_, at) = start(quick()).await;
    for c in cases {
        let body = json!({"prompt": c.prompt, "max_tokens": 1, "cache_salt": c.scope});
        let (_, v) = completion(at, "a", &body).json::<Value>().await.unwrap();
        let cached = &v["usage"]["prompt_tokens_details"]["cached_tokens"];
        assert_eq!(cached, &json!(c.cached));
    }
}

#[tokio::test]
async fn permits_are_granted_by_priority_then_arrival() {
    let queue = Queue::new(1);
    let first = queue
        .acquire(Rank {
            priority: 0,
            arrival: 0,
        })
        .await;
    let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
    let ranks = [(5, 1), (0, 2), (5, 3), (-1, 4)];
    for (n, (priority, arrival)) in ranks.into_iter().enumerate() {
        let (queue, tx) = (queue.clone(), tx.clone());
        tokio::spawn(async move {
            let _permit = queue.acquire(Rank { priority, arrival }).await;
            let _ = tx.send(n);
        });
    }
    eventually(|| queue.waiting() == ranks.len()).await;
    drop(first);
    let mut got = Vec::new();
    for _ in ranks {
        got.extend(rx.recv().await);
    }
    assert_eq!(got, [3, 1, 0, 2]);
}

/// Guards against an engine that continues to compute for a caller that has disconnected: its slot
/// would stay occupied while other callers wait.
#[tokio::test]
async fn disconnected_caller_frees_its_slot() {
    let settings = Settings {
        slots: 1,
        decode_per_token: Duration::from_millis(5),
        ..quick()
    };
    for stream in [true, false] {
        let (engine, at) = start(settings.clone()).await;
        let long = json!({"prompt": "p", "max_tokens": 1_000_000, "stream": stream});
        let call = tokio::spawn(completion(at, "gone", &long).fetch());
        eventually(|| engine.running() == 1).await;
        call.abort();
        let body = json!({"prompt": "q", "max_tokens": 1});
        completion(at, "next", &body).fetch().await.unwrap();
        let log = engine.run_log();
        assert_matches!(log.as_slice(), [a, b] if a.request == "gone" && !a.whole
            && b.request == "next" && b.whole);
    }
}

/// A network device between sidecar and engine loses track of a connection: its stream stalls
/// without an end or an error, while new connections work and can fetch the rest.
#[tokio::test]
async fn frozen_connection_stalls_while_new_ones_work() {
    let settings = Settings {
        decode_per_token: Duration::from_millis(5),
        ..quick()
    };
    let (engine, at) = start(settings).await;
    let body = json!({"prompt": "p", "max_tokens": 200, "stream": true});
    let mut res = completion(at, "a", &body).send().await.unwrap();
    res.body_mut().frame().await.unwrap().unwrap();
    let (status, _) = Call::post(at, "/faults", r#"{"freeze":true}"#)
        .fetch()
        .await
        .unwrap();
    assert_eq!(status, 200);
    let rest = json!({"prompt": "p", "max_tokens": 200, "stream": true, "resume": 199});
    let (_, text) = completion(at, "a", &rest).fetch().await.unwrap();
    assert_eq!(answer_tokens(&text), [answer_token("p", 199)]);
    eventually(|| engine.run_log().iter().filter(|r| r.whole).count() == 2).await;
    let stalled_stream = async {
        // Data sent before the freeze may still arrive, but the end of the stream never does.
        let whole = res.into_body().collect().await;
        panic!("ended: {whole:?}");
    };
    let ping = Call::get(at, "/load").fetch();
    tokio::select! {
        () = stalled_stream => (),
        r = ping => assert_eq!(r.unwrap().0, 200),
    }
}

/// The connection to an engine breaks in mid-stream. A relay must not take that for the end of the
/// answer, so the stand-in has to cut exactly the configured number of streams.
#[tokio::test]
async fn streams_are_cut_as_often_as_configured() {
    let (engine, at) = start(quick()).await;
    engine.set_faults(Faults {
        drop: 1,
        after: 2,
        ..Faults::default()
    });
    let body = json!({"prompt": "p", "max_tokens": 5, "stream": true});
    let cut = completion(at, "a", &body).fetch().await;
    assert_matches!(cut, Err(CallError::Broken(_)));
    let (_, text) = completion(at, "b", &body).fetch().await.unwrap();
    assert_eq!(answer_tokens(&text).len(), 5);
    let log: Vec<_> = engine
        .run_log()
        .iter()
        .map(|r| (r.tokens, r.whole))
        .collect();
    assert_eq!(log, [(2, false), (5, true)]);
}

#[tokio::test]
async fn requests_are_refused_as_often_as_configured() {
    let (engine, at) = start(quick()).await;
    let request = Call::post(at, "/faults", r#"{"errors":2,"status":500}"#);
    request.fetch().await.unwrap();
    let body = json!({"prompt": "p", "max_tokens": 1});
    let mut got = Vec::new();
    for _ in 0..3 {
        got.push(completion(at, "a", &body).fetch().await.unwrap().0.as_u16());
    }
    assert_eq!(got, [500, 500, 200]);
    assert_eq!(engine.run_log().len(), 1);
}

#[tokio::test]
async fn cache_events_have_the_configured_gaps_and_order() {
    struct Case {
        lose: u64,
        reorder: bool,
        want: &'static [u64],
    }
    let cases = [
        Case {
            lose: 0,
            reorder: false,
            want: &[1, 2, 3, 4],
        },
        Case {
            lose: 3,
            reorder: false,
            want: &[1, 2, 4],
        },
        Case {
            lose: 0,
            reorder: true,
            want: &[2, 1, 4, 3],
        },
    ];
    for c in cases {
        let settings = Settings {
            lose_every: c.lose,
            reorder: c.reorder,
            ..quick()
        };
        let (_, at) = start(settings).await;
        let body = json!({"prompt": "x".repeat(256), "max_tokens": 1});
        completion(at, "a", &body).fetch().await.unwrap();
        let (_, v) = Call::get(at, "/events?after=0")
            .json::<Value>()
            .await
            .unwrap();
        let seqs: Vec<_> = v["events"]
            .as_array()
            .unwrap()
            .iter()
            .map(|e| &e["seq"])
            .collect();
        assert_eq!(seqs, c.want);
        assert_eq!(v["next"], 4);
    }
}

/// Engines started in one process within a microsecond must not share an incarnation.
#[test]
fn each_engine_has_its_own_incarnation() {
    let incarnations = [(); 3].map(|()| Engine::new(quick()).incarnation());
    assert!(incarnations[0] < incarnations[1] && incarnations[1] < incarnations[2]);
}

/// A prompt crashes every engine that runs it. Its caller sees a broken connection, like any other
/// caller of that engine, and retries.
#[tokio::test]
async fn poisonous_prompt_aborts_the_process() {
    let mut engine = common::example("engine", &["--poison", "hemlock"]);
    let good = json!({"prompt": "parsley", "max_tokens": 1});
    let (status, _) = completion(engine.at, "a", &good).fetch().await.unwrap();
    assert_eq!(status, 200);
    let bad = json!({"prompt": "some hemlock", "max_tokens": 1});
    assert!(completion(engine.at, "b", &bad).fetch().await.is_err());
    assert!(!engine.child.wait().unwrap().success());
}

#[tokio::test]
async fn permit_is_yielded_only_to_waiters_that_rank_before() {
    struct Case {
        waiting: i64,
        yielded: bool,
    }
    let cases = [
        Case {
            waiting: -1,
            yielded: true,
        },
        Case {
            waiting: 1,
            yielded: false,
        },
    ];
    for c in cases {
        let queue = Queue::new(1);
        let own = Rank {
            priority: 0,
            arrival: 0,
        };
        let permit = queue.acquire(own).await;
        let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
        let other = Rank {
            priority: c.waiting,
            arrival: 1,
        };
        let task = tokio::spawn({
            let queue = queue.clone();
            async move {
                let _permit = queue.acquire(other).await;
                let _ = tx.send(());
            }
        });
        eventually(|| queue.waiting() == 1).await;
        let permit = queue.yield_to(permit, own).await;
        assert_eq!(rx.try_recv().is_ok(), c.yielded);
        drop(permit);
        task.await.unwrap();
    }
}

/// An engine reports its load with a delay. A router that relies on the figure sends a whole burst
/// to the engine that was idle a moment ago.
#[tokio::test]
async fn load_is_reported_late() {
    struct Case {
        lag: Duration,
        running: u64,
    }
    let cases = [
        Case {
            lag: Duration::ZERO,
            running: 1,
        },
        Case {
            lag: Duration::from_secs(3_600),
            running: 0,
        },
    ];
    for c in cases {
        let settings = Settings {
            load_lag: c.lag,
            decode_per_token: Duration::from_millis(5),
            ..quick()
        };
        let (engine, at) = start(settings).await;
        let long = json!({"prompt": "p", "max_tokens": 1_000_000, "stream": true});
        let call = tokio::spawn(completion(at, "a", &long).fetch());
        eventually(|| engine.running() == 1).await;
        let (_, load) = Call::get(at, "/load").json::<Value>().await.unwrap();
        assert_eq!(load["running"], c.running);
        call.abort();
    }
}
