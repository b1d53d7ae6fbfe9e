//! Targets that have said in an answer that they leave.
//!
//! Load pattern: a target is being removed and says so in its answers, while the platform's list shows it
//! as ready, because the store is away or late. Requests that go on to reach it are lost when it exits.
//!
//! What a target has said holds until its process ends, whatever its row says, since no process takes it
//! back: also while the row is renewed, or is gone and comes back. The next start of the target is another
//! key. A target that has said so and is not listed any more is forgotten after a while.

use std::collections::HashMap;
use std::hash::Hash;

use model::Micros;

/// How long a target that isn't listed is remembered; longer than the store may be away.
const MEMORY: Micros = Micros::from_secs(900);
/// Maximum number of targets; the one that was listed longest ago is dropped for another.
const CAPACITY: usize = 4_096;

/// Targets that leave. `K` identifies one start of a target.
#[derive(Debug)]
pub struct Leaving<K> {
    /// When each target was last known to exist.
    targets: HashMap<K, Micros>,
}

impl<K> Default for Leaving<K> {
    fn default() -> Self {
        Self {
            targets: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> Leaving<K> {
    /// Records that a target leaves; returns whether that is new.
    pub fn record(&mut self, now: Micros, target: K) -> bool {
        if self.targets.len() >= CAPACITY && !self.targets.contains_key(&target) {
            let oldest = self.targets.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(target, _)| *target) {
                self.targets.remove(&oldest);
            }
        }
        self.targets.insert(target, now).is_none()
    }

    /// Whether a target leaves.
    pub fn contains(&self, target: K) -> bool {
        self.targets.contains_key(&target)
    }

    /// Number of targets that leave.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether no target leaves.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Forgets the targets that haven't been listed for long.
    pub fn retain(&mut self, now: Micros, is_listed: impl Fn(K) -> bool) {
        self.targets.retain(|target, at| {
            if is_listed(*target) {
                *at = now;
            }
            now.since(*at) < MEMORY
        });
    }
}
