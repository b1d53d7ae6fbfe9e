//! Choosing the target of a request: builds the inputs of the placement policies and turns their
//! choice into a [`Pick`].

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use model::Micros;
use policy::latency_admission::{self, Decision, Estimate};
use policy::length_partition;
use policy::ttft_placement::{self, Choice, Sources};
use policy::versions;
use site::{Boot, Engine, Plan, Prompt, Scope};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::candidates::CandidateBuilder;
use super::fleet::{Fleet, ReplicaKey};
use super::plain::pick_plain;
use super::refuse::Reason;
use super::replica::{held_prefix, Replica};
use super::request::Job;
use super::usable::{all_loading, eligible_targets, with_recent_report};
use super::{leaving, origins, rests, suspects, target_limits, uneven_demand, Ctx};

/// Largest penalty, in milliseconds, for an engine's position in a subject's own order of engines.
/// With this order, entries that have no data on one another's choices prefill a new opening on the
/// same engine.
const MAX_ORDER_PENALTY: f64 = 12.0;
/// Fraction of the time to prefill an opening that no engine holds by which the order penalty is
/// raised, so that the first requests for that opening go to one engine.
const COLD_PENALTY_SHARE: f64 = 0.6;
/// Least number of missing shared tokens for which a prompt is saved to a KV store; prefilling
/// fewer takes no longer than fetching them.
const MIN_SAVED_TOKENS: u32 = 500;
/// Longest unshared part of a prompt that is saved, as a multiple of the shared tokens that it adds
/// to the store.
const MAX_OWN_RATIO: f64 = 0.6;
/// Longest wait in milliseconds at which an engine counts as idle; such a wait is caused by a few
/// running requests.
const MAX_IDLE_WAIT_MS: f64 = 10.0;

/// The target chosen for a request, and how the request uses it.
#[derive(Clone, Debug)]
pub(super) struct Pick {
    /// Key of the target.
    pub(super) key: ReplicaKey,
    /// Address of the target.
    pub(super) addr: SocketAddr,
    /// Incarnation of the target.
    pub(super) boot: Boot,
    /// Version of the target's software.
    pub(super) build: String,
    /// Address of the engine or store from which the target fetches cached parts.
    pub(super) fetch: Option<SocketAddr>,
    /// Address of the KV store to which the target saves parts.
    pub(super) save: Option<SocketAddr>,
    /// Scope of the cached parts that the target may use.
    pub(super) scope: Option<Scope>,
    /// Version of the weights that the target must have loaded.
    pub(super) weights: Option<u64>,
    /// Tokens of the prompt that the target holds or will hold soon.
    pub(super) held: u32,
    /// Tokens of the prompt's shared parts that the target prefills.
    pub(super) shared_prefill_tokens: u32,
    /// Tokens of the prompt that the target prefills.
    pub(super) prefill_tokens: u32,
    /// Estimated milliseconds until the first token; for a plain service, the share of the target's
    /// slots in use, with penalties for distance and failures.
    pub(super) estimate: f64,
    /// Whether the request makes a copy of an opening whose rate rises.
    pub(super) is_copy: bool,
    /// Whether the engine is idle and fetches nothing for this prompt, so that the time to the
    /// first token measures the prefill rate.
    pub(super) measures_prefill: bool,
    /// Age of the load data that the choice is based on.
    pub(super) load_age: Option<Micros>,
    /// Duration of the target's work as a multiple of its pool's, where that counts.
    pub(super) speed: Option<f64>,
}

/// Chooses a target for a job.
pub(super) fn pick(ctx: &Ctx, plan: &Plan, job: &Job) -> Result<Pick, Reason> {
    origins::check(ctx, job)?;
    let engine = plan.pool(&job.pool).and_then(|p| p.engine);
    match (&job.prompt, engine) {
        (Some(prompt), Some(engine)) => pick_engine(ctx, plan, job, prompt, engine),
        _ => pick_plain(ctx, job),
    }
}

fn pick_engine(
    ctx: &Ctx,
    plan: &Plan,
    job: &Job,
    prompt: &Prompt,
    engine: Engine,
) -> Result<Pick, Reason> {
    let now = ctx.now();
    let (domain, allowed, pressure, domain_cost) = {
        let s = ctx.node.settings.borrow();
        let allowed = Micros::from(s.bounds.weights_deadline);
        (s.domain.clone(), allowed, s.pressure, s.domain_cost)
    };
    let announced = ctx
        .node
        .cluster
        .borrow()
        .announced_weights
        .get(&prompt.model)
        .cloned();
    let fleet = ctx.fleet.borrow();
    let isolated_team = job.team.as_deref().filter(|_| job.isolated);
    let scope = |r: &Replica| {
        let version = r.weights.get(&prompt.model)?;
        Some(Scope::new(&prompt.model, *version, isolated_team))
    };
    let announced = announced.unwrap_or_default();
    let may_begin = |r: &Replica, wait: Micros| {
        let version = r.weights.get(&prompt.model);
        let outdated = version.map(|v| announced.outdated(now, *v).unwrap_or_default());
        outdated.is_some_and(|age| versions::may_begin(allowed, age, wait))
    };
    let is_current = |r: &Replica| may_begin(r, Micros::ZERO);
    let suspect = suspects::is_isolated(ctx, job);
    let stays = |r: &Replica| !leaving::is_leaving(ctx, &r.target.boot);
    let is_usable = |r: &Replica| stays(r) && is_current(r) && job.origin.accepts(r);
    let accepted = |r: &Replica| {
        let boot = &r.target.boot;
        is_usable(r)
            && rests::left(ctx, now, boot).is_none()
            && target_limits::admits(ctx, now, boot)
    };
    let eligible = with_recent_report(eligible_targets(&fleet, job, now, suspect, accepted), now);
    if eligible.is_empty() {
        return Err(target_limits::no_target(ctx, &fleet, job, is_usable));
    }
    if let Some(remaining) = all_loading(&eligible, now) {
        return Err(Reason::Loading { remaining });
    }
    let subject = prompt.shared().last().map_or(0, |p| p.id.0);
    let known = fleet
        .replicas
        .values()
        .map(|r| scope(r).map_or(0, |s| r.will_hold(now, s.key(), prompt.shared())));
    let missing = prompt.shared_tokens() - known.max().unwrap_or_default();
    let stalls = plan.routes_to(&job.pool).any(|route| {
        route.mode.is_stream()
            && length_partition::stalls_streams(
                engine.tokens_per_event,
                route.event_gap_goal.as_secs_f64() * 1e3,
            )
    });
    let prefill_per_token = ctx.prefill_rate(&job.pool, |p| p.ms_per_token());
    let domains = uneven_demand::place_at_engines(ctx, &fleet, job, &engine, prefill_per_token);
    let speeds = fleet.speeds.get(&job.pool, pressure);
    let builder = CandidateBuilder {
        now,
        domain: &domain,
        prompt,
        engine,
        announced: &announced,
        subject,
        long_engines: long_engines(&fleet, &ctx.recent_work.borrow(), &job.pool, stalls),
        max_order_penalty: MAX_ORDER_PENALTY
            + f64::from(missing) * prefill_per_token * COLD_PENALTY_SHARE,
        prefill_per_token,
        answer_ms: pressure.then(|| answer_ms(ctx, job, prompt)),
        latency_goal: job.route.latency_goal.as_secs_f64() * 1e3,
        domain_cost,
        domains: &domains,
        speeds,
        event_gap_goal: job.route.event_gap_goal.as_secs_f64() * 1e3,
    };
    // Engines with the same weights share their sources; rarely more than two or three versions are
    // loaded at the same time.
    let mut sources: HashMap<u64, Sources<SocketAddr>> = HashMap::new();
    for (_, r) in &eligible {
        let (Some(scope), Some(version)) = (scope(r), r.weights.get(&prompt.model)) else {
            continue;
        };
        let all = || builder.sources(&fleet, plan, job, scope.key(), *version);
        sources.entry(scope.key()).or_insert_with(all);
    }
    let candidates = eligible.iter().filter_map(|(key, r)| {
        let scope = scope(r)?.key();
        let held = r.will_hold(now, scope, &prompt.parts);
        let candidate = builder.candidate(*key, r, held);
        let wait = Micros::from_millis(candidate.wait as u64);
        may_begin(r, wait).then_some((candidate, sources.get(&scope)?))
    });
    let mut candidates: Vec<_> = candidates.collect();
    let copy = uneven_demand::copy(ctx, &fleet, job, prompt, &candidates);
    if let Some((copy, c)) = copy.and_then(|copy| Some((copy, candidates.get_mut(copy.index)?))) {
        c.0.discount = copy.discount;
    }
    let choose = |balanced: bool| {
        let candidates = candidates.iter().map(|(c, sources)| {
            let c = if balanced { *c } else { domains.undo(c) };
            (c, *sources)
        });
        ttft_placement::choose(prompt.input_tokens, candidates).ok_or(Reason::NoTarget)
    };
    let estimate = |choice: &Choice<ReplicaKey, SocketAddr>| Estimate {
        wait: choice.wait,
        prefill: (choice.ttft - choice.wait).max(0.0),
        latency_goal: job.route.latency_goal.as_secs_f64() * 1e3,
        time_left: job.time_left(now).as_secs_f64() * 1e3,
    };
    let mut choice = choose(true)?;
    let mut decision = latency_admission::decide(&estimate(&choice));
    let is_late = matches!(decision, Decision::Refuse(_));
    if is_late && (domains.is_in_force() || copy.is_some()) {
        // A surplus of another domain is used before a request is refused, and no request is refused to make a copy.
        choice = choose(false)?;
        decision = latency_admission::decide(&estimate(&choice));
    }
    // A request that has run isn't refused for being late: its caller gets the rest of the answer
    // now, even if late, or never.
    let not_run_yet = job.run_count == 0;
    if let (Decision::Refuse(excess), true) = (decision, not_run_yet) {
        return Err(Reason::Late {
            wait: Micros::from_millis(choice.wait as u64),
            excess: Micros::from_millis(excess as u64),
        });
    }
    let own = prompt.input_tokens.saturating_sub(prompt.shared_tokens());
    let r = fleet.replicas.get(choice.key).ok_or(Reason::NoTarget)?;
    let scope = scope(r);
    let held = scope
        .as_ref()
        .map_or(0, |s| r.will_hold(now, s.key(), &prompt.parts));
    let copy = copy.filter(|copy| {
        candidates
            .get(copy.index)
            .is_some_and(|c| c.0.key == choice.key)
    });
    if let Some(copy) = copy {
        uneven_demand::log_copy(job, r, subject, copy);
    }
    if domains.is_in_force() {
        uneven_demand::count_placed(&domain, r, is_late);
    }
    Ok(Pick {
        key: choice.key,
        addr: r.target.addr,
        boot: r.target.boot.clone(),
        build: r.target.build.clone(),
        fetch: choice.fetch,
        save: scope
            .as_ref()
            .and_then(|s| store_to_save_in(&fleet, plan, prompt, s.key())),
        weights: r.weights.get(&prompt.model).copied(),
        scope,
        held,
        shared_prefill_tokens: choice.prefill_tokens.saturating_sub(own),
        prefill_tokens: choice.prefill_tokens,
        is_copy: copy.is_some(),
        measures_prefill: choice.fetch.is_none() && choice.wait <= MAX_IDLE_WAIT_MS,
        estimate: choice.ttft,
        load_age: r.agent_report.map(|report| now.since(report.at)),
        speed: speeds.map(|s| s.factors(now, &r.speed).prefill),
    })
}

/// Milliseconds that the answer is expected to take after its first event.
fn answer_ms(ctx: &Ctx, job: &Job, prompt: &Prompt) -> f64 {
    let times = ctx.answer_times.borrow();
    let time = times.get(&job.pool).copied().unwrap_or_default();
    time.estimate(prompt.max_output_tokens)
}

/// The KV store to which an engine saves the prompt's shared parts: the store that the subject
/// hashes to, if it lacks enough of them.
///
/// An engine saves the whole prompt, including its unshared last part, which no other request can
/// use. If that part is long relative to the tokens that the prompt would add, nothing is saved,
/// and the shared parts are left to a later, shorter prompt of the subject. Otherwise the store
/// would fill up with tokens that are never fetched.
fn store_to_save_in(fleet: &Fleet, plan: &Plan, prompt: &Prompt, scope: u64) -> Option<SocketAddr> {
    let subject = prompt.shared().last()?.id.0;
    let rank = |a: &SocketAddr| xxh3_64_with_seed(a.to_string().as_bytes(), subject);
    let stores = plan.kv_stores().iter().map(|k| k.addr);
    let store = stores.min_by_key(rank)?;
    let held = &fleet.kv_stores.get(&store)?.held;
    let missing = prompt.shared_tokens() - held_prefix(held, scope, prompt.shared());
    let own = prompt.input_tokens.saturating_sub(prompt.shared_tokens());
    let worth_saving =
        missing >= MIN_SAVED_TOKENS && f64::from(own) <= f64::from(missing) * MAX_OWN_RATIO;
    worth_saving.then_some(store)
}

/// The engines of a pool that are reserved for long prompts, if prefills would stall the pool's
/// streams. The engines are taken from an order that is the same for all entries.
fn long_engines(
    fleet: &Fleet,
    work: &length_partition::RecentWork,
    pool: &str,
    stalls: bool,
) -> Option<HashSet<String>> {
    if !stalls {
        return None;
    }
    let engines = fleet.replicas.values().filter(|r| r.target.pool == pool);
    let mut ids: Vec<_> = engines.map(|r| &r.target.boot.id).collect();
    ids.sort_by_cached_key(|id| xxh3_64_with_seed(id.as_bytes(), 7));
    let part = work.long_engines(ids.len());
    Some(ids.into_iter().take(part).cloned().collect())
}
