//! Suspects, requests that may crash targets: recording crashes and exchanging crash reports with
//! the fleet.

use model::Micros;
use policy::quarantine::Verdict;

use super::{RunKey, Scheduler};
use crate::crash_report::{self, CrashReport};

impl<G> Scheduler<G> {
    /// Records that the target crashed under a request; returns the crash report for the fleet.
    pub fn record_crash(&mut self, now: Micros, key: RunKey) -> Option<CrashReport> {
        let run = self.running.get(key.0)?;
        let (fingerprint, had_strikes) = (run.fingerprint, run.had_strikes);
        if had_strikes {
            // The entry knows of a crash elsewhere whose report hasn't arrived here yet. If it
            // didn't count, this crash would count as the first, and a third target would crash.
            crash_report::record_crash(&mut self.quarantine, now, fingerprint, 0);
        }
        let crash = crash_report::crash_id(self.member_id, self.incarnation);
        let verdict = crash_report::record_crash(&mut self.quarantine, now, fingerprint, crash);
        Some(CrashReport {
            fingerprint: fingerprint.body as u64,
            convicted: verdict == Verdict::Convicted,
            crash,
        })
    }

    /// Records another process's crash report; returns whether it convicts the request here
    /// although the report itself is no conviction.
    pub fn receive_crash_report(
        &mut self,
        now: Micros,
        report: CrashReport,
        until: Micros,
    ) -> bool {
        let before = self.verdict(now, report.fingerprint);
        let verdict = crash_report::apply(&mut self.quarantine, now, report, until);
        !report.convicted && verdict == Verdict::Convicted && before != verdict
    }

    pub(super) fn verdict(&self, now: Micros, fingerprint: u64) -> Verdict {
        self.quarantine
            .verdict(now, crash_report::fingerprint(fingerprint))
    }
}
