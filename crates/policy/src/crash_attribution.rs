//! Attributing broken answers to the crash of their target.
//!
//! Load pattern: a connection breaks without a reason. The target may have crashed, the network may have
//! dropped the connection, or a process in between may have been restarted. Only a crash says anything about
//! the requests that ran on the target ([`crate::quarantine`]). The process with the broken connection learns
//! of the target's end before or after the break: from the target's sidecar within a fraction of a second,
//! from the platform's list within seconds.
//!
//! Breaks and ends are therefore both kept for a while and matched in whichever order they come. A request
//! that was sent after the end was known can't have caused it.
//!
//! The platform's list drops a silent target some three seconds after its last heartbeat, and is read within
//! one more second; five seconds cover both. A break and an end that fall into these five seconds by chance
//! cost one strike of several, and a successful answer removes it.

use std::collections::VecDeque;

use model::Micros;

use crate::quarantine::{Crash, Fingerprint};

/// Longest time between a broken answer and the end of its target for them to match.
const MATCH_WINDOW: Micros = Micros::from_secs(5);
/// Most broken answers, and most ends, remembered; a few times the requests that an engine runs at once.
const CAPACITY: usize = 512;

/// A request whose answer broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenAnswer {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The target and its incarnation.
    pub crash: Crash,
    /// When the request was sent.
    pub sent: Micros,
    /// When the answer broke off.
    pub at: Micros,
}

/// Recent broken answers and ends of targets, as seen by one process.
#[derive(Debug, Default)]
pub struct CrashAttribution {
    breaks: VecDeque<BrokenAnswer>,
    ends: VecDeque<(Micros, Crash)>,
}

impl CrashAttribution {
    /// Records a broken answer; true if its target is known to have ended after the request was sent.
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

    /// Records the end of a target; returns the requests whose answers had broken off there.
    pub fn target_ended(&mut self, now: Micros, crash: Crash) -> Vec<Fingerprint> {
        self.expire(now);
        if !self.ends.iter().any(|(_, c)| *c == crash) {
            self.ends.push_back((now, crash));
        }
        let there = self.breaks.iter().filter(|b| b.crash == crash);
        let fingerprints = there.map(|b| b.fingerprint).collect();
        self.breaks.retain(|b| b.crash != crash);
        fingerprints
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
