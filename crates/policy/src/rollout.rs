//! Which engines of a pool take new weights, and when.
//!
//! Load pattern: new weights are named every few seconds under full load, and a load takes anything
//! from a tenth of a second to several. If all engines load when they hear of it, nothing serves
//! meanwhile, the store of weights slows all of them down, and all cached parts are gone together.
//! If each waits for a turn of a guessed length, a wrong guess does the same: with turns of 1 s and
//! loads of 1.9 s, all nine engines of a pool loaded at a time, and nearly every prompt was refused for
//! 16 s.
//!
//! So nothing is guessed. Each sidecar tells the others what its engine has loaded and since when it
//! loads; a turn begins when an earlier load has ended. Those that lack the newest weights stand in
//! one order that all sidecars know: the oldest weights first, then by rank. An engine's turn has come
//! once fewer engines stand before it than may still begin. So the order needs no lock and no call to
//! the store, and since an engine that has loaded no longer stands in the order, versions that have
//! been superseded before its turn are skipped.
//!
//! Who isn't heard doesn't stand in the order, nor does one whose turn has come long ago without a
//! load: a host that is cut off, dead or slow delays nobody. A sidecar that hears nobody falls back on
//! times dealt out by rank over the time that is allowed, which keeps a pool apart without a word.
//!
//! An engine whose turn has come loads at once: what it answers stands still meanwhile and goes on after
//! it. Letting that end first, for a twentieth of the time allowed, and keeping long answers off engines
//! that load soon was measured and left out: without either, 0.574 in place of 0.563 of the worth on nine
//! engines (mean of three seeds of five days), since places that stand empty delay all the others.
//!
//! Grounds: a fifth of the pool at a time leaves four fifths of its speed, and stores of weights are
//! laid out for about that many. More load at a time only if the time allowed would otherwise run out,
//! and never more than half: beyond that the pool would serve less than it does with old weights.

use model::Micros;

/// How a pool takes new weights.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Engines that load at a time, as a part of the pool; a fifth.
    pub share: f64,
    /// Most engines that load at a time, as a part of the pool; half.
    pub most: f64,
    /// Part of the time allowed for a change in which all engines are to have it; three quarters, so that one
    /// that has to begin anew is in time as well.
    pub hurry: f64,
    /// Time after which an engine whose turn has come stands in nobody's way; 1 s,
    /// some orders that were refused.
    pub stuck: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            share: 0.2,
            most: 0.5,
            hurry: 0.75,
            stuck: Micros::from_secs(1),
        }
    }
}

/// One engine of a pool as it was last heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// The version of its weights.
    pub version: u64,
    /// Its place among engines with equally old weights, the same for all who look.
    pub rank: u64,
    /// For how long it has been loading, if it is.
    pub loading: Option<Micros>,
    /// For how long its turn has been there without a load, if it has come.
    pub due: Option<Micros>,
}

/// A pool while some of its engines lack the newest weights.
#[derive(Clone, Copy, Debug)]
pub struct Pool<'a> {
    /// The newest version.
    pub newest: u64,
    /// The other engines that are heard of.
    pub others: &'a [Engine],
    /// How long a load takes, if one was seen anywhere in the pool.
    pub load_time: Option<Micros>,
    /// Time that is allowed for a change.
    pub allowed: Micros,
    /// For how long the oldest weights in use have been out of date.
    pub outdated: Micros,
}

/// Whether the turn of an engine that lacks the newest weights has come.
pub fn is_due(config: &Config, pool: &Pool<'_>, own: &Engine) -> bool {
    let stuck = |e: &&Engine| e.due.is_some_and(|d| d > config.stuck);
    let others = pool.others.iter().filter(|e| !stuck(e));
    let waits = |e: &&Engine| e.version < pool.newest && e.loading.is_none();
    let loading = others.clone().filter(|e| e.loading.is_some()).count();
    let waiting = others.filter(waits);
    let before = waiting.clone().filter(|e| place(e) < place(own)).count();
    let pending = waiting.count() + 1;
    before + loading < at_once(config, pool, pending)
}

/// Who goes first.
fn place(engine: &Engine) -> (u64, u64) {
    (engine.version, engine.rank)
}

/// How many engines may load at a time.
fn at_once(config: &Config, pool: &Pool<'_>, pending: usize) -> usize {
    let engines = pool.others.len() + 1;
    let share = (engines as f64 * config.share).round() as usize;
    let most = (engines as f64 * config.most) as usize;
    let left = part(pool.allowed, config.hurry).since(pool.outdated);
    let needed = pool.load_time.map_or(0, |load| {
        let rounds = (left.0 / load.0.max(1)).max(1) as usize;
        pending.div_ceil(rounds)
    });
    share.max(needed).min(most).max(1)
}

/// When an engine that hears no other one loads, after it heard of new weights. Its sidecar knows
/// only its own rank among all members.
pub fn isolated_start(config: &Config, rank: usize, engines: usize, allowed: Micros) -> Micros {
    let at_once = (engines as f64 * config.share).round().max(1.0) as usize;
    let rounds = engines.div_ceil(at_once).max(1);
    let span = part(allowed, config.hurry);
    Micros(span.0 * (rank / at_once) as u64 / rounds as u64)
}

/// Engines that agree among themselves on their turns at most.
const GROUP: usize = 96;

/// The group of engines that one belongs to, where there are too many for each to hear all. Each
/// group takes new weights like a pool of its own.
pub fn same_group(rank: usize, engines: usize) -> impl Fn(usize) -> bool {
    let groups = engines.div_ceil(GROUP).max(1);
    move |other| other % groups == rank % groups
}

fn part(time: Micros, part: f64) -> Micros {
    Micros((time.0 as f64 * part) as u64)
}
