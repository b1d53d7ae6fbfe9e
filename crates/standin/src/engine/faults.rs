//! How an engine misbehaves, set by `POST /faults`.

use std::sync::Mutex;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::lock;

/// How an engine misbehaves; what a `POST /faults` leaves out is back at its default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Makes every connection that is open now silent for good; new ones work.
    pub freeze: bool,
    /// All computing takes this many times as long.
    pub slow: f64,
    /// Streams still to be cut.
    pub drop: u32,
    /// Events after which such a stream is cut.
    pub after: usize,
    /// Requests still to be answered with an error instead of being run.
    pub errors: u32,
    /// Status of these answers.
    pub status: u16,
    /// Replicas, this one included, that load weights at the same time; more than two slow it.
    pub loads: u32,
    /// Milliseconds that it takes to answer a call for its load.
    pub late: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            freeze: false,
            slow: 1.0,
            drop: 0,
            after: 0,
            errors: 0,
            status: 503,
            loads: 1,
            late: 0,
        }
    }
}

/// The faults in force.
#[derive(Debug, Default)]
pub(super) struct Switch(Mutex<Faults>);

impl Switch {
    pub(super) fn set(&self, faults: Faults) {
        *lock(&self.0) = faults;
    }

    pub(super) fn get(&self) -> Faults {
        lock(&self.0).clone()
    }

    /// The status with which the next request is refused.
    pub(super) fn refusal(&self) -> Option<u16> {
        let mut f = lock(&self.0);
        f.errors = f.errors.checked_sub(1)?;
        Some(f.status)
    }

    /// Events after which the next stream is cut.
    pub(super) fn cut(&self) -> Option<usize> {
        let mut f = lock(&self.0);
        f.drop = f.drop.checked_sub(1)?;
        Some(f.after)
    }

    /// A time as it is with the engine's present slowness.
    pub(super) fn slowed(&self, time: Duration) -> Duration {
        let slow = lock(&self.0).slow;
        time.mul_f64(slow.clamp(0.0, 1e6))
    }
}
