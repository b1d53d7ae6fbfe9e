//! The engine's published state: cache events with a delay and with gaps, load with a delay.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::cache::Event;
use crate::delayed_value::DelayedValue;
use crate::{lock, micros};

/// Number of events kept for readers of the feed; a reader that is further behind sees a gap.
const MAX_EVENTS: usize = 100_000;
/// Number of cache changes kept for measurements, some tens of megabytes.
const MAX_HISTORY: usize = 2_000_000;

/// A cache event, its sequence number and the time at which it becomes visible.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Published {
    seq: u64,
    #[serde(flatten)]
    event: Event,
    #[serde(skip)]
    due: Instant,
}

/// One change of the cache, recorded without delay or loss for measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Time of the change in microseconds since 1970.
    pub at: u64,
    /// The block; none if the whole cache was cleared.
    pub hash: Option<u64>,
    /// Whether the block was stored; otherwise it was removed.
    pub stored: bool,
}

/// Number of running and waiting requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Load {
    pub(super) running: usize,
    pub(super) waiting: usize,
}

/// Events and load of an engine, as it publishes them.
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
    reported_load: DelayedValue<Load>,
}

/// Delay, loss and reordering of published events.
#[derive(Clone, Copy, Debug)]
pub(super) struct Publishing {
    pub(super) lag: Duration,
    pub(super) lose: u64,
    pub(super) reorder: bool,
}

impl Feed {
    /// Publishes events; one in `how.lose` is lost, but still uses up a sequence number.
    pub(super) fn publish(&self, how: Publishing, events: Vec<Event>) {
        let due = Instant::now() + how.lag;
        let at = micros();
        let mut s = lock(&self.state);
        for event in events {
            s.record(at, &event);
            s.seq += 1;
            let seq = s.seq;
            let lost = how.lose > 0 && seq.is_multiple_of(how.lose);
            if !lost {
                s.events.push_back(Published { seq, event, due });
            }
        }
        let surplus = s.events.len().saturating_sub(MAX_EVENTS);
        s.events.drain(..surplus);
    }

    /// The visible events after a sequence number, and the highest visible sequence number.
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

    /// Sequence number of the last event, visible or not.
    pub(super) fn seq(&self) -> u64 {
        lock(&self.state).seq
    }

    pub(super) fn history(&self) -> Vec<Change> {
        lock(&self.state).history.clone()
    }

    /// Changes the load; the change is reported after `lag`.
    pub(super) fn change_load(&self, lag: Duration, change: impl FnOnce(&mut Load)) {
        let s = &mut *lock(&self.state);
        change(&mut s.load);
        s.reported_load.set(Instant::now(), lag, s.load);
    }

    /// Number of running requests at this moment, without delay.
    pub(super) fn running(&self) -> usize {
        lock(&self.state).load.running
    }

    /// The load as reported, with its delay.
    pub(super) fn reported_load(&self) -> Load {
        *lock(&self.state).reported_load.get(Instant::now())
    }
}

impl State {
    fn record(&mut self, at: u64, event: &Event) {
        let (hash, stored) = match event {
            Event::Stored { hash, .. } => (Some(*hash), true),
            Event::Removed { hash } => (Some(*hash), false),
            Event::Cleared => (None, false),
            Event::Weights { .. } => return,
        };
        if self.history.len() < MAX_HISTORY {
            self.history.push(Change { at, hash, stored });
        }
    }
}
