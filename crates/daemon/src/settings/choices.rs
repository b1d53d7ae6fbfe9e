//! Settings whose value is one of a few words.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// The value isn't any of these words.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("one of {}", .0.join(", "))]
pub struct UnknownChoice(pub &'static [&'static str]);

/// Defines an enum with the word that stands for each variant in settings.
macro_rules! choices {
    ($(#[$doc:meta])* $name:ident { $($(#[$var:meta])* $word:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name { $($(#[$var])* $word,)* }

        impl FromStr for $name {
            type Err = UnknownChoice;

            fn from_str(s: &str) -> Result<Self, UnknownChoice> {
                match s {
                    $($text => Ok(Self::$word),)*
                    _ => Err(UnknownChoice(&[$($text),*])),
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

choices! {
    /// Format of the logs.
    LogFormat {
        /// Plain text.
        Text = "text",
        /// One JSON object per line.
        Json = "json",
    }
}

choices! {
    /// Kind of a target.
    Kind {
        /// A model engine.
        Model = "model",
        /// A plain service.
        Plain = "plain",
    }
}

choices! {
    /// How replicas are chosen. All but the first are baselines for comparison.
    Policy {
        /// By probes of a few replicas; see `policy::probe_placement`.
        ProbePlacement = "ours",
        /// Each replica in rotation.
        RoundRobin = "round-robin",
        /// The replica with the least wait, by probes of all replicas.
        LeastLoaded = "least-loaded",
        /// By a hash of the start of the prompt.
        ConsistentHash = "consistent-hash",
    }
}
