//! Slots for loads of weights: single sidecars, step by step.

use model::Micros;
use policy::slots::{Group, Lack, ModelKey, Outcome, Slots, State};
use policy::versions::Versions;

const MODEL: ModelKey = ModelKey(7);

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

/// A pool of three engines in a group of three.
fn group(engine: u64) -> Group {
    Group {
        engine,
        rank: 0,
        hosts: 3,
        allowed: ms(6_000),
    }
}

fn named(version: u64, at: Micros) -> Versions {
    let mut named = Versions::default();
    named.name(at, version, false);
    named
}

fn lack(named: &Versions) -> Lack<'_> {
    Lack {
        model: MODEL,
        version: 1,
        named,
    }
}

/// An order without an answer that the engine carries out for longer than an unused slot counts.
#[test]
fn load_whose_order_had_no_answer_keeps_its_slot() {
    let named = named(2, ms(1_000));
    let mut loads: Slots<u8> = Slots::default();
    let mut other: Slots<u8> = Slots::default();
    let update = |s: &Slots<u8>, now, engine, version| s.state(now, engine, vec![(MODEL, version)]);
    let mut ordered = false;
    for now in (1_000..4_000).step_by(50).map(ms) {
        loads.report(now, &[(MODEL, 1)], ordered);
        loads.schedule(now, &group(1), Some(&lack(&named)));
        if loads.take(now) {
            loads.ordered(now, Outcome::Unknown);
            ordered = true;
        }
        let third = State {
            engine: 3,
            weights: vec![(MODEL, 2)],
            ..State::default()
        };
        loads.receive(now, 3, Some(third.clone()));
        other.receive(now, 3, Some(third));
        other.receive(now, 1, Some(update(&loads, now, 1, 1)));
        if !ordered {
            continue;
        }
        other.schedule(now, &group(2), Some(&lack(&named)));
        assert!(!other.take(now), "two load at {now:?}");
    }
    assert!(ordered);
}
