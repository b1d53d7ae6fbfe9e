//! Urgency classes, assigned to requests by the routing rules.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Urgency of a request; earlier variants are served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A person is waiting for the answer, on the phone or at the roadside.
    Call,
    /// A person will read the answer soon.
    #[default]
    Normal,
    /// No person is waiting for the answer.
    Batch,
}

/// Error for a string that is not the name of a class.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("unknown class `{0}`; expected `call`, `normal` or `batch`")]
pub struct UnknownClass(pub String);

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Call, Self::Normal, Self::Batch];

    /// Index of the class in [`Class::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }

    /// The class at an index of [`Class::ALL`]; the least urgent class if it is out of range.
    pub fn from_index(i: usize) -> Self {
        Self::ALL.get(i).copied().unwrap_or(Self::Batch)
    }

    /// Name of the class in rules, metrics and logs.
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
