//! The process that takes callers' requests and goes to targets directly.

mod copy;
mod delegate;
mod fleet;
mod idle;
mod list;
mod listen;
mod pick;
mod plain;
mod refuse;
mod relay;
mod replica;
mod request;
mod send;
mod serve;
mod suspects;
mod tries;
mod usable;
mod view;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use model::Micros;
use policy::prefill_rate::PrefillRate;
use policy::subscription::{self, Sidecar};
use policy::{length_partition, retry_budget};
use tokio::net::UdpSocket;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout_at, Instant};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::agent::AgentId;
use crate::kv_stores;
use crate::meter;
use crate::node::{domain_key, SharedNode, Source};
use crate::update::{self, HeldPart, Incarnation, PromptNote, Update};
use site::{Part, Scope};

pub use fleet::Fleet;
pub use replica::Replica;

/// How long a stopping process goes on taking what comes on open connections; the balancer needs
/// two misses, a second apart, to send nothing new.
const LAME: Duration = Duration::from_millis(2_600);
/// The end of the grace that is kept for ending the process.
const MARGIN: Duration = Duration::from_millis(300);

/// Pause between two looks whether the sidecars are known yet; short beside a first request's wait.
const LOOK: Duration = Duration::from_millis(20);
/// Time after which sidecars that aren't known have not started with this process.
const START: Micros = Micros::from_secs(4);
/// Pause between two looks then.
const AGAIN: Duration = Duration::from_millis(500);

/// An entry's context.
pub type Ctx = Rc<Entry>;

/// An entry.
#[derive(Debug)]
pub struct Entry {
    /// The process.
    pub node: SharedNode,
    /// What it believes of the targets.
    pub fleet: RefCell<Fleet>,
    /// Its part of each pool's retries.
    budgets: RefCell<HashMap<String, retry_budget::Budget>>,
    /// Who reads the platform's list, and what was found.
    list: list::Shared,
    /// Requests that crash targets.
    suspects: RefCell<suspects::Suspects>,
    /// Engines that this entry is the delegate of.
    delegates: RefCell<delegate::Delegates>,
    /// The work that prompts have brought of late.
    work: RefCell<length_partition::RecentWork>,
    /// How fast engines read, by pool.
    prefill_rates: RefCell<HashMap<String, PrefillRate>>,
    /// Receives and sends updates.
    socket: Rc<UdpSocket>,
    /// Whether it takes no more requests, since it is about to end.
    closing: Cell<bool>,
    /// Its callers' connections.
    connections: RefCell<listen::Connections>,
}

impl Entry {
    /// Now, as decisions see it.
    fn now(&self) -> Micros {
        self.node.now()
    }

    /// Brings the gauges up to date.
    fn gauges(&self) {
        let fleet = self.fleet.borrow();
        let running: u32 = fleet.replicas.values().map(|r| r.inflight).sum();
        meter::set(meter::RUNNING, running.into());
        for (pool, budget) in self.budgets.borrow().iter() {
            metrics::gauge!(meter::RETRIES_LEFT, "pool" => pool.clone()).set(budget.remaining());
        }
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

    /// Tells the other entries what an engine was sent to read, so that they don't send the same
    /// opening to be read elsewhere.
    fn tell_expected(&self, engine: std::net::SocketAddr, scope: &Scope, parts: &[Part]) {
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

    /// Lets a decision use a pool's pace of reading.
    fn prefill_rate<T>(&self, pool: &str, use_it: impl FnOnce(&mut PrefillRate) -> T) -> T {
        let mut prefill_rates = self.prefill_rates.borrow_mut();
        match prefill_rates.get_mut(pool) {
            Some(p) => use_it(p),
            None => use_it(prefill_rates.entry(pool.to_owned()).or_default()),
        }
    }

    /// Lets a decision use a pool's budget of retries.
    fn budget<T>(&self, pool: &str, use_it: impl FnOnce(&mut retry_budget::Budget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        if !budgets.contains_key(pool) {
            let bounds = self.node.settings.borrow().bounds;
            let config = retry_budget::Config {
                ratio: bounds.retry_ratio,
                slack: bounds.retry_slack,
                entries: self.node.cluster.borrow().entries().count() + 1,
                window: bounds.retry_window.into(),
            };
            budgets.insert(pool.to_owned(), retry_budget::Budget::new(config));
        }
        match budgets.get_mut(pool) {
            Some(b) => {
                b.set_entries(self.node.cluster.borrow().entries().count() + 1);
                use_it(b)
            }
            None => unreachable!("inserted above"),
        }
    }
}

/// Runs an entry until it is told to stop and has served what it took.
pub async fn run(
    node: SharedNode,
    socket: UdpSocket,
    stop: impl Future<Output = Instant>,
) -> io::Result<()> {
    let ctx: Ctx = Rc::new(Entry {
        node,
        fleet: RefCell::default(),
        budgets: RefCell::default(),
        list: list::Shared::default(),
        suspects: RefCell::default(),
        delegates: RefCell::default(),
        work: RefCell::default(),
        prefill_rates: RefCell::default(),
        socket: Rc::new(socket),
        closing: Cell::new(false),
        connections: RefCell::default(),
    });
    tokio::task::spawn_local(list::follow(Rc::clone(&ctx)));
    tokio::task::spawn_local(hear(Rc::clone(&ctx)));
    tokio::task::spawn_local(ask(Rc::clone(&ctx)));
    tokio::task::spawn_local(delegate::run(Rc::clone(&ctx)));
    tokio::task::spawn_local(kv_stores::follow(
        Rc::clone(&ctx.node),
        Rc::clone(&ctx.socket),
        kv_stores::FollowedStores::default(),
    ));
    let listening = listen::serve(&ctx).await?;
    let told = stop.await;
    leave(&ctx, told, &listening).await;
    Ok(())
}

/// Asks the sidecars that are wanted to tell of their engines, for as long as the process lives.
///
/// A sidecar tells one who asks for the first time all that is held. By itself it tells that every few
/// seconds only, and until then each subject would be read again, wherever its request goes: after all
/// processes of nine engines and six entries had been killed at once, 240,000 tokens in four seconds.
async fn ask(ctx: Ctx) {
    loop {
        let wanted = wanted(&ctx);
        if wanted.is_empty() {
            sleep(if ctx.now() < START { LOOK } else { AGAIN }).await;
            continue;
        }
        let mut all_confirmed = true;
        for sidecar in wanted {
            let life = ctx
                .fleet
                .borrow()
                .life(ctx.now(), sidecar)
                .map(|b| Incarnation {
                    id: b.id.clone(),
                    born: b.born,
                });
            all_confirmed &= life.is_some();
            let update = Update {
                entry: true,
                asks: true,
                life,
                ..Update::default()
            };
            update::send(&ctx.socket, &update, [sidecar]);
        }
        sleep(subscription::renewal_delay(ctx.now(), all_confirmed).into()).await;
    }
}

/// The sidecars that this entry hears.
fn wanted(ctx: &Ctx) -> Vec<SocketAddr> {
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

/// Takes over what sidecars tell.
async fn hear(ctx: Ctx) {
    loop {
        let (update, from) = update::receive(&ctx.socket).await;
        let now = ctx.now();
        delegate::received(&ctx, from);
        if let Some(listed) = update.list {
            let known = ctx.node.era.borrow().unwrap_or_default();
            if listed.era < known {
                // What it found is from before the store was restored.
                continue;
            }
            ctx.node.raise_era(listed.era, Source::Peer);
            if ctx.list.hear(now, listed, from) {
                ctx.fleet.borrow_mut().confirm(now);
            }
            continue;
        }
        if let Some(strike) = update.strike {
            suspects::hear(&ctx, strike, from);
            continue;
        }
        if let Some(note) = update.note {
            delegate::prompt(&ctx, update.delegate, note);
            continue;
        }
        ctx.fleet.borrow_mut().hear(now, &update, from);
        if !update.entry && !update.kept {
            delegate::receive(&ctx, &update, from);
        }
        suspects::ended(&ctx);
    }
}

/// Ends without cutting a request: no longer ready at once, all that comes served a while longer,
/// then nothing new taken and connections closed as they fall idle. Where the balancer has nobody
/// else in the domain, it goes on sending to a process that isn't ready; what came too late to be
/// finished within the grace would be cut with the process.
async fn leave(ctx: &Ctx, told: Instant, listening: &AbortHandle) {
    ctx.node.stopping.set(true);
    let end = told + ctx.node.settings.borrow().bounds.grace - MARGIN;
    sleep(LAME).await;
    ctx.closing.set(true);
    listening.abort();
    ctx.connections.borrow().close_idle();
    let emptied = async {
        while !ctx.connections.borrow().is_empty() {
            sleep(Duration::from_millis(50)).await;
            ctx.connections.borrow().close_idle();
        }
    };
    // What runs past the grace is cut by the platform a moment later in any case.
    let _ = timeout_at(end, emptied).await;
}
