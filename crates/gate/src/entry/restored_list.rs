//! What a restore of the platform's store makes of the list of targets.
//!
//! The copy names targets that have left since and lacks those that have joined. Its rows, and those that were
//! written again before the first list was read, count as written in the era before: they override nothing
//! that is known, and a target that has left stays so until its row is renewed.

use std::collections::HashMap;

use model::{Micros, Position};
use site::{Boot, Target};

/// How long a target that has left is remembered; longer than a copy is old.
const LEFT_TTL: Micros = Micros::from_secs(60);

/// The list before and after a restore.
#[derive(Debug, Default)]
pub(super) struct RestoredList {
    /// Position of the first list of the era.
    first_list: Option<Position>,
    /// When it was read, if the era began with a restore.
    restored_at: Option<Micros>,
    /// Targets that have left, with their last renewal.
    left: HashMap<Boot, (Position, Micros)>,
}

impl RestoredList {
    /// Takes over that a list was read.
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

    /// A listed target, with its renewal counted in the era in which it may have been written.
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

    /// Whether a row that is placed before the era says less of a target than what is known.
    pub(super) fn is_older(&self, listed: &Target, known: &Target) -> bool {
        let era = self.first_list.map_or(0, |f| f.era);
        listed.renewed.era < era && listed.renewed < known.renewed
    }

    /// Whether a listed target has left before its row was last renewed.
    pub(super) fn has_left(&self, target: &Target) -> bool {
        let left = self.left.get(&target.boot);
        left.is_some_and(|(renewed, _)| target.renewed <= *renewed)
    }

    /// When the first list since a restore was read.
    pub(super) fn restored_at(&self) -> Option<Micros> {
        self.restored_at
    }

    /// Notes that a target has left.
    pub(super) fn record_left(&mut self, now: Micros, target: &Target) {
        let renewed = target.renewed;
        self.left.insert(target.boot.clone(), (renewed, now));
    }

    /// Notes that a target is in the list.
    pub(super) fn record_listed(&mut self, boot: &Boot) {
        self.left.remove(boot);
    }
}
