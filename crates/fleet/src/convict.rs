//! Fingerprints of requests that crash their targets.
//!
//! A caller sends a crashing request again, through other entries; unless all of them know it,
//! each costs one more target. Expiry is carried as wall-clock time, so that a replayed datagram
//! can't renew it, and is cut to [`LIFE_MAX`], so that a wrong clock can't convict for good.

use std::collections::HashMap;

use model::Micros;
use prost::Message;

use crate::packet::{Mark, Packet};

/// Bound on the convictions kept, 64 bytes each; the first to expire goes.
const KEEP_MAX: usize = 256;
/// Longest time that a conviction holds.
const LIFE_MAX: Micros = Micros::from_secs(3_600);
/// Most that ride on one datagram, so that membership keeps its room.
const RIDE_MAX: usize = 4;
/// Tag and length in front of a mark in a datagram.
const FRAME: usize = 2;

/// A request that is to be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conviction {
    /// Digest of the request.
    pub fingerprint: u128,
    /// When it may be tried again, on the driver's clock.
    pub until: Micros,
}

struct Kept {
    until: Micros,
    told: u32,
}

/// The convictions known here.
#[derive(Default)]
pub(crate) struct Convictions {
    kept: HashMap<u128, Kept>,
    hot: Vec<u128>,
}

impl Convictions {
    /// Takes one in; true if it is new or holds longer than known.
    pub(crate) fn add(&mut self, now: Micros, c: Conviction) -> bool {
        let until = c.until.min(now + LIFE_MAX);
        self.kept.retain(|_, k| k.until > now);
        let known = self.kept.get(&c.fingerprint).map(|k| k.until);
        if until <= now || known.is_some_and(|u| u >= until) {
            return false;
        }
        self.kept.insert(c.fingerprint, Kept { until, told: 0 });
        self.hot.retain(|f| *f != c.fingerprint);
        self.hot.push(c.fingerprint);
        self.bound();
        true
    }

    /// All that hold.
    pub(crate) fn iter(&self, now: Micros) -> impl Iterator<Item = Conviction> + '_ {
        let live = self.kept.iter().filter(move |(_, k)| k.until > now);
        live.map(|(&fingerprint, k)| Conviction {
            fingerprint,
            until: k.until,
        })
    }

    /// Whether some are still to be passed on.
    pub(crate) fn is_hot(&self) -> bool {
        !self.hot.is_empty()
    }

    /// Adds a few to a datagram.
    pub(crate) fn fill(&mut self, p: &mut Packet, mut room: usize, limit: u32, epoch: Micros) {
        let n = self.hot.len().min(RIDE_MAX);
        self.hot.rotate_left(n);
        for f in self.hot.iter().rev().take(n) {
            let Some(k) = self.kept.get_mut(f) else {
                continue;
            };
            let mark = Mark::new(*f, k.until + epoch);
            let len = mark.encoded_len() + FRAME;
            if len > room {
                break;
            }
            room -= len;
            k.told += 1;
            p.marks.push(mark);
        }
        let kept = &self.kept;
        self.hot
            .retain(|f| kept.get(f).is_some_and(|k| k.told < limit));
    }

    fn bound(&mut self) {
        if self.kept.len() <= KEEP_MAX {
            return;
        }
        let first = self.kept.iter().min_by_key(|(_, k)| k.until);
        if let Some(f) = first.map(|(f, _)| *f) {
            self.kept.remove(&f);
        }
    }
}
