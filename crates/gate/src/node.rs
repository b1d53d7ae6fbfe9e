//! State of one process: its settings, and what it has received about the rest of the system.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use model::{Micros, Position};
use policy::versions::Versions;
use site::{Plan, Role, Settings};
use tokio::sync::{watch, Notify};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::log::{self, Event};
use crate::meter;
use crate::table_checks::TableChecks;
use crate::target_list::TargetList;

/// Time after the start of a process within which it first reads the state from before its start,
/// even from a slow store.
const INITIAL_READ_PERIOD: Micros = Micros::from_millis(3_000);

/// Number of lowest bits of a fencing token that hold a hash of the host, which distinguishes hosts
/// that create a token in the same millisecond.
const HOST_HASH_BITS: u32 = 10;

/// Maximum age of a backup that the store is restored from, in milliseconds.
const MAX_BACKUP_AGE_MS: u64 = 60_000;

/// The state of a process, which all its tasks share.
pub type SharedNode = Rc<Node>;

/// State of a process.
#[derive(Debug)]
pub struct Node {
    /// Settings of the process; they may change while it runs.
    pub settings: RefCell<Settings>,
    /// The process's view of the system.
    pub cluster: RefCell<ClusterState>,
    /// When the process started; the origin of all [`Micros`] times.
    pub origin: Instant,
    /// Whether the process has received a signal to stop.
    pub stopping: Cell<bool>,
    /// Address of the store in the settings.
    pub store: watch::Sender<SocketAddr>,
    /// Highest era of the store that was read or received.
    pub era: watch::Sender<Option<u64>>,
    /// Whether the store has been restored since the process started.
    pub restored: Cell<bool>,
    /// Until when the copies of followed tables are confirmed.
    pub tables: TableChecks,
    /// Other processes that have started since this was last read.
    pub starts: RefCell<Vec<Start>>,
    /// Notified when other processes have started or a target has come or gone.
    pub processes_changed: Notify,
}

impl Node {
    /// Creates the state of a process that has received nothing yet.
    pub fn new(settings: Settings) -> Self {
        let tables = TableChecks::new(&settings.host);
        Self {
            store: watch::Sender::new(settings.store),
            settings: RefCell::new(settings),
            cluster: RefCell::default(),
            origin: Instant::now(),
            stopping: Cell::new(false),
            era: watch::Sender::new(None),
            restored: Cell::new(false),
            tables,
            starts: RefCell::default(),
            processes_changed: Notify::new(),
        }
    }

    /// Records an era of the store. If it is newer than the known one, the store has been restored,
    /// and all tasks that follow the store read it again.
    pub fn raise_era(&self, era: u64, source: Source) {
        let known = *self.era.borrow();
        // A process that doesn't know the era sends 0.
        let unknown = era == 0 && source == Source::Peer;
        if unknown || known.is_some_and(|k| era <= k) {
            return;
        }
        self.cluster.borrow_mut().era = era;
        // The first era that the process receives doesn't indicate a restore.
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

    /// Puts changed settings in force.
    pub fn set_settings(&self, settings: Settings) {
        let store = settings.store;
        self.settings.replace(settings);
        self.store
            .send_if_modified(|known| std::mem::replace(known, store) != store);
    }

    /// Current time since the start of the process.
    pub fn now(&self) -> Micros {
        self.origin.elapsed().into()
    }

    /// The configuration in force.
    pub fn plan(&self) -> Option<Rc<Plan>> {
        self.cluster.borrow().plan.clone()
    }
}

/// A row of the operator's table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorRow {
    /// Store position at which the row was written.
    pub at: Position,
    /// Value of the row.
    pub value: Bytes,
}

/// Source of a row or era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A read of the whole table, which doesn't show when a row was written.
    Table,
    /// The store's feed of changes: the row was written just now.
    Feed,
    /// Another process.
    Peer,
}

impl Source {
    /// Name of the source in log lines.
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
    /// Address of the process.
    pub addr: SocketAddr,
    /// Role of the process.
    pub role: Role,
    /// Hash of the name of its failure domain.
    pub domain: u64,
    /// Address of the engine on the same host, if the process is a sidecar.
    pub engine: Option<SocketAddr>,
    /// Position of the row that the process wrote when it started.
    pub at: Position,
}

/// A process that has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// The process.
    pub member: Member,
    /// Address of its former incarnation; `None` on a new host.
    pub former: Option<SocketAddr>,
}

/// Hash of a failure domain's name, as the policies compare it.
pub fn domain_key(domain: &str) -> u64 {
    xxh3_64(domain.as_bytes())
}

/// A process's view of the system: the operator's configuration, the other processes and the
/// targets.
#[derive(Debug, Default)]
pub struct ClusterState {
    /// The configuration in force.
    pub plan: Option<Rc<Plan>>,
    /// Versions of weights that the operator has announced, by model.
    pub announced_weights: HashMap<String, Versions>,
    /// The operator's rows as they were read, to be passed on to processes that can't reach the
    /// store.
    pub operator_rows: HashMap<String, OperatorRow>,
    /// Other processes, by host.
    pub members: HashMap<String, Member>,
    /// Position of the newest row in the list of members.
    pub members_position: Position,
    /// The list of targets as last read from the store, by this process or by another entry.
    pub targets: Option<TargetList>,
    /// Since when the store hasn't answered this process; `None` while it answers.
    pub store_lost_since: Option<Micros>,
    /// Highest era of the store that was read or received.
    pub era: u64,
    /// The store's clock in milliseconds when last read, and the time of that read.
    pub store_clock: Option<(u64, Micros)>,
    /// When a delegate last reported on an engine, by the engine's address.
    pub delegate_reports: HashMap<SocketAddr, Micros>,
    /// Sorted addresses of engines without a sidecar among the members.
    pub engines_without_sidecar: Vec<SocketAddr>,
}

impl ClusterState {
    /// Applies a row of the operator's table if it is newer than the known one.
    ///
    /// The versions of the configuration and of weights never decrease while a process runs, so a
    /// store that answers with an older state, or a lagging peer, can't restore an API key that was
    /// revoked. A row of a restored store counts as newer whatever its store version; the version
    /// that the operator has given to the configuration or weights decides.
    pub fn apply_row(&mut self, now: Micros, key: &str, row: OperatorRow, source: Source) {
        let known = self.operator_rows.get(key);
        if known.is_some_and(|k| k.at >= row.at) {
            return;
        }
        let result = match () {
            () if key == platform::config::CONFIG_KEY => {
                self.apply_configuration(&row.value, source.as_str())
            }
            () if platform::config::is_weights_key(key) => {
                self.record_announcement(now, &row.value, source)
            }
            () => Ok(()),
        };
        if let Err(e) = result {
            let error = &e.to_string();
            log::event(&Event::BadRow { key, error });
        }
        self.operator_rows.insert(key.to_owned(), row);
    }

    /// Position of the newest of the operator's rows.
    pub fn operator_position(&self) -> Position {
        let positions = self.operator_rows.values().map(|r| r.at);
        positions.max().unwrap_or_default()
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
        let at_startup = source != Source::Feed && now < INITIAL_READ_PERIOD;
        let versions = self
            .announced_weights
            .entry(weights.model.clone())
            .or_default();
        if versions.record(now, weights.version, at_startup) {
            log::event(&Event::Named {
                model: &weights.model,
                version: weights.version,
                source: source.as_str(),
            });
        }
        Ok(())
    }

    /// Addresses of all entries except this process.
    pub fn entries(&self) -> impl Iterator<Item = SocketAddr> + Clone + '_ {
        let entries = self.members.values().filter(|m| m.role == Role::Entry);
        entries.map(|m| m.addr)
    }

    /// Records the store's clock.
    pub fn set_store_clock(&mut self, now: Micros, clock: u64) {
        // A delayed answer shows an earlier time.
        let newer = self.store_clock_at(now).is_none_or(|c| clock > c);
        if newer && clock > 0 {
            self.store_clock = Some((clock, now));
        }
    }

    /// The store's clock in milliseconds now, extrapolated from the last read.
    pub fn store_clock_at(&self, now: Micros) -> Option<u64> {
        let (clock, at) = self.store_clock?;
        Some(clock + now.since(at).as_millis())
    }

    /// Creates a fencing token for a host, higher than all tokens that any host has created before.
    pub fn fencing_token(&self, now: Micros, host: &str) -> Option<u64> {
        let host_hash = xxh3_64(host.as_bytes()) >> (u64::BITS - HOST_HASH_BITS);
        // The clock of a restored store may continue from the time of its backup.
        let clock = self.store_clock_at(now)? + self.era * MAX_BACKUP_AGE_MS;
        Some(clock << HOST_HASH_BITS | host_hash)
    }

    /// Sidecars on other hosts, sorted by host name.
    pub fn other_sidecars(&self, own: &str) -> Vec<(&String, SocketAddr)> {
        let sidecars = self.members.iter();
        let others = sidecars.filter(|(h, m)| m.role == Role::Sidecar && *h != own);
        let mut others: Vec<_> = others.map(|(h, m)| (h, m.addr)).collect();
        others.sort_unstable();
        others
    }

    /// Whether any member is the sidecar of an engine.
    pub fn has_sidecar(&self, engine: SocketAddr) -> bool {
        self.members.values().any(|m| m.engine == Some(engine))
    }

    /// All sidecars except this process.
    pub fn sidecars(&self) -> impl Iterator<Item = Member> + '_ {
        let members = self.members.values().copied();
        members.filter(|m| m.role == Role::Sidecar)
    }
}
