//! An exchange while it is here: what came from the target, for whichever connection asks.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use exchange::{Done, Failed, NotRun, ReplayBuffer, ReplayError};
use tokio::sync::{watch, Notify};
use tokio_util::sync::CancellationToken;
use wire::{Body, Chunk, End, Fail, Head, Join, Refuse};

/// How an exchange ended.
#[derive(Clone, Debug)]
pub enum Last {
    /// Whole.
    Done(Done),
    /// Not run, perhaps since somebody else claimed it.
    NotRun(NotRun, Option<Join>),
    /// Run in part.
    Failed(Failed),
}

#[derive(Debug)]
struct Inner {
    head: Option<Head>,
    retain: ReplayBuffer,
    last: Option<Last>,
    /// Name of the crash that ended it; 0 if none did.
    crash: u64,
}

/// One exchange, shared by the task that runs it and the connection that carries it.
#[derive(Debug)]
pub struct Live {
    inner: Mutex<Inner>,
    changed: watch::Sender<()>,
    room: Notify,
    /// Connections carrying it.
    carriers: AtomicUsize,
    /// Set when nobody wants the answer any more.
    pub cancel: CancellationToken,
    done: CancellationToken,
}

impl Live {
    /// An exchange that has just arrived; `keep` retains its whole answer for later attempts.
    pub fn new(keep: bool) -> Arc<Self> {
        let retain = match keep {
            true => ReplayBuffer::keep_all(),
            false => ReplayBuffer::default(),
        };
        Arc::new(Self {
            inner: Mutex::new(Inner {
                head: None,
                retain,
                last: None,
                crash: 0,
            }),
            changed: watch::Sender::new(()),
            room: Notify::new(),
            carriers: AtomicUsize::new(0),
            cancel: CancellationToken::new(),
            done: CancellationToken::new(),
        })
    }

    /// Told of each change.
    pub fn watch(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Counts a connection for as long as the result lives.
    pub fn carry(self: &Arc<Self>) -> Carrier {
        self.carriers.fetch_add(1, Ordering::AcqRel);
        Carrier(Arc::clone(self))
    }

    /// Whether no connection carries it.
    pub fn orphaned(&self) -> bool {
        self.carriers.load(Ordering::Acquire) == 0
    }

    /// The target's answer began.
    pub fn begin(&self, head: Head) {
        self.lock().head = Some(head);
        self.changed.send_replace(());
    }

    /// A piece of the answer; waits while too much is unconfirmed.
    pub async fn push(&self, data: Bytes) {
        loop {
            let room = self.room.notified();
            if !self.lock().retain.full() {
                break;
            }
            room.await;
        }
        self.lock().retain.push(data);
        self.changed.send_replace(());
    }

    /// Its target died; `crash` names how.
    pub fn crashed(&self, crash: u64) {
        self.lock().crash = crash;
    }

    /// It ended; only the first end counts.
    pub fn end(&self, last: Last) {
        let mut i = self.lock();
        if matches!(last, Last::Done(_)) {
            i.retain.end();
        }
        i.last.get_or_insert(last);
        drop(i);
        self.changed.send_replace(());
    }

    /// The entry was sent the last frame.
    pub fn delivered(&self) {
        self.done.cancel();
    }

    /// Waits until the entry was sent the last frame.
    pub async fn until_delivered(&self) {
        self.done.cancelled().await;
    }

    /// Whether it ended, and if so whether the target saw it.
    pub fn ended(&self) -> Option<bool> {
        let i = self.lock();
        let last = i.last.as_ref();
        last.map(|l| !matches!(l, Last::NotRun(..)))
    }

    /// The entry has all before `next`.
    pub fn confirm(&self, next: u64) {
        self.lock().retain.confirm(next);
        self.room.notify_waiters();
    }

    /// The frame to send after those up to `at`; moves `at`. The last frame is flagged.
    pub fn next(&self, at: &mut Cursor) -> Result<Option<(Body, bool)>, ReplayError> {
        let i = self.lock();
        if let Some(h) = i.head.clone().filter(|_| !at.head) {
            at.head = true;
            return Ok(Some((h.into(), false)));
        }
        if let Some(data) = i.retain.get(at.seq)? {
            let seq = at.seq;
            at.seq += 1;
            return Ok(Some((Chunk { seq, data }.into(), false)));
        }
        Ok(i.last.as_ref().map(|l| (last(l, &i), true)))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How far a connection has sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cursor {
    /// Whether the head was sent.
    pub head: bool,
    /// Next chunk.
    pub seq: u64,
}

/// A connection that carries an exchange.
#[derive(Debug)]
pub struct Carrier(Arc<Live>);

impl Drop for Carrier {
    fn drop(&mut self) {
        self.0.carriers.fetch_sub(1, Ordering::AcqRel);
    }
}

fn last(l: &Last, i: &Inner) -> Body {
    match l {
        Last::Done(_) => {
            let (count, digest) = i.retain.total().unwrap_or_default();
            End { count, digest }.into()
        }
        Last::NotRun(n, owner) => refuse(n, owner.clone()).into(),
        Last::Failed(f) => Fail {
            code: f.code.number(),
            known: f.known,
            crashed: f.crashed,
            crash: i.crash,
        }
        .into(),
    }
}

/// A refusal as a frame.
pub fn refuse(n: &NotRun, owner: Option<Join>) -> Refuse {
    Refuse {
        code: n.code().number(),
        retry: n.retry().map_or(0, |t| t.as_millis().max(1)),
        owner,
    }
}
