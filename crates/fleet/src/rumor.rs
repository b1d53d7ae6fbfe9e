//! Updates waiting to ride on datagrams.
//!
//! Each update is passed on a number of times that grows with the logarithm of the fleet, the
//! least told first. Hearing an update again counts as a time, since it shows that others tell
//! it. Without the bound, a burst of changes would fill every datagram for good.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use prost::Message;

use crate::packet::{Packet, Update, BODY_MAX};

/// Bound on the updates that wait; some more than a whole fleet that restarts.
const QUEUE_MAX: usize = 4_096;
/// Updates that a member can pass on within some five seconds: it sends about 14 datagrams a
/// second with 9 descriptions each, and each description about 10 times.
const BACKLOG_MAX: usize = 64;
/// Tag and length in front of an update in a datagram.
const UPDATE_OVERHEAD: usize = 3;

/// Place in the queue: the least told first, then the newest.
type QueueKey = (u32, Reverse<u64>);

struct Rumor {
    update: Update,
    bytes: Vec<u8>,
}

/// A bounded queue with one update per member.
#[derive(Default)]
pub(crate) struct Rumors {
    queue: BTreeMap<QueueKey, Rumor>,
    keys: HashMap<u64, QueueKey>,
    count: u64,
}

impl Rumors {
    /// Queues an update in place of an older one of the same member.
    pub(crate) fn push(&mut self, update: Update) {
        if let Some(old) = self.keys.remove(&update.id) {
            self.queue.remove(&old);
        }
        if self.queue.len() >= QUEUE_MAX {
            let last = self.queue.pop_last();
            last.and_then(|(_, r)| self.keys.remove(&r.update.id));
        }
        let bytes = update.encode_to_vec();
        self.put(0, Rumor { update, bytes });
    }

    /// Counts an update that came back.
    pub(crate) fn count_received(&mut self, update: &Update, limit: u32) {
        let Some(&key) = self.keys.get(&update.id) else {
            return;
        };
        match self.queue.remove(&key) {
            Some(r) if r.update.same_claim(update) => self.requeue(key.0 + 1, r, limit),
            Some(r) => drop(self.queue.insert(key, r)),
            None => {}
        }
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Whether more waits than datagrams can carry in a few seconds, as when hundreds start
    /// together; whole lists are pulled then.
    pub(crate) fn is_backlogged(&self) -> bool {
        self.queue.len() > BACKLOG_MAX
    }

    /// Adds what fits to an encoded datagram, the least told first.
    pub(crate) fn fill(&mut self, body: &mut Vec<u8>, limit: u32) {
        let mut sent = Vec::new();
        while let Some(e) = self.queue.first_entry() {
            if body.len() + e.get().bytes.len() + UPDATE_OVERHEAD > BODY_MAX {
                break;
            }
            let (key, r) = e.remove_entry();
            Packet::append(body, &r.bytes);
            sent.push((key, r));
        }
        for (key, r) in sent {
            self.requeue(key.0 + 1, r, limit);
        }
    }

    /// Puts an update back unless it was told often enough.
    fn requeue(&mut self, sends: u32, r: Rumor, limit: u32) {
        match sends < limit {
            true => self.put(sends, r),
            false => drop(self.keys.remove(&r.update.id)),
        }
    }

    fn put(&mut self, sends: u32, r: Rumor) {
        self.count += 1;
        let key = (sends, Reverse(self.count));
        self.keys.insert(r.update.id, key);
        self.queue.insert(key, r);
    }
}
