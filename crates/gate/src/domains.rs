//! Uneven demand between domains: drives [`policy::domain_balance`] and [`policy::opening_demand`].
//!
//! The entry passes in the loads of a pool's targets, and asks which domains a request may use at which penalty, and
//! whether an opening needs one more copy. Nothing here is in force unless the settings state a cost of bytes between
//! domains or, for copies, `pressure`.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use model::Micros;
use policy::domain_balance::{self, Balance, Domain};
use policy::opening_demand::{self, Holders, Openings};
use policy::ttft_placement::Candidate;

use crate::log::{self, Event};
use crate::meter;
use crate::update::{OpeningCount, OpeningDemand};

/// Interval between two computations of the fractions; short relative to the time in which they change.
const UPDATE_INTERVAL: Micros = Micros::from_millis(100);
/// Weight of a request in the mean cost of a pool's requests.
const COST_SMOOTHING: f64 = 0.05;
/// Change of a fraction that is logged.
const LOGGED_CHANGE: f64 = 0.1;
/// Fewest tokens of an opening of which copies are made; prefilling fewer takes no longer than fetching them.
pub const MIN_OPENING_TOKENS: u32 = 500;
/// Most openings in one report: 16 bytes each at most, so that the report fits into a datagram.
const MAX_REPORTED: usize = 48;
/// Interval between two reports on openings. Half of the time that a forecast covers.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of entries up to which the interval holds. With more, it grows in proportion, so that no entry receives more
/// than 64 reports per second.
const MAX_REPORTERS: usize = 32;

/// Wait that counts as a load of 1, as a fraction of the shortest latency goal of a pool's routes. The other half is for
/// the request's own prefill.
const WAIT_SHARE: f64 = 0.5;

/// Load of one target, in a unit that is the same for the whole pool.
#[derive(Clone, Copy, Debug)]
pub struct TargetLoad {
    /// Key of the target's domain.
    pub domain: u64,
    /// Work that is present.
    pub demand: f64,
    /// Work that is present when the target is just in full use; 0 if it takes no requests.
    pub capacity: f64,
    /// Wait of a new request, in the unit of the penalties.
    pub wait: f64,
    /// Time of the report that this is from; `None` without a recent one.
    pub at: Option<Micros>,
}

/// Penalties of the domains for one request.
#[derive(Clone, Debug, Default)]
pub struct Penalties {
    /// Penalties by domain.
    known: Vec<(u64, f64)>,
    /// Penalty of all other domains.
    unknown: f64,
    /// Home domain, which has no penalty unless it is in `known`; 0 if nothing is in force.
    home: u64,
}

impl Penalties {
    /// Penalty of a domain.
    pub fn of(&self, domain: u64) -> f64 {
        let known = self.known.iter().find(|(d, _)| *d == domain);
        match known {
            Some((_, penalty)) => *penalty,
            None if domain == self.home => 0.0,
            None => self.unknown,
        }
    }

    /// A candidate without its domain's penalty and without a discount for a copy of an opening.
    pub fn undo<K: Copy, A: Copy>(&self, c: &Candidate<K, A>) -> Candidate<K, A> {
        Candidate {
            penalty: c.penalty - self.of(c.domain),
            discount: 0.0,
            ..*c
        }
    }

    /// Whether any domain has a penalty.
    pub fn is_in_force(&self) -> bool {
        self.home != 0
    }
}

/// State of one pool.
#[derive(Debug, Default)]
struct Pool {
    balance: Balance,
    updated: Option<Micros>,
    /// Mean wait by domain, of domains with recent reports.
    waits: BTreeMap<u64, f64>,
    /// Mean cost of the bytes of a request, in the unit of the penalties; `None` before the first request.
    cost: Option<f64>,
    /// Fraction of the home domain's work for other domains when it was last logged.
    logged: f64,
}

/// Balance between domains and demand for openings, as one entry knows them.
#[derive(Debug, Default)]
pub struct Domains {
    pools: HashMap<String, Pool>,
    openings: Openings<u64>,
}

impl Domains {
    /// Whether the fractions of a pool are to be computed again.
    pub fn is_due(&self, now: Micros, pool: &str) -> bool {
        let updated = self.pools.get(pool).and_then(|p| p.updated);
        updated.is_none_or(|at| now.since(at) >= UPDATE_INTERVAL)
    }

    /// Computes the fractions of a pool from the loads of its targets. `limit` is the wait, in the unit of the
    /// penalties, that counts as a load of 1.
    pub fn update(
        &mut self,
        now: Micros,
        pool: &str,
        home: u64,
        limit: f64,
        targets: impl Iterator<Item = TargetLoad>,
    ) {
        let state = self.pools.entry(pool.to_owned()).or_default();
        let mut sums: BTreeMap<u64, Sums> = BTreeMap::from([(home, Sums::default())]);
        targets.for_each(|t| sums.entry(t.domain).or_default().add(now, &t));
        let domains: Vec<_> = sums.iter().map(|(key, s)| s.domain(now, *key)).collect();
        let waits = sums.iter().filter(|(_, s)| s.reported > 0.0);
        state.waits = waits.map(|(d, s)| (*d, s.wait / s.reported)).collect();
        let config = domain_balance::Config::default();
        let band = state.cost.unwrap_or_default() / limit.max(f64::MIN_POSITIVE);
        state.balance.update(&config, now, band, &domains);
        state.updated = Some(now);
        let away = state.balance.sent_away(home);
        metrics::gauge!(meter::DOMAIN_SHARE, "pool" => pool.to_owned()).set(away);
        let ended = away == 0.0 && state.logged != 0.0;
        if ended || (away - state.logged).abs() >= LOGGED_CHANGE {
            state.logged = away;
            log::event(&Event::DomainShare {
                pool,
                away,
                load: state.balance.load(home),
            });
        }
    }

    /// Penalties of the domains for a request of this pool, with a number that is uniform in 0 to 1 and the cost of its
    /// bytes between domains.
    ///
    /// The request is drawn for a domain. Another domain is worse by the bytes, and by what its targets wait less: the
    /// difference of waits, which may be out of date, moves work only through the fractions.
    pub fn place(&mut self, pool: &str, home: u64, draw: f64, cost: f64) -> Penalties {
        let state = self.pools.entry(pool.to_owned()).or_default();
        // If the mean began at 0, expensive bytes would count as cheap for the first dozens of requests.
        let mean = state.cost.unwrap_or(cost);
        state.cost = Some(mean + (cost - mean) * COST_SMOOTHING);
        let drawn = state.balance.destination(home, draw);
        let wait = state.waits.get(&drawn).copied().unwrap_or_default();
        let penalty = |domain: u64| {
            let bytes = match domain == home {
                true => 0.0,
                false => cost,
            };
            let other = state.waits.get(&domain).copied().unwrap_or_default();
            bytes + (wait - other).max(0.0)
        };
        let domains = state.waits.keys().copied().filter(|d| *d != drawn);
        let mut known: Vec<_> = domains.map(|d| (d, penalty(d))).collect();
        known.push((drawn, 0.0));
        Penalties {
            known,
            unknown: cost + wait,
            home,
        }
    }

    /// Counts a request for an opening.
    pub fn record_opening(&mut self, now: Micros, opening: u64) {
        let config = opening_demand::Config::default();
        self.openings.record_own(&config, now, opening);
    }

    /// Whether one more engine should get an opening.
    pub fn needs_copy(&self, now: Micros, opening: u64, holders: &Holders) -> bool {
        let config = opening_demand::Config::default();
        self.openings.needs_copy(&config, now, opening, holders)
    }

    /// The report of this entry on openings, if there is anything to report.
    pub fn take_report(&mut self) -> Option<OpeningDemand> {
        let counts = self.openings.take_report(MAX_REPORTED);
        let count = |(opening, requests)| OpeningCount { opening, requests };
        let counts: Vec<_> = counts.into_iter().map(count).collect();
        (!counts.is_empty()).then_some(OpeningDemand { counts })
    }

    /// Applies the report of another entry.
    pub fn apply_report(&mut self, now: Micros, report: &OpeningDemand) {
        let config = opening_demand::Config::default();
        for c in &report.counts {
            self.openings.record(&config, now, c.opening, c.requests);
        }
    }
}

/// Interval until the next report on openings, with this number of entries.
pub fn report_interval(entries: usize) -> Duration {
    REPORT_INTERVAL * entries.div_ceil(MAX_REPORTERS).max(1) as u32
}

/// Wait in milliseconds that counts as a load of 1 in a pool whose routes have these latency goals. Routes without a goal
/// state 0; if none has one, `timeout` takes its place.
pub fn wait_limit(goals: impl Iterator<Item = Duration>, timeout: Duration) -> f64 {
    let goal = goals.filter(|g| !g.is_zero()).min().unwrap_or(timeout);
    (goal.as_secs_f64() * 1e3 * WAIT_SHARE).max(1.0)
}

/// Sums over the targets of a domain.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    demand: f64,
    /// Capacity of all targets, and of those with a recent report.
    capacity: f64,
    reported_capacity: f64,
    wait: f64,
    /// Number of targets with a recent report, and the sum of the reports' ages in seconds.
    reported: f64,
    ages: f64,
}

impl Sums {
    fn add(&mut self, now: Micros, t: &TargetLoad) {
        self.capacity += t.capacity;
        if let Some(at) = t.at.filter(|_| t.capacity > 0.0) {
            self.demand += t.demand;
            self.reported_capacity += t.capacity;
            self.wait += t.wait;
            self.reported += 1.0;
            self.ages += now.since(at).as_secs_f64();
        }
    }

    /// Targets without a report count like the domain's others.
    fn domain(&self, now: Micros, key: u64) -> Domain {
        let at = (self.reported > 0.0).then(|| {
            let age = Duration::from_secs_f64(self.ages / self.reported);
            now - Micros::from(age)
        });
        Domain {
            key,
            demand: self.demand,
            capacity: match at {
                Some(_) => self.reported_capacity,
                None => self.capacity,
            },
            at,
        }
    }
}
