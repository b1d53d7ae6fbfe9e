//! New weights for the engine beside this process: updates to and from the other sidecars, and the order.
//!
//! [`policy::slots`] decides when the engine loads. No other host ever orders this engine, so that orders
//! of two holders can't cross, whatever is paused or cut off.

use std::net::SocketAddr;

use model::Micros;
use platform::replica::{self, EngineError, LoadOrder, Taken};
use platform::Conn;
use policy::contact::Ask;
use policy::rollout;
use policy::slots::{Group, Lack, ModelKey, Outcome, Slots, State, Step};
use policy::versions::Versions;
use site::{Report, Role, Swap, Weights};
use tokio::net::UdpSocket;
use xxhash_rust::xxh3::xxh3_64;

use super::report::{for_peers, summary};
use super::{Own, PATIENCE};
use crate::log::{self, Event};
use crate::meter;
use crate::update::{self, SlotAsk, Update};
use crate::world::{Shared, World};

/// How long an order waits for an entry's update of which incarnation the engine is. An order that names
/// none may reach the next incarnation: carried out late, it put older weights in the place of newer ones,
/// and 60 of the requests of the next 2 s were refused.
const NAMED: Micros = Micros::from_millis(2_500);

/// Age up to which a slot that was taken is used; a process that was paused in between takes another one.
const TAKEN: Micros = Micros::from_millis(250);

/// What a sidecar knows of new weights.
#[derive(Debug)]
pub(super) struct Rollout {
    pub(super) slots: Slots<SocketAddr>,
    /// Draw of this process.
    process: u64,
    /// Fencing token.
    fence: u64,
    lack: Option<Missing>,
}

/// Weights that the engine is to load.
#[derive(Clone, Debug)]
struct Missing {
    weights: Weights,
    /// When this process received their version.
    received: Micros,
}

impl Default for Rollout {
    fn default() -> Self {
        Self {
            slots: Slots::default(),
            process: rand::random(),
            fence: 0,
            lack: None,
        }
    }
}

impl Rollout {
    /// Takes over another sidecar's update or answer.
    pub(super) fn receive(&mut self, now: Micros, update: &Update, from: SocketAddr) {
        let state = update.alive.then(|| state(update));
        self.slots.receive(now, from, state);
        if let Some(ask) = update.slot_answer {
            let sent = Micros(ask.sent_us);
            let round = ask.round;
            self.slots.answered(now, from, Ask { round, sent });
        }
    }

    /// Adds to the update for the entries and the other sidecars.
    pub(super) fn report(&self, now: Micros, update: &mut Update) {
        let ms = |t: Micros| u32::try_from(t.as_millis()).unwrap_or(u32::MAX);
        let state = self.slots.state(now, 0, Vec::new());
        update.due_ms = state.due.map(ms);
        update.loading_ms = state.loading.map(ms);
        update.load_ms = state.load.map(ms);
        update.wanted = state.desired;
        update.claims = state.claims;
        update.process = self.process;
        update.sent_us = state.sent.0;
    }
}

/// A sidecar's update as decisions see it.
fn state(update: &Update) -> State {
    let ms = |ms: u32| Micros::from_millis(ms.into());
    let weights = update.weights.iter();
    State {
        engine: engine_key(&update.engine),
        weights: weights.map(|w| (model_key(&w.model), w.version)).collect(),
        loading: update
            .busy
            .then(|| ms(update.loading_ms.unwrap_or_default())),
        due: update.due_ms.map(ms),
        load: update.load_ms.map(ms),
        desired: update.wanted,
        claims: update.claims,
        process: update.process,
        sent: Micros(update.sent_us),
    }
}

fn engine_key(addr: &str) -> u64 {
    xxh3_64(addr.as_bytes())
}

fn model_key(model: &str) -> ModelKey {
    ModelKey(xxh3_64(model.as_bytes()))
}

/// Finds what the engine lacks and whether it is free to load.
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
        rollout.lack = None;
        return rollout.slots.lost(now);
    };
    let weights = report.weights.iter();
    let weights: Vec<_> = weights.map(|w| (model_key(&w.model), w.version)).collect();
    rollout.slots.report(now, &weights, report.busy);
    let lack = lacking(report, &world);
    rollout.lack = lack.map(|(has, named)| Missing {
        weights: Weights {
            model: has.model.clone(),
            version: named.newest(),
        },
        received: named.heard(),
    });
    let lack = lack.map(|(has, named)| Lack {
        model: model_key(&has.model),
        version: has.version,
        named,
    });
    let group = group(node, &world);
    rollout.slots.schedule(now, &group, lack.as_ref());
}

/// The first weights in use that are older than the newest that were named.
fn lacking<'a>(report: &'a Report, world: &'a World) -> Option<(&'a Weights, &'a Versions)> {
    report.weights.iter().find_map(|w| {
        let named = world.named.get(&w.model)?;
        (named.newest() > w.version).then_some((w, named))
    })
}

fn group(node: &Shared, world: &World) -> Group {
    let (rank, hosts) = place(node, world);
    let s = node.settings.borrow();
    Group {
        engine: s.engine.map_or(0, |a| engine_key(&a.to_string())),
        rank,
        hosts,
        allowed: s.bounds.weights.into(),
    }
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

/// The sidecars that this one shares slots with.
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

/// An order that is to be sent.
pub(super) struct Order {
    lack: Missing,
    fence: u64,
    /// Orders that the engine must have accepted before.
    after: u64,
    active: u32,
    boot: Option<String>,
    taken: Micros,
    /// Sidecars that were passed over.
    silent: usize,
}

/// Asks the other sidecars for a slot, or takes it once they have answered. From then on the engine counts
/// as loading, which the others receive before the order is answered.
pub(super) fn claim(node: &Shared, engine: &Own, socket: &UdpSocket) -> Option<Order> {
    let peers = peers(node);
    let (step, order) = step(node, engine, &peers);
    if let Some((ask, to)) = step.asks {
        let update = Update {
            slot_ask: Some(SlotAsk {
                round: ask.round,
                sent_us: ask.sent.0,
            }),
            ..for_peers(&summary(node, engine))
        };
        update::send(socket, &update, to);
    }
    order
}

/// Answers another sidecar's ask with the state as of now.
pub(super) fn answer(
    node: &Shared,
    engine: &Own,
    socket: &UdpSocket,
    ask: SlotAsk,
    to: SocketAddr,
) {
    if !engine.borrow().rollout.slots.answers(node.now()) {
        return;
    }
    let update = Update {
        slot_answer: Some(ask),
        ..for_peers(&summary(node, engine))
    };
    update::send(socket, &update, [to]);
}

fn step(node: &Shared, engine: &Own, peers: &[SocketAddr]) -> (Step<SocketAddr>, Option<Order>) {
    let now = node.now();
    let mut e = engine.borrow_mut();
    let e = &mut *e;
    let r = &mut e.rollout;
    let (Some(lack), Some(report)) = (&r.lack, &e.report) else {
        return (r.slots.step(now, peers, false, 0), None);
    };
    let boot = report.boot.as_ref().or(e.boot.as_ref());
    let named = boot.is_some() || now.since(e.since) > NAMED;
    let ordered = !report.busy && r.fence != 0 && named;
    let step = r.slots.step(now, peers, ordered, rand::random());
    let order = step.orders.then(|| Order {
        lack: lack.clone(),
        fence: r.fence,
        after: report.seq,
        active: report.active,
        boot: boot.map(|b| b.id.clone()),
        taken: now,
        silent: step.silent,
    });
    (step, order)
}

/// Gives the engine an order.
pub(super) async fn give(node: &Shared, engine: &Own, conn: &mut Conn, order: &Order) {
    if node.now().since(order.taken) > TAKEN {
        // The others no longer count the claim.
        engine
            .borrow_mut()
            .rollout
            .slots
            .ordered(node.now(), Outcome::Refused);
        return note(order, "not sent: the slot has expired", "expired");
    }
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
    let mut e = engine.borrow_mut();
    e.rollout.slots.ordered(node.now(), outcome(&taken));
    drop(e);
    let (text, label) = match &taken {
        Ok(Taken::Begun) => ("begun".to_owned(), "begun"),
        Ok(Taken::Done) => ("done".to_owned(), "done"),
        Ok(Taken::Busy) => ("busy".to_owned(), "busy"),
        Err(e) => (e.to_string(), "failed"),
    };
    note(order, &text, label);
}

fn note(order: &Order, outcome: &str, label: &'static str) {
    meter::count(meter::ORDERS, "outcome", label);
    log::event(&Event::Ordered {
        model: &order.lack.weights.model,
        version: order.lack.weights.version,
        fence: order.fence,
        outcome,
        after_ms: order.taken.since(order.lack.received).as_millis(),
        active: order.active,
        silent: order.silent,
    });
}

fn outcome(taken: &Result<Taken, EngineError>) -> Outcome {
    match taken {
        Ok(Taken::Begun) => Outcome::Accepted,
        Ok(Taken::Done | Taken::Busy) | Err(EngineError::Refused(_)) => Outcome::Refused,
        Err(EngineError::Call(_) | EngineError::Malformed(_)) => Outcome::Unknown,
    }
}
