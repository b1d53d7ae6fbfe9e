//! Excluding a target after another one has answered at its address.
//!
//! Load pattern: a target's process has ended, another one has taken its address, and the list names both for
//! some seconds. Each request to the former target is refused there and costs a retry, so that target is
//! excluded. The exclusion may be wrong, when the refusal was caused by another host's restart or by a wrong
//! row in the list. If it lasted until the row is removed, an entry would never again use that target in this
//! incarnation.
//!
//! A target that renews its row after the refusal was alive after it, so renewals end the exclusion. As rows
//! may also be written by another process, each further exclusion needs twice as many renewals to end.

use model::{Micros, Position};

/// Doublings after which the number of required renewals no longer grows.
const MAX_DOUBLINGS: u32 = 6;

/// Whether one target is excluded, and how often it has been.
#[derive(Clone, Copy, Debug, Default)]
pub struct Exclusion {
    active: Option<Active>,
    /// Number of exclusions.
    count: u32,
}

#[derive(Clone, Copy, Debug)]
struct Active {
    at: Micros,
    /// Position of the target's row in the last list that was read after the exclusion began.
    row: Option<Position>,
    renewals: u32,
}

impl Exclusion {
    /// Whether the target is excluded.
    pub fn is_excluded(&self) -> bool {
        self.active.is_some()
    }

    /// Records that another target has answered at this target's address.
    pub fn exclude(&mut self, now: Micros) {
        if self.active.is_none() {
            self.count += 1;
        }
        self.active = Some(Active {
            at: now,
            row: None,
            renewals: 0,
        });
    }

    /// Updates the position of the target's row from a list read at time `read`; true if that ends an exclusion.
    pub fn listed(&mut self, read: Micros, row: Position) -> bool {
        let Some(active) = self.active.as_mut().filter(|a| read > a.at) else {
            return false;
        };
        // The first list read after the exclusion began may contain a renewal from before it.
        active.renewals += u32::from(active.row.is_some_and(|r| row > r));
        active.row = Some(row);
        let ends = active.renewals >= 1 << self.count.saturating_sub(1).min(MAX_DOUBLINGS);
        if ends {
            self.active = None;
        }
        ends
    }
}
