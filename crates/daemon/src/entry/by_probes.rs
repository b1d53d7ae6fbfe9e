//! Choosing a replica by probes, with `policy::probe_placement`.
//!
//! A few candidates are probed first, and others if all of these are full. If no sidecar answers at
//! all, the request is sent to the replica that rendezvous hashing assigns to its prefix: lost
//! probes alone must not make requests fail.

use exchange::Failure;
use model::{Code, Micros, TargetKey};
use policy::probe_placement::{self, Choice, Peer};
use prefix::Marks;
use wire::Offer;

use crate::entry::pick::{
    delay, marks, not_run, probe, without_offer, without_offers, Candidate, OfferEstimate,
    ProbeResult, RETRY_AFTER,
};
use crate::entry::probe::Criteria;
use crate::entry::Context;
use crate::view::View;

/// Maximum number of rounds of probes. The second probes other replicas if all of the first are
/// full.
const ROUNDS: usize = 2;

/// Probes in rounds until sidecars that can take the request have answered.
pub(super) async fn by_probes(
    cx: &Context,
    view: &View,
    criteria: &Criteria,
    mut unprobed: Vec<Peer>,
) -> Result<Vec<Candidate>, Failure> {
    let config = cx.memory.lock().placement;
    let marks = marks(cx, criteria);
    let request = placement_request(cx, view, criteria, &marks, &unprobed);
    let mut rounds = Rounds::new(&unprobed);
    for _ in 0..ROUNDS {
        let targets = targets_to_probe(cx, &config, criteria, &unprobed);
        if targets.is_empty() {
            break;
        }
        unprobed.retain(|p| !targets.contains(&p.target));
        let results = probe(cx, view, criteria, &marks, &targets).await;
        if offers(&results).any(|o| o.convicted) {
            return Err(not_run(Code::Quarantined, None));
        }
        let policy_offers: Vec<_> = results.iter().filter_map(policy_offer).collect();
        rounds.record(&results, &policy_offers);
        let delay = |t| delay(view, t);
        let choices = probe_placement::choose(&config, &request, &policy_offers, delay);
        if !choices.is_empty() {
            let candidates = choices.iter();
            let candidates =
                candidates.filter_map(|c| candidate(view, c, &results, marks.blocks()));
            return Ok(candidates.collect());
        }
    }
    rounds.fallback(view, criteria)
}

/// Input of `policy::probe_placement`. Also records the request in the memory of recent prefixes.
fn placement_request(
    cx: &Context,
    view: &View,
    criteria: &Criteria,
    marks: &Marks,
    peers: &[Peer],
) -> probe_placement::PlacementRequest {
    let recent = &mut cx.memory.lock().recent;
    let share = recent.share(&criteria.chain);
    recent.record_request(&criteria.chain);
    probe_placement::PlacementRequest {
        class: criteria.class,
        home: probe_placement::home(&criteria.chain, peers),
        blocks: marks.blocks(),
        heat: share * view.world.pool_targets(criteria.pool).count() as f64,
    }
}

/// Targets to probe in the next round.
fn targets_to_probe(
    cx: &Context,
    config: &probe_placement::Config,
    criteria: &Criteria,
    unprobed: &[Peer],
) -> Vec<TargetKey> {
    let m = &mut *cx.memory.lock();
    probe_placement::replicas_to_probe(config, &criteria.chain, unprobed, &m.recent, &mut m.rng)
}

/// Results of the finished rounds of probes, none of which led to a choice.
struct Rounds {
    /// Targets that may take the request without an offer.
    eligible: Vec<Peer>,
    /// Whether any target serves but is full.
    full: bool,
    /// Shortest time after which a sidecar may be probed again.
    retry: Option<Micros>,
}

impl Rounds {
    fn new(peers: &[Peer]) -> Self {
        Self {
            eligible: peers.to_vec(),
            full: false,
            retry: None,
        }
    }

    /// Records a round. Targets that are loading, leaving or down are removed from the eligible
    /// ones; the others may only be slow to answer.
    fn record(&mut self, results: &[ProbeResult], policy_offers: &[probe_placement::Offer]) {
        let closed: Vec<_> = policy_offers.iter().filter(|o| is_closed(o)).collect();
        self.eligible
            .retain(|p| !closed.iter().any(|o| o.target == p.target));
        self.full |= policy_offers.len() > closed.len();
        let retry = offers(results).map(|o| o.retry).filter(|r| *r > 0).min();
        let retry = retry.map(Micros::from_millis);
        self.retry = [self.retry, retry].into_iter().flatten().min();
    }

    /// Candidates without offers, or why there are none.
    fn fallback(self, view: &View, criteria: &Criteria) -> Result<Vec<Candidate>, Failure> {
        if self.full {
            return Err(not_run(Code::Overloaded, self.retry.or(Some(RETRY_AFTER))));
        }
        if self.eligible.is_empty() {
            return Err(not_run(Code::NoTarget, Some(RETRY_AFTER)));
        }
        let order = probe_placement::rendezvous_order(&criteria.chain, &self.eligible);
        Ok(without_offers(view, order))
    }
}

fn is_closed(o: &probe_placement::Offer) -> bool {
    matches!(
        o.state,
        probe_placement::State::Leaving | probe_placement::State::Loading
    )
}

/// The offers among the results of probes.
fn offers(results: &[ProbeResult]) -> impl Iterator<Item = &Offer> {
    results.iter().filter_map(|(_, o)| o.as_ref())
}

/// Converts an offer into the type of `policy::probe_placement`.
fn policy_offer((target, offer): &ProbeResult) -> Option<probe_placement::Offer> {
    let o = offer.as_ref()?;
    let state = match o.state() {
        wire::State::Serving => probe_placement::State::Serving,
        wire::State::Loading => probe_placement::State::Loading,
        wire::State::Full => probe_placement::State::Full,
        wire::State::Leaving | wire::State::Down => probe_placement::State::Leaving,
    };
    Some(probe_placement::Offer {
        target: *target,
        incarnation: model::Incarnation(o.engine),
        matched: o.matched,
        wait: Micros(o.wait),
        prefill: Micros(o.prefill / 1_000),
        state,
        load: 0,
        busy: f64::from(o.busy) / 1e3,
    })
}

/// Candidate for a choice, with the estimate from its sidecar's offer.
fn candidate(view: &View, c: &Choice, results: &[ProbeResult], blocks: u32) -> Option<Candidate> {
    let (_, offer) = results.iter().find(|(t, _)| *t == c.target)?;
    let o = offer.as_ref()?;
    let missing = u64::from(blocks.saturating_sub(o.matched));
    let delay = delay(view, c.target);
    Some(Candidate {
        incarnation: o.incarnation,
        probe_id: o.id,
        estimate: Some(OfferEstimate {
            wait: Micros(o.wait),
            expected: Micros(missing * o.prefill / 1_000) + delay + delay,
        }),
        ..without_offer(view, c.target)?
    })
}
