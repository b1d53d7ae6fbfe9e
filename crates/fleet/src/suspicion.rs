//! How long a member stays suspected before it is declared dead.
//!
//! A single slow process wrongly suspects many members. The timeout is therefore long until other
//! members confirm the suspicion; otherwise one slow process could have live members declared
//! dead, and their targets would disappear and come back. Real deaths are confirmed by several
//! members within a period or two, so the longer timeout hardly delays them.

use model::{MemberId, Micros};

use crate::Settings;

/// A suspicion that can still be refuted.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    since: Micros,
    /// The member that raised the suspicion and those that confirmed it.
    reporters: Vec<MemberId>,
    /// The platform has announced that the host is leaving, so the shortest timeout applies
    /// without confirmations.
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

    /// Records a confirmation; true if it is from a new member and still shortens the timeout.
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

    /// Restarts the timeout, as after a pause of this process.
    pub(crate) fn restart(&mut self, now: Micros) {
        self.since = now;
    }

    /// When the member is declared dead. The timeout shrinks from the longest to the shortest with
    /// the logarithm of the confirmations (Lifeguard).
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

/// The shortest timeout, in microseconds.
fn min_timeout(settings: &Settings, live: usize) -> f64 {
    settings.suspicion_mult * log_size(live) * settings.probe_period.0 as f64
}

/// The decimal logarithm of the fleet size, at least one.
pub(crate) fn log_size(live: usize) -> f64 {
    ((live + 1) as f64).log10().max(1.0)
}
