//! Delivery of an answer to its caller.
//!
//! A stream is passed on as it arrives. Any other answer is collected first, so that after a failed
//! attempt another replica can start it again without the caller noticing.

use bytes::Bytes;
use overload::Charge;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use wire::Head;

use crate::entry::problem::Problem;

/// Maximum size of an answer that is collected, in bytes.
const MAX_COLLECTED: usize = 16 << 20;
/// Bytes of it that are counted with its request.
const COUNTED_ANSWER: usize = 32 << 10;
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
    collected: Vec<u8>,
    /// Memory of that part.
    memory: Option<Charge>,
    /// Whether the caller asked for a stream.
    stream: bool,
}

/// Why an answer can't be delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SinkError {
    /// The caller disconnected.
    #[error("the caller disconnected")]
    CallerGone,
    /// The answer has to be collected and is too large, or there is no room for it.
    #[error("an answer that isn't streamed can have at most {MAX_COLLECTED} bytes, and less when memory is short")]
    TooLarge,
}

impl AnswerSink {
    /// Sink for a caller that waits at the other end of `first`.
    pub fn new(first: oneshot::Sender<Answer>, stream: bool, memory: Option<Charge>) -> Self {
        Self {
            first: Some(first),
            head: None,
            body: None,
            collected: Vec::new(),
            memory,
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
            return self.collect(&data);
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

    /// Adds a piece to the answer.
    fn collect(&mut self, data: &[u8]) -> Result<(), SinkError> {
        let len = self.collected.len() + data.len();
        if len > MAX_COLLECTED {
            return Err(SinkError::TooLarge);
        }
        if len > self.collected.capacity() {
            let capacity = len.max(self.collected.capacity() * 2).min(MAX_COLLECTED);
            let beyond = capacity.saturating_sub(COUNTED_ANSWER);
            let has_room = self.memory.as_mut().is_some_and(|m| m.grow(beyond));
            if !has_room {
                return Err(SinkError::TooLarge);
            }
            self.collected
                .reserve_exact(capacity - self.collected.len());
        }
        self.collected.extend_from_slice(data);
        Ok(())
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
            let body = Bytes::from(std::mem::take(&mut self.collected));
            let body = match self.memory.take() {
                Some(memory) => memory.hold(body),
                None => body,
            };
            let _ = first.send(Answer::Whole(head, body));
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
