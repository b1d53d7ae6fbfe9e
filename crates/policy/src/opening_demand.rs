//! Copies of openings whose rate of requests rises.
//!
//! Load pattern: one of a hundred openings becomes hot within seconds, and one or two engines hold it. Without this
//! module a copy is made only when a holder's queue costs more than the copy, so the requests in that queue are late
//! already. Waiting doesn't make the copy cheaper.
//!
//! An entry counts its own requests for each opening and those that other entries report. Own requests alone aren't
//! enough: of 40 requests per second at 31 entries, each receives 1.3. Two averages of different length give the rate
//! and its trend. If the rate forecast for the time when a copy would be ready exceeds
//! what the holders can serve, the first engine without the opening, in an order that all entries share, becomes
//! cheaper by what computing the opening late would cost. One of the callers' requests then goes there and fetches
//! the opening; no request is made for the copy.

use std::collections::HashMap;
use std::hash::Hash;

use model::Micros;

/// Parameters of the forecast.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Length of the short average. Shorter ones take a few requests at random for a rise.
    pub short: Micros,
    /// Length of the long average.
    pub long: Micros,
    /// Time until a copy is ready and known to all entries: a fetch, and an interval of reports.
    pub horizon: Micros,
    /// Excess of the short over the long average from which on a rate rises, as a multiple of the standard deviation of
    /// the number of requests that arrive at random.
    pub significance: f64,
    /// Part of an engine's time that one opening may take; the rest is for other openings.
    pub engine_share: f64,
    /// Greatest number of openings that are remembered; those that were requested longest ago are dropped.
    pub max_openings: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            short: Micros::from_millis(1_000),
            long: Micros::from_millis(4_000),
            horizon: Micros::from_millis(1_000),
            significance: 1.5,
            engine_share: 0.4,
            max_openings: 512,
        }
    }
}

/// Engines that hold an opening, and the work that it brings.
#[derive(Clone, Copy, Debug)]
pub struct Holders {
    /// Number of engines that hold the opening or are about to.
    pub count: usize,
    /// Milliseconds of an engine that a request takes at a holder.
    pub work: f64,
}

/// Recent requests for an opening.
#[derive(Clone, Copy, Debug)]
struct Opening {
    short: f64,
    long: f64,
    at: Micros,
}

/// Recent requests for openings.
#[derive(Clone, Debug)]
pub struct Openings<K> {
    known: HashMap<K, Opening>,
    /// Own requests that haven't been reported yet.
    unreported: HashMap<K, u32>,
}

impl<K> Default for Openings<K> {
    fn default() -> Self {
        Self {
            known: HashMap::new(),
            unreported: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> Openings<K> {
    /// Counts a request that has arrived at this entry.
    pub fn record_own(&mut self, config: &Config, now: Micros, key: K) {
        self.record(config, now, key, 1);
        if self.unreported.len() < config.max_openings || self.unreported.contains_key(&key) {
            *self.unreported.entry(key).or_default() += 1;
        }
    }

    /// Takes the own requests since the last report: those for the openings with the most, at most `max`.
    pub fn take_report(&mut self, max: usize) -> Vec<(K, u32)> {
        let mut counts: Vec<_> = self.unreported.drain().collect();
        counts.sort_unstable_by_key(|(_, n)| std::cmp::Reverse(*n));
        counts.truncate(max);
        counts
    }

    /// Counts requests that have just arrived here, or that another entry reports.
    pub fn record(&mut self, config: &Config, now: Micros, key: K, requests: u32) {
        let is_new = !self.known.contains_key(&key);
        if is_new && self.known.len() >= config.max_openings {
            let oldest = self.known.iter().min_by_key(|(_, o)| o.at).map(|(k, _)| *k);
            oldest.and_then(|k| self.known.remove(&k));
        }
        let seen = self.decayed(config, now, key);
        let (short, long) = seen.unwrap_or_default();
        let opening = Opening {
            short: short + f64::from(requests),
            long: long + f64::from(requests),
            at: now,
        };
        self.known.insert(key, opening);
    }

    /// Number of openings that are remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no opening is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Requests per second that are forecast at all entries for the time when a copy would be ready; `None` if the
    /// rate doesn't rise.
    pub fn rising_rate(&self, config: &Config, now: Micros, key: K) -> Option<f64> {
        let (short, long) = self.decayed(config, now, key)?;
        let (s, l) = (config.short.as_secs_f64(), config.long.as_secs_f64());
        let (recent, usual) = (short / s, long / l);
        // One is added since few requests say little about the usual rate.
        let deviation = (usual * s + 1.0).sqrt();
        if short - usual * s < config.significance * deviation {
            return None;
        }
        // The averages are as old as they are long.
        let trend = (recent - usual) / (l - s).max(0.1);
        Some(recent + trend * config.horizon.as_secs_f64())
    }

    /// Whether one more engine should get an opening.
    pub fn needs_copy(&self, config: &Config, now: Micros, key: K, holders: &Holders) -> bool {
        // Without a holder there is nothing to fetch, and the first requests choose one engine anyway.
        let Some(rate) = self
            .rising_rate(config, now, key)
            .filter(|_| holders.count > 0)
        else {
            return false;
        };
        let needed = rate * holders.work / 1e3;
        needed > holders.count as f64 * config.engine_share
    }

    /// The decayed counts of an opening.
    fn decayed(&self, config: &Config, now: Micros, key: K) -> Option<(f64, f64)> {
        let o = self.known.get(&key)?;
        let age = now.since(o.at).as_secs_f64();
        let decay = |length: Micros| (-age / length.as_secs_f64()).exp();
        Some((o.short * decay(config.short), o.long * decay(config.long)))
    }
}

/// Milliseconds by which the engine for a new copy becomes cheaper: the time in which the missing tokens of the opening
/// would be computed. That covers the fetch and the tokens evicted for it, but no wait at a busy engine.
pub fn discount(missing: u32, prefill_per_token: f64) -> f64 {
    f64::from(missing) * prefill_per_token
}
