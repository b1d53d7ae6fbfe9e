//! The caller's side of a request: what it gets, and in which pieces.
//!
//! A stream goes to its caller as it comes. Any other answer is collected first, so that an attempt
//! that fails on the way can start anew elsewhere and the caller sees nothing of it.

use bytes::{Bytes, BytesMut};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use wire::Head;

use crate::entry::answer::Problem;

/// Largest answer that is collected before its caller gets any of it.
const WHOLE_MAX: usize = 16 << 20;
/// Pieces on their way to a caller.
const PIECES: usize = 32;

/// What the caller gets first.
#[derive(Debug)]
pub enum Answer {
    /// All of it.
    Whole(Head, Bytes),
    /// Its head, and then pieces.
    Stream(Head, mpsc::Receiver<Piece>),
    /// None.
    None(Problem),
}

/// A piece of a stream.
#[derive(Debug)]
pub enum Piece {
    /// Bytes.
    Data(Bytes),
    /// The stream can't be completed.
    Broken(Problem),
}

/// The caller's side.
#[derive(Debug)]
pub struct Out {
    /// Where the beginning goes; gone once it went.
    first: Option<oneshot::Sender<Answer>>,
    /// Head that the target sent, until the caller gets it.
    head: Option<Head>,
    /// Where the rest of a stream goes.
    body: Option<mpsc::Sender<Piece>>,
    /// Answer collected so far, if it isn't a stream.
    whole: BytesMut,
    /// Whether the caller wants pieces.
    stream: bool,
}

/// Why an answer can't go on to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OutError {
    /// The caller went away.
    #[error("the caller went away")]
    Gone,
    /// It is to be collected, and is larger than may be.
    #[error("an answer that isn't streamed may have {WHOLE_MAX} bytes")]
    Large,
}

impl Out {
    /// A caller that waits for the beginning of its answer.
    pub fn new(first: oneshot::Sender<Answer>, stream: bool) -> Self {
        Self {
            first: Some(first),
            head: None,
            body: None,
            whole: BytesMut::new(),
            stream,
        }
    }

    /// Whether the caller wants pieces.
    pub fn is_stream(&self) -> bool {
        self.stream
    }

    /// Takes the head of the answer.
    pub fn head(&mut self, head: Head) {
        self.head = Some(head);
    }

    /// Whether the caller has seen anything.
    pub fn is_started(&self) -> bool {
        self.first.is_none()
    }

    /// Waits until the caller is gone.
    pub async fn closed(&mut self) {
        match (&mut self.first, &self.body) {
            (Some(f), _) => f.closed().await,
            (None, Some(b)) => b.closed().await,
            (None, None) => std::future::pending().await,
        }
    }

    /// Takes a piece of the answer, or says why it can't go on.
    pub async fn data(&mut self, data: Bytes) -> Result<(), OutError> {
        if !self.stream {
            self.whole.extend_from_slice(&data);
            return match self.whole.len() {
                n if n > WHOLE_MAX => Err(OutError::Large),
                _ => Ok(()),
            };
        }
        if let Some(first) = self.first.take() {
            let (tx, rx) = mpsc::channel(PIECES);
            let head = self.head.take().unwrap_or_default();
            let sent = first.send(Answer::Stream(head, rx));
            sent.map_err(|_| OutError::Gone)?;
            self.body = Some(tx);
        }
        let body = self.body.as_ref().ok_or(OutError::Gone)?;
        body.send(Piece::Data(data))
            .await
            .map_err(|_| OutError::Gone)
    }

    /// Forgets what the caller hasn't seen.
    pub fn restart(&mut self) {
        self.whole.clear();
        self.head = None;
    }

    /// Ends the answer; one that isn't a stream goes to the caller now.
    pub fn finish(&mut self) {
        let head = self.head.take().unwrap_or_default();
        if let Some(first) = self.first.take() {
            let _ = first.send(Answer::Whole(head, self.whole.split().freeze()));
        }
        self.body = None;
    }

    /// Ends the answer with a problem.
    pub async fn fail(&mut self, problem: Problem) {
        match (self.first.take(), &self.body) {
            (Some(first), _) => drop(first.send(Answer::None(problem))),
            (None, Some(b)) => drop(b.send(Piece::Broken(problem)).await),
            (None, None) => {}
        }
    }
}
