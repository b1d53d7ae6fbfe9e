//! Fingerprints of requests under suspicion, as the fleet passes them on.
//!
//! The fleet spreads one kind of mark, a number of 128 bits: the fingerprint, above it a bit for
//! those under which two targets died, and above that which crash it was. Two processes that saw
//! one crash each then know of two when they hear of one another, and one crash that is told twice
//! stays one.

use std::time::Duration;

use model::{Incarnation, MemberId};
use policy::quarantine::{self, Crash, Fingerprint, Quarantine, Verdict};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const CONVICTED: u128 = 1 << 64;
/// Bits below the crash.
const BELOW: u32 = 65;

/// What the fleet is told of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// Its fingerprint.
    pub print: u64,
    /// Whether two targets died under it.
    pub convicted: bool,
    /// Which crash it was; 0 if that isn't known.
    pub crash: u64,
}

impl Mark {
    /// As a number.
    pub fn encode(self) -> u128 {
        let convicted = if self.convicted { CONVICTED } else { 0 };
        u128::from(self.print) | convicted | (u128::from(self.crash) << BELOW)
    }

    /// From a number.
    pub fn decode(mark: u128) -> Self {
        Self {
            print: mark as u64,
            convicted: mark & CONVICTED != 0,
            crash: (mark >> BELOW) as u64,
        }
    }
}

/// The name of a crash, of 63 bits and never 0.
pub fn crash(member: MemberId, life: Incarnation) -> u64 {
    (xxh3_64_with_seed(&life.0.to_le_bytes(), member.0) >> 1).max(1)
}

/// The fingerprint as quarantine knows it; it holds the weights already.
pub fn print(fingerprint: u64) -> Fingerprint {
    Fingerprint {
        body: u128::from(fingerprint),
        weights: 0,
    }
}

/// Counts a crash. One that isn't known by name may be one that was counted, so that it counts
/// only if no other does; nor is it told to others, who would count it beside its name.
pub fn strike(q: &mut Quarantine, now: model::Micros, print: Fingerprint, crash: u64) -> Verdict {
    let before = q.verdict(now, print);
    match crash {
        0 if before != Verdict::Clear => before,
        _ => q.strike(now, print, named(crash)),
    }
}

/// Names of the crashes that are held against a request; one that has no name isn't among them.
pub fn crashes(q: &Quarantine, now: model::Micros, print: Fingerprint) -> Vec<u64> {
    let held = q.crashes(now, print).map(|(crashes, _)| crashes);
    let names = held.unwrap_or_default().iter().map(|c| c.member.0);
    names.filter(|n| *n != 0).collect()
}

/// Takes over what another process found.
pub fn told(q: &mut Quarantine, now: model::Micros, mark: Mark, until: model::Micros) -> Verdict {
    let p = print(mark.print);
    match mark.convicted {
        true => {
            q.convict(now, p, [named(mark.crash); 2], until);
            Verdict::Convicted
        }
        false => strike(q, now, p, mark.crash),
    }
}

/// How often the fleet is told of a crash. A rumour misses a member about once in fifty times,
/// three of them once in a hundred thousand.
pub const ROUNDS: u32 = 3;
/// Time for a rumour to reach the fleet: members pass it on to two others every 200 ms.
pub const ROUND: Duration = Duration::from_millis(500);

/// How long a crash counts.
pub fn lasts() -> model::Micros {
    quarantine::Config::default().lasts
}

fn named(crash: u64) -> Crash {
    Crash {
        member: MemberId(crash),
        incarnation: Incarnation(0),
    }
}
