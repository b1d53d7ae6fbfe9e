//! What replicas do to a request, and what its caller gets.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use standin::hosted::replica::{Fault, Replica};

use crate::fleet::{ask, request, Entry, Platform, LIMIT, MODEL};

/// Pause between the events of a stream in these tests.
const PAUSE: Duration = Duration::from_millis(5);

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
        let engines = ["e1", "e2"].map(|id| Replica::new(id, events, PAUSE));
        let plain = ["p1", "p2"].map(|id| Replica::new(id, 0, PAUSE));
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

    /// Times that a request with an id ran on any replica.
    fn runs(&self, id: &str) -> usize {
        let all = self.engines.iter().chain(&self.plain);
        let seen = all.flat_map(|r| r.requests());
        seen.filter(|s| s.id == id && s.ran).count()
    }
}

fn events(range: std::ops::RangeInclusive<u64>) -> Bytes {
    let events = range.map(|n| format!("id: {n}\ndata: token {n}\n\n"));
    events.collect::<String>().into()
}

#[tokio::test]
async fn every_kind_of_request_is_served_whole() {
    // All is well. A caller gets its replica's own answer: status, signature and every byte.
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
        let answer = ask(&fleet.entry, case.path, case.path)
            .await
            .expect("whole");
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
        assert_eq!(text("credential"), None, "the key stays here");
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
async fn a_cut_stream_goes_on_at_another_replica_only_if_it_may() {
    // A replica dies in the middle of its fourth event. The caller of a stream that may be resumed
    // gets the rest from another replica, without a gap or a repetition; any other caller gets a
    // broken connection, never an end that looks whole.
    let fleet = Fleet::start(6).await;
    fleet.engines.iter().for_each(|r| r.set_fault(Fault::Cut));
    let cut = ask(&fleet.entry, "/code/1", "cut").await;
    assert!(cut.is_err(), "{cut:?}");
    assert_eq!(fleet.runs("cut"), 1);
    // The second replica that gets it has no fault any more.
    fleet.engines.iter().for_each(|r| r.set_fault(Fault::None));
    Replica::set_first_fault(&fleet.engines, Fault::Cut);
    let held = request(&fleet.entry, "/probe/1", "resumed").send().await;
    let body = held.expect("an answer").into_body();
    let whole = tokio::time::timeout(LIMIT, body.collect()).await;
    let whole = whole.expect("an end").expect("a whole answer").to_bytes();
    assert_eq!(whole, events(1..=6));
    let seen: Vec<_> = fleet.engines.iter().flat_map(|r| r.requests()).collect();
    let again = seen
        .iter()
        .find(|s| s.headers.contains_key("last-event-id"));
    let again = again.expect("a second sending");
    assert_eq!(again.headers["last-event-id"], "3");
}

#[tokio::test]
async fn a_silent_stream_is_given_up_only_once_another_replica_goes_on() {
    // An engine loads weights in the middle of an answer: it is silent for longer than a good pause and
    // then goes on. The other engine is full. A router that gives up on the first one before the second
    // has answered cuts the caller's answer in its middle, though it was being made.
    struct Case {
        name: &'static str,
        other: Fault,
        runs: usize,
    }
    let cases = [
        Case {
            name: "the other is full",
            other: Fault::Full,
            runs: 1,
        },
        Case {
            name: "the other goes on, and says so first",
            other: Fault::None,
            runs: 2,
        },
        Case {
            name: "the other loses it",
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
        let other = Replica::new("e2", 3, PAUSE);
        other.set_version(MODEL, 1);
        other.set_fault(c.other);
        platform.replica(&other, "engines").await;
        let ready = |e: &serde_json::Value| e["target"] == "e2";
        entry.process.event("target", ready).await;
        let body = answer.expect("an answer").into_body();
        let whole = tokio::time::timeout(LIMIT, body.collect()).await;
        let whole = whole.expect("an end").map(|b| b.to_bytes());
        assert_eq!(whole.ok(), Some(events(1..=3)), "{}", c.name);
        let seen = slow.requests().into_iter().chain(other.requests());
        let runs = seen.filter(|s| s.ran).count();
        assert_eq!(runs, c.runs, "{}", c.name);
    }
}

#[tokio::test]
async fn a_stream_that_ends_within_an_event_isn_t_taken_for_whole() {
    // A replica's stream ends in order, but in the middle of its fourth event, as when a stream
    // without a length loses its connection. The caller gets the rest from another replica instead
    // of three events and a half.
    let fleet = Fleet::start(6).await;
    Replica::set_first_fault(&fleet.engines, Fault::Short);
    let held = request(&fleet.entry, "/probe/1", "short").send().await;
    let body = held.expect("an answer").into_body();
    let whole = tokio::time::timeout(LIMIT, body.collect()).await;
    let whole = whole.expect("an end").expect("a whole answer").to_bytes();
    assert_eq!(whole, events(1..=6));
}

#[tokio::test]
async fn a_stream_that_can_t_go_on_and_ends_within_an_event_is_cut() {
    // The same on a route whose streams may not be resumed. The caller has three events and a half;
    // if the stream ended in order, it would take them for the whole answer.
    let fleet = Fleet::start(6).await;
    fleet.engines.iter().for_each(|r| r.set_fault(Fault::Short));
    let answer = ask(&fleet.entry, "/code/1", "short").await;
    assert!(answer.is_err(), "looks complete: {answer:?}");
    assert_eq!(fleet.runs("short"), 1);
}

#[tokio::test]
async fn what_may_have_run_is_never_sent_twice_nor_called_not_run() {
    // A replica takes a record and its connection breaks, or it answers with what can't be its own
    // answer. Nobody can tell whether the record was written, so the caller gets 502, and no other
    // replica gets the record.
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
        let answer = ask(&fleet.entry, "/log/1", &id).await.expect("an answer");
        assert_eq!(answer.status, case.status, "{id}");
        assert_eq!(fleet.runs(&id), 1, "{id}");
    }
}

#[tokio::test]
async fn what_may_be_repeated_is_sent_to_another_replica() {
    // One of two replicas fails in some way. A caller whose request may run twice gets the other
    // one's answer and notices nothing.
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
            let answer = ask(&fleet.entry, "/check/1", &id).await.expect("an answer");
            let tried = fleet.entry.process.events("tried");
            assert_eq!(answer.status, 200, "{id}: {tried:?}");
        }
    }
}

#[tokio::test]
async fn a_refusal_says_not_run_and_when_to_come_back() {
    // All replicas are full. The caller is told at once, truthfully, and with a time to come back
    // within a third of what it has left.
    let fleet = Fleet::start(1).await;
    let all = fleet.engines.iter().chain(&fleet.plain);
    all.for_each(|r| r.set_fault(Fault::Full));
    for path in ["/code/1", "/probe/1", "/log/1", "/check/1"] {
        let answer = ask(&fleet.entry, path, path).await.expect("an answer");
        assert_eq!(answer.status, 503, "{path}");
        let back = answer.headers["retry-after"].to_str().expect("text");
        let back: f64 = back.parse().expect("seconds");
        assert!(back > 0.0 && back <= 1.0, "{back}");
        assert_eq!(fleet.runs(path), 0, "{path}");
    }
}

#[tokio::test]
async fn a_caller_that_leaves_ends_the_work() {
    // A caller hangs up while its replica still works. The replica's connection closes too, so that
    // it doesn't go on for nobody.
    let fleet = Fleet::start(1_000_000).await;
    let call = request(&fleet.entry, "/code/1", "left").send().await;
    let response = call.expect("the head of an answer");
    drop(response);
    let left = async {
        tokio::select! {
            () = fleet.engines[0].wait_abandoned() => {}
            () = fleet.engines[1].wait_abandoned() => {}
        }
    };
    let within = tokio::time::timeout(Duration::from_millis(500), left).await;
    assert!(within.is_ok(), "the replica still works");
}

#[tokio::test]
async fn an_address_that_another_target_has_taken_gets_nothing_run() {
    // A replica dies and its address goes to another target before the list says so. That target
    // refuses what isn't meant for it, and the caller is served elsewhere.
    let fleet = Fleet::start(1).await;
    let stranger = Replica::new("stranger", 1, PAUSE);
    let (at, _served) = stranger.start().await.expect("a replica");
    fleet.platform.list(&fleet.plain[0], "plain", at, "ready");
    fleet.entry.process.event("target", |_| true).await;
    for n in 0..4 {
        let id = format!("moved-{n}");
        let answer = ask(&fleet.entry, "/log/1", &id).await.expect("an answer");
        let tried = fleet.entry.process.events("tried");
        assert_eq!(answer.status, 200, "{id}: {tried:?}");
        assert_eq!(fleet.runs(&id), 1, "{id}");
    }
    assert!(stranger.requests().is_empty());
}

#[tokio::test]
async fn a_hanging_replica_ends_at_the_routes_time_with_a_final_answer() {
    // A replica takes a record and says nothing. Its silence is no reason to give up sooner, but at
    // the end of the caller's time there is a final answer that promises nothing.
    let fleet = Fleet::start(1).await;
    fleet.plain.iter().for_each(|r| r.set_fault(Fault::Hang));
    let mut call = request(&fleet.entry, "/log/1", "hang");
    let deadline = call.headers.iter_mut().find(|(n, _)| *n == "deadline-ms");
    deadline.expect("a deadline").1 = "600".to_owned();
    let began = std::time::Instant::now();
    let (status, _) = tokio::time::timeout(LIMIT, call.fetch())
        .await
        .expect("an end")
        .expect("an answer");
    assert!(matches!(status.as_u16(), 502 | 504), "{status}");
    assert!(began.elapsed() >= Duration::from_millis(600));
    assert_eq!(fleet.runs("hang"), 1);
}
