//! Suspects: which request that may crash its engine runs, and when.
//!
//! Two of them beside one another would both be convicted by one's crash, so that one runs at a time here.
//! One that runs at two engines may crash both, so that its runs are claimed in the whole pool
//! (`policy::trial`).

use model::Micros;
use policy::contact::Query;
use policy::quarantine::{Fingerprint, Verdict};
use policy::queue::Job;
use policy::trial::{Claim, Step};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Decide, Finding, RunKey, Running, Waiting, Work};
use crate::crash_report::{self, CrashReport};

/// Age up to which a run may still crash its engine at its beginning.
const YOUNG: Micros = Micros::from_secs(2);
/// The same of a run whose engine has sent nothing yet.
const UNSEEN: Micros = Micros::from_secs(5);

impl Running {
    /// Whether the run may still crash its engine at its beginning.
    fn may_crash(&self, now: Micros) -> bool {
        let age = now.since(self.handed);
        age < YOUNG || (self.first.is_none() && age < UNSEEN)
    }
}

impl<G> Decide<G> {
    /// Takes over which other sidecars the pool has.
    pub fn set_peers(&mut self, peers: Vec<u64>) {
        self.peers = peers;
    }

    /// The suspects that were convicted while they waited.
    pub fn rejected(&mut self) -> Vec<G> {
        std::mem::take(&mut self.rejected)
    }

    /// The next question to the other sidecars, if one is to be asked.
    pub fn inquire(&mut self, now: Micros) -> Option<Step<u64>> {
        self.trials.step(now, &self.peers)
    }

    /// Names of the crashes that are held against a request.
    pub fn crashes(&self, now: Micros, fingerprint: u64) -> Vec<u64> {
        crash_report::crash_ids(
            &self.quarantine,
            now,
            crash_report::fingerprint(fingerprint),
        )
    }

    /// Counts crashes by their names; gives the mark to report to the fleet if they convict.
    pub fn learn(&mut self, now: Micros, fingerprint: u64, crashes: &[u64]) -> Option<CrashReport> {
        let before = self.verdict(now, fingerprint);
        let print = crash_report::fingerprint(fingerprint);
        let mut last = None;
        for crash in crashes.iter().copied().filter(|c| *c != 0) {
            let verdict = crash_report::record_crash(&mut self.quarantine, now, print, crash);
            last = Some((crash, verdict));
        }
        let (crash, verdict) = last?;
        let convicted = verdict == Verdict::Convicted && before != verdict;
        convicted.then_some(CrashReport {
            fingerprint,
            convicted,
            crash,
        })
    }

    /// Answers another sidecar that would run a suspect, whose crashes have been learnt.
    pub fn inquired(&mut self, now: Micros, from: u64, claim: Claim) -> Finding {
        self.trials.receive(now, from, claim);
        let print = claim.fingerprint;
        let runs = |r: &Running| r.print == print && r.may_crash(now);
        let running = self.running.iter().any(|(_, r)| runs(r));
        Finding {
            print: print.body as u64,
            crashes: crash_report::crash_ids(&self.quarantine, now, print),
            busy: running || self.trials.outranks(claim),
            good: self.quarantine.recently_succeeded(now, print),
        }
    }

    /// Takes over another sidecar's answer; gives the mark to report to the fleet, if any.
    pub fn answered(
        &mut self,
        now: Micros,
        from: u64,
        ask: Query,
        f: &Finding,
    ) -> Option<CrashReport> {
        let print = crash_report::fingerprint(f.print);
        self.trials.answered(now, from, ask, print, f.busy);
        if f.good && self.verdict(now, f.print) != Verdict::Convicted {
            self.quarantine.record_success(now, print);
        }
        self.learn(now, f.print, &f.crashes)
    }

    /// The target answered a request well, so that it isn't the one that crashes targets.
    pub fn served(&mut self, now: Micros, key: RunKey) {
        let Some(run) = self.running.get(key.0) else {
            return;
        };
        if run.struck || self.quarantine.verdict(now, run.print) == Verdict::Suspect {
            self.quarantine.record_success(now, run.print);
        }
    }

    /// What is held against a request here and at its entry.
    pub(super) fn standing(&self, now: Micros, work: &Work) -> Verdict {
        let print = crash_report::fingerprint(work.fingerprint);
        match self.quarantine.verdict(now, print) {
            Verdict::Convicted => Verdict::Convicted,
            _ if self.quarantine.recently_succeeded(now, print) => Verdict::Clear,
            Verdict::Clear if work.strikes > 0 => Verdict::Suspect,
            verdict => verdict,
        }
    }

    /// A suspect that may run now.
    pub(super) fn release(&mut self, now: Micros) -> Option<Job<Waiting<G>>> {
        let mut released = None;
        let mut claimed = Vec::new();
        for _ in 0..self.held.len() {
            let Some(job) = self.held.pop_front() else {
                break;
            };
            let print = crash_report::fingerprint(job.payload.work.fingerprint);
            match self.standing(now, &job.payload.work) {
                _ if released.is_some() => self.held.push_back(job),
                Verdict::Convicted => self.rejected.push(job.payload.grant),
                Verdict::Clear => released = Some(job),
                Verdict::Suspect if self.is_alone(print) => {
                    claimed.push(print);
                    match self.may_try(now, print) {
                        true => released = Some(job),
                        false => self.held.push_back(job),
                    }
                }
                Verdict::Suspect => self.held.push_back(job),
            }
        }
        // A claim of what has to wait here would hold others up.
        self.trials.retain(|p| claimed.contains(&p));
        released
    }

    /// Whether a suspect would run beside no other one here.
    fn is_alone(&self, print: Fingerprint) -> bool {
        let mut running = self.running.iter();
        !running.any(|(_, r)| r.suspect || r.print == print)
    }

    /// Whether a suspect runs nowhere else in the pool; claims its run.
    fn may_try(&mut self, now: Micros, print: Fingerprint) -> bool {
        self.claims += 1;
        let rank = xxh3_64_with_seed(&self.member.0.to_le_bytes(), self.claims);
        self.trials.claim(now, print, rank);
        self.trials.may_run(now, print, &self.peers)
    }
}
