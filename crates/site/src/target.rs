//! Targets as the platform's list names them, and what engines tell of themselves.

use std::collections::HashMap;
use std::net::SocketAddr;

use model::Position;

/// One life of a target. The same id with another start is another life, which holds nothing of
/// the one before.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Boot {
    /// The target's id.
    pub id: String,
    /// When this life began, in milliseconds of the target's own clock; 0 if it doesn't say.
    pub born: u64,
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// It is leaving and must get no more.
    Draining,
}

/// A model's weights.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Weights {
    /// The model's name.
    pub model: String,
    /// Version of the weights; later ones are higher.
    pub version: u64,
}

/// A target that the platform lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Which life of which target.
    pub boot: Boot,
    /// Its pool.
    pub pool: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Whether it takes new work.
    pub state: State,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Version in the store of its last heartbeat; of two targets the higher one was heard later.
    pub renewed: Position,
    /// What it had loaded when it last said so.
    pub weights: Vec<Weights>,
}

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Which life, if it says so.
    pub boot: Option<Boot>,
    /// What it has loaded.
    pub weights: Vec<Weights>,
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// Orders accepted in this life.
    pub seq: u64,
    /// Requests waiting.
    pub queued: u32,
    /// Requests that have been let in, read or not.
    pub active: u32,
    /// Those of them whose prompt has been read.
    pub running: u32,
    /// Tokens of memory that can't yield.
    pub memory_used: u32,
    /// Tokens of memory in all.
    pub memory_total: u32,
}

/// How an engine goes over to new weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swap {
    /// What runs ends first.
    Wait,
    /// What runs goes on with the new weights.
    Retain,
}

/// The newest weights that the operator has named, by model.
pub type AnnouncedWeights = HashMap<String, u64>;
