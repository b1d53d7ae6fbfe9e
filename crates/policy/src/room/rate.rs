//! Rates of what happens at one entry.

use model::Micros;

/// A quantity per second that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    sum: f64,
    at: Micros,
}

impl Rate {
    /// Adds an amount.
    pub(super) fn add(&mut self, now: Micros, window: Micros, amount: f64) {
        self.sum = (self.get(now, window) * window.as_secs_f64() + amount).max(0.0);
        self.at = now;
    }

    /// The amount per second.
    pub(super) fn get(&self, now: Micros, window: Micros) -> f64 {
        let age = now.since(self.at).as_secs_f64() / window.as_secs_f64();
        self.sum * (-age).exp() / window.as_secs_f64()
    }
}
