//! The engine stand-in: schedule, cache, cancel, resume, faults.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use http_body_util::BodyExt;
use serde_json::{json, Value};
use standin::call::{Call, CallError};
use standin::engine::{answer_token, Engine, Faults, Queue, Rank, Settings};

use common::{completion, eventually, quick, start, words};

#[tokio::test]
async fn streams_the_words_after_those_that_the_caller_has() {
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
        assert_eq!(words(&text), want);
        assert!(text.ends_with(b"data: [DONE]\n\n"));
    }
    assert!(engine.run_log().iter().all(|r| r.whole));
}

#[tokio::test]
async fn finds_blocks_of_the_same_scope_only() {
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
async fn the_line_seats_by_priority_then_arrival() {
    let line = Queue::new(1);
    let first = line
        .acquire(Rank {
            priority: 0,
            arrival: 0,
        })
        .await;
    let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
    let places = [(5, 1), (0, 2), (5, 3), (-1, 4)];
    for (n, (priority, arrival)) in places.into_iter().enumerate() {
        let (line, tx) = (line.clone(), tx.clone());
        tokio::spawn(async move {
            let _permit = line.acquire(Rank { priority, arrival }).await;
            let _ = tx.send(n);
        });
    }
    eventually(|| line.waiting() == places.len()).await;
    drop(first);
    let mut got = Vec::new();
    for _ in places {
        got.extend(rx.recv().await);
    }
    assert_eq!(got, [3, 1, 0, 2]);
}

/// A caller gives up while its answer is computed. If the engine went on, its slot would be lost
/// to callers who still wait; they would notice a full engine that answers nobody.
#[tokio::test]
async fn a_caller_who_goes_frees_the_slot() {
    let set = Settings {
        slots: 1,
        decode: Duration::from_millis(5),
        ..quick()
    };
    for stream in [true, false] {
        let (engine, at) = start(set.clone()).await;
        let long = json!({"prompt": "p", "max_tokens": 1_000_000, "stream": stream});
        let call = tokio::spawn(completion(at, "gone", &long).fetch());
        eventually(|| engine.running() == 1).await;
        call.abort();
        let body = json!({"prompt": "q", "max_tokens": 1});
        completion(at, "next", &body).fetch().await.unwrap();
        let ran = engine.run_log();
        assert_matches!(ran.as_slice(), [a, b] if a.request == "gone" && !a.whole
            && b.request == "next" && b.whole);
    }
}

/// Something between sidecar and engine loses track of a connection. Its stream stands still
/// without an end or an error, while new connections work and can fetch the rest.
#[tokio::test]
async fn a_frozen_connection_says_nothing_while_new_ones_work() {
    let set = Settings {
        decode: Duration::from_millis(5),
        ..quick()
    };
    let (engine, at) = start(set).await;
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
    assert_eq!(words(&text), [answer_token("p", 199)]);
    eventually(|| engine.run_log().iter().filter(|r| r.whole).count() == 2).await;
    let silent = async {
        // What was on its way before the freeze may still come; the end never does.
        let whole = res.into_body().collect().await;
        panic!("ended: {whole:?}");
    };
    let ping = Call::get(at, "/load").fetch();
    tokio::select! {
        () = silent => (),
        r = ping => assert_eq!(r.unwrap().0, 200),
    }
}

/// The connection to an engine breaks in mid-stream. Whoever relays it must not take the broken
/// end for the end of the answer; here the stand-in breaks as many as were asked for.
#[tokio::test]
async fn streams_are_cut_as_often_as_asked() {
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
    assert_eq!(words(&text).len(), 5);
    let ran: Vec<_> = engine
        .run_log()
        .iter()
        .map(|r| (r.tokens, r.whole))
        .collect();
    assert_eq!(ran, [(2, false), (5, true)]);
}

#[tokio::test]
async fn requests_are_refused_as_often_as_asked() {
    let (engine, at) = start(quick()).await;
    let set = Call::post(at, "/faults", r#"{"errors":2,"status":500}"#);
    set.fetch().await.unwrap();
    let body = json!({"prompt": "p", "max_tokens": 1});
    let mut got = Vec::new();
    for _ in 0..3 {
        got.push(completion(at, "a", &body).fetch().await.unwrap().0.as_u16());
    }
    assert_eq!(got, [500, 500, 200]);
    assert_eq!(engine.run_log().len(), 1);
}

#[tokio::test]
async fn cache_events_come_with_the_gaps_and_order_that_are_set() {
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
        let set = Settings {
            lose: c.lose,
            reorder: c.reorder,
            ..quick()
        };
        let (_, at) = start(set).await;
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

/// New weights are ordered while a request runs. Blocks of the old ones must not be found by
/// anyone afterwards; a caller would get words that neither version would have said.
#[test]
fn each_life_has_its_own_incarnation() {
    let lives = [(); 3].map(|()| Engine::new(quick()).incarnation());
    assert!(lives[0] < lives[1] && lives[1] < lives[2]);
}

/// A prompt crashes whatever engine runs it. Its caller sees a broken connection, like any other
/// caller of that engine, and sends it again.
#[tokio::test]
async fn a_poisonous_prompt_kills_the_process() {
    let mut engine = common::example("engine", &["--poison", "hemlock"]);
    let good = json!({"prompt": "parsley", "max_tokens": 1});
    let (status, _) = completion(engine.at, "a", &good).fetch().await.unwrap();
    assert_eq!(status, 200);
    let bad = json!({"prompt": "some hemlock", "max_tokens": 1});
    assert!(completion(engine.at, "b", &bad).fetch().await.is_err());
    assert!(!engine.child.wait().unwrap().success());
}

#[tokio::test]
async fn a_seat_is_passed_only_to_those_who_come_before() {
    struct Case {
        waiting: i64,
        passed: bool,
    }
    let cases = [
        Case {
            waiting: -1,
            passed: true,
        },
        Case {
            waiting: 1,
            passed: false,
        },
    ];
    for c in cases {
        let line = Queue::new(1);
        let own = Rank {
            priority: 0,
            arrival: 0,
        };
        let permit = line.acquire(own).await;
        let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
        let other = Rank {
            priority: c.waiting,
            arrival: 1,
        };
        let task = tokio::spawn({
            let line = line.clone();
            async move {
                let _permit = line.acquire(other).await;
                let _ = tx.send(());
            }
        });
        eventually(|| line.waiting() == 1).await;
        let permit = line.yield_to(permit, own).await;
        assert_eq!(rx.try_recv().is_ok(), c.passed);
        drop(permit);
        task.await.unwrap();
    }
}

/// An engine says how busy it is with a delay. A router that believes the figure sends a whole
/// burst to the engine that was idle a moment ago.
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
        let set = Settings {
            load_lag: c.lag,
            decode: Duration::from_millis(5),
            ..quick()
        };
        let (engine, at) = start(set).await;
        let long = json!({"prompt": "p", "max_tokens": 1_000_000, "stream": true});
        let call = tokio::spawn(completion(at, "a", &long).fetch());
        eventually(|| engine.running() == 1).await;
        let (_, load) = Call::get(at, "/load").json::<Value>().await.unwrap();
        assert_eq!(load["running"], c.running);
        call.abort();
    }
}
