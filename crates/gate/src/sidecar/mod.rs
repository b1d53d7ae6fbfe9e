//! The process beside an engine: it orders its weights and reports to the entries.
//!
//! No other host ever orders this engine, so that orders of two holders can't cross, whatever is
//! paused or cut off. Over its own restarts, which leave it nothing, its fencing token rises because
//! it is the time that the store's steady clock showed when this process began.

mod report;
mod weights;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use model::Micros;
use platform::replica;
use platform::Conn;
use policy::ledger::Ledger;
use policy::subscription::{self, Subscribers};
use site::{Boot, Report};
use tokio::net::UdpSocket;
use tokio::time::{sleep, Instant};

use crate::cache::{Cache, Follower};
use crate::kept;
use crate::log::Dependency;
use crate::peer;
use crate::update::{self, Held, Update};
use crate::world::Shared;
use report::{for_peers, fresh, send_whole, subscribers, summary, timeless};
use weights::Rollout;

/// Pause between two looks at the engine; a request's first token takes about as long.
const LOOK: Duration = Duration::from_millis(50);
/// Pause between two questions which incarnation the engine is.
const IDENTIFY: Duration = Duration::from_millis(100);
/// Pause between two looks whether that is still known.
const IDENTIFIED: Duration = Duration::from_millis(400);
/// How long the engine may take to answer; it is on the same host.
const PATIENCE: Duration = Duration::from_millis(250);
/// Changed load is reported at once, unchanged load after this time.
const RENEW: Duration = Duration::from_millis(200);
/// Interval at which all that the engine holds is reported.
const WHOLE: Duration = Duration::from_secs(3);
/// How long after its start a sidecar reports to all entries; each that uses it subscribes within that.
const STARTED: Micros = Micros(2 * subscription::RENEW.0);
/// Interval of updates to the other sidecars while weights change; each counts for three times that.
const PEERS: Duration = Duration::from_millis(500);

/// What the sidecar knows of its engine.
#[derive(Debug, Default)]
struct Engine {
    report: Option<Report>,
    alive: bool,
    /// Whether nothing listens at its address.
    ended: bool,
    /// Which incarnation it is, and which one was there before it.
    boot: Option<Boot>,
    former: Option<Boot>,
    /// Since when it answers.
    since: Micros,
    cache: Cache,
    fresh: Vec<Held>,
    /// New weights and turns to load them.
    rollout: Rollout,
    /// What it has yet to read.
    ledger: Ledger,
    /// The entries that it reports to.
    subscribers: Subscribers,
}

impl Engine {
    /// Takes over which incarnation it is from an entry. One that hasn't read the list since the former
    /// one ended still names that one.
    fn identify(&mut self, boot: Boot) {
        if self.former.as_ref() != Some(&boot) {
            self.boot = Some(boot);
        }
    }
}

/// Runs a sidecar until it is told to stop.
pub async fn run(
    node: Shared,
    socket: UdpSocket,
    stop: impl Future<Output = Instant>,
) -> io::Result<()> {
    let engine = Rc::new(std::cell::RefCell::new(Engine::default()));
    let Some(addr) = node.settings.borrow().engine else {
        return Err(io::Error::other(
            "the settings name no engine beside this sidecar",
        ));
    };
    let events = events(Rc::clone(&engine), addr);
    let socket = Rc::new(socket);
    let kept = kept::Stores::default();
    tokio::task::spawn_local(kept::follow(
        Rc::clone(&node),
        Rc::clone(&socket),
        kept.clone(),
    ));
    let receive = receive(
        Rc::clone(&node),
        Rc::clone(&engine),
        Rc::clone(&socket),
        kept,
    );
    let look = look(&node, &engine, Conn::new(addr), &socket);
    tokio::select! {
        () = identify(&node, &engine, addr) => {}
        () = events => {}
        () = look => {}
        () = receive => {}
        _ = stop => {}
    }
    Ok(())
}

type Own = Rc<std::cell::RefCell<Engine>>;

/// Receives updates: incarnations, subscriptions and prompts from entries, slots from other sidecars.
async fn receive(node: Shared, engine: Own, socket: Rc<UdpSocket>, kept: kept::Stores) {
    loop {
        let (update, from) = update::receive(&socket).await;
        if let Some(life) = &update.life {
            engine.borrow_mut().identify(Boot {
                id: life.id.clone(),
                born: life.born,
            });
        }
        if update.asks {
            if engine.borrow_mut().subscribers.subscribe(node.now(), from) {
                send_whole(&engine, &socket, &summary(&node, &engine), [from]);
                kept.tell(&socket, [from]);
            }
            continue;
        }
        if !update.entry {
            engine
                .borrow_mut()
                .rollout
                .receive(node.now(), &update, from);
            if let Some(ask) = update.slot_ask {
                weights::answer(&node, &engine, &socket, ask, from);
            }
            continue;
        }
        let Some(note) = update.note else {
            continue;
        };
        let ledger = &mut engine.borrow_mut().ledger;
        match note.tokens {
            Some(tokens) => ledger.sent(node.now(), note.request, tokens),
            None => ledger.read(note.request),
        }
    }
}

/// Asks entries which incarnation the engine is, until one has said so.
///
/// Entries send it with their subscriptions as well. On that alone a sidecar whose datagrams were lost had
/// no incarnation to name in an order for seconds.
async fn identify(node: &Shared, engine: &Own, addr: SocketAddr) {
    loop {
        let unknown = {
            let e = engine.borrow();
            e.alive && e.boot.is_none() && e.report.as_ref().is_some_and(|r| r.boot.is_none())
        };
        if !unknown {
            sleep(IDENTIFIED).await;
            continue;
        }
        sleep(IDENTIFY).await;
        if let Some(boot) = peer::incarnation(node, addr).await {
            engine.borrow_mut().identify(boot);
        }
    }
}

/// Follows what the engine stores and drops.
async fn events(engine: Own, addr: SocketAddr) {
    let mut follower = Follower::new(Conn::new(addr));
    loop {
        // The look at the engine's load shows when it doesn't answer.
        let Ok(changes) = follower.changes().await else {
            sleep(PATIENCE).await;
            continue;
        };
        let mut e = engine.borrow_mut();
        let before = e.cache.epoch;
        let changes = changes.into(&mut e.cache);
        if e.cache.epoch != before {
            // Another incarnation of the engine, which holds nothing of before.
            e.fresh.clear();
            e.ledger.clear();
        }
        e.fresh.extend(changes);
    }
}

/// Looks at the engine, gives it its orders, reports to the entries.
async fn look(node: &Shared, engine: &Own, mut conn: Conn, socket: &UdpSocket) {
    let mut reported = Update::default();
    let mut renewed = Instant::now() - RENEW;
    let mut whole = Instant::now();
    let mut peers = Peers::default();
    let mut dependency = Dependency::new("engine");
    loop {
        let report = replica::report(&mut conn, PATIENCE).await;
        dependency.note(&report);
        note(node.now(), engine, report);
        weights::schedule(node, engine);
        if let Some(order) = weights::claim(node, engine, socket) {
            let update = summary(node, engine);
            peers.report(node, engine, socket, &update);
            update::send(socket, &update, subscribers(node, engine));
            weights::give(node, engine, &mut conn, &order).await;
        }
        let update = summary(node, engine);
        peers.report(node, engine, socket, &update);
        if whole.elapsed() >= WHOLE {
            whole = Instant::now();
            send_whole(engine, socket, &update, subscribers(node, engine));
        }
        let fresh = fresh(node, engine);
        let timeless = timeless(&update);
        if timeless != reported || !fresh.is_empty() || renewed.elapsed() >= RENEW {
            reported = timeless;
            renewed = Instant::now();
            update::send_parts(socket, update, &fresh, subscribers(node, engine));
        }
        sleep(LOOK).await;
    }
}

/// What was last reported to the other sidecars.
#[derive(Default)]
struct Peers {
    reported: Update,
    renewed: Option<Instant>,
}

impl Peers {
    /// Reports to the other sidecars what has changed, and all of it now and then while weights change.
    fn report(&mut self, node: &Shared, engine: &Own, socket: &UdpSocket, update: &Update) {
        let update = for_peers(update);
        let timeless = timeless(&update);
        let late = self.renewed.is_none_or(|at| at.elapsed() >= PEERS);
        let renew = late && engine.borrow().rollout.slots.under_way(node.now());
        let answers = engine.borrow().rollout.slots.answers(node.now());
        if !answers || (timeless == self.reported && !renew) {
            return;
        }
        self.reported = timeless;
        self.renewed = Some(Instant::now());
        update::send(socket, &update, weights::peers(node));
    }
}

fn note(now: Micros, engine: &Own, report: Result<Report, replica::EngineError>) {
    let mut e = engine.borrow_mut();
    if report.is_ok() && !e.alive {
        e.since = now;
    }
    e.alive = report.is_ok();
    e.ended = report.as_ref().is_err_and(replica::EngineError::ended);
    if e.ended {
        // Another will be there; nothing that is known of this one holds for it.
        e.report = None;
        e.former = e.boot.take().or(e.former.take());
    }
    if let Ok(report) = report {
        e.report = Some(report);
    }
}
