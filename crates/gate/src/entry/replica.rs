//! One target and what an entry believes of it.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use model::{Micros, Position};
use platform::replica::Load;
use policy::backlog::UnreadTokens;
use policy::circuit_breaker::CircuitBreaker;
use policy::loading::RemainingLoad;
use policy::misdirected::Exclusion;
use policy::prefill_priority;
use site::{Part, PartId, Target};

use super::idle::Idle;
use crate::agent::AgentId;
use crate::update::{HeldPart, Update};

/// How long an engine is expected to hold what it was sent to read; a long prompt in a queue.
const EXPECTED: Micros = Micros::from_millis(1_500);
/// Sendings remembered for a target; more than one entry makes between two words of its sidecar.
const RECENT: usize = 64;
/// Time after which a sidecar's reading counts against newer weights that were learnt otherwise; reports
/// are up to 0.3 s old.
const REPORTED: Micros = Micros::from_millis(800);

/// What a sidecar last told of its engine.
#[derive(Clone, Copy, Debug)]
pub struct Heard {
    /// The agent that sent it.
    pub(crate) agent: AgentId,
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
    /// Whether its turn to load has come: what is sent there now is refused or met by the load.
    pub due: bool,
    /// For how long it is expected to continue to load them since then, if it is loading.
    pub load: Option<RemainingLoad>,
    /// Prompt tokens that it has yet to read, for all entries, by step of urgency.
    pub unread_tokens: UnreadTokens,
}

impl Heard {
    /// For how long it continues to load weights, if it is loading.
    pub(super) fn load_left(&self, now: Micros) -> Option<RemainingLoad> {
        let load = self.load?;
        let time = (self.at + load.time).since(now);
        Some(RemainingLoad { time, ..load })
    }

    /// What a sidecar's word says of its engine.
    pub(super) fn new(now: Micros, update: &Update, from: SocketAddr) -> Self {
        let time = |ms: u32| Micros::from_millis(ms.into());
        let mut unread_tokens = UnreadTokens::default();
        let told = unread_tokens.iter_mut().zip(&update.tokens);
        told.for_each(|(u, t)| *u = *t);
        Self {
            agent: AgentId {
                addr: from,
                delegate: update.delegate,
            },
            at: now,
            alive: update.alive,
            busy: update.busy,
            begun: update.begun,
            unread: update.unread,
            used: update.used,
            total: update.total,
            due: update.due_ms.is_some(),
            load: update
                .loading_ms
                .map(|ms| RemainingLoad::new(time(ms), update.load_ms.map(time))),
            unread_tokens,
        }
    }
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
    pub breaker: CircuitBreaker,
    /// Until when it is kept though the list lacks it.
    pub(super) missing: Option<Micros>,
    /// Whether another target has answered at its address.
    pub misdirected: Exclusion,
    /// Position of its last heartbeat when its sidecar found that its process had ended.
    pub(super) over: Option<Position>,
    /// Whether the list names another target at its address that was heard later.
    pub superseded: bool,
    pub(super) epoch: u64,
    /// When its weights were last found to be newer than believed.
    raised: Micros,
}

impl Replica {
    pub(super) fn new(target: Target) -> Self {
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
            breaker: CircuitBreaker::default(),
            missing: None,
            misdirected: Exclusion::default(),
            over: None,
            superseded: false,
            epoch: 0,
            raised: Micros::ZERO,
        }
    }

    /// Whether it is, as far as known, what listens at its address.
    pub fn there(&self, now: Micros) -> bool {
        let kept = self.missing.is_none_or(|until| now < until);
        kept && !self.misdirected.is_excluded() && !self.superseded && self.over.is_none()
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
    pub fn unread_since(&self, mut told: UnreadTokens, from: Micros) -> UnreadTokens {
        for (_, tokens) in self.recent.iter().rev().take_while(|(at, _)| *at >= from) {
            told[prefill_priority::tier(*tokens)] += tokens;
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
    /// Takes over what a follower of the store tells.
    pub(super) fn hear(&mut self, update: &Update) {
        if !update.alive || update.epoch != self.epoch {
            self.held.clear();
        }
        self.epoch = update.epoch;
        take_over(&mut self.held, &update.parts);
    }
}

/// Takes over what is told of parts.
pub(super) fn take_over(held: &mut HashMap<(u64, PartId), u32>, parts: &[HeldPart]) {
    for h in parts {
        let key = (h.scope, PartId(h.part));
        match h.tokens {
            0 => held.remove(&key),
            n => held.insert(key, n),
        };
    }
}
