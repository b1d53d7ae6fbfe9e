//! What a sidecar reports to the entries and the other sidecars.

use std::net::SocketAddr;

use site::Weights;
use tokio::net::UdpSocket;

use super::{Own, STARTED};
use crate::update::{self, Held, Loaded, Update};
use crate::world::Shared;

/// The engine's load and weights.
pub(super) fn summary(node: &Shared, engine: &Own) -> Update {
    let now = node.now();
    let mut e = engine.borrow_mut();
    e.ledger.expire(now);
    let addr = node.settings.borrow().engine;
    let mut update = Update {
        engine: addr.map(|a| a.to_string()).unwrap_or_default(),
        alive: e.alive,
        ended: e.ended,
        epoch: e.cache.epoch,
        tokens: e.ledger.unread().to_vec(),
        ..Update::default()
    };
    if let Some(r) = &e.report {
        update.weights = r.weights.iter().map(loaded).collect();
        update.busy = r.busy;
        update.begun = r.begun;
        update.unread = (r.active + r.queued).saturating_sub(r.begun);
        update.used = r.used;
        update.total = r.total;
    }
    e.rollout.report(now, &mut update);
    // From its own order on, before the engine's report shows it.
    update.busy |= update.loading_ms.is_some();
    update
}

fn loaded(weights: &Weights) -> Loaded {
    Loaded {
        model: weights.model.clone(),
        version: weights.version,
    }
}

/// The entries that the sidecar reports to: subscribers and, while it has just started and they may not
/// have subscribed yet, all that are known.
pub(super) fn subscribers(node: &Shared, engine: &Own) -> Vec<SocketAddr> {
    let now = node.now();
    let asked: Vec<_> = engine.borrow().subscribers.active(now).collect();
    let world = node.world.borrow();
    let known = world.entries().filter(|_| now < STARTED);
    let others = known.filter(|e| !asked.contains(e)).collect::<Vec<_>>();
    asked.into_iter().chain(others).collect()
}

/// Changes of parts that are to be sent. They are kept while no entry is known: a sidecar that starts reads
/// all that its engine has stored, often before it has read the list of members.
pub(super) fn fresh(node: &Shared, engine: &Own) -> Vec<Held> {
    match subscribers(node, engine).first() {
        Some(_) => std::mem::take(&mut engine.borrow_mut().fresh),
        None => Vec::new(),
    }
}

/// Sends all that the engine holds to some addresses.
pub(super) fn send_whole(
    engine: &Own,
    socket: &UdpSocket,
    update: &Update,
    to: impl IntoIterator<Item = SocketAddr> + Clone,
) {
    let held = engine.borrow().cache.all();
    update::send_parts(socket, update.clone(), &held, to);
}

/// An update without its times, which change from one moment to the next.
pub(super) fn timeless(update: &Update) -> Update {
    Update {
        due_ms: update.due_ms.map(|_| 0),
        loading_ms: update.loading_ms.map(|_| 0),
        sent_us: 0,
        ..update.clone()
    }
}

/// What other sidecars need to know of the engine.
pub(super) fn for_peers(update: &Update) -> Update {
    Update {
        weights: update.weights.clone(),
        engine: update.engine.clone(),
        alive: update.alive,
        busy: update.busy,
        due_ms: update.due_ms,
        loading_ms: update.loading_ms,
        load_ms: update.load_ms,
        wanted: update.wanted,
        claims: update.claims,
        process: update.process,
        sent_us: update.sent_us,
        ..Update::default()
    }
}
