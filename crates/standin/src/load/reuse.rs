//! What was reused and what was computed in vain, from the engines' own logs.
//!
//! All engines' changes of cache are replayed in order of time. When a request searched its
//! engine's cache, the blocks at its front that any single other engine held at that moment and
//! its own did not are wasted: another choice would have found them. The oracle is one cache that
//! holds what all live ones held together at that moment.

use std::collections::{HashMap, HashSet};

use serde::Serialize;

use crate::cache::BLOCK_BYTES;
use crate::engine::{Change, RunRecord};
use crate::load::trace::TOKEN_BYTES;

/// Tokens a block.
const TOKENS: u64 = (BLOCK_BYTES / TOKEN_BYTES) as u64;

/// One engine's logs.
#[derive(Clone, Debug, Default)]
pub struct EngineLogs {
    /// What it ran.
    pub runs: Vec<RunRecord>,
    /// How its cache changed.
    pub history: Vec<Change>,
}

/// Tokens of all prompts that engines searched for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Reuse {
    /// Tokens of prompts, whole blocks only.
    pub prompt_tokens: u64,
    /// Of these, found in the cache.
    pub cached_tokens: u64,
    /// Computed although another live replica held them.
    pub wasted_tokens: u64,
    /// Held by all live replicas together.
    pub oracle_tokens: u64,
    /// Seen earlier in the run; what one cache that never evicts would give.
    pub seen_tokens: u64,
    /// Cached over all.
    pub hit_rate: f64,
    /// Wasted over all.
    pub waste_rate: f64,
    /// The oracle's over all.
    pub oracle_rate: f64,
    /// Seen over all.
    pub seen_rate: f64,
}

/// What happened at a moment.
enum Step<'a> {
    Look(&'a RunRecord),
    Change(&'a Change),
}

/// Works it out; `chain` gives the blocks of a request by its id, if it is one of this run.
pub fn reuse(logs: &[EngineLogs], chain: impl Fn(&str) -> Option<Vec<u64>>) -> Reuse {
    let mut caches = vec![HashSet::new(); logs.len()];
    let mut all = Union::default();
    let mut seen = HashSet::new();
    let mut out = Reuse::default();
    for (_, engine, step) in steps(logs) {
        match step {
            Step::Change(c) => apply(&mut caches[engine], &mut all, c),
            Step::Look(r) => {
                if let Some(chain) = chain(&r.request) {
                    out.seen_tokens += front(&chain, |h| seen.contains(h)) as u64 * TOKENS;
                    seen.extend(chain.iter().copied());
                    out.look(&caches, &all, engine, r, &chain);
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

/// Searches and changes in order of time; a search comes before changes of the same moment.
fn steps(logs: &[EngineLogs]) -> Vec<(u64, usize, Step<'_>)> {
    let mut out = Vec::new();
    for (i, l) in logs.iter().enumerate() {
        let looked = l.runs.iter().filter(|r| r.looked > 0);
        out.extend(looked.map(|r| (r.looked, i, Step::Look(r))));
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
    fn look(
        &mut self,
        caches: &[HashSet<u64>],
        all: &Union,
        own: usize,
        r: &RunRecord,
        chain: &[u64],
    ) {
        let others = caches.iter().enumerate().filter(|(i, _)| *i != own);
        let best = others
            .map(|(_, c)| front(chain, |h| c.contains(h)))
            .max()
            .unwrap_or(0);
        let union = front(chain, |h| all.0.contains_key(h));
        self.prompt_tokens += r.blocks as u64 * TOKENS;
        self.cached_tokens += r.cached as u64 * TOKENS;
        self.wasted_tokens += best.saturating_sub(r.cached) as u64 * TOKENS;
        self.oracle_tokens += union.max(r.cached) as u64 * TOKENS;
    }
}

fn front(chain: &[u64], held: impl Fn(&u64) -> bool) -> usize {
    chain.iter().take_while(|h| held(h)).count()
}

/// Blocks that any cache holds, with the number of those that do.
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
