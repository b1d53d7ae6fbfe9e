//! Buffer of answer chunks that the entry hasn't confirmed yet.
//!
//! A connection can break at any byte, and the target must not compute its answer again for that.
//! The sidecar keeps each chunk until the entry confirms it, and after a break sends the
//! unconfirmed chunks again. Memory is bounded: at [`MAX_BYTES`] the sidecar stops reading from
//! its target, and this backpressure slows the target down to the caller's pace.

use std::collections::VecDeque;

use bytes::Bytes;
use thiserror::Error;

/// Maximum bytes kept for one exchange. Half a second of the busiest stream is only kilobytes; the
/// limit is this high for the large answers of plain services.
pub const MAX_BYTES: usize = 1 << 20;

/// Why a chunk is not available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReplayError {
    /// The chunk was confirmed and dropped; requesting it again is an error of the reader.
    #[error("chunk {0} was confirmed and is no longer kept")]
    Gone(u64),
    /// The chunk doesn't exist yet; the reader is ahead of the source.
    #[error("chunk {0} does not exist yet")]
    Ahead(u64),
}

/// Unconfirmed chunks of one answer, or all of its chunks as long as they fit.
#[derive(Debug, Default)]
pub struct ReplayBuffer {
    /// Position of the first chunk in `chunks`.
    base: u64,
    chunks: VecDeque<Bytes>,
    bytes: usize,
    hash: blake3::Hasher,
    ended: bool,
    /// Whether confirmed chunks are kept too.
    keep_all: bool,
    /// First position that isn't confirmed.
    confirmed: u64,
}

impl ReplayBuffer {
    /// Creates a buffer that also keeps confirmed chunks as long as the whole answer fits, so that
    /// a second attempt with the same idempotency key can read the answer from its start.
    pub fn keep_all() -> Self {
        Self {
            keep_all: true,
            ..Self::default()
        }
    }

    /// Adds the next chunk and returns its position.
    pub fn push(&mut self, data: Bytes) -> u64 {
        self.hash.update(&data);
        self.bytes += data.len();
        self.chunks.push_back(data);
        // An answer that doesn't fit can no longer be read from its start. Confirmed chunks are
        // dropped immediately: readers send their next confirmation only after more chunks, and
        // without room for those the exchange would stall.
        if self.full() {
            self.keep_all = false;
            self.drop_confirmed();
        }
        self.next() - 1
    }

    /// Position of the next chunk to be added.
    pub fn next(&self) -> u64 {
        self.base + self.chunks.len() as u64
    }

    /// Confirms the chunks before `next` and drops them unless the whole answer is kept.
    pub fn confirm(&mut self, next: u64) {
        self.confirmed = self.confirmed.max(next.min(self.next()));
        if !self.keep_all {
            self.drop_confirmed();
        }
    }

    /// Whether the buffer is full, so that the source has to wait.
    pub fn full(&self) -> bool {
        self.bytes >= MAX_BYTES
    }

    /// The chunk at a position; `None` if it is the next one to be added.
    pub fn get(&self, seq: u64) -> Result<Option<Bytes>, ReplayError> {
        match seq {
            s if s < self.base => Err(ReplayError::Gone(s)),
            s if s > self.next() => Err(ReplayError::Ahead(s)),
            s => Ok(self.chunks.get((s - self.base) as usize).cloned()),
        }
    }

    /// Marks the answer as complete.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// Count and hash of all chunks, once the answer is complete.
    pub fn total(&self) -> Option<(u64, Bytes)> {
        let hash = || Bytes::copy_from_slice(self.hash.finalize().as_bytes());
        self.ended.then(|| (self.next(), hash()))
    }

    fn drop_confirmed(&mut self) {
        while self.base < self.confirmed {
            let Some(c) = self.chunks.pop_front() else {
                break;
            };
            self.bytes -= c.len();
            self.base += 1;
        }
    }
}
