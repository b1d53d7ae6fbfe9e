//! Chained hashes over fixed-size blocks of prompt bytes.
//!
//! Engines cache fixed-size blocks, usually of 16 tokens, which is about 64 bytes of text. The
//! hash is chosen for speed, not for secrecy: a collision within one scope would only cause one bad
//! placement, since the engine compares the tokens itself. The seed separates scopes from each
//! other, so it is computed with `blake3`, over fields whose lengths are part of the input.

use model::BlockHash;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of bytes in a block.
pub const BLOCK_BYTES: usize = 64;
/// Approximate number of tokens in a block, at the usual four bytes per token.
pub const BLOCK_TOKENS: u32 = 16;

/// Seed for the hash of a chain's first block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Seed(u64);

impl Seed {
    /// Computes the seed for a cache scope, a model and a version of its weights.
    pub fn new(scope: impl AsRef<str>, model: impl AsRef<str>, weights: impl AsRef<str>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for field in [scope.as_ref(), model.as_ref(), weights.as_ref()] {
            // Without the length, ("ab", "c") and ("a", "bc") would share a cache.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }
}

/// The hash that precedes the first block of a chain.
pub fn root(seed: Seed) -> BlockHash {
    BlockHash(seed.0)
}

/// The hash of a block that follows the block with the hash `parent`.
pub fn next(parent: BlockHash, block: &[u8]) -> BlockHash {
    BlockHash(xxh3_64_with_seed(block, parent.0))
}

/// The hashes of a prompt's blocks; an incomplete last block is ignored.
pub fn chain(seed: Seed, prompt: impl AsRef<[u8]>) -> Vec<BlockHash> {
    prompt
        .as_ref()
        .chunks_exact(BLOCK_BYTES)
        .scan(root(seed), |parent, block| {
            *parent = next(*parent, block);
            Some(*parent)
        })
        .collect()
}

/// A target's weight for a prefix in rendezvous hashing; the target with the highest is preferred.
pub fn rank(prefix: BlockHash, target: u64) -> u64 {
    xxh3_64_with_seed(&target.to_le_bytes(), prefix.0)
}
