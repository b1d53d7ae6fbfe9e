//! How long an engine's weights have been out of date.
//!
//! Load pattern: new weights are announced every two or three seconds, and an engine whose sidecar is
//! unreachable keeps old ones. If their age were counted from the latest announcement, they would never be
//! older than those seconds, and the engine would continue to serve requests with weights that were replaced
//! long ago. The age is therefore counted from the announcement of the first version after the engine's own.
//!
//! A process that starts receives the current version without the time of its announcement, and assumes that
//! it was announced some time before.
//!
//! With an assumed age of 2.5 s, 2.3 s remain of the shortest time allowed for a change (6 s, of which a
//! fraction of 0.8 is used). That is less than the 3 s during which a newly started process isn't held to the
//! time allowed.

use std::collections::VecDeque;

use model::Micros;

/// Maximum number of versions kept; far more than are announced within the time allowed for a change.
const MAX_VERSIONS: usize = 64;
/// Assumed age of a version that a process receives at its start.
const ASSUMED_AGE: Micros = Micros::from_millis(2_500);

/// Fraction of the time allowed for a change after which no request is sent to outdated weights.
const SEND_LIMIT: f64 = 0.8;
/// Fraction of the time allowed for a change within which a request sent to outdated weights has to start,
/// even if it waits twice as long as expected.
const START_LIMIT: f64 = 0.95;

/// Whether a request may be sent to weights that have been out of date for `outdated`, given the expected
/// `wait` before the request starts.
pub fn may_begin(allowed: Micros, outdated: Micros, wait: Micros) -> bool {
    let fraction = |p: f64| Micros((allowed.0 as f64 * p) as u64);
    outdated <= fraction(SEND_LIMIT) && outdated + wait + wait <= fraction(START_LIMIT)
}

/// Announced versions of a model's weights, the newest last. Each has the age that was assumed when it was
/// received, if any, and the time of its receipt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versions(VecDeque<(u64, Option<Micros>, Micros)>);

impl Versions {
    /// Records a received version; returns whether it is newer than all others. At the start of a process
    /// (`start`) the version may have been announced earlier.
    pub fn record(&mut self, now: Micros, version: u64, start: bool) -> bool {
        if version <= self.newest() {
            return false;
        }
        let assumed_age = start.then_some(ASSUMED_AGE);
        self.0.push_back((version, assumed_age, now));
        if self.0.len() > MAX_VERSIONS {
            self.0.pop_front();
        }
        true
    }

    /// Newest version; 0 if none was announced.
    pub fn newest(&self) -> u64 {
        self.0.back().map_or(0, |(v, _, _)| *v)
    }

    /// When the newest version was received.
    pub fn received_at(&self) -> Micros {
        self.0.back().map_or(Micros::ZERO, |(_, _, at)| *at)
    }

    /// How long a version has been out of date; `None` if it is current.
    pub fn outdated(&self, now: Micros, version: u64) -> Option<Micros> {
        let (_, assumed_age, at) = self.0.iter().find(|(v, _, _)| *v > version)?;
        Some(now.since(*at) + assumed_age.unwrap_or_default())
    }
}
