//! Following what the stores of kept KV cache hold, for all entries.
//!
//! A store answers only a few listeners at once, so not every entry can follow it. A few sidecars, or
//! entries where there are no sidecars, do, chosen by rank for each store, and report to the entries. More than one follows each store, so that
//! the loss of a host doesn't leave the entries without updates; the same one twice does no harm.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use platform::Conn;
use site::Role;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::agent::all_entries;
use crate::cache::{Cache, Follower};
use crate::log::Dependency;
use crate::node::{ClusterState, SharedNode};
use crate::update::{self, Update};

/// Processes that follow each store; stores allow eight listeners or more.
const FOLLOWERS: usize = 2;
/// Pause before the entries and stores are known. A process that starts has read both within some 40 ms.
const START: Duration = Duration::from_millis(20);
/// Time after an entry's start in which it leaves stores to sidecars.
const SIDECARS: Duration = Duration::from_millis(2_000);
/// How often the choice of followers is looked at.
const LOOK: Duration = Duration::from_millis(1_000);
/// Pause before a question after one that failed.
const AGAIN: Duration = Duration::from_millis(400);
/// How often all that a store holds is told.
const WHOLE: Duration = Duration::from_secs(4);

/// What a store holds, and whether it answers.
#[derive(Debug, Default)]
struct StoreContents {
    alive: bool,
    cache: Cache,
}

/// The stores that this process follows.
#[derive(Clone, Debug, Default)]
pub struct FollowedStores(Rc<RefCell<HashMap<SocketAddr, StoreContents>>>);

impl FollowedStores {
    /// Tells some addresses all that is known.
    pub fn send_to(&self, socket: &UdpSocket, to: impl IntoIterator<Item = SocketAddr> + Clone) {
        for (addr, view) in self.0.borrow().iter() {
            update::send_parts(socket, view.update(*addr), &view.cache.all(), to.clone());
        }
    }
}

impl StoreContents {
    fn update(&self, addr: SocketAddr) -> Update {
        Update {
            engine: addr.to_string(),
            kept: true,
            alive: self.alive,
            epoch: self.cache.epoch,
            ..Update::default()
        }
    }
}

/// Follows the stores that are this host's to follow, for as long as the process lives.
pub async fn follow(node: SharedNode, socket: Rc<UdpSocket>, stores: FollowedStores) {
    let entry = node.settings.borrow().role == Role::Entry;
    if entry {
        // Until then sidecars that start as well may not be known.
        sleep(SIDECARS).await;
    }
    // What is sent before the entries are known is lost.
    while node.plan().is_none() || all_entries(&node).is_empty() {
        sleep(START).await;
    }
    let mut following: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    loop {
        let ours = ours(&node);
        following.retain(|addr, task| {
            let keep = ours.contains(addr);
            if !keep {
                task.abort();
                stores.0.borrow_mut().remove(addr);
            }
            keep
        });
        for addr in ours {
            following.entry(addr).or_insert_with(|| {
                let follow = one(Rc::clone(&node), Rc::clone(&socket), stores.clone(), addr);
                tokio::task::spawn_local(follow)
            });
        }
        sleep(LOOK).await;
    }
}

/// The stores for which this host is among the first by rank.
fn ours(node: &SharedNode) -> Vec<SocketAddr> {
    let Some(plan) = node.plan() else {
        return Vec::new();
    };
    let cluster = node.cluster.borrow();
    let host = &node.settings.borrow().host;
    let role = follower(node, &cluster);
    if node.settings.borrow().role != role {
        return Vec::new();
    }
    let followers = cluster.members.iter().filter(|(_, m)| m.role == role);
    let others: Vec<_> = followers.map(|(h, _)| h).filter(|h| *h != host).collect();
    let stores = plan.kv_stores().iter().map(|k| k.addr);
    let first = |addr: &SocketAddr| {
        let seed = u64::from(addr.port()) ^ xxh3_64_with_seed(addr.to_string().as_bytes(), 0);
        let rank = |h: &str| xxh3_64_with_seed(h.as_bytes(), seed);
        let own = rank(host);
        others.iter().filter(|h| rank(h) < own).count() < FOLLOWERS
    };
    stores.filter(first).collect()
}

/// The role of processes that follow stores: sidecars, or entries where there are none.
fn follower(node: &SharedNode, cluster: &ClusterState) -> Role {
    let sidecar = node.settings.borrow().role == Role::Sidecar;
    match sidecar || cluster.sidecars().next().is_some() {
        true => Role::Sidecar,
        false => Role::Entry,
    }
}

/// Follows one store.
async fn one(node: SharedNode, socket: Rc<UdpSocket>, stores: FollowedStores, addr: SocketAddr) {
    let mut follower = Follower::new(Conn::new(addr));
    let mut whole = Instant::now();
    let mut store = Dependency::new("kept cache");
    loop {
        let told = follower.changes().await;
        store.record(&told);
        let entries = all_entries(&node);
        let Ok(told) = told else {
            // Nothing is fetched from a store that doesn't answer.
            stores.0.borrow_mut().insert(addr, StoreContents::default());
            update::send(&socket, &StoreContents::default().update(addr), entries);
            sleep(AGAIN).await;
            continue;
        };
        let (update, changes) = {
            let mut stores = stores.0.borrow_mut();
            let view = stores.entry(addr).or_default();
            view.alive = true;
            let changes = told.into(&mut view.cache);
            (view.update(addr), changes)
        };
        update::send_parts(&socket, update, &changes, entries.iter().copied());
        if whole.elapsed() > WHOLE {
            whole = Instant::now();
            stores.send_to(&socket, entries.iter().copied());
        }
    }
}
