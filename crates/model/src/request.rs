//! What the rules say of a request's urgency.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// How urgent a request is; earlier variants are served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A person waits on the line or at the roadside.
    Call,
    /// A person will look at the answer soon.
    #[default]
    Normal,
    /// Nobody waits.
    Batch,
}

/// A text that names no class.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is no class; known are `call`, `normal` and `batch`")]
pub struct UnknownClass(pub String);

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Call, Self::Normal, Self::Batch];

    /// Position in [`Class::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }

    /// The class at a position of [`Class::ALL`]; the least urgent if there is none.
    pub fn from_index(i: usize) -> Self {
        Self::ALL.get(i).copied().unwrap_or(Self::Batch)
    }

    /// The name used in rules, metrics and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::Normal => "normal",
            Self::Batch => "batch",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Class {
    type Err = UnknownClass;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|c| c.as_str() == s)
            .ok_or_else(|| UnknownClass(s.to_owned()))
    }
}
