//! Starts many real router processes in front of one plain service and measures them together.
//!
//! Each stage prints one line: join (until every process has discovered all others), steady (CPU,
//! control CPU, memory and gossip bytes per process), apply (until each change is in force in every
//! process), kill (a third of the sidecars at once, until no process counts them as live), restart
//! (all processes killed and started again, until each entry has served a request), and a restart
//! during a platform outage. From apply to kill, callers send requests at an even rate.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use argh::FromArgs;
use futures::future::join_all;
use serde::Deserialize;
use serde_json::{json, Value};
use standin::call::Call;
use standin::load::usage::Usage;
use standin::platform::{Faults, Platform};
use standin::service::Service;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// Measures many router processes on one machine.
#[derive(FromArgs)]
struct Args {
    /// sidecars (default 60)
    #[argh(option, default = "60")]
    sidecars: usize,
    /// entries (default 12)
    #[argh(option, default = "12")]
    entries: usize,
    /// failure domains over which both are spread (default 11)
    #[argh(option, default = "11")]
    domains: usize,
    /// changes of the configuration (default 10)
    #[argh(option, default = "10")]
    changes: usize,
    /// seconds of the steady stage (default 20)
    #[argh(option, default = "20")]
    steady: u64,
    /// callers' requests a second (default 50)
    #[argh(option, default = "50")]
    rate: u64,
}

/// Sample keys of the fleet, the operator and the callers.
const KEY: &str = "0000000000000000000000000000000000000000000000000000000000000001";
const OPERATOR: &str = "sample-operator-key";
const CALLER: &str = "sample-key";
/// Longest wait for any stage.
const STAGE_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The line that a router process prints once it listens.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Listening {
    callers: Option<SocketAddr>,
    admin: SocketAddr,
    gossip: SocketAddr,
}

struct Process {
    name: String,
    args: Vec<String>,
    listening: Listening,
    child: Child,
}

/// Counters of the callers' requests, and the signal to stop sending.
#[derive(Default)]
struct Traffic {
    sent: AtomicU64,
    good: AtomicU64,
    stop: AtomicBool,
}

struct Fleet {
    bin: PathBuf,
    platform: String,
    seeds: String,
    sidecars: Vec<Process>,
    entries: Vec<Process>,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let a: Args = argh::from_env();
    let platform = Platform::new();
    let any = "127.0.0.1:0";
    let (at, server) = standin::listen(any, platform.router()).await?;
    tokio::spawn(server);
    let service = Service::new(Duration::from_millis(1));
    let (target, server) = standin::listen(any, service.router()).await?;
    tokio::spawn(server);
    let mut f = Fleet {
        bin: daemon_path()?,
        platform: format!("http://{at}"),
        seeds: String::new(),
        sidecars: Vec::new(),
        entries: Vec::new(),
    };
    let stage_start = Instant::now();
    f.start(&a, target).await?;
    f.wait_members(a.sidecars + a.entries).await?;
    print_stage(
        "join",
        stage_start,
        json!({"processes": a.sidecars + a.entries}),
    );
    f.apply(0).await?;
    let traffic = Arc::new(Traffic::default());
    let callers: Vec<_> = f
        .entries
        .iter()
        .filter_map(|e| e.listening.callers)
        .collect();
    let calls = tokio::spawn(send_traffic(callers, a.rate, Arc::clone(&traffic)));

    f.steady(a.steady).await;
    f.changes(a.changes).await?;
    let before = platform.counts();
    f.kill_third().await?;
    f.changes(3).await?;
    traffic.stop.store(true, Ordering::Relaxed);
    calls.await?;
    let (sent, good) = (&traffic.sent, &traffic.good);
    println!(
        "served {}",
        json!({"sent": sent.load(Ordering::Relaxed), "good": good.load(Ordering::Relaxed)})
    );
    f.restart("restart", &platform, false).await?;
    f.restart("restart, platform away", &platform, true).await?;
    let after = platform.counts();
    println!(
        "platform {}",
        json!({"reads": after.reads, "writes": after.writes, "before_kill": before.reads,
            "most_reads_a_second": after.most_reads, "most_writes": after.most_writes})
    );
    Ok(())
}

impl Fleet {
    async fn start(&mut self, a: &Args, target: SocketAddr) -> std::io::Result<()> {
        let domain = |i: usize| format!("domain-{}", i % a.domains.max(1));
        let region = |i: usize| format!("region-{}", i % a.domains.max(1) % 3);
        for i in 0..a.sidecars + a.entries {
            let mut args: Vec<String> = ["--domain", &domain(i), "--region", &region(i)]
                .map(str::to_owned)
                .to_vec();
            let sidecar = i < a.sidecars;
            if sidecar {
                let to = format!("http://{target}");
                args.extend(
                    ["--target", &to, "--pool", "fieldops", "--kind", "plain"].map(str::to_owned),
                );
            }
            args.extend(["--host".to_owned(), format!("host-{i}")]);
            let role = if sidecar { "sidecar" } else { "entry" };
            let p = self.spawn(role, args).await?;
            match sidecar {
                true => self.sidecars.push(p),
                false => self.entries.push(p),
            }
            if i < 3 {
                let all = self.sidecars.iter().map(|p| p.listening.gossip.to_string());
                self.seeds = all.collect::<Vec<_>>().join(",");
            }
        }
        Ok(())
    }

    async fn spawn(&self, role: &str, args: Vec<String>) -> std::io::Result<Process> {
        let mut child = Command::new(&self.bin)
            .arg(role)
            .args(["--platform", &self.platform, "--seeds", &self.seeds])
            .args([
                "--workers",
                "1",
                "--log-level",
                "error",
                "--notice-ms",
                "100",
            ])
            .args(&args)
            .env("CLEMENTINESTEP_KEY", KEY)
            .env("CLEMENTINESTEP_OPERATOR_KEY", OPERATOR)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()?;
        let out = child.stdout.take().ok_or(std::io::ErrorKind::BrokenPipe)?;
        let mut lines = BufReader::new(out).lines();
        let line = timeout(STAGE_TIMEOUT, lines.next_line()).await??;
        let listening = serde_json::from_str(&line.unwrap_or_default())?;
        Ok(Process {
            name: role.to_owned(),
            args,
            listening,
            child,
        })
    }

    fn processes(&self) -> impl Iterator<Item = &Process> {
        self.sidecars.iter().chain(&self.entries)
    }

    /// Waits until every process counts `members` live members.
    async fn wait_members(&self, members: usize) -> std::io::Result<()> {
        let expected = members as f64;
        self.wait_metric("clementinestep_members", |v| v >= expected)
            .await
    }

    /// Waits until a metric of every process satisfies a condition.
    async fn wait_metric(&self, name: &str, holds: impl Fn(f64) -> bool) -> std::io::Result<()> {
        let waits = self.processes().map(|p| async {
            while !holds(metric(p.listening.admin, name).await) {
                sleep(POLL_INTERVAL).await;
            }
        });
        let all = timeout(STAGE_TIMEOUT, join_all(waits)).await;
        all.map(|_| ())
            .map_err(|_| std::io::Error::other(format!("timed out waiting for {name}")))
    }

    /// Applies a configuration. Returns the time until it was accepted and until it was in force in
    /// every process.
    async fn apply(&self, n: usize) -> Result<(Duration, Duration), Box<dyn std::error::Error>> {
        let entry = &self.entries[n % self.entries.len()];
        let body = json!({"text": configuration(n), "author": "scale",
            "operation": format!("{:032x}", rand::random::<u128>())});
        let sent_at = Instant::now();
        let mut call = Call::post(
            entry.listening.admin,
            "/admin/configuration",
            body.to_string(),
        );
        call.method = "PUT";
        let auth = format!("Bearer {OPERATOR}");
        let (status, body) = call.header("authorization", auth).fetch().await?;
        let accepted = sent_at.elapsed();
        let reply: Value = serde_json::from_slice(&body)?;
        let Some(version) = reply["version"].as_f64() else {
            return Err(format!("apply: {status} {reply}").into());
        };
        self.wait_metric("clementinestep_configuration_version", |v| v >= version)
            .await?;
        Ok((accepted, sent_at.elapsed()))
    }

    /// Measures the resource usage of the router processes while only the callers' traffic runs.
    async fn steady(&self, seconds: u64) {
        let before: Vec<_> = self.samples().await;
        sleep(Duration::from_secs(seconds)).await;
        let after: Vec<_> = self.samples().await;
        let duration = seconds as f64;
        for role in ["sidecar", "entry"] {
            let of = |v: &[(String, Usage, f64)]| -> Vec<(Usage, f64)> {
                let all = v.iter().filter(|(n, ..)| n == role);
                all.map(|(_, u, b)| (*u, *b)).collect()
            };
            let (b, a) = (of(&before), of(&after));
            let process_seconds = a.len().max(1) as f64 * duration;
            let sum = |f: fn(&Usage) -> u64| a.iter().map(|(u, _)| f(u)).sum::<u64>();
            let cpu = sum(|u| u.cpu_ms) - b.iter().map(|(u, _)| u.cpu_ms).sum::<u64>();
            let control = sum(|u| u.control_ms) - b.iter().map(|(u, _)| u.control_ms).sum::<u64>();
            let bytes: f64 = a.iter().zip(&b).map(|(a, b)| a.1 - b.1).sum();
            println!(
                "steady {role} {}",
                json!({"processes": a.len(), "cpu_percent": cpu as f64 / process_seconds / 10.0,
                    "control_percent": control as f64 / process_seconds / 10.0,
                    "gossip_bytes_a_second_out": bytes / process_seconds,
                    "rss_kb_mean": sum(|u| u.rss_kb) / a.len().max(1) as u64,
                    "rss_kb_most": a.iter().map(|(u, _)| u.rss_kb).max()})
            );
        }
    }

    async fn samples(&self) -> Vec<(String, Usage, f64)> {
        let all = self.processes().map(|p| async {
            let pid = p.child.id().unwrap_or_default();
            let bytes = metric(
                p.listening.admin,
                "clementinestep_gossip_bytes_total{way=\"out\"}",
            );
            (p.name.clone(), Usage::of(pid), bytes.await)
        });
        join_all(all).await
    }

    async fn changes(&self, count: usize) -> Result<(), Box<dyn std::error::Error>> {
        let mut times = Vec::new();
        for n in 0..count {
            times.push(self.apply(n + 1).await?);
        }
        let ms = |d: &Duration| d.as_secs_f64() * 1e3;
        let mut force: Vec<f64> = times.iter().map(|(_, f)| ms(f)).collect();
        force.sort_by(f64::total_cmp);
        let accepted = times.iter().map(|(a, _)| ms(a)).fold(0.0, f64::max);
        println!(
            "apply {}",
            json!({"changes": count, "accepted_ms_most": accepted,
                "in_force_ms_median": force[force.len() / 2], "in_force_ms_most": force.last()})
        );
        Ok(())
    }

    /// Kills a third of the sidecars and waits until every process counts them as gone.
    async fn kill_third(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        let third = self.sidecars.len() / 3;
        let stage_start = Instant::now();
        for mut p in self.sidecars.drain(..third) {
            p.child.start_kill()?;
        }
        let left = (self.sidecars.len() + self.entries.len()) as f64;
        self.wait_metric("clementinestep_members", |v| v <= left)
            .await?;
        print_stage("kill", stage_start, json!({"killed": third}));
        Ok(())
    }

    /// Kills all processes, starts them again together and waits until each entry has served a
    /// request. If `outage` is set, the platform is unavailable meanwhile.
    async fn restart(
        &mut self,
        name: &str,
        platform: &Platform,
        outage: bool,
    ) -> Result<(), Box<dyn std::error::Error>> {
        // During a platform outage, one sidecar keeps running as the source of the configuration.
        let survivors = usize::from(outage);
        for p in self.sidecars[survivors..]
            .iter_mut()
            .chain(&mut self.entries)
        {
            p.child.kill().await?;
        }
        platform.set_faults(Faults {
            outage,
            ..Faults::default()
        });
        if outage {
            self.seeds = self.sidecars[0].listening.gossip.to_string();
        } else {
            self.seeds = String::new();
        }
        let stage_start = Instant::now();
        if !outage {
            let args = self.sidecars[0].args.clone();
            self.sidecars[0] = self.spawn("sidecar", args).await?;
            self.seeds = self.sidecars[0].listening.gossip.to_string();
        }
        let sidecars = join_all(
            self.sidecars[1..]
                .iter()
                .map(|p| self.spawn("sidecar", p.args.clone())),
        );
        let entries = join_all(
            self.entries
                .iter()
                .map(|p| self.spawn("entry", p.args.clone())),
        );
        let (sidecars, entries) = futures::join!(sidecars, entries);
        self.sidecars.truncate(1);
        self.sidecars
            .extend(sidecars.into_iter().collect::<Result<Vec<_>, _>>()?);
        self.entries = entries.into_iter().collect::<Result<_, _>>()?;
        let started = stage_start.elapsed();
        let serve = self.entries.iter().filter_map(|e| e.listening.callers);
        let serve = serve.map(|at| async move {
            while !call(at).await {
                sleep(POLL_INTERVAL).await;
            }
            stage_start.elapsed()
        });
        let times = timeout(STAGE_TIMEOUT, join_all(serve)).await?;
        platform.set_faults(Faults::default());
        let most = times.iter().max().copied().unwrap_or_default();
        print_stage(
            name,
            stage_start,
            json!({"started_ms": started.as_millis() as u64,
                "all_entries_served_ms": most.as_millis() as u64}),
        );
        Ok(())
    }
}

fn daemon_path() -> std::io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let dir = own
        .ancestors()
        .nth(2)
        .map(PathBuf::from)
        .unwrap_or_default();
    Ok(dir.join("clementinestepd"))
}

/// Sends requests to the entries in turn at an even rate until stopped.
async fn send_traffic(entries: Vec<SocketAddr>, rate: u64, traffic: Arc<Traffic>) {
    let mut tick = tokio::time::interval(Duration::from_micros(1_000_000 / rate.max(1)));
    let mut n = 0;
    while !traffic.stop.load(Ordering::Relaxed) {
        tick.tick().await;
        let at = entries[n % entries.len()];
        n += 1;
        let traffic = Arc::clone(&traffic);
        tokio::spawn(async move {
            traffic.sent.fetch_add(1, Ordering::Relaxed);
            if call(at).await {
                traffic.good.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
    sleep(Duration::from_secs(2)).await;
}

async fn call(at: SocketAddr) -> bool {
    let call = Call::get(at, "/quota/1").header("authorization", format!("Bearer {CALLER}"));
    matches!(call.fetch().await, Ok((s, _)) if s.is_success())
}

async fn metric(at: SocketAddr, name: &str) -> f64 {
    let Ok((_, body)) = Call::get(at, "/metrics").fetch().await else {
        return f64::NAN;
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|v| v.trim().parse().ok()).unwrap_or(f64::NAN)
}

fn configuration(n: usize) -> String {
    let digest = blake3::hash(CALLER.as_bytes()).to_hex();
    format!(
        "# change {n}\n[pool.fieldops]\nkind = \"plain\"\n\
         [team.t1]\nkeys = [\"blake3:{digest}\"]\n\
         [[rule]]\nname = \"all\"\nwhen = {{ path = [\"/*\"] }}\n\
         then = {{ pool = \"fieldops\", idempotent = true }}\n"
    )
}

/// Prints the line of a stage.
fn print_stage(name: &str, stage_start: Instant, more: Value) {
    println!("{name} {} ms {more}", stage_start.elapsed().as_millis());
}
