//! When a request that may crash its target may run: at one target of a pool at a time.
//!
//! Load pattern: a request crashes every target that runs it, and arrives through several entries at the same
//! time. Each entry sends the request to another target after its own crash, before it has received the
//! other entries' crashes, and every attempt costs one more target with everything that runs there.
//!
//! A process therefore records a crash first and then claims the next run of the request. It queries the
//! other sidecars of the pool. Each answers with the crashes that it has recorded and whether it runs the
//! request, and the run starts only if all answers are recent and none reports a run. A queried sidecar
//! treats the request as a suspect from then on and claims its own runs as well. Among claims that see one
//! another the one with the lower rank proceeds. A sidecar that leaves several queries unanswered is skipped
//! ([`crate::contact`]), so that a dead host delays a suspect by half a second, once.

use std::collections::HashMap;
use std::hash::Hash;

use model::Micros;

use crate::contact::{self, Contacts, Query};
use crate::quarantine::Fingerprint;

/// Interval between queries while a claim is open.
pub const QUERY_INTERVAL: Micros = Micros::from_millis(50);
/// How long another sidecar's claim counts after it was received. Longer than answers are valid, so that a
/// claim has ended, or its run has been reported, before the other sidecars stop counting the claim.
const CLAIM_LEASE: Micros = Micros::from_millis(500);
/// Maximum number of claims in one query. Further claims follow in later queries.
const MAX_CLAIMS: usize = 8;

/// Claim of a run as other sidecars receive it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Random number; of two claims the one with the lower number proceeds.
    pub rank: u64,
}

/// Next query of a sidecar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step<K> {
    /// Query to send; its answers repeat it.
    pub query: Query,
    /// Sidecars to query.
    pub peers: Vec<K>,
    /// Claims that the query contains.
    pub claims: Vec<Claim>,
}

/// A claim of this sidecar.
#[derive(Debug)]
struct OwnClaim<K> {
    rank: u64,
    since: Micros,
    /// Latest answer of each sidecar.
    answers: HashMap<K, Answer>,
}

/// Another sidecar's answer.
#[derive(Clone, Copy, Debug)]
struct Answer {
    /// When the answered query was sent.
    sent: Micros,
    /// Whether the sidecar runs the request, or its own claim outranks this one.
    busy: bool,
}

/// A claim of another sidecar.
#[derive(Clone, Copy, Debug)]
struct PeerClaim {
    rank: u64,
    received_at: Micros,
}

/// Claims that one sidecar has made and received. `K` identifies the other sidecars.
#[derive(Debug)]
pub struct Trials<K> {
    contacts: Contacts<K>,
    own: HashMap<Fingerprint, OwnClaim<K>>,
    others: HashMap<(K, Fingerprint), PeerClaim>,
    /// When the last query was sent.
    last_query: Option<Micros>,
}

impl<K> Default for Trials<K> {
    fn default() -> Self {
        Self {
            contacts: Contacts::new(contact::Config::default()),
            own: HashMap::new(),
            others: HashMap::new(),
            last_query: None,
        }
    }
}

impl<K: Copy + Eq + Hash> Trials<K> {
    /// Claims a run unless it is already claimed.
    pub fn claim(&mut self, now: Micros, fingerprint: Fingerprint, rank: u64) {
        if self.own.is_empty() {
            self.contacts.begin_round(rank);
        }
        self.own.entry(fingerprint).or_insert_with(|| {
            self.last_query = None;
            OwnClaim {
                rank,
                since: now,
                answers: HashMap::new(),
            }
        });
    }

    /// Withdraws the claims of all requests that `wanted` rejects.
    pub fn retain(&mut self, wanted: impl Fn(Fingerprint) -> bool) {
        self.own.retain(|fingerprint, _| wanted(*fingerprint));
        if self.own.is_empty() {
            self.contacts.end_round();
        }
    }

    /// Whether this sidecar has no open claim.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty()
    }

    /// Whether a claimed run may start; `peers` are the other sidecars of the pool.
    pub fn may_run(&self, now: Micros, fingerprint: Fingerprint, peers: &[K]) -> bool {
        let Some(own) = self.own.get(&fingerprint) else {
            return false;
        };
        let lifetime = self.contacts.lifetime();
        let oldest = Micros(now.0.saturating_sub(lifetime.0)).max(own.since);
        let allows = |a: &Answer| !a.busy && a.sent >= oldest;
        let free = |k: &K| own.answers.get(k).is_some_and(allows);
        let precedes = |(key, o): (&(K, Fingerprint), &PeerClaim)| {
            key.1 == fingerprint && o.rank < own.rank && now.since(o.received_at) < CLAIM_LEASE
        };
        let all_allow = peers.iter().all(|k| self.contacts.is_skipped(k) || free(k));
        all_allow && !self.others.iter().any(precedes)
    }

    /// Returns the next query if one is due.
    pub fn step(&mut self, now: Micros, peers: &[K]) -> Option<Step<K>> {
        if self.own.is_empty()
            || self
                .last_query
                .is_some_and(|at| now.since(at) < QUERY_INTERVAL)
        {
            return None;
        }
        self.last_query = Some(now);
        let to = peers.iter().filter(|k| !self.contacts.is_skipped(k));
        let to = to.copied().collect();
        let claims = self.own.iter().map(|(fingerprint, o)| Claim {
            fingerprint: *fingerprint,
            rank: o.rank,
        });
        let mut claims: Vec<_> = claims.collect();
        claims.sort_unstable_by_key(|c| c.rank);
        claims.truncate(MAX_CLAIMS);
        let (query, peers) = self.contacts.query(now, to)?;
        Some(Step {
            query,
            peers,
            claims,
        })
    }

    /// Earliest time at which [`Self::step`] may return a query.
    pub fn wake(&self) -> Option<Micros> {
        let next = self
            .last_query
            .map_or(Micros::ZERO, |at| at + QUERY_INTERVAL);
        (!self.own.is_empty()).then_some(next)
    }

    /// Whether this sidecar has a claim on the same request that precedes another sidecar's claim.
    pub fn outranks(&self, claim: Claim) -> bool {
        self.own
            .get(&claim.fingerprint)
            .is_some_and(|o| o.rank < claim.rank)
    }

    /// Records another sidecar's claim.
    pub fn receive(&mut self, now: Micros, from: K, claim: Claim) {
        self.contacts.received(from);
        self.others
            .retain(|_, o| now.since(o.received_at) < CLAIM_LEASE);
        let other = PeerClaim {
            rank: claim.rank,
            received_at: now,
        };
        self.others.insert((from, claim.fingerprint), other);
    }

    /// Records another sidecar's answer for one request. `busy` means that the sidecar runs the request, or
    /// that its own claim outranks this one.
    pub fn answered(
        &mut self,
        now: Micros,
        from: K,
        query: Query,
        fingerprint: Fingerprint,
        busy: bool,
    ) {
        self.contacts.received(from);
        self.contacts.answered(now, from, query);
        let Some(own) = self.own.get_mut(&fingerprint) else {
            return;
        };
        let sent = query.sent;
        let is_older = |a: &Answer| a.sent < sent || (a.sent == sent && busy);
        if sent >= own.since && own.answers.get(&from).is_none_or(is_older) {
            own.answers.insert(from, Answer { sent, busy });
        }
    }
}
