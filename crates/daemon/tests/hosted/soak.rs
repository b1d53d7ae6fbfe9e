//! A soak: real processes under faults from outside them, drawn from a seed.
//!
//! Callers keep asking through whichever entry is there, while replicas misbehave, the store comes
//! and goes, and entries are stopped, paused, killed and started again, in series that overlap. What
//! must always hold is checked from what callers got and what replicas saw; at the end everything is
//! healed, and every entry has to serve again.
//!
//! CI runs a few seeds; `SOAK_SEEDS=7..57` runs others. A seed that ever failed goes to [`FAILED`],
//! with a line on the cause.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use standin::hosted::replica::{Fault, Replica};
use standin::hosted::rows;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

use crate::fleet::{ask, config, ready, Entry, Platform, LIMIT, MODEL};

/// Seeds of each CI run.
const SEEDS: std::ops::Range<u64> = 1..4;
/// Seeds that failed once.
const FAILED: [u64; 0] = [];
/// How long faults are injected in a run.
const LENGTH: Duration = Duration::from_secs(4);
/// Callers that ask at once.
const CALLERS: u64 = 8;
/// Events of a whole stream.
const EVENTS: u64 = 12;
/// Faults of replicas that may come.
const FAULTS: [Fault; 10] = [
    Fault::Full,
    Fault::Vague,
    Fault::Error,
    Fault::Lost,
    Fault::Hang,
    Fault::Unsigned,
    Fault::Encoded,
    Fault::Crossed,
    Fault::Cut,
    Fault::None,
];

/// A caller's request and what came of it.
#[derive(Debug)]
struct Outcome {
    id: String,
    path: &'static str,
    /// Status, whether it bore a signature, and body; none for a connection that broke.
    answer: Option<(u16, bool, Bytes)>,
}

/// Everything that a run has.
struct World {
    platform: Platform,
    replicas: Vec<Arc<Replica>>,
    entries: Mutex<Vec<Arc<Entry>>>,
    outcomes: Mutex<Vec<Outcome>>,
}

impl World {
    async fn start() -> Arc<Self> {
        let mut platform = Platform::start().await;
        let mut replicas = Vec::new();
        for (n, service) in ["engines", "engines", "plain", "plain"].iter().enumerate() {
            let pause = Duration::from_millis(10);
            let replica = Replica::new(&format!("r{n}"), EVENTS, pause);
            replica.load(MODEL, 1);
            platform.replica(&replica, service).await;
            replicas.push(replica);
        }
        let mut entries = Vec::new();
        for n in 0..2 {
            entries.push(Arc::new(platform.entry(&format!("front-{n}"), 4).await));
        }
        Arc::new(Self {
            platform,
            replicas,
            entries: Mutex::new(entries),
            outcomes: Mutex::default(),
        })
    }

    fn entry(&self, n: usize) -> Arc<Entry> {
        Arc::clone(&self.entries.lock().expect("entries")[n])
    }

    /// Starts an entry in another's place.
    async fn replace(&self, n: usize) {
        let name = format!("front-{n}");
        let entry = Arc::new(self.platform.unready(&name, self.platform.at).await);
        self.entries.lock().expect("entries")[n] = entry;
    }

    fn runs(&self) -> HashMap<String, usize> {
        let mut runs = HashMap::new();
        let seen = self.replicas.iter().flat_map(|r| r.seen());
        for s in seen.filter(|s| s.ran) {
            *runs.entry(s.id).or_default() += 1;
        }
        runs
    }
}

/// Asks one request after the other until the end.
async fn call(world: Arc<World>, caller: u64, seed: u64, end: Instant) {
    let mut rng = StdRng::seed_from_u64(seed * 1_000 + caller);
    let mut n = 0;
    while Instant::now() < end {
        n += 1;
        let path = ["/code/1", "/probe/1", "/log/1", "/check/1"][rng.random_range(0..4)];
        let id = format!("{caller}-{n}");
        let entry = world.entry(rng.random_range(0..2));
        let answer = ask(&entry, path, &id).await.ok().map(|a| {
            let signed = a.headers.contains_key("response-signature");
            (a.status, signed, a.body)
        });
        let outcome = Outcome { id, path, answer };
        world.outcomes.lock().expect("outcomes").push(outcome);
        sleep(Duration::from_millis(rng.random_range(0..20))).await;
    }
}

/// Injects faults until the end.
async fn harm(world: Arc<World>, seed: u64, end: Instant) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut version = 1;
    while Instant::now() < end {
        let n = rng.random_range(0..2);
        match rng.random_range(0..9) {
            0..=3 => {
                let replica = &world.replicas[rng.random_range(0..4)];
                replica.set_fault(FAULTS[rng.random_range(0..FAULTS.len())]);
            }
            4 => {
                let fault = [rows::Fault::Busy, rows::Fault::Silent, rows::Fault::None];
                world
                    .platform
                    .store
                    .set_fault(fault[rng.random_range(0..3)]);
            }
            5 => world.platform.store.forget(),
            6 => {
                version += 1;
                world.platform.store.write("op", "config", &config(version));
                let named = json!({"model": MODEL, "version": version});
                world.platform.store.write("op", "version/lekha", &named);
                // The engines take new weights at once, as if their sidecars were quick.
                world.replicas.iter().for_each(|r| r.load(MODEL, version));
            }
            7 => {
                let entry = world.entry(n);
                entry.process.signal("STOP");
                sleep(Duration::from_millis(rng.random_range(50..600))).await;
                entry.process.signal("CONT");
            }
            _ => {
                let signal = ["KILL", "TERM"][rng.random_range(0..2)];
                world.entry(n).process.signal(signal);
                world.replace(n).await;
            }
        }
        sleep(Duration::from_millis(rng.random_range(20..250))).await;
    }
}

/// What must hold whatever happened.
fn check(seed: u64, world: &World) {
    let runs = world.runs();
    let events: String = (1..=EVENTS)
        .map(|n| format!("id: {n}\ndata: token {n}\n\n"))
        .collect();
    for o in world.outcomes.lock().expect("outcomes").iter() {
        let ran = runs.get(&o.id).copied().unwrap_or_default();
        let told = format!("seed {seed}: {o:?} ran {ran} times");
        if matches!(o.path, "/log/1" | "/code/1") {
            assert!(ran <= 1, "twice: {told}");
        }
        let Some((status, signed, body)) = &o.answer else {
            continue;
        };
        match status {
            200 => {
                let whole = match o.path {
                    "/code/1" | "/probe/1" => *body == events,
                    "/log/1" => *body == "echo body",
                    _ => *body == "echo ",
                };
                assert!(
                    whole && *signed && ran >= 1,
                    "not the replica's answer: {told}"
                );
            }
            408 | 421 | 429 | 503 => assert_eq!(ran, 0, "called not run: {told}"),
            401 | 403 | 404 => panic!("denied what is allowed: {told}"),
            _ => {}
        }
    }
}

async fn run(seed: u64) {
    let world = World::start().await;
    let end = Instant::now() + LENGTH;
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        callers.spawn(call(Arc::clone(&world), caller, seed, end));
    }
    harm(Arc::clone(&world), seed, end).await;
    world.platform.store.set_fault(rows::Fault::None);
    world.replicas.iter().for_each(|r| r.set_fault(Fault::None));
    callers.join_all().await;
    for n in 0..2 {
        let entry = world.entry(n);
        let served = async {
            for tries in 0.. {
                let id = format!("healed-{n}-{tries}");
                let answer = ask(&entry, "/log/1", &id).await;
                if ready(&entry).await == 200 && answer.is_ok_and(|a| a.status == 200) {
                    return;
                }
                sleep(Duration::from_millis(50)).await;
            }
        };
        let healed = timeout(LIMIT, served).await;
        assert!(healed.is_ok(), "seed {seed}: entry {n} doesn't serve again");
    }
    check(seed, &world);
    let outcomes = world.outcomes.lock().expect("outcomes");
    let served = outcomes
        .iter()
        .filter(|o| matches!(o.answer, Some((200, ..))));
    println!(
        "seed {seed}: {} of {} requests answered 200",
        served.count(),
        outcomes.len()
    );
}

/// The seeds to run: those named in the environment, or CI's.
fn seeds() -> Vec<u64> {
    let named = std::env::var("SOAK_SEEDS").ok();
    let range = named.as_deref().and_then(|s| s.split_once(".."));
    let range = range.and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    FAILED.into_iter().chain(range.unwrap_or(SEEDS)).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_overlapping_faults() {
    // Entries are killed, paused and stopped, replicas fail in all their ways, and the store comes and
    // goes, all at once. No caller gets a wrong or doubled answer, nothing that ran is called not run,
    // and in the end every entry serves again.
    for seed in seeds() {
        run(seed).await;
    }
}
