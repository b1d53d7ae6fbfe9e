//! Time for code that makes decisions: microseconds on a monotonic clock that the caller reads.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point on a monotonic clock, or a duration, in microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

impl Micros {
    /// The clock's origin, or a duration of zero.
    pub const ZERO: Self = Self(0);
    /// Later than any time in use.
    pub const MAX: Self = Self(u64::MAX);

    /// A duration in milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// A duration in seconds.
    pub const fn from_secs(s: u64) -> Self {
        Self(s.saturating_mul(1_000_000))
    }

    /// Milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Seconds as a floating-point number, for rates.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The duration from `earlier` to `self`; zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Micros {
    type Output = Self;

    fn add(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub for Micros {
    type Output = Self;

    fn sub(self, span: Self) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl From<Duration> for Micros {
    fn from(d: Duration) -> Self {
        Self(u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
    }
}

impl From<Micros> for Duration {
    fn from(t: Micros) -> Self {
        Self::from_micros(t.0)
    }
}
