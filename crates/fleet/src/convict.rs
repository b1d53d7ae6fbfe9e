//! Fingerprints of requests that crash their targets.
//!
//! A caller sends a crashing request again, through other entries; unless all of them know it,
//! each costs one more target. Expiry is carried as wall-clock time, so that a replayed datagram
//! can't renew it, and is cut to [`TTL_MAX`], so that a wrong clock can't convict for good.

use std::collections::HashMap;

use model::Micros;
use prost::Message;

use crate::packet::{Mark, Packet};

/// Bound on the convictions kept, 64 bytes each; the first to expire goes.
const CONVICTIONS_MAX: usize = 256;
/// Longest time that a conviction holds.
const TTL_MAX: Micros = Micros::from_secs(3_600);
/// Most that ride on one datagram, so that membership keeps its room.
const PER_DATAGRAM_MAX: usize = 4;
/// Tag and length in front of a mark in a datagram.
const MARK_OVERHEAD: usize = 2;

/// A request that is to be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conviction {
    /// Digest of the request.
    pub fingerprint: u128,
    /// When it may be tried again, on the driver's clock.
    pub until: Micros,
}

struct Stored {
    until: Micros,
    sends: u32,
}

/// The convictions known here.
#[derive(Default)]
pub(crate) struct Convictions {
    stored: HashMap<u128, Stored>,
    pending: Vec<u128>,
}

impl Convictions {
    /// Takes one in; true if it is new or holds longer than known.
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

    /// All that hold.
    pub(crate) fn iter(&self, now: Micros) -> impl Iterator<Item = Conviction> + '_ {
        let live = self.stored.iter().filter(move |(_, k)| k.until > now);
        live.map(|(&fingerprint, k)| Conviction {
            fingerprint,
            until: k.until,
        })
    }

    /// Whether some are still to be passed on.
    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Adds a few to a datagram.
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
