//! Starts a whole fleet as child processes on 127.0.0.1 and ends it by process id.
//!
//! Each process prints where it listens; the next ones are told. The fleet goes when it is
//! dropped, also on a failure half-way.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use serde::Deserialize;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout, Instant};

use crate::call::Call;
use crate::load::LoadError;

/// Longest wait for a process to listen.
const START: Duration = Duration::from_secs(10);
/// Longest wait for the fleet to serve.
const READY: Duration = Duration::from_secs(15);
/// Time for every entry to learn of every engine: an entry serves as soon as it knows of one. News
/// of a member spreads within a second.
const SETTLE: Duration = Duration::from_secs(2);
/// The fleet's key; a sample, since the fleet is gone after the run.
const KEY: &str = "0000000000000000000000000000000000000000000000000000000000000001";
/// The operators' key; a sample too.
const OPERATOR: &str = "sample-operator-key";
/// Teams of the configuration.
pub const TEAMS: usize = 8;

/// What is started.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Engines, each with its sidecar.
    pub engines: usize,
    /// Entries.
    pub entries: usize,
    /// How the entries choose replicas.
    pub policy: String,
    /// Flags of the engines.
    pub engine_args: Vec<String>,
    /// Flags of the sidecars.
    pub sidecar_args: Vec<String>,
    /// Flags of the entries.
    pub entry_args: Vec<String>,
    /// API keys of the teams by pattern.
    pub key: String,
    /// Directory for what the processes log; nothing is kept without one.
    pub logs: Option<PathBuf>,
}

/// A running process.
#[derive(Debug)]
pub struct Process {
    /// Its name.
    pub name: String,
    /// Its id.
    pub pid: u32,
    /// Whether it is one of ours and not a stand-in.
    pub ours: bool,
    /// Where it serves health and metrics.
    pub admin: Option<SocketAddr>,
    _child: Child,
}

/// A running fleet.
#[derive(Debug, Default)]
pub struct Fleet {
    /// All processes.
    pub processes: Vec<Process>,
    /// Callers' addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Addresses of the engines.
    pub engines: Vec<SocketAddr>,
    /// Addresses of the plain services.
    pub services: Vec<SocketAddr>,
}

/// What a process of ours prints when it listens.
#[derive(Debug, Default, Deserialize)]
struct Ready {
    callers: Option<SocketAddr>,
    admin: Option<SocketAddr>,
    gossip: Option<SocketAddr>,
}

/// Starts a fleet; its programs lie beside this one.
pub async fn start(plan: &Plan) -> Result<Fleet, LoadError> {
    let mut s = Starter::new(plan)?;
    let platform = s.standin("platform", &[]).await?;
    for n in 0..plan.engines {
        let at = s.standin(&format!("engine-{n}"), &plan.engine_args).await?;
        s.fleet.engines.push(at);
        s.sidecar(platform, at, ["lekha-llm", "model"], n).await?;
    }
    let service = s.standin("service-0", &[]).await?;
    s.fleet.services.push(service);
    s.sidecar(platform, service, ["fieldops", "plain"], 0)
        .await?;
    for n in 0..plan.entries {
        s.entry(platform, n).await?;
    }
    s.apply().await?;
    s.served().await?;
    sleep(SETTLE).await;
    Ok(s.fleet)
}

struct Starter<'a> {
    plan: &'a Plan,
    bin: PathBuf,
    fleet: Fleet,
    members: Vec<SocketAddr>,
    admins: Vec<SocketAddr>,
}

impl<'a> Starter<'a> {
    fn new(plan: &'a Plan) -> Result<Self, LoadError> {
        let own = std::env::current_exe().map_err(|error| LoadError::File {
            path: "this program".to_owned(),
            error,
        })?;
        // This program is an example and lies in a directory below the others.
        let bin = own.ancestors().nth(2).unwrap_or(Path::new(".")).to_owned();
        Ok(Self {
            plan,
            bin,
            fleet: Fleet::default(),
            members: Vec::new(),
            admins: Vec::new(),
        })
    }

    async fn standin(&mut self, name: &str, args: &[String]) -> Result<SocketAddr, LoadError> {
        let kind = name.split('-').next().unwrap_or(name);
        let program = self.bin.join("examples").join(kind);
        let line = self
            .spawn(name, Command::new(program).args(args), false)
            .await?;
        let at = line
            .strip_prefix("listening ")
            .and_then(|a| a.trim().parse().ok());
        at.ok_or_else(|| failed(name, line))
    }

    async fn sidecar(
        &mut self,
        platform: SocketAddr,
        target: SocketAddr,
        [pool, kind]: [&str; 2],
        n: usize,
    ) -> Result<(), LoadError> {
        let name = format!("sidecar-{kind}-{n}");
        let mut command = self.ours("sidecar", &name, platform);
        command.args(["--target", &format!("http://{target}")]);
        command.args(["--pool", pool, "--kind", kind]);
        command.args(&self.plan.sidecar_args);
        self.ready(&name, &mut command).await.map(drop)
    }

    async fn entry(&mut self, platform: SocketAddr, n: usize) -> Result<(), LoadError> {
        let name = format!("entry-{n}");
        let mut command = self.ours("entry", &name, platform);
        command.args(["--policy", &self.plan.policy]);
        command.args(&self.plan.entry_args);
        let ready = self.ready(&name, &mut command).await?;
        let callers = ready
            .callers
            .ok_or_else(|| failed(&name, "no callers' address"))?;
        self.fleet.entries.push(callers);
        self.admins.extend(ready.admin);
        Ok(())
    }

    fn ours(&self, role: &str, name: &str, platform: SocketAddr) -> Command {
        let mut c = Command::new(self.bin.join("clementinestepd"));
        c.args([role, "--platform", &format!("http://{platform}")])
            .args(["--host", name])
            .args(joining(&self.members))
            .env("CLEMENTINESTEP_KEY", KEY)
            .env("CLEMENTINESTEP_OPERATOR_KEY", OPERATOR);
        c
    }

    async fn ready(&mut self, name: &str, command: &mut Command) -> Result<Ready, LoadError> {
        let line = self.spawn(name, command, true).await?;
        let ready = serde_json::from_str::<Ready>(&line).map_err(|e| failed(name, e))?;
        if let Some(p) = self.fleet.processes.last_mut() {
            p.admin = ready.admin;
        }
        self.members.extend(ready.gossip);
        Ok(ready)
    }

    /// Starts a process and gives its first line of output.
    async fn spawn(
        &mut self,
        name: &str,
        c: &mut Command,
        ours: bool,
    ) -> Result<String, LoadError> {
        let stderr = match &self.plan.logs {
            None => Stdio::null(),
            Some(dir) => {
                let path = dir.join(format!("{name}.log"));
                let file = std::fs::File::create(&path).map_err(|error| LoadError::File {
                    path: path.display().to_string(),
                    error,
                })?;
                file.into()
            }
        };
        let mut child = c
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| failed(name, e))?;
        let (Some(out), Some(pid)) = (child.stdout.take(), child.id()) else {
            return Err(failed(name, "it is gone"));
        };
        let mut lines = BufReader::new(out).lines();
        let line = match timeout(START, lines.next_line()).await {
            Ok(Ok(Some(line))) => line,
            Ok(Ok(None)) => return Err(failed(name, "it ended without a line")),
            Ok(Err(e)) => return Err(failed(name, e)),
            Err(e) => return Err(failed(name, e)),
        };
        // A full pipe would stop a process that goes on writing.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        self.fleet.processes.push(Process {
            name: name.to_owned(),
            pid,
            ours,
            admin: None,
            _child: child,
        });
        Ok(line)
    }

    /// Puts the configuration in force, as an operator would.
    async fn apply(&self) -> Result<(), LoadError> {
        let path = std::env::temp_dir().join(format!("standin-load-{}.toml", std::process::id()));
        std::fs::write(&path, configuration(&self.plan.key)).map_err(|error| LoadError::File {
            path: path.display().to_string(),
            error,
        })?;
        let mut command = Command::new(self.bin.join("clementinestep"));
        command.arg("apply").arg(&path);
        for admin in &self.admins {
            command.args(["--entry", &admin.to_string()]);
        }
        command.env("CLEMENTINESTEP_OPERATOR_KEY", OPERATOR);
        let out = command.kill_on_drop(true).output().await;
        let _ = std::fs::remove_file(&path);
        match out.map_err(|e| failed("apply", e))? {
            out if out.status.success() => Ok(()),
            out => Err(failed("apply", String::from_utf8_lossy(&out.stderr))),
        }
    }

    /// Waits until every entry serves both pools.
    async fn served(&self) -> Result<(), LoadError> {
        let until = Instant::now() + READY;
        let key = format!("Bearer {}", self.plan.key.replace("{team}", "t1"));
        let body = r#"{"model":"lekha","prompt":"ready","max_tokens":1}"#;
        for &at in &self.fleet.entries {
            let calls = || {
                let quota = Call::get(at, "/quota/ready");
                let words = Call::post(at, "/v1/completions", body);
                [quota, words].map(|c| c.header("authorization", &key))
            };
            for n in 0..calls().len() {
                while !matches!(calls()[n].clone().fetch().await, Ok((s, _)) if s.is_success()) {
                    if Instant::now() > until {
                        return Err(failed("entry", "it doesn't serve"));
                    }
                    sleep(Duration::from_millis(100)).await;
                }
            }
        }
        Ok(())
    }
}

/// Members that a new one is told of; each tells it of all others.
const SEEDS: usize = 3;

/// How a process is told of those before it.
fn joining(members: &[SocketAddr]) -> [String; 2] {
    let seeds = members.iter().take(SEEDS).map(ToString::to_string);
    ["--seeds".to_owned(), seeds.collect::<Vec<_>>().join(",")]
}

/// The configuration: two pools, the teams, and rules that take class and repeatability from the
/// load tool's headers.
pub fn configuration(key: &str) -> String {
    let mut out = String::from(
        "[pool.lekha-llm]\nkind = \"model\"\nmodel = \"lekha\"\nweights = \"w1\"\n\
         [pool.fieldops]\nkind = \"plain\"\n",
    );
    for n in 1..=TEAMS {
        let team = format!("t{n}");
        let digest = blake3::hash(key.replace("{team}", &team).as_bytes());
        out += &format!("[team.{team}]\nkeys = [\"blake3:{}\"]\n", digest.to_hex());
    }
    for class in model::Class::ALL {
        for (once, idempotent) in [("yes", false), ("no", true)] {
            out += &format!(
                "[[rule]]\nname = \"completions-{class}-once-{once}\"\n\
                 when = {{ path = \"/v1/*\", header = {{ x-class = \"{class}\", x-once = \"{once}\" }} }}\n\
                 then = {{ pool = \"lekha-llm\", class = \"{class}\", idempotent = {idempotent} }}\n",
            );
        }
    }
    out += "[[rule]]\nname = \"completions\"\nwhen = { path = \"/v1/*\" }\n\
            then = { pool = \"lekha-llm\" }\n\
            [[rule]]\nname = \"records\"\nwhen = { path = \"/records\" }\n\
            then = { pool = \"fieldops\", class = \"call\", idempotent = false }\n\
            [[rule]]\nname = \"quota\"\nwhen = { path = \"/quota/*\" }\n\
            then = { pool = \"fieldops\", class = \"call\" }\n";
    out
}

/// What a process has counted so far, as far as it speaks of bytes, by metric and labels.
pub async fn byte_counters(admin: Option<SocketAddr>) -> BTreeMap<String, f64> {
    let Some(at) = admin else {
        return BTreeMap::new();
    };
    let text = match Call::get(at, "/metrics").fetch().await {
        Ok((s, body)) if s.is_success() => String::from_utf8_lossy(&body).into_owned(),
        _ => String::new(),
    };
    let lines = text.lines().filter(|l| !l.starts_with('#'));
    let pairs = lines.filter_map(|l| l.rsplit_once(' '));
    pairs
        .filter(|(name, _)| name.contains("bytes"))
        .filter_map(|(name, n)| Some((name.to_owned(), n.parse().ok()?)))
        .collect()
}

fn failed(name: &str, why: impl std::fmt::Display) -> LoadError {
    LoadError::Start {
        name: name.to_owned(),
        why: why.to_string(),
    }
}
