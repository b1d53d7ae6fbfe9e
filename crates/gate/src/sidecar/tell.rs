//! What a sidecar tells the entries and the other sidecars.

use std::net::SocketAddr;

use site::Weights;
use tokio::net::UdpSocket;

use super::{Own, STARTED};
use crate::news::{self, Held, Loaded, News};
use crate::world::Shared;

/// The engine's load and weights.
pub(super) fn summary(node: &Shared, engine: &Own) -> News {
    let now = node.now();
    let mut e = engine.borrow_mut();
    e.ledger.expire(now);
    let addr = node.settings.borrow().engine;
    let mut news = News {
        engine: addr.map(|a| a.to_string()).unwrap_or_default(),
        alive: e.alive,
        ended: e.ended,
        epoch: e.cache.epoch,
        tokens: e.ledger.unread().to_vec(),
        ..News::default()
    };
    if let Some(r) = &e.report {
        news.weights = r.weights.iter().map(loaded).collect();
        news.busy = r.busy;
        news.begun = r.begun;
        news.unread = (r.active + r.queued).saturating_sub(r.begun);
        news.used = r.used;
        news.total = r.total;
    }
    e.rollout.report(now, &mut news);
    // From its own order on, before the engine's report shows it.
    news.busy |= news.loading_ms.is_some();
    news
}

fn loaded(weights: &Weights) -> Loaded {
    Loaded {
        model: weights.model.clone(),
        version: weights.version,
    }
}

/// Those whom the sidecar tells: entries that have asked and, as long as it has just started and they
/// may not have asked yet, all that are known.
pub(super) fn subscribers(node: &Shared, engine: &Own) -> Vec<SocketAddr> {
    let now = node.now();
    let asked: Vec<_> = engine.borrow().subscribers.active(now).collect();
    let world = node.world.borrow();
    let known = world.entries().filter(|_| now < STARTED);
    let others = known.filter(|e| !asked.contains(e)).collect::<Vec<_>>();
    asked.into_iter().chain(others).collect()
}

/// What is to be told of parts. While no entry is known it is kept: a sidecar that starts reads all
/// that its engine has stored, often before it has read who the entries are.
pub(super) fn fresh(node: &Shared, engine: &Own) -> Vec<Held> {
    match subscribers(node, engine).first() {
        Some(_) => std::mem::take(&mut engine.borrow_mut().fresh),
        None => Vec::new(),
    }
}

/// Tells some addresses all that the engine holds.
pub(super) fn tell_whole(
    engine: &Own,
    socket: &UdpSocket,
    news: &News,
    to: impl IntoIterator<Item = SocketAddr> + Clone,
) {
    let held = engine.borrow().cache.all();
    news::send_parts(socket, news.clone(), &held, to);
}

/// News without its times, which change from one moment to the next.
pub(super) fn timeless(news: &News) -> News {
    News {
        due_ms: news.due_ms.map(|_| 0),
        loading_ms: news.loading_ms.map(|_| 0),
        sent_us: 0,
        ..news.clone()
    }
}

/// What other sidecars need to know of the engine.
pub(super) fn for_peers(news: &News) -> News {
    News {
        weights: news.weights.clone(),
        engine: news.engine.clone(),
        alive: news.alive,
        busy: news.busy,
        due_ms: news.due_ms,
        loading_ms: news.loading_ms,
        load_ms: news.load_ms,
        wanted: news.wanted,
        claims: news.claims,
        process: news.process,
        sent_us: news.sent_us,
        ..News::default()
    }
}
