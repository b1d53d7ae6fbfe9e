//! Positions in the version history of the platform's store.

use std::fmt;

/// A version of the store, qualified by its era.
///
/// A store restored from a backup assigns the same version numbers again. Each restore raises the
/// era by one, so that positions from before and after it can be told apart and ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Era of the store; each restore from a backup raises it by one.
    pub era: u64,
    /// Version number within the era.
    pub version: u64,
}

impl Position {
    /// Creates a position.
    pub const fn new(era: u64, version: u64) -> Self {
        Self { era, version }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.version)
    }
}
