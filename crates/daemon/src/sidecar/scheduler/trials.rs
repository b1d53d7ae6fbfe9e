//! Trials: which suspect, a request that may crash its target, runs and when.
//!
//! If two suspects ran side by side, the crash caused by one would convict both, so only one runs
//! at a time here. A suspect that ran at two engines could crash both, so its runs are claimed in
//! the whole pool (`policy::trial`).

use model::Micros;
use policy::contact::Query;
use policy::quarantine::{Fingerprint, Verdict};
use policy::queue::Job;
use policy::trial::{Claim, Step};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Finding, RequestSpec, RunKey, Running, Scheduler, Waiting};
use crate::crash_report::{self, CrashReport};

/// Age up to which a run may still crash its engine at the start.
const CRASH_AGE: Micros = Micros::from_secs(2);
/// The same age for a run whose engine hasn't sent anything yet.
const CRASH_AGE_WITHOUT_OUTPUT: Micros = Micros::from_secs(5);

impl Running {
    /// Whether the run may still crash its engine at the start.
    fn may_crash(&self, now: Micros) -> bool {
        let age = now.since(self.dispatched);
        age < CRASH_AGE || (self.last_output.is_none() && age < CRASH_AGE_WITHOUT_OUTPUT)
    }
}

impl<G> Scheduler<G> {
    /// Sets the ranks of the pool's other targets.
    pub fn set_peers(&mut self, peers: Vec<u64>) {
        self.peers = peers;
    }

    /// Removes and returns the suspects that were convicted while they waited.
    pub fn take_rejected(&mut self) -> Vec<G> {
        std::mem::take(&mut self.rejected)
    }

    /// Returns the next query to the other sidecars if one is due.
    pub fn next_query(&mut self, now: Micros) -> Option<Step<u64>> {
        self.trials.step(now, &self.peers)
    }

    /// IDs of the crashes recorded for a request.
    pub fn crashes(&self, now: Micros, fingerprint: u64) -> Vec<u64> {
        crash_report::crash_ids(
            &self.quarantine,
            now,
            crash_report::fingerprint(fingerprint),
        )
    }

    /// Records crashes by their IDs; returns the crash report for the fleet if they convict the
    /// request.
    pub fn record_crashes(
        &mut self,
        now: Micros,
        fingerprint: u64,
        crashes: &[u64],
    ) -> Option<CrashReport> {
        let before = self.verdict(now, fingerprint);
        let key = crash_report::fingerprint(fingerprint);
        let mut last = None;
        for crash_id in crashes.iter().copied().filter(|c| *c != 0) {
            let verdict = crash_report::record_crash(&mut self.quarantine, now, key, crash_id);
            last = Some((crash_id, verdict));
        }
        let (crash_id, verdict) = last?;
        let convicted = verdict == Verdict::Convicted && before != verdict;
        convicted.then_some(CrashReport {
            fingerprint,
            convicted,
            crash: crash_id,
        })
    }

    /// Answers another sidecar's claim on a suspect. The crashes sent with the claim must have been
    /// recorded before.
    pub fn answer_claim(&mut self, now: Micros, from: u64, claim: Claim) -> Finding {
        self.trials.receive(now, from, claim);
        let fingerprint = claim.fingerprint;
        let runs = |r: &Running| r.fingerprint == fingerprint && r.may_crash(now);
        let running = self.running.iter().any(|(_, r)| runs(r));
        Finding {
            fingerprint: fingerprint.body as u64,
            crashes: crash_report::crash_ids(&self.quarantine, now, fingerprint),
            busy: running || self.trials.outranks(claim),
            good: self.quarantine.recently_succeeded(now, fingerprint),
        }
    }

    /// Records another sidecar's answer; returns the crash report for the fleet, if any.
    pub fn receive_finding(
        &mut self,
        now: Micros,
        from: u64,
        query: Query,
        finding: &Finding,
    ) -> Option<CrashReport> {
        let fingerprint = crash_report::fingerprint(finding.fingerprint);
        self.trials
            .answered(now, from, query, fingerprint, finding.busy);
        if finding.good && self.verdict(now, finding.fingerprint) != Verdict::Convicted {
            self.quarantine.record_success(now, fingerprint);
        }
        self.record_crashes(now, finding.fingerprint, &finding.crashes)
    }

    /// Clears a suspect that the target has answered successfully: it isn't the one that crashes
    /// targets.
    pub fn record_success(&mut self, now: Micros, key: RunKey) {
        let Some(run) = self.running.get(key.0) else {
            return;
        };
        if run.had_strikes || self.quarantine.verdict(now, run.fingerprint) == Verdict::Suspect {
            self.quarantine.record_success(now, run.fingerprint);
        }
    }

    /// Verdict on a request from the crashes recorded here and at its entry.
    pub(super) fn request_verdict(&self, now: Micros, request: &RequestSpec) -> Verdict {
        let fingerprint = crash_report::fingerprint(request.fingerprint);
        match self.quarantine.verdict(now, fingerprint) {
            Verdict::Convicted => Verdict::Convicted,
            _ if self.quarantine.recently_succeeded(now, fingerprint) => Verdict::Clear,
            Verdict::Clear if request.strikes > 0 => Verdict::Suspect,
            verdict => verdict,
        }
    }

    /// Removes and returns a suspect that may run now.
    pub(super) fn next_suspect(&mut self, now: Micros) -> Option<Job<Waiting<G>>> {
        let mut released = None;
        let mut claimed = Vec::new();
        for _ in 0..self.held_suspects.len() {
            let Some(job) = self.held_suspects.pop_front() else {
                break;
            };
            let fingerprint = crash_report::fingerprint(job.payload.request.fingerprint);
            match self.request_verdict(now, &job.payload.request) {
                _ if released.is_some() => self.held_suspects.push_back(job),
                Verdict::Convicted => self.rejected.push(job.payload.grant),
                Verdict::Clear => released = Some(job),
                Verdict::Suspect if self.is_alone(fingerprint) => {
                    claimed.push(fingerprint);
                    match self.claim_run(now, fingerprint) {
                        true => released = Some(job),
                        false => self.held_suspects.push_back(job),
                    }
                }
                Verdict::Suspect => self.held_suspects.push_back(job),
            }
        }
        // A claim of a run that has to wait here would only delay other sidecars.
        self.trials.retain(|f| claimed.contains(&f));
        released
    }

    /// Whether no other suspect and no run with the same fingerprint is at the target.
    fn is_alone(&self, fingerprint: Fingerprint) -> bool {
        let mut running = self.running.iter();
        !running.any(|(_, r)| r.is_suspect || r.fingerprint == fingerprint)
    }

    /// Claims the run of a suspect; returns whether it may start, because it runs nowhere else in
    /// the pool.
    fn claim_run(&mut self, now: Micros, fingerprint: Fingerprint) -> bool {
        self.claim_count += 1;
        let rank = xxh3_64_with_seed(&self.member_id.0.to_le_bytes(), self.claim_count);
        self.trials.claim(now, fingerprint, rank);
        self.trials.may_run(now, fingerprint, &self.peers)
    }
}
