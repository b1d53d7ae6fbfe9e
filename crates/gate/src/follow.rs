//! Following the store's tables of the operator's rows and of the system's processes, the members.
//!
//! Both tables change rarely, so each process keeps a call open that the store answers at the next
//! change. A failed call is retried after a short random pause, so that the processes don't all
//! call the store at the same time. Since a held call whose connection is silent doesn't fail,
//! [`crate::table_checks`] decides when its result is checked.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use platform::store::{MEMBERS_TABLE, OPERATOR_TABLE};
use platform::{EraHeader, Position, Row, Rows, Store, StoreError};
use rand::Rng;
use serde::{Deserialize, Serialize};
use site::Role;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

use crate::log::{self, Dependency, Event};
use crate::meter;
use crate::node::{domain_key, Member, OperatorRow, SharedNode, Source, Start};
use crate::table_checks::{self, Table};

/// How long the store may hold a call. Long holds keep the number of calls low; dead hosts are
/// detected by the kernel's probes and silent connections by checks, not by this timeout.
const MAX_HOLD: Duration = Duration::from_secs(20);
/// Shortest pause before a failed call is retried.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(80);
/// Pause after each change of the list of members, during which further changes accumulate for the
/// next call.
const BATCH_DELAY: Duration = Duration::from_millis(500);
/// Pause after an answer without the store's era.
const MISSING_ERA_PAUSE: Duration = Duration::from_secs(1);
/// Time over which the processes spread the writes of their rows after a restore.
const REWRITE_SPREAD: Duration = Duration::from_millis(2_000);
/// Longest pause before a failed call is retried: a tenth of the time within which every process
/// must have a new configuration.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Value of a process's row in the list of members.
#[derive(Serialize, Deserialize)]
struct MemberDoc {
    addr: std::net::SocketAddr,
    entry: bool,
    #[serde(default)]
    domain: String,
    #[serde(default)]
    engine: Option<std::net::SocketAddr>,
}

/// Waits for a random time before this process's row is written again, so that the writes of
/// hundreds of processes stay within the store's write rate for one table.
async fn rewrite_pause() {
    let ms = rand::rng().random_range(0..REWRITE_SPREAD.as_millis() as u64);
    sleep(Duration::from_millis(ms)).await;
}

/// Waits for a random time before the store is called again.
pub async fn retry_pause() {
    let span = MIN_RETRY_PAUSE.as_millis() as u64..MAX_RETRY_PAUSE.as_millis() as u64;
    let ms = rand::rng().random_range(span);
    sleep(Duration::from_millis(ms)).await;
}

/// Records the era in the store's last answer, and makes the client reject answers of earlier eras.
pub fn record_era(node: &SharedNode, store: &mut Store) {
    let known = *node.era.borrow();
    let kind = match store.last_era_header() {
        EraHeader::Value(era) if known.is_none_or(|k| era >= k) => {
            node.raise_era(era, Source::Table);
            None
        }
        EraHeader::Value(_) => Some("outdated"),
        EraHeader::Unreadable => Some("unreadable"),
        // A store that has never sent an era doesn't count eras.
        EraHeader::Missing => known.map(|_| "missing"),
    };
    let known = node.era.borrow().unwrap_or_default();
    store.raise_era(known);
    if let Some(kind) = kind {
        meter::increment(meter::STORE_ERAS, "kind", kind);
        log::event(&Event::BadEra { kind, known });
    }
}

/// Records whether the store answers this process, and logs when that changes.
fn record_answer<T>(node: &SharedNode, feed: &mut Feed, result: &Result<T, StoreError>) {
    record_era(node, &mut feed.store);
    if result.as_ref().is_err_and(is_answer) {
        return;
    }
    feed.dependency.record(result);
    let now = node.now();
    let lost_since = &mut node.cluster.borrow_mut().store_lost_since;
    *lost_since = result.is_err().then(|| lost_since.unwrap_or(now));
}

/// The changes of a table that every process follows.
struct Feed {
    node: SharedNode,
    socket: Rc<UdpSocket>,
    table: Table,
    store: Store,
    dependency: Dependency,
    era: watch::Receiver<Option<u64>>,
    addr: watch::Receiver<SocketAddr>,
}

impl Feed {
    fn new(node: &SharedNode, socket: Rc<UdpSocket>, table: Table, name: &'static str) -> Self {
        Self {
            store: Store::new(*node.store.borrow()),
            dependency: Dependency::new(name),
            era: node.era.subscribe(),
            addr: node.store.subscribe(),
            node: Rc::clone(node),
            socket,
            table,
        }
    }

    /// The client of the store, at the address that the settings state now.
    fn store(&mut self) -> &mut Store {
        let addr = *self.addr.borrow_and_update();
        self.store.move_to(addr);
        &mut self.store
    }

    /// Reads the whole table.
    async fn read(&mut self) -> Result<Rows, StoreError> {
        self.era.mark_unchanged();
        let table = self.table.name();
        self.store().rows(table).await
    }

    /// Waits for the changes after a position, by a held call and, whenever the copy has to be checked, by
    /// a short read on a new connection. If that read finds changes, the held call's connection is silent
    /// and the new one takes its place.
    async fn changes(&mut self, after: Position) -> Result<Rows, StoreError> {
        let Self {
            node,
            socket,
            table,
            store,
            dependency,
            era,
            addr,
        } = self;
        let called = Instant::now();
        table_checks::record_call(node, *table);
        let mut spare = Store::new(store.addr());
        let (changes, by_check) = {
            let held = store.changes(table.name(), after, MAX_HOLD);
            tokio::pin!(held);
            loop {
                tokio::select! {
                    biased;
                    changes = &mut held => break (changes, false),
                    _ = era.changed() => break (Err(StoreError::Gone), false),
                    _ = addr.changed() => break (Err(StoreError::Gone), false),
                    () = table_checks::check_due(node, *table) => {}
                }
                let started = node.now();
                spare = Store::new(spare.addr());
                spare.raise_era(node.era.borrow().unwrap_or_default());
                let check = tokio::select! {
                    biased;
                    changes = &mut held => break (changes, false),
                    check = spare.changes(table.name(), after, Duration::ZERO) => check,
                };
                record_era(node, &mut spare);
                match check {
                    Ok(rows) if rows.rows.is_empty() => {
                        dependency.record(&Ok::<_, StoreError>(()));
                        table_checks::record_check(node, socket, *table, started);
                    }
                    Err(e) if !is_answer(&e) => {
                        dependency.record(&Err::<(), _>(e));
                        table_checks::record_failure(node, *table, started);
                    }
                    changes => break (changes, true),
                }
            }
        };
        log_feed(
            table.name(),
            after,
            called,
            by_check && changes.is_ok(),
            &changes,
        );
        if by_check {
            *store = spare;
        }
        changes
    }

    /// Records that the table's rows were applied up to the store's last answer.
    fn confirm(&self) {
        table_checks::confirm(&self.node, &self.socket, self.table);
    }
}

/// Whether the store has answered a call with this error, so that it isn't lost.
fn is_answer(error: &StoreError) -> bool {
    matches!(
        error,
        StoreError::Gone | StoreError::OutdatedEra(..) | StoreError::MissingEra
    )
}

/// Follows the operator's rows for as long as the process runs.
pub async fn follow_operator_rows(node: SharedNode, socket: Rc<UdpSocket>) {
    let mut feed = Feed::new(&node, socket, Table::Operator, "store");
    loop {
        let table = feed.read().await;
        record_answer(&node, &mut feed, &table);
        let Ok(rows) = table else {
            retry_pause().await;
            continue;
        };
        let mut after = rows.at;
        log_reread(&node, OPERATOR_TABLE, &rows, 0);
        apply_rows(&node, rows, Source::Table);
        feed.confirm();
        loop {
            let changes = feed.changes(after).await;
            record_answer(&node, &mut feed, &changes);
            match changes {
                Ok(rows) => {
                    after = after.max(rows.at);
                    apply_rows(&node, rows, Source::Feed);
                    feed.confirm();
                }
                // The changes in between are no longer available, or the store has moved, so the
                // whole table is read again; the random pause keeps the processes from doing so all
                // at the same time.
                Err(StoreError::Gone | StoreError::OutdatedEra(..)) => {
                    retry_pause().await;
                    break;
                }
                // Calls fail in this way until an answer contains the era again.
                Err(StoreError::MissingEra) => {
                    sleep(MISSING_ERA_PAUSE).await;
                    break;
                }
                Err(_) => {
                    retry_pause().await;
                    // A read of the table shows at once whether the store answers; a held call
                    // would show that only at its end.
                    break;
                }
            }
        }
    }
}

/// Logs the end of a held call for the changes of a table.
fn log_feed(
    table: &str,
    after: Position,
    called: Instant,
    silent: bool,
    result: &Result<Rows, StoreError>,
) {
    log::event(&Event::Feed {
        table,
        after: after.version,
        held_ms: called.elapsed().as_millis() as u64,
        silent,
        rows: result.as_ref().map_or(0, |r| r.rows.len()),
        error: result.as_ref().err().map(StoreError::to_string),
    });
}

/// Logs that a table was read, if the store has been restored.
fn log_reread(node: &SharedNode, table: &str, rows: &Rows, written: usize) {
    if node.restored.get() {
        log::event(&Event::Reread {
            table,
            era: rows.at.era,
            rows: rows.rows.len(),
            written,
        });
    }
}

/// Applies rows and the clock from an answer of the store.
fn apply_rows(node: &SharedNode, rows: Rows, source: Source) {
    let now = node.now();
    let mut cluster = node.cluster.borrow_mut();
    cluster.set_store_clock(now, rows.clock_ms);
    for Row { key, value, at } in rows.rows {
        // The operator deletes no rows; after a deletion the last value stays in force.
        if let Some(value) = value {
            cluster.apply_row(now, &key, OperatorRow { at, value }, source);
        }
    }
}

/// Adds this process to the list of members and follows the list.
pub async fn follow_members(node: SharedNode, socket: Rc<UdpSocket>) {
    let (host, own) = {
        let s = node.settings.borrow();
        let own = MemberDoc {
            addr: s.peer,
            entry: s.role == Role::Entry,
            domain: s.domain.clone(),
            engine: s.engine,
        };
        (s.host.clone(), own)
    };
    let value = serde_json::to_vec(&own).unwrap_or_default();
    let mut feed = Feed::new(&node, socket, Table::Members, "members");
    loop {
        let written = feed.store().put(MEMBERS_TABLE, &host, &value).await;
        feed.dependency.record(&written);
        if written.is_ok() {
            break;
        }
        retry_pause().await;
        sleep(MAX_RETRY_PAUSE).await;
    }
    let mut last_read = None;
    loop {
        let read = sync_members(&mut feed, &host, &value, &mut last_read).await;
        record_era(&node, &mut feed.store);
        feed.dependency.record(&read);
        if read.is_err() {
            sleep(MAX_RETRY_PAUSE).await;
            retry_pause().await;
        }
    }
}

/// Reads the list of members, adds this process again if it is missing, then follows the list's
/// changes until a call fails.
async fn sync_members(
    feed: &mut Feed,
    own: &str,
    value: &[u8],
    last_read: &mut Option<Position>,
) -> Result<(), StoreError> {
    let node = Rc::clone(&feed.node);
    let table = feed.read().await?;
    record_era(&node, &mut feed.store);
    let mut after = table.at;
    let listed = table.rows.iter().any(|r| r.key == own && is_member(r));
    log_reread(&node, MEMBERS_TABLE, &table, usize::from(!listed));
    let newest = newest_row(&table);
    let mut members: HashMap<_, _> = table.rows.into_iter().filter_map(parse_member).collect();
    if last_read.replace(after).is_some_and(|l| after.era > l.era) {
        // Members whose rows were lost in the restore write them again; until then their last known
        // rows are used.
        let previous = node.cluster.borrow().members.clone();
        previous.into_iter().for_each(|(host, member)| {
            members.entry(host).or_insert(member);
        });
    }
    members.remove(own);
    set_members(&node, members, newest);
    feed.confirm();
    if listed {
        table_checks::announce_start(&node, &feed.socket);
    } else {
        rewrite_pause().await;
        feed.store.put(MEMBERS_TABLE, own, value).await?;
        record_era(&node, &mut feed.store);
    }
    loop {
        let changes = feed.changes(after).await;
        record_era(&node, &mut feed.store);
        let changes = match changes {
            Err(StoreError::Gone | StoreError::OutdatedEra(..)) => {
                retry_pause().await;
                return Ok(());
            }
            Err(StoreError::MissingEra) => {
                sleep(MISSING_ERA_PAUSE).await;
                return Ok(());
            }
            changes => changes?,
        };
        after = after.max(changes.at);
        // Many processes start together. Without this delay every process would make another call
        // for each one that starts.
        sleep(BATCH_DELAY).await;
        let newest = newest_row(&changes);
        let is_lost = changes.rows.iter().any(|r| r.key == own && !is_member(r));
        let changed = changes.rows.into_iter().filter_map(parse_member);
        let mut members = node.cluster.borrow().members.clone();
        members.extend(changed.filter(|(h, _)| h != own));
        set_members(&node, members, newest);
        feed.confirm();
        if is_lost {
            // Another writer has deleted or replaced this process's row; it is read and added again.
            return Ok(());
        }
    }
}

/// Whether a row is that of a process.
fn is_member(row: &Row) -> bool {
    let value = row.value.as_deref();
    value.is_some_and(|v| serde_json::from_slice::<MemberDoc>(v).is_ok())
}

/// Position of the newest of some rows.
fn newest_row(rows: &Rows) -> Position {
    let positions = rows.rows.iter().map(|r| r.at);
    positions.max().unwrap_or_default()
}

/// Replaces the known members, and logs their number if they have changed.
fn set_members(node: &SharedNode, members: HashMap<String, Member>, newest: Position) {
    let mut cluster = node.cluster.borrow_mut();
    cluster.members_position = cluster.members_position.max(newest);
    if cluster.members == members {
        return;
    }
    node.starts
        .borrow_mut()
        .extend(starts(&cluster.members, &members));
    node.processes_changed.notify_one();
    cluster.members = members;
    let entries = cluster.entries().count();
    log::event(&Event::Members {
        entries,
        sidecars: cluster.members.len() - entries,
    });
}

/// The processes whose rows are newer than the known ones. After a restore of the store, all processes
/// write their rows again.
fn starts<'a>(
    known: &'a HashMap<String, Member>,
    members: &'a HashMap<String, Member>,
) -> impl Iterator<Item = Start> + 'a {
    members.iter().filter_map(|(host, member)| {
        let former = known.get(host);
        let is_start = former.is_none_or(|f| f.at.era == member.at.era && f.at < member.at);
        is_start.then_some(Start {
            member: *member,
            former: former.map(|f| f.addr),
        })
    })
}

/// Parses a row of the list of members; `None` if it is deleted or malformed.
fn parse_member(row: Row) -> Option<(String, Member)> {
    let parsed = serde_json::from_slice::<MemberDoc>(&row.value?);
    let doc = match parsed {
        Ok(doc) => doc,
        Err(e) => {
            log::event(&Event::BadRow {
                key: &row.key,
                error: &e.to_string(),
            });
            return None;
        }
    };
    let role = match doc.entry {
        true => Role::Entry,
        false => Role::Sidecar,
    };
    let member = Member {
        addr: doc.addr,
        role,
        domain: domain_key(&doc.domain),
        engine: doc.engine,
        at: row.at,
    };
    Some((row.key, member))
}
