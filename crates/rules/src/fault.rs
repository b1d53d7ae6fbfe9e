//! What can be wrong with a configuration.

use std::fmt;

use thiserror::Error;

/// One thing that is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{line}:{column}: {message}")]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
}

/// All that is wrong with one text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|x| writeln!(f, "{x}"))
    }
}
