//! Requests at the target and what is learned from them: the cost of prompts, the limits on
//! concurrency, the mean service time and the drain rate of the queue.

use model::Micros;
use policy::concurrency::Sample;

use super::{RunKey, Scheduler};

/// Stands for the gap between two tokens of an idle engine; only multiples of it are compared.
const UNIT_GAP: Micros = Micros::from_millis(1);
/// Weight of a new sample in the mean service time.
const SERVICE_TIME_SMOOTHING: f64 = 0.1;

impl<G> Scheduler<G> {
    /// Records the first byte of an answer.
    pub fn first_byte(&mut self, now: Micros, key: RunKey) {
        let Some(r) = self.running.get_mut(key.0) else {
            return;
        };
        r.last_output = Some(now);
        if !std::mem::take(&mut r.prefilling) || !r.is_stream {
            return;
        }
        let (blocks, dispatched, expected) = (r.blocks, r.dispatched, r.prefill);
        // Engines prefill one prompt after another: this prefill started when the previous one
        // ended.
        let took = now.since(dispatched.max(self.last_first_token));
        self.last_first_token = now;
        self.cost.record(blocks, took);
        let sample = Sample {
            expected: expected.max(self.cost.prefill_per_block()),
            took: now.since(dispatched),
            running: self.prefilling() + 1,
        };
        self.prefill_limit.record(now, sample);
        self.update_idle(now);
    }

    /// Records that more events of a stream arrived: a sample of the gap between two tokens.
    pub fn progress(&mut self, now: Micros, key: RunKey, events: u64) {
        let running = self.running.len() as u32;
        let Some(r) = self.running.get_mut(key.0) else {
            return;
        };
        let Some(last) = r.last_output.replace(now).filter(|_| events > 1) else {
            return;
        };
        let sample = Sample {
            expected: Micros(UNIT_GAP.0 * events),
            took: now.since(last),
            running,
        };
        self.run_limit.record(now, sample);
    }

    /// Records that a dispatched request has ended, whatever its outcome, after `events` more
    /// events of its stream.
    pub fn finished(&mut self, now: Micros, key: RunKey, events: u64) {
        self.progress(now, key, events);
        let Some(r) = self.running.try_remove(key.0) else {
            return;
        };
        let took = now.since(r.dispatched).0 as f64;
        let mean = self.mean_service_time.0 as f64;
        self.mean_service_time = Micros((mean + (took - mean) * SERVICE_TIME_SMOOTHING) as u64);
        self.update_idle(now);
        self.drain_rate
            .finished(now, r.engine_time, !self.queue.is_empty());
    }

    /// Records that the engine is idle if it computes no prompt.
    pub(super) fn update_idle(&mut self, now: Micros) {
        if self.prefilling() == 0 {
            self.prefills_end = now;
            self.utilization.set(now, None);
        }
    }

    /// Number of prompts being computed.
    pub(super) fn prefilling(&self) -> u32 {
        self.running.iter().filter(|(_, r)| r.prefilling).count() as u32
    }
}
