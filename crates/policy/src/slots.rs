//! When one engine loads new weights, from what its sidecar and the sidecars of its pool report.
//!
//! Load pattern: new weights are named every few seconds under full load, sidecars are paused, killed and
//! restarted meanwhile, and updates between them are lost, late or out of order. [`crate::rollout`]
//! decides on the state of a pool; this module keeps that state for one sidecar: what the others reported
//! and when, the load under way, how long loads take, and the orders that had no answer.

use std::collections::HashMap;
use std::hash::Hash;

use model::Micros;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::rollout::{self, Engine, Pool};
use crate::versions::Versions;

/// Age up to which another sidecar's update counts; three of its updates while weights change.
const LEASE: Micros = Micros::from_millis(1_600);
/// How long after weights were named, or the process started, the first updates are waited for.
const LISTEN: Micros = Micros::from_millis(150);
/// How long a process that has just started and has received nothing waits for an update.
const ALONE: Micros = Micros::from_millis(1_500);
/// Pause after an order that was refused or had no answer.
const AGAIN: Micros = Micros::from_millis(300);
/// Time after an order in which the engine's report may not show it yet.
const SHOWN: Micros = Micros::from_millis(500);
/// Weight of a new load's length.
const SMOOTH: f64 = 0.5;

/// Key of a model's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ModelKey(pub u64);

/// State of an engine as its sidecar reports it to the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Key of the engine's address, the same for all sidecars.
    pub engine: u64,
    /// Weights in use.
    pub weights: Vec<(ModelKey, u64)>,
    /// For how long it has been loading, if it is.
    pub loading: Option<Micros>,
    /// For how long it has been free to load without doing so.
    pub due: Option<Micros>,
    /// How long a load takes, as far as its sidecar knows.
    pub load: Option<Micros>,
    /// The version that it lacks; 0 if it lacks none.
    pub desired: u64,
}

/// The pool as a sidecar knows it from the list of members.
#[derive(Clone, Copy, Debug)]
pub struct Group {
    /// Key of this sidecar's engine.
    pub engine: u64,
    /// Place of this host among the hosts with an engine.
    pub rank: usize,
    /// Number of such hosts.
    pub hosts: usize,
    /// Time allowed for a change of weights.
    pub allowed: Micros,
}

/// Weights that the engine lacks.
#[derive(Clone, Copy, Debug)]
pub struct Lack<'a> {
    /// The model.
    pub model: ModelKey,
    /// The version in use.
    pub version: u64,
    /// The versions that were named.
    pub named: &'a Versions,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine loads.
    Accepted,
    /// The engine doesn't load.
    Refused,
    /// No answer; the engine may load now or later.
    Unknown,
}

#[derive(Clone, Debug)]
struct Peer {
    at: Micros,
    state: State,
}

/// A load under way.
#[derive(Clone, Copy, Debug)]
struct Loading {
    since: Micros,
    /// The version that was ordered here; none if the load was found under way.
    version: Option<u64>,
}

/// One sidecar's state of a pool that takes new weights. `K` identifies the other sidecars.
#[derive(Debug)]
pub struct Slots<K> {
    peers: HashMap<K, Peer>,
    loading: Option<Loading>,
    /// How long a load took here.
    load: Option<Micros>,
    /// The version that is lacking; 0 if none is.
    desired: u64,
    /// Since when the engine has been free to load.
    due: Option<Micros>,
    /// Whether its last order had no answer.
    unanswered: bool,
    /// No order before this.
    pause: Micros,
}

impl<K> Default for Slots<K> {
    fn default() -> Self {
        Self {
            peers: HashMap::new(),
            loading: None,
            load: None,
            desired: 0,
            due: None,
            unanswered: false,
            pause: Micros::ZERO,
        }
    }
}

impl<K: Copy + Eq + Hash> Slots<K> {
    /// Takes over another sidecar's update; none if its engine doesn't answer.
    pub fn receive(&mut self, now: Micros, from: K, state: Option<State>) {
        match state {
            Some(state) => drop(self.peers.insert(from, Peer { at: now, state })),
            None => drop(self.peers.remove(&from)),
        }
    }

    /// What the other sidecars are to know of this engine.
    pub fn state(&self, now: Micros, engine: u64, weights: Vec<(ModelKey, u64)>) -> State {
        // An order without an answer may never be carried out: its slot expires like an unused one.
        let free = self.loading.is_none() || self.unanswered;
        State {
            engine,
            weights,
            loading: self.loading.map(|l| now.since(l.since)),
            due: self.due.filter(|_| free).map(|at| now.since(at)),
            load: self.load(now),
            desired: self.desired,
        }
    }

    /// Whether some engine of the pool lacks weights or loads them.
    pub fn under_way(&self, now: Micros) -> bool {
        let busy = |p: &Peer| p.state.desired > 0 || p.state.loading.is_some();
        self.desired > 0 || self.recent(now).any(|(_, p)| busy(p))
    }

    /// Takes over the engine's report: loads that have started or ended.
    pub fn report(&mut self, now: Micros, weights: &[(ModelKey, u64)], busy: bool) {
        let Some(loading) = self.loading else {
            let found = Loading {
                since: now,
                version: None,
            };
            self.loading = busy.then_some(found);
            return;
        };
        // The order without an answer has arrived.
        self.unanswered &= !busy;
        let has = |v: u64| weights.iter().any(|(_, w)| *w >= v);
        let took = now.since(loading.since);
        if busy || (took < SHOWN && !loading.version.is_some_and(has)) {
            return;
        }
        self.loading = None;
        if loading.version.is_some_and(has) {
            let old = self.load.map_or(took.0 as f64, |l| l.0 as f64);
            let new = old + (took.0 as f64 - old) * SMOOTH;
            self.load = Some(Micros(new as u64));
        }
    }

    /// Notes that the engine doesn't answer its sidecar.
    pub fn lost(&mut self) {
        self.loading = None;
        self.rest();
    }

    /// Brings the schedule up to date with what the engine lacks.
    pub fn schedule(&mut self, now: Micros, group: &Group, lack: Option<&Lack<'_>>) {
        let Some(lack) = lack else {
            return self.rest();
        };
        if self.loading.is_some() {
            return;
        }
        self.desired = lack.named.newest();
        let listens = now.since(lack.named.heard()) < LISTEN || now < LISTEN;
        let due = !listens && self.is_due(now, group, lack);
        self.due = due.then(|| self.due.unwrap_or(now));
    }

    /// Takes the slot if the engine is free to load; from then on it counts as loading.
    pub fn take(&mut self, now: Micros) -> bool {
        let due = self.due.is_some_and(|due| now > due);
        if !due || self.loading.is_some() || now < self.pause {
            return false;
        }
        self.loading = Some(Loading {
            since: now,
            version: Some(self.desired),
        });
        true
    }

    /// Notes how an order ended. One without an answer may be carried out, so that the engine counts as
    /// loading until its report can show that it doesn't.
    pub fn ordered(&mut self, now: Micros, outcome: Outcome) {
        self.pause = now + AGAIN;
        self.unanswered = outcome == Outcome::Unknown;
        match outcome {
            Outcome::Accepted => self.rest(),
            Outcome::Refused => self.loading = None,
            Outcome::Unknown => {}
        }
    }

    fn rest(&mut self) {
        self.unanswered = false;
        self.desired = 0;
        self.due = None;
    }

    fn recent(&self, now: Micros) -> impl Iterator<Item = (&K, &Peer)> {
        self.peers
            .iter()
            .filter(move |(_, p)| now.since(p.at) < LEASE)
    }

    /// How long a load takes, as observed anywhere in the pool.
    fn load(&self, now: Micros) -> Option<Micros> {
        if self.load.is_some() {
            return self.load;
        }
        let mut seen: Vec<_> = self.recent(now).filter_map(|(_, p)| p.state.load).collect();
        seen.sort_unstable();
        seen.get(seen.len() / 2).copied()
    }

    fn others(&self, now: Micros, lack: &Lack<'_>) -> Vec<Engine> {
        let newest = lack.named.newest();
        let engine = |p: &Peer| {
            let (_, version) = p.state.weights.iter().find(|(m, _)| *m == lack.model)?;
            let since = now.since(p.at);
            Some(Engine {
                version: *version,
                rank: rank(p.state.engine, newest),
                loading: p.state.loading.map(|l| l + since),
                due: p.state.due.map(|d| d + since),
            })
        };
        self.recent(now).filter_map(|(_, p)| engine(p)).collect()
    }

    fn is_due(&self, now: Micros, group: &Group, lack: &Lack<'_>) -> bool {
        let config = rollout::Config::default();
        let named = lack.named;
        let others = self.others(now, lack);
        if others.is_empty() && group.hosts > 1 {
            let blind = rollout::blind(&config, group.rank, group.hosts, group.allowed);
            return now >= ALONE.max(named.heard() + blind);
        }
        let oldest = others.iter().map(|o| o.version).min();
        let oldest = oldest.unwrap_or(lack.version).min(lack.version);
        let pool = Pool {
            newest: named.newest(),
            others: &others,
            load: self.load(now),
            allowed: group.allowed,
            outdated: named.outdated(now, oldest).unwrap_or_default(),
        };
        let own = Engine {
            version: lack.version,
            rank: rank(group.engine, named.newest()),
            loading: None,
            due: self.due.map(|at| now.since(at)),
        };
        rollout::is_due(&config, &pool, &own)
    }
}

/// An engine's place among those with equally old weights. It differs for each version, so that the same
/// engine isn't always the first to lose what it holds.
fn rank(engine: u64, version: u64) -> u64 {
    xxh3_64_with_seed(&engine.to_le_bytes(), version)
}
