//! All targets, as the list and sidecars tell them.

use std::collections::HashMap;
use std::net::SocketAddr;

use model::{Micros, Position};
use policy::{circuit_breaker, row_expiry};
use site::{Boot, Part, PartId, State, Target};
use slotmap::{new_key_type, SlotMap};

use super::copy::Copy;
use super::replica::{take_over, Heard, KeptStore, Replica};
use super::usable::HEARD;
use crate::agent::AgentId;
use crate::log::{self, Event};
use crate::update::{HeldPart, Update};

new_key_type! {
    /// A target.
    pub struct Key;
}

/// Weight of a new answer in what is usual for a pool.
const USUAL: f64 = 0.02;

/// All targets.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The targets.
    pub replicas: SlotMap<Key, Replica>,
    boots: HashMap<Boot, Key>,
    /// When the list was last read, or told to be as it was.
    pub(super) listed: Micros,
    /// When reading it last failed.
    failed: Micros,
    /// Stores of kept KV cache, by address.
    pub kept: HashMap<SocketAddr, KeptStore>,
    /// Lives of targets that have ended and haven't been looked at yet.
    pub(super) ended: Vec<Boot>,
    /// Part of answers that usually fail, by pool.
    usual: HashMap<String, f64>,
    /// What a restore of the store has made of the list.
    copy: Copy,
}

impl Fleet {
    /// Takes over the platform's list as it was at some time and position.
    pub fn list(
        &mut self,
        at: Micros,
        position: Position,
        targets: Vec<Target>,
        config: &row_expiry::Config,
    ) {
        self.copy.read(at, position);
        let targets = targets.into_iter().map(|t| self.copy.place(t));
        let listed = targets.filter(|t| !self.copy.has_left(t));
        let listed: HashMap<_, _> = listed.map(|t| (t.boot.clone(), t)).collect();
        let gap = row_expiry::Gap {
            known: self.listed,
            read: at,
            failed: self.failed > self.listed,
            restored: self.copy.restored(),
        };
        // Kept only where its row may have lapsed, and until a time: kept for any absence soon after the
        // store's return, a target that had left got requests until the next read, and they were lost.
        let lapsed = row_expiry::retain_until(config, &gap);
        let missing: Vec<_> = self
            .boots
            .iter()
            .filter(|(b, _)| !listed.contains_key(b))
            .map(|(b, k)| (b.clone(), *k))
            .collect();
        for (boot, key) in missing {
            // Another life of the same target has taken this one's place for good.
            let reborn = listed.keys().any(|b| b.id == boot.id);
            match lapsed {
                _ if reborn => self.remove(&boot, key),
                Some(until) => self.miss(key, until),
                // Missing before, it is kept until the time that was set then.
                None if self.replicas.get(key).is_some_and(|r| r.missing.is_some()) => {}
                None => self.remove(&boot, key),
            }
        }
        self.listed = at.max(self.listed);
        listed.into_values().for_each(|t| self.enter(at, t));
        self.expire(at);
        self.supersede();
    }

    /// Keeps a target until a time though the list lacks it.
    fn miss(&mut self, key: Key, until: Micros) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        if replica.missing.replace(until).is_none() {
            tell(&replica.target, "missing");
        }
    }

    /// Removes targets that the list lacks and that aren't kept any longer.
    pub fn expire(&mut self, now: Micros) {
        let over = |r: &Replica| r.missing.is_some_and(|until| now >= until);
        let over: Vec<_> = self.replicas.iter().filter(|(_, r)| over(r)).collect();
        let over: Vec<_> = over
            .iter()
            .map(|(k, r)| (r.target.boot.clone(), *k))
            .collect();
        for (boot, key) in over {
            self.remove(&boot, key);
        }
    }

    /// Marks the targets at whose address the list names one that was heard later. A crashed target's
    /// entry lasts some seconds beyond the start of its successor; until it lapsed, each entry sent a
    /// request or two to the former one and took what the sidecar told of the new one for the former's.
    fn supersede(&mut self) {
        let mut latest: HashMap<SocketAddr, Position> = HashMap::new();
        for r in self
            .replicas
            .values()
            .filter(|r| !r.misdirected.is_excluded())
        {
            let heard = latest.entry(r.target.addr).or_default();
            *heard = r.target.renewed.max(*heard);
        }
        for r in self.replicas.values_mut() {
            let later = latest.get(&r.target.addr).copied().unwrap_or_default();
            let superseded = r.target.renewed < later;
            if superseded && !r.superseded {
                self.ended.push(r.target.boot.clone());
                r.idle.clear();
                tell(&r.target, "superseded");
            }
            r.superseded = superseded;
        }
    }

    fn enter(&mut self, now: Micros, target: Target) {
        self.copy.entered(&target.boot);
        let Some(key) = self.boots.get(&target.boot).copied() else {
            tell(&target, "ready");
            let boot = target.boot.clone();
            let key = self.replicas.insert(Replica::new(target));
            self.boots.insert(boot, key);
            return;
        };
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        if self.copy.is_older(&target, &replica.target) {
            // A copy's row is older than what is known, but one that drains may have been written since.
            replica.missing = None;
            if target.state == State::Draining {
                replica.target.state = target.state;
            }
            return;
        }
        for w in &target.weights {
            replica.loaded(now, &w.model, w.version);
        }
        if replica.target.state != target.state {
            tell(&target, word(target.state));
        }
        if replica.over.is_some_and(|at| target.renewed > at) {
            // A heartbeat since then: what ended wasn't this one.
            replica.over = None;
        }
        if replica.misdirected.listed(now, target.renewed) {
            tell(&target, "renewed");
        }
        replica.missing = None;
        replica.target = target;
    }

    /// Notes that the list is as it was last read.
    pub fn confirm(&mut self, now: Micros) {
        self.listed = now;
    }

    /// Notes that the list couldn't be read.
    pub fn fail(&mut self, now: Micros) {
        self.failed = now;
    }

    /// Targets that are kept though the list lacks them.
    pub(super) fn missing(&self) -> usize {
        self.replicas
            .values()
            .filter(|r| r.missing.is_some())
            .count()
    }

    fn remove(&mut self, boot: &Boot, key: Key) {
        self.boots.remove(boot);
        if let Some(replica) = self.replicas.remove(key) {
            self.copy.left(self.listed, &replica.target);
            tell(&replica.target, "gone");
            self.ended.push(boot.clone());
        }
    }

    /// Takes over what a sidecar told.
    pub fn hear(&mut self, now: Micros, update: &Update, from: SocketAddr) {
        let Ok(addr) = update.engine.parse::<SocketAddr>() else {
            return;
        };
        if update.kept {
            return self.kept.entry(addr).or_default().hear(update);
        }
        let there = |r: &&mut Replica| r.target.addr == addr && r.there(now);
        let Some(replica) = self.replicas.values_mut().find(there) else {
            return;
        };
        for w in &update.weights {
            replica.reported(now, &w.model, w.version);
        }
        if update.ended {
            // Until it is listed again its successor may listen there already and refuse what is
            // meant for it; each such try would be one retry less for streams that its end has cut.
            replica.over = Some(replica.target.renewed);
            replica.idle.clear();
            self.ended.push(replica.target.boot.clone());
            return tell(&replica.target, "ended");
        }
        if !update.entry && update.epoch != replica.epoch {
            replica.epoch = update.epoch;
            replica.held.clear();
        }
        take_over(&mut replica.held, &update.parts);
        if update.entry {
            let parts: Vec<_> = update.expected.iter().map(part).collect();
            let scope = update.expected.first().map_or(0, |h| h.scope);
            return replica.expect(now, scope, &parts);
        }
        let sidecar = |h: &Heard| h.agent.delegate == 0 && now.since(h.at) < HEARD;
        if update.delegate != 0 && replica.heard.as_ref().is_some_and(sidecar) {
            return;
        }
        replica.heard = Some(Heard::new(now, update, from));
    }

    /// The life of the engine beside a sidecar.
    pub fn life(&self, now: Micros, sidecar: SocketAddr) -> Option<&Boot> {
        let agent = AgentId {
            addr: sidecar,
            delegate: 0,
        };
        let beside = |r: &&Replica| r.there(now) && r.heard.is_some_and(|h| h.agent == agent);
        let replica = self.replicas.values().find(beside)?;
        Some(&replica.target.boot)
    }

    /// Notes a target's good answer.
    pub fn good(&mut self, key: Key) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        replica.breaker.success(&circuit_breaker::Config::default());
        let usual = self.usual.entry(replica.target.pool.clone()).or_default();
        *usual *= 1.0 - USUAL;
    }

    /// Notes a target's failure.
    pub fn bad(&mut self, now: Micros, key: Key, reason: &str) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        let usual = self.usual.entry(replica.target.pool.clone()).or_default();
        let before = replica.breaker.usable(now);
        replica
            .breaker
            .failure(&circuit_breaker::Config::default(), now, *usual);
        *usual += (1.0 - *usual) * USUAL;
        if before && !replica.breaker.usable(now) {
            left_out(replica, reason);
        }
    }

    /// Notes that another target has a target's address. The list names the old one for some seconds
    /// more; each request sent there would be refused and cost a retry.
    pub fn replaced(&mut self, now: Micros, key: Key) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.misdirected.exclude(now);
            replica.idle.clear();
            left_out(replica, "another target has its address");
        }
        self.supersede();
    }

    /// Notes that a target can't be reached.
    pub fn unreachable(&mut self, now: Micros, key: Key, reason: &str) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        replica.idle.clear();
        let before = replica.breaker.usable(now);
        replica
            .breaker
            .unreachable(&circuit_breaker::Config::default(), now);
        if before {
            left_out(replica, reason);
        }
    }
}

fn part(held: &HeldPart) -> Part {
    Part {
        id: PartId(held.part),
        tokens: held.tokens,
    }
}

fn left_out(replica: &Replica, reason: &str) {
    log::event(&Event::LeftOut {
        target: &replica.target.boot.id,
        reason,
        failed: replica.breaker.failure_rate,
    });
}

fn word(state: State) -> &'static str {
    match state {
        State::Ready => "ready",
        State::Draining => "draining",
    }
}

fn tell(target: &Target, state: &str) {
    log::event(&Event::Target {
        target: &target.boot.id,
        addr: target.addr.to_string(),
        state,
    });
}
