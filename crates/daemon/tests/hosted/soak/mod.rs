//! A soak: real processes under faults from outside them, drawn from a seed.
//!
//! Callers keep asking on open connections through whichever entry is there. Meanwhile replicas
//! misbehave and start again, the store comes and goes, links between all of them are delayed, cut one
//! way, silenced and reset, datagrams are lost and overtake one another, and entries and sidecars are stopped, paused, killed and started again, in
//! series that overlap ([`harm`]). What must always hold is checked from what callers got and what
//! replicas saw ([`check`]); at the end everything is healed, every entry has to serve again, every
//! engine to have the newest weights, and a target that leaves then gets nothing new.
//!
//! CI runs a few seeds; `SOAK_SEEDS=7..57` runs others. A seed that ever failed goes to [`FAILED`],
//! with a line on the cause.

mod callers;
mod check;
mod harm;
mod world;

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use world::World;

/// Seeds of each CI run.
const SEEDS: std::ops::Range<u64> = 1..2;
/// Seeds of each CI run with restores of the store, and with sidecars for no and for one engine.
const WIDE: [u64; 2] = [1_002, 1_003];
/// Seeds that failed once. 3: a stream that its replica ended in order within an event, on a route
/// whose streams may not be resumed, looked complete to its caller. 12: what all callers ask for was under way when engines ended
/// three times, and was refused for ten minutes as if it had been the reason.
const FAILED: [u64; 2] = [3, 12];
/// How long faults are injected in a run.
const LENGTH: Duration = Duration::from_secs(4);
/// Callers that ask at once.
const CALLERS: u64 = 10;

async fn run(seed: u64) {
    let world = World::start(seed).await;
    let end = Instant::now() + LENGTH;
    let mut asking = JoinSet::new();
    for caller in 0..CALLERS {
        asking.spawn(callers::ask(Arc::clone(&world), caller, seed, end));
    }
    let datagrams = harm::datagrams(Arc::clone(&world), seed, end);
    let restores = harm::restores(Arc::clone(&world), seed, end);
    tokio::join!(
        harm::harm(Arc::clone(&world), seed, end),
        datagrams,
        restores
    );
    world.heal();
    let healed = Instant::now();
    let outcomes: Vec<_> = asking.join_all().await.into_iter().flatten().collect();
    check::recovered(seed, &world).await;
    check::left(seed, &world, healed).await;
    check::promises(seed, &world, &outcomes);
    let good = |o: &&callers::Outcome| o.answer.as_ref().is_some_and(|a| a.status == 200);
    let served = outcomes.iter().filter(good).count();
    println!(
        "seed {seed}: {served} of {} requests answered 200",
        outcomes.len()
    );
}

/// The seeds to run: those named in the environment, or CI's.
fn seeds() -> Vec<u64> {
    let named = std::env::var("SOAK_SEEDS").ok();
    let range = named.as_deref().and_then(|s| s.split_once(".."));
    let range = range.and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    match range {
        Some(named) => FAILED.into_iter().chain(named).collect(),
        None => FAILED.into_iter().chain(SEEDS).chain(WIDE).collect(),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_overlapping_faults() {
    // Processes are killed, paused and stopped, links are cut one way, replicas fail in all their
    // ways, and the store comes and goes, all at once. No caller gets a wrong or doubled answer,
    // nothing that ran is called not run, no engine gets orders of two holders, and in the end every
    // entry serves again and every engine has the newest weights.
    for seed in seeds() {
        run(seed).await;
    }
}
