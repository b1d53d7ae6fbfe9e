//! Request rates that targets state in their answers, for all entries together.
//!
//! Load pattern: a target in need states how many requests a second it takes, while every entry
//! sends it several times that. Each entry alone stays within the rate, and all of them together
//! push the target over.
//!
//! A stated rate is a limit of the [`Limiter`], which also shares the limits of teams: each entry
//! has a copy of the target's token bucket and reports its use. The differences are in the
//! [`Config`]: a unit is a request, a bucket starts empty, and entries are staggered, since a rate
//! may be lower than the number of entries.
//!
//! Rates come and go with answers, which entries get at different times. The latest [`Statement`]
//! holds at all of them: an entry whose target states something else numbers it one higher than
//! the statement it knew and reports it. Of two with the same number the lower rate holds. An
//! answer to a request that was sent before the known statement was received may be older than
//! that statement; it can lower a rate, but not raise or end it.

use std::collections::HashMap;
use std::net::SocketAddr;

use model::Micros;

use crate::limit::{self, Limit, LimitKey, Limiter};

/// Time for which a changed statement is repeated in reports.
const REPEAT: Micros = Micros::from_secs(2);
/// Interval at which a changed statement is repeated.
const REPEAT_INTERVAL: Micros = Micros::from_millis(250);
/// Time for which a statement is kept although its target isn't listed, as it may not be yet.
const LISTING_DELAY: Micros = Micros::from_secs(30);
/// Maximum number of statements in one report, which has to fit into a datagram.
const MAX_STATEMENTS: usize = 10;

/// How closely stated rates are kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Window in which requests are counted; 4 s.
    pub window: Micros,
    /// Share of a rate by which the requests of a window may exceed it; 0.5.
    pub overage: f64,
    /// Requests by which a window may exceed a rate in addition; 5.
    pub slack: f64,
    /// Requests a second that a target gets at least, since only its answers show that its limit
    /// has changed; 0.5.
    pub min_rate: f64,
    /// Longest interval between two reports; 500 ms.
    pub beat: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            window: Micros::from_secs(4),
            overage: 0.5,
            slack: 5.0,
            min_rate: 0.5,
            beat: Micros::from_millis(500),
        }
    }
}

/// What a target states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// Hash of the target's incarnation.
    pub key: LimitKey,
    /// Requests per second from all entries; `None` if it takes any number.
    pub rate: Option<f64>,
    /// Number of statements of this target before this one.
    pub number: u64,
}

impl Statement {
    /// Whether this statement replaces another one of the same target.
    fn replaces(&self, other: &Self) -> bool {
        let rate = |s: &Self| s.rate.unwrap_or(f64::INFINITY);
        match self.number.cmp(&other.number) {
            std::cmp::Ordering::Equal => rate(self) < rate(other),
            order => order.is_gt(),
        }
    }
}

/// What one entry reports to the others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests to targets with a limit.
    pub usage: limit::Report,
    /// Statements that have changed, and one of the others in turn.
    pub statements: Vec<Statement>,
}

/// A statement and when it was received.
#[derive(Clone, Copy, Debug)]
struct Known {
    statement: Statement,
    received_at: Micros,
    /// Whether this entry received it from the target.
    own: bool,
}

/// The stated rates of all targets at one entry.
#[derive(Debug)]
pub struct TargetLimits {
    config: Config,
    limiter: Limiter,
    known: HashMap<LimitKey, Known>,
    repeated_at: Micros,
    /// Number of the statement that the next report repeats.
    turn: usize,
}

impl TargetLimits {
    /// Creates the state of an entry that has received nothing yet. `process` is a random number.
    pub fn new(now: Micros, config: Config, process: u64) -> Self {
        let shared = limit::Config {
            window: config.window,
            overage: config.overage,
            slack: config.slack,
            beat: config.beat,
            fast_beat: config.beat,
            staggered: true,
        };
        Self {
            config,
            limiter: Limiter::new(now, shared, process),
            known: HashMap::new(),
            repeated_at: now,
            turn: 0,
        }
    }

    /// Sets the other entries. Returns a report for those that weren't known before, so that they
    /// answer with what they know.
    pub fn set_peers(
        &mut self,
        now: Micros,
        peers: impl IntoIterator<Item = SocketAddr>,
    ) -> (Report, Vec<SocketAddr>) {
        let new = self.limiter.set_peers(now, peers);
        (
            self.with_statements(self.limiter.empty_report(now), &[]),
            new,
        )
    }

    /// Drops the statements of targets that have left the list.
    pub fn retain(&mut self, now: Micros, is_listed: impl Fn(LimitKey) -> bool) {
        let limiter = &mut self.limiter;
        self.known.retain(|key, known| {
            let kept = is_listed(*key) || now.since(known.received_at) < LISTING_DELAY;
            if !kept {
                limiter.remove_limit(*key);
            }
            kept
        });
    }

    /// Records what a target states in an answer to a request that was sent at `sent_at`. Returns
    /// whether that is new.
    pub fn observe(
        &mut self,
        now: Micros,
        key: LimitKey,
        rate: Option<f64>,
        sent_at: Micros,
    ) -> bool {
        let known = self.known.get(&key).copied();
        let known_rate = known.and_then(|k| k.statement.rate);
        let lowers = rate.is_some_and(|r| known_rate.is_none_or(|k| r < k));
        let may_be_older = known.is_some_and(|k| sent_at < k.received_at);
        if rate == known_rate || (may_be_older && !lowers) {
            return false;
        }
        let number = known.map_or(1, |k| k.statement.number + 1);
        self.adopt(now, Statement { key, rate, number }, true);
        true
    }

    /// Whether a target may get a request now.
    pub fn admits(&mut self, now: Micros, key: LimitKey) -> bool {
        self.limiter.admits(now, key)
    }

    /// Counts a request to a target that admits it; returns whether the target has a limit.
    pub fn record_send(&mut self, now: Micros, key: LimitKey) -> bool {
        self.limiter.spend(now, key, 1)
    }

    /// Returns the unit of a request that hasn't reached its target.
    pub fn give_back(&mut self, now: Micros, key: LimitKey) {
        self.limiter.give_back(now, key, 1);
    }

    /// Time until a request to the target would pass. `time_left` is how long its caller waits.
    pub fn wait(&mut self, now: Micros, key: LimitKey, time_left: Micros) -> Micros {
        self.limiter.wait(now, key, time_left)
    }

    /// Number of targets with a limit.
    pub fn limited(&self) -> usize {
        let rates = self.known.values().filter(|k| k.statement.rate.is_some());
        rates.count()
    }

    /// The reports that are due now, for all peers.
    pub fn poll(&mut self, now: Micros) -> Vec<Report> {
        let changed = self.changed(now);
        let due = !changed.is_empty() && now.since(self.repeated_at) >= REPEAT_INTERVAL;
        let mut usage = self.limiter.poll(now);
        if usage.is_empty() && due {
            usage.push(self.limiter.empty_report(now));
        }
        if usage.is_empty() {
            return Vec::new();
        }
        self.repeated_at = now;
        let mut statements = changed;
        statements.extend(self.next_in_turn());
        self.with_chunks(now, usage, &statements)
    }

    /// Receives a report; returns the statements that are new, and reports for its sender alone.
    pub fn receive(
        &mut self,
        now: Micros,
        from: SocketAddr,
        report: &Report,
    ) -> (Vec<Statement>, Vec<Report>) {
        let replaces = |s: &&Statement| {
            let known = self.known.get(&s.key);
            known.is_none_or(|k| s.replaces(&k.statement))
        };
        let new: Vec<_> = report.statements.iter().filter(replaces).copied().collect();
        new.iter().for_each(|s| self.adopt(now, *s, false));
        let usage = self.limiter.receive(now, from, &report.usage);
        if usage.is_empty() || self.known.is_empty() {
            return (new, Vec::new());
        }
        let all: Vec<_> = self.known.values().map(|k| k.statement).collect();
        (new, self.with_chunks(now, usage, &all))
    }

    fn adopt(&mut self, now: Micros, statement: Statement, own: bool) {
        let key = statement.key;
        match statement.rate {
            Some(rate) => {
                let limit = Limit {
                    rate: rate.max(self.config.min_rate),
                    burst: 0.0,
                };
                self.limiter.start_limit(now, key, limit);
            }
            None => self.limiter.remove_limit(key),
        }
        let received_at = now;
        self.known.insert(
            key,
            Known {
                statement,
                received_at,
                own,
            },
        );
        // The next report is due at once.
        self.repeated_at = now - REPEAT_INTERVAL;
    }

    /// Statements that this entry has lately received from their targets.
    fn changed(&self, now: Micros) -> Vec<Statement> {
        let recent = |k: &&Known| k.own && now.since(k.received_at) < REPEAT;
        let changed = self.known.values().filter(recent);
        changed.map(|k| k.statement).collect()
    }

    /// One of the known statements, another one each time.
    fn next_in_turn(&mut self) -> Option<Statement> {
        self.turn += 1;
        let place = self.turn.checked_rem(self.known.len())?;
        self.known.values().nth(place).map(|k| k.statement)
    }

    /// Adds statements to reports, and as many reports as they need.
    fn with_chunks(
        &self,
        now: Micros,
        usage: Vec<limit::Report>,
        statements: &[Statement],
    ) -> Vec<Report> {
        let mut chunks = statements.chunks(MAX_STATEMENTS);
        let mut reports: Vec<_> = usage
            .into_iter()
            .map(|u| self.with_statements(u, chunks.next().unwrap_or_default()))
            .collect();
        let rest = chunks.map(|c| self.with_statements(self.limiter.empty_report(now), c));
        reports.extend(rest);
        reports
    }

    fn with_statements(&self, usage: limit::Report, statements: &[Statement]) -> Report {
        Report {
            usage,
            statements: statements.to_vec(),
        }
    }
}
