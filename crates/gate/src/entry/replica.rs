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

use super::connection_pool::ConnectionPool;
use crate::agent::AgentId;
use crate::update::{Held, Update};

/// How long an engine is expected to hold what it was sent to read; a long prompt in a queue.
const EXPECTED_TTL: Micros = Micros::from_millis(1_500);
/// Sendings remembered for a target; more than one entry makes between two words of its sidecar.
const MAX_RECENT_PROMPTS: usize = 64;
/// Time after which a sidecar's reading counts against newer weights that were learnt otherwise; reports
/// are up to 0.3 s old.
const REPORT_SETTLE_TIME: Micros = Micros::from_millis(800);

/// What a sidecar last told of its engine.
#[derive(Clone, Copy, Debug)]
pub struct AgentReport {
    /// The agent that sent it.
    pub(crate) agent: AgentId,
    /// When it was heard.
    pub at: Micros,
    /// Whether the engine answers its sidecar.
    pub alive: bool,
    /// Whether it is loading weights.
    pub loading: bool,
    /// Requests whose prompt has been read.
    pub running: u32,
    /// Requests whose prompt hasn't been read yet.
    pub unread_prompts: u32,
    /// Tokens of memory that can't yield.
    pub memory_used: u32,
    /// Tokens of memory in all.
    pub memory_total: u32,
    /// Whether its turn to load has come: what is sent there now is refused or met by the load.
    pub due_to_load: bool,
    /// For how long it is expected to continue to load them since then, if it is loading.
    pub remaining_load: Option<RemainingLoad>,
    /// Prompt tokens that it has yet to read, for all entries, by step of urgency.
    pub unread_tokens: UnreadTokens,
}

impl AgentReport {
    /// For how long it continues to load weights, if it is loading.
    pub(super) fn remaining_load_at(&self, now: Micros) -> Option<RemainingLoad> {
        let load = self.remaining_load?;
        let time = (self.at + load.time).since(now);
        Some(RemainingLoad { time, ..load })
    }

    /// What a sidecar's word says of its engine.
    pub(super) fn new(now: Micros, update: &Update, from: SocketAddr) -> Self {
        let time = |ms: u32| Micros::from_millis(ms.into());
        let mut unread_tokens = UnreadTokens::default();
        let tokens = unread_tokens.iter_mut().zip(&update.tokens);
        tokens.for_each(|(u, t)| *u = *t);
        Self {
            agent: AgentId {
                addr: from,
                delegate: update.delegate,
            },
            at: now,
            alive: update.alive,
            loading: update.busy,
            running: update.begun,
            unread_prompts: update.unread,
            memory_used: update.used,
            memory_total: update.total,
            due_to_load: update.due_ms.is_some(),
            remaining_load: update
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
    pub(super) connections: ConnectionPool,
    /// Requests of this entry that are there.
    pub inflight: u32,
    /// Those of them that are suspected of crashing targets.
    pub suspects: u32,
    /// Prompt tokens of this entry that it has yet to read.
    pub unread_tokens: u32,
    /// Prompts that this entry has sent of late, which its sidecar may not have counted yet.
    pub recent_prompts: VecDeque<(Micros, u32)>,
    /// Its own count, and when it came.
    pub load: Option<(Load, Micros)>,
    /// What its sidecar told.
    pub agent_report: Option<AgentReport>,
    /// Versions of its weights.
    pub weights: HashMap<String, u64>,
    /// Tokens of parts that it holds, by scope and part.
    pub held: HashMap<(u64, PartId), u32>,
    /// Parts that it is about to read or fetch, and until when that is believed.
    expected: HashMap<(u64, PartId), (u32, Micros)>,
    /// How it has done.
    pub breaker: CircuitBreaker,
    /// Until when it is kept though the list lacks it.
    pub(super) missing_until: Option<Micros>,
    /// Whether another target has answered at its address.
    pub exclusion: Exclusion,
    /// Position of its last heartbeat when its sidecar found that its process had ended.
    pub(super) renewed_at_end: Option<Position>,
    /// Whether the list names another target at its address that was heard later.
    pub superseded: bool,
    pub(super) epoch: u64,
    /// When its weights were last found to be newer than believed.
    weights_raised_at: Micros,
}

impl Replica {
    pub(super) fn new(target: Target) -> Self {
        let weights = target.weights.iter().map(|w| (w.model.clone(), w.version));
        Self {
            weights: weights.collect(),
            target,
            connections: ConnectionPool::default(),
            inflight: 0,
            suspects: 0,
            unread_tokens: 0,
            recent_prompts: VecDeque::new(),
            load: None,
            agent_report: None,
            held: HashMap::new(),
            expected: HashMap::new(),
            breaker: CircuitBreaker::default(),
            missing_until: None,
            exclusion: Exclusion::default(),
            renewed_at_end: None,
            superseded: false,
            epoch: 0,
            weights_raised_at: Micros::ZERO,
        }
    }

    /// Whether it is, as far as known, what listens at its address.
    pub fn is_present(&self, now: Micros) -> bool {
        let listed_or_kept = self.missing_until.is_none_or(|until| now < until);
        listed_or_kept
            && !self.exclusion.is_excluded()
            && !self.superseded
            && self.renewed_at_end.is_none()
    }

    /// Tokens at the beginning of a prompt that it holds under a scope.
    pub fn holds(&self, scope: u64, parts: &[Part]) -> u32 {
        held_prefix(&self.held, scope, parts)
    }

    /// The same, with what it will hold once it has done what it has to do already.
    pub fn will_hold(&self, now: Micros, scope: u64, parts: &[Part]) -> u32 {
        let available = |part: &Part| {
            let key = (scope, part.id);
            let held = self.held.get(&key).copied().unwrap_or_default();
            let soon = self.expected.get(&key).filter(|(_, until)| *until > now);
            held.max(soon.map_or(0, |(tokens, _)| *tokens))
        };
        prefix_tokens(parts, available)
    }

    /// Notes a prompt sent to it.
    pub fn record_send(&mut self, now: Micros, tokens: u32) {
        self.inflight += 1;
        self.unread_tokens += tokens;
        self.recent_prompts.push_back((now, tokens));
        while self.recent_prompts.len() > MAX_RECENT_PROMPTS {
            self.recent_prompts.pop_front();
        }
    }

    /// Tokens yet to read with those sent after a time, which its sidecar hasn't counted yet.
    pub fn with_unreported(&self, mut unread: UnreadTokens, from: Micros) -> UnreadTokens {
        for (_, tokens) in self
            .recent_prompts
            .iter()
            .rev()
            .take_while(|(at, _)| *at >= from)
        {
            unread[prefill_priority::tier(*tokens)] += tokens;
        }
        unread
    }

    /// Expects it to hold some parts soon.
    pub fn expect_parts(&mut self, now: Micros, scope: u64, parts: &[Part]) {
        let until = now + EXPECTED_TTL;
        for p in parts {
            self.expected.insert((scope, p.id), (p.tokens, until));
        }
    }

    /// Notes that it has read or fetched some parts, or that it won't.
    pub fn settle_parts(&mut self, scope: u64, parts: &[Part], done: bool) {
        for p in parts {
            let key = (scope, p.id);
            self.expected.remove(&key);
            if done {
                self.held.insert(key, p.tokens);
            }
        }
    }

    /// Notes that its weights are of a version; what it held for another one is gone.
    pub fn raise_weights(&mut self, now: Micros, model: &str, version: u64) {
        let known = self.weights.get(model).copied().unwrap_or_default();
        if known < version {
            self.weights.insert(model.to_owned(), version);
            self.weights_raised_at = now;
            self.held.clear();
            self.expected.clear();
        }
    }

    /// Takes over a version that its sidecar has read from it. That may be lower than what is believed:
    /// an order that was given up on is carried out late, and puts older weights in the place of newer
    /// ones. Its report is some hundred milliseconds old, so that it counts against what has been
    /// learnt otherwise only after a time.
    pub fn apply_reported_weights(&mut self, now: Micros, model: &str, version: u64) {
        let known = self.weights.get(model).copied().unwrap_or_default();
        if version < known && now.since(self.weights_raised_at) > REPORT_SETTLE_TIME {
            self.weights.insert(model.to_owned(), version);
        }
        self.raise_weights(now, model, version);
    }
}

/// Tokens at the beginning of a prompt that are held; a part counts only if all before it are there.
pub(super) fn held_prefix(held: &HashMap<(u64, PartId), u32>, scope: u64, parts: &[Part]) -> u32 {
    prefix_tokens(parts, |part| {
        held.get(&(scope, part.id)).copied().unwrap_or_default()
    })
}

fn prefix_tokens(parts: &[Part], available: impl Fn(&Part) -> u32) -> u32 {
    let mut tokens = 0;
    for part in parts {
        let available = available(part);
        tokens += available.min(part.tokens);
        if available < part.tokens {
            break;
        }
    }
    tokens
}

/// A store of kept KV cache.
#[derive(Debug, Default)]
pub struct KvStoreContents {
    /// Tokens of parts that it holds, by scope and part.
    pub held: HashMap<(u64, PartId), u32>,
    epoch: u64,
}

impl KvStoreContents {
    /// Takes over what a follower of the store tells.
    pub(super) fn apply_update(&mut self, update: &Update) {
        if !update.alive || update.epoch != self.epoch {
            self.held.clear();
        }
        self.epoch = update.epoch;
        apply_parts(&mut self.held, &update.parts);
    }
}

/// Takes over what is told of parts.
pub(super) fn apply_parts(held: &mut HashMap<(u64, PartId), u32>, parts: &[Held]) {
    for h in parts {
        let key = (h.scope, PartId(h.part));
        match h.tokens {
            0 => held.remove(&key),
            n => held.insert(key, n),
        };
    }
}
