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
use super::listen::Watch;

/// An answer that ends before it is whole. The connection to the caller ends with it, so that it
/// can't be taken for a whole one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the answer was cut short")]
pub(super) struct Cut;

/// The body of an answer to a caller.
pub(super) struct Answer {
    inner: Pin<Box<dyn Body<Data = Bytes, Error = Cut>>>,
    watch: Rc<Watch>,
}

impl Answer {
    /// A body on a caller's connection, which is idle again after it.
    pub(super) fn new(
        inner: impl Body<Data = Bytes, Error = Cut> + 'static,
        watch: Rc<Watch>,
    ) -> Self {
        Self {
            inner: Box::pin(inner),
            watch,
        }
    }
}

impl fmt::Debug for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Answer").finish_non_exhaustive()
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        self.inner.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.watch.idle();
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
    pub(super) walled: bool,
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
    pub(super) print: Fingerprint,
    /// The last event that the caller has.
    pub(super) resume: Option<String>,
    /// When it came.
    pub(super) came: Micros,
    /// When the caller or the route gives up on it.
    pub(super) deadline: Micros,
    /// Targets that it was sent to.
    pub(super) tried: Vec<ReplicaKey>,
    /// Those of them that refused it.
    pub(super) refused: Vec<ReplicaKey>,
    /// Times it was sent.
    pub(super) sends: u32,
    /// Times it was sent and may have run.
    pub(super) runs: u32,
}

impl Job {
    /// What is left until it is given up on.
    pub(super) fn left(&self, now: Micros) -> Duration {
        self.deadline.since(now).into()
    }

    /// Lets targets that refused it be tried again.
    pub(super) fn forget_refusals(&mut self) {
        let refused = std::mem::take(&mut self.refused);
        self.tried.retain(|k| !refused.contains(k));
    }

    /// Whether it may run once more.
    pub(super) fn may_run(&self) -> bool {
        self.runs < self.route.max_attempts
    }
}
