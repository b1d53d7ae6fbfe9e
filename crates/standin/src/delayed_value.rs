//! A value whose changes are seen late.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A value together with its changes that are not seen yet.
#[derive(Debug, Default)]
pub struct DelayedValue<T> {
    seen: T,
    coming: VecDeque<(Instant, T)>,
}

impl<T> DelayedValue<T> {
    /// Changes the value; seen once `lag` has passed.
    pub fn set(&mut self, now: Instant, lag: Duration, value: T) {
        self.advance(now);
        self.coming.push_back((now + lag, value));
        self.advance(now);
    }

    /// What is seen at this moment.
    pub fn get(&mut self, now: Instant) -> &T {
        self.advance(now);
        &self.seen
    }

    fn advance(&mut self, now: Instant) {
        while self.coming.front().is_some_and(|c| c.0 <= now) {
            if let Some((_, value)) = self.coming.pop_front() {
                self.seen = value;
            }
        }
    }
}
