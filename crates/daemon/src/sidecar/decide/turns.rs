//! Turns: which waiting request is handed over next, and whether one may be now.
//!
//! The queue orders by urgency, share and cost; the limits say how many prompts and answers the
//! engine may have at a time. Suspects wait until they may run (`trials`).

use model::{Class, Micros};
use policy::cost::Cost;
use policy::quarantine::Verdict;
use policy::queue::{Job, JobKey};
use prefix::Index;

use super::{Decide, Granted, RunKey, Running, State, Waiting};
use crate::crash_report;
use crate::settings::Kind;

impl<G> Decide<G> {
    /// The next request whose turn has come.
    pub fn next(&mut self, now: Micros) -> Option<Granted<G>> {
        if !self.has_room(now) {
            // A claim of what can't run would hold others up.
            self.trials.retain(|_| false);
            return None;
        }
        let job = self.pop(now)?;
        let w = job.payload;
        let suspect = self.standing(now, &w.work) == Verdict::Suspect;
        // Blocks may have been computed or evicted while it waited. What is only expected doesn't
        // count: its own blocks are among that since it came, and a prompt that seems to need no
        // computing is measured as none.
        let blocks = (w.work.chain.len() as u32).saturating_sub(self.index.held(&w.marks));
        let prefill = self.cost.prefill(blocks);
        let run = self.running.insert(Running {
            work: job.work,
            prefill,
            blocks,
            handed: now,
            prefilling: self.kind == Kind::Model,
            suspect,
            class: job.class,
            stream: w.work.stream,
            first: None,
            struck: w.work.strikes > 0,
            print: crash_report::fingerprint(w.work.fingerprint),
        });
        self.until = self.until.max(now) + prefill;
        self.busy.set(now, self.computing());
        Some(Granted {
            run: RunKey(run),
            grant: w.grant,
        })
    }

    /// Takes out a request whose caller went away.
    pub fn abandon(&mut self, key: JobKey) {
        self.queue.remove(key);
    }

    fn pop(&mut self, now: Micros) -> Option<Job<Waiting<G>>> {
        loop {
            if let Some(job) = self.release(now) {
                return Some(job);
            }
            let (index, cost, kind) = (&self.index, &self.cost, self.kind);
            let job = self.queue.pop_by(|job| today(kind, index, cost, job))?;
            if self.standing(now, &job.payload.work) == Verdict::Clear {
                return Some(job);
            }
            self.held.push_back(job);
        }
    }

    fn has_room(&mut self, now: Micros) -> bool {
        // The first byte of an answer that isn't streamed says nothing of its prefill, which is
        // taken to end when it should.
        for (_, r) in &mut self.running {
            r.prefilling &= r.stream || now < r.handed + r.prefill;
        }
        self.rest(now);
        let running = self.running.len();
        let free = match self.kind {
            Kind::Plain => true,
            Kind::Model => {
                self.prefills.allows(self.prefilling()) && self.runs.allows(running as u32)
            }
        };
        self.state == State::Serving && running < self.slots && free
    }

    /// The class of the prompt that was handed over last of those being computed.
    fn computing(&self) -> Option<Class> {
        let all = self.running.iter().map(|(_, r)| r);
        let last = all.filter(|r| r.prefilling).max_by_key(|r| r.handed);
        last.map(|r| r.class)
    }
}

/// What a waiting request would take now.
pub(super) fn today<G>(kind: Kind, index: &Index, cost: &Cost, job: &Job<Waiting<G>>) -> Micros {
    let Waiting { work, marks, .. } = &job.payload;
    let missing = (work.chain.len() as u32).saturating_sub(index.held(marks));
    match kind {
        Kind::Model => cost.work(missing, work.output),
        Kind::Plain => job.work,
    }
}
