//! Memory for the bodies of requests and answers, shared by all requests of an entry.
//!
//! Bodies of requests are kept until their target has read them, answers of plain services until their
//! caller has, and incomplete events of streams until they are complete. All have some kilobytes. With
//! a limit for each of them alone, far ends that read slowly or send without end fill a small entry's
//! memory by some dozen, so whatever exceeds a small part of each is taken from one budget.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::Bytes;

/// Bytes that each body may have besides the budget.
const FREE_BYTES: usize = 64 << 10;
/// Budget for all bodies together if the memory limit of the process isn't known.
const DEFAULT_BYTES: usize = 16 << 20;
/// Fraction of the memory limit that the budget is; a body that grows may need twice its length.
const LIMIT_FRACTION: usize = 4;

/// The budget, and how much of it is in use.
#[derive(Clone, Debug)]
pub(super) struct BodyMemory {
    budget: usize,
    used: Arc<AtomicUsize>,
}

impl BodyMemory {
    /// The budget of a process with a memory limit in bytes.
    pub(super) fn new(limit: Option<usize>) -> Self {
        Self {
            budget: limit.map_or(DEFAULT_BYTES, |l| l / LIMIT_FRACTION),
            used: Arc::default(),
        }
    }

    /// Bytes of the budget in use.
    pub(super) fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Starts a body without bytes.
    pub(super) fn reserve(&self) -> Reservation {
        Reservation {
            memory: self.clone(),
            bytes: 0,
        }
    }
}

/// What one body has taken from the budget. Dropping it returns that.
#[derive(Debug)]
pub(super) struct Reservation {
    memory: BodyMemory,
    bytes: usize,
}

impl Reservation {
    /// Changes the length of the body; returns false if the budget doesn't allow that.
    pub(super) fn resize(&mut self, len: usize) -> bool {
        let bytes = len.saturating_sub(FREE_BYTES);
        let others = self.memory.used() - self.bytes;
        if bytes > 0 && others + bytes > self.memory.budget {
            return false;
        }
        self.memory.used.store(others + bytes, Ordering::Relaxed);
        self.bytes = bytes;
        true
    }

    /// Makes room for a body of this length at least; returns false if the budget doesn't allow that.
    pub(super) fn grow(&mut self, len: usize) -> bool {
        len.saturating_sub(FREE_BYTES) <= self.bytes || self.resize(len)
    }

    /// Keeps the reservation for as long as the bytes of the body are in use.
    pub(super) fn hold(self, bytes: Bytes) -> Bytes {
        match self.bytes {
            0 => bytes,
            _ => Bytes::from_owner(Held {
                bytes,
                _reservation: self,
            }),
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A body with its reservation.
struct Held {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
