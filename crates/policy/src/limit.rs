//! How much each team may send.
//!
//! Load pattern: one team's client goes wrong, or its night run starts at noon, and sends many
//! times its usual load. Fair queueing keeps the others' waits short, but the engine's cache and
//! the queue's places are shared all the same. Without a limit the hot team evicts everyone's
//! prefixes.
//!
//! Each team has a rate and a burst, in requests and in tokens, for the whole fleet. No counter is
//! shared: an entry enforces its part, which [`share`] works out from what the entries tell each
//! other of the team's use. An entry that is lost drops out of the division at the next message,
//! and one without any news takes an equal part, so that a loss of messages makes the limit
//! stricter or looser by little and never lifts it.
//!
//! Grounds: a tenth of the rate is divided equally, so that a team's first request at an entry
//! that it hasn't used passes; a burst of two seconds covers the unevenness of a balancer.

use model::Micros;

/// A team's limit over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Units a second.
    pub rate: f64,
    /// Most units at once.
    pub burst: f64,
}

/// How a rate is divided.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The part divided equally among all live entries; 0.1.
    pub equal: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self { equal: 0.1 }
    }
}

/// The part of a rate that one entry enforces.
///
/// `own` is the team's use at this entry, `others` that at each other live entry.
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
        // Below one unit nothing would ever pass.
        burst: (rate.burst * part).max(1.0),
    }
}

/// What a team may still send at one entry.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: Rate,
    left: f64,
    at: Micros,
    used: f64,
}

/// Time over which use is averaged.
const USED: f64 = 10.0;

impl Bucket {
    /// A full bucket.
    pub fn new(now: Micros, rate: Rate) -> Self {
        Self {
            rate,
            left: rate.burst,
            at: now,
            used: 0.0,
        }
    }

    /// Changes the rate; what is left stays, up to the new burst.
    pub fn set(&mut self, now: Micros, rate: Rate) {
        self.refill(now);
        self.rate = rate;
        self.left = self.left.min(rate.burst);
    }

    /// Takes units, or says how long until there are enough.
    ///
    /// More than the burst at once is taken from a full bucket, as a debt: refused for its size
    /// alone, a long request could never pass.
    pub fn take(&mut self, now: Micros, units: f64) -> Result<(), Micros> {
        self.refill(now);
        self.used += units / USED;
        let wanted = units.min(self.rate.burst);
        if self.left >= wanted {
            self.left -= units;
            return Ok(());
        }
        let missing = (wanted - self.left) / self.rate.rate.max(1e-6);
        Err(Micros((missing * 1e6) as u64 + 1))
    }

    /// Gives units back, of a request that was not run.
    pub fn give_back(&mut self, units: f64) {
        self.left = (self.left + units).min(self.rate.burst);
    }

    /// Units a second wanted of late, refused ones included, for [`share`].
    pub fn used(&mut self, now: Micros) -> f64 {
        self.refill(now);
        self.used
    }

    fn refill(&mut self, now: Micros) {
        let span = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.left = (self.left + self.rate.rate * span).min(self.rate.burst);
        self.used *= (-span / USED).exp();
    }
}
