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
    accusers: Vec<MemberId>,
    /// The platform says as well that the host goes; no confirmation is awaited.
    sure: bool,
}

impl Suspicion {
    pub(crate) fn new(since: Micros, by: MemberId, sure: bool) -> Self {
        Self {
            since,
            sure,
            accusers: vec![by],
        }
    }

    /// Notes an accuser; true if it is a new one that still shortens the wait.
    pub(crate) fn confirm(&mut self, by: MemberId, set: &Settings) -> bool {
        let full = self.accusers.len() > set.confirmations as usize;
        match full || self.accusers.contains(&by) {
            true => false,
            false => {
                self.accusers.push(by);
                true
            }
        }
    }

    /// Counts anew, as after a pause of this process.
    pub(crate) fn restart(&mut self, now: Micros) {
        self.since = now;
    }

    /// When the member counts as dead.
    pub(crate) fn deadline(&self, set: &Settings, live: usize) -> Micros {
        let min = shortest(set, live);
        let max = min * set.suspicion_max;
        let confirmed = (self.accusers.len() - 1) as f64;
        let wanted = f64::from(set.confirmations);
        let share = match wanted > 0.0 && !self.sure {
            true => (confirmed + 1.0).ln() / (wanted + 1.0).ln(),
            false => 1.0,
        };
        self.since + Micros((max - (max - min) * share).max(min) as u64)
    }
}

fn shortest(set: &Settings, live: usize) -> f64 {
    set.suspicion * log_size(live) * set.period.0 as f64
}

/// The decimal logarithm of the fleet's size, at least one.
pub(crate) fn log_size(live: usize) -> f64 {
    ((live + 1) as f64).log10().max(1.0)
}
