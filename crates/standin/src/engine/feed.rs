//! What an engine says of itself: cache events late and with gaps, load with a lag.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::cache::Event;
use crate::delayed_value::DelayedValue;
use crate::{lock, micros};

/// Events kept for those who fetch; whoever is further behind sees a gap.
const KEPT: usize = 100_000;
/// Changes kept for measurements, some tens of megabytes.
const HISTORY: usize = 2_000_000;

/// One published event.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Published {
    seq: u64,
    #[serde(flatten)]
    event: Event,
    #[serde(skip)]
    due: Instant,
}

/// One change of the cache, without delay or loss; for measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Microseconds since 1970.
    pub at: u64,
    /// The block; none if all went.
    pub hash: Option<u64>,
    /// Whether it came.
    pub stored: bool,
}

/// How much an engine has to do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Load {
    pub(super) running: usize,
    pub(super) waiting: usize,
}

#[derive(Debug, Default)]
pub(super) struct Feed {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    seq: u64,
    events: VecDeque<Published>,
    history: Vec<Change>,
    load: Load,
    reported: DelayedValue<Load>,
}

/// How events are published.
#[derive(Clone, Copy, Debug)]
pub(super) struct Publishing {
    pub(super) lag: Duration,
    pub(super) lose: u64,
    pub(super) reorder: bool,
}

impl Feed {
    pub(super) fn publish(&self, how: Publishing, events: Vec<Event>) {
        let due = Instant::now() + how.lag;
        let at = micros();
        let mut s = lock(&self.state);
        for event in events {
            s.remember(at, &event);
            s.seq += 1;
            let seq = s.seq;
            let lost = how.lose > 0 && seq.is_multiple_of(how.lose);
            if !lost {
                s.events.push_back(Published { seq, event, due });
            }
        }
        let surplus = s.events.len().saturating_sub(KEPT);
        s.events.drain(..surplus);
    }

    /// Events due after a number, and the highest number due.
    pub(super) fn after(&self, how: Publishing, after: u64) -> (u64, Vec<Published>) {
        let now = Instant::now();
        let s = lock(&self.state);
        let due = s.events.partition_point(|p| p.due <= now);
        let seen = s.events.partition_point(|p| p.seq <= after);
        let next = due.checked_sub(1).map_or(0, |i| s.events[i].seq);
        let mut events: Vec<_> = s.events.range(seen.min(due)..due).cloned().collect();
        if how.reorder {
            events.chunks_exact_mut(2).for_each(|pair| pair.swap(0, 1));
        }
        (next, events)
    }

    /// The number of the last event, published or not.
    pub(super) fn seq(&self) -> u64 {
        lock(&self.state).seq
    }

    pub(super) fn history(&self) -> Vec<Change> {
        lock(&self.state).history.clone()
    }

    /// Changes the load by a function; reported after `lag`.
    pub(super) fn load(&self, lag: Duration, change: impl FnOnce(&mut Load)) {
        let s = &mut *lock(&self.state);
        change(&mut s.load);
        s.reported.set(Instant::now(), lag, s.load);
    }

    /// The load as it is.
    pub(super) fn running(&self) -> usize {
        lock(&self.state).load.running
    }

    /// The load as it is reported.
    pub(super) fn reported(&self) -> Load {
        *lock(&self.state).reported.get(Instant::now())
    }
}

impl State {
    fn remember(&mut self, at: u64, event: &Event) {
        let (hash, stored) = match event {
            Event::Stored { hash, .. } => (Some(*hash), true),
            Event::Removed { hash } => (Some(*hash), false),
            Event::Cleared => (None, false),
            Event::Weights { .. } => return,
        };
        if self.history.len() < HISTORY {
            self.history.push(Change { at, hash, stored });
        }
    }
}
