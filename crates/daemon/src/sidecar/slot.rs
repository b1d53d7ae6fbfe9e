//! Slots at the target: a request waits in the scheduler's queue and then holds a slot.
//!
//! The place in the queue and the slot are released on drop, since an exchange may end at any await
//! point. A slot that was not released would be missing until the process restarts.

use std::sync::atomic::{AtomicU64, Ordering};

use model::{BlockHash, Class, Code, Incarnation, MemberId, Micros};
use tokio::sync::oneshot;
use wire::Open;

use crate::clock;
use crate::crash_report;
use crate::sidecar::control_channel::ControlMessage;
use crate::sidecar::run::Context;
use crate::sidecar::scheduler::{Refusal, RequestSpec, RunKey};

/// Number of events of a stream per message to the control thread.
const EVENTS_PER_REPORT: u64 = 4;

/// Waits until the request may run; dropping the result frees the slot.
pub async fn acquire<'a>(cx: &'a Context, open: &Open) -> Result<Slot<'a>, Refusal> {
    let (grant, granted) = oneshot::channel();
    let request = RequestSpec {
        team: open.team.clone(),
        weight: open.share,
        class: Class::from_index(open.class as usize),
        chain: open.chain.iter().copied().map(BlockHash).collect(),
        max_output_tokens: open.output,
        deadline: clock::now() + Micros::from_millis(open.deadline),
        fingerprint: open.fingerprint,
        strikes: open.strikes,
        crashes: open.crashes.clone(),
        probe_id: open.probe,
        is_stream: open.stream,
    };
    cx.control.send(ControlMessage::Enqueue {
        request,
        peers: open.peers.clone(),
        grant,
    });
    let stopped = Refusal {
        code: Code::Draining,
        retry: None,
    };
    let mut pending = PendingSlot { cx, granted };
    let granted = (&mut pending.granted).await;
    granted
        .unwrap_or(Err(stopped))
        .map(|run| Slot::new(cx, run))
}

/// A place in the queue. The exchange may end at the moment at which its slot is granted; without
/// this type no task would free the slot, and the target would have one slot less for good.
struct PendingSlot<'a> {
    cx: &'a Context,
    granted: oneshot::Receiver<Result<RunKey, Refusal>>,
}

impl Drop for PendingSlot<'_> {
    fn drop(&mut self) {
        self.granted.close();
        if let Ok(Ok(run)) = self.granted.try_recv() {
            self.cx.control.send(ControlMessage::Finished(run, 0));
        }
    }
}

/// A slot at the target; frees itself on drop, however the exchange ends.
#[derive(Debug)]
pub struct Slot<'a> {
    /// Data shared by all exchanges.
    pub cx: &'a Context,
    run: RunKey,
    events: AtomicU64,
}

impl<'a> Slot<'a> {
    fn new(cx: &'a Context, run: RunKey) -> Self {
        let events = AtomicU64::new(0);
        Self { cx, run, events }
    }

    /// Records that the target sent some bytes.
    pub fn record_byte(&self) {
        self.cx.control.record_byte();
    }

    /// Records that the target sent the first byte of the answer.
    pub fn first_byte(&self) {
        self.cx.control.send(ControlMessage::FirstByte(self.run));
    }

    /// Records that the target crashed under the request; returns the ID of the crash.
    pub fn record_crash(&self, incarnation: Incarnation) -> u64 {
        self.cx
            .control
            .send(ControlMessage::TargetCrashed(self.run));
        crash_report::crash_id(MemberId(self.cx.incarnation), incarnation)
    }

    /// Records that the target answered successfully.
    pub fn record_success(&self) {
        self.cx.control.send(ControlMessage::Succeeded(self.run));
    }

    /// Counts an event of the stream. The control thread is notified every few events and not only
    /// at the end: from whole answers it would notice a slower engine a minute late.
    pub fn record_event(&self) {
        let events = self.events.fetch_add(1, Ordering::Relaxed) + 1;
        if events.is_multiple_of(EVENTS_PER_REPORT) {
            self.cx
                .control
                .send(ControlMessage::Progress(self.run, EVENTS_PER_REPORT));
        }
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let events = self.events.load(Ordering::Relaxed) % EVENTS_PER_REPORT;
        self.cx
            .control
            .send(ControlMessage::Finished(self.run, events));
    }
}
