//! A request's turn: the wait in control's queue, then the slot at the target.
//!
//! Both are given back by being dropped, since an exchange may end at any of its waits. A slot that
//! stayed taken would be missing until the process restarts.

use std::sync::atomic::{AtomicU64, Ordering};

use model::{BlockHash, Class, Code, Incarnation, MemberId, Micros};
use tokio::sync::oneshot;
use wire::Open;

use crate::clock;
use crate::crash_report;
use crate::sidecar::ask::Ask;
use crate::sidecar::decide::{Refusal, RunKey, Work};
use crate::sidecar::run::Context;

/// Events of a stream between two reports to control.
const PROGRESS: u64 = 4;

/// Waits for the request's turn, which lasts until the slot is dropped.
pub async fn wait<'a>(cx: &'a Context, o: &Open) -> Result<Slot<'a>, Refusal> {
    let (grant, granted) = oneshot::channel();
    let work = Work {
        team: o.team.clone(),
        share: o.share,
        class: Class::from_index(o.class as usize),
        chain: o.chain.iter().copied().map(BlockHash).collect(),
        output: o.output,
        deadline: clock::now() + Micros::from_millis(o.deadline),
        fingerprint: o.fingerprint,
        strikes: o.strikes,
        crashes: o.crashes.clone(),
        probe: o.probe,
        stream: o.stream,
    };
    cx.control.send(Ask::Enqueue { work, grant });
    let gone = Refusal {
        code: Code::Draining,
        retry: None,
    };
    let mut place = Place { cx, granted };
    let granted = (&mut place.granted).await;
    granted.unwrap_or(Err(gone)).map(|run| Slot::new(cx, run))
}

/// A place in the queue. Its request may end in the moment in which its turn comes; without this
/// the turn would be nobody's, and the target would have one slot less for good.
struct Place<'a> {
    cx: &'a Context,
    granted: oneshot::Receiver<Result<RunKey, Refusal>>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.granted.close();
        if let Ok(Ok(run)) = self.granted.try_recv() {
            self.cx.control.send(Ask::Finished(run, 0));
        }
    }
}

/// Tells control, however the exchange ends, that its slot is free.
#[derive(Debug)]
pub struct Slot<'a> {
    /// What exchanges share.
    pub cx: &'a Context,
    run: RunKey,
    events: AtomicU64,
}

impl<'a> Slot<'a> {
    fn new(cx: &'a Context, run: RunKey) -> Self {
        let events = AtomicU64::new(0);
        Self { cx, run, events }
    }

    /// The target sent some bytes.
    pub fn received(&self) {
        self.cx.control.received();
    }

    /// The target sent a first byte.
    pub fn first(&self) {
        self.cx.control.send(Ask::First(self.run));
    }

    /// The target died under the request; gives the crash's name.
    pub fn crashed(&self, life: Incarnation) -> u64 {
        self.cx.control.send(Ask::Crashed(self.run));
        crash_report::crash_id(MemberId(self.cx.life), life)
    }

    /// The target answered well.
    pub fn served(&self) {
        self.cx.control.send(Ask::Served(self.run));
    }

    /// Counts an event of the stream. Control is told now and then, and not only at the end: from
    /// whole answers it would learn of a slower engine a minute late.
    pub fn event(&self) {
        let events = self.events.fetch_add(1, Ordering::Relaxed) + 1;
        if events.is_multiple_of(PROGRESS) {
            self.cx.control.send(Ask::Progress(self.run, PROGRESS));
        }
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let events = self.events.load(Ordering::Relaxed) % PROGRESS;
        self.cx.control.send(Ask::Finished(self.run, events));
    }
}
