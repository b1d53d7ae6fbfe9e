//! Settings that are one word of a few.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// A word that isn't among these.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("one of {}", .0.join(", "))]
pub struct UnknownWord(pub &'static [&'static str]);

/// An enum whose variants have a word each in settings.
macro_rules! words {
    ($(#[$doc:meta])* $name:ident { $($(#[$var:meta])* $word:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name { $($(#[$var])* $word,)* }

        impl FromStr for $name {
            type Err = UnknownWord;

            fn from_str(s: &str) -> Result<Self, UnknownWord> {
                match s {
                    $($text => Ok(Self::$word),)*
                    _ => Err(UnknownWord(&[$($text),*])),
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self { $(Self::$word => $text,)* })
            }
        }
    };
}

words! {
    /// How logs are written.
    LogFormat {
        /// Lines for people.
        Text = "text",
        /// One JSON object a line.
        Json = "json",
    }
}

words! {
    /// What a target is.
    Kind {
        /// A model engine.
        Model = "model",
        /// A plain service.
        Plain = "plain",
    }
}

words! {
    /// How replicas are chosen; all but the first are baselines for measurements.
    Policy {
        /// By probes.
        ProbePlacement = "ours",
        /// In turn.
        RoundRobin = "round-robin",
        /// By the least wait that probes report.
        LeastLoaded = "least-loaded",
        /// By hash of the prompt's opening.
        ConsistentHash = "consistent-hash",
    }
}
