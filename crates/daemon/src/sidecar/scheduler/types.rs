//! Arguments and results of the scheduler.

use model::{BlockHash, Class, Code, Incarnation, Micros};
use prefix::Marks;

/// A request to be scheduled.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Name of the team.
    pub team: String,
    /// Weight of the team.
    pub weight: u32,
    /// Urgency of the request.
    pub class: Class,
    /// Hashes of the prompt's blocks.
    pub chain: Vec<BlockHash>,
    /// Maximum number of tokens in the answer.
    pub max_output_tokens: u32,
    /// When the caller gives up.
    pub deadline: Micros,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Number of targets that had crashed under the request before.
    pub strikes: u32,
    /// IDs of the crashes that the entry has recorded for the request.
    pub crashes: Vec<u64>,
    /// Probe that reserved room for the request.
    pub probe_id: u64,
    /// Whether the answer is a stream, so that its first byte shows the end of the prefill.
    pub is_stream: bool,
}

/// Refusal of a request that is not dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub code: Code,
    /// Delay after which the caller may retry.
    pub retry: Option<Micros>,
}

/// A probe for a request.
#[derive(Clone, Debug)]
pub struct ProbeRequest {
    /// Identifies the probe.
    pub probe_id: u64,
    /// Name of the team.
    pub team: String,
    /// Urgency of the request.
    pub class: Class,
    /// Marks of the prompt at a few lengths.
    pub marks: Marks,
    /// Number of blocks in the prompt.
    pub blocks: u32,
    /// Fingerprint of the request.
    pub fingerprint: u64,
}

/// Answer to a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbeAnswer {
    /// Number of the prompt's blocks that are cached.
    pub cached_blocks: u32,
    /// Expected wait of the request.
    pub wait: Micros,
    /// Prefill time of one block.
    pub prefill_per_block: Micros,
    /// Share of the last seconds in which the engine computed prompts.
    pub utilization: f64,
    /// Refusal that the request would get now, if any.
    pub refusal: Option<Refusal>,
    /// Whether the request is convicted of crashing targets.
    pub convicted: bool,
}

/// What one sidecar has recorded about a request that may crash its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// IDs of the crashes recorded for the request.
    pub crashes: Vec<u64>,
    /// Whether the sidecar runs the request, or its own claim outranks the received one.
    pub busy: bool,
    /// Whether the request was recently answered successfully by that sidecar's target.
    pub good: bool,
}

/// A request to dispatch now.
#[derive(Debug)]
pub struct Granted<G> {
    /// Identifies the request while it runs.
    pub run: RunKey,
    /// The caller's data of the request.
    pub grant: G,
}

/// Identifies a dispatched request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunKey(pub(super) usize);

/// Whether the target takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// New requests are admitted.
    Serving,
    /// The target is loading weights, or is about to.
    Loading,
    /// This process is stopping.
    Leaving,
    /// The target doesn't answer.
    Down,
}

/// State of the engine as it last reported it.
#[derive(Clone, Copy, Debug)]
pub struct EngineState<'a> {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Model in use.
    pub model: &'a str,
    /// Weights in use.
    pub weights: &'a str,
    /// Whether the engine is loading other weights and refuses requests meanwhile.
    pub loading: bool,
}
