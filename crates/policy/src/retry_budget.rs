//! A pool's retry budget, shared by all entries without communication between them.
//!
//! Load pattern: a pool fails in part, all entries see it at once, and each retries its failed
//! requests. The pool's owner allows all entries together a ratio of the requests in any window, plus
//! a slack; retries beyond that turn a partial failure into a complete one.
//!
//! The ratio is additive: if each entry stays below the ratio of its own requests, all of them do
//! together, however unevenly requests are spread and however many entries there are. Only the
//! slack has to be divided by the number of entries in the membership list. Entries that are gone
//! remain in that list, which makes the shares smaller, never larger.
//!
//! If all callers come to one entry, its part of the slack is too small and the others' parts lie
//! idle. An entry that runs short therefore borrows from others. The lender does without the lent
//! retries until the latest use of one has left the window, so no window exceeds the budget, also if
//! the loan is lost on its way.
//!
//! A request that was never run can safely be refused, and its caller retries later. A request that
//! has run can't: a stream that was cut has to be resumed elsewhere at once or is lost. So part of the
//! budget is reserved for those. On 52 engines, of which 16 crashed at a time, three times in 7 s, the
//! budget without this reserve was spent on 581 attempts at addresses of crashed engines and 606 at
//! engines that were loading weights, and 998 streams found no retry left. The same part is kept from
//! requests that are only late at a target that works ([`crate::stall`]).
//!
//! Nine tenths of the ratio are used, since the owner's windows and an entry's own don't start at the
//! same moment, and four fifths of the slack, since the other entries don't know a new entry at first.

use std::collections::VecDeque;

use model::Micros;

/// The retries that the pool's owner allows.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries for all entries together.
    pub slack: f64,
    /// Number of known entries, including this one.
    pub entries: usize,
    /// Window in which requests and retries are counted.
    pub window: Micros,
}

/// Share of the ratio that is used.
const RATIO_USED: f64 = 0.9;
/// Share of the slack that is used.
const SLACK_USED: f64 = 0.8;

/// Share of the earned retries that is reserved for requests that have run.
const RESERVED: f64 = 0.5;

/// Time for which a borrowed retry may be used, from when it was asked for.
pub const LOAN_TERM: Micros = Micros::from_secs(2);
/// Time within which a loan has to arrive.
const LOAN_TIMEOUT: Micros = Micros::from_millis(500);
/// Time for which an entry borrows after a request has needed a retry.
const NEED_TIME: Micros = Micros::from_millis(300);
/// Shortest interval between two requests for loans.
const LOAN_INTERVAL: Micros = Micros::from_millis(100);
/// Retries left below which an entry borrows, unless its whole part is smaller.
const LOW_RETRIES: f64 = 4.0;
/// Retries that an entry asks of each other one.
const LOAN_SIZE: u32 = 4;

/// Why a request needs a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryReason {
    /// The request has not run anywhere.
    NotRun,
    /// The request has run, and its answer is missing or incomplete.
    HasRun,
    /// The request runs at a target that shows life, and is only late. Its retry is neither borrowed nor
    /// a reason to borrow.
    Late,
}

/// One entry's share of a pool's retry budget.
#[derive(Debug)]
pub struct Budget {
    config: Config,
    requests: VecDeque<Micros>,
    retries: VecDeque<Micros>,
    /// When lent retries are available again.
    lent: VecDeque<Micros>,
    /// Until when borrowed retries may be used.
    borrowed: VecDeque<Micros>,
    /// When loans were last asked for.
    asked_at: Option<Micros>,
    /// When a request last needed a retry.
    needed_at: Option<Micros>,
}

impl Budget {
    /// Creates a budget of which nothing is spent.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            lent: VecDeque::new(),
            borrowed: VecDeque::new(),
            asked_at: None,
            needed_at: None,
        }
    }

    /// Sets the number of known entries.
    pub fn set_entries(&mut self, entries: usize) {
        self.config.entries = entries;
    }

    /// Records a caller's request for the pool.
    pub fn record_request(&mut self, now: Micros) {
        self.requests.push_back(now);
        self.expire(now);
    }

    /// Spends a retry and returns true, if one is left for this reason.
    pub fn spend(&mut self, now: Micros, reason: RetryReason) -> bool {
        self.expire(now);
        if reason != RetryReason::Late {
            self.needed_at = Some(now);
        }
        if self.has_own(reason) {
            self.retries.push_back(now);
            return true;
        }
        reason != RetryReason::Late && self.borrowed.pop_front().is_some()
    }

    /// Whether a retry is left for this reason.
    pub fn allows(&self, reason: RetryReason) -> bool {
        self.has_own(reason) || reason != RetryReason::Late && !self.borrowed.is_empty()
    }

    fn has_own(&self, reason: RetryReason) -> bool {
        let reserved = match reason {
            RetryReason::HasRun => 0.0,
            RetryReason::NotRun | RetryReason::Late => self.earned() * RESERVED,
        };
        self.own_remaining() >= 1.0 + reserved
    }

    /// Retries left.
    pub fn remaining(&self) -> f64 {
        self.own_remaining() + self.borrowed.len() as f64
    }

    /// Number of retries to ask each of some other entries for, if this one runs short.
    pub fn ask(&mut self, now: Micros) -> Option<u32> {
        self.expire(now);
        let in_need = self.needed_at.is_some_and(|at| now.since(at) < NEED_TIME);
        let is_short = in_need && self.remaining() < LOW_RETRIES.min(self.slack());
        let asked = self
            .asked_at
            .is_some_and(|at| now.since(at) < LOAN_INTERVAL);
        if !is_short || asked || self.config.entries < 2 {
            return None;
        }
        self.asked_at = Some(now);
        Some(LOAN_SIZE)
    }

    /// Lends up to this number of retries to another entry; returns how many.
    pub fn lend(&mut self, now: Micros, wanted: u32) -> u32 {
        self.expire(now);
        let spent = (self.retries.len() as f64 - self.earned()).max(0.0);
        let left = self.slack() - self.lent.len() as f64 - spent;
        // Half of it is kept for callers that return.
        let lent = match left >= 1.0 {
            true => wanted.min((left / 2.0).ceil() as u32),
            false => 0,
        };
        let until = now + LOAN_TERM + self.config.window;
        self.lent.extend((0..lent).map(|_| until));
        lent
    }

    /// Adds retries that another entry has lent, if they were asked for recently.
    pub fn borrow(&mut self, now: Micros, lent: u32) {
        let asked_at = self.asked_at.filter(|at| now.since(*at) < LOAN_TIMEOUT);
        let lent = lent.min(LOAN_SIZE) as usize;
        if let Some(at) = asked_at {
            let term = std::iter::repeat_n(at + LOAN_TERM, lent);
            self.borrowed.extend(term);
        }
    }

    /// Retries left of this entry's own.
    fn own_remaining(&self) -> f64 {
        let used = self.retries.len() + self.lent.len();
        self.earned() + self.slack() - used as f64
    }

    /// This entry's part of the slack.
    fn slack(&self) -> f64 {
        self.config.slack * SLACK_USED / self.config.entries.max(1) as f64
    }

    /// Retries earned by the requests in the window.
    fn earned(&self) -> f64 {
        self.config.ratio * RATIO_USED * self.requests.len() as f64
    }

    /// Removes requests and retries older than the window.
    fn expire(&mut self, now: Micros) {
        let from = now - self.config.window;
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|t| *t < from) {
                times.pop_front();
            }
        }
        for ends in [&mut self.lent, &mut self.borrowed] {
            while ends.front().is_some_and(|t| *t <= now) {
                ends.pop_front();
            }
        }
    }
}
