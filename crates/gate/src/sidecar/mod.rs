//! The process beside an engine: it orders its weights and tells the entries about it.
//!
//! No other host ever orders this engine, so that orders of two holders can't cross, whatever is
//! paused or cut off. Over its own restarts, which leave it nothing, its fencing token rises because
//! it is the time that the store's steady clock showed when this process began.

mod tell;
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
use crate::news::{self, Held, Life, News};
use crate::world::Shared;
use tell::{for_peers, fresh, subscribers, summary, tell_whole, timeless};
use weights::Rollout;

/// Pause between two looks at the engine; a request's first token takes about as long.
const LOOK: Duration = Duration::from_millis(50);
/// How long the engine may take to answer; it is on the same host.
const PATIENCE: Duration = Duration::from_millis(250);
/// Changed load is told at once, unchanged load after this time.
const RENEW: Duration = Duration::from_millis(200);
/// How often all that the engine holds is told.
const WHOLE: Duration = Duration::from_secs(3);
/// How long after its start a sidecar tells all entries; each that wants to hear it asks within that.
const STARTED: Micros = Micros(2 * subscription::RENEW.0);
/// How often the other sidecars are told while weights change; they count a word for three times that.
const PEERS: Duration = Duration::from_millis(500);

/// What the sidecar knows of its engine.
#[derive(Debug, Default)]
struct Engine {
    report: Option<Report>,
    alive: bool,
    /// Whether nobody listens at its address.
    ended: bool,
    /// Which life it is, and which one was there before it.
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
    /// Takes over an entry's word of which life it is. An entry that hasn't read the list since the
    /// former one ended still names that one.
    fn live(&mut self, life: &Life) {
        let boot = Boot {
            id: life.id.clone(),
            born: life.born,
        };
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
    let hear = hear(
        Rc::clone(&node),
        Rc::clone(&engine),
        Rc::clone(&socket),
        kept,
    );
    let look = look(&node, &engine, Conn::new(addr), &socket);
    tokio::select! {
        () = events => {}
        () = look => {}
        () = hear => {}
        _ = stop => {}
    }
    Ok(())
}

type Own = Rc<std::cell::RefCell<Engine>>;

/// Takes over what entries tell of the prompts that they send, and answers those that have just
/// started and know nothing.
async fn hear(node: Shared, engine: Own, socket: Rc<UdpSocket>, kept: kept::Stores) {
    loop {
        let (news, from) = news::receive(&socket).await;
        if let Some(life) = &news.life {
            engine.borrow_mut().live(life);
        }
        if news.asks {
            if engine.borrow_mut().subscribers.subscribe(node.now(), from) {
                tell_whole(&engine, &socket, &summary(&node, &engine), [from]);
                kept.tell(&socket, [from]);
            }
            continue;
        }
        if !news.entry {
            engine.borrow_mut().rollout.receive(node.now(), &news, from);
            if let Some(ask) = news.slot_ask {
                weights::answer(&node, &engine, &socket, ask, from);
            }
            continue;
        }
        let Some(note) = news.note else {
            continue;
        };
        let ledger = &mut engine.borrow_mut().ledger;
        match note.tokens {
            Some(tokens) => ledger.sent(node.now(), note.request, tokens),
            None => ledger.read(note.request),
        }
    }
}

/// Follows what the engine stores and drops.
async fn events(engine: Own, addr: SocketAddr) {
    let mut follower = Follower::new(Conn::new(addr));
    loop {
        // The look at the engine's load tells when it doesn't answer.
        let Ok(told) = follower.changes().await else {
            sleep(PATIENCE).await;
            continue;
        };
        let mut e = engine.borrow_mut();
        let before = e.cache.epoch;
        let changes = told.into(&mut e.cache);
        if e.cache.epoch != before {
            // Another life of the engine, which holds nothing of before.
            e.fresh.clear();
            e.ledger.clear();
        }
        e.fresh.extend(changes);
    }
}

/// Looks at the engine, gives it its orders, tells the entries.
async fn look(node: &Shared, engine: &Own, mut conn: Conn, socket: &UdpSocket) {
    let mut told = News::default();
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
            let news = summary(node, engine);
            peers.tell(node, engine, socket, &news);
            news::send(socket, &news, subscribers(node, engine));
            weights::give(node, engine, &mut conn, &order).await;
        }
        let news = summary(node, engine);
        peers.tell(node, engine, socket, &news);
        if whole.elapsed() >= WHOLE {
            whole = Instant::now();
            tell_whole(engine, socket, &news, subscribers(node, engine));
        }
        let fresh = fresh(node, engine);
        let timeless = timeless(&news);
        if timeless != told || !fresh.is_empty() || renewed.elapsed() >= RENEW {
            told = timeless;
            renewed = Instant::now();
            news::send_parts(socket, news, &fresh, subscribers(node, engine));
        }
        sleep(LOOK).await;
    }
}

/// What the other sidecars were told last.
#[derive(Default)]
struct Peers {
    told: News,
    renewed: Option<Instant>,
}

impl Peers {
    /// Tells the other sidecars what has changed, and all of it now and then while weights change.
    fn tell(&mut self, node: &Shared, engine: &Own, socket: &UdpSocket, news: &News) {
        let news = for_peers(news);
        let timeless = timeless(&news);
        let late = self.renewed.is_none_or(|at| at.elapsed() >= PEERS);
        let renew = late && engine.borrow().rollout.slots.under_way(node.now());
        let answers = engine.borrow().rollout.slots.answers(node.now());
        if !answers || (timeless == self.told && !renew) {
            return;
        }
        self.told = timeless;
        self.renewed = Some(Instant::now());
        news::send(socket, &news, weights::peers(node));
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
