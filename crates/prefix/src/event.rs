//! Events by which an engine reports changes of its cache.

use bytes::Bytes;
use model::Incarnation;

/// A block in an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// The engine's id for the block.
    pub hash: u64,
    /// The engine's id for the preceding block; `None` for the first block of a prompt.
    pub parent: Option<u64>,
    /// The cache salt; only given for blocks without a parent.
    pub scope: String,
    /// The prompt bytes in the block.
    pub text: Bytes,
}

/// A change of an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The block can be reused from now on.
    Stored(Block),
    /// The block was removed from the cache.
    Removed {
        /// The engine's id for the block.
        hash: u64,
    },
    /// All blocks were removed from the cache.
    Cleared,
    /// Other weights were loaded, which emptied the cache.
    Weights {
        /// Version of the loaded weights.
        version: String,
    },
}

/// A change with its sequence number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Sequence number; starts at 0 or 1 in each incarnation and increases by one.
    pub seq: u64,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// The change that the event reports.
    pub kind: Kind,
}
