//! Delivery of an answer to its caller.
//!
//! A stream is passed on as it arrives. Any other answer is collected first, so that after a failed
//! attempt another replica can start it again without the caller noticing.

use bytes::{Bytes, BytesMut};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use wire::Head;

use crate::entry::problem::Problem;

/// Maximum size of an answer that is collected, in bytes.
const MAX_COLLECTED: usize = 16 << 20;
/// Maximum number of pieces of a stream that are buffered for a caller.
const BUFFERED_PIECES: usize = 32;

/// First message to the caller.
#[derive(Debug)]
pub enum Answer {
    /// The complete answer.
    Whole(Head, Bytes),
    /// The head of a stream and its pieces.
    Stream(Head, mpsc::Receiver<Piece>),
    /// The request failed.
    Error(Problem),
}

/// Piece of a stream.
#[derive(Debug)]
pub enum Piece {
    /// Bytes of the stream.
    Data(Bytes),
    /// The stream failed and ends here.
    Error(Problem),
}

/// Passes an answer to its caller.
#[derive(Debug)]
pub struct AnswerSink {
    /// Sender of the first message, until it is sent.
    first: Option<oneshot::Sender<Answer>>,
    /// Head from the target, until it is passed on.
    head: Option<Head>,
    /// Sender of the pieces of a stream that has started.
    body: Option<mpsc::Sender<Piece>>,
    /// The part of the answer that has been collected, if it isn't a stream.
    collected: BytesMut,
    /// Whether the caller asked for a stream.
    stream: bool,
}

/// Why an answer can't be delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SinkError {
    /// The caller disconnected.
    #[error("the caller disconnected")]
    CallerGone,
    /// The answer has to be collected and is too large.
    #[error("an answer that isn't streamed can have at most {MAX_COLLECTED} bytes")]
    TooLarge,
}

impl AnswerSink {
    /// Sink for a caller that waits at the other end of `first`.
    pub fn new(first: oneshot::Sender<Answer>, stream: bool) -> Self {
        Self {
            first: Some(first),
            head: None,
            body: None,
            collected: BytesMut::new(),
            stream,
        }
    }

    /// Whether the caller asked for a stream.
    pub fn is_stream(&self) -> bool {
        self.stream
    }

    /// Sets the head of the answer.
    pub fn head(&mut self, head: Head) {
        self.head = Some(head);
    }

    /// Whether the caller has received the first message.
    pub fn is_started(&self) -> bool {
        self.first.is_none()
    }

    /// Waits until the caller disconnects.
    pub async fn closed(&mut self) {
        match (&mut self.first, &self.body) {
            (Some(f), _) => f.closed().await,
            (None, Some(b)) => b.closed().await,
            (None, None) => std::future::pending().await,
        }
    }

    /// Passes on or collects a piece of the answer.
    pub async fn data(&mut self, data: Bytes) -> Result<(), SinkError> {
        if !self.stream {
            self.collected.extend_from_slice(&data);
            return match self.collected.len() {
                n if n > MAX_COLLECTED => Err(SinkError::TooLarge),
                _ => Ok(()),
            };
        }
        if let Some(first) = self.first.take() {
            let (tx, rx) = mpsc::channel(BUFFERED_PIECES);
            let head = self.head.take().unwrap_or_default();
            let sent = first.send(Answer::Stream(head, rx));
            sent.map_err(|_| SinkError::CallerGone)?;
            self.body = Some(tx);
        }
        let body = self.body.as_ref().ok_or(SinkError::CallerGone)?;
        body.send(Piece::Data(data))
            .await
            .map_err(|_| SinkError::CallerGone)
    }

    /// Discards what the caller hasn't received, before another attempt.
    pub fn restart(&mut self) {
        self.collected.clear();
        self.head = None;
    }

    /// Ends the answer. One that isn't a stream is sent to the caller now.
    pub fn finish(&mut self) {
        let head = self.head.take().unwrap_or_default();
        if let Some(first) = self.first.take() {
            let _ = first.send(Answer::Whole(head, self.collected.split().freeze()));
        }
        self.body = None;
    }

    /// Ends the answer with an error.
    pub async fn fail(&mut self, problem: Problem) {
        match (self.first.take(), &self.body) {
            (Some(first), _) => drop(first.send(Answer::Error(problem))),
            (None, Some(b)) => drop(b.send(Piece::Error(problem)).await),
            (None, None) => {}
        }
    }
}
