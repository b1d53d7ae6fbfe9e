//! States of an exchange at its sidecar, as types.
//!
//! A caller that gets the outcome "not run" may send its request again. If that outcome were
//! reported for a request that the target has received, a vote could count twice or a haulier be
//! billed twice. Therefore a sidecar can only create a [`NotRun`] from an [`Exchange<Queued>`],
//! which is consumed when the request is dispatched to the target; [`Exchange<Dispatched>`] has no
//! such method.
//!
//! ```
//! let queued = exchange::Exchange::new();
//! queued.refuse(model::Code::NoTarget, None);
//! ```
//!
//! Refusing a dispatched exchange, or using an exchange after it was consumed, does not compile:
//!
//! ```compile_fail,E0599
//! let dispatched = exchange::Exchange::new().dispatch();
//! dispatched.refuse(model::Code::NoTarget, None);
//! ```
//!
//! ```compile_fail,E0382
//! let queued = exchange::Exchange::new();
//! let dispatched = queued.dispatch();
//! queued.refuse(model::Code::NoTarget, None);
//! ```

use model::{Code, Micros, Outcome};

/// The request waits in the queue; no target has received any part of it.
#[derive(Debug)]
pub struct Queued(());

/// The request was sent to the target, in part or completely.
#[derive(Debug)]
pub struct Dispatched(());

/// One attempt to serve a request, in state `S`.
#[derive(Debug)]
#[must_use = "an exchange ends in an answer or a refusal"]
pub struct Exchange<S> {
    _state: S,
}

/// This attempt was refused: the request did not reach a target and never will.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotRun {
    code: Code,
    retry: Option<Micros>,
}

/// This attempt failed after the request was dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failed {
    /// Reason for the failure.
    pub code: Code,
    /// Whether the target itself reported the failure.
    pub known: bool,
    /// Whether the target crashed while it ran the request.
    pub crashed: bool,
}

/// The target's answer is complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Done(());

impl Exchange<Queued> {
    /// Creates an exchange for a request that has just arrived.
    pub fn new() -> Self {
        Self { _state: Queued(()) }
    }

    /// Ends the exchange before any target has received the request.
    pub fn refuse(self, code: Code, retry: Option<Micros>) -> NotRun {
        NotRun { code, retry }
    }

    /// Marks the request as dispatched; must be called before the first byte goes to the target.
    pub fn dispatch(self) -> Exchange<Dispatched> {
        Exchange {
            _state: Dispatched(()),
        }
    }
}

impl Default for Exchange<Queued> {
    fn default() -> Self {
        Self::new()
    }
}

impl Exchange<Dispatched> {
    /// Ends the exchange with a complete answer.
    pub fn complete(self) -> Done {
        Done(())
    }

    /// Ends the exchange without a complete answer.
    pub fn fail(self, code: Code, known: bool, crashed: bool) -> Failed {
        Failed {
            code,
            known,
            crashed,
        }
    }
}

impl NotRun {
    /// A refusal that a sidecar reported for its own exchange.
    pub fn reported(code: Code, retry: Option<Micros>) -> Self {
        Self { code, retry }
    }

    /// Reason for the refusal.
    pub fn code(&self) -> Code {
        self.code
    }

    /// How long the caller should wait before it sends the request again.
    pub fn retry(&self) -> Option<Micros> {
        self.retry
    }
}

impl Failed {
    /// The outcome to report to the caller.
    pub fn outcome(&self) -> Outcome {
        match self.known {
            true => Outcome::Failed,
            false => Outcome::Unknown,
        }
    }
}
