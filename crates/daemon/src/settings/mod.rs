//! Process settings: flags, or environment variables of the same names.
//!
//! `--peer-listen X` and `CLEMENTINESTEP_PEER_LISTEN=X` mean the same; the flag wins. All faults
//! are reported in one message. Secrets come from the environment or from files, never from
//! flags, which other users of a host can read.

mod args;
mod reader;
mod words;

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use spdlog::LevelFilter;
use thiserror::Error;
use wire::Keys;

use args::{Args, RoleArgs};
use reader::Reader;
pub use words::{Kind, LogFormat, Policy, UnknownWord};

/// Prefix of environment variables.
pub const ENV: &str = "CLEMENTINESTEP_";

/// Flags by name, given or not.
pub type Flags = Vec<(&'static str, Option<String>)>;

/// What a process was asked to do.
#[derive(Debug)]
pub enum Parsed {
    /// Run with these settings.
    Run(Box<Settings>),
    /// Print this text.
    Print(String),
}

/// Settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address for other processes of the fleet.
    pub peer: SocketAddr,
    /// Address that others are told instead, where addresses are translated on the way.
    pub announce: Option<SocketAddr>,
    /// Address for membership datagrams.
    pub gossip: SocketAddr,
    /// Address for health, metrics and operators.
    pub admin: SocketAddr,
    /// Name of this host.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// Its region.
    pub region: String,
    /// The platform's base URL.
    pub platform: Option<String>,
    /// Membership addresses to start from.
    pub seeds: Vec<SocketAddr>,
    /// The fleet's keys.
    pub keys: Keys,
    /// Traffic threads.
    pub workers: usize,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
    /// How logs are written.
    pub log_format: LogFormat,
    /// Where spans go.
    pub trace_file: Option<String>,
    /// How long late requests are awaited at a planned stop.
    pub notice: Duration,
    /// What the process does.
    pub role: Role,
}

/// What a process does.
#[derive(Clone, Debug)]
pub enum Role {
    /// Faces callers.
    Entry(Entry),
    /// Faces a target.
    Sidecar(Sidecar),
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Largest request body in bytes.
    pub max_body: usize,
    /// What an operator has to present; operators' calls are refused if there is none.
    pub operator_key: Option<String>,
    /// How replicas are chosen.
    pub policy: Policy,
}

/// Settings of a sidecar.
#[derive(Clone, Debug)]
pub struct Sidecar {
    /// The target's address.
    pub target: SocketAddr,
    /// The pool it serves.
    pub pool: String,
    /// What it is.
    pub kind: Kind,
    /// Most requests handed to it at a time.
    pub slots: usize,
}

/// Everything that is wrong with a process's settings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct SettingsError(pub Vec<Wrong>);

/// One setting that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrong {
    /// Its name, as a flag.
    pub name: String,
    /// What was given; never that of a secret.
    pub value: String,
    /// What was wanted.
    pub wanted: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "settings: {} fault(s)", self.0.len())?;
        self.0
            .iter()
            .try_for_each(|w| writeln!(f, "  --{}: got `{}`, wanted {}", w.name, w.value, w.wanted))
    }
}

/// Settings of this process.
pub fn from_process() -> Result<Parsed, SettingsError> {
    let args: Args = argh::from_env();
    let env = |name: &str| std::env::var(format!("{ENV}{name}")).ok();
    match args.role {
        RoleArgs::Entry(a) => {
            let print = a.print_settings;
            resolve("entry", a.list(), print, env)
        }
        RoleArgs::Sidecar(a) => {
            let print = a.print_settings;
            resolve("sidecar", a.list(), print, env)
        }
    }
}

/// Settings from flags and an environment.
pub fn resolve(
    role: &str,
    flags: Flags,
    print: bool,
    env: impl Fn(&str) -> Option<String>,
) -> Result<Parsed, SettingsError> {
    let mut r = Reader::new(flags, &env);
    match r.settings(role) {
        Some(_) if print => Ok(Parsed::Print(r.seen)),
        Some(s) if r.wrong.is_empty() => Ok(Parsed::Run(Box::new(s))),
        _ => Err(SettingsError(r.wrong)),
    }
}
