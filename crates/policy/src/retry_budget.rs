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
//! A request that was never run can safely be refused, and its caller retries later. A request that
//! has run can't: a stream that was cut has to be resumed elsewhere at once or is lost. So part of the
//! budget is reserved for those. On 52 engines, of which 16 crashed at a time, three times in 7 s, the
//! budget without this reserve was spent on 581 attempts at addresses of crashed engines and 606 at
//! engines that were loading weights, and 998 streams found no retry left.
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

/// Why a request needs a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryReason {
    /// The request has not run anywhere.
    NotRun,
    /// The request has run, and its answer is missing or incomplete.
    HasRun,
}

/// One entry's share of a pool's retry budget.
#[derive(Debug)]
pub struct Budget {
    config: Config,
    requests: VecDeque<Micros>,
    retries: VecDeque<Micros>,
}

impl Budget {
    /// Creates a budget of which nothing is spent.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
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
        let reserved = match reason {
            RetryReason::HasRun => 0.0,
            RetryReason::NotRun => self.earned() * RESERVED,
        };
        let allowed = self.remaining() >= 1.0 + reserved;
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    /// Retries left.
    pub fn remaining(&self) -> f64 {
        let slack = self.config.slack * SLACK_USED / self.config.entries.max(1) as f64;
        self.earned() + slack - self.retries.len() as f64
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
    }
}
