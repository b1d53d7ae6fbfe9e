//! An answer isn't aborted while its target still runs, however late the target answers health
//! checks.

mod common;

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use common::{
    any_port, completion, quick, wait_for, words, Caller, Child, Fleet, Program, QUICKSTART,
};
use standin::engine::{Faults, Settings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;

/// Delay of the answer to a health check, in milliseconds; it exceeds the sidecar's timeout.
const HEALTH_DELAY_MS: u64 = 1_100;
/// Length of an answer; at 50 ms per token, it lasts five seconds.
const TOKENS: usize = 100;
/// Tokens after which an engine closes its stream: about the time when its second health check in a
/// row is late.
const TOKENS_BEFORE_CLOSE: usize = 40;
/// Time that the plain target takes to handle its request.
const HANDLING_TIME: Duration = Duration::from_secs(5);

fn late_health_checks() -> Faults {
    Faults {
        late: HEALTH_DELAY_MS,
        ..Faults::default()
    }
}

/// An engine that takes 50 ms per token.
fn slow() -> Settings {
    Settings {
        decode_per_token: Duration::from_millis(50),
        ..quick()
    }
}

/// A kind of answer that an engine computes while its health checks are late.
struct Case {
    what: &'static str,
    stream: bool,
}

/// Guards against aborting an answer because its engine answers health checks late.
#[test]
fn answer_completes_while_health_checks_are_late() {
    let cases = [
        Case {
            what: "stream",
            stream: true,
        },
        Case {
            what: "whole answer",
            stream: false,
        },
    ];
    let run = |case: Case| {
        let fleet = Fleet::start(1, 1, &slow());
        let engine = &fleet.replicas[0].engine;
        engine.set_faults(late_health_checks());
        let body = completion(case.what, TOKENS, case.stream);
        let answer = fleet.caller(0).post("/v1/completions", &body);
        let text = answer.text();
        assert_eq!((answer.status, answer.clean), (200, true), "{text}");
        if case.stream {
            assert!(answer.is_complete_stream(), "{text}");
            assert_eq!(answer.words(), words(case.what, TOKENS));
        }
        let ran = engine.run_log();
        assert_eq!(ran.len(), 1, "{}: {ran:?}", case.what);
    };
    std::thread::scope(|s| {
        for case in cases {
            s.spawn(move || run(case));
        }
    });
}

/// Guards against counting a crash when a slow engine closes a connection while its health checks
/// are late: two such closed streams would quarantine the request.
#[test]
fn closed_streams_of_slow_engines_are_not_counted_as_crashes() {
    let fleet = Fleet::start(1, 3, &slow());
    let engines: Vec<_> = fleet.replicas.iter().map(|r| &r.engine).collect();
    for e in &engines {
        e.set_faults(Faults {
            drop: 1,
            after: TOKENS_BEFORE_CLOSE,
            ..Faults::default()
        });
    }
    let prompt = "closed by slow engines";
    let body = completion(prompt, TOKENS, true);
    let caller = fleet.caller(0);
    let stream = caller.begin("POST", "/v1/completions", &[], &body);
    let mut closed = Vec::new();
    for _ in 0..2 {
        let next = || (0..3).find(|n| engines[*n].running() > 0 && !closed.contains(n));
        wait_for("an engine to run the request", || next().is_some());
        let n = next().expect("waited for");
        engines[n].set_faults(late_health_checks());
        closed.push(n);
    }
    let answer = stream.end();
    assert!(
        answer.is_complete_stream(),
        "{} {}",
        answer.status,
        answer.text()
    );
    assert_eq!(answer.words(), words(prompt, TOKENS));
}

/// Guards against a request that waits for a paused engine although another engine could answer it.
#[test]
fn idempotent_request_is_retried_when_its_engine_is_paused() {
    let fleet = Fleet::start(1, 0, &quick());
    let (url, seed) = (fleet.url(), fleet.seed());
    let args = ["--weights", "1", "--decode-us", "20000"];
    let engines = [0, 1].map(|_| {
        let engine = Program::start("engine", &args);
        let sidecar = Child::sidecar(&url, &seed, engine.at, "lekha-llm", "model");
        (engine, sidecar)
    });
    wait_for("all members to be seen", || fleet.live_members(0) == 4);
    let body = completion("asked for once", TOKENS, false);
    let caller = fleet.caller(0);
    let answer = caller.begin("POST", "/v1/completions", &[], &body);
    let running = |engine: &Program| {
        let load = Caller::new(engine.at, "").get("/load").json();
        load["running"].as_u64() > Some(0)
    };
    let mut runner = None;
    wait_for("an engine to run the request", || {
        runner = engines.iter().position(|(e, _)| running(e));
        runner.is_some()
    });
    let (engine, _) = &engines[runner.expect("waited for")];
    engine.signal("STOP");
    let answer = answer.end();
    engine.signal("CONT");
    assert_eq!(answer.status, 200, "{}", answer.text());
}

/// Starts a plain target that accepts no further connection while it handles its one request.
fn start_full_target() -> SocketAddr {
    let (tx, at) = mpsc::channel();
    std::thread::spawn(move || {
        let run = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("runtime");
        run.block_on(serve_one(tx)).expect("the record's answer");
    });
    at.recv().expect("address")
}

/// Handles one request on a listener with a backlog of one; sends its address first.
async fn serve_one(at: mpsc::Sender<SocketAddr>) -> io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(any_port())?;
    let listener = socket.listen(1)?;
    let _ = at.send(listener.local_addr()?);
    let mut buf = [0; 4_096];
    loop {
        let (mut tcp, _) = listener.accept().await?;
        // A health check of a plain target connects and sends nothing.
        if tcp.read(&mut buf).await? == 0 {
            continue;
        }
        tokio::time::sleep(HANDLING_TIME).await;
        let answer = b"HTTP/1.1 201 Created\r\ncontent-length: 4\r\n\r\nkept";
        return tcp.write_all(answer).await;
    }
}

/// Guards against aborting a plain target's answer because its full backlog makes health checks
/// fail.
#[test]
fn record_is_answered_by_a_target_with_a_full_backlog() {
    let mut fleet = Fleet::start(1, 0, &quick());
    let (url, seed) = (fleet.url(), fleet.seed());
    let sidecar = Child::sidecar(&url, &seed, start_full_target(), "ledger", "plain");
    fleet.extra_sidecars.push(sidecar);
    fleet.wait_members();
    let write =
        "then = { pool = \"fieldops\", class = \"call\", deadline = \"10s\", idempotent = false }";
    let ledger = QUICKSTART
        .replace(write, &write.replace("fieldops", "ledger"))
        .replace(
            "[pool.fieldops]",
            "[pool.ledger]\nkind = \"plain\"\n\n[pool.fieldops]",
        );
    assert_ne!(ledger, QUICKSTART);
    fleet.apply(&ledger);
    let answer = fleet.caller(0).post("/records/poll-1", "a record");
    assert_eq!(answer.status, 201, "{}", answer.text());
}
