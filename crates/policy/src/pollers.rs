//! Which of many processes poll a list on behalf of all.
//!
//! Load pattern: each of many entries reads the same list from the platform's store a few times a second. The
//! number of calls grows with the number of entries although the list changes only a few times a minute,
//! and the store counts every call. If a single process were elected to poll, its failure would leave the
//! others without updates.
//!
//! No process is elected. An entry that has polled sends the hash of the list to the others in one
//! datagram. An entry that has recently received such datagrams from enough entries with a lower rank polls
//! rarely; otherwise it polls itself. So all entries poll at the start, only a few after the first round,
//! and the next in rank as soon as one of the pollers falls silent.
//!
//! A target that leaves must receive no new requests two seconds later. A poller's interval and its read take
//! at most one of these seconds. If the pollers stop just after a read, the next in rank polls once they
//! have been silent for 1.2 s, which covers an interval and a slow read, and up to 0.2 s later, so that
//! hundreds of entries don't poll at the same moment: 1.4 s and a read in total. Checking for silence only
//! once per interval took up to 2 s and a read.

use std::collections::HashMap;

use model::Micros;

/// Minimum interval between two reads.
const POLL_INTERVAL: Micros = Micros::from_millis(600);
/// Poll interval of a process for which others poll. Such a process still reads the list itself now and
/// then, for whatever the others' datagrams don't contain.
const IDLE_INTERVAL: Micros = Micros::from_millis(4_000);
/// Maximum random delay that spreads the reads of different processes.
const MAX_JITTER: Micros = Micros::from_millis(200);
/// Number of active pollers that suffices.
const ENOUGH_POLLERS: usize = 2;
/// Silence after which a poller counts as inactive.
const POLLER_TIMEOUT: Micros = Micros::from_millis(1_200);

/// Other processes that have recently polled, as one process has recorded them.
#[derive(Debug, Default)]
pub struct Pollers {
    /// When a process of each rank last reported a read.
    last_reads: HashMap<u64, Micros>,
}

impl Pollers {
    /// Records that another process has read the list.
    pub fn record(&mut self, now: Micros, rank: u64) {
        self.last_reads.insert(rank, now);
        self.last_reads
            .retain(|_, at| now.since(*at) < POLLER_TIMEOUT);
    }

    /// Whether the process with rank `own` has to poll itself.
    pub fn should_poll(&self, now: Micros, own: u64) -> bool {
        self.needed_from(own).is_none_or(|at| at <= now)
    }

    /// Next poll of the process with rank `own` after its last read at `read`, unless others report further
    /// reads until then; `draw` is a random number from 0 to 1.
    pub fn next_poll(&self, read: Micros, own: u64, draw: f64) -> Micros {
        let jitter = Micros((MAX_JITTER.0 as f64 * draw.clamp(0.0, 1.0)) as u64);
        let needed = self.needed_from(own).unwrap_or_default();
        (read + POLL_INTERVAL).max(needed).min(read + IDLE_INTERVAL) + jitter
    }

    /// When too few pollers with a rank below `own` remain active; `None` if there are too few already.
    fn needed_from(&self, own: u64) -> Option<Micros> {
        let before = self.last_reads.iter().filter(|(rank, _)| **rank < own);
        let mut until: Vec<_> = before.map(|(_, at)| *at + POLLER_TIMEOUT).collect();
        until.sort_unstable_by(|a, b| b.cmp(a));
        until.get(ENOUGH_POLLERS - 1).copied()
    }
}
