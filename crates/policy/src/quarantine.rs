//! Refusing a request that crashes the targets that run it.
//!
//! Load pattern: one request, by its content, crashes whatever engine runs it, and its caller
//! sends it again. Each round costs a replica with all its cache and cuts every stream on it. With
//! retries it takes the pool down in seconds, and nothing in latencies or error rates shows which
//! request it was.
//!
//! Requests are known by a fingerprint of their body. All that ran on a target when it crashed are
//! suspects; a second crash of another life convicts. Neighbours of the culprit are suspects too,
//! so that suspects must not run beside one another: then the second crash has one suspect only.
//! A conviction ends after a time, or with other weights, which may not have the fault.
//!
//! Grounds: at 21 failures of 1,180 hosts a day, two crashes of one request by chance come about
//! once a month even if each of 2,900 requests a second ran for a minute. Ten minutes outlast the
//! persistence of usual clients and bound the harm of a wrong conviction.

use std::collections::{HashMap, VecDeque};

use model::{Incarnation, MemberId, Micros};

/// How strikes are counted.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Crashes that convict; 2.
    pub strikes: usize,
    /// How long a strike or conviction lasts; 10 min.
    pub lasts: Micros,
    /// Most fingerprints kept; 4,096, some 400 KB. The oldest go first.
    pub kept: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            strikes: 2,
            lasts: Micros::from_secs(600),
            kept: 4_096,
        }
    }
}

/// A request's content and the weights it is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fingerprint {
    /// Hash of the body.
    pub body: u128,
    /// Hash of the model and the version of its weights.
    pub weights: u64,
}

/// A crash of a target, the same for all that ran on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Crash {
    /// Where.
    pub member: MemberId,
    /// The life that ended.
    pub life: Incarnation,
}

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is held against it.
    Clear,
    /// It ran when a target crashed: it may run, but not beside another suspect.
    Suspect,
    /// It is refused.
    Convicted,
}

#[derive(Debug)]
struct Record {
    crashes: Vec<Crash>,
    until: Micros,
}

/// The suspects and convicted that one process knows of.
#[derive(Debug)]
pub struct Quarantine {
    config: Config,
    records: HashMap<Fingerprint, Record>,
    order: VecDeque<(Micros, Fingerprint)>,
}

impl Quarantine {
    /// Nothing is held against anyone.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            records: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Follows other settings from now on.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// Counts a crash against a request that ran there; the same crash counts once.
    pub fn strike(&mut self, now: Micros, print: Fingerprint, crash: Crash) -> Verdict {
        // First, so that a crash of long ago doesn't count beside this one.
        self.expire(now);
        let until = now + self.config.lasts;
        let most = self.config.strikes;
        let record = self.records.entry(print).or_insert_with(|| Record {
            crashes: Vec::new(),
            until,
        });
        if !record.crashes.contains(&crash) && record.crashes.len() < most {
            record.crashes.push(crash);
            record.until = until;
            self.order.push_back((until, print));
        }
        self.verdict(now, print)
    }

    /// Takes over a conviction that another process has reached.
    pub fn convict(&mut self, print: Fingerprint, crashes: [Crash; 2], until: Micros) {
        let crashes = crashes.to_vec();
        self.records.insert(print, Record { crashes, until });
        self.order.push_back((until, print));
    }

    /// Takes back what is held against a suspect that was answered well; true if there was anything.
    /// What is convicted doesn't run any more, so that nothing it did later can clear it.
    pub fn clear(&mut self, now: Micros, print: Fingerprint) -> bool {
        match self.verdict(now, print) {
            Verdict::Suspect => self.records.remove(&print).is_some(),
            Verdict::Clear | Verdict::Convicted => false,
        }
    }

    /// The crashes that are held against a request, and until when.
    pub fn crashes(&self, now: Micros, print: Fingerprint) -> Option<(&[Crash], Micros)> {
        let record = self.records.get(&print).filter(|r| r.until > now)?;
        Some((&record.crashes, record.until))
    }

    /// What is to be done with a request.
    pub fn verdict(&self, now: Micros, print: Fingerprint) -> Verdict {
        match self.records.get(&print) {
            Some(r) if r.until <= now => Verdict::Clear,
            Some(r) if r.crashes.len() >= self.config.strikes => Verdict::Convicted,
            Some(_) => Verdict::Suspect,
            None => Verdict::Clear,
        }
    }

    /// The convictions in force, for other processes.
    pub fn convicted(&self, now: Micros) -> impl Iterator<Item = (Fingerprint, Micros)> + '_ {
        let in_force = move |r: &Record| r.until > now && r.crashes.len() >= self.config.strikes;
        let all = self.records.iter().filter(move |(_, r)| in_force(r));
        all.map(|(print, r)| (*print, r.until))
    }

    /// Forgets everything about other weights than these.
    pub fn retain_weights(&mut self, weights: impl Fn(u64) -> bool) {
        self.records.retain(|print, _| weights(print.weights));
    }

    /// Fingerprints kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn expire(&mut self, now: Micros) {
        let full = |q: &Self| q.records.len() >= q.config.kept;
        while let Some((until, print)) = self.order.front().copied() {
            if until > now && !full(self) {
                break;
            }
            self.order.pop_front();
            // A later strike has renewed the record and has its own place in the order.
            if self.records.get(&print).is_some_and(|r| r.until == until) {
                self.records.remove(&print);
            }
        }
    }
}
