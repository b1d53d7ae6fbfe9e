//! Peers out of reach: which engines a sidecar names as silent, which states it relays for others, and what
//! a claim requires of peers that it reaches only through others ([`crate::relay`]).

use std::hash::Hash;

use model::Micros;

use super::{Slots, State, ANSWER_LIFETIME, MAX_CONFIRMED, MAX_RELAYS, UPDATE_LEASE};
use crate::relay::{Confirmation, Peer, Relay, ShortKey};

impl<K: Copy + Eq + Hash> Slots<K> {
    /// Records the states of other engines that a sidecar has relayed with its own state.
    pub(super) fn receive_relays(&mut self, now: Micros, source: (K, Micros), relays: &[Relay]) {
        let Some(own) = self.engine else { return };
        for relay in relays.iter().filter(|r| r.state.engine != own) {
            let mut peers = self.peers.values();
            let direct = peers.find(|p| p.state.engine == relay.state.engine);
            self.relays.record(now, source, relay, direct);
        }
    }

    /// The latest update of the sidecar of an engine.
    fn direct_state(&self, engine: u64) -> Option<(&K, &Peer)> {
        self.peers.iter().find(|(_, p)| p.state.engine == engine)
    }

    /// Whether the sidecar of an engine is listed. If nothing was received from it, it may be any listed peer
    /// whose engine isn't known.
    pub(super) fn is_listed(&self, engine: u64) -> bool {
        match self.direct_state(engine) {
            Some((k, _)) => self.listed.contains(k),
            None => self.listed.iter().any(|k| !self.peers.contains_key(k)),
        }
    }

    /// Valid states that were relayed.
    pub(super) fn valid_relays(&self, now: Micros) -> impl Iterator<Item = &Peer> {
        let relayed = self.relays.peers();
        relayed.filter(move |p| self.is_valid(now, p, None))
    }

    /// Engines of silent peers, and engines whose states were relayed before.
    pub(super) fn silent_engines(&self, now: Micros) -> Vec<ShortKey> {
        if self.under_way_since.is_none() {
            return Vec::new();
        }
        let silent = self.listed.iter().filter(|k| self.is_silent(now, k));
        let silent = silent.filter_map(|k| self.peers.get(k));
        let relayed = self.valid_relays(now);
        let engines = silent.chain(relayed).map(|p| p.state.engine.into());
        let mut engines: Vec<ShortKey> = engines.collect();
        engines.sort_unstable();
        engines.dedup();
        engines
    }

    /// Whether a peer is silent: it leaves queries unanswered, or its updates are missing during a change.
    fn is_silent(&self, now: Micros, peer: &K) -> bool {
        let changing = self
            .under_way_since
            .is_some_and(|at| now.since(at) >= UPDATE_LEASE);
        let is_recent = |p: &Peer| now.since(p.received_at) < UPDATE_LEASE;
        let received = self.peers.get(peer).is_some_and(is_recent);
        self.contacts.silent_since(peer).is_some() || (changing && !received)
    }

    /// Whether a change is under way and a silent peer has sent no state since this process started.
    fn lacks_state(&self, now: Micros) -> bool {
        let unknown = |k: &K| self.is_silent(now, k) && !self.peers.contains_key(k);
        self.under_way_since.is_some() && self.listed.iter().any(unknown)
    }

    /// Digest of this engine and those of the listed peers from which a state was received.
    fn known_engines(&self, own: u64) -> u64 {
        let known = self.listed.iter().filter_map(|k| self.peers.get(k));
        known.fold(own, |digest, p| digest ^ p.state.engine)
    }

    /// The digest of the known engines if the state of a silent peer is missing, else 0.
    pub(super) fn digest_if_unknown(&self, now: Micros, own: u64) -> u64 {
        match self.lacks_state(now) {
            true => self.known_engines(own),
            false => 0,
        }
    }

    /// The claims that were received through other sidecars.
    pub(super) fn confirmed_claims(&self, now: Micros) -> Vec<Confirmation> {
        let claims = self.valid_relays(now).filter(|p| p.state.claims);
        let mut confirmed: Vec<_> = claims.map(|p| Confirmation::of(&p.state)).collect();
        confirmed.sort_unstable_by_key(|c| c.engine);
        confirmed.truncate(MAX_CONFIRMED);
        confirmed
    }

    /// The states that other sidecars lack, those that take a slot first.
    pub(super) fn requested_relays(&self, now: Micros, own: u64) -> Vec<Relay> {
        let is_recent = |p: &&Peer| now.since(p.received_at) < UPDATE_LEASE;
        let asks = |p: &&Peer| !p.state.silent.is_empty() || p.state.known != 0;
        let asking: Vec<_> = self.peers.values().filter(is_recent).filter(asks).collect();
        if asking.is_empty() {
            return Vec::new();
        }
        let digest = self.known_engines(own);
        let all = asking
            .iter()
            .any(|p| p.state.known != 0 && p.state.known != digest);
        let is_named = |engine: u64| {
            let key = ShortKey::from(engine);
            asking.iter().any(|p| p.state.silent.contains(&key))
        };
        let requested = self
            .recent_peers(now)
            .filter(|p| is_named(p.state.engine) || (all && p.state.takes_slot()));
        let mut requested: Vec<_> = requested.collect();
        let rank = |s: &State| (!s.takes_slot(), s.confirmed.is_empty(), s.engine);
        requested.sort_unstable_by_key(|p| rank(&p.state));
        requested.truncate(MAX_RELAYS);
        let relay = |p: &Peer| Relay {
            received: p.received_at,
            state: State {
                silent: Vec::new(),
                known: 0,
                ..p.state.clone()
            },
        };
        requested.into_iter().map(relay).collect()
    }

    /// Time from which the answers of the other peers cover all skipped ones.
    pub(super) fn silent_from(&self, peers: &[K]) -> Micros {
        let skipped = peers.iter().filter(|k| self.contacts.is_skipped(k));
        let silent = skipped.filter_map(|k| self.contacts.silent_since(k));
        silent.max().unwrap_or_default()
    }

    /// Peers that are out of reach, have been alive since they were, and have not confirmed a claim that was
    /// sent both at `claim` or later and within the lifetime of an answer.
    pub(super) fn unconfirmed_relays(
        &self,
        now: Micros,
        claim: Micros,
    ) -> impl Iterator<Item = &Peer> {
        let from = (now - ANSWER_LIFETIME).max(claim);
        let own = self.engine.map(ShortKey::from);
        let confirms = move |c: &Confirmation| Some(c.engine) == own && c.sent >= from;
        let is_alive = move |p: &Peer| {
            let direct = self.direct_state(p.state.engine);
            let silent_since = direct.and_then(|(k, _)| self.contacts.silent_since(k));
            now.since(p.received_at) < UPDATE_LEASE && Some(p.received_at) >= silent_since
        };
        let relayed = self.relays.peers().filter(move |p| is_alive(p));
        relayed.filter(move |p| !p.state.confirmed.iter().any(confirms))
    }
}
