//! Every stream is complete and in order, whatever dies, freezes or falls silent under it.

mod common;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::caller::{Answer, Pending};
use common::{completion, quick, wait_for, words, Fleet, How, Plan, Side};
use standin::engine::{Engine, Faults, Settings};
use viz::{Body, Request, Response};

/// Tokens of a stream that lasts about a second.
const TOKENS: usize = 100;

fn slow() -> Settings {
    Settings {
        decode_per_token: Duration::from_millis(10),
        ..quick()
    }
}

/// Begins a stream and gives the replica that runs it, once the caller has some words of it.
fn begin(fleet: &Fleet, prompt: &str) -> (Pending, usize) {
    let body = completion(prompt, TOKENS, true);
    let stream = fleet.caller(0).begin("POST", "/v1/completions", &[], &body);
    for _ in 0..10 {
        stream.wait_for("choices");
    }
    let at = fleet.runner();
    (stream, at)
}

fn assert_whole(answer: &Answer, prompt: &str, tokens: usize) {
    assert!(answer.whole(), "{} {}", answer.status, answer.text());
    assert_eq!(answer.words(), words(prompt, tokens));
}

/// What is done to the replica under a stream.
struct Failure {
    what: &'static str,
    strike: fn(&mut Fleet, usize),
}

/// An engine crashes, its sidecar is killed, or its open connections go silent for good while new
/// ones work. The caller must not notice more than a pause: the words go on where they stopped,
/// none twice and none left out.
#[test]
fn stream_goes_on_elsewhere() {
    #[rustfmt::skip]
    let cases = [
        Failure { what: "engine dead", strike: |f, at| f.replicas[at].standin.kill() },
        Failure { what: "sidecar killed", strike: |f, at| f.replicas[at].sidecar.kill() },
        Failure { what: "engine's connections silent", strike: |f, at| {
            f.replicas[at].engine.set_faults(Faults { freeze: true, ..Faults::default() });
        } },
    ];
    let run = |case: Failure| {
        let mut fleet = Fleet::start(1, 2, &slow());
        let prompt = format!("{} {}", case.what, "an opening. ".repeat(30));
        let (stream, at) = begin(&fleet, &prompt);
        (case.strike)(&mut fleet, at);
        let answer = stream.end();
        assert!(answer.whole(), "{}: {}", case.what, answer.text());
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

/// A caller's deadline is for the beginning of the answer, and a long stream outlasts it. Its engine
/// dies after that; the caller still reads, and must get the rest as before the deadline.
#[test]
fn stream_past_its_deadline_goes_on_elsewhere() {
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
    let at = fleet.runner();
    fleet.replicas[at].standin.kill();
    assert_whole(&stream.end(), &prompt, TOKENS);
}

/// Two of three engines close a stream after a few words, as one does that preempts it. The caller
/// gets the rest from the next replica, also when that closes it, too.
#[test]
fn stream_closed_by_its_engine_goes_on_elsewhere() {
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
        assert_whole(&answer, &prompt, 20);
        let cut = |r: &common::Replica| r.engine.run_log().iter().any(|r| !r.whole);
        fleet.replicas[..2].iter().all(cut)
    });
}

/// A sidecar is paused in the middle of a stream and goes on later. The caller waits a few seconds
/// and then gets the rest from another replica; what the thawed sidecar still sends reaches
/// nobody, and it serves the next requests as before.
#[test]
fn frozen_sidecar_delays_a_stream_and_doubles_nothing() {
    let fleet = Fleet::start(1, 2, &slow());
    let prompt = "frozen sidecar ".repeat(20);
    let (stream, at) = begin(&fleet, &prompt);
    fleet.replicas[at].sidecar.signal("STOP");
    let answer = stream.end();
    fleet.replicas[at].sidecar.signal("CONT");
    assert_whole(&answer, &prompt, TOKENS);

    fleet.wait_members();
    for n in 0..6 {
        let prompt = format!("after the thaw {n}");
        let body = completion(&prompt, 5, true);
        let answer = fleet.caller(0).post("/v1/completions", &body);
        assert_whole(&answer, &prompt, 5);
    }
}

/// Every engine dies in the middle of a stream, so that nobody can complete it. A client that saw
/// a clean end would take half an answer for a whole one; it must see an error event and a broken
/// transfer instead.
#[test]
fn stream_that_cannot_be_completed_ends_in_an_error() {
    let mut fleet = Fleet::start(1, 2, &slow());
    let prompt = "nobody is left ".repeat(20);
    let (stream, _) = begin(&fleet, &prompt);
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

/// How an engine's answer ends too early although its transfer ends as it should.
struct Ending {
    what: &'static str,
    body: &'static str,
}

/// An engine's process goes away gracefully, or something before it does, and closes an answer
/// that isn't complete: in the middle of an event, or between two without the last one. HTTP
/// calls both a good end. The caller gets the whole answer from another replica.
#[test]
fn early_end_is_not_taken_for_the_end() {
    #[rustfmt::skip]
    let cases = [
        Ending { what: "mid-event", body: "data: {\"choices\":[{\"te" },
        Ending { what: "no last event", body: "" },
        Ending { what: "an event too few", body: "data: {\"choices\":[{\"index\":0,\"text\":\"FIRST\"}]}\n\n" },
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
                    early(&mut r, body).await
                }
            });
        fleet.add_target(engine, router);
        fleet.wait_members();
        let mut n = 0;
        wait_for("the early end to be met", || {
            n += 1;
            let prompt = format!("{} {n}", case.what);
            let body = completion(&prompt, 5, true);
            let answer = fleet.caller(0).post("/v1/completions", &body);
            assert!(answer.whole(), "{}: {}", case.what, answer.text());
            assert_eq!(answer.words(), words(&prompt, 5), "{}", case.what);
            hits.load(Ordering::Relaxed) > 0
        });
    }
}

/// Answers with a part of a stream and a good end of the transfer.
async fn early(req: &mut Request, part: &'static str) -> viz::Result<Response> {
    use viz::RequestExt;
    let body = req.bytes().await.map_err(viz::Error::boxed)?;
    let ask: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let prompt = ask["prompt"].as_str().unwrap_or_default();
    let first = standin::engine::answer_token(prompt, 0);
    let part = Bytes::from(part.replace("FIRST", &first));
    let pieces = futures::stream::iter([Ok::<_, std::io::Error>(part)]);
    Response::builder()
        .header("content-type", "text/event-stream")
        .body(Body::from_stream(pieces))
        .map_err(viz::Error::boxed)
}

/// Tokens of a stream whose every frame is cut once.
const FEW: usize = 6;
/// Cuts tried at the same time, each in a fleet of its own.
const LANES: usize = 4;

/// The connection between an entry and a sidecar breaks, or falls silent while new ones work,
/// after each frame that either side sends, from the handshake to the end. The caller gets every
/// word once, in order, and nothing is computed twice.
#[test]
fn cut_after_each_frame_loses_and_doubles_nothing() {
    let cuts = [
        (Side::Sidecar, How::Break),
        (Side::Entry, How::Break),
        (Side::Sidecar, How::Silent),
        (Side::Entry, How::Silent),
    ];
    std::thread::scope(|s| {
        for lane in 0..LANES {
            s.spawn(move || cut_lane(lane, &cuts));
        }
    });
}

fn cut_lane(lane: usize, cuts: &[(Side, How)]) {
    let plan = Arc::new(Plan::default());
    let mut fleet = Fleet::start(1, 0, &quick());
    for _ in 0..2 {
        fleet.add_cut(&quick(), &plan);
    }
    for &(side, how) in cuts {
        let mut after = lane;
        loop {
            plan.set(side, after, how);
            let what = format!("{side:?} {how:?} {after}");
            let body = completion(&what, FEW, true);
            // Without an id of the caller's own: what is kept for such a one is kept longer.
            let answer = fleet.caller(0).post("/v1/completions", &body);
            assert!(
                answer.whole(),
                "{what}: {} {}",
                answer.status,
                answer.text()
            );
            assert_eq!(answer.words(), words(&what, FEW), "{what}");
            let all = fleet.replicas.iter().flat_map(common::Replica::requests);
            let id = answer.header("x-request-id").expect("an id");
            let times = all.filter(|ran| ran == id).count();
            assert_eq!(times, 1, "{what}: computed {times} times");
            if plan.pending() {
                break;
            }
            after += LANES;
        }
        // The handshake and the request; the sidecar adds the words and the end.
        let least = if side == Side::Sidecar { FEW } else { 2 };
        assert!(after >= least, "{side:?} {how:?}: only {after} frames");
    }
}

/// Some engines end their lines in a carriage return and a line feed. Their streams are streams
/// like others: they come word by word, end well, and are resumed where they stopped.
#[test]
fn carriage_returns_end_lines_as_well() {
    let mut fleet = Fleet::start(1, 1, &quick());
    let hits = Arc::new(AtomicUsize::new(0));
    let engine = Engine::new(quick());
    let count = Arc::clone(&hits);
    let router = engine
        .router()
        .post("/v1/completions", move |mut r: Request| {
            count.fetch_add(1, Ordering::Relaxed);
            async move {
                early(
                    &mut r,
                    "data: {\"choices\":[{\"index\":0,\"text\":\"FIRST\"}]}\r\n\r\n",
                )
                .await
            }
        });
    fleet.add_target(engine, router);
    fleet.wait_members();
    let mut n = 0;
    wait_for("the carriage returns to be met", || {
        n += 1;
        let prompt = format!("carriage return {n}");
        let body = completion(&prompt, 5, true);
        let answer = fleet.caller(0).post("/v1/completions", &body);
        assert_whole(&answer, &prompt, 5);
        let resumed = fleet.replicas[0]
            .engine
            .run_log()
            .iter()
            .any(|r| r.resumed == 1);
        assert!(resumed || hits.load(Ordering::Relaxed) == 0);
        hits.load(Ordering::Relaxed) > 0
    });
}
