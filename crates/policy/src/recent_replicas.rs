//! The replicas that an entry recently used for each known prefix.
//!
//! Load pattern: the same few prefixes recur within seconds, and hot prefixes have spread over
//! more replicas than rendezvous hashing selects. Without this memory an entry probes only the
//! hashed replicas, never finds the other copies, and causes another copy for each request that
//! the hashed replicas are too busy for.
//!
//! The memory is a hint: it selects replicas to probe and doesn't prove that a block is cached. It
//! consists of two generations of a fixed size; when the young one is full, it replaces the old one.
//! This bounds the memory and drops prefixes that are no longer used, at the cost of one move per
//! prefix in use.
//!
//! An entry of the intended size receives 8 requests a second with some 40 grid depths each, so that
//! 32,768 prefixes in a generation cover at least 100 s, longer than engines keep their blocks.

use std::collections::VecDeque;

use model::{BlockHash, TargetKey};
use prefix::{grid, levels, Map, Mark};

/// Size of an entry's memory.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Prefixes in each of the two generations; 32,768, some 2 MB.
    pub prefixes: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self { prefixes: 32_768 }
    }
}

/// Requests over which the share of a prefix is computed. At 8 requests a second these are the last
/// half minute, and a prefix with one replica's share of nine is among them 28 times.
const SHARE_WINDOW: usize = 256;
/// Requests needed before a share is reported.
const MIN_REQUESTS: usize = 32;

/// Replicas remembered for one prefix.
const REPLICAS_PER_PREFIX: usize = 3;

type Holders = [Option<TargetKey>; REPLICAS_PER_PREFIX];

/// Recently used replicas by prefix.
#[derive(Debug)]
pub struct RecentReplicas {
    config: Config,
    young: Map<BlockHash, Holders>,
    old: Map<BlockHash, Holders>,
    /// Deepest levels of the last requests, and how often each occurs among them.
    last_requests: VecDeque<BlockHash>,
    counts: Map<BlockHash, u32>,
}

impl RecentReplicas {
    /// Creates an empty memory.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            young: Map::default(),
            old: Map::default(),
            last_requests: VecDeque::new(),
            counts: Map::default(),
        }
    }

    /// The longest known prefix of a chain and the replicas used for it, the latest first.
    pub fn longest(&self, chain: &[BlockHash]) -> Option<(Mark, impl Iterator<Item = TargetKey>)> {
        let blocks =
            grid(chain.len() as u32).find(|d| self.get(prefix_hash(chain, *d)).is_some())?;
        let hash = prefix_hash(chain, blocks);
        let holders = self.get(hash)?;
        Some((Mark { blocks, hash }, holders.into_iter().flatten()))
    }

    /// Records that a replica received a prompt.
    pub fn record_use(&mut self, chain: &[BlockHash], target: TargetKey) {
        for depth in grid(chain.len() as u32) {
            let hash = prefix_hash(chain, depth);
            let holders = move_to_front(self.get(hash).unwrap_or_default(), target);
            self.put(hash, holders);
        }
    }

    /// Share of this entry's last requests that had the same deepest level.
    pub fn share(&self, chain: &[BlockHash]) -> f64 {
        let count = levels(chain).next().and_then(|m| self.counts.get(&m.hash));
        match count {
            Some(n) if self.last_requests.len() >= MIN_REQUESTS => {
                f64::from(*n) / self.last_requests.len() as f64
            }
            _ => 0.0,
        }
    }

    /// Counts a request for [`RecentReplicas::share`].
    pub fn record_request(&mut self, chain: &[BlockHash]) {
        let Some(mark) = levels(chain).next() else {
            return;
        };
        self.last_requests.push_back(mark.hash);
        *self.counts.entry(mark.hash).or_default() += 1;
        if self.last_requests.len() > SHARE_WINDOW {
            self.forget_oldest();
        }
    }

    /// Removes a replica that turned out not to hold a prefix.
    pub fn forget(&mut self, hash: BlockHash, target: TargetKey) {
        if let Some(holders) = self.get(hash) {
            self.put(hash, holders.map(|h| h.filter(|t| *t != target)));
        }
    }

    /// Number of remembered prefixes.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether no prefix is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn forget_oldest(&mut self) {
        let Some(hash) = self.last_requests.pop_front() else {
            return;
        };
        match self.counts.get_mut(&hash) {
            Some(n) if *n > 1 => *n -= 1,
            _ => {
                self.counts.remove(&hash);
            }
        }
    }

    fn get(&self, hash: BlockHash) -> Option<Holders> {
        let known = self.young.get(&hash).or_else(|| self.old.get(&hash));
        known.copied().filter(|h| h.iter().any(Option::is_some))
    }

    fn put(&mut self, hash: BlockHash, holders: Holders) {
        if self.young.len() >= self.config.prefixes && !self.young.contains_key(&hash) {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(hash, holders);
    }
}

/// Hash of the prefix of a chain that is `blocks` long.
fn prefix_hash(chain: &[BlockHash], blocks: u32) -> BlockHash {
    chain[blocks as usize - 1]
}

/// The holders with `target` moved to the front.
fn move_to_front(holders: Holders, target: TargetKey) -> Holders {
    let mut rest = holders.into_iter().flatten().filter(|t| *t != target);
    std::array::from_fn(|i| match i {
        0 => Some(target),
        _ => rest.next(),
    })
}
