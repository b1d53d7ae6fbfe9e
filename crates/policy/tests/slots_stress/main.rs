//! Stress test of whole pools that load new weights, in virtual time ([`sim`]).
//!
//! `STRESS_SEEDS` sets the number of seeds of each mix, `STRESS_FROM` the first one, `STRESS_MIX` selects the
//! mixes whose name contains it, `STRESS_OFF` lists faults that are switched off, and `STRESS_TRACE` prints
//! the events of one seed.

mod sim;

use std::collections::BTreeMap;
use std::env;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;

use sim::{Run, Scenario, Sim, MAX_DURATION};

/// Number of threads that run seeds.
const THREADS: usize = 3;
/// Number of seeds of each mix by default.
const SEEDS: u64 = 10;
/// Number of failing seeds that are printed for each cause.
const MAX_PRINTED: usize = 5;

struct Mix {
    name: &'static str,
    scenario: Scenario,
}

fn mixes() -> Vec<Mix> {
    let three = || Scenario {
        load_time: (400, 2_500),
        report_age: (50, 300),
        send_delay: 20,
        order_delay: 60,
        ..Scenario::default()
    };
    let nine = || Scenario {
        engines: 9,
        max_loading: 2,
        ..three()
    };
    let lossy = |s: Scenario| Scenario {
        loss_rate: 0.2,
        max_delay: 60,
        slow_datagrams: 0.05,
        ..s
    };
    let orders = |s: Scenario| Scenario {
        lost_orders: 0.1,
        lost_answers: 0.2,
        send_delay: 200,
        order_delay: 200,
        ..s
    };
    let paused = |s: Scenario| Scenario {
        pause_rate: 0.2,
        slot_pauses: 0.1,
        ..s
    };
    let killed = |s: Scenario| Scenario {
        kill_rate: 0.1,
        slot_kills: 0.1,
        ..s
    };
    let slow = |s: Scenario| Scenario {
        slow_polls: 0.2,
        late_reports: 0.3,
        ..s
    };
    let late = |s: Scenario| Scenario {
        late_orders: 0.1,
        order_lag: 900,
        ..s
    };
    let twice = |s: Scenario| Scenario {
        announced: vec![0, 1_500],
        announce_spread: 300,
        late_joiners: 1,
        ..s
    };
    let known = |s: Scenario| Scenario {
        known_time: true,
        ..s
    };
    let all = |s| twice(late(slow(killed(paused(orders(lossy(s)))))));
    #[rustfmt::skip]
    let mixes = vec![
        Mix { name: "3 no fault", scenario: three() },
        Mix { name: "9 no fault, known", scenario: known(nine()) },
        Mix { name: "3 datagrams", scenario: lossy(three()) },
        Mix { name: "9 datagrams", scenario: lossy(nine()) },
        Mix { name: "3 orders", scenario: orders(three()) },
        Mix { name: "9 orders, known", scenario: known(orders(nine())) },
        Mix { name: "3 pauses", scenario: paused(three()) },
        Mix { name: "9 pauses", scenario: paused(nine()) },
        Mix { name: "9 pauses, known", scenario: known(paused(nine())) },
        Mix { name: "3 kills", scenario: killed(three()) },
        Mix { name: "9 kills", scenario: killed(nine()) },
        Mix { name: "3 slow polls", scenario: slow(three()) },
        Mix { name: "3 late orders", scenario: late(three()) },
        Mix { name: "3 two versions, joiner", scenario: twice(three()) },
        Mix { name: "3 all", scenario: all(three()) },
        Mix { name: "3 all, known", scenario: known(all(three())) },
        Mix { name: "9 all", scenario: all(nine()) },
        Mix { name: "9 all, known", scenario: known(all(nine())) },
    ];
    mixes
}

/// Switches one fault of a scenario off.
fn switch_off(s: &mut Scenario, fault: &str) {
    match fault {
        "loss" => s.loss_rate = 0.0,
        "delay" => (s.max_delay, s.slow_datagrams) = (10, 0.0),
        "lost_orders" => s.lost_orders = 0.0,
        "lost_answers" => s.lost_answers = 0.0,
        "order_delay" => (s.send_delay, s.order_delay) = (0, 5),
        "late_orders" => s.late_orders = 0.0,
        "pauses" => (s.pause_rate, s.slot_pauses) = (0.0, 0.0),
        "slot_pauses" => s.slot_pauses = 0.0,
        "kills" => (s.kill_rate, s.slot_kills) = (0.0, 0.0),
        "slow_polls" => s.slow_polls = 0.0,
        "late_reports" => s.late_reports = 0.0,
        "versions" => s.announced.truncate(1),
        "joiners" => s.late_joiners = 0,
        "load_times" => s.load_time = (600, 600),
        "report_age" => s.report_age = (200, 200),
        _ => panic!("no fault is named {fault}"),
    }
}

fn setting(name: &str) -> Option<u64> {
    let value = env::var(name).ok()?;
    Some(value.parse().expect("a number"))
}

/// Guards against too many loads at a time, and against engines that never load, when faults of datagrams,
/// orders, polls and processes fall together.
#[test]
fn loads_stay_within_the_limit_and_finish_under_stress() {
    let (from, seeds) = (
        setting("STRESS_FROM").unwrap_or(0),
        setting("STRESS_SEEDS").unwrap_or(SEEDS),
    );
    let selected = env::var("STRESS_MIX").unwrap_or_default();
    let off = env::var("STRESS_OFF").unwrap_or_default();
    let mut failed = Vec::new();
    for mut mix in mixes().into_iter().filter(|m| m.name.contains(&selected)) {
        for fault in off.split_terminator(',') {
            switch_off(&mut mix.scenario, fault);
        }
        if let Some(seed) = setting("STRESS_TRACE") {
            println!("{}", Sim::new(&mix.scenario, seed, true).run().trace);
            continue;
        }
        let runs = run_seeds(&mix.scenario, from, seeds);
        if report(mix.name, &runs) {
            failed.push(mix.name);
        }
    }
    assert!(failed.is_empty(), "promises broken: {failed:?}");
}

fn run_seeds(scenario: &Scenario, from: u64, seeds: u64) -> BTreeMap<u64, Run> {
    let next = AtomicU64::new(from);
    let runs = Mutex::new(BTreeMap::new());
    thread::scope(|threads| {
        for _ in 0..THREADS {
            threads.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= from + seeds {
                    break;
                }
                let run = Sim::new(scenario, seed, false).run();
                runs.lock().expect("no thread panics").insert(seed, run);
            });
        }
    });
    runs.into_inner().expect("no thread panics")
}

/// Prints the results of a mix; returns whether a promise was broken.
fn report(name: &str, runs: &BTreeMap<u64, Run>) -> bool {
    let times: Vec<_> = runs.values().filter_map(|r| r.duration).collect();
    let mean = times.iter().sum::<u64>() / (times.len() as u64).max(1);
    let max = times.iter().max().copied().unwrap_or_default();
    let mut causes: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for (seed, run) in runs {
        if let Some(cause) = &run.excess {
            causes.entry(cause).or_default().push(*seed);
        }
        match run.duration {
            None => causes.entry("NEVER FINISHED").or_default().push(*seed),
            Some(d) if d > MAX_DURATION => causes.entry("FINISHED LATE").or_default().push(*seed),
            Some(_) => {}
        }
    }
    let excess = runs.values().filter(|r| r.excess.is_some()).count();
    let in_time = times.iter().filter(|t| **t <= MAX_DURATION).count();
    let unfinished = runs.len() - in_time;
    println!(
        "{name}: {} runs, {excess} over the limit, {unfinished} not finished in {MAX_DURATION} ms, mean {mean} ms, max {max} ms",
        runs.len()
    );
    for (cause, seeds) in &causes {
        let first: Vec<_> = seeds.iter().take(MAX_PRINTED).collect();
        println!("    {} {cause}: {first:?}", seeds.len());
    }
    excess + unfinished > 0
}
