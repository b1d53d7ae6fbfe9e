//! New weights for the engine beside this process: when its turn has come, and the order.
//!
//! The sidecars of a pool tell one another what their engines have loaded and since when they load;
//! `policy::rollout` makes a turn of it. No other host ever orders this engine, so that orders of two
//! holders can't cross, whatever is paused or cut off.

use std::collections::HashMap;
use std::net::SocketAddr;

use model::Micros;
use platform::replica::{self, EngineError, LoadOrder, Taken};
use platform::Conn;
use policy::rollout::{self, Pool};
use policy::versions::Versions;
use site::{Report, Role, Swap, Weights};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Own, PATIENCE};
use crate::log::{self, Event};
use crate::meter;
use crate::news::News;
use crate::world::{Shared, World};

/// How long another sidecar's word counts; three of its words while weights change.
const HEARD: Micros = Micros::from_millis(1_600);
/// How long after weights were named, or this process started, the others are listened to before a
/// turn is taken: two looks of theirs and the way.
const LISTEN: Micros = Micros::from_millis(150);
/// How long a process that has just started and hears nobody waits for a word.
const ALONE: Micros = Micros::from_millis(1_500);
/// How long an order waits for an entry's word of which life the engine is. An order that names none may
/// reach the next life: carried out late, it put older weights in the place of newer ones, and 60 of the
/// requests of the next 2 s were refused.
const NAMED: Micros = Micros::from_millis(2_500);
/// Pause after an order that wasn't answered or was refused; it may still be carried out.
const AGAIN: Micros = Micros::from_millis(300);
/// Time after an order was taken in which the engine's report may not show it yet.
const SHOWN: Micros = Micros::from_millis(500);
/// Weight of a new load's length.
const SMOOTH: f64 = 0.5;

/// What another sidecar told.
#[derive(Clone, Debug)]
struct Peer {
    at: Micros,
    weights: Vec<(String, u64)>,
    busy: Option<Micros>,
    due: Option<Micros>,
    load: Option<Micros>,
    wanted: u64,
}

/// A load under way.
#[derive(Clone, Copy, Debug)]
struct Loading {
    since: Micros,
    /// The version that was ordered here; none if the load was found under way.
    version: Option<u64>,
}

/// What a sidecar knows of new weights and turns.
#[derive(Debug, Default)]
pub(super) struct Rollout {
    peers: HashMap<SocketAddr, Peer>,
    /// Fencing token.
    pub(super) fence: u64,
    /// What the engine lacks, and since when its turn has been there.
    lacks: Option<Lack>,
    due: Option<Micros>,
    loading: Option<Loading>,
    /// How long a load took here.
    load: Option<Micros>,
    /// Whether its last order had no answer.
    unanswered: bool,
    /// Not before this, after an order without success.
    pause: Micros,
}

/// Weights that the engine is to load.
#[derive(Clone, Debug, PartialEq)]
struct Lack {
    weights: Weights,
    heard: Micros,
}

impl Rollout {
    /// Takes over what another sidecar told.
    pub(super) fn hear(&mut self, now: Micros, news: &News, from: SocketAddr) {
        if !news.alive {
            self.peers.remove(&from);
            return;
        }
        let ms = |ms: u32| Micros::from_millis(ms.into());
        let weights = news.weights.iter().map(|w| (w.model.clone(), w.version));
        let peer = Peer {
            at: now,
            weights: weights.collect(),
            busy: news.busy.then(|| ms(news.loading_ms.unwrap_or_default())),
            due: news.due_ms.map(ms),
            load: news.load_ms.map(ms),
            wanted: news.wanted,
        };
        self.peers.insert(from, peer);
    }

    /// Adds to what the entries and the other sidecars are told.
    pub(super) fn tell(&self, now: Micros, news: &mut News) {
        let ms = |t: Micros| u32::try_from(t.as_millis()).unwrap_or(u32::MAX);
        // While it loads its turn is over, but for one whose orders have no answer: that one may never load,
        // and the others pass it once its turn is long gone.
        let waits = self.loading.is_none() || self.unanswered;
        news.due_ms = self.due.filter(|_| waits).map(|at| ms(now.since(at)));
        news.loading_ms = self.loading.map(|l| ms(now.since(l.since)));
        news.load_ms = self.load(now).map(ms);
        news.wanted = self.lacks.as_ref().map_or(0, |l| l.weights.version);
    }

    /// Whether some engine of the pool lacks what another one wants.
    pub(super) fn under_way(&self, now: Micros) -> bool {
        let heard = self.peers.values().filter(|p| now.since(p.at) < HEARD);
        self.lacks.is_some() || heard.clone().any(|p| p.wanted > 0 || p.busy.is_some())
    }

    /// How long a load takes, from what was seen anywhere in the pool.
    fn load(&self, now: Micros) -> Option<Micros> {
        if self.load.is_some() {
            return self.load;
        }
        let heard = self.peers.values().filter(|p| now.since(p.at) < HEARD);
        let mut seen: Vec<_> = heard.filter_map(|p| p.load).collect();
        seen.sort_unstable();
        seen.get(seen.len() / 2).copied()
    }

    /// Takes over the engine's report: loads that have begun or ended.
    fn follow(&mut self, now: Micros, report: &Report) {
        let Some(loading) = self.loading else {
            if report.busy {
                let found = Loading {
                    since: now,
                    version: None,
                };
                self.loading = Some(found);
            }
            return;
        };
        let has = |v: u64| report.weights.iter().any(|w| w.version >= v);
        let took = now.since(loading.since);
        if report.busy || (took < SHOWN && !loading.version.is_some_and(has)) {
            return;
        }
        self.loading = None;
        if loading.version.is_some_and(has) {
            let old = self.load.map_or(took.0 as f64, |l| l.0 as f64);
            let new = old + (took.0 as f64 - old) * SMOOTH;
            self.load = Some(Micros(new as u64));
        }
    }

    /// The other engines of the pool that are heard.
    fn others(&self, now: Micros, model: &str, newest: u64) -> Vec<rollout::Engine> {
        let heard = self.peers.iter().filter(|(_, p)| now.since(p.at) < HEARD);
        let engine = |(from, p): (&SocketAddr, &Peer)| {
            let (_, version) = p.weights.iter().find(|(m, _)| m == model)?;
            let since = now.since(p.at);
            Some(rollout::Engine {
                version: *version,
                rank: rank(*from, newest),
                loading: p.busy.map(|b| b + since),
                due: p.due.map(|d| d + since),
            })
        };
        heard.filter_map(engine).collect()
    }
}

/// An engine's place among those with equally old weights; another one for each version, so that the
/// same engine isn't always the first to lose what it holds.
fn rank(sidecar: SocketAddr, version: u64) -> u64 {
    xxh3_64_with_seed(sidecar.to_string().as_bytes(), version)
}

/// Finds what the engine lacks and when its turn comes.
pub(super) fn schedule(node: &Shared, engine: &Own) {
    let now = node.now();
    let world = node.world.borrow();
    let mut e = engine.borrow_mut();
    let e = &mut *e;
    let rollout = &mut e.rollout;
    if rollout.fence == 0 {
        rollout.fence = world.clock;
    }
    let Some(report) = e.report.as_ref().filter(|_| e.alive) else {
        rollout.loading = None;
        rollout.rest();
        return;
    };
    rollout.follow(now, report);
    let lacking = report.weights.iter().find_map(|w| {
        let named = world.named.get(&w.model)?;
        (named.newest() > w.version).then_some((w, named))
    });
    let Some((has, named)) = lacking else {
        rollout.rest();
        return;
    };
    if rollout.loading.is_some() {
        return;
    }
    rollout.lacks = Some(Lack {
        weights: Weights {
            model: has.model.clone(),
            version: named.newest(),
        },
        heard: named.heard(),
    });
    let listens = now.since(named.heard()) < LISTEN || now < LISTEN;
    let due = !listens && is_due(node, &world, rollout, has, named);
    rollout.due = due.then(|| rollout.due.unwrap_or(now));
}

impl Rollout {
    /// Notes what became of an order. One that wasn't answered may be carried out, so that the engine
    /// goes on counting as loading until its report can show that it doesn't.
    fn given(&mut self, now: Micros, taken: &Result<Taken, EngineError>) {
        self.pause = now + AGAIN;
        self.unanswered = matches!(taken, Err(EngineError::Call(_)));
        match taken {
            // Without an answer the turn goes on from when it came: counted anew each time, an engine
            // that never answers would stand in the others' way for good.
            Ok(Taken::Begun) => self.rest(),
            Ok(Taken::Done | Taken::Busy) | Err(EngineError::Refused(_)) => self.loading = None,
            Err(EngineError::Call(_) | EngineError::Malformed(_)) => {}
        }
    }

    /// Nothing is to be loaded.
    fn rest(&mut self) {
        self.unanswered = false;
        self.lacks = None;
        self.due = None;
    }
}

/// Whether the engine's turn has come.
fn is_due(
    node: &Shared,
    world: &World,
    rollout: &Rollout,
    has: &Weights,
    named: &Versions,
) -> bool {
    let now = node.now();
    let config = rollout::Config::default();
    let (own, allowed) = {
        let s = node.settings.borrow();
        (s.peer, Micros::from(s.bounds.weights))
    };
    let others = rollout.others(now, &has.model, named.newest());
    if others.is_empty() && world.sidecars().next().is_some() {
        let (rank, engines) = place(node, world);
        let at = named.heard() + rollout::blind(&config, rank, engines, allowed);
        return now >= ALONE.max(at);
    }
    let oldest = others.iter().map(|o| o.version).min();
    let oldest = oldest.unwrap_or(has.version).min(has.version);
    let pool = Pool {
        newest: named.newest(),
        others: &others,
        load: rollout.load(now),
        allowed,
        outdated: named.outdated(now, oldest).unwrap_or_default(),
    };
    let own = rollout::Engine {
        version: has.version,
        rank: rank(own, named.newest()),
        loading: None,
        due: rollout.due.map(|at| now.since(at)),
    };
    rollout::is_due(&config, &pool, &own)
}

/// This host's place among the hosts with an engine, and their number.
fn place(node: &Shared, world: &World) -> (usize, usize) {
    let own = &node.settings.borrow().host;
    let members = world.members.iter();
    let others: Vec<_> = members
        .filter(|(h, m)| m.role == Role::Sidecar && *h != own)
        .map(|(h, _)| h)
        .collect();
    let before = others.iter().filter(|h| **h < own).count();
    (before, others.len() + 1)
}

/// The sidecars that agree with this one on turns.
pub(super) fn peers(node: &Shared) -> Vec<SocketAddr> {
    let world = node.world.borrow();
    let own = node.settings.borrow().host.clone();
    let sidecars = world
        .members
        .iter()
        .filter(|(h, m)| m.role == Role::Sidecar && **h != own);
    let mut all: Vec<_> = sidecars.map(|(h, m)| (h, m.addr)).collect();
    all.sort_unstable();
    let (rank, engines) = place(node, &world);
    let same = rollout::group(rank, engines);
    let rank_of = |i: usize| if i < rank { i } else { i + 1 };
    let grouped = all.iter().enumerate().filter(|(i, _)| same(rank_of(*i)));
    grouped.map(|(_, (_, addr))| *addr).collect()
}

/// An order whose turn has come.
pub(super) struct Order {
    lack: Lack,
    fence: u64,
    /// Orders that the engine must have accepted before.
    after: u64,
    active: u32,
    boot: Option<String>,
    begun: Micros,
}

/// Takes the order whose turn has come, if there is one. From then on the engine counts as loading.
///
/// The others are told so before the order is answered. Told afterwards, a sidecar that had been slow
/// and stood before this one began its own load meanwhile, and two of three engines refused callers.
pub(super) fn take(node: &Shared, engine: &Own) -> Option<Order> {
    let now = node.now();
    let mut e = engine.borrow_mut();
    let e = &mut *e;
    let r = &mut e.rollout;
    let (Some(lack), Some(due), Some(report)) = (&r.lacks, r.due, &e.report) else {
        return None;
    };
    if r.loading.is_some() {
        return None;
    }
    let boot = report.boot.as_ref().or(e.boot.as_ref());
    let named = boot.is_some() || now.since(e.since) > NAMED;
    // One look passes first, so that the entries know that nothing new is to be sent there.
    if report.busy || r.fence == 0 || !named || now <= due || now < r.pause {
        return None;
    }
    let order = Order {
        lack: lack.clone(),
        fence: r.fence,
        after: report.seq,
        active: report.active,
        boot: boot.map(|b| b.id.clone()),
        begun: now,
    };
    r.loading = Some(Loading {
        since: now,
        version: Some(order.lack.weights.version),
    });
    Some(order)
}

/// Gives the engine an order.
pub(super) async fn give(node: &Shared, engine: &Own, conn: &mut Conn, order: &Order) {
    let host = node.settings.borrow().host.clone();
    let load = LoadOrder {
        weights: &order.lack.weights,
        swap: Swap::Retain,
        holder: &host,
        fence: order.fence,
        after: order.after,
        boot: order.boot.as_deref(),
    };
    let taken = replica::order(conn, &load, PATIENCE).await;
    engine.borrow_mut().rollout.given(node.now(), &taken);
    let (outcome, label) = match &taken {
        Ok(Taken::Begun) => ("begun".to_owned(), "begun"),
        Ok(Taken::Done) => ("done".to_owned(), "done"),
        Ok(Taken::Busy) => ("busy".to_owned(), "busy"),
        Err(e) => (e.to_string(), "failed"),
    };
    meter::count(meter::ORDERS, "outcome", label);
    log::event(&Event::Ordered {
        model: &order.lack.weights.model,
        version: order.lack.weights.version,
        fence: order.fence,
        outcome: &outcome,
        after_ms: order.begun.since(order.lack.heard).as_millis(),
        active: order.active,
    });
}
