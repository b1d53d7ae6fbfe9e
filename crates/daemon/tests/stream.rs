//! Every stream arrives complete and in order when engines, sidecars or connections fail during it.

mod common;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::caller::{Answer, Pending};
use common::{completion, quick, wait_for, words, CutMode, CutPlan, Fleet, Side};
use standin::engine::{Engine, Faults, Settings};
use viz::{Body, Request, Response};

/// Length of a stream; at 10 ms per token, it lasts about a second.
const TOKENS: usize = 100;

fn slow() -> Settings {
    Settings {
        decode_per_token: Duration::from_millis(10),
        ..quick()
    }
}

/// Starts a stream and waits until the caller has received some words; also returns the index of
/// the replica that runs it.
fn start_stream(fleet: &Fleet, prompt: &str) -> (Pending, usize) {
    let body = completion(prompt, TOKENS, true);
    let stream = fleet.caller(0).begin("POST", "/v1/completions", &[], &body);
    for _ in 0..10 {
        stream.wait_for("choices");
    }
    let at = fleet.running_replica();
    (stream, at)
}

/// Asserts that a stream ended cleanly and consists of the expected words.
fn assert_complete(answer: &Answer, prompt: &str, tokens: usize) {
    assert!(
        answer.is_complete_stream(),
        "{} {}",
        answer.status,
        answer.text()
    );
    assert_eq!(answer.words(), words(prompt, tokens));
}

/// A failure of the replica that runs a stream.
struct Failure {
    what: &'static str,
    inject: fn(&mut Fleet, usize),
}

/// Guards against lost or repeated words when the engine crashes, its sidecar is killed, or its
/// open connections stay silent while new ones work: another replica must resume the stream.
#[test]
fn stream_is_resumed_on_another_replica_after_a_failure() {
    #[rustfmt::skip]
    let cases = [
        Failure { what: "engine dead", inject: |f, at| f.replicas[at].standin.kill() },
        Failure { what: "sidecar killed", inject: |f, at| f.replicas[at].sidecar.kill() },
        Failure { what: "engine's connections silent", inject: |f, at| {
            f.replicas[at].engine.set_faults(Faults { freeze: true, ..Faults::default() });
        } },
    ];
    let run = |case: Failure| {
        let mut fleet = Fleet::start(1, 2, &slow());
        let prompt = format!("{} {}", case.what, "an opening. ".repeat(30));
        let (stream, at) = start_stream(&fleet, &prompt);
        (case.inject)(&mut fleet, at);
        let answer = stream.end();
        assert!(
            answer.is_complete_stream(),
            "{}: {}",
            case.what,
            answer.text()
        );
        assert_eq!(answer.words(), words(&prompt, TOKENS), "{}", case.what);
        let others = fleet.replicas.iter().enumerate().filter(|(i, _)| *i != at);
        let resumed = others.flat_map(|(_, r)| r.engine.run_log());
        assert!(resumed
            .max_by_key(|r| r.resumed)
            .is_some_and(|r| r.resumed >= 10));
    };
    std::thread::scope(|s| {
        for case in cases {
            s.spawn(move || run(case));
        }
    });
}

/// Guards against ending a long stream when its engine dies after the deadline: the deadline
/// applies only to the start of the answer, and the caller is still reading.
#[test]
fn stream_past_its_deadline_is_resumed_on_another_replica() {
    let mut fleet = Fleet::start(1, 2, &slow());
    let prompt = "longer than its deadline ".repeat(20);
    let body = completion(&prompt, TOKENS, true);
    let headers = [("x-deadline-ms", "400")];
    let sent = Instant::now();
    let stream = fleet
        .caller(0)
        .begin("POST", "/v1/completions", &headers, &body);
    while sent.elapsed() < Duration::from_millis(500) {
        stream.wait_for("choices");
    }
    let at = fleet.running_replica();
    fleet.replicas[at].standin.kill();
    assert_complete(&stream.end(), &prompt, TOKENS);
}

/// Guards against ending a stream that its engine closed after a few words, as an engine does that
/// preempts it; the next replica may close it as well.
#[test]
fn stream_closed_by_its_engine_is_resumed_on_another_replica() {
    let fleet = Fleet::start(1, 3, &quick());
    let closing = Faults {
        drop: 1,
        after: 5,
        ..Faults::default()
    };
    for r in &fleet.replicas[..2] {
        r.engine.set_faults(closing.clone());
    }
    let mut n = 0;
    wait_for("both engines to have closed a stream", || {
        n += 1;
        let prompt = format!("closed {n}");
        let body = completion(&prompt, 20, true);
        let answer = fleet.caller(0).post("/v1/completions", &body);
        assert_complete(&answer, &prompt, 20);
        let has_closed = |r: &common::Replica| r.engine.run_log().iter().any(|r| !r.whole);
        fleet.replicas[..2].iter().all(has_closed)
    });
}

/// Guards against repeated words from a resumed sidecar that continues to send after another
/// replica has taken over, and against a sidecar that can't serve again after a pause.
#[test]
fn paused_sidecar_delays_a_stream_and_repeats_no_word() {
    let fleet = Fleet::start(1, 2, &slow());
    let prompt = "frozen sidecar ".repeat(20);
    let (stream, at) = start_stream(&fleet, &prompt);
    fleet.replicas[at].sidecar.signal("STOP");
    let answer = stream.end();
    fleet.replicas[at].sidecar.signal("CONT");
    assert_complete(&answer, &prompt, TOKENS);

    fleet.wait_members();
    for n in 0..6 {
        let prompt = format!("after the thaw {n}");
        let body = completion(&prompt, 5, true);
        let answer = fleet.caller(0).post("/v1/completions", &body);
        assert_complete(&answer, &prompt, 5);
    }
}

/// Guards against a clean end, without an error event, of a stream that no engine can complete: the
/// client would take a partial answer for a complete one.
#[test]
fn stream_that_cannot_be_completed_ends_in_an_error() {
    let mut fleet = Fleet::start(1, 2, &slow());
    let prompt = "nobody is left ".repeat(20);
    let (stream, _) = start_stream(&fleet, &prompt);
    fleet.replicas.iter_mut().for_each(|r| r.standin.kill());
    let answer = stream.end();
    assert!(!answer.clean, "a clean end: {}", answer.text());
    assert!(
        answer.text().contains("event: error\ndata: "),
        "{}",
        answer.text()
    );
    assert!(!answer.text().contains("[DONE]"));
    let got = answer.words();
    assert_eq!(got[..], words(&prompt, TOKENS)[..got.len()]);
}

/// The body of an incomplete stream whose HTTP transfer ends cleanly.
struct EarlyEnd {
    what: &'static str,
    body: &'static str,
}

/// Guards against taking a clean end of the HTTP transfer for the end of the stream: an engine or a
/// proxy that shuts down gracefully may close it within an event or before the last one.
#[test]
fn clean_transfer_end_of_an_incomplete_stream_is_not_taken_for_its_end() {
    #[rustfmt::skip]
    let cases = [
        EarlyEnd { what: "mid-event", body: "data: {\"choices\":[{\"te" },
        EarlyEnd { what: "no last event", body: "" },
        EarlyEnd { what: "an event too few", body: "data: {\"choices\":[{\"index\":0,\"text\":\"FIRST\"}]}\n\n" },
    ];
    for case in cases {
        let mut fleet = Fleet::start(1, 1, &quick());
        let hits = Arc::new(AtomicUsize::new(0));
        let engine = Engine::new(quick());
        let (body, count) = (case.body, Arc::clone(&hits));
        let router = engine
            .router()
            .post("/v1/completions", move |mut r: Request| {
                let count = Arc::clone(&count);
                async move {
                    count.fetch_add(1, Ordering::Relaxed);
                    answer_partly(&mut r, body).await
                }
            });
        fleet.add_target(engine, router);
        fleet.wait_members();
        let mut n = 0;
        wait_for("a request to reach the engine that ends early", || {
            n += 1;
            let prompt = format!("{} {n}", case.what);
            let body = completion(&prompt, 5, true);
            let answer = fleet.caller(0).post("/v1/completions", &body);
            assert!(
                answer.is_complete_stream(),
                "{}: {}",
                case.what,
                answer.text()
            );
            assert_eq!(answer.words(), words(&prompt, 5), "{}", case.what);
            hits.load(Ordering::Relaxed) > 0
        });
    }
}

/// Answers with a part of a stream and a clean end of the transfer.
async fn answer_partly(req: &mut Request, part: &'static str) -> viz::Result<Response> {
    use viz::RequestExt;
    let body = req.bytes().await.map_err(viz::Error::boxed)?;
    let request: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let prompt = request["prompt"].as_str().unwrap_or_default();
    let first = standin::engine::answer_token(prompt, 0);
    let part = Bytes::from(part.replace("FIRST", &first));
    let pieces = futures::stream::iter([Ok::<_, std::io::Error>(part)]);
    Response::builder()
        .header("content-type", "text/event-stream")
        .body(Body::from_stream(pieces))
        .map_err(viz::Error::boxed)
}

/// Length of a stream whose connection is cut after each of its frames in turn.
const FEW_TOKENS: usize = 6;
/// Number of fleets in which cuts are tested in parallel.
const LANES: usize = 4;

/// Guards against lost or repeated words, and against computing an answer twice, when the
/// connection between entry and sidecar breaks or falls silent after any frame.
#[test]
fn cut_after_any_frame_loses_and_repeats_no_word() {
    let cuts = [
        (Side::Sidecar, CutMode::Break),
        (Side::Entry, CutMode::Break),
        (Side::Sidecar, CutMode::Silent),
        (Side::Entry, CutMode::Silent),
    ];
    std::thread::scope(|s| {
        for lane in 0..LANES {
            s.spawn(move || cut_lane(lane, &cuts));
        }
    });
}

fn cut_lane(lane: usize, cuts: &[(Side, CutMode)]) {
    let plan = Arc::new(CutPlan::default());
    let mut fleet = Fleet::start(1, 0, &quick());
    for _ in 0..2 {
        fleet.add_replica_behind_proxy(&quick(), &plan);
    }
    for &(side, mode) in cuts {
        let mut after = lane;
        loop {
            plan.set(side, after, mode);
            let what = format!("{side:?} {mode:?} {after}");
            let body = completion(&what, FEW_TOKENS, true);
            // Sent without a request id: the state of a request with an id of its caller is kept
            // longer.
            let answer = fleet.caller(0).post("/v1/completions", &body);
            assert!(
                answer.is_complete_stream(),
                "{what}: {} {}",
                answer.status,
                answer.text()
            );
            assert_eq!(answer.words(), words(&what, FEW_TOKENS), "{what}");
            let all = fleet.replicas.iter().flat_map(common::Replica::requests);
            let id = answer.header("x-request-id").expect("an id");
            let times = all.filter(|ran| ran == id).count();
            assert_eq!(times, 1, "{what}: computed {times} times");
            if plan.pending() {
                break;
            }
            after += LANES;
        }
        // Each side sends the handshake; the entry then sends the request, the sidecar the words
        // and the end.
        let least = if side == Side::Sidecar { FEW_TOKENS } else { 2 };
        assert!(after >= least, "{side:?} {mode:?}: only {after} frames");
    }
}

/// Guards against failing to parse, complete or resume the streams of engines that end their lines
/// with a carriage return and a line feed.
#[test]
fn stream_with_carriage_returns_is_parsed_and_resumed() {
    let mut fleet = Fleet::start(1, 1, &quick());
    let hits = Arc::new(AtomicUsize::new(0));
    let engine = Engine::new(quick());
    let count = Arc::clone(&hits);
    let router = engine
        .router()
        .post("/v1/completions", move |mut r: Request| {
            count.fetch_add(1, Ordering::Relaxed);
            async move {
                answer_partly(
                    &mut r,
                    "data: {\"choices\":[{\"index\":0,\"text\":\"FIRST\"}]}\r\n\r\n",
                )
                .await
            }
        });
    fleet.add_target(engine, router);
    fleet.wait_members();
    let mut n = 0;
    wait_for(
        "a request to reach the engine that sends carriage returns",
        || {
            n += 1;
            let prompt = format!("carriage return {n}");
            let body = completion(&prompt, 5, true);
            let answer = fleet.caller(0).post("/v1/completions", &body);
            assert_complete(&answer, &prompt, 5);
            let resumed = fleet.replicas[0]
                .engine
                .run_log()
                .iter()
                .any(|r| r.resumed == 1);
            assert!(resumed || hits.load(Ordering::Relaxed) == 0);
            hits.load(Ordering::Relaxed) > 0
        },
    );
}
