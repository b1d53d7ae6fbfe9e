//! Items that are sent to all other entries several times, as datagrams may be lost.

use model::Micros;

use super::{CrashReport, PartKey};

/// Delays after which an item is sent, from the time when it was added. Convictions are repeated
/// longest, since each entry that lacks one may send the part to another target.
const DELAYS: [Micros; 7] = [
    Micros::ZERO,
    Micros::from_millis(40),
    Micros::from_millis(90),
    Micros::from_millis(300),
    Micros::from_millis(800),
    Micros::from_millis(1_500),
    Micros::from_millis(3_000),
];
/// Number of times that a crash, a proposal or an answer is sent.
const SHORT: usize = 3;
/// Maximum number of items; further ones replace the oldest.
const CAPACITY: usize = 1_024;

/// An item to send.
#[derive(Clone, Debug)]
pub(super) enum Item {
    /// A crash, as reported at a time.
    Crash(CrashReport, Micros),
    Proposed(PartKey),
    Answered(PartKey),
    Convicted(PartKey),
}

impl Item {
    fn times(&self) -> usize {
        match self {
            Self::Crash(..) | Self::Proposed(_) | Self::Answered(_) => SHORT,
            Self::Convicted(_) => DELAYS.len(),
        }
    }
}

/// An item and how often it has been sent.
#[derive(Debug)]
struct Pending {
    item: Item,
    added: Micros,
    sent: usize,
}

/// Items that still have to be sent.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pending: Vec<Pending>,
}

impl Outbox {
    /// Adds an item.
    pub(super) fn push(&mut self, now: Micros, item: Item) {
        if self.pending.len() >= CAPACITY {
            self.pending.remove(0);
        }
        self.pending.push(Pending {
            item,
            added: now,
            sent: 0,
        });
    }

    /// Whether there is nothing left to send.
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// The items to send now.
    pub(super) fn take_due(&mut self, now: Micros) -> Vec<Item> {
        let mut due = Vec::new();
        for p in &mut self.pending {
            if now >= p.added + DELAYS[p.sent] {
                p.sent += 1;
                due.push(p.item.clone());
            }
        }
        self.pending.retain(|p| p.sent < p.item.times());
        due
    }
}
