//! Whether an entry retries a failed request.
//!
//! Load pattern: part of the fleet fails or is full, so that many requests fail at once. If each is
//! retried, the rest of the fleet gets a multiple of its load when it has no spare capacity, and if
//! several layers retry, a multiple of a multiple. The failure spreads and persists after its cause
//! is gone.
//!
//! Only the entry retries. Each request earns a tenth of a retry, so that retries add at most
//! 10% to the load however many requests fail. A few retries are available from the start, for an
//! entry with little traffic. A request is retried only if that is safe: if it never ran, or if it
//! is idempotent.
//!
//! 10% covers the loss of one replica in ten, which is more than the failures of an ordinary day
//! need. There are three attempts, since a request that fails on three replicas will fail on a
//! fourth.

use model::{Attempt, Micros, Outcome};
use thiserror::Error;

/// Limits on retries.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Retries earned by each request; 0.1.
    pub share: f64,
    /// Most retries that can be saved up, which is also the initial number; 10.
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

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Index of the attempt, from 0.
    pub attempt: Attempt,
    /// Whether the request has run, as far as is known.
    pub outcome: Outcome,
    /// Whether the request may safely run twice.
    pub idempotent: bool,
    /// When the caller gives up.
    pub deadline: Micros,
    /// Least duration of another attempt.
    pub least: Micros,
}

/// Why a request isn't retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Denied {
    /// The request may have run and isn't idempotent.
    #[error("the request may have run and is not idempotent")]
    Unsafe,
    /// The request has reached its maximum number of attempts.
    #[error("the request has reached its maximum number of attempts")]
    Attempts,
    /// Another attempt would miss the deadline.
    #[error("another attempt would miss the deadline")]
    Deadline,
    /// The retry budget is spent.
    #[error("the retry budget is spent")]
    Budget,
}

/// An entry's budget of retries.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    config: Config,
    saved: f64,
}

impl Budget {
    /// Creates a budget with the initial number of retries.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            saved: config.saved,
        }
    }

    /// Applies new settings; the retries saved up stay as they are.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// Records a request's first attempt, which earns a share of a retry.
    pub fn record_first_attempt(&mut self) {
        self.saved = (self.saved + self.config.share).min(self.config.saved);
    }

    /// Spends one retry on another attempt, or returns why there is none.
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
