//! Slots for weight loads: when one engine may load new weights, given what its own sidecar and the other
//! sidecars of its pool report.
//!
//! Load pattern: new weights are announced every few seconds under full load. Meanwhile sidecars are paused,
//! killed and restarted, and the updates between them are lost, delayed or reordered. [`crate::rollout`]
//! decides from the state of a pool whether an engine is due to load. This module keeps that state for one
//! sidecar: the latest update of each other sidecar and its age, the load in progress, how long loads take,
//! and the orders that got no answer.
//!
//! Updates alone may be out of date: a process that resumes after a pause still has updates from before the
//! pause, and a process whose updates were lost lacks the latest ones. A sidecar therefore claims a slot
//! first. It queries the other sidecars, each answers with its current state, and the engine loads only if
//! all answers are valid and leave a slot free. A sidecar that answers counts the claim as a load, so of two
//! claims at least the later one sees the other. Among claims that see one another the one with the lower
//! tie-break value proceeds.
//!
//! A sidecar that doesn't answer is skipped ([`crate::contact`]), and its last known state is used. While
//! nothing arrives from it, it may have taken the slot that it last claimed, and its engine may still be
//! loading. A claim therefore counts until the last moment at which its slot can be taken plus the time of a
//! load, unless a later state shows otherwise. That time is a fraction of the time allowed for the change, or
//! twice the usual time of a load if that is longer: a load may take far longer than those before it, and a
//! sidecar that is lost during a load delays its pool by no more than the change can bear.
//!
//! A peer may be out of reach only from here: other sidecars relay the states of silent peers ([`crate::relay`]).
//! Of two sidecars that reach each other only through a third one, the one whose claim the third one receives
//! later sees the claim of the other in its answer. An answer from before a peer fell silent doesn't cover
//! that peer, since it didn't have to relay anything.
//!
//! A newly started process has no state of a peer that ordered a load before the start and is silent since.
//! If a change is under way at the start or shortly after it, the process counts every peer from which it has
//! received nothing as loading, until such a load must have ended.

mod reach;

use std::collections::HashMap;
use std::hash::Hash;

use model::Micros;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::contact::{self, Contacts, Query};
use crate::relay::{Confirmation, Peer, Relay, Relays, ShortKey};
use crate::rollout::{self, Engine, Pool};
use crate::versions::Versions;

/// How long another sidecar's update is valid: three update intervals while weights change.
const UPDATE_LEASE: Micros = Micros::from_millis(1_600);
/// How long the first updates are awaited after new weights were announced or the process started.
const INITIAL_WAIT: Micros = Micros::from_millis(150);
/// Time after the start of a process up to which a change counts as under way at the start.
const STARTUP_PERIOD: Micros = Micros::from_millis(1_600);
/// How long a newly started process that has received no update waits for one.
const STARTUP_WAIT: Micros = Micros::from_millis(1_500);
/// Age of an answer after which the sidecar is queried again.
const ANSWER_REFRESH: Micros = Micros::from_millis(100);
/// Age of the state of a peer that claims or loads after which the peer is queried again.
const STATE_REFRESH: Micros = Micros::from_millis(600);
/// How long an answer is valid for a claim. Long enough for a slow process to receive the answers of all
/// peers, and shorter than [`UPDATE_LEASE`], so that the state in a valid answer still counts.
const ANSWER_LIFETIME: Micros = Micros::from_millis(1_500);
/// Number of queries after which a peer is skipped that sends updates but no answers.
const MAX_UNANSWERED: u32 = 30;
/// Maximum number of steps of a claim: enough to skip all silent peers and to see other claims withdrawn.
const MAX_CLAIM_STEPS: u32 = MAX_UNANSWERED + 10;
/// Pause after a claim failed or an order was sent; doubled after each order that led to no load.
const RETRY_DELAY: Micros = Micros::from_millis(300);
/// Maximum number of times that the pause is doubled.
const MAX_DOUBLINGS: u32 = 4;
/// Fraction of the time allowed for a change for which a load counts while nothing shows its end.
const LONGEST_LOAD: f64 = 0.5;
/// Time after an order within which the engine's report may not show the load yet.
const REPORT_DELAY: Micros = Micros::from_millis(500);
/// Time for which an engine counts as loading after an order without an answer, which may be carried out late.
const UNANSWERED_DELAY: Micros = Micros::from_millis(2_000);
/// Time after an order before which a load of unknown duration is assumed not to have ended.
const MIN_LOAD_TIME: Micros = Micros::from_millis(250);
/// Maximum number of states that are relayed at a time, so that an update fits into one datagram.
pub const MAX_RELAYS: usize = 7;
/// Maximum number of relayed claims that are confirmed in one state.
pub const MAX_CONFIRMED: usize = 2;
/// Weight of the latest load in the moving average of load times.
const LOAD_TIME_WEIGHT: f64 = 0.5;

/// Hash of a model's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ModelKey(pub u64);

/// State of an engine as its sidecar reports it to the other sidecars.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Hash of the engine's address, the same at all sidecars.
    pub engine: u64,
    /// Models and the versions of their weights that are in use.
    pub weights: Vec<(ModelKey, u64)>,
    /// How long the engine has been loading, if it is loading.
    pub loading: Option<Micros>,
    /// How long the engine has been due to load without loading.
    pub due: Option<Micros>,
    /// How long a load takes, if the sidecar has observed one or received a figure.
    pub load_time: Option<Micros>,
    /// Version that the engine still has to load; 0 if it is up to date.
    pub desired: u64,
    /// Whether the sidecar claims a slot.
    pub claims: bool,
    /// Random number of the sidecar's process, a new one after each start.
    pub process: u64,
    /// When the sidecar sent the state, on its own clock.
    pub sent: Micros,
    /// Engines of silent peers, whose states are to be relayed.
    pub silent: Vec<ShortKey>,
    /// Digest of the engines that the sidecar knows, if it lacks the state of a listed peer; 0 otherwise.
    pub known: u64,
    /// Claims that were received through other sidecars.
    pub confirmed: Vec<Confirmation>,
    /// States of the engines that other sidecars have named as silent.
    pub relays: Vec<Relay>,
}

impl State {
    /// Whether the engine loads or its sidecar claims a slot.
    pub(crate) fn takes_slot(&self) -> bool {
        self.loading.is_some() || self.claims
    }
}

/// Next action of a sidecar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step<K> {
    /// Query to send, and the sidecars to send it to.
    pub query: Option<(Query, Vec<K>)>,
    /// Whether to order the engine to load.
    pub orders: bool,
    /// Number of sidecars that were skipped, if the load is ordered.
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

/// A sidecar's position in its pool, from the list of members.
#[derive(Clone, Copy, Debug)]
pub struct Group {
    /// Hash of the address of this sidecar's engine.
    pub engine: u64,
    /// Rank of this host among the hosts with an engine.
    pub rank: usize,
    /// Number of hosts with an engine.
    pub hosts: usize,
    /// Time allowed for the whole pool to change weights.
    pub allowed: Micros,
}

/// Weights in use for which a newer version was announced.
#[derive(Clone, Copy, Debug)]
pub struct OutdatedWeights<'a> {
    /// Model of the weights.
    pub model: ModelKey,
    /// Version in use.
    pub version: u64,
    /// Versions of the model that were announced.
    pub announced: &'a Versions,
}

/// Outcome of an order to load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine started to load.
    Accepted,
    /// The engine didn't start to load.
    Refused,
    /// No answer: the engine may load now or later.
    Unknown,
}

/// This sidecar's claim of a slot.
#[derive(Clone, Copy, Debug)]
struct Claim {
    since: Micros,
    /// Number of steps since the claim began. Elapsed time would not show how many queries a slow process
    /// could send.
    steps: u32,
}

/// A load in progress.
#[derive(Clone, Copy, Debug)]
struct Loading {
    since: Micros,
    /// Time from which the engine's report shows the load if the order is carried out; unlimited until the
    /// outcome of the order is known.
    shown_from: Micros,
    /// Model and version that this sidecar ordered; `None` if the load was already in progress when it was
    /// first seen.
    ordered: Option<(ModelKey, u64)>,
}

/// What one sidecar records about the weight loads of its pool. `K` identifies the other sidecars.
#[derive(Debug)]
pub struct Slots<K> {
    /// Latest update of each other sidecar.
    peers: HashMap<K, Peer>,
    relays: Relays<K>,
    contacts: Contacts<K>,
    /// Peers in the list of members.
    listed: Vec<K>,
    /// Engine of this sidecar, once it is known.
    engine: Option<u64>,
    /// Since when a change has been under way, as of the last step.
    under_way_since: Option<Micros>,
    claim: Option<Claim>,
    /// Whether the engine is due, given the loads and those claims of other sidecars that precede its own.
    due: bool,
    /// Whether the engine is due even if all claims of other sidecars count as loads.
    due_despite_claims: bool,
    /// When the version to load was received.
    announced: Micros,
    /// Time allowed for the whole pool to change weights.
    allowed: Micros,
    /// When this process first read a report or noticed its absence.
    started: Option<Micros>,
    /// Time from which the engine's report is certain to show a load.
    report_reliable_from: Option<Micros>,
    /// When the engine's report was last read.
    last_report: Micros,
    loading: Option<Loading>,
    /// Moving average of this engine's load times.
    load_time: Option<Micros>,
    /// Model of the weights that the engine still has to load.
    model: ModelKey,
    /// Version that the engine still has to load; 0 if it is up to date.
    desired: u64,
    /// When the engine became due to load.
    due_since: Option<Micros>,
    /// Estimated time until the engine starts to load, if it lacks the newest weights.
    time_to_load: Option<Micros>,
    /// When the first of the orders was sent that haven't led to a load yet.
    first_order: Option<Micros>,
    /// Number of those orders.
    failed_orders: u32,
    /// Earliest time of the next order or claim.
    paused_until: Micros,
}

impl<K> Default for Slots<K> {
    fn default() -> Self {
        Self {
            peers: HashMap::new(),
            relays: Relays::default(),
            contacts: Contacts::new(contact::Config {
                lifetime: ANSWER_LIFETIME,
                max_unanswered: MAX_UNANSWERED,
                ..contact::Config::default()
            }),
            listed: Vec::new(),
            engine: None,
            under_way_since: None,
            claim: None,
            due: false,
            due_despite_claims: false,
            announced: Micros::ZERO,
            allowed: Micros::ZERO,
            started: None,
            report_reliable_from: None,
            last_report: Micros::ZERO,
            loading: None,
            load_time: None,
            model: ModelKey(0),
            desired: 0,
            due_since: None,
            time_to_load: None,
            first_order: None,
            failed_orders: 0,
            paused_until: Micros::ZERO,
        }
    }
}

impl<K: Copy + Eq + Hash> Slots<K> {
    /// Records another sidecar's update; `None` if its engine doesn't answer.
    pub fn receive(&mut self, now: Micros, from: K, state: Option<State>) {
        self.contacts.received(from);
        let Some(mut state) = state else {
            if let Some(p) = self.peers.remove(&from) {
                self.relays.remove(p.state.engine);
            }
            return;
        };
        // A later update of the same process has arrived before this one.
        let reordered = |p: &Peer| p.state.process == state.process && p.state.sent > state.sent;
        if !self.peers.get(&from).is_some_and(reordered) {
            let relays = std::mem::take(&mut state.relays);
            self.receive_relays(now, (from, state.sent), &relays);
            self.relays.drop_before(&state);
            let peer = Peer {
                received_at: now,
                state,
            };
            self.peers.insert(from, peer);
        }
    }

    /// Records that another sidecar has answered a query. Its state is passed to [`Self::receive`].
    pub fn answered(&mut self, now: Micros, from: K, query: Query) {
        self.contacts.answered(now, from, query);
    }

    /// Whether queries may be answered. A newly started process can't know yet whether its engine loads
    /// weights that the previous process ordered.
    pub fn can_answer(&self, now: Micros) -> bool {
        let is_reliable = |at: Micros| now >= at && self.last_report >= at;
        self.loading.is_some() || self.report_reliable_from.is_some_and(is_reliable)
    }

    /// State of this engine to report to the other sidecars.
    pub fn state(&self, now: Micros, engine: u64, weights: Vec<(ModelKey, u64)>) -> State {
        let unused = self.loading.is_none();
        State {
            engine,
            weights,
            loading: self.loading.map(|l| now.since(l.since)),
            due: self.due_since.filter(|_| unused).map(|at| now.since(at)),
            load_time: self.pool_load_time(now),
            desired: self.desired,
            claims: self.claim.is_some(),
            process: 0,
            sent: now,
            silent: self.silent_engines(now),
            known: self.digest_if_unknown(now, engine),
            confirmed: self.confirmed_claims(now),
            relays: self.requested_relays(now, engine),
        }
    }

    /// Whether the engine waits to load.
    fn waits(&self) -> bool {
        self.desired > 0 && self.loading.is_none()
    }

    /// Whether any engine of the pool still has to load weights or is loading them.
    pub fn under_way(&self, now: Micros) -> bool {
        let changing = |p: &Peer| p.state.desired > 0 || p.state.loading.is_some();
        self.desired > 0 || self.loading.is_some() || self.recent_peers(now).any(changing)
    }

    /// Whether an engine without a sidecar needs a fresh report: before an order, and once a load may have
    /// ended.
    pub fn needs_report(&self, now: Micros) -> bool {
        match &self.loading {
            Some(l) => now.since(l.since) >= self.load_time.unwrap_or(MIN_LOAD_TIME),
            None => self.due_since.is_some(),
        }
    }

    /// Records the engine's report and the start or end of a load that it shows.
    pub fn report(&mut self, now: Micros, weights: &[(ModelKey, u64)], busy: bool) {
        self.started.get_or_insert(now);
        self.report_reliable_from.get_or_insert(now + REPORT_DELAY);
        self.last_report = now;
        let Some(loading) = self.loading else {
            let found = Loading {
                since: now,
                shown_from: now,
                ordered: None,
            };
            self.loading = busy.then_some(found);
            return;
        };
        let has = |(model, version)| weights.iter().any(|(m, v)| *m == model && *v >= version);
        let elapsed = now.since(loading.since);
        if busy || (now < loading.shown_from && !loading.ordered.is_some_and(has)) {
            return;
        }
        self.loading = None;
        if loading.ordered.is_some_and(has) {
            // The next order will be for another version.
            self.first_order = None;
            self.failed_orders = 0;
            let old = self.load_time.map_or(elapsed.0 as f64, |l| l.0 as f64);
            let new = old + (elapsed.0 as f64 - old) * LOAD_TIME_WEIGHT;
            self.load_time = Some(Micros(new as u64));
        } else if loading.ordered.is_some() {
            self.back_off(now);
        }
    }

    /// Pauses after an order that led to no load, so that other engines can use the slot meanwhile.
    fn back_off(&mut self, now: Micros) {
        let doublings = self.failed_orders.min(MAX_DOUBLINGS);
        self.failed_orders += 1;
        self.paused_until = now + Micros(RETRY_DELAY.0 << doublings);
    }

    /// Records that the engine's report is overdue. Loading slows an engine down, so a load isn't taken to
    /// have ended: it keeps its slot for as long as other sidecars would count it without an update.
    pub fn report_missed(&mut self, now: Micros) {
        self.started.get_or_insert(now);
        let counts = |l: &Loading| {
            let lease = self.load_lease(self.pool_load_time(now), true);
            now.since(l.since.max(self.last_report)) < lease
        };
        if !self.loading.as_ref().is_some_and(counts) {
            self.loading = None;
            self.clear_schedule();
        }
    }

    /// Records that the engine has exited.
    pub fn engine_exited(&mut self, now: Micros) {
        self.started.get_or_insert(now);
        self.report_reliable_from.get_or_insert(now);
        self.last_report = now;
        self.loading = None;
        self.clear_schedule();
    }

    /// Updates whether the engine is due to load; `outdated` are the weights that it has to replace, if any.
    pub fn schedule(&mut self, now: Micros, group: &Group, outdated: Option<&OutdatedWeights<'_>>) {
        self.allowed = group.allowed;
        self.engine = Some(group.engine);
        let Some(outdated) = outdated else {
            return self.clear_schedule();
        };
        if self.loading.is_some() {
            self.time_to_load = None;
            return;
        }
        self.model = outdated.model;
        self.desired = outdated.announced.newest();
        self.announced = outdated.announced.received_at();
        let tie_break = load_rank(group.engine, 0);
        let claiming = self.claim.is_some();
        // Claims with a higher tie-break value are ignored here; their sidecars withdraw them.
        let precedes = |s: &State| !claiming || load_rank(s.engine, 0) < tie_break;
        let waiting_for_updates = now.since(self.announced) < INITIAL_WAIT || now < INITIAL_WAIT;
        self.due = !waiting_for_updates && self.is_due(now, group, outdated, precedes);
        self.due_despite_claims = self.due && self.is_due(now, group, outdated, |_| true);
        // Claims of others don't restart the time: an engine that can't load would otherwise delay them anew
        // with each of their claims.
        let waits = !waiting_for_updates && self.is_due(now, group, outdated, |_| false);
        self.due_since = waits.then(|| self.due_since.unwrap_or(now));
        self.time_to_load = Some(match self.due {
            true => Micros::ZERO,
            false => self.start_delay(now, group, outdated, |_| true),
        });
    }

    /// Estimated time until the engine starts to load, as of the last [`Self::schedule`]; `None` if it is up to
    /// date or loading.
    pub fn time_to_load(&self) -> Option<Micros> {
        self.time_to_load
    }

    /// Advances the claim of a slot if the engine is due to load and `orderable`. Once the slot is taken the
    /// engine counts as loading. `peers` are the listed sidecars; `draw` is a random number that identifies
    /// a new claim.
    pub fn step(&mut self, now: Micros, peers: &[K], orderable: bool, draw: u64) -> Step<K> {
        self.listed = peers.to_vec();
        let started = self.under_way_since.unwrap_or(now);
        self.under_way_since = self.under_way(now).then_some(started);
        let may_claim =
            orderable && self.loading.is_none() && self.can_answer(now) && now >= self.paused_until;
        let Some(due) = self.due_since.filter(|_| self.due && may_claim) else {
            self.withdraw();
            return self.query_quiet_peers(now, peers);
        };
        let claim = self.claim.unwrap_or_else(|| self.begin_claim(now, draw));
        if claim.steps > MAX_CLAIM_STEPS {
            self.withdraw();
            self.paused_until = now + RETRY_DELAY;
            return Step::default();
        }
        let peers = self.known_peers(now, peers);
        let since = claim.since.max(self.silent_from(&peers));
        let without_answer = |age| self.peers_without_answer(&peers, now, since, age);
        let missing = without_answer(ANSWER_LIFETIME);
        let unconfirmed =
            claim.steps <= MAX_UNANSWERED && self.unconfirmed_relays(now, since).next().is_some();
        let must_wait = unconfirmed || missing.iter().any(|k| !self.contacts.is_skipped(k));
        if self.due_despite_claims && !must_wait && now > due {
            self.take_slot(now);
            return Step {
                orders: true,
                skipped: missing.len(),
                ..Step::default()
            };
        }
        let to_query = without_answer(ANSWER_REFRESH);
        let steps = claim.steps + 1;
        self.claim = Some(Claim { steps, ..claim });
        self.query(now, to_query)
    }

    /// Peers that have answered no query sent both after the claim began and within the last `age`.
    fn peers_without_answer(&self, peers: &[K], now: Micros, claim: Micros, age: Micros) -> Vec<K> {
        let from = Micros(now.0.saturating_sub(age.0)).max(claim);
        let old = peers
            .iter()
            .filter(|k| !self.contacts.answered_since(k, from));
        old.copied().collect()
    }

    fn begin_claim(&mut self, now: Micros, draw: u64) -> Claim {
        self.contacts.begin_round(draw);
        Claim {
            since: now,
            steps: 0,
        }
    }

    fn withdraw(&mut self) {
        self.contacts.end_round();
        self.claim = None;
    }

    fn take_slot(&mut self, now: Micros) {
        self.withdraw();
        // If no answer arrives, the slot expires by the time since the first order, no matter how long the
        // engine had been due before that order.
        self.due_since = Some(*self.first_order.get_or_insert(now));
        self.loading = Some(Loading {
            since: now,
            shown_from: Micros::MAX,
            ordered: Some((self.model, self.desired)),
        });
    }

    /// Queries the peers that have sent nothing since the weights were announced, so that a dead peer is
    /// detected before a claim has to wait for it, and those whose claim or load may have ended.
    fn query_quiet_peers(&mut self, now: Micros, peers: &[K]) -> Step<K> {
        let waits = self.waits() && self.can_answer(now);
        if !waits || now.since(self.announced) < INITIAL_WAIT {
            return Step::default();
        }
        let is_current = |p: &Peer| match p.state.takes_slot() {
            true => now.since(p.received_at) < STATE_REFRESH,
            false => p.received_at >= self.announced,
        };
        let received = |k: &K| self.peers.get(k).is_some_and(is_current);
        let quiet = peers
            .iter()
            .filter(|k| !received(k) && !self.contacts.is_skipped(k));
        let quiet = quiet.copied().collect();
        self.query(now, quiet)
    }

    fn query(&mut self, now: Micros, peers: Vec<K>) -> Step<K> {
        Step {
            query: self.contacts.query(now, peers),
            ..Step::default()
        }
    }

    /// The listed sidecars, and those with a recent update.
    fn known_peers(&self, now: Micros, listed: &[K]) -> Vec<K> {
        let recent = self.recent_updates(now).map(|(k, _)| *k);
        let others = recent.filter(|k| !listed.contains(k));
        listed.iter().copied().chain(others).collect()
    }

    /// Records the outcome of an order. An order that got no answer may still be carried out, so the engine
    /// counts as loading until its report can show that it isn't.
    pub fn ordered(&mut self, now: Micros, outcome: Outcome) {
        self.paused_until = now + RETRY_DELAY;
        if let Some(l) = &mut self.loading {
            l.shown_from = match outcome {
                Outcome::Unknown => now + UNANSWERED_DELAY,
                Outcome::Accepted | Outcome::Refused => now + REPORT_DELAY,
            };
        }
        match outcome {
            Outcome::Accepted => self.clear_schedule(),
            Outcome::Refused => {
                self.loading = None;
                self.back_off(now);
            }
            Outcome::Unknown => {}
        }
    }

    /// Clears the claim and everything that is known about the next load.
    fn clear_schedule(&mut self) {
        self.withdraw();
        self.due = false;
        self.due_despite_claims = false;
        self.first_order = None;
        self.failed_orders = 0;
        self.desired = 0;
        self.due_since = None;
        self.time_to_load = None;
    }

    /// Valid updates of the peers themselves.
    fn recent_updates(&self, now: Micros) -> impl Iterator<Item = (&K, &Peer)> {
        self.peers
            .iter()
            .filter(|(_, p)| !self.relays.contains(p.state.engine))
            .filter(move |(k, p)| self.is_valid(now, p, Some(k)))
    }

    /// Valid states of all peers, of each the latest one.
    fn recent_peers(&self, now: Micros) -> impl Iterator<Item = &Peer> {
        let direct = self.recent_updates(now).map(|(_, p)| p);
        direct.chain(self.valid_relays(now))
    }

    /// Whether a state is valid: a recent one, or that of an engine that loads, or whose sidecar claims a
    /// slot, for as long as the load may last. `from` is the peer that sent it, unless it was relayed.
    fn is_valid(&self, now: Micros, peer: &Peer, from: Option<&K>) -> bool {
        let load = || {
            let load_time = peer.state.load_time.or(self.load_time);
            let listed = match from {
                Some(k) => self.listed.contains(k),
                None => self.is_listed(peer.state.engine),
            };
            self.load_lease(load_time, listed)
        };
        let lease = match peer.state.loading {
            Some(_) => load(),
            None if peer.state.claims => ANSWER_LIFETIME + load(),
            None => UPDATE_LEASE,
        };
        now.since(peer.received_at) < lease
    }

    /// How long a load counts without an update, given its usual duration and whether the sidecar is listed.
    /// A single load may take far longer than usual; a sidecar that has left the list was silent for longer
    /// than most pauses last.
    fn load_lease(&self, load_time: Option<Micros>, listed: bool) -> Micros {
        let usual = Micros(2 * load_time.unwrap_or_default().0).max(UPDATE_LEASE);
        let longest = Micros((self.allowed.0 as f64 * LONGEST_LOAD) as u64);
        match listed {
            true => usual.max(longest),
            false => usual,
        }
    }

    /// How long a load takes: this engine's average, or else the median of the pool.
    fn pool_load_time(&self, now: Micros) -> Option<Micros> {
        if self.load_time.is_some() {
            return self.load_time;
        }
        let mut seen: Vec<_> = self
            .recent_peers(now)
            .filter_map(|p| p.state.load_time)
            .collect();
        seen.sort_unstable();
        seen.get(seen.len() / 2).copied()
    }

    /// The other engines of the pool. A claim accepted by `counts` is treated as a load.
    fn other_engines(
        &self,
        now: Micros,
        outdated: &OutdatedWeights<'_>,
        counts: impl Fn(&State) -> bool,
    ) -> Vec<Engine> {
        let newest = outdated.announced.newest();
        let engine = |p: &Peer| {
            let (_, version) = p.state.weights.iter().find(|(m, _)| *m == outdated.model)?;
            let since = now.since(p.received_at);
            let claims = p.state.claims && counts(&p.state);
            Some(Engine {
                version: *version,
                rank: load_rank(p.state.engine, newest),
                loading: match p.state.loading {
                    Some(l) => Some(l + since),
                    None => claims.then_some(since),
                },
                due: match p.state.due {
                    // On slow hosts a claim may last long; a claim is not an unused slot.
                    _ if claims => None,
                    // Its sidecar withdraws the claim.
                    _ if p.state.claims => Some(Micros::MAX),
                    // The sidecar has no right to order its engine or lacks the announcement.
                    None if p.state.desired == 0 && p.state.loading.is_none() => Some(Micros::MAX),
                    due => due.map(|d| d + since),
                },
            })
        };
        let known = self.recent_peers(now).filter_map(engine);
        let unknown = (0..self.unknown_peers(now)).map(|_| Engine {
            version: newest,
            rank: 0,
            loading: Some(Micros::ZERO),
            due: None,
        });
        known.chain(unknown).collect()
    }

    /// Number of peers that have been silent since this process started, and that may be loading since before.
    fn unknown_peers(&self, now: Micros) -> usize {
        let started = self.started.unwrap_or(now);
        let during_change = self.announced < started + STARTUP_PERIOD;
        let lease = self.load_lease(self.pool_load_time(now), true);
        let unknown = self
            .listed
            .iter()
            .filter(|k| !self.contacts.has_received(k));
        match during_change && now.since(started) < lease {
            true => unknown.count(),
            false => 0,
        }
    }

    fn is_due(
        &self,
        now: Micros,
        group: &Group,
        outdated: &OutdatedWeights<'_>,
        counts: impl Fn(&State) -> bool,
    ) -> bool {
        self.start_delay(now, group, outdated, counts) == Micros::ZERO
    }

    /// Estimated time until the engine starts to load; zero if it is due.
    fn start_delay(
        &self,
        now: Micros,
        group: &Group,
        outdated: &OutdatedWeights<'_>,
        counts: impl Fn(&State) -> bool,
    ) -> Micros {
        let config = rollout::Config::default();
        let announced = outdated.announced;
        let others = self.other_engines(now, outdated, counts);
        if others.is_empty() && group.hosts > 1 {
            let start = rollout::isolated_start(&config, group.rank, group.hosts, group.allowed);
            let start = STARTUP_WAIT.max(announced.received_at() + start);
            return start.since(now);
        }
        let oldest = others.iter().map(|o| o.version).min();
        let oldest = oldest.unwrap_or(outdated.version).min(outdated.version);
        let pool = Pool {
            newest: announced.newest(),
            others: &others,
            load_time: self.pool_load_time(now),
            allowed: group.allowed,
            outdated_for: announced.outdated(now, oldest).unwrap_or_default(),
        };
        let own = Engine {
            version: outdated.version,
            rank: load_rank(group.engine, announced.newest()),
            loading: None,
            due: self.due_since.map(|at| now.since(at)),
        };
        rollout::time_to_load(&config, &pool, &own)
    }
}

/// Rank of an engine among those with equally old weights. The rank differs for each version, so that the
/// same engine isn't always the first to lose its cache.
fn load_rank(engine: u64, version: u64) -> u64 {
    xxh3_64_with_seed(&engine.to_le_bytes(), version)
}
