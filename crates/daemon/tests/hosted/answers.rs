//! Faults of replicas and the answers that callers get.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use standin::hosted::replica::{Fault, Replica};

use crate::fleet::{fetch, request, Entry, Platform, MODEL, TIMEOUT};

/// Interval between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);

/// Two replicas of each service and an entry.
struct Fleet {
    platform: Platform,
    engines: [Arc<Replica>; 2],
    plain: [Arc<Replica>; 2],
    entry: Entry,
}

impl Fleet {
    async fn start(events: u64) -> Self {
        let mut platform = Platform::start().await;
        let engines = ["e1", "e2"].map(|id| Replica::new(id, events, EVENT_INTERVAL));
        let plain = ["p1", "p2"].map(|id| Replica::new(id, 0, EVENT_INTERVAL));
        for r in &engines {
            r.set_version(MODEL, 1);
            platform.replica(r, "engines").await;
        }
        for r in &plain {
            platform.replica(r, "plain").await;
        }
        let entry = platform.entry("front-1", 4).await;
        Self {
            platform,
            engines,
            plain,
            entry,
        }
    }

    /// Number of times that a request with an id ran on any replica.
    fn runs(&self, id: &str) -> usize {
        let all = self.engines.iter().chain(&self.plain);
        let seen = all.flat_map(|r| r.requests());
        seen.filter(|s| s.id == id && s.ran).count()
    }
}

/// The events of a stream with these numbers.
fn events(range: std::ops::RangeInclusive<u64>) -> Bytes {
    let events = range.map(|n| format!("id: {n}\ndata: token {n}\n\n"));
    events.collect::<String>().into()
}

#[tokio::test]
async fn answer_reaches_the_caller_unchanged_on_every_kind_of_route() {
    // Without any fault, a caller must get the status, signature and body that its replica sent.
    let fleet = Fleet::start(6).await;
    struct Case {
        path: &'static str,
        body: Bytes,
    }
    let cases = [
        Case {
            path: "/code/1",
            body: events(1..=6),
        },
        Case {
            path: "/probe/1?x=2",
            body: events(1..=6),
        },
        Case {
            path: "/log/1",
            body: "echo body".into(),
        },
        Case {
            path: "/check/1",
            body: "echo ".into(),
        },
    ];
    for case in cases {
        let answer = fetch(&fleet.entry, case.path, case.path)
            .await
            .expect("a complete answer");
        assert_eq!(
            (answer.status, &answer.body),
            (200, &case.body),
            "{}",
            case.path
        );
        assert!(answer.headers.contains_key("response-signature"));
        assert_eq!(fleet.runs(case.path), 1);
    }
    let seen = fleet.engines.iter().flat_map(|r| r.requests());
    for s in seen {
        let text = |n: &str| {
            s.headers
                .get(n)
                .map(|v| v.to_str().expect("text").to_owned())
        };
        assert_eq!(text("tenant").as_deref(), Some("north"));
        assert_eq!(text("credential"), None, "the key isn't passed on");
        assert_eq!(text("expect-version").as_deref(), Some("1"));
        assert_eq!(text("cache-salt").as_deref(), Some("lekha.1"));
        let left: u64 = text("deadline-ms")
            .expect("a deadline")
            .parse()
            .expect("ms");
        assert!(left <= 3_000, "{left}");
    }
}

#[tokio::test]
async fn broken_stream_is_resumed_only_on_a_resumable_route() {
    // A replica dies in its fourth event. A resumed stream must have no gap or repetition, and a
    // stream that may not be resumed must not look complete to its caller.
    let fleet = Fleet::start(6).await;
    fleet.engines.iter().for_each(|r| r.set_fault(Fault::Cut));
    let cut = fetch(&fleet.entry, "/code/1", "cut").await;
    assert!(cut.is_err(), "{cut:?}");
    assert_eq!(fleet.runs("cut"), 1);
    // Only the first replica that gets the next request has a fault.
    fleet.engines.iter().for_each(|r| r.set_fault(Fault::None));
    Replica::set_first_fault(&fleet.engines, Fault::Cut);
    let response = request(&fleet.entry, "/probe/1", "resumed").send().await;
    let body = response.expect("an answer").into_body();
    let whole = tokio::time::timeout(TIMEOUT, body.collect()).await;
    let whole = whole.expect("an end").expect("a whole answer").to_bytes();
    assert_eq!(whole, events(1..=6));
    let seen: Vec<_> = fleet.engines.iter().flat_map(|r| r.requests()).collect();
    let resumed = seen
        .iter()
        .find(|s| s.headers.contains_key("last-event-id"));
    let resumed = resumed.expect("a second attempt");
    assert_eq!(resumed.headers["last-event-id"], "3");
}

#[tokio::test]
async fn stalled_stream_is_dropped_only_after_another_replica_resumes_it() {
    // An engine that loads weights in the middle of an answer stalls its stream. A router that
    // drops the stream before another engine has answered cuts it off if that engine is full.
    struct Case {
        name: &'static str,
        other: Fault,
        runs: usize,
    }
    let cases = [
        Case {
            name: "the other engine is full",
            other: Fault::Full,
            runs: 1,
        },
        Case {
            name: "the other engine resumes the stream",
            other: Fault::None,
            runs: 2,
        },
        Case {
            name: "the other engine loses the request",
            other: Fault::Lost,
            runs: 2,
        },
    ];
    for c in cases {
        let mut platform = Platform::start().await;
        let slow = Replica::new("e1", 3, Duration::from_millis(900));
        slow.set_version(MODEL, 1);
        platform.replica(&slow, "engines").await;
        let entry = platform.entry("front-1", 1).await;
        let answer = request(&entry, "/probe/1", "silent-1").send().await;
        let other = Replica::new("e2", 3, EVENT_INTERVAL);
        other.set_version(MODEL, 1);
        other.set_fault(c.other);
        platform.replica(&other, "engines").await;
        let is_second = |e: &serde_json::Value| e["target"] == "e2";
        entry.process.wait_for_event("target", is_second).await;
        let body = answer.expect("an answer").into_body();
        let whole = tokio::time::timeout(TIMEOUT, body.collect()).await;
        let whole = whole.expect("an end").map(|b| b.to_bytes());
        assert_eq!(whole.ok(), Some(events(1..=3)), "{}", c.name);
        let seen = slow.requests().into_iter().chain(other.requests());
        let runs = seen.filter(|s| s.ran).count();
        assert_eq!(runs, c.runs, "{}", c.name);
    }
}

#[tokio::test]
async fn resumable_stream_that_ends_within_an_event_is_resumed() {
    // A stream without a length loses its connection and seems to end normally within its fourth
    // event. The caller must get the rest from another replica.
    let fleet = Fleet::start(6).await;
    Replica::set_first_fault(&fleet.engines, Fault::Short);
    let response = request(&fleet.entry, "/probe/1", "short").send().await;
    let body = response.expect("an answer").into_body();
    let whole = tokio::time::timeout(TIMEOUT, body.collect()).await;
    let whole = whole.expect("an end").expect("a whole answer").to_bytes();
    assert_eq!(whole, events(1..=6));
}

#[tokio::test]
async fn non_resumable_stream_that_ends_within_an_event_is_cut() {
    // A stream that may not be resumed ends normally within its fourth event. If the router ended
    // it normally too, the caller would take three and a half events for the complete answer.
    let fleet = Fleet::start(6).await;
    fleet.engines.iter().for_each(|r| r.set_fault(Fault::Short));
    let answer = fetch(&fleet.entry, "/code/1", "short").await;
    assert!(answer.is_err(), "looks complete: {answer:?}");
    assert_eq!(fleet.runs("short"), 1);
}

#[tokio::test]
async fn record_that_may_have_been_written_is_never_sent_again_or_reported_as_not_run() {
    // A replica's connection breaks after it got a record, or its answer is invalid. The record may
    // have been written, so the caller must get 502 and no other replica may get the record.
    struct Case {
        fault: Fault,
        status: u16,
    }
    let cases = [
        Case {
            fault: Fault::Lost,
            status: 502,
        },
        Case {
            fault: Fault::Vague,
            status: 502,
        },
        Case {
            fault: Fault::Unsigned,
            status: 502,
        },
        Case {
            fault: Fault::Encoded,
            status: 502,
        },
        Case {
            fault: Fault::Crossed,
            status: 502,
        },
        Case {
            fault: Fault::Error,
            status: 500,
        },
    ];
    let fleet = Fleet::start(1).await;
    for case in cases {
        let id = format!("{:?}", case.fault);
        fleet.plain.iter().for_each(|r| r.set_fault(case.fault));
        let answer = fetch(&fleet.entry, "/log/1", &id).await.expect("an answer");
        assert_eq!(answer.status, case.status, "{id}");
        assert_eq!(fleet.runs(&id), 1, "{id}");
    }
}

#[tokio::test]
async fn repeatable_request_is_retried_on_another_replica() {
    // One of two replicas has a fault. A request that may run twice must be answered by the other
    // replica without an error.
    for fault in [
        Fault::Lost,
        Fault::Vague,
        Fault::Unsigned,
        Fault::Encoded,
        Fault::Crossed,
        Fault::Error,
        Fault::Full,
        Fault::Hang,
    ] {
        let fleet = Fleet::start(1).await;
        fleet.plain[0].set_fault(fault);
        for n in 0..4 {
            let id = format!("{fault:?} {n}");
            let id = id.replace(' ', "-");
            let answer = fetch(&fleet.entry, "/check/1", &id)
                .await
                .expect("an answer");
            let tried = fleet.entry.process.events("tried");
            assert_eq!(answer.status, 200, "{id}: {tried:?}");
        }
    }
}

#[tokio::test]
async fn refusal_when_all_replicas_are_full_reports_not_run_and_a_retry_time() {
    // All replicas are full. The refusal must come at once, only for requests that didn't run, and
    // with a retry-after within a third of the caller's remaining time.
    let fleet = Fleet::start(1).await;
    let all = fleet.engines.iter().chain(&fleet.plain);
    all.for_each(|r| r.set_fault(Fault::Full));
    for path in ["/code/1", "/probe/1", "/log/1", "/check/1"] {
        let answer = fetch(&fleet.entry, path, path).await.expect("an answer");
        assert_eq!(answer.status, 503, "{path}");
        let retry_after = answer.headers["retry-after"].to_str().expect("text");
        let retry_after: f64 = retry_after.parse().expect("seconds");
        assert!(retry_after > 0.0 && retry_after <= 1.0, "{retry_after}");
        assert_eq!(fleet.runs(path), 0, "{path}");
    }
}

#[tokio::test]
async fn caller_that_disconnects_stops_the_work_at_the_replica() {
    // A caller disconnects while its replica still works. Unless the replica's connection is closed
    // too, it goes on with an answer that no caller reads.
    let fleet = Fleet::start(1_000_000).await;
    let call = request(&fleet.entry, "/code/1", "left").send().await;
    let response = call.expect("the head of an answer");
    drop(response);
    let disconnected = async {
        tokio::select! {
            () = fleet.engines[0].wait_abandoned() => {}
            () = fleet.engines[1].wait_abandoned() => {}
        }
    };
    let result = tokio::time::timeout(Duration::from_millis(500), disconnected).await;
    assert!(result.is_ok(), "the replica still works");
}

#[tokio::test]
async fn request_to_an_address_taken_by_another_target_runs_elsewhere() {
    // A replica dies and another target takes its address before the list changes. That target must
    // refuse the request, and the caller must be served by another replica.
    let fleet = Fleet::start(1).await;
    let stranger = Replica::new("stranger", 1, EVENT_INTERVAL);
    let (at, _served) = stranger.start().await.expect("a replica");
    fleet.platform.list(&fleet.plain[0], "plain", at, "ready");
    fleet.entry.process.wait_for_event("target", |_| true).await;
    for n in 0..4 {
        let id = format!("moved-{n}");
        let answer = fetch(&fleet.entry, "/log/1", &id).await.expect("an answer");
        let tried = fleet.entry.process.events("tried");
        assert_eq!(answer.status, 200, "{id}: {tried:?}");
        assert_eq!(fleet.runs(&id), 1, "{id}");
    }
    assert!(stranger.requests().is_empty());
}

#[tokio::test]
async fn request_at_a_hanging_replica_is_answered_at_its_deadline() {
    // A replica accepts a record and never answers. The router must wait until the caller's
    // deadline and then answer without a statement on whether the record was written.
    let fleet = Fleet::start(1).await;
    fleet.plain.iter().for_each(|r| r.set_fault(Fault::Hang));
    let mut call = request(&fleet.entry, "/log/1", "hang");
    let deadline = call.headers.iter_mut().find(|(n, _)| *n == "deadline-ms");
    deadline.expect("a deadline").1 = "600".to_owned();
    let started = std::time::Instant::now();
    let (status, _) = tokio::time::timeout(TIMEOUT, call.fetch())
        .await
        .expect("an end")
        .expect("an answer");
    assert!(matches!(status.as_u16(), 502 | 504), "{status}");
    assert!(started.elapsed() >= Duration::from_millis(600));
    assert_eq!(fleet.runs("hang"), 1);
}
