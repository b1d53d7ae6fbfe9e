//! The job that a caller's request becomes, and the bodies of answers.

use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{HeaderMap, Method, Uri};
use model::Micros;
use overload::{Charge as MemoryCharge, Connection};
use policy::quarantine::Fingerprint;
use site::{Prompt, Route};
use thiserror::Error;

use super::fleet::ReplicaKey;
use super::limits::Charge;
use super::origins::Origin;

/// An answer that ended before it was complete. The connection to the caller is closed, so that the
/// answer doesn't look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the answer was cut short")]
pub(super) struct IncompleteAnswer;

/// The body of an answer to a caller.
pub(super) struct AnswerBody {
    inner: Pin<Box<dyn Body<Data = Bytes, Error = IncompleteAnswer>>>,
    connection: Connection,
}

impl AnswerBody {
    /// Creates a body that is sent on a caller's connection; dropping the body marks the connection
    /// as idle.
    pub(super) fn new(
        inner: impl Body<Data = Bytes, Error = IncompleteAnswer> + 'static,
        connection: Connection,
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
        self.connection.set_answered();
    }
}

/// A request whose head has been checked, and the state of its attempts.
#[derive(Debug)]
pub(super) struct Job {
    /// Id of the request.
    pub(super) id: String,
    /// Route that the request matched.
    pub(super) route: Rc<Route>,
    /// Version of the configuration in which the route was found.
    pub(super) version: u64,
    /// Pool that the request is sent to.
    pub(super) pool: String,
    /// Team that sent the request, if it has a known API key.
    pub(super) team: Option<String>,
    /// Whether the team's cached parts aren't shared with other teams.
    pub(super) isolated: bool,
    /// Rank of the request; 0 goes first.
    pub(super) rank: u8,
    /// Prompt of the request, if it is for a model.
    pub(super) prompt: Option<Prompt>,
    /// Units of the team's limit, if it has one.
    pub(super) charge: Option<Charge>,
    /// HTTP method.
    pub(super) method: Method,
    /// Path and query.
    pub(super) uri: Uri,
    /// Headers from the caller.
    pub(super) headers: HeaderMap,
    /// Connection of the caller.
    pub(super) connection: Connection,
    /// Memory of the request besides its body.
    pub(super) _memory: MemoryCharge,
    /// Body from the caller.
    pub(super) body: Bytes,
    /// Fingerprint of the content.
    pub(super) fingerprint: Fingerprint,
    /// Id of the last event that the caller has.
    pub(super) last_event_id: Option<String>,
    /// Id of the attempt that brought the first event of the stream that the caller takes up.
    pub(super) resumes: Option<String>,
    /// Where the job may run, as its caller may have events of a stream already.
    pub(super) origin: Origin,
    /// When the caller gives up on the request.
    pub(super) gives_up: Micros,
    /// When the head of the request was received.
    pub(super) received_at: Micros,
    /// When the caller or the route gives up on the request.
    pub(super) deadline: Micros,
    /// Targets that the request was sent to, without those that may receive it again.
    pub(super) attempted: Vec<ReplicaKey>,
    /// Targets that refused the request.
    pub(super) refused_by: Vec<ReplicaKey>,
    /// Whether a retry was spent for the request that no attempt has used.
    pub(super) has_retry: bool,
    /// How often the request was sent.
    pub(super) send_count: u32,
    /// How often it was sent and may have run.
    pub(super) run_count: u32,
}

impl Job {
    /// Time left until the deadline.
    pub(super) fn time_left(&self, now: Micros) -> Duration {
        self.deadline.since(now).into()
    }

    /// Allows the targets that refused the request to be used again.
    pub(super) fn forget_refusals(&mut self) {
        let refused_by = std::mem::take(&mut self.refused_by);
        self.attempted.retain(|k| !refused_by.contains(k));
    }

    /// Whether the request may run at one more target.
    pub(super) fn may_run_again(&self) -> bool {
        self.run_count < self.route.max_attempts
    }
}
