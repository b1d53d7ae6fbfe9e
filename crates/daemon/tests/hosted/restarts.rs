//! An engine that restarts under its id in the middle of traffic.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use standin::hosted::replica::{Fault, Replica};
use tokio::net::TcpStream;
use tokio::task::{yield_now, JoinSet};
use tokio::time::timeout;

use crate::fleet::{request, Platform, MODEL, TIMEOUT};

/// Tokens of the part that all prompts share.
const SHARED_TOKENS: u32 = 9_000;
/// Callers that send one request after the other.
const CALLERS: usize = 4;

#[tokio::test]
async fn new_start_of_an_engine_has_nothing_of_its_former_one() {
    // Guards against requests that are placed by what the former start held or had to do, and
    // against what the former start said about itself: it refused requests for ten minutes.
    struct Case {
        name: &'static str,
        former: fn(&Replica),
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "cache", former: |e| e.with_cache(|c| c.store("lekha.1", "a1", SHARED_TOKENS)) },
        Case { name: "requests in progress", former: |e| e.set_fault(Fault::Hang) },
        Case { name: "stated limit", former: |e| e.set_limit(Some(0.0)) },
        Case { name: "rest", former: |e| { e.set_rest(Some("600")); e.set_fault(Fault::Full); } },
        Case { name: "failures", former: |e| e.set_fault(Fault::Error) },
    ];
    for case in cases {
        let mut platform = Platform::start().await;
        let engine = Replica::new("e1", 5, Duration::from_millis(5));
        engine.set_version(MODEL, 1);
        engine.set_born(1);
        let at = platform.replica(&engine, "engines").await;
        let sidecar = platform.sidecar("side-1", at);
        let entry = Arc::new(platform.entry("front-1", 1).await);
        let knows = sidecar.wait_for_event("members", |e| e["entries"] == 1);
        knows.await;
        let mut traffic = JoinSet::new();
        for caller in 0..CALLERS {
            let entry = Arc::clone(&entry);
            traffic.spawn(async move {
                for n in 0.. {
                    let mut call = request(&entry, "/code/1", &format!("{caller}-{n}"));
                    let is_prompt = |name: &str| name == "token-counts" || name == "prompt-prefix";
                    call.headers.retain(|(name, _)| !is_prompt(name));
                    let counts = format!("{},10", SHARED_TOKENS + 10);
                    call.headers.push(("token-counts", counts));
                    let parts = format!("a1:{SHARED_TOKENS},{caller}{n:x}:10");
                    call.headers.push(("prompt-prefix", parts));
                    // Requests fail while the engine is away or refuses them.
                    let _ = timeout(TIMEOUT, call.fetch()).await;
                }
            });
        }
        let answered = |e: &Value| e["status"] == 200;
        entry.process.wait_for_event("answered", answered).await;
        let is_held = |e: &Value| e["held"] == SHARED_TOKENS;
        entry.process.wait_for_event("sent", is_held).await;
        (case.former)(&engine);
        let known = entry.process.events("sent").len() + 2 * CALLERS;
        let is_known = async {
            while entry.process.events("sent").len() < known
                && entry.process.events("refused").len() < CALLERS
                && engine.running() < CALLERS
            {
                yield_now().await;
            }
        };
        timeout(TIMEOUT, is_known).await.expect(case.name);

        let crashed_at = entry
            .process
            .lines()
            .last()
            .and_then(|l| l["up_ms"].as_u64());
        engine.crash();
        engine.restart_under_its_id(2);
        engine.set_fault(Fault::None);
        engine.set_limit(None);
        engine.set_rest(None);
        let is_down = async {
            while TcpStream::connect(at).await.is_ok() {
                yield_now().await;
            }
        };
        timeout(TIMEOUT, is_down).await.expect(case.name);
        engine.recover();
        platform.list_incarnation(&engine, "engines", at, "ready", 2);

        let is_new = |e: &Value| e["state"] == "ready" && e["up_ms"].as_u64() > crashed_at;
        entry.process.wait_for_event("target", is_new).await;
        let first_sent = |lines: Vec<Value>| {
            let mut lines = lines.into_iter();
            lines.find(|e| e["event"] == "target" && is_new(e))?;
            lines.find(|e| e["event"] == "sent")
        };
        let first = async {
            loop {
                match first_sent(entry.process.lines()) {
                    Some(first) => return first,
                    None => yield_now().await,
                }
            }
        };
        let first = timeout(TIMEOUT, first).await.expect(case.name);
        let is_served = |e: &Value| e["request"] == first["request"] && answered(e);
        entry.process.wait_for_event("answered", is_served).await;
        let idle = entry.process.events("sent").swap_remove(0);
        assert_eq!(first["held"], 0, "{}: {first}", case.name);
        let estimate = |e: &Value| e["estimate_ms"].as_f64().expect("an estimate");
        assert!(
            estimate(&first) <= estimate(&idle) * 1.5,
            "{}: {first} after {idle}",
            case.name
        );
    }
}
