//! Updates to the fleet about requests that crash targets.
//!
//! Membership spreads a crash report as a rumor, and a rumor may miss a member. A member without
//! the report would let the request crash one more target, so each report is sent for several
//! rounds.

use fleet::Conviction;
use model::Micros;

use crate::crash_report::{self, CrashReport};
use crate::membership;

/// Crash reports that are still being sent.
#[derive(Debug)]
pub struct CrashReportUpdates {
    member_sender: membership::CommandSender,
    pending: Vec<Update>,
}

#[derive(Debug)]
struct Update {
    report: CrashReport,
    /// When the report is sent next.
    next_send: Micros,
    /// Number of rounds left.
    rounds_left: u32,
}

impl CrashReportUpdates {
    /// Creates an empty set of updates.
    pub fn new(member_sender: membership::CommandSender) -> Self {
        let pending = Vec::new();
        Self {
            member_sender,
            pending,
        }
    }

    /// Sends the report of a suspect or a convicted request now and in the following rounds.
    pub fn add(&mut self, now: Micros, report: CrashReport) {
        self.pending.push(Update {
            report,
            next_send: now,
            rounds_left: crash_report::REPORTS,
        });
        self.send_due(now);
    }

    /// Sends the reports that are due.
    pub fn send_due(&mut self, now: Micros) {
        for update in self.pending.iter_mut().filter(|u| u.next_send <= now) {
            update.rounds_left -= 1;
            update.next_send = now + crash_report::REPORT_INTERVAL.into();
            // A later expiry makes the report new to members that have it already, so that they
            // spread it again.
            let conviction = Conviction {
                fingerprint: update.report.encode(),
                until: now + crash_report::strike_duration(),
            };
            let _ = self
                .member_sender
                .send(membership::Command::Convict(conviction));
        }
        self.pending.retain(|u| u.rounds_left > 0);
    }
}
