//! What callers send, and how a process that stops treats them.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::handshake;
use hyper::Request;
use hyper_util::rt::TokioIo;
use standin::hosted::replica::Replica;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::fleet::{ask, ready, request, Entry, Platform, HOST, KEY, LIMIT, MODEL};

async fn fleet(events: u64, pause: Duration) -> (Platform, std::sync::Arc<Replica>, Entry) {
    let mut platform = Platform::start().await;
    let engine = Replica::new("e1", events, pause);
    engine.set_version(MODEL, 1);
    platform.replica(&engine, "engines").await;
    let plain = Replica::new("p1", 0, pause);
    platform.replica(&plain, "plain").await;
    let entry = platform.entry("front-1", 2).await;
    (platform, plain, entry)
}

/// Sends raw bytes and reads until the entry closes or falls silent.
async fn raw(entry: &Entry, bytes: &[u8]) -> String {
    let mut tcp = TcpStream::connect(entry.callers)
        .await
        .expect("a connection");
    tcp.write_all(bytes).await.expect("sent");
    let mut answer = Vec::new();
    let _ = timeout(Duration::from_millis(1_500), tcp.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn malformed_requests_reach_no_replica() {
    // Requests that are torn, too large, without a key or in two lengths at once. Each gets the
    // answer that says what is wrong, or a closed connection, and what hides inside one of them is
    // never taken for a request of its own.
    let (_platform, plain, entry) = fleet(1, Duration::ZERO).await;
    let head = |path: &str, more: &str| {
        format!("POST {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: a\r\n{more}")
    };
    let key = format!("credential: {KEY}\r\n");
    let hidden = head("/log/hidden", &format!("{key}content-length: 0\r\n\r\n"));
    struct Case {
        name: &'static str,
        sent: String,
        status: &'static str,
    }
    let cases = [
        Case {
            name: "no route",
            sent: head("/none/", &format!("{key}content-length: 0\r\n\r\n")),
            status: "HTTP/1.1 404",
        },
        Case {
            name: "no key",
            sent: head("/log/1", "content-length: 0\r\n\r\n"),
            status: "HTTP/1.1 401",
        },
        Case {
            name: "unknown key",
            sent: head("/log/1", "credential: none\r\ncontent-length: 0\r\n\r\n"),
            status: "HTTP/1.1 401",
        },
        Case {
            name: "two ids",
            sent: head("/log/1", &format!("{key}attempt-id: b\r\ncontent-length: 0\r\n\r\n")),
            status: "HTTP/1.1 400",
        },
        Case {
            name: "body too large",
            sent: head("/log/1", &format!("{key}content-length: 200000\r\n\r\n{}", "x".repeat(200_000))),
            status: "HTTP/1.1 413",
        },
        Case {
            name: "head too large",
            sent: head("/log/1", &format!("{key}x: {}\r\n\r\n", "x".repeat(40_000))),
            status: "HTTP/1.1 431",
        },
        Case {
            name: "two lengths",
            sent: head(
                "/log/outer",
                &format!("{key}content-length: {}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{hidden}", hidden.len() + 5),
            ),
            status: "HTTP/1.1 ",
        },
        Case {
            name: "half a head",
            sent: "POST /log/1 HTTP/1.1\r\nhost: po".to_owned(),
            status: "",
        },
        Case {
            name: "half a body",
            sent: head("/log/1", &format!("{key}content-length: 10\r\n\r\nhalf")),
            status: "",
        },
    ];
    for case in cases {
        let answer = raw(&entry, case.sent.as_bytes()).await;
        assert!(answer.starts_with(case.status), "{}: {answer:?}", case.name);
    }
    let seen: Vec<_> = plain.requests().into_iter().map(|s| s.path).collect();
    assert!(!seen.iter().any(|p| p == "/log/hidden"), "{seen:?}");
    assert!(!seen.iter().any(|p| p == "/log/1"), "{seen:?}");
}

#[tokio::test]
async fn what_callers_may_not_set_is_not_passed_on() {
    // A caller sends headers by which the system speaks to replicas. If they got through, a caller
    // could read another team's cache or pass for another team.
    let (_platform, plain, entry) = fleet(1, Duration::ZERO).await;
    let mut call = request(&entry, "/log/1", "an-id");
    for name in [
        "tenant",
        "cache-salt",
        "hold",
        "pin-ms",
        "kv-from",
        "kv-backup",
        "kv-fetch",
    ] {
        call.headers.push((name, "forged".to_owned()));
    }
    call.headers.push(("x-own", "kept".to_owned()));
    call.fetch().await.expect("an answer");
    let seen = plain.requests();
    let headers = &seen[0].headers;
    assert!(!headers.values().any(|v| v == "forged"), "{headers:?}");
    assert_eq!(headers["tenant"], "north");
    assert_eq!(headers["x-own"], "kept");
}

#[tokio::test]
async fn a_planned_stop_cuts_no_request_and_takes_no_late_one() {
    // A process is told to stop while it passes a stream on and a caller keeps a connection open.
    // The stream ends whole, the kept connection is served and then closed, the process says at once
    // that it isn't ready, and it ends well.
    let (_platform, _plain, mut entry) = fleet(100, Duration::from_millis(10)).await;
    let tcp = TcpStream::connect(entry.callers)
        .await
        .expect("a connection");
    let (mut kept, conn) = handshake(TokioIo::new(tcp)).await.expect("HTTP");
    tokio::spawn(conn);
    let stream = request(&entry, "/code/1", "long").send().await;
    let stream = stream.expect("the head of an answer");
    entry.process.signal("TERM");
    entry.process.event("stopping", |_| true).await;
    assert_eq!(ready(&entry).await, 503);
    let again = Request::post("/log/1")
        .header("host", HOST)
        .header("attempt-id", "kept")
        .header("credential", KEY)
        .body(Full::new(Bytes::from("body")))
        .expect("a request");
    let answer = kept.send_request(again).await.expect("an answer");
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["connection"], "close");
    let whole = timeout(LIMIT, stream.into_body().collect()).await;
    let whole = whole.expect("an end").expect("a whole stream").to_bytes();
    assert!(whole.ends_with(b"id: 100\ndata: token 100\n\n"));
    assert!(entry.process.wait());
}

#[tokio::test]
async fn a_hangup_reads_the_settings_again_and_ends_nothing() {
    // The settings file changes and the process is told so. Requests go on, and the log says it.
    let (_platform, _plain, entry) = fleet(1, Duration::ZERO).await;
    entry.process.signal("HUP");
    entry
        .process
        .event("reloaded", |e| e["signal"] == true)
        .await;
    let answer = ask(&entry, "/log/1", "after").await.expect("an answer");
    assert_eq!(answer.status, 200);
}
