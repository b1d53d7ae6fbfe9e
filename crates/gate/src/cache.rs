//! Following what an engine or a store of kept KV cache holds.
//!
//! Either tells its latest changes to those who ask for them, a call at a time. A process that starts
//! late or was slow finds a gap in them, and what was dropped in the gap would be believed in for as
//! long as the weights last. It then reads the whole list, seldom, since that makes the engine pause.

use std::collections::HashMap;
use std::time::Duration;

use platform::replica::{self, EngineError, PartChange, PartChanges};
use platform::Conn;
use site::PartId;
use tokio::time::Instant;

use crate::update::HeldPart;

/// How long the other side may hold the question what has changed; the platform's longest.
const HOLD: Duration = Duration::from_millis(1_000);
/// How long its answer may take beyond that.
const PATIENCE: Duration = Duration::from_millis(300);
/// Shortest time between two readings of the whole list. In a storm of lost events the list would be
/// as old after this time without another reading as it is with the changes that did come.
const LIST: Duration = Duration::from_secs(5);

/// What is held at one place.
#[derive(Debug, Default)]
pub struct Cache {
    /// Changes with each start of the place.
    pub epoch: u64,
    held: HashMap<(u64, PartId), u32>,
}

impl Cache {
    /// Takes over some changes; returns them as they are told to others.
    fn take(&mut self, epoch: u64, stored: &[PartChange]) -> Vec<HeldPart> {
        self.restart(epoch);
        for s in stored {
            let key = (s.scope, s.part);
            match s.tokens {
                0 => self.held.remove(&key),
                n => self.held.insert(key, n),
            };
        }
        let told = stored.iter().map(|s| ((s.scope, s.part), s.tokens));
        told.map(held).collect()
    }

    /// Takes over the whole list; returns what has changed.
    fn replace(&mut self, epoch: u64, stored: &[PartChange]) -> Vec<HeldPart> {
        self.restart(epoch);
        let listed = stored.iter().map(|s| ((s.scope, s.part), s.tokens));
        let listed: HashMap<_, _> = listed.collect();
        let gone = self.held.keys().filter(|k| !listed.contains_key(k));
        let gone = gone.map(|k| held((*k, 0)));
        let new = listed.iter().filter(|(k, n)| self.held.get(k) != Some(n));
        let changes = gone.chain(new.map(|(k, n)| held((*k, *n)))).collect();
        self.held = listed;
        changes
    }

    /// Forgets all that another life of the place held.
    fn restart(&mut self, epoch: u64) {
        if self.epoch != epoch {
            self.epoch = epoch;
            self.held.clear();
        }
    }

    /// All that is held.
    pub fn all(&self) -> Vec<HeldPart> {
        self.held.iter().map(|(k, n)| held((*k, *n))).collect()
    }
}

fn held(((scope, part), tokens): ((u64, PartId), u32)) -> HeldPart {
    HeldPart {
        scope,
        part: part.0,
        tokens,
    }
}

/// What a call has brought.
#[derive(Debug)]
pub enum Update {
    /// The latest changes.
    Changes(PartChanges),
    /// All that is held.
    Whole(PartChanges),
}

impl Update {
    /// Hands it to a cache; returns what others are to be told.
    pub fn into(self, cache: &mut Cache) -> Vec<HeldPart> {
        match self {
            Self::Changes(e) => cache.take(e.epoch, &e.changes),
            Self::Whole(e) => cache.replace(e.epoch, &e.changes),
        }
    }
}

/// How far the changes of one place have been read.
#[derive(Debug)]
pub struct Follower {
    conn: Conn,
    next: u64,
    listed: Option<Instant>,
}

impl Follower {
    /// Reads from the first change that is still told.
    pub fn new(conn: Conn) -> Self {
        Self {
            conn,
            next: 0,
            listed: None,
        }
    }

    /// Waits for changes.
    ///
    /// # Errors
    ///
    /// If the place doesn't answer or its answer can't be read; the next call begins from the first
    /// change again.
    pub async fn changes(&mut self) -> Result<Update, EngineError> {
        let read = self.read().await;
        if read.is_err() {
            self.next = 0;
        }
        read
    }

    async fn read(&mut self) -> Result<Update, EngineError> {
        let events = replica::fetch_changes(&mut self.conn, self.next, HOLD, PATIENCE).await?;
        let due = self.listed.is_none_or(|at| at.elapsed() > LIST);
        if !events.lost || !due {
            self.next = events.next;
            return Ok(Update::Changes(events));
        }
        self.listed = Some(Instant::now());
        let all = replica::fetch_all_parts(&mut self.conn, PATIENCE).await?;
        self.next = all.next;
        Ok(Update::Whole(all))
    }
}
