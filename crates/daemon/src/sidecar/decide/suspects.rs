//! Requests that crash targets: what is known of a request, and what the fleet is told of it.

use model::Micros;
use policy::quarantine::Verdict;

use super::{Decide, RunKey};
use crate::crash_report::{self, CrashReport};

impl<G> Decide<G> {
    /// The target died under a request; says what the fleet is to be told.
    pub fn crashed(&mut self, now: Micros, key: RunKey) -> Option<CrashReport> {
        let run = self.running.get(key.0)?;
        let (print, struck) = (run.print, run.struck);
        if struck {
            // The entry knows of a crash elsewhere of which membership hasn't told yet. Were it
            // left out, this crash would count as the first and a third target would die.
            crash_report::record_crash(&mut self.quarantine, now, print, 0);
        }
        let crash = crash_report::crash_id(self.member, self.engine);
        let verdict = crash_report::record_crash(&mut self.quarantine, now, print, crash);
        Some(CrashReport {
            fingerprint: print.body as u64,
            convicted: verdict == Verdict::Convicted,
            crash,
        })
    }

    /// Takes over what another process found of a request; true if that makes it convicted and the
    /// other one doesn't know.
    pub fn told(&mut self, now: Micros, mark: CrashReport, until: Micros) -> bool {
        let before = self.verdict(now, mark.fingerprint);
        let verdict = crash_report::apply(&mut self.quarantine, now, mark, until);
        !mark.convicted && verdict == Verdict::Convicted && before != verdict
    }

    pub(super) fn verdict(&self, now: Micros, fingerprint: u64) -> Verdict {
        self.quarantine
            .verdict(now, crash_report::fingerprint(fingerprint))
    }
}
