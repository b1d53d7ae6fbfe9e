//! What one process believes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use model::{Micros, Position};
use policy::versions::Versions;
use site::{Plan, Role, Settings};
use tokio::sync::watch;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::log::{self, Event};
use crate::meter;
use crate::target_list::TargetList;

/// Time after its start in which a process first reads what was there before it; a slow store
/// answers within it.
const START: Micros = Micros::from_millis(3_000);

/// Lowest bits of a fencing token, which keep apart hosts that draw one in the same millisecond.
const FENCE_TIE: u32 = 10;

/// Milliseconds that no copy of the store is older than.
const COPY_AGE: u64 = 60_000;

/// A process's context, handed to all its parts.
pub type SharedNode = Rc<Node>;

/// A process.
#[derive(Debug)]
pub struct Node {
    /// Its settings; they may change while it runs.
    pub settings: RefCell<Settings>,
    /// What it believes.
    pub cluster: RefCell<ClusterState>,
    /// When it started; the origin of its times.
    pub origin: Instant,
    /// Set once it was told to stop.
    pub stopping: Cell<bool>,
    /// Highest era of the store that was read or received.
    pub era: watch::Sender<Option<u64>>,
    /// Whether the store has been restored since this process's start.
    pub restored: Cell<bool>,
}

impl Node {
    /// A process that knows nothing yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings: RefCell::new(settings),
            cluster: RefCell::default(),
            origin: Instant::now(),
            stopping: Cell::new(false),
            era: watch::Sender::new(None),
            restored: Cell::new(false),
        }
    }

    /// Takes over an era of the store; those who follow it read all again if it is a new one.
    pub fn raise_era(&self, era: u64, source: Source) {
        let known = *self.era.borrow();
        // Another process that knows of none sends 0.
        let unknown = era == 0 && source == Source::Peer;
        if unknown || known.is_some_and(|k| era <= k) {
            return;
        }
        self.cluster.borrow_mut().era = era;
        // The first answer that names one is no restore.
        self.era.send_if_modified(|e| {
            *e = Some(era);
            known.is_some()
        });
        if let Some(before) = known {
            self.restored.set(true);
            meter::increment(meter::STORE_ERAS, "kind", "restored");
            log::event(&Event::Restored {
                era,
                before,
                source: source.as_str(),
            });
        }
    }

    /// Now, as decisions see it.
    pub fn now(&self) -> Micros {
        self.origin.elapsed().into()
    }

    /// The configuration in force.
    pub fn plan(&self) -> Option<Rc<Plan>> {
        self.cluster.borrow().plan.clone()
    }
}

/// A row that the operator has written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorRow {
    /// Where it was written in the store.
    pub at: Position,
    /// Its value.
    pub value: Bytes,
}

/// Where a row of the operator's came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A read of the whole table, which doesn't say when a row was written.
    Table,
    /// The store's feed of changes: it was written just now.
    Feed,
    /// Another process.
    Peer,
}

impl Source {
    /// The word for it in log lines.
    fn as_str(self) -> &'static str {
        match self {
            Self::Table | Self::Feed => "store",
            Self::Peer => "peer",
        }
    }
}

/// Another process of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Where it is reached.
    pub addr: SocketAddr,
    /// What it does.
    pub role: Role,
    /// Key of its failure domain.
    pub domain: u64,
    /// The engine beside it, if it is a sidecar.
    pub engine: Option<SocketAddr>,
}

/// A failure domain's name as decisions compare it.
pub fn domain_key(domain: &str) -> u64 {
    xxh3_64(domain.as_bytes())
}

/// What a process believes of the operator's wishes and of the other processes.
#[derive(Debug, Default)]
pub struct ClusterState {
    /// The configuration in force.
    pub plan: Option<Rc<Plan>>,
    /// Weights that the operator has named, by model.
    pub announced_weights: HashMap<String, Versions>,
    /// The operator's rows as they were read, for processes that the store turns away.
    pub operator_rows: HashMap<String, OperatorRow>,
    /// Other processes, by host.
    pub members: HashMap<String, Member>,
    /// The list of targets as it was last read from the store, here or by another entry.
    pub targets: Option<TargetList>,
    /// Since when the store hasn't answered this process.
    pub store_lost_since: Option<Micros>,
    /// Highest era of the store that was read or received.
    pub era: u64,
    /// The store's clock as last read, and when that was.
    pub store_clock: Option<(u64, Micros)>,
    /// When a delegate of an engine last reported, by the engine's address.
    pub delegate_reports: HashMap<SocketAddr, Micros>,
    /// Engines that no sidecar is a member for, in order.
    pub engines_without_sidecar: Vec<SocketAddr>,
}

impl ClusterState {
    /// Takes over a row of the operator's if it is newer than what is in force.
    ///
    /// Configurations and weights only ever go up within a process's life. A store that answers
    /// with an older state, or a peer that lags, can't bring back a key that was taken away. A row of a
    /// restored store counts as newer whatever its version there; the operator's own version decides.
    pub fn apply_row(&mut self, now: Micros, key: &str, row: OperatorRow, source: Source) {
        let known = self.operator_rows.get(key);
        if known.is_some_and(|k| k.at >= row.at) {
            return;
        }
        let error = match () {
            () if key == platform::config::CONFIG_KEY => {
                self.apply_configuration(&row.value, source.as_str())
            }
            () if platform::config::is_weights_key(key) => {
                self.record_announcement(now, &row.value, source)
            }
            () => Ok(()),
        };
        if let Err(e) = error {
            let error = &e.to_string();
            log::event(&Event::BadRow { key, error });
        }
        self.operator_rows.insert(key.to_owned(), row);
    }

    fn apply_configuration(
        &mut self,
        value: &Bytes,
        source: &str,
    ) -> Result<(), platform::config::ConfigError> {
        let draft = platform::config::decode_config(value)?;
        let current = self.plan.as_ref().map_or(0, |p| p.version());
        if draft.version > current {
            let plan = Plan::new(draft);
            log::event(&Event::Configured {
                version: plan.version(),
                source,
                routes: plan.route_count(),
            });
            self.plan = Some(Rc::new(plan));
        }
        Ok(())
    }

    fn record_announcement(
        &mut self,
        now: Micros,
        value: &Bytes,
        source: Source,
    ) -> Result<(), platform::config::ConfigError> {
        let weights = platform::config::decode_weights(value)?;
        let start = source != Source::Feed && now < START;
        let known = self
            .announced_weights
            .entry(weights.model.clone())
            .or_default();
        if known.record(now, weights.version, start) {
            log::event(&Event::Named {
                model: &weights.model,
                version: weights.version,
                source: source.as_str(),
            });
        }
        Ok(())
    }

    /// Addresses of all entries but this one.
    pub fn entries(&self) -> impl Iterator<Item = SocketAddr> + Clone + '_ {
        let entries = self.members.values().filter(|m| m.role == Role::Entry);
        entries.map(|m| m.addr)
    }

    /// Takes over the store's clock.
    pub fn set_store_clock(&mut self, now: Micros, clock: u64) {
        // A late answer shows a time that has passed.
        let newer = self.store_clock_at(now).is_none_or(|c| clock > c);
        if newer && clock > 0 {
            self.store_clock = Some((clock, now));
        }
    }

    /// The store's clock as of now.
    fn store_clock_at(&self, now: Micros) -> Option<u64> {
        let (clock, at) = self.store_clock?;
        Some(clock + now.since(at).as_millis())
    }

    /// A fencing token of a host, above all that any host has drawn before.
    pub fn fencing_token(&self, now: Micros, host: &str) -> Option<u64> {
        let tie = xxh3_64(host.as_bytes()) >> (u64::BITS - FENCE_TIE);
        // A restored store's clock may be the copy's.
        let clock = self.store_clock_at(now)? + self.era * COPY_AGE;
        Some(clock << FENCE_TIE | tie)
    }

    /// Sidecars on other hosts with their hosts' names, in order.
    pub fn other_sidecars(&self, own: &str) -> Vec<(&String, SocketAddr)> {
        let sidecars = self.members.iter();
        let others = sidecars.filter(|(h, m)| m.role == Role::Sidecar && *h != own);
        let mut others: Vec<_> = others.map(|(h, m)| (h, m.addr)).collect();
        others.sort_unstable();
        others
    }

    /// Whether a sidecar is a member for an engine.
    pub fn has_sidecar(&self, engine: SocketAddr) -> bool {
        self.members.values().any(|m| m.engine == Some(engine))
    }

    /// All sidecars but this process.
    pub fn sidecars(&self) -> impl Iterator<Item = Member> + '_ {
        let members = self.members.values().copied();
        members.filter(|m| m.role == Role::Sidecar)
    }
}
