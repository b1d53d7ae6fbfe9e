//! Which entry acts for an engine that no sidecar reports on.
//!
//! Load pattern: a pool without sidecars, or with sidecars that are dead, paused or cut off, while new
//! weights are named every few seconds. An engine that is never ordered keeps old weights, and once those
//! are too old all of its callers are refused. If each entry orders it, orders of several holders cross.
//!
//! Entries stand in an order of their own for each engine, by rendezvous hashing, those of its failure
//! domain first. Silence decides when one of them acts: each place waits for a time longer than the one
//! before it, so that an entry that is gone is followed by the next one without an agreement. An entry that
//! acts continues until a sidecar reports, or an entry with an earlier place does.
//!
//! What two entries that act at a time can order is bounded elsewhere: by slots ([`crate::slots`]) and by
//! the time between two holders ([`crate::holder`]).

use model::Micros;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Times of silence.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// After which an engine without a sidecar gets a delegate; 2 s.
    pub no_sidecar: Micros,
    /// After which a sidecar that is a member is replaced; 6 s, longer than most restarts take.
    pub silent_sidecar: Micros,
    /// After which a delegate is replaced; 1.5 s, several of its updates.
    pub lost_delegate: Micros,
    /// By which each place waits longer than the one before it; 1.5 s.
    pub step_per_rank: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            no_sidecar: Micros::from_millis(2_000),
            silent_sidecar: Micros::from_millis(6_000),
            lost_delegate: Micros::from_millis(1_500),
            step_per_rank: Micros::from_millis(1_500),
        }
    }
}

/// An entry that may act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Key of its host's name.
    pub host: u64,
    /// Key of its failure domain.
    pub domain: u64,
}

/// Place of an entry among those that may act for an engine.
pub fn rank(
    engine: u64,
    domain: u64,
    own: Entry,
    others: impl IntoIterator<Item = Entry>,
) -> usize {
    let sort_key = |e: &Entry| {
        let hash = xxh3_64_with_seed(&e.host.to_le_bytes(), engine);
        (e.domain != domain, hash, e.host)
    };
    let before = |e: &Entry| sort_key(e) < sort_key(&own);
    others.into_iter().filter(before).count()
}

/// The process that last reported on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reporter {
    /// None since the engine was listed or this process started.
    None,
    /// Its sidecar.
    Sidecar,
    /// Another entry, by its place.
    Delegate(usize),
}

/// An engine as an entry knows it.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    /// Whether its sidecar is a member.
    pub sidecar: bool,
    /// The process that last reported on it, other than this one.
    pub reporter: Reporter,
    /// For how long nothing was received from that process.
    pub silence: Micros,
}

/// Whether an entry at a place acts for an engine, or continues to.
pub fn acts(config: &Config, engine: &Engine, rank: usize, acting: bool) -> bool {
    let recent = engine.silence < config.lost_delegate;
    match engine.reporter {
        Reporter::Sidecar if recent => false,
        Reporter::Delegate(other) if recent => acting && rank < other,
        _ if acting => true,
        reporter => engine.silence >= required_silence(config, engine.sidecar, reporter, rank),
    }
}

/// Silence after which a place acts.
fn required_silence(config: &Config, sidecar: bool, reporter: Reporter, rank: usize) -> Micros {
    let base = match reporter {
        Reporter::Delegate(_) => config.lost_delegate,
        _ if sidecar => config.silent_sidecar,
        Reporter::Sidecar => config.silent_sidecar,
        Reporter::None => config.no_sidecar,
    };
    base + Micros(config.step_per_rank.0 * rank as u64)
}
