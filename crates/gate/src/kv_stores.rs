//! Following the contents of the KV stores on behalf of all entries.
//!
//! A KV store serves only a few listeners at once, so not every entry can follow it. Instead, a few
//! sidecars, or entries if there are no sidecars, are selected by rank for each store; these follow
//! the store and report to all entries. Each store has more than one follower, so that the loss of
//! a host doesn't leave the entries without updates; receiving the same update twice is harmless.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use platform::call::MAX_ENGINE_ANSWER;
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

/// Number of processes that follow each store; stores allow at least eight listeners.
const FOLLOWERS_PER_STORE: usize = 2;
/// Poll interval until the entries and stores are known; a starting process knows both within about
/// 40 ms.
const STARTUP_POLL: Duration = Duration::from_millis(20);
/// Time after an entry's start before it follows any store, so that sidecars can do so.
const ENTRY_DELAY: Duration = Duration::from_millis(2_000);
/// Interval at which the selection of followers is updated.
const ASSIGNMENT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Pause after a failed request to a store.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Interval at which all parts of a store are reported.
const FULL_UPDATE_INTERVAL: Duration = Duration::from_secs(4);

/// Contents of a store, and whether the store answers.
#[derive(Debug, Default)]
struct StoreContents {
    alive: bool,
    cache: Cache,
}

/// The stores that this process follows.
#[derive(Clone, Debug, Default)]
pub struct FollowedStores(Rc<RefCell<HashMap<SocketAddr, StoreContents>>>);

impl FollowedStores {
    /// Sends the contents of all followed stores to the given addresses.
    pub fn send_to(&self, socket: &UdpSocket, to: impl IntoIterator<Item = SocketAddr> + Clone) {
        for (addr, contents) in self.0.borrow().iter() {
            update::send_parts(
                socket,
                contents.update(*addr),
                &contents.cache.all(),
                to.clone(),
            );
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

/// Follows the stores that this process is selected for, for as long as it runs.
pub async fn follow(node: SharedNode, socket: Rc<UdpSocket>, stores: FollowedStores) {
    let entry = node.settings.borrow().role == Role::Entry;
    if entry {
        // Sidecars that start at the same time may not be known earlier.
        sleep(ENTRY_DELAY).await;
    }
    // Updates sent before the entries are known would be lost.
    while node.plan().is_none() || all_entries(&node).is_empty() {
        sleep(STARTUP_POLL).await;
    }
    let mut following: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    loop {
        let assigned = assigned_stores(&node);
        following.retain(|addr, task| {
            let keep = assigned.contains(addr);
            if !keep {
                task.abort();
                stores.0.borrow_mut().remove(addr);
            }
            keep
        });
        for addr in assigned {
            following.entry(addr).or_insert_with(|| {
                let follow =
                    follow_store(Rc::clone(&node), Rc::clone(&socket), stores.clone(), addr);
                tokio::task::spawn_local(follow)
            });
        }
        sleep(ASSIGNMENT_INTERVAL).await;
    }
}

/// The stores for which this process is among the first followers by rank.
fn assigned_stores(node: &SharedNode) -> Vec<SocketAddr> {
    let Some(plan) = node.plan() else {
        return Vec::new();
    };
    let cluster = node.cluster.borrow();
    let host = &node.settings.borrow().host;
    let role = follower_role(node, &cluster);
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
        others.iter().filter(|h| rank(h) < own).count() < FOLLOWERS_PER_STORE
    };
    stores.filter(first).collect()
}

/// Role of the processes that follow stores: sidecars, or entries if no sidecar is a member.
fn follower_role(node: &SharedNode, cluster: &ClusterState) -> Role {
    let sidecar = node.settings.borrow().role == Role::Sidecar;
    match sidecar || cluster.sidecars().next().is_some() {
        true => Role::Sidecar,
        false => Role::Entry,
    }
}

/// Follows one store.
async fn follow_store(
    node: SharedNode,
    socket: Rc<UdpSocket>,
    stores: FollowedStores,
    addr: SocketAddr,
) {
    let mut follower = Follower::new(Conn::new(addr, MAX_ENGINE_ANSWER));
    let mut last_full = Instant::now();
    let mut dependency = Dependency::new("kept cache");
    loop {
        let update = follower.changes().await;
        dependency.record(&update);
        let entries = all_entries(&node);
        let Ok(changes) = update else {
            // The store is reported as unavailable, so that no engine fetches from it.
            stores.0.borrow_mut().insert(addr, StoreContents::default());
            update::send(&socket, &StoreContents::default().update(addr), entries);
            sleep(RETRY_DELAY).await;
            continue;
        };
        let (update, changes) = {
            let mut stores = stores.0.borrow_mut();
            let contents = stores.entry(addr).or_default();
            contents.alive = true;
            let changes = changes.apply_to(&mut contents.cache);
            (contents.update(addr), changes)
        };
        update::send_parts(&socket, update, &changes, entries.iter().copied());
        if last_full.elapsed() > FULL_UPDATE_INTERVAL {
            last_full = Instant::now();
            stores.send_to(&socket, entries.iter().copied());
        }
    }
}
