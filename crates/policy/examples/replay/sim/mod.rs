//! Replay of a trace through the decision code, in virtual time.
//!
//! The engines are small fakes: a bounded cache with least-recently-used eviction, one prefill at a
//! time, a number of decode slots, and events that come late and with losses. Everything is drawn
//! from one seed, so that a run gives the same figures each time.

pub(crate) mod engine;
pub(crate) mod entry;
pub(crate) mod report;
pub(crate) mod run;
pub(crate) mod setup;
pub(crate) mod sidecar;
pub(crate) mod trace;

pub(crate) use run::run;
pub(crate) use setup::{Fault, Order, Policy, Setup};
pub(crate) use trace::{generate, parse, Request, Workload};
