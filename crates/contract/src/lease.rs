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
//!
//! Work that a holder has started, such as the load of an engine, continues while the holder is
//! paused, killed or restarted, and no term is longer than all work. A holder therefore records in
//! the row where its work runs before it starts the work. When its heartbeats stop, a contender
//! checks the work itself: it evicts the holder once the work has ended, and renews the entry for
//! all other contenders while the work runs. If the work can't be reached, the entry is kept for
//! twice the time that such work took before ([`Config::unknown_work`] until one has ended), since
//! an interrupted connection looks the same as a host without power.

use std::collections::HashMap;

use bytes::Bytes;
use model::Micros;
use serde::{Deserialize, Serialize};

use crate::table::{Reply, Request, Row};

/// Settings of a lease.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Maximum number of holders; default 1. With 0 a lease is never acquired and only watches the
    /// work of silent holders.
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
    /// How long work that can't be reached counts while no work has ended yet; default 180 s.
    pub unknown_work: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            size: 1,
            term: Micros::from_secs(10),
            margin: Micros::from_secs(2),
            settle: Micros::ZERO,
            unknown_work: Micros::from_secs(180),
        }
    }
}

/// Content of the row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseRow {
    /// The highest fencing token assigned.
    fence: u64,
    holders: Vec<Holder>,
    /// How long the latest work took, in milliseconds; 0 if none has ended.
    #[serde(default, skip_serializing_if = "is_zero")]
    work_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Holder {
    who: String,
    fence: u64,
    beat: u64,
    /// Where the holder's work runs, if it has started any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    work: Option<String>,
    /// Whether a contender wrote the last heartbeat, after it had seen the work running.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    watched: bool,
}

#[allow(clippy::trivially_copy_pass_by_ref)] // The signature that serde requires.
fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// Result of a check of a holder's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// The work is running.
    Running,
    /// The work has ended, or the process that ran it has exited.
    Ended,
    /// The work can't be reached.
    Unknown,
}

/// Next step of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Call the table and pass the reply to [`Lease::step`].
    Call(Request),
    /// Check the work that runs here and pass the result to [`Lease::checked`].
    Check(String),
    /// Call [`Lease::tick`] at this time.
    Sleep(Micros),
}

/// Identifies the entry of a silent holder: its fencing token and last heartbeat.
type WorkKey = (u64, u64);

/// Work of this lease's holder.
#[derive(Clone, Debug)]
struct OwnWork {
    /// Where the work runs.
    place: String,
    started: Micros,
    /// How long the work took, if it has ended.
    took: Option<Micros>,
    /// Whether the row says where the work runs.
    recorded: bool,
}

/// State of the calls to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    Reading,
    /// A write of the holder's entry was sent at this time.
    Writing {
        sent: Micros,
        /// Whether the entry says where the work runs.
        records_work: bool,
    },
    /// The work of a silent holder is being checked.
    Checking(WorkKey),
    /// A write that renews the entries of silent holders was sent.
    Watching,
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
    work: Option<OwnWork>,
    /// Results of the checks since the last tick.
    checks: HashMap<WorkKey, Work>,
    /// Since when the work of a silent holder can't be reached.
    unreachable: HashMap<WorkKey, Micros>,
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
            work: None,
            checks: HashMap::new(),
            unreachable: HashMap::new(),
            released: false,
        }
    }

    /// The fencing token, while the holder may send orders.
    pub fn valid(&self, now: Micros) -> Option<u64> {
        let grant = self.grant.filter(|g| g.from <= now && now < g.until);
        grant.filter(|_| !self.released).map(|g| g.fence)
    }

    /// Records in the row that the holder starts work at `place`. The work must not be started before
    /// [`Lease::may_work`].
    pub fn start_work(&mut self, now: Micros, place: impl Into<String>) {
        self.work = Some(OwnWork {
            place: place.into(),
            started: now,
            took: None,
            recorded: false,
        });
    }

    /// Records that the work has ended as intended.
    pub fn end_work(&mut self, now: Micros) {
        if let Some(w) = &mut self.work {
            w.took = Some(now.since(w.started));
        }
    }

    /// Whether the lease is valid and the row says where the work runs.
    pub fn may_work(&self, now: Micros) -> bool {
        self.valid(now).is_some() && self.work.as_ref().is_some_and(|w| w.recorded)
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
            Phase::Idle if !self.is_released() => {
                self.checks.clear();
                self.read()
            }
            _ => self.sleep(now),
        }
    }

    /// Handles the reply to the last call and returns the next step.
    pub fn step(&mut self, now: Micros, reply: Reply) -> LeaseStep {
        let phase = std::mem::replace(&mut self.phase, Phase::Idle);
        match (phase, reply) {
            (Phase::Reading, Reply::Row(row)) => self.found(now, row),
            (Phase::Writing { sent, records_work }, Reply::Written(_)) => {
                self.extend_grant(sent, now);
                if let Some(w) = &mut self.work {
                    w.recorded |= records_work;
                }
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

    /// Handles the result of a check and returns the next step. The row is read again, since it may
    /// have changed during the check.
    pub fn checked(&mut self, now: Micros, work: Work) -> LeaseStep {
        let Phase::Checking(key) = self.phase else {
            return self.sleep(now);
        };
        self.checks.insert(key, work);
        match work {
            Work::Unknown => {
                self.unreachable.entry(key).or_insert(now);
            }
            Work::Running | Work::Ended => {
                self.unreachable.remove(&key);
            }
        }
        self.read()
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
            if let Some(took) = self.work.as_ref().and_then(|w| w.took) {
                held.work_ms = took.as_millis();
            }
            if mine {
                self.phase = Phase::Removing;
                return self.write(version, &held);
            }
            self.fence = 0;
            return self.sleep(now);
        }
        let before = held.holders.len();
        self.observe(now, &held);
        // A holder checks no work, which would delay its own heartbeats.
        let unchecked = held
            .holders
            .iter()
            .find(|h| !mine && self.needs_check(now, h));
        if let Some((key, place)) = unchecked.and_then(|h| Some((h.work_key(), h.work.clone()?))) {
            self.phase = Phase::Checking(key);
            return LeaseStep::Check(place);
        }
        let work_lease = self.work_lease(&held);
        held.holders
            .retain(|h| is_mine(h) || !self.is_evicted(now, h, work_lease));
        let watched = self.watch(&mut held);
        if held.holders.len() < before {
            // Set before the write and not on its reply, which may be lost.
            self.settled = now + self.config.settle;
        }
        let place = self.work.as_ref().map(|w| w.place.clone());
        let room = held.holders.len() < self.config.size;
        match held.holders.iter_mut().find(|h| is_mine(h)) {
            Some(me) => {
                self.beat = me.beat.max(self.beat) + 1;
                me.beat = self.beat;
                me.watched = false;
                me.work = place.clone();
            }
            None if room => {
                held.fence += 1;
                self.beat += 1;
                self.fence = held.fence;
                held.holders.push(Holder {
                    who: self.process.clone(),
                    fence: held.fence,
                    beat: self.beat,
                    work: place.clone(),
                    watched: false,
                });
                // An earlier grant of this process had another fencing token.
                self.grant = None;
            }
            None => {
                self.grant = None;
                if !watched {
                    return self.sleep(now);
                }
                self.phase = Phase::Watching;
                return self.write(version, &held);
            }
        }
        self.phase = Phase::Writing {
            sent: now,
            records_work: place.is_some(),
        };
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
        let is_current = |key: &WorkKey| held.holders.iter().any(|h| h.work_key() == *key);
        self.unreachable.retain(|key, _| is_current(key));
        for h in &held.holders {
            let last = self.beats.entry(h.fence).or_insert((h.beat, now));
            if last.0 != h.beat {
                *last = (h.beat, now);
            }
        }
    }

    /// Whether a holder's heartbeat hasn't changed for a whole term, or since contenders have renewed
    /// it for the usual time between two reads.
    fn is_silent(&self, now: Micros, h: &Holder) -> bool {
        let since = self.beats.get(&h.fence).map_or(now, |(_, since)| *since);
        let term = match h.watched {
            true => Micros(self.config.term.0 / 5),
            false => self.config.term,
        };
        now.since(since) >= term
    }

    /// Whether a silent holder has started work that wasn't checked since the last tick.
    fn needs_check(&self, now: Micros, h: &Holder) -> bool {
        h.work.is_some() && self.is_silent(now, h) && !self.checks.contains_key(&h.work_key())
    }

    /// Whether a silent holder is evicted. One that has started work is kept until the work has ended
    /// or was out of reach for `work_lease`.
    fn is_evicted(&self, now: Micros, h: &Holder, work_lease: Micros) -> bool {
        let check = self.checks.get(&h.work_key());
        let unreachable = self.unreachable.get(&h.work_key());
        match (&h.work, check) {
            _ if !self.is_silent(now, h) => false,
            (None, _) | (Some(_), Some(Work::Ended)) => true,
            (Some(_), Some(Work::Unknown)) => {
                unreachable.is_some_and(|at| now.since(*at) >= work_lease)
            }
            (Some(_), Some(Work::Running) | None) => false,
        }
    }

    /// How long work that can't be reached counts.
    fn work_lease(&self, held: &LeaseRow) -> Micros {
        match held.work_ms {
            0 => self.config.unknown_work,
            ms => Micros::from_millis(2 * ms).max(self.config.term),
        }
    }

    /// Renews the entries of silent holders whose work is running. Returns whether there were any.
    fn watch(&self, held: &mut LeaseRow) -> bool {
        let is_running = |h: &Holder| self.checks.get(&h.work_key()) == Some(&Work::Running);
        let running = held.holders.iter_mut().filter(|h| is_running(h));
        running.fold(false, |_, h| {
            h.beat += 1;
            h.watched = true;
            true
        })
    }
}

impl Holder {
    fn work_key(&self) -> WorkKey {
        (self.fence, self.beat)
    }
}
