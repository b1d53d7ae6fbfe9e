//! Following the platform's list of targets.
//!
//! The list changes with every heartbeat of every target, so a call held open would be answered all
//! the time. It is read in whole a few times a second instead. A target that leaves must get nothing
//! new two seconds after it said so: the pause, a slow answer and the requests under way fit into
//! that.

use std::time::Duration;

use model::Micros;
use platform::store::TARGETS;
use platform::{Rows, Store, StoreError};
use rand::Rng;
use site::Target;
use tokio::time::sleep;

use super::Ctx;
use crate::log::{self, Event};

/// Shortest pause between two reads.
const PAUSE: Duration = Duration::from_millis(600);
/// Longest pause; entries don't read in step.
const LONGEST: Duration = Duration::from_millis(800);
/// Pause after a read that failed.
const AGAIN: Duration = Duration::from_millis(250);

/// Follows the list for as long as the process lives.
pub(super) async fn follow(ctx: Ctx) {
    let addr = ctx.node.settings.borrow().store;
    let mut store = Store::new(addr);
    let mut away = false;
    let mut back = None;
    loop {
        let read = store.rows(TARGETS).await;
        let now = ctx.now();
        back = returned(&read, away, now, back);
        away = read.is_err();
        match read {
            Ok(rows) => {
                let targets = targets(rows);
                ctx.fleet.borrow_mut().list(now, targets, back);
                let span = PAUSE.as_millis() as u64..LONGEST.as_millis() as u64;
                let ms = rand::rng().random_range(span);
                sleep(Duration::from_millis(ms)).await;
            }
            // The other follower of the store tells how it failed.
            Err(_) => sleep(AGAIN).await,
        }
    }
}

/// When the store last began to answer again.
fn returned(
    read: &Result<Rows, StoreError>,
    away: bool,
    now: Micros,
    back: Option<Micros>,
) -> Option<Micros> {
    match read {
        Ok(_) if away => Some(now),
        _ => back,
    }
}

/// The targets that can be used; entries that can't be read name none.
fn targets(rows: Rows) -> Vec<Target> {
    let mut targets = Vec::new();
    for row in rows.rows {
        let Some(value) = row.value else {
            continue;
        };
        match platform::directory::target(&row.key, &value) {
            Ok(target) => targets.push(target),
            Err(e) => log::event(&Event::BadRow {
                key: &row.key,
                error: &e.to_string(),
            }),
        }
    }
    targets
}
