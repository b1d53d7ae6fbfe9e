//! Handling of the list of targets after the platform's store has been restored from a copy.
//!
//! The copy contains targets that have left since it was made and lacks those that have joined. Its
//! rows, and rows written between the restore and the first read, count as written in the previous
//! era: they override nothing that is known, and a target that has left remains removed until its
//! row is renewed.

use std::collections::HashMap;

use model::{Micros, Position};
use site::{Boot, Target};

/// How long a target that has left is remembered; longer than the age of any copy.
const LEFT_TTL: Micros = Micros::from_secs(60);

/// Data by which rows of a copy are distinguished from newer rows.
#[derive(Debug, Default)]
pub(super) struct RestoredList {
    /// Position of the first list that was read in the current era.
    first_list: Option<Position>,
    /// When the first list of the current era was read, if the era began with a restore.
    restored_at: Option<Micros>,
    /// Targets that have left, with their last renewal and the time of their removal.
    left: HashMap<Boot, (Position, Micros)>,
}

impl RestoredList {
    /// Records that a list was read.
    pub(super) fn record_read(&mut self, at: Micros, position: Position) {
        self.left.retain(|_, (_, l)| at.since(*l) < LEFT_TTL);
        match self.first_list {
            Some(first) if position.era > first.era => {
                self.first_list = Some(position);
                self.restored_at = Some(at);
            }
            Some(_) => {}
            None => self.first_list = Some(position),
        }
    }

    /// Assigns a target's renewal to the previous era if the row may come from the copy.
    pub(super) fn adjust_era(&self, mut target: Target) -> Target {
        let copied = |first: &Position| {
            self.restored_at.is_some()
                && target.renewed.era == first.era
                && target.renewed <= *first
        };
        if self.first_list.as_ref().is_some_and(copied) {
            target.renewed.era -= 1;
        }
        target
    }

    /// Whether a row assigned to an earlier era is older than the known one.
    pub(super) fn is_older(&self, listed: &Target, known: &Target) -> bool {
        let era = self.first_list.map_or(0, |f| f.era);
        listed.renewed.era < era && listed.renewed < known.renewed
    }

    /// Whether a listed target has left and not renewed its row since.
    pub(super) fn has_left(&self, target: &Target) -> bool {
        let left = self.left.get(&target.boot);
        left.is_some_and(|(renewed, _)| target.renewed <= *renewed)
    }

    /// Whether a row may come from the copy. Such a row doesn't show which incarnation runs.
    pub(super) fn may_be_copied(&self, target: &Target) -> bool {
        let era = self.first_list.map_or(0, |f| f.era);
        self.restored_at.is_some() && target.renewed.era < era
    }

    /// When the first list after a restore was read.
    pub(super) fn restored_at(&self) -> Option<Micros> {
        self.restored_at
    }

    /// Records that a target has left.
    pub(super) fn record_left(&mut self, now: Micros, target: &Target) {
        let renewed = target.renewed;
        self.left.insert(target.boot.clone(), (renewed, now));
    }

    /// Records that a target is in the list.
    pub(super) fn record_listed(&mut self, boot: &Boot) {
        self.left.remove(boot);
    }
}
