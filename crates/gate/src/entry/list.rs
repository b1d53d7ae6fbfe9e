//! Following the platform's list of targets.
//!
//! The list changes with every heartbeat of every target, so a call held open would be answered all
//! the time. It is read in whole a few times a second instead, by a few entries at a time
//! ([`policy::pollers`]); the others ask one of them for it when it has found something new. A target
//! that leaves must get nothing new two seconds after it said so: the pause, a reader's word, a slow
//! answer and the requests under way fit into that.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use model::Micros;
use platform::store::TARGETS_TABLE;
use platform::{Row, Store, StoreError};
use policy::pollers::Pollers;
use policy::row_expiry;
use rand::Rng;
use site::Target;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

use super::{suspects, Ctx};
use crate::follow::{record_era, retry_pause};
use crate::log::{self, Dependency, Event};
use crate::meter;
use crate::node::Source;
use crate::peer;
use crate::update::{self, ListRead, Update};

/// Pause after a read that failed.
const AGAIN: Duration = Duration::from_millis(250);

/// What entries tell one another of the list.
#[derive(Debug, Default)]
pub(super) struct Shared {
    pollers: RefCell<Pollers>,
    /// Hash of the list as this entry last read it; 0 before.
    own: Cell<u64>,
    changed: Notify,
    /// The reader that has last found something new.
    finder: Cell<Option<SocketAddr>>,
}

impl Shared {
    /// Whether the list has been read once.
    pub(super) fn read(&self) -> bool {
        self.own.get() != 0
    }

    /// Waits until another entry finds something new.
    async fn found(&self) {
        while self.finder.get().is_none() {
            self.changed.notified().await;
        }
    }

    /// Takes over what another entry has found; tells whether that is what this one knows.
    pub(super) fn hear(&self, now: Micros, listed: ListRead, from: SocketAddr) -> bool {
        self.pollers.borrow_mut().record(now, listed.rank);
        let same = listed.hash == self.own.get();
        if !same {
            self.finder.set(Some(from));
            self.changed.notify_one();
        }
        same
    }
}

/// Follows the list for as long as the process lives.
pub(super) async fn follow(ctx: Ctx) {
    let (addr, rank) = {
        let s = ctx.node.settings.borrow();
        (s.store, xxh3_64(s.host.as_bytes()))
    };
    let mut store = Store::new(addr);
    let mut dependency = Dependency::new("list");
    let mut era = ctx.node.era.subscribe();
    loop {
        if let Some(finder) = ctx.list.finder.take() {
            if ask(&ctx, finder).await {
                wait(&ctx, rank, &mut era).await;
                continue;
            }
        }
        let asked = ctx.now();
        // A call may hang for longer than a target that leaves may still be used; who has found
        // something new meanwhile is asked instead.
        let read = tokio::select! {
            biased;
            read = read(&ctx, &mut store) => read,
            () = ctx.list.found() => continue,
        };
        record_era(&ctx.node, &mut store);
        if matches!(read, Err(StoreError::Gone | StoreError::OutdatedEra(..))) {
            retry_pause().await;
            continue;
        }
        dependency.record(&read);
        let now = ctx.now();
        meter::record_duration(meter::STORE_CALL, now.since(asked).into());
        ctx.gauges();
        match read {
            Ok(list) => {
                take(&ctx, list, "store");
                tell(&ctx, rank);
                wait(&ctx, rank, &mut era).await;
            }
            Err(_) => {
                ctx.fleet.borrow_mut().fail(now);
                let entries: Vec<_> = ctx.node.cluster.borrow().entries().collect();
                if let Some(list) = peer::fetch_target_list(&ctx.node, entries).await {
                    adopt(&ctx, list);
                }
                sleep(AGAIN).await;
            }
        }
    }
}

/// Reads the list from the store, or its changes where reading it in whole takes several calls.
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

/// Asks the reader that has found something new. If all entries read instead, each change of the list
/// would be as many calls to the store as there are entries: 11 and 15 in a hundred of all calls of two
/// fleets with 31 and 28 entries on a day with many crashes.
async fn ask(ctx: &Ctx, finder: SocketAddr) -> bool {
    match peer::fetch_target_list(&ctx.node, [finder]).await {
        Some(list) => adopt(ctx, list),
        None => false,
    }
}

/// Takes over the list as another entry has read it, if that was after this one's last reading; tells
/// whether it was.
fn adopt(ctx: &Ctx, list: peer::FetchedList) -> bool {
    let own = {
        let cluster = ctx.node.cluster.borrow();
        cluster.targets.as_ref().map(|own| own.position)
    };
    if own.is_none_or(|own| list.rows.at > own) {
        ctx.node.raise_era(list.rows.at.era, Source::Peer);
        take(ctx, list, "peer");
        return true;
    }
    let listed = ctx.fleet.borrow().replicas.len();
    note(ctx, "peer", listed, list.at, false);
    false
}

/// Takes over a list, and tells of it if it says something new or lacks targets that are kept.
fn take(ctx: &Ctx, list: peer::FetchedList, source: &str) {
    let (at, position) = (list.at, list.rows.at);
    let targets = {
        let mut cluster = ctx.node.cluster.borrow_mut();
        let own = cluster.targets.get_or_insert_default();
        match list.changes {
            true => own.merge(at, list.rows),
            false => own.replace(at, list.rows),
        }
        targets(own.rows())
    };
    let listed = targets.len();
    let known = ctx.list.own.replace(hash(&targets));
    let config = lapse_config(ctx);
    ctx.fleet.borrow_mut().list(at, position, targets, &config);
    suspects::ended(ctx);
    let missing = ctx.fleet.borrow().missing() > 0;
    if missing || ctx.list.own.get() != known {
        note(ctx, source, listed, at, true);
    }
}

/// Tells of a list.
fn note(ctx: &Ctx, source: &str, targets: usize, at: Micros, taken: bool) {
    log::event(&Event::Listed {
        source,
        targets,
        missing: ctx.fleet.borrow().missing(),
        list_ms: ctx.now().since(at).as_millis(),
        taken,
    });
}

/// Tells the other entries what was found, if this one is a reader.
fn tell(ctx: &Ctx, rank: u64) {
    let hash = ctx.list.own.get();
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

/// Hash of what decides where requests may go. Weights aren't in it: they change at every engine
/// with each new version, and sidecars tell of them sooner.
fn hash(targets: &[Target]) -> u64 {
    let mut targets: Vec<_> = targets.iter().collect();
    targets.sort_by(|a, b| a.boot.cmp(&b.boot));
    let mut hash = Xxh3::new();
    for t in targets {
        let text = format!("{:?}{}{}{:?};", t.boot, t.pool, t.addr, t.state);
        hash.update(text.as_bytes());
    }
    hash.digest()
}

/// Waits until the list is to be read again.
async fn wait(ctx: &Ctx, rank: u64, era: &mut watch::Receiver<Option<u64>>) {
    let read = ctx.now();
    let draw = rand::rng().random();
    loop {
        // What others tell meanwhile puts the next read off.
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
                _ = era.changed() => retry_pause().await,
            }
        };
        if timeout(left, changed).await.is_ok() {
            return;
        }
    }
}

/// How rows lapse on this platform.
fn lapse_config(ctx: &Ctx) -> row_expiry::Config {
    row_expiry::Config {
        heartbeat: ctx.node.settings.borrow().heartbeat.into(),
        ..row_expiry::Config::default()
    }
}

/// The targets that can be used; entries that can't be read name none.
fn targets<'a>(rows: impl Iterator<Item = &'a Row>) -> Vec<Target> {
    let mut targets = Vec::new();
    for row in rows {
        let Some(value) = &row.value else {
            continue;
        };
        match platform::directory::decode_target(&row.key, row.at, value) {
            Ok(target) => targets.push(target),
            Err(e) => log::event(&Event::BadRow {
                key: &row.key,
                error: &e.to_string(),
            }),
        }
    }
    targets
}
