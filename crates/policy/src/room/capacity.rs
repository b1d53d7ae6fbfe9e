//! Tokens per second that an engine of a pool serves.

use model::Micros;

/// Time constant in seconds with which the estimate follows the served rate while prompts wait.
const FOLLOW_WINDOW: f64 = 2.0;
/// Increase per second while requests are refused and no prompts wait, for each second that this has
/// lasted: slow near a good estimate, fast if the estimate is far too low.
const GROWTH: f64 = 0.1;
/// Highest estimate that an increase leads to, relative to the served rate.
const MAX_GROWN: f64 = 1.2;
/// Time after the first event before which the served rate, a mean over a second, is too low.
const SETTLING: Micros = Micros::from_secs(2);
/// Time constant in seconds of the highest served rate.
const PEAK_WINDOW: f64 = 30.0;
/// Share of the highest served rate that the estimate doesn't fall below. A pause of all engines,
/// as while most of them load weights, would otherwise close the pool for many seconds.
const MIN_PEAK_SHARE: f64 = 0.5;
/// Time without waiting prompts and refusals after which the estimate is forgotten.
pub(super) const LIFETIME: Micros = Micros::from_secs(10);

/// Observed capacity of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Capacity {
    /// The estimate, and when it was last used or prompts last waited.
    known: Option<(f64, Micros)>,
    /// When prompts last waited.
    saturated_at: Micros,
    /// When the first events arrived.
    first_at: Option<Micros>,
    /// Highest rate served lately, also without waiting prompts.
    peak: f64,
}

impl Capacity {
    /// The estimate, if there is one.
    pub(super) fn value(&self) -> Option<f64> {
        self.known.map(|(value, _)| value)
    }

    /// Records the rate that an engine serves, and whether prompts wait and requests are refused.
    pub(super) fn update(
        &mut self,
        now: Micros,
        elapsed: f64,
        served: f64,
        saturated: bool,
        short: bool,
    ) {
        self.peak = (self.peak * (-elapsed / PEAK_WINDOW).exp()).max(served);
        if saturated {
            self.saturated_at = now;
        }
        if served > 0.0 {
            self.first_at.get_or_insert(now);
        }
        let settled = self.first_at.is_some_and(|at| now.since(at) >= SETTLING);
        self.known = match self.known {
            // Whatever was served lately is a lower bound.
            None if saturated && settled => Some((self.peak, now)),
            None => None,
            Some((value, _)) if saturated => {
                let change = (served - value) * (1.0 - (-elapsed / FOLLOW_WINDOW).exp());
                Some(((value + change).max(self.peak * MIN_PEAK_SHARE), now))
            }
            Some((value, _)) if short => {
                let lasted = now.since(self.saturated_at).as_secs_f64();
                let grown = value * (1.0 + GROWTH * lasted * elapsed);
                Some((grown.min(served * MAX_GROWN).max(value), now))
            }
            Some((_, at)) if now.since(at) > LIFETIME => None,
            Some((value, at)) => Some((value.max(served), at)),
        };
    }
}
