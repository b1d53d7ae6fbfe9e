//! Refusing requests that crash the targets that run them.
//!
//! Load pattern: one request crashes, by its content, every engine that runs it, and its caller sends it
//! again. Each attempt costs a replica with its whole cache and cuts all streams on it. With retries such a
//! request takes a pool down in seconds, and neither latencies nor error rates show which request it was.
//!
//! Requests are identified by a fingerprint of their body. All requests that ran on a target when it crashed
//! become suspects, and further crashes of other incarnations convict a request ([`Config::strikes`]).
//! Requests that ran beside the culprit are suspects too, so suspects must not run beside one another: the
//! second crash then has only one suspect.
//!
//! A successful answer clears a request, since the culprit never gets one, and protects its content for a
//! while: content that many callers request all the time is in progress during every crash. If crashes
//! follow one another so closely that no answer was completed between them, such a request is convicted
//! nevertheless. A convicted request may therefore run again a few times, each time through one process
//! only, and is then cleared or stays convicted. A conviction ends after a while or when the weights change,
//! since other weights may not have the fault.
//!
//! At 21 failures of 1,180 hosts a day, two crashes of the same request coincide by chance about once a month,
//! even if each of 2,900 requests a second ran for a minute. Ten minutes are longer than common clients keep
//! retrying. Ten seconds of protection are enough: such content is requested every few seconds, or it would
//! not have been in progress during several crashes, and content that was good only under earlier weights
//! is protected no longer than that. A wrong conviction costs 15 s if the next retry succeeds, and a right
//! one costs three targets in ten minutes.

use std::collections::{HashMap, VecDeque};

use model::{Incarnation, MemberId, Micros};

/// Limits of strikes and convictions.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Number of crashes that convict a request.
    pub strikes: usize,
    /// How long a strike or conviction lasts.
    pub lasts: Micros,
    /// How long a successful answer protects its content from strikes.
    pub success_lasts: Micros,
    /// Maximum number of fingerprints kept; 4,096 take about 400 KB. The oldest are dropped first.
    pub kept: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            strikes: 2,
            lasts: Micros::from_secs(600),
            success_lasts: Micros::from_secs(10),
            kept: 4_096,
        }
    }
}

/// Hash of a request's content and of the weights that it is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fingerprint {
    /// Hash of the body.
    pub body: u128,
    /// Hash of the model and the version of its weights.
    pub weights: u64,
}

/// Crash of a target, with the same value for all requests that ran on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Crash {
    /// Target that crashed.
    pub member: MemberId,
    /// Incarnation that ended with the crash.
    pub incarnation: Incarnation,
}

/// How a request is to be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No crash is recorded for the request.
    Clear,
    /// The request ran when a target crashed: it may run, but not beside another suspect.
    Suspect,
    /// The request is refused.
    Convicted,
}

/// Times after a conviction at each of which one more retry is allowed.
const RETRY_AFTER: [Micros; 3] = [
    Micros::from_secs(15),
    Micros::from_secs(45),
    Micros::from_secs(105),
];

/// Crashes recorded for one fingerprint.
#[derive(Debug)]
struct Record {
    crashes: Vec<Crash>,
    until: Micros,
    /// When the request was convicted.
    convicted: Option<Micros>,
    /// Number of retries allowed since the conviction.
    retries: usize,
}

/// Rank of one process among several, in an order that is the same for all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessRank {
    /// Number of processes before this one.
    pub rank: usize,
    /// Total number of processes.
    pub total: usize,
}

/// Suspects and convicted requests that one process has recorded.
#[derive(Debug)]
pub struct Quarantine {
    config: Config,
    records: HashMap<Fingerprint, Record>,
    /// Expiry times of records in order of insertion; a renewed record has several entries.
    expiries: VecDeque<(Micros, Fingerprint)>,
    /// Until when successful answers protect their content.
    protected: HashMap<Fingerprint, Micros>,
    /// Successful answers in order of insertion; each answer to the same content has its own entry.
    successes: VecDeque<(Micros, Fingerprint)>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            records: HashMap::new(),
            expiries: VecDeque::new(),
            protected: HashMap::new(),
            successes: VecDeque::new(),
        }
    }

    /// Replaces the settings.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// Counts a crash against a request that ran on the target; the same crash counts once.
    pub fn strike(&mut self, now: Micros, fingerprint: Fingerprint, crash: Crash) -> Verdict {
        // Expired records are removed first, so that an old crash isn't counted together with this one.
        self.expire(now);
        if self.recently_succeeded(now, fingerprint) {
            return Verdict::Clear;
        }
        let until = now + self.config.lasts;
        let max = self.config.strikes;
        let record = self.records.entry(fingerprint).or_insert_with(|| Record {
            crashes: Vec::new(),
            until,
            convicted: None,
            retries: 0,
        });
        if !record.crashes.contains(&crash) && record.crashes.len() < max {
            record.crashes.push(crash);
            record.until = until;
            record.convicted = (record.crashes.len() >= max).then_some(now);
            self.expiries.push_back((until, fingerprint));
        }
        self.verdict(now, fingerprint)
    }

    /// Records a conviction by another process.
    pub fn convict(
        &mut self,
        now: Micros,
        fingerprint: Fingerprint,
        crashes: [Crash; 2],
        until: Micros,
    ) {
        let crashes = crashes.to_vec();
        let record = Record {
            crashes,
            until,
            convicted: Some(now),
            retries: 0,
        };
        self.records.insert(fingerprint, record);
        self.expiries.push_back((until, fingerprint));
    }

    /// Whether a convicted request may run once more through this process, which uses up the retry. Each retry
    /// is assigned to one process, so that several processes don't retry at the same time.
    pub fn take_retry(
        &mut self,
        now: Micros,
        fingerprint: Fingerprint,
        process: ProcessRank,
    ) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        let Some(convicted) = record.convicted else {
            return false;
        };
        let allowed = RETRY_AFTER
            .iter()
            .filter(|t| convicted + **t <= now)
            .count();
        let assigned = (fingerprint.body as usize).wrapping_add(allowed) % process.total.max(1);
        if allowed <= record.retries || assigned != process.rank {
            return false;
        }
        record.retries = allowed;
        true
    }

    /// Earliest time at which a convicted request may run again.
    pub fn next_retry(&self, now: Micros, fingerprint: Fingerprint) -> Option<Micros> {
        let record = self.records.get(&fingerprint)?;
        let convicted = record.convicted?;
        let retries = RETRY_AFTER.iter().map(|t| convicted + *t);
        retries.chain([record.until]).find(|at| *at > now)
    }

    /// Records a successful answer and clears the request; returns whether crashes were recorded for it.
    pub fn record_success(&mut self, now: Micros, fingerprint: Fingerprint) -> bool {
        let until = now + self.config.success_lasts;
        self.protected.insert(fingerprint, until);
        self.successes.push_back((until, fingerprint));
        while self.successes.len() > self.config.kept {
            let Some((until, fingerprint)) = self.successes.pop_front() else {
                break;
            };
            if self.protected.get(&fingerprint) == Some(&until) {
                self.protected.remove(&fingerprint);
            }
        }
        self.records.remove(&fingerprint).is_some()
    }

    /// Whether a recent successful answer protects a request from strikes.
    pub fn recently_succeeded(&self, now: Micros, fingerprint: Fingerprint) -> bool {
        self.protected
            .get(&fingerprint)
            .is_some_and(|until| *until > now)
    }

    /// Crashes recorded for a request, and when the record expires.
    pub fn crashes(&self, now: Micros, fingerprint: Fingerprint) -> Option<(&[Crash], Micros)> {
        let record = self.records.get(&fingerprint).filter(|r| r.until > now)?;
        Some((&record.crashes, record.until))
    }

    /// How a request is to be treated.
    pub fn verdict(&self, now: Micros, fingerprint: Fingerprint) -> Verdict {
        match self.records.get(&fingerprint) {
            Some(r) if r.until <= now => Verdict::Clear,
            Some(r) if r.crashes.len() >= self.config.strikes => Verdict::Convicted,
            Some(_) => Verdict::Suspect,
            None => Verdict::Clear,
        }
    }

    /// Convictions in force with their expiry, to be sent to other processes.
    pub fn convicted(&self, now: Micros) -> impl Iterator<Item = (Fingerprint, Micros)> + '_ {
        let in_force = move |r: &Record| r.until > now && r.crashes.len() >= self.config.strikes;
        let all = self.records.iter().filter(move |(_, r)| in_force(r));
        all.map(|(fingerprint, r)| (*fingerprint, r.until))
    }

    /// Drops the records of all weights that `weights` rejects.
    pub fn retain_weights(&mut self, weights: impl Fn(u64) -> bool) {
        self.records
            .retain(|fingerprint, _| weights(fingerprint.weights));
    }

    /// Number of fingerprints that are recorded.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no fingerprint is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn expire(&mut self, now: Micros) {
        let full = |q: &Self| q.records.len() >= q.config.kept;
        while let Some((until, fingerprint)) = self.expiries.front().copied() {
            if until > now && !full(self) {
                break;
            }
            self.expiries.pop_front();
            // A record that a later strike has renewed has a later entry in the queue as well.
            if self
                .records
                .get(&fingerprint)
                .is_some_and(|r| r.until == until)
            {
                self.records.remove(&fingerprint);
            }
        }
    }
}
