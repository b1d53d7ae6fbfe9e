//! A circuit breaker for each target.
//!
//! Load pattern: some targets of a pool are unreachable, refuse connections, or fail a part of their
//! requests, while the platform's list and their health checks report them as good. A target that fails at
//! once looks idle and gets more requests the worse it is; an unreachable one holds each request until a
//! timeout.
//!
//! The breaker of a target that can't be reached opens for a time that doubles with each opening. The breaker
//! of a target that answers but fails opens once its failure rate, averaged over its last few answers, is far
//! above that of its peers, since some requests fail at any target. After that time the target is on trial:
//! it gets one request at a time. If the breakers of all targets of a pool are open, all of them are used.
//!
//! One request in three lost to a single target costs a pool of nine more than that target's share of the
//! work. With a weight of 0.15 for a new answer, about four failures in a row open the breaker.

use model::Micros;

/// When a breaker opens, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Weight of a new answer; 0.15.
    pub smoothing: f64,
    /// How far the failure rate must exceed that of the target's peers; 0.3.
    pub margin: f64,
    /// Duration of the first opening; 400 ms, a few times the targeted time to the first token.
    pub first_open: Micros,
    /// Longest opening; 3 s, about the time that a target needs to recover.
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

/// The breaker of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    /// Share of failed answers, as a moving average.
    pub failure_rate: f64,
    open_until: Micros,
    /// Openings since the last successful answer.
    openings: u32,
}

impl CircuitBreaker {
    /// Records a successful answer, which closes the breaker.
    pub fn success(&mut self, config: &Config) {
        self.failure_rate *= 1.0 - config.smoothing;
        self.openings = 0;
        self.open_until = Micros::ZERO;
    }

    /// Records a failure; `peer_rate` is the usual failure rate of the target's peers.
    pub fn failure(&mut self, config: &Config, now: Micros, peer_rate: f64) {
        self.failure_rate += (1.0 - self.failure_rate) * config.smoothing;
        if self.failure_rate > peer_rate + config.margin {
            self.open(config, now);
        }
    }

    /// Records that the target can't be reached.
    pub fn unreachable(&mut self, config: &Config, now: Micros) {
        self.open(config, now);
    }

    /// Whether the target may be used.
    pub fn usable(&self, now: Micros) -> bool {
        now >= self.open_until
    }

    /// Whether the target is on trial: the breaker isn't open any more, but no answer has succeeded since.
    pub fn on_trial(&self, now: Micros) -> bool {
        self.openings > 0 && self.usable(now)
    }

    fn open(&mut self, config: &Config, now: Micros) {
        // Failures of requests that ran at the same time count as one opening.
        if now < self.open_until {
            return;
        }
        let duration = config.first_open.0 << self.openings.min(16);
        self.open_until = now + Micros(duration.min(config.longest_open.0));
        self.openings += 1;
    }
}
