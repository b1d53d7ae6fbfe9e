//! The process's monotonic clock, as decision code counts it.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime};

use model::Micros;

static START: OnceLock<Instant> = OnceLock::new();

/// Now. The origin lies a day before the first call, so that spans can be taken off safely.
pub fn now() -> Micros {
    let start = START.get_or_init(Instant::now);
    Micros::from_secs(86_400) + Micros::from(start.elapsed())
}

/// Seconds since the epoch, for records that outlive the process.
pub fn unix_seconds() -> u64 {
    let d = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    d.map_or(0, |d| d.as_secs())
}

/// Microseconds since the epoch; later lives of a process draw higher ones.
pub fn incarnation() -> u64 {
    let d = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    d.map_or(0, |d| d.as_micros() as u64)
}
