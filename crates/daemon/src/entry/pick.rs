//! Which sidecars a request is offered to, in order.
//!
//! Here is what all ways to choose share: the targets that come into question, probes to them, and
//! the refusal if there is none.

use std::net::SocketAddr;

use exchange::Failure;
use futures::future::join_all;
use model::{Code, Micros, Outcome, TargetKey};
use policy::health::Use;
use policy::probe_placement::Peer;
use prefix::Marks;
use rand::Rng;
use wire::Offer;

use crate::clock;
use crate::entry::baseline::{hashed, least_loaded, turns};
use crate::entry::ours::ours;
use crate::entry::probe::Wanted;
use crate::entry::Context;
use crate::settings::Policy;
use crate::view::View;

/// When a refused caller may come back, if no sidecar says so.
pub(super) const PAUSE: Micros = Micros::from_secs(1);

/// A sidecar to offer a request to.
#[derive(Clone, Debug)]
pub struct Picked {
    /// The target behind it.
    pub target: TargetKey,
    /// Its exchange address.
    pub address: SocketAddr,
    /// Its life, if it said so; else 0.
    pub life: u64,
    /// The probe that it answered; else 0.
    pub probe: u64,
    /// What it told, if it did.
    pub cost: Option<Told>,
}

/// What a sidecar told of the time to a first token.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    /// How long the request would wait for its turn.
    pub wait: Micros,
    /// The rest of the time.
    pub expected: Micros,
}

/// One target with the answer to its probe.
pub(super) type Answered = (TargetKey, Option<Offer>);

/// Sidecars for a request, the best first, or why there is none. Those tried before are left out.
pub async fn pick(
    cx: &Context,
    view: &View,
    want: &Wanted,
    tried: &[TargetKey],
) -> Result<Vec<Picked>, Failure> {
    let peers = peers(cx, view, want, tried);
    if peers.is_empty() {
        return Err(failure(Code::NoTarget, Some(PAUSE)));
    }
    match cx.role.policy {
        Policy::Ours => ours(cx, view, want, peers).await,
        Policy::LeastLoaded => least_loaded(cx, view, want, &peers).await,
        Policy::RoundRobin => Ok(turns(cx, view, &peers)),
        Policy::ConsistentHash => Ok(hashed(view, want, &peers)),
    }
}

/// Targets of the pool that weren't tried; of these, under the project's own policy, the healthy.
fn peers(cx: &Context, view: &View, want: &Wanted, tried: &[TargetKey]) -> Vec<Peer> {
    let now = clock::now();
    let memory = cx.memory.lock();
    let all: Vec<_> = view
        .world
        .pool_targets(want.pool)
        .filter(|(k, _)| !tried.contains(k))
        .map(|(target, t)| Peer {
            target,
            id: t.rank,
            wait: memory.waits.get(&target).copied().unwrap_or_default(),
        })
        .collect();
    if cx.role.policy != Policy::Ours {
        return all;
    }
    let usable = |p: &&Peer| memory.health.usable(now, p.target) != Use::Out;
    let good: Vec<_> = all.iter().filter(usable).copied().collect();
    // Slow targets are better than none.
    match good.is_empty() {
        true => all,
        false => good,
    }
}

/// The points to ask about, among them the deepest that this entry knows to be shared.
pub(super) fn marks(cx: &Context, want: &Wanted) -> Marks {
    let memory = cx.memory.lock();
    let known = memory.recent.longest(&want.chain).map(|(m, _)| m.blocks);
    Marks::with(&want.chain, known)
}

/// Probes all of these at once.
pub(super) async fn probe(
    cx: &Context,
    view: &View,
    want: &Wanted,
    marks: &Marks,
    asked: &[TargetKey],
) -> Vec<Answered> {
    let asks = asked.iter().map(|t| async {
        let offer = match view.world.targets.get(*t) {
            Some(target) => cx.probes.ask(target.probe, want, marks).await,
            None => None,
        };
        (*t, offer)
    });
    let offers = join_all(asks).await;
    let mut m = cx.memory.lock();
    for (t, o) in &offers {
        if let Some(o) = o {
            m.waits.insert(*t, Micros(o.wait));
        }
    }
    offers
}

/// Sidecars to be offered a request without a word from them.
pub(super) fn unprobed_all(
    view: &View,
    targets: impl IntoIterator<Item = TargetKey>,
) -> Vec<Picked> {
    let targets = targets.into_iter();
    targets.filter_map(|t| unprobed(view, t)).collect()
}

/// A sidecar to be offered a request without a word from it.
pub(super) fn unprobed(view: &View, target: TargetKey) -> Option<Picked> {
    let t = view.world.targets.get(target)?;
    Some(Picked {
        target,
        address: t.exchange,
        life: 0,
        probe: 0,
        cost: None,
    })
}

/// One way to a target; far if it isn't known where it is.
pub(super) fn delay(view: &View, target: TargetKey) -> Micros {
    let w = &view.world;
    let host = w.targets.get(target).and_then(|t| w.hosts.get(t.host));
    host.map_or(model::world::DELAY_BETWEEN_REGIONS, |h| {
        w.link(view.domain, h.domain).delay
    })
}

/// A refusal before any attempt.
pub(super) fn failure(code: Code, retry: Option<Micros>) -> Failure {
    // Spread, so that those refused together don't come back together.
    let spread = 1.0 + rand::rng().random::<f64>() / 4.0;
    Failure {
        code,
        outcome: Outcome::NotRun,
        retry: retry.map(|t| Micros((t.0 as f64 * spread) as u64)),
    }
}
