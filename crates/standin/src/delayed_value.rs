//! A value whose changes become visible after a delay.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A value and its changes that are not visible yet.
#[derive(Debug, Default)]
pub struct DelayedValue<T> {
    visible: T,
    pending: VecDeque<(Instant, T)>,
}

impl<T> DelayedValue<T> {
    /// Changes the value; the change becomes visible after `lag`.
    pub fn set(&mut self, now: Instant, lag: Duration, value: T) {
        self.advance(now);
        self.pending.push_back((now + lag, value));
        self.advance(now);
    }

    /// The value visible at `now`.
    pub fn get(&mut self, now: Instant) -> &T {
        self.advance(now);
        &self.visible
    }

    fn advance(&mut self, now: Instant) {
        while self.pending.front().is_some_and(|c| c.0 <= now) {
            if let Some((_, value)) = self.pending.pop_front() {
                self.visible = value;
            }
        }
    }
}
