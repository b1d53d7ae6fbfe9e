//! A request as the rules left it: all that its attempts need, whichever replica gets them.

use bytes::Bytes;
use model::RequestId;
use tokio::time::Instant;
use wire::Header;

use crate::entry::ask::{Added, Completion};
use crate::entry::probe::Wanted;
use crate::trace;

/// A request with all that the rules made of it.
#[derive(Debug)]
pub struct Job {
    /// Its id.
    pub id: RequestId,
    /// What the choice of a replica depends on.
    pub want: Wanted,
    /// Weight of its team.
    pub share: u32,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The caller's idempotency key.
    pub key: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers for the target.
    pub headers: Vec<Header>,
    /// Body for the target.
    pub body: Payload,
    /// Cache scope.
    pub scope: String,
    /// When the answer is of no more use.
    pub deadline: Instant,
    /// Trace context.
    pub trace: trace::Context,
}

/// What goes to the target.
#[derive(Debug)]
pub enum Payload {
    /// Bytes as they came.
    Plain(Bytes),
    /// A completion, whose body says where to go on.
    Completion(Box<Completion>),
}

impl Job {
    /// Whether the caller wants the answer in pieces.
    pub fn is_stream(&self) -> bool {
        matches!(&self.body, Payload::Completion(c) if c.stream)
    }

    /// The body for a target, and the most tokens it asks for. A completion goes on after the
    /// events that the caller has already.
    pub fn body(&self, delivered: u64) -> (Bytes, u32) {
        let c = match &self.body {
            Payload::Plain(b) => return (b.clone(), 0),
            Payload::Completion(c) => c,
        };
        let add = Added {
            scope: &self.scope,
            class: self.want.class,
            delivered,
        };
        (c.render(add), c.output)
    }
}
