//! A request after the rules have decided: what all attempts need, whichever replica they use.

use bytes::Bytes;
use model::RequestId;
use overload::Charge;
use tokio::time::Instant;
use wire::Header;

use crate::entry::completion::{Completion, EngineFields};
use crate::entry::probe::Criteria;
use crate::trace;

/// A request with the results of the rules.
#[derive(Debug)]
pub struct Job {
    /// Id of the request.
    pub id: RequestId,
    /// What the choice of a replica depends on.
    pub criteria: Criteria,
    /// Weight of the team in fair queueing.
    pub share: u32,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Key by which a repeated request is recognized; empty if the caller gave none.
    pub idempotency_key: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers for the target.
    pub headers: Vec<Header>,
    /// Body for the target.
    pub body: Payload,
    /// Cache scope: requests of different scopes share no cached prefixes.
    pub scope: String,
    /// Time by which the answer has to start.
    pub deadline: Instant,
    /// Trace context.
    pub trace: trace::Context,
    /// Memory of an answer that is collected, none of it yet.
    pub answer_memory: Option<Charge>,
}

/// Body of a request.
#[derive(Debug)]
pub enum Payload {
    /// Bytes that are sent unchanged.
    Plain(Bytes),
    /// A completion, to which fields for the engine are added.
    Completion(Box<Completion>),
}

impl Job {
    /// Whether the caller asked for a stream.
    pub fn is_stream(&self) -> bool {
        matches!(&self.body, Payload::Completion(c) if c.stream)
    }

    /// Body for a target, and the maximum number of output tokens; 0 if unknown. A completion
    /// continues after the `delivered` events that the caller already has.
    pub fn body(&self, delivered: u64) -> (Bytes, u32) {
        let c = match &self.body {
            Payload::Plain(b) => return (b.clone(), 0),
            Payload::Completion(c) => c,
        };
        let added = EngineFields {
            scope: &self.scope,
            class: self.criteria.class,
            delivered,
        };
        (c.render(added), c.max_output_tokens)
    }
}
