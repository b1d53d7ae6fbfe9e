//! Which engines of a pool load new weights, and when.
//!
//! Load pattern: new weights are announced every few seconds under full load, and a load takes from a tenth
//! of a second to several seconds. If all engines load as soon as they receive the announcement, none
//! serves requests meanwhile, the weight store slows all of them down, and the whole pool loses its cache
//! at once. Slots of a fixed, estimated length fail in the same way when the estimate is wrong: with slots
//! of 1 s and loads of 1.9 s, all nine engines of a pool loaded at the same time, and nearly every prompt
//! was refused for 16 s.
//!
//! Slots therefore have no estimated length. Each sidecar reports to the others which version its engine has
//! loaded and how long it has been loading, and a slot becomes free when an earlier load has ended. The
//! engines that lack the newest weights are sorted in an order that all sidecars compute alike: oldest
//! weights first, then by rank. An engine is due once fewer engines precede it than may still start to load.
//! The order needs neither a lock nor a call to the store. Since an engine that has loaded leaves the order,
//! versions that were superseded before an engine was due are skipped.
//!
//! Engines without a recent update are not part of the order, nor are engines that have been due for long
//! without loading, so a host that is unreachable, dead or slow delays no other one. A sidecar that receives
//! no updates uses a start time derived from its rank and the time allowed for the change, which keeps
//! the loads of a pool apart without any communication.
//!
//! An engine that is due loads at once: the answers it is generating stop during the load and continue
//! after it. Two alternatives were rejected: letting those answers finish first, for up to a twentieth of the
//! time allowed, and routing long answers away from engines that load soon. Without either, nine engines
//! reached 0.574 of the worth, with them 0.563 (mean of three seeds of five days), since an engine that waits
//! idle delays all the others.
//!
//! A fifth of the pool at a time leaves four fifths of its throughput, and weight stores are dimensioned for
//! about that many loads. More engines load at a time only if the time allowed would otherwise run out, and
//! never more than half of the pool: with more, the pool would serve less than it does with old weights.

use model::Micros;

/// Limits on the weight loads of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Usual number of engines that load at a time, as a fraction of the pool.
    pub share: f64,
    /// Maximum number of engines that load at a time when time is short, as a fraction of the pool.
    pub max_share: f64,
    /// Fraction of the time allowed for a change within which all engines should have loaded. The rest is
    /// for an engine that has to start its load again.
    pub target_time: f64,
    /// How long an engine may be due without loading before the others ignore it: enough time for a few
    /// refused orders.
    pub stuck_after: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            share: 0.2,
            max_share: 0.5,
            target_time: 0.75,
            stuck_after: Micros::from_secs(1),
        }
    }
}

/// Last known state of an engine of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Version of the engine's weights.
    pub version: u64,
    /// Rank among engines with equally old weights, the same at all sidecars.
    pub rank: u64,
    /// How long the engine has been loading, if it is loading.
    pub loading: Option<Micros>,
    /// How long the engine has been due without loading, if it is due.
    pub due: Option<Micros>,
}

/// State of a pool in which some engines lack the newest weights.
#[derive(Clone, Copy, Debug)]
pub struct Pool<'a> {
    /// Newest version.
    pub newest: u64,
    /// The other engines with a recent update.
    pub others: &'a [Engine],
    /// How long a load takes, if one was observed anywhere in the pool.
    pub load_time: Option<Micros>,
    /// Time allowed for the whole pool to change weights.
    pub allowed: Micros,
    /// How long the oldest weights in use have been out of date.
    pub outdated_for: Micros,
}

/// Time from a free slot to the order: one exchange of queries and answers, and one poll of the sidecar.
const CLAIM_TIME: Micros = Micros::from_millis(150);
/// Duration of a load that is assumed until one was observed.
const INITIAL_LOAD_TIME: Micros = Micros::from_millis(400);

/// Whether an engine that lacks the newest weights is due to load.
pub fn is_due(config: &Config, pool: &Pool<'_>, own: &Engine) -> bool {
    let (ahead, slots) = place(config, pool, own);
    ahead < slots
}

/// Estimated time until an engine that lacks the newest weights starts to load; zero if it is due.
pub fn time_to_load(config: &Config, pool: &Pool<'_>, own: &Engine) -> Micros {
    let (ahead, slots) = place(config, pool, own);
    let round = pool.load_time.unwrap_or(INITIAL_LOAD_TIME) + CLAIM_TIME;
    Micros(round.0 * (ahead / slots) as u64)
}

/// Number of engines that load or will load before this one, and number of slots.
fn place(config: &Config, pool: &Pool<'_>, own: &Engine) -> (usize, usize) {
    let is_stuck = |e: &&Engine| e.due.is_some_and(|d| d > config.stuck_after);
    let others = pool.others.iter().filter(|e| !is_stuck(e));
    let is_waiting = |e: &&Engine| e.version < pool.newest && e.loading.is_none();
    let loading = others.clone().filter(|e| e.loading.is_some()).count();
    let waiting = others.filter(is_waiting);
    let before = waiting
        .clone()
        .filter(|e| load_order(e) < load_order(own))
        .count();
    let pending = waiting.count() + 1;
    (before + loading, max_loading(config, pool, pending))
}

/// Sort key of the engines that wait to load.
fn load_order(engine: &Engine) -> (u64, u64) {
    (engine.version, engine.rank)
}

/// Maximum number of engines that load at the same time.
fn max_loading(config: &Config, pool: &Pool<'_>, pending: usize) -> usize {
    let engines = pool.others.len() + 1;
    let share = (engines as f64 * config.share).round() as usize;
    let max = (engines as f64 * config.max_share) as usize;
    let left = fraction(pool.allowed, config.target_time).since(pool.outdated_for);
    let needed = pool.load_time.map_or(0, |load_time| {
        let rounds = (left.0 / load_time.0.max(1)).max(1) as usize;
        pending.div_ceil(rounds)
    });
    share.max(needed).min(max).max(1)
}

/// Delay between the announcement of new weights and the load of an engine whose sidecar receives no updates
/// from the others. Such a sidecar knows only its own rank among all members.
pub fn isolated_start(config: &Config, rank: usize, engines: usize, allowed: Micros) -> Micros {
    let at_once = (engines as f64 * config.share).round().max(1.0) as usize;
    let rounds = engines.div_ceil(at_once).max(1);
    let span = fraction(allowed, config.target_time);
    Micros(span.0 * (rank / at_once) as u64 / rounds as u64)
}

/// Maximum size of a group of engines that share slots.
const MAX_GROUP_SIZE: usize = 96;

/// Returns a test for membership in the same group as `rank`. Pools that are too large for every sidecar to
/// receive the updates of all others are split into groups, and each group loads weights like a pool of its
/// own.
pub fn same_group(rank: usize, engines: usize) -> impl Fn(usize) -> bool {
    let groups = engines.div_ceil(MAX_GROUP_SIZE).max(1);
    move |other| other % groups == rank % groups
}

fn fraction(time: Micros, fraction: f64) -> Micros {
    Micros((time.0 as f64 * fraction) as u64)
}
