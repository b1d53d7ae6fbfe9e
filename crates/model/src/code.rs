//! How a request that wasn't answered ended, in terms that callers can act on.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known of a request's effect at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No target ever saw it; sending it again is safe.
    NotRun,
    /// A target ran it and said that it failed.
    Failed,
    /// A target may have run it in part or in whole.
    Unknown,
}

impl Outcome {
    /// The value of the `x-outcome` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $num:literal, $text:literal, $status:literal;)*) => {
        /// Why a request has no answer; the text of each is stable.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Code { $($(#[$doc])* $name = $num,)* }

        impl Code {
            /// Every code, for documentation and tests.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The stable text in error bodies, logs and metrics.
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// The HTTP status that goes with it.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// The code with a number from the wire.
            pub const fn from_number(n: u32) -> Option<Self> {
                match n { $($num => Some(Self::$name),)* _ => None }
            }
        }
    };
}

codes! {
    /// The request can't be read.
    BadRequest = 1, "bad_request", 400;
    /// No team has this key.
    UnknownTeam = 2, "unknown_team", 401;
    /// A rule refuses it.
    Refused = 3, "refused", 403;
    /// No rule matches it.
    NoRule = 4, "no_rule", 404;
    /// The path exists, but not with this method.
    BadMethod = 5, "bad_method", 405;
    /// The idempotency key was used before; the first attempt may have run.
    AlreadyAttempted = 6, "already_attempted", 409;
    /// The body is larger than allowed.
    TooLarge = 7, "too_large", 413;
    /// It crashed its targets and is not tried again.
    Quarantined = 8, "quarantined", 422;
    /// The team is over its share.
    Limited = 9, "limited", 429;
    /// Everything that could serve it is full.
    Overloaded = 10, "overloaded", 503;
    /// It could not have been answered by its deadline.
    Deadline = 11, "deadline", 504;
    /// No target of the pool is reachable.
    NoTarget = 12, "no_target", 503;
    /// The process is stopping.
    Draining = 13, "draining", 503;
    /// The platform's tables are away and this request needs them.
    PlatformDown = 14, "platform_down", 503;
    /// The target was lost while it ran the request.
    TargetLost = 15, "target_lost", 502;
    /// The target's answer can't be read.
    BadAnswer = 16, "bad_answer", 502;
    /// The caller went away.
    Cancelled = 17, "cancelled", 499;
    /// A fault of the router itself.
    Internal = 18, "internal", 500;
    /// No configuration is in force yet.
    NotReady = 19, "not_ready", 503;
}

impl Code {
    /// The number used between processes.
    pub const fn number(self) -> u32 {
        self as u32
    }

    /// Whether the same request may be answered if it comes back later.
    pub const fn is_retryable(self) -> bool {
        matches!(
            self,
            Self::Limited
                | Self::Overloaded
                | Self::NoTarget
                | Self::Draining
                | Self::PlatformDown
                | Self::NotReady
        )
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
