//! A second attempt under the same idempotency key gets the answer of the first.

mod common;

use common::{Ask, Move, World};
use model::{Code, Outcome};

const VOTE: Ask = Ask {
    idempotent: false,
    streamed: false,
    key: Some(7),
    events: 5,
    size: 1,
    known: true,
    eager: true,
};

/// What happens between the two attempts.
struct Case {
    what: &'static str,
    size: usize,
    /// Steps of the first attempt before it happens.
    steps: usize,
    happens: fn(&mut World),
    /// What the second caller is told.
    told: Result<(), (Code, Outcome)>,
}

/// Sends the same key first through replica 0 and then through replica 1.
fn run(case: &Case) -> World {
    let mut w = World::new(3);
    w.call(Ask {
        size: case.size,
        ..VOTE
    });
    for _ in 0..case.steps {
        match w.moves().first() {
            Some(&m) => w.act(m),
            None => break,
        }
    }
    (case.happens)(&mut w);
    w.call(Ask {
        size: case.size,
        ..VOTE
    });
    w.callers[1].tried.push(0);
    w.settle();
    w
}

/// A client whose connection seems dead sends its vote again with the same key, through another
/// entry that chooses another replica. He must get the answer to the vote that counted, from its
/// start, or hear that it was attempted; half an answer or none at all would be worse than both.
#[test]
fn second_attempt_gets_the_whole_answer_or_a_typed_error() {
    const UNKNOWN: (Code, Outcome) = (Code::AlreadyAttempted, Outcome::Unknown);
    const LARGE: usize = 300 << 10;
    #[rustfmt::skip]
    let cases = [
        Case { what: "while it runs", size: 1, steps: 6, happens: |_| {}, told: Ok(()) },
        Case { what: "after its end", size: 1, steps: 99, happens: |_| {}, told: Ok(()) },
        Case { what: "first entry dead", size: 1, steps: 6, happens: |w| w.crash(0), told: Ok(()) },
        Case { what: "first connection cut", size: 1, steps: 6, happens: |w| w.break_conn(0), told: Ok(()) },
        Case { what: "no longer kept", size: 1, steps: 99, happens: World::forget, told: Err(UNKNOWN) },
        Case { what: "sidecar restarted", size: 1, steps: 6, happens: |w| w.restart(0), told: Err(UNKNOWN) },
        Case { what: "sidecar gone", size: 1, steps: 99, happens: |w| w.sides[0].gone = true, told: Err(UNKNOWN) },
        Case { what: "engine dead", size: 1, steps: 6, happens: |w| w.sides[0].engine += 1, told: Err(UNKNOWN) },
        Case { what: "too large, running", size: LARGE, steps: 99, happens: |_| {}, told: Err(UNKNOWN) },
        Case { what: "too large, entry dead", size: LARGE, steps: 12, happens: |w| w.crash(0), told: Err(UNKNOWN) },
    ];
    for case in &cases {
        let w = run(case);
        let end = w.callers[1].end.clone().expect("settled");
        let told = end.map_err(|f| (f.code, f.outcome));
        assert_eq!(told, case.told, "{}", case.what);
        assert_eq!(w.log.len(), 1, "{}", case.what);
        assert!(w.idle(), "{}: holds a slot", case.what);
    }
}

/// The answer to a claim is lost after the write took effect. The claim stands though nobody runs
/// the request; whoever sends it again must not be told that it ran, nor may it run by then.
#[test]
fn claim_without_a_run_is_never_called_a_run() {
    let mut w = World::new(2);
    w.lossy = true;
    w.call(VOTE);
    w.settle();
    w.call(VOTE);
    w.settle();
    for c in &w.callers {
        let f = c.end.clone().expect("settled").expect_err("nobody ran it");
        assert_eq!(
            (f.code, f.outcome),
            (Code::AlreadyAttempted, Outcome::Unknown)
        );
    }
    assert!(w.log.is_empty());
}

/// Two entries send the same key at once; every interleaving of the first steps is tried.
#[test]
fn two_entries_at_once_run_it_once() {
    const DEPTH: u32 = 12;
    for bits in 0..1_u32 << DEPTH {
        let mut w = World::new(2);
        w.call(VOTE);
        w.call(VOTE);
        w.callers[1].tried.push(0);
        for n in 0..DEPTH {
            let mine = |m: &&Move| w.owner(**m) == (bits >> n & 1) as usize;
            if let Some(m) = w.moves().iter().find(mine).copied() {
                w.act(m);
            }
        }
        w.settle();
        assert!(w.callers.iter().all(|c| c.end == Some(Ok(()))), "{bits:b}");
        assert_eq!(w.log.len(), 1, "{bits:b}");
    }
}
