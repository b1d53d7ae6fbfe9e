//! How long a request waits while all engines of its pool load weights.
//!
//! Load pattern: the only engine of a pool, or all of its engines, load new weights and refuse requests
//! meanwhile, so each attempt costs the pool a retry. A request with enough time left waits for the first
//! engine that has loaded. Until a load has been observed, the remaining time is an estimate based on how
//! long the load has lasted, and a sidecar that gets no processor time reports a load long after its end. Such
//! an estimate is no reason to refuse a request: the request waits as long as its own time allows.

use model::Micros;

/// Fraction of a request's time that it may spend waiting; its answer needs the rest.
const MAX_WAIT: f64 = 0.5;

/// Remaining time of an engine's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemainingLoad {
    /// Remaining time.
    pub time: Micros,
    /// Whether the remaining time is based on the observed duration of a load.
    pub known: bool,
}

impl RemainingLoad {
    /// Remaining time of a load that has lasted for `lasted` and usually takes `takes`. A load of unknown
    /// duration is assumed to last as long again.
    pub fn new(lasted: Micros, takes: Option<Micros>) -> Self {
        let time = match takes {
            Some(takes) if takes > lasted => takes - lasted,
            Some(takes) => Micros(takes.0 / 4),
            None => lasted.max(Micros::from_millis(1)),
        };
        let known = takes.is_some();
        Self { time, known }
    }

    /// Whether a request waits for the load, if `rest` is left of its time `whole`.
    pub fn is_worth_waiting(self, rest: Micros, whole: Micros) -> bool {
        let max_wait = |t: Micros| Micros((t.0 as f64 * MAX_WAIT) as u64);
        match self.known {
            true => self.time < max_wait(rest),
            false => rest > max_wait(whole),
        }
    }
}
