//! The other sidecars of a pool that a sidecar queries before it runs a suspect ([`crate::trial`]).
//!
//! Load pattern: a target has just joined and runs a request already, but the membership, which spreads in
//! rounds, hasn't reached every sidecar yet. A sidecar that queries only the sidecars in its own list misses
//! the run, and a request that crashes its targets runs at both.
//!
//! The lists of different processes lack different members. The sidecars that the request's entry lists and
//! those that the queried sidecars have listed last are therefore queried as well.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use model::Micros;

/// How long a sidecar that only other processes list is queried; longer than the membership takes to reach
/// this process, if the sidecar is alive.
const REPORT_LIFETIME: Micros = Micros::from_secs(10);

/// Another sidecar of the pool.
#[derive(Clone, Copy, Debug)]
struct Peer<A> {
    address: A,
    /// Position in the order in which sidecars were added to this process's own list, if it is there.
    listed: Option<u64>,
    /// When another process last reported the sidecar.
    reported_at: Option<Micros>,
}

/// Other sidecars of the pool by key `K`, with their addresses `A`.
#[derive(Debug)]
pub struct PoolPeers<K, A> {
    peers: BTreeMap<K, Peer<A>>,
    /// Number of sidecars ever added to this process's own list.
    added: u64,
    /// Earliest time at which a sidecar that only other processes list may have to be dropped.
    next_expiry: Option<Micros>,
}

impl<K, A> Default for PoolPeers<K, A> {
    fn default() -> Self {
        Self {
            peers: BTreeMap::new(),
            added: 0,
            next_expiry: None,
        }
    }
}

impl<K: Copy + Ord, A: Copy> PoolPeers<K, A> {
    /// Replaces this process's own list.
    pub fn set_listed(&mut self, listed: impl IntoIterator<Item = (K, A)>) {
        let before = std::mem::take(&mut self.peers);
        for (key, address) in listed {
            let old = before.get(&key);
            let position = old.and_then(|p| p.listed);
            let peer = Peer {
                address,
                listed: Some(position.unwrap_or(self.added)),
                reported_at: old.and_then(|p| p.reported_at),
            };
            self.added += u64::from(position.is_none());
            self.peers.insert(key, peer);
        }
        for (key, peer) in before {
            if peer.reported_at.is_some() {
                self.peers.entry(key).or_insert(Peer {
                    listed: None,
                    ..peer
                });
            }
        }
        self.set_next_expiry();
    }

    /// Records a sidecar that another process lists; returns whether it is a new one.
    pub fn report(&mut self, now: Micros, key: K, address: A) -> bool {
        let is_new = !self.peers.contains_key(&key);
        let peer = self.peers.entry(key).or_insert(Peer {
            address,
            listed: None,
            reported_at: None,
        });
        peer.reported_at = Some(now);
        if is_new {
            self.set_next_expiry();
        }
        is_new
    }

    /// Drops the sidecars that only other processes listed, too long ago; returns whether there were any.
    pub fn expire(&mut self, now: Micros) -> bool {
        if self.next_expiry.is_none_or(|at| now < at) {
            return false;
        }
        let before = self.peers.len();
        let recent = |at: Micros| now.since(at) < REPORT_LIFETIME;
        self.peers
            .retain(|_, p| p.listed.is_some() || p.reported_at.is_some_and(recent));
        self.set_next_expiry();
        self.peers.len() < before
    }

    fn set_next_expiry(&mut self) {
        let unlisted = self.peers.values().filter(|p| p.listed.is_none());
        let reported = unlisted.filter_map(|p| p.reported_at);
        self.next_expiry = reported.min().map(|at| at + REPORT_LIFETIME);
    }

    /// Sidecars to query.
    pub fn keys(&self) -> Vec<K> {
        self.peers.keys().copied().collect()
    }

    /// Address of a sidecar.
    pub fn address(&self, key: &K) -> Option<A> {
        self.peers.get(key).map(|p| p.address)
    }

    /// The sidecars that were added last to this process's own list, at most `max`.
    pub fn newest(&self, max: usize) -> Vec<(K, A)> {
        let listed = |(key, p): (&K, &Peer<A>)| p.listed.map(|at| (at, *key, p.address));
        let mut listed: Vec<_> = self.peers.iter().filter_map(listed).collect();
        listed.sort_unstable_by_key(|(at, ..)| Reverse(*at));
        listed.truncate(max);
        let newest = listed.into_iter().map(|(_, key, address)| (key, address));
        newest.collect()
    }
}
