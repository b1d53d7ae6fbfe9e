//! Leases with fencing tokens, stored in one row: one holder for an engine, a few for a pool.
//!
//! Two sidecars may control one engine for a while, for example when a host is replaced and the
//! old process was only paused. If both sent orders, the engine would load the weights of one over
//! those of the other. A lease allows only one of them to send orders. The holder may be paused
//! until after its lease has expired without noticing. Therefore it checks its own monotonic clock
//! with a margin before each order, and each order carries the lease's fencing token, so that an
//! engine that checks fencing tokens rejects a late order. For an engine that doesn't check them, a
//! new holder first waits for the duration of the longest order ([`Config::settle`]).
//!
//! A holder's entry in the row is identified by its fencing token, not by its process. Otherwise a
//! process that releases a lease and requests it again at once could rely on the entry that its
//! earlier lease is about to remove.
//!
//! Clocks of different processes are never compared. A holder increments its heartbeat counter in
//! the row; a contender evicts it after it has observed the same counter for a whole term. With
//! more than one holder, the row limits how many replicas of a pool load weights at a time.

use std::collections::HashMap;

use bytes::Bytes;
use model::Micros;
use serde::{Deserialize, Serialize};

use crate::table::{Reply, Request, Row};

/// Settings of a lease.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Maximum number of holders; default 1.
    pub size: usize,
    /// How long a holder without heartbeats keeps the lease; default 10 s, several times the
    /// platform's longest response time.
    pub term: Micros,
    /// How much earlier the holder stops using the lease; default 2 s, longer than usual pauses of
    /// a process.
    pub margin: Micros,
    /// How long a new holder waits after an eviction before it sends orders; zero for an engine
    /// that checks fencing tokens, else the duration of the longest order.
    pub settle: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            size: 1,
            term: Micros::from_secs(10),
            margin: Micros::from_secs(2),
            settle: Micros::ZERO,
        }
    }
}

/// Content of the row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseRow {
    /// The highest fencing token assigned.
    fence: u64,
    holders: Vec<Holder>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Holder {
    who: String,
    fence: u64,
    beat: u64,
}

/// Next step of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Call the table and pass the reply to [`Lease::step`].
    Call(Request),
    /// Call [`Lease::tick`] at this time.
    Sleep(Micros),
}

/// State of the calls to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    Reading,
    /// A write of the holder's entry was sent at this time.
    Writing {
        sent: Micros,
    },
    /// A write that removes the holder's entry was sent.
    Removing,
}

/// Period in which the holder may send orders.
#[derive(Clone, Copy, Debug)]
struct Grant {
    fence: u64,
    /// Start of the period, inclusive.
    from: Micros,
    /// End of the period, exclusive.
    until: Micros,
}

/// A lease from the point of view of one process.
#[derive(Clone, Debug)]
pub struct Lease {
    config: Config,
    key: String,
    process: String,
    beat: u64,
    /// Fencing token of this lease's entry in the row; 0 if it has none.
    fence: u64,
    phase: Phase,
    grant: Option<Grant>,
    /// Time at which all orders of evicted holders have certainly ended.
    settled: Micros,
    /// Last heartbeat of each holder by fencing token, and since when it hasn't changed.
    beats: HashMap<u64, (u64, Micros)>,
    released: bool,
}

impl Lease {
    /// Creates a lease on the row `key` that is not held yet; `process` must be different for each
    /// process and each of its incarnations.
    pub fn new(config: Config, key: impl Into<String>, process: impl Into<String>) -> Self {
        Self {
            config,
            key: key.into(),
            process: process.into(),
            beat: 0,
            fence: 0,
            phase: Phase::Idle,
            grant: None,
            settled: Micros::ZERO,
            beats: HashMap::new(),
            released: false,
        }
    }

    /// The fencing token, while the holder may send orders.
    pub fn valid(&self, now: Micros) -> Option<u64> {
        let grant = self.grant.filter(|g| g.from <= now && now < g.until);
        grant.filter(|_| !self.released).map(|g| g.fence)
    }

    /// Releases the lease; the following steps remove its entry from the row.
    pub fn release(&mut self) {
        self.released = true;
        self.grant = None;
    }

    /// Whether the lease was released and its entry is no longer in the row.
    pub fn is_released(&self) -> bool {
        self.released && self.phase == Phase::Idle && self.fence == 0
    }

    /// Returns the next step; to be called when a [`LeaseStep::Sleep`] has ended.
    pub fn tick(&mut self, now: Micros) -> LeaseStep {
        match self.phase {
            Phase::Idle if !self.is_released() => self.read(),
            _ => self.sleep(now),
        }
    }

    /// Handles the reply to the last call and returns the next step.
    pub fn step(&mut self, now: Micros, reply: Reply) -> LeaseStep {
        let phase = std::mem::replace(&mut self.phase, Phase::Idle);
        match (phase, reply) {
            (Phase::Reading, Reply::Row(row)) => self.found(now, row),
            (Phase::Writing { sent }, Reply::Written(_)) => {
                self.extend_grant(sent, now);
                self.sleep(now)
            }
            (Phase::Removing, Reply::Written(_)) => {
                self.fence = 0;
                self.sleep(now)
            }
            // The next read shows whether a lost write took effect. Until then the current grant
            // ends at its own time.
            (_, Reply::Lost | Reply::Conflict) => self.retry(now),
            _ => self.sleep(now),
        }
    }

    fn read(&mut self) -> LeaseStep {
        self.phase = Phase::Reading;
        LeaseStep::Call(Request::Read {
            key: self.key.clone(),
        })
    }

    /// Reads again after a short delay: with the usual one, two consecutive lost answers would
    /// let the grant expire.
    fn retry(&self, now: Micros) -> LeaseStep {
        LeaseStep::Sleep(now + Micros(self.config.term.0 / 20))
    }

    fn sleep(&self, now: Micros) -> LeaseStep {
        LeaseStep::Sleep(now + Micros(self.config.term.0 / 5))
    }

    fn found(&mut self, now: Micros, row: Option<Row>) -> LeaseStep {
        let version = row.as_ref().map_or(0, |r| r.version);
        let held = row.and_then(|r| serde_json::from_slice(&r.value).ok());
        let mut held: LeaseRow = held.unwrap_or_default();
        let (process, fence) = (self.process.clone(), self.fence);
        let is_mine = |h: &Holder| h.who == process && h.fence == fence;
        let mine = held.holders.iter().any(is_mine);
        // Only this process knows when it evicted others. If it left the row at once, the next
        // holder wouldn't wait and could act while orders of the evicted are still on their way.
        if self.released && mine && now < self.settled {
            return self.sleep(now);
        }
        if self.released {
            held.holders.retain(|h| !is_mine(h));
            if mine {
                self.phase = Phase::Removing;
                return self.write(version, &held);
            }
            self.fence = 0;
            return self.sleep(now);
        }
        let before = held.holders.len();
        self.observe(now, &held);
        held.holders
            .retain(|h| is_mine(h) || !self.is_expired(now, h));
        if held.holders.len() < before {
            // Set before the write and not on its reply, which may be lost.
            self.settled = now + self.config.settle;
        }
        let room = held.holders.len() < self.config.size;
        match held.holders.iter_mut().find(|h| is_mine(h)) {
            Some(me) => {
                self.beat = me.beat.max(self.beat) + 1;
                me.beat = self.beat;
            }
            None if room => {
                held.fence += 1;
                self.beat += 1;
                self.fence = held.fence;
                held.holders.push(Holder {
                    who: self.process.clone(),
                    fence: held.fence,
                    beat: self.beat,
                });
                // An earlier grant of this process had another fencing token.
                self.grant = None;
            }
            None => {
                self.grant = None;
                return self.sleep(now);
            }
        }
        self.phase = Phase::Writing { sent: now };
        self.write(version, &held)
    }

    fn write(&self, version: u64, held: &LeaseRow) -> LeaseStep {
        LeaseStep::Call(Request::Write {
            key: self.key.clone(),
            version,
            value: serde_json::to_vec(held)
                .map(Bytes::from)
                .unwrap_or_default(),
        })
    }

    /// Extends the grant after a write. Its end is counted from the time at which the write was
    /// sent, since others may have observed the new heartbeat at any time after that.
    fn extend_grant(&mut self, sent: Micros, now: Micros) {
        if self.released {
            return;
        }
        let until = sent + self.config.term - self.config.margin;
        let from = match self.grant {
            Some(g) if g.fence == self.fence => g.from,
            _ => now.max(self.settled),
        };
        self.grant = Some(Grant {
            fence: self.fence,
            from,
            until,
        });
    }

    /// Records the heartbeats in the row.
    fn observe(&mut self, now: Micros, held: &LeaseRow) {
        let in_row = |fence: &u64| held.holders.iter().any(|h| h.fence == *fence);
        self.beats.retain(|fence, _| in_row(fence));
        for h in &held.holders {
            let last = self.beats.entry(h.fence).or_insert((h.beat, now));
            if last.0 != h.beat {
                *last = (h.beat, now);
            }
        }
    }

    /// Whether a holder's heartbeat hasn't changed for a whole term.
    fn is_expired(&self, now: Micros, h: &Holder) -> bool {
        let since = self.beats.get(&h.fence).map_or(now, |(_, since)| *since);
        now.since(since) >= self.config.term
    }
}
