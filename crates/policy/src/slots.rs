//! When one engine loads new weights, from what its sidecar and the sidecars of its pool report.
//!
//! Load pattern: new weights are named every few seconds under full load, sidecars are paused, killed and
//! restarted meanwhile, and updates between them are lost, late or out of order. [`crate::rollout`]
//! decides on the state of a pool; this module keeps that state for one sidecar: what the others reported
//! and when, the load under way, how long loads take, and the orders that had no answer.
//!
//! State that others sent unasked may be out of date: a process that continues after a pause has updates
//! from before it, and one whose updates were lost has none of the last. So a slot is claimed first. The
//! sidecar asks the others, each answers with its state as of now, and the engine loads only if all answers
//! are recent and leave a slot free. Who answers counts the claim as a load for a while, so that of two
//! claims at least the later one sees the other; of claims that see one another the lower tie goes ahead.
//! The claim ends before those who answered stop counting it. A sidecar that doesn't answer
//! is passed over ([`crate::contact`]), on its last state.

use std::collections::HashMap;
use std::hash::Hash;

use model::Micros;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::contact::{self, Contacts, Query, RECENT};
use crate::rollout::{self, Engine, Pool};
use crate::versions::Versions;

/// Age up to which another sidecar's update counts; three of its updates while weights change.
const LEASE: Micros = Micros::from_millis(1_600);
/// How long after weights were named, or the process started, the first updates are waited for.
const LISTEN: Micros = Micros::from_millis(150);
/// How long a process that has just started and has received nothing waits for an update.
const ALONE: Micros = Micros::from_millis(1_500);
/// Age of an answer from which on the sidecar is asked again.
const RENEW: Micros = Micros::from_millis(100);
/// How long another sidecar's claim counts after it was received. Longer than answers count, so that a
/// claim has ended, or its load has been reported, before others stop counting it.
const CLAIM: Micros = Micros::from_millis(500);
/// Steps that a claim may last; enough to pass over all peers and see other claims withdrawn.
const STEPS: u32 = 4 * contact::ASKS;
/// Pause after an order that was refused or had no answer, and after a claim that came to nothing.
const AGAIN: Micros = Micros::from_millis(300);
/// Time after an order in which the engine's report may not show it yet.
const SHOWN: Micros = Micros::from_millis(500);
/// Time after an order from which on a load of unknown length may have ended.
const FIRST: Micros = Micros::from_millis(250);
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
    pub load_time: Option<Micros>,
    /// The version that it lacks; 0 if it lacks none.
    pub desired: u64,
    /// Whether it claims a slot.
    pub claims: bool,
    /// Draw of the sidecar's process, another one after each start.
    pub process: u64,
    /// When the sidecar sent it, on its own clock.
    pub sent: Micros,
}

/// What a sidecar does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step<K> {
    /// Asks these.
    pub query: Option<(Query, Vec<K>)>,
    /// Orders the load.
    pub orders: bool,
    /// Sidecars that were passed over, if it orders the load.
    pub skipped: usize,
}

impl<K> Default for Step<K> {
    fn default() -> Self {
        Self {
            query: None,
            orders: false,
            skipped: 0,
        }
    }
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
pub struct OutdatedWeights<'a> {
    /// The model.
    pub model: ModelKey,
    /// The version in use.
    pub version: u64,
    /// The versions that were named.
    pub announced: &'a Versions,
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

/// A claim of a slot.
#[derive(Clone, Copy, Debug)]
struct Claim {
    since: Micros,
    /// Steps that it has lasted. Time doesn't tell how often a slow process could ask.
    steps: u32,
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
    contacts: Contacts<K>,
    claim: Option<Claim>,
    /// Whether no claim of another sidecar stands in the way.
    free: bool,
    /// When the weights that are lacking were named.
    named: Micros,
    /// From when on the engine's report is known to show a load.
    settled: Option<Micros>,
    /// When the engine's report was read last.
    read: Micros,
    loading: Option<Loading>,
    /// How long a load took here.
    load: Option<Micros>,
    /// The version that is lacking; 0 if none is.
    desired: u64,
    /// Since when the engine has been free to load.
    due: Option<Micros>,
    /// When the first order was sent that hasn't led to a load yet.
    tried: Option<Micros>,
    /// Whether its last order had no answer.
    unanswered: bool,
    /// No order before this.
    pause: Micros,
}

impl<K> Default for Slots<K> {
    fn default() -> Self {
        Self {
            peers: HashMap::new(),
            contacts: Contacts::default(),
            claim: None,
            free: false,
            named: Micros::ZERO,
            settled: None,
            read: Micros::ZERO,
            loading: None,
            load: None,
            desired: 0,
            due: None,
            tried: None,
            unanswered: false,
            pause: Micros::ZERO,
        }
    }
}

impl<K: Copy + Eq + Hash> Slots<K> {
    /// Takes over another sidecar's update; none if its engine doesn't answer.
    pub fn receive(&mut self, now: Micros, from: K, state: Option<State>) {
        self.contacts.received(from);
        let Some(state) = state else {
            self.peers.remove(&from);
            return;
        };
        // An update that was overtaken on its way.
        let late = |p: &Peer| p.state.process == state.process && p.state.sent > state.sent;
        if !self.peers.get(&from).is_some_and(late) {
            self.peers.insert(from, Peer { at: now, state });
        }
    }

    /// Notes that another sidecar has answered an ask; its state is taken over by [`Self::receive`].
    pub fn answered(&mut self, now: Micros, from: K, ask: Query) {
        self.contacts.answered(now, from, ask);
    }

    /// Whether asks may be answered: a process that has just started doesn't know yet whether its engine
    /// loads by an order of the one before it.
    pub fn can_answer(&self, now: Micros) -> bool {
        self.loading.is_some() || self.settled.is_some_and(|at| now >= at)
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
            load_time: self.load(now),
            desired: self.desired,
            claims: self.claim.is_some(),
            process: 0,
            sent: now,
        }
    }

    /// Whether some engine of the pool lacks weights or loads them.
    pub fn under_way(&self, now: Micros) -> bool {
        let busy = |p: &Peer| p.state.desired > 0 || p.state.loading.is_some();
        self.desired > 0 || self.recent(now).any(|(_, p)| busy(p))
    }

    /// Whether a remote engine's report is needed as of now: before an order, and once a load may have ended.
    pub fn needs_report(&self, now: Micros) -> bool {
        match &self.loading {
            Some(l) => now.since(l.since) >= self.load.unwrap_or(FIRST),
            None => self.due.is_some(),
        }
    }

    /// Takes over the engine's report: loads that have started or ended.
    pub fn report(&mut self, now: Micros, weights: &[(ModelKey, u64)], busy: bool) {
        self.settled.get_or_insert(now + SHOWN);
        self.read = now;
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
            // The next order is another version's.
            self.tried = None;
            self.unanswered = false;
            let old = self.load.map_or(took.0 as f64, |l| l.0 as f64);
            let new = old + (took.0 as f64 - old) * SMOOTH;
            self.load = Some(Micros(new as u64));
        }
    }

    /// Notes that the engine's report is late. That doesn't end a load, which makes an engine slow: it keeps
    /// its slot for as long as other sidecars would count it without an update.
    pub fn report_missed(&mut self, now: Micros) {
        let counts = |l: &Loading| now.since(l.since.max(self.read)) < self.load_lease(self.load);
        if !self.loading.as_ref().is_some_and(counts) {
            self.engine_exited(now);
        }
    }

    /// Notes that the engine has exited.
    pub fn engine_exited(&mut self, now: Micros) {
        self.settled.get_or_insert(now);
        self.loading = None;
        self.rest();
    }

    /// Brings the schedule up to date with what the engine lacks.
    pub fn schedule(&mut self, now: Micros, group: &Group, lack: Option<&OutdatedWeights<'_>>) {
        let Some(lack) = lack else {
            return self.rest();
        };
        if self.loading.is_some() {
            return;
        }
        self.desired = lack.announced.newest();
        self.named = lack.announced.received_at();
        let tie = rank(group.engine, 0);
        let claiming = self.claim.is_some();
        // A claim that sees others goes ahead of those with a higher tie, which withdraw.
        let ahead = |s: &State| !claiming || rank(s.engine, 0) < tie;
        let listens = now.since(self.named) < LISTEN || now < LISTEN;
        let due = !listens && self.is_due(now, group, lack, ahead);
        self.free = due && self.is_due(now, group, lack, |_| true);
        self.due = due.then(|| self.due.unwrap_or(now));
    }

    /// Advances the claim of a slot if the engine is due to load and can be ordered to. Once the slot is
    /// taken the engine counts as loading. `peers` are the sidecars that are listed, `draw` is random.
    pub fn step(&mut self, now: Micros, peers: &[K], ordered: bool, draw: u64) -> Step<K> {
        let may = ordered && self.loading.is_none() && self.can_answer(now) && now >= self.pause;
        let Some(due) = self.due.filter(|_| may) else {
            self.withdraw();
            return self.look_around(now, peers);
        };
        let Claim { since, steps } = self.claim.unwrap_or_else(|| self.begin(now, draw));
        if steps > STEPS {
            self.withdraw();
            self.pause = now + AGAIN;
            return Step::default();
        }
        let peers = self.known(now, peers);
        let unanswered = |age| self.unanswered(&peers, now, since, age);
        let recent = unanswered(RECENT);
        // A process that is slower than answers grow old goes by the last of them.
        let waits = steps <= contact::ASKS && recent.iter().any(|k| !self.contacts.passed(k));
        if self.free && !waits && now > due {
            self.take(now);
            return Step {
                orders: true,
                skipped: recent.len(),
                ..Step::default()
            };
        }
        let again = unanswered(RENEW);
        let steps = steps + 1;
        self.claim = Some(Claim { since, steps });
        self.ask(now, again)
    }

    /// Peers without an answer to an ask of some age at most that was sent after a claim began.
    fn unanswered(&self, peers: &[K], now: Micros, claim: Micros, age: Micros) -> Vec<K> {
        let from = Micros(now.0.saturating_sub(age.0)).max(claim);
        let old = peers
            .iter()
            .filter(|k| !self.contacts.answered_since(k, from));
        old.copied().collect()
    }

    fn begin(&mut self, now: Micros, draw: u64) -> Claim {
        self.contacts.begin(draw);
        Claim {
            since: now,
            steps: 0,
        }
    }

    fn withdraw(&mut self) {
        self.contacts.end();
        self.claim = None;
    }

    fn take(&mut self, now: Micros) {
        self.withdraw();
        // Without an answer the slot expires by the time since its first order, however long the engine
        // had been free before.
        self.due = Some(*self.tried.get_or_insert(now));
        self.loading = Some(Loading {
            since: now,
            version: Some(self.desired),
        });
    }

    /// Asks those from which nothing was received since the weights were named, so that a dead one is known
    /// before a claim has to wait for it.
    fn look_around(&mut self, now: Micros, peers: &[K]) -> Step<K> {
        if self.desired == 0 || self.loading.is_some() || now.since(self.named) < LISTEN {
            return Step::default();
        }
        let received = |k: &K| self.peers.get(k).is_some_and(|p| p.at >= self.named);
        let quiet = peers
            .iter()
            .filter(|k| !received(k) && !self.contacts.passed(k));
        let quiet = quiet.copied().collect();
        self.ask(now, quiet)
    }

    fn ask(&mut self, now: Micros, peers: Vec<K>) -> Step<K> {
        Step {
            query: self.contacts.query(now, peers),
            ..Step::default()
        }
    }

    /// The sidecars that are listed, and those that have sent something of late.
    fn known(&self, now: Micros, listed: &[K]) -> Vec<K> {
        let recent = self.recent(now).map(|(k, _)| *k);
        let others = recent.filter(|k| !listed.contains(k));
        listed.iter().copied().chain(others).collect()
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
        self.withdraw();
        self.free = false;
        self.tried = None;
        self.unanswered = false;
        self.desired = 0;
        self.due = None;
    }

    /// Updates that count: recent ones, and of a load as long as it may last.
    fn recent(&self, now: Micros) -> impl Iterator<Item = (&K, &Peer)> {
        let lease = move |p: &Peer| match p.state.loading {
            Some(_) => self.load_lease(p.state.load_time.or(self.load)),
            None => LEASE,
        };
        self.peers
            .iter()
            .filter(move |(_, p)| now.since(p.at) < lease(p))
    }

    /// How long a load counts without an update, if it usually takes so long.
    fn load_lease(&self, load: Option<Micros>) -> Micros {
        Micros(2 * load.unwrap_or_default().0).max(LEASE)
    }

    /// How long a load takes, as observed anywhere in the pool.
    fn load(&self, now: Micros) -> Option<Micros> {
        if self.load.is_some() {
            return self.load;
        }
        let mut seen: Vec<_> = self
            .recent(now)
            .filter_map(|(_, p)| p.state.load_time)
            .collect();
        seen.sort_unstable();
        seen.get(seen.len() / 2).copied()
    }

    /// The other engines; claims that count are loads.
    fn others(
        &self,
        now: Micros,
        lack: &OutdatedWeights<'_>,
        counts: impl Fn(&State) -> bool,
    ) -> Vec<Engine> {
        let newest = lack.announced.newest();
        let engine = |p: &Peer| {
            let (_, version) = p.state.weights.iter().find(|(m, _)| *m == lack.model)?;
            let since = now.since(p.at);
            let claims = p.state.claims && since < CLAIM && counts(&p.state);
            Some(Engine {
                version: *version,
                rank: rank(p.state.engine, newest),
                loading: match p.state.loading {
                    Some(l) => Some(l + since),
                    None => claims.then_some(since),
                },
                // A claim takes its time where hosts are slow; it is no unused slot.
                due: p.state.due.filter(|_| !p.state.claims).map(|d| d + since),
            })
        };
        self.recent(now).filter_map(|(_, p)| engine(p)).collect()
    }

    fn is_due(
        &self,
        now: Micros,
        group: &Group,
        lack: &OutdatedWeights<'_>,
        counts: impl Fn(&State) -> bool,
    ) -> bool {
        let config = rollout::Config::default();
        let named = lack.announced;
        let others = self.others(now, lack, counts);
        if others.is_empty() && group.hosts > 1 {
            let blind = rollout::isolated_start(&config, group.rank, group.hosts, group.allowed);
            return now >= ALONE.max(named.received_at() + blind);
        }
        let oldest = others.iter().map(|o| o.version).min();
        let oldest = oldest.unwrap_or(lack.version).min(lack.version);
        let pool = Pool {
            newest: named.newest(),
            others: &others,
            load_time: self.load(now),
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
