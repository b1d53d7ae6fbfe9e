//! Authentication of datagrams with a key shared by all members.
//!
//! A datagram consists of a format byte, 16 bytes of keyed BLAKE3 and the body. The seal proves
//! that a member sent the datagram at some time, not that it is recent: a replayed datagram is
//! accepted here and made harmless by incarnations, versions and expiry times. To rotate keys,
//! restart the members with the old key first and the new one second, then with the new key first
//! and the old one second, then with the new key alone. A member seals with its first key and
//! opens with any.

use bytes::{BufMut, Bytes, BytesMut};
use thiserror::Error;

/// Bytes added by sealing.
pub(crate) const OVERHEAD: usize = 1 + MAC;
/// Length of the MAC: 128 bits. Forging one takes 2^127 attempts, and it is an eighth of a typical
/// datagram.
const MAC: usize = 16;
/// Format byte; distinguishes this format from later ones.
const FORMAT: u8 = 1;
/// Key derivation context; separates these keys from other uses of the same secret.
const CONTEXT: &str = "clementinestep fleet datagram 1";

/// Why a datagram was not opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SealError {
    /// Too short to hold a seal.
    #[error("datagram shorter than its seal")]
    Short,
    /// Unknown format.
    #[error("unknown datagram format: {0}")]
    Format(u8),
    /// Sealed with an unknown key, or altered in transit.
    #[error("datagram seal matches none of the keys")]
    Key,
}

/// A key derived from a shared secret.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from a secret of any length.
    pub fn new(secret: impl AsRef<[u8]>) -> Self {
        Self(blake3::derive_key(CONTEXT, secret.as_ref()))
    }

    fn mac(&self, body: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, body)
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

/// The key that seals, and optionally a second key that opens.
#[derive(Clone, Debug)]
pub struct Keyring {
    /// Seals and opens.
    pub first: Key,
    /// Only opens, during a key rotation.
    pub second: Option<Key>,
}

impl Keyring {
    /// A keyring with one key for sealing and opening.
    pub fn new(secret: impl AsRef<[u8]>) -> Self {
        let first = Key::new(secret);
        Self {
            first,
            second: None,
        }
    }

    /// Adds a second key that opens.
    pub fn accept(mut self, secret: impl AsRef<[u8]>) -> Self {
        self.second = Some(Key::new(secret));
        self
    }

    /// Seals a body with the first key.
    pub fn seal(&self, body: &[u8]) -> Bytes {
        let mut b = BytesMut::with_capacity(OVERHEAD + body.len());
        b.put_u8(FORMAT);
        b.put_slice(&self.first.mac(body).as_bytes()[..MAC]);
        b.put_slice(body);
        b.freeze()
    }

    /// Verifies a sealed datagram and returns its body.
    pub fn open(&self, sealed: Bytes) -> Result<Bytes, SealError> {
        match sealed.first() {
            Some(&f) if f != FORMAT => Err(SealError::Format(f)),
            _ if sealed.len() < OVERHEAD => Err(SealError::Short),
            _ => self.check(sealed),
        }
    }

    fn check(&self, sealed: Bytes) -> Result<Bytes, SealError> {
        let body = sealed.slice(OVERHEAD..);
        let mac = &sealed[1..OVERHEAD];
        let fits = |k: &Key| same(&k.mac(&body).as_bytes()[..MAC], mac);
        match fits(&self.first) || self.second.as_ref().is_some_and(fits) {
            true => Ok(body),
            false => Err(SealError::Key),
        }
    }
}

/// Compares in constant time: an early exit would reveal to a forger how many bytes are right.
fn same(a: &[u8], b: &[u8]) -> bool {
    let diff = a.iter().zip(b).fold(0, |d, (x, y)| d | (x ^ y));
    std::hint::black_box(diff) == 0
}
