//! Immutable snapshot of the fleet for the traffic threads, replaced as a whole.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use model::{
    Domain, DomainKey, Host, HostKey, Incarnation, Kind, MemberId, Pool, PoolKey, Region, Target,
    TargetKey, Version, World,
};
use rules::RuleSet;
use xxhash_rust::xxh3::xxh3_64;

/// Snapshot of the configuration, and of hosts and targets.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Version of the configuration in force; 0 if there is none.
    pub version: Version,
    /// The configuration in force.
    pub rules: Option<Arc<RuleSet>>,
    /// Regions, failure domains, hosts, pools and targets. A target keeps its key as long as its
    /// sidecar is a member.
    pub world: World,
    /// Failure domain of this process.
    pub domain: DomainKey,
    /// Whether the other members are known; a process that has just started knows only itself.
    pub joined: bool,
    /// Number of live entries, including this process if it is one.
    pub entries: usize,
    /// Keys of targets by the member id of their sidecar.
    targets: HashMap<MemberId, TargetKey>,
}

/// The current snapshot, shared by all threads.
pub type SharedView = Arc<ArcSwap<View>>;

/// A target as its sidecar announces it.
#[derive(Clone, Debug)]
pub struct AnnouncedTarget {
    /// Member id of the sidecar.
    pub member: MemberId,
    /// Incarnation of the sidecar.
    pub incarnation: Incarnation,
    /// Address for probes and exchanges.
    pub peer: SocketAddr,
    /// Pool of the target.
    pub pool: String,
    /// Host that the target runs on.
    pub host: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Region of the failure domain.
    pub region: String,
    /// Whether the platform has announced that the host will leave.
    pub leaving: bool,
}

/// Input of rendezvous hashing for a target, the same in all processes and across restarts.
pub fn rank(pool: &str, peer: SocketAddr) -> u64 {
    xxh3_64(format!("{pool}@{peer}").as_bytes())
}

impl View {
    /// View without targets, of a process in this failure domain.
    pub fn new(domain: &str, region: &str) -> Self {
        let mut view = Self::default();
        view.domain = view.domain_key(domain, region);
        view
    }

    /// Adds or replaces a sidecar's target; false if nothing changed.
    pub fn upsert(&mut self, a: AnnouncedTarget) -> bool {
        let pool = self.pool_key(&a.pool);
        let host = self.host_key(&a);
        let leaving_changed = self.set_leaving(host, a.leaving);
        let old = self
            .targets
            .get(&a.member)
            .and_then(|k| self.world.targets.get_mut(*k));
        if let Some(t) = old {
            let same = t.exchange == a.peer && t.pool == pool;
            (t.exchange, t.probe, t.pool, t.incarnation) = (a.peer, a.peer, pool, a.incarnation);
            return !same || leaving_changed;
        }
        let target = Target {
            pool,
            host,
            member: a.member,
            incarnation: a.incarnation,
            rank: rank(&a.pool, a.peer),
            probe: a.peer,
            exchange: a.peer,
        };
        let key = self.world.targets.insert(target);
        self.targets.insert(a.member, key);
        true
    }

    /// Removes a sidecar's target; false if there was none.
    pub fn remove(&mut self, member: MemberId) -> bool {
        let key = self.targets.remove(&member);
        key.and_then(|k| self.world.targets.remove(k)).is_some()
    }

    /// Sets whether a host will leave; true if that changed.
    fn set_leaving(&mut self, host: HostKey, leaving: bool) -> bool {
        let host = self.world.hosts.get_mut(host);
        host.is_some_and(|h| std::mem::replace(&mut h.leaving, leaving) != leaving)
    }

    /// Key of a target's host, which is added if unknown.
    fn host_key(&mut self, a: &AnnouncedTarget) -> HostKey {
        let domain = self.domain_key(&a.domain, &a.region);
        let hosts = &mut self.world.hosts;
        let found = hosts
            .iter()
            .find(|(_, h)| h.name == a.host && h.domain == domain);
        let found = found.map(|(k, _)| k);
        found.unwrap_or_else(|| {
            hosts.insert(Host {
                name: a.host.clone(),
                domain,
                leaving: false,
            })
        })
    }

    /// Key of a failure domain; it and its region are added if unknown.
    fn domain_key(&mut self, domain: &str, region: &str) -> DomainKey {
        let name = region.to_owned();
        let regions = &mut self.world.regions;
        let found = regions
            .iter()
            .find(|(_, r)| r.name == region)
            .map(|(k, _)| k);
        let region = found.unwrap_or_else(|| regions.insert(Region { name }));
        let name = domain.to_owned();
        let domains = &mut self.world.domains;
        let found = domains
            .iter()
            .find(|(_, d)| d.name == domain && d.region == region);
        let found = found.map(|(k, _)| k);
        found.unwrap_or_else(|| domains.insert(Domain { name, region }))
    }

    /// Key of a pool, which is added if unknown.
    fn pool_key(&mut self, name: &str) -> PoolKey {
        let found = self.world.pool(name);
        found.unwrap_or_else(|| {
            self.world.pools.insert(Pool {
                name: name.to_owned(),
                kind: Kind::Model,
            })
        })
    }
}
