//! Identifiers that cross process boundaries.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a request id chosen by a caller, in bytes.
pub const ID_MAX: usize = 128;

/// Identifies a caller's request in every process and in every attempt to serve it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(String);

/// Why a string is not a valid request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BadId {
    /// The string is empty.
    #[error("a request id can't be empty")]
    Empty,
    /// The string is longer than [`ID_MAX`] bytes.
    #[error("a request id has at most {ID_MAX} bytes")]
    Long,
    /// The string has a byte that is unsafe in logs or headers.
    #[error("a request id holds only visible ASCII characters")]
    Char,
}

impl RequestId {
    /// Validates an id chosen by a caller: it must be safe in headers and logs.
    pub fn new(text: impl Into<String>) -> Result<Self, BadId> {
        let text = text.into();
        match text.len() {
            0 => Err(BadId::Empty),
            n if n > ID_MAX => Err(BadId::Long),
            _ if !text.bytes().all(|b| b.is_ascii_graphic()) => Err(BadId::Char),
            _ => Ok(Self(text)),
        }
    }

    /// Creates an id from 128 random bits.
    pub fn from_bits(bits: u128) -> Self {
        Self(format!("{bits:032x}"))
    }

    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

macro_rules! numeric_id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

numeric_id! {
    /// Number of an attempt to serve a request; later attempts have higher numbers.
    Attempt(u32)
}
numeric_id! {
    /// Identifies a process of the system; drawn at random when the process starts.
    MemberId(u64)
}
numeric_id! {
    /// Incarnation of a process or engine: each restart has a higher number.
    Incarnation(u64)
}
numeric_id! {
    /// Version of the configuration; each accepted change raises it by one.
    Version(u64)
}
numeric_id! {
    /// Hash of a cache block and of all blocks before it in the prompt.
    BlockHash(u64)
}
