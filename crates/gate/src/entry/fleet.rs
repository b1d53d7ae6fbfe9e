//! All targets, as the platform's list and agents' updates describe them.

use std::collections::HashMap;
use std::net::SocketAddr;

use model::{Micros, Position};
use policy::{circuit_breaker, row_expiry};
use site::{Boot, Part, PartId, State, Target};
use slotmap::{new_key_type, SlotMap};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::replica::{apply_parts, AgentReport, KvStoreContents, Replica};
use super::restored_list::RestoredList;
use super::usable::REPORT_LIFETIME;
use crate::agent::AgentId;
use crate::log::{self, Event};
use crate::speed::{ObservedTarget, Pools};
use crate::update::{HeldPart, Update};

new_key_type! {
    /// Key of a target in [`Fleet::replicas`].
    pub struct ReplicaKey;
}

/// Key of one incarnation of a target, also while it isn't listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct BootKey(pub(super) u64);

impl BootKey {
    /// Key of an incarnation.
    pub(super) fn new(boot: &Boot) -> Self {
        Self(xxh3_64_with_seed(boot.id.as_bytes(), boot.born))
    }
}

/// Weight of a new answer in a pool's usual failure rate.
const USUAL_RATE_SMOOTHING: f64 = 0.02;

/// All targets that an entry has data on.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The targets.
    pub replicas: SlotMap<ReplicaKey, Replica>,
    /// Usual speeds of the pools.
    pub speeds: Pools,
    /// Keys of the targets, by incarnation.
    keys: HashMap<Boot, ReplicaKey>,
    /// When the list was last read or confirmed to be unchanged.
    pub(super) list_confirmed_at: Micros,
    /// When the last successful read of the store began; the list shows all that was written before.
    pub(super) list_read_from: Micros,
    /// When a read of the list last failed.
    list_failed_at: Micros,
    /// Contents of the KV stores, by address.
    pub kv_stores: HashMap<SocketAddr, KvStoreContents>,
    /// Targets that have ended and for which [`super::suspects::record_ended_targets`] hasn't run
    /// yet.
    pub(super) ended_targets: Vec<Boot>,
    /// Usual share of failed answers, by pool.
    usual_failure_rates: HashMap<String, f64>,
    /// State that keeps a restored list from overriding what is known.
    restored_list: RestoredList,
}

impl Fleet {
    /// Applies the platform's list as it was at time `at` and position `position`.
    pub fn apply_list(
        &mut self,
        at: Micros,
        position: Position,
        targets: Vec<Target>,
        config: &row_expiry::Config,
    ) {
        self.restored_list.record_read(at, position);
        let targets = targets
            .into_iter()
            .map(|t| self.restored_list.adjust_era(t));
        let listed = targets.filter(|t| !self.restored_list.has_left(t));
        let listed: HashMap<_, _> = listed.map(|t| (t.boot.clone(), t)).collect();
        let gap = row_expiry::Gap {
            known: self.list_confirmed_at,
            read: at,
            failed: self.list_failed_at > self.list_confirmed_at,
            restored: self.restored_list.restored_at(),
        };
        // A missing target is kept only if its row may have expired, and only until a fixed time.
        // When any target missing soon after the store's return was kept, one that had left
        // received requests until the next read, and those were lost.
        let keep_until = row_expiry::retain_until(config, &gap);
        let missing: Vec<_> = self
            .keys
            .iter()
            .filter(|(b, _)| !listed.contains_key(b))
            .map(|(b, k)| (b.clone(), *k))
            .collect();
        for (boot, key) in missing {
            // A new incarnation of the same target has replaced this one for good.
            let replaced = listed.keys().any(|b| b.id == boot.id);
            match keep_until {
                _ if replaced => self.remove(&boot, key),
                Some(until) => self.keep_missing(key, until),
                // A target that was already missing is kept until the time that was set then.
                None if self
                    .replicas
                    .get(key)
                    .is_some_and(|r| r.missing_until.is_some()) => {}
                None => self.remove(&boot, key),
            }
        }
        self.list_confirmed_at = at.max(self.list_confirmed_at);
        listed.into_values().for_each(|t| self.upsert(at, t));
        self.expire(at);
        self.mark_superseded();
    }

    /// Keeps a target that is missing from the list until a given time.
    fn keep_missing(&mut self, key: ReplicaKey, until: Micros) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        if replica.missing_until.replace(until).is_none() {
            log_state(&replica.target, "missing");
        }
    }

    /// Removes targets that are missing from the list and whose time has passed.
    pub fn expire(&mut self, now: Micros) {
        let expired = |r: &Replica| r.missing_until.is_some_and(|until| now >= until);
        let expired: Vec<_> = self.replicas.iter().filter(|(_, r)| expired(r)).collect();
        let expired: Vec<_> = expired
            .iter()
            .map(|(k, r)| (r.target.boot.clone(), *k))
            .collect();
        for (boot, key) in expired {
            self.remove(&boot, key);
        }
    }

    /// Marks targets as superseded if the list contains a target with the same address and a later
    /// heartbeat. The row of a crashed target remains in the list for some seconds after its
    /// successor has started. Without this mark, each entry sent a request or two to the former
    /// target until its row expired, and applied the sidecar's reports on the new target to the
    /// former one.
    fn mark_superseded(&mut self) {
        let mut latest: HashMap<SocketAddr, Position> = HashMap::new();
        for r in self
            .replicas
            .values()
            .filter(|r| !r.exclusion.is_excluded())
        {
            let renewed = latest.entry(r.target.addr).or_default();
            *renewed = r.target.renewed.max(*renewed);
        }
        for r in self.replicas.values_mut() {
            let later = latest.get(&r.target.addr).copied().unwrap_or_default();
            let superseded = r.target.renewed < later;
            if superseded && !r.superseded {
                self.ended_targets.push(r.target.boot.clone());
                r.connections.clear();
                log_state(&r.target, "superseded");
            }
            r.superseded = superseded;
        }
    }

    fn upsert(&mut self, now: Micros, target: Target) {
        self.restored_list.record_listed(&target.boot);
        let Some(key) = self.keys.get(&target.boot).copied() else {
            log_state(&target, "ready");
            let boot = target.boot.clone();
            let key = self.replicas.insert(Replica::new(target));
            self.keys.insert(boot, key);
            return;
        };
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        if self.restored_list.is_older(&target, &replica.target) {
            // A row restored from a copy is older than the known one, but a draining state may have
            // been written after the restore.
            replica.missing_until = None;
            if target.state == State::Draining {
                replica.target.state = target.state;
            }
            return;
        }
        for w in &target.weights {
            replica.raise_weights(now, &w.model, w.version);
        }
        if replica.target.state != target.state {
            log_state(&target, state_name(target.state));
        }
        if replica.renewed_at_end.is_some_and(|at| target.renewed > at) {
            // The target has sent a heartbeat since, so it was another process that ended.
            replica.renewed_at_end = None;
        }
        if replica.exclusion.listed(now, target.renewed) {
            log_state(&target, "renewed");
        }
        replica.missing_until = None;
        replica.target = target;
    }

    /// Records that the list is unchanged since it was last read.
    pub fn confirm_list(&mut self, now: Micros) {
        self.list_confirmed_at = now;
    }

    /// Records that a read of the list failed.
    pub fn record_list_failure(&mut self, now: Micros) {
        self.list_failed_at = now;
    }

    /// Number of targets that are kept although the list lacks them.
    pub(super) fn missing_count(&self) -> usize {
        self.replicas
            .values()
            .filter(|r| r.missing_until.is_some())
            .count()
    }

    fn remove(&mut self, boot: &Boot, key: ReplicaKey) {
        self.keys.remove(boot);
        if let Some(replica) = self.replicas.remove(key) {
            self.restored_list
                .record_left(self.list_confirmed_at, &replica.target);
            log_state(&replica.target, "gone");
            self.ended_targets.push(boot.clone());
        }
    }

    /// Applies an update of an agent or of another entry.
    pub fn apply_update(&mut self, now: Micros, update: &Update, from: SocketAddr) {
        let Ok(addr) = update.engine.parse::<SocketAddr>() else {
            return;
        };
        if update.kept {
            return self.kv_stores.entry(addr).or_default().apply_update(update);
        }
        let at_address = |r: &&mut Replica| r.target.addr == addr && r.is_present(now);
        let Some(replica) = self.replicas.values_mut().find(at_address) else {
            return;
        };
        for w in &update.weights {
            replica.apply_reported_weights(now, &w.model, w.version);
        }
        if update.ended {
            // Until the target is listed again, its successor may listen at the address and refuse
            // requests for this target. Each such attempt would use up a retry that streams cut by
            // the target's end need.
            replica.renewed_at_end = Some(replica.target.renewed);
            replica.connections.clear();
            self.ended_targets.push(replica.target.boot.clone());
            return log_state(&replica.target, "ended");
        }
        if !update.entry && update.epoch != replica.epoch {
            replica.record_epoch(update.epoch);
            replica.epoch = update.epoch;
            replica.held.clear();
        }
        apply_parts(&mut replica.held, &update.parts);
        if update.entry {
            let parts: Vec<_> = update.expected.iter().map(expected_part).collect();
            let scope = update.expected.first().map_or(0, |held| held.scope);
            return replica.expect_parts(now, scope, &parts);
        }
        let sidecar = |report: &AgentReport| {
            report.agent.delegate == 0 && now.since(report.at) < REPORT_LIFETIME
        };
        if update.delegate != 0 && replica.agent_report.as_ref().is_some_and(sidecar) {
            return;
        }
        replica.agent_report = Some(AgentReport::new(now, update, from));
        self.speeds.receive(now, speed_subject(replica), update);
    }

    /// Calls `f` with the speeds of the pools and of a target.
    pub(super) fn with_speed<T>(
        &mut self,
        key: ReplicaKey,
        f: impl FnOnce(&mut Pools, ObservedTarget<'_>) -> T,
    ) -> Option<T> {
        let replica = self.replicas.get_mut(key)?;
        Some(f(&mut self.speeds, speed_subject(replica)))
    }

    /// Incarnation of the engine that the sidecar at this address reports on.
    pub fn incarnation(&self, now: Micros, sidecar: SocketAddr) -> Option<&Boot> {
        let agent = AgentId {
            addr: sidecar,
            delegate: 0,
        };
        let reports_on = |r: &&Replica| {
            r.is_present(now) && r.agent_report.is_some_and(|report| report.agent == agent)
        };
        let replica = self.replicas.values().find(reports_on)?;
        Some(&replica.target.boot)
    }

    /// Records a successful answer of a target.
    pub fn record_success(&mut self, key: ReplicaKey) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        replica.served = true;
        replica.breaker.success(&circuit_breaker::Config::default());
        let usual_rate = self
            .usual_failure_rates
            .entry(replica.target.pool.clone())
            .or_default();
        *usual_rate *= 1.0 - USUAL_RATE_SMOOTHING;
    }

    /// Records a failure of a target, and logs the ejection if that opens the circuit breaker.
    pub fn record_failure(&mut self, now: Micros, key: ReplicaKey, reason: &str) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        let usual_rate = self
            .usual_failure_rates
            .entry(replica.target.pool.clone())
            .or_default();
        let was_usable = replica.breaker.usable(now);
        replica
            .breaker
            .failure(&circuit_breaker::Config::default(), now, *usual_rate);
        *usual_rate += (1.0 - *usual_rate) * USUAL_RATE_SMOOTHING;
        if was_usable && !replica.breaker.usable(now) {
            log_ejected(replica, reason);
        }
    }

    /// Records that another target answers at a target's address. The list contains the former
    /// target for some seconds more, and each request sent to it would be refused and cost a retry.
    pub fn record_misdirected(&mut self, now: Micros, key: ReplicaKey) {
        let addr = self.replicas.get(key).map(|r| r.target.addr);
        let others = self.replicas.iter().filter(|(k, _)| *k != key);
        let mut others = others.filter(|(_, r)| Some(r.target.addr) == addr);
        // Rows of another writer would each cost a refusal before the target that has served is used again.
        let has_served = others.any(|(_, r)| r.served && !r.exclusion.is_excluded());
        for (k, replica) in &mut self.replicas {
            let is_unknown = has_served && !replica.served && Some(replica.target.addr) == addr;
            if k == key || is_unknown {
                replica.exclusion.exclude(now);
                replica.connections.clear();
                log_ejected(replica, "another target has its address");
            }
        }
        self.mark_superseded();
    }

    /// Whether a target's row has been written since the store was last restored.
    pub(super) fn is_current(&self, replica: &Replica) -> bool {
        !self.restored_list.may_be_copied(&replica.target)
    }

    /// Records that a connection to a target broke, so that another process may take its place.
    pub(super) fn record_break(&mut self, key: ReplicaKey) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.record_break();
        }
    }

    /// Records that a target shows no sign of life, which opens its circuit breaker at once: each request
    /// sent there would wait until it is given up.
    pub(super) fn record_silent(&mut self, now: Micros, key: ReplicaKey) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        let was_usable = replica.breaker.usable(now);
        replica
            .breaker
            .unreachable(&circuit_breaker::Config::default(), now);
        if was_usable {
            log_ejected(replica, "silent");
        }
    }

    /// Records that a target can't be reached.
    pub fn record_unreachable(&mut self, now: Micros, key: ReplicaKey, reason: &str) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        replica.connections.clear();
        replica.history.refuse(now);
        replica.record_break();
        let was_usable = replica.breaker.usable(now);
        replica
            .breaker
            .unreachable(&circuit_breaker::Config::default(), now);
        if was_usable {
            log_ejected(replica, reason);
        }
    }
}

fn speed_subject(replica: &mut Replica) -> ObservedTarget<'_> {
    ObservedTarget {
        pool: &replica.target.pool,
        id: &replica.target.boot.id,
        speed: &mut replica.speed,
    }
}

fn expected_part(held: &HeldPart) -> Part {
    Part {
        id: PartId(held.part),
        tokens: held.tokens,
    }
}

fn log_ejected(replica: &Replica, reason: &str) {
    log::event(&Event::LeftOut {
        target: &replica.target.boot.id,
        reason,
        failed: replica.breaker.failure_rate,
    });
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Ready => "ready",
        State::Draining => "draining",
    }
}

fn log_state(target: &Target, state: &str) {
    log::event(&Event::Target {
        target: &target.boot.id,
        addr: target.addr.to_string(),
        state,
    });
}
