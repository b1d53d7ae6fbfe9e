//! Answers of a target that are cut at each byte of their head, framing and body.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::stream::{self, StreamExt};
use serde_json::json;
use standin::hosted::sample::config;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::fleet::{request_to, Answer, Entry, Platform, MODEL, TIMEOUT};

/// Deadline of requests whose answers fall silent, in milliseconds.
const DEADLINE_MS: u64 = 400;
/// Requests at the same time.
const CALLERS: usize = 16;
/// Body of plain answers.
const PLAIN: &str = "a plain answer";
/// Events of streams.
const EVENTS: &str = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n";

/// How an answer is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    /// The answer ends with its connection.
    Close,
}

/// What follows the last byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Closed,
    Reset,
    Silent,
}

/// One answer.
#[derive(Clone, Copy, Debug)]
struct Case {
    path: &'static str,
    framing: Framing,
    end: End,
    /// Bytes that are sent.
    cut: usize,
}

impl Case {
    fn is_stream(self) -> bool {
        self.path != "/log/" && self.path != "/check/"
    }

    fn body(self) -> &'static str {
        if self.is_stream() {
            EVENTS
        } else {
            PLAIN
        }
    }
}

/// Head and rest of an answer.
fn answer(case: Case, id: &str) -> (String, String) {
    let body = case.body();
    let (header, rest) = match case.framing {
        Framing::Length => (format!("content-length: {}", body.len()), body.to_owned()),
        Framing::Chunks => {
            let (first, second) = body.split_at(body.len() / 2);
            let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
            let rest = format!("{}{}0\r\n\r\n", chunk(first), chunk(second));
            ("transfer-encoding: chunked".to_owned(), rest)
        }
        Framing::Close => ("connection: close".to_owned(), body.to_owned()),
    };
    let head =
        format!("HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nresponse-signature: s\r\n{header}\r\n\r\n");
    (head, rest)
}

/// A target that cuts the answers of requests which it has cases for.
#[derive(Default)]
struct Target {
    cases: Mutex<HashMap<String, Case>>,
    /// Runs by request.
    runs: Mutex<HashMap<String, usize>>,
}

impl Target {
    async fn start(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("its address");
        let target = Arc::clone(self);
        tokio::spawn(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                let target = Arc::clone(&target);
                tokio::spawn(async move { target.serve(tcp).await });
            }
        });
        addr
    }

    /// Answers the requests on a connection; returns at the first cut.
    async fn serve(&self, mut tcp: TcpStream) -> Option<()> {
        let mut received = Vec::new();
        loop {
            let (id, len) = loop {
                if let Some(found) = parse(&received) {
                    break found;
                }
                if tcp.read_buf(&mut received).await.ok()? == 0 {
                    return None;
                }
            };
            received.drain(..len);
            *self
                .runs
                .lock()
                .expect("runs")
                .entry(id.clone())
                .or_default() += 1;
            let case = self.cases.lock().expect("cases").get(&id).copied();
            let Some(case) = case else {
                let text = format!("HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nresponse-signature: s\r\ncontent-length: 0\r\n\r\n");
                tcp.write_all(text.as_bytes()).await.ok()?;
                continue;
            };
            let (head, rest) = answer(case, &id);
            let bytes = [head.as_bytes(), rest.as_bytes()].concat();
            tcp.write_all(&bytes[..case.cut]).await.ok()?;
            match case.end {
                End::Closed => {}
                // What was sent arrives before the reset.
                End::Reset => {
                    sleep(Duration::from_millis(5)).await;
                    tcp.set_zero_linger().ok()?;
                }
                End::Silent => sleep(Duration::from_millis(2 * DEADLINE_MS)).await,
            }
            return None;
        }
    }
}

/// Id and length of a request that has been received whole.
fn parse(received: &[u8]) -> Option<(String, usize)> {
    let head = received.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&received[..head]).to_lowercase();
    let header = |name: &str| {
        let mut lines = text.lines();
        lines.find_map(|l| Some(l.strip_prefix(name)?.trim().to_owned()))
    };
    let len = header("content-length:").map_or(0, |v| v.parse().expect("a length"));
    let id = header("attempt-id:").unwrap_or_default();
    (received.len() >= head + len).then_some((id, head + len))
}

/// Sends a request that needs a target to answer as in a case.
async fn call(entry: &Entry, target: &Target, case: Case, id: &str) -> Option<Answer> {
    target
        .cases
        .lock()
        .expect("cases")
        .insert(id.to_owned(), case);
    // Requests differ, so that none is suspected of what happened to others.
    let mut call = request_to(entry.callers, &format!("{}{id}", case.path), id);
    call.headers
        .retain(|(n, _)| !["deadline-ms", "prompt-prefix"].contains(n));
    call.headers.push(("deadline-ms", DEADLINE_MS.to_string()));
    if case.is_stream() {
        let number: u64 = id.bytes().fold(7, |n, b| n.wrapping_mul(31) + u64::from(b));
        call.headers
            .push(("prompt-prefix", format!("{number:x}:60")));
    }
    let answer = async {
        let response = call.send().await.ok()?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        use http_body_util::BodyExt;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some(Answer {
            status,
            headers,
            body,
        })
    };
    timeout(TIMEOUT, answer).await.expect("an end")
}

/// Whether a whole answer with status 200 is what the target has answered.
fn is_allowed(case: Case, head: usize, total: usize, body: &[u8]) -> bool {
    let whole = body == case.body().as_bytes();
    match case.framing {
        // The target's last byte may be cut off from the framing only.
        Framing::Length | Framing::Chunks => whole && case.cut == total,
        // An end of the connection is the end of the answer; a stream has events.
        Framing::Close if case.end == End::Closed && case.cut >= head => {
            let prefix = case.body().as_bytes().starts_with(body);
            prefix && (!case.is_stream() || body.ends_with(b"\n\n"))
        }
        Framing::Close => false,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_that_a_target_cuts_at_any_byte_never_looks_whole() {
    // Guards against a caller that gets status 200 with an empty or short body, framed as whole.
    let mut platform = Platform::start().await;
    let mut plan = config(2);
    for route in plan["routes"].as_array_mut().expect("routes") {
        route["max_attempts"] = json!(1);
    }
    platform.store.write("op", "config", &plan);
    let target = Arc::<Target>::default();
    for (id, service) in [("e0", "engines"), ("p0", "plain")] {
        let addr = target.start().await;
        let models = json!([{"name": MODEL, "version": 1, "adapters": []}]);
        let row = json!({"service": service, "address": addr.to_string(), "zone": "a", "version": "v1",
            "slots": 64, "state": "ready", "cold_left_ms": 0, "seq": 1, "models": models});
        platform.store.write("servers", id, &row);
    }
    let entry = platform.entry("front-0", 2).await;
    let mut cases = Vec::new();
    for path in ["/log/", "/check/", "/code/", "/probe/"] {
        for framing in [Framing::Length, Framing::Chunks, Framing::Close] {
            for end in [End::Closed, End::Reset, End::Silent] {
                let case = Case {
                    path,
                    framing,
                    end,
                    cut: 0,
                };
                let (head, rest) = answer(case, "case-00000");
                // Each byte around the framing, and every third one of the rest.
                let total = head.len() + rest.len();
                let at = (0..total).filter(|n| n % 3 == 0 || *n + 60 > head.len());
                cases.extend(at.map(|cut| Case { cut, ..case }));
            }
        }
    }
    let failures: Vec<_> = stream::iter(cases.into_iter().enumerate())
        .map(|(n, case)| {
            let (entry, target) = (&entry, &target);
            async move {
                // An answer before it leaves a connection to be kept.
                let warm = format!("warm-{n:05}");
                let path = if case.is_stream() {
                    "/probe/"
                } else {
                    "/check/"
                };
                let path = format!("{path}{warm}");
                let _ = request_to(entry.callers, &path, &warm).send().await;
                let id = format!("case-{n:05}");
                let received = call(entry, target, case, &id).await;
                let (head, rest) = answer(case, &id);
                let (head, total) = (head.len(), head.len() + rest.len());
                let received = received.filter(|a| a.status == 200)?;
                let allowed = is_allowed(case, head, total, &received.body);
                (!allowed).then(|| format!("{case:?} (head {head}, {total}): {:?}", received.body))
            }
        })
        .buffer_unordered(CALLERS)
        .filter_map(std::future::ready)
        .collect()
        .await;
    let runs = target.runs.lock().expect("runs");
    let cut = runs.iter().filter(|(id, _)| id.starts_with("case-"));
    assert!(
        cut.clone().count() > 2_000,
        "requests reach the target: {}",
        cut.count()
    );
    assert!(
        failures.is_empty(),
        "{}: {:#?}",
        failures.len(),
        failures.iter().take(10).collect::<Vec<_>>()
    );
    let once = |id: &String, n: &usize| *n > 1 && id.starts_with("case-");
    assert!(!runs.iter().any(|(id, n)| once(id, n)));
    let _ = &mut platform;
}
