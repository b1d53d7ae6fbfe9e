//! One target and the data that an entry has on it.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use model::{Micros, Position};
use platform::replica::Load;
use policy::backlog::UnreadTokens;
use policy::circuit_breaker::CircuitBreaker;
use policy::loading::RemainingLoad;
use policy::misdirected::Exclusion;
use policy::prefill_priority;
use policy::stall::History;
use site::{Part, PartId, Target};
use tokio::time::Instant;

use super::connection_pool::ConnectionPool;
use crate::agent::AgentId;
use crate::speed::TargetSpeed;
use crate::update::{HeldPart, Update};

/// How long an engine is expected to have the parts of a prompt sent to it; covers a long prompt in
/// a queue.
const EXPECTED_TTL: Micros = Micros::from_millis(1_500);
/// Maximum number of recent prompts remembered for a target; an entry sends fewer between two
/// reports of the sidecar.
const MAX_RECENT_PROMPTS: usize = 64;
/// Age of a known version from which on a report with a lower version replaces it. Reports are up
/// to 0.3 s old.
const REPORT_SETTLE_TIME: Micros = Micros::from_millis(800);

/// An agent's last report on its engine.
#[derive(Clone, Copy, Debug)]
pub struct AgentReport {
    /// The agent that sent the report.
    pub(crate) agent: AgentId,
    /// When the report was received.
    pub at: Micros,
    /// Whether the engine answers its agent.
    pub alive: bool,
    /// Whether the engine is loading weights.
    pub loading: bool,
    /// Requests whose prefill is done.
    pub running: u32,
    /// Requests whose prefill is pending.
    pub unread_prompts: u32,
    /// Tokens of memory that can't be released for other requests.
    pub memory_used: u32,
    /// Tokens of memory in all.
    pub memory_total: u32,
    /// Whether the engine's slot to load weights has come: new requests sent there are refused or
    /// interrupted by the load.
    pub due_to_load: bool,
    /// Estimated time from the report until the engine starts to load newer weights, if it lacks them.
    pub load_in: Option<Micros>,
    /// Remaining time of the load at the time of the report, if the engine is loading weights.
    pub remaining_load: Option<RemainingLoad>,
    /// Prompt tokens of all entries that the engine has yet to prefill, by tier
    /// ([`prefill_priority::tier`]).
    pub unread_tokens: UnreadTokens,
}

impl AgentReport {
    /// Remaining time of the load now, if the engine is loading weights.
    pub(super) fn remaining_load_at(&self, now: Micros) -> Option<RemainingLoad> {
        let load = self.remaining_load?;
        let time = (self.at + load.time).since(now);
        Some(RemainingLoad { time, ..load })
    }

    /// Reads a report from an agent's update.
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
            load_in: update.load_in_ms.map(time),
            remaining_load: update
                .loading_ms
                .map(|ms| RemainingLoad::new(time(ms), update.load_ms.map(time))),
            unread_tokens,
        }
    }
}

/// A target and the data that this entry has on it.
#[derive(Debug)]
pub struct Replica {
    /// The target's row in the list.
    pub target: Target,
    /// Idle connections to the target.
    pub(super) connections: ConnectionPool,
    /// Requests of this entry that are in flight at the target.
    pub inflight: u32,
    /// Number of requests of this entry in flight at the target that are suspected of crashing
    /// targets.
    pub suspects: u32,
    /// Prompt tokens of this entry that the target has yet to prefill.
    pub unread_tokens: u32,
    /// Recent prompts of this entry with their time and tokens, which the target's agent may not
    /// have counted yet.
    pub recent_prompts: VecDeque<(Micros, u32)>,
    /// The load that the target itself stated in an answer, and when that was received.
    pub load: Option<(Load, Micros)>,
    /// The speed of this incarnation.
    pub speed: TargetSpeed,
    /// Last report of the target's agent.
    pub agent_report: Option<AgentReport>,
    /// Versions of the loaded weights by model.
    pub weights: HashMap<String, u64>,
    /// Tokens of the cached parts, by scope and part.
    pub held: HashMap<(u64, PartId), u32>,
    /// Parts that the target is about to prefill or fetch, with their tokens and the time until
    /// which they are expected.
    expected: HashMap<(u64, PartId), (u32, Micros)>,
    /// Circuit breaker of the target.
    pub breaker: CircuitBreaker,
    /// Requests and answers of the target.
    pub(super) history: History,
    /// Until when the target is kept although the list lacks it.
    pub(super) missing_until: Option<Micros>,
    /// Exclusion of the target after another one has answered at its address.
    pub exclusion: Exclusion,
    /// Whether the target has served a request that named it.
    pub(super) served: bool,
    /// Position of the target's last heartbeat at the time when its agent found that the process
    /// had ended.
    pub(super) renewed_at_end: Option<Position>,
    /// Position of the target's last heartbeat when a connection to it last broke, and the time of
    /// that.
    broken: Option<(Position, Instant)>,
    /// Last known epoch of the target's cache events; 0 if none is known.
    known_epoch: u64,
    /// Whether the list contains a target with the same address and a later heartbeat.
    pub superseded: bool,
    /// Epoch of the target's cache events; a change means that the cached parts are gone.
    pub(super) epoch: u64,
    /// When the version of the weights was last raised.
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
            served: false,
            unread_tokens: 0,
            recent_prompts: VecDeque::new(),
            load: None,
            speed: TargetSpeed::default(),
            agent_report: None,
            held: HashMap::new(),
            expected: HashMap::new(),
            breaker: CircuitBreaker::default(),
            history: History::default(),
            missing_until: None,
            exclusion: Exclusion::default(),
            renewed_at_end: None,
            broken: None,
            known_epoch: 0,
            superseded: false,
            epoch: 0,
            weights_raised_at: Micros::ZERO,
        }
    }

    /// Records that a connection to the target broke, or that its process may have ended.
    pub(super) fn record_break(&mut self) {
        self.broken = Some((self.target.renewed, Instant::now()));
    }

    /// Records an epoch of the target's cache events, unless its agent doesn't know it yet. Another one
    /// than before is of another process.
    pub(super) fn record_epoch(&mut self, epoch: u64) {
        if epoch == 0 {
            return;
        }
        let known = std::mem::replace(&mut self.known_epoch, epoch);
        if known != 0 && known != epoch {
            self.record_break();
            // A target is listed before its agent notices the restart, and until then the agent
            // reports the factors of the former process.
            self.speed = TargetSpeed::default();
        }
    }

    /// Whether a connection to the target broke before this time and no heartbeat was read since, so
    /// that another process may have taken its place.
    pub(super) fn may_be_replaced(&self, opened: Instant) -> bool {
        self.broken
            .is_some_and(|(renewed, at)| at <= opened && self.target.renewed <= renewed)
    }

    /// Whether the target is, as far as known, the process that listens at its address.
    pub fn is_present(&self, now: Micros) -> bool {
        let listed_or_kept = self.missing_until.is_none_or(|until| now < until);
        listed_or_kept
            && !self.exclusion.is_excluded()
            && !self.superseded
            && self.renewed_at_end.is_none()
    }

    /// Tokens of a prompt's cached prefix under a scope.
    pub fn holds(&self, scope: u64, parts: &[Part]) -> u32 {
        held_prefix(&self.held, scope, parts)
    }

    /// Tokens of a prompt's prefix that are cached, or will be once the target's pending work is
    /// done.
    pub fn will_hold(&self, now: Micros, scope: u64, parts: &[Part]) -> u32 {
        let available = |part: &Part| {
            let key = (scope, part.id);
            let held = self.held.get(&key).copied().unwrap_or_default();
            let soon = self.expected.get(&key).filter(|(_, until)| *until > now);
            held.max(soon.map_or(0, |(tokens, _)| *tokens))
        };
        prefix_tokens(parts, available)
    }

    /// Records a prompt sent to the target.
    pub fn record_send(&mut self, now: Micros, tokens: u32) {
        self.inflight += 1;
        self.unread_tokens += tokens;
        self.recent_prompts.push_back((now, tokens));
        while self.recent_prompts.len() > MAX_RECENT_PROMPTS {
            self.recent_prompts.pop_front();
        }
    }

    /// Adds the prompts sent since `from`, which the target's agent hasn't counted yet, to its
    /// counts of tokens to prefill.
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

    /// Expects the target to hold some parts soon.
    pub fn expect_parts(&mut self, now: Micros, scope: u64, parts: &[Part]) {
        let until = now + EXPECTED_TTL;
        for p in parts {
            self.expected.insert((scope, p.id), (p.tokens, until));
        }
    }

    /// Records that the target has prefilled or fetched some parts, or, if not `done`, that it
    /// won't.
    pub fn settle_parts(&mut self, scope: u64, parts: &[Part], done: bool) {
        for p in parts {
            let key = (scope, p.id);
            self.expected.remove(&key);
            if done {
                self.held.insert(key, p.tokens);
            }
        }
    }

    /// Records the version of the target's weights if it is newer than the known one; parts of
    /// older versions are gone then.
    pub fn raise_weights(&mut self, now: Micros, model: &str, version: u64) {
        let known = self.weights.get(model).copied().unwrap_or_default();
        if known < version {
            self.weights.insert(model.to_owned(), version);
            self.weights_raised_at = now;
            self.held.clear();
            self.expected.clear();
        }
    }

    /// Applies a version that the target's agent has read from it. That version may be lower than
    /// the known one: an order whose sender has given up on it may be carried out late and replace
    /// newer weights by older ones. Reports are some hundred milliseconds old, so a lower version
    /// counts only after `REPORT_SETTLE_TIME`.
    pub fn apply_reported_weights(&mut self, now: Micros, model: &str, version: u64) {
        let known = self.weights.get(model).copied().unwrap_or_default();
        if version < known && now.since(self.weights_raised_at) > REPORT_SETTLE_TIME {
            self.weights.insert(model.to_owned(), version);
        }
        self.raise_weights(now, model, version);
    }
}

/// Tokens of a prompt's cached prefix. A part counts only if all parts before it are cached
/// completely.
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

/// Contents of a KV store.
#[derive(Debug, Default)]
pub struct KvStoreContents {
    /// Tokens of the stored parts, by scope and part.
    pub held: HashMap<(u64, PartId), u32>,
    /// Epoch of the store's events; a change means that the stored parts are gone.
    epoch: u64,
}

impl KvStoreContents {
    /// Applies an update of a process that follows the store.
    pub(super) fn apply_update(&mut self, update: &Update) {
        if !update.alive || update.epoch != self.epoch {
            self.held.clear();
        }
        self.epoch = update.epoch;
        apply_parts(&mut self.held, &update.parts);
    }
}

/// Applies changes of cached parts.
pub(super) fn apply_parts(held: &mut HashMap<(u64, PartId), u32>, parts: &[HeldPart]) {
    for h in parts {
        let key = (h.scope, PartId(h.part));
        match h.tokens {
            0 => held.remove(&key),
            n => held.insert(key, n),
        };
    }
}
