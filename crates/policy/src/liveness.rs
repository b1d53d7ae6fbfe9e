//! Whether a target is alive, from its health checks and from the bytes of its answers.
//!
//! Load pattern: a target under full load, or a host without processor time to spare, answers its checks
//! late or not at all while it works at all that it has accepted. Taken for dead, it loses every answer
//! that it computes.
//!
//! A refused connection says that nothing listens: the process has exited. A check that is late says
//! nothing of the kind, and neither does a byte that arrives. Only a target that does neither for seconds
//! counts as hung; what may be repeated then moves to another one.

use model::Micros;

/// When a target counts as what.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Checks in a row that are late or refused; 2.
    pub misses: u32,
    /// How long a sign of life outweighs late checks; 1 s.
    pub fresh: Micros,
    /// How long a target without a sign of life keeps what may be repeated; 4 s, as long as a stream may
    /// pause.
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

/// Outcome of a health check, or that it is still awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// The target answered.
    Answered,
    /// No answer yet, or an unreadable one.
    Late,
    /// Nothing listens at its address.
    Refused,
}

/// State of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// It answers its checks, or its answers arrive.
    #[default]
    Alive,
    /// It does neither at the moment: it gets nothing new, and what it has continues.
    Unresponsive,
    /// It has done neither for so long that what may be repeated is lost.
    Hung,
    /// Its process has exited, and its answers with it.
    Exited,
}

/// Checks of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Liveness {
    config: Config,
    /// Checks in a row that weren't answered.
    missed: u32,
    /// Those of them, the latest in a row, that were refused.
    refused: u32,
    /// When the last sign of life came, or the first check was made.
    sign: Option<Micros>,
}

impl Liveness {
    /// Notes a check.
    pub fn checked(&mut self, now: Micros, check: Check) {
        let count = |n: u32, counts: bool| if counts { n.saturating_add(1) } else { 0 };
        self.missed = count(self.missed, check != Check::Answered);
        self.refused = count(self.refused, check == Check::Refused);
        if check == Check::Answered || self.sign.is_none() {
            self.sign = Some(now);
        }
    }

    /// Notes when a byte of an answer came.
    pub fn received(&mut self, at: Micros) {
        self.sign = self.sign.max(Some(at));
    }

    /// The target's state.
    pub fn state(&self, now: Micros) -> State {
        let Config {
            misses,
            fresh,
            hung,
        } = self.config;
        let silent = self.sign.map_or(Micros::ZERO, |at| now.since(at));
        match self.missed >= misses {
            _ if self.refused >= misses => State::Exited,
            true if silent >= hung => State::Hung,
            true if silent >= fresh => State::Unresponsive,
            _ => State::Alive,
        }
    }
}
