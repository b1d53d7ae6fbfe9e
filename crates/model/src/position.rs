//! Positions in the platform's store.

use std::fmt;

/// A version in one era of the store.
///
/// A store that is restored from a copy gives versions out again, in an era that is higher by one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The era.
    pub era: u64,
    /// The version.
    pub version: u64,
}

impl Position {
    /// A version in an era.
    pub const fn new(era: u64, version: u64) -> Self {
        Self { era, version }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.version)
    }
}
