//! The sidecar's decisions without processes: what it claims of its engine, whom it runs beside
//! whom, and how crashes add up.

use bytes::Bytes;
use daemon::crash_report::{self, CrashReport};
use daemon::settings::Kind;
use daemon::sidecar::decide::{Decide, Finding, Found, Question, RunKey, State, Work};
use model::{Class, Incarnation, MemberId, Micros};
use policy::trial::Claim;
use prefix::{chain, Block, Event, Marks, Seed, BLOCK_BYTES};
use rand::rngs::SmallRng;
use rand::SeedableRng;

const NOW: Micros = Micros::from_secs(10);
const FAR: Micros = Micros::from_secs(600);

fn found(life: u64, weights: &str, loading: bool) -> Found<'_> {
    Found {
        life: Incarnation(life),
        model: "lekha",
        weights,
        loading,
    }
}

fn decide() -> Decide<u32> {
    let mut d = Decide::new(Kind::Model, 8, MemberId(1));
    d.engine(NOW, &found(1, "1", false));
    let _ = d.listed(NOW, Incarnation(1), 0, Vec::new());
    d
}

fn work(fingerprint: u64, strikes: u32) -> Work {
    Work {
        team: "team-one".to_owned(),
        share: 1,
        class: Class::Normal,
        chain: Vec::new(),
        output: 1,
        deadline: FAR,
        fingerprint,
        strikes,
        crashes: Vec::new(),
        probe: 0,
        stream: true,
    }
}

/// Takes a request in.
fn open(d: &mut Decide<u32>, work: Work, name: u32) -> bool {
    let mut rng = SmallRng::seed_from_u64(1);
    d.open(NOW, work, name, &mut rng).is_ok()
}

/// Requests whose turn has come.
fn turns(d: &mut Decide<u32>) -> Vec<(u32, RunKey)> {
    let mut out = Vec::new();
    while let Some(g) = d.next(NOW) {
        // Its first byte makes room for the next prefill.
        d.first(NOW, g.run);
        out.push((g.grant, g.run));
    }
    out
}

fn names(turns: &[(u32, RunKey)]) -> Vec<u32> {
    turns.iter().map(|t| t.0).collect()
}

/// What becomes of an engine whose blocks are claimed.
struct Change {
    what: &'static str,
    found: Found<'static>,
    claimed: u32,
    state: State,
}

/// Guards against claims on blocks of an engine that has crashed or has other weights.
#[test]
fn claims_end_with_the_life_and_the_weights() {
    let prompt = "x".repeat(3 * BLOCK_BYTES);
    let [marks, newer] = ["1", "2"].map(|weights| {
        let points = chain(Seed::new("team-one", "lekha", weights), &prompt);
        Marks::new(&points)
    });
    #[rustfmt::skip]
    let cases = [
        Change { what: "nothing", found: found(1, "1", false), claimed: 3, state: State::Serving },
        Change { what: "another life", found: found(2, "1", false), claimed: 0, state: State::Serving },
        Change { what: "other weights", found: found(1, "2", false), claimed: 0, state: State::Serving },
        Change { what: "loading", found: found(1, "1", true), claimed: 3, state: State::Loading },
    ];
    for c in cases {
        let mut d = decide();
        store(&mut d, &prompt);
        assert_eq!(matched(&mut d, &marks), 3, "{}", c.what);
        d.engine(NOW, &c.found);
        assert_eq!(matched(&mut d, &marks), c.claimed, "{}", c.what);
        assert_eq!(d.state(), c.state, "{}", c.what);
        // The dead life's last events come late.
        store(&mut d, &prompt);
        assert_eq!(
            matched(&mut d, &marks),
            c.claimed,
            "{}, late events",
            c.what
        );
        let newer = matched(&mut d, &newer);
        assert_eq!(newer, 0, "{}, taken for newer ones", c.what);
    }
}

fn store(d: &mut Decide<u32>, prompt: &str) {
    for (i, text) in prompt.as_bytes().chunks_exact(BLOCK_BYTES).enumerate() {
        let hash = i as u64 + 1;
        let block = Block {
            hash,
            parent: (i > 0).then(|| hash - 1),
            scope: "team-one".to_owned(),
            text: Bytes::copy_from_slice(text),
        };
        let event = Event {
            seq: hash,
            incarnation: Incarnation(1),
            kind: prefix::Kind::Stored(block),
        };
        let _ = d.event(NOW, event);
    }
}

fn matched(d: &mut Decide<u32>, marks: &Marks) -> u32 {
    let question = Question {
        probe: 1,
        team: "team-one".to_owned(),
        class: Class::Normal,
        marks: marks.clone(),
        blocks: marks.blocks(),
        fingerprint: 1,
    };
    d.offer(NOW, &question).matched
}

/// Guards against convicting a request for having run beside the one that crashed its engine.
#[test]
fn suspects_run_one_at_a_time_and_others_beside_them() {
    let mut d = decide();
    for (name, strikes) in [(1, 1), (2, 0), (3, 1), (4, 0), (5, 1)] {
        assert!(open(&mut d, work(u64::from(name), strikes), name));
    }
    let mut running = turns(&mut d);
    assert_eq!(names(&running), [1, 2, 4]);
    for next in [3, 5] {
        d.finished(NOW, running[0].1, 0);
        running = turns(&mut d);
        assert_eq!(names(&running), [next]);
    }
}

/// Crashes of one request as a sidecar learns of them, before its own engine dies under it.
struct Count {
    what: &'static str,
    heard: &'static [u64],
    strikes: u32,
    before: bool,
    convicted: bool,
}

/// Guards against a crash that is counted twice or not at all.
#[test]
fn each_crash_counts_once() {
    #[rustfmt::skip]
    let cases = [
        Count { what: "none", heard: &[], strikes: 0, before: false, convicted: false },
        Count { what: "one heard", heard: &[7], strikes: 0, before: false, convicted: true },
        Count { what: "one heard three times", heard: &[7, 7, 7], strikes: 0, before: false, convicted: true },
        Count { what: "one heard with and without its name", heard: &[7, 0], strikes: 0, before: false, convicted: true },
        Count { what: "one not heard yet", heard: &[], strikes: 1, before: false, convicted: true },
        Count { what: "one heard and carried", heard: &[7], strikes: 1, before: false, convicted: true },
        Count { what: "two heard", heard: &[7, 8], strikes: 0, before: true, convicted: true },
    ];
    for c in cases {
        let mut d = decide();
        let mut before = false;
        for crash in c.heard {
            let report = CrashReport {
                fingerprint: 5,
                convicted: false,
                crash: *crash,
            };
            before |= d.told(NOW, report, FAR);
        }
        assert_eq!(before, c.before, "{}", c.what);
        assert_eq!(open(&mut d, work(5, c.strikes), 1), !c.before, "{}", c.what);
        let Some((_, run)) = turns(&mut d).pop() else {
            assert!(c.before, "{}", c.what);
            continue;
        };
        let report = d.crashed(NOW, run).expect("it runs");
        assert_eq!(report.convicted, c.convicted, "{}", c.what);
        // Its own news, told back by others, changes nothing.
        assert!(!d.told(NOW, report, FAR), "{}", c.what);
        assert_eq!(open(&mut d, work(5, 0), 2), !c.convicted, "{}", c.what);
    }
}

/// What the other sidecar answers to a suspect's claim.
struct Answer {
    what: &'static str,
    /// Its finding; none if it doesn't answer.
    finding: Option<Finding>,
    /// Whether the suspect runs, and whether it is refused for good.
    runs: bool,
    rejected: bool,
}

/// Guards against running a request that may crash engines while another engine runs it.
#[test]
fn suspect_waits_for_what_the_other_sidecars_answer() {
    const PEER: u64 = 2;
    let found = |crashes: &[u64], busy, good| {
        Some(Finding {
            print: 5,
            crashes: crashes.to_vec(),
            busy,
            good,
        })
    };
    #[rustfmt::skip]
    let cases = [
        Answer { what: "no answer yet", finding: None, runs: false, rejected: false },
        Answer { what: "it runs there", finding: found(&[7], true, false), runs: false, rejected: false },
        Answer { what: "it crashed there as well", finding: found(&[8], false, false), runs: false, rejected: true },
        Answer { what: "only the known crash", finding: found(&[7], false, false), runs: true, rejected: false },
        Answer { what: "nothing is known there", finding: found(&[], false, false), runs: true, rejected: false },
        Answer { what: "it was answered well there", finding: found(&[], true, true), runs: true, rejected: false },
    ];
    for c in cases {
        let mut d = decide();
        d.set_peers(vec![PEER]);
        let work = Work {
            crashes: vec![7],
            ..work(5, 1)
        };
        assert!(open(&mut d, work, 1), "{}", c.what);
        assert!(turns(&mut d).is_empty(), "{}: unasked", c.what);
        let asked = d.inquire(NOW).expect("a question");
        assert_eq!(asked.peers, [PEER], "{}", c.what);
        if let Some(f) = &c.finding {
            let report = d.answered(NOW, PEER, asked.query, f);
            assert_eq!(report.is_some(), c.rejected, "{}", c.what);
        }
        assert_eq!(turns(&mut d).len(), usize::from(c.runs), "{}", c.what);
        assert_eq!(d.rejected().len(), usize::from(c.rejected), "{}", c.what);
    }
}

/// Guards against a suspect that waits for ever for a sidecar that doesn't exist any more.
#[test]
fn suspect_passes_over_a_sidecar_that_does_not_answer() {
    let mut d = decide();
    d.set_peers(vec![2]);
    assert!(open(&mut d, work(5, 1), 1));
    let mut now = NOW;
    while d.next(now).is_none() {
        let _ = d.inquire(now);
        now = d.wake().expect("a time to ask again");
        assert!(now < NOW + Micros::from_secs(1), "it still waits");
    }
}

/// Guards against telling another sidecar that a request doesn't run while a run may still crash.
#[test]
fn run_is_told_until_its_crash_is_counted() {
    let claim = Claim {
        fingerprint: crash_report::fingerprint(5),
        rank: 1,
    };
    let mut d = decide();
    assert!(open(&mut d, work(5, 0), 1));
    let run = turns(&mut d).pop().expect("it runs").1;
    let before = d.inquired(NOW, 2, claim);
    assert_eq!((before.busy, before.crashes.len()), (true, 0));
    d.crashed(NOW, run).expect("it runs");
    d.finished(NOW, run, 0);
    let after = d.inquired(NOW, 2, claim);
    assert_eq!((after.busy, after.crashes.len()), (false, 1));
}

/// Gossip carries a report as one number.
#[test]
fn mark_comes_back_from_its_number() {
    for convicted in [false, true] {
        for crash in [0, 1, u64::MAX >> 1] {
            let report = CrashReport {
                fingerprint: u64::MAX - 3,
                convicted,
                crash,
            };
            assert_eq!(CrashReport::decode(report.encode()), report);
        }
    }
}

/// Guards against a prompt's own blocks that count as cached at its turn.
#[test]
fn cost_and_use_are_learnt_from_prompts_that_are_computed() {
    const BLOCKS: usize = 100;
    const PREFILL: Micros = Micros::from_millis(40);
    let mut d = decide();
    let seed = Seed::new("team-one", "lekha", "1");
    let question = |name: u8| Question {
        probe: u64::from(name),
        team: "team-one".to_owned(),
        class: Class::Normal,
        marks: Marks::new(&chain(seed, [name; BLOCKS * BLOCK_BYTES])),
        blocks: BLOCKS as u32,
        fingerprint: 0,
    };
    let guess = d.offer(NOW, &question(0)).prefill;
    let mut now = NOW;
    for name in 1..=20 {
        let mut rng = SmallRng::seed_from_u64(1);
        let work = Work {
            chain: chain(seed, [name; BLOCKS * BLOCK_BYTES]),
            ..work(u64::from(name), 0)
        };
        d.open(now, work, u32::from(name), &mut rng).expect("taken");
        let turn = d.next(now).expect("its turn");
        now = now + PREFILL;
        d.first(now, turn.run);
        d.finished(now, turn.run, 0);
    }
    let told = d.offer(now, &question(21));
    let true_cost = Micros(PREFILL.0 / BLOCKS as u64);
    assert!(
        told.prefill < Micros(true_cost.0 * 3 / 2),
        "{:?} after {guess:?}",
        told.prefill
    );
    assert!(told.busy > 0.1, "{}", told.busy);
}
