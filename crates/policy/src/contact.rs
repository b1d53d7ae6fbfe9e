//! Which peers answer queries, and how old their answers are.
//!
//! A peer that leaves several queries unanswered is skipped, so that no process waits for a dead host. Once
//! anything is received from a skipped peer, its answers are awaited again. A peer that still sends updates is
//! alive, so more of its answers may be missing before it is skipped. The limits are numbers of queries and
//! not times, because a process that resumes after a pause has sent none meanwhile, and a slow process sends
//! few.

use std::collections::HashMap;
use std::hash::Hash;

use model::Micros;

/// Number of queries, with nothing received meanwhile, from which a peer counts as silent: more than are
/// often lost in a row.
const SILENT_QUERIES: u32 = 3;

/// Limits on the answers of peers.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// How long an answer is valid, counted from the time when the query was sent; 250 ms.
    pub lifetime: Micros,
    /// Number of queries, with nothing received meanwhile, after which a peer is skipped; 10.
    pub max_silent: u32,
    /// Number of queries without a valid answer after which a peer is skipped; 10.
    pub max_unanswered: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            lifetime: Micros::from_millis(250),
            max_silent: 10,
            max_unanswered: 10,
        }
    }
}

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
    /// Number of queries since anything was received from the peer.
    silence: u32,
    /// When the query was sent from which the peer counts as silent.
    silent_since: Option<Micros>,
    /// Number of queries since the peer's last valid answer.
    unanswered: u32,
    /// When the latest query of the round that the peer has answered was sent.
    last_answered: Option<Micros>,
    /// Whether the peer is skipped and nothing was received from it since.
    skipped: bool,
    /// Whether anything was ever received from the peer.
    received: bool,
}

impl Config {
    fn skips(&self, contact: &Contact) -> bool {
        contact.silence > self.max_silent || contact.unanswered > self.max_unanswered
    }
}

/// Answers of all peers. `K` identifies a peer.
#[derive(Debug)]
pub struct Contacts<K> {
    config: Config,
    by_peer: HashMap<K, Contact>,
    /// Random number of the current round, if any.
    round: Option<u64>,
}

impl<K> Contacts<K> {
    /// No peer was queried yet.
    pub fn new(config: Config) -> Self {
        Self {
            config,
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
            if !c.skipped {
                c.silence = 0;
                c.silent_since = None;
                c.unanswered = 0;
            }
        }
    }

    /// Ends the current round.
    pub fn end_round(&mut self) {
        self.round = None;
    }

    /// Records that something was received from a peer.
    pub fn received(&mut self, from: K) {
        let contact = self.by_peer.entry(from).or_default();
        contact.skipped = false;
        contact.received = true;
        contact.silence = 0;
        contact.silent_since = None;
        if self.round.is_none() {
            contact.unanswered = 0;
        }
    }

    /// Records a peer's answer. Late answers are ignored: otherwise a peer that is always late would never be
    /// skipped, and waiting for it would never succeed.
    pub fn answered(&mut self, now: Micros, from: K, query: Query) {
        let contact = self.by_peer.entry(from).or_default();
        if self.round == Some(query.round) && now.since(query.sent) <= self.config.lifetime {
            contact.last_answered = contact.last_answered.max(Some(query.sent));
            contact.unanswered = 0;
        }
    }

    /// Creates a query to the given peers; `None` if the list is empty.
    pub fn query(&mut self, now: Micros, peers: Vec<K>) -> Option<(Query, Vec<K>)> {
        for k in &peers {
            let contact = self.by_peer.entry(*k).or_default();
            contact.silence = contact.silence.saturating_add(1);
            contact.unanswered = contact.unanswered.saturating_add(1);
            if contact.silence >= SILENT_QUERIES {
                contact.silent_since.get_or_insert(now);
            }
            contact.skipped |= self.config.skips(contact);
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
        contact.skipped || self.config.skips(&contact)
    }

    /// When the query was sent from which a peer counts as silent; `None` if it isn't silent.
    pub fn silent_since(&self, peer: &K) -> Option<Micros> {
        self.by_peer.get(peer)?.silent_since
    }

    /// How long an answer is valid.
    pub fn lifetime(&self) -> Micros {
        self.config.lifetime
    }

    /// Whether anything was ever received from a peer.
    pub fn has_received(&self, peer: &K) -> bool {
        self.by_peer.get(peer).is_some_and(|c| c.received)
    }
}
