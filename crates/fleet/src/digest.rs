//! Digest of a configuration text; distinguishes two texts of one version.

use bytes::Bytes;

use crate::PacketError;

/// The first 128 bits of the BLAKE3 hash of a text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// Computes the digest of a text.
    pub fn of(text: impl AsRef<[u8]>) -> Self {
        let hash = blake3::hash(text.as_ref());
        let mut d = [0; 16];
        d.copy_from_slice(&hash.as_bytes()[..16]);
        Self(d)
    }

    /// The digest as a message field; empty for the default, which means no text.
    pub(crate) fn to_wire(self) -> Bytes {
        match self == Self::default() {
            true => Bytes::new(),
            false => Bytes::copy_from_slice(&self.0),
        }
    }

    /// Reads the digest from a message field.
    pub(crate) fn from_wire(b: &Bytes) -> Result<Self, PacketError> {
        match b.len() {
            0 => Ok(Self::default()),
            n => Ok(Self(b[..].try_into().map_err(|_| PacketError::Digest(n))?)),
        }
    }
}

impl std::fmt::Display for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}
