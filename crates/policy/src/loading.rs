//! How long a request waits while all engines of its pool load weights.
//!
//! Load pattern: a pool's only engine, or all of them, load new weights, and refuse what is sent to them
//! meanwhile; each such try costs the pool a retry. A request that has the time waits for the first engine
//! that has loaded. Before a load was observed its length is a guess, made from how long it has lasted, and
//! a sidecar without processor time reports a load as lasting long after its end. Such a guess refuses
//! no request: it waits as long as it can.

use model::Micros;

/// Part of a request's time for which it waits; its answer needs the rest.
const WAIT: f64 = 0.5;

/// How long an engine continues to load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemainingLoad {
    /// The time.
    pub time: Micros,
    /// Whether it comes from the observed length of a load.
    pub known: bool,
}

impl RemainingLoad {
    /// What is left of a load that has lasted for some time and usually takes so long. One of unknown length
    /// is taken to last as long again.
    pub fn new(lasted: Micros, takes: Option<Micros>) -> Self {
        let time = match takes {
            Some(takes) if takes > lasted => takes - lasted,
            Some(takes) => Micros(takes.0 / 4),
            None => lasted.max(Micros::from_millis(1)),
        };
        let known = takes.is_some();
        Self { time, known }
    }

    /// Whether a request waits for that, with so much left of the time that it had.
    pub fn is_worth_waiting(self, rest: Micros, whole: Micros) -> bool {
        let part = |t: Micros| Micros((t.0 as f64 * WAIT) as u64);
        match self.known {
            true => self.time < part(rest),
            false => rest > part(whole),
        }
    }
}
