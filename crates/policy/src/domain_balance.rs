//! How much of each failure domain's work goes to other domains.
//!
//! Load pattern: callers' demand moves between domains, in waves of 0.55 of the mean with a period of 11 to 15 s
//! and another phase in each domain, and a domain may be lost at its peak. Reports on the other domains' targets
//! are up to a second old. If every entry sends each request to the target that looked best in the last reports,
//! all entries move their work at once, and back again when the next reports arrive.
//!
//! Here only a fraction of a domain's work may leave it, and the fraction follows the difference of the loads by
//! an integral: a stale report changes the fraction's slope, never the fraction itself. The load of a domain is the
//! work that is present there, divided by the work that is present when all its targets are just in full use. Below
//! full use it is proportional to the rate of arrivals, so the integral is stable without knowing that rate.
//!
//! Each entry computes the fractions of all domains from the same reports. No message is needed, and entries that
//! have lost some reports differ only by what the slope has added meanwhile.

use std::collections::BTreeMap;

use model::Micros;

/// Parameters of the balance.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Load above which a domain is short of capacity.
    pub full: f64,
    /// Difference of loads below which no work moves.
    pub margin: f64,
    /// Change of a fraction for each unit of load, if reports are fresh. Moving a fraction changes the difference
    /// of two loads by twice that, so the loop is stable below 0.78.
    pub gain: f64,
    /// Time that work takes to show in a fresh report.
    pub response: Micros,
    /// Factor on the gain while a fraction decreases, so that two domains don't send work to each other for long.
    pub return_factor: f64,
    /// Greatest change of a fraction per second.
    pub max_slope: f64,
    /// Greatest fraction of a domain's work that leaves it while it has targets.
    pub max_share: f64,
    /// Age of a domain's reports from which on it counts as full.
    pub report_lifetime: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            full: 0.9,
            margin: 0.1,
            gain: 0.35,
            response: Micros::from_millis(400),
            return_factor: 3.0,
            max_slope: 0.3,
            max_share: 0.9,
            report_lifetime: Micros::from_millis(1_500),
        }
    }
}

/// Load at which a backlog counts no further, so that a long queue doesn't raise the slope without limit.
const MAX_LOAD: f64 = 2.0;
/// Longest time between two updates that counts, so that a fraction doesn't jump after a pause.
const MAX_STEP: Micros = Micros::from_millis(500);

/// Demand and capacity of a domain as last reported.
#[derive(Clone, Copy, Debug)]
pub struct Domain {
    /// Key of the domain.
    pub key: u64,
    /// Work that is present at its targets.
    pub demand: f64,
    /// Work that is present when its targets are just in full use; 0 if it has none left.
    pub capacity: f64,
    /// Mean time of the reports; `None` without any.
    pub at: Option<Micros>,
}

/// Fractions of the work of one pool.
#[derive(Clone, Debug, Default)]
pub struct Balance {
    updated: Option<Micros>,
    /// Loads of the domains that have targets.
    loads: BTreeMap<u64, f64>,
    /// Fractions by home domain and destination.
    shares: BTreeMap<(u64, u64), f64>,
}

impl Balance {
    /// Updates the fractions. `band` is the difference of loads that bytes between domains are worth; a domain that
    /// is full sends work elsewhere whatever they cost.
    pub fn update(&mut self, config: &Config, now: Micros, band: f64, domains: &[Domain]) {
        let step = self.updated.map_or(Micros::ZERO, |at| now.since(at));
        let seconds = step.min(MAX_STEP).as_secs_f64();
        self.updated = Some(now);
        let present = domains.iter().filter(|d| d.capacity > 0.0);
        self.loads = present.map(|d| (d.key, load(config, now, d))).collect();
        let loads = &self.loads;
        self.shares.retain(|(_, to), _| loads.contains_key(to));
        for home in domains {
            let Some(own) = self.loads.get(&home.key).copied() else {
                self.replace_lost(home.key);
                continue;
            };
            for to in domains.iter().filter(|d| d.key != home.key) {
                let Some(other) = self.loads.get(&to.key) else {
                    continue;
                };
                let gap = own - other;
                let short = (own - config.full).min(gap - config.margin);
                let wanted = short.max(gap - band.max(config.margin));
                let age = age(now, home).max(age(now, to));
                let slope = slope(config, wanted, age);
                let share = self.shares.entry((home.key, to.key)).or_default();
                *share = (*share + slope * seconds).max(0.0);
            }
            self.limit_row(home.key, config.max_share);
        }
        self.cancel_exchanges();
    }

    /// Load of a domain; `None` if it has no targets.
    pub fn load(&self, domain: u64) -> Option<f64> {
        self.loads.get(&domain).copied()
    }

    /// Fraction of a domain's work that goes to another domain.
    pub fn share(&self, home: u64, to: u64) -> f64 {
        self.shares.get(&(home, to)).copied().unwrap_or_default()
    }

    /// Fraction of a domain's work that goes to other domains.
    pub fn sent_away(&self, home: u64) -> f64 {
        self.row(home).map(|(_, share)| share).sum()
    }

    /// Domain of a request with a number that is uniform in 0 to 1.
    pub fn destination(&self, home: u64, draw: f64) -> u64 {
        let mut rest = draw;
        for (to, share) in self.row(home) {
            if rest < share {
                return to;
            }
            rest -= share;
        }
        home
    }

    fn row(&self, home: u64) -> impl Iterator<Item = (u64, f64)> + '_ {
        let row = self.shares.range((home, u64::MIN)..=(home, u64::MAX));
        row.map(|((_, to), share)| (*to, *share))
    }

    /// Divides all work of a domain without targets by what the others have left.
    fn replace_lost(&mut self, home: u64) {
        let left = |load: f64| (MAX_LOAD - load).max(0.01);
        let total: f64 = self.loads.values().map(|l| left(*l)).sum();
        let row = self.loads.iter().filter(|(to, _)| **to != home);
        let row = row.map(|(to, l)| ((home, *to), left(*l) / total));
        self.shares.extend(row);
    }

    fn limit_row(&mut self, home: u64, max: f64) {
        let sum = self.sent_away(home);
        if sum <= max {
            return;
        }
        let row = self.shares.range_mut((home, u64::MIN)..=(home, u64::MAX));
        row.for_each(|(_, share)| *share *= max / sum);
    }

    /// Subtracts what two domains would send to each other.
    fn cancel_exchanges(&mut self) {
        let keys: Vec<_> = self.shares.keys().copied().filter(|(a, b)| a < b).collect();
        for (a, b) in keys {
            let both_present = self.loads.contains_key(&a) && self.loads.contains_key(&b);
            let both = self.share(a, b).min(self.share(b, a));
            if both_present && both > 0.0 {
                self.shares.entry((a, b)).and_modify(|s| *s -= both);
                self.shares.entry((b, a)).and_modify(|s| *s -= both);
            }
        }
    }
}

fn age(now: Micros, domain: &Domain) -> Micros {
    domain.at.map_or(Micros::ZERO, |at| now.since(at))
}

fn load(config: &Config, now: Micros, domain: &Domain) -> f64 {
    match domain.at {
        Some(at) if now.since(at) < config.report_lifetime => {
            (domain.demand / domain.capacity).min(MAX_LOAD)
        }
        _ => 1.0,
    }
}

/// Change of a fraction per second. The gain is divided by the delay of the loop, which includes the age of the
/// reports.
fn slope(config: &Config, wanted: f64, age: Micros) -> f64 {
    let delay = (age + config.response).as_secs_f64();
    let factor = if wanted < 0.0 {
        config.return_factor
    } else {
        1.0
    };
    (wanted * factor * config.gain / delay.max(0.1)).clamp(-config.max_slope, config.max_slope)
}
