//! Replays a trace against a fleet and prints what the callers received.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use standin::cache::chain;
use standin::call::Call;
use standin::load::drive::{drive, DriveConfig};
use standin::load::fleet::{self, byte_counters, Fleet};
use standin::load::generate::{generate, Plan, Workload};
use standin::load::report::{Process, Report, Run, RunData};
use standin::load::reuse::{reuse, EngineLogs};
use standin::load::trace::{read, write, Arrival, Texts};
use standin::load::usage::Usage;
use standin::load::LoadError;
use tokio::signal::unix::{signal, SignalKind};

/// Replay a trace against a fleet; see docs/STANDINS.md.
#[derive(FromArgs)]
struct Args {
    /// trace to replay, JSON lines
    #[argh(option)]
    trace: Option<PathBuf>,
    /// traffic to generate without a trace: association, alpen or hops (default association)
    #[argh(option, default = "Workload::Association")]
    user: Workload,
    /// seed of generated traffic (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// generated requests per second (default 40)
    #[argh(option, default = "40.0")]
    rate: f64,
    /// seconds of generated traffic, at most 600 (default 20)
    #[argh(option, default = "20")]
    seconds: u64,
    /// write the trace to this file
    #[argh(option)]
    write_trace: Option<PathBuf>,
    /// start a fleet
    #[argh(switch)]
    fleet: bool,
    /// engines of the fleet to start (default 4)
    #[argh(option, default = "4")]
    engine_count: usize,
    /// entries of the fleet to start (default 2)
    #[argh(option, default = "2")]
    entry_count: usize,
    /// how entries choose: ours, round-robin, least-loaded, consistent-hash (default ours)
    #[argh(option, default = "String::from(\"ours\")")]
    policy: String,
    /// flags of the engines to start, separated by blanks
    #[argh(option, default = "String::new()")]
    engine_args: String,
    /// flags of the sidecars to start, separated by blanks
    #[argh(option, default = "String::new()")]
    sidecar_args: String,
    /// flags of the entries to start, separated by blanks
    #[argh(option, default = "String::new()")]
    entry_args: String,
    /// directory for the logs of the fleet to start
    #[argh(option)]
    log_dir: Option<PathBuf>,
    /// entry addresses for callers of a running fleet, separated by commas
    #[argh(option, default = "String::new()")]
    entries: String,
    /// engine addresses of the running fleet, to fetch their logs
    #[argh(option, default = "String::new()")]
    engines: String,
    /// plain service addresses of the running fleet, to fetch their logs
    #[argh(option, default = "String::new()")]
    services: String,
    /// API key of a team by pattern (default sample-key-{{team}})
    #[argh(option, default = "String::from(\"sample-key-{team}\")")]
    key: String,
    /// API keys of single teams as team=key, separated by commas
    #[argh(option, default = "String::new()")]
    keys: String,
    /// send every other completion to an engine directly
    #[argh(switch)]
    direct: bool,
    /// seconds to wait for an answer (default 60)
    #[argh(option, default = "60")]
    timeout: u64,
    /// longest time to first token that counts as in time, in milliseconds (default 1500)
    #[argh(option, default = "1500")]
    limit_ms: u64,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

#[tokio::main(worker_threads = 2)]
async fn main() -> Result<(), LoadError> {
    let a: Args = argh::from_env();
    let trace = arrivals(&a)?;
    if let Some(path) = &a.write_trace {
        write(path, &trace)?;
    }
    // On a signal to stop, the fleet is dropped, so that no process is left behind.
    let report = tokio::select! {
        r = start_and_run(&a, &trace) => r?,
        () = stop_signal() => return Err(LoadError::Stopped),
    };
    match a.json {
        true => println!("{}", serde_json::to_string(&report).unwrap_or_default()),
        false => println!("{report}"),
    }
    Ok(())
}

async fn start_and_run(a: &Args, trace: &[Arrival]) -> Result<Report, LoadError> {
    let fleet = match a.fleet {
        true => fleet::start(&fleet_plan(a)).await?,
        false => running_fleet(a),
    };
    if fleet.entries.is_empty() {
        return Err(LoadError::NoEntries);
    }
    run(a, trace, &fleet).await
}

async fn stop_signal() {
    let Ok(mut term) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => (),
        _ = tokio::signal::ctrl_c() => (),
    }
}

fn arrivals(a: &Args) -> Result<Vec<Arrival>, LoadError> {
    match &a.trace {
        Some(path) => read(path),
        None => Ok(generate(&Plan {
            user: a.user,
            seed: a.seed,
            rate: a.rate.clamp(0.1, 5_000.0),
            seconds: a.seconds.min(600),
        })),
    }
}

fn fleet_plan(a: &Args) -> fleet::Plan {
    fleet::Plan {
        engines: a.engine_count.clamp(1, 32),
        entries: a.entry_count.clamp(1, 16),
        policy: a.policy.clone(),
        engine_args: flags(&a.engine_args),
        sidecar_args: flags(&a.sidecar_args),
        entry_args: flags(&a.entry_args),
        key: a.key.clone(),
        logs: a.log_dir.clone(),
    }
}

fn flags(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

fn running_fleet(a: &Args) -> Fleet {
    Fleet {
        entries: addresses(&a.entries),
        engines: addresses(&a.engines),
        services: addresses(&a.services),
        ..Fleet::default()
    }
}

fn addresses(list: &str) -> Vec<SocketAddr> {
    list.split(',')
        .filter_map(|a| a.trim().parse().ok())
        .collect()
}

async fn run(a: &Args, trace: &[Arrival], fleet: &Fleet) -> Result<Report, LoadError> {
    let pairs = a.keys.split(',').filter_map(|p| p.split_once('='));
    let config = DriveConfig {
        entries: fleet.entries.clone(),
        direct: if a.direct {
            fleet.engines.clone()
        } else {
            Vec::new()
        },
        key: a.key.clone(),
        keys: pairs.map(|(t, k)| (t.to_owned(), k.to_owned())).collect(),
        timeout: Duration::from_secs(a.timeout.clamp(1, 600)),
        run: format!("load-{:x}", standin::micros()),
    };
    let before = sample_processes(fleet).await;
    let clock = std::time::Instant::now();
    let done = drive(&config, trace).await;
    let elapsed_s = clock.elapsed().as_secs_f64();
    let after = sample_processes(fleet).await;
    let logs = engine_logs(fleet).await?;
    let runs: Vec<_> = logs.iter().flat_map(|l| l.runs.iter().cloned()).collect();
    let calls = service_calls(fleet).await?;
    let data = RunData {
        done: &done,
        completes: &trace.iter().map(Arrival::completes).collect::<Vec<_>>(),
        idempotent: &trace.iter().map(|a| a.idempotent).collect::<Vec<_>>(),
        runs: &runs,
        calls: &calls,
        limit: Duration::from_millis(a.limit_ms),
    };
    let mut report = Report::new(
        Run {
            elapsed: elapsed_s,
            ..run_parameters(a, trace, fleet)
        },
        &data,
    );
    if !logs.is_empty() {
        report.reuse = Some(reuse(&logs, |id| blocks(&config.run, id, trace)));
    }
    report.processes = process_usage(fleet, &before, &after, elapsed_s);
    Ok(report)
}

fn run_parameters(a: &Args, trace: &[Arrival], fleet: &Fleet) -> Run {
    let name = || format!("{:?}", a.user).to_lowercase();
    Run {
        source: a
            .trace
            .as_ref()
            .map_or_else(name, |t| t.display().to_string()),
        seed: a.seed,
        policy: a.policy.clone(),
        seconds: trace.last().map_or(0.0, |a| a.at_ms as f64 / 1_000.0),
        elapsed: 0.0,
        engines: fleet.engines.len(),
        entries: fleet.entries.len(),
    }
}

/// Resource usage and byte counters of a process at a moment.
struct Sample {
    usage: Usage,
    bytes: BTreeMap<String, f64>,
}

async fn sample_processes(fleet: &Fleet) -> Vec<Sample> {
    let samples = fleet.processes.iter().map(|p| async {
        Sample {
            usage: Usage::of(p.pid),
            bytes: byte_counters(p.admin).await,
        }
    });
    futures::future::join_all(samples).await
}

fn process_usage(
    fleet: &Fleet,
    before: &[Sample],
    after: &[Sample],
    elapsed_s: f64,
) -> Vec<Process> {
    let all = fleet.processes.iter().zip(before.iter().zip(after));
    all.filter(|(p, _)| p.is_router)
        .map(|(p, (before, after))| {
            let usage = after.usage.since(before.usage);
            let bytes = after.bytes.iter().map(|(name, n)| {
                let earlier = before.bytes.get(name).copied().unwrap_or(0.0);
                (name.clone(), (n - earlier) / elapsed_s)
            });
            Process {
                name: p.name.clone(),
                usage,
                cpu_share: usage.cpu_ms as f64 / 1_000.0 / elapsed_s,
                bytes_per_s: bytes.collect(),
            }
        })
        .collect()
}

async fn engine_logs(fleet: &Fleet) -> Result<Vec<EngineLogs>, LoadError> {
    let mut out = Vec::new();
    for &at in &fleet.engines {
        out.push(EngineLogs {
            runs: fetch(at, "/log").await?,
            history: fetch(at, "/history").await?,
        });
    }
    Ok(out)
}

async fn service_calls(fleet: &Fleet) -> Result<Vec<standin::service::RecordedCall>, LoadError> {
    let mut out = Vec::new();
    for &at in &fleet.services {
        out.extend(fetch::<Vec<_>>(at, "/runs").await?);
    }
    Ok(out)
}

async fn fetch<T: serde::de::DeserializeOwned>(at: SocketAddr, path: &str) -> Result<T, LoadError> {
    match Call::get(at, path).json().await {
        Ok((_, value)) => Ok(value),
        Err(error) => Err(LoadError::Log { at, error }),
    }
}

/// The block hashes of a request of this run. The name of a team is its cache scope.
fn blocks(run: &str, id: &str, trace: &[Arrival]) -> Option<Vec<u64>> {
    let n: usize = id.strip_prefix(run)?.strip_prefix('-')?.parse().ok()?;
    let arrival = trace.get(n)?;
    let prompt = Texts::default().prompt(n, arrival);
    Some(chain(&arrival.team, prompt.as_bytes()))
}
