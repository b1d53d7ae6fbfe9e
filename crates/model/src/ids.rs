//! Identifiers that cross process boundaries.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest request id a caller may choose, in bytes.
pub const ID_MAX: usize = 128;

/// A caller's request, the same in every process and attempt that serves it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(String);

/// Why a text can't be a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BadId {
    /// Nothing in it.
    #[error("a request id can't be empty")]
    Empty,
    /// More than [`ID_MAX`] bytes.
    #[error("a request id has at most {ID_MAX} bytes")]
    Long,
    /// A byte that would break logs or headers.
    #[error("a request id holds only visible ASCII characters")]
    Char,
}

impl RequestId {
    /// Takes a caller's text, if it is safe in headers and logs.
    pub fn new(text: impl Into<String>) -> Result<Self, BadId> {
        let text = text.into();
        match text.len() {
            0 => Err(BadId::Empty),
            n if n > ID_MAX => Err(BadId::Long),
            _ if !text.bytes().all(|b| b.is_ascii_graphic()) => Err(BadId::Char),
            _ => Ok(Self(text)),
        }
    }

    /// Makes an id from 128 random bits.
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

macro_rules! number {
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

number! {
    /// One try at a request; later tries have higher numbers.
    Attempt(u32)
}
number! {
    /// A process of the system, drawn at random when it starts.
    MemberId(u64)
}
number! {
    /// A life of a process or engine; a later life has a higher number.
    Incarnation(u64)
}
number! {
    /// A version of the configuration; an accepted change raises it by one.
    Version(u64)
}
number! {
    /// A cache block together with all that precedes it in its prompt.
    BlockHash(u64)
}
