//! Which builds pools have had lately: drives [`policy::build_history`].
//!
//! The store's row is read when an entry starts. When a build appears or has left, the entries read it
//! again one after the other, by address, and the first one for which it has to change writes it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use model::Micros;
use platform::store::BUILDS_TABLE;
use platform::{Rows, Store, StoreError};
use policy::build_history::{Config, History, PoolBuilds, Stored};
use policy::stream_origin::BuildKey;
use site::Target;
use tokio::time::sleep;

use super::origins::build_key;
use super::Ctx;
use crate::follow::retry_pause;
use crate::log::{self, Dependency, Event};

/// Key of the row, which names all pools.
const KEY: &str = "pools";
/// Time after which the next entry checks the row; enough for a read and a write.
const TURN: Duration = Duration::from_millis(100);
/// Longest time that an entry waits to check the row.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Pause before a failed check is repeated.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// What the store keeps.
#[derive(Debug)]
struct Kept {
    stored: Stored,
    /// Whether that names all builds from before the start of the process.
    complete: bool,
    /// Era of the store in which it was read.
    era: u64,
}

/// Builds of pools, as this entry has seen them.
#[derive(Debug, Default)]
pub(super) struct State {
    history: RefCell<History>,
    /// The store's row as last read or written; `None` until it was read.
    kept: RefCell<Option<Kept>>,
    /// Whether the row is about to be checked.
    checking: Cell<bool>,
    /// When the last read of the row began.
    read_from: Cell<Micros>,
    /// Whether it is being read.
    reading: Cell<bool>,
}

/// Value of the row: builds by pool, in hexadecimal, with the store's clock when they had left.
type Doc = BTreeMap<String, BTreeMap<String, Option<u64>>>;

fn encode(stored: &Stored) -> Vec<u8> {
    let builds = |b: &PoolBuilds| {
        b.iter()
            .map(|(k, l)| (format!("{:016x}", k.0), *l))
            .collect()
    };
    let doc: Doc = stored
        .0
        .iter()
        .map(|(p, b)| (p.clone(), builds(b)))
        .collect();
    serde_json::to_vec(&doc).unwrap_or_default()
}

/// Decodes the row.
fn decode(value: &[u8]) -> Result<Stored, String> {
    let doc: Doc = serde_json::from_slice(value).map_err(|e| e.to_string())?;
    let key = |k: &str| u64::from_str_radix(k, 16).map(BuildKey);
    let builds = |b: BTreeMap<String, Option<u64>>| {
        let builds = b.iter().map(|(k, left)| Ok((key(k)?, *left)));
        builds.collect::<Result<PoolBuilds, std::num::ParseIntError>>()
    };
    let pools = doc.into_iter().map(|(p, b)| Ok((p, builds(b)?)));
    let pools: Result<_, std::num::ParseIntError> = pools.collect();
    Ok(Stored(pools.map_err(|e| e.to_string())?))
}

impl State {
    /// Whether the store's row has been read.
    pub(super) fn is_read(&self) -> bool {
        self.kept.borrow().is_some()
    }

    /// Whether the last read of the row began at a time or later.
    pub(super) fn is_read_since(&self, time: Micros) -> bool {
        self.is_read() && self.read_from.get() >= time
    }
}

/// Reads the row again, unless that is under way.
pub(super) fn request_read(ctx: &Ctx) {
    if ctx.builds.reading.replace(true) {
        return;
    }
    let ctx = Rc::clone(ctx);
    tokio::task::spawn_local(async move {
        let (began, mut store) = (ctx.now(), client(&ctx));
        let read = store.rows(BUILDS_TABLE).await;
        match read {
            // The row may have been read and changed meanwhile.
            Ok(rows) if ctx.builds.read_from.get() <= began => {
                apply(&ctx, &rows);
                ctx.builds.read_from.set(began);
            }
            Ok(_) => {}
            Err(e) => Dependency::new("builds").record(&Err::<(), _>(e)),
        }
        ctx.builds.reading.set(false);
    });
}

/// Reads the row from before the start of the process.
pub(super) async fn restore(ctx: Ctx) {
    let mut dependency = Dependency::new("builds");
    loop {
        let began = ctx.now();
        let read = client(&ctx).rows(BUILDS_TABLE).await;
        dependency.record(&read);
        match read {
            Ok(rows) => {
                apply(&ctx, &rows);
                ctx.builds.read_from.set(began);
                break;
            }
            Err(_) => retry_pause().await,
        }
    }
}

fn client(ctx: &Ctx) -> Store {
    let mut store = Store::new(*ctx.node.store.borrow());
    store.raise_era(era(ctx));
    store
}

fn era(ctx: &Ctx) -> u64 {
    ctx.node.era.borrow().unwrap_or_default()
}

/// Applies the row as read from the store; returns its version, 0 if there is none.
fn apply(ctx: &Ctx, rows: &Rows) -> u64 {
    let row = rows.rows.iter().find(|r| r.key == KEY);
    let value = row.and_then(|r| r.value.as_deref());
    let decoded = value.map(decode).transpose();
    if let Err(error) = &decoded {
        log::event(&Event::BadRow { key: KEY, error });
    }
    let mut kept = ctx.builds.kept.borrow_mut();
    let known = kept.as_ref().map(|k| k.complete);
    let is_readable = decoded.is_ok();
    // Without a row, only a system that starts for the first time has had no builds before.
    let first = || value.is_some() || ctx.node.settings.borrow().bootstrap;
    *kept = Some(Kept {
        stored: decoded.ok().flatten().unwrap_or_default(),
        complete: is_readable && known.unwrap_or_else(first),
        era: rows.at.era,
    });
    row.map_or(0, |r| r.at.version)
}

/// Records a list of targets, and checks the row if builds have come or gone.
pub(super) fn record(ctx: &Ctx, targets: &[Target]) {
    let builds = targets.iter();
    let builds = builds.filter_map(|t| Some((t.pool.as_str(), build_key(t)?)));
    ctx.builds.history.borrow_mut().record(ctx.now(), builds);
    if is_outdated(ctx) && !ctx.builds.checking.replace(true) {
        tokio::task::spawn_local(check(Rc::clone(ctx)));
    }
}

/// Whether the row has to change, or the store was restored since it was read.
fn is_outdated(ctx: &Ctx) -> bool {
    let restored = |k: &Kept| k.era < era(ctx);
    ctx.builds.kept.borrow().as_ref().is_some_and(restored) || update(ctx).is_some()
}

/// The row's new value, if it has to change.
fn update(ctx: &Ctx) -> Option<Stored> {
    let clock = ctx.node.cluster.borrow().store_clock_at(ctx.now())?;
    let kept = ctx.builds.kept.borrow();
    let history = ctx.builds.history.borrow();
    history.update(clock, &kept.as_ref()?.stored)
}

async fn check(ctx: Ctx) {
    let own = ctx.node.settings.borrow().peer;
    let before = {
        let cluster = ctx.node.cluster.borrow();
        let before = cluster.entries().filter(|a| *a < own);
        before.count()
    };
    sleep(TURN.saturating_mul(before as u32).min(MAX_WAIT)).await;
    if let Err(e) = check_once(&ctx).await {
        Dependency::new("builds").record(&Err::<(), _>(e));
        sleep(RETRY_DELAY).await;
    }
    ctx.builds.checking.set(false);
}

async fn check_once(ctx: &Ctx) -> Result<(), StoreError> {
    let (began, mut store) = (ctx.now(), client(ctx));
    let version = apply(ctx, &store.rows(BUILDS_TABLE).await?);
    ctx.builds.read_from.set(began);
    let Some(stored) = update(ctx) else {
        return Ok(());
    };
    let value = encode(&stored);
    match store.put_if(BUILDS_TABLE, KEY, &value, version).await {
        // Another entry has written the row meanwhile, and the next list shows whether it has to change.
        Err(StoreError::Conflict) => return Ok(()),
        written => written?,
    }
    log::event(&Event::PoolBuilds {
        pools: stored.0.len(),
        builds: stored.0.values().map(BTreeMap::len).sum(),
    });
    if let Some(kept) = ctx.builds.kept.borrow_mut().as_mut() {
        kept.stored = stored;
    }
    Ok(())
}

/// The only build that a pool has had for as long as a stream may last; `None` if it has had several, or
/// if that isn't known.
pub(super) fn sole_build(ctx: &Ctx, pool: &str) -> Option<BuildKey> {
    let now = ctx.now();
    let kept = ctx.builds.kept.borrow();
    let kept = kept.as_ref().filter(|k| k.era >= era(ctx))?;
    if !kept.complete && now < Config::default().memory {
        return None;
    }
    let clock = ctx.node.cluster.borrow().store_clock_at(now);
    let history = ctx.builds.history.borrow();
    history.sole(now, clock.unwrap_or_default(), Some(&kept.stored), pool)
}
