//! What an entry believes of each target.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use model::Micros;
use platform::replica::Load;
use policy::ledger::Unread;
use policy::standing::{self, Standing};
use policy::urgency;
use site::{Boot, Part, PartId, State, Target};
use slotmap::{new_key_type, SlotMap};

use super::idle::Idle;
use crate::log::{self, Event};
use crate::news::{Held, News};

new_key_type! {
    /// A target.
    pub struct Key;
}

/// Targets that are missing from the list are kept this long after the store's return, since they
/// need some time to enter themselves again.
const RETURN: Micros = Micros::from_millis(2_200);
/// How long an engine is expected to hold what it was sent to read; a long prompt in a queue.
const EXPECTED: Micros = Micros::from_millis(1_500);
/// Sendings remembered for a target; more than one entry makes between two words of its sidecar.
const RECENT: usize = 64;
/// Time after which a sidecar's reading counts against newer weights that were learnt otherwise; reports
/// are up to 0.3 s old.
const REPORTED: Micros = Micros::from_millis(800);
/// Weight of a new answer in what is usual for a pool.
const USUAL: f64 = 0.02;

/// What a sidecar last told of its engine.
#[derive(Clone, Copy, Debug)]
pub struct Heard {
    /// Where the sidecar is reached.
    pub from: SocketAddr,
    /// When it was heard.
    pub at: Micros,
    /// Whether the engine answers its sidecar.
    pub alive: bool,
    /// Whether it is loading weights.
    pub busy: bool,
    /// Requests whose prompt has been read.
    pub begun: u32,
    /// Requests whose prompt hasn't been read yet.
    pub unread: u32,
    /// Tokens of memory that can't yield.
    pub used: u32,
    /// Tokens of memory in all.
    pub total: u32,
    /// When it takes new weights, if it is going to.
    pub swap: Option<Micros>,
    /// Prompt tokens that it has yet to read, for all entries, by step of urgency.
    pub unread_tokens: Unread,
}

/// A target and what is believed of it.
#[derive(Debug)]
pub struct Replica {
    /// As it is listed.
    pub target: Target,
    /// Kept connections.
    pub(super) idle: Idle,
    /// Requests of this entry that are there.
    pub inflight: u32,
    /// Those of them that are suspected of crashing targets.
    pub suspects: u32,
    /// Prompt tokens of this entry that it has yet to read.
    pub unread: u32,
    /// Prompts that this entry has sent of late, which its sidecar may not have counted yet.
    pub recent: VecDeque<(Micros, u32)>,
    /// Its own count, and when it came.
    pub load: Option<(Load, Micros)>,
    /// What its sidecar told.
    pub heard: Option<Heard>,
    /// Versions of its weights.
    pub weights: HashMap<String, u64>,
    /// Tokens of parts that it holds, by scope and part.
    pub held: HashMap<(u64, PartId), u32>,
    /// Parts that it is about to read or fetch, and until when that is believed.
    expected: HashMap<(u64, PartId), (u32, Micros)>,
    /// How it has done.
    pub standing: Standing,
    /// Whether another target has been met at its address, so that it is gone, whatever the list says.
    pub replaced: bool,
    /// Version of its last heartbeat when its sidecar found that its process had ended.
    over: Option<u64>,
    /// Whether the list names another target at its address that was heard later.
    pub superseded: bool,
    epoch: u64,
    /// When its weights were last found to be newer than believed.
    raised: Micros,
}

impl Replica {
    fn new(target: Target) -> Self {
        let weights = target.weights.iter().map(|w| (w.model.clone(), w.version));
        Self {
            weights: weights.collect(),
            target,
            idle: Idle::default(),
            inflight: 0,
            suspects: 0,
            unread: 0,
            recent: VecDeque::new(),
            load: None,
            heard: None,
            held: HashMap::new(),
            expected: HashMap::new(),
            standing: Standing::default(),
            replaced: false,
            over: None,
            superseded: false,
            epoch: 0,
            raised: Micros::ZERO,
        }
    }

    /// Whether it is, as far as known, what listens at its address.
    pub fn there(&self) -> bool {
        !self.replaced && !self.superseded && self.over.is_none()
    }

    /// Tokens at the beginning of a prompt that it holds under a scope.
    pub fn holds(&self, scope: u64, parts: &[Part]) -> u32 {
        holds(&self.held, scope, parts)
    }

    /// The same, with what it will hold once it has done what it has to do already.
    pub fn will_hold(&self, now: Micros, scope: u64, parts: &[Part]) -> u32 {
        let there = |part: &Part| {
            let key = (scope, part.id);
            let held = self.held.get(&key).copied().unwrap_or_default();
            let soon = self.expected.get(&key).filter(|(_, until)| *until > now);
            held.max(soon.map_or(0, |(tokens, _)| *tokens))
        };
        prefix(parts, there)
    }

    /// Notes a prompt sent to it.
    pub fn send(&mut self, now: Micros, tokens: u32) {
        self.inflight += 1;
        self.unread += tokens;
        self.recent.push_back((now, tokens));
        while self.recent.len() > RECENT {
            self.recent.pop_front();
        }
    }

    /// Tokens yet to read with those sent after a time, which its sidecar hasn't counted yet.
    pub fn unread_since(&self, mut told: Unread, from: Micros) -> Unread {
        for (_, tokens) in self.recent.iter().rev().take_while(|(at, _)| *at >= from) {
            told[urgency::step(*tokens)] += tokens;
        }
        told
    }

    /// Expects it to hold some parts soon.
    pub fn expect(&mut self, now: Micros, scope: u64, parts: &[Part]) {
        let until = now + EXPECTED;
        for p in parts {
            self.expected.insert((scope, p.id), (p.tokens, until));
        }
    }

    /// Notes that it has read or fetched some parts, or that it won't.
    pub fn settle(&mut self, scope: u64, parts: &[Part], done: bool) {
        for p in parts {
            let key = (scope, p.id);
            self.expected.remove(&key);
            if done {
                self.held.insert(key, p.tokens);
            }
        }
    }

    /// Notes that its weights are of a version; what it held for another one is gone.
    pub fn loaded(&mut self, now: Micros, model: &str, version: u64) {
        let known = self.weights.get(model).copied().unwrap_or_default();
        if known < version {
            self.weights.insert(model.to_owned(), version);
            self.raised = now;
            self.held.clear();
            self.expected.clear();
        }
    }

    /// Takes over a version that its sidecar has read from it. That may be lower than what is believed:
    /// an order that was given up on is carried out late, and puts older weights in the place of newer
    /// ones. Its report is some hundred milliseconds old, so that it counts against what has been
    /// learnt otherwise only after a time.
    pub fn reported(&mut self, now: Micros, model: &str, version: u64) {
        let known = self.weights.get(model).copied().unwrap_or_default();
        if version < known && now.since(self.raised) > REPORTED {
            self.weights.insert(model.to_owned(), version);
        }
        self.loaded(now, model, version);
    }
}

/// Tokens at the beginning of a prompt that are held; a part counts only if all before it are there.
pub(super) fn holds(held: &HashMap<(u64, PartId), u32>, scope: u64, parts: &[Part]) -> u32 {
    prefix(parts, |part| {
        held.get(&(scope, part.id)).copied().unwrap_or_default()
    })
}

fn prefix(parts: &[Part], there: impl Fn(&Part) -> u32) -> u32 {
    let mut tokens = 0;
    for part in parts {
        let there = there(part);
        tokens += there.min(part.tokens);
        if there < part.tokens {
            break;
        }
    }
    tokens
}

/// A store of kept KV cache.
#[derive(Debug, Default)]
pub struct KeptStore {
    /// Tokens of parts that it holds, by scope and part.
    pub held: HashMap<(u64, PartId), u32>,
    epoch: u64,
}

impl KeptStore {
    fn hear(&mut self, news: &News) {
        if !news.alive || news.epoch != self.epoch {
            self.held.clear();
        }
        self.epoch = news.epoch;
        take_over(&mut self.held, &news.parts);
    }
}

fn unread(told: &[u32]) -> Unread {
    let mut unread = Unread::default();
    unread.iter_mut().zip(told).for_each(|(u, t)| *u = *t);
    unread
}

fn take_over(held: &mut HashMap<(u64, PartId), u32>, parts: &[Held]) {
    for h in parts {
        let key = (h.scope, PartId(h.part));
        match h.tokens {
            0 => held.remove(&key),
            n => held.insert(key, n),
        };
    }
}

/// All targets.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The targets.
    pub replicas: SlotMap<Key, Replica>,
    boots: HashMap<Boot, Key>,
    /// Stores of kept KV cache, by address.
    pub kept: HashMap<SocketAddr, KeptStore>,
    /// Lives of targets that have ended and haven't been looked at yet.
    pub(super) ended: Vec<Boot>,
    /// Part of answers that usually fail, by pool.
    usual: HashMap<String, f64>,
}

impl Fleet {
    /// Takes over the platform's list. `back` is when the store last began to answer again.
    pub fn list(&mut self, now: Micros, targets: Vec<Target>, back: Option<Micros>) {
        let listed: HashMap<_, _> = targets.into_iter().map(|t| (t.boot.clone(), t)).collect();
        let returning = back.is_some_and(|b| now.since(b) < RETURN);
        let missing: Vec<_> = self
            .boots
            .iter()
            .filter(|(b, _)| !listed.contains_key(b))
            .map(|(b, k)| (b.clone(), *k))
            .collect();
        for (boot, key) in missing {
            // Another life of the same target has taken this one's place for good.
            let reborn = listed.keys().any(|b| b.id == boot.id);
            if !returning || reborn {
                self.remove(&boot, key);
            }
        }
        listed.into_values().for_each(|t| self.enter(now, t));
        self.supersede();
    }

    /// Marks the targets at whose address the list names one that was heard later. A crashed target's
    /// entry lasts some seconds beyond the start of its successor; until it lapsed, each entry sent a
    /// request or two to the former one and took what the sidecar told of the new one for the former's.
    fn supersede(&mut self) {
        let mut latest: HashMap<SocketAddr, u64> = HashMap::new();
        for r in self.replicas.values().filter(|r| !r.replaced) {
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
        replica.target = target;
    }

    fn remove(&mut self, boot: &Boot, key: Key) {
        self.boots.remove(boot);
        if let Some(replica) = self.replicas.remove(key) {
            tell(&replica.target, "gone");
            self.ended.push(boot.clone());
        }
    }

    /// Takes over what a sidecar told.
    pub fn hear(&mut self, now: Micros, news: &News, from: SocketAddr) {
        let Ok(addr) = news.engine.parse::<SocketAddr>() else {
            return;
        };
        if news.kept {
            return self.kept.entry(addr).or_default().hear(news);
        }
        let there = |r: &&mut Replica| r.target.addr == addr && r.there();
        let Some(replica) = self.replicas.values_mut().find(there) else {
            return;
        };
        for w in &news.weights {
            replica.reported(now, &w.model, w.version);
        }
        if news.ended {
            // Until it is listed again its successor may listen there already and refuse what is
            // meant for it; each such try would be one retry less for streams that its end has cut.
            replica.over = Some(replica.target.renewed);
            replica.idle.clear();
            self.ended.push(replica.target.boot.clone());
            return tell(&replica.target, "ended");
        }
        if !news.entry && news.epoch != replica.epoch {
            replica.epoch = news.epoch;
            replica.held.clear();
        }
        take_over(&mut replica.held, &news.parts);
        if news.entry {
            let parts: Vec<_> = news.expected.iter().map(part).collect();
            let scope = news.expected.first().map_or(0, |h| h.scope);
            return replica.expect(now, scope, &parts);
        }
        replica.heard = Some(Heard {
            from,
            at: now,
            alive: news.alive,
            busy: news.busy,
            begun: news.begun,
            unread: news.unread,
            used: news.used,
            total: news.total,
            swap: news.swap_ms.map(|ms| now + Micros::from_millis(ms.into())),
            unread_tokens: unread(&news.tokens),
        });
    }

    /// The life of the engine beside a sidecar.
    pub fn life(&self, sidecar: SocketAddr) -> Option<&Boot> {
        let beside = |r: &&Replica| r.there() && r.heard.is_some_and(|h| h.from == sidecar);
        let replica = self.replicas.values().find(beside)?;
        Some(&replica.target.boot)
    }

    /// Notes a target's good answer.
    pub fn good(&mut self, key: Key) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        replica.standing.good(&standing::Config::default());
        let usual = self.usual.entry(replica.target.pool.clone()).or_default();
        *usual *= 1.0 - USUAL;
    }

    /// Notes a target's failure.
    pub fn bad(&mut self, now: Micros, key: Key, reason: &str) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        let usual = self.usual.entry(replica.target.pool.clone()).or_default();
        let before = replica.standing.usable(now);
        replica
            .standing
            .bad(&standing::Config::default(), now, *usual);
        *usual += (1.0 - *usual) * USUAL;
        if before && !replica.standing.usable(now) {
            left_out(replica, reason);
        }
    }

    /// Notes that another target has a target's address. The list names the old one for some seconds
    /// more; each request sent there would be refused and cost a retry.
    pub fn replaced(&mut self, key: Key) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.replaced = true;
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
        let before = replica.standing.usable(now);
        replica
            .standing
            .unreachable(&standing::Config::default(), now);
        if before {
            left_out(replica, reason);
        }
    }
}

fn part(held: &Held) -> Part {
    Part {
        id: PartId(held.part),
        tokens: held.tokens,
    }
}

fn left_out(replica: &Replica, reason: &str) {
    log::event(&Event::LeftOut {
        target: &replica.target.boot.id,
        reason,
        failed: replica.standing.failed,
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
