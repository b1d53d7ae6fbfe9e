//! Dispatch: which waiting request goes to the target next, and whether one may go now.
//!
//! The queue orders requests by urgency, team share and cost. The limits set how many prompts and
//! answers the engine computes at a time. Suspects wait until they may run (`trials`).

use model::{Class, Micros};
use policy::cost::Cost;
use policy::quarantine::Verdict;
use policy::queue::{Job, JobKey};
use prefix::Index;

use super::{Granted, RunKey, Running, Scheduler, State, Waiting};
use crate::crash_report;
use crate::settings::Kind;

impl<G> Scheduler<G> {
    /// Removes and returns the next request to dispatch, if the target has room for one.
    pub fn dispatch_next(&mut self, now: Micros) -> Option<Granted<G>> {
        if !self.has_room(now) {
            // A claim of a run that can't start would only delay other sidecars.
            self.trials.retain(|_| false);
            return None;
        }
        let job = self.pop(now)?;
        let waiting = job.payload;
        let is_suspect = self.request_verdict(now, &waiting.request) == Verdict::Suspect;
        // Blocks may have been computed or evicted while the request waited. Expected blocks don't
        // count: the request's own blocks have been expected since its arrival, so its prompt would
        // seem to need no computation and its measured prefill time would count for no blocks.
        let blocks =
            (waiting.request.chain.len() as u32).saturating_sub(self.index.held(&waiting.marks));
        let prefill = self.cost.prefill(blocks);
        let run = self.running.insert(Running {
            engine_time: job.work,
            prefill,
            blocks,
            dispatched: now,
            prefilling: self.kind == Kind::Model,
            is_suspect,
            class: job.class,
            is_stream: waiting.request.is_stream,
            last_output: None,
            had_strikes: waiting.request.strikes > 0,
            fingerprint: crash_report::fingerprint(waiting.request.fingerprint),
        });
        self.prefills_end = self.prefills_end.max(now) + prefill;
        self.utilization.set(now, self.computing_class());
        Some(Granted {
            run: RunKey(run),
            grant: waiting.grant,
        })
    }

    /// Removes a request whose caller has disconnected.
    pub fn cancel(&mut self, key: JobKey) {
        self.queue.remove(key);
    }

    fn pop(&mut self, now: Micros) -> Option<Job<Waiting<G>>> {
        loop {
            if let Some(job) = self.next_suspect(now) {
                return Some(job);
            }
            let (index, cost, kind) = (&self.index, &self.cost, self.kind);
            let job = self
                .queue
                .pop_by(|job| current_engine_time(kind, index, cost, job))?;
            if self.request_verdict(now, &job.payload.request) == Verdict::Clear {
                return Some(job);
            }
            self.held_suspects.push_back(job);
        }
    }

    fn has_room(&mut self, now: Micros) -> bool {
        // The first byte of an answer that isn't streamed doesn't show when its prefill ended. The
        // prefill is assumed to end at its expected time.
        for (_, r) in &mut self.running {
            r.prefilling &= r.is_stream || now < r.dispatched + r.prefill;
        }
        self.update_idle(now);
        let running = self.running.len();
        let free = match self.kind {
            Kind::Plain => true,
            Kind::Model => {
                self.prefill_limit.allows(self.prefilling())
                    && self.run_limit.allows(running as u32)
            }
        };
        self.state == State::Serving && running < self.slots && free
    }

    /// Class of the most recently dispatched prompt among those being computed.
    fn computing_class(&self) -> Option<Class> {
        let all = self.running.iter().map(|(_, r)| r);
        let last = all.filter(|r| r.prefilling).max_by_key(|r| r.dispatched);
        last.map(|r| r.class)
    }
}

/// Engine time that a waiting request would take now.
pub(super) fn current_engine_time<G>(
    kind: Kind,
    index: &Index,
    cost: &Cost,
    job: &Job<Waiting<G>>,
) -> Micros {
    let Waiting { request, marks, .. } = &job.payload;
    let missing = (request.chain.len() as u32).saturating_sub(index.held(marks));
    match kind {
        Kind::Model => cost.work(missing, request.max_output_tokens),
        Kind::Plain => job.work,
    }
}
