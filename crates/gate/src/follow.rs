//! Following the store: the operator's rows and the list of the system's own processes.
//!
//! Both change seldom, so each process holds a call open that the store answers at the next change.
//! A call that fails is followed by another after a short random pause, so that all processes
//! together don't come back at one moment.

use std::collections::HashMap;
use std::time::Duration;

use platform::store::{MEMBERS_TABLE, OPERATOR_TABLE};
use platform::{EraHeader, Position, Row, Rows, Store, StoreError};
use rand::Rng;
use serde::{Deserialize, Serialize};
use site::Role;
use tokio::time::sleep;

use crate::log::{self, Dependency, Event};
use crate::meter;
use crate::node::{domain_key, Member, OperatorRow, SharedNode, Source};

/// How long the store may hold a call; long calls are few, and a vanished connection is found by
/// the kernel's probes, not by this.
const HOLD: Duration = Duration::from_secs(20);
/// Shortest pause after a failed call.
const PAUSE: Duration = Duration::from_millis(80);
/// How long changes of the members' list are gathered.
const GATHER: Duration = Duration::from_millis(500);
/// Pause after an answer that doesn't name the store's era.
const UNNAMED: Duration = Duration::from_secs(1);
/// Time over which processes write their rows again after a restore.
const SPREAD: Duration = Duration::from_millis(2_000);
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

/// A random pause before this process's row is written again, so that the rows of hundreds fit into the rate
/// of writes to one table.
async fn spread() {
    let ms = rand::rng().random_range(0..SPREAD.as_millis() as u64);
    sleep(Duration::from_millis(ms)).await;
}

/// A random pause before the store is asked again.
pub async fn retry_pause() {
    let span = PAUSE.as_millis() as u64..LONGEST.as_millis() as u64;
    let ms = rand::rng().random_range(span);
    sleep(Duration::from_millis(ms)).await;
}

/// Takes over the era that the store's last answer named, and lets the client drop answers of earlier ones.
pub fn record_era(node: &SharedNode, store: &mut Store) {
    let known = *node.era.borrow();
    let kind = match store.last_era_header() {
        EraHeader::Value(era) if known.is_none_or(|k| era >= k) => {
            node.raise_era(era, Source::Table);
            None
        }
        EraHeader::Value(_) => Some("outdated"),
        EraHeader::Unreadable => Some("unreadable"),
        // A store that has named none yet doesn't count them.
        EraHeader::Missing => known.map(|_| "missing"),
    };
    let known = node.era.borrow().unwrap_or_default();
    store.raise_era(known);
    if let Some(kind) = kind {
        meter::increment(meter::STORE_ERAS, "kind", kind);
        log::event(&Event::BadEra { kind, known });
    }
}

/// Notes whether the store answers this process, and tells it when that changes.
fn record_answer<T>(
    node: &SharedNode,
    store: &mut Store,
    dependency: &mut Dependency,
    result: &Result<T, StoreError>,
) {
    record_era(node, store);
    // Lost history and a late answer are answers like any other.
    let answered = matches!(
        result,
        Err(StoreError::Gone | StoreError::OutdatedEra(..) | StoreError::MissingEra)
    );
    if answered {
        return;
    }
    dependency.record(result);
    let now = node.now();
    let lost = &mut node.cluster.borrow_mut().store_lost_since;
    *lost = result.is_err().then(|| lost.unwrap_or(now));
}

/// Follows the operator's rows for as long as the process lives.
pub async fn follow_operator_rows(node: SharedNode) {
    let addr = node.settings.borrow().store;
    let mut store = Store::new(addr);
    let mut dependency = Dependency::new("store");
    let mut era = node.era.subscribe();
    loop {
        era.mark_unchanged();
        let all = store.rows(OPERATOR_TABLE).await;
        record_answer(&node, &mut store, &mut dependency, &all);
        let Ok(rows) = all else {
            retry_pause().await;
            continue;
        };
        let mut after = rows.at;
        reread(&node, OPERATOR_TABLE, &rows, 0);
        adopt(&node, rows, Source::Table);
        loop {
            let news = tokio::select! {
                biased;
                news = store.changes(OPERATOR_TABLE, after, HOLD) => news,
                _ = era.changed() => Err(StoreError::Gone),
            };
            record_answer(&node, &mut store, &mut dependency, &news);
            match news {
                Ok(rows) => {
                    after = after.max(rows.at);
                    adopt(&node, rows, Source::Feed);
                }
                // The history between is gone, so all is read again; not by all processes at one moment.
                Err(StoreError::Gone | StoreError::OutdatedEra(..)) => {
                    retry_pause().await;
                    break;
                }
                // So it is until an answer names the era again.
                Err(StoreError::MissingEra) => {
                    sleep(UNNAMED).await;
                    break;
                }
                Err(_) => {
                    retry_pause().await;
                    // A fresh read shows at once whether the store answers, where a held call
                    // would tell only at its end.
                    break;
                }
            }
        }
    }
}

/// Logs that a table was read again, if the store has been restored.
fn reread(node: &SharedNode, table: &str, rows: &Rows, written: usize) {
    if node.restored.get() {
        log::event(&Event::Reread {
            table,
            era: rows.at.era,
            rows: rows.rows.len(),
            written,
        });
    }
}

fn adopt(node: &SharedNode, rows: Rows, source: Source) {
    let now = node.now();
    let mut cluster = node.cluster.borrow_mut();
    cluster.set_store_clock(now, rows.clock_ms);
    for Row { key, value, at } in rows.rows {
        // The operator takes nothing back; a row that is gone leaves what was in force.
        if let Some(value) = value {
            cluster.apply_row(now, &key, OperatorRow { at, value }, source);
        }
    }
}

/// Enters this process in the list of members and follows that list.
pub async fn follow_members(node: SharedNode) {
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
        let entered = store.put(MEMBERS_TABLE, &host, &value).await;
        dependency.record(&entered);
        if entered.is_ok() {
            break;
        }
        retry_pause().await;
        sleep(LONGEST).await;
    }
    let mut last = None;
    loop {
        let read = list(&node, &mut store, &host, &value, &mut last).await;
        record_era(&node, &mut store);
        dependency.record(&read);
        if read.is_err() {
            sleep(LONGEST).await;
            retry_pause().await;
        }
    }
}

/// Reads the list of members, enters this process again if it isn't there, then reads the list's changes
/// until a call fails.
async fn list(
    node: &SharedNode,
    store: &mut Store,
    own: &str,
    value: &[u8],
    last: &mut Option<Position>,
) -> Result<(), StoreError> {
    let mut era = node.era.subscribe();
    era.mark_unchanged();
    let all = store.rows(MEMBERS_TABLE).await?;
    record_era(node, store);
    let mut after = all.at;
    let listed = all.rows.iter().any(|r| r.key == own);
    reread(node, MEMBERS_TABLE, &all, usize::from(!listed));
    let mut members: HashMap<_, _> = all.rows.into_iter().filter_map(member).collect();
    if last.replace(after).is_some_and(|l| after.era > l.era) {
        // Members whose rows the restore has lost write them again; until then they are what they were.
        let before = node.cluster.borrow().members.clone();
        before.into_iter().for_each(|(host, member)| {
            members.entry(host).or_insert(member);
        });
    }
    members.remove(own);
    set_members(node, members);
    if !listed {
        spread().await;
        store.put(MEMBERS_TABLE, own, value).await?;
        record_era(node, store);
    }
    loop {
        let news = tokio::select! {
            biased;
            news = store.changes(MEMBERS_TABLE, after, HOLD) => news,
            _ = era.changed() => Err(StoreError::Gone),
        };
        record_era(node, store);
        let news = match news {
            Err(StoreError::Gone | StoreError::OutdatedEra(..)) => {
                retry_pause().await;
                return Ok(());
            }
            Err(StoreError::MissingEra) => {
                sleep(UNNAMED).await;
                return Ok(());
            }
            news => news?,
        };
        after = after.max(news.at);
        // Processes start together; without a pause each start is one more call of every process.
        sleep(GATHER).await;
        let changed = news.rows.into_iter().filter_map(member);
        let mut members = node.cluster.borrow().members.clone();
        members.extend(changed.filter(|(h, _)| h != own));
        set_members(node, members);
    }
}

/// Takes over the other processes, and tells of them if they are others than before.
fn set_members(node: &SharedNode, members: HashMap<String, Member>) {
    let mut cluster = node.cluster.borrow_mut();
    if cluster.members == members {
        return;
    }
    cluster.members = members;
    let entries = cluster.entries().count();
    log::event(&Event::Members {
        entries,
        sidecars: cluster.members.len() - entries,
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
