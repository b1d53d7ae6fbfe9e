//! Choosing the target of a request to a plain service: the one with the smallest share of its
//! slots in use. Where the speed of targets counts, a target takes requests in proportion to it, and
//! its requests count by the time that they take.

use model::Micros;
use policy::engine_speed;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

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
    let (domain, pressure) = {
        let s = ctx.node.settings.borrow();
        (s.domain.clone(), s.pressure)
    };
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
    let speeds = fleet.speeds.get(&job.pool, pressure);
    let factor = |r: &Replica| speeds.map_or(1.0, |s| s.factors(now, &r.speed).prefill);
    let factors = eligible.iter().map(|(_, r)| factor(r));
    let least = factors.min_by(f64::total_cmp).unwrap_or(1.0);
    let slowness = |r: &Replica| Slowness {
        factor: factor(r),
        takes: engine_speed::takes(factor(r), least, draw(job, r)),
    };
    let start = start_index(job, eligible.len());
    let candidates = eligible[start..].iter().chain(&eligible[..start]);
    let best = candidates
        .map(|(key, r)| {
            let penalty = domains.of(domain_key(&r.target.domain));
            let cost = plain_cost(r, &domain, penalty, now, slowness(r));
            (*key, *r, cost)
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
        speed: speeds.map(|s| s.factors(now, &r.speed).prefill),
    })
}

/// How slow a target is, for one request.
#[derive(Clone, Copy)]
struct Slowness {
    /// Duration of its work as a multiple of the pool's.
    factor: f64,
    /// Whether it takes the request as soon as a faster target would.
    takes: bool,
}

/// A number from 0 to 1 for a request and a target.
fn draw(job: &Job, r: &Replica) -> f64 {
    let seed = xxh3_64(r.target.boot.id.as_bytes());
    xxh3_64_with_seed(job.id.as_bytes(), seed) as f64 / u64::MAX as f64
}

/// Share of a target's slots that would be in use, with penalties for distance and failures.
/// `domain_penalty` is that of the balance between domains.
fn plain_cost(
    r: &Replica,
    domain: &str,
    domain_penalty: f64,
    now: Micros,
    slowness: Slowness,
) -> f64 {
    let load = r.load.filter(|(_, at)| now.since(*at) < LOAD_LIFETIME);
    let requests = load
        .map_or(0, |(l, _)| l.running + l.waiting)
        .max(r.inflight);
    let slots = f64::from(r.target.slots.max(1));
    let distance_penalty = if r.target.domain == domain { 0.0 } else { 0.1 };
    let skipped = if slowness.takes { 0.0 } else { 1.0 };
    let requests = f64::from(requests) * slowness.factor + 1.0 + skipped;
    (requests / slots + distance_penalty + domain_penalty) * failure_factor(r, now)
}
