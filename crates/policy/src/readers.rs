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
//! Grounds: two, so that the loss of one leaves no gap; a silence of 1.2 s covers a read and a pause
//! at its longest, and leaves time for one more read within the two seconds in which a target that
//! leaves may still be used.

use std::collections::HashMap;

use model::Micros;

/// Readers that are enough.
const ENOUGH: usize = 2;
/// Silence after which a reader counts no more.
const SILENCE: Micros = Micros::from_millis(1_200);

/// The readers that one process hears.
#[derive(Debug, Default)]
pub struct Readers {
    heard: HashMap<u64, Micros>,
}

impl Readers {
    /// Notes that another process has read.
    pub fn hear(&mut self, now: Micros, rank: u64) {
        self.heard.insert(rank, now);
        self.heard.retain(|_, at| now.since(*at) < SILENCE);
    }

    /// Whether a process of a rank has to read itself.
    pub fn reads(&self, now: Micros, own: u64) -> bool {
        let before = self.heard.iter();
        let before = before.filter(|(rank, at)| **rank < own && now.since(**at) < SILENCE);
        before.count() < ENOUGH
    }
}
