//! What is replayed how.

use model::Micros;
use policy::probe_placement;

use super::engine;
use super::trace::{Workload, GRAIN};

/// How replicas are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    Ours,
    RoundRobin,
    /// By the requests that each replica has at this moment, which no real entry knows as exactly.
    LeastLoaded,
    /// By rendezvous on the deep level, the most that a router without probes can know.
    ConsistentHash,
    /// By the same sum as ours, over all replicas and their true caches.
    Oracle,
}

/// How requests wait at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// In the sidecar, by `admit`, `queue` and `concurrency`.
    Ours,
    /// At the engine, in order of arrival, without a bound.
    Fifo,
}

/// Something that goes wrong.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// A replica runs at a fraction of its speed from then on.
    Slow { replica: usize, factor: f64 },
    /// A replica crashes and comes back empty.
    Crash { replica: usize },
    /// All entries restart and know nothing.
    Entries,
}

/// What is replayed how.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) policy: Policy,
    pub(crate) order: Order,
    pub(crate) replicas: usize,
    pub(crate) domains: usize,
    pub(crate) entries: usize,
    pub(crate) engine: engine::Config,
    /// By how much faster than recorded requests come.
    pub(crate) speed: f64,
    /// Delay of cache events, and the part of them that is lost.
    pub(crate) late: Micros,
    pub(crate) loss: f64,
    pub(crate) place: probe_placement::Config,
    pub(crate) faults: Vec<(Micros, Fault)>,
    pub(crate) seed: u64,
}

impl Setup {
    /// The sizes of one of the two workloads.
    pub(crate) fn new(workload: Workload, policy: Policy) -> Self {
        Self {
            policy,
            order: match policy {
                Policy::Ours | Policy::Oracle => Order::Ours,
                _ => Order::Fifo,
            },
            replicas: 9,
            domains: workload.domains(),
            entries: 4,
            engine: engine::Config {
                cache: (workload.cache() / GRAIN) as usize,
                slots: 32,
                prefill: Micros::from_millis(8),
                gap: Micros::from_millis(25),
            },
            speed: 1.0,
            late: Micros::from_millis(100),
            loss: 0.001,
            place: probe_placement::Config::default(),
            faults: Vec::new(),
            seed: 7,
        }
    }
}
