//! Admission of prompts to a pool of engines that is short of memory and time.
//!
//! Load pattern: more prompts arrive than the pool can serve within their goals: a team sends many
//! times its usual load, callers come in bursts, or a quarter of the engines is gone. If each entry
//! decides alone, by the wait at the best engine, capacity goes to whoever comes first at an entry.
//! Long prompts fill the engines, and short urgent ones are late.
//!
//! Entries report to each other the tokens that each team offers at each rank, and the tokens whose
//! first events arrive. From the sums, each entry computes the pool's capacity ([`Capacity`]), the
//! forecast need of each rank, and the fraction of each team's requests that is admitted
//! ([`fair_share`]). All entries compute it from the same figures, so it needs no agreement.
//!
//! The fraction applies to requests regardless of their size. Each is drawn, with a credit that keeps
//! the admitted fraction close to the intended one. A fixed order would suit a caller that sends long
//! and short prompts in turn: at a fraction of a half, all of one kind would be refused.
//!
//! The capacity is the rate at which first events arrive while prompts wait, for each usable engine.
//! While prompts wait and the forecast need exceeds the capacity, less than the capacity is admitted,
//! so that the queues at the engines become shorter. Once none wait but requests are refused, the
//! estimate is raised until prompts wait again. If prompts haven't waited for some time, the capacity
//! counts as unknown, and nothing is refused.
//!
//! The shares are computed several times per interval, not for each request.

mod capacity;
mod peers;
mod rate;

use std::collections::BTreeMap;

use model::Micros;

use crate::fair_share::{self, Claim};
use capacity::Capacity;
use peers::Peers;
use rate::Rate;

/// How room is computed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Interval between reports; 500 ms. It grows with the number of entries above 31.
    pub interval: Micros,
    /// Time constant of the rates; 1 s. With less, bursts of a few prompts look like a shortage.
    pub window: Micros,
    /// Number of intervals for which a report counts; 3.
    pub lifetime: u32,
    /// Maximum number of flows in a report, which has to fit into a datagram; 38.
    pub max_flows: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            interval: Micros::from_millis(500),
            window: Micros::from_secs(1),
            lifetime: 3,
            max_flows: 38,
        }
    }
}

/// Share of the capacity that is admitted while prompts wait and the pool is short. With 0.85, 1,129
/// of 42,000 urgent requests were late after a step of their demand in virtual time; with 0.75, none.
const DRAIN_SHARE: f64 = 0.75;
/// Share of the requests that must have waited for the pool to count as saturated.
const SATURATED_SHARE: f64 = 0.3;
/// Time constant of the numbers of requests that have waited. With that of the rates, a pool counted
/// as saturated for 2 s after its queues were empty, and its capacity as what was admitted then.
const PICK_WINDOW: Micros = Micros::from_millis(400);
/// Number of recent requests below which the share of those that waited means nothing.
const MIN_PICKED: f64 = 3.0;
/// Time constant of the mean that the trend of a rank is relative to.
const TREND_WINDOW: f64 = 3.0;
/// Factor on the difference from that mean that extrapolates a steady rise by 1.5 s: a rate is a
/// second old, and its report up to half a second.
const TREND_FACTOR: f64 = 0.5;
/// Bounds of the expected change of a rank's demand that a fraction is corrected for. Without it, less
/// was admitted than may be while demand fell, and callers that return kept the pool short for longer.
const MIN_CHANGE: f64 = 0.5;
const MAX_CHANGE: f64 = 1.5;
/// Shortest time in seconds over whose second half the refused callers return. With 0.2 s, callers
/// came back so often that a demand of twice the capacity became one of 35 times the capacity.
const MIN_SPAN: f64 = 1.0;
/// Share of the caller's remaining time within which the caller returns, so that the answer can
/// still be in time.
const WAIT_SHARE: f64 = 0.5;
/// Fractional part of the golden ratio; its multiples modulo 1 are spread evenly at every length.
const GOLDEN: f64 = 0.618_033_988_749_894_9;
/// Odd multiplier that spreads the differences between flows over the upper bits.
const HASH_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// Number of entries up to which reports are sent at the configured interval.
const FULL_RATE_ENTRIES: usize = 31;
/// Increase of the interval for each further entry. With 100 entries, largest reports (1,073 bytes
/// and 28 of headers) take 27.4 KB/s sent and received; the budget for control is 28 KB/s.
const INTERVAL_STEP: Micros = Micros::from_millis(108);
/// Maximum number of ranks in a report for which flows are left out.
const MAX_RESTS: usize = 6;
/// Tokens per second below which a flow counts as ended.
const MIN_RATE: f64 = 1.0;
/// Largest credit or debt of a flow, in requests.
const MAX_CREDIT: f64 = 2.0;

/// A team's requests at one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey {
    /// Hash of the team's name; [`REST`] for the flows that a report leaves out.
    pub team: u64,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
}

/// Team of the flows that a report leaves out.
pub const REST: u64 = 0;

/// Recent tokens of a flow at one entry, per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowUse {
    /// The flow.
    pub key: FlowKey,
    /// Tokens offered.
    pub offered: u64,
    /// Tokens admitted.
    pub admitted: u64,
}

/// What one entry reports to the others on a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Random number of the process.
    pub process: u64,
    /// When the report was made, since the start of the process.
    pub sent: Micros,
    /// Tokens per second whose first events arrived.
    pub served: f64,
    /// Recent requests for which an engine was looked for.
    pub picked: f64,
    /// Those of them for which all engines had a wait.
    pub waited: f64,
    /// Tokens per second that an engine serves, if the sender has observed it.
    pub capacity: Option<f64>,
    /// Active flows, the largest first.
    pub flows: Vec<FlowUse>,
}

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is admitted.
    Admit,
    /// The request is refused.
    Refuse {
        /// Time after which a retry is useful.
        wait: Micros,
    },
}

/// State of a pool, for logs and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// Whether requests are refused.
    pub short: bool,
    /// Tokens per second that are offered to all entries in contact.
    pub offered: f64,
    /// Tokens per second that they admit.
    pub admitted: f64,
    /// Tokens per second that the pool serves for the entries in contact, if known.
    pub capacity: Option<f64>,
    /// Number of entries that have reported recently.
    pub reporters: usize,
}

/// Requests of one flow at this entry.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    offered: Rate,
    admitted: Rate,
    /// Requests that should have been admitted, less those that were.
    credit: f64,
    /// Number of refusals.
    refused: u64,
}

/// Room in one pool, as this entry knows it.
#[derive(Debug)]
pub struct Room {
    config: Config,
    process: u64,
    started: Micros,
    updated_at: Micros,
    reported_at: Micros,
    flows: BTreeMap<FlowKey, Flow>,
    served: Rate,
    picked: Rate,
    waited: Rate,
    peers: Peers,
    capacity: Capacity,
    /// Tokens per second that an engine serves by this and other entries' estimates, and when that
    /// was last known.
    shared: Option<(f64, Micros)>,
    weights: BTreeMap<u64, f64>,
    /// Mean demand of each rank.
    means: BTreeMap<u8, f64>,
    /// Fractions below 1 of the requests that are admitted.
    fractions: BTreeMap<FlowKey, f64>,
    /// Most urgent rank of which nothing is admitted.
    closed: Option<u8>,
    status: Status,
}

impl Room {
    /// Creates a room whose capacity is unknown. `process` is a random number.
    pub fn new(now: Micros, config: Config, process: u64) -> Self {
        Self {
            config,
            process,
            started: now,
            updated_at: now,
            reported_at: now,
            flows: BTreeMap::new(),
            served: Rate::default(),
            picked: Rate::default(),
            waited: Rate::default(),
            peers: Peers::default(),
            capacity: Capacity::default(),
            shared: None,
            weights: BTreeMap::new(),
            means: BTreeMap::new(),
            fractions: BTreeMap::new(),
            closed: None,
            status: Status::default(),
        }
    }

    /// Sets the weights of teams. A team without one gets the mean of the others, or 1.
    pub fn set_weights(&mut self, weights: BTreeMap<u64, f64>) {
        self.weights = weights;
        self.weights.retain(|_, w| *w > 0.0);
    }

    /// Sets the number of other entries, whether they report or not.
    pub fn set_entries(&mut self, others: usize) {
        self.peers.set_listed(others);
    }

    /// State of the pool at the last update.
    pub fn status(&self) -> Status {
        self.status
    }

    /// Decides on a request that has not run. `draw` is a random number from 0 to 1, and
    /// `time_left` how long the caller waits.
    pub fn offer(
        &mut self,
        now: Micros,
        key: FlowKey,
        units: u64,
        time_left: Micros,
        draw: f64,
    ) -> Decision {
        let fraction = self.fraction(key);
        let window = self.config.window;
        let flow = self.flows.entry(key).or_default();
        flow.offered.add(now, window, units as f64);
        let chance = fraction + flow.credit / 2.0;
        let admitted = fraction >= 1.0 || (fraction > 0.0 && draw < chance);
        flow.credit = match fraction {
            f if f >= 1.0 => 0.0,
            f => (flow.credit + f - f64::from(u8::from(admitted))).clamp(-MAX_CREDIT, MAX_CREDIT),
        };
        if admitted {
            flow.admitted.add(now, window, units as f64);
            return Decision::Admit;
        }
        flow.refused += 1;
        // At the present rate, the requests refused in a window are admitted within this time.
        let excess = window.as_secs_f64() * (1.0 - fraction) / fraction.max(0.01);
        let longest = (time_left.as_secs_f64() * WAIT_SHARE).max(MIN_SPAN);
        let span = excess.clamp(MIN_SPAN, longest);
        let hash = (self.process ^ key.team ^ u64::from(key.rank)).wrapping_mul(HASH_FACTOR);
        let phase = (hash >> 32) as f64 / f64::from(u32::MAX);
        let place = (phase + flow.refused as f64 * GOLDEN).fract();
        let wait = span * (1.0 + place) / 2.0;
        Decision::Refuse {
            wait: Micros((wait * 1e6) as u64),
        }
    }

    /// Counts a request that is admitted in any case, since it has run.
    pub fn record_rerun(&mut self, now: Micros, key: FlowKey, units: u64) {
        let window = self.config.window;
        let flow = self.flows.entry(key).or_default();
        flow.offered.add(now, window, units as f64);
        flow.admitted.add(now, window, units as f64);
    }

    /// Takes back an admitted request that was refused for another reason before it was sent. It
    /// remains part of the demand: otherwise urgent requests that are all late would need no room,
    /// and work that may wait would take it.
    pub fn withdraw(&mut self, now: Micros, key: FlowKey, units: u64) {
        let window = self.config.window;
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.admitted.add(now, window, -(units as f64));
        }
    }

    /// Records that an engine was looked for, and whether all of them had a wait.
    pub fn record_pick(&mut self, now: Micros, waited: bool) {
        self.picked.add(now, PICK_WINDOW, 1.0);
        self.waited
            .add(now, PICK_WINDOW, f64::from(u8::from(waited)));
    }

    /// Records the first event of a request with this many tokens.
    pub fn record_first_event(&mut self, now: Micros, units: u64) {
        self.served.add(now, self.config.window, units as f64);
    }

    /// Receives another entry's report.
    pub fn receive(&mut self, now: Micros, report: Report) {
        if report.process == self.process {
            return;
        }
        let own = self.own_offered(now);
        self.peers.receive(now, report, own);
    }

    /// Interval between reports for this number of entries.
    pub fn interval(&self) -> Micros {
        let further = (self.peers.listed() + 1).saturating_sub(FULL_RATE_ENTRIES);
        Micros(self.config.interval.0 + INTERVAL_STEP.0 * further as u64)
    }

    /// The report that is due now, if any entry has demand; one that doesn't report counts as lost.
    pub fn poll(&mut self, now: Micros) -> Option<Report> {
        let idle = self.flows.is_empty() && self.peers.offered().is_empty();
        if idle || now.since(self.reported_at) < self.interval() {
            return None;
        }
        self.reported_at = now;
        let window = self.config.window;
        let mut flows: Vec<_> = self
            .flows
            .iter()
            .map(|(key, f)| FlowUse {
                key: *key,
                offered: f.offered.get(now, window) as u64,
                admitted: f.admitted.get(now, window) as u64,
            })
            .collect();
        flows.sort_by_key(|f| (std::cmp::Reverse(f.offered), f.key));
        let mut rest: BTreeMap<u8, FlowUse> = BTreeMap::new();
        let kept = self.config.max_flows.min(flows.len());
        for left_out in flows.drain(kept..) {
            let key = FlowKey {
                team: REST,
                rank: left_out.key.rank,
            };
            let sum = rest.entry(key.rank).or_insert(FlowUse {
                key,
                offered: 0,
                admitted: 0,
            });
            sum.offered += left_out.offered;
            sum.admitted += left_out.admitted;
        }
        flows.extend(rest.into_values().take(MAX_RESTS));
        Some(Report {
            process: self.process,
            sent: now.since(self.started),
            served: self.served.get(now, window),
            picked: self.picked.get(now, PICK_WINDOW),
            waited: self.waited.get(now, PICK_WINDOW),
            capacity: self.capacity.value(),
            flows,
        })
    }

    /// Computes the shares again; `engines` is the number of usable ones. Due several times per
    /// interval. Returns whether the pool has become short, or has ceased to be.
    pub fn update(&mut self, now: Micros, engines: usize) -> bool {
        let window = self.config.window;
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.flows
            .retain(|_, f| f.offered.get(now, window) >= MIN_RATE);
        let lifetime = Micros(self.interval().0 * u64::from(self.config.lifetime));
        self.peers.expire(now, lifetime);
        let part = self.peers.part();
        let (served, picked, waited) = self.peers.sums();
        let served = (served + self.served.get(now, window)) / part;
        let picked = picked + self.picked.get(now, PICK_WINDOW);
        let waited = waited + self.waited.get(now, PICK_WINDOW);
        let saturated = picked >= MIN_PICKED && waited > picked * SATURATED_SHARE;
        let engines = engines.max(1) as f64;
        self.capacity
            .update(now, elapsed, served / engines, saturated, self.status.short);
        let mean = self.peers.mean_capacity(self.capacity.value());
        self.shared = match (mean, self.shared) {
            (Some(c), _) => Some((c, now)),
            // An entry that is cut off keeps the last estimate that it has received.
            (None, Some((_, at))) if part == 1.0 || now.since(at) > capacity::LIFETIME => None,
            (None, last) => last,
        };
        let capacity = self.shared.map(|(c, _)| c * engines * part);
        let share = if saturated { DRAIN_SHARE } else { 1.0 };
        let was_short = self.status.short;
        self.divide(now, elapsed, capacity, share);
        was_short != self.status.short
    }

    /// Computes the fractions of each flow that are admitted.
    fn divide(&mut self, now: Micros, elapsed: f64, capacity: Option<f64>, share: f64) {
        let window = self.config.window;
        let mut demand = self.peers.offered().clone();
        let mut admitted = self.peers.admitted() as f64;
        for (key, flow) in &self.flows {
            *demand.entry(*key).or_default() += flow.offered.get(now, window) as u64;
            admitted += flow.admitted.get(now, window);
        }
        let keys: Vec<_> = demand.keys().copied().collect();
        let mean = match self.weights.len() {
            0 => 1.0,
            n => self.weights.values().sum::<f64>() / n as f64,
        };
        let claims: Vec<_> = demand
            .iter()
            .map(|(key, tokens)| Claim {
                rank: key.rank,
                // Flows that a report leaves out are the smallest, so they count as within their shares.
                weight: match key.team {
                    REST => mean * 1e3,
                    team => self.weights.get(&team).copied().unwrap_or(mean),
                },
                demand: *tokens as f64,
            })
            .collect();
        let smoothing = 1.0 - (-elapsed / TREND_WINDOW).exp();
        let means = &mut self.means;
        let mut needs = 0.0;
        // Demand that is expected until the next update, relative to the present one.
        let mut expected = BTreeMap::new();
        let given = fair_share::divide(
            capacity.unwrap_or(f64::MAX) * share,
            &claims,
            |rank, demand| {
                let mean = means.entry(rank).or_insert(demand);
                *mean += (demand - *mean) * smoothing;
                let trend = (demand - *mean) * TREND_FACTOR;
                expected.insert(rank, 1.0 + trend / demand.max(MIN_RATE));
                let forecast = demand + trend.max(0.0);
                needs += forecast;
                forecast
            },
        );
        let may_refuse = self.peers.may_decide(now, self.started, self.interval());
        let capacity = capacity.filter(|_| may_refuse);
        self.status = Status {
            short: capacity.is_some_and(|c| needs > c),
            offered: claims.iter().map(|c| c.demand).sum(),
            admitted,
            capacity,
            reporters: self.peers.len(),
        };
        self.fractions.clear();
        self.closed = None;
        if !self.status.short {
            return;
        }
        for ((key, claim), given) in keys.iter().zip(&claims).zip(&given) {
            if *given >= claim.demand {
                continue;
            }
            // Also less urgent ranks without demand yet: their first requests would be admitted until
            // the next update.
            let closed = key.rank.checked_add(u8::from(*given > 0.0));
            self.closed = self.closed.into_iter().chain(closed).min();
            let change = expected.get(&key.rank).copied().unwrap_or(1.0);
            let change = f64::clamp(change, MIN_CHANGE, MAX_CHANGE);
            self.fractions
                .insert(*key, (given / claim.demand / change).min(1.0));
        }
    }

    /// Fraction of a flow's requests that are admitted.
    fn fraction(&self, key: FlowKey) -> f64 {
        match self.closed {
            Some(rank) if key.rank >= rank => 0.0,
            _ => self.fractions.get(&key).copied().unwrap_or(1.0),
        }
    }

    fn own_offered(&self, now: Micros) -> f64 {
        let window = self.config.window;
        self.flows
            .values()
            .map(|f| f.offered.get(now, window))
            .sum()
    }
}
