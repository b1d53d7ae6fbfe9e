//! Updates from an agent to the entries and the other agents.

use std::net::SocketAddr;

use model::Micros;
use site::{Role, Weights};
use tokio::net::UdpSocket;

use super::relay;
use super::{engine_key, Kind, SharedAgent, STARTUP_PERIOD};
use crate::node::SharedNode;
use crate::update::{self, HeldPart, LoadedWeights, Update};

/// Age up to which a delegate passes on the memory use from an engine's report.
const MEMORY_REPORT_TTL: Micros = Micros::from_millis(1_000);

/// Creates an update with the engine's load and weights.
pub(crate) fn current_update(node: &SharedNode, agent: &SharedAgent) -> Update {
    let now = node.now();
    let mut a = agent.borrow_mut();
    a.backlog.expire(now);
    let mut update = Update {
        engine: a.addr.to_string(),
        delegate: a.id(),
        // That a delegate on another host can't read the report doesn't mean that the engine is
        // gone.
        alive: a.alive || (a.kind == Kind::Delegate && !a.ended),
        ended: a.ended,
        epoch: a.cache.epoch,
        tokens: a.backlog.unread_tokens().to_vec(),
        ..Update::default()
    };
    if let Some(r) = &a.report {
        update.weights = r.weights.iter().map(loaded_weights).collect();
        update.busy = r.busy;
    }
    match (a.kind, &a.report) {
        (Kind::Sidecar, Some(r)) => {
            update.begun = r.running;
            update.unread = (r.active + r.queued).saturating_sub(r.running);
            update.used = r.memory_used;
            update.total = r.memory_total;
        }
        (Kind::Delegate, Some(r)) if now.since(a.report_read_at) < MEMORY_REPORT_TTL => {
            update.used = r.memory_used;
            update.total = r.memory_total;
        }
        _ => {}
    }
    if a.kind == Kind::Delegate {
        update.unread = a.backlog.unread_prompts();
    }
    a.rollout.fill_update(now, &mut update);
    a.speed.fill_update(now, &mut update);
    // The engine counts as busy once it was ordered, before its report shows the load.
    update.busy |= update.loading_ms.is_some();
    update
}

fn loaded_weights(weights: &Weights) -> LoadedWeights {
    LoadedWeights {
        model: weights.model.clone(),
        version: weights.version,
    }
}

/// The entries that an agent reports to. A sidecar reports to its subscribers and, shortly after
/// its start, when entries may not have subscribed yet, to all known entries. A delegate reports to
/// all entries, its own process included.
pub(super) fn subscribers(node: &SharedNode, agent: &SharedAgent) -> Vec<SocketAddr> {
    let now = node.now();
    let cluster = node.cluster.borrow();
    if agent.borrow().kind == Kind::Delegate {
        return all_entries(node);
    }
    let subscribed: Vec<_> = agent.borrow().subscribers.active(now).collect();
    let known = cluster.entries().filter(|_| now < STARTUP_PERIOD);
    let others = known
        .filter(|e| !subscribed.contains(e))
        .collect::<Vec<_>>();
    subscribed.into_iter().chain(others).collect()
}

/// Addresses of all entries, including this process if it is an entry.
pub(crate) fn all_entries(node: &SharedNode) -> Vec<SocketAddr> {
    let own = {
        let s = node.settings.borrow();
        (s.role == Role::Entry).then_some(s.peer)
    };
    let cluster = node.cluster.borrow();
    cluster.entries().chain(own).collect()
}

/// Takes the part changes that are to be sent. They are retained while no entry is known: a newly
/// started sidecar reads its engine's whole cache, often before it has read the list of members.
pub(super) fn take_part_changes(node: &SharedNode, agent: &SharedAgent) -> Vec<HeldPart> {
    match subscribers(node, agent).first() {
        Some(_) => std::mem::take(&mut agent.borrow_mut().part_changes),
        None => Vec::new(),
    }
}

/// Sends an update with all parts in the engine's cache to the given addresses.
pub(crate) fn send_all_parts(
    agent: &SharedAgent,
    socket: &UdpSocket,
    update: &Update,
    to: impl IntoIterator<Item = SocketAddr> + Clone,
) {
    let held = agent.borrow().cache.all();
    update::send_parts(socket, update.clone(), &held, to);
}

/// Copy of an update without its times and speeds, which change constantly, for comparison with
/// earlier updates.
pub(super) fn without_times(update: &Update) -> Update {
    Update {
        due_ms: update.due_ms.map(|_| 0),
        load_in_ms: update.load_in_ms.map(|_| 0),
        loading_ms: update.loading_ms.map(|_| 0),
        ordered_ms: update.ordered_ms.map(|_| 0),
        sent_us: 0,
        pace: None,
        speed: None,
        confirmed: relay::claims_without_times(&update.confirmed),
        relays: relay::without_times(&update.relays),
        ..update.clone()
    }
}

/// Copy of an update with only those fields that other agents need, and with those about engines out of
/// reach, which only they need.
pub(super) fn for_peers(node: &SharedNode, agent: &SharedAgent, update: &Update) -> Update {
    let mut update = Update {
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
    };
    let a = agent.borrow();
    a.rollout
        .fill_relays(node.now(), engine_key(a.addr), &mut update);
    update
}
