//! Process settings: flags, or environment variables of the same names.
//!
//! `--peer-listen X` and `CLEMENTINESTEP_PEER_LISTEN=X` mean the same; the flag wins. All faults
//! are reported in one message. Secrets come from the environment or from files, never from
//! flags, which other users of a host can read.

use std::fmt::{self, Write as _};
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use argh::FromArgs;
use spdlog::LevelFilter;
use thiserror::Error;
use wire::{Key, Keys};

/// Prefix of environment variables.
pub const ENV: &str = "CLEMENTINESTEP_";

/// Routes language-model traffic whose prompts share long openings.
#[derive(FromArgs, Debug)]
struct Args {
    #[argh(subcommand)]
    role: RoleArgs,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum RoleArgs {
    Entry(EntryArgs),
    Sidecar(SidecarArgs),
}

macro_rules! args {
    (
        $(#[$doc:meta])* $name:ident, $command:literal;
        $($(#[$help:meta])* $field:ident,)*
    ) => {
        $(#[$doc])*
        #[derive(FromArgs, Debug, Default)]
        #[argh(subcommand, name = $command)]
        struct $name {
            /// address for other processes of the fleet, TCP and UDP (default 127.0.0.1:0)
            #[argh(option)]
            peer_listen: Option<String>,
            /// address told to other processes instead, if theirs is translated to it
            #[argh(option)]
            peer_announce: Option<String>,
            /// address for membership datagrams (default 127.0.0.1:0)
            #[argh(option)]
            gossip_listen: Option<String>,
            /// address for health, metrics and operators (default 127.0.0.1:0)
            #[argh(option)]
            admin_listen: Option<String>,
            /// name of this host (default localhost)
            #[argh(option)]
            host: Option<String>,
            /// failure domain of this host (default local)
            #[argh(option)]
            domain: Option<String>,
            /// region of this host (default local)
            #[argh(option)]
            region: Option<String>,
            /// platform's base URL
            #[argh(option)]
            platform: Option<String>,
            /// membership addresses to start from, separated by commas
            #[argh(option)]
            seeds: Option<String>,
            /// file with the fleet's key, 64 hexadecimal digits
            #[argh(option)]
            key_file: Option<String>,
            /// file with a second key accepted while keys are rotated
            #[argh(option)]
            old_key_file: Option<String>,
            /// traffic threads (default 2)
            #[argh(option)]
            workers: Option<String>,
            /// least severe log level: trace, debug, info, warn, error (default info)
            #[argh(option)]
            log_level: Option<String>,
            /// log format: text or json (default text)
            #[argh(option)]
            log_format: Option<String>,
            /// file for trace spans, one JSON object a line
            #[argh(option)]
            trace_file: Option<String>,
            /// how long late requests are awaited at a planned stop, in milliseconds (default 5000)
            #[argh(option)]
            notice_ms: Option<String>,
            /// print the settings in force and exit
            #[argh(switch)]
            print_settings: bool,
            $($(#[$help])* #[argh(option)] $field: Option<String>,)*
        }

        impl $name {
            fn list(&self) -> Vec<(&'static str, Option<String>)> {
                vec![
                    ("peer_listen", self.peer_listen.clone()),
                    ("peer_announce", self.peer_announce.clone()),
                    ("gossip_listen", self.gossip_listen.clone()),
                    ("admin_listen", self.admin_listen.clone()),
                    ("host", self.host.clone()),
                    ("domain", self.domain.clone()),
                    ("region", self.region.clone()),
                    ("platform", self.platform.clone()),
                    ("seeds", self.seeds.clone()),
                    ("key_file", self.key_file.clone()),
                    ("old_key_file", self.old_key_file.clone()),
                    ("workers", self.workers.clone()),
                    ("log_level", self.log_level.clone()),
                    ("log_format", self.log_format.clone()),
                    ("trace_file", self.trace_file.clone()),
                    ("notice_ms", self.notice_ms.clone()),
                    $((stringify!($field), self.$field.clone()),)*
                ]
            }
        }
    };
}

args! {
    /// Take callers' requests and find a target for each.
    EntryArgs, "entry";
    /// address for callers (default 127.0.0.1:0)
    listen,
    /// largest request body in bytes (default 4194304)
    max_body,
    /// file with the operators' key
    operator_key_file,
    /// how replicas are chosen: ours, round-robin, least-loaded or consistent-hash (default ours)
    policy,
}

args! {
    /// Stand before one target.
    SidecarArgs, "sidecar";
    /// the target's base URL
    target,
    /// pool that the target serves
    pool,
    /// what the target is: model or plain (default model)
    kind,
    /// most requests handed to the target at a time (default 64)
    slots,
}

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

macro_rules! words {
    ($(#[$doc:meta])* $name:ident { $($(#[$var:meta])* $word:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name { $($(#[$var])* $word,)* }

        impl FromStr for $name {
            type Err = String;

            fn from_str(s: &str) -> Result<Self, String> {
                match s {
                    $($text => Ok(Self::$word),)*
                    _ => Err(format!("one of {}", [$($text),*].join(", "))),
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self { $(Self::$word => $text,)* })
            }
        }
    };
}

words! {
    /// How logs are written.
    LogFormat {
        /// Lines for people.
        Text = "text",
        /// One JSON object a line.
        Json = "json",
    }
}

words! {
    /// What a target is.
    Kind {
        /// A model engine.
        Model = "model",
        /// A plain service.
        Plain = "plain",
    }
}

words! {
    /// How replicas are chosen; all but the first are baselines for measurements.
    Policy {
        /// By probes.
        Ours = "ours",
        /// In turn.
        RoundRobin = "round-robin",
        /// By the least wait that probes report.
        LeastLoaded = "least-loaded",
        /// By hash of the prompt's opening.
        ConsistentHash = "consistent-hash",
    }
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
        RoleArgs::Entry(a) => resolve("entry", a.list(), a.print_settings, env),
        RoleArgs::Sidecar(a) => resolve("sidecar", a.list(), a.print_settings, env),
    }
}

/// Settings from flags and an environment.
pub fn resolve(
    role: &str,
    flags: Vec<(&'static str, Option<String>)>,
    print: bool,
    env: impl Fn(&str) -> Option<String>,
) -> Result<Parsed, SettingsError> {
    let mut r = Reader {
        flags,
        env: &env,
        wrong: Vec::new(),
        seen: String::new(),
    };
    let settings = read(role, &mut r);
    match settings {
        Some(_) if print => Ok(Parsed::Print(r.seen)),
        Some(s) if r.wrong.is_empty() => Ok(Parsed::Run(Box::new(s))),
        _ => Err(SettingsError(r.wrong)),
    }
}

fn read(role: &str, r: &mut Reader<'_>) -> Option<Settings> {
    let any = "127.0.0.1:0";
    let address = "an address and port";
    let peer = r.value("peer_listen", any, address);
    let announce = r.list("peer_announce");
    let gossip = r.value("gossip_listen", any, address);
    let admin = r.value("admin_listen", any, address);
    let host = r.value("host", "localhost", "a name");
    let domain = r.value("domain", "local", "a name");
    let region = r.value("region", "local", "a name");
    let platform = r.text("platform", "");
    let seeds = r.list("seeds");
    let keys = r.keys();
    let workers = r.value("workers", "2", "a number").filter(|n| *n > 0);
    let level = r.level();
    let format = r.value("log_format", "text", "text or json");
    let trace = r.text("trace_file", "");
    let notice = r.value("notice_ms", "5000", "a number of milliseconds");
    let role = match role {
        "entry" => r.entry().map(Role::Entry),
        _ => r.sidecar().map(Role::Sidecar),
    };
    Some(Settings {
        peer: peer?,
        announce: announce?.first().copied(),
        gossip: gossip?,
        admin: admin?,
        host: host?,
        domain: domain?,
        region: region?,
        platform: Some(platform).filter(|p| !p.is_empty()),
        seeds: seeds?,
        keys: keys?,
        workers: workers?,
        log_level: level?,
        log_format: format?,
        trace_file: Some(trace).filter(|t| !t.is_empty()),
        notice: Duration::from_millis(notice?),
        role: role?,
    })
}

struct Reader<'a> {
    flags: Vec<(&'static str, Option<String>)>,
    env: &'a dyn Fn(&str) -> Option<String>,
    wrong: Vec<Wrong>,
    seen: String,
}

impl Reader<'_> {
    fn text(&mut self, name: &str, default: &str) -> String {
        let flag = self
            .flags
            .iter()
            .find(|(n, _)| *n == name)
            .and_then(|(_, v)| v.clone());
        let value = flag.or_else(|| (self.env)(&name.to_uppercase()));
        let value = value.unwrap_or_else(|| default.to_owned());
        let _ = writeln!(self.seen, "{} = {value:?}", name.replace('_', "-"));
        value
    }

    fn value<T: FromStr>(&mut self, name: &str, default: &str, wanted: &str) -> Option<T> {
        let text = self.text(name, default);
        text.parse()
            .map_err(|_| self.fault(name, &text, wanted))
            .ok()
    }

    fn list(&mut self, name: &str) -> Option<Vec<SocketAddr>> {
        let text = self.text(name, "");
        let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
        let all: Result<Vec<_>, _> = parts.map(str::parse).collect();
        all.map_err(|_| self.fault(name, &text, "addresses and ports, separated by commas"))
            .ok()
    }

    fn level(&mut self) -> Option<LevelFilter> {
        use spdlog::Level;
        let text = self.text("log_level", "info");
        let level = Level::from_str(&text).map(LevelFilter::MoreSevereEqual);
        level
            .map_err(|_| self.fault("log_level", &text, "a log level"))
            .ok()
    }

    /// A secret from the environment, or else from the file that a setting names.
    fn secret(&mut self, variable: &str, file: &str) -> Option<String> {
        let path = self.text(file, "");
        let given = (self.env)(variable);
        match given {
            Some(s) => Some(s),
            None if path.is_empty() => None,
            None => match std::fs::read_to_string(&path) {
                Ok(s) => Some(s.trim().to_owned()),
                Err(e) => {
                    self.fault(file, &path, &format!("a readable file ({e})"));
                    None
                }
            },
        }
    }

    fn keys(&mut self) -> Option<Keys> {
        let first = self.secret("KEY", "key_file");
        let old = self.secret("OLD_KEY", "old_key_file");
        let Some(first) = first else {
            self.fault(
                "key-file",
                "",
                "the fleet's key, here or in CLEMENTINESTEP_KEY",
            );
            return None;
        };
        let hex = "64 hexadecimal digits";
        let first = Key::from_hex(first).map_err(|_| self.fault("key-file", "(secret)", hex));
        let old =
            old.map(|k| Key::from_hex(k).map_err(|_| self.fault("old-key-file", "(secret)", hex)));
        Some(Keys::new(first.ok()?, old.transpose().ok()?))
    }

    fn entry(&mut self) -> Option<Entry> {
        let listen = self.value("listen", "127.0.0.1:0", "an address and port");
        let max_body = self.value("max_body", "4194304", "a number of bytes");
        let policy = self.value("policy", "ours", "ours or a baseline");
        let operator_key = self.secret("OPERATOR_KEY", "operator_key_file");
        Some(Entry {
            listen: listen?,
            max_body: max_body?,
            operator_key,
            policy: policy?,
        })
    }

    fn sidecar(&mut self) -> Option<Sidecar> {
        let target = self.text("target", "");
        let bare = target
            .trim_start_matches("http://")
            .trim_end_matches('/')
            .parse();
        let target = bare
            .map_err(|_| self.fault("target", &target, "http:// and an address and port"))
            .ok();
        let pool: Option<String> = self.value("pool", "", "a pool's name");
        let empty = pool.as_deref() == Some("");
        if empty {
            self.fault("pool", "", "a pool's name");
        }
        let kind = self.value("kind", "model", "model or plain");
        let slots = self.value("slots", "64", "a number");
        Some(Sidecar {
            target: target?,
            pool: pool.filter(|_| !empty)?,
            kind: kind?,
            slots: slots?,
        })
    }

    fn fault(&mut self, name: &str, value: &str, wanted: &str) {
        self.wrong.push(Wrong {
            name: name.replace('_', "-"),
            value: value.to_owned(),
            wanted: wanted.to_owned(),
        });
    }
}
