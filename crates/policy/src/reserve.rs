//! Short reservations for requests whose probe has been answered and that haven't arrived yet.
//!
//! Load pattern: a burst reaches many entries within the few milliseconds that a probe and its
//! answer take. Without reservations all entries see the same idle replica and choose it, and the
//! last request of the burst waits for all others while other replicas stay idle.
//!
//! Each answered probe adds a share of the request's work to the wait reported to later probes, until
//! the request arrives or the reservation expires. With up to four replicas probed, one of them gets
//! the request, hence a quarter of its work at each. The 50 ms are ten round trips between failure
//! domains, so that a lost message blocks capacity only briefly.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

use model::Micros;

/// How work is reserved.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// How long a reservation lasts if its request doesn't arrive; 50 ms.
    pub hold: Micros,
    /// Share of the work that is reserved; 0.25, since one in four probed replicas gets the request.
    pub part: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            hold: Micros::from_millis(50),
            part: 0.25,
        }
    }
}

/// The reservations at one sidecar, by probe key.
#[derive(Debug)]
pub struct Reservations<K> {
    config: Config,
    held: HashMap<K, (Micros, Micros)>,
    by_expiry: VecDeque<(Micros, K)>,
    total: Micros,
}

impl<K: Copy + Eq + Hash> Reservations<K> {
    /// Creates an empty set of reservations.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            held: HashMap::new(),
            by_expiry: VecDeque::new(),
            total: Micros::ZERO,
        }
    }

    /// Applies new settings to later reservations.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// Reserves work for a probed request; another probe with the same key renews the reservation.
    pub fn hold(&mut self, now: Micros, key: K, work: Micros) {
        self.release(key);
        let until = now + self.config.hold;
        let part = Micros((work.0 as f64 * self.config.part) as u64);
        self.held.insert(key, (until, part));
        self.by_expiry.push_back((until, key));
        self.total = self.total + part;
    }

    /// Ends a reservation because its request has arrived or been placed elsewhere.
    pub fn release(&mut self, key: K) {
        if let Some((_, part)) = self.held.remove(&key) {
            self.total = self.total - part;
        }
    }

    /// The work reserved at this time.
    pub fn total(&mut self, now: Micros) -> Micros {
        while let Some((until, key)) = self.by_expiry.front().copied().filter(|(t, _)| *t <= now) {
            self.by_expiry.pop_front();
            // A renewed reservation has a later expiry than this one.
            if self.held.get(&key).is_some_and(|(t, _)| *t == until) {
                self.release(key);
            }
        }
        self.total
    }
}
