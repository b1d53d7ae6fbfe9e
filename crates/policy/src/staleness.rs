//! When a process checks its copy of a table that it follows by a held call.
//!
//! Load pattern: a process follows a table by one call that the store holds until the table changes. If the
//! connection of that call falls silent, its end is the first sign of it, and until then a change is missing.
//! Calls held for a second or two would show it in time, at ten times the number of calls.
//!
//! Each process therefore knows until when its copy is confirmed: it was read, a held call has ended, or
//! another process has read the table's changes and sent the position up to which there are any. A copy
//! without a confirmation for [`Config::max_age`] is checked by a short read on a new connection. The process
//! that has checked last does so first, and the others a little later, by a random time, if nothing was
//! received from it; so the number of checks doesn't grow with the number of processes, and needs no election.
//!
//! A process that receives a position above its own checks too, unless the change arrives within
//! [`Config::grace`]. That alone suffices for a table to which only the processes themselves write, since the
//! writer sends its position.

use model::{Micros, Position};

/// When a copy is checked.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Age of the last confirmation from which a copy is checked; 1.4 s. `None` if only positions of other
    /// processes lead to a check.
    pub max_age: Option<Micros>,
    /// How much later a process checks that hasn't checked last, besides the time that the last check took;
    /// 100 ms.
    pub lead: Micros,
    /// Time over which those processes spread their checks; 150 ms.
    pub spread: Micros,
    /// How long a change may be on its way after another process has received it; 100 ms.
    pub grace: Micros,
    /// Time from the start of a failed check to the next one; 2 s.
    pub retry: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_age: Some(Micros::from_millis(1_400)),
            lead: Micros::from_millis(100),
            spread: Micros::from_millis(150),
            grace: Micros::from_millis(100),
            retry: Micros::from_millis(2_000),
        }
    }
}

/// What another process knows of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Position of the newest row.
    pub position: Position,
    /// Time since the copy was last confirmed.
    pub age: Micros,
    /// Rank of the process, which decides between several that have checked last.
    pub rank: u64,
    /// Whether the process has checked last.
    pub checked: bool,
}

/// Changes that other processes have received and this one lacks.
#[derive(Clone, Copy, Debug)]
struct Ahead {
    /// Highest position of another process.
    position: Position,
    /// When that position was received.
    raised_at: Micros,
    /// Since when the copy lacks changes.
    since: Micros,
}

/// State of a process's copy of a table.
#[derive(Debug)]
pub struct Staleness {
    config: Config,
    /// Rank of this process.
    rank: u64,
    /// Time up to which the copy is known to have been complete.
    confirmed_at: Micros,
    /// Positions up to this one are known to be in the copy.
    checked_to: Position,
    /// What other processes have and the copy lacks.
    ahead: Option<Ahead>,
    /// Whether this process has checked last.
    checked_last: bool,
    /// Earliest time of the next check, after a failed one or the start of a held call.
    not_before: Micros,
    /// Random part of the delay of the next check, from 0 to 1.
    draw: f64,
    /// Age of the last confirmation by a check when it arrived: how long the check took.
    delay: Micros,
}

impl Staleness {
    /// A copy that is read at `now`. `draw` is a random number from 0 to 1.
    pub fn new(config: Config, rank: u64, now: Micros, draw: f64) -> Self {
        Self {
            config,
            rank,
            confirmed_at: now,
            checked_to: Position::default(),
            ahead: None,
            checked_last: false,
            not_before: Micros::ZERO,
            draw: draw.clamp(0.0, 1.0),
            delay: Micros::ZERO,
        }
    }

    /// Records that the store has answered a read or held call, with the copy complete at `at` and
    /// its newest row at `position`; returns whether the other processes need this confirmation.
    pub fn confirm(&mut self, at: Micros, position: Position) -> bool {
        let age = at.since(self.confirmed_at);
        self.confirmed_at = self.confirmed_at.max(at);
        self.checked_to = self.checked_to.max(position);
        self.ahead = self.ahead.filter(|a| a.position > self.checked_to);
        let needed_from = self.config.max_age.map(|max| Micros(max.0 / 2));
        needed_from.is_some_and(|from| age >= from)
    }

    /// Records that a check has succeeded that began at `started`; returns whether the other processes need
    /// this confirmation.
    pub fn checked(&mut self, started: Micros, position: Position) -> bool {
        // The answer contains all that other processes had received before.
        if let Some(ahead) = self.ahead.filter(|a| a.raised_at <= started) {
            self.checked_to = self.checked_to.max(ahead.position);
        }
        // Of several processes that check at a time, the one that sends its confirmation first stays.
        let is_needed = self.confirm(started, position);
        self.checked_last |= is_needed;
        is_needed
    }

    /// Records that a check has failed that began at `started`.
    pub fn failed(&mut self, started: Micros) {
        self.checked_last = false;
        self.not_before = started + self.config.retry;
    }

    /// Records that a held call begins, which returns at once if there are changes.
    pub fn call(&mut self, now: Micros) {
        self.not_before = self.not_before.max(now + self.config.grace);
    }

    /// Records what another process knows. `draw` is a random number from 0 to 1.
    pub fn receive(&mut self, now: Micros, position: Position, report: Report, draw: f64) {
        self.draw = draw.clamp(0.0, 1.0);
        self.checked_to = self.checked_to.max(position);
        self.checked_last &= !report.checked || self.rank < report.rank;
        if report.position <= self.checked_to {
            self.confirmed_at = self.confirmed_at.max(now - report.age);
            if report.checked {
                self.delay = report.age.min(self.config.spread);
            }
            return;
        }
        match &mut self.ahead {
            Some(ahead) if report.position <= ahead.position => {}
            Some(ahead) => {
                ahead.position = report.position;
                ahead.raised_at = now;
            }
            None => {
                self.ahead = Some(Ahead {
                    position: report.position,
                    raised_at: now,
                    since: now,
                });
            }
        }
    }

    /// Whether another process has received changes that this one lacks, for longer than they may be
    /// on their way.
    pub fn is_behind(&self, now: Micros) -> bool {
        self.ahead
            .is_some_and(|a| now.since(a.since) >= self.config.grace)
    }

    /// When the copy is to be checked next, unless something is received until then; `None` if only
    /// then.
    pub fn next_check(&self) -> Option<Micros> {
        let delay = match self.checked_last {
            true => Micros::ZERO,
            false => {
                let spread = self.config.spread.0 as f64 * self.draw;
                self.config.lead + self.delay + Micros(spread as u64)
            }
        };
        let aged = self
            .config
            .max_age
            .map(|max| self.confirmed_at + max + delay);
        let ahead = self.ahead.map(|a| a.since + self.config.grace);
        let next = aged.into_iter().chain(ahead).min()?;
        Some(next.max(self.not_before))
    }

    /// Whether neither this process nor another one has confirmed the copy in the time for that.
    pub fn is_overdue(&self, now: Micros) -> bool {
        let Config { lead, spread, .. } = self.config;
        let is_over = |max| self.age(now) > max + lead + self.delay + spread;
        self.config.max_age.is_some_and(is_over)
    }

    /// Whether this process has checked last.
    pub fn has_checked(&self) -> bool {
        self.checked_last
    }

    /// Time since the copy was last confirmed.
    pub fn age(&self, now: Micros) -> Micros {
        now.since(self.confirmed_at)
    }
}
