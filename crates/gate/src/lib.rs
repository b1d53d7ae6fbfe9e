//! The processes for a platform that lists targets and provides a store for persistent state.
//!
//! [`entry`] accepts callers' requests and sends them to the targets directly. [`sidecar`] runs on
//! an engine's host, orders the engine to load weights, and reports the engine's cache and load to
//! the entries. Both follow the operator's rows in the store ([`follow`]), pass them on to
//! processes that can't reach the store ([`peer`]), and send one another updates ([`update`]).
//!
//! Each process runs on one thread. Its view of the system is a [`node::ClusterState`], which is
//! borrowed for the duration of a decision and never across an await point.

mod agent;
pub mod cache;
pub mod domains;
pub mod entry;
pub mod follow;
pub mod kv_stores;
mod listener;
pub mod log;
pub mod meter;
pub mod node;
pub mod peer;
pub mod room;
pub mod sidecar;
pub mod speed;
mod stall;
pub mod start;
mod stream_origins;
pub mod table_checks;
pub mod target_list;
pub mod update;

pub use start::run;
