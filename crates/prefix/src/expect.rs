//! Blocks that an engine is about to compute.
//!
//! Between the hand-over of a prompt and the engine's event lie the prefill and the event's delay,
//! hundreds of milliseconds. Without these entries a burst that shares a new prefix is spread
//! over all replicas, and each computes it. An entry that isn't confirmed by an event expires, so
//! that a cancelled prompt or a lost event leaves no false claim behind.

use std::collections::VecDeque;

use model::{BlockHash, Micros};

use crate::mix::Map;

/// Expected blocks with the time at which each is given up.
#[derive(Debug, Default)]
pub(crate) struct Expect {
    until: Map<BlockHash, Micros>,
    order: VecDeque<(Micros, BlockHash)>,
}

impl Expect {
    pub(crate) fn add(&mut self, hash: BlockHash, until: Micros) {
        if self.until.insert(hash, until) != Some(until) {
            self.order.push_back((until, hash));
        }
    }

    pub(crate) fn contains(&self, hash: BlockHash) -> bool {
        self.until.contains_key(&hash)
    }

    pub(crate) fn settle(&mut self, hash: BlockHash) {
        self.until.remove(&hash);
    }

    pub(crate) fn expire(&mut self, now: Micros) {
        while let Some((until, hash)) = self.order.front().copied() {
            if until > now {
                break;
            }
            self.order.pop_front();
            // An entry that was renewed since has a later time and a later place in the order.
            if self.until.get(&hash).is_some_and(|t| *t <= now) {
                self.until.remove(&hash);
            }
        }
    }

    pub(crate) fn clear(&mut self) {
        self.until.clear();
        self.order.clear();
    }

    pub(crate) fn len(&self) -> usize {
        self.until.len()
    }
}
