//! Updates waiting to ride on datagrams.
//!
//! Each update is passed on a number of times that grows with the logarithm of the fleet, the
//! least told first. Hearing an update again counts as a time, since it shows that others tell
//! it. Without the bound, a burst of changes would fill every datagram for good.

use crate::packet::{Packet, Update};
use prost::Message;

/// Bound on the updates that wait; some more than a whole fleet that restarts.
const WAIT_MAX: usize = 4_096;
/// Tag and length in front of an update in a datagram.
const FRAME: usize = 3;

struct Rumor {
    update: Update,
    len: usize,
    told: u32,
}

/// A bounded queue with one update per member.
#[derive(Default)]
pub(crate) struct Rumors {
    wait: Vec<Rumor>,
}

impl Rumors {
    /// Queues an update in place of an older one of the same member.
    pub(crate) fn push(&mut self, update: Update) {
        self.wait.retain(|r| r.update.id != update.id);
        if self.wait.len() >= WAIT_MAX {
            self.wait.pop();
        }
        let len = update.encoded_len() + FRAME;
        let rumor = Rumor {
            update,
            len,
            told: 0,
        };
        self.wait.insert(0, rumor);
    }

    /// Counts an update that came back.
    pub(crate) fn heard(&mut self, update: &Update) {
        if let Some(r) = self.wait.iter_mut().find(|r| r.update.same(update)) {
            r.told += 1;
        }
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.wait.is_empty()
    }

    /// Moves what fits into a datagram, the least told first.
    pub(crate) fn fill(&mut self, p: &mut Packet, mut room: usize, limit: u32) {
        self.wait.sort_by_key(|r| r.told);
        for r in &mut self.wait {
            if r.len > room {
                break;
            }
            room -= r.len;
            r.told += 1;
            p.updates.push(r.update.clone());
        }
        self.wait.retain(|r| r.told < limit);
    }
}
