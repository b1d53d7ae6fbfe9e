//! The platform's list of targets as known to one process, with its recent changes.
//!
//! Load pattern: thousands of targets, a few of which change per second, are read by a few entries
//! for hundreds of others. Passing on the whole list at each change would cost more than all
//! requests. Deleted rows are therefore retained for a while, and a process with an earlier
//! position gets only the changes since that position.

use std::collections::{BTreeMap, HashSet, VecDeque};

use model::{Micros, Position};
use platform::{Row, Rows};

/// How long deleted rows are retained; longer than any entry lags behind the others.
const TOMBSTONE_TTL: Micros = Micros::from_secs(30);
/// Age of the position from which changes are requested. The overlap covers changes that a feed has
/// missed because it was silent for a moment.
const CHANGES_OVERLAP: Micros = Micros::from_secs(3);
/// Number of rows above which reading the whole list takes several calls, so only its changes are
/// read.
const LARGE_LIST: usize = 500;

/// The list of targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetList {
    /// When the list was last read, on this process's clock.
    pub at: Micros,
    /// Newest position in the store at that time. Only this position shows which of two reads is
    /// newer: the deletion of a row leaves no newer row in the list.
    pub position: Position,
    /// Rows by key; deleted rows have no value.
    rows: BTreeMap<String, Row>,
    /// Keys of deleted rows in the order of deletion, with the time.
    deleted: VecDeque<(Micros, String)>,
    /// Position since which all deleted rows are retained.
    complete_since: Position,
    /// Positions of earlier reads in the order of reading, with the time.
    reads: VecDeque<(Micros, Position)>,
}

impl TargetList {
    /// Replaces the list by a read of the whole table.
    pub fn replace(&mut self, at: Micros, read: Rows) {
        if read.at.era != self.position.era || self.reads.is_empty() {
            // Rows that were deleted before this read aren't known.
            *self = Self {
                complete_since: read.at,
                ..Self::default()
            };
        }
        let listed: HashSet<_> = read.rows.iter().map(|r| r.key.as_str()).collect();
        let missing = self.rows().filter(|r| !listed.contains(r.key.as_str()));
        let missing: Vec<_> = missing.map(|r| r.key.clone()).collect();
        for key in missing {
            self.insert(
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

    /// Merges rows that have changed into the list.
    pub fn merge(&mut self, at: Micros, changes: Rows) {
        for row in changes.rows {
            let older = |known: &Row| known.at >= row.at;
            if !self.rows.get(&row.key).is_some_and(older) {
                self.insert(at, row);
            }
        }
        self.at = self.at.max(at);
        self.position = self.position.max(changes.at);
        self.reads.push_back((at, changes.at));
        self.expire(at);
    }

    fn insert(&mut self, at: Micros, row: Row) {
        if row.value.is_none() {
            self.deleted.push_back((at, row.key.clone()));
        }
        self.rows.insert(row.key.clone(), row);
    }

    /// Removes positions and deleted rows that are too old.
    fn expire(&mut self, now: Micros) {
        let is_old = |(at, _): &(Micros, Position)| now.since(*at) >= CHANGES_OVERLAP;
        while self.reads.len() > 1 && self.reads.get(1).is_some_and(is_old) {
            self.reads.pop_front();
        }
        while self
            .deleted
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= TOMBSTONE_TTL)
        {
            let Some((_, key)) = self.deleted.pop_front() else {
                return;
            };
            if let Some(row) = self.rows.get(&key).filter(|r| r.value.is_none()) {
                self.complete_since = self.complete_since.max(row.at);
                self.rows.remove(&key);
            }
        }
    }

    /// The rows that aren't deleted.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values().filter(|r| r.value.is_some())
    }

    /// Position from which changes are to be read; `None` if the whole list is to be read.
    pub fn changes_from(&self, now: Micros) -> Option<Position> {
        let (at, position) = self.reads.front()?;
        let large = self.rows().nth(LARGE_LIST).is_some();
        (large && now.since(*at) >= CHANGES_OVERLAP).then_some(*position)
    }

    /// Rows that have changed since a position, including deleted ones; `None` if some of them are
    /// no longer retained.
    pub fn since(&self, position: Position) -> Option<impl Iterator<Item = &Row>> {
        let known = position.era == self.position.era && position >= self.complete_since;
        known.then(|| self.rows.values().filter(move |r| r.at > position))
    }
}
