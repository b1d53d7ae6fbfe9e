//! What becomes of requests at the target, and what is learnt from it: the cost of prompts, the
//! limits on concurrency, the time of a call and the rate at which work is done.

use model::Micros;
use policy::concurrency::Sample;

use super::{Decide, RunKey};

/// Stands for the gap between two tokens of an idle engine; only its multiples are compared.
const GAP: Micros = Micros::from_millis(1);
/// Weight of a new sample of a plain call's time.
const CALL_SMOOTH: f64 = 0.1;

impl<G> Decide<G> {
    /// The target sent a first byte.
    pub fn first(&mut self, now: Micros, key: RunKey) {
        let Some(r) = self.running.get_mut(key.0) else {
            return;
        };
        r.first = Some(now);
        if !std::mem::take(&mut r.prefilling) || !r.stream {
            return;
        }
        let (blocks, handed, expected) = (r.blocks, r.handed, r.prefill);
        // Engines prefill one prompt after another: this one began when the one before ended.
        let took = now.since(handed.max(self.last));
        self.last = now;
        self.cost.record(blocks, took);
        let sample = Sample {
            expected: expected.max(self.cost.prefill_per_block()),
            took: now.since(handed),
            running: self.prefilling() + 1,
        };
        self.prefills.record(now, sample);
        self.rest(now);
    }

    /// So many more events of a stream came: a sample of the gap between two tokens.
    pub fn progress(&mut self, now: Micros, key: RunKey, events: u64) {
        let running = self.running.len() as u32;
        let Some(r) = self.running.get_mut(key.0) else {
            return;
        };
        let Some(last) = r.first.replace(now).filter(|_| events > 1) else {
            return;
        };
        let sample = Sample {
            expected: Micros(GAP.0 * events),
            took: now.since(last),
            running,
        };
        self.runs.record(now, sample);
    }

    /// A request that had its turn has ended, in whatever way, after so many more events of its
    /// stream.
    pub fn finished(&mut self, now: Micros, key: RunKey, events: u64) {
        self.progress(now, key, events);
        let Some(r) = self.running.try_remove(key.0) else {
            return;
        };
        let took = now.since(r.handed).0 as f64;
        let mean = self.call.0 as f64;
        self.call = Micros((mean + (took - mean) * CALL_SMOOTH) as u64);
        self.rest(now);
        self.rate.finished(now, r.work, !self.queue.is_empty());
    }

    /// Notes that the engine computes no prompt, if so.
    pub(super) fn rest(&mut self, now: Micros) {
        if self.prefilling() == 0 {
            self.until = now;
            self.busy.set(now, None);
        }
    }

    /// Prompts being computed.
    pub(super) fn prefilling(&self) -> u32 {
        self.running.iter().filter(|(_, r)| r.prefilling).count() as u32
    }
}
