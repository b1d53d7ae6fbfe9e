//! Requests that an entry gets late in its grace period.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use serde_json::json;
use standin::hosted::replica::Replica;
use standin::hosted::sample::settings;
use standin::scripted::{self, Received};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::fleet::{config, Entry, Platform, HOST, KEY, MODEL, TIMEOUT};

/// Grace period in the settings of the entry.
const GRACE_S: u64 = 5;
/// Time after the signal at which requests begin to arrive, and at which the entry refuses all.
const LATE: Duration = Duration::from_millis(2_000);
/// Connections of each case.
const CALLERS: usize = 4;
/// Events of a stream.
const EVENTS: u32 = 10;

/// A request that arrives late.
#[derive(Clone, Copy, Debug)]
struct Late {
    name: &'static str,
    path: &'static str,
    /// How long its target takes.
    takes: Duration,
    /// How long its body takes to arrive after its head.
    body_after: Duration,
    /// How long the entry is paused once the head was sent.
    paused: Duration,
    /// Whether the route has had such a request before.
    known: bool,
    /// Whether a success is due, as there is time for it.
    served: bool,
}

/// Runs a request for a time, and answers.
async fn answer_after(
    takes: Duration,
    runs: Arc<AtomicUsize>,
    received: Received,
) -> io::Result<()> {
    let mut tcp = received.tcp;
    let mut read = received.body.len();
    let mut piece = [0; 1_024];
    while read < received.length {
        match tcp.read(&mut piece).await? {
            0 => return Ok(()),
            n => read += n,
        }
    }
    // Engines are asked for reports as well.
    if received.id.starts_with("late-") {
        runs.fetch_add(1, Ordering::Relaxed);
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {}\r\nresponse-signature: s\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n",
        received.id
    );
    tcp.write_all(head.as_bytes()).await?;
    for _ in 0..EVENTS {
        sleep(takes / EVENTS).await;
        tcp.write_all(b"c\r\ndata: part\n\n\r\n").await?;
    }
    tcp.write_all(b"0\r\n\r\n").await
}

struct Subject {
    _platform: Platform,
    entry: Entry,
    runs: Arc<AtomicUsize>,
    _tasks: Vec<JoinSet<()>>,
}

async fn start(takes: Duration) -> Subject {
    let platform = Platform::start().await;
    let mut config = config(2);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(20_000);
    }
    platform.store.write("op", "config", &config);
    let runs = Arc::<AtomicUsize>::default();
    let mut tasks = Vec::new();
    for (service, name) in [("plain", "p1"), ("engines", "e1")] {
        let replica = Replica::new(name, 3, Duration::ZERO);
        replica.set_version(MODEL, 1);
        let counted = Arc::clone(&runs);
        let answer = move |r| answer_after(takes, Arc::clone(&counted), r);
        let (at, served) = scripted::start(None, answer).await.expect("a target");
        platform.list(&replica, service, at, "ready");
        tasks.push(served);
    }
    let mut lines = settings("front-1", platform.store_addr);
    lines.retain(|l| !l.starts_with("bounds.grace_s"));
    lines.push(format!("bounds.grace_s={GRACE_S}"));
    let entry = platform.start_entry_with(lines).await;
    for target in ["p1", "e1"] {
        let listed = |e: &serde_json::Value| e["target"] == target;
        entry.process.wait_for_event("target", listed).await;
    }
    Subject {
        _platform: platform,
        entry,
        runs,
        _tasks: tasks,
    }
}

/// What a caller has got: the status, and whether the answer is whole.
async fn call(subject: &Subject, case: Late, n: usize) -> (u16, bool) {
    let mut tcp = TcpStream::connect(subject.entry.callers)
        .await
        .expect("a connection");
    let model = match case.path.starts_with("/log/") {
        true => String::new(),
        false => format!("model: {MODEL}\r\ntoken-counts: 60,10\r\nprompt-prefix: a1:20\r\n"),
    };
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: late-{n}\r\ncredential: {KEY}\r\n{model}deadline-ms: 20000\r\nconnection: close\r\ncontent-length: 4\r\n\r\n",
        case.path
    );
    tcp.write_all(head.as_bytes()).await.expect("a head");
    sleep(case.body_after).await;
    // A refusal may come before the body.
    let _ = tcp.write_all(b"body").await;
    let mut answer = Vec::new();
    let end = timeout(TIMEOUT, tcp.read_to_end(&mut answer))
        .await
        .expect("an end");
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let chunked = text
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked");
    let whole = end.is_ok() && status != 0 && (!chunked || text.ends_with("\r\n0\r\n\r\n"));
    (status, whole)
}

async fn check(case: Late) -> Option<String> {
    let subject = start(case.takes).await;
    if case.known {
        let first = call(&subject, case, CALLERS).await;
        assert_eq!(first, (200, true), "{}", case.name);
    }
    let before = subject.runs.load(Ordering::Relaxed);
    subject.entry.process.signal("TERM");
    sleep(LATE).await;
    if !case.paused.is_zero() {
        subject.entry.process.signal("STOP");
    }
    let calls = join_all((0..CALLERS).map(|n| call(&subject, case, n)));
    let resume = async {
        if !case.paused.is_zero() {
            sleep(case.paused).await;
            subject.entry.process.signal("CONT");
        }
    };
    let (answers, ()) = futures::future::join(calls, resume).await;
    let ran = subject.runs.load(Ordering::Relaxed) - before;
    let succeeded = answers.iter().filter(|a| **a == (200, true)).count();
    let refused = answers.iter().filter(|a| **a == (503, true)).count();
    let is_right = succeeded + refused == CALLERS && ran == succeeded;
    let is_served = !case.served || succeeded == CALLERS;
    (!is_right || !is_served).then(|| format!("{}: {answers:?}, {ran} ran", case.name))
}

#[tokio::test]
async fn request_late_in_the_grace_is_answered_or_does_not_run() {
    // Guards against requests that are passed on and end after the process, which loses their answers.
    let ms = Duration::from_millis;
    let usual = Late {
        name: "short",
        path: "/log/1",
        takes: ms(300),
        body_after: ms(0),
        paused: ms(0),
        known: true,
        served: false,
    };
    #[rustfmt::skip]
    let cases = [
        Late { served: true, ..usual },
        Late { name: "short stream", path: "/code/1", served: true, ..usual },
        Late { name: "long", takes: ms(3_500), ..usual },
        Late { name: "long, the first of its kind", takes: ms(3_500), known: false, ..usual },
        Late { name: "long stream", path: "/code/1", takes: ms(3_500), ..usual },
        Late { name: "long resumable stream, the first", path: "/probe/1", takes: ms(3_500), known: false, ..usual },
        Late { name: "body that arrives late", takes: ms(1_500), body_after: ms(1_800), ..usual },
        Late { name: "body that arrives in time", takes: ms(300), body_after: ms(1_000), served: true, ..usual },
        Late { name: "entry paused", takes: ms(1_000), paused: ms(2_200), ..usual },
        Late { name: "entry paused, stream", path: "/code/1", takes: ms(1_000), paused: ms(2_200), ..usual },
    ];
    let wrong: Vec<_> = join_all(cases.map(check))
        .await
        .into_iter()
        .flatten()
        .collect();
    assert!(wrong.is_empty(), "{wrong:#?}");
}
