//! From text to settings: flag, or else variable, or else default.
//!
//! A fault doesn't end the reading, so that an operator hears of all of them at once instead of one
//! a start.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::str::FromStr;
use std::time::Duration;

use spdlog::{Level, LevelFilter};
use wire::{Key, Keys};

use crate::settings::{Entry, Flags, Role, Settings, Sidecar, Wrong};

/// Where a process listens if it isn't told: on the loopback interface, at a free port.
const ANY: &str = "127.0.0.1:0";
/// What is wanted of an address.
const ADDRESS: &str = "an address and port";

/// Looks settings up, and notes each that it saw and each that was wrong.
pub(super) struct Reader<'a> {
    flags: Flags,
    env: &'a dyn Fn(&str) -> Option<String>,
    /// Faults so far.
    pub(super) wrong: Vec<Wrong>,
    /// Settings in force so far, one a line; secrets aren't among them.
    pub(super) seen: String,
}

impl<'a> Reader<'a> {
    /// Nothing read yet.
    pub(super) fn new(flags: Flags, env: &'a dyn Fn(&str) -> Option<String>) -> Self {
        Self {
            flags,
            env,
            wrong: Vec::new(),
            seen: String::new(),
        }
    }

    /// The settings of a role, unless any is wrong.
    pub(super) fn settings(&mut self, role: &str) -> Option<Settings> {
        let peer = self.value("peer_listen", ANY, ADDRESS);
        let announce = self.list("peer_announce");
        let gossip = self.value("gossip_listen", ANY, ADDRESS);
        let admin = self.value("admin_listen", ANY, ADDRESS);
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

    /// A setting's text: flag, variable or default.
    fn text(&mut self, name: &str, default: &str) -> String {
        let mut flags = self.flags.iter();
        let flag = flags.find(|(n, _)| *n == name);
        let flag = flag.and_then(|(_, v)| v.clone());
        let value = flag.or_else(|| (self.env)(&name.to_uppercase()));
        let value = value.unwrap_or_else(|| default.to_owned());
        let _ = writeln!(self.seen, "{} = {value:?}", name.replace('_', "-"));
        value
    }

    /// A setting of any type that is read from text.
    fn value<T: FromStr>(&mut self, name: &str, default: &str, wanted: &str) -> Option<T> {
        let text = self.text(name, default);
        text.parse()
            .map_err(|_| self.fault(name, &text, wanted))
            .ok()
    }

    /// Addresses, separated by commas.
    fn list(&mut self, name: &str) -> Option<Vec<SocketAddr>> {
        let text = self.text(name, "");
        let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
        let all: Result<Vec<_>, _> = parts.map(str::parse).collect();
        all.map_err(|_| self.fault(name, &text, "addresses and ports, separated by commas"))
            .ok()
    }

    /// The least severe level that is logged.
    fn level(&mut self) -> Option<LevelFilter> {
        let text = self.text("log_level", "info");
        let level = Level::from_str(&text).map(LevelFilter::MoreSevereEqual);
        level
            .map_err(|_| self.fault("log_level", &text, "a log level"))
            .ok()
    }

    /// A secret from the environment, or else from the file that a setting names.
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
                self.fault(file, &path, &format!("a readable file ({e})"));
                None
            }
        }
    }

    /// The fleet's keys.
    fn keys(&mut self) -> Option<Keys> {
        let first = self.secret("KEY", "key_file");
        let old = self.secret("OLD_KEY", "old_key_file");
        let Some(first) = first else {
            let wanted = "the fleet's key, here or in CLEMENTINESTEP_KEY";
            self.fault("key-file", "", wanted);
            return None;
        };
        let first = self.key("key-file", first);
        let old = match old {
            Some(k) => Some(self.key("old-key-file", k)?),
            None => None,
        };
        Some(Keys::new(first?, old))
    }

    /// One key; a secret is never shown in a fault.
    fn key(&mut self, name: &str, hex: String) -> Option<Key> {
        let key = Key::from_hex(hex);
        key.map_err(|_| self.fault(name, "(secret)", "64 hexadecimal digits"))
            .ok()
    }

    /// What only an entry has.
    fn entry(&mut self) -> Option<Entry> {
        let listen = self.value("listen", ANY, ADDRESS);
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

    /// What only a sidecar has.
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

    /// Notes a setting that is wrong.
    fn fault(&mut self, name: &str, value: &str, wanted: &str) {
        self.wrong.push(Wrong {
            name: name.replace('_', "-"),
            value: value.to_owned(),
            wanted: wanted.to_owned(),
        });
    }
}
