//! Lookup of the team that an API key belongs to, safe against timing attacks.
//!
//! An attacker who guesses keys can measure response times. A comparison that stops at the first
//! wrong byte takes longer the more bytes of a guess are right, so that a secret can be found byte
//! by byte. Comparing the key with every digest in constant time leaks nothing, but with 1,100
//! teams costs more than the rest of a decision. This module looks the digest up in a hash map
//! instead, and no step of the lookup reveals how close a guess is:
//!
//! - The lookup uses the `blake3` digest of the guess. Digests of similar keys have nothing in
//!   common, and it is infeasible to construct a key whose digest is close to a given one.
//! - The bucket of a digest depends on a keyed hash (SipHash, with a random key in each process).
//!   Without that key, an attacker can't choose guesses that fall into the bucket of a stored
//!   digest.
//! - Digests that collide nevertheless are compared in constant time.
//!
//! Timing can then reveal only whether the key was found, which the response status says anyway.

use std::collections::HashMap;
use std::hash::{Hash, Hasher};

use subtle::ConstantTimeEq;

use crate::config::Config;

/// The digest of an API key as it is written in a configuration.
pub fn key_digest(key: impl AsRef<[u8]>) -> String {
    format!("blake3:{}", blake3::hash(key.as_ref()).to_hex())
}

/// `blake3` digest of an API key; compared in constant time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub(crate) fn of(key: impl AsRef<[u8]>) -> Self {
        Self(*blake3::hash(key.as_ref()).as_bytes())
    }

    /// Parses `blake3:` and 64 hexadecimal digits.
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
    /// Collects the keys of all teams; malformed digests are skipped.
    pub(crate) fn new(config: &Config) -> Self {
        let entries = config.team.iter().flat_map(|(name, team)| {
            team.keys
                .iter()
                .filter_map(|k| Some((KeyDigest::parse(k)?, name.clone())))
        });
        Self(entries.collect())
    }

    /// Name of the team that a key belongs to.
    pub(crate) fn team(&self, key: impl AsRef<[u8]>) -> Option<&str> {
        self.0.get(&KeyDigest::of(key)).map(String::as_str)
    }
}
