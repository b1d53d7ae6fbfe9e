//! Seals: a message authentication code (keyed hash) before each message.
//!
//! Datagrams are sealed with the fleet's key itself. The two sides of a connection first derive a
//! key of their own from two nonces. On a connection the seal also covers the message's sequence
//! number, so that a replayed, dropped or reordered message is detected at once.

use std::fmt;

use bytes::{BufMut, Bytes, BytesMut};

use crate::error::WireError;

/// Length of a seal in bytes; 128 bits can't be guessed.
pub const SEAL_LEN: usize = 16;

/// A secret shared by all processes of a fleet.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Parses 64 hexadecimal digits; surrounding white space is ignored.
    pub fn from_hex(text: impl AsRef<str>) -> Result<Self, WireError> {
        blake3::Hash::from_hex(text.as_ref().trim())
            .map(|h| Self(*h.as_bytes()))
            .map_err(|_| WireError::BadKey)
    }

    /// The key's bytes.
    pub fn bytes(&self) -> &[u8; 32] {
        &self.0
    }

    fn seal(&self, count: u64, payload: &[u8]) -> [u8; SEAL_LEN] {
        let mut h = blake3::Hasher::new_keyed(&self.0);
        h.update(&count.to_le_bytes()).update(payload);
        let mut out = [0; SEAL_LEN];
        h.finalize_xof().fill(&mut out);
        out
    }

    /// Derives the key for one direction of a connection.
    pub(crate) fn derive(&self, label: &str, client: &[u8], server: &[u8]) -> Self {
        let mut h = blake3::Hasher::new_keyed(&self.0);
        h.update(label.as_bytes()).update(client).update(server);
        Self(*h.finalize().as_bytes())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// The keys that a process accepts; it seals with the first. There are two during a key rotation.
#[derive(Clone, Debug)]
pub struct Keys {
    first: Key,
    second: Option<Key>,
}

impl Keys {
    /// Creates keys that seal with `first` and also accept `second`.
    pub fn new(first: Key, second: Option<Key>) -> Self {
        Self { first, second }
    }

    /// The key to seal with.
    pub fn first(&self) -> &Key {
        &self.first
    }

    /// All accepted keys.
    pub fn all(&self) -> impl Iterator<Item = &Key> {
        std::iter::once(&self.first).chain(&self.second)
    }

    /// Seals a message.
    pub fn seal(&self, payload: &[u8]) -> Bytes {
        sealed(&self.first, 0, payload)
    }

    /// Verifies a message's seal; returns the payload and the key that matched.
    pub fn open(&self, message: &Bytes) -> Result<(Bytes, &Key), WireError> {
        self.all()
            .find_map(|k| Some((opened(k, 0, message).ok()?, k)))
            .ok_or_else(|| open_error(message))
    }
}

/// Prepends a seal to a payload.
pub(crate) fn sealed(key: &Key, count: u64, payload: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(SEAL_LEN + payload.len());
    out.put_slice(&key.seal(count, payload));
    out.put_slice(payload);
    out.freeze()
}

/// Verifies and removes a seal.
pub(crate) fn opened(key: &Key, count: u64, message: &Bytes) -> Result<Bytes, WireError> {
    if message.len() < SEAL_LEN {
        return Err(WireError::Short(message.len()));
    }
    let payload = message.slice(SEAL_LEN..);
    let valid = constant_time_eq(&key.seal(count, &payload), &message[..SEAL_LEN]);
    valid.then_some(payload).ok_or(WireError::Seal)
}

/// Compares in constant time, so that the time of a rejection reveals nothing about the seal.
fn constant_time_eq(a: &[u8; SEAL_LEN], b: &[u8]) -> bool {
    a.iter().zip(b).fold(0, |d, (x, y)| d | (x ^ y)) == 0
}

fn open_error(message: &Bytes) -> WireError {
    match message.len() {
        n if n < SEAL_LEN => WireError::Short(n),
        _ => WireError::Seal,
    }
}
