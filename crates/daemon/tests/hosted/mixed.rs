//! Targets that answer with what is no answer: a status that isn't final, or a part of a body.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use futures::stream::{self, StreamExt};
use http_body_util::BodyExt;
use serde_json::json;
use standin::hosted::replica::Replica;
use standin::scripted::{self, Received};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::fleet::{config, fetch, request, Entry, Platform, MODEL, TIMEOUT};

/// Statuses that aren't final ones of HTTP.
const NOT_FINAL: [&str; 13] = [
    "000", "001", "099", "100", "101", "102", "199", "600", "700", "999", "abc", "20", "2000",
];

/// Answers with a status, and a body of stated length.
async fn answer_with(status: &str, mut received: Received) -> io::Result<()> {
    let body = "data: part\n\n";
    let head = received.head(&format!("{status} Odd"));
    let len = body.len();
    let answer = format!("{head}content-length: {len}\r\n\r\n{body}");
    received.tcp.write_all(answer.as_bytes()).await?;
    // A connection that closes at once may be the reason why the answer isn't passed on.
    sleep(Duration::from_millis(500)).await;
    Ok(())
}

/// An entry before a sound target and one that answers with a status, in each pool.
async fn start_with_status(status: &'static str) -> (Platform, Entry, Vec<JoinSet<()>>) {
    let mut platform = Platform::start().await;
    let mut tasks = Vec::new();
    for (service, sound, other) in [("plain", "p1", "p2"), ("engines", "e1", "e2")] {
        let replica = Replica::new(sound, 3, Duration::ZERO);
        replica.set_version(MODEL, 1);
        platform.replica(&replica, service).await;
        let replica = Replica::new(other, 3, Duration::ZERO);
        replica.set_version(MODEL, 1);
        let answer = move |received| answer_with(status, received);
        let (odd, served) = scripted::start(None, answer).await.expect("a target");
        platform.list(&replica, service, odd, "ready");
        tasks.push(served);
    }
    let entry = platform.entry("front-1", 4).await;
    (platform, entry, tasks)
}

async fn check_status(status: &'static str) {
    let (_platform, entry, _tasks) = start_with_status(status).await;
    for (path, expected) in [
        ("/check/1", &[200][..]),
        ("/log/1", &[200, 502][..]),
        ("/code/1", &[200, 502, 503][..]),
        ("/probe/1", &[200, 502, 503][..]),
    ] {
        for n in 0..6 {
            let id = format!("{}-{n}", &path[1..4]);
            let Ok(answer) = fetch(&entry, path, &id).await else {
                // A stream whose first target has no answer may be cut, but isn't answered falsely.
                assert!(!path.starts_with("/check/"), "{status}: {path}: cut");
                continue;
            };
            let got = answer.status;
            assert!(expected.contains(&got), "{status}: {path}: {got}");
            assert!(
                !answer.body.ends_with(b"data: part\n\n"),
                "{status}: {path}: {got} with the body of the odd answer"
            );
        }
    }
    let tried = entry.process.events("tried");
    for target in ["p2", "e2"] {
        let odd: Vec<_> = tried.iter().filter(|t| t["target"] == target).collect();
        assert!(!odd.is_empty(), "{status}: no request reached {target}");
        assert!(
            odd.iter().all(|t| t["ran"] == true),
            "{status}: counted as not run: {odd:?}"
        );
    }
}

#[tokio::test]
async fn status_that_is_not_final_is_no_answer() {
    // Guards against statuses outside 200 to 599 that callers get as the answer.
    stream::iter(NOT_FINAL)
        .for_each_concurrent(4, check_status)
        .await;
}

/// An event; a part of an answer that consists of whole events shows no cut.
const EVENT: &str = "data: part\n\n";

/// How a target ends an answer to an upload that is still being sent.
#[derive(Clone, Copy, Debug)]
struct EarlyEnd {
    /// Length of the request's body.
    upload: usize,
    /// Events in the part of the answer before the end.
    events: usize,
    /// Whether the connection is reset, or closed in order.
    resets: bool,
    /// Whether they are sent at once with the head.
    at_once: bool,
    /// Milliseconds after which the connection is reset.
    delay: u64,
    /// How much of the upload the target reads before.
    read: usize,
}

/// Answers at once with a 200 without a length, sends a part of the body and resets the connection.
async fn answer_early(case: EarlyEnd, mut received: Received) -> io::Result<()> {
    let mut buf = vec![0; 16 << 10];
    let mut read = received.body.len();
    while read < case.read.min(received.length) {
        let n = received.tcp.read(&mut buf).await?;
        if n == 0 {
            return Ok(());
        }
        read += n;
    }
    let head = received.head("200 OK");
    let part = EVENT.repeat(case.events);
    let head = format!("{head}connection: close\r\n\r\n");
    if case.at_once {
        let both = [head, part].concat();
        received.tcp.write_all(both.as_bytes()).await?;
    } else {
        received.tcp.write_all(head.as_bytes()).await?;
        sleep(Duration::from_millis(2)).await;
        received.tcp.write_all(part.as_bytes()).await?;
    }
    sleep(Duration::from_millis(case.delay)).await;
    match case.resets {
        true => received.tcp.set_zero_linger(),
        false => received.tcp.shutdown().await,
    }
}

/// Sends uploads to a target that ends early; returns how many answers looked whole.
async fn count_whole(path: &str, case: EarlyEnd, tries: usize) -> usize {
    let platform = Platform::start().await;
    let mut config = config(2);
    config["limits"]["max_body_bytes"] = json!(8_000_000);
    platform.store.write("op", "config", &config);
    let mut tasks = Vec::new();
    for (service, name) in [("plain", "p1"), ("engines", "e1")] {
        let answer = move |received| answer_early(case, received);
        let (early, served) = scripted::start(None, answer).await.expect("a target");
        tasks.push(served);
        let replica = Replica::new(name, 3, Duration::ZERO);
        replica.set_version(MODEL, 1);
        platform.list(&replica, service, early, "ready");
    }
    let entry = Arc::new(platform.entry("front-1", 2).await);
    let sent = stream::iter(0..tries).map(|n| {
        let entry = Arc::clone(&entry);
        async move {
            let id = format!("upload-{n}");
            let mut call = request(&entry, path, &id);
            call.body = vec![b'u'; case.upload].into();
            let exchange = async {
                let answer = call.send().await.ok()?;
                let is_success = answer.status().is_success();
                answer.into_body().collect().await.ok()?;
                Some(is_success)
            };
            timeout(TIMEOUT, exchange).await.expect("an end") == Some(true)
        }
    });
    let whole: Vec<bool> = sent.buffer_unordered(4).collect().await;
    whole.into_iter().filter(|w| *w).count()
}

#[tokio::test]
async fn part_of_an_answer_before_a_reset_is_not_whole() {
    // Guards against an error that the write side takes, so that the read side sees an ordinary end.
    const MIB: usize = 1 << 20;
    let mut cases = Vec::new();
    for (upload, read) in [
        (400_000, 0),
        (4 * MIB, 0),
        (4 * MIB, 500_000),
        (1_000, 1_000),
    ] {
        for (events, at_once) in [(1, true), (1, false), (20_000, true)] {
            for delay in [0, 3, 30] {
                cases.push(EarlyEnd {
                    upload,
                    events,
                    at_once,
                    delay,
                    read,
                    resets: true,
                });
            }
        }
    }
    let paths = ["/log/1", "/check/1", "/code/1", "/probe/1"];
    let all = cases.iter().flat_map(|c| paths.map(|p| (p, *c)));
    let found = stream::iter(all)
        .map(|(path, case)| async move { (path, case, count_whole(path, case, 4).await) })
        .buffer_unordered(4)
        .collect::<Vec<_>>()
        .await;
    // The same part is whole if its connection is closed in order, which shows that the check sees it.
    let closed = EarlyEnd {
        resets: false,
        ..cases[cases.len() - 1]
    };
    for path in paths {
        assert!(count_whole(path, closed, 2).await > 0, "{path}");
    }
    let whole: Vec<_> = found.into_iter().filter(|(_, _, n)| *n > 0).collect();
    assert!(whole.is_empty(), "{whole:#?}");
}
