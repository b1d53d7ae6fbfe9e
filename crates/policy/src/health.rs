//! Leaving out a target that is much slower than its peers, or fails more.
//!
//! Load pattern: one target of a pool answers, but at a fraction of its speed, because of a hot
//! accelerator, a neighbour or a bad disk. Heartbeats don't notice. Its share of the requests,
//! one in nine, becomes everyone's p99. A fixed threshold doesn't help: under load all are slow,
//! and leaving them all out would end the service.
//!
//! A target is compared with the median of its pool. Beyond [`Config::slow`] times the median it
//! is ejected, if no more than [`Config::ejected`] of the pool is out already. After a time
//! that doubles with each ejection it is on trial: one request at a time, and the first bad one
//! ejects it again, while [`Config::trials`] good ones bring it back.
//!
//! What is compared is the time taken over the time that the target's own offer promised, so that
//! a target isn't called slow for long requests or an honest queue. Both are averaged before they
//! are divided; averages of ratios let a few short requests eject a busy replica, and with it
//! the prefixes that it holds. For the same reason a request that was told to wait for longer than
//! it takes isn't counted: at full load that is nearly all of them. A failure counts as [`FAILED`] times the usual time.
//!
//! Grounds: replicas under the same load differ by up to a factor of two through their queues, so
//! that three times the median is none of that; with a quarter of the pool out, the others have a
//! third more to do, which they can do below 75% load.

use std::collections::HashMap;

use model::{Micros, TargetKey};

/// What counts as slow, and for how long a slow target is out.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Multiple of the median that is too slow; 3.
    pub slow: f64,
    /// Samples before a target is judged; 8.
    pub samples: u32,
    /// Weight of a new sample; 0.2.
    pub smooth: f64,
    /// Largest part of a pool that may be out; 0.25, and one target of a small pool.
    pub ejected: f64,
    /// First time out; 5 s.
    pub out: Micros,
    /// Longest time out; 5 min.
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

/// How many times the usual time a failure counts as.
pub const FAILED: f64 = 20.0;

/// How one request at a target went.
#[derive(Clone, Copy, Debug)]
pub enum Sample {
    /// It was answered.
    Answered {
        /// The wait that the target told.
        wait: Micros,
        /// Time to the first token, the wait left out.
        expected: Micros,
        /// Time to the first token.
        took: Micros,
    },
    /// The target failed.
    Failed,
}

/// Whether a target may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// Like any other.
    Normal,
    /// For one request, to see whether it has recovered.
    Trial,
    /// Not now.
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
        asked: bool,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    /// Averages of the times expected and taken, in microseconds.
    average: [f64; 2],
    samples: u32,
    state: State,
    /// Ejections in a row.
    strikes: u32,
}

/// The targets of one pool, as one entry has found them.
#[derive(Debug)]
pub struct Health {
    config: Config,
    records: HashMap<TargetKey, Record>,
}

impl Health {
    /// Knows nothing of any target.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            records: HashMap::new(),
        }
    }

    /// Follows other settings from now on.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// Whether a target may be used now.
    pub fn usable(&self, now: Micros, target: TargetKey) -> Use {
        match self.records.get(&target).map(|r| r.state) {
            None | Some(State::In) => Use::Normal,
            Some(State::Out { until }) if now < until => Use::Out,
            Some(State::Trial { asked: true, .. }) => Use::Out,
            Some(State::Out { .. } | State::Trial { .. }) => Use::Trial,
        }
    }

    /// Notes that a target on trial was given its request.
    pub fn tried(&mut self, now: Micros, target: TargetKey) {
        if let Some(record) = self.records.get_mut(&target) {
            record.state = match record.state {
                State::Out { until } if until <= now => State::Trial {
                    good: 0,
                    asked: true,
                },
                State::Trial { good, .. } => State::Trial { good, asked: true },
                state => state,
            };
        }
    }

    /// Notes that a request at a target ended without telling anything of the target.
    pub fn cancelled(&mut self, target: TargetKey) {
        if let Some(Record {
            state: State::Trial { asked, .. },
            ..
        }) = self.records.get_mut(&target)
        {
            *asked = false;
        }
    }

    /// Notes how a request went.
    pub fn measured(&mut self, now: Micros, target: TargetKey, sample: Sample) {
        let config = self.config;
        let slow = self.median(target).map(|m| m * config.slow);
        let room = self.room();
        let record = self.records.entry(target).or_default();
        // A long wait says how many went first, not how fast the target is.
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
            Sample::Failed => [usual, usual * FAILED],
        };
        record.add(new, config.smooth);
        let is_slow = |stretch: f64, times: f64| slow.is_some_and(|s| stretch > s * times);
        match record.state {
            State::In if record.samples < config.samples => {}
            State::In if is_slow(record.stretch(), 1.0) && room => eject(&config, record, now),
            // One request says less than an average, so that it takes more to fail a trial.
            State::Trial { .. } if is_slow(new[1] / new[0], 2.0) => eject(&config, record, now),
            State::Trial { good, .. } if good + 1 >= config.trials => restore(record),
            State::Trial { good, .. } => {
                record.state = State::Trial {
                    good: good + 1,
                    asked: false,
                }
            }
            // In and well for longer than it takes to be judged: earlier strikes are over.
            State::In if record.samples > 4 * config.samples => record.strikes = 0,
            State::In | State::Out { .. } => {}
        }
    }

    /// Forgets a target that is gone or has a new life.
    pub fn forget(&mut self, target: TargetKey) {
        self.records.remove(&target);
    }

    /// Targets that are out or on trial.
    pub fn ejected(&self) -> usize {
        let out = self.records.values();
        out.filter(|r| !matches!(r.state, State::In)).count()
    }

    /// The median stretch of the target's judged peers; none if there are fewer than two.
    fn median(&self, target: TargetKey) -> Option<f64> {
        let peers = self.records.iter().filter(|(t, _)| **t != target);
        let judged =
            peers.filter(|(_, r)| r.samples >= self.config.samples && matches!(r.state, State::In));
        let mut all: Vec<f64> = judged.map(|(_, r)| r.stretch()).collect();
        all.sort_by(f64::total_cmp);
        (all.len() >= 2).then(|| all[all.len() / 2])
    }

    fn room(&self) -> bool {
        let most = (self.records.len() as f64 * self.config.ejected) as usize;
        self.ejected() < most.max(1)
    }
}

fn eject(config: &Config, record: &mut Record, now: Micros) {
    let out = Micros(config.out.0 << record.strikes.min(16)).min(config.longest);
    record.state = State::Out { until: now + out };
    record.strikes += 1;
}

fn restore(record: &mut Record) {
    *record = Record {
        strikes: record.strikes,
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

    fn stretch(&self) -> f64 {
        self.average[1] / self.average[0].max(1.0)
    }
}
