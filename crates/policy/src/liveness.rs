//! Whether a target is alive, from its health checks and the bytes of its answers.
//!
//! Load pattern: a target under full load, or on a host without spare processor time, answers its checks late
//! or not at all while it works on everything that it has accepted. If it is taken for dead, all the answers
//! that it computes are lost.
//!
//! A refused connection means that no process listens: the target has exited. A late check doesn't mean that,
//! and neither does a target whose answers still arrive. Only a target that for seconds neither answers
//! checks nor sends bytes counts as hung; requests that may be repeated then move to another target.

use model::Micros;

/// Thresholds of the states.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Number of late or refused checks in a row after which the state changes; 2.
    pub misses: u32,
    /// How long an answered check or a received byte outweighs late checks; 1 s.
    pub fresh: Micros,
    /// Time without an answered check or a byte after which repeatable requests move to another target; 4 s, the
    /// longest allowed pause of a stream.
    pub hung: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            misses: 2,
            fresh: Micros::from_secs(1),
            hung: Micros::from_secs(4),
        }
    }
}

/// Result of a health check, which may still be pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// The target answered the check.
    Answered,
    /// No answer yet, or an unreadable one.
    Late,
    /// The connection was refused: no process listens at the address.
    Refused,
}

/// State of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// The target answers its checks, or bytes of its answers arrive.
    #[default]
    Alive,
    /// Neither happens at the moment: the target gets no new requests, and its running ones continue.
    Unresponsive,
    /// Neither has happened for so long that its repeatable requests count as lost.
    Hung,
    /// The process has exited, and its answers are lost.
    Exited,
}

/// Health checks of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Liveness {
    config: Config,
    /// Number of checks in a row that weren't answered.
    missed: u32,
    /// Number of checks in a row, up to the latest, that were refused.
    refused: u32,
    /// Time of the last answered check or received byte; before either, the time of the first check.
    last_activity: Option<Micros>,
}

impl Liveness {
    /// Records the result of a check.
    pub fn checked(&mut self, now: Micros, check: Check) {
        let count = |n: u32, counts: bool| if counts { n.saturating_add(1) } else { 0 };
        self.missed = count(self.missed, check != Check::Answered);
        self.refused = count(self.refused, check == Check::Refused);
        if check == Check::Answered || self.last_activity.is_none() {
            self.last_activity = Some(now);
        }
    }

    /// Records that bytes of an answer arrived at a time.
    pub fn received(&mut self, at: Micros) {
        self.last_activity = self.last_activity.max(Some(at));
    }

    /// The target's state.
    pub fn state(&self, now: Micros) -> State {
        let Config {
            misses,
            fresh,
            hung,
        } = self.config;
        let silent = self.last_activity.map_or(Micros::ZERO, |at| now.since(at));
        match self.missed >= misses {
            _ if self.refused >= misses => State::Exited,
            true if silent >= hung => State::Hung,
            true if silent >= fresh => State::Unresponsive,
            _ => State::Alive,
        }
    }
}
