//! A fast hash map for keys that are block hashes or engine ids.
//!
//! The standard hasher resists keys chosen by an attacker, but takes most of the time of a lookup.
//! Block hashes depend on a seed that callers don't know, and ids come from the engine, so one
//! multiplication is enough. It also spreads ids that are assigned consecutively.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

/// A map keyed by block hashes or by engines' block ids.
pub type Map<K, V> = HashMap<K, V, BuildHasherDefault<IntHasher>>;

/// Hasher for a single 64-bit integer.
#[derive(Clone, Copy, Debug, Default)]
pub struct IntHasher(u64);

/// Multiplier: an odd number with evenly spread bits, 2^64 divided by the golden ratio.
const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

impl Hasher for IntHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u64(u64::from(*byte));
        }
    }

    fn write_u64(&mut self, n: u64) {
        let mixed = (self.0 ^ n).wrapping_mul(MULTIPLIER);
        // The map selects buckets by the low bits, which are the weakest bits of the product.
        self.0 = mixed ^ (mixed >> 32);
    }
}
