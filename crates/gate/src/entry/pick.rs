//! Which target gets a request: what is believed of the targets, handed to the policies.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use model::Micros;
use policy::latency_admission::{self, Decision, Estimate};
use policy::length_partition;
use policy::quarantine::Verdict::Suspect;
use policy::ttft_placement::{self, Sources};
use policy::versions;
use site::{Boot, Engine, Plan, Prompt, Scope};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fleet::{Fleet, Key};
use super::plain::pick_plain;
use super::refuse::Reason;
use super::replica::{holds, Replica};
use super::request::Job;
use super::usable::{all_load, heard, open};
use super::view::View;
use super::{suspects, Ctx};

/// Milliseconds between the first and the last engine in a subject's own order; entries that know
/// nothing of one another's choices then read a new opening on the same engine.
const ORDER: f64 = 12.0;
/// Part of the time to read an opening anew that keeps its first readers at one engine.
const COLD: f64 = 0.6;
/// SharedNode tokens that are worth keeping at least; fewer are read as fast as they are fetched.
const LEAST_KEPT: u32 = 500;
/// Longest own part of a prompt that is kept, as a multiple of the shared tokens that it adds.
const OWN_KEPT: f64 = 0.6;
/// Milliseconds of waiting up to which an engine counts as idle; some requests that it answers.
const IDLE: f64 = 10.0;

/// A target for a request, and how to use it.
#[derive(Clone, Debug)]
pub(super) struct Pick {
    /// The target.
    pub(super) key: Key,
    /// Where it listens.
    pub(super) addr: SocketAddr,
    /// Which life of it.
    pub(super) boot: Boot,
    /// Who it fetches parts from.
    pub(super) fetch: Option<SocketAddr>,
    /// Where it sends parts to be kept.
    pub(super) save: Option<SocketAddr>,
    /// Which cached parts it may use.
    pub(super) scope: Option<Scope>,
    /// The weights that it must have.
    pub(super) weights: Option<u64>,
    /// Tokens of the prompt that it holds.
    pub(super) held: u32,
    /// Tokens of shared parts that it reads.
    pub(super) cold: u32,
    /// Tokens of the prompt that it reads.
    pub(super) read: u32,
    /// Milliseconds until the first token, or the share of its places in use.
    pub(super) estimate: f64,
    /// Whether the prompt finds the engine idle and fetches nothing, so that the time to its first token
    /// tells how fast prompts are read.
    pub(super) idle: bool,
    /// Age of what is believed of its load.
    pub(super) age: Option<Micros>,
}

/// Chooses a target.
pub(super) fn pick(ctx: &Ctx, plan: &Plan, job: &Job) -> Result<Pick, Reason> {
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
    let (domain, allowed) = {
        let s = ctx.node.settings.borrow();
        (s.domain.clone(), Micros::from(s.bounds.weights_deadline))
    };
    let named = ctx
        .node
        .cluster
        .borrow()
        .announced_weights
        .get(&prompt.model)
        .cloned();
    let fleet = ctx.fleet.borrow();
    let wall = job.team.as_deref().filter(|_| job.walled);
    let scope = |r: &Replica| {
        let version = r.weights.get(&prompt.model)?;
        Some(Scope::new(&prompt.model, *version, wall))
    };
    let named = named.unwrap_or_default();
    let may_begin = |r: &Replica, wait: Micros| {
        let version = r.weights.get(&prompt.model);
        let outdated = version.map(|v| named.outdated(now, *v).unwrap_or_default());
        outdated.is_some_and(|age| versions::may_begin(allowed, age, wait))
    };
    let current = |r: &Replica| may_begin(r, Micros::ZERO);
    let suspect = suspects::verdict(ctx, job) == Suspect;
    let open = heard(open(&fleet, job, now, suspect, current), now);
    if let Some(left) = all_load(&open, now) {
        return Err(Reason::Loading { left });
    }
    let subject = prompt.shared().last().map_or(0, |p| p.id.0);
    let known = fleet
        .replicas
        .values()
        .map(|r| scope(r).map_or(0, |s| r.will_hold(now, s.key(), prompt.shared())));
    let missing = prompt.shared_tokens() - known.max().unwrap_or_default();
    let suffers = plan.routes_to(&job.pool).any(|route| {
        route.mode.is_stream()
            && length_partition::stalls_streams(
                engine.tokens_per_event,
                route.event_gap_goal.as_secs_f64() * 1e3,
            )
    });
    let read = ctx.prefill_rate(&job.pool, |p| p.ms_per_token());
    let view = View {
        now,
        domain: &domain,
        prompt,
        engine,
        named: &named,
        subject,
        long: long(&fleet, &ctx.work.borrow(), &job.pool, suffers),
        order: ORDER + f64::from(missing) * read * COLD,
        read,
    };
    // Engines of one version share their sources; two or three versions are about at a time.
    let mut sources: HashMap<u64, Sources<SocketAddr>> = HashMap::new();
    for (_, r) in &open {
        let (Some(scope), Some(version)) = (scope(r), r.weights.get(&prompt.model)) else {
            continue;
        };
        let all = || view.sources(&fleet, plan, job, scope.key(), *version);
        sources.entry(scope.key()).or_insert_with(all);
    }
    let candidates = open.iter().filter_map(|(key, r)| {
        let scope = scope(r)?.key();
        let held = r.will_hold(now, scope, &prompt.parts);
        let candidate = view.candidate(*key, r, held);
        let wait = Micros::from_millis(candidate.wait as u64);
        may_begin(r, wait).then_some((candidate, sources.get(&scope)?))
    });
    let choice = ttft_placement::choose(prompt.input_tokens, candidates).ok_or(Reason::NoTarget)?;
    let estimate = Estimate {
        wait: choice.wait,
        prefill: (choice.ttft - choice.wait).max(0.0),
        latency_goal: job.route.latency_goal.as_secs_f64() * 1e3,
        time_left: job.left(now).as_secs_f64() * 1e3,
    };
    // What has run can't be refused any more: its caller gets the rest now, also late, or never.
    let fresh = job.runs == 0;
    if let (Decision::Refuse(over), true) = (latency_admission::decide(&estimate), fresh) {
        return Err(Reason::Late {
            wait: Micros::from_millis(choice.wait as u64),
            over: Micros::from_millis(over as u64),
        });
    }
    let own = prompt.input_tokens.saturating_sub(prompt.shared_tokens());
    let r = fleet.replicas.get(choice.key).ok_or(Reason::NoTarget)?;
    let scope = scope(r);
    let held = scope
        .as_ref()
        .map_or(0, |s| r.will_hold(now, s.key(), &prompt.parts));
    Ok(Pick {
        key: choice.key,
        addr: r.target.addr,
        boot: r.target.boot.clone(),
        fetch: choice.fetch,
        save: scope
            .as_ref()
            .and_then(|s| save(&fleet, plan, prompt, s.key())),
        weights: r.weights.get(&prompt.model).copied(),
        scope,
        held,
        cold: choice.prefill_tokens.saturating_sub(own),
        read: choice.prefill_tokens,
        idle: choice.fetch.is_none() && choice.wait <= IDLE,
        estimate: choice.ttft,
        age: r.heard.map(|h| now.since(h.at)),
    })
}

/// Where the prompt's shared parts are to be kept: in the subject's own store, if it lacks some.
///
/// An engine sends the whole prompt, its own last part too, which nobody will ask for again. Prompts
/// whose own part is long beside what they would add are left for a later, shorter one of the same
/// subject, or the store would be full of what is of no use.
fn save(fleet: &Fleet, plan: &Plan, prompt: &Prompt, scope: u64) -> Option<SocketAddr> {
    let subject = prompt.shared().last()?.id.0;
    let rank = |a: &SocketAddr| xxh3_64_with_seed(a.to_string().as_bytes(), subject);
    let stores = plan.kv_stores().iter().map(|k| k.addr);
    let store = stores.min_by_key(rank)?;
    let held = &fleet.kept.get(&store)?.held;
    let missing = prompt.shared_tokens() - holds(held, scope, prompt.shared());
    let own = prompt.input_tokens.saturating_sub(prompt.shared_tokens());
    let worth = missing >= LEAST_KEPT && f64::from(own) <= f64::from(missing) * OWN_KEPT;
    worth.then_some(store)
}

/// The engines of a pool that are for long prompts, in an order that all entries see.
fn long(
    fleet: &Fleet,
    work: &length_partition::RecentWork,
    pool: &str,
    suffers: bool,
) -> Option<HashSet<String>> {
    if !suffers {
        return None;
    }
    let engines = fleet.replicas.values().filter(|r| r.target.pool == pool);
    let mut ids: Vec<_> = engines.map(|r| &r.target.boot.id).collect();
    ids.sort_by_cached_key(|id| xxh3_64_with_seed(id.as_bytes(), 7));
    let part = work.long_engines(ids.len());
    Some(ids.into_iter().take(part).cloned().collect())
}
