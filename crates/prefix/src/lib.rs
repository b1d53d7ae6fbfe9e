//! Index of the prompt prefixes in an engine's cache.
//!
//! Prompts of a team share long prefixes, nested in several levels, and an engine with the blocks
//! of such a prefix in its cache answers in a fraction of the time. The router has no tokenizer: it
//! splits a prompt into blocks of [`BLOCK_BYTES`] bytes and hashes them into a [`chain`], in which
//! each hash covers its block and all blocks before it. The first hash is seeded with the team's
//! cache scope, the model and the version of its weights, so that the same text of another team or
//! for older weights has different hashes and can't match.
//!
//! The sidecar of an engine keeps the [`Index`] of the engine's cache, built from the engine's
//! events. An entry describes a prompt by [`Marks`], a few points of its chain, and selects
//! replicas by [`levels`], the points at which prompts with a common prefix are grouped.

mod chain;
mod event;
mod expected;
mod index;
mod int_hasher;
mod marks;
mod tree;

pub use chain::{chain, next, rank, root, Seed, BLOCK_BYTES, BLOCK_TOKENS};
pub use event::{Block, Event, Kind};
pub use index::{Config, Index, Need, Stats};
pub use int_hasher::{IntHasher, Map};
pub use marks::{grid, levels, Mark, Marks, MAX_MARKS};
