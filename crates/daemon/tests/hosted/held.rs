//! What entries believe of the parts that engines hold.

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

use crate::fleet::{request, Entry, Platform, Process, LIMIT, MODEL};

/// The scope under which the engine's parts lie.
const SCOPE: &str = "lekha.1";

/// An engine, its sidecar, and a socket that asks like an entry that has just started. It isn't among
/// the members, so that it hears only because it has asked.
struct Beside {
    _platform: Platform,
    engine: Arc<Replica>,
    sidecar: SocketAddr,
    _process: Process,
    socket: UdpSocket,
    /// What it has been told.
    held: Mutex<BTreeMap<u64, u32>>,
}

impl Beside {
    async fn start(fill: impl FnOnce(&mut PromptCache)) -> Self {
        let mut platform = Platform::start().await;
        let engine = Replica::new("e1", 2, Duration::ZERO);
        engine.set_version(MODEL, 1);
        engine.with_cache(fill);
        let at = platform.replica(&engine, "engines").await;
        let process = platform.sidecar("side-1", at);
        let sidecar = platform.member("side-1").await;
        Self {
            _platform: platform,
            engine,
            sidecar,
            _process: process,
            socket: UdpSocket::bind("127.0.0.1:0").await.expect("a socket"),
            held: Mutex::default(),
        }
    }

    /// Asks to be told, and hears until what is held is this.
    async fn hears(&self, parts: &[(&str, u32)]) {
        let want: BTreeMap<u64, u32> = parts.iter().map(|(p, n)| (id(p), *n)).collect();
        self.socket.writable().await.expect("a socket");
        let asks = Update {
            entry: true,
            asks: true,
            ..Update::default()
        };
        update::send(&self.socket, &asks, [self.sidecar]);
        let heard = async {
            while *self.held.lock().expect("parts") != want {
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
        let heard = timeout(LIMIT, heard).await;
        assert!(heard.is_ok(), "last: {:?}", self.held.lock());
    }
}

fn id(part: &str) -> u64 {
    u64::from_str_radix(part, 16).expect("a part's id")
}

#[tokio::test]
async fn an_entry_that_starts_is_told_at_once_what_is_held() {
    // All entries of a fleet start at one moment, after a loss of power. Sidecars tell changes at once
    // but the rest every few seconds only; for that long each subject was read again wherever its
    // request went, and callers waited for it.
    let held = [("a1", 20), ("b2", 30)];
    let beside = Beside::start(|c| held.iter().for_each(|(p, n)| c.store(SCOPE, p, *n))).await;
    beside.hears(&held).await;
}

#[tokio::test]
async fn what_was_dropped_in_a_gap_is_no_longer_believed_in() {
    // A sidecar is slow, and its engine has told more changes than it keeps. What was dropped among
    // them would be believed in for as long as the weights last, and requests be sent there to wait
    // for parts that must be read again.
    let beside = Beside::start(|c| {
        c.store(SCOPE, "a1", 20);
        c.store(SCOPE, "b2", 30);
    })
    .await;
    beside.hears(&[("a1", 20), ("b2", 30)]).await;
    beside.engine.with_cache(|c| {
        c.store(SCOPE, "b2", 0);
        c.store(SCOPE, "c3", 10);
        c.drop_changes();
        c.store(SCOPE, "d4", 40);
    });
    beside.hears(&[("a1", 20), ("c3", 10), ("d4", 40)]).await;
    // The engine pauses for each list, so that it is read once and changes are followed again.
    beside.engine.with_cache(|c| c.store(SCOPE, "e5", 50));
    beside
        .hears(&[("a1", 20), ("c3", 10), ("d4", 40), ("e5", 50)])
        .await;
    assert_eq!(beside.engine.with_cache(|c| c.list_reads()), 1);
}

#[tokio::test]
async fn a_sidecar_that_starts_late_reads_the_whole_list() {
    // A sidecar is killed and starts again beside an engine that runs on. The engine tells its latest
    // changes only; what it has held for longer is known from the whole list.
    let beside = Beside::start(|c| {
        c.store(SCOPE, "a1", 20);
        c.store(SCOPE, "b2", 30);
        c.drop_changes();
        c.store(SCOPE, "c3", 10);
    })
    .await;
    beside.hears(&[("a1", 20), ("b2", 30), ("c3", 10)]).await;
}

/// Tokens of a part that is far sooner fetched than read.
const LARGE: u32 = 9_000;

/// A prompt of a large part and one of its own.
fn prompt(entry: &Entry, id: &str, parts: &str) -> Call {
    let mut call = request(entry, "/probe/1", id);
    let is_prompt = |name: &str| name == "token-counts" || name == "prompt-prefix";
    call.headers.retain(|(name, _)| !is_prompt(name));
    let counts = format!("{},10", LARGE + 10);
    call.headers.push(("token-counts", counts));
    call.headers.push(("prompt-prefix", parts.to_owned()));
    call
}

#[tokio::test]
async fn nothing_is_fetched_from_an_engine_with_other_weights() {
    // An engine has loaded newer weights while an answer went on. When that ends, its parts lie there
    // under the scope of the older weights, though the newer ones have made them. An engine that still
    // has the older ones is sent a prompt with these parts; if it fetches them, the caller's answer comes
    // out of two versions.
    let mut platform = Platform::start().await;
    let newer = Replica::new("e1", 2, Duration::ZERO);
    newer.set_version(MODEL, 2);
    newer.with_cache(|c| {
        c.store(SCOPE, "a1", LARGE);
        c.store("lekha.2", "d4", LARGE);
    });
    let older = Replica::new("e2", 2, Duration::ZERO);
    older.set_version(MODEL, 1);
    let at = platform.replica(&newer, "engines").await;
    platform.replica(&older, "engines").await;
    let sidecar = platform.sidecar("side-1", at);
    let entry = platform.entry("front-1", 2).await;
    sidecar.event("members", |e| e["entries"] == 1).await;
    // The entry has been told all that is held once it knows of another part that came with it.
    let told = async {
        let mut n = 0;
        let knows = |e: &serde_json::Value| e["held"] == LARGE;
        while !entry.process.events("sent").iter().any(knows) {
            n += 1;
            let call = prompt(
                &entry,
                &format!("known-{n}"),
                &format!("d4:{LARGE},{n:x}:10"),
            );
            call.send().await.expect("an answer");
        }
    };
    timeout(LIMIT, told).await.expect("an entry that knows");
    let served = async {
        let mut n = 0;
        while !older.requests().iter().any(|s| s.ran) {
            n += 1;
            let parts = format!("a1:{LARGE},{n:x}:10");
            let call = prompt(&entry, &format!("other-{n}"), &parts);
            let answer = call.send().await.expect("an answer");
            assert_eq!(answer.status(), 200);
        }
    };
    timeout(LIMIT, served)
        .await
        .expect("a prompt at the older one");
    let fetched: Vec<_> = older
        .requests()
        .iter()
        .filter_map(|s| s.headers.get("kv-fetch").cloned())
        .collect();
    assert!(
        fetched.is_empty(),
        "fetched from newer weights: {fetched:?}"
    );
}
