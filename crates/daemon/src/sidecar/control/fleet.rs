//! The control thread's messages with the rest of the fleet: probes from entries, reports of
//! requests that crash targets, and the configuration in force.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use model::Micros;
use policy::contact::Query;
use policy::trial::Claim;
use wire::{Findings, Inquiry, Message, Offer, Packet, Peer, Probe, Suspect};

use super::Control;
use crate::clock;
use crate::crash_report::{self, CrashReport};
use crate::log;
use crate::meter;
use crate::policy_configs::PolicyConfigs;
use crate::sidecar::probe;
use crate::sidecar::scheduler::{Finding, RunKey};

/// Maximum number of sidecars in an answer to an inquiry; together with the findings they fit into a
/// datagram.
const MAX_REPORTED_PEERS: usize = 8;

impl Control {
    /// Handles a sealed datagram; returns the sealed answer, if there is one.
    pub(super) fn handle_packet(&mut self, bytes: &Bytes) -> Option<Bytes> {
        match Packet::open(bytes, &self.keys) {
            Ok(Message::Probe(p)) => Packet::seal(self.answer_probe(p), &self.keys).ok(),
            Ok(Message::Inquiry(i)) => Packet::seal(self.answer_inquiry(i), &self.keys).ok(),
            Ok(Message::Findings(f)) => {
                self.receive_findings(f);
                None
            }
            Ok(Message::Offer(_)) | Err(_) => {
                metrics::counter!(meter::PROBE_FAULTS).increment(1);
                None
            }
        }
    }

    fn answer_probe(&mut self, p: Probe) -> Offer {
        let request = probe::request(p);
        let answer = self.scheduler.answer_probe(clock::now(), &request);
        Offer {
            id: request.probe_id,
            incarnation: self.incarnation,
            engine: self.scheduler.incarnation().0,
            ..probe::offer(&answer, self.scheduler.state())
        }
    }

    /// Returns the next inquiry about suspects, sealed, and the addresses of the sidecars to send
    /// it to.
    pub(super) fn next_inquiry(&mut self) -> Option<(Bytes, Vec<SocketAddr>)> {
        let now = clock::now();
        let step = self.scheduler.next_query(now)?;
        let suspects = step.claims.iter().map(|c| Suspect {
            fingerprint: c.fingerprint.body as u64,
            rank: c.rank,
            crashes: self.scheduler.crashes(now, c.fingerprint.body as u64),
        });
        let inquiry = Inquiry {
            from: self.rank,
            round: step.query.round,
            sent: step.query.sent.0,
            suspects: suspects.collect(),
        };
        metrics::counter!(meter::INQUIRIES).increment(step.peers.len() as u64);
        let peers = step.peers.iter().filter_map(|k| self.peers.address(k));
        let peers = peers.collect();
        Some((Packet::seal(inquiry, &self.keys).ok()?, peers))
    }

    /// Answers another sidecar's claims on suspects.
    fn answer_inquiry(&mut self, i: Inquiry) -> Findings {
        let now = clock::now();
        let mut findings = Vec::with_capacity(i.suspects.len());
        for s in &i.suspects {
            let report = self
                .scheduler
                .record_crashes(now, s.fingerprint, &s.crashes);
            self.report_conviction(now, report);
            let claim = Claim {
                fingerprint: crash_report::fingerprint(s.fingerprint),
                rank: s.rank,
            };
            let f = self.scheduler.answer_claim(now, i.from, claim);
            findings.push(wire::Finding {
                fingerprint: f.fingerprint,
                crashes: f.crashes,
                busy: f.busy,
                good: f.good,
            });
        }
        let newest = self.peers.newest(MAX_REPORTED_PEERS);
        let newest = newest.into_iter().map(|(rank, address)| Peer {
            rank,
            address: address.to_string(),
        });
        Findings {
            from: self.rank,
            round: i.round,
            sent: i.sent,
            findings,
            peers: newest.collect(),
        }
    }

    /// Records another sidecar's answer.
    fn receive_findings(&mut self, f: Findings) {
        let now = clock::now();
        self.add_reported_peers(now, &f.peers);
        let query = Query {
            round: f.round,
            sent: Micros(f.sent),
        };
        for finding in f.findings {
            let finding = Finding {
                fingerprint: finding.fingerprint,
                crashes: finding.crashes,
                busy: finding.busy,
                good: finding.good,
            };
            let report = self.scheduler.receive_finding(now, f.from, query, &finding);
            self.report_conviction(now, report);
        }
    }

    /// Reports a request to the fleet if crashes here and elsewhere convict it.
    fn report_conviction(&mut self, now: Micros, report: Option<CrashReport>) {
        let Some(report) = report else { return };
        spdlog::warn!(
            logger: log::sidecar(),
            "request {:016x} is convicted by crashes of several targets", report.fingerprint
        );
        self.crash_report_updates.add(now, report);
    }

    /// Adds sidecars of the pool that another process lists.
    pub(super) fn add_reported_peers(&mut self, now: Micros, peers: &[Peer]) {
        let mut changed = false;
        for p in peers.iter().filter(|p| p.rank != self.rank) {
            match p.address.parse() {
                Ok(address) => changed |= self.peers.report(now, p.rank, address),
                Err(e) => spdlog::warn!(
                    logger: log::sidecar(),
                    "reported sidecar has the malformed address {:?}: {e}", p.address
                ),
            }
        }
        if changed {
            self.scheduler.set_peers(self.peers.keys());
        }
    }

    /// Updates the sidecars of the pool if the view of the fleet has changed.
    pub(super) fn update_peers(&mut self) {
        let view = self.view.load_full();
        if Arc::ptr_eq(&view, &self.last_view) {
            if self.peers.expire(clock::now()) {
                self.scheduler.set_peers(self.peers.keys());
            }
            return;
        }
        let pool = view.world.pool(&self.pool);
        let targets = pool.into_iter().flat_map(|p| view.world.pool_targets(p));
        let peers = targets.map(|(_, t)| (t.rank, t.probe));
        self.peers
            .set_listed(peers.filter(|(rank, _)| *rank != self.rank));
        self.scheduler.set_peers(self.peers.keys());
        self.last_view = view;
    }

    pub(super) fn record_crash(&mut self, now: Micros, run: RunKey) {
        let Some(report) = self.scheduler.record_crash(now, run) else {
            return;
        };
        spdlog::warn!(
            logger: log::sidecar(),
            "target died under request {:016x}, convicted: {}", report.fingerprint, report.convicted
        );
        self.crash_report_updates.add(now, report);
    }

    /// Records the crash reports that other processes have spread.
    pub(super) fn receive_crash_reports(&mut self) {
        let now = clock::now();
        while let Some(c) = self.membership.take_conviction() {
            let report = CrashReport::decode(c.fingerprint);
            if self.scheduler.receive_crash_report(now, report, c.until) {
                // Two copies sent at the same time crashed one target each, and perhaps no other
                // process has received both reports.
                let convicted = true;
                self.crash_report_updates.add(
                    now,
                    CrashReport {
                        convicted,
                        ..report
                    },
                );
            }
        }
    }

    /// Applies the configuration if another version has come into force.
    pub(super) fn apply_configuration(&mut self) {
        let view = self.view.load();
        if view.version == self.version {
            return;
        }
        self.version = view.version;
        if let Some(rules) = &view.rules {
            let config = rules.config();
            let pool_limit = config.pool.get(&self.pool).and_then(|p| p.concurrency);
            self.scheduler
                .tune(&PolicyConfigs::from(config), pool_limit);
        }
    }
}
