//! What an entry remembers across requests: which replica holds which prefix, the health of
//! targets, the retry budget, and requests that crash targets. None of it is stored. A restarted
//! entry serves at once and collects it again.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use model::{Micros, TargetKey};
use policy::health::{self, Health};
use policy::probe_placement;
use policy::quarantine::{self, Quarantine};
use policy::recent_replicas::{self, RecentReplicas};
use policy::retry::{self, Budget};
use rand::rngs::SmallRng;
use rand::SeedableRng;

use crate::crash_report::{self, CrashReport};
use crate::entry::limits::Limits;
use crate::policy_configs::PolicyConfigs;

/// Memory of one entry.
#[derive(Debug)]
pub struct Memory {
    /// Replicas that got requests with a prefix lately.
    pub recent: RecentReplicas,
    /// Health of each target.
    pub health: Health,
    /// Budget of retries.
    pub budget: Budget,
    /// Suspect and convicted requests.
    pub quarantine: Quarantine,
    /// Wait in the last offer of each target.
    pub waits: HashMap<TargetKey, Micros>,
    /// Counter of the round-robin policy.
    pub round_robin: usize,
    /// Settings of placement by probes.
    pub placement: probe_placement::Config,
    /// Usage of the rate limits.
    pub limits: Limits,
    /// Generator for random choices.
    pub rng: SmallRng,
}

impl Default for Memory {
    fn default() -> Self {
        Self {
            recent: RecentReplicas::new(recent_replicas::Config::default()),
            health: Health::new(health::Config::default()),
            budget: Budget::new(retry::Config::default()),
            quarantine: Quarantine::new(quarantine::Config::default()),
            waits: HashMap::new(),
            round_robin: 0,
            placement: probe_placement::Config::default(),
            limits: Limits::default(),
            rng: SmallRng::from_os_rng(),
        }
    }
}

impl Memory {
    /// Applies the settings of another configuration.
    pub fn set_configs(&mut self, c: &PolicyConfigs) {
        self.placement = c.placement;
        self.health.set_config(c.health);
        self.budget.set_config(c.retry);
        self.quarantine.set_config(c.quarantine);
    }

    /// Records the crash report of another process.
    pub fn apply_report(&mut self, now: Micros, report: CrashReport, until: Micros) {
        crash_report::apply(&mut self.quarantine, now, report, until);
    }

    /// Ids of the crashes recorded for a request.
    pub fn crash_ids(&self, now: Micros, fingerprint: u64) -> Vec<u64> {
        crash_report::crash_ids(
            &self.quarantine,
            now,
            crash_report::fingerprint(fingerprint),
        )
    }

    /// Whether a request is a suspect or convicted.
    pub fn verdict(&self, now: Micros, fingerprint: u64) -> quarantine::Verdict {
        self.quarantine
            .verdict(now, crash_report::fingerprint(fingerprint))
    }
}

/// Memory shared by all traffic threads.
#[derive(Debug, Default)]
pub struct SharedMemory(Mutex<Memory>);

impl SharedMemory {
    /// Locks the memory. Callers hold the lock for microseconds only.
    pub fn lock(&self) -> MutexGuard<'_, Memory> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
