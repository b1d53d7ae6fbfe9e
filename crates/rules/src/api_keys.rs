//! From an API key to the team that holds it.
//!
//! Whoever guesses at keys may time the answers. A plain comparison that stops at the first wrong
//! byte takes longer the nearer a guess came, which lets a secret be found byte by byte. A scan
//! that compares every digest in constant time says nothing, but at 1,100 teams costs more than
//! the rest of a decision. Here the digest is looked up in a hash map instead, and none of its
//! steps tells how near a guess came:
//!
//! - What is looked up is the `blake3` digest of the guess. Digests of similar keys have nothing
//!   in common, and no key can be made to have a digest near a given one.
//! - The map's place for a digest is a keyed hash of it (SipHash, with a key drawn at random in
//!   each process). Without that key nobody can choose guesses that meet a held digest's place.
//! - Digests that meet in one place all the same are compared in constant time.
//!
//! What remains to be timed is whether the map found anything, and the answer's status says as
//! much.

use std::collections::HashMap;
use std::hash::{Hash, Hasher};

use subtle::ConstantTimeEq;

use crate::config::Config;

/// The digest of an API key as a configuration holds it.
pub fn key_digest(key: impl AsRef<[u8]>) -> String {
    format!("blake3:{}", blake3::hash(key.as_ref()).to_hex())
}

/// The digest of an API key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    pub(crate) fn of(key: impl AsRef<[u8]>) -> Self {
        Self(*blake3::hash(key.as_ref()).as_bytes())
    }

    /// Reads `blake3:` and 64 hexadecimal digits.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let hex = text.strip_prefix("blake3:")?;
        blake3::Hash::from_hex(hex)
            .ok()
            .map(|h| Self(*h.as_bytes()))
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write(&self.0);
    }
}

/// Teams by the digests of their keys.
#[derive(Clone, Debug, Default)]
pub(crate) struct ApiKeys(HashMap<KeyDigest, String>);

impl ApiKeys {
    /// Collects the keys of all teams.
    pub(crate) fn new(config: &Config) -> Self {
        let held = config.team.iter().flat_map(|(name, team)| {
            team.keys
                .iter()
                .filter_map(|k| Some((KeyDigest::parse(k)?, name.clone())))
        });
        Self(held.collect())
    }

    /// The team that holds a key.
    pub(crate) fn team(&self, key: impl AsRef<[u8]>) -> Option<&str> {
        self.0.get(&KeyDigest::of(key)).map(String::as_str)
    }
}
