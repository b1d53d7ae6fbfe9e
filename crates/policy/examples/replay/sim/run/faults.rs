//! What goes wrong in a replay, and what is tried again.

use model::{Attempt, Micros, Outcome};
use policy::retry::Failure;

use super::{Replay, Step, WAY};
use crate::sim::entry::Entry;
use crate::sim::report::End;
use crate::sim::setup::Fault;

impl Replay<'_> {
    pub(super) fn fault(&mut self, now: Micros, fault: Fault) {
        match fault {
            Fault::Slow { replica, factor } => self.engines[replica].slow = factor,
            Fault::Entries => {
                self.entries = (0..self.setup.entries)
                    .map(|_| Entry::new(&self.targets))
                    .collect();
            }
            Fault::Crash { replica } => {
                let lost = self.engines[replica].crash();
                self.publish(now, replica);
                let queued = self.sidecars[replica].crashed();
                for i in lost {
                    // What was answered in part is resumed; that isn't replayed here.
                    if !self.report.is_ended(i) {
                        self.again(now, i, Outcome::Unknown);
                    }
                }
                for ask in queued {
                    self.again(now, ask.request, Outcome::NotRun);
                }
            }
        }
    }

    fn again(&mut self, now: Micros, i: usize, outcome: Outcome) {
        let failure = Failure {
            attempt: Attempt(self.live[i].attempt),
            outcome,
            idempotent: self.trace[i].idempotent,
            deadline: self.live[i].ask.deadline,
            least: Micros::ZERO,
        };
        let entry = self.live[i].entry;
        match self.entries[entry].budget.allow_retry(now, &failure) {
            Ok(()) => {
                self.live[i].attempt += 1;
                self.push(now + WAY[0], Step::Arrive(i));
            }
            Err(_) => self.report.end(i, End::Lost),
        }
    }
}
