//! Regions, failure domains, hosts, teams, pools and targets, held in arenas with typed keys.
//!
//! A host is a machine of the platform, a failure domain a zone, a team a customer and a target a
//! back end; `docs/GLOSSARY.md` maps these words to the usual ones.

use std::net::SocketAddr;

use slotmap::{new_key_type, SlotMap};

use crate::ids::{Incarnation, MemberId};
use crate::time::Micros;

new_key_type! {
    /// Key of a [`Region`].
    pub struct RegionKey;
    /// Key of a [`Domain`].
    pub struct DomainKey;
    /// Key of a [`Host`].
    pub struct HostKey;
    /// Key of a [`Team`].
    pub struct TeamKey;
    /// Key of a [`Pool`].
    pub struct PoolKey;
    /// Key of a [`Target`].
    pub struct TargetKey;
}

/// A group of failure domains with low network latency between them.
#[derive(Clone, Debug)]
pub struct Region {
    /// Name in settings.
    pub name: String,
}

/// A failure domain: hosts that may fail together.
#[derive(Clone, Debug)]
pub struct Domain {
    /// Name in settings.
    pub name: String,
    /// Region that contains the failure domain.
    pub region: RegionKey,
}

/// A machine of the platform with a slot for one process of this system.
#[derive(Clone, Debug)]
pub struct Host {
    /// Address by which the platform identifies the host.
    pub name: String,
    /// Failure domain that contains the host.
    pub domain: DomainKey,
    /// Whether the platform has announced that it will remove the host.
    pub leaving: bool,
}

/// A customer; requests are accounted and grouped by team.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name in the configuration.
    pub name: String,
}

/// The type of service that a pool's targets run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Model engines with a prefix cache.
    Model,
    /// Services without a prefix cache.
    Plain,
}

/// A group of interchangeable targets.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Name in the configuration.
    pub name: String,
    /// The type of service that its targets run.
    pub kind: Kind,
}

/// One replica of a service, reached through the sidecar on its host.
#[derive(Clone, Debug)]
pub struct Target {
    /// Pool that the target belongs to.
    pub pool: PoolKey,
    /// Host that the target runs on.
    pub host: HostKey,
    /// Process id of the target's sidecar.
    pub member: MemberId,
    /// Incarnation of the sidecar.
    pub incarnation: Incarnation,
    /// Input to rendezvous hashing; the same at every entry and across restarts.
    pub rank: u64,
    /// Address at which the sidecar answers probes.
    pub probe: SocketAddr,
    /// Address at which the sidecar accepts exchanges.
    pub exchange: SocketAddr,
}

/// The network path between two failure domains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Link {
    /// One-way delay, the same in both directions.
    pub delay: Micros,
}

/// Everything known about the deployment: its regions, failure domains, hosts, teams, pools and
/// targets.
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
    /// The network path between two failure domains.
    pub fn link(&self, a: DomainKey, b: DomainKey) -> Link {
        let region = |d| self.domains.get(d).map(|d: &Domain| d.region);
        let delay = match (region(a), region(b)) {
            _ if a == b => DELAY_IN_DOMAIN,
            (Some(x), Some(y)) if x == y => DELAY_IN_REGION,
            _ => DELAY_BETWEEN_REGIONS,
        };
        Link { delay }
    }

    /// The targets of a pool that may get new requests, in key order.
    ///
    /// Targets on leaving hosts are excluded, since a request may be cut off when the host is
    /// removed. If all hosts of the pool are leaving, their targets are used: refusing every
    /// request would be worse.
    pub fn pool_targets(&self, pool: PoolKey) -> impl Iterator<Item = (TargetKey, &Target)> {
        let all = move || self.targets.iter().filter(move |(_, t)| t.pool == pool);
        let remains = |t: &Target| self.hosts.get(t.host).is_none_or(|h| !h.leaving);
        let any_remains = all().any(|(_, t)| remains(t));
        all().filter(move |(_, t)| !any_remains || remains(t))
    }

    /// Looks up a pool by name.
    pub fn pool(&self, name: impl AsRef<str>) -> Option<PoolKey> {
        let name = name.as_ref();
        self.pools
            .iter()
            .find_map(|(k, p)| (p.name == name).then_some(k))
    }
}
