//! Which peers answer queries, and how old their answers are.
//!
//! A peer that leaves several queries unanswered is skipped, so that no process waits for a dead host. Once
//! anything is received from a skipped peer, its answers are awaited again. The limit is a number of queries
//! and not a time, because a process that resumes after a pause has sent none meanwhile, and a slow process
//! sends few.

use std::collections::HashMap;
use std::hash::Hash;

use model::Micros;

/// Number of queries without a recent answer after which a peer is skipped.
pub const MAX_UNANSWERED: u32 = 10;
/// How long an answer is valid, counted from the time when the query was sent.
pub const ANSWER_LIFETIME: Micros = Micros::from_millis(250);

/// Query for a peer's current state. The answer repeats the query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Query {
    /// Random number of the round that the query belongs to; 0 outside of a round.
    pub round: u64,
    /// When the query was sent, on the sender's clock.
    pub sent: Micros,
}

/// Answers of one peer.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    /// Number of queries since the peer's last recent answer.
    unanswered: u32,
    /// When the latest query of the round that the peer has answered was sent.
    last_answered: Option<Micros>,
    /// Whether the peer is skipped and nothing was received from it since.
    silent: bool,
}

/// Answers of all peers. `K` identifies a peer.
#[derive(Debug)]
pub struct Contacts<K> {
    by_peer: HashMap<K, Contact>,
    /// Random number of the current round, if any.
    round: Option<u64>,
}

impl<K> Default for Contacts<K> {
    fn default() -> Self {
        Self {
            by_peer: HashMap::new(),
            round: None,
        }
    }
}

impl<K: Copy + Eq + Hash> Contacts<K> {
    /// Starts a round. Answers to earlier queries don't count in it.
    pub fn begin_round(&mut self, round: u64) {
        self.round = Some(round);
        for c in self.by_peer.values_mut() {
            c.last_answered = None;
            c.unanswered = if c.silent { c.unanswered } else { 0 };
        }
    }

    /// Ends the current round.
    pub fn end_round(&mut self) {
        self.round = None;
    }

    /// Records that something was received from a peer.
    pub fn received(&mut self, from: K) {
        let contact = self.by_peer.entry(from).or_default();
        contact.silent = false;
        if self.round.is_none() {
            contact.unanswered = 0;
        }
    }

    /// Records a peer's answer. Late answers are ignored: otherwise a peer that is always late would never be
    /// skipped, and waiting for it would never succeed.
    pub fn answered(&mut self, now: Micros, from: K, query: Query) {
        let contact = self.by_peer.entry(from).or_default();
        if self.round == Some(query.round) && now.since(query.sent) <= ANSWER_LIFETIME {
            contact.last_answered = contact.last_answered.max(Some(query.sent));
            contact.unanswered = 0;
        }
    }

    /// Creates a query to the given peers; `None` if the list is empty.
    pub fn query(&mut self, now: Micros, peers: Vec<K>) -> Option<(Query, Vec<K>)> {
        for k in &peers {
            let contact = self.by_peer.entry(*k).or_default();
            contact.unanswered = contact.unanswered.saturating_add(1);
            contact.silent |= contact.unanswered > MAX_UNANSWERED;
        }
        let query = Query {
            round: self.round.unwrap_or_default(),
            sent: now,
        };
        (!peers.is_empty()).then_some((query, peers))
    }

    /// Whether a peer has answered a query of the current round that was sent at `since` or later.
    pub fn answered_since(&self, peer: &K, since: Micros) -> bool {
        let contact = self.by_peer.get(peer).copied().unwrap_or_default();
        contact.last_answered.is_some_and(|sent| sent >= since)
    }

    /// Whether a peer is skipped for lack of answers.
    pub fn is_skipped(&self, peer: &K) -> bool {
        let contact = self.by_peer.get(peer).copied().unwrap_or_default();
        contact.silent || contact.unanswered > MAX_UNANSWERED
    }
}
