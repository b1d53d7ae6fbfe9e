//! Slots for weight loads when sidecars are paused or killed and datagrams are lost or delayed.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use serde_json::json;
use standin::hosted::replica::Replica;
use standin::switch::{Conditions, Switch};
use tokio::time::{sleep, timeout};

use crate::fleet::{fetch, Platform, Process, MODEL, TIMEOUT};
use crate::pool::EnginePool;

/// Duration of a weight load.
const LOAD_TIME: Duration = Duration::from_millis(600);
/// Delay of an engine's answer to a load order.
const ORDER_DELAY: Duration = Duration::from_millis(200);
/// Interval between two checks of the engines' state.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Fault applied to one of the three sidecars.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SidecarFault {
    /// The sidecar is paused from before the new weights are announced until another engine loads.
    PausedBefore,
    /// The sidecar is paused once an engine loads, for twice the duration of a load.
    PausedDuring,
    /// The sidecar is killed once an engine loads and is restarted at once.
    Killed,
}

struct Case {
    name: &'static str,
    path: Conditions,
    /// Delay after which a second version is announced, if there is one.
    second_after: Option<Duration>,
}

/// If agreement on slots depends on single datagrams, two of the three engines load at a time and
/// only one is left to serve.
#[tokio::test]
async fn paused_or_killed_sidecar_never_loads_alongside_another() {
    let ms = Duration::from_millis;
    #[rustfmt::skip]
    let cases = [
        Case { name: "all datagrams arrive", path: Conditions::IDEAL, second_after: None },
        Case { name: "some datagrams are lost", path: Conditions { loss: 0.3, delay: ms(2) }, second_after: None },
        Case { name: "datagrams are reordered", path: Conditions { loss: 0.0, delay: ms(60) }, second_after: None },
        Case { name: "a second version follows", path: Conditions { loss: 0.1, delay: ms(10) }, second_after: Some(ms(100)) }, ];
    let faults = [
        SidecarFault::PausedBefore,
        SidecarFault::PausedDuring,
        SidecarFault::Killed,
    ];
    for (seed, c) in (0..).zip(&cases) {
        for fault in faults {
            join_all((0..3).map(|index| check_case(c, fault, index, seed))).await;
        }
    }
}

/// A sidecar that lacks its engine's incarnation withholds the order, or sends it to whichever
/// process listens on the engine's address.
#[tokio::test]
async fn order_carries_the_incarnation_when_all_datagrams_are_lost() {
    let switch = Switch::new(1);
    switch.set_conditions(Conditions {
        loss: 1.0,
        ..Conditions::IDEAL
    });
    let mut platform = Platform::start().await;
    platform.store.set_switch(Arc::clone(&switch));
    let engine = Replica::new("e1", 2, Duration::ZERO);
    engine.set_version(MODEL, 1);
    let at = platform.replica(&engine, "engines").await;
    let _entry = platform.entry("front-1", 1).await;
    let sidecar = platform.sidecar("side-1", at);
    let announcement = json!({"model": MODEL, "version": 2});
    platform.store.write("op", "version/lekha", &announcement);
    sidecar
        .wait_for_event("ordered", |e| e["outcome"] == "begun")
        .await;
    let orders = engine.orders();
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!(orders[0]["meant"], "e1");
}

/// When loads are late and the engines' versions look outdated, callers are refused as if the pool
/// had no engine.
#[tokio::test]
async fn callers_are_served_during_a_rollout_while_datagrams_are_lost() {
    join_all((0..8).map(check_served)).await;
}

async fn check_served(seed: u64) {
    let switch = Switch::new(seed);
    let pool = EnginePool::start_behind(&switch).await;
    switch.set_conditions(Conditions {
        loss: 0.3,
        ..Conditions::IDEAL
    });
    pool.announce(2);
    let rollout = async {
        let mut refused = 0;
        for n in 0.. {
            if pool.all_have(2) {
                break;
            }
            let _loading = pool.loading_count();
            let answer = fetch(&pool.entry, "/probe/1", &format!("lost-{n}")).await;
            refused += usize::from(!answer.is_ok_and(|a| a.status == 200));
        }
        refused
    };
    let refused = timeout(TIMEOUT, rollout)
        .await
        .expect("all engines load the version");
    let refusals = pool.entry.process.events("refused");
    let context = || format!("seed {seed}: {:?}; {:?}", refusals.first(), pool.orders());
    assert_eq!(refused, 0, "{}", context());
}

async fn check_case(c: &Case, fault: SidecarFault, index: usize, seed: u64) {
    let switch = Switch::new(seed);
    let mut pool = EnginePool::start_behind(&switch).await;
    switch.set_conditions(c.path);
    let result = timeout(TIMEOUT, roll_out(&mut pool, c, fault, index)).await;
    let context = || format!("{}, {fault:?} {index}: {:?}", c.name, pool.orders());
    let logs = || {
        pool.sidecars
            .iter()
            .map(Process::log_tail)
            .collect::<String>()
    };
    assert!(result.is_ok(), "no engine loads: {}\n{}", context(), logs());
    pool.wait_for_version(if c.second_after.is_some() { 3 } else { 2 })
        .await;
    assert_eq!(
        pool.max_concurrent_loads(),
        1,
        "more than one engine loaded at a time: {}",
        context()
    );
}

async fn roll_out(pool: &mut EnginePool, c: &Case, fault: SidecarFault, index: usize) {
    pool.engines.iter().for_each(|e| {
        e.set_order_delay(ORDER_DELAY);
        e.set_load_time(LOAD_TIME);
    });
    if fault == SidecarFault::PausedBefore {
        pool.sidecars[index].signal("STOP");
    }
    pool.announce(2);
    if let Some(delay) = c.second_after {
        sleep(delay).await;
        pool.announce(3);
    }
    while pool.loading_count() == 0 {
        sleep(POLL_INTERVAL).await;
    }
    match fault {
        SidecarFault::PausedBefore => pool.sidecars[index].signal("CONT"),
        SidecarFault::PausedDuring => {
            pool.sidecars[index].signal("STOP");
            sleep(2 * LOAD_TIME).await;
            pool.sidecars[index].signal("CONT");
        }
        SidecarFault::Killed => pool.restart_sidecar(index),
    }
}
