//! Starts a whole fleet as child processes on 127.0.0.1.
//!
//! Each process prints its addresses, which are passed to the processes started after it. Dropping
//! the fleet kills its processes by their ids, also if the start fails half-way.

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

/// Longest wait until a process listens.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait until all entries serve.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for every entry to discover every engine, as an entry serves once it has discovered one.
/// Gossip about a member propagates within a second.
const SETTLE: Duration = Duration::from_secs(2);
/// The fleet key; a sample value is enough because the fleet ends with the run.
const FLEET_KEY: &str = "0000000000000000000000000000000000000000000000000000000000000001";
/// The operator key; also a sample value.
const OPERATOR_KEY: &str = "sample-operator-key";
/// Number of teams in the configuration.
pub const TEAMS: usize = 8;

/// Size and options of a fleet to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of engines, each with a sidecar.
    pub engines: usize,
    /// Number of entries.
    pub entries: usize,
    /// Policy by which entries choose replicas.
    pub policy: String,
    /// Additional flags of the engines.
    pub engine_args: Vec<String>,
    /// Additional flags of the sidecars.
    pub sidecar_args: Vec<String>,
    /// Additional flags of the entries.
    pub entry_args: Vec<String>,
    /// API key of a team; `{team}` is replaced by the name of the team.
    pub key: String,
    /// Directory for the logs of the processes, which are discarded if none is given.
    pub logs: Option<PathBuf>,
}

/// A running process.
#[derive(Debug)]
pub struct Process {
    /// Name of the process.
    pub name: String,
    /// Process id.
    pub pid: u32,
    /// Whether it is a process of the router and not a stand-in.
    pub is_router: bool,
    /// Address of its health checks and metrics.
    pub admin: Option<SocketAddr>,
    _child: Child,
}

/// A running fleet.
#[derive(Debug, Default)]
pub struct Fleet {
    /// All processes.
    pub processes: Vec<Process>,
    /// Addresses of the entries for callers.
    pub entries: Vec<SocketAddr>,
    /// Addresses of the engines.
    pub engines: Vec<SocketAddr>,
    /// Addresses of the plain services.
    pub services: Vec<SocketAddr>,
}

/// The line that a process of the router prints once it listens.
#[derive(Debug, Default, Deserialize)]
struct Listening {
    callers: Option<SocketAddr>,
    admin: Option<SocketAddr>,
    gossip: Option<SocketAddr>,
}

/// Starts a fleet from the programs in the build directory of this one, and waits until it serves.
pub async fn start(plan: &Plan) -> Result<Fleet, LoadError> {
    let mut starter = Starter::new(plan)?;
    let platform = starter.standin("platform", &[]).await?;
    for n in 0..plan.engines {
        let at = starter
            .standin(&format!("engine-{n}"), &plan.engine_args)
            .await?;
        starter.fleet.engines.push(at);
        starter
            .sidecar(platform, at, ["lekha-llm", "model"], n)
            .await?;
    }
    let service = starter.standin("service-0", &[]).await?;
    starter.fleet.services.push(service);
    starter
        .sidecar(platform, service, ["fieldops", "plain"], 0)
        .await?;
    for n in 0..plan.entries {
        starter.entry(platform, n).await?;
    }
    starter.apply().await?;
    starter.wait_serving().await?;
    sleep(SETTLE).await;
    Ok(starter.fleet)
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
        // Examples are built in a subdirectory of the directory of the other programs.
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
        let mut command = self.router_command("sidecar", &name, platform);
        command.args(["--target", &format!("http://{target}")]);
        command.args(["--pool", pool, "--kind", kind]);
        command.args(&self.plan.sidecar_args);
        self.start_router(&name, &mut command).await.map(drop)
    }

    async fn entry(&mut self, platform: SocketAddr, n: usize) -> Result<(), LoadError> {
        let name = format!("entry-{n}");
        let mut command = self.router_command("entry", &name, platform);
        command.args(["--policy", &self.plan.policy]);
        command.args(&self.plan.entry_args);
        let listening = self.start_router(&name, &mut command).await?;
        let callers = listening
            .callers
            .ok_or_else(|| failed(&name, "no callers' address"))?;
        self.fleet.entries.push(callers);
        self.admins.extend(listening.admin);
        Ok(())
    }

    fn router_command(&self, role: &str, name: &str, platform: SocketAddr) -> Command {
        let mut c = Command::new(self.bin.join("clementinestepd"));
        c.args([role, "--platform", &format!("http://{platform}")])
            .args(["--host", name])
            .args(seed_flags(&self.members))
            .env("CLEMENTINESTEP_KEY", FLEET_KEY)
            .env("CLEMENTINESTEP_OPERATOR_KEY", OPERATOR_KEY);
        c
    }

    async fn start_router(
        &mut self,
        name: &str,
        command: &mut Command,
    ) -> Result<Listening, LoadError> {
        let line = self.spawn(name, command, true).await?;
        let listening = serde_json::from_str::<Listening>(&line).map_err(|e| failed(name, e))?;
        if let Some(p) = self.fleet.processes.last_mut() {
            p.admin = listening.admin;
        }
        self.members.extend(listening.gossip);
        Ok(listening)
    }

    /// Starts a process and returns its first line of output.
    async fn spawn(
        &mut self,
        name: &str,
        c: &mut Command,
        is_router: bool,
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
            return Err(failed(name, "the process has already ended"));
        };
        let mut lines = BufReader::new(out).lines();
        let line = match timeout(START_TIMEOUT, lines.next_line()).await {
            Ok(Ok(Some(line))) => line,
            Ok(Ok(None)) => return Err(failed(name, "it ended without printing its address")),
            Ok(Err(e)) => return Err(failed(name, e)),
            Err(e) => return Err(failed(name, e)),
        };
        // A process that keeps writing would block on a full pipe.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        self.fleet.processes.push(Process {
            name: name.to_owned(),
            pid,
            is_router,
            admin: None,
            _child: child,
        });
        Ok(line)
    }

    /// Applies the configuration with the command line tool, as an operator would.
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
        command.env("CLEMENTINESTEP_OPERATOR_KEY", OPERATOR_KEY);
        let out = command.kill_on_drop(true).output().await;
        let _ = std::fs::remove_file(&path);
        match out.map_err(|e| failed("apply", e))? {
            out if out.status.success() => Ok(()),
            out => Err(failed("apply", String::from_utf8_lossy(&out.stderr))),
        }
    }

    /// Waits until every entry serves both pools.
    async fn wait_serving(&self) -> Result<(), LoadError> {
        let deadline = Instant::now() + READY_TIMEOUT;
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
                    if Instant::now() > deadline {
                        return Err(failed("entry", "it does not serve"));
                    }
                    sleep(Duration::from_millis(100)).await;
                }
            }
        }
        Ok(())
    }
}

/// Number of members given to a new one as seeds; it learns of all others by gossip.
const MAX_SEEDS: usize = 3;

/// The flag that names some of the members as seeds.
fn seed_flags(members: &[SocketAddr]) -> [String; 2] {
    let seeds = members.iter().take(MAX_SEEDS).map(ToString::to_string);
    ["--seeds".to_owned(), seeds.collect::<Vec<_>>().join(",")]
}

/// The configuration: two pools, the teams, and rules that read class and repeatability from the
/// headers that the load tool sends.
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

/// The metrics of a process whose name contains `bytes`, by name and labels; empty if they cannot
/// be fetched.
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

fn failed(name: &str, reason: impl std::fmt::Display) -> LoadError {
    LoadError::Start {
        name: name.to_owned(),
        reason: reason.to_string(),
    }
}
