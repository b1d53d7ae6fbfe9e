//! Tree of the blocks in one engine's cache, linked by the prompts that they belong to.
//!
//! An engine can reuse a block only while its cache contains all blocks before it, and a mark
//! stands for all of them. So when a block is removed, its descendants can't be reused either,
//! although they are still in the cache; they become reusable again when the engine stores the
//! removed block again. Therefore a removed block is kept in the tree, as not reusable, until its
//! last descendant is removed.

use model::BlockHash;
use slab::Slab;

use crate::int_hasher::Map;

/// Index into the arena; half the size of a pointer, since each node contains several.
type Slot = u32;
const NIL: Slot = Slot::MAX;

#[derive(Debug)]
struct Node {
    id: u64,
    hash: BlockHash,
    parent: Slot,
    child: Slot,
    next: Slot,
    prev: Slot,
    /// Whether the block is in the cache.
    held: bool,
    /// Whether the block and all blocks before it are in the cache.
    reusable: bool,
}

/// All blocks, with lookup by the engine's ids and by hashes of the router.
#[derive(Debug, Default)]
pub(crate) struct Tree {
    nodes: Slab<Node>,
    ids: Map<u64, Slot>,
    reusable: Map<BlockHash, Slot>,
}

impl Tree {
    /// The hash of a block by the engine's id.
    pub(crate) fn hash(&self, id: u64) -> Option<BlockHash> {
        self.ids.get(&id).map(|s| self.node(*s).hash)
    }

    /// Whether the engine can reuse the prompt up to this block.
    pub(crate) fn contains(&self, hash: BlockHash) -> bool {
        self.reusable.contains_key(&hash)
    }

    /// Number of blocks that can be reused.
    pub(crate) fn len(&self) -> usize {
        self.reusable.len()
    }

    /// Memory used by the arena and the maps, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        // A bucket of a map takes its key-value pair and one control byte; an eighth of the
        // buckets is kept free.
        let bucket = size_of::<(u64, Slot)>() + 1;
        let buckets = |capacity: usize| (capacity * 8 / 7).next_power_of_two();
        self.nodes.capacity() * (size_of::<Node>())
            + (buckets(self.ids.capacity()) + buckets(self.reusable.capacity())) * bucket
    }

    /// Inserts a block; its parent, if it has one, must be known.
    pub(crate) fn insert(&mut self, id: u64, parent: Option<u64>, hash: BlockHash) {
        let parent = parent.map_or(NIL, |p| self.ids.get(&p).copied().unwrap_or(NIL));
        let known = self.ids.get(&id).copied();
        let slot = match known {
            Some(s) if self.node(s).hash == hash && self.node(s).parent == parent => s,
            Some(s) => {
                // The engine has reused the id for another block.
                self.remove_subtree(s);
                self.create(id, parent, hash)
            }
            None => self.create(id, parent, hash),
        };
        self.node_mut(slot).held = true;
        if parent == NIL || self.node(parent).reusable {
            self.mark_reusable(slot);
        }
    }

    /// Removes a block.
    pub(crate) fn remove(&mut self, id: u64) {
        if let Some(slot) = self.ids.get(&id).copied() {
            self.node_mut(slot).held = false;
            self.mark_unusable(slot);
            self.prune(slot);
        }
    }

    /// Removes all blocks.
    pub(crate) fn clear(&mut self) {
        self.nodes.clear();
        self.ids.clear();
        self.reusable.clear();
    }

    fn node(&self, slot: Slot) -> &Node {
        &self.nodes[slot as usize]
    }

    fn node_mut(&mut self, slot: Slot) -> &mut Node {
        &mut self.nodes[slot as usize]
    }

    fn create(&mut self, id: u64, parent: Slot, hash: BlockHash) -> Slot {
        let next = match parent {
            NIL => NIL,
            p => self.node(p).child,
        };
        let slot = self.nodes.insert(Node {
            id,
            hash,
            parent,
            child: NIL,
            next,
            prev: NIL,
            held: false,
            reusable: false,
        }) as Slot;
        if parent != NIL {
            self.node_mut(parent).child = slot;
        }
        if next != NIL {
            self.node_mut(next).prev = slot;
        }
        self.ids.insert(id, slot);
        slot
    }

    fn children(&self, slot: Slot) -> impl Iterator<Item = Slot> + '_ {
        let some = |s: Slot| (s != NIL).then_some(s);
        std::iter::successors(some(self.node(slot).child), move |s| {
            some(self.node(*s).next)
        })
    }

    /// Marks a block as reusable, and its descendants as far as they are in the cache.
    fn mark_reusable(&mut self, slot: Slot) {
        let mut todo = vec![slot];
        while let Some(slot) = todo.pop() {
            if !self.node(slot).held || self.node(slot).reusable {
                continue;
            }
            todo.extend(self.children(slot));
            let node = self.node_mut(slot);
            node.reusable = true;
            let hash = node.hash;
            self.reusable.insert(hash, slot);
        }
    }

    /// Marks a block and its descendants as not reusable.
    fn mark_unusable(&mut self, slot: Slot) {
        let mut todo = vec![slot];
        while let Some(slot) = todo.pop() {
            if !self.node(slot).reusable {
                continue;
            }
            todo.extend(self.children(slot));
            let node = self.node_mut(slot);
            node.reusable = false;
            let hash = node.hash;
            if self.reusable.get(&hash) == Some(&slot) {
                self.reusable.remove(&hash);
            }
        }
    }

    /// Frees a block and its ancestors as far as they are not in the cache and have no children.
    fn prune(&mut self, mut slot: Slot) {
        while slot != NIL && !self.node(slot).held && self.node(slot).child == NIL {
            slot = self.unlink(slot);
        }
    }

    fn remove_subtree(&mut self, slot: Slot) {
        self.mark_unusable(slot);
        let mut subtree = vec![slot];
        let mut i = 0;
        while i < subtree.len() {
            let children: Vec<Slot> = self.children(subtree[i]).collect();
            subtree.extend(children);
            i += 1;
        }
        for slot in subtree.into_iter().rev() {
            self.unlink(slot);
        }
    }

    /// Frees a block without children and returns its parent.
    fn unlink(&mut self, slot: Slot) -> Slot {
        let node = self.nodes.remove(slot as usize);
        self.ids.remove(&node.id);
        match (node.prev, node.parent) {
            (NIL, NIL) => {}
            (NIL, parent) => self.node_mut(parent).child = node.next,
            (prev, _) => self.node_mut(prev).next = node.next,
        }
        if node.next != NIL {
            self.node_mut(node.next).prev = node.prev;
        }
        node.parent
    }
}
