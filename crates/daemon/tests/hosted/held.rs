//! Cached prompt parts that sidecars report to entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gate::update::{self, Update};
use standin::call::Call;
use standin::hosted::prompt_cache::PromptCache;
use standin::hosted::replica::Replica;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::fleet::{request, Entry, Platform, Process, MODEL, TIMEOUT};

/// Cache scope of the engine's parts.
const SCOPE: &str = "lekha.1";

/// An engine, its sidecar, and a socket that requests updates like an entry that has just started.
/// The socket isn't listed among the members, so it gets updates only on request.
struct UpdateClient {
    _platform: Platform,
    engine: Arc<Replica>,
    sidecar: SocketAddr,
    _process: Process,
    socket: UdpSocket,
    /// Reported parts with their numbers of tokens.
    held: Mutex<BTreeMap<u64, u32>>,
}

impl UpdateClient {
    async fn start(fill: impl FnOnce(&mut PromptCache)) -> Self {
        let mut platform = Platform::start().await;
        let engine = Replica::new("e1", 2, Duration::ZERO);
        engine.set_version(MODEL, 1);
        engine.with_cache(fill);
        let at = platform.replica(&engine, "engines").await;
        let process = platform.sidecar("side-1", at);
        let sidecar = platform.wait_for_member("side-1").await;
        Self {
            _platform: platform,
            engine,
            sidecar,
            _process: process,
            socket: UdpSocket::bind("127.0.0.1:0").await.expect("a socket"),
            held: Mutex::default(),
        }
    }

    /// Requests updates and receives them until exactly these parts are reported as held.
    async fn expect_held(&self, parts: &[(&str, u32)]) {
        let expected: BTreeMap<u64, u32> = parts.iter().map(|(p, n)| (part_id(p), *n)).collect();
        self.socket.writable().await.expect("a socket");
        let query = Update {
            entry: true,
            asks: true,
            ..Update::default()
        };
        update::send(&self.socket, &query, [self.sidecar]);
        let receive = async {
            while *self.held.lock().expect("parts") != expected {
                let (update, _) = update::receive(&self.socket).await;
                let mut held = self.held.lock().expect("parts");
                for p in update.parts {
                    match p.tokens {
                        0 => held.remove(&p.part),
                        n => held.insert(p.part, n),
                    };
                }
            }
        };
        let result = timeout(TIMEOUT, receive).await;
        assert!(result.is_ok(), "last reported: {:?}", self.held.lock());
    }
}

fn part_id(part: &str) -> u64 {
    u64::from_str_radix(part, 16).expect("a part's id")
}

#[tokio::test]
async fn starting_entry_gets_all_held_parts_at_once() {
    // Sidecars report changes at once but other held parts only every few seconds. All entries that
    // start after a power loss lack these, and prompts are prefilled again until they arrive.
    let held = [("a1", 20), ("b2", 30)];
    let client =
        UpdateClient::start(|c| held.iter().for_each(|(p, n)| c.store(SCOPE, p, *n))).await;
    client.expect_held(&held).await;
}

#[tokio::test]
async fn parts_dropped_during_a_gap_in_the_change_history_are_removed() {
    // A slow sidecar misses changes that its engine no longer keeps. Parts dropped in these changes
    // would count as held until the weights change, and requests sent for them prefill them again.
    let client = UpdateClient::start(|c| {
        c.store(SCOPE, "a1", 20);
        c.store(SCOPE, "b2", 30);
    })
    .await;
    client.expect_held(&[("a1", 20), ("b2", 30)]).await;
    client.engine.with_cache(|c| {
        c.store(SCOPE, "b2", 0);
        c.store(SCOPE, "c3", 10);
        c.drop_changes();
        c.store(SCOPE, "d4", 40);
    });
    client
        .expect_held(&[("a1", 20), ("c3", 10), ("d4", 40)])
        .await;
    // Each read of the list pauses the engine; it is read once, then changes are followed again.
    client.engine.with_cache(|c| c.store(SCOPE, "e5", 50));
    client
        .expect_held(&[("a1", 20), ("c3", 10), ("d4", 40), ("e5", 50)])
        .await;
    assert_eq!(client.engine.with_cache(|c| c.list_reads()), 1);
}

#[tokio::test]
async fn restarted_sidecar_reads_the_full_list_of_parts() {
    // A sidecar restarts while its engine keeps running. The engine's change history covers only
    // the latest changes; parts held for longer appear only in the full list.
    let client = UpdateClient::start(|c| {
        c.store(SCOPE, "a1", 20);
        c.store(SCOPE, "b2", 30);
        c.drop_changes();
        c.store(SCOPE, "c3", 10);
    })
    .await;
    client
        .expect_held(&[("a1", 20), ("b2", 30), ("c3", 10)])
        .await;
}

/// Tokens of a part whose fetch takes far less time than its prefill.
const LARGE_TOKENS: u32 = 9_000;

/// A request whose prompt consists of a large part and a small one of 10 tokens.
fn prompt_request(entry: &Entry, id: &str, parts: &str) -> Call {
    let mut call = request(entry, "/probe/1", id);
    let is_prompt = |name: &str| name == "token-counts" || name == "prompt-prefix";
    call.headers.retain(|(name, _)| !is_prompt(name));
    let counts = format!("{},10", LARGE_TOKENS + 10);
    call.headers.push(("token-counts", counts));
    call.headers.push(("prompt-prefix", parts.to_owned()));
    call
}

#[tokio::test]
async fn parts_are_never_fetched_from_an_engine_with_other_weights() {
    // An engine that loads newer weights during an answer stores its parts under the older scope.
    // If an engine with the older weights fetches these parts, the answer mixes two versions.
    let mut platform = Platform::start().await;
    let newer = Replica::new("e1", 2, Duration::ZERO);
    newer.set_version(MODEL, 2);
    newer.with_cache(|c| {
        c.store(SCOPE, "a1", LARGE_TOKENS);
        c.store("lekha.2", "d4", LARGE_TOKENS);
    });
    let older = Replica::new("e2", 2, Duration::ZERO);
    older.set_version(MODEL, 1);
    let at = platform.replica(&newer, "engines").await;
    platform.replica(&older, "engines").await;
    let sidecar = platform.sidecar("side-1", at);
    let entry = platform.entry("front-1", 2).await;
    sidecar
        .wait_for_event("members", |e| e["entries"] == 1)
        .await;
    // Part d4 is reported together with a1, so the entry has both once it counts d4 as held.
    let report = async {
        let mut n = 0;
        let is_known = |e: &serde_json::Value| e["held"] == LARGE_TOKENS;
        while !entry.process.events("sent").iter().any(is_known) {
            n += 1;
            let call = prompt_request(
                &entry,
                &format!("known-{n}"),
                &format!("d4:{LARGE_TOKENS},{n:x}:10"),
            );
            call.send().await.expect("an answer");
        }
    };
    timeout(TIMEOUT, report)
        .await
        .expect("the parts are reported");
    let served = async {
        let mut n = 0;
        while !older.requests().iter().any(|s| s.ran) {
            n += 1;
            let parts = format!("a1:{LARGE_TOKENS},{n:x}:10");
            let call = prompt_request(&entry, &format!("other-{n}"), &parts);
            let answer = call.send().await.expect("an answer");
            assert_eq!(answer.status(), 200);
        }
    };
    timeout(TIMEOUT, served)
        .await
        .expect("a request at the engine with older weights");
    let fetched: Vec<_> = older
        .requests()
        .iter()
        .filter_map(|s| s.headers.get("kv-fetch").cloned())
        .collect();
    assert!(
        fetched.is_empty(),
        "parts fetched from an engine with newer weights: {fetched:?}"
    );
}
