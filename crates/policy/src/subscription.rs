//! Which engines an entry subscribes to, and the subscribers of a sidecar.
//!
//! Load pattern: hundreds of entries before hundreds of engines. If each sidecar reports each change of its
//! load to each entry, an entry takes in tens of thousands of datagrams a second and does little else,
//! though its requests of a second fit on a few engines.
//!
//! An entry renews its subscriptions; a sidecar reports to those that did so of late, and none has to be
//! removed. Up to some number an entry subscribes to all engines. Beyond it, it subscribes to as many: those
//! of its own failure domain first, then others in an order of its own, so that the entries of a domain
//! don't all choose the same ones. It uses only what it is subscribed to.
//!
//! A renewal each 2 s and a lease of 6 s bear the loss of two datagrams in a row.

use std::collections::HashMap;
use std::net::SocketAddr;

use model::Micros;

/// Engines that an entry subscribes to at most.
pub const MAX_ENGINES: usize = 96;
/// Interval at which subscriptions are renewed.
pub const RENEW_INTERVAL: Micros = Micros::from_secs(2);
/// Retry interval of subscriptions to sidecars that have not confirmed the engine's incarnation.
const RETRY: Micros = Micros::from_millis(200);
/// How long after an entry's start it retries that often; sidecars that are gone for good stay members.
const STARTUP: Micros = Micros::from_secs(4);
/// How long a sidecar reports to an entry that has subscribed.
const LEASE: Micros = Micros::from_secs(6);

/// How long an entry that has been running for a time waits until it renews its subscriptions.
///
/// A sidecar orders nothing before an entry has sent it the engine's incarnation, and an entry knows that
/// only of sidecars that it has received. At the interval of renewals, no engine took weights that were
/// named in the first 2 s after a start of all processes.
pub fn renewal_delay(running: Micros, all_confirmed: bool) -> Micros {
    match all_confirmed || running > STARTUP {
        true => RENEW_INTERVAL,
        false => RETRY,
    }
}

/// A sidecar that an entry may subscribe to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sidecar {
    /// Where it is reached.
    pub addr: SocketAddr,
    /// Whether it is in the entry's failure domain.
    pub same_domain: bool,
    /// Its rank in the entry's own order.
    pub rank: u64,
}

/// The sidecars that an entry subscribes to.
pub fn select(sidecars: impl IntoIterator<Item = Sidecar>) -> Vec<SocketAddr> {
    let mut all: Vec<_> = sidecars.into_iter().collect();
    if all.len() > MAX_ENGINES {
        all.sort_by_key(|s| (!s.same_domain, s.rank));
        all.truncate(MAX_ENGINES);
    }
    all.into_iter().map(|s| s.addr).collect()
}

/// The entries that a sidecar reports to.
#[derive(Debug, Default)]
pub struct Subscribers(HashMap<SocketAddr, Micros>);

impl Subscribers {
    /// Notes a subscription or its renewal; true if the entry was no subscriber and lacks what was reported
    /// before.
    pub fn subscribe(&mut self, now: Micros, entry: SocketAddr) -> bool {
        self.0.retain(|_, until| *until > now);
        self.0.insert(entry, now + LEASE).is_none()
    }

    /// The subscribers whose lease hasn't expired.
    pub fn active(&self, now: Micros) -> impl Iterator<Item = SocketAddr> + '_ {
        let active = self.0.iter().filter(move |(_, until)| **until > now);
        active.map(|(addr, _)| *addr)
    }
}
