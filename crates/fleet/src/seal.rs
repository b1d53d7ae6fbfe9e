//! Authentication of datagrams by a key that all members share.
//!
//! A datagram is one format byte, 16 bytes of keyed BLAKE3 and the body. It proves that a member
//! sent it at some time, not that it is new: a replayed datagram passes here and is made harmless
//! by incarnations, versions and expiry times. Keys are rotated by restarting members with
//! the old key first and the new one second, then with the new one first, then with the new one
//! alone; a member seals with its first key and opens with any.

use bytes::{BufMut, Bytes, BytesMut};
use thiserror::Error;

/// Bytes that sealing adds.
pub(crate) const OVERHEAD: usize = 1 + MAC;
/// 128 bits: forging one takes 2^127 tries, and it is an eighth of a steady datagram.
const MAC: usize = 16;
/// The format; another one could be told apart from this.
const FORMAT: u8 = 1;
/// Keeps these keys apart from other uses of the same secret.
const CONTEXT: &str = "clementinestep fleet datagram 1";

/// Why a datagram wasn't opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SealError {
    /// Too short to hold a seal.
    #[error("a datagram is shorter than its seal")]
    Short,
    /// Of another format.
    #[error("a datagram has the unknown format {0}")]
    Format(u8),
    /// Sealed with none of the keys, or changed on its way.
    #[error("a datagram is sealed with none of the keys")]
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

/// The key that seals and one more that opens.
#[derive(Clone, Debug)]
pub struct Keyring {
    /// Seals and opens.
    pub first: Key,
    /// Only opens, while keys are rotated.
    pub second: Option<Key>,
}

impl Keyring {
    /// One key for both.
    pub fn new(secret: impl AsRef<[u8]>) -> Self {
        let first = Key::new(secret);
        Self {
            first,
            second: None,
        }
    }

    /// Accepts one more key.
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

    /// Gives the body of a sealed datagram.
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

/// Compares in constant time: an early exit would tell a forger how many bytes were right.
fn same(a: &[u8], b: &[u8]) -> bool {
    let diff = a.iter().zip(b).fold(0, |d, (x, y)| d | (x ^ y));
    std::hint::black_box(diff) == 0
}
