//! Engines that this entry is the delegate of: those that no sidecar reports on and that
//! [`policy::delegate`] assigns to this entry.
//!
//! A delegate is an agent like a sidecar ([`crate::agent`]), but runs in the process of an entry
//! and for a single incarnation of its engine.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use model::Micros;
use platform::call::MAX_ENGINE_ANSWER;
use platform::Conn;
use policy::delegate::{self, Config, Engine, Reporter};
use site::{Boot, Role, State};
use tokio::task::AbortHandle;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use super::replica::Replica;
use super::Ctx;
use crate::agent::{self, engine_key, Agent, AgentId, Env, SharedAgent};
use crate::log::{self, Event};
use crate::meter;
use crate::node::{domain_key, ClusterState};
use crate::update::{self, PromptNote, Update};

/// Interval between checks which engines lack an agent.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two checks from which on this process counts as having been paused.
const PAUSE_THRESHOLD: Micros = Micros::from_millis(1_000);
/// Time without any datagram after which this process counts as isolated from the others.
const ISOLATION_TIMEOUT: Micros = Micros::from_millis(2_000);

/// An engine that this entry acts for.
#[derive(Debug)]
struct Delegate {
    boot: Boot,
    agent: SharedAgent,
    task: AbortHandle,
}

impl Drop for Delegate {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The last report on an engine by another process.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    from: SocketAddr,
    delegate: bool,
    at: Micros,
}

/// The last order that this entry has sent to an engine.
#[derive(Clone, Copy, Debug)]
struct LastOrder {
    at: Micros,
    fence: u64,
}

/// What an entry has recorded about the agents of engines, by the key of the engine's address.
#[derive(Debug, Default)]
pub(super) struct Delegates {
    /// Delegates that run in this process.
    own: HashMap<u64, Delegate>,
    /// Last report on each engine by another process.
    last_reports: HashMap<u64, LastReport>,
    /// Last orders of delegates that were stopped.
    last_orders: HashMap<u64, LastOrder>,
    /// When each incarnation was first seen in the list.
    first_listed: HashMap<Boot, Micros>,
    /// When the last datagram from another process was received.
    last_datagram: Micros,
    /// When the delegates were last checked.
    last_check: Micros,
    /// Since when this process has been running without a pause.
    running_since: Micros,
}

/// Starts and stops delegates for as long as the process runs.
pub(super) async fn run(ctx: Ctx) {
    loop {
        update_delegates(&ctx);
        sleep(CHECK_INTERVAL).await;
    }
}

fn update_delegates(ctx: &Ctx) {
    let now = ctx.now();
    {
        let mut d = ctx.delegates.borrow_mut();
        if now.since(d.last_check) > PAUSE_THRESHOLD {
            // Datagrams that arrived during the pause haven't been read yet.
            d.running_since = now;
        }
        d.last_check = now;
    }
    let engines = listed_engines(ctx, now);
    let unattended: BTreeSet<_> = {
        let cluster = ctx.node.cluster.borrow();
        let all = engines.values().map(|e| e.addr);
        all.filter(|addr| !cluster.has_sidecar(*addr)).collect()
    };
    {
        let mut cluster = ctx.node.cluster.borrow_mut();
        cluster.engines_without_sidecar = unattended.into_iter().collect();
        let listed = |addr: &SocketAddr| engines.contains_key(&engine_key(*addr));
        cluster.delegate_reports.retain(|addr, _| listed(addr));
    }
    let gone =
        |key: &u64, d: &Delegate| engines.get(key).is_none_or(|e| e.boot != d.boot || !e.acts);
    let ended: Vec<_> = {
        let d = ctx.delegates.borrow();
        let own = d.own.iter().filter(|(k, d)| gone(k, d));
        own.map(|(k, _)| *k).collect()
    };
    ended.into_iter().for_each(|key| stop_delegate(ctx, key));
    for (key, e) in engines.into_iter().filter(|(_, e)| e.acts) {
        if !ctx.delegates.borrow().own.contains_key(&key) {
            start_delegate(ctx, key, e);
        }
    }
    let own = ctx.delegates.borrow().own.len();
    meter::set(meter::DELEGATES, own as f64);
}

/// An engine that is in the list.
#[derive(Debug)]
struct ListedEngine {
    addr: SocketAddr,
    boot: Boot,
    /// Whether this entry acts for the engine.
    acts: bool,
}

/// All engines that take new work.
fn listed_engines(ctx: &Ctx, now: Micros) -> HashMap<u64, ListedEngine> {
    let Some(plan) = ctx.node.plan() else {
        return HashMap::new();
    };
    let fleet = ctx.fleet.borrow();
    let cluster = ctx.node.cluster.borrow();
    let mut d = ctx.delegates.borrow_mut();
    let engine = |r: &&Replica| {
        let pool = plan.pool(&r.target.pool);
        r.target.state == State::Ready
            && r.is_present(now)
            && pool.is_some_and(|p| p.engine.is_some())
    };
    let mut listed = HashMap::new();
    for r in fleet.replicas.values().filter(engine) {
        let key = engine_key(r.target.addr);
        let boot = r.target.boot.clone();
        let since = *d.first_listed.entry(boot.clone()).or_insert(now);
        let acts = acts(ctx, &cluster, &d, r, since.max(d.running_since));
        let engine = ListedEngine {
            addr: r.target.addr,
            boot,
            acts,
        };
        listed.insert(key, engine);
    }
    let is_listed = |b: &Boot| listed.values().any(|l| l.boot == *b);
    d.first_listed.retain(|b, _| is_listed(b));
    d.last_reports.retain(|k, _| listed.contains_key(k));
    listed
}

/// Whether this entry acts for an engine that has been listed, without a pause of this process,
/// since `since`.
fn acts(ctx: &Ctx, cluster: &ClusterState, d: &Delegates, r: &Replica, since: Micros) -> bool {
    let now = ctx.now();
    let key = engine_key(r.target.addr);
    let acting = d.own.get(&key).is_some_and(|o| o.boot == r.target.boot);
    let isolated =
        cluster.entries().next().is_some() && now.since(d.last_datagram) > ISOLATION_TIMEOUT;
    if isolated && !acting {
        return false;
    }
    let report = d.last_reports.get(&key);
    let last_report = report.map_or(since, |r| r.at.max(since));
    let domain = domain_key(&r.target.domain);
    let rank = |own: delegate::Entry| {
        let others = all_entries(ctx, cluster).filter(|e| *e != own);
        delegate::rank(key, domain, own, others)
    };
    let reporter = match report {
        None => Reporter::None,
        Some(r) if !r.delegate => Reporter::Sidecar,
        Some(r) => match entry_at(cluster, r.from) {
            Some(other) => Reporter::Delegate(rank(other)),
            // An entry that isn't a member yet ranks after this one.
            None => Reporter::Delegate(usize::MAX),
        },
    };
    let engine = Engine {
        sidecar: cluster.has_sidecar(r.target.addr),
        reporter,
        silence: now.since(last_report),
    };
    delegate::acts(&Config::default(), &engine, rank(own_entry(ctx)), acting)
}

/// This entry, in the form that ranks are computed from.
fn own_entry(ctx: &Ctx) -> delegate::Entry {
    let s = ctx.node.settings.borrow();
    delegate::Entry {
        host: xxh3_64(s.host.as_bytes()),
        domain: domain_key(&s.domain),
    }
}

/// All entries, including this one.
fn all_entries<'a>(
    ctx: &Ctx,
    cluster: &'a ClusterState,
) -> impl Iterator<Item = delegate::Entry> + 'a {
    let others = cluster
        .members
        .iter()
        .filter(|(_, m)| m.role == Role::Entry);
    let others = others.map(|(host, m)| delegate::Entry {
        host: xxh3_64(host.as_bytes()),
        domain: m.domain,
    });
    others.chain([own_entry(ctx)])
}

/// The entry with this address.
fn entry_at(cluster: &ClusterState, addr: SocketAddr) -> Option<delegate::Entry> {
    let (host, member) = cluster.members.iter().find(|(_, m)| m.addr == addr)?;
    Some(delegate::Entry {
        host: xxh3_64(host.as_bytes()),
        domain: member.domain,
    })
}

fn start_delegate(ctx: &Ctx, key: u64, engine: ListedEngine) {
    let lease = ctx.node.settings.borrow().bounds.lease;
    let agent = Agent::delegate(engine.addr, engine.boot.clone(), lease.into());
    let agent = Rc::new(RefCell::new(agent));
    log::event(&Event::Delegate {
        target: &engine.boot.id,
        addr: engine.addr.to_string(),
        acts: true,
    });
    let task = tokio::task::spawn_local(run_agent(Rc::clone(ctx), Rc::clone(&agent), engine.addr));
    let delegate = Delegate {
        boot: engine.boot,
        agent,
        task: task.abort_handle(),
    };
    ctx.delegates.borrow_mut().own.insert(key, delegate);
}

async fn run_agent(ctx: Ctx, agent: SharedAgent, addr: SocketAddr) {
    let env = Env {
        node: &ctx.node,
        agent: &agent,
        socket: &ctx.socket,
    };
    tokio::join!(
        agent::follow_cache(Rc::clone(&agent), addr),
        agent::run(env, Conn::new(addr, MAX_ENGINE_ANSWER)),
    );
}

fn stop_delegate(ctx: &Ctx, key: u64) {
    let mut d = ctx.delegates.borrow_mut();
    let Some(delegate) = d.own.remove(&key) else {
        return;
    };
    let agent = delegate.agent.borrow();
    log::event(&Event::Delegate {
        target: &delegate.boot.id,
        addr: agent.addr.to_string(),
        acts: false,
    });
    if let Some((at, fence)) = agent.last_order() {
        d.last_orders.insert(key, LastOrder { at, fence });
    }
}

/// Passes a note on a prompt to the delegate of its engine, if that runs here.
pub(super) fn receive_note(ctx: &Ctx, engine: u64, note: PromptNote) {
    if let Some(d) = ctx.delegates.borrow().own.get(&engine) {
        d.agent.borrow_mut().record_prompt(ctx.now(), note);
    }
}

/// Applies an agent's update.
pub(super) fn receive_update(ctx: &Ctx, update: &Update, from: SocketAddr) {
    let now = ctx.now();
    let Ok(addr) = update.engine.parse::<SocketAddr>() else {
        return;
    };
    let key = engine_key(addr);
    let id = AgentId {
        addr: from,
        delegate: update.delegate,
    };
    if from != ctx.node.settings.borrow().peer {
        let report = LastReport {
            from,
            delegate: update.delegate != 0,
            at: now,
        };
        ctx.delegates.borrow_mut().last_reports.insert(key, report);
    }
    match update.delegate {
        0 => send_last_order(ctx, key, addr, from),
        _ => {
            let mut cluster = ctx.node.cluster.borrow_mut();
            cluster.delegate_reports.insert(addr, now);
        }
    }
    let d = ctx.delegates.borrow();
    let others = d.own.iter().filter(|(k, _)| **k != update.delegate);
    others.for_each(|(_, o)| o.agent.borrow_mut().receive(now, update, id));
    let asked = update
        .slot_ask
        .and_then(|a| Some((a, d.own.get(&a.delegate)?)));
    if let Some((ask, asked)) = asked {
        let env = Env {
            node: &ctx.node,
            agent: &asked.agent,
            socket: &ctx.socket,
        };
        agent::answer_slot_query(env, ask, from);
    }
}

/// Reports to an engine's sidecar when this entry last sent the engine an order, so that the
/// sidecar waits long enough after that order before it sends its own.
fn send_last_order(ctx: &Ctx, key: u64, engine: SocketAddr, sidecar: SocketAddr) {
    let now = ctx.now();
    let lease = Micros::from(ctx.node.settings.borrow().bounds.lease);
    let mut d = ctx.delegates.borrow_mut();
    let current = d.own.get(&key).and_then(|o| o.agent.borrow().last_order());
    let current = current.map(|(at, fence)| LastOrder { at, fence });
    let Some(order) = current.or_else(|| d.last_orders.get(&key).copied()) else {
        return;
    };
    if now.since(order.at) > lease + lease {
        d.last_orders.remove(&key);
        return;
    }
    let update = Update {
        engine: engine.to_string(),
        delegate: key,
        ordered_ms: u32::try_from(now.since(order.at).as_millis()).ok(),
        fence: order.fence,
        ..Update::default()
    };
    update::send(&ctx.socket, &update, [sidecar]);
}

/// Records that a datagram of another process was received.
pub(super) fn record_datagram(ctx: &Ctx, from: SocketAddr) {
    if from != ctx.node.settings.borrow().peer {
        ctx.delegates.borrow_mut().last_datagram = ctx.now();
    }
}
