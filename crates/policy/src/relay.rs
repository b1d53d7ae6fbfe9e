//! States of peers that are out of reach, as third peers relay them.
//!
//! Load pattern: a link between two sidecars is cut while both of them reach a third one. Neither receives
//! an answer from the other, each skips the other like a dead peer, and both engines load. During a change
//! each sidecar therefore names the engines of silent peers in its own state, and a sidecar that has a recent
//! state of such an engine relays it. Nothing is relayed while all peers answer.
//!
//! A peer from which nothing was ever received can't be named. A sidecar that lacks the state of a listed
//! peer sends a digest of the engines that it knows; peers that know other engines relay all states that
//! take a slot.
//!
//! A sidecar that receives a claim through others confirms it in its own state, which is relayed back. The
//! claim waits for these confirmations like for answers, whatever the number of sidecars in between.
//!
//! A relayed state counts exactly as long as it counts at the peer that received it directly, however often
//! it is relayed: its age includes the time since that receipt. It replaces another state of the same engine
//! only if it is certainly later, so that a third peer whose state is out of date neither frees a slot nor
//! takes one:
//! - States of one process are ordered by the clock of that process.
//! - States of different processes are ordered only by one receiver: if the same peer relays both, it
//!   received the later process later. Otherwise the state must take a slot and be the younger one.

use std::collections::HashMap;

use model::Micros;

use crate::slots::State;

/// State of an engine that a third peer relays.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Relay {
    /// When the relaying sidecar received the state, on its own clock.
    pub received: Micros,
    /// The state, without the states that it relayed itself.
    pub state: State,
}

/// Short key of an engine, to name it in a state: the lower half of its hash. Two engines with the same key
/// are only relayed more often.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShortKey(pub u32);

impl From<u64> for ShortKey {
    fn from(engine: u64) -> Self {
        Self(engine as u32)
    }
}

/// Confirmation that a claim was received through other sidecars.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Engine of the claim.
    pub engine: ShortKey,
    /// When the claim was sent, on the clock of its sidecar.
    pub sent: Micros,
}

impl Confirmation {
    /// Confirms the claim in a state.
    pub(crate) fn of(state: &State) -> Self {
        Self {
            engine: state.engine.into(),
            sent: state.sent,
        }
    }
}

/// Latest known state of a peer.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// When the state was received from the peer itself, by this process or by the relaying one.
    pub(crate) received_at: Micros,
    pub(crate) state: State,
}

impl Peer {
    /// A state relayed by a peer that sent its own state at `sent`, on its own clock.
    fn relayed(now: Micros, sent: Micros, relay: &Relay) -> Self {
        Self {
            received_at: now - sent.since(relay.received),
            state: relay.state.clone(),
        }
    }

    /// Whether this state is certainly later than another one of the same engine. `same_source`: both were
    /// relayed by the same peer.
    fn follows(&self, other: &Self, same_source: bool) -> bool {
        let younger = self.received_at > other.received_at;
        match self.state.process == other.state.process {
            true => self.state.sent > other.state.sent,
            false => younger && (same_source || self.state.takes_slot()),
        }
    }
}

/// Relayed state, and the peer that relayed it.
#[derive(Clone, Debug)]
struct Relayed<K> {
    via: K,
    peer: Peer,
}

/// Relayed states by engine, each later than the last state received from the peer itself. `K` identifies
/// the relaying peer.
#[derive(Debug)]
pub(crate) struct Relays<K> {
    by_engine: HashMap<u64, Relayed<K>>,
}

impl<K> Default for Relays<K> {
    fn default() -> Self {
        Self {
            by_engine: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq> Relays<K> {
    /// Records a state that the peer `via` has relayed with its own state, sent at `sent`. `direct` is the
    /// last state that was received from the relayed peer itself.
    pub(crate) fn record(
        &mut self,
        now: Micros,
        (via, sent): (K, Micros),
        relay: &Relay,
        direct: Option<&Peer>,
    ) {
        let peer = Peer::relayed(now, sent, relay);
        let engine = relay.state.engine;
        // A relayed state that is already recorded is later than the direct one.
        let is_later = match self.by_engine.get(&engine) {
            Some(r) => peer.follows(&r.peer, r.via == via),
            None => direct.is_none_or(|d| peer.follows(d, false)),
        };
        if is_later {
            self.by_engine.insert(engine, Relayed { via, peer });
        }
    }

    /// Drops the relayed state of an engine unless it is later than the one received from the peer itself.
    pub(crate) fn drop_before(&mut self, direct: &State) {
        let is_later = |r: &Relayed<K>| {
            r.peer.state.process == direct.process && r.peer.state.sent > direct.sent
        };
        if !self.by_engine.get(&direct.engine).is_some_and(is_later) {
            self.by_engine.remove(&direct.engine);
        }
    }

    /// Drops the relayed state of an engine.
    pub(crate) fn remove(&mut self, engine: u64) {
        self.by_engine.remove(&engine);
    }

    /// Whether a relayed state replaces the one received from the peer itself.
    pub(crate) fn contains(&self, engine: u64) -> bool {
        self.by_engine.contains_key(&engine)
    }

    /// The relayed states.
    pub(crate) fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.by_engine.values().map(|r| &r.peer)
    }
}
