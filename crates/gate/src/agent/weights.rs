//! Loading new weights on an agent's engine: the exchange of updates with other agents, the claim
//! of a slot, and the order to the engine.
//!
//! [`policy::slots`] decides when the engine loads, and [`policy::holder`] whether this process may
//! order it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Instant;

use model::Micros;
use platform::replica::{self, EngineError, LoadOrder, OrderOutcome};
use platform::{CallError, Conn};
use policy::contact::Query;
use policy::holder::Holder;
use policy::rollout;
use policy::slots::{Group, ModelKey, Outcome, OutdatedWeights, Slots, State, Step};
use policy::versions::Versions;
use site::{Report, Swap, Weights};
use xxhash_rust::xxh3::xxh3_64;

use super::relay;
use super::report::{all_entries, current_update, for_peers};
use super::{engine_key, Agent, AgentId, Env, Kind, SharedAgent, ENGINE_TIMEOUT};
use crate::log::{self, Event};
use crate::meter;
use crate::node::{ClusterState, SharedNode};
use crate::update::{self, SlotQuery, Update};

/// How long an order waits until the engine's incarnation is known. An order without an incarnation
/// may be executed late by the next incarnation and replace newer weights by older ones.
const IDENTITY_WAIT: Micros = Micros::from_millis(2_500);

/// Time after a claim succeeds within which the order must be sent. A process that was paused in
/// between, or that could not connect in time, claims a slot again.
const SLOT_LIFETIME: Micros = Micros::from_millis(250);

/// How long a delegate is queried for slots after its last update: three of its update intervals.
const DELEGATE_TTL: Micros = Micros::from_secs(6);

/// State of an agent's weight loads.
#[derive(Debug)]
pub(super) struct Rollout {
    /// Slots for loads, which the agents of all engines share.
    pub(super) slots: Slots<AgentId>,
    /// This process's right to order the engine.
    holder: Holder,
    /// Random number of this process, a new one after each start.
    process: u64,
    /// Fencing token of this process's orders; 0 until the store's clock is known.
    fencing_token: u64,
    /// Highest known fencing token with which another process has ordered the engine.
    highest_other_token: u64,
    /// When this process last ordered the engine.
    ordered_at: Option<Micros>,
    /// Weights that the engine still has to load.
    pending: Option<PendingLoad>,
    /// Delegates of other engines, and when the last update of each was received.
    delegates: HashMap<AgentId, Micros>,
}

/// Weights that the engine has to load.
#[derive(Clone, Debug)]
struct PendingLoad {
    weights: Weights,
    /// When this process received the announcement of the version.
    received_at: Micros,
}

impl Rollout {
    pub(super) fn new(holder: Holder) -> Self {
        Self {
            slots: Slots::default(),
            holder,
            process: rand::random(),
            fencing_token: 0,
            highest_other_token: 0,
            ordered_at: None,
            pending: None,
            delegates: HashMap::new(),
        }
    }

    /// Records an update or slot answer from the agent of another engine.
    pub(super) fn receive(&mut self, now: Micros, update: &Update, from: AgentId) {
        if from.delegate != 0 {
            self.delegates.insert(from, now);
        }
        // The report of an engine that is loading may be late.
        let reachable = update.alive || update.loading_ms.is_some();
        let state = reachable.then(|| peer_state(update));
        self.slots.receive(now, from, state);
        if let Some(query) = update.slot_answer {
            let sent = Micros(query.sent_us);
            let round = query.round;
            self.slots.answered(now, from, Query { round, sent });
        }
    }

    /// Records an update from another agent of the same engine.
    pub(super) fn receive_other_holder(&mut self, now: Micros, update: &Update) {
        let Some(age) = update.ordered_ms else {
            return;
        };
        self.highest_other_token = self.highest_other_token.max(update.fence);
        let at = now - Micros::from_millis(age.into());
        self.holder.record_other_holder(at);
    }

    /// Records the number of orders that the engine has accepted.
    pub(super) fn update_order_count(&mut self, now: Micros, orders: u64) {
        if self.holder.update_count(now, orders) {
            // Another process has ordered the engine, so the next order needs a higher token.
            self.fencing_token = 0;
        }
    }

    /// This process's right to order the engine.
    pub(super) fn holder(&mut self) -> &mut Holder {
        &mut self.holder
    }

    /// When this agent last ordered the engine, and its fencing token.
    pub(super) fn last_order(&self) -> Option<(Micros, u64)> {
        Some((self.ordered_at?, self.fencing_token))
    }

    /// Delegates of other engines that have sent an update recently.
    fn delegates(&self, now: Micros) -> impl Iterator<Item = AgentId> + '_ {
        let is_recent = move |at: &Micros| now.since(*at) < DELEGATE_TTL;
        let delegates = self.delegates.iter().filter(move |(_, at)| is_recent(at));
        delegates.map(|(a, _)| *a)
    }

    /// Whether a delegate needs a current report of the engine.
    pub(super) fn needs_report(&self, now: Micros) -> bool {
        self.slots.needs_report(now)
    }

    /// Sets the fields about weight loads in an update to entries and other agents.
    pub(super) fn fill_update(&self, now: Micros, update: &mut Update) {
        let ms = |t: Micros| u32::try_from(t.as_millis()).unwrap_or(u32::MAX);
        let state = self.slots.state(now, 0, Vec::new());
        update.due_ms = state.due.map(ms);
        update.loading_ms = state.loading.map(ms);
        update.load_ms = state.load_time.map(ms);
        update.load_in_ms = self.slots.time_to_load().map(ms);
        update.wanted = state.desired;
        update.claims = state.claims;
        update.process = self.process;
        update.sent_us = state.sent.0;
        if update.delegate != 0 {
            update.ordered_ms = self.ordered_at.map(|at| ms(now.since(at)));
            update.fence = self.fencing_token;
        }
    }

    /// Sets the fields about engines out of reach in an update to other agents. `key` is the key of the
    /// agent's engine.
    pub(super) fn fill_relays(&self, now: Micros, key: u64, update: &mut Update) {
        relay::fill_update(&self.slots.state(now, key, Vec::new()), update);
    }
}

/// Converts an agent's update to the state that [`policy::slots`] uses.
fn peer_state(update: &Update) -> State {
    let ms = |ms: u32| Micros::from_millis(ms.into());
    let weights = update.weights.iter();
    let mut state = State {
        engine: xxh3_64(update.engine.as_bytes()),
        weights: weights.map(|w| (model_key(&w.model), w.version)).collect(),
        loading: update
            .busy
            .then(|| ms(update.loading_ms.unwrap_or_default())),
        due: update.due_ms.map(ms),
        load_time: update.load_ms.map(ms),
        desired: update.wanted,
        claims: update.claims,
        process: update.process,
        sent: Micros(update.sent_us),
        ..State::default()
    };
    relay::add_to_state(update, &mut state);
    state
}

fn model_key(model: &str) -> ModelKey {
    ModelKey(xxh3_64(model.as_bytes()))
}

/// Determines which weights the engine has to load, and whether it is due to load them.
pub(super) fn schedule(node: &SharedNode, agent: &SharedAgent) {
    let now = node.now();
    let cluster = node.cluster.borrow();
    let mut a = agent.borrow_mut();
    let group = group(node, &cluster, &a);
    let a = &mut *a;
    let rollout = &mut a.rollout;
    if let (0, Some(token)) = (
        rollout.fencing_token,
        cluster.fencing_token(now, &node.settings.borrow().host),
    ) {
        rollout.fencing_token = token.max(rollout.highest_other_token + 1);
    }
    let Some(report) = a.report.as_ref().filter(|_| a.alive) else {
        rollout.pending = None;
        return match a.ended {
            true => rollout.slots.engine_exited(now),
            false => rollout.slots.report_missed(now),
        };
    };
    let weights = report.weights.iter();
    let weights: Vec<_> = weights.map(|w| (model_key(&w.model), w.version)).collect();
    rollout.slots.report(now, &weights, report.busy);
    // An engine that this process may not order yet must not take a slot from another engine.
    let may_order = rollout.fencing_token != 0 && rollout.holder.may_order(now);
    let pending = first_outdated(report, &cluster).filter(|_| may_order);
    rollout.pending = pending.map(|(weights, versions)| PendingLoad {
        weights: Weights {
            model: weights.model.clone(),
            version: versions.newest(),
        },
        received_at: versions.received_at(),
    });
    let pending = pending.map(|(weights, versions)| OutdatedWeights {
        model: model_key(&weights.model),
        version: weights.version,
        announced: versions,
    });
    rollout.slots.schedule(now, &group, pending.as_ref());
}

/// The first loaded weights for which a newer version has been announced, and the announced
/// versions.
fn first_outdated<'a>(
    report: &'a Report,
    cluster: &'a ClusterState,
) -> Option<(&'a Weights, &'a Versions)> {
    report.weights.iter().find_map(|w| {
        let versions = cluster.announced_weights.get(&w.model)?;
        (versions.newest() > w.version).then_some((w, versions))
    })
}

/// Position of an agent's engine in its pool.
fn group(node: &SharedNode, cluster: &ClusterState, agent: &Agent) -> Group {
    let (rank, hosts) = rank(node, cluster, agent);
    Group {
        engine: engine_key(agent.addr),
        rank,
        hosts,
        allowed: node.settings.borrow().bounds.weights_deadline.into(),
    }
}

/// An agent's rank among the listed agents of its kind, and their number.
fn rank(node: &SharedNode, cluster: &ClusterState, agent: &Agent) -> (usize, usize) {
    match agent.kind {
        Kind::Sidecar => {
            let own = &node.settings.borrow().host;
            let others = cluster.other_sidecars(own);
            let before = others.iter().filter(|(h, _)| *h < own).count();
            (before, others.len() + 1)
        }
        Kind::Delegate => {
            let engines = &cluster.engines_without_sidecar;
            let before = engines.iter().filter(|e| **e < agent.addr).count();
            (before, engines.len().max(before + 1))
        }
    }
}

/// The agents that share slots with this one: sidecars of its group that are members, and
/// delegates.
pub(super) fn peers(node: &SharedNode, agent: &SharedAgent) -> Vec<AgentId> {
    let cluster = node.cluster.borrow();
    let a = agent.borrow();
    let (rank, agents) = rank(node, &cluster, &a);
    let own = node.settings.borrow().host.clone();
    let sidecars = cluster.other_sidecars(&own);
    let same = rollout::same_group(rank, agents);
    let rank_of = |i: usize| match a.kind {
        Kind::Sidecar if i >= rank => i + 1,
        _ => i,
    };
    let grouped = sidecars
        .iter()
        .enumerate()
        .filter(|(i, _)| same(rank_of(*i)));
    let sidecars = grouped.map(|(_, (_, addr))| AgentId {
        addr: *addr,
        delegate: 0,
    });
    sidecars.chain(a.rollout.delegates(node.now())).collect()
}

/// Addresses of the processes that run the agents returned by [`peers`]. A delegate also reports to
/// all entries, which may run other delegates.
pub(super) fn peer_processes(node: &SharedNode, agent: &SharedAgent) -> Vec<SocketAddr> {
    let agents = peers(node, agent);
    let mut addrs: Vec<_> = agents.into_iter().map(|a| a.addr).collect();
    if agent.borrow().kind == Kind::Delegate {
        addrs.extend(all_entries(node));
    }
    addrs.sort_unstable();
    addrs.dedup();
    addrs
}

/// An order to load weights, ready to be sent.
pub(super) struct Order {
    load: PendingLoad,
    fencing_token: u64,
    /// Number of orders that the engine must have accepted before this one.
    expected_seq: u64,
    /// Requests that run on the engine.
    active_requests: u32,
    /// Target id of the engine's incarnation; `None` if it stayed unknown for [`IDENTITY_WAIT`].
    engine_id: Option<String>,
    /// When the claim succeeded.
    claimed_at: Micros,
    /// Sidecars that were skipped because they didn't answer.
    skipped: usize,
}

/// Queries the other agents for a slot. Returns the order once they have answered and a slot is
/// free; from then on the engine counts as loading, which the other agents receive before the
/// engine has answered the order.
pub(super) fn claim_slot(env: Env<'_>) -> Option<Order> {
    let Env {
        node,
        agent,
        socket,
    } = env;
    let peers = peers(node, agent);
    let (step, order) = advance_claim(node, agent, &peers);
    if let Some((query, mut to)) = step.query {
        let update = for_peers(node, agent, &current_update(node, agent));
        to.sort_unstable_by_key(|a| a.delegate);
        for agents in to.chunk_by(|a, b| a.delegate == b.delegate) {
            let slot_query = SlotQuery {
                round: query.round,
                sent_us: query.sent.0,
                delegate: agents[0].delegate,
            };
            let update = Update {
                slot_ask: Some(slot_query),
                ..update.clone()
            };
            update::send(socket, &update, agents.iter().map(|a| a.addr));
        }
    }
    order
}

/// Answers another agent's slot query with the current state.
pub(crate) fn answer_slot_query(env: Env<'_>, query: SlotQuery, to: SocketAddr) {
    let Env {
        node,
        agent,
        socket,
    } = env;
    if !agent.borrow().rollout.slots.can_answer(node.now()) {
        return;
    }
    let update = Update {
        slot_answer: Some(query),
        ..for_peers(node, agent, &current_update(node, agent))
    };
    update::send(socket, &update, [to]);
}

/// Advances the claim of a slot by one step. Returns the queries to send, and the order once the
/// claim has succeeded.
fn advance_claim(
    node: &SharedNode,
    agent: &SharedAgent,
    peers: &[AgentId],
) -> (Step<AgentId>, Option<Order>) {
    let now = node.now();
    let mut a = agent.borrow_mut();
    let a = &mut *a;
    let r = &mut a.rollout;
    let (Some(pending), Some(report)) = (&r.pending, &a.report) else {
        return (r.slots.step(now, peers, false, 0), None);
    };
    // The engine at a delegate's address may be another one, so a delegate's order names its engine.
    let waited = a.kind == Kind::Sidecar && now.since(a.alive_since) > IDENTITY_WAIT;
    let identified = a.boot.is_some() || waited;
    let can_order = !report.busy && identified;
    let step = r.slots.step(now, peers, can_order, rand::random());
    let order = step.orders.then(|| Order {
        load: pending.clone(),
        fencing_token: r.fencing_token,
        expected_seq: report.seq,
        active_requests: report.active,
        engine_id: a.boot.as_ref().map(|b| b.id.clone()),
        claimed_at: now,
        skipped: step.skipped,
    });
    (step, order)
}

/// Sends an order to the engine and records its outcome.
pub(super) async fn send_order(
    node: &SharedNode,
    agent: &SharedAgent,
    conn: &mut Conn,
    order: &Order,
) {
    let left = SLOT_LIFETIME.since(node.now().since(order.claimed_at));
    let host = node.settings.borrow().host.clone();
    let load = LoadOrder {
        weights: &order.load.weights,
        swap: Swap::Retain,
        holder: &host,
        fencing_token: order.fencing_token,
        expected_seq: order.expected_seq,
        engine_id: order.engine_id.as_deref(),
        latest: Instant::now() + left.into(),
    };
    agent.borrow_mut().rollout.ordered_at = Some(node.now());
    let result = replica::send_order(conn, &load, ENGINE_TIMEOUT).await;
    let outcome = load_outcome(&result);
    let mut a = agent.borrow_mut();
    if let Err(EngineError::Misdirected(id)) = &result {
        a.record_misdirected(id.clone());
    }
    if may_be_accepted(&result) {
        a.rollout.holder.record_order();
    }
    a.rollout.slots.ordered(node.now(), outcome);
    drop(a);
    let (text, label) = match &result {
        Ok(OrderOutcome::Accepted) => ("begun".to_owned(), "begun"),
        Ok(OrderOutcome::AlreadyLoaded) => ("done".to_owned(), "done"),
        Ok(OrderOutcome::Busy) => ("busy".to_owned(), "busy"),
        Err(EngineError::Call(CallError::Expired)) => {
            ("not sent: the slot has expired".to_owned(), "expired")
        }
        Err(e) => (e.to_string(), "failed"),
    };
    log_order(order, &text, label);
}

/// Logs an order and counts it by the label.
fn log_order(order: &Order, outcome: &str, label: &'static str) {
    meter::increment(meter::ORDERS, "outcome", label);
    log::event(&Event::Ordered {
        model: &order.load.weights.model,
        version: order.load.weights.version,
        fence: order.fencing_token,
        outcome,
        after_ms: order.claimed_at.since(order.load.received_at).as_millis(),
        active: order.active_requests,
        silent: order.skipped,
    });
}

/// Whether the engine may have accepted the order.
fn may_be_accepted(result: &Result<OrderOutcome, EngineError>) -> bool {
    match result {
        Ok(outcome) => *outcome == OrderOutcome::Accepted,
        Err(EngineError::Misdirected(_)) => false,
        Err(EngineError::Refused(status)) => !status.is_client_error(),
        Err(e) => !e.is_unsent(),
    }
}

/// A busy engine is executing an order that isn't known here, so its load counts until the report shows that
/// it has ended.
fn load_outcome(result: &Result<OrderOutcome, EngineError>) -> Outcome {
    match result {
        Ok(OrderOutcome::Accepted) => Outcome::Accepted,
        Ok(OrderOutcome::Busy) => Outcome::Unknown,
        r if may_be_accepted(r) => Outcome::Unknown,
        _ => Outcome::Refused,
    }
}
