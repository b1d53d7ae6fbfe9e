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

use model::{BlockHash, TargetKey};
use prefix::{grid, Map, Mark};

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

/// Replicas remembered for one prefix.
const HOLDERS: usize = 3;

type Holders = [Option<TargetKey>; HOLDERS];

/// The prefixes known to an entry.
#[derive(Debug)]
pub struct Recent {
    config: Config,
    young: Map<BlockHash, Holders>,
    old: Map<BlockHash, Holders>,
}

impl Recent {
    /// An empty memory.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            young: Map::default(),
            old: Map::default(),
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
    pub fn used(&mut self, chain: &[BlockHash], target: TargetKey) {
        for depth in grid(chain.len() as u32) {
            let hash = at(chain, depth);
            let holders = first(self.get(hash).unwrap_or_default(), target);
            self.put(hash, holders);
        }
    }

    /// Forgets a replica for one prefix, which it turned out not to hold.
    pub fn missed(&mut self, hash: BlockHash, target: TargetKey) {
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
