//! Settings of a process, from flags or from environment variables of the same names.
//!
//! `--peer-listen X` and `CLEMENTINESTEP_PEER_LISTEN=X` mean the same; the flag wins. All
//! invalid settings are reported together. Secrets come from the environment or from files,
//! never from flags, which other users of a host can read.

mod args;
mod choices;
mod reader;

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use spdlog::LevelFilter;
use thiserror::Error;
use wire::Keys;

use args::{Args, RoleArgs};
pub use choices::{Kind, LogFormat, Policy, UnknownChoice};
use reader::Reader;

/// Prefix of the environment variables.
pub const ENV: &str = "CLEMENTINESTEP_";

/// All flags by name, with the value if given.
pub type Flags = Vec<(&'static str, Option<String>)>;

/// What the command line asks for.
#[derive(Debug)]
pub enum Parsed {
    /// Run with these settings.
    Run(Box<Settings>),
    /// Print this text and exit.
    Print(String),
}

/// Settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address for other processes of the fleet.
    pub peer: SocketAddr,
    /// Address announced to other processes instead of `peer`, if addresses are translated between
    /// them.
    pub announce: Option<SocketAddr>,
    /// Address for membership datagrams.
    pub gossip: SocketAddr,
    /// Address for health, metrics and operators.
    pub admin: SocketAddr,
    /// Name of the host.
    pub host: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Region of the failure domain.
    pub region: String,
    /// Base URL of the platform.
    pub platform: Option<String>,
    /// Membership addresses of other members, used for joining.
    pub seeds: Vec<SocketAddr>,
    /// Keys of the fleet.
    pub keys: Keys,
    /// Number of traffic threads.
    pub workers: usize,
    /// Minimum severity that is logged.
    pub log_level: LevelFilter,
    /// Format of the logs.
    pub log_format: LogFormat,
    /// File for trace spans.
    pub trace_file: Option<String>,
    /// How long late requests are expected during a shutdown.
    pub notice: Duration,
    /// Role with its own settings.
    pub role: Role,
}

/// Role of a process.
#[derive(Clone, Debug)]
pub enum Role {
    /// Serves callers.
    Entry(Entry),
    /// Serves a target.
    Sidecar(Sidecar),
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Maximum size of a request body in bytes.
    pub max_body: usize,
    /// Limits of what is held for callers.
    pub callers: overload::Config,
    /// Time limits of callers' connections.
    pub timeouts: overload::Timeouts,
    /// Key that operators have to send. Without one, all their calls are refused.
    pub operator_key: Option<String>,
    /// How replicas are chosen.
    pub policy: Policy,
}

/// Settings of a sidecar.
#[derive(Clone, Debug)]
pub struct Sidecar {
    /// Address of the target.
    pub target: SocketAddr,
    /// Pool of the target.
    pub pool: String,
    /// Kind of the target.
    pub kind: Kind,
    /// Maximum number of requests that run at the target at a time.
    pub slots: usize,
}

/// All invalid settings of a process.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct SettingsError(pub Vec<InvalidSetting>);

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Name of the flag.
    pub name: String,
    /// Value that was given; a placeholder for secrets.
    pub value: String,
    /// Description of valid values.
    pub expected: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} invalid setting(s):", self.0.len())?;
        self.0.iter().try_for_each(|w| {
            writeln!(
                f,
                "  --{}: got `{}`, expected {}",
                w.name, w.value, w.expected
            )
        })
    }
}

/// Reads the settings of this process.
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

/// Resolves settings from flags and environment variables. With `print`, returns their listing
/// instead.
pub fn resolve(
    role: &str,
    flags: Flags,
    print: bool,
    env: impl Fn(&str) -> Option<String>,
) -> Result<Parsed, SettingsError> {
    let mut r = Reader::new(flags, &env);
    match r.settings(role) {
        Some(_) if print => Ok(Parsed::Print(r.listing)),
        Some(s) if r.invalid.is_empty() => Ok(Parsed::Run(Box::new(s))),
        _ => Err(SettingsError(r.invalid)),
    }
}
