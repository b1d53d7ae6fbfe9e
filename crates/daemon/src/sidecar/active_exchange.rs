//! An exchange while it is registered: the answer received so far, for the connections that send
//! it.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use exchange::{Done, Failed, NotRun, ReplayBuffer, ReplayError};
use tokio::sync::{watch, Notify};
use tokio_util::sync::CancellationToken;
use wire::{Body, Chunk, End, Fail, Head, Join, Refuse};

/// How an exchange ended.
#[derive(Clone, Debug)]
pub enum ExchangeEnd {
    /// The answer is complete.
    Done(Done),
    /// The request was not run; the exchange that claimed it before, if known.
    NotRun(NotRun, Option<Join>),
    /// The request was dispatched and has no complete answer.
    Failed(Failed),
}

#[derive(Debug)]
struct Inner {
    head: Option<Head>,
    replay: ReplayBuffer,
    end: Option<ExchangeEnd>,
    /// ID of the crash that ended the exchange; 0 if none did.
    crash_id: u64,
}

/// One exchange, shared by the task that runs it and the connections that send its answer.
#[derive(Debug)]
pub struct ActiveExchange {
    inner: Mutex<Inner>,
    changed: watch::Sender<()>,
    space_freed: Notify,
    /// Number of connections that are sending the answer.
    connections: AtomicUsize,
    /// Cancelled when the answer is no longer needed.
    pub cancel: CancellationToken,
    delivered: CancellationToken,
}

impl ActiveExchange {
    /// Creates an exchange; `keep_all` keeps the whole answer for later attempts.
    pub fn new(keep_all: bool) -> Arc<Self> {
        let replay = match keep_all {
            true => ReplayBuffer::keep_all(),
            false => ReplayBuffer::default(),
        };
        Arc::new(Self {
            inner: Mutex::new(Inner {
                head: None,
                replay,
                end: None,
                crash_id: 0,
            }),
            changed: watch::Sender::new(()),
            space_freed: Notify::new(),
            connections: AtomicUsize::new(0),
            cancel: CancellationToken::new(),
            delivered: CancellationToken::new(),
        })
    }

    /// Subscribes to changes of the exchange.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Counts a connection until the result is dropped.
    pub fn attach(self: &Arc<Self>) -> Attachment {
        self.connections.fetch_add(1, Ordering::AcqRel);
        Attachment(Arc::clone(self))
    }

    /// Whether no connection is sending the answer.
    pub fn is_orphaned(&self) -> bool {
        self.connections.load(Ordering::Acquire) == 0
    }

    /// Records the status and headers of the target's answer.
    pub fn set_head(&self, head: Head) {
        self.lock().head = Some(head);
        self.changed.send_replace(());
    }

    /// Appends a chunk of the answer; waits while too many bytes are unconfirmed.
    pub async fn push(&self, data: Bytes) {
        loop {
            let space_freed = self.space_freed.notified();
            if !self.lock().replay.full() {
                break;
            }
            space_freed.await;
        }
        self.lock().replay.push(data);
        self.changed.send_replace(());
    }

    /// Records the crash of the target that ended the exchange.
    pub fn set_crash(&self, crash_id: u64) {
        self.lock().crash_id = crash_id;
    }

    /// Ends the exchange; calls after the first have no effect.
    pub fn end(&self, end: ExchangeEnd) {
        let mut i = self.lock();
        if matches!(end, ExchangeEnd::Done(_)) {
            i.replay.end();
        }
        i.end.get_or_insert(end);
        drop(i);
        self.changed.send_replace(());
    }

    /// Records that the last frame was sent to the entry.
    pub fn mark_delivered(&self) {
        self.delivered.cancel();
    }

    /// Waits until the last frame was sent to the entry.
    pub async fn until_delivered(&self) {
        self.delivered.cancelled().await;
    }

    /// Whether the request was dispatched to the target; `None` until the exchange has ended.
    pub fn ran(&self) -> Option<bool> {
        let i = self.lock();
        let end = i.end.as_ref();
        end.map(|e| !matches!(e, ExchangeEnd::NotRun(..)))
    }

    /// Records that the entry has received all chunks before `next`.
    pub fn confirm(&self, next: u64) {
        self.lock().replay.confirm(next);
        self.space_freed.notify_waiters();
    }

    /// Returns the next frame for a connection and whether it is the last, and advances the cursor.
    pub fn next_frame(&self, cursor: &mut Cursor) -> Result<Option<(Body, bool)>, ReplayError> {
        let i = self.lock();
        if let Some(h) = i.head.clone().filter(|_| !cursor.head_sent) {
            cursor.head_sent = true;
            return Ok(Some((h.into(), false)));
        }
        if let Some(data) = i.replay.get(cursor.next_seq)? {
            let seq = cursor.next_seq;
            cursor.next_seq += 1;
            return Ok(Some((Chunk { seq, data }.into(), false)));
        }
        Ok(i.end.as_ref().map(|e| (end_frame(e, &i), true)))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Position of a connection in the frames of an exchange.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cursor {
    /// Whether the head was sent.
    pub head_sent: bool,
    /// Sequence number of the next chunk.
    pub next_seq: u64,
}

/// A connection that is sending the answer of an exchange.
#[derive(Debug)]
pub struct Attachment(Arc<ActiveExchange>);

impl Drop for Attachment {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::AcqRel);
    }
}

fn end_frame(end: &ExchangeEnd, i: &Inner) -> Body {
    match end {
        ExchangeEnd::Done(_) => {
            let (count, digest) = i.replay.total().unwrap_or_default();
            End { count, digest }.into()
        }
        ExchangeEnd::NotRun(n, owner) => refuse(n, owner.clone()).into(),
        ExchangeEnd::Failed(f) => Fail {
            code: f.code.number(),
            known: f.known,
            crashed: f.crashed,
            crash: i.crash_id,
        }
        .into(),
    }
}

/// Encodes a refusal as a frame.
pub fn refuse(n: &NotRun, owner: Option<Join>) -> Refuse {
    Refuse {
        code: n.code().number(),
        retry: n.retry().map_or(0, |t| t.as_millis().max(1)),
        owner,
    }
}
