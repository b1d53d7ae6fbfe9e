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
const WAIT_MAX: usize = 4_096;
/// Updates that a member can pass on within some five seconds: it sends about 14 datagrams a
/// second with 9 descriptions each, and each description about 10 times.
const FLOOD: usize = 64;
/// Tag and length in front of an update in a datagram.
const FRAME: usize = 3;

/// Place in the queue: the least told first, then the newest.
type Place = (u32, Reverse<u64>);

struct Rumor {
    update: Update,
    bytes: Vec<u8>,
}

/// A bounded queue with one update per member.
#[derive(Default)]
pub(crate) struct Rumors {
    wait: BTreeMap<Place, Rumor>,
    places: HashMap<u64, Place>,
    count: u64,
}

impl Rumors {
    /// Queues an update in place of an older one of the same member.
    pub(crate) fn push(&mut self, update: Update) {
        if let Some(old) = self.places.remove(&update.id) {
            self.wait.remove(&old);
        }
        if self.wait.len() >= WAIT_MAX {
            let last = self.wait.pop_last();
            last.and_then(|(_, r)| self.places.remove(&r.update.id));
        }
        let bytes = update.encode_to_vec();
        self.put(0, Rumor { update, bytes });
    }

    /// Counts an update that came back.
    pub(crate) fn heard(&mut self, update: &Update, limit: u32) {
        let Some(&place) = self.places.get(&update.id) else {
            return;
        };
        match self.wait.remove(&place) {
            Some(r) if r.update.same(update) => self.again(place.0 + 1, r, limit),
            Some(r) => drop(self.wait.insert(place, r)),
            None => {}
        }
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.wait.is_empty()
    }

    /// Whether more waits than datagrams can carry in a few seconds, as when hundreds start
    /// together; whole lists are pulled then.
    pub(crate) fn is_flood(&self) -> bool {
        self.wait.len() > FLOOD
    }

    /// Adds what fits to an encoded datagram, the least told first.
    pub(crate) fn fill(&mut self, body: &mut Vec<u8>, limit: u32) {
        let mut told = Vec::new();
        while let Some(e) = self.wait.first_entry() {
            if body.len() + e.get().bytes.len() + FRAME > BODY_MAX {
                break;
            }
            let (place, r) = e.remove_entry();
            Packet::append(body, &r.bytes);
            told.push((place, r));
        }
        for (place, r) in told {
            self.again(place.0 + 1, r, limit);
        }
    }

    /// Puts an update back unless it was told often enough.
    fn again(&mut self, told: u32, r: Rumor, limit: u32) {
        match told < limit {
            true => self.put(told, r),
            false => drop(self.places.remove(&r.update.id)),
        }
    }

    fn put(&mut self, told: u32, r: Rumor) {
        self.count += 1;
        let place = (told, Reverse(self.count));
        self.places.insert(r.update.id, place);
        self.wait.insert(place, r);
    }
}
