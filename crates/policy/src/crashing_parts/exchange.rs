//! Messages to and from the other entries.

use std::collections::HashSet;
use std::net::SocketAddr;

use model::Micros;

use super::outbox::Item;
use super::{ConvictedPart, CrashingParts, Message, PartKey, MAX_PARTS};

/// Interval per entry at which all convictions are sent again.
const SYNC_INTERVAL: Micros = Micros::from_millis(500);
/// Time after the start in which an entry asks the others for their convictions.
const ASK_PERIOD: Micros = Micros::from_secs(4);
/// Interval of these questions.
const ASK_INTERVAL: Micros = Micros::from_millis(300);

impl CrashingParts {
    /// Sets the other entries.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = SocketAddr>) {
        let peers: HashSet<_> = peers.into_iter().collect();
        let is_new = peers.difference(&self.peers).next().is_some();
        self.peers = peers;
        if is_new {
            self.synced_at = None;
            self.asked_at = None;
        }
    }

    /// Messages to all other entries that are due now.
    pub fn poll(&mut self, now: Micros) -> Vec<Message> {
        self.expire(now);
        self.decide(now);
        let mut messages = self.due_items(now);
        let interval = self.sync_interval();
        let is_synced = self.synced_at.is_some_and(|at| now.since(at) < interval);
        if !self.convicted.is_empty() && !is_synced {
            self.synced_at = Some(now);
            messages.extend(self.convictions(now));
        }
        let asks = now.since(self.started) < ASK_PERIOD || self.asked_at.is_none();
        let asked = self.asked_at.is_some_and(|at| now.since(at) < ASK_INTERVAL);
        if asks && !asked && !self.peers.is_empty() {
            self.asked_at = Some(now);
            messages.push(Message {
                asks: true,
                ..Message::default()
            });
        }
        messages
    }

    /// Receives a message; returns those for its sender.
    pub fn receive(&mut self, now: Micros, message: &Message) -> Vec<Message> {
        if let Some(crash) = &message.crash {
            self.count_crash(now, crash);
        }
        for (part, age) in &message.answered {
            let at = now - *age;
            if self.clear(now, *part, at, false) {
                self.outbox.push(now, Item::Answered(*part));
            }
        }
        let mut answered = self.answers_to(now, &message.proposed, |_, _| true);
        for c in &message.convicted {
            let first = now - c.first;
            let since = |_: PartKey, at: Micros| at >= first;
            let objection = self.answers_to(now, &[c.part], since);
            if objection.is_empty() {
                self.adopt(now, c.part, first, c.trials, false);
            }
            answered.extend(objection);
        }
        let mut replies = Vec::new();
        let crashed = message.crash.iter().flat_map(|c| &c.parts);
        let known = crashed.filter_map(|r| self.convicted_part(now, r.part));
        let convicted: Vec<_> = known.collect();
        if !convicted.is_empty() {
            replies.push(Message {
                convicted,
                ..Message::default()
            });
        }
        if !answered.is_empty() {
            replies.push(Message {
                answered,
                ..Message::default()
            });
        }
        if message.asks {
            replies.extend(self.convictions(now));
        }
        replies
    }

    fn sync_interval(&self) -> Micros {
        Micros(SYNC_INTERVAL.0 * (self.peers.len() as u64 + 1))
    }

    /// The latest complete answers to prompts with these parts, if `accepts` accepts them.
    fn answers_to(
        &self,
        now: Micros,
        parts: &[PartKey],
        accepts: impl Fn(PartKey, Micros) -> bool,
    ) -> Vec<(PartKey, Micros)> {
        let answered = parts.iter().filter_map(|p| {
            let at = self.parts.get(p)?.evidence.answered()?;
            accepts(*p, at).then(|| (*p, now.since(at)))
        });
        answered.collect()
    }

    /// All convictions.
    fn convictions(&self, now: Micros) -> Vec<Message> {
        let convicted: Vec<_> = self.convicted.iter().copied().collect();
        let chunks = convicted.chunks(MAX_PARTS);
        let message = |parts: &[PartKey]| Message {
            convicted: parts
                .iter()
                .filter_map(|p| self.convicted_part(now, *p))
                .collect(),
            ..Message::default()
        };
        chunks.map(message).collect()
    }

    fn convicted_part(&self, now: Micros, part: PartKey) -> Option<ConvictedPart> {
        let c = self.conviction(part)?;
        Some(ConvictedPart {
            part,
            first: now.since(c.first),
            trials: c.trials,
        })
    }

    /// Messages for the items of the outbox that are due and still hold.
    fn due_items(&mut self, now: Micros) -> Vec<Message> {
        let due = self.outbox.take_due(now);
        let mut messages = Vec::new();
        let mut others = Message::default();
        for item in &due {
            match item {
                Item::Crash(report, at) => messages.push(Message {
                    crash: Some(report.aged(now.since(*at))),
                    ..Message::default()
                }),
                Item::Proposed(part) if self.proposed.contains(part) => {
                    others.proposed.push(*part);
                }
                Item::Answered(part) => {
                    others
                        .answered
                        .extend(self.answers_to(now, &[*part], |_, _| true))
                }
                Item::Convicted(part) => others.convicted.extend(self.convicted_part(now, *part)),
                Item::Proposed(_) => {}
            }
            let parts = others.proposed.len() + others.answered.len() + others.convicted.len();
            if parts >= MAX_PARTS {
                messages.push(std::mem::take(&mut others));
            }
        }
        if others != Message::default() {
            messages.push(others);
        }
        messages
    }
}
