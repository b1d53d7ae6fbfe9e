//! Replay of a trace through the decision code, in virtual time.
//!
//! The engines are simulated: a bounded cache with least-recently-used eviction, one prefill at a
//! time, a number of decode slots, and events that are delayed and partly lost. All random choices
//! come from one seed, so that each run gives the same figures.

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
