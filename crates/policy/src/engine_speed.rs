//! The permanent speed of each target relative to its pool, learnt from answers.
//!
//! Load pattern: some targets are permanently at 0.55 to 1.3 of the usual speed, and all of them vary
//! from one answer to the next by a similar amount, because of waits that no process reports and of their
//! momentary pace ([`crate::pace`]). Estimates without shrinkage differed more than the engines did, and
//! moved prompts away from the engines that held their openings (see [`crate::backlog`]).
//!
//! Each observation is the ratio of a measured duration to the pool's estimate, divided by the momentary
//! pace. A factor is the mean of a target's ratios, in which the value 1 has the weight of
//! [`Config::prior`] observations. Observations lose weight over time. The factors belong to one
//! incarnation of a target: the next one starts at 1.
//!
//! One entry observes an engine every few seconds. Entries therefore send their observations to the
//! engine's agent, which computes the factors from those of all entries. It knows which prompts found
//! others waiting, and leaves out their observations: with those, engines at 0.55 and 1.2 of the usual
//! speed were estimated to differ by a factor of 1.3 instead of 2.2 before the shrinkage (virtual time).

/// How factors are learnt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Number of observations that the value 1 weighs as much as; 50. In virtual time, with speeds of
    /// 0.55 to 1.2 and a changing pace that is unknown, 1,632 prompts of 210,000 were late without
    /// factors, and 1,709, 1,279, 1,131 and 1,000 with 12, 25, 50 and 100. With the permanent speeds
    /// alone 369 were late without, and 34, 26, 28 and 69 with them.
    pub prior: f64,
    /// Deviation from 1 that counts as noise; factors are that much closer to 1. 0.05, the standard
    /// deviation of a factor at an engine of the usual speed.
    pub margin: f64,
    /// Factor on the weight of earlier observations at each new one; 0.995.
    pub decay: f64,
    /// Least and greatest ratio that an observation counts as; 0.3 and 3.
    pub bounds: (f64, f64),
    /// Milliseconds by which the time to the first event varies for other reasons than the engine's
    /// speed, such as waits that no report shows; 50.
    pub noise_ms: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            prior: 50.0,
            margin: 0.05,
            decay: 0.995,
            bounds: (0.3, 3.0),
            noise_ms: 50.0,
        }
    }
}

/// Least prefill in milliseconds that is an observation.
const MIN_PREFILL_MS: f64 = 2.0;
/// Factor on the weight of earlier values in a [`Mean`] at each new one.
const MEAN_DECAY: f64 = 0.995;
/// Share of the longest allowed gap between events above which a stream counts as paused, since gaps
/// vary around their mean.
const PAUSE_SHARE: f64 = 0.8;
/// Largest cost in milliseconds of pauses; as much as that of missing memory.
const MAX_PAUSE_COST: f64 = 400.0;

/// Moving average over the targets of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    sum: f64,
    weight: f64,
}

impl Mean {
    /// Records a value.
    pub fn record(&mut self, value: f64) {
        self.record_weighted(value, 1.0);
    }

    fn record_weighted(&mut self, value: f64, weight: f64) {
        if value.is_finite() {
            self.sum = self.sum * MEAN_DECAY + value * weight;
            self.weight = self.weight * MEAN_DECAY + weight;
        }
    }

    /// The average; `None` without a value.
    pub fn get(&self) -> Option<f64> {
        (self.sum > 0.0).then_some(self.sum / self.weight)
    }
}

/// Ratio of a measured duration to the pool's estimate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The ratio.
    pub ratio: f64,
    /// Weight, from 0 to 1.
    pub weight: f64,
}

impl Observation {
    /// Observation of a prefill that should take `expected` milliseconds and took `excess`
    /// milliseconds longer, at a momentary `pace`. The shorter it is, the less it shows.
    pub fn prefill(config: &Config, expected: f64, excess: f64, pace: f64) -> Option<Self> {
        let square = expected * expected;
        let weight = square / (square + config.noise_ms * config.noise_ms);
        (expected >= MIN_PREFILL_MS).then_some(Self {
            ratio: (1.0 + excess / expected) / pace,
            weight,
        })
    }

    /// Observation of a duration whose mean in the pool is `usual`.
    pub fn duration(took: f64, usual: f64, pace: f64) -> Self {
        Self {
            ratio: took / usual / pace,
            weight: 1.0,
        }
    }
}

/// Mean ratio of a pool's observations. It isn't 1, since durations are skewed: unreported waits only
/// prolong them.
#[derive(Clone, Copy, Debug, Default)]
pub struct PoolRatio(Mean);

impl PoolRatio {
    /// Records an observation and returns it relative to the pool's mean.
    pub fn normalize(&mut self, config: &Config, seen: Observation) -> Observation {
        let ratio = seen.ratio.clamp(config.bounds.0, config.bounds.1);
        self.0.record_weighted(ratio, seen.weight);
        Observation {
            ratio: ratio / self.0.get().unwrap_or(1.0),
            weight: seen.weight,
        }
    }
}

/// Learnt duration of one kind of work at a target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Learnt {
    weight: f64,
    sum: f64,
}

impl Learnt {
    /// Records an observation.
    pub fn record(&mut self, config: &Config, seen: Observation) {
        if !seen.ratio.is_finite() {
            return;
        }
        let ratio = seen.ratio.clamp(config.bounds.0, config.bounds.1);
        let weight = seen.weight.clamp(0.0, 1.0);
        self.weight = self.weight * config.decay + weight;
        self.sum = self.sum * config.decay + weight * (ratio - 1.0);
    }

    /// Duration as a multiple of the pool's.
    pub fn factor(&self, config: &Config) -> f64 {
        let excess = self.sum / (self.weight + config.prior);
        1.0 + excess.signum() * (excess.abs() - config.margin).max(0.0)
    }
}

/// Durations of work at a target, as multiples of the pool's.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Factors {
    /// Prefill, or all work of a plain service.
    pub prefill: f64,
    /// Generation of tokens.
    pub decode: f64,
}

impl Default for Factors {
    fn default() -> Self {
        Self {
            prefill: 1.0,
            decode: 1.0,
        }
    }
}

/// Learnt durations of a target's work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Speed {
    /// Prefill, or all work of a plain service.
    pub prefill: Learnt,
    /// Generation of tokens.
    pub decode: Learnt,
}

impl Speed {
    /// The factors at present.
    pub fn factors(&self, config: &Config) -> Factors {
        Factors {
            prefill: self.prefill.factor(config),
            decode: self.decode.factor(config),
        }
    }
}

/// Cost in milliseconds of an answer of `events` events that come every `gap` milliseconds, where
/// `allowed` milliseconds are allowed, or any number if it is 0: the time that it falls behind.
pub fn pause_cost(events: f64, gap: f64, allowed: f64) -> f64 {
    match allowed > 0.0 {
        true => (events * (gap - allowed * PAUSE_SHARE).max(0.0)).min(MAX_PAUSE_COST),
        false => 0.0,
    }
}

/// Whether a plain target takes a request, by the request's draw from 0 to 1. Targets take requests in
/// inverse proportion to their factors; a cost by factor would send all requests of all entries that
/// see no load to the fastest target.
pub fn takes(factor: f64, least: f64, draw: f64) -> bool {
    draw * factor <= least
}
