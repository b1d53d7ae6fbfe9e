//! Replays a trace through the decision code and prints the figures, as a JSON object for each load
//! and policy.
//!
//! `replay WORKLOAD [TRACE] [--policy P] [--order O] [--load L] [--count N] [--seed S]`, where
//! WORKLOAD is `association` or `alpen`, P one of `ours`, `round-robin`, `least-loaded`,
//! `consistent-hash`, `oracle`, and O `ours` or `fifo`. A load of 1 is the speed of arrivals at
//! which the engines under the policy `oracle` are just fully used; `--unit` sets that speed, so
//! that replays of different code can be compared. Without TRACE, a trace is generated; `--write`
//! prints the trace and does not replay it. `--fault` is `slow` or `crash` (of one replica) or
//! `entries` (all restart), in the middle of the trace. `--evict`, `--most`, `--away`, `--urgency`
//! and `--probes` set options of the placement, `--late` (ms) the delay of cache events and
//! `--loss` the share of them that is lost.

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
            eprintln!(
                "replay: invalid arguments or trace; see the head of examples/replay/main.rs"
            );
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
    let is_selected = |name: &str| options.get("policy").is_none_or(|p| *p == name);
    let unit_option = options.get("unit").map(|u| u.parse().ok());
    let unit = unit_option.unwrap_or_else(|| Some(unit_speed(workload, &trace)))?;
    eprintln!("replay: a load of 1 is a speed of {unit:.3}");
    let loads = options
        .get("load")
        .map_or(Some(vec![0.5, 0.9, 1.0, 2.0]), |l| {
            l.split(',').map(|x| x.parse().ok()).collect()
        })?;
    for load in loads {
        for (name, policy) in POLICIES.into_iter().filter(|(name, _)| is_selected(name)) {
            let mut setup = Setup::new(workload, policy);
            setup.speed = unit * load;
            if let Some(u) = options.get("urgency") {
                let u: f64 = u.parse().ok()?;
                setup.placement.class_weights = [1.0, u, u * u];
            }
            if let Some(probes) = options.get("probes") {
                setup.placement.probes = probes.parse().ok()?;
            }
            if let Some(late) = options.get("late") {
                setup.event_delay = Micros::from_millis(late.parse().ok()?);
            }
            if let Some(loss) = options.get("loss") {
                setup.event_loss = loss.parse().ok()?;
            }
            if let Some(away) = options.get("away") {
                setup.placement.off_home_share = away.parse().ok()?;
            }
            if let Some(most) = options.get("most") {
                setup.placement.max_load_factor = most.parse().ok()?;
            }
            if let Some(evict) = options.get("evict") {
                setup.placement.eviction_weight = evict.parse().ok()?;
            }
            match options.get("order").copied() {
                Some("ours") => setup.order = Order::Ours,
                Some("fifo") => setup.order = Order::Fifo,
                _ => {}
            }
            let end = trace.last().map_or(0, |r| r.at_ms) as f64 / setup.speed;
            let midpoint = Micros::from_millis((end / 2.0) as u64);
            setup.faults = match options.get("fault").copied() {
                Some("slow") => vec![(
                    midpoint,
                    Fault::Slow {
                        replica: 0,
                        factor: 10.0,
                    },
                )],
                Some("crash") => vec![(midpoint, Fault::Crash { replica: 0 })],
                Some("entries") => vec![(midpoint, Fault::Entries)],
                _ => Vec::new(),
            };
            let report = run(&setup, &trace);
            let json = serde_json::to_string(&report).ok()?;
            println!("{{\"policy\":\"{name}\",\"load\":{load},\"report\":{json}}}");
        }
    }
    Some(())
}

/// The speed at which the engines under the policy `oracle` are just fully used.
fn unit_speed(workload: Workload, trace: &[Request]) -> f64 {
    let mut setup = Setup::new(workload, Policy::Oracle);
    setup.speed = 0.3;
    setup.speed / run(&setup, trace).busy
}
