//! Load patterns in simulation, checked by what callers receive, each with a baseline that fails.

#[path = "../examples/replay/sim/mod.rs"]
mod sim;

use model::{Class, Micros};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sim::report::Report;
use sim::{generate, parse, run, Fault, Order, Policy, Request, Setup, Workload};

/// A load pattern, and the condition that its report must meet.
struct Case {
    name: &'static str,
    workload: Workload,
    trace: Vec<Request>,
    speed: f64,
    faults: Vec<(Micros, Fault)>,
    baseline: (Policy, Order),
    holds: fn(&[Request], &Report) -> bool,
}

fn setup(case: &Case, policy: Policy, order: Order) -> Setup {
    Setup {
        order,
        speed: case.speed,
        faults: case.faults.clone(),
        ..Setup::new(case.workload, policy)
    }
}

fn json(report: &Report) -> String {
    serde_json::to_string(report).expect("a report can be written")
}

fn check(case: &Case) {
    let ours = run(&setup(case, Policy::Ours, Order::Ours), &case.trace);
    assert!(
        (case.holds)(&case.trace, &ours),
        "{}: {}",
        case.name,
        json(&ours)
    );
    assert_eq!(ours.unended, 0, "{}", case.name);
    let (policy, order) = case.baseline;
    let baseline = run(&setup(case, policy, order), &case.trace);
    assert!(
        !(case.holds)(&case.trace, &baseline),
        "{}: the baseline passes too: {}",
        case.name,
        json(&baseline)
    );
}

/// A request with its prefix and output, at a time.
fn request(at_ms: u64, team: &str, class: Class, prefix: &[(&str, u32)], output: u32) -> Request {
    Request {
        at_ms,
        team: team.to_owned(),
        class,
        path: "/v1/completions".to_owned(),
        prefix: prefix
            .iter()
            .map(|(id, n)| ((*id).to_owned(), *n))
            .collect(),
        tail: 100,
        output,
        idempotent: true,
    }
}

/// Requests at regular intervals, `rate` per second for `secs` seconds.
fn steady(rate: u64, secs: u64, mut make: impl FnMut(u64, u64) -> Request) -> Vec<Request> {
    (0..rate * secs)
        .map(|i| make(i, i * 1_000 / rate))
        .collect()
}

fn merge(parts: impl IntoIterator<Item = Vec<Request>>) -> Vec<Request> {
    let mut all: Vec<Request> = parts.into_iter().flatten().collect();
    all.sort_by_key(|r| r.at_ms);
    all
}

/// Calls of four teams, each with a few books that fit into the caches of nine engines.
fn calls(rate: u64, secs: u64) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(3);
    steady(rate, secs, |_, at| {
        let team = format!("t{}", rng.random_range(0..4));
        let book = format!("{team}b{}", rng.random_range(0..6));
        request(
            at,
            &team,
            Class::Call,
            &[(&team, 2_000), (&book, 5_000)],
            24,
        )
    })
}

fn call_share(trace: &[Request], report: &Report, secs: u64) -> f64 {
    let time = Micros::from_secs(secs);
    report.within(time, |i| {
        trace[i].class == Class::Call && trace[i].at_ms > 5_000
    })
}

/// A nightly batch starts at once while calls go on. In order of arrival every call waits for the
/// whole batch, and the people on the phone hang up.
#[test]
fn burst() {
    let burst = (0..400).map(|i| {
        let book = format!("night{}", i % 40);
        request(20_000, "night", Class::Batch, &[(&book, 6_000)], 100)
    });
    check(&Case {
        name: "burst",
        workload: Workload::Association,
        trace: merge([calls(12, 60), burst.collect()]),
        speed: 1.0,
        faults: vec![],
        baseline: (Policy::Ours, Order::Fifo),
        holds: |t, r| call_share(t, r, 3) > 0.97,
    });
}

/// One team's client misbehaves and sends ten times what the others send. Without fairness the other
/// teams' calls wait behind thousands of its requests.
#[test]
fn hot_caller() {
    let hot = steady(40, 40, |i, at| {
        let text = format!("hot{i}");
        request(at + 10_000, "hot", Class::Call, &[(&text, 4_000)], 24)
    });
    check(&Case {
        name: "hot caller",
        workload: Workload::Association,
        trace: merge([calls(8, 60), hot]),
        speed: 1.0,
        faults: vec![],
        baseline: (Policy::ConsistentHash, Order::Fifo),
        holds: |t, r| r.within(Micros::from_secs(6), |i| t[i].team != "hot") > 0.9,
    });
}

/// One prefix becomes so hot that its replica can't serve it alone. Pinned to that replica, its
/// callers queue there while eight replicas idle.
#[test]
fn hot_key() {
    let hot = steady(90, 30, |_, at| {
        request(at, "hot", Class::Call, &[("hot", 6_000)], 24)
    });
    check(&Case {
        name: "hot key",
        workload: Workload::Association,
        trace: merge([calls(6, 30), hot]),
        speed: 1.0,
        faults: vec![],
        baseline: (Policy::ConsistentHash, Order::Ours),
        holds: |t, r| call_share(t, r, 3) > 0.9,
    });
}

/// One replica runs at a tenth of its speed and still answers, so that heartbeats show nothing while
/// every ninth caller waits ten times as long.
#[test]
fn slow_target() {
    check(&Case {
        name: "slow target",
        workload: Workload::Association,
        trace: calls(20, 60),
        speed: 1.0,
        faults: vec![(
            Micros::from_secs(10),
            Fault::Slow {
                replica: 2,
                factor: 10.0,
            },
        )],
        baseline: (Policy::RoundRobin, Order::Ours),
        holds: |t, r| call_share(t, r, 3) > 0.97,
    });
}

/// A few reports with prompts of 60,000 tokens arrive among short questions. In order of arrival
/// each report delays all questions behind it by eight seconds.
#[test]
fn long_among_short() {
    let reports = steady(1, 20, |i, at| {
        let text = format!("report{i}");
        request(at * 3, "t0", Class::Call, &[(&text, 60_000)], 200)
    });
    check(&Case {
        name: "long among short",
        workload: Workload::Association,
        trace: merge([calls(20, 60), reports]),
        speed: 1.0,
        faults: vec![],
        baseline: (Policy::LeastLoaded, Order::Fifo),
        holds: |t, r| r.within(Micros::from_secs(3), |i| t[i].output == 24) > 0.9,
    });
}

/// The books in demand change every twenty seconds. Copies of the old ones must be evicted, and
/// those of the new ones computed once, not at every replica.
#[test]
fn shifting_hot_set() {
    let trace = steady(30, 80, |i, at| {
        let book = format!("b{}", at / 20_000 * 20 + i * 7 % 20);
        request(at, "t", Class::Call, &[("t", 2_000), (&book, 8_000)], 24)
    });
    check(&Case {
        name: "shifting hot set",
        workload: Workload::Association,
        trace,
        speed: 1.0,
        faults: vec![],
        baseline: (Policy::LeastLoaded, Order::Ours),
        holds: |t, r| r.hit > 0.85 && call_share(t, r, 3) > 0.9,
    });
}

/// A replica crashes under high load and returns empty. Its requests are retried elsewhere, and its
/// prefixes recomputed, without a wave of misses at the other replicas.
#[test]
fn replica_lost_when_full() {
    check(&Case {
        name: "replica lost when full",
        workload: Workload::Association,
        trace: generate(Workload::Association, 2_400, 5),
        speed: 0.7,
        faults: vec![(Micros::from_secs(40), Fault::Crash { replica: 4 })],
        baseline: (Policy::ConsistentHash, Order::Fifo),
        holds: |_, r| {
            let calls = &r.classes[0];
            let lost: u32 = r.classes.iter().map(|c| c.lost).sum();
            f64::from(calls.good) > 0.98 * f64::from(calls.offered) && lost <= 12
        },
    });
}

/// All entries restart at once and lose their memory. If they placed by memory alone, every prefix
/// would be recomputed at a random replica.
#[test]
fn herd_restart_of_entries() {
    check(&Case {
        name: "herd restart of entries",
        workload: Workload::Alpen,
        trace: generate(Workload::Alpen, 2_400, 5),
        speed: 0.4,
        faults: (1..8)
            .map(|i| (Micros::from_secs(i * 15), Fault::Entries))
            .collect(),
        baseline: (Policy::RoundRobin, Order::Ours),
        holds: |_, r| r.hit > 0.75 && r.quick_calls > 0.9,
    });
}

/// At twice the load, unbounded queues answer after callers have given up. Required are the goodput of
/// full load, bounded waits of calls, immediate refusals and some service for each class throughout.
#[test]
fn overload_for_minutes() {
    let trace = generate(Workload::Association, 9_000, 6);
    let at = |policy, order, speed| {
        let setup = Setup {
            order,
            speed,
            ..Setup::new(Workload::Association, policy)
        };
        run(&setup, &trace)
    };
    let full = at(Policy::Ours, Order::Ours, 0.8);
    let twice = at(Policy::Ours, Order::Ours, 1.6);
    let hash = at(Policy::ConsistentHash, Order::Fifo, 1.6);
    assert!(
        twice.goodput > 0.95 * full.goodput,
        "{} {}",
        json(&full),
        json(&twice)
    );
    assert!(twice.classes[0].p99_ms < 12_000, "{}", json(&twice));
    assert!(hash.classes[0].p99_ms > 60_000, "{}", json(&hash));
    // In every twentieth of the trace some requests of each class must be served.
    let part = trace.len() / 20;
    for class in Class::ALL {
        for slice in 0..20 {
            let range = slice * part..(slice + 1) * part;
            let pick = |i| range.contains(&i) && trace[i].class == class;
            let served = twice.within(Micros::MAX, pick);
            assert!(served > 0.0, "{class} in part {slice}");
        }
    }
}

/// If the same trace gave different figures each time, figures could not be compared.
#[test]
fn replay_is_deterministic() {
    let text: Vec<String> = generate(Workload::Alpen, 300, 9)
        .iter()
        .map(|r| serde_json::to_string(r).expect("a request can be written"))
        .collect();
    let trace = parse(text.join("\n")).expect("what was written can be read");
    let figures = || {
        let report = run(&Setup::new(Workload::Alpen, Policy::Ours), &trace);
        serde_json::to_string(&report).expect("a report can be written")
    };
    assert_eq!(figures(), figures());
}
