//! A simulated engine: a bounded cache, one prefill at a time, decode slots, and delayed events.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use model::{BlockHash, Incarnation, Micros};
use prefix::{Block, Event, Kind, Map};

use super::trace::Prompt;

/// Cache size, decode slots and speeds of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Config {
    /// Most blocks that the cache holds.
    pub(crate) cache_blocks: usize,
    /// Most requests that decode at once.
    pub(crate) slots: u32,
    /// Time to prefill a block.
    pub(crate) prefill_per_block: Micros,
    /// Time between the tokens of a request.
    pub(crate) token_interval: Micros,
}

/// A request that was dispatched to the engine.
#[derive(Clone)]
pub(crate) struct Job {
    pub(crate) request: usize,
    pub(crate) prompt: Rc<Prompt>,
    pub(crate) scope: Rc<str>,
    pub(crate) output: u32,
    pub(crate) dispatched_at: Micros,
}

/// A running prefill.
pub(crate) struct Prefill {
    pub(crate) job: Job,
    pub(crate) cached_blocks: u32,
    pub(crate) duration: Micros,
}

/// A block in the cache, with the stamp of its last use.
struct CachedBlock {
    stamp: u64,
    block: Block,
}

/// A simulated engine.
pub(crate) struct Engine {
    config: Config,
    pub(crate) incarnation: Incarnation,
    pub(crate) slowdown: f64,
    seq: u64,
    stamp: u64,
    cached: Map<BlockHash, CachedBlock>,
    by_last_use: BTreeMap<u64, BlockHash>,
    waiting: VecDeque<Job>,
    pub(crate) prefill: Option<Prefill>,
    pub(crate) decoding: Vec<usize>,
    pub(crate) events: Vec<Event>,
}

impl Engine {
    pub(crate) fn new(config: Config) -> Self {
        Self {
            config,
            incarnation: Incarnation(1),
            slowdown: 1.0,
            seq: 0,
            stamp: 0,
            cached: Map::default(),
            by_last_use: BTreeMap::new(),
            waiting: VecDeque::new(),
            prefill: None,
            decoding: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Number of requests that wait, prefill or decode.
    pub(crate) fn load(&self) -> usize {
        self.waiting.len() + self.decoding.len() + usize::from(self.prefill.is_some())
    }

    /// Number of leading blocks of a prompt that are cached.
    pub(crate) fn cached_blocks(&self, chain: &[BlockHash]) -> u32 {
        chain
            .iter()
            .take_while(|h| self.cached.contains_key(h))
            .count() as u32
    }

    /// Adds a request behind those that wait.
    pub(crate) fn enqueue(&mut self, job: Job) {
        self.waiting.push_back(job);
    }

    /// Starts the next prefill if none runs and a decode slot is free; returns how long it takes.
    pub(crate) fn start_prefill(&mut self) -> Option<Micros> {
        if self.prefill.is_some() || self.decoding.len() >= self.config.slots as usize {
            return None;
        }
        let job = self.waiting.pop_front()?;
        let cached = self.cached_blocks(&job.prompt.chain);
        self.touch(&job.prompt.chain[..cached as usize]);
        // The last block is always computed, as the first output token follows from it.
        let missing = (job.prompt.chain.len() as u32 - cached).max(1);
        let duration = self.prefill_time(missing);
        self.prefill = Some(Prefill {
            job,
            cached_blocks: cached,
            duration,
        });
        Some(duration)
    }

    /// Ends the prefill; returns it and how long decoding takes.
    pub(crate) fn finish_prefill(&mut self) -> Option<(Prefill, Micros)> {
        let done = self.prefill.take()?;
        self.store(&done.job, done.cached_blocks);
        self.decoding.push(done.job.request);
        let token_time = self.config.token_interval.0 as f64 * self.slowdown;
        let decode = Micros((token_time * f64::from(done.job.output)) as u64);
        Some((done, decode))
    }

    /// Ends the decoding of a request; false if a crash has ended it already.
    pub(crate) fn finish_decode(&mut self, request: usize) -> bool {
        let at = self.decoding.iter().position(|r| *r == request);
        at.map(|i| self.decoding.swap_remove(i)).is_some()
    }

    /// Crashes and restarts with an empty cache; returns the requests that were lost.
    pub(crate) fn crash(&mut self) -> Vec<usize> {
        let waiting = self.waiting.drain(..).map(|j| j.request);
        let mut lost: Vec<usize> = waiting.collect();
        lost.extend(self.prefill.take().map(|p| p.job.request));
        lost.append(&mut self.decoding);
        self.cached.clear();
        self.by_last_use.clear();
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        self.seq = 0;
        self.emit(Kind::Cleared);
        lost
    }

    /// Incarnation, number of the last event, and all cached blocks.
    pub(crate) fn snapshot(&self) -> (Incarnation, u64, Vec<Block>) {
        let blocks = self.cached.values().map(|h| h.block.clone());
        (self.incarnation, self.seq, blocks.collect())
    }

    fn prefill_time(&self, blocks: u32) -> Micros {
        Micros((self.config.prefill_per_block.0 as f64 * f64::from(blocks) * self.slowdown) as u64)
    }

    /// Marks blocks as used, the first block of the prompt last, so that it is evicted last.
    fn touch(&mut self, chain: &[BlockHash]) {
        for hash in chain.iter().rev() {
            self.stamp += 1;
            if let Some(entry) = self.cached.get_mut(hash) {
                self.by_last_use.remove(&entry.stamp);
                entry.stamp = self.stamp;
                self.by_last_use.insert(self.stamp, *hash);
            }
        }
    }

    /// Caches the computed blocks of a prompt and evicts the least recently used ones.
    fn store(&mut self, job: &Job, cached: u32) {
        let chain = &job.prompt.chain;
        for i in cached as usize..chain.len() {
            if self.cached.contains_key(&chain[i]) {
                continue;
            }
            let block = Block {
                hash: chain[i].0,
                parent: i.checked_sub(1).map(|p| chain[p].0),
                scope: job.scope.to_string(),
                text: job.prompt.texts[i].clone(),
            };
            self.cached.insert(
                chain[i],
                CachedBlock {
                    stamp: 0,
                    block: block.clone(),
                },
            );
            self.emit(Kind::Stored(block));
        }
        self.touch(chain);
        while self.cached.len() > self.config.cache_blocks {
            if let Some((_, hash)) = self.by_last_use.pop_first() {
                self.cached.remove(&hash);
                self.emit(Kind::Removed { hash: hash.0 });
            }
        }
    }

    /// Records a cache event under the next sequence number.
    fn emit(&mut self, kind: Kind) {
        self.seq += 1;
        let (seq, incarnation) = (self.seq, self.incarnation);
        self.events.push(Event {
            seq,
            incarnation,
            kind,
        });
    }
}
