//! Which builds each pool has had lately, for callers that take a stream up when nothing else shows at
//! which build it began.
//!
//! Load pattern: a release has replaced all targets of a pool, and all entries end at the same moment.
//! Those that start then see a single build, and would let a stream of the former one go on at it.
//!
//! A process knows which builds it has seen listed ([`History`]). What has to outlast all processes is
//! one row of the store with the builds of all pools ([`Stored`]), which changes when a build appears
//! and when it has left. A pool has a sole build only if both name no other one for as long as streams
//! may last.

use std::collections::{BTreeMap, HashMap};

use model::Micros;

use crate::stream_origin::BuildKey;

/// How long builds are remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time for which a build is remembered after no target has had it, longer than streams last; 120 s.
    pub memory: Micros,
    /// Time without a listed target after which a build counts as having left; 5 s.
    pub absence: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            memory: Micros::from_secs(120),
            absence: Micros::from_secs(5),
        }
    }
}

/// The builds of a pool in the store, with the store's clock in milliseconds when they had left; `None`
/// while targets have them.
pub type PoolBuilds = BTreeMap<BuildKey, Option<u64>>;

/// The builds of all pools, as the store keeps them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored(pub BTreeMap<String, PoolBuilds>);

/// The builds that a process has seen listed.
#[derive(Debug, Default)]
pub struct History {
    config: Config,
    /// When builds were last listed, by pool.
    pools: HashMap<String, HashMap<BuildKey, Micros>>,
    /// When a list was last applied.
    listed_at: Micros,
}

impl History {
    /// Records a list of targets with their builds.
    pub fn record<'a>(
        &mut self,
        now: Micros,
        targets: impl IntoIterator<Item = (&'a str, BuildKey)>,
    ) {
        self.listed_at = now;
        for (pool, build) in targets {
            if !self.pools.contains_key(pool) {
                self.pools.insert(pool.to_owned(), HashMap::new());
            }
            if let Some(builds) = self.pools.get_mut(pool) {
                builds.insert(build, now);
            }
        }
        let memory = self.config.memory;
        for builds in self.pools.values_mut() {
            builds.retain(|_, at| now.since(*at) < memory);
        }
        self.pools.retain(|_, builds| !builds.is_empty());
    }

    /// The only build that a pool has had for as long as a stream may last; `None` if it has had several,
    /// or if the store's row isn't known. `clock_ms` is the store's clock.
    pub fn sole(
        &self,
        now: Micros,
        clock_ms: u64,
        stored: Option<&Stored>,
        pool: &str,
    ) -> Option<BuildKey> {
        let own = self.pools.get(pool).into_iter().flatten();
        let own = own.filter(|(_, at)| now.since(**at) < self.config.memory);
        let kept = stored?.0.get(pool).into_iter().flatten();
        let kept = kept.filter(|(_, left)| self.is_remembered(clock_ms, **left));
        let mut builds = own.map(|(b, _)| *b).chain(kept.map(|(b, _)| *b));
        let first = builds.next()?;
        builds.all(|b| b == first).then_some(first)
    }

    fn is_remembered(&self, clock_ms: u64, left: Option<u64>) -> bool {
        let age = left.map(|at| Micros::from_millis(clock_ms.saturating_sub(at)));
        age.is_none_or(|age| age < self.config.memory)
    }

    /// What the store's row has to say, if that differs from what it says.
    pub fn update(&self, clock_ms: u64, stored: &Stored) -> Option<Stored> {
        if self.listed_at == Micros::ZERO {
            return None;
        }
        let mut updated = stored.clone();
        for (pool, builds) in &self.pools {
            let kept = updated.0.entry(pool.clone()).or_default();
            for (build, at) in builds {
                if *at == self.listed_at {
                    kept.insert(*build, None);
                }
            }
        }
        for (pool, kept) in &mut updated.0 {
            let own = self.pools.get(pool);
            for (build, left) in kept.iter_mut() {
                let at = own.and_then(|b| b.get(build)).copied().unwrap_or_default();
                match *left {
                    None if self.listed_at.since(at) >= self.config.absence => {
                        *left = Some(clock_ms);
                    }
                    // A time that lies ahead would keep the build for good.
                    Some(at) if at > clock_ms => *left = Some(clock_ms),
                    _ => {}
                }
            }
            kept.retain(|_, left| self.is_remembered(clock_ms, *left));
        }
        updated.0.retain(|_, kept| !kept.is_empty());
        (updated != *stored).then_some(updated)
    }
}
