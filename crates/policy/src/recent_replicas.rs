//! The replicas that an entry used lately for each known prefix.
//!
//! Load pattern: the same few prefixes come again within seconds, and hot ones have spread over
//! more replicas than rendezvous hashing names. Without this memory an entry probes only the
//! hashed replicas, never finds the other copies, and has one more made for each request that
//! the hashed ones are too busy for.
//!
//! The memory is a hint: it says whom to ask, never that a block is there. It is kept by two
//! generations of a fixed size; when the young one is full, it replaces the old one. That bounds
//! the memory and forgets what has not been used, at the cost of one move per entry in use.
//!
//! Grounds: an entry of the target size sees 8 requests a second with some 40 grid depths each;
//! 32,768 prefixes in a generation cover at least 100 s, longer than engines keep their blocks.

use std::collections::VecDeque;

use model::{BlockHash, TargetKey};
use prefix::{grid, levels, Map, Mark};

/// How much an entry remembers.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Prefixes in one of the two generations; 32,768, some 2 MB.
    pub prefixes: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self { prefixes: 32_768 }
    }
}

/// Requests over which the share of a prefix is taken. At 8 requests a second these are the last
/// half minute, and a prefix of one replica's part in nine is among them 28 times.
const LAST: usize = 256;
/// Requests before a share is told at all.
const FEW: usize = 32;

/// Replicas remembered for one prefix.
const HOLDERS: usize = 3;

type Holders = [Option<TargetKey>; HOLDERS];

/// The prefixes known to an entry.
#[derive(Debug)]
pub struct RecentReplicas {
    config: Config,
    young: Map<BlockHash, Holders>,
    old: Map<BlockHash, Holders>,
    /// The deep levels of the last requests, and how often each is among them.
    last: VecDeque<BlockHash>,
    counts: Map<BlockHash, u32>,
}

impl RecentReplicas {
    /// An empty memory.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            young: Map::default(),
            old: Map::default(),
            last: VecDeque::new(),
            counts: Map::default(),
        }
    }

    /// The longest known prefix of a chain and the replicas used for it, the last one first.
    pub fn longest(&self, chain: &[BlockHash]) -> Option<(Mark, impl Iterator<Item = TargetKey>)> {
        let blocks = grid(chain.len() as u32).find(|d| self.get(at(chain, *d)).is_some())?;
        let hash = at(chain, blocks);
        let holders = self.get(hash)?;
        Some((Mark { blocks, hash }, holders.into_iter().flatten()))
    }

    /// Remembers that a replica got a prompt.
    pub fn record_use(&mut self, chain: &[BlockHash], target: TargetKey) {
        for depth in grid(chain.len() as u32) {
            let hash = at(chain, depth);
            let holders = first(self.get(hash).unwrap_or_default(), target);
            self.put(hash, holders);
        }
    }

    /// The part of this entry's last requests that had the same deep level.
    pub fn share(&self, chain: &[BlockHash]) -> f64 {
        let count = levels(chain).next().and_then(|m| self.counts.get(&m.hash));
        match count {
            Some(n) if self.last.len() >= FEW => f64::from(*n) / self.last.len() as f64,
            _ => 0.0,
        }
    }

    /// Counts a request for [`RecentReplicas::share`].
    pub fn record_request(&mut self, chain: &[BlockHash]) {
        let Some(mark) = levels(chain).next() else {
            return;
        };
        self.last.push_back(mark.hash);
        *self.counts.entry(mark.hash).or_default() += 1;
        if self.last.len() > LAST {
            self.forget_oldest();
        }
    }

    /// Forgets a replica for one prefix, which it turned out not to hold.
    pub fn forget(&mut self, hash: BlockHash, target: TargetKey) {
        if let Some(holders) = self.get(hash) {
            self.put(hash, holders.map(|h| h.filter(|t| *t != target)));
        }
    }

    /// Prefixes remembered.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn forget_oldest(&mut self) {
        let Some(hash) = self.last.pop_front() else {
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

fn at(chain: &[BlockHash], blocks: u32) -> BlockHash {
    chain[blocks as usize - 1]
}

/// The holders with `target` moved to the front.
fn first(holders: Holders, target: TargetKey) -> Holders {
    let mut rest = holders.into_iter().flatten().filter(|t| *t != target);
    std::array::from_fn(|i| match i {
        0 => Some(target),
        _ => rest.next(),
    })
}
