//! Which entry acts for an engine on which no sidecar reports.
//!
//! Load pattern: a pool has no sidecars, or its sidecars are dead, paused or partitioned, while new weights
//! are published every few seconds. An engine that gets no order keeps old weights, and once those are too
//! old all of its requests are refused. If every entry sent orders, orders of several holders would arrive
//! out of order.
//!
//! For each engine, rendezvous hashing ranks the entries, those in the engine's failure domain first. An
//! entry acts after a time without reports that grows with its rank, so the next entry replaces one that is
//! gone without any agreement. An entry that acts continues until a sidecar reports, or an entry of lower
//! rank does.
//!
//! When two entries act at the same time, their orders are limited by slots ([`crate::slots`]) and by the
//! time between two holders ([`crate::holder`]).

use model::Micros;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Times without a report after which an entry acts.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// For an engine without a sidecar; 2 s.
    pub no_sidecar: Micros,
    /// For an engine whose sidecar is a member; 6 s, longer than most restarts take.
    pub silent_sidecar: Micros,
    /// For an engine whose last report came from another delegate; 1.5 s, several update intervals.
    pub lost_delegate: Micros,
    /// Additional time for each rank; 1.5 s.
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
    /// Hash of its host's name.
    pub host: u64,
    /// Hash of its failure domain.
    pub domain: u64,
}

/// Rank of the entry `own` among all entries that may act for an engine; 0 is the first to act.
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

/// Kind of the process that last reported on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reporter {
    /// No process has reported since the engine was listed or this process started.
    None,
    /// The engine's sidecar.
    Sidecar,
    /// Another entry, with its rank.
    Delegate(usize),
}

/// What an entry has received about an engine.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    /// Whether the engine's sidecar is a member.
    pub sidecar: bool,
    /// The last process other than this one that reported on the engine.
    pub reporter: Reporter,
    /// Time since the last report of that process.
    pub silence: Micros,
}

/// Whether the entry of a rank acts for an engine; `acting` says whether it does so already.
pub fn acts(config: &Config, engine: &Engine, rank: usize, acting: bool) -> bool {
    let recent = engine.silence < config.lost_delegate;
    match engine.reporter {
        Reporter::Sidecar if recent => false,
        Reporter::Delegate(other) if recent => acting && rank < other,
        _ if acting => true,
        reporter => engine.silence >= required_silence(config, engine.sidecar, reporter, rank),
    }
}

/// Time without a report after which the entry of a rank acts.
fn required_silence(config: &Config, sidecar: bool, reporter: Reporter, rank: usize) -> Micros {
    let base = match reporter {
        Reporter::Delegate(_) => config.lost_delegate,
        _ if sidecar => config.silent_sidecar,
        Reporter::Sidecar => config.silent_sidecar,
        Reporter::None => config.no_sidecar,
    };
    base + Micros(config.step_per_rank.0 * rank as u64)
}
