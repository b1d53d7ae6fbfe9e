//! The blocks of one engine's cache, linked as their prompts are.
//!
//! An engine can reuse a block only while it holds all blocks before it, and a mark claims all of
//! them. So a removed block takes its descendants out of the claims, although the engine still
//! holds them; they come back when the engine stores the removed block again. A removed block
//! with descendants is therefore kept, unclaimed, until the last of these is gone.

use model::BlockHash;
use slab::Slab;

use crate::int_hasher::Map;

/// A place in the arena; half as wide as a pointer, since there are five in each node.
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
    /// The engine has it.
    held: bool,
    /// The engine has it and all blocks before it.
    live: bool,
}

/// All blocks, found by the engine's ids and by our hashes.
#[derive(Debug, Default)]
pub(crate) struct Tree {
    nodes: Slab<Node>,
    ids: Map<u64, Slot>,
    live: Map<BlockHash, Slot>,
}

impl Tree {
    /// The hash of a block that the engine has reported.
    pub(crate) fn hash(&self, id: u64) -> Option<BlockHash> {
        self.ids.get(&id).map(|s| self.node(*s).hash)
    }

    /// Whether the engine can reuse the prompt up to this block.
    pub(crate) fn contains(&self, hash: BlockHash) -> bool {
        self.live.contains_key(&hash)
    }

    /// Blocks that can be reused.
    pub(crate) fn len(&self) -> usize {
        self.live.len()
    }

    /// Bytes that the arena and maps take.
    pub(crate) fn bytes(&self) -> usize {
        // A map's bucket takes its pair and one byte of control data; an eighth is kept free.
        let bucket = size_of::<(u64, Slot)>() + 1;
        let buckets = |capacity: usize| (capacity * 8 / 7).next_power_of_two();
        self.nodes.capacity() * (size_of::<Node>())
            + (buckets(self.ids.capacity()) + buckets(self.live.capacity())) * bucket
    }

    /// Takes a block in whose parent, if it has one, is known.
    pub(crate) fn insert(&mut self, id: u64, parent: Option<u64>, hash: BlockHash) {
        let parent = parent.map_or(NIL, |p| self.ids.get(&p).copied().unwrap_or(NIL));
        let known = self.ids.get(&id).copied();
        let slot = match known {
            Some(s) if self.node(s).hash == hash && self.node(s).parent == parent => s,
            Some(s) => {
                // The engine has given the id to another block.
                self.drop_branch(s);
                self.create(id, parent, hash)
            }
            None => self.create(id, parent, hash),
        };
        self.node_mut(slot).held = true;
        if parent == NIL || self.node(parent).live {
            self.enliven(slot);
        }
    }

    /// Takes a block out.
    pub(crate) fn remove(&mut self, id: u64) {
        if let Some(slot) = self.ids.get(&id).copied() {
            self.node_mut(slot).held = false;
            self.deaden(slot);
            self.prune(slot);
        }
    }

    /// Takes all blocks out.
    pub(crate) fn clear(&mut self) {
        self.nodes.clear();
        self.ids.clear();
        self.live.clear();
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
            live: false,
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

    fn enliven(&mut self, slot: Slot) {
        let mut todo = vec![slot];
        while let Some(slot) = todo.pop() {
            if !self.node(slot).held || self.node(slot).live {
                continue;
            }
            todo.extend(self.children(slot));
            let node = self.node_mut(slot);
            node.live = true;
            let hash = node.hash;
            self.live.insert(hash, slot);
        }
    }

    fn deaden(&mut self, slot: Slot) {
        let mut todo = vec![slot];
        while let Some(slot) = todo.pop() {
            if !self.node(slot).live {
                continue;
            }
            todo.extend(self.children(slot));
            let node = self.node_mut(slot);
            node.live = false;
            let hash = node.hash;
            if self.live.get(&hash) == Some(&slot) {
                self.live.remove(&hash);
            }
        }
    }

    /// Frees a block and its ancestors as far as they are neither held nor needed.
    fn prune(&mut self, mut slot: Slot) {
        while slot != NIL && !self.node(slot).held && self.node(slot).child == NIL {
            slot = self.unlink(slot);
        }
    }

    fn drop_branch(&mut self, slot: Slot) {
        self.deaden(slot);
        let mut branch = vec![slot];
        let mut i = 0;
        while i < branch.len() {
            let children: Vec<Slot> = self.children(branch[i]).collect();
            branch.extend(children);
            i += 1;
        }
        for slot in branch.into_iter().rev() {
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
