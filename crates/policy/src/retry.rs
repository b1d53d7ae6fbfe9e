//! Whether an entry sends a failed request again.
//!
//! Load pattern: part of the fleet fails or is full, so that many requests fail at once. If each is
//! sent again, the rest of the fleet gets a multiple of its load just when it has none to spare,
//! and if several layers do so, a multiple of a multiple. The failure spreads and stays after its
//! cause is gone.
//!
//! Only the entry retries. Each request earns a tenth of a retry, so that retries add at most
//! 10% to the load however much fails; a few are always there, for an entry with little traffic.
//! A request is sent again only if that can't do harm: if it never ran, or if it is idempotent.
//!
//! Grounds: 10% is the loss of one replica in ten, above what an ordinary day's failures need;
//! three attempts, since what fails on three replicas will fail on a fourth.

use model::{Attempt, Micros, Outcome};
use thiserror::Error;

/// How retries are bounded.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Retries earned by each request; 0.1.
    pub share: f64,
    /// Most retries saved up, and those there at the start; 10.
    pub saved: f64,
    /// Most attempts for one request; 3.
    pub attempts: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            share: 0.1,
            saved: 10.0,
            attempts: 3,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Which attempt, from 0.
    pub attempt: Attempt,
    /// What is known of its effect.
    pub outcome: Outcome,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// When the caller gives up.
    pub deadline: Micros,
    /// The least time that another attempt takes.
    pub least: Micros,
}

/// Why a request isn't sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Denied {
    /// It may have run and must not run twice.
    #[error("it may have run and must not run twice")]
    Unsafe,
    /// It has been tried often enough.
    #[error("it has been tried often enough")]
    Attempts,
    /// It could not be answered in time.
    #[error("it could not be answered in time")]
    Deadline,
    /// Too many others are sent again already.
    #[error("too many others are sent again already")]
    Budget,
}

/// An entry's budget of retries.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    config: Config,
    saved: f64,
}

impl Budget {
    /// A budget with some retries in it.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            saved: config.saved,
        }
    }

    /// Follows other settings from now on.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// Notes a request's first attempt.
    pub fn record_first_attempt(&mut self) {
        self.saved = (self.saved + self.config.share).min(self.config.saved);
    }

    /// Allows one more attempt, or says why not.
    pub fn allow_retry(&mut self, now: Micros, failure: &Failure) -> Result<(), Denied> {
        match failure {
            f if f.outcome != Outcome::NotRun && !f.idempotent => Err(Denied::Unsafe),
            f if f.attempt.0 + 1 >= self.config.attempts => Err(Denied::Attempts),
            f if now + f.least > f.deadline => Err(Denied::Deadline),
            _ if self.saved < 1.0 => Err(Denied::Budget),
            _ => {
                self.saved -= 1.0;
                Ok(())
            }
        }
    }
}
