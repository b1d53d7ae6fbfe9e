//! Memory for answers that are collected before they are passed on, shared by all requests of an entry.
//!
//! Answers of plain services and incomplete events of streams have some kilobytes. With a limit for each
//! answer alone, a target that sends without end fills a small entry's memory by some dozen answers, so
//! whatever exceeds a small part of each is taken from one budget.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that each answer may have besides the budget.
const FREE_BYTES: usize = 64 << 10;
/// Budget for all answers together.
const SHARED_BYTES: usize = 16 << 20;

/// The budget, and how much of it is in use.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerMemory(Rc<Cell<usize>>);

impl AnswerMemory {
    /// Starts an answer without bytes.
    pub(super) fn reserve(&self) -> Reservation {
        Reservation {
            memory: self.clone(),
            bytes: 0,
        }
    }
}

/// What one answer has taken from the budget. Dropping it returns that.
#[derive(Debug)]
pub(super) struct Reservation {
    memory: AnswerMemory,
    bytes: usize,
}

impl Reservation {
    /// Changes the length of the answer; returns false if the budget doesn't allow that.
    pub(super) fn resize(&mut self, len: usize) -> bool {
        let bytes = len.saturating_sub(FREE_BYTES);
        let used = &self.memory.0;
        let others = used.get() - self.bytes;
        if bytes > 0 && others + bytes > SHARED_BYTES {
            return false;
        }
        used.set(others + bytes);
        self.bytes = bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.0.set(self.memory.0.get() - self.bytes);
    }
}
