//! What traffic threads know of the fleet: an immutable snapshot, replaced as a whole.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use model::{DomainKey, Incarnation, Kind, MemberId, PoolKey, Version, World};
use rules::RuleSet;

/// A snapshot of configuration and places.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Version of the configuration in force; 0 if there is none.
    pub version: Version,
    /// The configuration in force.
    pub rules: Option<Arc<RuleSet>>,
    /// Places and targets.
    pub world: World,
    /// Failure domain of this process.
    pub domain: DomainKey,
}

/// The snapshot that all threads share.
pub type Shared = Arc<ArcSwap<View>>;

/// A target as the fleet announces it.
#[derive(Clone, Debug)]
pub struct Announced {
    /// The sidecar.
    pub member: MemberId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it takes probes and exchanges.
    pub peer: SocketAddr,
    /// Pool it serves.
    pub pool: String,
    /// Host it runs on.
    pub host: String,
    /// That host's failure domain.
    pub domain: String,
    /// That domain's region.
    pub region: String,
}

impl View {
    /// A view of these targets, seen from a failure domain.
    pub fn new(domain: &str, region: &str, targets: impl IntoIterator<Item = Announced>) -> Self {
        let mut view = Self::default();
        view.domain = view.place(domain, region);
        for t in targets {
            view.add(t);
        }
        view
    }

    fn add(&mut self, a: Announced) {
        let domain = self.place(&a.domain, &a.region);
        let host = model::Host {
            name: a.host,
            domain,
            leaving: false,
        };
        let host = self.world.hosts.insert(host);
        let pool = self.pool(&a.pool);
        self.world.targets.insert(model::Target {
            pool,
            host,
            member: a.member,
            incarnation: a.incarnation,
            probe: a.peer,
            exchange: a.peer,
        });
    }

    fn place(&mut self, domain: &str, region: &str) -> DomainKey {
        let w = &mut self.world;
        let found = w
            .regions
            .iter()
            .find(|(_, r)| r.name == region)
            .map(|(k, _)| k);
        let region = found.unwrap_or_else(|| {
            w.regions.insert(model::Region {
                name: region.to_owned(),
            })
        });
        let found = w
            .domains
            .iter()
            .find(|(_, d)| d.name == domain && d.region == region)
            .map(|(k, _)| k);
        found.unwrap_or_else(|| {
            w.domains.insert(model::Domain {
                name: domain.to_owned(),
                region,
            })
        })
    }

    fn pool(&mut self, name: &str) -> PoolKey {
        let found = self.world.pool(name);
        found.unwrap_or_else(|| {
            self.world.pools.insert(model::Pool {
                name: name.to_owned(),
                kind: Kind::Model,
            })
        })
    }
}
