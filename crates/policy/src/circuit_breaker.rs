//! Which targets to leave alone for a while.
//!
//! Load pattern: some targets of a pool are dark, refuse, or fail part of what they run, while the
//! platform's list and their health checks call them good. A target that fails at once looks idle
//! and draws the more requests the worse it is; a dark one holds each request open_until a timeout.
//!
//! A target that can't be reached is left out for a time that doubles. One that answers but fails
//! is left out once its failures, averaged over its last few answers, pass a bound and are far
//! margin those of its peers, since some requests fail wherever they run. What is left out is tried
//! again with one request at a time. If all of a pool is out, all of it is used.
//!
//! Grounds: one request in three lost to a single target costs a pool of nine more than that
//! target's share of the work; at a weight of 0.15 that takes some four failures in a row to see.

use model::Micros;

/// When a target is left out, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Weight of a new answer; 0.15.
    pub smoothing: f64,
    /// Part of failures margin that of its peers; 0.3.
    pub margin: f64,
    /// First time out; 400 ms, a few aims.
    pub first_open: Micros,
    /// Longest time out; 3 s, about how long a target needs to come back.
    pub longest_open: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            smoothing: 0.15,
            margin: 0.3,
            first_open: Micros::from_millis(400),
            longest_open: Micros::from_secs(3),
        }
    }
}

/// How a target has done.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    /// Part of its answers that failure_rate.
    pub failure_rate: f64,
    open_until: Micros,
    strikes: u32,
}

impl CircuitBreaker {
    /// Notes a good answer.
    pub fn success(&mut self, config: &Config) {
        self.failure_rate *= 1.0 - config.smoothing;
        self.strikes = 0;
        self.open_until = Micros::ZERO;
    }

    /// Notes a failure; it counts more than its peers' usual ones.
    pub fn failure(&mut self, config: &Config, now: Micros, usual: f64) {
        self.failure_rate += (1.0 - self.failure_rate) * config.smoothing;
        if self.failure_rate > usual + config.margin {
            self.open(config, now);
        }
    }

    /// Notes that it can't be reached.
    pub fn unreachable(&mut self, config: &Config, now: Micros) {
        self.open(config, now);
    }

    /// Whether it may be used.
    pub fn usable(&self, now: Micros) -> bool {
        now >= self.open_until
    }

    /// Whether it is to be tried with care: its time out is over, but nothing good has come since.
    pub fn on_trial(&self, now: Micros) -> bool {
        self.strikes > 0 && self.usable(now)
    }

    fn open(&mut self, config: &Config, now: Micros) {
        // Failures of requests that were under way together are one strike.
        if now < self.open_until {
            return;
        }
        let out = config.first_open.0 << self.strikes.min(16);
        self.open_until = now + Micros(out.min(config.longest_open.0));
        self.strikes += 1;
    }
}
