//! Choosing the target of a request to a plain service: the one with the smallest share of its
//! slots in use.

use model::Micros;

use super::pick::Pick;
use super::refuse::Reason;
use super::replica::Replica;
use super::request::Job;
use super::usable::{eligible_targets, failure_factor, start_index};
use super::{leaving, rests, suspects, target_limits, uneven_demand, Ctx};
use crate::node::domain_key;

/// Maximum age of the load that a target has stated itself.
const LOAD_LIFETIME: Micros = Micros::from_millis(400);

/// Chooses a target of a plain service.
pub(super) fn pick_plain(ctx: &Ctx, job: &Job) -> Result<Pick, Reason> {
    let now = ctx.now();
    let domain = ctx.node.settings.borrow().domain.clone();
    let fleet = ctx.fleet.borrow();
    let suspect = suspects::is_isolated(ctx, job);
    let stays = |r: &Replica| !leaving::is_leaving(ctx, &r.target.boot);
    let is_usable = |r: &Replica| stays(r) && job.origin.accepts(r);
    let accepted = |r: &Replica| {
        let boot = &r.target.boot;
        is_usable(r)
            && rests::left(ctx, now, boot).is_none()
            && target_limits::admits(ctx, now, boot)
    };
    let eligible = eligible_targets(&fleet, job, now, suspect, accepted);
    let domains = uneven_demand::place_at_plain(ctx, &fleet, job);
    let start = start_index(job, eligible.len());
    let candidates = eligible[start..].iter().chain(&eligible[..start]);
    let best = candidates
        .map(|(key, r)| {
            let penalty = domains.of(domain_key(&r.target.domain));
            (*key, *r, plain_cost(r, &domain, penalty, now))
        })
        .min_by(|a, b| a.2.total_cmp(&b.2));
    let none_left = || target_limits::no_target(ctx, &fleet, job, is_usable);
    let (key, r, cost) = best.ok_or_else(none_left)?;
    if domains.is_in_force() {
        uneven_demand::count_placed(&domain, r, false);
    }
    Ok(Pick {
        key,
        addr: r.target.addr,
        boot: r.target.boot.clone(),
        build: r.target.build.clone(),
        fetch: None,
        save: None,
        scope: None,
        weights: None,
        held: 0,
        shared_prefill_tokens: 0,
        prefill_tokens: 0,
        is_copy: false,
        measures_prefill: false,
        estimate: cost,
        load_age: r.load.map(|(_, at)| now.since(at)),
    })
}

/// Share of a target's slots that would be in use, with penalties for distance and failures.
/// `domain_penalty` is that of the balance between domains.
fn plain_cost(r: &Replica, domain: &str, domain_penalty: f64, now: Micros) -> f64 {
    let load = r.load.filter(|(_, at)| now.since(*at) < LOAD_LIFETIME);
    let requests = load
        .map_or(0, |(l, _)| l.running + l.waiting)
        .max(r.inflight);
    let slots = f64::from(r.target.slots.max(1));
    let distance_penalty = if r.target.domain == domain { 0.0 } else { 0.1 };
    let share = (f64::from(requests) + 1.0) / slots;
    (share + distance_penalty + domain_penalty) * failure_factor(r, now)
}
