//! Rate limits of teams.
//!
//! Load pattern: a team's client misbehaves, or its nightly run starts at noon, and sends many
//! times the team's usual load. Fair queueing keeps the waits of other teams short, but the engine's
//! cache and the places in the queue are shared all the same. Without a limit the hot team evicts
//! the prefixes of all others.
//!
//! Each team has a rate and a burst, in requests and in tokens, for the whole fleet. There is no
//! shared counter: an entry enforces its part, which [`share`] computes from the team's use that
//! the entries report to each other. An entry that is lost drops out of the division at the next
//! message, and an entry without any reports uses an equal part, so that lost messages make the
//! limit slightly stricter or looser and never lift it.
//!
//! A tenth of the rate is divided equally, so that a team's first request passes at an entry that the
//! team hasn't used. A burst of two seconds covers the unevenness of a load balancer.

use model::Micros;

/// A team's limit over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Units per second.
    pub rate: f64,
    /// Most units at once.
    pub burst: f64,
}

/// How a rate is divided.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Share divided equally among all live entries; 0.1.
    pub equal: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self { equal: 0.1 }
    }
}

/// The part of a rate that one entry enforces.
///
/// `own` is the team's use at this entry, and `others` is its use at each other live entry.
pub fn share(config: &Config, rate: Rate, own: f64, others: impl IntoIterator<Item = f64>) -> Rate {
    let (count, sum) = others
        .into_iter()
        .fold((1.0, own), |(n, sum), used| (n + 1.0, sum + used.max(0.0)));
    let equal = 1.0 / count;
    let part = match sum {
        s if s > 0.0 => config.equal * equal + (1.0 - config.equal) * own / s,
        _ => equal,
    };
    Rate {
        rate: rate.rate * part,
        // With a burst below one unit, no request would ever pass.
        burst: (rate.burst * part).max(1.0),
    }
}

/// Token bucket of a team at one entry.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: Rate,
    left: f64,
    at: Micros,
    used: f64,
}

/// Time in seconds over which use is averaged.
const AVERAGING_SECS: f64 = 10.0;

impl Bucket {
    /// Creates a full bucket.
    pub fn new(now: Micros, rate: Rate) -> Self {
        Self {
            rate,
            left: rate.burst,
            at: now,
            used: 0.0,
        }
    }

    /// Changes the rate; units left are kept, up to the new burst.
    pub fn set(&mut self, now: Micros, rate: Rate) {
        self.refill(now);
        self.rate = rate;
        self.left = self.left.min(rate.burst);
    }

    /// Takes units, or returns how long until there are enough.
    ///
    /// A request for more than the burst is served from a full bucket and leaves a debt: refused for
    /// its size alone, a long request could never pass.
    pub fn take(&mut self, now: Micros, units: f64) -> Result<(), Micros> {
        self.refill(now);
        self.used += units / AVERAGING_SECS;
        let wanted = units.min(self.rate.burst);
        if self.left >= wanted {
            self.left -= units;
            return Ok(());
        }
        let missing = (wanted - self.left) / self.rate.rate.max(1e-6);
        Err(Micros((missing * 1e6) as u64 + 1))
    }

    /// Returns the units of a request that was not run.
    pub fn give_back(&mut self, units: f64) {
        self.left = (self.left + units).min(self.rate.burst);
    }

    /// Units per second requested recently, including refused ones, for [`share`].
    pub fn used(&mut self, now: Micros) -> f64 {
        self.refill(now);
        self.used
    }

    /// Adds the units earned since the last call and decays the average use.
    fn refill(&mut self, now: Micros) {
        let span = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.left = (self.left + self.rate.rate * span).min(self.rate.burst);
        self.used *= (-span / AVERAGING_SECS).exp();
    }
}
