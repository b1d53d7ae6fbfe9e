//! Which part of a prompt an engine has already computed.
//!
//! Prompts of one team share long beginnings, nested in several levels, and an engine that still
//! holds the blocks of such a beginning answers in a fraction of the time. The router has no
//! tokenizer: it cuts the bytes of a prompt into blocks of [`BLOCK_BYTES`] bytes and hashes them into a
//! [`chain`], in which each hash stands for its block and all that precedes it. The first hash is
//! seeded with the team's cache scope, the model and the version of its weights, so that equal
//! text of another team or of older weights has other hashes throughout and can't match.
//!
//! The sidecar beside an engine keeps the [`Index`] of that engine's cache, built from the
//! engine's events. An entry asks about a prompt with [`Marks`], a few points of its chain, and
//! places it by [`levels`], the points that prompts with a common beginning have in common.

mod chain;
mod event;
mod expect;
mod index;
mod int_hasher;
mod marks;
mod tree;

pub use chain::{chain, next, rank, root, Seed, BLOCK_BYTES, BLOCK_TOKENS};
pub use event::{Block, Event, Kind};
pub use index::{Config, Index, Need, Stats};
pub use int_hasher::{IntHasher, Map};
pub use marks::{grid, levels, Mark, Marks, MAX_MARKS};
