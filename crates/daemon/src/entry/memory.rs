//! What an entry remembers from request to request: who holds which prefix, who is slow, how much
//! may be retried, which requests crash targets. All of it may be lost; a restarted entry serves
//! at once and learns it anew.

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

/// The memory of one entry.
#[derive(Debug)]
pub struct Memory {
    /// Who got which prefix lately.
    pub recent: RecentReplicas,
    /// How each target has served.
    pub health: Health,
    /// Retries that may still be made.
    pub budget: Budget,
    /// Suspects and convicted.
    pub quarantine: Quarantine,
    /// The wait that each target told last.
    pub waits: HashMap<TargetKey, Micros>,
    /// Turns of the round-robin baseline.
    pub turn: usize,
    /// How replicas are chosen.
    pub place: probe_placement::Config,
    /// What each team has sent.
    pub limits: Limits,
    /// Random choices.
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
            turn: 0,
            place: probe_placement::Config::default(),
            limits: Limits::default(),
            rng: SmallRng::from_os_rng(),
        }
    }
}

impl Memory {
    /// Follows another configuration from now on.
    pub fn tune(&mut self, t: &PolicyConfigs) {
        self.place = t.place;
        self.health.set_config(t.health);
        self.budget.set_config(t.retry);
        self.quarantine.set_config(t.quarantine);
    }

    /// Takes over what another process found of a request.
    pub fn told(&mut self, now: Micros, mark: CrashReport, until: Micros) {
        crash_report::apply(&mut self.quarantine, now, mark, until);
    }

    /// Names of the crashes that are held against a request.
    pub fn crashes(&self, now: Micros, fingerprint: u64) -> Vec<u64> {
        crash_report::crash_ids(
            &self.quarantine,
            now,
            crash_report::fingerprint(fingerprint),
        )
    }

    /// What is held against a request.
    pub fn verdict(&self, now: Micros, fingerprint: u64) -> quarantine::Verdict {
        self.quarantine
            .verdict(now, crash_report::fingerprint(fingerprint))
    }
}

/// The memory, shared by all traffic threads.
#[derive(Debug, Default)]
pub struct Shared(Mutex<Memory>);

impl Shared {
    /// The memory, locked; held for microseconds only.
    pub fn lock(&self) -> MutexGuard<'_, Memory> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
