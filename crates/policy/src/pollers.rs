//! Who of many processes reads a list for all of them.
//!
//! Load pattern: each of many entries reads the same list from the platform's store a few times a
//! second. The calls grow with the entries, the list changes a few times a minute, and the store
//! counts every call. If one process is chosen to read, its loss leaves the others without news.
//!
//! Nobody is chosen here. Whoever reads tells the others in one datagram what it found, as a hash. An
//! entry that hears enough others with a lower rank just now reads seldom itself; one that hears too
//! few reads. So all read at the start, a few after the first round, and the next in rank as soon as
//! one of them falls silent.
//!
//! Grounds: a target that leaves must get nothing new two seconds later. A reader's pause and read are
//! one second of it at most. If the readers end just after a read, the next in rank reads once they have
//! been silent for 1.2 s, which covers a pause and a slow read, and up to 0.2 s later, so that hundreds
//! of entries don't all do so at one moment: 1.4 s and a read. Looked at in steps of a pause instead, the
//! silence came to 2 s and a read.

use std::collections::HashMap;

use model::Micros;

/// Shortest pause between two reads.
const PAUSE: Micros = Micros::from_millis(600);
/// Pause of a process for which others read. It reads all the same now and then, for what the others'
/// words don't tell.
const SELDOM: Micros = Micros::from_millis(4_000);
/// Over how long processes spread that would read at one moment.
const SPREAD: Micros = Micros::from_millis(200);
/// Pollers that are enough.
const ENOUGH: usize = 2;
/// Silence after which a reader counts no more.
const SILENCE: Micros = Micros::from_millis(1_200);

/// The readers that one process hears.
#[derive(Debug, Default)]
pub struct Pollers {
    heard: HashMap<u64, Micros>,
}

impl Pollers {
    /// Notes that another process has read.
    pub fn record(&mut self, now: Micros, rank: u64) {
        self.heard.insert(rank, now);
        self.heard.retain(|_, at| now.since(*at) < SILENCE);
    }

    /// Whether a process of a rank has to read itself.
    pub fn should_poll(&self, now: Micros, own: u64) -> bool {
        self.silent(own).is_none_or(|at| at <= now)
    }

    /// When a process of a rank reads next unless it hears more, if it has read at some time; `draw` is
    /// a random number from 0 to 1.
    pub fn next_poll(&self, read: Micros, own: u64, draw: f64) -> Micros {
        let spread = Micros((SPREAD.0 as f64 * draw.clamp(0.0, 1.0)) as u64);
        let silent = self.silent(own).unwrap_or_default();
        (read + PAUSE).max(silent).min(read + SELDOM) + spread
    }

    /// When too few of the readers before a rank are heard, if there have been enough.
    fn silent(&self, own: u64) -> Option<Micros> {
        let before = self.heard.iter().filter(|(rank, _)| **rank < own);
        let mut until: Vec<_> = before.map(|(_, at)| *at + SILENCE).collect();
        until.sort_unstable_by(|a, b| b.cmp(a));
        until.get(ENOUGH - 1).copied()
    }
}
