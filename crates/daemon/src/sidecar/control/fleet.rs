//! The control thread's dealings with the fleet: entries' probes, marks of requests that crash
//! targets, the configuration in force.

use bytes::Bytes;
use model::Micros;
use wire::{Message, Offer, Packet, Probe};

use super::Control;
use crate::clock;
use crate::log;
use crate::mark::Mark;
use crate::meter;
use crate::sidecar::decide::RunKey;
use crate::sidecar::probe;
use crate::tune::Tuning;

impl Control {
    /// The sealed offer to a sealed probe.
    pub(super) fn packet(&mut self, bytes: &Bytes) -> Option<Bytes> {
        match Packet::open(bytes, &self.keys) {
            Ok(Message::Probe(p)) => Packet::seal(self.offer(p), &self.keys).ok(),
            _ => {
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

    pub(super) fn crashed(&mut self, now: Micros, run: RunKey) {
        let Some(mark) = self.decide.crashed(now, run) else {
            return;
        };
        spdlog::warn!(
            logger: log::sidecar(),
            "target died under request {:016x}, convicted: {}", mark.print, mark.convicted
        );
        self.news.spread(now, mark);
    }

    /// Takes over what other processes found of requests.
    pub(super) fn marks(&mut self) {
        let now = clock::now();
        while let Some(c) = self.members.convicted() {
            let mark = Mark::decode(c.fingerprint);
            if self.decide.told(now, mark, c.until) {
                // Two sent at the same moment crashed one target each, and nobody else may have
                // heard of both.
                let convicted = true;
                self.news.spread(now, Mark { convicted, ..mark });
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
            self.decide.tune(&Tuning::from(config), most);
        }
    }
}
