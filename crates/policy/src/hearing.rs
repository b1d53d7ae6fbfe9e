//! Which engines an entry hears of, and whom a sidecar tells.
//!
//! Load pattern: hundreds of entries before hundreds of engines. If each sidecar tells each entry of
//! each change of its load, an entry takes in tens of thousands of datagrams a second and does little
//! else, though its requests of a second fit on a few engines.
//!
//! An entry asks the sidecars that it wants to hear, again and again; a sidecar tells those who have
//! asked lately, and nobody has to be crossed out. Up to some number an entry hears all engines.
//! Beyond it, it hears as many: those of its own failure domain first, then others in an order of its
//! own, so that the entries of a domain don't all hear the same ones. What it doesn't hear it doesn't
//! use.
//!
//! Grounds: 96 engines at 5 to 20 words a second are what the users' entries were measured with, some
//! 0.02 cores; a subject's opening is then on an engine that the entry hears as long as a failure domain
//! has no more than that. A word each 2 s and a lease of 6 s bear the loss of two words in a row.

use std::collections::HashMap;
use std::net::SocketAddr;

use model::Micros;

/// Engines that an entry hears at most.
pub const MOST: usize = 96;
/// Pause between two words that ask a sidecar.
pub const ASK: Micros = Micros::from_secs(2);
/// Pause between two words to a sidecar that hasn't been told which life its engine is.
const UNTOLD: Micros = Micros::from_millis(200);
/// How long after an entry's start it asks that often; sidecars that are gone for good stay on the list
/// of members, and would be asked so for ever.
const NEW: Micros = Micros::from_secs(4);
/// How long a sidecar goes on telling one who has asked.
const LEASE: Micros = Micros::from_secs(6);

/// How long an entry that has been running for a time waits until it asks again.
///
/// A sidecar orders nothing before an entry has told it which life its engine is, and an entry knows that
/// of no sidecar that it hasn't heard. After a start of all processes the second word would come only 2 s
/// after the first: until then no engine took the weights that had been named, and three engines' callers
/// were refused for the age of all weights.
pub fn pause(running: Micros, all_told: bool) -> Micros {
    match all_told || running > NEW {
        true => ASK,
        false => UNTOLD,
    }
}

/// A sidecar that may be heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sidecar {
    /// Where it is asked.
    pub addr: SocketAddr,
    /// Whether it is in the entry's failure domain.
    pub near: bool,
    /// Its rank in the entry's own order.
    pub rank: u64,
}

/// The sidecars that an entry wants to hear.
pub fn wanted(sidecars: impl IntoIterator<Item = Sidecar>) -> Vec<SocketAddr> {
    let mut all: Vec<_> = sidecars.into_iter().collect();
    if all.len() > MOST {
        all.sort_by_key(|s| (!s.near, s.rank));
        all.truncate(MOST);
    }
    all.into_iter().map(|s| s.addr).collect()
}

/// Those whom a sidecar tells.
#[derive(Debug, Default)]
pub struct Hearers(HashMap<SocketAddr, Micros>);

impl Hearers {
    /// Notes one who asks; true if it wasn't told before and lacks what was told.
    pub fn ask(&mut self, now: Micros, entry: SocketAddr) -> bool {
        self.0.retain(|_, until| *until > now);
        self.0.insert(entry, now + LEASE).is_none()
    }

    /// Those who have asked lately.
    pub fn told(&self, now: Micros) -> impl Iterator<Item = SocketAddr> + '_ {
        let asked = self.0.iter().filter(move |(_, until)| **until > now);
        asked.map(|(addr, _)| *addr)
    }
}
