//! Clocks: monotonic time for decisions, and wall-clock time.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime};

use model::Micros;

static START: OnceLock<Instant> = OnceLock::new();

/// Monotonic time. It is one day at the first call, so that subtracting durations doesn't
/// underflow.
pub fn now() -> Micros {
    let start = START.get_or_init(Instant::now);
    Micros::from_secs(86_400) + Micros::from(start.elapsed())
}

/// Seconds since the Unix epoch, for records that outlive the process.
pub fn unix_seconds() -> u64 {
    let d = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    d.map_or(0, |d| d.as_secs())
}

/// Incarnation for this process: microseconds since the Unix epoch, so that later incarnations of
/// a process have higher numbers.
pub fn incarnation() -> u64 {
    let d = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    d.map_or(0, |d| d.as_micros() as u64)
}
