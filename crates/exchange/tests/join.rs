//! A second attempt under the same idempotency key gets the answer of the first.

mod common;

use common::{RequestSpec, Simulation, Step};
use model::{Code, Outcome};

const VOTE: RequestSpec = RequestSpec {
    idempotent: false,
    streamed: false,
    key: Some(7),
    events: 5,
    size: 1,
    incarnation_known: true,
    confirm_each: true,
};

/// A first attempt, and an incident before the second attempt.
struct Case {
    what: &'static str,
    size: usize,
    /// Steps of the first attempt before the incident.
    steps: usize,
    incident: fn(&mut Simulation),
    /// Result of the second attempt.
    expected: Result<(), (Code, Outcome)>,
}

/// Sends the same key first through replica 0 and then through replica 1.
fn run(case: &Case) -> Simulation {
    let mut w = Simulation::new(3);
    w.call(RequestSpec {
        size: case.size,
        ..VOTE
    });
    for _ in 0..case.steps {
        match w.moves().first() {
            Some(&m) => w.act(m),
            None => break,
        }
    }
    (case.incident)(&mut w);
    w.call(RequestSpec {
        size: case.size,
        ..VOTE
    });
    w.callers[1].tried.push(0);
    w.settle();
    w
}

/// Guards against a partial or missing answer when a client sends its vote again with the same
/// key: it must get the first attempt's whole answer or the error that there was an attempt.
#[test]
fn second_attempt_gets_the_whole_answer_or_already_attempted() {
    const UNKNOWN: (Code, Outcome) = (Code::AlreadyAttempted, Outcome::Unknown);
    const LARGE: usize = 300 << 10;
    #[rustfmt::skip]
    let cases = [
        Case { what: "first attempt running", size: 1, steps: 6, incident: |_| {}, expected: Ok(()) },
        Case { what: "first attempt ended", size: 1, steps: 99, incident: |_| {}, expected: Ok(()) },
        Case { what: "first entry crashed", size: 1, steps: 6, incident: |w| w.crash(0), expected: Ok(()) },
        Case { what: "first connection cut", size: 1, steps: 6, incident: |w| w.break_conn(0), expected: Ok(()) },
        Case { what: "answer no longer kept", size: 1, steps: 99, incident: Simulation::forget, expected: Err(UNKNOWN) },
        Case { what: "sidecar restarted", size: 1, steps: 6, incident: |w| w.restart(0), expected: Err(UNKNOWN) },
        Case { what: "sidecar gone", size: 1, steps: 99, incident: |w| w.sidecars[0].gone = true, expected: Err(UNKNOWN) },
        Case { what: "engine crashed", size: 1, steps: 6, incident: |w| w.sidecars[0].engine += 1, expected: Err(UNKNOWN) },
        Case { what: "answer too large, running", size: LARGE, steps: 99, incident: |_| {}, expected: Err(UNKNOWN) },
        Case { what: "answer too large, entry crashed", size: LARGE, steps: 12, incident: |w| w.crash(0), expected: Err(UNKNOWN) },
    ];
    for case in &cases {
        let w = run(case);
        let end = w.callers[1].end.clone().expect("settled");
        let result = end.map_err(|f| (f.code, f.outcome));
        assert_eq!(result, case.expected, "{}", case.what);
        assert_eq!(w.log.len(), 1, "{}", case.what);
        assert!(w.idle(), "{}: holds a slot", case.what);
    }
}

/// Guards against a claim whose write took effect but whose answer was lost: a second attempt must
/// neither run the request nor report that it ran.
#[test]
fn claim_without_a_run_is_never_called_a_run() {
    let mut w = Simulation::new(2);
    w.lose_next_claim = true;
    w.call(VOTE);
    w.settle();
    w.call(VOTE);
    w.settle();
    for c in &w.callers {
        let f = c
            .end
            .clone()
            .expect("settled")
            .expect_err("the request did not run");
        assert_eq!(
            (f.code, f.outcome),
            (Code::AlreadyAttempted, Outcome::Unknown)
        );
    }
    assert!(w.log.is_empty());
}

/// Guards against two runs when two entries send the same key at once; covers every interleaving
/// of their first steps.
#[test]
fn two_entries_at_once_run_it_once() {
    const DEPTH: u32 = 12;
    for bits in 0..1_u32 << DEPTH {
        let mut w = Simulation::new(2);
        w.call(VOTE);
        w.call(VOTE);
        w.callers[1].tried.push(0);
        for n in 0..DEPTH {
            let mine = |m: &&Step| w.owner(**m) == (bits >> n & 1) as usize;
            if let Some(m) = w.moves().iter().find(mine).copied() {
                w.act(m);
            }
        }
        w.settle();
        assert!(w.callers.iter().all(|c| c.end == Some(Ok(()))), "{bits:b}");
        assert_eq!(w.log.len(), 1, "{bits:b}");
    }
}
