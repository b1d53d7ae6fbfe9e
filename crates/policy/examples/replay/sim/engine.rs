//! A fake engine: bounded cache, one prefill at a time, decode slots, late events.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use model::{BlockHash, Incarnation, Micros};
use prefix::{Block, Event, Kind, Map};

use super::trace::Prompt;

/// What an engine can do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Config {
    /// Blocks in its cache.
    pub(crate) cache: usize,
    /// Requests that decode at once.
    pub(crate) slots: u32,
    /// Time to prefill a block.
    pub(crate) prefill: Micros,
    /// Time between tokens.
    pub(crate) gap: Micros,
}

/// A request at the engine.
#[derive(Clone)]
pub(crate) struct Job {
    pub(crate) request: usize,
    pub(crate) prompt: Rc<Prompt>,
    pub(crate) scope: Rc<str>,
    pub(crate) output: u32,
    pub(crate) handed: Micros,
}

/// A prefill that has begun.
pub(crate) struct Prefill {
    pub(crate) job: Job,
    pub(crate) cached: u32,
    pub(crate) took: Micros,
}

struct Held {
    stamp: u64,
    block: Block,
}

/// One engine.
pub(crate) struct Engine {
    config: Config,
    pub(crate) life: Incarnation,
    pub(crate) slow: f64,
    seq: u64,
    stamp: u64,
    held: Map<BlockHash, Held>,
    order: BTreeMap<u64, BlockHash>,
    waiting: VecDeque<Job>,
    pub(crate) prefill: Option<Prefill>,
    pub(crate) decoding: Vec<usize>,
    pub(crate) events: Vec<Event>,
}

impl Engine {
    pub(crate) fn new(config: Config) -> Self {
        Self {
            config,
            life: Incarnation(1),
            slow: 1.0,
            seq: 0,
            stamp: 0,
            held: Map::default(),
            order: BTreeMap::new(),
            waiting: VecDeque::new(),
            prefill: None,
            decoding: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Requests that it has.
    pub(crate) fn load(&self) -> usize {
        self.waiting.len() + self.decoding.len() + usize::from(self.prefill.is_some())
    }

    /// Leading blocks of a prompt that it holds.
    pub(crate) fn cached(&self, chain: &[BlockHash]) -> u32 {
        chain
            .iter()
            .take_while(|h| self.held.contains_key(h))
            .count() as u32
    }

    pub(crate) fn hand(&mut self, job: Job) {
        self.waiting.push_back(job);
    }

    /// Begins the next prefill if it can, and says how long it takes.
    pub(crate) fn start(&mut self) -> Option<Micros> {
        if self.prefill.is_some() || self.decoding.len() >= self.config.slots as usize {
            return None;
        }
        let job = self.waiting.pop_front()?;
        let cached = self.cached(&job.prompt.chain);
        self.touch(&job.prompt.chain[..cached as usize]);
        // The last block is always computed, for its first output.
        let missing = (job.prompt.chain.len() as u32 - cached).max(1);
        let took = self.time(missing);
        self.prefill = Some(Prefill { job, cached, took });
        Some(took)
    }

    /// Ends the prefill, and says how long the output takes.
    pub(crate) fn prefilled(&mut self) -> Option<(Prefill, Micros)> {
        let done = self.prefill.take()?;
        self.store(&done.job, done.cached);
        self.decoding.push(done.job.request);
        let gap = self.config.gap.0 as f64 * self.slow;
        let decode = Micros((gap * f64::from(done.job.output)) as u64);
        Some((done, decode))
    }

    /// Ends a request, if it hasn't ended with an earlier life.
    pub(crate) fn decoded(&mut self, request: usize) -> bool {
        let at = self.decoding.iter().position(|r| *r == request);
        at.map(|i| self.decoding.swap_remove(i)).is_some()
    }

    /// Crashes and comes back empty; returns the requests that it lost.
    pub(crate) fn crash(&mut self) -> Vec<usize> {
        let waiting = self.waiting.drain(..).map(|j| j.request);
        let mut lost: Vec<usize> = waiting.collect();
        lost.extend(self.prefill.take().map(|p| p.job.request));
        lost.append(&mut self.decoding);
        self.held.clear();
        self.order.clear();
        self.life = Incarnation(self.life.0 + 1);
        self.seq = 0;
        self.emit(Kind::Cleared);
        lost
    }

    /// All blocks, and the last event before them.
    pub(crate) fn snapshot(&self) -> (Incarnation, u64, Vec<Block>) {
        let blocks = self.held.values().map(|h| h.block.clone());
        (self.life, self.seq, blocks.collect())
    }

    fn time(&self, blocks: u32) -> Micros {
        Micros((self.config.prefill.0 as f64 * f64::from(blocks) * self.slow) as u64)
    }

    /// Marks blocks as used, the first of a prompt last, so that it is evicted last.
    fn touch(&mut self, chain: &[BlockHash]) {
        for hash in chain.iter().rev() {
            self.stamp += 1;
            if let Some(held) = self.held.get_mut(hash) {
                self.order.remove(&held.stamp);
                held.stamp = self.stamp;
                self.order.insert(self.stamp, *hash);
            }
        }
    }

    fn store(&mut self, job: &Job, cached: u32) {
        let chain = &job.prompt.chain;
        for i in cached as usize..chain.len() {
            if self.held.contains_key(&chain[i]) {
                continue;
            }
            let block = Block {
                hash: chain[i].0,
                parent: i.checked_sub(1).map(|p| chain[p].0),
                scope: job.scope.to_string(),
                text: job.prompt.texts[i].clone(),
            };
            self.held.insert(
                chain[i],
                Held {
                    stamp: 0,
                    block: block.clone(),
                },
            );
            self.emit(Kind::Stored(block));
        }
        self.touch(chain);
        while self.held.len() > self.config.cache {
            if let Some((_, hash)) = self.order.pop_first() {
                self.held.remove(&hash);
                self.emit(Kind::Removed { hash: hash.0 });
            }
        }
    }

    fn emit(&mut self, kind: Kind) {
        self.seq += 1;
        let (seq, incarnation) = (self.seq, self.life);
        self.events.push(Event {
            seq,
            incarnation,
            kind,
        });
    }
}
