//! Index of one engine's cache, built from events that may be late, reordered or lost.
//!
//! The index must never contain a block that, according to the engine's events, is not in the
//! cache: a request sent to the engine for that block would wait for an unplanned recomputation. So
//! events are applied strictly in the order of their sequence numbers. A missing event may be a
//! removal: if it doesn't arrive in time, the index requests a snapshot, applies only removals until
//! the snapshot arrives, and continues from it. A block whose parent is unknown is ignored. A new
//! incarnation of the engine or new weights empty the index, and late events of an earlier
//! incarnation are dropped.

use std::collections::{BTreeMap, HashMap};

use model::{BlockHash, Incarnation, Micros};

use crate::chain::{next, root, Seed, BLOCK_BYTES};
use crate::event::{Block, Event, Kind};
use crate::expected::Expected;
use crate::marks::Marks;
use crate::tree::Tree;

/// Settings for gaps in the events and for expected blocks.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Maximum number of events buffered behind a missing one before a snapshot is requested;
    /// default 256, about half a second of one engine's events in a fleet of the planned size.
    pub window: usize,
    /// How long to wait for a missing event; default 200 ms, longer than any reordering within a
    /// region.
    pub gap_timeout: Micros,
    /// How long an expected block counts as cached without the engine's confirmation; default 2 s,
    /// a long prefill plus the delay of its event.
    pub expected_ttl: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            window: 256,
            gap_timeout: Micros::from_millis(200),
            expected_ttl: Micros::from_secs(2),
        }
    }
}

/// What the index needs from its driver.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// No action.
    Nothing,
    /// The engine's full list of blocks, for [`Index::reset`]. The same need is returned repeatedly
    /// until the list arrives.
    Snapshot,
}

/// Counts of handled events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Events that were applied.
    pub applied: u64,
    /// Events that were dropped as duplicates, as events of an earlier incarnation, or while a
    /// snapshot was needed.
    pub stale: u64,
    /// Blocks that were ignored because of an unknown parent or a wrong size.
    pub orphans: u64,
    /// Number of times that a snapshot became necessary.
    pub gaps: u64,
}

/// The blocks in one engine's cache, as far as its events show.
#[derive(Debug)]
pub struct Index {
    config: Config,
    model: String,
    weights: String,
    incarnation: Incarnation,
    /// Sequence number of the next event to apply.
    next: Option<u64>,
    /// Changes that wait for a missing event, by sequence number.
    buffered: BTreeMap<u64, Kind>,
    /// Time since which the next event is missing.
    gap_since: Option<Micros>,
    /// While a snapshot is needed, the last event that it must cover.
    snapshot_from: Option<u64>,
    tree: Tree,
    expected: Expected,
    stats: Stats,
}

impl Index {
    /// Creates an empty index for an engine that runs this model with these weights.
    pub fn new(config: Config, model: impl Into<String>, weights: impl Into<String>) -> Self {
        Self {
            config,
            model: model.into(),
            weights: weights.into(),
            incarnation: Incarnation::default(),
            next: None,
            buffered: BTreeMap::new(),
            gap_since: None,
            snapshot_from: None,
            tree: Tree::default(),
            expected: Expected::default(),
            stats: Stats::default(),
        }
    }

    /// Applies an event, or buffers it if an earlier one is missing.
    pub fn apply(&mut self, now: Micros, event: Event) -> Need {
        match event.incarnation.cmp(&self.incarnation) {
            std::cmp::Ordering::Less => {
                self.stats.stale += 1;
                return self.need();
            }
            std::cmp::Ordering::Greater => self.start_incarnation(event.incarnation),
            std::cmp::Ordering::Equal => {}
        }
        // An incarnation starts with an empty cache, so a missing first event can't be a removal.
        let next = *self.next.get_or_insert(event.seq.min(1));
        match event.seq {
            _ if self.snapshot_from.is_some() => self.apply_removals(event),
            seq if seq < next => self.stats.stale += 1,
            seq if seq > next => {
                self.buffered.insert(seq, event.kind);
                self.gap_since.get_or_insert(now);
            }
            _ => {
                self.apply_kind(event.kind);
                self.next = Some(next + 1);
                self.apply_buffered(now);
            }
        }
        self.tick(now)
    }

    /// Stops waiting for missing events and expected blocks that are overdue.
    pub fn tick(&mut self, now: Micros) -> Need {
        self.expected.expire(now);
        let overdue = self
            .gap_since
            .is_some_and(|t| now.since(t) >= self.config.gap_timeout);
        if self.buffered.len() > self.config.window || overdue {
            self.request_snapshot();
        }
        self.need()
    }

    /// Replaces the blocks by the engine's full list as of event `seq`.
    ///
    /// A list of an earlier incarnation, or from before an event that is known to be missing, is
    /// ignored and a snapshot is still needed. If the list contains the version of the weights,
    /// call [`Index::set_weights`] first.
    pub fn reset(
        &mut self,
        now: Micros,
        incarnation: Incarnation,
        seq: u64,
        blocks: impl IntoIterator<Item = Block>,
    ) -> Need {
        let outdated = incarnation == self.incarnation
            && match (self.snapshot_from, self.next) {
                (Some(last), _) => seq < last,
                (None, Some(next)) => seq + 1 < next,
                (None, None) => false,
            };
        if incarnation < self.incarnation || outdated {
            return self.need();
        }
        if incarnation > self.incarnation {
            self.start_incarnation(incarnation);
        }
        self.tree.clear();
        self.insert_all(blocks);
        self.snapshot_from = None;
        self.next = Some(seq + 1);
        self.buffered = self.buffered.split_off(&(seq + 1));
        self.apply_buffered(now);
        Need::Nothing
    }

    /// Sets the version of the engine's weights if it is known from another source than events.
    pub fn set_weights(&mut self, version: impl Into<String>) {
        let version = version.into();
        if version != self.weights {
            self.weights = version;
            self.clear();
        }
    }

    /// Counts a prompt's blocks as cached for a while; `now` is the current time or the time at
    /// which its prefill should start.
    pub fn expect(&mut self, now: Micros, chain: &[BlockHash]) {
        let until = now + self.config.expected_ttl;
        for hash in chain.iter().copied() {
            if !self.tree.contains(hash) {
                self.expected.add(hash, until);
            }
        }
    }

    /// Reverts [`Index::expect`] for a prompt that wasn't run.
    pub fn cancel_expected(&mut self, chain: &[BlockHash]) {
        for hash in chain.iter().copied() {
            self.expected.remove(hash);
        }
    }

    /// Number of a prompt's blocks that are cached or expected, according to its marks.
    pub fn matched(&self, marks: &Marks) -> u32 {
        self.deepest(marks, |hash| self.contains(hash))
    }

    /// Number of a prompt's blocks that the engine has confirmed, according to its marks.
    pub fn held(&self, marks: &Marks) -> u32 {
        self.deepest(marks, |hash| self.tree.contains(hash))
    }

    /// Number of a prompt's blocks that are cached or expected.
    pub fn matched_chain(&self, chain: &[BlockHash]) -> u32 {
        chain
            .iter()
            .take_while(|hash| self.contains(**hash))
            .count() as u32
    }

    /// Incarnation of the engine that the index describes.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Version of the weights that the index describes.
    pub fn weights(&self) -> &str {
        &self.weights
    }

    /// Number of blocks that the engine has confirmed.
    pub fn len(&self) -> usize {
        self.tree.len()
    }

    /// Whether the engine has confirmed no block.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of blocks that are expected and not yet confirmed.
    pub fn expected(&self) -> usize {
        self.expected.len()
    }

    /// Memory used for the confirmed blocks, in bytes.
    pub fn bytes(&self) -> usize {
        self.tree.bytes()
    }

    /// Counts of handled events.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    fn need(&self) -> Need {
        match self.snapshot_from {
            Some(_) => Need::Snapshot,
            None => Need::Nothing,
        }
    }

    fn contains(&self, hash: BlockHash) -> bool {
        self.tree.contains(hash) || self.expected.contains(hash)
    }

    fn deepest(&self, marks: &Marks, contains: impl Fn(BlockHash) -> bool) -> u32 {
        let found = marks.points().iter().find(|m| contains(m.hash));
        found.map_or(0, |m| m.blocks)
    }

    fn start_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.next = None;
        self.buffered.clear();
        self.gap_since = None;
        self.snapshot_from = None;
        self.clear();
    }

    fn clear(&mut self) {
        self.tree.clear();
        self.expected.clear();
    }

    fn apply_buffered(&mut self, now: Micros) {
        while let Some(entry) = self.buffered.first_entry() {
            if Some(*entry.key()) != self.next {
                break;
            }
            let kind = entry.remove();
            self.next = self.next.map(|n| n + 1);
            self.apply_kind(kind);
        }
        // A remaining gap gets a timeout of its own.
        self.gap_since = (!self.buffered.is_empty()).then_some(now);
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

    /// Applies an event while a snapshot is needed. Without the missing events only changes that
    /// remove blocks are safe.
    fn apply_removals(&mut self, event: Event) {
        let newest = self.snapshot_from < Some(event.seq);
        self.snapshot_from = self.snapshot_from.max(Some(event.seq));
        match event.kind {
            Kind::Stored(_) => self.stats.stale += 1,
            // An event out of order could restore weights older than those already reported.
            Kind::Weights { .. } if !newest => self.clear(),
            kind => self.apply_kind(kind),
        }
    }

    fn request_snapshot(&mut self) {
        self.stats.gaps += 1;
        self.gap_since = None;
        self.snapshot_from = self.next;
        for (seq, kind) in std::mem::take(&mut self.buffered) {
            self.apply_removals(Event {
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
                self.expected.remove(hash);
            }
            _ => self.stats.orphans += 1,
        }
    }

    fn remove(&mut self, id: u64) {
        if let Some(hash) = self.tree.hash(id) {
            self.expected.remove(hash);
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
