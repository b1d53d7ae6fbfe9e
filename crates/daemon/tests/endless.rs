//! Servers behind the product's own interface that answer with bytes without end.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use common::{quick, Fleet};
use hyper::Method;
use standin::endless::{Endless, EndlessServer};
use store::{Call, Client, HttpError};
use tokio::runtime::Runtime;

/// Memory of a sidecar in KiB.
const SIDECAR_MEMORY: u64 = 192_000;
/// Time limit of calls whose responses are given up before it.
const CALL_LIMIT: Duration = Duration::from_secs(20);

fn resident_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.expect("the state of the process");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let figure = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
    figure.expect("its memory")
}

/// Guards against events that are collected without a bound.
#[test]
fn event_without_end_fills_no_memory_of_a_sidecar() {
    let runtime = Runtime::new().expect("a runtime");
    for kind in [Endless::Chunks, Endless::HeaderValue] {
        let mut fleet = Fleet::start(1, 0, &quick());
        let at = fleet.service_at.at;
        fleet.service_at.kill();
        let started = runtime.block_on(EndlessServer::start_at(at, kind));
        let (server, _tasks) = started.expect("a server");
        let answer = fleet.caller(0).get("/records/vote");
        assert!(server.received() > 0, "{kind:?}");
        assert!(!answer.is_complete_stream(), "{kind:?}");
        assert_ne!(answer.header("x-outcome"), Some("not-run"), "{kind:?}");
        let most = resident_kib(fleet.fieldops.id());
        assert!(most < SIDECAR_MEMORY, "{kind:?}: {most} KiB");
    }
}

/// Guards against responses of engines and of the platform that are collected without a bound.
#[test]
fn response_without_end_is_given_up() {
    let runtime = Runtime::new().expect("a runtime");
    for kind in Endless::ALL {
        // Neither informational answers nor small chunks reach a length soon.
        let is_slow = matches!(
            kind,
            Endless::Informational
                | Endless::Continue
                | Endless::EmptyLines
                | Endless::Chunks
                | Endless::EmptyEvents
        );
        let limit = match is_slow {
            true => Duration::from_millis(500),
            false => CALL_LIMIT,
        };
        let answer = runtime.block_on(async {
            let (server, _tasks) = EndlessServer::start(kind).await.expect("a server");
            let uri = format!("http://{}/load", server.addr());
            let call = Call::new(Method::GET, uri, limit);
            Client::default().call(call).await
        });
        match kind {
            Endless::Body | Endless::HugeChunk | Endless::LongHead => {
                assert_matches!(answer, Err(HttpError::TooLong))
            }
            _ if is_slow => assert_matches!(answer, Err(_), "{kind:?}"),
            _ => assert_matches!(answer, Err(HttpError::Lost(_)), "{kind:?}"),
        }
    }
}
