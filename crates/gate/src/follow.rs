//! Following the store: the operator's rows and the list of the system's own processes.
//!
//! Both change seldom, so each process holds a call open that the store answers at the next change.
//! A call that fails is followed by another after a short random pause, so that all processes
//! together don't come back at one moment.

use std::collections::HashMap;
use std::time::Duration;

use platform::store::{MEMBERS, OPERATOR};
use platform::{Row, Rows, Store, StoreError};
use rand::Rng;
use serde::{Deserialize, Serialize};
use site::Role;
use tokio::time::sleep;

use crate::log::{self, Dependency, Event};
use crate::world::{domain_key, Member, OperatorRow, Shared, Source};

/// How long the store may hold a call; long calls are few, and a vanished connection is found by
/// the kernel's probes, not by this.
const HOLD: Duration = Duration::from_secs(20);
/// Shortest pause after a failed call.
const PAUSE: Duration = Duration::from_millis(80);
/// How long changes of the members' list are gathered.
const GATHER: Duration = Duration::from_millis(500);
/// Longest pause after a failed call; a tenth of the time in which a configuration must be known.
const LONGEST: Duration = Duration::from_millis(250);

/// A process's own entry in the list of members.
#[derive(Serialize, Deserialize)]
struct Entry {
    addr: std::net::SocketAddr,
    entry: bool,
    #[serde(default)]
    domain: String,
    #[serde(default)]
    engine: Option<std::net::SocketAddr>,
}

/// A random pause before the store is asked again.
pub async fn pause() {
    let span = PAUSE.as_millis() as u64..LONGEST.as_millis() as u64;
    let ms = rand::rng().random_range(span);
    sleep(Duration::from_millis(ms)).await;
}

/// Notes whether the store answers this process, and tells it when that changes.
fn note<T>(node: &Shared, store: &mut Dependency, result: &Result<T, StoreError>) {
    // Lost history is an answer like any other.
    if matches!(result, Err(StoreError::Gone)) {
        return;
    }
    store.note(result);
    let now = node.now();
    let lost = &mut node.world.borrow_mut().lost;
    *lost = result.is_err().then(|| lost.unwrap_or(now));
}

/// Follows the operator's rows for as long as the process lives.
pub async fn operator(node: Shared) {
    let addr = node.settings.borrow().store;
    let mut store = Store::new(addr);
    let mut dependency = Dependency::new("store");
    loop {
        let all = store.rows(OPERATOR).await;
        note(&node, &mut dependency, &all);
        let Ok(rows) = all else {
            pause().await;
            continue;
        };
        let mut after = rows.version;
        adopt(&node, rows, Source::Table);
        loop {
            let news = store.changes(OPERATOR, after, HOLD).await;
            note(&node, &mut dependency, &news);
            match news {
                Ok(rows) => {
                    after = after.max(rows.version);
                    adopt(&node, rows, Source::Feed);
                }
                // The history between is gone, so all is read again.
                Err(StoreError::Gone) => break,
                Err(_) => {
                    pause().await;
                    // A fresh read shows at once whether the store answers, where a held call
                    // would tell only at its end.
                    break;
                }
            }
        }
    }
}

fn adopt(node: &Shared, rows: Rows, source: Source) {
    let now = node.now();
    let mut world = node.world.borrow_mut();
    world.set_clock(now, rows.clock);
    for Row {
        key,
        value,
        version,
    } in rows.rows
    {
        // The operator takes nothing back; a row that is gone leaves what was in force.
        if let Some(value) = value {
            world.adopt(now, &key, OperatorRow { version, value }, source);
        }
    }
}

/// Enters this process in the list of members and follows that list.
pub async fn members(node: Shared) {
    let (addr, host, own) = {
        let s = node.settings.borrow();
        let own = Entry {
            addr: s.peer,
            entry: s.role == Role::Entry,
            domain: s.domain.clone(),
            engine: s.engine,
        };
        (s.store, s.host.clone(), own)
    };
    let value = serde_json::to_vec(&own).unwrap_or_default();
    let mut store = Store::new(addr);
    let mut dependency = Dependency::new("members");
    loop {
        let entered = store.put(MEMBERS, &host, &value).await;
        dependency.note(&entered);
        if entered.is_ok() {
            break;
        }
        pause().await;
        sleep(LONGEST).await;
    }
    loop {
        let read = list(&node, &mut store, &host).await;
        dependency.note(&read);
        if read.is_err() {
            sleep(LONGEST).await;
            pause().await;
        }
    }
}

/// Reads the list of members, then its changes until a call fails.
async fn list(node: &Shared, store: &mut Store, own: &str) -> Result<(), StoreError> {
    let all = store.rows(MEMBERS).await?;
    let mut after = all.version;
    let mut members: HashMap<_, _> = all.rows.into_iter().filter_map(member).collect();
    members.remove(own);
    know(node, members);
    loop {
        let news = match store.changes(MEMBERS, after, HOLD).await {
            Err(StoreError::Gone) => return Ok(()),
            news => news?,
        };
        after = after.max(news.version);
        // Processes start together; without a pause each start is one more call of every process.
        sleep(GATHER).await;
        let changed = news.rows.into_iter().filter_map(member);
        let mut members = node.world.borrow().members.clone();
        members.extend(changed.filter(|(h, _)| h != own));
        know(node, members);
    }
}

/// Takes over the other processes, and tells of them if they are others than before.
fn know(node: &Shared, members: HashMap<String, Member>) {
    let mut world = node.world.borrow_mut();
    if world.members == members {
        return;
    }
    world.members = members;
    let entries = world.entries().count();
    log::event(&Event::Members {
        entries,
        sidecars: world.members.len() - entries,
    });
}

fn member(row: Row) -> Option<(String, Member)> {
    let read = serde_json::from_slice::<Entry>(&row.value?);
    let entry = match read {
        Ok(entry) => entry,
        Err(e) => {
            log::event(&Event::BadRow {
                key: &row.key,
                error: &e.to_string(),
            });
            return None;
        }
    };
    let role = match entry.entry {
        true => Role::Entry,
        false => Role::Sidecar,
    };
    let member = Member {
        addr: entry.addr,
        role,
        domain: domain_key(&entry.domain),
        engine: entry.engine,
    };
    Some((row.key, member))
}
