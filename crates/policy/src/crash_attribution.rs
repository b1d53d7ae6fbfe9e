//! Which answers broke off because their target ended.
//!
//! Load pattern: a connection breaks and nothing says why. The target may have crashed, a network
//! may have dropped the connection, a process in between may have been restarted. Only a crash says
//! something of the requests that ran there ([`crate::quarantine`]), and whoever holds the broken
//! connection learns of it before or after the break: from the target's sidecar within a fraction of
//! a second, from the platform's list within seconds.
//!
//! Both are kept for a while and matched, in whichever order they come. What was sent after the end
//! was known can't have caused it.
//!
//! Grounds: the list drops a target that fell silent some three seconds after its last heartbeat, and
//! is read within one more; five seconds cover that. A break and an end that meet by chance within
//! them cost one strike of several, and a good answer takes it back.

use std::collections::VecDeque;

use model::Micros;

use crate::quarantine::{Crash, Fingerprint};

/// How far a break and its target's end may lie apart.
const MATCH_WINDOW: Micros = Micros::from_secs(5);
/// Breaks and ends remembered; an engine's places times a few.
const CAPACITY: usize = 512;

/// A run whose answer broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenAnswer {
    /// What ran.
    pub print: Fingerprint,
    /// Where.
    pub crash: Crash,
    /// When it was sent.
    pub sent: Micros,
    /// When its answer broke off.
    pub at: Micros,
}

/// Breaks and ends that one process has seen of late.
#[derive(Debug, Default)]
pub struct CrashAttribution {
    breaks: VecDeque<BrokenAnswer>,
    ends: VecDeque<(Micros, Crash)>,
}

impl CrashAttribution {
    /// Notes a break; true if its target is known to have ended.
    pub fn answer_broken(&mut self, run: BrokenAnswer) -> bool {
        self.expire(run.at);
        let end = self.ends.iter().find(|(_, c)| *c == run.crash);
        match end {
            Some((at, _)) => run.sent < *at,
            None => {
                self.breaks.push_back(run);
                false
            }
        }
    }

    /// Notes a target's end; returns what had broken off there.
    pub fn target_ended(&mut self, now: Micros, crash: Crash) -> Vec<Fingerprint> {
        self.expire(now);
        if !self.ends.iter().any(|(_, c)| *c == crash) {
            self.ends.push_back((now, crash));
        }
        let there = self.breaks.iter().filter(|b| b.crash == crash);
        let prints = there.map(|b| b.print).collect();
        self.breaks.retain(|b| b.crash != crash);
        prints
    }

    fn expire(&mut self, now: Micros) {
        let old = |at: Micros| now.since(at) > MATCH_WINDOW;
        let full = |len: usize| len >= CAPACITY;
        while self.breaks.front().is_some_and(|b| old(b.at)) || full(self.breaks.len()) {
            self.breaks.pop_front();
        }
        while self.ends.front().is_some_and(|(at, _)| old(*at)) || full(self.ends.len()) {
            self.ends.pop_front();
        }
    }
}
