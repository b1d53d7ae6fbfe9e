//! Blocks that an engine is expected to compute soon.
//!
//! From the arrival of a prompt to the engine's event pass seconds: the wait in the queue, the
//! prefill and the delay of the event. Without expected blocks, a burst of prompts that share a new
//! prefix would be spread over all replicas, and each would compute the prefix. A block that isn't
//! confirmed by an event expires, so that a cancelled prompt or a lost event leaves no wrong entry.

use model::{BlockHash, Micros};

use crate::int_hasher::Map;

/// Expected blocks with the time at which each expires.
#[derive(Debug, Default)]
pub(crate) struct Expected {
    until: Map<BlockHash, Micros>,
    now: Micros,
    last_sweep: Micros,
}

/// Interval between removals of expired blocks; until removed, they only take memory.
const SWEEP_INTERVAL: Micros = Micros::from_millis(500);

impl Expected {
    pub(crate) fn add(&mut self, hash: BlockHash, until: Micros) {
        let last = self.until.entry(hash).or_default();
        *last = until.max(*last);
    }

    pub(crate) fn contains(&self, hash: BlockHash) -> bool {
        self.until.get(&hash).is_some_and(|t| *t > self.now)
    }

    pub(crate) fn remove(&mut self, hash: BlockHash) {
        self.until.remove(&hash);
    }

    pub(crate) fn expire(&mut self, now: Micros) {
        self.now = self.now.max(now);
        if now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.until.retain(|_, t| *t > now);
            self.last_sweep = now;
        }
    }

    pub(crate) fn clear(&mut self) {
        self.until.clear();
    }

    pub(crate) fn len(&self) -> usize {
        let live = self.until.values().filter(|t| **t > self.now);
        live.count()
    }
}
