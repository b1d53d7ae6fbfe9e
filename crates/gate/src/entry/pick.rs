//! Which target gets a request: what is believed of the targets, handed to the policies.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use model::Micros;
use policy::apart;
use policy::hearing;
use policy::lateness::{self, Prospect, Verdict};
use policy::outlook::{self, Load, READ};
use policy::quarantine::Verdict::Suspect;
use policy::spot::{self, Candidate, Source, Sources};
use policy::urgency;
use policy::versions::Versions;
use site::{Boot, Engine, Plan, Prompt, Scope, State};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fleet::{Fleet, Key};
use super::refuse::Reason;
use super::replica::{holds, Replica};
use super::request::Job;
use super::{suspects, Ctx};
use crate::world::domain_key;

/// How long an entry's word takes to reach a sidecar and to come back as news.
const TRANSIT: Micros = Micros::from_millis(5);
/// Milliseconds that crossing failure domains is taken for.
const FAR: f64 = 3.0;
/// Milliseconds between the first and the last engine in a subject's own order; entries that know
/// nothing of one another's choices then read a new opening on the same engine.
const ORDER: f64 = 12.0;
/// Part of the time to read an opening anew that keeps its first readers at one engine.
const COLD: f64 = 0.6;
/// Shared tokens that are worth keeping at least; fewer are read as fast as they are fetched.
const LEAST_KEPT: u32 = 500;
/// Longest own part of a prompt that is kept, as a multiple of the shared tokens that it adds.
const OWN_KEPT: f64 = 0.6;
/// Part of the time to read a token that taking it in costs others, by what has to yield for it.
const ROOM: f64 = 0.8;
/// Milliseconds before a fetched token moves.
const SETUP: f64 = 2.0;
/// Part of the time allowed after which no request begins on older weights.
const OLD_END: f64 = 0.8;
/// Age up to which a sidecar's news counts.
const HEARD: Micros = Micros::from_millis(1_500);
/// Age of news after which an engine may have vanished with its host; sidecars tell five times a
/// second.
const FRESH: Micros = Micros::from_millis(700);
/// Age up to which a target's own count counts.
const LOAD: Micros = Micros::from_millis(400);

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

/// Targets of a job's pool that take new work, those not tried yet if there are any. A suspect goes
/// where no other one is, if it can: a crash then tells which of them it was.
fn open<'a>(fleet: &'a Fleet, job: &Job, now: Micros, suspect: bool) -> Vec<(Key, &'a Replica)> {
    let ready: Vec<_> = fleet
        .replicas
        .iter()
        .filter(|(_, r)| r.target.pool == job.pool && r.target.state == State::Ready)
        .filter(|(_, r)| r.there())
        .collect();
    let some = |test: &dyn Fn(&(Key, &Replica)) -> bool| {
        let passed: Vec<_> = ready.iter().copied().filter(|c| test(c)).collect();
        (!passed.is_empty()).then_some(passed)
    };
    let fresh = |c: &(Key, &Replica)| !job.tried.contains(&c.0);
    let usable = |c: &(Key, &Replica)| c.1.standing.usable(now) && answers(c.1, now);
    let apart = |c: &(Key, &Replica)| !suspect || c.1.suspects == 0;
    let stays = |c: &(Key, &Replica)| !leaves(c.1, now);
    some(&|c| fresh(c) && usable(c) && stays(c) && apart(c))
        .or_else(|| some(&|c| fresh(c) && usable(c) && stays(c)))
        .or_else(|| some(&|c| fresh(c) && usable(c)))
        .or_else(|| some(&|c| fresh(c)))
        .unwrap_or_default()
}

/// Whether the sidecar, if it has been heard lately, says that the engine answers and isn't loading
/// weights; while it loads it refuses all that is new.
fn answers(replica: &Replica, now: Micros) -> bool {
    let heard = replica.heard.filter(|h| now.since(h.at) < HEARD);
    heard.is_none_or(|h| h.alive && !h.busy)
}

/// Whether its turn to load weights has come, so that what is sent there now is refused.
fn leaves(replica: &Replica, now: Micros) -> bool {
    let heard = replica.heard.filter(|h| now.since(h.at) < HEARD);
    heard.is_some_and(|h| h.due())
}

/// How long all of some engines go on loading weights, if they do; they refuse what is new until then.
fn all_load(open: &[(Key, &Replica)], now: Micros) -> Option<Micros> {
    let left = |r: &Replica| {
        let heard = r.heard.filter(|h| h.busy && now.since(h.at) < HEARD)?;
        Some(heard.loaded.unwrap_or(now).since(now))
    };
    let all: Option<Vec<_>> = open.iter().map(|(_, r)| left(r)).collect();
    all?.into_iter().min()
}

/// Those of a pool's engines that are heard of. Up to some number all are, or the words of those that
/// aren't are lost; beyond it the others look idle, since nothing is known of what they have to do.
fn heard(open: Vec<(Key, &Replica)>, now: Micros) -> Vec<(Key, &Replica)> {
    if open.len() <= hearing::MOST {
        return open;
    }
    let fresh = |r: &Replica| r.heard.is_some_and(|h| now.since(h.at) < HEARD);
    let some: Vec<_> = open.iter().copied().filter(|(_, r)| fresh(r)).collect();
    if some.is_empty() {
        return open;
    }
    some
}

/// Whether the sidecar has said just now that the engine answers. Fetching from one that doesn't
/// costs some hundred milliseconds.
fn surely_answers(replica: &Replica, now: Micros) -> bool {
    let heard = replica.heard.filter(|h| now.since(h.at) < FRESH);
    heard.is_some_and(|h| h.alive)
}

fn pick_plain(ctx: &Ctx, job: &Job) -> Result<Pick, Reason> {
    let now = ctx.now();
    let domain = ctx.node.settings.borrow().domain.clone();
    let fleet = ctx.fleet.borrow();
    let open = open(&fleet, job, now, suspects::verdict(ctx, job) == Suspect);
    let turn = turn(job, open.len());
    let candidates = open[turn..].iter().chain(&open[..turn]);
    let best = candidates
        .map(|(key, r)| (*key, *r, plain_cost(r, &domain, now)))
        .min_by(|a, b| a.2.total_cmp(&b.2));
    let (key, r, cost) = best.ok_or(Reason::NoTarget)?;
    Ok(Pick {
        key,
        addr: r.target.addr,
        boot: r.target.boot.clone(),
        fetch: None,
        save: None,
        scope: None,
        weights: None,
        held: 0,
        cold: 0,
        read: 0,
        estimate: cost,
        age: r.load.map(|(_, at)| now.since(at)),
    })
}

/// The share of a target's places that would be in use.
fn plain_cost(r: &Replica, domain: &str, now: Micros) -> f64 {
    let told = r.load.filter(|(_, at)| now.since(*at) < LOAD);
    let there = told
        .map_or(0, |(l, _)| l.running + l.waiting)
        .max(r.inflight);
    let slots = f64::from(r.target.slots.max(1));
    let far = if r.target.domain == domain { 0.0 } else { 0.1 };
    ((f64::from(there) + 1.0) / slots + far) * doubt(r, now)
}

/// Factor for what has failed of late.
fn doubt(r: &Replica, now: Micros) -> f64 {
    outlook::doubt(r.standing.failed, r.standing.on_trial(now))
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
        (s.domain.clone(), Micros::from(s.bounds.weights))
    };
    let named = ctx.node.world.borrow().named.get(&prompt.model).cloned();
    let fleet = ctx.fleet.borrow();
    let wall = job.team.as_deref().filter(|_| job.walled);
    let scope = |r: &Replica| {
        let version = r.weights.get(&prompt.model)?;
        Some(Scope::new(&prompt.model, *version, wall))
    };
    // Past a part of the time allowed nothing begins on older weights.
    let named = named.unwrap_or_default();
    let current = |r: &Replica| {
        let version = r.weights.get(&prompt.model);
        let outdated = version.map(|v| named.outdated(now, *v).unwrap_or_default());
        outdated.is_some_and(|age| age.0 as f64 <= allowed.0 as f64 * OLD_END)
    };
    let open: Vec<_> = open(&fleet, job, now, suspects::verdict(ctx, job) == Suspect)
        .into_iter()
        .filter(|(_, r)| current(r))
        .collect();
    let open = heard(open, now);
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
        route.mode.streams() && apart::suffers(engine.stride, route.gap.as_secs_f64() * 1e3)
    });
    let view = View {
        now,
        domain: &domain,
        prompt,
        engine,
        named: &named,
        subject,
        long: long(&fleet, &ctx.work.borrow(), &job.pool, suffers),
        order: ORDER + f64::from(missing) * READ * COLD,
        lasts: ctx.spans.borrow().most(&job.route.name),
    };
    // Engines of one version share their sources; two or three versions are about at a time.
    let mut sources: HashMap<u64, Sources<SocketAddr>> = HashMap::new();
    for scope in open.iter().filter_map(|(_, r)| scope(r)) {
        let all = || view.sources(&fleet, plan, job, scope.key());
        sources.entry(scope.key()).or_insert_with(all);
    }
    let candidates = open.iter().filter_map(|(key, r)| {
        let scope = scope(r)?.key();
        let held = r.will_hold(now, scope, &prompt.parts);
        Some((view.candidate(*key, r, held), sources.get(&scope)?))
    });
    let choice = spot::choose(prompt.input, candidates).ok_or(Reason::NoTarget)?;
    let prospect = Prospect {
        wait: choice.wait,
        own: (choice.time - choice.wait).max(0.0),
        aim: job.route.aim.as_secs_f64() * 1e3,
        left: job.left(now).as_secs_f64() * 1e3,
    };
    // What has run can't be refused any more: its caller gets the rest now, also late, or never.
    let fresh = job.runs == 0;
    if let (Verdict::Refuse(over), true) = (lateness::judge(&prospect), fresh) {
        return Err(Reason::Late {
            wait: Micros::from_millis(choice.wait as u64),
            over: Micros::from_millis(over as u64),
        });
    }
    let own = prompt.input.saturating_sub(prompt.shared_tokens());
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
        cold: choice.read.saturating_sub(own),
        read: choice.read,
        estimate: choice.time,
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
    let stores = plan.kept().iter().map(|k| k.addr);
    let store = stores.min_by_key(rank)?;
    let held = &fleet.kept.get(&store)?.held;
    let missing = prompt.shared_tokens() - holds(held, scope, prompt.shared());
    let own = prompt.input.saturating_sub(prompt.shared_tokens());
    let worth = missing >= LEAST_KEPT && f64::from(own) <= f64::from(missing) * OWN_KEPT;
    worth.then_some(store)
}

/// The engines of a pool that are for long prompts, in an order that all entries see.
fn long(fleet: &Fleet, work: &apart::Work, pool: &str, suffers: bool) -> Option<HashSet<String>> {
    if !suffers {
        return None;
    }
    let engines = fleet.replicas.values().filter(|r| r.target.pool == pool);
    let mut ids: Vec<_> = engines.map(|r| &r.target.boot.id).collect();
    ids.sort_by_cached_key(|id| xxh3_64_with_seed(id.as_bytes(), 7));
    let part = work.long_engines(ids.len());
    Some(ids.into_iter().take(part).cloned().collect())
}

/// What one choice is made by.
struct View<'a> {
    now: Micros,
    domain: &'a str,
    prompt: &'a Prompt,
    engine: Engine,
    named: &'a Versions,
    subject: u64,
    order: f64,
    /// How long its answer goes on, as answers on its route do.
    lasts: Micros,
    /// Engines for long prompts, if they are kept apart.
    long: Option<HashSet<String>>,
}

impl View<'_> {
    fn candidate(&self, key: Key, r: &Replica, held: u32) -> Candidate<Key, SocketAddr> {
        let near = r.target.domain == self.domain;
        let far = if near { 0.0 } else { FAR };
        let apart = self.long.as_ref().map_or(0.0, |long| {
            apart::cost(self.prompt.input, long.contains(&r.target.boot.id))
        });
        let load = self.load(r, self.prompt.input.saturating_sub(held));
        let version = r.weights.get(&self.prompt.model);
        let outdated = version.and_then(|v| self.named.outdated(self.now, *v));
        Candidate {
            key,
            addr: r.target.addr,
            domain: domain_key(&r.target.domain),
            wait: load.wait(self.prompt.input + self.prompt.output),
            read: READ,
            held,
            room: READ * ROOM,
            way: far,
            bias: apart + self.order(r),
            doubt: doubt(r, self.now) * load.weights(outdated),
        }
    }

    /// What waits at an engine for a prompt of which it has to read some tokens.
    fn load(&self, r: &Replica, tokens: u32) -> Load {
        let Some(h) = r.heard.filter(|h| self.now.since(h.at) < HEARD) else {
            return Load {
                tokens: f64::from(r.unread),
                ..Load::default()
            };
        };
        let told = r.unread_since(h.unread_tokens, h.at - TRANSIT);
        Load {
            tokens: urgency::before(told, urgency::step(tokens)),
            unread: h.unread,
            begun: h.begun,
            used: h.used,
            total: h.total,
            loading: h
                .loaded
                .map_or(0.0, |at| at.since(self.now).as_millis() as f64),
            leaving: h.swap.is_some_and(|at| at.since(self.now) < self.lasts),
        }
    }

    /// The engine's place in the subject's own order.
    fn order(&self, r: &Replica) -> f64 {
        let hash = xxh3_64_with_seed(r.target.boot.id.as_bytes(), self.subject);
        self.order * hash as f64 / u64::MAX as f64
    }

    /// Who holds parts of the prompt under a scope, beginning at another engine for each request.
    fn sources(&self, fleet: &Fleet, plan: &Plan, job: &Job, scope: u64) -> Sources<SocketAddr> {
        let parts = &self.prompt.parts;
        // Bits of a token over thousands of bits a millisecond.
        let rate = |link: f64| self.engine.token_bytes as f64 * 8.0 / (link.max(1.0) * 1e3);
        let there = |r: &Replica| {
            r.target.pool == job.pool && r.standing.usable(self.now) && surely_answers(r, self.now)
        };
        let engines: Vec<_> = fleet.replicas.values().filter(|r| there(r)).collect();
        let turn = turn(job, engines.len());
        let engines = engines[turn..].iter().chain(&engines[..turn]);
        let engines = engines.map(|o| Source {
            addr: o.target.addr,
            domain: domain_key(&o.target.domain),
            held: o.holds(scope, parts),
            soon: o.will_hold(self.now, scope, parts),
            rate: rate(self.engine.link),
            setup: SETUP,
        });
        let kept = plan.kept().iter().filter_map(|k| {
            let held = holds(&fleet.kept.get(&k.addr)?.held, scope, parts);
            Some(Source {
                addr: k.addr,
                domain: domain_key(&k.domain),
                held,
                soon: held,
                rate: rate(k.link),
                setup: SETUP,
            })
        });
        Sources::new(engines.chain(kept))
    }
}

/// Where a request begins in a row of equals, so that requests spread over them.
fn turn(job: &Job, equals: usize) -> usize {
    xxh3_64_with_seed(job.id.as_bytes(), 0) as usize % equals.max(1)
}
