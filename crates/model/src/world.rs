//! Places and the things in them, held in arenas and named by typed keys.
//!
//! The platform's machines are hosts, its zones failure domains, its customers teams and its back
//! ends targets; `docs/GLOSSARY.md` maps these words to the usual ones.

use std::net::SocketAddr;

use slotmap::{new_key_type, SlotMap};

use crate::ids::{Incarnation, MemberId};
use crate::time::Micros;

new_key_type! {
    /// Names a region.
    pub struct RegionKey;
    /// Names a failure domain.
    pub struct DomainKey;
    /// Names a host.
    pub struct HostKey;
    /// Names a team.
    pub struct TeamKey;
    /// Names a pool.
    pub struct PoolKey;
    /// Names a target.
    pub struct TargetKey;
}

/// Failure domains near one another.
#[derive(Clone, Debug)]
pub struct Region {
    /// Name in settings.
    pub name: String,
}

/// Hosts that fail together.
#[derive(Clone, Debug)]
pub struct Domain {
    /// Name in settings.
    pub name: String,
    /// Where it lies.
    pub region: RegionKey,
}

/// A machine with its slot for one of our processes.
#[derive(Clone, Debug)]
pub struct Host {
    /// Address at the platform.
    pub name: String,
    /// Where it stands.
    pub domain: DomainKey,
    /// Whether the platform has announced that it goes.
    pub leaving: bool,
}

/// A customer whose requests are counted and kept together.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name in the configuration.
    pub name: String,
}

/// What stands behind a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Model engines with a prefix cache.
    Model,
    /// Plain services.
    Plain,
}

/// Targets that can stand in for one another.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Name in the configuration.
    pub name: String,
    /// What stands behind it.
    pub kind: Kind,
}

/// One replica, reached through the sidecar beside it.
#[derive(Clone, Debug)]
pub struct Target {
    /// The pool it serves.
    pub pool: PoolKey,
    /// The host it runs on.
    pub host: HostKey,
    /// The sidecar beside it.
    pub member: MemberId,
    /// The life of the sidecar.
    pub incarnation: Incarnation,
    /// The same for this target at every entry and over restarts, for rendezvous hashing.
    pub rank: u64,
    /// Where the sidecar answers probes.
    pub probe: SocketAddr,
    /// Where the sidecar takes exchanges.
    pub exchange: SocketAddr,
}

/// The way between two failure domains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Link {
    /// One way, in either direction.
    pub delay: Micros,
}

/// All that is known of the places and what stands in them.
#[derive(Clone, Debug, Default)]
pub struct World {
    /// Regions.
    pub regions: SlotMap<RegionKey, Region>,
    /// Failure domains.
    pub domains: SlotMap<DomainKey, Domain>,
    /// Hosts.
    pub hosts: SlotMap<HostKey, Host>,
    /// Teams.
    pub teams: SlotMap<TeamKey, Team>,
    /// Pools.
    pub pools: SlotMap<PoolKey, Pool>,
    /// Targets.
    pub targets: SlotMap<TargetKey, Target>,
}

/// Assumed one-way delay within a failure domain.
pub const DELAY_IN_DOMAIN: Micros = Micros(100);
/// Assumed one-way delay between failure domains of a region.
pub const DELAY_IN_REGION: Micros = Micros(1_000);
/// Assumed one-way delay between regions.
pub const DELAY_BETWEEN_REGIONS: Micros = Micros(15_000);

impl World {
    /// The link between two failure domains.
    pub fn link(&self, a: DomainKey, b: DomainKey) -> Link {
        let region = |d| self.domains.get(d).map(|d: &Domain| d.region);
        let delay = match (region(a), region(b)) {
            _ if a == b => DELAY_IN_DOMAIN,
            (Some(x), Some(y)) if x == y => DELAY_IN_REGION,
            _ => DELAY_BETWEEN_REGIONS,
        };
        Link { delay }
    }

    /// The targets of a pool that take new work, in key order.
    ///
    /// Those of leaving hosts are left out, as what they begin may be cut off with the host; if
    /// all hosts leave, they are better than nothing.
    pub fn pool_targets(&self, pool: PoolKey) -> impl Iterator<Item = (TargetKey, &Target)> {
        let all = move || self.targets.iter().filter(move |(_, t)| t.pool == pool);
        let stays = |t: &Target| self.hosts.get(t.host).is_none_or(|h| !h.leaving);
        let some = all().any(|(_, t)| stays(t));
        all().filter(move |(_, t)| !some || stays(t))
    }

    /// The pool with this name.
    pub fn pool(&self, name: impl AsRef<str>) -> Option<PoolKey> {
        let name = name.as_ref();
        self.pools
            .iter()
            .find_map(|(k, p)| (p.name == name).then_some(k))
    }
}
