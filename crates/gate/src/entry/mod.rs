//! The entry: the process that receives callers' requests and sends them to targets directly.

mod attempts;
mod build_history;
mod candidates;
mod connection_pool;
mod crashing_parts;
mod delegate;
mod events;
mod fleet;
mod leaving;
mod limits;
mod list;
mod listen;
mod origins;
mod part_store;
mod pass_through;
mod pick;
mod plain;
mod refuse;
mod relay;
mod replica;
mod request;
mod restored_list;
mod rests;
mod retries;
mod room;
mod send;
mod serve;
mod stalled;
mod suspects;
mod target_limits;
mod uneven_demand;
mod usable;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use model::Micros;
use overload::{Callers, Config};
use policy::late_start::{ends_in_time, RecentMax};
use policy::load_overlap::AnswerTime;
use policy::prefill_rate::PrefillRate;
use policy::subscription::{self, Sidecar};
use policy::{length_partition, retry_budget};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, timeout_at, Instant};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::agent::AgentId;
use crate::domains::Domains;
use crate::kv_stores;
use crate::meter;
use crate::node::{domain_key, SharedNode, Source};
use crate::room::Rooms;
use crate::stream_origins::StreamOrigins;
use crate::table_checks;
use crate::update::{self, HeldPart, Incarnation, PromptNote, Update};
use site::{Part, Scope};

pub use fleet::Fleet;
pub use replica::Replica;

/// How long a stopping process still accepts connections and requests. The load balancer sends it
/// no new connections after two failed checks, which are a second apart.
const LAME_DUCK_PERIOD: Duration = Duration::from_millis(2_600);
/// Time at the end of the grace period that is reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Part of it for the last answers.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// Interval between checks for known sidecars during startup; short relative to the wait of a first
/// request.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after its start in which an entry checks often for sidecars; those not known by then
/// weren't started together with it.
const STARTUP_PERIOD: Micros = Micros::from_secs(4);
/// Interval between checks for known sidecars after the startup period.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Shared handle to an entry's state.
pub type Ctx = Rc<Entry>;

/// State of an entry.
#[derive(Debug)]
pub struct Entry {
    /// State that all kinds of processes have.
    pub node: SharedNode,
    /// The targets, with the data on each.
    pub fleet: Rc<RefCell<Fleet>>,
    /// This entry's share of each pool's retry budget.
    retry_budgets: RefCell<HashMap<String, retry_budget::Budget>>,
    /// State of following the platform's list of targets.
    list: list::ListState,
    /// Requests that are suspected of crashing targets.
    suspects: RefCell<suspects::Suspects>,
    /// Prompt parts that crash targets.
    crashing_parts: crashing_parts::State,
    /// Targets that have said that they leave.
    leaving: RefCell<policy::leaving::Leaving<fleet::BootKey>>,
    /// Targets that have asked this entry for rest.
    rests: RefCell<policy::rest::Rests<fleet::BootKey>>,
    /// Engines that this entry is the delegate of.
    delegates: RefCell<delegate::Delegates>,
    /// Recent work of long and short prompts.
    recent_work: RefCell<length_partition::RecentWork>,
    /// Limits of teams.
    limits: RefCell<limits::Limits>,
    /// Builds that pools have had lately.
    builds: build_history::State,
    /// Builds that began streams.
    origins: Rc<StreamOrigins>,
    /// Streams whose origin isn't certain yet.
    uncertain: RefCell<Vec<origins::Uncertain>>,
    /// Searches for such builds.
    inquiries: origins::Inquiries,
    /// Limits that targets state.
    target_limits: RefCell<target_limits::State>,
    /// Prefill rates of engines, by pool.
    prefill_rates: RefCell<HashMap<String, PrefillRate>>,
    /// When the process ends, if it stops: what isn't answered by then is cut off.
    exit_at: Cell<Option<Micros>>,
    /// Longest recent times from a request to the end of its answer, by route.
    durations: RefCell<HashMap<String, RecentMax>>,
    /// Durations of engines' answers, by pool.
    answer_times: RefCell<HashMap<String, AnswerTime>>,
    /// Balance between domains, and demand for openings.
    domains: RefCell<Domains>,
    /// Room in engine pools.
    rooms: Rooms,
    /// Socket for updates.
    socket: Rc<UdpSocket>,
    /// Whether new requests are refused because the process is about to exit.
    closing: watch::Sender<bool>,
    /// Whether requests in progress are given up because the process exits.
    exiting: watch::Sender<bool>,
    /// Connections of callers, and what is held for them.
    callers: Callers,
}

impl Entry {
    /// Time since the start of the process.
    fn now(&self) -> Micros {
        self.node.now()
    }

    /// Updates the gauges.
    fn update_gauges(&self) {
        let fleet = self.fleet.borrow();
        let running: u32 = fleet.replicas.values().map(|r| r.inflight).sum();
        meter::set(meter::RUNNING, running.into());
        let limited = self.target_limits.borrow().limited();
        meter::set(meter::LIMITED_TARGETS, limited as f64);
        let slow = fleet
            .replicas
            .values()
            .filter(|r| r.speed.is_slow(self.now()));
        meter::set(meter::SLOW_TARGETS, slow.count() as f64);
        meter::set(meter::LEAVING_TARGETS, self.leaving.borrow().len() as f64);
        meter::set(
            meter::CONVICTED_PARTS,
            self.crashing_parts.convicted() as f64,
        );
        self.origins.update_gauges();
        for (pool, budget) in self.retry_budgets.borrow().iter() {
            metrics::gauge!(meter::RETRIES_LEFT, "pool" => pool.clone()).set(budget.remaining());
        }
        let usage = self.callers.usage();
        meter::set(meter::BODY_MEMORY, usage.content as f64);
        overload::meter::set_usage(&usage);
        let cluster = self.node.cluster.borrow();
        meter::set(meter::MEMBERS, cluster.members.len() as f64);
        let version = cluster.plan.as_ref().map_or(0, |p| p.version());
        meter::set(meter::CONFIGURATION_VERSION, version as f64);
    }

    /// Reports a prompt to an engine's agent.
    fn report_prompt(&self, agent: AgentId, note: PromptNote) {
        let update = Update {
            entry: true,
            note: Some(note),
            delegate: agent.delegate,
            ..Update::default()
        };
        update::send(&self.socket, &update, [agent.addr]);
    }

    /// Announces to the other entries which parts an engine is about to prefill, so that they don't
    /// have the same opening prefilled elsewhere.
    fn announce_expected(&self, engine: std::net::SocketAddr, scope: &Scope, parts: &[Part]) {
        let held = |p: &Part| HeldPart {
            scope: scope.key(),
            part: p.id.0,
            tokens: p.tokens,
        };
        let update = Update {
            engine: engine.to_string(),
            entry: true,
            expected: parts.iter().take(update::MAX_PARTS).map(held).collect(),
            ..Update::default()
        };
        update::send(&self.socket, &update, self.node.cluster.borrow().entries());
    }

    /// Records how long a job took that has been answered.
    fn record_duration(&self, job: &request::Job) {
        let now = self.now();
        let mut durations = self.durations.borrow_mut();
        let longest = durations.entry(job.route.name.clone()).or_default();
        longest.record(now, now.since(job.received_at));
    }

    /// Whether a job that starts now is expected to end before the process does.
    fn ends_in_time(&self, job: &request::Job) -> bool {
        let Some(exit) = self.exit_at.get() else {
            return true;
        };
        let now = self.now();
        let mut durations = self.durations.borrow_mut();
        let expected = durations.get_mut(&job.route.name).and_then(|d| d.get(now));
        ends_in_time(now, exit, job.deadline, expected)
    }

    /// Calls `f` with the prefill rate of a pool.
    fn prefill_rate<T>(&self, pool: &str, f: impl FnOnce(&mut PrefillRate) -> T) -> T {
        let mut prefill_rates = self.prefill_rates.borrow_mut();
        match prefill_rates.get_mut(pool) {
            Some(p) => f(p),
            None => f(prefill_rates.entry(pool.to_owned()).or_default()),
        }
    }
}

/// Runs an entry until `stop` completes and the accepted requests have been served.
pub async fn run(
    node: SharedNode,
    socket: Rc<UdpSocket>,
    stop: impl Future<Output = Instant>,
) -> io::Result<()> {
    let limits = {
        let s = node.settings.borrow();
        let limits = Config::for_process(s.memory, s.descriptors);
        Config {
            bytes: s.caller_bytes.unwrap_or(limits.bytes),
            connections: s.caller_connections.unwrap_or(limits.connections),
            unacked: s.caller_unacked.unwrap_or(limits.unacked),
            unread: s.caller_unread.unwrap_or(limits.unread),
            ..limits
        }
    };
    let fleet = Rc::<RefCell<Fleet>>::default();
    let listed = Rc::clone(&fleet);
    let origins = StreamOrigins::new(&node, &socket, move |purpose| {
        Some(origins::engines(&listed.borrow(), purpose))
    });
    let ctx: Ctx = Rc::new(Entry {
        node,
        fleet,
        retry_budgets: RefCell::default(),
        list: list::ListState::default(),
        suspects: RefCell::default(),
        crashing_parts: crashing_parts::State::default(),
        leaving: RefCell::default(),
        rests: RefCell::default(),
        delegates: RefCell::default(),
        recent_work: RefCell::default(),
        limits: RefCell::default(),
        builds: build_history::State::default(),
        origins,
        uncertain: RefCell::default(),
        inquiries: RefCell::default(),
        target_limits: RefCell::default(),
        prefill_rates: RefCell::default(),
        exit_at: Cell::new(None),
        durations: RefCell::default(),
        answer_times: RefCell::default(),
        domains: RefCell::default(),
        rooms: Rooms::default(),
        socket,
        closing: watch::Sender::new(false),
        exiting: watch::Sender::new(false),
        callers: Callers::new(limits),
    });
    tokio::task::spawn_local(list::follow(Rc::clone(&ctx)));
    tokio::task::spawn_local(receive_updates(Rc::clone(&ctx)));
    tokio::task::spawn_local(subscribe(Rc::clone(&ctx)));
    tokio::task::spawn_local(delegate::run(Rc::clone(&ctx)));
    tokio::task::spawn_local(Rc::clone(&ctx.origins).follow());
    tokio::task::spawn_local(limits::report(Rc::clone(&ctx)));
    tokio::task::spawn_local(target_limits::report(Rc::clone(&ctx)));
    tokio::task::spawn_local(crashing_parts::report(Rc::clone(&ctx)));
    tokio::task::spawn_local(uneven_demand::report(Rc::clone(&ctx)));
    tokio::task::spawn_local(room::report(Rc::clone(&ctx)));
    tokio::task::spawn_local(part_store::restore(Rc::clone(&ctx)));
    tokio::task::spawn_local(build_history::restore(Rc::clone(&ctx)));
    tokio::task::spawn_local(kv_stores::follow(
        Rc::clone(&ctx.node),
        Rc::clone(&ctx.socket),
        kv_stores::FollowedStores::default(),
    ));
    let listening = listen::serve(&ctx).await?;
    let stopped_at = stop.await;
    shut_down(&ctx, stopped_at, listening).await;
    Ok(())
}

/// Subscribes to the selected sidecars and renews the subscriptions for as long as the process
/// runs.
///
/// A sidecar sends all cached parts to an entry that subscribes for the first time; without a
/// subscription it sends them only every few seconds. Until an entry has them, it would have each
/// subject prefilled again wherever a request goes: 240,000 tokens in four seconds after all
/// processes of nine engines and six entries had been killed at once.
async fn subscribe(ctx: Ctx) {
    loop {
        let sidecars = select_sidecars(&ctx);
        if sidecars.is_empty() {
            sleep(if ctx.now() < STARTUP_PERIOD {
                STARTUP_POLL_INTERVAL
            } else {
                POLL_INTERVAL
            })
            .await;
            continue;
        }
        let mut all_confirmed = true;
        for sidecar in sidecars {
            let incarnation =
                ctx.fleet
                    .borrow()
                    .incarnation(ctx.now(), sidecar)
                    .map(|b| Incarnation {
                        id: b.id.clone(),
                        born: b.born,
                    });
            all_confirmed &= incarnation.is_some();
            let update = Update {
                entry: true,
                asks: true,
                life: incarnation,
                ..Update::default()
            };
            update::send(&ctx.socket, &update, [sidecar]);
        }
        sleep(subscription::renewal_delay(ctx.now(), all_confirmed).into()).await;
    }
}

/// The sidecars that this entry subscribes to.
fn select_sidecars(ctx: &Ctx) -> Vec<SocketAddr> {
    let (own, domain) = {
        let s = ctx.node.settings.borrow();
        (xxh3_64(s.host.as_bytes()), domain_key(&s.domain))
    };
    let cluster = ctx.node.cluster.borrow();
    let sidecars = cluster.sidecars().map(|m| Sidecar {
        addr: m.addr,
        same_domain: m.domain == domain,
        rank: xxh3_64_with_seed(m.addr.to_string().as_bytes(), own),
    });
    subscription::select(sidecars)
}

/// Receives and applies updates of other processes.
async fn receive_updates(ctx: Ctx) {
    loop {
        let (update, from) = update::receive(&ctx.socket).await;
        let now = ctx.now();
        delegate::record_datagram(&ctx, from);
        if let Some(positions) = &update.tables {
            table_checks::receive(&ctx.node, &ctx.socket, from, positions);
            continue;
        }
        if let Some(listed) = update.list {
            let known = ctx.node.era.borrow().unwrap_or_default();
            if listed.era < known {
                // This list was read before the store was restored.
                continue;
            }
            ctx.node.raise_era(listed.era, Source::Peer);
            if ctx.list.record_poll(now, listed, from) {
                ctx.fleet.borrow_mut().confirm_list(now);
            }
            continue;
        }
        if let Some(strike) = update.strike {
            suspects::receive(&ctx, strike, from);
            continue;
        }
        if let Some(evidence) = &update.part_evidence {
            crashing_parts::receive(&ctx, from, evidence);
            continue;
        }
        if !update.leaving.is_empty() {
            leaving::receive(&ctx, &update.leaving);
            continue;
        }
        if let Some(loan) = &update.retry_loan {
            retries::receive(&ctx, from, loan);
            continue;
        }
        if let Some(used) = &update.limit_use {
            limits::receive(&ctx, from, used);
            continue;
        }
        if let Some(room) = &update.room {
            room::receive(&ctx, room);
            continue;
        }
        if let Some(origin) = &update.origin {
            origins::receive(&ctx, from, origin);
            continue;
        }
        if let Some(batch) = &update.origin_batch {
            ctx.origins.receive_batch(from, batch);
            continue;
        }
        if let Some(used) = &update.target_use {
            target_limits::receive(&ctx, from, used);
            continue;
        }
        if let Some(demand) = &update.opening_demand {
            ctx.domains.borrow_mut().apply_report(now, demand);
            continue;
        }
        if let Some(note) = update.note {
            delegate::receive_note(&ctx, update.delegate, note);
            continue;
        }
        ctx.fleet.borrow_mut().apply_update(now, &update, from);
        if !update.entry && !update.kept {
            delegate::receive_update(&ctx, &update, from);
        }
        suspects::record_ended_targets(&ctx);
    }
}

/// Stops without cutting off a request. The process reports at once that it isn't ready, but serves
/// all requests for a while longer; then it refuses new ones and closes connections as they become
/// idle. A load balancer without another healthy process in the domain keeps sending to one that
/// isn't ready, so a request accepted too late to finish within the grace period would be cut off
/// when the process exits.
async fn shut_down(ctx: &Ctx, stopped_at: Instant, listening: JoinHandle<()>) {
    ctx.node.stopping.set(true);
    ctx.origins.leave();
    let end = stopped_at + ctx.node.settings.borrow().bounds.grace - EXIT_MARGIN;
    let exit = end.saturating_duration_since(ctx.node.origin);
    ctx.exit_at
        .set(Some(exit.saturating_sub(EXIT_MARGIN).into()));
    sleep(LAME_DUCK_PERIOD).await;
    ctx.closing.send_replace(true);
    // Waits until the connections in the backlog are accepted; a failed task has accepted none.
    let _ = listening.await;
    listen::close_idle(&ctx.callers);
    let emptied = async {
        while !ctx.callers.is_empty() {
            sleep(Duration::from_millis(50)).await;
            listen::close_idle(&ctx.callers);
        }
    };
    tokio::pin!(emptied);
    // The platform kills the process a moment later anyway, so requests that run longer are given up,
    // and those without an answer get that as their answer.
    if timeout_at(end, &mut emptied).await.is_err() {
        ctx.exiting.send_replace(true);
        let _ = timeout(ANSWER_MARGIN, emptied).await;
    }
}
