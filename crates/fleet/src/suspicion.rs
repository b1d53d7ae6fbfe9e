//! How long a member stays suspected.
//!
//! One slow process wrongly suspects many others. Without the longer wait until others confirm
//! it, such a process would have live members declared dead; one would notice targets that come
//! and go. Real deaths are confirmed by several members within a period or two, so they aren't
//! noticeably later for it.

use model::{MemberId, Micros};

use crate::Settings;

/// A suspicion that may still be refuted.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    since: Micros,
    reporters: Vec<MemberId>,
    /// The platform says as well that the host goes; no confirmation is awaited.
    host_leaving: bool,
}

impl Suspicion {
    pub(crate) fn new(since: Micros, by: MemberId, host_leaving: bool) -> Self {
        Self {
            since,
            host_leaving,
            reporters: vec![by],
        }
    }

    /// Notes an accuser; true if it is a new one that still shortens the wait.
    pub(crate) fn confirm(&mut self, by: MemberId, settings: &Settings) -> bool {
        let full = self.reporters.len() > settings.confirmations as usize;
        match full || self.reporters.contains(&by) {
            true => false,
            false => {
                self.reporters.push(by);
                true
            }
        }
    }

    /// Counts anew, as after a pause of this process.
    pub(crate) fn restart(&mut self, now: Micros) {
        self.since = now;
    }

    /// When the member counts as dead.
    pub(crate) fn deadline(&self, settings: &Settings, live: usize) -> Micros {
        let min = min_timeout(settings, live);
        let max = min * settings.suspicion_max_mult;
        let confirmed = (self.reporters.len() - 1) as f64;
        let needed = f64::from(settings.confirmations);
        let share = match needed > 0.0 && !self.host_leaving {
            true => (confirmed + 1.0).ln() / (needed + 1.0).ln(),
            false => 1.0,
        };
        self.since + Micros((max - (max - min) * share).max(min) as u64)
    }
}

fn min_timeout(settings: &Settings, live: usize) -> f64 {
    settings.suspicion_mult * log_size(live) * settings.probe_period.0 as f64
}

/// The decimal logarithm of the fleet's size, at least one.
pub(crate) fn log_size(live: usize) -> f64 {
    ((live + 1) as f64).log10().max(1.0)
}
