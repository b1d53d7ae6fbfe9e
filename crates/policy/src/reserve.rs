//! Places held for requests that have asked and not yet come.
//!
//! Load pattern: a burst reaches many entries within the few milliseconds that a probe and its
//! answer take. Without reservations all of them see the same idle replica, all choose it, and
//! the last of the herd waits for the whole burst while other replicas stay idle.
//!
//! Each answered probe adds a part of the request's work to the wait that later probes are told,
//! until the request comes or the time is over. Grounds: with up to four replicas asked, one of
//! them gets the request, hence a quarter of its work at each; 50 ms are ten round trips between
//! failure domains, so that a lost message blocks a place only briefly.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

use model::Micros;

/// How places are held.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// How long a place is held for a request that doesn't come; 50 ms.
    pub hold: Micros,
    /// The part of the work that is counted; 0.25, one in four replicas asked.
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

/// The places held at one sidecar, named by the probes' keys.
#[derive(Debug)]
pub struct Reservations<K> {
    config: Config,
    held: HashMap<K, (Micros, Micros)>,
    order: VecDeque<(Micros, K)>,
    sum: Micros,
}

impl<K: Copy + Eq + Hash> Reservations<K> {
    /// No places held.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            held: HashMap::new(),
            order: VecDeque::new(),
            sum: Micros::ZERO,
        }
    }

    /// Follows other settings from now on.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// Holds a place for a request that has asked; asking again renews it.
    pub fn hold(&mut self, now: Micros, key: K, work: Micros) {
        self.release(key);
        let until = now + self.config.hold;
        let part = Micros((work.0 as f64 * self.config.part) as u64);
        self.held.insert(key, (until, part));
        self.order.push_back((until, key));
        self.sum = self.sum + part;
    }

    /// Ends a hold because the request has come or been placed elsewhere.
    pub fn release(&mut self, key: K) {
        if let Some((_, part)) = self.held.remove(&key) {
            self.sum = self.sum - part;
        }
    }

    /// The work held for at this time.
    pub fn total(&mut self, now: Micros) -> Micros {
        while let Some((until, key)) = self.order.front().copied().filter(|(t, _)| *t <= now) {
            self.order.pop_front();
            // A renewed hold has a later time than the one that ends here.
            if self.held.get(&key).is_some_and(|(t, _)| *t == until) {
                self.release(key);
            }
        }
        self.sum
    }
}
