//! Malformed and forged requests, and requests to an entry that stops or reloads its settings.

use std::process::Command;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::handshake;
use hyper::Request;
use hyper_util::rt::TokioIo;
use standin::hosted::replica::Replica;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::unix::pipe;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::fleet::{fetch, ready, request, Entry, Platform, HOST, KEY, MODEL, TIMEOUT};

/// Interval between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Starts a platform with an engine, a plain replica and an entry.
async fn fleet(
    events: u64,
    event_interval: Duration,
) -> (Platform, std::sync::Arc<Replica>, Entry) {
    let mut platform = Platform::start().await;
    let engine = Replica::new("e1", events, event_interval);
    engine.set_version(MODEL, 1);
    platform.replica(&engine, "engines").await;
    let plain = Replica::new("p1", 0, event_interval);
    platform.replica(&plain, "plain").await;
    let entry = platform.entry("front-1", 2).await;
    (platform, plain, entry)
}

/// Sends raw bytes and reads until the entry closes the connection or 1.5 s have passed.
async fn send_raw(entry: &Entry, bytes: &[u8]) -> String {
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
    // A truncated, oversized, unauthenticated or ambiguous request must be refused, and a request
    // smuggled in the body of one with two lengths must never run.
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
            name: "truncated head",
            sent: "POST /log/1 HTTP/1.1\r\nhost: po".to_owned(),
            status: "",
        },
        Case {
            name: "truncated body",
            sent: head("/log/1", &format!("{key}content-length: 10\r\n\r\nhalf")),
            status: "",
        },
    ];
    for case in cases {
        let answer = send_raw(&entry, case.sent.as_bytes()).await;
        assert!(answer.starts_with(case.status), "{}: {answer:?}", case.name);
    }
    let seen: Vec<_> = plain.requests().into_iter().map(|s| s.path).collect();
    assert!(!seen.iter().any(|p| p == "/log/hidden"), "{seen:?}");
    assert!(!seen.iter().any(|p| p == "/log/1"), "{seen:?}");
}

#[tokio::test]
async fn refusal_reaches_a_caller_that_is_still_sending_its_body() {
    // Guards against a connection that is reset by the bytes that arrive after the refusal.
    struct Case {
        name: &'static str,
        path: &'static str,
        more: &'static str,
        body: usize,
        status: &'static str,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "no route", path: "/none/", more: "", body: 90_000, status: "HTTP/1.1 404" },
        Case { name: "unknown key", path: "/log/1", more: "credential: none\r\n", body: 90_000, status: "HTTP/1.1 401" },
        Case { name: "too large", path: "/log/1", more: "credential: key-north\r\n", body: 300_000, status: "HTTP/1.1 413" },
    ];
    let (_platform, _plain, entry) = fleet(1, Duration::ZERO).await;
    for c in cases {
        let mut tcp = TcpStream::connect(entry.callers)
            .await
            .expect("a connection");
        let head = format!(
            "POST {} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: a\r\n{}content-length: {}\r\n\r\n",
            c.path, c.more, c.body
        );
        tcp.write_all(head.as_bytes()).await.expect(c.name);
        for piece in vec![b'x'; c.body].chunks(30_000) {
            sleep(Duration::from_millis(50)).await;
            tcp.write_all(piece).await.expect(c.name);
        }
        let mut answer = [0; 64];
        let read = timeout(TIMEOUT, tcp.read(&mut answer)).await;
        let n = read.expect("an answer").expect(c.name);
        let answer = String::from_utf8_lossy(&answer[..n]);
        assert!(answer.starts_with(c.status), "{}: {answer}", c.name);
    }
}

#[tokio::test]
async fn reserved_headers_from_callers_are_not_passed_on() {
    // A caller sends headers that the system uses towards replicas. If they were passed on, the
    // caller could read another team's cache or impersonate another team.
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
async fn planned_stop_completes_streams_and_closes_idle_connections() {
    // An entry is stopped while it relays a stream and holds a keep-alive connection. It must
    // complete the stream, serve and close the connection, and report at once that it isn't ready.
    let (_platform, _plain, mut entry) = fleet(100, Duration::from_millis(10)).await;
    let tcp = TcpStream::connect(entry.callers)
        .await
        .expect("a connection");
    let (mut keep_alive, conn) = handshake(TokioIo::new(tcp)).await.expect("HTTP");
    tokio::spawn(conn);
    let stream = request(&entry, "/code/1", "long").send().await;
    let stream = stream.expect("the head of an answer");
    entry.process.signal("TERM");
    entry.process.wait_for_event("stopping", |_| true).await;
    assert_eq!(ready(&entry).await, 503);
    let second = Request::post("/log/1")
        .header("host", HOST)
        .header("attempt-id", "kept")
        .header("credential", KEY)
        .body(Full::new(Bytes::from("body")))
        .expect("a request");
    let answer = keep_alive.send_request(second).await.expect("an answer");
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["connection"], "close");
    let whole = timeout(TIMEOUT, stream.into_body().collect()).await;
    let whole = whole.expect("an end").expect("a whole stream").to_bytes();
    assert!(whole.ends_with(b"id: 100\ndata: token 100\n\n"));
    assert!(entry.process.wait_for_end());
}

#[tokio::test]
async fn hangup_signal_reloads_the_settings_without_a_restart() {
    // A hangup signal must reload the settings, log that, and neither end the process nor stop it
    // from serving requests.
    let (_platform, _plain, entry) = fleet(1, Duration::ZERO).await;
    entry.process.signal("HUP");
    entry
        .process
        .wait_for_event("reloaded", |e| e["signal"] == true)
        .await;
    let answer = fetch(&entry, "/log/1", "after").await.expect("an answer");
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn settings_file_on_a_hung_volume_delays_no_request() {
    // A read of the settings file that never ends must be logged and delay neither requests nor the
    // stop: the entry reads the file every few seconds, and the volume may hang.
    let (_platform, _plain, mut entry) = fleet(1, Duration::ZERO).await;
    let file = entry.process.settings_file();
    let pipe = file.with_extension("pipe");
    let made = Command::new("mkfifo").arg(&pipe).status();
    assert!(made.expect("mkfifo").success());
    std::fs::rename(&pipe, &file).expect("the pipe in place of the file");
    entry.process.signal("HUP");
    // The pipe can be opened as soon as the entry reads it; the read lasts while it is open.
    let open_pipe = async {
        loop {
            match pipe::OpenOptions::new().open_sender(&file) {
                Ok(sender) => return sender,
                Err(_) => sleep(POLL_INTERVAL).await,
            }
        }
    };
    let sender = timeout(TIMEOUT, open_pipe).await.expect("a read");
    let answer = fetch(&entry, "/log/1", "during").await.expect("an answer");
    assert_eq!(answer.status, 200);
    entry.process.wait_for_event("not_reloaded", |_| true).await;
    entry.process.signal("TERM");
    let stop = async {
        while !entry.process.has_ended() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(TIMEOUT, stop).await.expect("a stop");
    assert!(entry.process.wait_for_end());
    drop(sender);
}
