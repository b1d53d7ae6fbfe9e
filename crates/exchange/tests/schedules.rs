//! Random schedules of callers, cuts, spoiled frames, pauses and crashes.

mod common;

use common::{Ask, Cut, Late, Spoil, World};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Replicas of every schedule.
const SIDES: usize = 3;

/// One thing that happens.
#[derive(Clone, Copy, Debug)]
enum Op {
    /// Any participant makes a step.
    Step(u8),
    Call(Ask),
    Break(u8),
    Spoil(u8, Spoil),
    /// The entry of a caller dies.
    Crash(u8),
    /// An engine dies and comes back.
    Kill(u8),
    /// A target takes no connections, or takes them again.
    Refuse(u8),
    /// A sidecar is killed and comes back.
    Restart(u8),
    /// It doesn't come back.
    Leave(u8),
    PauseSide(u8),
    PauseEntry(u8),
    Forget,
    /// The answer to the next claim is lost.
    Lossy,
}

fn ask() -> impl Strategy<Value = Ask> {
    let sizes = prop_oneof![9 => Just(1), 1 => Just(400 << 10)];
    let key = proptest::option::of(0..2_u32);
    let flags = any::<[bool; 4]>();
    (key, 0..8_u8, sizes, flags).prop_map(|(key, events, size, f)| Ask {
        idempotent: f[0] && key.is_none(),
        // All who use a key ask the same.
        streamed: f[1] && key.is_none(),
        events: if key.is_some() { 5 } else { events },
        key,
        size,
        known: f[2],
        eager: f[3],
    })
}

fn op() -> impl Strategy<Value = Op> {
    let spoil = prop_oneof![
        Just(Spoil::Repeat),
        Just(Spoil::Swap),
        Just(Spoil::Lose),
        Just(Spoil::More),
        Just(Spoil::Fewer),
        Just(Spoil::Digest),
    ];
    prop_oneof![
        60 => any::<u8>().prop_map(Op::Step),
        4 => ask().prop_map(Op::Call),
        4 => any::<u8>().prop_map(Op::Break),
        3 => (any::<u8>(), spoil).prop_map(|(i, s)| Op::Spoil(i, s)),
        1 => any::<u8>().prop_map(Op::Crash),
        2 => any::<u8>().prop_map(Op::Kill),
        1 => any::<u8>().prop_map(Op::Refuse),
        1 => any::<u8>().prop_map(Op::Restart),
        1 => any::<u8>().prop_map(Op::Leave),
        2 => any::<u8>().prop_map(Op::PauseSide),
        2 => any::<u8>().prop_map(Op::PauseEntry),
        1 => Just(Op::Forget),
        1 => Just(Op::Lossy),
    ]
}

fn cut() -> impl Strategy<Value = Option<Cut>> {
    let late = prop_oneof![Just(Late::Never), Just(Late::Next), Just(Late::Last)];
    let cut = (any::<bool>(), 0..10_usize, late);
    proptest::option::weighted(0.3, cut.prop_map(|(up, at, late)| Cut { up, at, late }))
}

fn play(asks: Vec<Ask>, cuts: Vec<Option<Cut>>, ops: Vec<Op>) -> World {
    let mut w = World::new(SIDES);
    w.cuts = cuts.into();
    asks.into_iter().for_each(|a| w.call(a));
    for op in ops {
        let caller = |n: u8| usize::from(n) % w.callers.len();
        let side = |n: u8| usize::from(n) % SIDES;
        match op {
            Op::Step(n) => {
                let moves = w.moves();
                if !moves.is_empty() {
                    w.act(moves[usize::from(n) % moves.len()]);
                }
            }
            Op::Call(a) => w.call(a),
            Op::Break(n) => w.break_conn(caller(n)),
            Op::Spoil(n, how) => drop(w.spoil(caller(n), how)),
            Op::Crash(n) => w.crash(caller(n)),
            Op::Kill(n) => w.sides[side(n)].engine += 1,
            Op::Refuse(n) => w.sides[side(n)].dead ^= true,
            Op::Restart(n) => w.restart(side(n)),
            Op::Leave(n) => {
                w.restart(side(n));
                w.sides[side(n)].gone = true;
            }
            Op::PauseSide(n) => w.sides[side(n)].paused ^= true,
            Op::PauseEntry(n) => {
                let i = caller(n);
                w.callers[i].paused ^= true;
            }
            Op::Forget => w.forget(),
            Op::Lossy => w.lossy = true,
        }
        w.check();
    }
    w.settle();
    assert!(w.idle(), "a slot is held for good");
    w
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 6_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    /// Connections break, processes die and freeze, frames come late, twice or not at all, all at
    /// once and in any order. Whatever happens, a caller has each event once and in order, a
    /// clean end means all of it, "not run" is true, and what may run only once does.
    #[test]
    fn promises_hold_in_any_schedule(
        asks in proptest::collection::vec(ask(), 1..4),
        cuts in proptest::collection::vec(cut(), 0..8),
        ops in proptest::collection::vec(op(), 0..120),
    ) {
        play(asks, cuts, ops);
    }
}
