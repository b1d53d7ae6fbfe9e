//! What other entries have reported on a pool.
//!
//! The sums are kept when a report arrives or expires, so that nothing is summed for a request.

use std::collections::BTreeMap;

use model::Micros;

use super::{FlowKey, Report};

/// The reports of other entries.
#[derive(Debug, Default)]
pub(super) struct Peers {
    reports: BTreeMap<u64, (Micros, Report)>,
    offered: BTreeMap<FlowKey, u64>,
    admitted: u64,
    first_at: Option<Micros>,
    last_at: Micros,
    /// This entry's part of the demand when the last report arrived.
    part: f64,
    /// Number of other entries, whether they report or not.
    listed: usize,
}

impl Peers {
    /// Records a report; `own` is what this entry is offered.
    pub(super) fn receive(&mut self, now: Micros, report: Report, own: f64) {
        let known = self.reports.get(&report.process);
        if known.is_some_and(|(_, k)| k.sent >= report.sent) {
            return;
        }
        self.remove(report.process);
        for flow in &report.flows {
            *self.offered.entry(flow.key).or_default() += flow.offered;
            self.admitted += flow.admitted;
        }
        self.reports.insert(report.process, (now, report));
        self.first_at.get_or_insert(now);
        self.last_at = now;
        let others: u64 = self.offered.values().sum();
        self.part = own / (own + others as f64).max(1.0);
    }

    /// Sets the number of other entries, whether they report or not.
    pub(super) fn set_listed(&mut self, listed: usize) {
        self.listed = listed;
    }

    /// The number of other entries that was set.
    pub(super) fn listed(&self) -> usize {
        self.listed
    }

    fn remove(&mut self, process: u64) {
        let Some((_, report)) = self.reports.remove(&process) else {
            return;
        };
        for flow in &report.flows {
            if let Some(sum) = self.offered.get_mut(&flow.key) {
                *sum -= flow.offered;
                if *sum == 0 {
                    self.offered.remove(&flow.key);
                }
            }
            self.admitted -= flow.admitted;
        }
    }

    /// Removes reports that are too old. Their age counts from the last report of any entry: if none
    /// arrives, this entry is cut off, and all of them count until the last one expires.
    pub(super) fn expire(&mut self, now: Micros, lifetime: Micros) {
        let until = match now.since(self.last_at) > lifetime {
            true => now,
            false => self.last_at,
        };
        let expired = self.reports.iter();
        let expired = expired.filter(|(_, (at, _))| until.since(*at) > lifetime);
        for process in expired.map(|(p, _)| *p).collect::<Vec<_>>() {
            self.remove(process);
        }
    }

    /// Number of entries with a valid report.
    pub(super) fn len(&self) -> usize {
        self.reports.len()
    }

    /// Whether this entry knows enough to refuse requests: it has received reports for an interval,
    /// or has waited for them for so long that there are no others.
    pub(super) fn may_decide(&self, now: Micros, started: Micros, interval: Micros) -> bool {
        match self.first_at {
            Some(at) => now.since(at) >= interval,
            None => now.since(started).0 >= interval.0 * 3,
        }
    }

    /// The part of the capacity that is for the entries whose demand is known. An entry that is cut
    /// off leaves the others their last part, but has at least an equal one.
    pub(super) fn part(&self) -> f64 {
        match self.first_at {
            Some(_) if self.reports.is_empty() => self.part.max(1.0 / (self.listed + 1) as f64),
            _ => 1.0,
        }
    }

    /// Sums of the tokens served, the requests picked, and those that waited.
    pub(super) fn sums(&self) -> (f64, f64, f64) {
        let reports = self.reports.values().map(|(_, r)| r);
        reports.fold((0.0, 0.0, 0.0), |(served, picked, waited), r| {
            (served + r.served, picked + r.picked, waited + r.waited)
        })
    }

    /// Tokens per second offered to other entries, by flow.
    pub(super) fn offered(&self) -> &BTreeMap<FlowKey, u64> {
        &self.offered
    }

    /// Tokens per second admitted by other entries.
    pub(super) fn admitted(&self) -> u64 {
        self.admitted
    }

    /// Mean of the capacities that this and other entries have observed. One that has just started
    /// takes the mean of the others, if most of them know it.
    pub(super) fn mean_capacity(&self, own: Option<f64>) -> Option<f64> {
        let reported = self.reports.values().filter_map(|(_, r)| r.capacity);
        let known: Vec<_> = reported.chain(own).collect();
        let enough = own.is_some() || known.len() * 2 > self.reports.len();
        (enough && !known.is_empty()).then(|| known.iter().sum::<f64>() / known.len() as f64)
    }
}
