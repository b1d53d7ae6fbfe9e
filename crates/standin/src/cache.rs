//! The prefix cache of an engine: prompt blocks, evicted in order of least recent use and after
//! some seconds without use.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Bytes of prompt per block; four bytes count as a token.
pub const BLOCK_BYTES: usize = 64;

/// A change of the cache, as an engine publishes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Event {
    /// A block was stored.
    Stored {
        /// Hash of the block, which identifies it.
        hash: u64,
        /// Hash of the preceding block; none for the first block of a prompt.
        parent: Option<u64>,
        /// Cache salt; empty except in the first block of a prompt.
        scope: String,
        /// Text of the block.
        text: String,
    },
    /// A block was evicted.
    Removed {
        /// Hash of the block.
        hash: u64,
    },
    /// All blocks were removed.
    Cleared,
    /// Other weights were loaded.
    Weights {
        /// Name of the weights.
        version: String,
    },
}

/// A cached block and its last use.
#[derive(Clone, Debug)]
struct Block {
    parent: Option<u64>,
    scope: String,
    text: String,
    last_use_tick: u64,
    last_used: Instant,
}

/// A bounded set of blocks.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    max_idle: Duration,
    tick: u64,
    blocks: HashMap<u64, Block>,
    order: BTreeMap<u64, u64>,
}

impl Cache {
    /// An empty cache for `capacity` blocks, each evicted after `max_idle` without use.
    pub fn new(capacity: usize, max_idle: Duration) -> Self {
        Self {
            capacity,
            max_idle,
            tick: 0,
            blocks: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Number of leading blocks of a chain that are cached. Marks them as used.
    pub fn find(&mut self, now: Instant, chain: &[u64]) -> usize {
        let held = |h: &&u64| self.blocks.contains_key(*h);
        let found = chain.iter().take_while(held).count();
        self.touch(now, &chain[..found]);
        found
    }

    /// Stores the blocks `from..to` of a prompt. Appends the changes to `out`.
    pub fn store(&mut self, now: Instant, range: &BlockRange<'_>, out: &mut Vec<Event>) {
        let texts = range
            .prompt
            .chunks_exact(BLOCK_BYTES)
            .zip(range.chain)
            .enumerate();
        for (i, (text, &hash)) in texts.take(range.to).skip(range.from) {
            if self.blocks.contains_key(&hash) {
                continue;
            }
            self.make_room(out);
            let parent = i.checked_sub(1).map(|p| range.chain[p]);
            let block = Block {
                parent,
                scope: parent.map_or(range.scope, |_| "").to_owned(),
                text: String::from_utf8_lossy(text).into_owned(),
                last_use_tick: 0,
                last_used: now,
            };
            out.push(stored_event(hash, &block));
            self.blocks.insert(hash, block);
        }
        self.touch(now, &range.chain[..range.to]);
    }

    /// Evicts blocks that have been unused for too long.
    pub fn expire(&mut self, now: Instant, out: &mut Vec<Event>) {
        while let Some((_, hash)) = self.order.first_key_value() {
            let old = |b: &Block| now.saturating_duration_since(b.last_used) >= self.max_idle;
            if !self.blocks.get(hash).is_some_and(old) {
                break;
            }
            self.evict(out);
        }
    }

    /// The blocks of a prompt up to a given one, if all of them are cached.
    pub fn prefix(&self, hash: u64) -> Option<CachedPrefix> {
        let mut texts = Vec::new();
        let mut at = Some(hash);
        let mut scope = String::new();
        while let Some(h) = at {
            let b = self.blocks.get(&h)?;
            texts.push(b.text.clone());
            scope.clone_from(&b.scope);
            at = b.parent;
        }
        texts.reverse();
        Some(CachedPrefix { scope, texts })
    }

    /// Number of cached blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no block is cached.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Removes all blocks.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.order.clear();
    }

    /// All blocks as `Stored` events, parents before children.
    pub fn list(&self) -> Vec<Event> {
        self.order
            .values()
            .rev()
            .filter_map(|h| Some(stored_event(*h, self.blocks.get(h)?)))
            .collect()
    }

    /// Marks blocks as used, the last one first, so that a chain is evicted from its end.
    fn touch(&mut self, now: Instant, chain: &[u64]) {
        for hash in chain.iter().rev() {
            let Some(b) = self.blocks.get_mut(hash) else {
                continue;
            };
            self.tick += 1;
            self.order.remove(&b.last_use_tick);
            b.last_use_tick = self.tick;
            b.last_used = now;
            self.order.insert(self.tick, *hash);
        }
    }

    fn make_room(&mut self, out: &mut Vec<Event>) {
        while self.blocks.len() >= self.capacity.max(1) && self.evict(out) {}
    }

    fn evict(&mut self, out: &mut Vec<Event>) -> bool {
        let Some((_, hash)) = self.order.pop_first() else {
            return false;
        };
        self.blocks.remove(&hash);
        out.push(Event::Removed { hash });
        true
    }
}

/// A computed range of blocks of a prompt.
#[derive(Clone, Copy, Debug)]
pub struct BlockRange<'a> {
    /// Cache salt.
    pub scope: &'a str,
    /// The whole prompt.
    pub prompt: &'a [u8],
    /// Hashes of all blocks of the prompt.
    pub chain: &'a [u64],
    /// First block of the range.
    pub from: usize,
    /// First block after the range.
    pub to: usize,
}

/// The leading blocks of a prompt up to a given one, as exported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedPrefix {
    /// Cache salt.
    pub scope: String,
    /// Texts of the blocks.
    pub texts: Vec<String>,
}

fn stored_event(hash: u64, b: &Block) -> Event {
    Event::Stored {
        hash,
        parent: b.parent,
        scope: b.scope.clone(),
        text: b.text.clone(),
    }
}

/// The hashes of the whole blocks of a prompt; each depends on all blocks before it and on the
/// scope.
pub fn chain(scope: &str, prompt: &[u8]) -> Vec<u64> {
    let mut parent = None;
    prompt
        .chunks_exact(BLOCK_BYTES)
        .map(|text| {
            let h = hash(parent, scope, text);
            parent = Some(h);
            h
        })
        .collect()
}

fn hash(parent: Option<u64>, scope: &str, text: &[u8]) -> u64 {
    let mut h = xxhash_rust::xxh3::Xxh3::with_seed(parent.unwrap_or(0));
    if parent.is_none() {
        h.update(scope.as_bytes());
    }
    h.update(text);
    h.digest()
}
