//! The index of one engine's cache, from events that come late, reordered and with gaps.
//!
//! The index must never claim a block that the engine, as far as it has reported, doesn't hold: a
//! request sent there for it would wait for a recomputation that nobody planned. So events are
//! applied strictly in the order of their numbers. A number that stays missing may have been a
//! removal; then the index asks for a snapshot, takes only removals until it comes, and goes on
//! from there. A block whose parent is unknown is left out. A new life of the engine or new
//! weights empty the index, and what a dead engine's connection still delivers is dropped.

use std::collections::{BTreeMap, HashMap};

use model::{BlockHash, Incarnation, Micros};

use crate::chain::{next, root, Seed, BLOCK_BYTES};
use crate::event::{Block, Event, Kind};
use crate::expect::Expect;
use crate::marks::Marks;
use crate::tree::Tree;

/// How an index treats gaps and expectations.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Events held back behind a missing one before a snapshot is asked for; 256, about half a
    /// second of one engine's share of the events at the target size.
    pub window: usize,
    /// How long a missing event is waited for; 200 ms, above any reordering within a region.
    pub patience: Micros,
    /// How long a prompt in flight counts as cached without the engine's confirmation; 2 s, a
    /// long prefill with the delay of its event.
    pub expected: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            window: 256,
            patience: Micros::from_millis(200),
            expected: Micros::from_secs(2),
        }
    }
}

/// What the index wants from its driver.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Nothing.
    Nothing,
    /// The engine's full list of blocks, for [`Index::reset`]; a repeated wish is the same one.
    Snapshot,
}

/// What has happened to events so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Applied.
    pub applied: u64,
    /// Dropped as duplicates or of an earlier life.
    pub stale: u64,
    /// Blocks left out, for want of their parent or for their size.
    pub orphans: u64,
    /// Times that a snapshot became needed.
    pub gaps: u64,
}

/// The blocks that one engine holds.
#[derive(Debug)]
pub struct Index {
    config: Config,
    model: String,
    weights: String,
    incarnation: Incarnation,
    next: Option<u64>,
    late: BTreeMap<u64, Kind>,
    since: Option<Micros>,
    /// While a snapshot is needed, the last event that it must cover.
    broken: Option<u64>,
    tree: Tree,
    expect: Expect,
    stats: Stats,
}

impl Index {
    /// An empty index of an engine that runs this model with these weights.
    pub fn new(config: Config, model: impl Into<String>, weights: impl Into<String>) -> Self {
        Self {
            config,
            model: model.into(),
            weights: weights.into(),
            incarnation: Incarnation::default(),
            next: None,
            late: BTreeMap::new(),
            since: None,
            broken: None,
            tree: Tree::default(),
            expect: Expect::default(),
            stats: Stats::default(),
        }
    }

    /// Takes an event.
    pub fn apply(&mut self, now: Micros, event: Event) -> Need {
        match event.incarnation.cmp(&self.incarnation) {
            std::cmp::Ordering::Less => {
                self.stats.stale += 1;
                return self.need();
            }
            std::cmp::Ordering::Greater => self.begin(event.incarnation),
            std::cmp::Ordering::Equal => {}
        }
        // A life begins with an empty cache, so that a missing first event can't be a removal.
        let next = *self.next.get_or_insert(event.seq.min(1));
        match event.seq {
            _ if self.broken.is_some() => self.apply_broken(event),
            seq if seq < next => self.stats.stale += 1,
            seq if seq > next => {
                self.late.insert(seq, event.kind);
                self.since.get_or_insert(now);
            }
            _ => {
                self.apply_kind(event.kind);
                self.next = Some(next + 1);
                self.apply_late(now);
            }
        }
        self.tick(now)
    }

    /// Lets time pass: gives up missing events and expectations.
    pub fn tick(&mut self, now: Micros) -> Need {
        self.expect.expire(now);
        let overdue = self
            .since
            .is_some_and(|t| now.since(t) >= self.config.patience);
        if self.late.len() > self.config.window || overdue {
            self.give_up();
        }
        self.need()
    }

    /// Takes the engine's full list as it was after event `seq`.
    ///
    /// A list of an earlier life, or from before an event that is known to be missing, changes
    /// nothing and the wish stands. If the list names the weights, [`Index::set_weights`] goes first.
    pub fn reset(
        &mut self,
        now: Micros,
        incarnation: Incarnation,
        seq: u64,
        blocks: impl IntoIterator<Item = Block>,
    ) -> Need {
        let old = incarnation == self.incarnation
            && match (self.broken, self.next) {
                (Some(last), _) => seq < last,
                (None, Some(next)) => seq + 1 < next,
                (None, None) => false,
            };
        if incarnation < self.incarnation || old {
            return self.need();
        }
        if incarnation > self.incarnation {
            self.begin(incarnation);
        }
        self.tree.clear();
        self.insert_all(blocks);
        self.broken = None;
        self.next = Some(seq + 1);
        self.late = self.late.split_off(&(seq + 1));
        self.apply_late(now);
        Need::Nothing
    }

    /// Sets the weights that the engine runs, when they are learned by another way than events.
    pub fn set_weights(&mut self, version: impl Into<String>) {
        let version = version.into();
        if version != self.weights {
            self.weights = version;
            self.clear();
        }
    }

    /// Counts a prompt as cached for a while from `now` on, or from when its prefill should begin.
    pub fn expect(&mut self, now: Micros, chain: &[BlockHash]) {
        let until = now + self.config.expected;
        for hash in chain.iter().copied() {
            if !self.tree.contains(hash) {
                self.expect.add(hash, until);
            }
        }
    }

    /// Takes back what [`Index::expect`] said, for a prompt that wasn't run.
    pub fn cancel_expected(&mut self, chain: &[BlockHash]) {
        for hash in chain.iter().copied() {
            self.expect.settle(hash);
        }
    }

    /// Blocks of a prompt that are cached or being computed, as far as its marks tell.
    pub fn matched(&self, marks: &Marks) -> u32 {
        self.deepest(marks, |hash| self.claims(hash))
    }

    /// Blocks of a prompt that the engine has confirmed, as far as its marks tell.
    pub fn held(&self, marks: &Marks) -> u32 {
        self.deepest(marks, |hash| self.tree.contains(hash))
    }

    /// Blocks of a prompt that are cached or being computed.
    pub fn matched_chain(&self, chain: &[BlockHash]) -> u32 {
        chain.iter().take_while(|hash| self.claims(**hash)).count() as u32
    }

    /// The life of the engine that the index describes.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The version of the weights that the index describes.
    pub fn weights(&self) -> &str {
        &self.weights
    }

    /// Blocks that the engine has confirmed.
    pub fn len(&self) -> usize {
        self.tree.len()
    }

    /// Whether the engine has confirmed no block.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Blocks that are expected and not yet confirmed.
    pub fn expected(&self) -> usize {
        self.expect.len()
    }

    /// Bytes of memory behind the confirmed blocks.
    pub fn bytes(&self) -> usize {
        self.tree.bytes()
    }

    /// What has happened to events so far.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    fn need(&self) -> Need {
        match self.broken {
            Some(_) => Need::Snapshot,
            None => Need::Nothing,
        }
    }

    fn claims(&self, hash: BlockHash) -> bool {
        self.tree.contains(hash) || self.expect.contains(hash)
    }

    fn deepest(&self, marks: &Marks, claims: impl Fn(BlockHash) -> bool) -> u32 {
        let found = marks.points().iter().find(|m| claims(m.hash));
        found.map_or(0, |m| m.blocks)
    }

    fn begin(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.next = None;
        self.late.clear();
        self.since = None;
        self.broken = None;
        self.clear();
    }

    fn clear(&mut self) {
        self.tree.clear();
        self.expect.clear();
    }

    fn apply_late(&mut self, now: Micros) {
        while let Some(entry) = self.late.first_entry() {
            if Some(*entry.key()) != self.next {
                break;
            }
            let kind = entry.remove();
            self.next = self.next.map(|n| n + 1);
            self.apply_kind(kind);
        }
        // A gap that is left begins its own wait.
        self.since = (!self.late.is_empty()).then_some(now);
    }

    fn apply_kind(&mut self, kind: Kind) {
        self.stats.applied += 1;
        match kind {
            Kind::Stored(block) => self.store(block),
            Kind::Removed { hash } => self.remove(hash),
            Kind::Cleared => self.clear(),
            Kind::Weights { version } => {
                self.weights = version;
                self.clear();
            }
        }
    }

    /// Takes what is safe without knowing the missing events: what can only lessen the claims.
    fn apply_broken(&mut self, event: Event) {
        let newest = self.broken < Some(event.seq);
        self.broken = self.broken.max(Some(event.seq));
        match event.kind {
            Kind::Stored(_) => self.stats.stale += 1,
            // Out of order, it could bring back older weights than those already reported.
            Kind::Weights { .. } if !newest => self.clear(),
            kind => self.apply_kind(kind),
        }
    }

    fn give_up(&mut self) {
        self.stats.gaps += 1;
        self.since = None;
        self.broken = self.next;
        for (seq, kind) in std::mem::take(&mut self.late) {
            self.apply_broken(Event {
                seq,
                incarnation: self.incarnation,
                kind,
            });
        }
    }

    fn store(&mut self, block: Block) {
        let parent = match block.parent {
            Some(id) => self.tree.hash(id),
            None => Some(root(Seed::new(&block.scope, &self.model, &self.weights))),
        };
        match parent {
            Some(parent) if block.text.len() == BLOCK_BYTES => {
                let hash = next(parent, &block.text);
                self.tree.insert(block.hash, block.parent, hash);
                self.expect.settle(hash);
            }
            _ => self.stats.orphans += 1,
        }
    }

    fn remove(&mut self, id: u64) {
        if let Some(hash) = self.tree.hash(id) {
            self.expect.settle(hash);
        }
        self.tree.remove(id);
    }

    /// Stores blocks that are listed in any order.
    fn insert_all(&mut self, blocks: impl IntoIterator<Item = Block>) {
        let mut by_parent: HashMap<Option<u64>, Vec<Block>> = HashMap::new();
        for block in blocks {
            by_parent.entry(block.parent).or_default().push(block);
        }
        let mut todo = vec![None];
        while let Some(parent) = todo.pop() {
            for block in by_parent.remove(&parent).unwrap_or_default() {
                todo.push(Some(block.hash));
                self.store(block);
            }
        }
        let left: usize = by_parent.values().map(Vec::len).sum();
        self.stats.orphans += left as u64;
    }
}
