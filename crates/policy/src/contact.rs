//! Which peers answer what they are asked, and how old their answers are.
//!
//! A peer that leaves some asks without an answer is passed over, so that no process waits for a dead host;
//! once something is received from it, it is waited for again. Asks are counted, not timed: a process that
//! continues after a pause has asked none meanwhile, and a slow one asks seldom.

use std::collections::HashMap;
use std::hash::Hash;

use model::Micros;

/// Asks without a recent answer after which a peer is passed over.
pub const ASKS: u32 = 10;
/// Age up to which an answer counts, from the sending of the ask.
pub const RECENT: Micros = Micros::from_millis(250);

/// A question for a peer's state as of now, which its answer repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Query {
    /// Draw of the round that the question belongs to; 0 outside of one.
    pub round: u64,
    /// When it was sent, on the asking process's clock.
    pub sent: Micros,
}

/// Whether a peer answers.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    /// Asks since its last recent answer.
    open: u32,
    /// When the last ask of the round that it answered was sent.
    answered: Option<Micros>,
    /// Whether nothing was received since it was passed over.
    silent: bool,
}

/// Contact with all peers. `K` identifies them.
#[derive(Debug)]
pub struct Contacts<K> {
    all: HashMap<K, Contact>,
    /// Draw of the round under way.
    round: Option<u64>,
}

impl<K> Default for Contacts<K> {
    fn default() -> Self {
        Self {
            all: HashMap::new(),
            round: None,
        }
    }
}

impl<K: Copy + Eq + Hash> Contacts<K> {
    /// Starts a round: answers to earlier asks don't count.
    pub fn begin(&mut self, round: u64) {
        self.round = Some(round);
        for c in self.all.values_mut() {
            c.answered = None;
            c.open = if c.silent { c.open } else { 0 };
        }
    }

    /// Ends the round.
    pub fn end(&mut self) {
        self.round = None;
    }

    /// Notes that something was received from a peer.
    pub fn received(&mut self, from: K) {
        let contact = self.all.entry(from).or_default();
        contact.silent = false;
        if self.round.is_none() {
            contact.open = 0;
        }
    }

    /// Notes a peer's answer. A late one doesn't count: a peer that is always late would neither be waited
    /// for with success nor passed over.
    pub fn answered(&mut self, now: Micros, from: K, ask: Query) {
        let contact = self.all.entry(from).or_default();
        if self.round == Some(ask.round) && now.since(ask.sent) <= RECENT {
            contact.answered = contact.answered.max(Some(ask.sent));
            contact.open = 0;
        }
    }

    /// An ask to some peers; none if there are none.
    pub fn query(&mut self, now: Micros, peers: Vec<K>) -> Option<(Query, Vec<K>)> {
        for k in &peers {
            let contact = self.all.entry(*k).or_default();
            contact.open = contact.open.saturating_add(1);
            contact.silent |= contact.open > ASKS;
        }
        let ask = Query {
            round: self.round.unwrap_or_default(),
            sent: now,
        };
        (!peers.is_empty()).then_some((ask, peers))
    }

    /// Whether a peer has answered an ask of the round that was sent at some time or later.
    pub fn answered_since(&self, peer: &K, at: Micros) -> bool {
        let contact = self.all.get(peer).copied().unwrap_or_default();
        contact.answered.is_some_and(|sent| sent >= at)
    }

    /// Whether a peer is passed over.
    pub fn passed(&self, peer: &K) -> bool {
        let contact = self.all.get(peer).copied().unwrap_or_default();
        contact.silent || contact.open > ASKS
    }
}
