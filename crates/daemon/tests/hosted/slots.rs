//! Slots for loads of weights, with sidecars that are stopped and datagrams that don't arrive.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use serde_json::json;
use standin::hosted::replica::Replica;
use standin::switch::{Conditions, Switch};
use tokio::time::{sleep, timeout};

use crate::fleet::{ask, Platform, Process, LIMIT, MODEL};
use crate::pool::Three;

/// How long a load takes.
const LOAD: Duration = Duration::from_millis(600);
/// How long an engine's answer to an order takes.
const ANSWER: Duration = Duration::from_millis(200);
/// Pause between two looks at the engines.
const LOOK: Duration = Duration::from_millis(1);

/// What happens to one of the sidecars.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    /// It is paused before the weights are named, until another engine loads.
    Before,
    /// It is paused once an engine loads, for twice as long as a load takes.
    Within,
    /// It is killed once an engine loads, and starts again at once.
    Killed,
}

struct Case {
    name: &'static str,
    path: Conditions,
    /// How much later a second version is named.
    second: Option<Duration>,
}

/// Two engines load at a time, and of three one is left, if agreement rests on single datagrams.
#[tokio::test]
async fn stopped_sidecar_loads_beside_no_other_one_whatever_datagrams_arrive() {
    let ms = Duration::from_millis;
    #[rustfmt::skip]
    let cases = [
        Case { name: "all arrive", path: Conditions::IDEAL, second: None },
        Case { name: "some are lost", path: Conditions { loss: 0.3, delay: ms(2) }, second: None },
        Case { name: "they overtake one another", path: Conditions { loss: 0.0, delay: ms(60) }, second: None },
        Case { name: "a second version follows", path: Conditions { loss: 0.1, delay: ms(10) }, second: Some(ms(100)) },
    ];
    let stops = [Stop::Before, Stop::Within, Stop::Killed];
    for (seed, c) in (0..).zip(&cases) {
        for stop in stops {
            join_all((0..3).map(|who| run(c, stop, who, seed))).await;
        }
    }
}

/// A sidecar without its engine's incarnation holds its order back, or sends it to whatever listens there.
#[tokio::test]
async fn order_names_the_incarnation_though_no_datagram_arrives() {
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
    let named = json!({"model": MODEL, "version": 2});
    platform.store.write("op", "version/lekha", &named);
    sidecar.event("ordered", |e| e["outcome"] == "begun").await;
    let orders = engine.orders();
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!(orders[0]["meant"], "e1");
}

/// Callers are refused as if no engine were there when loads are late and the versions look old.
#[tokio::test]
async fn callers_are_served_while_weights_change_and_datagrams_are_lost() {
    join_all((0..8).map(served)).await;
}

async fn served(seed: u64) {
    let switch = Switch::new(seed);
    let three = Three::behind(&switch).await;
    switch.set_conditions(Conditions {
        loss: 0.3,
        ..Conditions::IDEAL
    });
    three.name(2);
    let rolled = async {
        let mut refused = 0;
        for n in 0.. {
            if three.have(2) {
                break;
            }
            let _loading = three.loading();
            let answer = ask(&three.entry, "/probe/1", &format!("lost-{n}")).await;
            refused += usize::from(!answer.is_ok_and(|a| a.status == 200));
        }
        refused
    };
    let refused = timeout(LIMIT, rolled).await.expect("all have them");
    let refusals = three.entry.process.events("refused");
    let context = || format!("seed {seed}: {:?}; {:?}", refusals.first(), three.orders());
    assert_eq!(refused, 0, "{}", context());
}

async fn run(c: &Case, stop: Stop, who: usize, seed: u64) {
    let switch = Switch::new(seed);
    let mut three = Three::behind(&switch).await;
    switch.set_conditions(c.path);
    let waited = timeout(LIMIT, rolled(&mut three, c, stop, who)).await;
    let context = || format!("{}, {stop:?} {who}: {:?}", c.name, three.orders());
    let tails = || three.sidecars.iter().map(Process::tail).collect::<String>();
    assert!(waited.is_ok(), "none loads: {}\n{}", context(), tails());
    three.all_have(if c.second.is_some() { 3 } else { 2 }).await;
    assert_eq!(
        three.most(),
        1,
        "engines that loaded at a time: {}",
        context()
    );
}

async fn rolled(three: &mut Three, c: &Case, stop: Stop, who: usize) {
    three.engines.iter().for_each(|e| {
        e.set_order_delay(ANSWER);
        e.set_load_time(LOAD);
    });
    if stop == Stop::Before {
        three.sidecars[who].signal("STOP");
    }
    three.name(2);
    if let Some(later) = c.second {
        sleep(later).await;
        three.name(3);
    }
    while three.loading() == 0 {
        sleep(LOOK).await;
    }
    match stop {
        Stop::Before => three.sidecars[who].signal("CONT"),
        Stop::Within => {
            three.sidecars[who].signal("STOP");
            sleep(2 * LOAD).await;
            three.sidecars[who].signal("CONT");
        }
        Stop::Killed => three.restart(who),
    }
}
