//! Following what the stores of kept KV cache hold, for all entries.
//!
//! A store answers only a few listeners at once, so not every entry can follow it. A few sidecars
//! do, chosen by rank for each store, and tell the entries. More than one follows each store, so that
//! the loss of a host doesn't leave the entries without news; the same news twice does no harm.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use platform::replica::{self, Events};
use platform::Conn;
use site::{PartId, Role};
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::log::Dependency;
use crate::news::{self, Held, News};
use crate::world::Shared;

/// Sidecars that follow each store; stores allow eight listeners or more.
const FOLLOWERS: usize = 2;
/// How often the choice of followers is looked at.
const LOOK: Duration = Duration::from_millis(1_000);
/// How long a store may hold the question what it has stored.
const HOLD: Duration = Duration::from_millis(1_000);
/// How long its answer may take beyond that.
const PATIENCE: Duration = Duration::from_millis(300);
/// Pause before a question after one that failed.
const AGAIN: Duration = Duration::from_millis(400);
/// How often all that a store holds is told.
const WHOLE: Duration = Duration::from_secs(4);

/// Follows the stores that are this host's to follow, for as long as the process lives.
pub async fn follow(node: Shared, socket: Rc<UdpSocket>) {
    let mut following: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    loop {
        let ours = ours(&node);
        following.retain(|addr, task| {
            let keep = ours.contains(addr);
            if !keep {
                task.abort();
            }
            keep
        });
        for addr in ours {
            following.entry(addr).or_insert_with(|| {
                let follow = one(Rc::clone(&node), Rc::clone(&socket), addr);
                tokio::task::spawn_local(follow)
            });
        }
        sleep(LOOK).await;
    }
}

/// The stores for which this host is among the first by rank.
fn ours(node: &Shared) -> Vec<SocketAddr> {
    let Some(plan) = node.plan() else {
        return Vec::new();
    };
    let world = node.world.borrow();
    let host = &node.settings.borrow().host;
    let sidecars = world
        .members
        .iter()
        .filter(|(_, m)| m.role == Role::Sidecar);
    let others: Vec<_> = sidecars.map(|(h, _)| h).filter(|h| *h != host).collect();
    let stores = plan.kept().iter().map(|k| k.addr);
    let first = |addr: &SocketAddr| {
        let seed = u64::from(addr.port()) ^ xxh3_64_with_seed(addr.to_string().as_bytes(), 0);
        let rank = |h: &str| xxh3_64_with_seed(h.as_bytes(), seed);
        let own = rank(host);
        others.iter().filter(|h| rank(h) < own).count() < FOLLOWERS
    };
    stores.filter(first).collect()
}

/// Follows one store.
async fn one(node: Shared, socket: Rc<UdpSocket>, addr: SocketAddr) {
    let mut conn = Conn::new(addr);
    let mut held: HashMap<(u64, PartId), u32> = HashMap::new();
    let (mut next, mut epoch) = (0, 0);
    let mut whole = Instant::now();
    let mut store = Dependency::new("kept cache");
    loop {
        let told = replica::events(&mut conn, next, HOLD, PATIENCE).await;
        store.note(&told);
        let Ok(told) = told else {
            // Nothing is fetched from a store that doesn't answer.
            tell(&node, &socket, addr, epoch, false, &[]);
            next = 0;
            held.clear();
            sleep(AGAIN).await;
            continue;
        };
        if told.epoch != epoch {
            epoch = told.epoch;
            held.clear();
        }
        next = told.next;
        for s in &told.stored {
            match s.tokens {
                0 => held.remove(&(s.scope, s.part)),
                n => held.insert((s.scope, s.part), n),
            };
        }
        tell(&node, &socket, addr, epoch, true, &changes(&told));
        if whole.elapsed() > WHOLE {
            whole = Instant::now();
            let all: Vec<_> = held.iter().map(|(k, n)| part(*k, *n)).collect();
            tell(&node, &socket, addr, epoch, true, &all);
        }
    }
}

fn changes(told: &Events) -> Vec<Held> {
    let stored = told.stored.iter();
    stored.map(|s| part((s.scope, s.part), s.tokens)).collect()
}

fn part((scope, part): (u64, PartId), tokens: u32) -> Held {
    Held {
        scope,
        part: part.0,
        tokens,
    }
}

fn tell(
    node: &Shared,
    socket: &UdpSocket,
    addr: SocketAddr,
    epoch: u64,
    alive: bool,
    parts: &[Held],
) {
    let news = News {
        engine: addr.to_string(),
        kept: true,
        alive,
        epoch,
        ..News::default()
    };
    news::send_parts(socket, news, parts, &node.world.borrow());
}
