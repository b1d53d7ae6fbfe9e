//! The life of an exchange at its sidecar, as types.
//!
//! A caller that hears "not run" sends its request again. If that answer were ever given for a
//! request which the target has seen, a vote would count twice or a haulier be billed twice.
//! Therefore the only way to a [`NotRun`] is from [`Exchange<Queued>`], which is used up when the
//! request is handed to the target; [`Exchange<Dispatched>`] has no such method.
//!
//! ```
//! let queued = exchange::Exchange::new();
//! queued.refuse(model::Code::NoTarget, None);
//! ```
//!
//! The same after the request was handed over, or once more with what was used up, is no program:
//!
//! ```compile_fail,E0599
//! let handed = exchange::Exchange::new().dispatch();
//! handed.refuse(model::Code::NoTarget, None);
//! ```
//!
//! ```compile_fail,E0382
//! let queued = exchange::Exchange::new();
//! let handed = queued.dispatch();
//! queued.refuse(model::Code::NoTarget, None);
//! ```

use model::{Code, Micros, Outcome};

/// Waits for its turn; no target has seen it.
#[derive(Debug)]
pub struct Queued(());

/// Was handed to the target, in part or in whole.
#[derive(Debug)]
pub struct Dispatched(());

/// One attempt at one request.
#[derive(Debug)]
#[must_use = "an exchange ends in an answer or a refusal"]
pub struct Exchange<S> {
    _state: S,
}

/// The request never reached a target and never will by this attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotRun {
    code: Code,
    retry: Option<Micros>,
}

/// The request was handed over and couldn't be completed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failed {
    /// Why.
    pub code: Code,
    /// Whether the target itself said that it failed.
    pub known: bool,
    /// Whether the target died under it.
    pub crashed: bool,
}

/// The target's answer is whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Done(());

impl Exchange<Queued> {
    /// A request that has just arrived.
    pub fn new() -> Self {
        Self { _state: Queued(()) }
    }

    /// Ends it before any target saw it.
    pub fn refuse(self, code: Code, retry: Option<Micros>) -> NotRun {
        NotRun { code, retry }
    }

    /// To be called before the first byte goes to the target.
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
    /// The target's answer is whole.
    pub fn complete(self) -> Done {
        Done(())
    }

    /// The target's answer never became whole.
    pub fn fail(self, code: Code, known: bool, crashed: bool) -> Failed {
        Failed {
            code,
            known,
            crashed,
        }
    }
}

impl NotRun {
    /// What a sidecar said of its own exchange.
    pub fn reported(code: Code, retry: Option<Micros>) -> Self {
        Self { code, retry }
    }

    /// Why.
    pub fn code(&self) -> Code {
        self.code
    }

    /// When it is worth coming back.
    pub fn retry(&self) -> Option<Micros> {
        self.retry
    }
}

impl Failed {
    /// What a caller may conclude.
    pub fn outcome(&self) -> Outcome {
        match self.known {
            true => Outcome::Failed,
            false => Outcome::Unknown,
        }
    }
}
