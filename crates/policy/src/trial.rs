//! When a request that may crash its target may run: once at a time in a pool.
//!
//! Load pattern: a request crashes whatever target runs it, and comes through several entries at the same
//! time. Each of them sends it on after its own crash before it has received the others', and every try
//! costs one more target with all that runs there.
//!
//! So a process first records a crash and then claims the next run of that request. It asks the other
//! sidecars of the pool, each answers with the crashes that it knows and whether it runs the request, and
//! the run begins only if all answers are recent and none says so. Whoever is asked knows from then on that
//! the request is a suspect, and claims its own runs as well. Of claims that see one another the lower rank
//! goes ahead. A sidecar that doesn't answer some asks is passed over ([`crate::contact`]), so that a dead
//! host delays a suspect by half a second once.

use std::collections::HashMap;
use std::hash::Hash;

use model::Micros;

use crate::contact::{Contacts, Query, RECENT};
use crate::quarantine::Fingerprint;

/// Interval at which the others are asked while a claim stands.
pub const RENEW: Micros = Micros::from_millis(50);
/// How long another sidecar's claim counts after it was received. Longer than answers count, so that a
/// claim has ended, or its run has been reported, before others stop counting it.
const CLAIM: Micros = Micros::from_millis(500);
/// Most claims in one ask; the others come with the next ones.
const MOST: usize = 8;

/// A claim as other sidecars receive it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Random; the lower one of two claims goes ahead.
    pub rank: u64,
}

/// What a sidecar does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step<K> {
    /// Names the ask.
    pub query: Query,
    /// The sidecars to ask.
    pub peers: Vec<K>,
    /// The claims to ask about.
    pub claims: Vec<Claim>,
}

/// A claim of this sidecar.
#[derive(Debug)]
struct Own<K> {
    rank: u64,
    since: Micros,
    /// The latest answers.
    answers: HashMap<K, Answer>,
}

/// Another sidecar's answer.
#[derive(Clone, Copy, Debug)]
struct Answer {
    /// When it was asked.
    sent: Micros,
    /// Whether it runs the request, or its own claim goes ahead.
    busy: bool,
}

/// A claim of another sidecar.
#[derive(Clone, Copy, Debug)]
struct Other {
    rank: u64,
    at: Micros,
}

/// The claims that one sidecar makes and receives. `K` identifies the other sidecars.
#[derive(Debug)]
pub struct Trials<K> {
    contacts: Contacts<K>,
    own: HashMap<Fingerprint, Own<K>>,
    others: HashMap<(K, Fingerprint), Other>,
    /// When the others were asked last.
    asked: Option<Micros>,
}

impl<K> Default for Trials<K> {
    fn default() -> Self {
        Self {
            contacts: Contacts::default(),
            own: HashMap::new(),
            others: HashMap::new(),
            asked: None,
        }
    }
}

impl<K: Copy + Eq + Hash> Trials<K> {
    /// Claims a run, if that isn't done yet.
    pub fn claim(&mut self, now: Micros, print: Fingerprint, rank: u64) {
        if self.own.is_empty() {
            self.contacts.begin(rank);
        }
        self.own.entry(print).or_insert_with(|| {
            self.asked = None;
            Own {
                rank,
                since: now,
                answers: HashMap::new(),
            }
        });
    }

    /// Withdraws the claims of all requests but these.
    pub fn retain(&mut self, wanted: impl Fn(Fingerprint) -> bool) {
        self.own.retain(|print, _| wanted(*print));
        if self.own.is_empty() {
            self.contacts.end();
        }
    }

    /// Whether no claim stands.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty()
    }

    /// Whether a claimed run may begin; `peers` are the other sidecars of the pool.
    pub fn may_run(&self, now: Micros, print: Fingerprint, peers: &[K]) -> bool {
        let Some(own) = self.own.get(&print) else {
            return false;
        };
        let from = Micros(now.0.saturating_sub(RECENT.0)).max(own.since);
        let recent = |a: &Answer| !a.busy && a.sent >= from;
        let free = |k: &K| own.answers.get(k).is_some_and(recent);
        let ahead = |(key, o): (&(K, Fingerprint), &Other)| {
            key.1 == print && o.rank < own.rank && now.since(o.at) < CLAIM
        };
        let clear = peers.iter().all(|k| self.contacts.passed(k) || free(k));
        clear && !self.others.iter().any(ahead)
    }

    /// The next ask, if it is time.
    pub fn step(&mut self, now: Micros, peers: &[K]) -> Option<Step<K>> {
        if self.own.is_empty() || self.asked.is_some_and(|at| now.since(at) < RENEW) {
            return None;
        }
        self.asked = Some(now);
        let to = peers.iter().filter(|k| !self.contacts.passed(k));
        let to = to.copied().collect();
        let claims = self.own.iter().map(|(print, o)| Claim {
            fingerprint: *print,
            rank: o.rank,
        });
        let mut claims: Vec<_> = claims.collect();
        claims.sort_unstable_by_key(|c| c.rank);
        claims.truncate(MOST);
        let (query, peers) = self.contacts.query(now, to)?;
        Some(Step {
            query,
            peers,
            claims,
        })
    }

    /// When [`Self::step`] may have something to do.
    pub fn wake(&self) -> Option<Micros> {
        let next = self.asked.map_or(Micros::ZERO, |at| at + RENEW);
        (!self.own.is_empty()).then_some(next)
    }

    /// Whether a claim of this sidecar goes ahead of another one's.
    pub fn outranks(&self, of: Claim) -> bool {
        self.own
            .get(&of.fingerprint)
            .is_some_and(|o| o.rank < of.rank)
    }

    /// Notes another sidecar's claim.
    pub fn receive(&mut self, now: Micros, from: K, claim: Claim) {
        self.contacts.received(from);
        self.others.retain(|_, o| now.since(o.at) < CLAIM);
        let other = Other {
            rank: claim.rank,
            at: now,
        };
        self.others.insert((from, claim.fingerprint), other);
    }

    /// Notes another sidecar's answer for one request: whether it runs it, or its own claim goes ahead.
    pub fn answered(&mut self, now: Micros, from: K, ask: Query, print: Fingerprint, busy: bool) {
        self.contacts.received(from);
        self.contacts.answered(now, from, ask);
        let Some(own) = self.own.get_mut(&print) else {
            return;
        };
        let sent = ask.sent;
        let older = |a: &Answer| a.sent < sent || (a.sent == sent && busy);
        if sent >= own.since && own.answers.get(&from).is_none_or(older) {
            own.answers.insert(from, Answer { sent, busy });
        }
    }
}
