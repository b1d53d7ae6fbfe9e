//! Long request bodies that targets read slowly, and long answers that callers read slowly.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::fleet::{config, max_resident, Entry, Platform, HOST, KEY, TIMEOUT};
use standin::hosted::sample::settings;

/// Memory limit of the entry in megabytes, as its settings state it, and in KiB.
const MEMORY_MB: u64 = 110;
const MEMORY_KIB: u64 = MEMORY_MB * 1_024;
/// Length of a long body or answer.
const LONG: usize = 4_000_000;
/// Number of callers at the same time.
const CALLERS: usize = 40;
/// How much a slow reader reads at a time, and the pause after that.
const PIECE: usize = 128 << 10;
const PAUSE: Duration = Duration::from_millis(30);

/// Which side reads slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Slow {
    Target,
    Caller,
}

/// Reads a head; returns it and the bytes after it.
async fn read_head(tcp: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let rest = bytes.split_off(end + 4);
            return Some((String::from_utf8_lossy(&bytes).to_lowercase(), rest));
        }
        if tcp.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().filter_map(|l| l.split_once(": "));
    lines.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
}

/// Reads bytes, slowly or not; returns how many arrived.
async fn read_body(tcp: &mut TcpStream, mut left: usize, slow: bool) -> usize {
    let (mut read, mut piece) = (0, vec![0; PIECE]);
    let mut from = BufReader::with_capacity(PIECE, tcp);
    while left > 0 {
        let n = from.read(&mut piece[..PIECE.min(left)]).await.unwrap_or(0);
        if n == 0 {
            break;
        }
        (read, left) = (read + n, left - n);
        if slow {
            sleep(PAUSE).await;
        }
    }
    read
}

/// A target that answers a request once it has read the body.
async fn target(mut tcp: TcpStream, slow: Slow) -> Option<()> {
    while let Some((head, rest)) = read_head(&mut tcp).await {
        let len: usize = header(&head, "content-length")?.parse().ok()?;
        let left = len.checked_sub(rest.len())?;
        if read_body(&mut tcp, left, slow == Slow::Target).await < left {
            return None;
        }
        let id = header(&head, "attempt-id")?;
        let len = if slow == Slow::Caller { LONG } else { 4 };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nresponse-signature: s\r\ncontent-length: {len}\r\n\r\n"
        );
        tcp.write_all(answer.as_bytes()).await.ok()?;
        tcp.write_all(&vec![b'x'; len]).await.ok()?;
    }
    Some(())
}

/// Starts a target and lists it.
async fn start_target(platform: &Platform, id: &str, slow: Slow) -> JoinSet<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("an address");
    let row = json!({"service": "plain", "address": addr.to_string(), "zone": "a", "version": "v1",
        "slots": 64, "born": 1, "state": "ready", "cold_left_ms": 0, "seq": 1, "models": []});
    platform.store.write("servers", id, &row);
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((tcp, _)) = listener.accept().await {
            connections.spawn(target(tcp, slow));
        }
    });
    tasks
}

/// Sends a request; returns its status and how much of the answer's body arrived.
async fn call(to: SocketAddr, n: usize, len: usize, slow: bool) -> Option<(u16, usize)> {
    let mut tcp = TcpStream::connect(to).await.ok()?;
    let head = format!(
        "POST /log/1 HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: long-{n}\r\ncredential: {KEY}\r\n\
         deadline-ms: 12000\r\ncontent-length: {len}\r\n\r\n"
    );
    tcp.write_all(head.as_bytes()).await.ok()?;
    tcp.write_all(&vec![b'x'; len]).await.ok()?;
    let (head, rest) = read_head(&mut tcp).await?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let len: usize = header(&head, "content-length")?.parse().ok()?;
    let read = read_body(&mut tcp, len - rest.len(), slow).await;
    Some((status, rest.len() + read))
}

async fn start(slow: Slow) -> (Platform, Entry, Vec<JoinSet<()>>) {
    let platform = Platform::start().await;
    let mut config = config(2);
    config["limits"]["max_body_bytes"] = json!(4 << 20);
    config["routes"][2]["timeout_ms"] = json!(12_000);
    platform.store.write("op", "config", &config);
    let mut targets = Vec::new();
    for id in ["p1", "p2"] {
        targets.push(start_target(&platform, id, slow).await);
    }
    let mut lines = settings("front-1", platform.store_addr);
    lines.push(format!("limits.memory_mb={MEMORY_MB}"));
    let entry = platform.start_entry_with(lines).await;
    let configured = |e: &serde_json::Value| e["version"] == 2;
    entry.process.wait_for_event("configured", configured).await;
    entry.process.wait_for_event("target", |_| true).await;
    (platform, entry, targets)
}

#[tokio::test]
async fn long_bodies_that_are_read_slowly_fill_no_memory_and_lose_no_answer() {
    // Guards against an entry that is killed for its memory together with all requests in progress.
    for slow in [Slow::Target, Slow::Caller] {
        let (_platform, entry, _targets) = start(slow).await;
        let body = if slow == Slow::Target { LONG } else { 4 };
        let calls = (0..CALLERS).map(|n| call(entry.callers, n, body, slow == Slow::Caller));
        let calls = timeout(TIMEOUT, join_all(calls));
        let (most, answers) = max_resident(&entry.process, calls).await;
        let answers = answers.expect("answers");
        assert!(most < MEMORY_KIB, "{slow:?}: {most} KiB");
        let expected = if slow == Slow::Caller { LONG } else { 4 };
        let served = answers.iter().filter(|a| **a == Some((200, expected)));
        let (served, all) = (served.count(), answers.len());
        match slow {
            // A body for which there is no memory is refused before it is read.
            Slow::Target => {
                let refused = answers
                    .iter()
                    .flatten()
                    .filter(|(status, _)| *status == 503);
                let refused = refused.count();
                assert!(
                    served > 0 && served + refused == all,
                    "{slow:?}: {answers:?}"
                );
            }
            Slow::Caller => assert_eq!(served, all, "{slow:?}: {answers:?}"),
        }
    }
}
