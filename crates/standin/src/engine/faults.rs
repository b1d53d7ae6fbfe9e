//! Injected faults of an engine, set by `POST /faults`.

use std::sync::Mutex;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::lock;

/// Injected faults of an engine. `POST /faults` resets the fields that it omits to their defaults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Freezes every connection that is open now, for good; new connections work.
    pub freeze: bool,
    /// Factor by which all computation is slowed down.
    pub slow: f64,
    /// Number of streams still to be cut.
    pub drop: u32,
    /// Number of events after which such a stream is cut.
    pub after: usize,
    /// Number of requests still to be answered with an error instead of being run.
    pub errors: u32,
    /// HTTP status of these error answers.
    pub status: u16,
    /// Number of replicas, this one included, that load weights at the same time; more than two
    /// slow the load down.
    pub loads: u32,
    /// Milliseconds by which answers to `GET /load` are delayed.
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

/// The faults currently in force.
#[derive(Debug, Default)]
pub(super) struct ActiveFaults(Mutex<Faults>);

impl ActiveFaults {
    pub(super) fn set(&self, faults: Faults) {
        *lock(&self.0) = faults;
    }

    pub(super) fn get(&self) -> Faults {
        lock(&self.0).clone()
    }

    /// Counts down the requests to refuse and returns the status for this one, if it is refused.
    pub(super) fn take_error(&self) -> Option<u16> {
        let mut f = lock(&self.0);
        f.errors = f.errors.checked_sub(1)?;
        Some(f.status)
    }

    /// Counts down the streams to cut and returns after how many events this one is cut, if at all.
    pub(super) fn take_cut(&self) -> Option<usize> {
        let mut f = lock(&self.0);
        f.drop = f.drop.checked_sub(1)?;
        Some(f.after)
    }

    /// A duration multiplied by the current slowdown.
    pub(super) fn slowed(&self, duration: Duration) -> Duration {
        let slow = lock(&self.0).slow;
        duration.mul_f64(slow.clamp(0.0, 1e6))
    }
}
