//! Prompt parts that crash the targets that write an answer on them.
//!
//! Load pattern: one part of a prompt crashes every engine that begins to write an answer on it, and
//! no two requests with that part are alike, so no request is seen twice ([`crate::quarantine`]). They
//! come through all entries. Each costs an engine with all streams on it, and all other parts of its
//! prompt, and those of all requests that ran beside it, are parts of harmless requests too.
//!
//! Evidence is therefore kept per part (`evidence`) and over all entries: in which crashes it was
//! running, and when an answer to a prompt with it was last complete. The cause of the crashes never
//! gets a complete answer, whereas harmless parts in regular use get one within moments. A part that
//! never got one is convicted after a few crashes. For a part that did, crashes count only one after
//! another, each of a request sent after the one before, and only if answers to other prompts are
//! complete meanwhile; so a pool that fails as a whole convicts none of its parts.
//!
//! An entry reports each crash with the parts that it had running there, but no answers, since almost
//! all are complete. Instead, it proposes a conviction first, and entries that know of an answer
//! object. A conviction is sent to all entries, repeated, sent in reply to reports of crashes with its
//! part, and sent to each entry that starts.
//!
//! A convicted part may be wrong by chance, so a few requests with it are let through as trials, in
//! all three by all entries together: the number is claimed in the platform's store, as messages can
//! be lost and entries end. The conviction ends with a complete answer, or when no request has asked
//! for the part for some time.

mod conviction;
mod evidence;
mod exchange;
mod message;
mod outbox;

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use model::Micros;

use crate::quarantine::{Crash, ProcessRank};
use conviction::Conviction;
pub use conviction::{Claim, ClaimOutcome, TRIALS};
use evidence::Evidence;
pub use message::{ConvictedPart, CrashReport, Message, RunningPart};
use outbox::{Item, Outbox};

/// Interval at which [`CrashingParts::poll`] has to be called.
pub const POLL_INTERVAL: Micros = Micros::from_millis(25);
/// Maximum number of parts in a message, which has to fit into a datagram.
pub const MAX_PARTS: usize = 40;
/// Interval after which a part that is still in use moves to the end of the expiry order.
const RENEWAL_INTERVAL: Micros = Micros::from_secs(10);

/// Key of a prompt part: a hash of the model and of the part's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartKey(pub u64);

/// When a part is convicted, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Crashes that convict a part without a complete answer; 3.
    pub crashes: usize,
    /// Crashes one after another that convict a part with a recent complete answer; 4.
    pub in_row: usize,
    /// The same for a part whose last answer was longer before the first crash than `recent`; 3.
    pub in_row_later: usize,
    /// How long before the first crash an answer is recent; 3 s.
    pub recent: Micros,
    /// Complete answers to other prompts meanwhile; 5.
    pub others: u64,
    /// How long evidence and convictions last without a request for the part; 600 s.
    pub lasts: Micros,
    /// How long a proposed conviction waits for objections; 150 ms.
    pub objection: Micros,
    /// Time from the conviction to the first trial, and from each trial to the next.
    pub trials: [Micros; TRIALS as usize],
    /// Maximum number of parts kept, each about 120 bytes; 8,192. The longest unused go first.
    pub kept: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            crashes: 3,
            in_row: 4,
            in_row_later: 3,
            recent: Micros::from_secs(3),
            others: 5,
            lasts: Micros::from_secs(600),
            objection: Micros::from_millis(150),
            trials: [10, 40, 120].map(Micros::from_secs),
            kept: 8_192,
        }
    }
}

/// Whether a request may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// None of its parts is convicted.
    Clear,
    /// It is a trial.
    Trial,
    /// It has a convicted part.
    Refused {
        /// Time until a request with that part may be let through.
        wait: Micros,
        /// Trials to claim in the store; [`CrashingParts::record_claim`] takes each outcome.
        claims: Vec<Claim>,
    },
}

/// A change of a part's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The part.
    pub part: PartKey,
    /// Whether the part is convicted now, or cleared.
    pub convicted: bool,
    /// Crashes counted.
    pub crashes: usize,
    /// Whether this entry has decided that itself.
    pub own: bool,
}

/// State of a part.
#[derive(Debug, Default)]
struct State {
    evidence: Evidence,
    /// When a conviction was proposed.
    proposed: Option<Micros>,
    conviction: Option<Box<Conviction>>,
    /// Time of the last request or answer with the part.
    used: Micros,
}

/// Evidence on all parts at one entry.
#[derive(Debug)]
pub struct CrashingParts {
    config: Config,
    started: Micros,
    parts: HashMap<PartKey, State>,
    /// Parts in the order in which they expire, with the time of their use that put them there.
    order: VecDeque<(Micros, PartKey)>,
    convicted: HashSet<PartKey>,
    proposed: HashSet<PartKey>,
    /// Number of complete answers to prompts.
    answers: u64,
    peers: HashSet<SocketAddr>,
    outbox: Outbox,
    changes: Vec<Change>,
    asked_at: Option<Micros>,
    synced_at: Option<Micros>,
}

impl CrashingParts {
    /// Creates the state of an entry that has received nothing yet.
    pub fn new(now: Micros, config: Config) -> Self {
        Self {
            config,
            started: now,
            parts: HashMap::new(),
            order: VecDeque::new(),
            convicted: HashSet::new(),
            proposed: HashSet::new(),
            answers: 0,
            peers: HashSet::new(),
            outbox: Outbox::default(),
            changes: Vec::new(),
            asked_at: None,
            synced_at: None,
        }
    }

    /// Records a crash that this entry has seen, with the prompt parts of its broken answers.
    pub fn record_crash(&mut self, now: Micros, report: CrashReport) {
        self.count_crash(now, &report);
        self.outbox.push(now, Item::Crash(report, now));
    }

    /// Records a complete answer to a prompt with these parts.
    pub fn record_answer(&mut self, now: Micros, parts: impl IntoIterator<Item = PartKey>) {
        self.answers += 1;
        for part in parts {
            if self.clear(now, part, now, true) {
                self.outbox.push(now, Item::Answered(part));
            }
        }
    }

    /// Whether a request with these parts may be sent now. Uses up a trial that is waiting for it.
    pub fn admit(&mut self, now: Micros, parts: &[PartKey], process: ProcessRank) -> Admission {
        let is_convicted = |p: &PartKey| self.convicted.contains(p);
        let convicted: Vec<_> = parts.iter().copied().filter(is_convicted).collect();
        if convicted.is_empty() {
            return Admission::Clear;
        }
        convicted.iter().for_each(|p| self.touch(now, *p));
        let is_granted = |p: &PartKey| self.conviction(*p).is_some_and(|c| c.is_granted(now));
        if convicted.iter().all(is_granted) {
            for part in convicted {
                if let Some(c) = self.conviction_mut(part) {
                    c.granted = None;
                }
            }
            return Admission::Trial;
        }
        let waits = convicted.iter().map(|p| self.wait(now, *p));
        let wait = waits.max().unwrap_or_default();
        let claims = self.claim(now, &convicted, process);
        Admission::Refused { wait, claims }
    }

    /// The trials that this entry claims for a request with these convicted parts, if they are due. One
    /// entry claims those of all parts, since a request needs all of them.
    fn claim(&mut self, now: Micros, parts: &[PartKey], process: ProcessRank) -> Vec<Claim> {
        let Some((lead, trials)) = parts
            .iter()
            .filter_map(|p| Some((*p, self.conviction(*p)?.trials)))
            .min()
        else {
            return Vec::new();
        };
        let total = process.total.max(1);
        let assigned = (lead.0 as usize).wrapping_add(trials as usize) % total;
        let turn = (process.rank + total - assigned) % total;
        let discerns = parts.len() < self.convicted.len() || parts.len() == 1;
        let may_claim = |p: &PartKey| {
            let conviction = self.conviction(*p);
            conviction.is_some_and(|c| c.may_claim(now, discerns, turn))
        };
        if !parts.iter().all(may_claim) {
            return Vec::new();
        }
        let claims = parts
            .iter()
            .filter_map(|p| self.conviction_mut(*p)?.claim(now, *p));
        claims.collect()
    }

    /// Lets the trials of these parts wait for another request, as theirs was sent to no target.
    pub fn return_trial(&mut self, now: Micros, parts: &[PartKey]) {
        for part in parts {
            if let Some(c) = self.conviction_mut(*part) {
                c.return_trial(now);
            }
        }
    }

    /// Whether any of these parts is convicted.
    pub fn is_convicted(&self, parts: &[PartKey]) -> bool {
        parts.iter().any(|p| self.convicted.contains(p))
    }

    /// Records the outcome of claiming a trial.
    pub fn record_claim(&mut self, now: Micros, claim: Claim, outcome: ClaimOutcome) {
        let delays = self.config.trials;
        if let Some(c) = self.conviction_mut(claim.part) {
            c.record_claim(now, claim, outcome, &delays);
        }
        if outcome == ClaimOutcome::Claimed {
            self.outbox.push(now, Item::Convicted(claim.part));
        }
    }

    /// Restores a conviction that the store has kept.
    pub fn restore(&mut self, now: Micros, part: PartKey, trials: u32) {
        self.adopt(now, part, now, trials, false);
    }

    /// Whether [`Self::poll`] has to be called again soon.
    pub fn has_pending(&self) -> bool {
        !self.outbox.is_empty() || !self.proposed.is_empty()
    }

    /// Changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Number of convicted parts.
    pub fn convicted(&self) -> usize {
        self.convicted.len()
    }

    /// Number of parts with evidence.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    fn conviction(&self, part: PartKey) -> Option<&Conviction> {
        self.parts.get(&part)?.conviction.as_deref()
    }

    fn conviction_mut(&mut self, part: PartKey) -> Option<&mut Conviction> {
        self.parts.get_mut(&part)?.conviction.as_deref_mut()
    }

    /// State of a part, which is in use.
    fn touch(&mut self, now: Micros, part: PartKey) {
        let state = self.parts.entry(part).or_insert_with(|| {
            self.order.push_back((now, part));
            State::default()
        });
        state.used = now;
    }

    /// Counts a crash against the parts that were running.
    fn count_crash(&mut self, now: Micros, report: &CrashReport) {
        let at = now - report.age;
        for running in &report.parts {
            self.touch(now, running.part);
            let answers = self.answers;
            if let Some(state) = self.parts.get_mut(&running.part) {
                let sent = now - running.sent;
                state.evidence.count(report.crash, sent, at, answers);
            }
        }
        let parts: Vec<_> = report.parts.iter().map(|r| r.part).collect();
        for part in parts {
            if self.suffices(part) {
                self.propose(now, part);
            }
        }
    }

    /// Whether the evidence convicts a part that isn't convicted. Crashes of parts that are count
    /// against no other.
    fn suffices(&self, part: PartKey) -> bool {
        let Some(state) = self.parts.get(&part) else {
            return false;
        };
        let explained = |crash: Crash| {
            let convicted = self.convicted.iter().filter_map(|p| self.parts.get(p));
            let mut evidence = convicted.map(|s| &s.evidence);
            evidence.any(|e| e.contains(crash))
        };
        let suffices = state
            .evidence
            .suffices(&self.config, self.answers, explained);
        state.conviction.is_none() && suffices
    }

    fn propose(&mut self, now: Micros, part: PartKey) {
        let Some(state) = self.parts.get_mut(&part) else {
            return;
        };
        if state.proposed.is_none() {
            state.proposed = Some(now);
            self.proposed.insert(part);
            self.outbox.push(now, Item::Proposed(part));
        }
    }

    /// Convicts the proposed parts whose time for objections has passed.
    fn decide(&mut self, now: Micros) {
        let objection = self.config.objection;
        let is_due = |p: &&PartKey| {
            let proposed = self.parts.get(p).and_then(|s| s.proposed);
            proposed.is_none_or(|at| now.since(at) >= objection)
        };
        let due: Vec<_> = self.proposed.iter().filter(is_due).copied().collect();
        // All are judged before any is convicted, since they may have the same crashes.
        let (guilty, rest): (Vec<_>, Vec<_>) = due.iter().partition(|p| self.suffices(**p));
        for part in rest.iter().chain(&guilty) {
            self.proposed.remove(part);
            if let Some(state) = self.parts.get_mut(part) {
                state.proposed = None;
            }
        }
        for part in &guilty {
            let Some(first) = self.parts.get(part).and_then(|s| s.evidence.first()) else {
                continue;
            };
            self.adopt(now, *part, first, 0, true);
            if let Some(c) = self.conviction_mut(*part).filter(|_| guilty.len() > 1) {
                c.ambiguous = true;
            }
            self.outbox.push(now, Item::Convicted(*part));
        }
    }

    /// Puts a conviction in force, or takes over its trials if it is.
    fn adopt(&mut self, now: Micros, part: PartKey, first: Micros, trials: u32, own: bool) {
        let delays = self.config.trials;
        self.touch(now, part);
        let Some(state) = self.parts.get_mut(&part) else {
            return;
        };
        let crashes = state.evidence.crashes();
        match &mut state.conviction {
            Some(c) if c.trials < trials => c.set_trials(now, trials, &delays),
            Some(_) => {}
            None => {
                let conviction = Conviction::new(now, first, trials, &delays);
                state.conviction = Some(Box::new(conviction));
                self.convicted.insert(part);
                self.changes.push(Change {
                    part,
                    convicted: true,
                    crashes,
                    own,
                });
            }
        }
    }

    /// Records a complete answer at a time, which ends a conviction for crashes before it. Returns
    /// whether it did.
    fn clear(&mut self, now: Micros, part: PartKey, at: Micros, own: bool) -> bool {
        self.touch(now, part);
        let Some(state) = self.parts.get_mut(&part) else {
            return false;
        };
        state.evidence.record_answer(at);
        let is_cleared = state.conviction.as_ref().is_some_and(|c| c.first <= at);
        if !is_cleared {
            return false;
        }
        state.conviction = None;
        state.evidence.clear();
        self.convicted.remove(&part);
        self.changes.push(Change {
            part,
            convicted: false,
            crashes: 0,
            own,
        });
        true
    }

    /// Time until a trial of a part may begin, or until its conviction ends.
    fn wait(&self, now: Micros, part: PartKey) -> Micros {
        let Some(state) = self.parts.get(&part) else {
            return Micros::ZERO;
        };
        let end = state.used + self.config.lasts;
        let next = state
            .conviction
            .as_ref()
            .filter(|c| c.trials < TRIALS)
            .map_or(end, |c| c.next_trial);
        next.since(now)
    }

    /// Drops parts without a recent request, and the longest unused ones of too many.
    fn expire(&mut self, now: Micros) {
        while let Some((at, part)) = self.order.front().copied() {
            let full = self.parts.len() > self.config.kept;
            if !full && now.since(at) < self.config.lasts {
                return;
            }
            self.order.pop_front();
            let Some(state) = self.parts.get(&part) else {
                continue;
            };
            let in_use = now.since(state.used) < self.config.lasts;
            let is_kept = !full || state.conviction.is_some();
            if in_use && (is_kept || state.used.since(at) >= RENEWAL_INTERVAL) {
                self.order.push_back((state.used.max(at), part));
                if full && self.convicted.len() >= self.config.kept {
                    return;
                }
                continue;
            }
            self.parts.remove(&part);
            self.proposed.remove(&part);
            if self.convicted.remove(&part) {
                self.changes.push(Change {
                    part,
                    convicted: false,
                    crashes: 0,
                    own: false,
                });
            }
        }
    }
}
