//! An engine's prefix cache: blocks of prompt, least recently used go first.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

/// Bytes of prompt a block; four bytes stand for a token.
pub const BLOCK: usize = 64;

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
    used: u64,
}

/// A bounded set of blocks.
#[derive(Debug)]
pub struct Cache {
    size: usize,
    tick: u64,
    blocks: HashMap<u64, Block>,
    order: BTreeMap<u64, u64>,
}

impl Cache {
    /// An empty cache of `size` blocks.
    pub fn new(size: usize) -> Self {
        Self {
            size,
            tick: 0,
            blocks: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Looks a prompt up and stores what is missing; gives the blocks found at its front.
    pub fn take(&mut self, scope: &str, prompt: &[u8], out: &mut Vec<Event>) -> usize {
        let mut found = 0;
        let mut hit = true;
        let mut parent = None;
        for text in prompt.chunks_exact(BLOCK) {
            let hash = hash(parent, scope, text);
            hit &= self.blocks.contains_key(&hash);
            found += usize::from(hit);
            self.touch(hash, parent, scope, text, out);
            parent = Some(hash);
        }
        found
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

    /// All blocks as they would be published, the oldest first.
    pub fn list(&self) -> Vec<Event> {
        self.order
            .values()
            .filter_map(|h| Some(stored(*h, self.blocks.get(h)?)))
            .collect()
    }

    fn touch(
        &mut self,
        hash: u64,
        parent: Option<u64>,
        scope: &str,
        text: &[u8],
        out: &mut Vec<Event>,
    ) {
        self.tick += 1;
        let tick = self.tick;
        if let Some(b) = self.blocks.get_mut(&hash) {
            self.order.remove(&b.used);
            b.used = tick;
            self.order.insert(tick, hash);
            return;
        }
        self.evict(out);
        let text = String::from_utf8_lossy(text).into_owned();
        let scope = if parent.is_none() {
            scope.to_owned()
        } else {
            String::new()
        };
        let block = Block {
            parent,
            scope,
            text,
            used: tick,
        };
        out.push(stored(hash, &block));
        self.blocks.insert(hash, block);
        self.order.insert(tick, hash);
    }

    fn evict(&mut self, out: &mut Vec<Event>) {
        while self.blocks.len() >= self.size.max(1) {
            let Some((_, hash)) = self.order.pop_first() else {
                break;
            };
            self.blocks.remove(&hash);
            out.push(Event::Removed { hash });
        }
    }
}

fn stored(hash: u64, b: &Block) -> Event {
    Event::Stored {
        hash,
        parent: b.parent,
        scope: b.scope.clone(),
        text: b.text.clone(),
    }
}

fn hash(parent: Option<u64>, scope: &str, text: &[u8]) -> u64 {
    let mut h = xxhash_rust::xxh3::Xxh3::with_seed(parent.unwrap_or(0));
    if parent.is_none() {
        h.update(scope.as_bytes());
    }
    h.update(text);
    h.digest()
}
