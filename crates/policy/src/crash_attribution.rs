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
//! An answer without a length or chunks ends with its connection, whether it is complete or its target has
//! crashed. Such an answer counts as complete if a connection opened before its end stays open, or its
//! target hasn't ended for as long. If the target has ended, only the last answers from it can have been broken by that.
//!
//! The platform's list drops a silent target some three seconds after its last heartbeat, and is read within
//! one more second; five seconds cover both. A break and an end that fall into these five seconds by chance
//! cost one strike of several, and a successful answer removes it.

use std::collections::VecDeque;

use model::Micros;

use crate::quarantine::Crash;

/// Longest time between a broken answer and the end of its target for them to match.
const MATCH_WINDOW: Micros = Micros::from_secs(5);
/// Time within which the answers that a crash breaks end.
const SAME_CRASH: Micros = Micros::from_millis(50);
/// Most broken answers, and most ends, remembered; a few times the requests that an engine runs at once.
const CAPACITY: usize = 512;

/// A request whose answer broke off. `R` describes the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenAnswer<R> {
    /// The request.
    pub request: R,
    /// The target and its incarnation.
    pub crash: Crash,
    /// When the request was sent.
    pub sent: Micros,
    /// When the answer broke off.
    pub at: Micros,
}

/// Recent broken answers and ends of targets, as seen by one process.
#[derive(Debug)]
pub struct CrashAttribution<R> {
    breaks: VecDeque<BrokenAnswer<R>>,
    /// Answers that ended with their connections.
    closed: VecDeque<BrokenAnswer<R>>,
    ends: VecDeque<(Micros, Crash)>,
}

impl<R> Default for CrashAttribution<R> {
    fn default() -> Self {
        Self {
            breaks: VecDeque::new(),
            closed: VecDeque::new(),
            ends: VecDeque::new(),
        }
    }
}

impl<R: Clone> CrashAttribution<R> {
    /// Records a broken answer; true if its target is known to have ended after the request was sent.
    pub fn answer_broken(&mut self, run: BrokenAnswer<R>) -> bool {
        self.expire(run.at);
        match self.end_of(run.crash) {
            Some(at) => run.sent < at,
            None => {
                self.breaks.push_back(run);
                false
            }
        }
    }

    /// Records an answer that ended with its connection, and so may be broken; true if its target is known
    /// to have ended after the request was sent.
    pub fn answer_closed(&mut self, run: BrokenAnswer<R>) -> bool {
        self.expire(run.at);
        if self.closed.len() >= CAPACITY {
            self.closed.pop_front();
        }
        match self.end_of(run.crash) {
            Some(at) => run.sent < at,
            None => {
                self.closed.push_back(run);
                false
            }
        }
    }

    /// Records whether a target outlived an answer that had ended with its connection at `at`, or can't
    /// be reached any more. Returns the request if the answer was complete; otherwise it counts as broken.
    pub fn target_checked(&mut self, target: Crash, at: Micros, reached: bool) -> Vec<R> {
        let is_checked = |c: &BrokenAnswer<R>| c.crash == target && c.at == at;
        let checked = self.closed.iter().filter(|c| is_checked(c));
        let checked: Vec<_> = checked.cloned().collect();
        self.closed.retain(|c| !is_checked(c));
        if reached {
            return checked.into_iter().map(|c| c.request).collect();
        }
        self.breaks.extend(checked);
        Vec::new()
    }

    /// Requests whose answers ended with their connections and whose targets haven't ended since, so that
    /// the answers were complete.
    pub fn take_survived(&mut self, now: Micros) -> Vec<R> {
        let mut survived = Vec::new();
        while self
            .closed
            .front()
            .is_some_and(|c| now.since(c.at) > MATCH_WINDOW)
        {
            survived.extend(self.closed.pop_front().map(|c| c.request));
        }
        survived
    }

    /// Records the end of a target; returns the requests whose answers had broken off there.
    pub fn target_ended(&mut self, now: Micros, crash: Crash) -> Vec<R> {
        self.expire(now);
        if !self.ends.iter().any(|(_, c)| *c == crash) {
            self.ends.push_back((now, crash));
        }
        let breaks = self.breaks.iter().filter(|b| b.crash == crash);
        let closed = self.closed.iter().filter(|b| b.crash == crash);
        let last = breaks.clone().chain(closed.clone()).map(|b| b.at).max();
        let is_last = |b: &&BrokenAnswer<R>| last.is_some_and(|last| b.at + SAME_CRASH >= last);
        let broken = breaks.chain(closed.filter(is_last));
        let broken = broken.map(|b| b.request.clone()).collect();
        self.breaks.retain(|b| b.crash != crash);
        self.closed.retain(|b| b.crash != crash);
        broken
    }

    /// When a target is known to have ended.
    fn end_of(&self, crash: Crash) -> Option<Micros> {
        let end = self.ends.iter().find(|(_, c)| *c == crash);
        end.map(|(at, _)| *at)
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
