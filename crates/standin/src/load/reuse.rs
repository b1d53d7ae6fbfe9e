//! Reuse of cached prompt tokens, computed from the engines' logs.
//!
//! The cache changes of all engines are replayed in order of time. When a request searched the
//! cache of its engine, the leading blocks that another single engine held at that moment, but its
//! own did not, are counted as wasted: routing to that engine would have reused them. The oracle is
//! a cache that holds the blocks of all live engines at that moment.

use std::collections::{HashMap, HashSet};

use serde::Serialize;

use crate::cache::BLOCK_BYTES;
use crate::engine::{Change, RunRecord};
use crate::load::trace::TOKEN_BYTES;

/// Number of tokens per block.
const BLOCK_TOKENS: u64 = (BLOCK_BYTES / TOKEN_BYTES) as u64;

/// The logs of one engine.
#[derive(Clone, Debug, Default)]
pub struct EngineLogs {
    /// Requests that ran.
    pub runs: Vec<RunRecord>,
    /// Changes of the cache.
    pub history: Vec<Change>,
}

/// Token counts over all prompts for which an engine searched its cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Reuse {
    /// Tokens of the prompts, in whole blocks.
    pub prompt_tokens: u64,
    /// Tokens found in the cache.
    pub cached_tokens: u64,
    /// Tokens computed although another live replica held them.
    pub wasted_tokens: u64,
    /// Tokens held by any live replica.
    pub oracle_tokens: u64,
    /// Tokens that occurred earlier in the run; a single cache without eviction would hold them.
    pub seen_tokens: u64,
    /// `cached_tokens` over `prompt_tokens`.
    pub hit_rate: f64,
    /// `wasted_tokens` over `prompt_tokens`.
    pub waste_rate: f64,
    /// `oracle_tokens` over `prompt_tokens`.
    pub oracle_rate: f64,
    /// `seen_tokens` over `prompt_tokens`.
    pub seen_rate: f64,
}

/// An entry of an engine log, to be replayed.
enum Step<'a> {
    Search(&'a RunRecord),
    Change(&'a Change),
}

/// Computes the reuse of a run. `chain` returns the blocks of a request by its id, if the request
/// belongs to the run.
pub fn reuse(logs: &[EngineLogs], chain: impl Fn(&str) -> Option<Vec<u64>>) -> Reuse {
    let mut caches = vec![HashSet::new(); logs.len()];
    let mut all = Union::default();
    let mut seen = HashSet::new();
    let mut out = Reuse::default();
    for (_, engine, step) in steps(logs) {
        match step {
            Step::Change(c) => apply(&mut caches[engine], &mut all, c),
            Step::Search(r) => {
                if let Some(chain) = chain(&r.request) {
                    out.seen_tokens +=
                        cached_prefix(&chain, |h| seen.contains(h)) as u64 * BLOCK_TOKENS;
                    seen.extend(chain.iter().copied());
                    out.count_search(&caches, &all, engine, r, &chain);
                }
            }
        }
    }
    let rate = |n: u64| n as f64 / out.prompt_tokens.max(1) as f64;
    Reuse {
        hit_rate: rate(out.cached_tokens),
        waste_rate: rate(out.wasted_tokens),
        oracle_rate: rate(out.oracle_tokens),
        seen_rate: rate(out.seen_tokens),
        ..out
    }
}

/// Searches and changes in order of time; a search is ordered before changes of the same moment.
fn steps(logs: &[EngineLogs]) -> Vec<(u64, usize, Step<'_>)> {
    let mut out = Vec::new();
    for (i, l) in logs.iter().enumerate() {
        let looked = l.runs.iter().filter(|r| r.looked > 0);
        out.extend(looked.map(|r| (r.looked, i, Step::Search(r))));
        out.extend(l.history.iter().map(|c| (c.at, i, Step::Change(c))));
    }
    out.sort_by_key(|(at, _, s)| (*at, matches!(s, Step::Change(_))));
    out
}

fn apply(cache: &mut HashSet<u64>, all: &mut Union, c: &Change) {
    match c.hash {
        None => cache.drain().for_each(|h| all.remove(h)),
        Some(h) if c.stored && cache.insert(h) => all.add(h),
        Some(h) if !c.stored && cache.remove(&h) => all.remove(h),
        Some(_) => (),
    }
}

impl Reuse {
    fn count_search(
        &mut self,
        caches: &[HashSet<u64>],
        all: &Union,
        own: usize,
        r: &RunRecord,
        chain: &[u64],
    ) {
        let others = caches.iter().enumerate().filter(|(i, _)| *i != own);
        let best = others
            .map(|(_, c)| cached_prefix(chain, |h| c.contains(h)))
            .max()
            .unwrap_or(0);
        let union = cached_prefix(chain, |h| all.0.contains_key(h));
        self.prompt_tokens += r.blocks as u64 * BLOCK_TOKENS;
        self.cached_tokens += r.cached as u64 * BLOCK_TOKENS;
        self.wasted_tokens += best.saturating_sub(r.cached) as u64 * BLOCK_TOKENS;
        self.oracle_tokens += union.max(r.cached) as u64 * BLOCK_TOKENS;
    }
}

fn cached_prefix(chain: &[u64], held: impl Fn(&u64) -> bool) -> usize {
    chain.iter().take_while(|h| held(h)).count()
}

/// Blocks held by any cache, with the number of caches that hold them.
#[derive(Debug, Default)]
struct Union(HashMap<u64, usize>);

impl Union {
    fn add(&mut self, hash: u64) {
        *self.0.entry(hash).or_default() += 1;
    }

    fn remove(&mut self, hash: u64) {
        match self.0.get_mut(&hash) {
            Some(1) => drop(self.0.remove(&hash)),
            Some(n) => *n -= 1,
            None => (),
        }
    }
}
