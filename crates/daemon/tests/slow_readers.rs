//! Callers of the product's own interface that read slowly, or vanish.

#![allow(unreachable_pub, reason = "modules of one test program")]

mod common;
#[allow(dead_code, reason = "this program uses a part of it")]
#[path = "common/slow_reader.rs"]
mod slow_reader;

use std::time::Duration;

use bytes::Bytes;
use common::{completion, quick, wait_for, Fleet, StandIn, API_KEY};
use futures::future::join_all;
use slow_reader::{open_sockets, vanish, SlowReader};
use tokio::io::AsyncReadExt;
use tokio::time::{sleep, timeout};
use viz::{Body, Request, Response, Router};

/// Header in which a request states the length of its answer.
const ANSWER_SIZE: &str = "x-answer-size";
/// Deadline that the callers state; most answers take several times as long to be read.
const DEADLINE_MS: u64 = 2_500;
/// Least length of a token's event.
const EVENT_SIZE: usize = 40;
/// Time within which a caller that acknowledges nothing is disconnected: 5 s, and two probes at most 2 s apart.
const VANISHED_LIMIT: Duration = Duration::from_secs(10);

/// A plain service that answers with as many bytes as a request asks for.
fn service() -> Router {
    Router::new().any("/*", |request: Request| async move {
        let size = request.headers().get(ANSWER_SIZE);
        let size = size.and_then(|v| v.to_str().ok()?.parse().ok());
        let body = match request.uri().path() {
            "/load" => Bytes::from_static(br#"{"incarnation":1,"running":0}"#),
            _ => Bytes::from(vec![b'x'; size.unwrap_or(4)]),
        };
        Ok::<_, viz::Error>(Response::new(Body::Full(body.into())))
    })
}

fn start() -> Fleet {
    let mut fleet = Fleet::start(1, 1, &quick());
    fleet.service_at.kill();
    fleet.service_at = StandIn::start(fleet.service_at.at, service());
    fleet
}

fn request(reader: &SlowReader) -> Vec<u8> {
    let body = match reader.path {
        "/v1/completions" => completion("a prompt", reader.length / EVENT_SIZE, true),
        _ => String::new(),
    };
    format!(
        "POST {} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {API_KEY}\r\nx-deadline-ms: {DEADLINE_MS}\r\n\
         {ANSWER_SIZE}: {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        reader.path,
        reader.length,
        body.len()
    )
    .into_bytes()
}

/// Guards against connections that end because a window stays closed, or because a time has passed, although their
/// callers read on.
#[test]
fn answer_is_whole_however_slowly_its_caller_reads() {
    let ms = Duration::from_millis;
    #[rustfmt::skip]
    let readers = [
        SlowReader { name: "least window, short answer", path: "/quota/1", buffer: 1_024, length: 4_800, piece: 400, pause: ms(300) },
        SlowReader { name: "least window, longer answer", path: "/quota/1", buffer: 1_024, length: 20_000, piece: 1_600, pause: ms(300) },
        SlowReader { name: "least window, rare pieces", path: "/quota/1", buffer: 1_024, length: 6_000, piece: 1_200, pause: ms(2_500) },
        SlowReader { name: "large window, long answer", path: "/quota/1", buffer: 128 << 10, length: 700_000, piece: 20_000, pause: ms(300) },
        SlowReader { name: "least window, stream", path: "/v1/completions", buffer: 1_024, length: 20_000, piece: 1_600, pause: ms(300) },
    ];
    let fleet = start();
    let at = fleet.entries[0].address("callers");
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let ended = runtime.block_on(join_all(readers.iter().map(|r| async move {
        let tcp = r.send(at, &request(r)).await;
        r.read(tcp).await
    })));
    let lost: Vec<_> = ended.into_iter().filter_map(Result::err).collect();
    assert!(lost.is_empty(), "{lost:#?}");
}

/// Guards against vanished callers that hold connections for as long as slow ones may.
#[test]
fn caller_that_acknowledges_nothing_is_disconnected() {
    let ms = Duration::from_millis;
    #[rustfmt::skip]
    let readers = [
        SlowReader { name: "closed window", path: "/quota/1", buffer: 1_024, length: 60_000, piece: 400, pause: ms(300) },
        SlowReader { name: "stream", path: "/v1/completions", buffer: 1_024, length: 20_000, piece: 400, pause: ms(300) },
    ];
    let fleet = start();
    let (at, id) = (fleet.entries[0].address("callers"), fleet.entries[0].id());
    wait_for("an idle entry", || {
        fleet.caller(0).post("/quota/1", "body").status == 200
    });
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let mut callers = Vec::new();
        for reader in &readers {
            let mut tcp = reader.send(at, &request(reader)).await;
            let mut piece = vec![0; reader.piece];
            tcp.read_exact(&mut piece).await.expect("a piece");
            callers.push(tcp);
        }
        sleep(ms(1_000)).await;
        let open = open_sockets(id);
        callers.iter().for_each(vanish);
        let closed = async {
            while open_sockets(id) + readers.len() > open {
                sleep(ms(50)).await;
            }
        };
        let closed = timeout(VANISHED_LIMIT, closed).await;
        let now = open_sockets(id);
        assert!(closed.is_ok(), "{now} sockets are open, {open} before");
    });
}
