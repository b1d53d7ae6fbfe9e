//! A hash map for keys that are hashes already.
//!
//! The standard hasher resists keys chosen by an attacker and takes most of a look-up's time. Block
//! hashes depend on a seed that callers don't know, and the ids come from the engine, so that
//! one multiplication, which also spreads ids that merely count up, is enough.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

/// A map keyed by block hashes or engines' ids.
pub type Map<K, V> = HashMap<K, V, BuildHasherDefault<IntHasher>>;

/// Hashes one 64-bit number.
#[derive(Clone, Copy, Debug, Default)]
pub struct IntHasher(u64);

/// An odd number with evenly spread bits: 2^64 divided by the golden ratio.
const SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;

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
        let mixed = (self.0 ^ n).wrapping_mul(SPREAD);
        // The map takes its buckets from the low bits, which the product leaves the weakest.
        self.0 = mixed ^ (mixed >> 32);
    }
}
