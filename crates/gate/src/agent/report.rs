//! What an agent reports to the entries and the other agents.

use std::net::SocketAddr;

use model::Micros;
use site::{Role, Weights};
use tokio::net::UdpSocket;

use super::{Kind, SharedAgent, STARTED};
use crate::node::SharedNode;
use crate::update::{self, HeldPart, LoadedWeights, Update};

/// Age up to which the report of a remote engine tells its memory.
const MEMORY: Micros = Micros::from_millis(1_000);

/// The engine's load and weights.
pub(crate) fn summary(node: &SharedNode, agent: &SharedAgent) -> Update {
    let now = node.now();
    let mut a = agent.borrow_mut();
    a.backlog.expire(now);
    let mut update = Update {
        engine: a.addr.to_string(),
        delegate: a.id(),
        // A report that doesn't reach another host doesn't mean that the engine is gone.
        alive: a.alive || (a.kind == Kind::Delegate && !a.ended),
        ended: a.ended,
        epoch: a.cache.epoch,
        tokens: a.backlog.unread_tokens().to_vec(),
        ..Update::default()
    };
    if let Some(r) = &a.report {
        update.weights = r.weights.iter().map(loaded).collect();
        update.busy = r.busy;
    }
    match (a.kind, &a.report) {
        (Kind::Sidecar, Some(r)) => {
            update.begun = r.running;
            update.unread = (r.active + r.queued).saturating_sub(r.running);
            update.used = r.memory_used;
            update.total = r.memory_total;
        }
        (Kind::Delegate, Some(r)) if now.since(a.read) < MEMORY => {
            update.used = r.memory_used;
            update.total = r.memory_total;
        }
        _ => {}
    }
    if a.kind == Kind::Delegate {
        update.unread = a.backlog.unread_prompts();
    }
    a.rollout.fill_update(now, &mut update);
    // From its own order on, before the engine's report shows it.
    update.busy |= update.loading_ms.is_some();
    update
}

fn loaded(weights: &Weights) -> LoadedWeights {
    LoadedWeights {
        model: weights.model.clone(),
        version: weights.version,
    }
}

/// The entries that an agent reports to: subscribers and, while a sidecar has just started and they
/// may not have subscribed yet, all that are known. A delegate reports to all, its own process
/// included.
pub(super) fn subscribers(node: &SharedNode, agent: &SharedAgent) -> Vec<SocketAddr> {
    let now = node.now();
    let cluster = node.cluster.borrow();
    if agent.borrow().kind == Kind::Delegate {
        return all_entries(node);
    }
    let asked: Vec<_> = agent.borrow().subscribers.active(now).collect();
    let known = cluster.entries().filter(|_| now < STARTED);
    let others = known.filter(|e| !asked.contains(e)).collect::<Vec<_>>();
    asked.into_iter().chain(others).collect()
}

/// All entries, this process included if it is one.
pub(crate) fn all_entries(node: &SharedNode) -> Vec<SocketAddr> {
    let own = {
        let s = node.settings.borrow();
        (s.role == Role::Entry).then_some(s.peer)
    };
    let cluster = node.cluster.borrow();
    cluster.entries().chain(own).collect()
}

/// Changes of parts that are to be sent. They are kept while no entry is known: a sidecar that
/// starts reads all that its engine has stored, often before it has read the list of members.
pub(super) fn fresh(node: &SharedNode, agent: &SharedAgent) -> Vec<HeldPart> {
    match subscribers(node, agent).first() {
        Some(_) => std::mem::take(&mut agent.borrow_mut().fresh),
        None => Vec::new(),
    }
}

/// Sends all that the engine holds to some addresses.
pub(crate) fn send_whole(
    agent: &SharedAgent,
    socket: &UdpSocket,
    update: &Update,
    to: impl IntoIterator<Item = SocketAddr> + Clone,
) {
    let held = agent.borrow().cache.all();
    update::send_parts(socket, update.clone(), &held, to);
}

/// An update without its times, which change from one moment to the next.
pub(super) fn timeless(update: &Update) -> Update {
    Update {
        due_ms: update.due_ms.map(|_| 0),
        loading_ms: update.loading_ms.map(|_| 0),
        ordered_ms: update.ordered_ms.map(|_| 0),
        sent_us: 0,
        ..update.clone()
    }
}

/// What other agents need to know of the engine.
pub(super) fn for_peers(update: &Update) -> Update {
    Update {
        weights: update.weights.clone(),
        engine: update.engine.clone(),
        delegate: update.delegate,
        alive: update.alive,
        busy: update.busy,
        due_ms: update.due_ms,
        loading_ms: update.loading_ms,
        load_ms: update.load_ms,
        wanted: update.wanted,
        claims: update.claims,
        ordered_ms: update.ordered_ms,
        fence: update.fence,
        process: update.process,
        sent_us: update.sent_us,
        ..Update::default()
    }
}
