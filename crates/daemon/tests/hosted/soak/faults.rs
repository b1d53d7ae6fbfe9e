//! Fault injection for a soak run.

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

use super::cluster::{Cluster, BUILDS, ENTRIES, FIRST_EXTENDED_SEED, REPLICAS};

/// Faults that replicas may get.
const REPLICA_FAULTS: [Fault; 11] = [
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
/// Faults that links may get.
const LINK_FAULTS: [LinkFault; 6] = [
    LinkFault::Slow(Duration::from_millis(30)),
    LinkFault::Slow(Duration::from_millis(200)),
    LinkFault::HoldUp,
    LinkFault::HoldDown,
    LinkFault::HoldBoth,
    LinkFault::Refuse,
];

/// Shares of the datagrams that may be lost.
const LOSS_RATES: [f64; 4] = [0.1, 0.3, 0.6, 1.0];
/// Seed mask that gives the restores a random sequence of their own.
const RESTORE_MASK: u64 = 1 << 62;
/// Seed mask that gives the limits of replicas a random sequence of their own.
const LIMIT_MASK: u64 = 1 << 61;
/// Seed mask that gives the builds of replicas a random sequence of their own.
const BUILD_MASK: u64 = 1 << 60;
/// Seed mask that gives what replicas say about themselves a random sequence of its own.
const NOTICE_MASK: u64 = 1 << 59;
/// Seed mask that gives paces and rows of other writers a random sequence of their own.
const PACE_MASK: u64 = 1 << 57;
/// Paces that replicas may state, in percent of the usual duration.
const PACES: [Option<u32>; 5] = [None, Some(55), Some(100), Some(120), Some(250)];
/// Rows of other writers: unreadable, of another type, without fields, with unknown values.
const ROWS: [&[u8]; 5] = [
    b"\xff\xfe",
    b"[]",
    b"{}",
    br#"{"service": 5, "address": null}"#,
    br#"{"service": "unknown", "address": "127.0.0.1:1", "zone": "a", "slots": 1, "state": "odd"}"#,
];
/// Seconds of rest that replicas may ask for.
const RESTS: [&str; 5] = ["0.3", "2", "0", "soon", "1e30"];
/// Requests a second that replicas may state.
const LIMITS: [Option<f64>; 6] = [None, None, Some(0.0), Some(1.2), Some(5.0), Some(40.0)];
/// Seed mask that gives the datagram faults a random sequence of their own.
const DATAGRAM_MASK: u64 = 1 << 63;

/// Injects faults until `end`. Most of them last for a while and overlap with later ones.
pub async fn inject(cluster: Arc<Cluster>, seed: u64, end: Instant) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut tasks = JoinSet::new();
    while Instant::now() < end {
        inject_one(&cluster, &mut rng, &mut tasks);
        sleep(Duration::from_millis(rng.random_range(10..180))).await;
    }
    tasks.join_all().await;
}

/// Restores the store from snapshots at random times until `end`, sometimes twice in a row. It has
/// a random sequence of its own.
pub async fn restore_store(cluster: Arc<Cluster>, seed: u64, end: Instant) {
    if seed < FIRST_EXTENDED_SEED {
        return;
    }
    let mut rng = StdRng::seed_from_u64(seed ^ RESTORE_MASK);
    let mut snapshot = cluster.platform.store.snapshot();
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(200..1_500))).await;
        match rng.random_range(0..3) {
            0 => snapshot = cluster.platform.store.snapshot(),
            1 => cluster.platform.store.restore(&snapshot),
            _ => {}
        }
        let delay = Duration::from_millis(rng.random_range(0..1_500));
        cluster.restore(&snapshot, delay).await;
    }
}

/// Loses, delays and reorders datagrams between processes at random times until `end`. It has a
/// random sequence of its own, so that a seed's other faults stay the same.
pub async fn disturb_datagrams(cluster: Arc<Cluster>, seed: u64, end: Instant) {
    let mut rng = StdRng::seed_from_u64(seed ^ DATAGRAM_MASK);
    while Instant::now() < end {
        let conditions = Conditions {
            loss: *LOSS_RATES.choose(&mut rng).expect("a loss"),
            delay: Duration::from_millis(rng.random_range(0..200)),
        };
        cluster.switch.set_conditions(conditions);
        sleep(Duration::from_millis(rng.random_range(50..900))).await;
        cluster.switch.set_conditions(Conditions::IDEAL);
        sleep(Duration::from_millis(rng.random_range(50..900))).await;
    }
}

/// Lets replicas state, change and drop limits at random times until `end`. It has a random sequence
/// of its own.
pub async fn vary_limits(cluster: Arc<Cluster>, seed: u64, end: Instant) {
    let mut rng = StdRng::seed_from_u64(seed ^ LIMIT_MASK);
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(300..1_500))).await;
        let replica = &cluster.replicas[rng.random_range(0..REPLICAS)].replica;
        let limit = *LIMITS.choose(&mut rng).expect("a limit");
        cluster.record(format_args!("limit of {}: {limit:?}", replica.id));
        replica.set_limit(limit);
    }
}

/// Lets replicas say that they leave or want rest, and answer without length or chunks, at random
/// times until `end`, and starts crashed ones again. It has a random sequence of its own.
pub async fn vary_notices(cluster: Arc<Cluster>, seed: u64, end: Instant) {
    let mut rng = StdRng::seed_from_u64(seed ^ NOTICE_MASK);
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(50..500))).await;
        let n = rng.random_range(0..REPLICAS);
        let replica = &cluster.replicas[n].replica;
        match rng.random_range(0..6) {
            0 => {
                cluster.record(format_args!("{} leaves", replica.id));
                replica.set_leaving(true);
            }
            1 => {
                let rest = *RESTS.choose(&mut rng).expect("a rest");
                cluster.record(format_args!("{} wants rest: {rest}", replica.id));
                replica.set_rest(Some(rest));
                replica.set_fault(Fault::Full);
            }
            2 if !Cluster::has_bad_part(seed) => {
                let undelimited = rng.random();
                cluster.record(format_args!("{} undelimited: {undelimited}", replica.id));
                replica.set_undelimited(undelimited);
            }
            _ => {}
        }
        for n in 0..REPLICAS {
            if cluster.replicas[n].replica.is_down() || rng.random_range(0..8) == 0 {
                cluster.record(format_args!("replica {n} starts again"));
                cluster.start_again(n);
            }
        }
    }
}

/// Changes the speed that replicas keep and state, and writes rows that name no target, at random
/// times until `end`. It has a random sequence of its own.
pub async fn vary_paces(cluster: Arc<Cluster>, seed: u64, end: Instant) {
    let mut rng = StdRng::seed_from_u64(seed ^ PACE_MASK);
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(50..600))).await;
        let replica = &cluster.replicas[rng.random_range(0..REPLICAS)].replica;
        replica.set_pace(*PACES.choose(&mut rng).expect("a pace"));
        let row = *ROWS.choose(&mut rng).expect("a row");
        // Keys sort before and after those of the replicas.
        let key = ["a0", "r00", "z0"].choose(&mut rng).expect("a key");
        cluster.platform.store.write_raw("servers", key, row);
    }
}

/// Restarts replicas under their ids, often at another build, at random times until `end`. It has a
/// random sequence of its own.
pub async fn vary_builds(cluster: Arc<Cluster>, seed: u64, end: Instant) {
    let mut rng = StdRng::seed_from_u64(seed ^ BUILD_MASK);
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(200..1_500))).await;
        let n = rng.random_range(0..REPLICAS);
        let build = *BUILDS.choose(&mut rng).expect("a build");
        cluster.record(format_args!("restart of replica {n} at build {build}"));
        cluster.replicas[n].replica.set_build(build);
        cluster.restart_replica(n);
    }
}

/// Injects one fault at random. `tasks` collects the tasks that end lasting faults.
fn inject_one(cluster: &Arc<Cluster>, rng: &mut StdRng, tasks: &mut JoinSet<()>) {
    let duration = Duration::from_millis(rng.random_range(50..900));
    match rng.random_range(0..20) {
        0..=4 => {
            let replica = &cluster.replicas[rng.random_range(0..REPLICAS)].replica;
            let fault = *REPLICA_FAULTS.choose(rng).expect("a fault");
            cluster.record(format_args!("fault of {}: {fault:?}", replica.id));
            replica.set_fault(fault);
        }
        5..=8 => {
            let (name, link) = cluster.links().choose(rng).expect("a link").clone();
            let fault = *LINK_FAULTS.choose(rng).expect("a fault");
            cluster.record(format_args!("link {name}: {fault:?} for {duration:?}"));
            link.set_fault(fault);
            tasks.spawn(async move {
                sleep(duration).await;
                link.set_fault(LinkFault::None);
            });
        }
        9..=10 => {
            let (name, link) = cluster.links().choose(rng).expect("a link").clone();
            cluster.record(format_args!("link {name}: reset"));
            link.reset();
        }
        11 => {
            let faults = [
                row_store::Fault::Busy,
                row_store::Fault::Silent,
                row_store::Fault::None,
            ];
            let fault = *faults.choose(rng).expect("a fault");
            cluster.record(format_args!("fault of the store: {fault:?}"));
            cluster.platform.store.set_fault(fault);
        }
        12 => cluster.platform.store.drop_history(),
        13 => cluster.announce_version(),
        14 => {
            let n = rng.random_range(0..REPLICAS);
            cluster.record(format_args!("restart of replica {n}"));
            cluster.restart_replica(n);
        }
        15..=16 => {
            let n = rng.random_range(0..ENTRIES + cluster.sidecars.len());
            cluster.record(format_args!("process {n} paused for {duration:?}"));
            signal(cluster, n, "STOP");
            let cluster = Arc::clone(cluster);
            tasks.spawn(async move {
                sleep(duration).await;
                signal(&cluster, n, "CONT");
            });
        }
        17 if !cluster.sidecars.is_empty() => {
            let n = rng.random_range(0..cluster.sidecars.len());
            let signal = draw_end_signal(rng);
            cluster.record(format_args!("end of sidecar {n}: {signal}"));
            let cluster = Arc::clone(cluster);
            tasks.spawn(async move { cluster.replace_sidecar(n, signal).await });
        }
        _ => {
            let n = rng.random_range(0..ENTRIES);
            let signal = draw_end_signal(rng);
            cluster.record(format_args!("end of entry {n}: {signal}"));
            let cluster = Arc::clone(cluster);
            tasks.spawn(async move { cluster.replace_entry(n, signal).await });
        }
    }
}

/// Draws the signal that ends a process.
fn draw_end_signal(rng: &mut StdRng) -> &'static str {
    ["KILL", "TERM"].choose(rng).expect("a signal")
}

/// Signals the entry with this index or, for indices beyond the entries, a sidecar.
fn signal(cluster: &Cluster, n: usize, name: &str) {
    match n.checked_sub(ENTRIES) {
        None => cluster.entries[n].host.signal(name),
        Some(sidecar) => cluster.sidecars[sidecar].signal(name),
    }
}
