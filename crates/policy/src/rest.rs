//! Targets that have asked an entry for rest.
//!
//! Load pattern: a target that is overloaded refuses a request and says for how long it wants no other
//! one. An entry that merely prefers other targets sends it second attempts all the same whenever the
//! others fail, which is when the target is overloaded.
//!
//! The rest binds one entry, which the target has asked, and one start of the target. It is bounded, so
//! that a wrong number doesn't exclude a target for good.

use std::collections::HashMap;
use std::hash::Hash;

use model::Micros;

/// Longest rest; a target that needs more asks again.
pub const MAX_REST: Micros = Micros::from_secs(600);

/// Targets that rest. `K` identifies one start of a target.
#[derive(Debug)]
pub struct Rests<K> {
    /// Until when each target rests.
    targets: HashMap<K, Micros>,
}

impl<K> Default for Rests<K> {
    fn default() -> Self {
        Self {
            targets: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> Rests<K> {
    /// Records that a target has asked for rest, and returns how long it gets. A shorter rest doesn't
    /// end a longer one, as answers may overtake each other.
    pub fn record(&mut self, now: Micros, target: K, rest: Micros) -> Micros {
        self.targets.retain(|_, until| *until > now);
        let rest = rest.min(MAX_REST);
        let until = self.targets.entry(target).or_default();
        *until = (*until).max(now + rest);
        rest
    }

    /// How long a target still rests, if it does.
    pub fn left(&self, now: Micros, target: K) -> Option<Micros> {
        let until = self.targets.get(&target).filter(|until| **until > now)?;
        Some(until.since(now))
    }

    /// Whether no target has asked for rest.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}
