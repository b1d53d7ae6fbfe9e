//! Targets as the platform lists them, and the reports that engines give of themselves.

use std::collections::HashMap;
use std::net::SocketAddr;

use model::Position;

/// One incarnation of a target.
///
/// A target that restarts keeps its id but is a new incarnation, which has none of the state of
/// the previous one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Boot {
    /// Id of the target.
    pub id: String,
    /// Start time in milliseconds of the target's own clock; 0 if unknown.
    pub born: u64,
}

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Accepts new requests.
    Ready,
    /// Shutting down; must not receive new requests.
    Draining,
}

/// One version of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Weights {
    /// Name of the model.
    pub model: String,
    /// Version of the weights; newer weights have a higher version.
    pub version: u64,
}

/// A target that the platform lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Id and incarnation of the target.
    pub boot: Boot,
    /// Pool that the target belongs to.
    pub pool: String,
    /// Address of the target.
    pub addr: SocketAddr,
    /// The target's failure domain.
    pub domain: String,
    /// Whether the target accepts new requests.
    pub state: State,
    /// Version of the target's software; empty if unknown.
    pub build: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Store position of the target's last heartbeat; a higher position is a later heartbeat.
    pub renewed: Position,
    /// Weights that the target had loaded at its last heartbeat.
    pub weights: Vec<Weights>,
}

/// State that an engine reports about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Id of the engine, if reported.
    pub id: Option<String>,
    /// Start time of the engine in milliseconds of its own clock, if reported.
    pub born: Option<u64>,
    /// Loaded weights.
    pub weights: Vec<Weights>,
    /// Whether the engine is executing an order.
    pub busy: bool,
    /// Number of orders accepted by this incarnation.
    pub seq: u64,
    /// Number of queued requests.
    pub queued: u32,
    /// Number of admitted requests, before and after prefill.
    pub active: u32,
    /// Number of admitted requests that have finished prefill.
    pub running: u32,
    /// KV cache in use that can't be evicted, in tokens.
    pub memory_used: u32,
    /// Total KV cache, in tokens.
    pub memory_total: u32,
}

/// How an engine switches to new weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swap {
    /// Running requests finish before the switch.
    Wait,
    /// Running requests continue on the new weights.
    Retain,
}

/// Newest version of the weights that the operator has announced, by model name.
pub type AnnouncedWeights = HashMap<String, u64>;
