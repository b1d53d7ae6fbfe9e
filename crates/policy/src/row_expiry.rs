//! Whether a target that is missing from the platform's list has left, or only its row has expired.
//!
//! Load pattern: the store is unavailable for some seconds. Targets that can't renew their rows lose them
//! although they continue to serve, and register again once the store is back. If an entry used the short
//! list of that moment, callers would be refused while all targets are idle. At any other time a missing
//! target has left, and requests sent there more than two seconds later may be lost when its process exits.
//!
//! The two cases differ in how long the state of the list was unknown. A row expires after three heartbeats
//! without renewal, and the last renewal may have come up to one heartbeat before the list was last known to
//! contain the target. So a target has left if the list contained it less than two heartbeats ago, or if no
//! read has failed since.
//!
//! The result is a time until which the target is kept, and the entry stores that time with the target, so
//! that the decision expires by itself: a list that has lost the target doesn't change again, so nothing else
//! would trigger another check.
//!
//! Targets are back in the list within two seconds of the store's return; the remaining 0.2 s are for the read
//! that finds them.

use model::Micros;

/// Number of heartbeats within which no row can expire.
const SAFE_HEARTBEATS: u64 = 2;

/// Timing of row expiry and re-registration.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Interval at which targets renew their rows, set by the platform.
    pub heartbeat: Micros,
    /// How long after the store's return the row of a running target may still be missing.
    pub reentry: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            heartbeat: Micros::from_millis(1_200),
            reentry: Micros::from_millis(2_200),
        }
    }
}

/// Reads of the list before a target was found to be missing.
#[derive(Clone, Copy, Debug)]
pub struct Gap {
    /// When the list was last known to contain the target.
    pub known: Micros,
    /// When the list was read without the target.
    pub read: Micros,
    /// Whether a read between the two times failed.
    pub failed: bool,
    /// When the list was first read after the store was restored from a backup, if it was.
    pub restored: Option<Micros>,
}

/// Until when a target missing from the list is kept; `None` if it has left.
pub fn retain_until(config: &Config, gap: &Gap) -> Option<Micros> {
    let safe = Micros(config.heartbeat.0 * SAFE_HEARTBEATS);
    let may_have_expired = gap.failed && gap.read.since(gap.known) >= safe;
    let expired = may_have_expired.then_some(gap.read + config.reentry);
    // A target that registered after the backup was made has to register again.
    let lost = gap.restored.map(|at| at + config.reentry);
    expired.max(lost.filter(|until| gap.read < *until))
}
