//! The programs for a platform that lists targets and keeps what must last in a store of its own.
//!
//! [`entry`] takes callers' requests and goes to the targets directly; [`sidecar`] stands beside an
//! engine, is the only one that orders its weights, and tells the entries what the engine holds and
//! has to do. Both follow the operator's rows ([`follow`]), hand them on to those whom the store
//! turns away ([`peer`]), and send one another updates ([`update`]).
//!
//! Each process runs on one thread. What it believes lies in a [`node::ClusterState`], borrowed for the
//! length of a decision and never across a wait.

mod agent;
pub mod cache;
pub mod entry;
pub mod follow;
pub mod kv_stores;
pub mod log;
pub mod meter;
pub mod node;
pub mod peer;
pub mod sidecar;
pub mod start;
pub mod target_list;
pub mod update;

pub use start::run;
