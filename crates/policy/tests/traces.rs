//! Replays of the traces of both users against their required outcomes, in virtual time.

#[path = "../examples/replay/sim/mod.rs"]
mod sim;

use serde::Deserialize;
use sim::report::Report;
use sim::{generate, parse, run, Fault, Order, Policy, Request, Setup, Workload};

/// What callers must receive at one load, at least or at most.
#[derive(Deserialize)]
struct Bound {
    load: f64,
    hit: f64,
    wasted: f64,
    call_p99_ms: u64,
    goodput: f64,
}

/// Ratios to the baselines and the oracle at 0.9 of the load.
#[derive(Deserialize)]
struct Ratios {
    wasted_of_least_loaded: f64,
    call_p99_of_best: f64,
    hit_of_oracle: f64,
}

/// Contents of the outcome file beside a trace.
#[derive(Deserialize)]
struct Outcome {
    workload: String,
    unit_speed: f64,
    ours: Vec<Bound>,
    at_90: Ratios,
    goodput_200_of_100: f64,
}

/// Multiples of a stated load over whose replays each bound is averaged: near full load, single
/// replays differ by a tenth at hardly different speeds.
const NEAR: [f64; 5] = [0.94, 0.97, 1.0, 1.03, 1.06];

const BASELINES: [Policy; 3] = [
    Policy::RoundRobin,
    Policy::LeastLoaded,
    Policy::ConsistentHash,
];

fn replay(
    outcome: &Outcome,
    workload: Workload,
    trace: &[Request],
    policy: Policy,
    load: f64,
) -> Report {
    let setup = Setup {
        speed: outcome.unit_speed * load,
        ..Setup::new(workload, policy)
    };
    let report = run(&setup, trace);
    assert_eq!(report.unended, 0, "{policy:?} at {load}");
    report
}

fn json(report: &Report) -> String {
    serde_json::to_string(report).expect("a report can be written")
}

fn check(outcome: &str, trace: &str, workload: Workload, name: &str) {
    let outcome: Outcome = serde_json::from_str(outcome).expect("the outcome can be read");
    let trace = parse(trace).expect("the trace can be read");
    assert_eq!(outcome.workload, name);
    let at = |policy, load| replay(&outcome, workload, &trace, policy, load);
    let at = &at;
    for bound in &outcome.ours {
        let near: Vec<Report> = std::thread::scope(|scope| {
            let one = |part| scope.spawn(move || at(Policy::Ours, bound.load * part));
            let runs = NEAR.map(one);
            runs.map(|run| run.join().expect("a replay ends")).into()
        });
        let mean = |f: fn(&Report) -> f64| near.iter().map(f).sum::<f64>() / NEAR.len() as f64;
        let (hit, wasted) = (mean(|r| r.hit), mean(|r| r.wasted));
        let (goodput, p99) = (mean(|r| r.goodput), mean(|r| r.classes[0].p99_ms as f64));
        let seen = format!("{name} at {}: {hit} {wasted} {goodput} {p99}", bound.load);
        println!("{seen}");
        assert!(hit >= bound.hit, "hit, {seen}");
        assert!(wasted <= bound.wasted, "wasted, {seen}");
        assert!(p99 <= bound.call_p99_ms as f64, "p99 of calls, {seen}");
        assert!(goodput >= bound.goodput, "goodput, {seen}");
    }

    let ours = at(Policy::Ours, 0.9);
    let baselines = BASELINES.map(|policy| at(policy, 0.9));
    let oracle = at(Policy::Oracle, 0.9);
    let ratios = &outcome.at_90;
    assert!(
        ours.wasted <= ratios.wasted_of_least_loaded * baselines[1].wasted,
        "{name}"
    );
    assert!(ours.hit >= ratios.hit_of_oracle * oracle.hit, "{name}");
    let best = baselines
        .iter()
        .map(|r| r.classes[0].p99_ms)
        .min()
        .unwrap_or(0);
    let p99 = ours.classes[0].p99_ms as f64;
    assert!(
        p99 <= ratios.call_p99_of_best * best as f64,
        "{name}: {p99} of {best}"
    );

    let (full, twice) = (at(Policy::Ours, 1.0), at(Policy::Ours, 2.0));
    assert!(
        twice.goodput >= outcome.goodput_200_of_100 * full.goodput,
        "{name}"
    );
}

#[test]
fn association() {
    check(
        include_str!("../../../traces/association.outcome.json"),
        include_str!("../../../traces/association.jsonl"),
        Workload::Association,
        "association",
    );
}

#[test]
fn alpen() {
    check(
        include_str!("../../../traces/alpen.outcome.json"),
        include_str!("../../../traces/alpen.jsonl"),
        Workload::Alpen,
        "alpen",
    );
}

/// A trace can be regenerated from its seed, so that a longer one like it can be made.
#[test]
fn traces_match_their_generator() {
    let texts = [
        include_str!("../../../traces/association.jsonl"),
        include_str!("../../../traces/alpen.jsonl"),
    ];
    let drawn = [
        generate(Workload::Association, 1_700, 11),
        generate(Workload::Alpen, 1_700, 12),
    ];
    for (text, drawn) in texts.into_iter().zip(drawn) {
        let lines = drawn
            .iter()
            .map(|r| serde_json::to_string(r).expect("a request can be written"));
        assert!(text.lines().eq(lines));
    }
}

/// A crash, a slow replica or a restart of all entries in the middle of a trace must cost little and
/// lose only requests that may not be retried.
#[test]
fn faults_cost_little() {
    let trace = parse(include_str!("../../../traces/alpen.jsonl")).expect("the trace can be read");
    let at = |faults| {
        let setup = Setup {
            order: Order::Ours,
            speed: 0.3,
            faults,
            ..Setup::new(Workload::Alpen, Policy::Ours)
        };
        run(&setup, &trace)
    };
    let midpoint = model::Micros::from_secs(60);
    let undisturbed = at(vec![]);
    let slow = Fault::Slow {
        replica: 1,
        factor: 5.0,
    };
    for fault in [Fault::Crash { replica: 1 }, Fault::Entries, slow] {
        let faulty = at(vec![(midpoint, fault)]);
        assert!(
            faulty.hit > 0.93 * undisturbed.hit,
            "{fault:?}: {}",
            json(&faulty)
        );
        assert!(faulty.quick_calls > 0.85, "{fault:?}: {}", json(&faulty));
        let lost: u32 = faulty.classes.iter().map(|c| c.lost).sum();
        assert!(lost <= 4, "{fault:?}: {}", json(&faulty));
    }
}
