//! Which targets to leave alone for a while.
//!
//! Load pattern: some targets of a pool are dark, refuse, or fail part of what they run, while the
//! platform's list and their health checks call them good. A target that fails at once looks idle
//! and draws the more requests the worse it is; a dark one holds each request until a timeout.
//!
//! A target that can't be reached is left out for a time that doubles. One that answers but fails
//! is left out once its failures, averaged over its last few answers, pass a bound and are far
//! above those of its peers, since some requests fail wherever they run. What is left out is tried
//! again with one request at a time. If all of a pool is out, all of it is used.
//!
//! Grounds: one request in three lost to a single target costs a pool of nine more than that
//! target's share of the work; at a weight of 0.15 that takes some four failures in a row to see.

use model::Micros;

/// When a target is left out, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Weight of a new answer; 0.15.
    pub smooth: f64,
    /// Part of failures above that of its peers; 0.3.
    pub above: f64,
    /// First time out; 400 ms, a few aims.
    pub out: Micros,
    /// Longest time out; 3 s, about how long a target needs to come back.
    pub longest: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            smooth: 0.15,
            above: 0.3,
            out: Micros::from_millis(400),
            longest: Micros::from_secs(3),
        }
    }
}

/// How a target has done.
#[derive(Clone, Copy, Debug, Default)]
pub struct Standing {
    /// Part of its answers that failed.
    pub failed: f64,
    until: Micros,
    strikes: u32,
}

impl Standing {
    /// Notes a good answer.
    pub fn good(&mut self, config: &Config) {
        self.failed *= 1.0 - config.smooth;
        self.strikes = 0;
        self.until = Micros::ZERO;
    }

    /// Notes a failure; it counts more than its peers' usual ones.
    pub fn bad(&mut self, config: &Config, now: Micros, usual: f64) {
        self.failed += (1.0 - self.failed) * config.smooth;
        if self.failed > usual + config.above {
            self.leave(config, now);
        }
    }

    /// Notes that it can't be reached.
    pub fn unreachable(&mut self, config: &Config, now: Micros) {
        self.leave(config, now);
    }

    /// Whether it may be used.
    pub fn usable(&self, now: Micros) -> bool {
        now >= self.until
    }

    /// Whether it is to be tried with care: its time out is over, but nothing good has come since.
    pub fn on_trial(&self, now: Micros) -> bool {
        self.strikes > 0 && self.usable(now)
    }

    fn leave(&mut self, config: &Config, now: Micros) {
        // Failures of requests that were under way together are one strike.
        if now < self.until {
            return;
        }
        let out = config.out.0 << self.strikes.min(16);
        self.until = now + Micros(out.min(config.longest.0));
        self.strikes += 1;
    }
}
