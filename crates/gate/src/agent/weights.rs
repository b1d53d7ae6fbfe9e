//! New weights for an agent's engine: updates to and from the other agents, and the order.
//!
//! [`policy::slots`] decides when the engine loads, [`policy::holder`] whether this process may order it.

use std::collections::HashMap;
use std::net::SocketAddr;

use model::Micros;
use platform::replica::{self, EngineError, LoadOrder, OrderOutcome};
use platform::Conn;
use policy::contact::Query;
use policy::holder::Holder;
use policy::rollout;
use policy::slots::{Group, ModelKey, Outcome, OutdatedWeights, Slots, State, Step};
use policy::versions::Versions;
use site::{Report, Swap, Weights};
use xxhash_rust::xxh3::xxh3_64;

use super::report::{all_entries, for_peers, summary};
use super::{engine_key, Agent, AgentId, Env, Kind, SharedAgent, PATIENCE};
use crate::log::{self, Event};
use crate::meter;
use crate::node::{ClusterState, SharedNode};
use crate::update::{self, SlotQuery, Update};

/// How long an order waits until it is known which incarnation the engine is. An order that names none may
/// be carried out late by the next incarnation, and put older weights in the place of newer ones.
const NAMED: Micros = Micros::from_millis(2_500);

/// Age up to which a slot that was taken is used; a process that was paused in between takes another one.
const TAKEN: Micros = Micros::from_millis(250);

/// How long a delegate that was received of stays one to ask for a slot; three of its updates.
const DELEGATE: Micros = Micros::from_secs(6);

/// What an agent knows of new weights.
#[derive(Debug)]
pub(super) struct Rollout {
    pub(super) slots: Slots<AgentId>,
    /// The right to order the engine.
    holder: Holder,
    /// Draw of this process.
    process: u64,
    /// Fencing token; 0 until the store's clock is known.
    fence: u64,
    /// The highest token with which another process has ordered the engine, as far as known.
    fenced: u64,
    /// When the engine was last ordered.
    ordered: Option<Micros>,
    lack: Option<Missing>,
    /// Delegates of other engines, and when each was last received.
    delegates: HashMap<AgentId, Micros>,
}

/// Weights that the engine is to load.
#[derive(Clone, Debug)]
struct Missing {
    weights: Weights,
    /// When this process received their version.
    received: Micros,
}

impl Rollout {
    pub(super) fn new(holder: Holder) -> Self {
        Self {
            slots: Slots::default(),
            holder,
            process: rand::random(),
            fence: 0,
            fenced: 0,
            ordered: None,
            lack: None,
            delegates: HashMap::new(),
        }
    }

    /// Takes over the update or answer of another engine's agent.
    pub(super) fn receive(&mut self, now: Micros, update: &Update, from: AgentId) {
        if from.delegate != 0 {
            self.delegates.insert(from, now);
        }
        // An engine that loads may report late.
        let known = update.alive || update.loading_ms.is_some();
        let state = known.then(|| state(update));
        self.slots.receive(now, from, state);
        if let Some(ask) = update.slot_answer {
            let sent = Micros(ask.sent_us);
            let round = ask.round;
            self.slots.answered(now, from, Query { round, sent });
        }
    }

    /// Takes over the update of another agent of the same engine.
    pub(super) fn share(&mut self, now: Micros, update: &Update) {
        let Some(age) = update.ordered_ms else {
            return;
        };
        self.fenced = self.fenced.max(update.fence);
        let at = now - Micros::from_millis(age.into());
        self.holder.record_other_holder(at);
    }

    /// Takes over the engine's count of orders.
    pub(super) fn count(&mut self, now: Micros, orders: u64) {
        if self.holder.update_count(now, orders) {
            // The next order needs a token above that of the process that gave this one.
            self.fence = 0;
        }
    }

    /// The right to order the engine.
    pub(super) fn holder(&mut self) -> &mut Holder {
        &mut self.holder
    }

    /// When the engine was last ordered by this agent, and with which token.
    pub(super) fn last_order(&self) -> Option<(Micros, u64)> {
        Some((self.ordered?, self.fence))
    }

    /// Delegates of other engines.
    fn delegates(&self, now: Micros) -> impl Iterator<Item = AgentId> + '_ {
        let recent = move |at: &Micros| now.since(*at) < DELEGATE;
        let delegates = self.delegates.iter().filter(move |(_, at)| recent(at));
        delegates.map(|(a, _)| *a)
    }

    /// Whether a delegate needs the engine's report as of now.
    pub(super) fn reads_report(&self, now: Micros) -> bool {
        self.slots.needs_report(now)
    }

    /// Adds to the update for the entries and the other agents.
    pub(super) fn report(&self, now: Micros, update: &mut Update) {
        let ms = |t: Micros| u32::try_from(t.as_millis()).unwrap_or(u32::MAX);
        let state = self.slots.state(now, 0, Vec::new());
        update.due_ms = state.due.map(ms);
        update.loading_ms = state.loading.map(ms);
        update.load_ms = state.load_time.map(ms);
        update.wanted = state.desired;
        update.claims = state.claims;
        update.process = self.process;
        update.sent_us = state.sent.0;
        if update.delegate != 0 {
            update.ordered_ms = self.ordered.map(|at| ms(now.since(at)));
            update.fence = self.fence;
        }
    }
}

/// An agent's update as decisions see it.
fn state(update: &Update) -> State {
    let ms = |ms: u32| Micros::from_millis(ms.into());
    let weights = update.weights.iter();
    State {
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
    }
}

fn model_key(model: &str) -> ModelKey {
    ModelKey(xxh3_64(model.as_bytes()))
}

/// Finds what the engine lacks and whether it is free to load.
pub(super) fn schedule(node: &SharedNode, agent: &SharedAgent) {
    let now = node.now();
    let cluster = node.cluster.borrow();
    let mut a = agent.borrow_mut();
    let group = group(node, &cluster, &a);
    let a = &mut *a;
    let rollout = &mut a.rollout;
    if let (0, Some(fence)) = (
        rollout.fence,
        cluster.fencing_token(now, &node.settings.borrow().host),
    ) {
        rollout.fence = fence.max(rollout.fenced + 1);
    }
    let Some(report) = a.report.as_ref().filter(|_| a.alive) else {
        rollout.lack = None;
        return match a.ended {
            true => rollout.slots.engine_exited(now),
            false => rollout.slots.report_missed(now),
        };
    };
    let weights = report.weights.iter();
    let weights: Vec<_> = weights.map(|w| (model_key(&w.model), w.version)).collect();
    rollout.slots.report(now, &weights, report.busy);
    // An engine that this process may not order yet stands in no other engine's way.
    let may = rollout.fence != 0 && rollout.holder.may_order(now);
    let lack = lacking(report, &cluster).filter(|_| may);
    rollout.lack = lack.map(|(has, named)| Missing {
        weights: Weights {
            model: has.model.clone(),
            version: named.newest(),
        },
        received: named.received_at(),
    });
    let lack = lack.map(|(has, named)| OutdatedWeights {
        model: model_key(&has.model),
        version: has.version,
        announced: named,
    });
    rollout.slots.schedule(now, &group, lack.as_ref());
}

/// The first weights in use that are older than the newest that were named.
fn lacking<'a>(
    report: &'a Report,
    cluster: &'a ClusterState,
) -> Option<(&'a Weights, &'a Versions)> {
    report.weights.iter().find_map(|w| {
        let named = cluster.announced_weights.get(&w.model)?;
        (named.newest() > w.version).then_some((w, named))
    })
}

fn group(node: &SharedNode, cluster: &ClusterState, agent: &Agent) -> Group {
    let (rank, hosts) = place(node, cluster, agent);
    Group {
        engine: engine_key(agent.addr),
        rank,
        hosts,
        allowed: node.settings.borrow().bounds.weights_deadline.into(),
    }
}

/// An agent's place among the agents that are listed, and their number.
fn place(node: &SharedNode, cluster: &ClusterState, agent: &Agent) -> (usize, usize) {
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

/// The agents that this one shares slots with: sidecars that are members, and delegates.
pub(super) fn peers(node: &SharedNode, agent: &SharedAgent) -> Vec<AgentId> {
    let cluster = node.cluster.borrow();
    let a = agent.borrow();
    let (rank, agents) = place(node, &cluster, &a);
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

/// The processes of these agents, and all entries where there may be delegates.
pub(super) fn processes(node: &SharedNode, agent: &SharedAgent) -> Vec<SocketAddr> {
    let agents = peers(node, agent);
    let mut addrs: Vec<_> = agents.into_iter().map(|a| a.addr).collect();
    if agent.borrow().kind == Kind::Delegate {
        addrs.extend(all_entries(node));
    }
    addrs.sort_unstable();
    addrs.dedup();
    addrs
}

/// An order that is to be sent.
pub(super) struct Order {
    lack: Missing,
    fence: u64,
    /// Orders that the engine must have accepted before.
    after: u64,
    active: u32,
    boot: Option<String>,
    taken: Micros,
    /// Sidecars that were passed over.
    silent: usize,
}

/// Asks the other agents for a slot, or takes it once they have answered. From then on the engine counts
/// as loading, which the others receive before the order is answered.
pub(super) fn claim(env: Env<'_>) -> Option<Order> {
    let Env {
        node,
        agent,
        socket,
    } = env;
    let peers = peers(node, agent);
    let (step, order) = step(node, agent, &peers);
    if let Some((ask, mut to)) = step.query {
        let update = for_peers(&summary(node, agent));
        to.sort_unstable_by_key(|a| a.delegate);
        for agents in to.chunk_by(|a, b| a.delegate == b.delegate) {
            let slot_ask = SlotQuery {
                round: ask.round,
                sent_us: ask.sent.0,
                delegate: agents[0].delegate,
            };
            let update = Update {
                slot_ask: Some(slot_ask),
                ..update.clone()
            };
            update::send(socket, &update, agents.iter().map(|a| a.addr));
        }
    }
    order
}

/// Answers another agent's ask with the state as of now.
pub(crate) fn answer_slot_query(env: Env<'_>, ask: SlotQuery, to: SocketAddr) {
    let Env {
        node,
        agent,
        socket,
    } = env;
    if !agent.borrow().rollout.slots.can_answer(node.now()) {
        return;
    }
    let update = Update {
        slot_answer: Some(ask),
        ..for_peers(&summary(node, agent))
    };
    update::send(socket, &update, [to]);
}

fn step(
    node: &SharedNode,
    agent: &SharedAgent,
    peers: &[AgentId],
) -> (Step<AgentId>, Option<Order>) {
    let now = node.now();
    let mut a = agent.borrow_mut();
    let a = &mut *a;
    let r = &mut a.rollout;
    let (Some(lack), Some(report)) = (&r.lack, &a.report) else {
        return (r.slots.step(now, peers, false, 0), None);
    };
    let boot = report.boot.as_ref().or(a.boot.as_ref());
    let named = boot.is_some() || now.since(a.since) > NAMED;
    let ordered = !report.busy && named;
    let step = r.slots.step(now, peers, ordered, rand::random());
    let order = step.orders.then(|| Order {
        lack: lack.clone(),
        fence: r.fence,
        after: report.seq,
        active: report.active,
        boot: boot.map(|b| b.id.clone()),
        taken: now,
        silent: step.skipped,
    });
    (step, order)
}

/// Gives the engine an order.
pub(super) async fn give(node: &SharedNode, agent: &SharedAgent, conn: &mut Conn, order: &Order) {
    if node.now().since(order.taken) > TAKEN {
        // The others no longer count the claim.
        agent
            .borrow_mut()
            .rollout
            .slots
            .ordered(node.now(), Outcome::Refused);
        return note(order, "not sent: the slot has expired", "expired");
    }
    let host = node.settings.borrow().host.clone();
    let load = LoadOrder {
        weights: &order.lack.weights,
        swap: Swap::Retain,
        holder: &host,
        fencing_token: order.fence,
        expected_seq: order.after,
        engine_id: order.boot.as_deref(),
    };
    agent.borrow_mut().rollout.ordered = Some(node.now());
    let taken = replica::send_order(conn, &load, PATIENCE).await;
    let outcome = outcome(&taken);
    let mut a = agent.borrow_mut();
    if outcome != Outcome::Refused {
        a.rollout.holder.record_order();
    }
    a.rollout.slots.ordered(node.now(), outcome);
    drop(a);
    let (text, label) = match &taken {
        Ok(OrderOutcome::Accepted) => ("begun".to_owned(), "begun"),
        Ok(OrderOutcome::AlreadyLoaded) => ("done".to_owned(), "done"),
        Ok(OrderOutcome::Busy) => ("busy".to_owned(), "busy"),
        Err(e) => (e.to_string(), "failed"),
    };
    note(order, &text, label);
}

fn note(order: &Order, outcome: &str, label: &'static str) {
    meter::increment(meter::ORDERS, "outcome", label);
    log::event(&Event::Ordered {
        model: &order.lack.weights.model,
        version: order.lack.weights.version,
        fence: order.fence,
        outcome,
        after_ms: order.taken.since(order.lack.received).as_millis(),
        active: order.active,
        silent: order.silent,
    });
}

fn outcome(taken: &Result<OrderOutcome, EngineError>) -> Outcome {
    match taken {
        Ok(OrderOutcome::Accepted) => Outcome::Accepted,
        Ok(OrderOutcome::AlreadyLoaded | OrderOutcome::Busy) | Err(EngineError::Refused(_)) => {
            Outcome::Refused
        }
        Err(EngineError::Call(_) | EngineError::Malformed(_)) => Outcome::Unknown,
    }
}
