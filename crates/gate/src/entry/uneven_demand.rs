//! Passes an entry's data on targets and requests to [`crate::domains`].

use std::net::SocketAddr;

use model::Micros;
use policy::engine_load::Load;
use policy::opening_demand::{self, Holders};
use policy::ttft_placement::{Candidate, Sources};
use site::{Engine, Prompt, State};
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::candidates::REPORT_DELAY;
use super::fleet::{Fleet, ReplicaKey};
use super::replica::Replica;
use super::request::Job;
use super::usable::REPORT_LIFETIME;
use super::Ctx;
use crate::domains::{self, Penalties, TargetLoad};
use crate::log::{self, Event};
use crate::meter;
use crate::node::domain_key;
use crate::update::{self, Update};

/// Bytes of an answer for each output token: an event with its framing.
const EVENT_BYTES: f64 = 64.0;
/// Load that a plain target without a recent answer is assumed to have. Its domain gets some work once the home domain is
/// short, and its answers then show the load. If it counted as idle, two full domains would send work to each other.
const ASSUMED_LOAD: f64 = 0.75;
/// Greatest wait of an engine for a new copy, as a fraction of the time to compute the opening.
const COPY_WAIT_SHARE: f64 = 0.5;

/// Candidates with the sources that each may fetch from.
pub(super) type Candidates<'a> = [(Candidate<ReplicaKey, SocketAddr>, &'a Sources<SocketAddr>)];

/// Penalties of the domains for a job at engines, in milliseconds.
pub(super) fn place_at_engines(
    ctx: &Ctx,
    fleet: &Fleet,
    job: &Job,
    engine: &Engine,
    prefill_per_token: f64,
) -> Penalties {
    let output = job.prompt.as_ref().map_or(0, |p| p.max_output_tokens);
    let bytes = job.body.len() as f64 + f64::from(output) * EVENT_BYTES;
    let load = |r: &Replica, now, limit| engine_load(r, now, engine, prefill_per_token, limit);
    place(ctx, fleet, job, bytes, |cost, limit| (cost, limit), load)
}

/// Penalties of the domains for a job at a plain service, as shares of a target's slots.
pub(super) fn place_at_plain(ctx: &Ctx, fleet: &Fleet, job: &Job) -> Penalties {
    let load = |r: &Replica, now: Micros, _| {
        let slots = f64::from(r.target.slots.max(1));
        let stated = r.load.filter(|(_, at)| now.since(*at) < REPORT_LIFETIME);
        let (demand, at) = match stated {
            Some((l, at)) => (f64::from(l.running) + f64::from(l.waiting), at),
            None => (ASSUMED_LOAD * slots, now),
        };
        let demand = demand.max(f64::from(r.inflight));
        TargetLoad {
            domain: domain_key(&r.target.domain),
            demand,
            capacity: slots,
            wait: demand / slots,
            at: Some(at),
        }
    };
    let bytes = job.body.len() as f64;
    place(
        ctx,
        fleet,
        job,
        bytes,
        |cost, limit| (cost / limit, 1.0),
        load,
    )
}

/// `scale` converts the cost of the job's bytes and the wait that counts as a load of 1 from milliseconds into the unit
/// of the penalties.
fn place(
    ctx: &Ctx,
    fleet: &Fleet,
    job: &Job,
    bytes: f64,
    scale: impl Fn(f64, f64) -> (f64, f64),
    load: impl Fn(&Replica, Micros, f64) -> TargetLoad,
) -> Penalties {
    let (cost, home) = {
        let s = ctx.node.settings.borrow();
        (s.domain_cost, domain_key(&s.domain))
    };
    let Some(cost) = cost else {
        return Penalties::default();
    };
    let now = ctx.now();
    let (cost, limit) = scale(cost * bytes / 1e6, wait_limit(ctx, job));
    let mut domains = ctx.domains.borrow_mut();
    if domains.is_due(now, &job.pool) {
        let takes_requests = |r: &&Replica| {
            r.target.pool == job.pool
                && r.target.state == State::Ready
                && r.is_present(now)
                && r.breaker.usable(now)
        };
        let targets = fleet.replicas.values().filter(takes_requests);
        let loads = targets.map(|r| load(r, now, limit));
        domains.update(now, &job.pool, home, limit, loads);
    }
    let draw = xxh3_64_with_seed(job.id.as_bytes(), 48) as f64 / u64::MAX as f64;
    domains.place(&job.pool, home, draw, cost)
}

/// Wait in milliseconds that counts as a load of 1 for a job's pool.
fn wait_limit(ctx: &Ctx, job: &Job) -> f64 {
    let plan = ctx.node.plan();
    let routes = plan.iter().flat_map(|p| p.routes_to(&job.pool));
    domains::wait_limit(routes.map(|r| r.latency_goal), job.route.timeout)
}

/// Load of an engine: the part in use of whatever is scarcest there.
fn engine_load(
    r: &Replica,
    now: Micros,
    engine: &Engine,
    prefill_per_token: f64,
    limit: f64,
) -> TargetLoad {
    let unknown = TargetLoad {
        domain: domain_key(&r.target.domain),
        demand: 0.0,
        capacity: 1.0,
        wait: 0.0,
        at: None,
    };
    let recent = |at: Micros| now.since(at) < REPORT_LIFETIME;
    let Some(report) = r.agent_report.filter(|report| recent(report.at)) else {
        return unknown;
    };
    let unread = r.with_unreported(report.unread_tokens, report.at - REPORT_DELAY);
    let tokens: f64 = unread.iter().map(|t| f64::from(*t)).sum();
    let requests = f64::from(report.unread_prompts) + f64::from(report.running);
    let memory = match report.memory_total {
        0 => 0.0,
        total => (f64::from(report.memory_used) + tokens) / f64::from(total),
    };
    let load = Load {
        tokens_ahead: tokens,
        unread_prompts: report.unread_prompts,
        running: report.running,
        memory_used: report.memory_used,
        memory_total: report.memory_total,
        loading_ms: 0.0,
    };
    let slots = requests / f64::from(engine.slots.max(1));
    let backlog = tokens * prefill_per_token / limit;
    let takes_requests = report.alive && !report.loading;
    TargetLoad {
        demand: slots.max(memory).max(backlog),
        capacity: f64::from(u8::from(takes_requests)),
        wait: load.wait(0, prefill_per_token),
        at: Some(report.at),
        ..unknown
    }
}

/// An engine that should get a copy of an opening.
#[derive(Clone, Copy, Debug)]
pub(super) struct Copy {
    /// Index of the engine among the candidates.
    pub(super) index: usize,
    /// Milliseconds by which it becomes cheaper.
    pub(super) discount: f64,
    /// Number of engines that hold the opening or are about to.
    pub(super) holders: usize,
}

/// Counts a job's opening, and returns the engine that should get a copy of it.
///
/// All entries take the first engine without the opening in the opening's own order, so that they make one copy at a
/// time without messages. With a cost of bytes between domains, it is the first one of the home domain.
pub(super) fn copy(
    ctx: &Ctx,
    fleet: &Fleet,
    job: &Job,
    prompt: &Prompt,
    candidates: &Candidates<'_>,
) -> Option<Copy> {
    let home = {
        let s = ctx.node.settings.borrow();
        if !is_in_force(&s) {
            return None;
        }
        s.domain_cost.map(|_| domain_key(&s.domain))
    };
    let subject = prompt.shared().last()?.id.0;
    // Pools and isolated teams have copies of their own.
    let team = job.team.as_deref().filter(|_| job.isolated);
    let owner = xxh3_64_with_seed(team.unwrap_or_default().as_bytes(), subject);
    let opening = xxh3_64_with_seed(job.pool.as_bytes(), owner);
    let tokens = prompt.shared_tokens();
    if tokens < domains::MIN_OPENING_TOKENS {
        return None;
    }
    let now = ctx.now();
    let mut domains = ctx.domains.borrow_mut();
    if job.send_count == 0 {
        domains.record_opening(now, opening);
    }
    let own = prompt.input_tokens.saturating_sub(tokens);
    let holds = |c: &Candidate<ReplicaKey, SocketAddr>| c.held >= tokens;
    let holders = candidates.iter().filter(|(c, _)| holds(c)).count();
    let work = f64::from(own) * candidates.first()?.0.prefill_per_token;
    let needed = Holders {
        count: holders,
        work,
    };
    if !domains.needs_copy(now, opening, &needed) {
        return None;
    }
    let rank = |key: ReplicaKey| {
        let id = fleet.replicas.get(key).map(|r| r.target.boot.id.as_bytes());
        xxh3_64_with_seed(id.unwrap_or_default(), subject)
    };
    let discount = |c: &Candidate<ReplicaKey, SocketAddr>| {
        opening_demand::discount(tokens.saturating_sub(c.held), c.prefill_per_token)
    };
    let free = candidates.iter().enumerate().filter(|(_, (c, sources))| {
        !holds(c) && sources.count() > 0 && c.wait <= discount(c) * COPY_WAIT_SHARE
    });
    let first = free.min_by_key(|(_, (c, _))| {
        let is_elsewhere = home.is_some_and(|h| h != c.domain);
        (is_elsewhere, rank(c.key))
    });
    first.map(|(index, (c, _))| Copy {
        index,
        discount: discount(c),
        holders,
    })
}

/// Logs and counts the copy of an opening.
pub(super) fn log_copy(job: &Job, r: &Replica, subject: u64, copy: Copy) {
    metrics::counter!(meter::OPENING_COPIES).increment(1);
    log::event(&Event::OpeningCopy {
        request: &job.id,
        target: &r.target.boot.id,
        subject: format!("{subject:x}"),
        holders: copy.holders,
    });
}

/// Counts a request by the domain that it was placed in; `is_late` if the usual choice would have been refused.
pub(super) fn count_placed(home: &str, r: &Replica, is_late: bool) {
    let domain = match r.target.domain == home {
        true => "home",
        false if is_late => "other instead of refusal",
        false => "other",
    };
    meter::increment(meter::DOMAIN_REQUESTS, "domain", domain);
}

fn is_in_force(settings: &site::Settings) -> bool {
    settings.pressure || settings.domain_cost.is_some()
}

/// Reports this entry's requests for openings to the other entries.
pub(super) async fn report(ctx: Ctx) {
    loop {
        let entries = ctx.node.cluster.borrow().entries().count() + 1;
        sleep(domains::report_interval(entries)).await;
        // Counts from before a change of the settings are dropped, as they would be reported as new later.
        let report = ctx.domains.borrow_mut().take_report();
        let in_force = is_in_force(&ctx.node.settings.borrow());
        let Some(report) = report.filter(|_| in_force) else {
            continue;
        };
        let update = Update {
            entry: true,
            opening_demand: Some(report),
            ..Update::default()
        };
        update::send(&ctx.socket, &update, ctx.node.cluster.borrow().entries());
    }
}
