//! Queue of updates to be piggybacked on datagrams.
//!
//! Each update is sent a number of times that grows with the logarithm of the fleet size, the
//! least sent first. Receiving a queued update counts as sending it, since it shows that others
//! spread it too. Without this bound, a burst of changes would fill every datagram indefinitely.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use prost::Message;

use crate::packet::{Packet, Update, BODY_MAX};

/// Bound on queued updates; somewhat more than a restart of the whole fleet needs.
const QUEUE_MAX: usize = 4_096;
/// Number of updates that a member can spread within some five seconds: it sends about 14
/// datagrams a second with 9 descriptions each, and each description about 10 times.
const BACKLOG_MAX: usize = 64;
/// Bytes of tag and length in front of an update in a datagram.
const UPDATE_OVERHEAD: usize = 3;

/// Position in the queue: the least sent first, then the newest.
type QueueKey = (u32, Reverse<u64>);

/// A queued update and its encoded form.
struct Rumor {
    update: Update,
    bytes: Vec<u8>,
}

/// A bounded queue with at most one update per member.
#[derive(Default)]
pub(crate) struct Rumors {
    queue: BTreeMap<QueueKey, Rumor>,
    /// Queue position by member id.
    keys: HashMap<u64, QueueKey>,
    /// Number of insertions; orders updates by age.
    count: u64,
}

impl Rumors {
    /// Queues an update; replaces an older one about the same member.
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

    /// Counts a received update as one sent, if the same update is queued.
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

    /// Whether the queue is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Whether more updates are queued than datagrams can carry in a few seconds, as when hundreds
    /// of members start together. Complete lists are pulled then.
    pub(crate) fn is_backlogged(&self) -> bool {
        self.queue.len() > BACKLOG_MAX
    }

    /// Appends the updates that fit to an encoded datagram, the least sent first.
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

    /// Puts an update back, or drops it once it was sent often enough.
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
