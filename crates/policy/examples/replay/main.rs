//! Replays a trace through the decision code and prints its figures.
//!
//! `replay WORKLOAD [TRACE] [--policy P] [--order O] [--load L] [--count N] [--seed S]`, where
//! WORKLOAD is `association` or `alpen`, P one of `ours`, `round-robin`, `least-loaded`,
//! `consistent-hash`, `oracle`, and a load of 1 what the oracle's engines can just do. Without a
//! trace one is drawn; `--unit` sets that speed, to compare changes; `--write` prints it instead of replaying it. `--fault` is `slow`, `crash`
//! (of one replica) or `entries` (all restart), at half of the trace. `--evict`, `--most`, `--away`,
//! `--urgency` and `--probes` change the options of `place`, `--late` (ms) and `--loss` the events.

mod sim;

use std::collections::HashMap;
use std::process::ExitCode;

use model::Micros;
use sim::{generate, parse, run, Fault, Order, Policy, Request, Setup, Workload};

const POLICIES: [(&str, Policy); 5] = [
    ("ours", Policy::Ours),
    ("round-robin", Policy::RoundRobin),
    ("least-loaded", Policy::LeastLoaded),
    ("consistent-hash", Policy::ConsistentHash),
    ("oracle", Policy::Oracle),
];

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match replay(&args) {
        Some(()) => ExitCode::SUCCESS,
        None => {
            eprintln!("replay: see the head of examples/replay/main.rs for its arguments");
            ExitCode::FAILURE
        }
    }
}

fn replay(args: &[String]) -> Option<()> {
    let workload = match args.first()?.as_str() {
        "association" => Workload::Association,
        "alpen" => Workload::Alpen,
        _ => return None,
    };
    let options: HashMap<&str, &str> = args
        .windows(2)
        .filter_map(|w| Some((w[0].strip_prefix("--")?, w[1].as_str())))
        .collect();
    let count = options
        .get("count")
        .map_or(Some(1_600), |n| n.parse().ok())?;
    let seed = options.get("seed").map_or(Some(1), |n| n.parse().ok())?;
    let trace = match args.get(1).filter(|a| !a.starts_with("--")) {
        Some(path) => parse(std::fs::read_to_string(path).ok()?).ok()?,
        None => generate(workload, count, seed),
    };
    if args.iter().any(|a| a == "--write") {
        for request in &trace {
            println!("{}", serde_json::to_string(request).ok()?);
        }
        return Some(());
    }
    let wanted = |name: &str| options.get("policy").is_none_or(|p| *p == name);
    let given = options.get("unit").map(|u| u.parse().ok());
    let unit = given.unwrap_or_else(|| Some(unit_speed(workload, &trace)))?;
    eprintln!("replay: a load of 1 is a speed of {unit:.3}");
    let loads = options
        .get("load")
        .map_or(Some(vec![0.5, 0.9, 1.0, 2.0]), |l| {
            l.split(',').map(|x| x.parse().ok()).collect()
        })?;
    for load in loads {
        for (name, policy) in POLICIES.into_iter().filter(|(name, _)| wanted(name)) {
            let mut setup = Setup::new(workload, policy);
            setup.speed = unit * load;
            if let Some(u) = options.get("urgency") {
                let u: f64 = u.parse().ok()?;
                setup.place.class_weights = [1.0, u, u * u];
            }
            if let Some(probes) = options.get("probes") {
                setup.place.probes = probes.parse().ok()?;
            }
            if let Some(late) = options.get("late") {
                setup.late = Micros::from_millis(late.parse().ok()?);
            }
            if let Some(loss) = options.get("loss") {
                setup.loss = loss.parse().ok()?;
            }
            if let Some(away) = options.get("away") {
                setup.place.off_home_share = away.parse().ok()?;
            }
            if let Some(most) = options.get("most") {
                setup.place.max_load_factor = most.parse().ok()?;
            }
            if let Some(evict) = options.get("evict") {
                setup.place.eviction_weight = evict.parse().ok()?;
            }
            match options.get("order").copied() {
                Some("ours") => setup.order = Order::Ours,
                Some("fifo") => setup.order = Order::Fifo,
                _ => {}
            }
            let end = trace.last().map_or(0, |r| r.at_ms) as f64 / setup.speed;
            let half = Micros::from_millis((end / 2.0) as u64);
            setup.faults = match options.get("fault").copied() {
                Some("slow") => vec![(
                    half,
                    Fault::Slow {
                        replica: 0,
                        factor: 10.0,
                    },
                )],
                Some("crash") => vec![(half, Fault::Crash { replica: 0 })],
                Some("entries") => vec![(half, Fault::Entries)],
                _ => Vec::new(),
            };
            let report = run(&setup, &trace);
            let json = serde_json::to_string(&report).ok()?;
            println!("{{\"policy\":\"{name}\",\"load\":{load},\"report\":{json}}}");
        }
    }
    Some(())
}

/// The speed at which the oracle's engines are just busy.
fn unit_speed(workload: Workload, trace: &[Request]) -> f64 {
    let mut setup = Setup::new(workload, Policy::Oracle);
    setup.speed = 0.3;
    setup.speed / run(&setup, trace).busy
}
