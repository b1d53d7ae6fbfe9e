//! Convicted prompt parts in the platform's store: what has to outlast the entries.
//!
//! Each convicted part has a row with the number of its trials. The row is written by the entries
//! that convict the part, raised by those that claim a trial, and deleted by the one whose trial
//! succeeds. An entry that starts reads all rows.

use std::time::Duration;

use platform::store::PARTS_TABLE;
use platform::{Row, Store, StoreError};
use policy::crashing_parts::{Change, Claim, ClaimOutcome, PartKey};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::Ctx;
use crate::follow::retry_pause;
use crate::log::{self, Dependency, Event};

/// Age at which a row is deleted, in milliseconds of the store's clock.
const MAX_AGE_MS: u64 = 24 * 3_600_000;
/// Pause before a failed write is repeated.
const WRITE_PAUSE: Duration = Duration::from_secs(2);
/// Number of times that a write is tried.
const MAX_WRITES: usize = 60;

/// Value of a part's row.
#[derive(Debug, Default, Serialize, Deserialize)]
struct PartDoc {
    /// Number of trials claimed.
    trials: u32,
    /// The store's clock when the row was last written, in milliseconds.
    at_ms: u64,
}

/// Name of a part in the store and in logs.
pub(super) fn name(part: PartKey) -> String {
    format!("{:016x}", part.0)
}

fn client(ctx: &Ctx) -> Store {
    let mut store = Store::new(ctx.node.settings.borrow().store);
    store.raise_era(ctx.node.era.borrow().unwrap_or_default());
    store
}

fn encode(ctx: &Ctx, trials: u32) -> Vec<u8> {
    let clock = ctx.node.cluster.borrow().store_clock_at(ctx.now());
    let at_ms = clock.unwrap_or_default();
    serde_json::to_vec(&PartDoc { trials, at_ms }).unwrap_or_default()
}

/// Decodes a row; `None` if it is deleted or malformed.
fn decode(row: &Row) -> Option<(PartKey, PartDoc)> {
    let value = row.value.as_ref()?;
    let key = u64::from_str_radix(&row.key, 16).map_err(|e| e.to_string());
    let doc = serde_json::from_slice(value).map_err(|e| e.to_string());
    match key.and_then(|key| Ok((PartKey(key), doc?))) {
        Ok(part) => Some(part),
        Err(error) => {
            log::event(&Event::BadRow {
                key: &row.key,
                error: &error,
            });
            None
        }
    }
}

/// Puts the convictions in force that the store has from before the start of the process.
pub(super) async fn restore(ctx: Ctx) {
    let mut store = client(&ctx);
    let mut dependency = Dependency::new("crashing_parts");
    let rows = loop {
        store.move_to(*ctx.node.store.borrow());
        let rows = store.rows(PARTS_TABLE).await;
        dependency.record(&rows);
        match rows {
            Ok(rows) => break rows,
            Err(_) => retry_pause().await,
        }
    };
    for row in &rows.rows {
        let Some((part, doc)) = decode(row) else {
            continue;
        };
        match rows.clock_ms.saturating_sub(doc.at_ms) > MAX_AGE_MS {
            true => dependency.record(&store.remove(PARTS_TABLE, &row.key).await),
            false => ctx
                .crashing_parts
                .update(|p| p.restore(ctx.now(), part, doc.trials)),
        }
    }
}

/// Keeps a verdict of this entry.
pub(super) async fn keep(ctx: Ctx, change: Change) {
    let mut store = client(&ctx);
    let mut dependency = Dependency::new("crashing_parts");
    let key = name(change.part);
    for _ in 0..MAX_WRITES {
        store.move_to(*ctx.node.store.borrow());
        let written = match change.convicted {
            true => store.put_if(PARTS_TABLE, &key, &encode(&ctx, 0), 0).await,
            false => store.remove(PARTS_TABLE, &key).await,
        };
        // Another entry has convicted the part as well.
        if matches!(written, Err(StoreError::Conflict)) {
            return;
        }
        dependency.record(&written);
        if written.is_ok() {
            return;
        }
        sleep(WRITE_PAUSE).await;
    }
}

/// Claims a trial of a part for this entry.
pub(super) async fn claim(ctx: Ctx, claim: Claim) {
    let tried = try_claim(&ctx, claim).await;
    Dependency::new("crashing_parts").record(&tried);
    let outcome = tried.unwrap_or(ClaimOutcome::Unknown);
    log::event(&Event::Trial {
        part: name(claim.part),
        trials: claim.trials,
        outcome: match outcome {
            ClaimOutcome::Claimed => "claimed",
            ClaimOutcome::Outdated(_) => "outdated",
            ClaimOutcome::Unknown => "unknown",
        },
    });
    ctx.crashing_parts
        .update(|p| p.record_claim(ctx.now(), claim, outcome));
}

async fn try_claim(ctx: &Ctx, claim: Claim) -> Result<ClaimOutcome, StoreError> {
    let mut store = client(ctx);
    let key = name(claim.part);
    let rows = store.rows(PARTS_TABLE).await?;
    let row = rows.rows.iter().find(|r| r.key == key);
    let known = row.and_then(decode).map_or(0, |(_, doc)| doc.trials);
    if known > claim.trials {
        return Ok(ClaimOutcome::Outdated(known));
    }
    let version = row.map_or(0, |r| r.at.version);
    let value = encode(ctx, claim.trials + 1);
    store.put_if(PARTS_TABLE, &key, &value, version).await?;
    Ok(ClaimOutcome::Claimed)
}
