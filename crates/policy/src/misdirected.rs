//! How long a target is left alone after another one has answered at its address.
//!
//! Load pattern: a target's process has ended, another one has taken its address, and the list names both
//! for some seconds. Each request to the former is refused there and costs a retry, so it is active and not
//! used. The mark may be wrong: a refusal that another host's restart or a wrong row brought about. If it
//! held until the row goes, an entry would never use that target again while it lives.
//!
//! A target that writes its row after the refusal was alive after it. A row may also come from another
//! writer, so that each further mark takes twice as many renewals to end.

use model::{Micros, Position};

/// Exclusion beyond which the number of renewals doesn't grow.
const MAX_DOUBLINGS: u32 = 6;

/// Exclusion of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Exclusion {
    active: Option<Active>,
    /// Exclusion so far.
    count: u32,
}

#[derive(Clone, Copy, Debug)]
struct Active {
    at: Micros,
    /// Position of the row in the last list that was read after the mark.
    row: Option<Position>,
    renewals: u32,
}

impl Exclusion {
    /// Whether the target is active.
    pub fn is_excluded(&self) -> bool {
        self.active.is_some()
    }

    /// Notes that another target has answered at its address.
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

    /// Takes over the position of the target's row in a list that was read at a time; true if that ends a
    /// mark.
    pub fn listed(&mut self, read: Micros, row: Position) -> bool {
        let Some(active) = self.active.as_mut().filter(|m| read > m.at) else {
            return false;
        };
        // The first list after the mark may have a renewal from before it.
        active.renewals += u32::from(active.row.is_some_and(|r| row > r));
        active.row = Some(row);
        let ends = active.renewals >= 1 << self.count.saturating_sub(1).min(MAX_DOUBLINGS);
        if ends {
            self.active = None;
        }
        ends
    }
}
