//! What an engine says of its cache.

use bytes::Bytes;
use model::Incarnation;

/// A block in an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// The engine's own id of the block.
    pub hash: u64,
    /// The engine's id of the block before it; none for the first of a prompt.
    pub parent: Option<u64>,
    /// The cache salt, given with blocks that have no parent.
    pub scope: String,
    /// The bytes of the block.
    pub text: Bytes,
}

/// A change of an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The block can be reused from now on.
    Stored(Block),
    /// The block with this id is gone.
    Removed {
        /// The engine's id.
        hash: u64,
    },
    /// The cache is empty.
    Cleared,
    /// Other weights are loaded and the cache is empty.
    Weights {
        /// Their version.
        version: String,
    },
}

/// A change together with its place in the engine's stream of changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Position in the stream; the first of a life is 0 or 1, each later one higher by one.
    pub seq: u64,
    /// The engine's life.
    pub incarnation: Incarnation,
    /// The change.
    pub kind: Kind,
}
