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
//! A good answer clears what is held, since the culprit never gets one, and vouches for its content a
//! while: what many callers ask for all the time is under way in every crash. When crashes come so
//! close that nothing was answered between them, such a request is convicted all the same; so a convict
//! may run again a few times, once each through one process, to be cleared or stay convicted.
//! A conviction ends after a time, or with other weights, which may not have the fault.
//!
//! Grounds: at 21 failures of 1,180 hosts a day, two crashes of one request by chance come about
//! once a month even if each of 2,900 requests a second ran for a minute. Ten minutes outlast the
//! persistence of usual clients. What a good answer vouches for is asked for every few seconds, or it
//! wouldn't have been under way in several crashes; a content that was good under former weights is
//! protected no longer than that. A wrong conviction costs 15 s if the next try is answered, and a right
//! one three targets in ten minutes.

use std::collections::{HashMap, VecDeque};

use model::{Incarnation, MemberId, Micros};

/// How strikes are counted.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Crashes that convict; 2.
    pub strikes: usize,
    /// How long a strike or conviction lasts; 10 min.
    pub lasts: Micros,
    /// How long a good answer vouches for its content; 10 s.
    pub success_lasts: Micros,
    /// Most fingerprints kept; 4,096, some 400 KB. The oldest go first.
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
    pub incarnation: Incarnation,
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

/// Times after a conviction from which one more try is allowed.
const TRIES: [Micros; 3] = [
    Micros::from_secs(15),
    Micros::from_secs(45),
    Micros::from_secs(105),
];

#[derive(Debug)]
struct Record {
    crashes: Vec<Crash>,
    until: Micros,
    /// When the crashes became enough to convict.
    convicted: Option<Micros>,
    /// Tries allowed since then.
    tries: usize,
}

/// Which of some processes one is, by an order that all of them see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessRank {
    /// Processes before it.
    pub rank: usize,
    /// Processes in all.
    pub total: usize,
}

/// The suspects and convicted that one process knows of.
#[derive(Debug)]
pub struct Quarantine {
    config: Config,
    records: HashMap<Fingerprint, Record>,
    order: VecDeque<(Micros, Fingerprint)>,
    good: HashMap<Fingerprint, Micros>,
    /// Good answers in their order; a later one of the same content has its own place.
    goods: VecDeque<(Micros, Fingerprint)>,
}

impl Quarantine {
    /// Nothing is held against anyone.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            records: HashMap::new(),
            order: VecDeque::new(),
            good: HashMap::new(),
            goods: VecDeque::new(),
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
        if self.recently_succeeded(now, print) {
            return Verdict::Clear;
        }
        let until = now + self.config.lasts;
        let most = self.config.strikes;
        let record = self.records.entry(print).or_insert_with(|| Record {
            crashes: Vec::new(),
            until,
            convicted: None,
            tries: 0,
        });
        if !record.crashes.contains(&crash) && record.crashes.len() < most {
            record.crashes.push(crash);
            record.until = until;
            record.convicted = (record.crashes.len() >= most).then_some(now);
            self.order.push_back((until, print));
        }
        self.verdict(now, print)
    }

    /// Takes over a conviction that another process has reached.
    pub fn convict(&mut self, now: Micros, print: Fingerprint, crashes: [Crash; 2], until: Micros) {
        let crashes = crashes.to_vec();
        let record = Record {
            crashes,
            until,
            convicted: Some(now),
            tries: 0,
        };
        self.records.insert(print, record);
        self.order.push_back((until, print));
    }

    /// Whether a convicted request may run once more, through this process. Each of its few tries
    /// falls to one process, so that many don't try at one moment.
    pub fn take_retry(&mut self, now: Micros, print: Fingerprint, place: ProcessRank) -> bool {
        let Some(record) = self.records.get_mut(&print) else {
            return false;
        };
        let Some(convicted) = record.convicted else {
            return false;
        };
        let due = TRIES.iter().filter(|t| convicted + **t <= now).count();
        let whose = (print.body as usize).wrapping_add(due) % place.total.max(1);
        if due <= record.tries || whose != place.rank {
            return false;
        }
        record.tries = due;
        true
    }

    /// When a convicted request may run again at the earliest.
    pub fn next_retry(&self, now: Micros, print: Fingerprint) -> Option<Micros> {
        let record = self.records.get(&print)?;
        let convicted = record.convicted?;
        let tries = TRIES.iter().map(|t| convicted + *t);
        tries.chain([record.until]).find(|at| *at > now)
    }

    /// Notes a good answer and takes back what is held; true if there was anything.
    pub fn record_success(&mut self, now: Micros, print: Fingerprint) -> bool {
        let until = now + self.config.success_lasts;
        self.good.insert(print, until);
        self.goods.push_back((until, print));
        while self.goods.len() > self.config.kept {
            let Some((until, print)) = self.goods.pop_front() else {
                break;
            };
            if self.good.get(&print) == Some(&until) {
                self.good.remove(&print);
            }
        }
        self.records.remove(&print).is_some()
    }

    /// Whether a good answer vouches for a request.
    pub fn recently_succeeded(&self, now: Micros, print: Fingerprint) -> bool {
        self.good.get(&print).is_some_and(|until| *until > now)
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
