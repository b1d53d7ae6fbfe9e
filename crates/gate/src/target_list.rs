//! The platform's list of targets as a process has it, and what has changed in it.
//!
//! Load pattern: thousands of targets, a few of which change in a second, read by a few entries for hundreds
//! of others. A list that is handed on in whole at each change costs more than all requests. So rows that went
//! are kept for a time, and whoever has an earlier position gets what has changed since.

use std::collections::{BTreeMap, HashSet, VecDeque};

use model::{Micros, Position};
use platform::{Row, Rows};

/// How long rows that went are kept; longer than any entry is behind the others.
const KEPT: Micros = Micros::from_secs(30);
/// Age of the position from which changes are asked for. A feed that is silent for a moment while changes are
/// made is asked for them again.
const BEHIND: Micros = Micros::from_secs(3);
/// Rows from which on the list takes several calls to read, and only its changes are read.
const LARGE: usize = 500;

/// The list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetList {
    /// When it was last read, on this process's clock.
    pub at: Micros,
    /// Newest position in the store at that time. It alone tells which of two reads is the newer: a row that
    /// is taken away leaves nothing newer among the others.
    pub position: Position,
    rows: BTreeMap<String, Row>,
    /// Rows that went, by the time.
    gone: VecDeque<(Micros, String)>,
    /// Up to here rows that went may have been forgotten.
    forgotten: Position,
    /// Positions of earlier reads, by the time.
    read: VecDeque<(Micros, Position)>,
}

impl TargetList {
    /// Takes over a whole read.
    pub fn replace(&mut self, at: Micros, read: Rows) {
        if read.at.era != self.position.era || self.read.is_empty() {
            // What went before isn't known.
            *self = Self {
                forgotten: read.at,
                ..Self::default()
            };
        }
        let listed: HashSet<_> = read.rows.iter().map(|r| r.key.as_str()).collect();
        let missing = self.rows().filter(|r| !listed.contains(r.key.as_str()));
        let missing: Vec<_> = missing.map(|r| r.key.clone()).collect();
        for key in missing {
            self.enter(
                at,
                Row {
                    key,
                    value: None,
                    at: read.at,
                },
            );
        }
        self.merge(at, read);
    }

    /// Takes over rows that have changed.
    pub fn merge(&mut self, at: Micros, changes: Rows) {
        for row in changes.rows {
            let older = |known: &Row| known.at >= row.at;
            if !self.rows.get(&row.key).is_some_and(older) {
                self.enter(at, row);
            }
        }
        self.at = self.at.max(at);
        self.position = self.position.max(changes.at);
        self.read.push_back((at, changes.at));
        self.expire(at);
    }

    fn enter(&mut self, at: Micros, row: Row) {
        if row.value.is_none() {
            self.gone.push_back((at, row.key.clone()));
        }
        self.rows.insert(row.key.clone(), row);
    }

    /// Forgets what went long ago.
    fn expire(&mut self, now: Micros) {
        let behind = |(at, _): &(Micros, Position)| now.since(*at) >= BEHIND;
        while self.read.len() > 1 && self.read.get(1).is_some_and(behind) {
            self.read.pop_front();
        }
        while self
            .gone
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= KEPT)
        {
            let Some((_, key)) = self.gone.pop_front() else {
                return;
            };
            if let Some(row) = self.rows.get(&key).filter(|r| r.value.is_none()) {
                self.forgotten = self.forgotten.max(row.at);
                self.rows.remove(&key);
            }
        }
    }

    /// The rows that are there.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values().filter(|r| r.value.is_some())
    }

    /// From where its changes are to be read; none if it is to be read in whole.
    pub fn changes_from(&self, now: Micros) -> Option<Position> {
        let (at, position) = self.read.front()?;
        let large = self.rows().nth(LARGE).is_some();
        (large && now.since(*at) >= BEHIND).then_some(*position)
    }

    /// What has changed since a position; none if that isn't known any more.
    pub fn since(&self, position: Position) -> Option<impl Iterator<Item = &Row>> {
        let known = position.era == self.position.era && position >= self.forgotten;
        known.then(|| self.rows.values().filter(move |r| r.at > position))
    }
}
