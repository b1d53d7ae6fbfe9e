//! Whether a target that the platform's list lacks has left, or its row has only lapsed.
//!
//! Load pattern: the store is away for seconds. Targets that can't renew their rows lose them, though
//! they serve as before, and enter themselves again once the store is back. If that short list is
//! believed, callers are refused while all targets are idle. At any other time a target that is missing
//! has left, and what is sent there later than two seconds after that may be lost with its process.
//!
//! What tells them apart is how long nothing was known. A row lapses after three heartbeats without one,
//! and the last one may have come up to one heartbeat before the list was last known to name the target.
//! So if the list named it less than two heartbeats ago, or no read has failed since, it has left.
//!
//! How long a target is kept is a time and part of what is believed of it, so that it ends on its own:
//! a list that has lost the target doesn't change any more, and nothing else would call for a look.
//!
//! Grounds: targets are back in the list within two seconds of the store's return; the rest is for the
//! read that finds them.

use model::Micros;

/// Heartbeats within which no row lapses.
const SURE: u64 = 2;

/// How rows lapse and come back.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// How often targets renew their rows, as the platform tells; 1.2 s.
    pub heartbeat: Micros,
    /// How long after the store's return a row may still be missing; 2.2 s.
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

/// What was known of the list before it lacked a target.
#[derive(Clone, Copy, Debug)]
pub struct Gap {
    /// When it was last known to be as it was.
    pub known: Micros,
    /// When it was read without the target.
    pub read: Micros,
    /// Whether a read has failed in between.
    pub failed: bool,
    /// When the first list was read since the store was restored.
    pub restored: Option<Micros>,
}

/// Until when a target is kept that the list lacks; none if it has left.
pub fn retain_until(config: &Config, gap: &Gap) -> Option<Micros> {
    let sure = Micros(config.heartbeat.0 * SURE);
    let may_lapse = gap.failed && gap.read.since(gap.known) >= sure;
    let lapsed = may_lapse.then_some(gap.read + config.reentry);
    // A target that entered itself after the copy was made has to do so again.
    let lost = gap.restored.map(|at| at + config.reentry);
    lapsed.max(lost.filter(|until| gap.read < *until))
}
