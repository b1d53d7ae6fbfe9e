//! Ejecting targets that are much slower than their peers or fail more (outlier ejection).
//!
//! Load pattern: one target of a pool answers, but at a fraction of its speed, because of a hot accelerator,
//! a noisy neighbour or a bad disk. Heartbeats don't detect this. Its share of the requests, one in nine,
//! determines the p99 of the whole pool. A fixed threshold doesn't help: under load all targets are slow, and
//! ejecting all of them would end the service.
//!
//! A target is compared with the median of its pool. Beyond [`Config::slow`] times the median it is ejected,
//! unless [`Config::ejected`] of the pool is out already. After a time that doubles with each ejection the
//! target is on trial: it gets one request at a time. The first bad one ejects it again, and
//! [`Config::trials`] good ones restore it.
//!
//! The compared figure is the time taken divided by the time promised in the target's own offer, so that long
//! requests or a correctly announced queue don't make a target look slow. Both times are averaged before the
//! division: with averages of ratios, a few short requests ejected a busy replica and lost the prefixes that
//! it holds. For the same reason a request whose announced wait is longer than its expected service time
//! isn't counted; at full load these are nearly all requests. A failure counts as [`FAILURE_FACTOR`] times
//! the usual time.
//!
//! Replicas under the same load differ by up to a factor of two through their queues, so three times the
//! median lies beyond normal variation. With a quarter of the pool out, the others have a third more to do,
//! which they can handle below 75% load.

use std::collections::HashMap;

use model::{Micros, TargetKey};

/// When a target is ejected, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Multiple of the median above which a target is too slow; 3.
    pub slow: f64,
    /// Samples needed before a target can be ejected; 8.
    pub samples: u32,
    /// Weight of a new sample; 0.2.
    pub smooth: f64,
    /// Largest share of a pool that may be out; 0.25, but at least one target.
    pub ejected: f64,
    /// Duration of the first ejection; 5 s.
    pub out: Micros,
    /// Longest ejection; 5 min.
    pub longest: Micros,
    /// Good requests in a row that end a trial; 3.
    pub trials: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            slow: 3.0,
            samples: 8,
            smooth: 0.2,
            ejected: 0.25,
            out: Micros::from_secs(5),
            longest: Micros::from_secs(300),
            trials: 3,
        }
    }
}

/// Time that a failure counts as, as a multiple of the target's usual time.
pub const FAILURE_FACTOR: f64 = 20.0;

/// Result of one request at a target.
#[derive(Clone, Copy, Debug)]
pub enum Sample {
    /// The request was answered.
    Answered {
        /// Wait announced by the target.
        wait: Micros,
        /// Expected time to the first token, without the wait.
        expected: Micros,
        /// Measured time to the first token.
        took: Micros,
    },
    /// The target failed.
    Failed,
}

/// Whether a target may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// Without restriction.
    Normal,
    /// For one request, to check whether the target has recovered.
    Trial,
    /// Ejected, or on trial with its request still running.
    Out,
}

#[derive(Clone, Copy, Debug, Default)]
enum State {
    #[default]
    In,
    Out {
        until: Micros,
    },
    Trial {
        good: u32,
        in_flight: bool,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    /// Moving averages of the expected and the measured time, in microseconds.
    average: [f64; 2],
    samples: u32,
    state: State,
    /// Ejections in a row.
    ejections: u32,
}

/// Results of one pool's targets at one entry.
#[derive(Debug)]
pub struct Health {
    config: Config,
    records: HashMap<TargetKey, Record>,
}

impl Health {
    /// Starts without results.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            records: HashMap::new(),
        }
    }

    /// Replaces the settings.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// Whether and how a target may be used now.
    pub fn usable(&self, now: Micros, target: TargetKey) -> Use {
        match self.records.get(&target).map(|r| r.state) {
            None | Some(State::In) => Use::Normal,
            Some(State::Out { until }) if now < until => Use::Out,
            Some(State::Trial {
                in_flight: true, ..
            }) => Use::Out,
            Some(State::Out { .. } | State::Trial { .. }) => Use::Trial,
        }
    }

    /// Records that a target on trial got its request.
    pub fn start_trial(&mut self, now: Micros, target: TargetKey) {
        if let Some(record) = self.records.get_mut(&target) {
            record.state = match record.state {
                State::Out { until } if until <= now => State::Trial {
                    good: 0,
                    in_flight: true,
                },
                State::Trial { good, .. } => State::Trial {
                    good,
                    in_flight: true,
                },
                state => state,
            };
        }
    }

    /// Records that a request ended without a result that says anything about its target.
    pub fn cancel_trial(&mut self, target: TargetKey) {
        if let Some(Record {
            state: State::Trial { in_flight, .. },
            ..
        }) = self.records.get_mut(&target)
        {
            *in_flight = false;
        }
    }

    /// Records the result of a request, and ejects or restores the target.
    pub fn record(&mut self, now: Micros, target: TargetKey, sample: Sample) {
        let config = self.config;
        let slow = self.median(target).map(|m| m * config.slow);
        let may_eject = self.may_eject();
        let record = self.records.entry(target).or_default();
        // A long wait depends on how many requests were ahead, not on the target's speed.
        if matches!(sample, Sample::Answered { wait, expected, .. } if wait > expected) {
            return;
        }
        let usual = record.average[0].max(1.0);
        let new = match sample {
            Sample::Answered {
                wait,
                expected,
                took,
            } => [wait + expected, took].map(|t| t.0.max(1) as f64),
            Sample::Failed => [usual, usual * FAILURE_FACTOR],
        };
        record.add(new, config.smooth);
        let is_slow = |slowdown: f64, factor: f64| slow.is_some_and(|s| slowdown > s * factor);
        match record.state {
            State::In if record.samples < config.samples => {}
            State::In if is_slow(record.slowdown(), 1.0) && may_eject => {
                eject(&config, record, now)
            }
            // One request says less than an average, so a failed trial needs twice the factor.
            State::Trial { .. } if is_slow(new[1] / new[0], 2.0) => eject(&config, record, now),
            State::Trial { good, .. } if good + 1 >= config.trials => restore(record),
            State::Trial { good, .. } => {
                record.state = State::Trial {
                    good: good + 1,
                    in_flight: false,
                }
            }
            // Good for four times the samples that an ejection needs: earlier ejections no longer count.
            State::In if record.samples > 4 * config.samples => record.ejections = 0,
            State::In | State::Out { .. } => {}
        }
    }

    /// Removes a target that is gone or has a new incarnation.
    pub fn forget(&mut self, target: TargetKey) {
        self.records.remove(&target);
    }

    /// Number of targets that are ejected or on trial.
    pub fn ejected(&self) -> usize {
        let out = self.records.values();
        out.filter(|r| !matches!(r.state, State::In)).count()
    }

    /// Median slowdown of the target's peers that have enough samples and aren't ejected; `None` if there are fewer
    /// than two.
    fn median(&self, target: TargetKey) -> Option<f64> {
        let peers = self.records.iter().filter(|(t, _)| **t != target);
        let judged =
            peers.filter(|(_, r)| r.samples >= self.config.samples && matches!(r.state, State::In));
        let mut all: Vec<f64> = judged.map(|(_, r)| r.slowdown()).collect();
        all.sort_by(f64::total_cmp);
        (all.len() >= 2).then(|| all[all.len() / 2])
    }

    /// Whether one more target may be ejected.
    fn may_eject(&self) -> bool {
        let most = (self.records.len() as f64 * self.config.ejected) as usize;
        self.ejected() < most.max(1)
    }
}

fn eject(config: &Config, record: &mut Record, now: Micros) {
    let out = Micros(config.out.0 << record.ejections.min(16)).min(config.longest);
    record.state = State::Out { until: now + out };
    record.ejections += 1;
}

fn restore(record: &mut Record) {
    *record = Record {
        ejections: record.ejections,
        ..Record::default()
    };
}

impl Record {
    fn add(&mut self, new: [f64; 2], smooth: f64) {
        let weight = match self.samples {
            0 => 1.0,
            _ => smooth,
        };
        self.average = [0, 1].map(|i| self.average[i] + (new[i] - self.average[i]) * weight);
        self.samples += 1;
    }

    fn slowdown(&self) -> f64 {
        self.average[1] / self.average[0].max(1.0)
    }
}
