//! Servers that answer with bytes without end, in a head or a body.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use http_body_util::BodyExt;
use serde_json::json;
use standin::endless::{Endless, EndlessServer};
use standin::hosted::replica::Replica;
use standin::link::Link;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::fleet::{config, fetch, max_resident, request, Entry, Platform, KEY, MODEL, TIMEOUT};

/// Memory of the smallest host for entries, in KiB.
const ENTRY_MEMORY: u64 = 110_000;
/// Memory of the smallest host for sidecars, in KiB.
const SIDECAR_MEMORY: u64 = 192_000;
/// Requests at the same time on each route.
const REQUESTS: usize = 24;
/// Requests at the same time to one service.
const MANY_REQUESTS: usize = 200;
/// Deadline that requests state, and how much later their answers may end.
const DEADLINE: Duration = Duration::from_millis(3_000);
const SLACK: Duration = Duration::from_millis(500);
/// Time within which a call to the store or to an engine's own interface is closed.
const CALL_LIMIT: Duration = Duration::from_millis(2_000);
/// Time within which a change is in force after the store is back.
const CONTACT: Duration = Duration::from_millis(3_000);

async fn wait_until_closed(server: &EndlessServer) {
    while server.open() > 0 {
        sleep(Duration::from_millis(10)).await;
    }
}

/// Sends a request and checks that its answer is true.
async fn check_request(case: Endless, entry: &Entry, path: &str, id: &str, ends: &EndlessServer) {
    let began = Instant::now();
    let exchange = async {
        let answer = request(entry, path, id).send().await?;
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await;
        Ok::<_, standin::call::CallError>((status, body))
    };
    let ended = timeout(TIMEOUT, exchange).await;
    let took = began.elapsed();
    assert!(took < DEADLINE + SLACK, "{case:?}: {path} took {took:?}");
    let Ok((status, body)) = ended.expect("an end") else {
        panic!("{case:?}: {path} has no answer");
    };
    let (once, passed) = (path.starts_with("/log/"), ends.has_received(id));
    // Refusals promise that the request has not run.
    let refused = [408, 421, 429, 503].contains(&status);
    assert!(!(once && passed && refused), "{case:?}: {id}: {status}");
    // An answer that arrives whole is the sound target's.
    if status == 200 && once && passed {
        assert!(body.is_err(), "{case:?}: {id} looks complete");
    }
    if let (200, Ok(body)) = (status, body) {
        let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        assert!(!text.contains("xxxx"), "{case:?}: {id} looks complete");
    }
}

async fn check_targets(case: Endless) {
    let mut platform = Platform::start().await;
    let (endless, _tasks) = EndlessServer::start(case).await.expect("a server");
    for (service, sound, other) in [("plain", "p1", "p2"), ("engines", "e1", "e2")] {
        for (name, at) in [(sound, None), (other, Some(endless.addr()))] {
            let replica = Replica::new(name, 3, Duration::ZERO);
            replica.set_version(MODEL, 1);
            match at {
                None => drop(platform.replica(&replica, service).await),
                Some(at) => platform.list(&replica, service, at, "ready"),
            }
        }
    }
    let entry = Arc::new(platform.entry("front-1", 4).await);
    let endless = Arc::new(endless);
    // Each caller is a task of its own, as one task for all of them reads later than the entry sends.
    let mut requests = JoinSet::new();
    for path in ["/check/1", "/log/1", "/code/1", "/probe/1"] {
        for n in 0..REQUESTS {
            let (entry, endless) = (Arc::clone(&entry), Arc::clone(&endless));
            let id = format!("{n}-{}", &path[1..4]);
            requests.spawn(async move { check_request(case, &entry, path, &id, &endless).await });
        }
    }
    let load = async { drop(requests.join_all().await) };
    let (most, ()) = max_resident(&entry.process, load).await;
    assert!(endless.received() > 0, "{case:?}");
    assert!(most < ENTRY_MEMORY, "{case:?}: {most} KiB");
    let closed = timeout(SLACK, wait_until_closed(&endless)).await;
    assert!(closed.is_ok(), "{case:?}: {} are open", endless.open());
    assert!(endless.longest() < DEADLINE + SLACK, "{case:?}");
    let served = async {
        let mut n = 0;
        while fetch(&entry, "/check/1", &format!("later-{n}"))
            .await
            .is_ok_and(|a| a.status != 200)
        {
            n += 1;
        }
    };
    let served = timeout(CONTACT, served).await;
    assert!(served.is_ok(), "{case:?}: no service");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn target_that_sends_without_end_fills_no_memory_and_gets_no_false_answer() {
    // Guards against answers that are collected or waited for without a bound.
    for case in Endless::ALL {
        check_targets(case).await;
    }
}

async fn check_many(case: Endless) {
    let platform = Platform::start().await;
    let (endless, _tasks) = EndlessServer::start(case).await.expect("a server");
    let service = Replica::new("p1", 0, Duration::ZERO);
    platform.list(&service, "plain", endless.addr(), "ready");
    let entry = platform.entry("front-1", 1).await;
    let load = async {
        let requests = (0..MANY_REQUESTS).map(|n| {
            let (entry, endless) = (&entry, &endless);
            let id = format!("log-{n}");
            async move { check_request(case, entry, "/log/1", &id, endless).await }
        });
        join_all(requests).await;
    };
    let (most, ()) = max_resident(&entry.process, load).await;
    assert!(most < ENTRY_MEMORY, "{case:?}: {most} KiB");
}

#[tokio::test]
async fn many_answers_without_end_fill_no_memory_together() {
    // Guards against a bound for each answer alone, which many answers at the same time exceed.
    for case in [Endless::Body, Endless::HugeChunk, Endless::LongHead] {
        check_many(case).await;
    }
}

/// What a caller or another process sends without end, before it and again and again.
struct Sender {
    name: &'static str,
    start: Vec<u8>,
    block: &'static [u8],
}

/// Connections of senders at the same time, and how long they send.
const SENDERS: usize = 48;
const SENDING_TIME: Duration = Duration::from_millis(2_500);

/// Sends on many connections, which are opened again once they are closed, while other requests are served.
async fn check_senders(entry: &Entry, to: SocketAddr, sender: &Sender) {
    let end = Instant::now() + SENDING_TIME;
    let send = async || {
        while Instant::now() < end {
            let Ok(mut tcp) = TcpStream::connect(to).await else {
                continue;
            };
            let block = sender.block.repeat((32 << 10) / sender.block.len());
            if tcp.write_all(&sender.start).await.is_err() {
                continue;
            }
            while Instant::now() < end {
                let sent = timeout(Duration::from_millis(500), tcp.write_all(&block)).await;
                if !matches!(sent, Ok(Ok(()))) {
                    break;
                }
                tokio::task::yield_now().await;
            }
        }
    };
    let load = async {
        let senders = join_all((0..SENDERS).map(|_| send()));
        let ordinary = async {
            let mut served = 0;
            while Instant::now() < end {
                let answer = fetch(entry, "/check/1", &format!("beside-{served}")).await;
                served += usize::from(answer.is_ok_and(|a| a.status == 200));
                sleep(Duration::from_millis(50)).await;
            }
            served
        };
        futures::future::join(senders, ordinary).await.1
    };
    let (most, served) = max_resident(&entry.process, load).await;
    assert!(most < ENTRY_MEMORY, "{}: {most} KiB", sender.name);
    assert!(served > 0, "{}: no service", sender.name);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_or_process_that_sends_without_end_fills_no_memory() {
    // Guards against heads, bodies and messages that are kept without a bound, or with one for each connection alone.
    let head = format!(
        "POST /log/1 HTTP/1.1\r\nhost: poll.example\r\nattempt-id: a\r\ncredential: {KEY}\r\n"
    );
    let chunked = "transfer-encoding: chunked\r\n\r\n";
    let callers = [
        Sender {
            name: "empty lines",
            start: Vec::new(),
            block: b"\r\n",
        },
        Sender {
            name: "a method",
            start: Vec::new(),
            block: b"x",
        },
        Sender {
            name: "a value",
            start: format!("{head}x-more: ").into(),
            block: b"x",
        },
        Sender {
            name: "fields",
            start: head.clone().into(),
            block: b"x-more: x\r\n",
        },
        Sender {
            name: "a huge chunk",
            start: format!("{head}{chunked}fffffffffffff\r\n").into(),
            block: b"x",
        },
        Sender {
            name: "small chunks",
            start: format!("{head}{chunked}").into(),
            block: b"1\r\nx\r\n",
        },
        Sender {
            name: "a chunk's extension",
            start: format!("{head}{chunked}4;x=").into(),
            block: b"x",
        },
        Sender {
            name: "trailers",
            start: format!("{head}{chunked}4\r\nbody\r\n0\r\n").into(),
            block: b"x-more: x\r\n",
        },
    ];
    let mut platform = Platform::start().await;
    let plain = Replica::new("p1", 0, Duration::ZERO);
    platform.replica(&plain, "plain").await;
    let entry = platform.entry("front-1", 1).await;
    for sender in &callers {
        check_senders(&entry, entry.callers, sender).await;
    }
    let peer = platform.wait_for_member("front-1").await;
    // A length just below the longest, and the bytes of such a message.
    let length = ((8 << 20) - 1_u32).to_be_bytes().to_vec();
    let message = Sender {
        name: "a message",
        start: length,
        block: b"x",
    };
    check_senders(&entry, peer, &message).await;
}

async fn check_engine_interface(case: Endless) {
    let mut platform = Platform::start().await;
    let (endless, _tasks) = EndlessServer::start(case).await.expect("a server");
    let engine = Replica::new("e1", 3, Duration::ZERO);
    engine.set_version(MODEL, 1);
    let at = platform.start_replica(&engine).await;
    let (link, _links) = Link::start(at).await.expect("a link");
    platform.list(&engine, "engines", link.addr(), "ready");
    let sidecar = platform.sidecar("side-1", link.addr());
    let weights = |version: u64| {
        let row = json!({"model": MODEL, "version": version});
        platform.store.write("op", "version/lekha", &row);
    };
    weights(2);
    sidecar
        .wait_for_event("ordered", |e| e["outcome"] == "begun")
        .await;
    link.redirect(endless.addr());
    link.reset();
    let load = sleep(CONTACT);
    let (most, ()) = max_resident(&sidecar, load).await;
    assert!(endless.received() > 0, "{case:?}");
    assert!(most < SIDECAR_MEMORY, "{case:?}: {most} KiB");
    assert!(
        endless.longest() < CALL_LIMIT,
        "{case:?}: {:?}",
        endless.longest()
    );
    link.redirect(at);
    link.reset();
    weights(3);
    sidecar
        .wait_for_event("ordered", |e| e["outcome"] == "begun" && e["version"] == 3)
        .await;
}

#[tokio::test]
async fn engine_interface_that_sends_without_end_fills_no_memory_and_stops_no_sidecar() {
    // Guards against reports and events of an engine that are collected without a bound.
    join_all(Endless::ALL.map(check_engine_interface)).await;
}

async fn check_store(case: Endless) {
    let mut platform = Platform::start().await;
    let (endless, _tasks) = EndlessServer::start(case).await.expect("a server");
    let plain: Arc<Replica> = Replica::new("p1", 0, Duration::ZERO);
    platform.replica(&plain, "plain").await;
    let (link, _links) = Link::start(platform.store_addr).await.expect("a link");
    let entry = platform.entry_on("front-1", link.addr(), 1).await;
    link.redirect(endless.addr());
    link.reset();
    let load = async {
        let end = Instant::now() + CONTACT;
        let mut n = 0;
        while Instant::now() < end {
            let answer = fetch(&entry, "/log/1", &format!("meanwhile-{n}")).await;
            assert_eq!(answer.expect("an answer").status, 200, "{case:?}");
            n += 1;
            sleep(Duration::from_millis(50)).await;
        }
    };
    let (most, ()) = max_resident(&entry.process, load).await;
    assert!(endless.received() > 0, "{case:?}");
    assert!(most < ENTRY_MEMORY, "{case:?}: {most} KiB");
    assert!(
        endless.longest() < CALL_LIMIT,
        "{case:?}: {:?}",
        endless.longest()
    );
    let mut revoked = config(2);
    revoked["tenants"][0]["api_keys"] = json!(["another"]);
    platform.store.write("op", "config", &revoked);
    link.redirect(platform.store_addr);
    link.reset();
    let in_force = entry
        .process
        .wait_for_event("configured", |e| e["version"] == 2);
    let in_force = timeout(CONTACT, in_force).await;
    assert!(in_force.is_ok(), "{case:?}: not in force");
}

#[tokio::test]
async fn store_that_sends_without_end_fills_no_memory_and_stops_no_service() {
    // Guards against answers of the store that are collected or waited for without a bound.
    join_all(Endless::ALL.map(check_store)).await;
}
