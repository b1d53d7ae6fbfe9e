//! Choosing the sidecars that a request is sent to, in order of preference.
//!
//! This module contains what all policies share: the usable targets of a pool, probes to their
//! sidecars, and the refusal if there is no target.

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
use crate::entry::baseline::{consistent_hash, least_loaded, round_robin};
use crate::entry::by_probes::by_probes;
use crate::entry::probe::Criteria;
use crate::entry::Context;
use crate::settings::Policy;
use crate::view::View;

/// Time after which a refused caller may retry, if no sidecar gives another.
pub(super) const RETRY_AFTER: Micros = Micros::from_secs(1);

/// A sidecar that a request may be sent to.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Target of the sidecar.
    pub target: TargetKey,
    /// Address for exchanges.
    pub address: SocketAddr,
    /// Incarnation of the sidecar, from its offer; 0 if unknown.
    pub incarnation: u64,
    /// Id of the probe that the sidecar answered; 0 if none.
    pub probe_id: u64,
    /// Expected time to the first token, if the sidecar sent an offer.
    pub estimate: Option<OfferEstimate>,
}

/// Time to the first token that a sidecar's offer promises.
#[derive(Clone, Copy, Debug)]
pub struct OfferEstimate {
    /// Time in the target's queue.
    pub wait: Micros,
    /// Time from the end of the queue to the first token.
    pub expected: Micros,
}

/// A probed target with the offer of its sidecar, if it answered.
pub(super) type ProbeResult = (TargetKey, Option<Offer>);

/// Candidates for a request, the best first, or why there is none. Targets in `tried` are
/// omitted.
pub async fn pick(
    cx: &Context,
    view: &View,
    criteria: &Criteria,
    tried: &[TargetKey],
) -> Result<Vec<Candidate>, Failure> {
    let peers = usable_targets(cx, view, criteria, tried);
    if peers.is_empty() {
        return Err(not_run(Code::NoTarget, Some(RETRY_AFTER)));
    }
    match cx.role.policy {
        Policy::ProbePlacement => by_probes(cx, view, criteria, peers).await,
        Policy::LeastLoaded => least_loaded(cx, view, criteria, &peers).await,
        Policy::RoundRobin => Ok(round_robin(cx, view, &peers)),
        Policy::ConsistentHash => Ok(consistent_hash(view, criteria, &peers)),
    }
}

/// Targets of the pool that haven't been tried. Placement by probes omits ejected targets, unless
/// all are ejected.
fn usable_targets(
    cx: &Context,
    view: &View,
    criteria: &Criteria,
    tried: &[TargetKey],
) -> Vec<Peer> {
    let now = clock::now();
    let memory = cx.memory.lock();
    let all: Vec<_> = view
        .world
        .pool_targets(criteria.pool)
        .filter(|(k, _)| !tried.contains(k))
        .map(|(target, t)| Peer {
            target,
            id: t.rank,
            wait: memory.waits.get(&target).copied().unwrap_or_default(),
        })
        .collect();
    if cx.role.policy != Policy::ProbePlacement {
        return all;
    }
    let usable = |p: &&Peer| memory.health.usable(now, p.target) != Use::Out;
    let healthy: Vec<_> = all.iter().filter(usable).copied().collect();
    // Ejected targets are better than none.
    match healthy.is_empty() {
        true => all,
        false => healthy,
    }
}

/// Points of the prompt's chain that probes contain. They include the end of the longest prefix
/// that this entry has seen in other requests.
pub(super) fn marks(cx: &Context, criteria: &Criteria) -> Marks {
    let memory = cx.memory.lock();
    let known = memory
        .recent
        .longest(&criteria.chain)
        .map(|(m, _)| m.blocks);
    Marks::with(&criteria.chain, known)
}

/// Probes the sidecars of these targets concurrently, and records the waits that they report.
pub(super) async fn probe(
    cx: &Context,
    view: &View,
    criteria: &Criteria,
    marks: &Marks,
    targets: &[TargetKey],
) -> Vec<ProbeResult> {
    let probes = targets.iter().map(|t| async {
        let offer = match view.world.targets.get(*t) {
            Some(target) => cx.prober.probe(target.probe, criteria, marks).await,
            None => None,
        };
        (*t, offer)
    });
    let offers = join_all(probes).await;
    let mut m = cx.memory.lock();
    for (t, o) in &offers {
        if let Some(o) = o {
            m.waits.insert(*t, Micros(o.wait));
        }
    }
    offers
}

/// Candidates without an offer.
pub(super) fn without_offers(
    view: &View,
    targets: impl IntoIterator<Item = TargetKey>,
) -> Vec<Candidate> {
    let targets = targets.into_iter();
    targets.filter_map(|t| without_offer(view, t)).collect()
}

/// Candidate without an offer; none if the view has no such target.
pub(super) fn without_offer(view: &View, target: TargetKey) -> Option<Candidate> {
    let t = view.world.targets.get(target)?;
    Some(Candidate {
        target,
        address: t.exchange,
        incarnation: 0,
        probe_id: 0,
        estimate: None,
    })
}

/// One-way network delay to a target; that between regions if the target's host is unknown.
pub(super) fn delay(view: &View, target: TargetKey) -> Micros {
    let w = &view.world;
    let host = w.targets.get(target).and_then(|t| w.hosts.get(t.host));
    host.map_or(model::world::DELAY_BETWEEN_REGIONS, |h| {
        w.link(view.domain, h.domain).delay
    })
}

/// Failure of a request that had no attempt.
pub(super) fn not_run(code: Code, retry: Option<Micros>) -> Failure {
    // Random, so that callers that are refused together don't all retry at the same moment.
    let factor = 1.0 + rand::rng().random::<f64>() / 4.0;
    Failure {
        code,
        outcome: Outcome::NotRun,
        retry: retry.map(|t| Micros((t.0 as f64 * factor) as u64)),
    }
}
