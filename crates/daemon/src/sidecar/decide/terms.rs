//! The terms in which the decisions are asked and answer.

use model::{BlockHash, Class, Code, Incarnation, Micros};
use prefix::Marks;

/// What a request asks of the target.
#[derive(Clone, Debug)]
pub struct Work {
    /// Team.
    pub team: String,
    /// Weight of the team.
    pub share: u32,
    /// How urgent it is.
    pub class: Class,
    /// Blocks of its prompt.
    pub chain: Vec<BlockHash>,
    /// Tokens that the answer may have.
    pub output: u32,
    /// When the answer is of no more use.
    pub deadline: Micros,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Targets that died under it before.
    pub strikes: u32,
    /// Names of the crashes that its entry holds against it.
    pub crashes: Vec<u64>,
    /// The probe whose offer it takes up.
    pub probe: u64,
    /// Whether its first byte comes before its last.
    pub stream: bool,
}

/// Why a request doesn't get its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// When to come back.
    pub retry: Option<Micros>,
}

/// What a probe asks.
#[derive(Clone, Debug)]
pub struct Question {
    /// The probe.
    pub probe: u64,
    /// Team.
    pub team: String,
    /// How urgent the request is.
    pub class: Class,
    /// Points of its prompt.
    pub marks: Marks,
    /// Blocks of its prompt.
    pub blocks: u32,
    /// Its fingerprint.
    pub fingerprint: u64,
}

/// What a probe is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Told {
    /// Blocks that needn't be computed.
    pub matched: u32,
    /// How long the request would wait.
    pub wait: Micros,
    /// Time to prefill one block.
    pub prefill: Micros,
    /// The part of the last seconds in which the engine computed prompts.
    pub busy: f64,
    /// Whether the target takes it; the refusal if not.
    pub refusal: Option<Refusal>,
    /// Whether the request is known to crash targets.
    pub convicted: bool,
}

/// What a sidecar knows of a request that may crash its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Its fingerprint.
    pub print: u64,
    /// Names of the crashes that are held against it.
    pub crashes: Vec<u64>,
    /// Whether it runs there, or a claim of that sidecar goes ahead.
    pub busy: bool,
    /// Whether it was answered well there of late.
    pub good: bool,
}

/// A request's turn has come.
#[derive(Debug)]
pub struct Granted<G> {
    /// Names it from now on.
    pub run: RunKey,
    /// Whoever waits for it.
    pub grant: G,
}

/// Names a request that was handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunKey(pub(super) usize);

/// Whether the target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It does.
    Serving,
    /// Its weights are being loaded.
    Loading,
    /// This process is stopping.
    Leaving,
    /// It doesn't answer.
    Down,
}

/// What the target was found to be.
#[derive(Clone, Copy, Debug)]
pub struct Found<'a> {
    /// Its life.
    pub life: Incarnation,
    /// Model it serves.
    pub model: &'a str,
    /// Weights it serves.
    pub weights: &'a str,
    /// Whether it is loading others and refuses work meanwhile.
    pub loading: bool,
}
