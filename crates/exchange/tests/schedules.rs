//! Random schedules of requests, cuts, corrupted frames, pauses and crashes.

mod common;

use common::{Corruption, Cut, LateDelivery, RequestSpec, Simulation};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Number of replicas in every schedule.
const SIDECARS: usize = 3;

/// One operation of a schedule.
#[derive(Clone, Copy, Debug)]
enum Op {
    /// One of the possible steps is made.
    Step(u8),
    Call(RequestSpec),
    Break(u8),
    Corruption(u8, Corruption),
    /// The entry of a caller crashes.
    Crash(u8),
    /// An engine crashes and restarts.
    Kill(u8),
    /// A target stops or resumes accepting connections.
    Refuse(u8),
    /// A sidecar is killed and restarts.
    Restart(u8),
    /// A sidecar is killed and doesn't restart.
    Leave(u8),
    PauseSidecar(u8),
    PauseEntry(u8),
    Forget,
    /// The answer to the next claim is lost.
    LoseNextClaim,
}

fn spec() -> impl Strategy<Value = RequestSpec> {
    let sizes = prop_oneof![9 => Just(1), 1 => Just(400 << 10)];
    let key = proptest::option::of(0..2_u32);
    let flags = any::<[bool; 4]>();
    (key, 0..8_u8, sizes, flags).prop_map(|(key, events, size, f)| RequestSpec {
        idempotent: f[0] && key.is_none(),
        // All requests with the same key are equal.
        streamed: f[1] && key.is_none(),
        events: if key.is_some() { 5 } else { events },
        key,
        size,
        incarnation_known: f[2],
        confirm_each: f[3],
    })
}

fn op() -> impl Strategy<Value = Op> {
    let corrupt = prop_oneof![
        Just(Corruption::Repeat),
        Just(Corruption::Swap),
        Just(Corruption::Lose),
        Just(Corruption::More),
        Just(Corruption::Fewer),
        Just(Corruption::Digest),
    ];
    prop_oneof![
        60 => any::<u8>().prop_map(Op::Step),
        4 => spec().prop_map(Op::Call),
        4 => any::<u8>().prop_map(Op::Break),
        3 => (any::<u8>(), corrupt).prop_map(|(i, s)| Op::Corruption(i, s)),
        1 => any::<u8>().prop_map(Op::Crash),
        2 => any::<u8>().prop_map(Op::Kill),
        1 => any::<u8>().prop_map(Op::Refuse),
        1 => any::<u8>().prop_map(Op::Restart),
        1 => any::<u8>().prop_map(Op::Leave),
        2 => any::<u8>().prop_map(Op::PauseSidecar),
        2 => any::<u8>().prop_map(Op::PauseEntry),
        1 => Just(Op::Forget),
        1 => Just(Op::LoseNextClaim),
    ]
}

fn cut() -> impl Strategy<Value = Option<Cut>> {
    let late = prop_oneof![
        Just(LateDelivery::Never),
        Just(LateDelivery::Next),
        Just(LateDelivery::Last)
    ];
    let cut = (any::<bool>(), 0..10_usize, late);
    proptest::option::weighted(0.3, cut.prop_map(|(up, at, late)| Cut { up, at, late }))
}

fn play(specs: Vec<RequestSpec>, cuts: Vec<Option<Cut>>, ops: Vec<Op>) -> Simulation {
    let mut w = Simulation::new(SIDECARS);
    w.cuts = cuts.into();
    specs.into_iter().for_each(|a| w.call(a));
    for op in ops {
        let caller = |n: u8| usize::from(n) % w.callers.len();
        let sidecar = |n: u8| usize::from(n) % SIDECARS;
        match op {
            Op::Step(n) => {
                let moves = w.moves();
                if !moves.is_empty() {
                    w.act(moves[usize::from(n) % moves.len()]);
                }
            }
            Op::Call(a) => w.call(a),
            Op::Break(n) => w.break_conn(caller(n)),
            Op::Corruption(n, how) => drop(w.corrupt(caller(n), how)),
            Op::Crash(n) => w.crash(caller(n)),
            Op::Kill(n) => w.sidecars[sidecar(n)].engine += 1,
            Op::Refuse(n) => w.sidecars[sidecar(n)].refuses ^= true,
            Op::Restart(n) => w.restart(sidecar(n)),
            Op::Leave(n) => {
                w.restart(sidecar(n));
                w.sidecars[sidecar(n)].gone = true;
            }
            Op::PauseSidecar(n) => w.sidecars[sidecar(n)].paused ^= true,
            Op::PauseEntry(n) => {
                let i = caller(n);
                w.callers[i].paused ^= true;
            }
            Op::Forget => w.forget(),
            Op::LoseNextClaim => w.lose_next_claim = true,
        }
        w.check();
    }
    w.settle();
    assert!(w.idle(), "a slot is never released");
    w
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 6_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    /// Guards against wrong answers, a false "not run" and a second run of a non-idempotent request
    /// under any mix of broken connections, crashes, pauses, and late, repeated or lost frames.
    #[test]
    fn guarantees_hold_in_any_schedule(
        specs in proptest::collection::vec(spec(), 1..4),
        cuts in proptest::collection::vec(cut(), 0..8),
        ops in proptest::collection::vec(op(), 0..120),
    ) {
        play(specs, cuts, ops);
    }
}
