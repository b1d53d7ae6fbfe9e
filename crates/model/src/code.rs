//! Error codes and outcomes of requests that got no answer, as reported to callers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request without an answer took effect at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No target received the request; sending it again is safe.
    NotRun,
    /// A target ran the request and reported a failure.
    Failed,
    /// A target may have run the request in part or completely.
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
        /// Why a request got no answer. The text of each code is part of the public interface.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Code { $($(#[$doc])* $name = $num,)* }

        impl Code {
            /// All codes, for documentation and tests.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The stable text in error bodies, logs and metrics.
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// The HTTP status of responses with this code.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Looks up a code by its number in wire messages.
            pub const fn from_number(n: u32) -> Option<Self> {
                match n { $($num => Some(Self::$name),)* _ => None }
            }
        }
    };
}

codes! {
    /// The request is malformed.
    BadRequest = 1, "bad_request", 400;
    /// The API key belongs to no team.
    UnknownTeam = 2, "unknown_team", 401;
    /// A routing rule rejects the request.
    Refused = 3, "refused", 403;
    /// No routing rule matches the request.
    NoRule = 4, "no_rule", 404;
    /// The path exists but does not support this method.
    BadMethod = 5, "bad_method", 405;
    /// The idempotency key was used before; the first attempt may have run.
    AlreadyAttempted = 6, "already_attempted", 409;
    /// The request body exceeds the size limit.
    TooLarge = 7, "too_large", 413;
    /// The request crashed its targets and is not retried.
    Quarantined = 8, "quarantined", 422;
    /// The team exceeds its share.
    Limited = 9, "limited", 429;
    /// All targets that could serve the request are full.
    Overloaded = 10, "overloaded", 503;
    /// The request could not be answered within its deadline.
    Deadline = 11, "deadline", 504;
    /// No target of the pool is reachable.
    NoTarget = 12, "no_target", 503;
    /// The process is shutting down.
    Draining = 13, "draining", 503;
    /// The request needs the platform's tables, which are unavailable.
    PlatformDown = 14, "platform_down", 503;
    /// The target crashed or became unreachable while it ran the request.
    TargetLost = 15, "target_lost", 502;
    /// The target's answer is malformed.
    BadAnswer = 16, "bad_answer", 502;
    /// The caller disconnected.
    Cancelled = 17, "cancelled", 499;
    /// An internal error of the router.
    Internal = 18, "internal", 500;
    /// No configuration has been loaded yet.
    NotReady = 19, "not_ready", 503;
}

impl Code {
    /// The code's number in wire messages.
    pub const fn number(self) -> u32 {
        self as u32
    }

    /// Whether the same request may succeed if the caller sends it again later.
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
