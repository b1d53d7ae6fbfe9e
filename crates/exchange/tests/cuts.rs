//! Streams cut after each possible frame, once and twice, in both directions.

mod common;

use common::{Ask, Cut, Fate, Late, Move, Spoil, World};
use model::{Code, Outcome};

const ASK: Ask = Ask {
    idempotent: true,
    streamed: true,
    key: None,
    events: 6,
    size: 1,
    known: true,
    eager: true,
};

/// What an answer may depend on besides its cuts.
fn asks(events: u8) -> Vec<Ask> {
    let mut all = Vec::new();
    for bits in 0..12 {
        all.push(Ask {
            idempotent: bits & 1 == 0,
            streamed: bits & 2 == 0,
            key: (bits / 4 == 1).then_some(7),
            known: bits / 4 != 2,
            events,
            ..ASK
        });
    }
    all
}

/// Every place of a connection that carries `events` chunks; the last one is no cut.
fn cuts(events: u8) -> Vec<Option<Cut>> {
    let n = usize::from(events);
    let down = (0..n + 4).map(|at| Cut {
        up: false,
        at,
        late: Late::Never,
    });
    let late = [Late::Never, Late::Next, Late::Last];
    let up = (0..n + 2).flat_map(|at| late.map(|late| Cut { up: true, at, late }));
    down.chain(up).map(Some).chain([None]).collect()
}

fn run(ask: Ask, sides: usize, fate: Fate, cuts: [Option<Cut>; 2]) -> World {
    let mut w = World::new(sides);
    w.fate = fate;
    w.cuts = cuts.into();
    w.call(ask);
    w.settle();
    w
}

/// Connections break at any byte, and twice in a row when a switch restarts. The caller of a
/// stream must have each event once and in order, and as long as the sidecar lives and there is
/// another replica he must not notice more than a pause. A vote must not count twice, also when
/// the broken connection still held the request and gives it up late.
#[test]
fn cut_after_each_frame_once_and_twice() {
    let mut runs = 0;
    for events in 0..=6 {
        let cuts = cuts(events);
        for ask in asks(events) {
            for (&a, &b) in cuts.iter().flat_map(|a| cuts.iter().map(move |b| (a, b))) {
                for (fate, sides) in [
                    (Fate::Same, 1),
                    (Fate::Same, 3),
                    (Fate::Restarted, 1),
                    (Fate::Restarted, 3),
                    (Fate::Nobody, 1),
                    (Fate::Nobody, 3),
                ] {
                    let w = run(ask, sides, fate, [a, b]);
                    let end = w.callers[0].end.as_ref();
                    // Of a request that didn't arrive nobody knows whether an unknown life had it.
                    let unknown = !ask.known && a.is_some_and(|c| c.up && c.at == 0);
                    let safe = ask.idempotent || fate == Fate::Same && !unknown;
                    let whole = sides == 3 && safe;
                    assert!(
                        !whole || end == Some(&Ok(())),
                        "{ask:?} {fate:?} {a:?} {b:?}: {end:?}"
                    );
                    runs += 1;
                }
            }
        }
    }
    println!("{runs} runs");
}

/// An engine dies under a stream. With another replica the stream goes on there; without one its
/// caller gets an error, never a clean end. What may run only once isn't tried again.
#[test]
fn engine_dead_at_each_chunk() {
    for events in 0..=6 {
        for ask in asks(events) {
            for (at, sides) in (0..=usize::from(events)).flat_map(|at| [(at, 1), (at, 2)]) {
                let mut w = World::new(sides);
                w.sides[0].dies = Some(at);
                w.call(ask);
                w.settle();
                let whole = ask.idempotent && sides == 2;
                match (&w.callers[0].end, whole) {
                    (Some(Ok(())), true) => {}
                    (Some(Err(f)), false) => {
                        assert_eq!((f.code, f.outcome), (Code::TargetLost, Outcome::Unknown));
                    }
                    (end, _) => panic!("{ask:?} dead at {at}: {end:?}"),
                }
            }
        }
    }
}

/// Large pieces fill what a sidecar keeps before the entry has had as many as it confirms at a
/// time, and a cut may lose the confirmation. The sidecar would wait for room, the entry for the
/// next piece, and the caller for ever.
#[test]
fn large_answers_flow_through_cuts() {
    for key in [None, Some(7)] {
        for cut in cuts(6) {
            let ask = Ask {
                key,
                size: 300 << 10,
                eager: false,
                ..ASK
            };
            let w = run(ask, 1, Fate::Same, [cut, None]);
            let end = w.callers[0].end.as_ref();
            // Without another replica a request that never arrived is only refused.
            let lost = cut.is_some_and(|c| c.up && c.at == 0);
            assert!(lost || end == Some(&Ok(())), "{cut:?}: {end:?}");
        }
    }
}

/// A faulty peer repeats, swaps or loses a frame, or ends an answer with another count or hash.
/// The caller would get words twice, in the wrong order or not at all, and a clean end after it.
#[test]
fn spoiled_frames_never_reach_the_caller() {
    use Spoil::{Digest, Fewer, Lose, More, Repeat, Swap};
    for (how, events) in [Repeat, Swap, Lose, More, Fewer, Digest]
        .into_iter()
        .flat_map(|how| (0..=6).map(move |events| (how, events)))
    {
        let mut spoiled = 0;
        for (ask, at) in asks(events)
            .into_iter()
            .flat_map(|a| (0..14).map(move |n| (a, n)))
        {
            let mut w = World::new(3);
            w.call(ask);
            let mut reads = 0;
            // The target goes first, so that frames wait to be swapped.
            while let Some(&m) = w.moves().last() {
                if matches!(m, Move::Entry(_)) {
                    reads += 1;
                    spoiled += usize::from(reads == at && w.spoil(0, how));
                }
                w.act(m);
            }
            w.settle();
            let end = w.callers[0].end.as_ref().expect("settled");
            // Only an end that can't be true is a failure; anything else is asked for again.
            let bad = matches!(how, Fewer | Digest) && !ask.idempotent;
            match end {
                Ok(()) => {}
                Err(f) => assert_eq!((bad, f.code), (true, Code::BadAnswer), "{how:?} {at}"),
            }
        }
        assert!(spoiled > 0 || events == 0, "{how:?}");
    }
}
