//! Parsing of settings: the flag, else the environment variable, else the default.
//!
//! Reading continues after an invalid setting, so that all of them are reported together instead of
//! one per start.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::str::FromStr;
use std::time::Duration;

use model::Micros;
use overload::Timeouts;
use spdlog::{Level, LevelFilter};
use wire::{Key, Keys};

use crate::settings::{Entry, Flags, InvalidSetting, Role, Settings, Sidecar};

/// Default address to listen on: the loopback interface, any free port.
const ANY_PORT: &str = "127.0.0.1:0";
/// Description of a valid address.
const ADDRESS: &str = "an address and port";

/// Looks up settings, lists their values and collects the invalid ones.
pub(super) struct Reader<'a> {
    flags: Flags,
    env: &'a dyn Fn(&str) -> Option<String>,
    /// Invalid settings found.
    pub(super) invalid: Vec<InvalidSetting>,
    /// Listing of the settings, one per line, without secrets.
    pub(super) listing: String,
}

impl<'a> Reader<'a> {
    /// Reader of these flags and environment variables.
    pub(super) fn new(flags: Flags, env: &'a dyn Fn(&str) -> Option<String>) -> Self {
        Self {
            flags,
            env,
            invalid: Vec::new(),
            listing: String::new(),
        }
    }

    /// Reads the settings of a role; none if any of them can't be parsed.
    pub(super) fn settings(&mut self, role: &str) -> Option<Settings> {
        let peer = self.value("peer_listen", ANY_PORT, ADDRESS);
        let announce = self.list("peer_announce");
        let gossip = self.value("gossip_listen", ANY_PORT, ADDRESS);
        let admin = self.value("admin_listen", ANY_PORT, ADDRESS);
        let host = self.value("host", "localhost", "a name");
        let domain = self.value("domain", "local", "a name");
        let region = self.value("region", "local", "a name");
        let platform = self.text("platform", "");
        let seeds = self.list("seeds");
        let keys = self.keys();
        let workers: Option<NonZeroUsize> = self.value("workers", "2", "a number above 0");
        let level = self.level();
        let format = self.value("log_format", "text", "text or json");
        let trace = self.text("trace_file", "");
        let notice = self.value("notice_ms", "5000", "a number of milliseconds");
        let role = match role {
            "entry" => self.entry().map(Role::Entry),
            _ => self.sidecar().map(Role::Sidecar),
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
            workers: workers?.get(),
            log_level: level?,
            log_format: format?,
            trace_file: Some(trace).filter(|t| !t.is_empty()),
            notice: Duration::from_millis(notice?),
            role: role?,
        })
    }

    /// Text of a setting: the flag, the environment variable or the default.
    fn text(&mut self, name: &str, default: &str) -> String {
        let mut flags = self.flags.iter();
        let flag = flags.find(|(n, _)| *n == name);
        let flag = flag.and_then(|(_, v)| v.clone());
        let value = flag.or_else(|| (self.env)(&name.to_uppercase()));
        let value = value.unwrap_or_else(|| default.to_owned());
        let _ = writeln!(self.listing, "{} = {value:?}", name.replace('_', "-"));
        value
    }

    /// Value of a setting, parsed from its text.
    fn value<T: FromStr>(&mut self, name: &str, default: &str, expected: &str) -> Option<T> {
        let text = self.text(name, default);
        text.parse()
            .map_err(|_| self.reject(name, &text, expected))
            .ok()
    }

    /// Value of a setting with addresses separated by commas.
    fn list(&mut self, name: &str) -> Option<Vec<SocketAddr>> {
        let text = self.text(name, "");
        let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
        let all: Result<Vec<_>, _> = parts.map(str::parse).collect();
        all.map_err(|_| self.reject(name, &text, "addresses and ports, separated by commas"))
            .ok()
    }

    /// The minimum severity that is logged.
    fn level(&mut self) -> Option<LevelFilter> {
        let text = self.text("log_level", "info");
        let level = Level::from_str(&text).map(LevelFilter::MoreSevereEqual);
        level
            .map_err(|_| self.reject("log_level", &text, "a log level"))
            .ok()
    }

    /// A secret from an environment variable, or else from the file that the setting `file` names.
    fn secret(&mut self, variable: &str, file: &str) -> Option<String> {
        let path = self.text(file, "");
        if let Some(s) = (self.env)(variable) {
            return Some(s);
        }
        if path.is_empty() {
            return None;
        }
        match std::fs::read_to_string(&path) {
            Ok(s) => Some(s.trim().to_owned()),
            Err(e) => {
                self.reject(file, &path, &format!("a readable file ({e})"));
                None
            }
        }
    }

    /// The keys of the fleet.
    fn keys(&mut self) -> Option<Keys> {
        let first = self.secret("KEY", "key_file");
        let old = self.secret("OLD_KEY", "old_key_file");
        let Some(first) = first else {
            let expected = "the fleet's key, here or in CLEMENTINESTEP_KEY";
            self.reject("key-file", "", expected);
            return None;
        };
        let first = self.key("key-file", first);
        let old = match old {
            Some(k) => Some(self.key("old-key-file", k)?),
            None => None,
        };
        Some(Keys::new(first?, old))
    }

    /// Parses a key. Its value isn't shown if it is invalid.
    fn key(&mut self, name: &str, hex: String) -> Option<Key> {
        let key = Key::from_hex(hex);
        key.map_err(|_| self.reject(name, "(secret)", "64 hexadecimal digits"))
            .ok()
    }

    /// Settings of the entry role.
    fn entry(&mut self) -> Option<Entry> {
        let listen = self.value("listen", ANY_PORT, ADDRESS);
        let max_body = self.value("max_body", "4194304", "a number of bytes");
        let policy = self.value(
            "policy",
            "ours",
            "ours, round-robin, least-loaded or consistent-hash",
        );
        let callers = self.callers();
        let timeouts = self.timeouts(callers.map_or(Duration::MAX, |c| c.unread));
        let operator_key = self.secret("OPERATOR_KEY", "operator_key_file");
        Some(Entry {
            listen: listen?,
            max_body: max_body?,
            callers: callers?,
            timeouts: timeouts?,
            operator_key,
            policy: policy?,
        })
    }

    /// Limits of what is held for callers.
    fn callers(&mut self) -> Option<overload::Config> {
        let memory = self.above_zero("memory_mb", "640", "a number of MiB");
        let descriptors = self.above_zero("max_fds", "0", "a number of descriptors");
        let bytes = self.above_zero("caller_memory_mb", "0", "a number of MiB");
        let expected = "a number of connections";
        let connections = self.above_zero("caller_connections", "0", expected);
        let expected = "a number of milliseconds";
        let unacked = self.above_zero("caller_unacked_ms", "5000", expected);
        let unread = self.above_zero("caller_unread_ms", "600000", expected);
        let ms = |n: usize| Duration::from_millis(n as u64);
        let mib = |n: usize| n.saturating_mul(1 << 20);
        let limits = overload::Config::for_process(memory?.map(mib), descriptors?);
        Some(overload::Config {
            bytes: bytes?.map_or(limits.bytes, mib),
            connections: connections?.unwrap_or(limits.connections),
            unacked: unacked?.map_or(limits.unacked, ms),
            unread: unread?.map_or(limits.unread, ms),
            ..limits
        })
    }

    /// A number that 0 leaves open.
    fn above_zero(&mut self, name: &str, default: &str, expected: &str) -> Option<Option<usize>> {
        let n: usize = self.value(name, default, expected)?;
        Some(Some(n).filter(|n| *n > 0))
    }

    /// Time limits of callers' connections.
    fn timeouts(&mut self, unread: Duration) -> Option<Timeouts> {
        let head = self.value("head_timeout_ms", "10000", "a number of milliseconds");
        let idle = self.value("idle_timeout_ms", "75000", "a number of milliseconds");
        Some(Timeouts {
            head: Micros::from_millis(head?),
            idle: Micros::from_millis(idle?),
            unread: unread.into(),
        })
    }

    /// Settings of the sidecar role.
    fn sidecar(&mut self) -> Option<Sidecar> {
        let target = self.text("target", "");
        let address = target
            .trim_start_matches("http://")
            .trim_end_matches('/')
            .parse();
        let target = address
            .map_err(|_| self.reject("target", &target, "http:// and an address and port"))
            .ok();
        let pool: Option<String> = self.value("pool", "", "a pool's name");
        let is_empty = pool.as_deref() == Some("");
        if is_empty {
            self.reject("pool", "", "a pool's name");
        }
        let kind = self.value("kind", "model", "model or plain");
        let slots = self.value("slots", "64", "a number");
        Some(Sidecar {
            target: target?,
            pool: pool.filter(|_| !is_empty)?,
            kind: kind?,
            slots: slots?,
        })
    }

    /// Records an invalid setting.
    fn reject(&mut self, name: &str, value: &str, expected: &str) {
        self.invalid.push(InvalidSetting {
            name: name.replace('_', "-"),
            value: value.to_owned(),
            expected: expected.to_owned(),
        });
    }
}
