//! How long an engine's weights have been out of date.
//!
//! Load pattern: new weights are named every two or three seconds, and an engine whose sidecar is
//! cut off stays with old ones. Counted from the newest naming, its weights are never older than that,
//! and it goes on serving requests with weights that were replaced long ago. What counts is when the
//! first version after its own was named.
//!
//! A process that starts hears of a version without knowing when it was named, and counts it as named
//! some time ago.
//!
//! Grounds: a head start of 2.5 s leaves, of the least time that is allowed for a change (6 s, of which
//! 0.8 are used), less than the 3 s for which a process that has just started isn't held to it.

use std::collections::VecDeque;

use model::Micros;

/// Versions remembered; far more than are named within the time allowed for a change.
const KEPT: usize = 64;
/// Age of what a process hears of at its start.
const HEAD_START: Micros = Micros::from_millis(2_500);

/// Part of the time allowed for a change after which no request is sent to older weights.
const SENT: f64 = 0.8;
/// Part of it before which a request that is sent to older weights begins, by twice the wait that is
/// expected for it.
const BEGUN: f64 = 0.95;

/// Whether a request may be sent to weights that have been out of date for a time, if some wait is expected
/// there before it begins.
pub fn may_begin(allowed: Micros, outdated: Micros, wait: Micros) -> bool {
    let part = |p: f64| Micros((allowed.0 as f64 * p) as u64);
    outdated <= part(SENT) && outdated + wait + wait <= part(BEGUN)
}

/// The versions of a model's weights that were named, the newest last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versions(VecDeque<(u64, Option<Micros>, Micros)>);

impl Versions {
    /// Notes a version that was just heard of; tells whether it is news. At the start of a process
    /// it may have been named before.
    pub fn record(&mut self, now: Micros, version: u64, start: bool) -> bool {
        if version <= self.newest() {
            return false;
        }
        let before = start.then_some(HEAD_START);
        self.0.push_back((version, before, now));
        if self.0.len() > KEPT {
            self.0.pop_front();
        }
        true
    }

    /// The newest version; 0 if none was named.
    pub fn newest(&self) -> u64 {
        self.0.back().map_or(0, |(v, _, _)| *v)
    }

    /// When the newest version was heard of.
    pub fn received_at(&self) -> Micros {
        self.0.back().map_or(Micros::ZERO, |(_, _, at)| *at)
    }

    /// For how long a version has been out of date; nothing if it isn't.
    pub fn outdated(&self, now: Micros, version: u64) -> Option<Micros> {
        let (_, before, at) = self.0.iter().find(|(v, _, _)| *v > version)?;
        Some(now.since(*at) + before.unwrap_or_default())
    }
}
