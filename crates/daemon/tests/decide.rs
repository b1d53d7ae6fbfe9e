//! The sidecar's scheduler without processes or network: cached blocks, suspects, and the counting
//! of crashes.

use bytes::Bytes;
use daemon::crash_report::{self, CrashReport};
use daemon::settings::Kind;
use daemon::sidecar::scheduler::{
    EngineState, Finding, ProbeRequest, RequestSpec, RunKey, Scheduler, State,
};
use model::{Class, Incarnation, MemberId, Micros};
use policy::trial::Claim;
use prefix::{chain, Block, Event, Marks, Seed, BLOCK_BYTES};
use rand::rngs::SmallRng;
use rand::SeedableRng;

const NOW: Micros = Micros::from_secs(10);
const FAR: Micros = Micros::from_secs(600);

fn engine(incarnation: u64, weights: &str, loading: bool) -> EngineState<'_> {
    EngineState {
        incarnation: Incarnation(incarnation),
        model: "lekha",
        weights,
        loading,
    }
}

fn scheduler() -> Scheduler<u32> {
    let mut s = Scheduler::new(Kind::Model, 8, MemberId(1));
    s.update_engine(NOW, &engine(1, "1", false));
    let _ = s.set_block_list(NOW, Incarnation(1), 0, Vec::new());
    s
}

fn request(fingerprint: u64, strikes: u32) -> RequestSpec {
    RequestSpec {
        team: "team-one".to_owned(),
        weight: 1,
        class: Class::Normal,
        chain: Vec::new(),
        max_output_tokens: 1,
        deadline: FAR,
        fingerprint,
        strikes,
        crashes: Vec::new(),
        probe_id: 0,
        is_stream: true,
    }
}

/// Enqueues a request; returns whether it was admitted.
fn enqueue(s: &mut Scheduler<u32>, spec: RequestSpec, name: u32) -> bool {
    let mut rng = SmallRng::seed_from_u64(1);
    s.enqueue(NOW, spec, name, &mut rng).is_ok()
}

/// Dispatches all requests that may run now.
fn dispatch_all(s: &mut Scheduler<u32>) -> Vec<(u32, RunKey)> {
    let mut out = Vec::new();
    while let Some(g) = s.dispatch_next(NOW) {
        // The first byte ends the prefill, so that the next one may start.
        s.first_byte(NOW, g.run);
        out.push((g.grant, g.run));
    }
    out
}

fn names(dispatched: &[(u32, RunKey)]) -> Vec<u32> {
    dispatched.iter().map(|t| t.0).collect()
}

/// A change of an engine with cached blocks, and the expected result.
struct Change {
    case: &'static str,
    engine: EngineState<'static>,
    cached: u32,
    state: State,
}

/// Guards against counting blocks as cached after the engine restarted or changed its weights.
#[test]
fn cached_blocks_are_dropped_with_the_incarnation_and_the_weights() {
    let prompt = "x".repeat(3 * BLOCK_BYTES);
    let [marks, newer] = ["1", "2"].map(|weights| {
        let points = chain(Seed::new("team-one", "lekha", weights), &prompt);
        Marks::new(&points)
    });
    #[rustfmt::skip]
    let cases = [
        Change { case: "nothing", engine: engine(1, "1", false), cached: 3, state: State::Serving },
        Change { case: "another incarnation", engine: engine(2, "1", false), cached: 0, state: State::Serving },
        Change { case: "other weights", engine: engine(1, "2", false), cached: 0, state: State::Serving },
        Change { case: "loading", engine: engine(1, "1", true), cached: 3, state: State::Loading },
    ];
    for c in cases {
        let mut s = scheduler();
        store_blocks(&mut s, &prompt);
        assert_eq!(cached_blocks(&mut s, &marks), 3, "{}", c.case);
        s.update_engine(NOW, &c.engine);
        assert_eq!(cached_blocks(&mut s, &marks), c.cached, "{}", c.case);
        assert_eq!(s.state(), c.state, "{}", c.case);
        // The last events of the first incarnation arrive late.
        store_blocks(&mut s, &prompt);
        assert_eq!(
            cached_blocks(&mut s, &marks),
            c.cached,
            "{}, late events",
            c.case
        );
        let newer = cached_blocks(&mut s, &newer);
        assert_eq!(newer, 0, "{}, counted for the newer weights", c.case);
    }
}

fn store_blocks(s: &mut Scheduler<u32>, prompt: &str) {
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
        let _ = s.apply_event(NOW, event);
    }
}

fn cached_blocks(s: &mut Scheduler<u32>, marks: &Marks) -> u32 {
    let request = ProbeRequest {
        probe_id: 1,
        team: "team-one".to_owned(),
        class: Class::Normal,
        marks: marks.clone(),
        blocks: marks.blocks(),
        fingerprint: 1,
    };
    s.answer_probe(NOW, &request).cached_blocks
}

/// Guards against convicting a request that only ran beside the one that crashed the engine.
#[test]
fn suspects_run_one_at_a_time_and_others_beside_them() {
    let mut s = scheduler();
    for (name, strikes) in [(1, 1), (2, 0), (3, 1), (4, 0), (5, 1)] {
        assert!(enqueue(&mut s, request(u64::from(name), strikes), name));
    }
    let mut running = dispatch_all(&mut s);
    assert_eq!(names(&running), [1, 2, 4]);
    for next in [3, 5] {
        s.finished(NOW, running[0].1, 0);
        running = dispatch_all(&mut s);
        assert_eq!(names(&running), [next]);
    }
}

/// Crashes recorded for a request before the sidecar's own engine crashes under it.
struct Crashes {
    case: &'static str,
    received: &'static [u64],
    strikes: u32,
    convicted_before: bool,
    convicted: bool,
}

/// Guards against a crash that is counted twice or not at all.
#[test]
fn each_crash_counts_once() {
    #[rustfmt::skip]
    let cases = [
        Crashes { case: "none", received: &[], strikes: 0, convicted_before: false, convicted: false },
        Crashes { case: "one received", received: &[7], strikes: 0, convicted_before: false, convicted: true },
        Crashes { case: "one received three times", received: &[7, 7, 7], strikes: 0, convicted_before: false, convicted: true },
        Crashes { case: "one received with and without its ID", received: &[7, 0], strikes: 0, convicted_before: false, convicted: true },
        Crashes { case: "one known to the entry only", received: &[], strikes: 1, convicted_before: false, convicted: true },
        Crashes { case: "one received and known to the entry", received: &[7], strikes: 1, convicted_before: false, convicted: true },
        Crashes { case: "two received", received: &[7, 8], strikes: 0, convicted_before: true, convicted: true },
    ];
    for c in cases {
        let mut s = scheduler();
        let mut before = false;
        for crash in c.received {
            let report = CrashReport {
                fingerprint: 5,
                convicted: false,
                crash: *crash,
            };
            before |= s.receive_crash_report(NOW, report, FAR);
        }
        assert_eq!(before, c.convicted_before, "{}", c.case);
        assert_eq!(
            enqueue(&mut s, request(5, c.strikes), 1),
            !c.convicted_before,
            "{}",
            c.case
        );
        let Some((_, run)) = dispatch_all(&mut s).pop() else {
            assert!(c.convicted_before, "{}", c.case);
            continue;
        };
        let report = s.record_crash(NOW, run).expect("the request runs");
        assert_eq!(report.convicted, c.convicted, "{}", c.case);
        // The sidecar's own report, sent back by others, changes nothing.
        assert!(!s.receive_crash_report(NOW, report, FAR), "{}", c.case);
        assert_eq!(
            enqueue(&mut s, request(5, 0), 2),
            !c.convicted,
            "{}",
            c.case
        );
    }
}

/// The other sidecar's answer to a claim on a suspect, and the expected result.
struct Answer {
    case: &'static str,
    /// The other sidecar's finding; `None` if it doesn't answer.
    finding: Option<Finding>,
    /// Whether the suspect runs.
    runs: bool,
    /// Whether the suspect is convicted and refused.
    rejected: bool,
}

/// Guards against running a request that may crash engines while another engine runs it.
#[test]
fn suspect_waits_for_the_answers_of_other_sidecars() {
    const PEER: u64 = 2;
    let found = |crashes: &[u64], busy, good| {
        Some(Finding {
            fingerprint: 5,
            crashes: crashes.to_vec(),
            busy,
            good,
        })
    };
    #[rustfmt::skip]
    let cases = [
        Answer { case: "no answer yet", finding: None, runs: false, rejected: false },
        Answer { case: "the suspect runs there", finding: found(&[7], true, false), runs: false, rejected: false },
        Answer { case: "another crash is recorded there", finding: found(&[8], false, false), runs: false, rejected: true },
        Answer { case: "only the known crash is recorded there", finding: found(&[7], false, false), runs: true, rejected: false },
        Answer { case: "nothing is recorded there", finding: found(&[], false, false), runs: true, rejected: false },
        Answer { case: "the suspect was answered successfully there", finding: found(&[], true, true), runs: true, rejected: false },
    ];
    for c in cases {
        let mut s = scheduler();
        s.set_peers(vec![PEER]);
        let spec = RequestSpec {
            crashes: vec![7],
            ..request(5, 1)
        };
        assert!(enqueue(&mut s, spec, 1), "{}", c.case);
        assert!(
            dispatch_all(&mut s).is_empty(),
            "{}: before the query",
            c.case
        );
        let step = s.next_query(NOW).expect("a query");
        assert_eq!(step.peers, [PEER], "{}", c.case);
        if let Some(f) = &c.finding {
            let report = s.receive_finding(NOW, PEER, step.query, f);
            assert_eq!(report.is_some(), c.rejected, "{}", c.case);
        }
        assert_eq!(
            dispatch_all(&mut s).len(),
            usize::from(c.runs),
            "{}",
            c.case
        );
        assert_eq!(
            s.take_rejected().len(),
            usize::from(c.rejected),
            "{}",
            c.case
        );
    }
}

/// Guards against a suspect that waits forever for a sidecar that no longer exists.
#[test]
fn suspect_skips_a_sidecar_that_does_not_answer() {
    let mut s = scheduler();
    s.set_peers(vec![2]);
    assert!(enqueue(&mut s, request(5, 1), 1));
    let mut now = NOW;
    while s.dispatch_next(now).is_none() {
        let _ = s.next_query(now);
        now = s.wake().expect("a time for the next query");
        assert!(now < NOW + Micros::from_secs(1), "the suspect still waits");
    }
}

/// Guards against answering that a request doesn't run while its run may still crash the engine.
#[test]
fn run_is_reported_until_its_crash_is_counted() {
    let claim = Claim {
        fingerprint: crash_report::fingerprint(5),
        rank: 1,
    };
    let mut s = scheduler();
    assert!(enqueue(&mut s, request(5, 0), 1));
    let run = dispatch_all(&mut s).pop().expect("the request runs").1;
    let before = s.answer_claim(NOW, 2, claim);
    assert_eq!((before.busy, before.crashes.len()), (true, 0));
    s.record_crash(NOW, run).expect("the request runs");
    s.finished(NOW, run, 0);
    let after = s.answer_claim(NOW, 2, claim);
    assert_eq!((after.busy, after.crashes.len()), (false, 1));
}

/// Guards against losing a part of a crash report in the number that the fleet spreads.
#[test]
fn encoded_crash_report_decodes_to_the_same_report() {
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

/// Guards against counting a prompt's own expected blocks as cached when it is dispatched.
#[test]
fn cost_and_utilization_are_measured_from_computed_prompts() {
    const BLOCKS: usize = 100;
    const PREFILL: Micros = Micros::from_millis(40);
    let mut s = scheduler();
    let seed = Seed::new("team-one", "lekha", "1");
    let probe = |name: u8| ProbeRequest {
        probe_id: u64::from(name),
        team: "team-one".to_owned(),
        class: Class::Normal,
        marks: Marks::new(&chain(seed, [name; BLOCKS * BLOCK_BYTES])),
        blocks: BLOCKS as u32,
        fingerprint: 0,
    };
    let guess = s.answer_probe(NOW, &probe(0)).prefill_per_block;
    let mut now = NOW;
    for name in 1..=20 {
        let mut rng = SmallRng::seed_from_u64(1);
        let spec = RequestSpec {
            chain: chain(seed, [name; BLOCKS * BLOCK_BYTES]),
            ..request(u64::from(name), 0)
        };
        s.enqueue(now, spec, u32::from(name), &mut rng)
            .expect("the request is admitted");
        let granted = s.dispatch_next(now).expect("the request is dispatched");
        now = now + PREFILL;
        s.first_byte(now, granted.run);
        s.finished(now, granted.run, 0);
    }
    let answer = s.answer_probe(now, &probe(21));
    let true_cost = Micros(PREFILL.0 / BLOCKS as u64);
    assert!(
        answer.prefill_per_block < Micros(true_cost.0 * 3 / 2),
        "{:?} after {guess:?}",
        answer.prefill_per_block
    );
    assert!(answer.utilization > 0.1, "{}", answer.utilization);
}
