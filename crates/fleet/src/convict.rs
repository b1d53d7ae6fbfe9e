//! Convictions: fingerprints of requests that crash their targets.
//!
//! A caller may send a crashing request again through other entries, and each entry without the
//! conviction costs one more target. The expiry is sent as wall-clock time, so that a replayed
//! datagram cannot extend it, and is limited to [`TTL_MAX`], so that a wrong clock cannot block a
//! request indefinitely.

use std::collections::HashMap;

use model::Micros;
use prost::Message;

use crate::packet::{Mark, Packet};

/// Bound on stored convictions, 64 bytes each; the first to expire is evicted.
const CONVICTIONS_MAX: usize = 256;
/// Longest time that a conviction lasts.
const TTL_MAX: Micros = Micros::from_secs(3_600);
/// Most convictions in one datagram, so that room is left for membership updates.
const PER_DATAGRAM_MAX: usize = 4;
/// Bytes of tag and length in front of a mark in a datagram.
const MARK_OVERHEAD: usize = 2;

/// A request to be refused because it crashes its targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conviction {
    /// Digest of the request.
    pub fingerprint: u128,
    /// When the conviction expires, on the driver's clock.
    pub until: Micros,
}

/// A stored conviction.
struct Stored {
    until: Micros,
    /// Number of datagrams that carried it.
    sends: u32,
}

/// The convictions known to this process.
#[derive(Default)]
pub(crate) struct Convictions {
    stored: HashMap<u128, Stored>,
    /// Fingerprints that are still to be gossiped.
    pending: Vec<u128>,
}

impl Convictions {
    /// Stores a conviction; true if it is new or expires later than the stored one.
    pub(crate) fn add(&mut self, now: Micros, c: Conviction) -> bool {
        let until = c.until.min(now + TTL_MAX);
        self.stored.retain(|_, k| k.until > now);
        let known = self.stored.get(&c.fingerprint).map(|k| k.until);
        if until <= now || known.is_some_and(|u| u >= until) {
            return false;
        }
        self.stored
            .insert(c.fingerprint, Stored { until, sends: 0 });
        self.pending.retain(|f| *f != c.fingerprint);
        self.pending.push(c.fingerprint);
        self.evict_excess();
        true
    }

    /// The convictions that have not expired.
    pub(crate) fn iter(&self, now: Micros) -> impl Iterator<Item = Conviction> + '_ {
        let live = self.stored.iter().filter(move |(_, k)| k.until > now);
        live.map(|(&fingerprint, k)| Conviction {
            fingerprint,
            until: k.until,
        })
    }

    /// Whether any conviction is still to be gossiped.
    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Adds pending convictions to a datagram, as far as they fit.
    pub(crate) fn fill(&mut self, p: &mut Packet, mut room: usize, limit: u32, epoch: Micros) {
        let n = self.pending.len().min(PER_DATAGRAM_MAX);
        self.pending.rotate_left(n);
        for f in self.pending.iter().rev().take(n) {
            let Some(k) = self.stored.get_mut(f) else {
                continue;
            };
            let mark = Mark::new(*f, k.until + epoch);
            let len = mark.encoded_len() + MARK_OVERHEAD;
            if len > room {
                break;
            }
            room -= len;
            k.sends += 1;
            p.marks.push(mark);
        }
        let stored = &self.stored;
        self.pending
            .retain(|f| stored.get(f).is_some_and(|k| k.sends < limit));
    }

    /// Evicts the first conviction to expire if there are too many.
    fn evict_excess(&mut self) {
        if self.stored.len() <= CONVICTIONS_MAX {
            return;
        }
        let first = self.stored.iter().min_by_key(|(_, k)| k.until);
        if let Some(f) = first.map(|(f, _)| *f) {
            self.stored.remove(&f);
        }
    }
}
