//! Requests that an entry has accepted, or that are on their way to it, when it stops.

use std::time::Duration;

use futures::future::join_all;
use serde_json::json;
use standin::hosted::replica::{Fault, Replica};
use standin::hosted::sample::settings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::fleet::{config, request, Entry, Platform, HOST, KEY, TIMEOUT};

/// Grace period in the settings of the entry.
const GRACE_S: u64 = 5;
/// Time after the signal at which the entry still accepts connections, just before it ends that.
const BEFORE_CLOSING: Duration = Duration::from_millis(2_300);
/// Time by which it accepts none.
const AFTER_CLOSING: Duration = Duration::from_millis(700);
/// Connections that arrive while the entry is paused.
const CONNECTIONS: usize = 8;

/// Starts an entry with a replica that has a fault.
async fn start(fault: Fault) -> (Platform, Entry) {
    let mut platform = Platform::start().await;
    let mut config = config(2);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(20_000);
    }
    platform.store.write("op", "config", &config);
    let plain = Replica::new("p1", 0, Duration::ZERO);
    plain.set_fault(fault);
    platform.replica(&plain, "plain").await;
    let mut lines = settings("front-1", platform.store_addr);
    lines.retain(|l| !l.starts_with("bounds.grace_s"));
    lines.push(format!("bounds.grace_s={GRACE_S}"));
    let entry = platform.start_entry_with(lines).await;
    let configured = |e: &serde_json::Value| e["version"] == 2;
    entry.process.wait_for_event("configured", configured).await;
    entry.process.wait_for_event("target", |_| true).await;
    (platform, entry)
}

fn head(id: &str) -> String {
    format!("POST /log/1 HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {id}\r\ncredential: {KEY}\r\ncontent-length: 4\r\n\r\nbody")
}

/// The status line of an answer.
async fn status(tcp: &mut TcpStream) -> String {
    let mut answer = [0; 64];
    match timeout(TIMEOUT, tcp.read(&mut answer))
        .await
        .expect("an end")
    {
        Ok(n) => String::from_utf8_lossy(&answer[..n]).into_owned(),
        Err(e) => e.to_string(),
    }
}

#[tokio::test]
async fn request_in_progress_at_the_end_of_the_grace_period_is_answered() {
    // Guards against connections that end without an answer because the process exits.
    struct Case {
        name: &'static str,
        path: &'static str,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "once-only request at a target that hangs", path: "/log/1" },
        Case { name: "idempotent request at a target that hangs", path: "/check/1" },
    ];
    for c in cases {
        let (_platform, mut entry) = start(Fault::Hang).await;
        let mut call = request(&entry, c.path, "held");
        call.headers.retain(|(n, _)| *n != "deadline-ms");
        call.headers.push(("deadline-ms", "20000".to_owned()));
        let answer = tokio::spawn(async move { call.send().await.map(|a| a.status().as_u16()) });
        let sent = |e: &serde_json::Value| e["request"] == "held";
        entry.process.wait_for_event("sent", sent).await;
        entry.process.signal("TERM");
        let answer = timeout(TIMEOUT, answer)
            .await
            .expect("an end")
            .expect("a task");
        assert!(matches!(answer, Ok(502)), "{}: {answer:?}", c.name);
        assert!(entry.process.wait_for_end(), "{}", c.name);
    }
}

#[tokio::test]
async fn connection_that_waits_to_be_accepted_when_an_entry_closes_is_answered() {
    // Guards against connections that are reset because they lie in the backlog of the socket.
    let (_platform, entry) = start(Fault::None).await;
    entry.process.signal("TERM");
    sleep(BEFORE_CLOSING).await;
    entry.process.signal("STOP");
    let mut waiting = Vec::new();
    for n in 0..CONNECTIONS {
        let mut tcp = TcpStream::connect(entry.callers)
            .await
            .expect("a connection");
        tcp.write_all(head(&format!("waiting-{n}")).as_bytes())
            .await
            .expect("a request");
        waiting.push(tcp);
    }
    sleep(AFTER_CLOSING).await;
    entry.process.signal("CONT");
    let answers = join_all(waiting.iter_mut().map(status)).await;
    let is_answer = |a: &String| a.starts_with("HTTP/1.1 200") || a.starts_with("HTTP/1.1 503");
    assert!(answers.iter().all(is_answer), "{answers:?}");
}

#[tokio::test]
async fn request_that_arrives_in_pieces_while_an_entry_closes_is_answered() {
    // Guards against connections that are closed between the pieces of a head, or before the first one.
    let (_platform, entry) = start(Fault::None).await;
    entry.process.signal("TERM");
    sleep(BEFORE_CLOSING).await;
    let head = head("pieces");
    let mut started = TcpStream::connect(entry.callers)
        .await
        .expect("a connection");
    started
        .write_all(&head.as_bytes()[..30])
        .await
        .expect("a piece");
    sleep(Duration::from_millis(250)).await;
    let mut opened = TcpStream::connect(entry.callers)
        .await
        .expect("a connection");
    sleep(Duration::from_millis(150)).await;
    started
        .write_all(&head.as_bytes()[30..])
        .await
        .expect("a piece");
    opened.write_all(head.as_bytes()).await.expect("a request");
    for tcp in [&mut started, &mut opened] {
        let answer = status(tcp).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
}
