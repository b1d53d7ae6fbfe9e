//! What a sidecar has read from its target and the entry hasn't confirmed yet.
//!
//! A connection can break at any byte. The target must not compute its answer again for that, so
//! the sidecar keeps each chunk until the entry confirms it and repeats from there. The memory
//! is bounded: at [`MAX_BYTES`] the sidecar stops reading from its target, which is what slows the
//! target down to its caller's pace.

use std::collections::VecDeque;

use bytes::Bytes;
use thiserror::Error;

/// Most bytes kept for one exchange. Half a second of the busiest stream is kilobytes; the rest is
/// room for the large answers of plain services.
pub const MAX_BYTES: usize = 1 << 20;

/// Why chunks can't be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReplayError {
    /// The chunk was confirmed and dropped; asking for it again is a fault of the asker.
    #[error("chunk {0} was confirmed and is no longer kept")]
    Gone(u64),
    /// No such chunk exists yet; the asker is ahead of the source.
    #[error("chunk {0} does not exist yet")]
    Ahead(u64),
}

/// Unconfirmed chunks of one answer.
#[derive(Debug, Default)]
pub struct ReplayBuffer {
    base: u64,
    chunks: VecDeque<Bytes>,
    bytes: usize,
    hash: blake3::Hasher,
    ended: bool,
    keep: bool,
    confirmed: u64,
}

impl ReplayBuffer {
    /// Keeps the whole answer as long as it fits, so that a second attempt with the same
    /// idempotency key can join it from the start.
    pub fn keep_all() -> Self {
        Self {
            keep: true,
            ..Self::default()
        }
    }

    /// Adds the next chunk; gives its position.
    pub fn push(&mut self, data: Bytes) -> u64 {
        self.hash.update(&data);
        self.bytes += data.len();
        self.chunks.push_back(data);
        // An answer that doesn't fit can't be joined from its start any more. What was confirmed
        // until now goes at once: its readers confirm again only after more chunks, for which
        // there is no room.
        if self.full() {
            self.keep = false;
            self.trim();
        }
        self.next() - 1
    }

    /// Position that the next chunk will have.
    pub fn next(&self) -> u64 {
        self.base + self.chunks.len() as u64
    }

    /// Notes that the chunks before `next` arrived; they go unless they are kept for others.
    pub fn confirm(&mut self, next: u64) {
        self.confirmed = self.confirmed.max(next.min(self.next()));
        if !self.keep {
            self.trim();
        }
    }

    /// Whether the source should wait.
    pub fn full(&self) -> bool {
        self.bytes >= MAX_BYTES
    }

    /// The chunk at a position, if it exists already.
    pub fn get(&self, seq: u64) -> Result<Option<Bytes>, ReplayError> {
        match seq {
            s if s < self.base => Err(ReplayError::Gone(s)),
            s if s > self.next() => Err(ReplayError::Ahead(s)),
            s => Ok(self.chunks.get((s - self.base) as usize).cloned()),
        }
    }

    /// The answer is whole.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// Count and hash of all chunks, once the answer is whole.
    pub fn total(&self) -> Option<(u64, Bytes)> {
        let hash = || Bytes::copy_from_slice(self.hash.finalize().as_bytes());
        self.ended.then(|| (self.next(), hash()))
    }

    fn trim(&mut self) {
        while self.base < self.confirmed {
            let Some(c) = self.chunks.pop_front() else {
                break;
            };
            self.bytes -= c.len();
            self.base += 1;
        }
    }
}
