//! The process beside an engine: it orders its weights and tells the entries about it.
//!
//! No other host ever orders this engine, so that orders of two holders can't cross, whatever is
//! paused or cut off. Over its own restarts, which leave it nothing, its fencing token rises because
//! it is the time that the store's steady clock showed when this process began.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use model::Micros;
use platform::replica::{self, LoadOrder, Taken};
use platform::Conn;
use policy::hearing::{self, Hearers};
use policy::ledger::Ledger;
use policy::turns;
use site::{Boot, Report, Swap, Weights};
use tokio::net::UdpSocket;
use tokio::time::{sleep, Instant};

use crate::cache::{Cache, Follower};
use crate::kept;
use crate::log::{self, Dependency, Event};
use crate::meter;
use crate::news::{self, Held, Life, Loaded, News};
use crate::world::Shared;

/// Pause between two looks at the engine; a request's first token takes about as long.
const LOOK: Duration = Duration::from_millis(50);
/// How long the engine may take to answer; it is on the same host.
const PATIENCE: Duration = Duration::from_millis(250);
/// Changed load is told at once, unchanged load after this time.
const RENEW: Duration = Duration::from_millis(200);
/// How often all that the engine holds is told.
const WHOLE: Duration = Duration::from_secs(3);
/// How long a load is expected to take before one has been seen.
const LOAD: Micros = Micros::from_millis(400);
/// Weight of a new load's length.
const SMOOTH: f64 = 0.5;
/// How long what runs may keep an engine whose turn has come; most generations take less.
const EMPTY: Micros = Micros::from_millis(350);
/// How long before its turn the engine gets no new requests; as long as most generations take.
pub const QUIET: Micros = Micros::from_millis(300);
/// How long after its start a sidecar tells all entries; each that wants to hear it asks within that.
const STARTED: Micros = Micros(2 * hearing::ASK.0);
/// How long an order waits for an entry's word of which life the engine is. An order that names none may
/// reach the next life: carried out late, it put older weights in the place of newer ones, and 60 of the
/// requests of the next 2 s were refused.
const NAMED: Micros = Micros::from_millis(2_500);
/// Pause after an order that wasn't answered or was refused; it may still be carried out.
const AGAIN: Micros = Micros::from_millis(300);

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
    /// When the newest weights are to be loaded.
    turn: Option<Turn>,
    /// How long a load takes.
    load: Option<Micros>,
    fence: u64,
    /// What it has yet to read.
    ledger: Ledger,
    /// The entries that want to hear of it.
    hearers: Hearers,
}

impl Engine {
    /// Takes over an entry's word of which life it is. An entry that hasn't read the list since the
    /// former one ended still names that one.
    fn live(&mut self, life: Life) {
        let boot = Boot {
            id: life.id,
            born: life.born,
        };
        if self.former.as_ref() != Some(&boot) {
            self.boot = Some(boot);
        }
    }
}

/// A load that is to come.
#[derive(Clone, Debug, PartialEq)]
struct Turn {
    weights: Weights,
    heard: Micros,
    at: Micros,
    /// Not before this, after an order without success.
    pause: Micros,
    /// When the engine began to load.
    begun: Option<Micros>,
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
        if let Some(life) = news.life {
            engine.borrow_mut().live(life);
        }
        if news.asks {
            if engine.borrow_mut().hearers.ask(node.now(), from) {
                tell_whole(&engine, &socket, &summary(&node, &engine), [from]);
                kept.tell(&socket, [from]);
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
    let mut dependency = Dependency::new("engine");
    loop {
        let report = replica::report(&mut conn, PATIENCE).await;
        dependency.note(&report);
        note(node.now(), engine, report);
        schedule(node, engine);
        order(node, engine, &mut conn).await;
        let news = summary(node, engine);
        if whole.elapsed() >= WHOLE {
            whole = Instant::now();
            tell_whole(engine, socket, &news, hearers(node, engine));
        }
        let fresh = fresh(node, engine);
        if news != told || !fresh.is_empty() || renewed.elapsed() >= RENEW {
            told = news.clone();
            renewed = Instant::now();
            news::send_parts(socket, news, &fresh, hearers(node, engine));
        }
        sleep(LOOK).await;
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

/// Sets the engine's turn if it lacks newer weights.
fn schedule(node: &Shared, engine: &Own) {
    let now = node.now();
    let world = node.world.borrow();
    let mut e = engine.borrow_mut();
    if e.fence == 0 {
        e.fence = world.clock;
    }
    let Some(report) = e.report.as_ref() else {
        return;
    };
    let lacking = report.weights.iter().find_map(|w| {
        let named = world.named.get(&w.model)?;
        let lacks = named.newest() > w.version;
        lacks.then(|| (w.model.clone(), named.newest(), named.heard()))
    });
    let Some((model, version, heard)) = lacking else {
        // Its length is known once the engine has what it was ordered to load.
        if let Some(begun) = e.turn.take().and_then(|t| t.begun) {
            let seen = now.since(begun).0 as f64;
            let old = e.load.map_or(seen, |l| l.0 as f64);
            e.load = Some(Micros((old + (seen - old) * SMOOTH) as u64));
        }
        return;
    };
    if e.turn
        .as_ref()
        .is_some_and(|t| t.weights.version == version)
    {
        return;
    }
    let (rank, engines) = rank(node, &world);
    let load = e.load.unwrap_or(LOAD);
    let wait = turns::wait(&turns::Config::default(), rank, engines, load);
    e.turn = Some(Turn {
        weights: Weights { model, version },
        heard,
        at: (heard + QUIET + wait).max(now),
        pause: Micros::ZERO,
        begun: None,
    });
}

/// This host's place among the hosts with an engine, and their number.
fn rank(node: &Shared, world: &crate::world::World) -> (usize, usize) {
    let own = &node.settings.borrow().host;
    let members = world.members.iter();
    let others: Vec<_> = members
        .filter(|(h, m)| m.role == site::Role::Sidecar && *h != own)
        .map(|(h, _)| h)
        .collect();
    let before = others.iter().filter(|h| **h < own).count();
    (before, others.len() + 1)
}

/// Orders the load whose turn has come.
async fn order(node: &Shared, engine: &Own, conn: &mut Conn) {
    let now = node.now();
    let (turn, fence, seq, active, boot) = {
        let e = engine.borrow();
        let (Some(turn), Some(report)) = (&e.turn, &e.report) else {
            return;
        };
        let emptied = report.active == 0 || now >= turn.at + EMPTY;
        let boot = report.boot.as_ref().or(e.boot.as_ref());
        let named = boot.is_some() || now.since(e.since) > NAMED;
        let due = e.alive && !report.busy && e.fence > 0 && named;
        if !due || now < turn.at || now < turn.pause || !emptied {
            return;
        }
        let boot = boot.map(|b| b.id.clone());
        (turn.clone(), e.fence, report.seq, report.active, boot)
    };
    let host = node.settings.borrow().host.clone();
    let load = LoadOrder {
        weights: &turn.weights,
        swap: Swap::Retain,
        holder: &host,
        fence,
        after: seq,
        boot: boot.as_deref(),
    };
    let taken = replica::order(conn, &load, PATIENCE).await;
    let mut e = engine.borrow_mut();
    if let Some(t) = &mut e.turn {
        t.pause = node.now() + AGAIN;
        if matches!(taken, Ok(Taken::Begun)) {
            t.begun = Some(now);
        }
    }
    let (outcome, label) = match &taken {
        Ok(Taken::Begun) => ("begun".to_owned(), "begun"),
        Ok(Taken::Done) => ("done".to_owned(), "done"),
        Ok(Taken::Busy) => ("busy".to_owned(), "busy"),
        Err(e) => (e.to_string(), "failed"),
    };
    meter::count(meter::ORDERS, "outcome", label);
    log::event(&Event::Ordered {
        model: &turn.weights.model,
        version: turn.weights.version,
        fence,
        outcome: &outcome,
        after_ms: now.since(turn.heard).as_millis(),
        active,
    });
}

fn summary(node: &Shared, engine: &Own) -> News {
    let now = node.now();
    let mut e = engine.borrow_mut();
    e.ledger.expire(now);
    let addr = node.settings.borrow().engine;
    let mut news = News {
        engine: addr.map(|a| a.to_string()).unwrap_or_default(),
        alive: e.alive,
        ended: e.ended,
        epoch: e.cache.epoch,
        tokens: e.ledger.unread().to_vec(),
        swap_ms: e.turn.as_ref().map(|t| t.at.since(now).as_millis() as u32),
        ..News::default()
    };
    if let Some(r) = &e.report {
        news.weights = r.weights.iter().map(loaded).collect();
        news.busy = r.busy;
        news.begun = r.begun;
        news.unread = (r.active + r.queued).saturating_sub(r.begun);
        news.used = r.used;
        news.total = r.total;
    }
    news
}

fn loaded(weights: &Weights) -> Loaded {
    Loaded {
        model: weights.model.clone(),
        version: weights.version,
    }
}

/// Those whom the sidecar tells: entries that have asked and, as long as it has just started and they
/// may not have asked yet, all that are known.
fn hearers(node: &Shared, engine: &Own) -> Vec<SocketAddr> {
    let now = node.now();
    let asked: Vec<_> = engine.borrow().hearers.told(now).collect();
    let world = node.world.borrow();
    let known = world.entries().filter(|_| now < STARTED);
    let others = known.filter(|e| !asked.contains(e)).collect::<Vec<_>>();
    asked.into_iter().chain(others).collect()
}

/// What is to be told of parts. While no entry is known it is kept: a sidecar that starts reads all
/// that its engine has stored, often before it has read who the entries are.
fn fresh(node: &Shared, engine: &Own) -> Vec<Held> {
    match hearers(node, engine).first() {
        Some(_) => std::mem::take(&mut engine.borrow_mut().fresh),
        None => Vec::new(),
    }
}

fn tell_whole(
    engine: &Own,
    socket: &UdpSocket,
    news: &News,
    to: impl IntoIterator<Item = SocketAddr> + Clone,
) {
    let held = engine.borrow().cache.all();
    news::send_parts(socket, news.clone(), &held, to);
}
