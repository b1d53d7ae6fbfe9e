//! Which engines an entry subscribes to, and which entries have subscribed to a sidecar.
//!
//! Load pattern: hundreds of entries in front of hundreds of engines. If each sidecar reported each change of
//! its load to each entry, an entry would receive tens of thousands of datagrams a second and do little
//! else, although the requests that it handles in a second fit on a few engines.
//!
//! An entry renews its subscriptions. A sidecar reports to the entries that have subscribed or renewed
//! recently, so no subscription has to be removed explicitly. An entry subscribes to all engines if there are
//! at most [`MAX_ENGINES`] of them. Otherwise it subscribes to that number: first those of its own failure
//! domain, then others in an order that differs between entries, so that the entries of a domain don't all
//! choose the same engines. An entry uses only engines that it is subscribed to.
//!
//! A renewal every 2 s and a lease of 6 s tolerate the loss of two datagrams in a row.

use std::collections::HashMap;
use std::net::SocketAddr;

use model::Micros;

/// Maximum number of engines that an entry subscribes to.
pub const MAX_ENGINES: usize = 96;
/// Interval between renewals of a subscription.
pub const RENEW_INTERVAL: Micros = Micros::from_secs(2);
/// Interval between retries while some sidecar has not confirmed its engine's incarnation.
const RETRY_INTERVAL: Micros = Micros::from_millis(200);
/// How long after its start an entry uses the retry interval. The period is limited because sidecars that
/// are gone for good remain in the list of members.
const STARTUP_PERIOD: Micros = Micros::from_secs(4);
/// How long a sidecar reports to an entry after its last subscription or renewal.
const LEASE: Micros = Micros::from_secs(6);

/// Delay before the next renewal, for an entry that has been running for the given time.
///
/// A sidecar sends its engine no orders before an entry has sent it the engine's incarnation, and an entry
/// knows the incarnation only for sidecars from which it has received an update. With the renewal interval
/// alone, no engine loaded weights that were announced in the first 2 s after a start of all processes.
pub fn renewal_delay(running: Micros, all_confirmed: bool) -> Micros {
    match all_confirmed || running > STARTUP_PERIOD {
        true => RENEW_INTERVAL,
        false => RETRY_INTERVAL,
    }
}

/// Sidecar that an entry may subscribe to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sidecar {
    /// Address of the sidecar.
    pub addr: SocketAddr,
    /// Whether the sidecar is in the entry's failure domain.
    pub same_domain: bool,
    /// Rank of the sidecar in the entry's own order.
    pub rank: u64,
}

/// Selects the sidecars that an entry subscribes to.
pub fn select(sidecars: impl IntoIterator<Item = Sidecar>) -> Vec<SocketAddr> {
    let mut all: Vec<_> = sidecars.into_iter().collect();
    if all.len() > MAX_ENGINES {
        all.sort_by_key(|s| (!s.same_domain, s.rank));
        all.truncate(MAX_ENGINES);
    }
    all.into_iter().map(|s| s.addr).collect()
}

/// Entries that a sidecar reports to, with the expiry of their leases.
#[derive(Debug, Default)]
pub struct Subscribers(HashMap<SocketAddr, Micros>);

impl Subscribers {
    /// Records a subscription or renewal; returns whether the entry is new and lacks earlier reports.
    pub fn subscribe(&mut self, now: Micros, entry: SocketAddr) -> bool {
        self.0.retain(|_, until| *until > now);
        self.0.insert(entry, now + LEASE).is_none()
    }

    /// Subscribers whose lease hasn't expired.
    pub fn active(&self, now: Micros) -> impl Iterator<Item = SocketAddr> + '_ {
        let active = self.0.iter().filter(move |(_, until)| **until > now);
        active.map(|(addr, _)| *addr)
    }
}
