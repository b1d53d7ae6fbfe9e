//! A caller's request once it has been read, and the bodies of answers.

use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{HeaderMap, Method, Uri};
use model::Micros;
use policy::quarantine::Fingerprint;
use site::{Prompt, Route};
use thiserror::Error;

use super::fleet::ReplicaKey;
use super::listen::ConnectionState;

/// An answer that ends before it is whole. The connection to the caller ends with it, so that it
/// can't be taken for a whole one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the answer was cut short")]
pub(super) struct IncompleteAnswer;

/// The body of an answer to a caller.
pub(super) struct AnswerBody {
    inner: Pin<Box<dyn Body<Data = Bytes, Error = IncompleteAnswer>>>,
    connection: Rc<ConnectionState>,
}

impl AnswerBody {
    /// A body on a caller's connection, which is idle again after it.
    pub(super) fn new(
        inner: impl Body<Data = Bytes, Error = IncompleteAnswer> + 'static,
        connection: Rc<ConnectionState>,
    ) -> Self {
        Self {
            inner: Box::pin(inner),
            connection,
        }
    }
}

impl fmt::Debug for AnswerBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AnswerBody").finish_non_exhaustive()
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = IncompleteAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteAnswer>>> {
        self.inner.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.connection.set_idle();
    }
}

/// A request that has been read and may go to a target.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// Its id.
    pub(super) id: String,
    /// Its route.
    pub(super) route: Rc<Route>,
    /// Version of the configuration that decided.
    pub(super) version: u64,
    /// The pool that it goes to.
    pub(super) pool: String,
    /// The team that sent it, if its route asks for one.
    pub(super) team: Option<String>,
    /// Whether its team shares cached parts with nobody.
    pub(super) isolated: bool,
    /// Rank; 0 goes first.
    pub(super) rank: u8,
    /// What it asks a model for.
    pub(super) prompt: Option<Prompt>,
    /// Its method.
    pub(super) method: Method,
    /// Its path and query.
    pub(super) uri: Uri,
    /// Its headers.
    pub(super) headers: HeaderMap,
    /// Its body.
    pub(super) body: Bytes,
    /// Fingerprint of its content.
    pub(super) fingerprint: Fingerprint,
    /// The last event that the caller has.
    pub(super) last_event_id: Option<String>,
    /// When it came.
    pub(super) received_at: Micros,
    /// When the caller or the route gives up on it.
    pub(super) deadline: Micros,
    /// Targets that it was sent to.
    pub(super) attempted: Vec<ReplicaKey>,
    /// Those of them that refused it.
    pub(super) refused_by: Vec<ReplicaKey>,
    /// Times it was sent.
    pub(super) send_count: u32,
    /// Times it was sent and may have run.
    pub(super) run_count: u32,
}

impl Job {
    /// What is left until it is given up on.
    pub(super) fn time_left(&self, now: Micros) -> Duration {
        self.deadline.since(now).into()
    }

    /// Lets targets that refused it be tried again.
    pub(super) fn forget_refusals(&mut self) {
        let refused_by = std::mem::take(&mut self.refused_by);
        self.attempted.retain(|k| !refused_by.contains(k));
    }

    /// Whether it may run once more.
    pub(super) fn may_run_again(&self) -> bool {
        self.run_count < self.route.max_attempts
    }
}
