//! State that an entry keeps between requests.

use model::{Class, Micros, TargetKey};
use policy::health::{self, Health};
use policy::probe_placement::Peer;
use policy::recent_replicas::{self, RecentReplicas};
use policy::retry::{self, Budget};

/// A simulated entry.
pub(crate) struct Entry {
    pub(crate) recent: RecentReplicas,
    pub(crate) peers: Vec<Peer>,
    pub(crate) health: Health,
    pub(crate) budget: Budget,
    pub(crate) next_replica: usize,
}

impl Entry {
    pub(crate) fn new(targets: &[TargetKey]) -> Self {
        let peer = |(id, target): (usize, &TargetKey)| Peer {
            target: *target,
            id: id as u64,
            wait: Micros::ZERO,
        };
        Self {
            recent: RecentReplicas::new(recent_replicas::Config::default()),
            peers: targets.iter().enumerate().map(peer).collect(),
            health: Health::new(health::Config::default()),
            budget: Budget::new(retry::Config::default()),
            next_replica: 0,
        }
    }
}

/// Time limit of a class for the first token.
pub(crate) fn deadline(class: Class) -> Micros {
    match class {
        Class::Call => Micros::from_secs(10),
        Class::Normal => Micros::from_secs(30),
        Class::Batch => Micros::from_secs(300),
    }
}
