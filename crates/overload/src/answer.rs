//! The body of an answer, whose end makes its connection idle.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};

use crate::connection::Connection;

/// Body of an answer on a connection.
#[derive(Debug)]
pub struct AnswerBody<B> {
    inner: B,
    conn: Connection,
}

impl<B> AnswerBody<B> {
    /// Creates the body of an answer; dropping it ends the answer.
    pub fn new(inner: B, conn: Connection) -> Self {
        Self { inner, conn }
    }
}

impl<B: Body + Unpin> Body for AnswerBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<B> Drop for AnswerBody<B> {
    fn drop(&mut self) {
        self.conn.set_answered();
    }
}
