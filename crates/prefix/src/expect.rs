//! Blocks that an engine is about to compute.
//!
//! Between the arrival of a prompt and the engine's event lie its wait, the prefill and the event's
//! delay, together seconds. Without these entries a burst that shares a new prefix is spread over
//! all replicas, and each computes it. An entry that isn't confirmed by an event expires, so that
//! a cancelled prompt or a lost event leaves no false claim behind.

use model::{BlockHash, Micros};

use crate::int_hasher::Map;

/// Expected blocks with the time at which each is given up.
#[derive(Debug, Default)]
pub(crate) struct Expect {
    until: Map<BlockHash, Micros>,
    now: Micros,
    swept: Micros,
}

/// Time between two sweeps of expired entries, which until then only take memory.
const SWEEP: Micros = Micros::from_millis(500);

impl Expect {
    pub(crate) fn add(&mut self, hash: BlockHash, until: Micros) {
        let last = self.until.entry(hash).or_default();
        *last = until.max(*last);
    }

    pub(crate) fn contains(&self, hash: BlockHash) -> bool {
        self.until.get(&hash).is_some_and(|t| *t > self.now)
    }

    pub(crate) fn settle(&mut self, hash: BlockHash) {
        self.until.remove(&hash);
    }

    pub(crate) fn expire(&mut self, now: Micros) {
        self.now = self.now.max(now);
        if now.since(self.swept) >= SWEEP {
            self.until.retain(|_, t| *t > now);
            self.swept = now;
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
