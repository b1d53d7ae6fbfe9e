//! Crashes of targets as they are reported through the fleet.
//!
//! Gossip carries a report as a number of 128 bits. From the lowest bit: the fingerprint of the
//! request, a bit that is set if the request is convicted, and the id of the crash. With the id,
//! two processes that each recorded another crash together count two, and a crash that is reported
//! twice counts once.

use std::time::Duration;

use model::{Incarnation, MemberId};
use policy::quarantine::{self, Crash, Fingerprint, Quarantine, Verdict};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bit that is set in reports of convicted requests.
const CONVICTED: u128 = 1 << 64;
/// Position of the lowest bit of the crash id.
const CRASH_SHIFT: u32 = 65;

/// Report of a crash during a request, or of a conviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Whether the request is convicted: two targets crashed while it ran.
    pub convicted: bool,
    /// Id of the crash; 0 if unknown.
    pub crash: u64,
}

impl CrashReport {
    /// Encodes the report as a number.
    pub fn encode(self) -> u128 {
        let convicted = if self.convicted { CONVICTED } else { 0 };
        u128::from(self.fingerprint) | convicted | (u128::from(self.crash) << CRASH_SHIFT)
    }

    /// Decodes a report.
    pub fn decode(report: u128) -> Self {
        Self {
            fingerprint: report as u64,
            convicted: report & CONVICTED != 0,
            crash: (report >> CRASH_SHIFT) as u64,
        }
    }
}

/// Id of a crash: 63 bits, never 0.
pub fn crash_id(member: MemberId, incarnation: Incarnation) -> u64 {
    (xxh3_64_with_seed(&incarnation.0.to_le_bytes(), member.0) >> 1).max(1)
}

/// Fingerprint in the form that the quarantine uses. The hash covers the weights already.
pub fn fingerprint(hash: u64) -> Fingerprint {
    Fingerprint {
        body: u128::from(hash),
        weights: 0,
    }
}

/// Records a crash. A crash without an id may be one that is recorded already, so it counts only
/// if no other crash is recorded for the request. It is never reported to other processes, which
/// would count it beside the same crash with its id.
pub fn record_crash(
    q: &mut Quarantine,
    now: model::Micros,
    fingerprint: Fingerprint,
    crash: u64,
) -> Verdict {
    let before = q.verdict(now, fingerprint);
    match crash {
        0 if before != Verdict::Clear => before,
        _ => q.strike(now, fingerprint, crash_from_id(crash)),
    }
}

/// Ids of the crashes recorded for a request; crashes without an id are omitted.
pub fn crash_ids(q: &Quarantine, now: model::Micros, fingerprint: Fingerprint) -> Vec<u64> {
    let crashes = q.crashes(now, fingerprint).map(|(crashes, _)| crashes);
    let ids = crashes.unwrap_or_default().iter().map(|c| c.member.0);
    ids.filter(|n| *n != 0).collect()
}

/// Records the report of another process.
pub fn apply(
    q: &mut Quarantine,
    now: model::Micros,
    report: CrashReport,
    until: model::Micros,
) -> Verdict {
    let p = fingerprint(report.fingerprint);
    match report.convicted {
        true => {
            q.convict(now, p, [crash_from_id(report.crash); 2], until);
            Verdict::Convicted
        }
        false => record_crash(q, now, p, report.crash),
    }
}

/// How many times a crash is reported. One report misses a given member in about 2% of cases,
/// all three in about 0.001%.
pub const REPORTS: u32 = 3;
/// Time between two reports of a crash, in which a report reaches the fleet: each member passes it
/// on to two others every 200 ms.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// How long a crash counts against a request.
pub fn strike_duration() -> model::Micros {
    quarantine::Config::default().lasts
}

fn crash_from_id(id: u64) -> Crash {
    Crash {
        member: MemberId(id),
        incarnation: Incarnation(0),
    }
}
