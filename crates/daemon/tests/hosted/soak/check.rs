//! What must hold in a run, from what callers got and what replicas saw.

use std::collections::HashMap;
use std::time::Duration;

use futures::future::join_all;
use serde_json::Value;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::callers::Outcome;
use super::world::{World, ENGINES, ENTRIES, EVENTS, REPLICAS, WIDER};
use crate::fleet::{ask_at, ready_at, LIMIT, MODEL};

/// Longest time until all is served again. What was asked for at each of several crashes in a row is
/// refused for 15 s at worst, and each of the four kinds may be.
const HEAL: Duration = Duration::from_secs(40);
/// Time after which a target that has left gets nothing new.
const LEFT: Duration = Duration::from_secs(2);
/// Time after the last fault from which on that holds.
const TOUCH: Duration = Duration::from_secs(3);
/// Milliseconds that orders of two holders are apart.
const LEASE: u64 = 3_000;
/// Requests to each entry after that; each of two targets would get some.
const ASKED: usize = 12;
/// Pause between two tries of what has to work again.
const AGAIN: Duration = Duration::from_millis(50);

/// Every entry serves again, and every engine has the newest weights.
pub async fn recovered(seed: u64, world: &World) {
    // All are asked at once, as by callers: what one entry finds out lets the others serve again.
    join_all((0..ENTRIES).map(|n| serves(seed, world, n))).await;
    let newest = *world.version.lock().expect("a version");
    for n in 0..ENGINES {
        let engine = &world.replicas[n].replica;
        let loaded = async {
            while engine.version(MODEL) < newest {
                sleep(AGAIN).await;
            }
        };
        let loaded = timeout(LIMIT, loaded).await;
        assert!(loaded.is_ok(), "seed {seed}: engine {n} has old weights");
    }
}

async fn serves(seed: u64, world: &World, n: usize) {
    let (callers, at) = {
        let entry = world.fronts[n].host.runs();
        (entry.callers, entry.ready)
    };
    let served = async {
        for path in ["/log/1", "/check/1", "/probe/1", "/code/1"] {
            for tries in 0.. {
                let id = format!("healed-{n}-{tries}-{path}");
                let answer = ask_at(callers, path, &id).await;
                if ready_at(at).await == 200 && answer.is_ok_and(|a| a.status == 200) {
                    break;
                }
                sleep(AGAIN).await;
            }
        }
    };
    let healed = timeout(HEAL, served).await;
    let tail = || world.fronts[n].host.runs().process.tail();
    assert!(
        healed.is_ok(),
        "seed {seed}: entry {n} doesn't serve again:\n{}",
        tail()
    );
}

/// A target takes its row away soon after the faults have ended; in time nothing new reaches it.
pub async fn left(seed: u64, world: &World, healed: Instant) {
    let target = &world.replicas[REPLICAS - 1].replica;
    world.platform.store.remove("servers", &target.id);
    sleep_until((Instant::now() + LEFT).max(healed + TOUCH)).await;
    for n in 0..ENTRIES {
        let callers = world.fronts[n].host.runs().callers;
        for tries in 0..ASKED {
            let id = format!("left-{n}-{tries}");
            // Served or not, it mustn't have been sent there.
            let _ = ask_at(callers, "/log/1", &id).await;
            let there = target.requests().iter().any(|s| s.id == id);
            let tail = || world.fronts[n].host.runs().process.tail();
            assert!(
                !there,
                "seed {seed}: entry {n} sends to who has left:\n{}",
                tail()
            );
        }
    }
}

/// The promises to callers, engines and the platform.
pub fn promises(seed: u64, world: &World, outcomes: &[Outcome]) {
    let runs = runs(world);
    for o in outcomes {
        let ran = runs.get(&o.id).copied().unwrap_or_default();
        answer(o, ran, &format!("seed {seed}: {o:?} ran {ran} times"));
    }
    for (n, behind) in world.replicas[..ENGINES].iter().enumerate() {
        match seed < WIDER {
            true => orders(seed, n, &behind.replica.orders()),
            false => passed_on(seed, n, &behind.replica.orders()),
        }
    }
    for (n, front) in world.fronts.iter().enumerate() {
        let ended = front.host.ended();
        assert!(!ended, "seed {seed}: entry {n} has ended by itself");
    }
    for (n, side) in world.sides.iter().enumerate() {
        assert!(
            !side.ended(),
            "seed {seed}: sidecar {n} has ended by itself"
        );
    }
}

/// Times that each request ran.
fn runs(world: &World) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    let seen = world.replicas.iter().flat_map(|r| r.replica.requests());
    for s in seen.filter(|s| s.ran) {
        *runs.entry(s.id).or_default() += 1;
    }
    runs
}

fn answer(o: &Outcome, ran: usize, told: &str) {
    assert!(!o.forgotten, "never answered: {told}\n{}", o.log);
    // Routes here allow two runs.
    let most = if matches!(o.path, "/log/1" | "/code/1") {
        1
    } else {
        2
    };
    assert!(ran <= most, "ran too often: {told}");
    let Some(a) = &o.answer else {
        return;
    };
    match a.status {
        200 => {
            let events = (1..=EVENTS).map(|n| format!("id: {n}\ndata: token {n}\n\n"));
            let whole = match o.path {
                "/code/1" | "/probe/1" => a.body == events.collect::<String>(),
                "/log/1" => a.body == "echo body",
                _ => a.body == "echo ",
            };
            let own = a.id.as_deref() == Some(&o.id);
            let good = whole && own && a.signed && ran >= 1;
            assert!(good, "not the replica's answer: {told}");
        }
        408 | 421 | 429 | 503 => assert_eq!(ran, 0, "called not run: {told}"),
        401 | 403 | 404 => panic!("denied what is allowed: {told}"),
        _ => {}
    }
}

/// Orders of two holders are a lease apart, with rising tokens.
fn passed_on(seed: u64, engine: usize, orders: &[Value]) {
    for pair in orders.windows(2) {
        let context = format!("seed {seed}: engine {engine}: {pair:?}");
        let number = |i: usize, name: &str| pair[i][name].as_u64().expect("a number");
        let (before, after) = (number(0, "fence"), number(1, "fence"));
        assert!(before <= after, "a token fell: {context}");
        if pair[0]["holder"] != pair[1]["holder"] {
            assert!(before < after, "one token of two holders: {context}");
            let apart = number(1, "at_ms") - number(0, "at_ms");
            assert!(apart >= LEASE, "two holders within a lease: {context}");
        }
    }
}

/// One holder orders an engine, with tokens that never fall.
fn orders(seed: u64, engine: usize, orders: &[Value]) {
    let holder = |o: &Value| o["holder"].as_str().map(str::to_owned);
    let fence = |o: &Value| o["fence"].as_u64();
    for pair in orders.windows(2) {
        let told = format!("seed {seed}: engine {engine}: {pair:?}");
        assert_eq!(holder(&pair[0]), holder(&pair[1]), "two holders: {told}");
        assert!(fence(&pair[0]) <= fence(&pair[1]), "a token fell: {told}");
    }
}
