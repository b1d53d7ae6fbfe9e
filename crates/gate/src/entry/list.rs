//! Following the platform's list of targets.
//!
//! The list changes with every heartbeat of every target, so a long poll would return all the time.
//! Instead, a few entries at a time read the whole list a few times a second ([`policy::pollers`]),
//! and the others fetch it from one of them when it has changed. A target that leaves must receive
//! no new requests from two seconds later on; the poll interval, a poller's datagram, a slow answer
//! and the requests already under way fit into that time.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use model::{Micros, Position};
use platform::store::TARGETS_TABLE;
use platform::{Row, Store, StoreError};
use policy::pollers::Pollers;
use policy::row_expiry;
use rand::Rng;
use site::Target;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

use super::{build_history, leaving, origins, suspects, Ctx};
use crate::follow::{record_era, retry_pause};
use crate::log::{self, Dependency, Event};
use crate::meter;
use crate::node::Source;
use crate::peer;
use crate::update::{self, ListRead, Update};

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// An entry's view of the list, and of the entries that poll it.
#[derive(Debug, Default)]
pub(super) struct ListState {
    /// Entries that have recently polled the list.
    pollers: RefCell<Pollers>,
    /// Hash of the list that this entry last applied; 0 before the first one.
    own_hash: Cell<u64>,
    /// Notified when another entry reports a change.
    changed: Notify,
    /// Notified when a read of the store is needed, whatever other entries report.
    read_wanted: Notify,
    /// The poller that last reported a change.
    change_reporter: Cell<Option<SocketAddr>>,
    /// Malformed rows of the last list, by key, which have been logged.
    bad_rows: RefCell<HashMap<String, Position>>,
}

impl ListState {
    /// Whether the list has been read at least once.
    pub(super) fn is_read(&self) -> bool {
        self.own_hash.get() != 0
    }

    /// Requests a read of the store.
    pub(super) fn request_read(&self) {
        self.read_wanted.notify_one();
    }

    /// Waits until another entry reports a change.
    async fn change_found(&self) {
        while self.change_reporter.get().is_none() {
            self.changed.notified().await;
        }
    }

    /// Records another entry's read of the list; returns whether that list equals the one known
    /// here.
    pub(super) fn record_poll(&self, now: Micros, listed: ListRead, from: SocketAddr) -> bool {
        self.pollers.borrow_mut().record(now, listed.rank);
        let same = listed.hash == self.own_hash.get();
        if !same {
            self.change_reporter.set(Some(from));
            self.changed.notify_one();
        }
        same
    }
}

/// Follows the list for as long as the process runs.
pub(super) async fn follow(ctx: Ctx) {
    let rank = xxh3_64(ctx.node.settings.borrow().host.as_bytes());
    let mut store = Store::new(*ctx.node.store.borrow());
    let mut dependency = Dependency::new("list");
    let mut era = ctx.node.era.subscribe();
    loop {
        if let Some(change_reporter) = ctx.list.change_reporter.take() {
            if fetch_from(&ctx, change_reporter).await {
                wait(&ctx, rank, &mut era).await;
                continue;
            }
        }
        store.move_to(*ctx.node.store.borrow());
        let started = ctx.now();
        // A call may hang for longer than a leaving target may still be used, so a change reported
        // by another entry meanwhile is fetched from that entry.
        let read = tokio::select! {
            biased;
            read = read(&ctx, &mut store) => read,
            () = ctx.list.change_found() => continue,
        };
        record_era(&ctx.node, &mut store);
        if matches!(read, Err(StoreError::Gone | StoreError::OutdatedEra(..))) {
            retry_pause().await;
            continue;
        }
        dependency.record(&read);
        let now = ctx.now();
        meter::record_duration(meter::STORE_CALL, now.since(started).into());
        ctx.update_gauges();
        match read {
            Ok(list) => {
                apply(&ctx, list, "store");
                ctx.fleet.borrow_mut().list_read_from = started;
                origins::settle_uncertain(&ctx);
                announce(&ctx, rank);
                wait(&ctx, rank, &mut era).await;
            }
            Err(_) => {
                ctx.fleet.borrow_mut().record_list_failure(now);
                let entries: Vec<_> = ctx.node.cluster.borrow().entries().collect();
                if let Some(list) = peer::fetch_target_list(&ctx.node, entries).await {
                    adopt(&ctx, list);
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the list from the store, or only its changes if reading the whole list takes several
/// calls.
async fn read(ctx: &Ctx, store: &mut Store) -> Result<peer::FetchedList, StoreError> {
    let from = {
        let cluster = ctx.node.cluster.borrow();
        let list = cluster.targets.as_ref();
        list.and_then(|l| l.changes_from(ctx.now()))
    };
    let changed = match from {
        Some(from) => match store.changes(TARGETS_TABLE, from, Duration::ZERO).await {
            Err(StoreError::Gone | StoreError::MissingEra) => None,
            changed => Some(changed?),
        },
        None => None,
    };
    let changes = changed.is_some();
    let rows = match changed {
        Some(rows) => rows,
        None => store.rows(TARGETS_TABLE).await?,
    };
    Ok(peer::FetchedList {
        at: ctx.now(),
        rows,
        changes,
    })
}

/// Fetches the list from the poller that reported a change. If all entries read the store instead,
/// each change of the list would cost one call per entry: 11 % and 15 % of all calls of two fleets
/// with 31 and 28 entries on a day with many crashes.
async fn fetch_from(ctx: &Ctx, change_reporter: SocketAddr) -> bool {
    match peer::fetch_target_list(&ctx.node, [change_reporter]).await {
        Some(list) => adopt(ctx, list),
        None => false,
    }
}

/// Applies the list that another entry has read, if it is newer than the one known here; returns
/// whether it was.
fn adopt(ctx: &Ctx, list: peer::FetchedList) -> bool {
    let own = {
        let cluster = ctx.node.cluster.borrow();
        cluster.targets.as_ref().map(|own| own.position)
    };
    if own.is_none_or(|own| list.rows.at > own) {
        ctx.node.raise_era(list.rows.at.era, Source::Peer);
        apply(ctx, list, "peer");
        return true;
    }
    let listed = ctx.fleet.borrow().replicas.len();
    log_listed(ctx, "peer", listed, list.at, false);
    false
}

/// Applies a list, and logs it if it has changed or lacks targets that are kept.
fn apply(ctx: &Ctx, list: peer::FetchedList, source: &str) {
    let (at, position) = (list.at, list.rows.at);
    let targets = {
        let mut cluster = ctx.node.cluster.borrow_mut();
        let own = cluster.targets.get_or_insert_default();
        match list.changes {
            true => own.merge(at, list.rows),
            false => own.replace(at, list.rows),
        }
        let targets = decode_targets(own.rows(), &ctx.list.bad_rows);
        let known = |pool: &str| {
            let plan = cluster.plan.as_ref();
            plan.is_none_or(|p| p.pool(pool).is_some())
        };
        without_foreign(targets, known)
    };
    let listed = targets.len();
    let previous = ctx.list.own_hash.replace(list_hash(&targets));
    build_history::record(ctx, &targets);
    let config = row_expiry_config(ctx);
    ctx.fleet
        .borrow_mut()
        .apply_list(at, position, targets, &config);
    suspects::record_ended_targets(ctx);
    leaving::retain_listed(ctx);
    if ctx.list.own_hash.get() != previous {
        ctx.node.processes_changed.notify_one();
    }
    let missing = ctx.fleet.borrow().missing_count() > 0;
    if missing || ctx.list.own_hash.get() != previous {
        log_listed(ctx, source, listed, at, true);
    }
}

/// Logs a list.
fn log_listed(ctx: &Ctx, source: &str, targets: usize, at: Micros, taken: bool) {
    log::event(&Event::Listed {
        source,
        targets,
        missing: ctx.fleet.borrow().missing_count(),
        list_ms: ctx.now().since(at).as_millis(),
        taken,
    });
}

/// Sends the hash of the list to the other entries, if this entry is a poller.
fn announce(ctx: &Ctx, rank: u64) {
    let hash = ctx.list.own_hash.get();
    if !ctx.list.pollers.borrow().should_poll(ctx.now(), rank) {
        return;
    }
    let update = Update {
        entry: true,
        list: Some(ListRead {
            rank,
            hash,
            era: ctx.node.era.borrow().unwrap_or_default(),
        }),
        ..Update::default()
    };
    update::send(&ctx.socket, &update, ctx.node.cluster.borrow().entries());
}

/// Hash of everything in the list that decides where requests may go. Weights aren't included: they
/// change at every engine with each new version, and sidecars report them sooner.
fn list_hash(targets: &[Target]) -> u64 {
    let mut targets: Vec<_> = targets.iter().collect();
    targets.sort_by(|a, b| a.boot.cmp(&b.boot));
    let mut hash = Xxh3::new();
    for t in targets {
        let text = format!("{:?}{}{}{:?}{};", t.boot, t.pool, t.addr, t.state, t.build);
        hash.update(text.as_bytes());
    }
    hash.digest()
}

/// Waits until the list has to be read again.
async fn wait(ctx: &Ctx, rank: u64, era: &mut watch::Receiver<Option<u64>>) {
    let read = ctx.now();
    let draw = rand::rng().random();
    loop {
        // Reads that other entries report meanwhile postpone the next poll.
        let next = ctx.list.pollers.borrow().next_poll(read, rank, draw);
        let now = ctx.now();
        ctx.fleet.borrow_mut().expire(now);
        if now >= next {
            return;
        }
        let left = next.since(now).into();
        let changed = async {
            tokio::select! {
                () = ctx.list.changed.notified() => {}
                () = ctx.list.read_wanted.notified() => {}
                _ = era.changed() => retry_pause().await,
            }
        };
        if timeout(left, changed).await.is_ok() {
            return;
        }
    }
}

/// Timing of row expiry on this platform.
fn row_expiry_config(ctx: &Ctx) -> row_expiry::Config {
    row_expiry::Config {
        heartbeat: ctx.node.settings.borrow().heartbeat.into(),
        ..row_expiry::Config::default()
    }
}

/// Decodes the targets of all rows. Malformed rows are skipped, and logged when they change.
fn decode_targets<'a>(
    rows: impl Iterator<Item = &'a Row>,
    logged: &RefCell<HashMap<String, Position>>,
) -> Vec<Target> {
    let mut targets = Vec::new();
    let mut bad = HashMap::new();
    for row in rows {
        let Some(value) = &row.value else {
            continue;
        };
        match platform::directory::decode_target(&row.key, row.at, value) {
            Ok(target) => targets.push(target),
            Err(e) => {
                bad.insert(row.key.clone(), row.at);
                if logged.borrow().get(&row.key) != Some(&row.at) {
                    log::event(&Event::BadRow {
                        key: &row.key,
                        error: &e.to_string(),
                    });
                }
            }
        }
    }
    logged.replace(bad);
    targets
}

/// Removes targets of unknown pools at the address of a target of a known one. Another writer may
/// have written their rows, which would hide the other target, as only one counts at an address.
fn without_foreign(mut targets: Vec<Target>, known: impl Fn(&str) -> bool) -> Vec<Target> {
    let addrs: HashSet<_> = targets
        .iter()
        .filter(|t| known(&t.pool))
        .map(|t| t.addr)
        .collect();
    targets.retain(|t| known(&t.pool) || !addrs.contains(&t.addr));
    targets
}
