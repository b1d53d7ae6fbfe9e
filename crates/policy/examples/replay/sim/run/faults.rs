//! Faults in a replay, and retries of the requests that were lost.

use model::{Attempt, Micros, Outcome};
use policy::retry::Failure;

use super::{Replay, Step, NETWORK_DELAY};
use crate::sim::entry::Entry;
use crate::sim::report::End;
use crate::sim::setup::Fault;

impl Replay<'_> {
    pub(super) fn apply_fault(&mut self, now: Micros, fault: Fault) {
        match fault {
            Fault::Slow { replica, factor } => self.engines[replica].slowdown = factor,
            Fault::Entries => {
                self.entries = (0..self.setup.entries)
                    .map(|_| Entry::new(&self.targets))
                    .collect();
            }
            Fault::Crash { replica } => {
                let lost = self.engines[replica].crash();
                self.publish(now, replica);
                let queued = self.sidecars[replica].reset_after_crash();
                for i in lost {
                    // A partial answer is resumed by the daemon; the replay does not simulate that.
                    if !self.report.is_ended(i) {
                        self.retry(now, i, Outcome::Unknown);
                    }
                }
                for spec in queued {
                    self.retry(now, spec.request, Outcome::NotRun);
                }
            }
        }
    }

    /// Retries a failed request if the retry policy allows it, else ends it as lost.
    fn retry(&mut self, now: Micros, i: usize, outcome: Outcome) {
        let failure = Failure {
            attempt: Attempt(self.requests[i].attempt),
            outcome,
            idempotent: self.trace[i].idempotent,
            deadline: self.requests[i].spec.deadline,
            least: Micros::ZERO,
        };
        let entry = self.requests[i].entry;
        match self.entries[entry].budget.allow_retry(now, &failure) {
            Ok(()) => {
                self.requests[i].attempt += 1;
                self.push(now + NETWORK_DELAY[0], Step::Arrive(i));
            }
            Err(_) => self.report.end(i, End::Lost),
        }
    }
}
