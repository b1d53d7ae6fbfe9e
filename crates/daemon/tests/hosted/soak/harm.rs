//! The faults of a run.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use standin::hosted::replica::Fault;
use standin::hosted::row_store;
use standin::link::LinkFault;
use standin::switch::Conditions;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

use super::world::{World, ENTRIES, REPLICAS, WIDER};

/// Faults of replicas that may come.
const FAULTS: [Fault; 11] = [
    Fault::Full,
    Fault::Vague,
    Fault::Error,
    Fault::Lost,
    Fault::Hang,
    Fault::Unsigned,
    Fault::Encoded,
    Fault::Crossed,
    Fault::Cut,
    Fault::Short,
    Fault::None,
];
/// Troubles of links that may come.
const TROUBLES: [LinkFault; 6] = [
    LinkFault::Slow(Duration::from_millis(30)),
    LinkFault::Slow(Duration::from_millis(200)),
    LinkFault::HoldUp,
    LinkFault::HoldDown,
    LinkFault::HoldBoth,
    LinkFault::Refuse,
];

/// Parts of the datagrams that may be lost.
const LOSSES: [f64; 4] = [0.1, 0.3, 0.6, 1.0];
/// Keeps the draws for restores apart from the others.
const RESTORES: u64 = 1 << 62;
/// Keeps the draws for datagrams apart from the others.
const DATAGRAMS: u64 = 1 << 63;

/// Injects faults until the end. Most last for a while and overlap with those that come next.
pub async fn harm(world: Arc<World>, seed: u64, end: Instant) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut lasting = JoinSet::new();
    while Instant::now() < end {
        one(&world, &mut rng, &mut lasting);
        sleep(Duration::from_millis(rng.random_range(10..180))).await;
    }
    lasting.join_all().await;
}

/// Brings the store back from copies now and then until the end, at times twice in a row. It draws from
/// numbers of its own.
pub async fn restores(world: Arc<World>, seed: u64, end: Instant) {
    if seed < WIDER {
        return;
    }
    let mut rng = StdRng::seed_from_u64(seed ^ RESTORES);
    let mut copy = world.platform.store.snapshot();
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(200..1_500))).await;
        match rng.random_range(0..3) {
            0 => copy = world.platform.store.snapshot(),
            1 => world.platform.store.restore(&copy),
            _ => {}
        }
        let after = Duration::from_millis(rng.random_range(0..1_500));
        world.restore(&copy, after).await;
    }
}

/// Loses, delays and reorders datagrams between processes now and then until the end. It draws from numbers
/// of its own, so that a seed's other faults stay the same.
pub async fn datagrams(world: Arc<World>, seed: u64, end: Instant) {
    let mut rng = StdRng::seed_from_u64(seed ^ DATAGRAMS);
    while Instant::now() < end {
        let path = Conditions {
            loss: *LOSSES.choose(&mut rng).expect("a loss"),
            delay: Duration::from_millis(rng.random_range(0..200)),
        };
        world.switch.set_conditions(path);
        sleep(Duration::from_millis(rng.random_range(50..900))).await;
        world.switch.set_conditions(Conditions::IDEAL);
        sleep(Duration::from_millis(rng.random_range(50..900))).await;
    }
}

fn one(world: &Arc<World>, rng: &mut StdRng, lasting: &mut JoinSet<()>) {
    let lasts = Duration::from_millis(rng.random_range(50..900));
    match rng.random_range(0..20) {
        0..=4 => {
            let replica = &world.replicas[rng.random_range(0..REPLICAS)].replica;
            replica.set_fault(*FAULTS.choose(rng).expect("a fault"));
        }
        5..=8 => {
            let link = Arc::clone(world.links().choose(rng).expect("a link"));
            link.set_fault(*TROUBLES.choose(rng).expect("a trouble"));
            lasting.spawn(async move {
                sleep(lasts).await;
                link.set_fault(LinkFault::None);
            });
        }
        9..=10 => world.links().choose(rng).expect("a link").reset(),
        11 => {
            let faults = [
                row_store::Fault::Busy,
                row_store::Fault::Silent,
                row_store::Fault::None,
            ];
            world
                .platform
                .store
                .set_fault(*faults.choose(rng).expect("a fault"));
        }
        12 => world.platform.store.drop_history(),
        13 => world.name_version(),
        14 => world.restart_replica(rng.random_range(0..REPLICAS)),
        15..=16 => {
            let n = rng.random_range(0..ENTRIES + world.sides.len());
            signal(world, n, "STOP");
            let world = Arc::clone(world);
            lasting.spawn(async move {
                sleep(lasts).await;
                signal(&world, n, "CONT");
            });
        }
        17 if !world.sides.is_empty() => {
            let n = rng.random_range(0..world.sides.len());
            let how = end(rng);
            let world = Arc::clone(world);
            lasting.spawn(async move { world.replace_side(n, how).await });
        }
        _ => {
            let n = rng.random_range(0..ENTRIES);
            let how = end(rng);
            let world = Arc::clone(world);
            lasting.spawn(async move { world.replace_front(n, how).await });
        }
    }
}

/// How a process is ended.
fn end(rng: &mut StdRng) -> &'static str {
    ["KILL", "TERM"].choose(rng).expect("a signal")
}

/// Signals an entry or, past the entries, a sidecar.
fn signal(world: &World, n: usize, name: &str) {
    match n.checked_sub(ENTRIES) {
        None => world.fronts[n].host.signal(name),
        Some(side) => world.sides[side].signal(name),
    }
}
