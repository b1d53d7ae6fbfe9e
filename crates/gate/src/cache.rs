//! Following the parts in the cache of an engine or of a KV store.
//!
//! Engines and KV stores return their latest changes on request. A process that has started late or
//! was slow finds a gap in the changes, and would regard parts evicted in the gap as held for as
//! long as the weights are in use. After a gap it therefore reads the list of all parts, but
//! rarely, since that makes the engine pause.

use std::collections::HashMap;
use std::time::Duration;

use platform::replica::{self, EngineError, PartChange, PartChanges};
use platform::Conn;
use site::PartId;
use tokio::time::Instant;

use crate::update::HeldPart;

/// How long the engine or store may hold a request for changes; the platform allows no more.
const MAX_HOLD: Duration = Duration::from_millis(1_000);
/// How long the answer may take beyond that, and how long the answer to a request for all parts may
/// take.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum time between two reads of the list of all parts. If many events are lost, the list would
/// after this time be as outdated without another read as it is with the changes that were
/// received.
const LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Parts in the cache of one engine or KV store.
#[derive(Debug, Default)]
pub struct Cache {
    /// Number that changes with each start of the engine or store.
    pub epoch: u64,
    /// Number of tokens held, by scope and part.
    held: HashMap<(u64, PartId), u32>,
}

impl Cache {
    /// Applies changes and returns them in the form that is sent to other processes.
    fn apply_changes(&mut self, epoch: u64, parts: &[PartChange]) -> Vec<HeldPart> {
        self.set_epoch(epoch);
        for p in parts {
            let key = (p.scope, p.part);
            match p.tokens {
                0 => self.held.remove(&key),
                n => self.held.insert(key, n),
            };
        }
        let changes = parts.iter().map(|p| ((p.scope, p.part), p.tokens));
        changes.map(held_part).collect()
    }

    /// Replaces the contents by a list of all parts and returns the changes.
    fn replace(&mut self, epoch: u64, parts: &[PartChange]) -> Vec<HeldPart> {
        self.set_epoch(epoch);
        let listed = parts.iter().map(|p| ((p.scope, p.part), p.tokens));
        let listed: HashMap<_, _> = listed.collect();
        let evicted = self.held.keys().filter(|k| !listed.contains_key(k));
        let evicted = evicted.map(|k| held_part((*k, 0)));
        let new = listed.iter().filter(|(k, n)| self.held.get(k) != Some(n));
        let changes = evicted
            .chain(new.map(|(k, n)| held_part((*k, *n))))
            .collect();
        self.held = listed;
        changes
    }

    /// Clears the contents if the engine or store has restarted.
    fn set_epoch(&mut self, epoch: u64) {
        if self.epoch != epoch {
            self.epoch = epoch;
            self.held.clear();
        }
    }

    /// All parts in the cache.
    pub fn all(&self) -> Vec<HeldPart> {
        self.held.iter().map(|(k, n)| held_part((*k, *n))).collect()
    }
}

fn held_part(((scope, part), tokens): ((u64, PartId), u32)) -> HeldPart {
    HeldPart {
        scope,
        part: part.0,
        tokens,
    }
}

/// Result of a request for changes.
#[derive(Debug)]
pub enum CacheUpdate {
    /// The latest changes.
    Changes(PartChanges),
    /// All parts in the cache.
    Whole(PartChanges),
}

impl CacheUpdate {
    /// Applies the result to a cache and returns the changes to send to other processes.
    pub fn apply_to(self, cache: &mut Cache) -> Vec<HeldPart> {
        match self {
            Self::Changes(c) => cache.apply_changes(c.epoch, &c.changes),
            Self::Whole(c) => cache.replace(c.epoch, &c.changes),
        }
    }
}

/// Follows the changes of one engine or KV store.
#[derive(Debug)]
pub struct Follower {
    conn: Conn,
    /// Number of the next change to read.
    next: u64,
    /// When the list of all parts was last read.
    last_list: Option<Instant>,
}

impl Follower {
    /// Creates a follower that starts at the oldest available change.
    pub fn new(conn: Conn) -> Self {
        Self {
            conn,
            next: 0,
            last_list: None,
        }
    }

    /// Waits for changes.
    ///
    /// # Errors
    ///
    /// Fails if the engine or store doesn't answer or its answer is malformed. The next call then
    /// starts again at the oldest available change.
    pub async fn changes(&mut self) -> Result<CacheUpdate, EngineError> {
        let result = self.fetch().await;
        if result.is_err() {
            self.next = 0;
        }
        result
    }

    async fn fetch(&mut self) -> Result<CacheUpdate, EngineError> {
        let changes =
            replica::fetch_changes(&mut self.conn, self.next, MAX_HOLD, ANSWER_TIMEOUT).await?;
        let due = self.last_list.is_none_or(|at| at.elapsed() > LIST_INTERVAL);
        if !changes.lost || !due {
            self.next = changes.next;
            return Ok(CacheUpdate::Changes(changes));
        }
        self.last_list = Some(Instant::now());
        let list = replica::fetch_all_parts(&mut self.conn, ANSWER_TIMEOUT).await?;
        self.next = list.next;
        Ok(CacheUpdate::Whole(list))
    }
}
