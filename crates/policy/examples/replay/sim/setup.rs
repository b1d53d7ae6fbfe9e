//! Settings of a replay: policies, sizes and faults.

use model::Micros;
use policy::probe_placement;

use super::engine;
use super::trace::{Workload, REPLAY_BLOCK_TOKENS};

/// How the entries choose replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// By probes, as the daemon does.
    Ours,
    /// Each entry takes the replicas in rotation.
    RoundRobin,
    /// By the current number of requests at each replica, which no real entry has as exactly.
    LeastLoaded,
    /// By rendezvous hashing on the deepest prefix level of the prompt, the best that a router
    /// without probes can do.
    ConsistentHash,
    /// By the same cost as `Ours`, over all replicas and their actual caches.
    Oracle,
}

/// How requests queue at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// In the sidecar, by `admit`, `queue` and `concurrency`.
    Ours,
    /// At the engine, in order of arrival, without a limit.
    Fifo,
}

/// An injected fault.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// A replica is slower by `factor` from then on.
    Slow { replica: usize, factor: f64 },
    /// A replica crashes and restarts with an empty cache.
    Crash { replica: usize },
    /// All entries restart and lose their state.
    Entries,
}

/// Settings of a replay.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) policy: Policy,
    pub(crate) order: Order,
    pub(crate) replicas: usize,
    pub(crate) domains: usize,
    pub(crate) entries: usize,
    pub(crate) engine: engine::Config,
    /// Factor by which requests arrive faster than recorded.
    pub(crate) speed: f64,
    /// Delay of cache events, and the share of them that is lost.
    pub(crate) event_delay: Micros,
    pub(crate) event_loss: f64,
    pub(crate) placement: probe_placement::Config,
    pub(crate) faults: Vec<(Micros, Fault)>,
    pub(crate) seed: u64,
}

impl Setup {
    /// The settings of a workload under a policy, without faults.
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
                cache_blocks: (workload.cache_tokens() / REPLAY_BLOCK_TOKENS) as usize,
                slots: 32,
                prefill_per_block: Micros::from_millis(8),
                token_interval: Micros::from_millis(25),
            },
            speed: 1.0,
            event_delay: Micros::from_millis(100),
            event_loss: 0.001,
            placement: probe_placement::Config::default(),
            faults: Vec::new(),
            seed: 7,
        }
    }
}
