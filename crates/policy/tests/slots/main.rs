//! Slots for loads of weights: single sidecars step by step, and pools in virtual time ([`sim`]).

mod sim;

use model::Micros;
use policy::slots::{Group, ModelKey, Outcome, OutdatedWeights, Slots, State};
use policy::versions::Versions;

use sim::{Play, Sim, Stop};

const MODEL: ModelKey = ModelKey(7);
/// Milliseconds between two looks of a sidecar at its engine.
const LOOK: u64 = 50;
fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

fn group(engine: u64, hosts: usize) -> Group {
    Group {
        engine,
        rank: engine as usize,
        hosts,
        allowed: ms(60_000),
    }
}

fn named(version: u64, at: Micros) -> Versions {
    let mut named = Versions::default();
    named.record(at, version, false);
    named
}

fn lack(named: &Versions) -> OutdatedWeights<'_> {
    OutdatedWeights {
        model: MODEL,
        version: 1,
        announced: named,
    }
}

/// An order without an answer that the engine carries out for longer than an unused slot counts.
#[test]
fn load_whose_order_had_no_answer_keeps_its_slot() {
    let named = named(2, ms(1_000));
    let mut loads: Slots<u8> = Slots::default();
    let mut other: Slots<u8> = Slots::default();
    let mut ordered = false;
    for now in (1_000..4_000).step_by(50).map(ms) {
        loads.report(now, &[(MODEL, 1)], ordered);
        other.report(now, &[(MODEL, 1)], false);
        let third = State {
            engine: 3,
            weights: vec![(MODEL, 2)],
            sent: now,
            ..State::default()
        };
        loads.receive(now, 3, Some(third.clone()));
        other.receive(now, 3, Some(third));
        loads.schedule(now, &group(1, 3), Some(&lack(&named)));
        if step(&mut loads, now, &[3]) {
            loads.ordered(now, Outcome::Unknown);
            ordered = true;
        }
        let state = loads.state(now, 1, vec![(MODEL, 1)]);
        other.receive(now, 1, Some(state));
        if !ordered {
            continue;
        }
        other.schedule(now, &group(2, 3), Some(&lack(&named)));
        assert!(!step(&mut other, now, &[1, 3]), "two load at {now:?}");
    }
    assert!(ordered);
}

/// An engine that couldn't be ordered for longer than an unused slot counts, and is then.
#[test]
fn order_that_comes_late_keeps_its_slot() {
    let named = named(2, ms(1_000));
    let mut late: Slots<u8> = Slots::default();
    let mut other: Slots<u8> = Slots::default();
    let mut ordered = None;
    for at in (1_000..4_000).step_by(50) {
        let now = ms(at);
        late.report(now, &[(MODEL, 1)], false);
        let may = at >= 2_500;
        let third = State {
            engine: 3,
            weights: vec![(MODEL, 2)],
            sent: now,
            ..State::default()
        };
        late.receive(now, 3, Some(third));
        late.schedule(now, &group(1, 3), Some(&lack(&named)));
        if step_if(&mut late, now, &[3], may) {
            late.ordered(now, Outcome::Unknown);
            ordered = ordered.or(Some(at));
        }
        other.report(now, &[(MODEL, 1)], false);
        let state = late.state(now, 1, vec![(MODEL, 1)]);
        other.receive(now, 1, Some(state));
        let Some(ordered) = ordered.filter(|o| at < o + 450) else {
            continue;
        };
        other.schedule(now, &group(2, 2), Some(&lack(&named)));
        let loads = step(&mut other, now, &[1]);
        assert!(!loads, "two load {} ms after the order", at - ordered);
    }
    assert!(ordered.is_some());
}

/// A member that is gone for good delays each load.
#[test]
fn dead_member_is_waited_for_once() {
    const DEAD: u8 = 9;
    let mut slots: Slots<u8> = Slots::default();
    slots.report(ms(0), &[(MODEL, 1)], false);
    let mut version = 1;
    let mut waits = Vec::new();
    for desired in [2, 3] {
        let start = desired * 2_000;
        let named = named(desired, ms(start));
        for at in (start..start + 2_000).step_by(LOOK as usize) {
            let now = ms(at);
            slots.report(now, &[(MODEL, version)], false);
            let third = State {
                engine: 3,
                weights: vec![(MODEL, desired)],
                sent: now,
                ..State::default()
            };
            slots.receive(now, 3, Some(third));
            let lack = OutdatedWeights {
                version,
                ..lack(&named)
            };
            let lacks = version < desired;
            slots.schedule(now, &group(1, 3), lacks.then_some(&lack));
            let step = slots.step(now, &[3, DEAD], true, 1);
            if let Some((ask, to)) = step.query {
                let live = to.into_iter().filter(|k| *k != DEAD);
                live.for_each(|k| slots.answered(now, k, ask));
            }
            if step.orders {
                slots.ordered(now, Outcome::Accepted);
                version = desired;
                waits.push(at - start);
            }
        }
    }
    assert_eq!(waits.len(), 2, "{waits:?}");
    assert!(waits[0] <= 150 + 12 * LOOK, "{waits:?}");
    assert!(waits[1] <= 150 + 2 * LOOK, "{waits:?}");
}

/// Lets a sidecar take its next step, with all asks answered at once; true if it orders a load.
fn step(slots: &mut Slots<u8>, now: Micros, peers: &[u8]) -> bool {
    step_if(slots, now, peers, true)
}

/// The same if its engine can be ordered.
fn step_if(slots: &mut Slots<u8>, now: Micros, peers: &[u8], ordered: bool) -> bool {
    let step = slots.step(now, peers, ordered, 1);
    if let Some((ask, to)) = step.query {
        to.into_iter().for_each(|k| slots.answered(now, k, ask));
    }
    step.orders
}

/// Agreement that rests on single datagrams, or on state from before a pause, lets two engines load.
#[test]
fn no_more_engines_load_than_may_whatever_happens_to_sidecars_and_datagrams() {
    struct Case {
        name: &'static str,
        play: Play,
    }
    let base = Play::default;
    let nine = || Play {
        engines: 9,
        most: 2,
        by: 60_000,
        ..base()
    };
    #[rustfmt::skip]
    let cases = [
        Case { name: "nothing goes wrong", play: base() },
        Case { name: "nothing goes wrong, nine", play: nine() },
        Case { name: "datagrams are lost", play: Play { loss: 0.3, ..base() } },
        Case { name: "datagrams are lost, nine", play: Play { loss: 0.3, ..nine() } },
        Case { name: "datagrams are late and overtake one another", play: Play { delay: 100, ..base() } },
        Case { name: "sidecars are paused", play: Play { pauses: 0.5, ..base() } },
        Case { name: "sidecars are paused, nine", play: Play { pauses: 0.2, ..nine() } },
        Case { name: "sidecars are killed and start again", play: Play { kills: 0.3, ..base() } },
        Case { name: "sidecars start during the change", play: Play { joins: 2, ..base() } },
        Case { name: "two versions in a row", play: Play { named: vec![2_000, 2_100], apart: 400, ..base() } },
        Case { name: "two versions in a row, nine", play: Play { named: vec![2_000, 2_900], apart: 400, ..nine() } },
        Case { name: "orders have no answer", play: Play { unanswered: 0.5, load: 1_400, ..base() } },
        Case { name: "engines that load report late", play: Play { late: 0.7, load: 2_500, ..base() } },
        Case { name: "engines that load report late, nine", play: Play { late: 1.0, load: 1_400, loss: 0.1, ..nine() } },
        Case { name: "hosts are slow, answers late", play: Play { look: 300, delay: 300, load: 2_000, ..base() } },
        Case { name: "all of it", play: Play { named: vec![2_000, 3_500], apart: 300, loss: 0.2, delay: 60, pauses: 0.2, kills: 0.1, unanswered: 0.2, joins: 1, by: 40_000, ..base() } },
    ];
    let seeds = std::env::var("SLOT_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok());
    for c in cases {
        for seed in 0..seeds.unwrap_or(40) {
            let (most, done) = Sim::new(&c.play, seed).run();
            assert!(
                most <= c.play.most,
                "{}, seed {seed}: {most} load at a time",
                c.name
            );
            assert!(
                done.is_some(),
                "{}, seed {seed}: not all have the newest",
                c.name
            );
        }
    }
}

/// Guards against a slot that counts as unused since an order of an earlier version, which had no answer.
#[test]
fn second_order_without_an_answer_keeps_its_slot() {
    let play = Play {
        named: vec![2_000, 3_500],
        apart: 300,
        loss: 0.2,
        delay: 60,
        pauses: 0.2,
        kills: 0.1,
        unanswered: 0.2,
        joins: 1,
        by: 40_000,
        ..Play::default()
    };
    let (most, done) = Sim::new(&play, 4_839).run();
    assert_eq!(most, 1, "engines that load at a time");
    assert!(done.is_some(), "not all have the newest");
}

/// Guards against a claim from before a pause that takes a slot without an answer since.
#[test]
fn claim_from_before_a_pause_takes_no_slot() {
    let play = Play {
        engines: 9,
        most: 2,
        pauses: 0.2,
        // No report is late; it only draws the numbers of the run that failed.
        late: f64::MIN_POSITIVE,
        by: 60_000,
        ..Play::default()
    };
    let (most, done) = Sim::new(&play, 2_883).run();
    assert!(most <= 2, "{most} load at a time");
    assert!(done.is_some(), "not all have the newest");
}

/// A sidecar acts on what it knew before it was stopped, at whatever step of the change that was.
#[test]
fn stopped_sidecar_loads_beside_no_other_one() {
    struct Case {
        name: &'static str,
        play: Play,
    }
    let base = Play::default;
    #[rustfmt::skip]
    let cases = [
        Case { name: "nothing else", play: base() },
        Case { name: "datagrams are lost", play: Play { loss: 0.3, ..base() } },
        Case { name: "datagrams are late", play: Play { delay: 60, ..base() } },
        Case { name: "a second version", play: Play { named: vec![2_000, 2_600], apart: 200, loss: 0.1, ..base() } },
    ];
    for c in cases {
        for n in 0..3 * 26 * 5 * 2 {
            let stop = Stop {
                who: n % 3,
                killed: n / 3 % 2 == 0,
                at: 1_900 + 100 * (n as u64 / 6 % 26),
                lasts: [100, 300, 700, 1_700, 2_500][n / 156],
            };
            let play = Play {
                stop: Some(stop),
                ..c.play.clone()
            };
            let (most, done) = Sim::new(&play, n as u64).run();
            assert_eq!(most, 1, "{}, {stop:?}: engines that load at a time", c.name);
            assert!(
                done.is_some(),
                "{}, {stop:?}: not all have the newest",
                c.name
            );
        }
    }
}
