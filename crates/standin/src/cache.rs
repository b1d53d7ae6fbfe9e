//! An engine's prefix cache: blocks of prompt; the least recently used go first, and all that
//! lie unused for some seconds.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Bytes of prompt a block; four bytes stand for a token.
pub const BLOCK_BYTES: usize = 64;

/// What an engine publishes of its cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Event {
    /// A block was computed.
    Stored {
        /// The engine's name for it.
        hash: u64,
        /// The block before it; none for a prompt's first.
        parent: Option<u64>,
        /// Cache salt; only with a prompt's first.
        scope: String,
        /// The block's text.
        text: String,
    },
    /// A block was evicted.
    Removed {
        /// The engine's name for it.
        hash: u64,
    },
    /// All blocks are gone.
    Cleared,
    /// Other weights were loaded.
    Weights {
        /// Their name.
        version: String,
    },
}

#[derive(Clone, Debug)]
struct Block {
    parent: Option<u64>,
    scope: String,
    text: String,
    tick: u64,
    used: Instant,
}

/// A bounded set of blocks.
#[derive(Debug)]
pub struct Cache {
    size: usize,
    age: Duration,
    tick: u64,
    blocks: HashMap<u64, Block>,
    order: BTreeMap<u64, u64>,
}

impl Cache {
    /// An empty cache of `size` blocks, each evicted after `age` without use.
    pub fn new(size: usize, age: Duration) -> Self {
        Self {
            size,
            age,
            tick: 0,
            blocks: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Blocks held at a chain's front, which count as used from now on.
    pub fn find(&mut self, now: Instant, chain: &[u64]) -> usize {
        let held = |h: &&u64| self.blocks.contains_key(*h);
        let found = chain.iter().take_while(held).count();
        self.touch(now, &chain[..found]);
        found
    }

    /// Adds the blocks `from..to` of a prompt and of its chain.
    pub fn store(&mut self, now: Instant, add: &BlockRange<'_>, out: &mut Vec<Event>) {
        let texts = add
            .prompt
            .chunks_exact(BLOCK_BYTES)
            .zip(add.chain)
            .enumerate();
        for (i, (text, &hash)) in texts.take(add.to).skip(add.from) {
            if self.blocks.contains_key(&hash) {
                continue;
            }
            self.make_room(out);
            let parent = i.checked_sub(1).map(|p| add.chain[p]);
            let block = Block {
                parent,
                scope: parent.map_or(add.scope, |_| "").to_owned(),
                text: String::from_utf8_lossy(text).into_owned(),
                tick: 0,
                used: now,
            };
            out.push(stored(hash, &block));
            self.blocks.insert(hash, block);
        }
        self.touch(now, &add.chain[..add.to]);
    }

    /// Evicts what lay unused for too long.
    pub fn expire(&mut self, now: Instant, out: &mut Vec<Event>) {
        while let Some((_, hash)) = self.order.first_key_value() {
            let old = |b: &Block| now.saturating_duration_since(b.used) >= self.age;
            if !self.blocks.get(hash).is_some_and(old) {
                break;
            }
            self.evict(out);
        }
    }

    /// The blocks that lead to this one, the first first.
    pub fn path(&self, hash: u64) -> Option<Path> {
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
        Some(Path { scope, texts })
    }

    /// Blocks held.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Drops everything.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.order.clear();
    }

    /// All blocks as they would be published, parents before children.
    pub fn list(&self) -> Vec<Event> {
        self.order
            .values()
            .rev()
            .filter_map(|h| Some(stored(*h, self.blocks.get(h)?)))
            .collect()
    }

    /// Marks blocks as used, the last first, so that a chain is evicted from its end.
    fn touch(&mut self, now: Instant, chain: &[u64]) {
        for hash in chain.iter().rev() {
            let Some(b) = self.blocks.get_mut(hash) else {
                continue;
            };
            self.tick += 1;
            self.order.remove(&b.tick);
            b.tick = self.tick;
            b.used = now;
            self.order.insert(self.tick, *hash);
        }
    }

    fn make_room(&mut self, out: &mut Vec<Event>) {
        while self.blocks.len() >= self.size.max(1) && self.evict(out) {}
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

/// Part of a prompt that was computed.
#[derive(Clone, Copy, Debug)]
pub struct BlockRange<'a> {
    /// Cache salt.
    pub scope: &'a str,
    /// The whole prompt.
    pub prompt: &'a [u8],
    /// Hashes of all its blocks.
    pub chain: &'a [u64],
    /// First block of the piece.
    pub from: usize,
    /// First block after it.
    pub to: usize,
}

/// A prompt's front as it can be exported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Path {
    /// Cache salt.
    pub scope: String,
    /// Texts of its blocks.
    pub texts: Vec<String>,
}

fn stored(hash: u64, b: &Block) -> Event {
    Event::Stored {
        hash,
        parent: b.parent,
        scope: b.scope.clone(),
        text: b.text.clone(),
    }
}

/// The names of a prompt's whole blocks; each depends on all before it and on the scope.
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
