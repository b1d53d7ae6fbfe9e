//! The control thread's dealings with the fleet: entries' probes, marks of requests that crash
//! targets, the configuration in force.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use model::Micros;
use policy::contact::Query;
use policy::trial::Claim;
use wire::{Findings, Inquiry, Message, Offer, Packet, Probe, Suspect};

use super::Control;
use crate::clock;
use crate::crash_report::{self, CrashReport};
use crate::log;
use crate::meter;
use crate::policy_configs::PolicyConfigs;
use crate::sidecar::decide::{Finding, RunKey};
use crate::sidecar::probe;

impl Control {
    /// Takes a sealed datagram; gives the sealed answer, if there is one.
    pub(super) fn packet(&mut self, bytes: &Bytes) -> Option<Bytes> {
        match Packet::open(bytes, &self.keys) {
            Ok(Message::Probe(p)) => Packet::seal(self.offer(p), &self.keys).ok(),
            Ok(Message::Inquiry(i)) => Packet::seal(self.inquired(i), &self.keys).ok(),
            Ok(Message::Findings(f)) => {
                self.findings(f);
                None
            }
            Ok(Message::Offer(_)) | Err(_) => {
                metrics::counter!(meter::PROBE_FAULTS).increment(1);
                None
            }
        }
    }

    fn offer(&mut self, p: Probe) -> Offer {
        let question = probe::question(p);
        let told = self.decide.offer(clock::now(), &question);
        Offer {
            id: question.probe,
            incarnation: self.life,
            engine: self.decide.life().0,
            ..probe::offer(&told, self.decide.state())
        }
    }

    /// The next question about suspects, sealed, and the sidecars to ask.
    pub(super) fn inquiry(&mut self) -> Option<(Bytes, Vec<SocketAddr>)> {
        let now = clock::now();
        let step = self.decide.inquire(now)?;
        let suspects = step.claims.iter().map(|c| Suspect {
            fingerprint: c.fingerprint.body as u64,
            rank: c.rank,
            crashes: self.decide.crashes(now, c.fingerprint.body as u64),
        });
        let inquiry = Inquiry {
            from: self.rank,
            round: step.query.round,
            sent: step.query.sent.0,
            suspects: suspects.collect(),
        };
        metrics::counter!(meter::INQUIRIES).increment(step.peers.len() as u64);
        let peers = step.peers.iter().filter_map(|k| self.peers.get(k));
        let peers = peers.copied().collect();
        Some((Packet::seal(inquiry, &self.keys).ok()?, peers))
    }

    /// Answers another sidecar that would run suspects.
    fn inquired(&mut self, i: Inquiry) -> Findings {
        let now = clock::now();
        let mut findings = Vec::with_capacity(i.suspects.len());
        for s in &i.suspects {
            let mark = self.decide.learn(now, s.fingerprint, &s.crashes);
            self.convicted(now, mark);
            let claim = Claim {
                fingerprint: crash_report::fingerprint(s.fingerprint),
                rank: s.rank,
            };
            let f = self.decide.inquired(now, i.from, claim);
            findings.push(wire::Finding {
                fingerprint: f.print,
                crashes: f.crashes,
                busy: f.busy,
                good: f.good,
            });
        }
        Findings {
            from: self.rank,
            round: i.round,
            sent: i.sent,
            findings,
        }
    }

    /// Takes over another sidecar's answer.
    fn findings(&mut self, f: Findings) {
        let now = clock::now();
        let ask = Query {
            round: f.round,
            sent: Micros(f.sent),
        };
        for finding in f.findings {
            let finding = Finding {
                print: finding.fingerprint,
                crashes: finding.crashes,
                busy: finding.busy,
                good: finding.good,
            };
            let mark = self.decide.answered(now, f.from, ask, &finding);
            self.convicted(now, mark);
        }
    }

    /// Reports a request to the fleet that crashes here and elsewhere convict.
    fn convicted(&mut self, now: Micros, mark: Option<CrashReport>) {
        let Some(mark) = mark else { return };
        spdlog::warn!(
            logger: log::sidecar(),
            "request {:016x} is convicted by crashes of several targets", mark.fingerprint
        );
        self.news.spread(now, mark);
    }

    /// Takes over which sidecars the pool has.
    pub(super) fn follow(&mut self) {
        let view = self.view.load_full();
        if Arc::ptr_eq(&view, &self.seen) {
            return;
        }
        let pool = view.world.pool(&self.pool);
        let targets = pool.into_iter().flat_map(|p| view.world.pool_targets(p));
        let peers = targets.map(|(_, t)| (t.rank, t.probe));
        self.peers = peers.filter(|(rank, _)| *rank != self.rank).collect();
        self.decide.set_peers(self.peers.keys().copied().collect());
        self.seen = view;
    }

    pub(super) fn crashed(&mut self, now: Micros, run: RunKey) {
        let Some(mark) = self.decide.crashed(now, run) else {
            return;
        };
        spdlog::warn!(
            logger: log::sidecar(),
            "target died under request {:016x}, convicted: {}", mark.fingerprint, mark.convicted
        );
        self.news.spread(now, mark);
    }

    /// Takes over what other processes found of requests.
    pub(super) fn marks(&mut self) {
        let now = clock::now();
        while let Some(c) = self.members.take_conviction() {
            let mark = CrashReport::decode(c.fingerprint);
            if self.decide.told(now, mark, c.until) {
                // Two sent at the same moment crashed one target each, and nobody else may have
                // heard of both.
                let convicted = true;
                self.news.spread(now, CrashReport { convicted, ..mark });
            }
        }
    }

    /// Follows a configuration that has come into force.
    pub(super) fn tune(&mut self) {
        let view = self.view.load();
        if view.version == self.version {
            return;
        }
        self.version = view.version;
        if let Some(rules) = &view.rules {
            let config = rules.config();
            let most = config.pool.get(&self.pool).and_then(|p| p.concurrency);
            self.decide.tune(&PolicyConfigs::from(config), most);
        }
    }
}
