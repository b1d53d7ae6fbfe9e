//! Failure detection: pings, pings through others, local health.
//!
//! The load pattern is a large fleet with some loss on every link and now and then a slow
//! process. Without indirect pings, 1% loss each way makes one ping in fifty fail: at 1,180
//! members and two pings a second each, some fifty false suspicions a second. Without
//! the local health score, a process that is itself starved of time accuses those it couldn't
//! hear; its waits grow here with its own failures instead (Lifeguard).

use std::net::SocketAddr;

use model::{MemberId, Micros};

use crate::packet::{addr, put_addr, Kind, Packet, Update};
use crate::view::{Claim, MemberKey};
use crate::{Action, Fleet, Member, MemberState};

/// Bound on pings that are under way for others; 16 members at once is already a storm.
const RELAYS_MAX: usize = 128;
/// How many more members than needed are drawn, to find some in other failure domains.
const CHOICE: usize = 4;

/// A ping of this process that is not answered yet.
struct Probe {
    key: MemberKey,
    id: MemberId,
    seq: u32,
    /// When to ask others; the far future once they were asked.
    relay_at: Micros,
    asked: u32,
    nacks: u32,
}

/// A ping on behalf of another member.
struct Relay {
    id: MemberId,
    seq: u32,
    origin: SocketAddr,
    answer: u32,
    until: Micros,
}

/// State of failure detection.
pub(crate) struct Detect {
    probe: Option<Probe>,
    probe_at: Micros,
    relays: Vec<Relay>,
    /// Zero if well; each step stretches period and waits by one.
    health: u32,
    /// When the first suspicion runs out.
    suspicion_at: Micros,
}

impl Default for Detect {
    fn default() -> Self {
        Self {
            probe: None,
            probe_at: Micros::MAX,
            relays: Vec::new(),
            health: 0,
            suspicion_at: Micros::MAX,
        }
    }
}

impl Detect {
    pub(crate) fn start(&mut self, now: Micros) {
        self.probe_at = now;
    }

    pub(crate) fn due(&self) -> Micros {
        let relay = self.probe.as_ref().map_or(Micros::MAX, |p| p.relay_at);
        let relays = self.relays.iter().map(|r| r.until);
        let first = relays.min().unwrap_or(Micros::MAX);
        self.probe_at.min(self.suspicion_at).min(relay).min(first)
    }

    fn stretch(&self, span: Micros) -> Micros {
        Micros(span.0 * u64::from(self.health + 1))
    }

    fn degrade(&mut self, max: u32) {
        self.health = (self.health + 1).min(max);
    }

    fn recover(&mut self) {
        self.health = self.health.saturating_sub(1);
    }
}

impl Fleet {
    pub(crate) fn run_detect(&mut self, out: &mut Vec<Action>) {
        self.drop_relays(out);
        if self
            .detect
            .probe
            .as_ref()
            .is_some_and(|p| p.relay_at <= self.now)
        {
            self.ask_relays(out);
        }
        if self.detect.probe_at <= self.now {
            self.end_probe(out);
            self.begin_probe(out);
        }
        if self.detect.suspicion_at <= self.now {
            self.end_suspicions(out);
        }
    }

    /// Forgets open questions and gives all suspected members their time again.
    pub(crate) fn resume_detect(&mut self) {
        self.detect.probe = None;
        self.detect.relays.clear();
        self.detect.probe_at = self.now;
        self.detect.degrade(self.set.health_max);
        let now = self.now;
        self.recheck();
        let suspicions = self
            .view
            .iter_mut()
            .filter_map(|(_, e)| e.suspicion.as_mut());
        suspicions.for_each(|s| s.restart(now));
        self.rearm_suspicions();
    }

    /// Pings the suspected members first; they may have refuted it unheard.
    fn recheck(&mut self) {
        let suspects = self.view.iter().filter(|(_, e)| e.suspicion.is_some());
        let suspects = suspects.map(|(k, e)| (k, self.verdict(&e.member, MemberState::Suspect)));
        for (k, c) in suspects.collect::<Vec<_>>() {
            self.view.probe_soon(k, c);
        }
    }

    /// Pings a member without waiting for the answer.
    pub(crate) fn ping(&mut self, k: MemberKey, accusation: Option<Update>, out: &mut Vec<Action>) {
        let Some((id, udp)) = self.view.member(k).map(|m| (m.id, m.udp)) else {
            return;
        };
        let mut p = Packet::new(Kind::Ping, self.next_seq());
        p.to = id.0;
        p.updates.extend(accusation);
        self.send(udp, p, out);
    }

    /// An answer to a ping of this process, or to one on behalf of another.
    ///
    /// It must come from the member that was asked about: a later life at its address answers
    /// too, and the earlier one mustn't look alive for it.
    pub(crate) fn acked(&mut self, k: Option<MemberKey>, p: &Packet, out: &mut Vec<Action>) {
        let probe = self.detect.probe.as_ref();
        let own = |o: &Probe| o.seq == p.seq && (o.id.0 == p.from || o.id.0 == p.to);
        let relay = self
            .detect
            .relays
            .iter()
            .position(|r| r.seq == p.seq && r.id.0 == p.from);
        match relay {
            _ if probe.is_some_and(own) => {
                self.detect.probe = None;
                self.detect.recover();
            }
            Some(i) => {
                let r = self.detect.relays.swap_remove(i);
                let mut ack = Packet::new(Kind::Ack, r.answer);
                ack.to = r.id.0;
                self.send(r.origin, ack, out);
            }
            None => {}
        }
        if let Some(k) = k {
            self.compare(k, p.view, out);
        }
    }

    /// One who was asked got no answer either, but is itself within reach.
    pub(crate) fn nacked(&mut self, seq: u32) {
        if let Some(p) = self.detect.probe.as_mut().filter(|p| p.seq == seq) {
            p.nacks += 1;
        }
    }

    /// Pings a member because another one asked for it.
    pub(crate) fn relay(&mut self, from: SocketAddr, p: &Packet, out: &mut Vec<Action>) {
        let Ok(to) = addr(&p.addr) else {
            return;
        };
        if self.detect.relays.len() >= RELAYS_MAX {
            return;
        }
        let seq = self.next_seq();
        let wait = self.set.ack_wait;
        self.detect.relays.push(Relay {
            id: MemberId(p.to),
            seq,
            origin: from,
            answer: p.seq,
            until: self.now + wait,
        });
        let mut ping = Packet::new(Kind::Ping, seq);
        ping.to = p.to;
        self.send(to, ping, out);
    }

    /// Remembers when a member's suspicion runs out, if it is the first to do so.
    pub(crate) fn arm_suspicion(&mut self, k: MemberKey) {
        let size = self.size();
        let s = self.view.get(k).and_then(|e| e.suspicion.as_ref());
        if let Some(s) = s {
            let at = s.deadline(&self.set, size);
            self.detect.suspicion_at = self.detect.suspicion_at.min(at);
        }
    }

    fn begin_probe(&mut self, out: &mut Vec<Action>) {
        self.detect.probe_at = self.now + self.detect.stretch(self.set.period);
        let Some((key, claimed)) = self.next_target() else {
            return;
        };
        let Some((id, udp)) = self.view.member(key).map(|m| (m.id, m.udp)) else {
            return;
        };
        let seq = self.next_seq();
        let mut p = Packet::new(Kind::Ping, seq);
        p.to = id.0;
        p.updates.extend(claimed.or_else(|| self.accusation(key)));
        self.detect.probe = Some(Probe {
            key,
            id,
            seq,
            relay_at: self.now + self.detect.stretch(self.set.ack_wait),
            asked: 0,
            nacks: 0,
        });
        self.send(udp, p, out);
    }

    fn next_target(&mut self) -> Option<(MemberKey, Option<Update>)> {
        while let Some((k, c)) = self.view.urgent.pop_front() {
            if self.view.is_live(k) {
                let m = self.view.member(k)?;
                let claimed = Member {
                    incarnation: c.incarnation,
                    state: c.state,
                    ..m.clone()
                };
                return Some((k, Some(Update::brief(&claimed, c.by))));
            }
        }
        self.view.next(&mut self.rng).map(|k| (k, None))
    }

    /// Asks members in other failure domains to ping, so that a fault near this process or on
    /// its links isn't taken for the other's death.
    fn ask_relays(&mut self, out: &mut Vec<Action>) {
        let Some((key, id, seq)) = self.detect.probe.as_ref().map(|p| (p.key, p.id, p.seq)) else {
            return;
        };
        let Some(m) = self.view.member(key).cloned() else {
            self.detect.probe = None;
            return;
        };
        let relays = self.choose_relays(key, &m);
        for &k in &relays {
            let Some(to) = self.view.member(k).map(|r| r.udp) else {
                continue;
            };
            let mut p = Packet::new(Kind::PingReq, seq);
            p.to = id.0;
            p.addr = put_addr(m.udp);
            self.send(to, p, out);
        }
        if let Some(p) = self.detect.probe.as_mut() {
            p.relay_at = Micros::MAX;
            p.asked = relays.len() as u32;
        }
    }

    fn choose_relays(&mut self, key: MemberKey, m: &Member) -> Vec<MemberKey> {
        let mut some = self.view.sample(CHOICE * self.set.relays, &mut self.rng);
        some.retain(|&k| k != key);
        let near = |k: &MemberKey| {
            let domain = self.view.member(*k).map(|r| &r.domain);
            domain == Some(&m.domain) || domain == Some(&self.me.domain)
        };
        some.sort_by_key(near);
        some.truncate(self.set.relays);
        some
    }

    fn end_probe(&mut self, out: &mut Vec<Action>) {
        let Some(p) = self.detect.probe.take() else {
            return;
        };
        if p.asked == 0 || p.nacks < p.asked {
            self.detect.degrade(self.set.health_max);
        }
        self.accuse(p.key, out);
    }

    /// Suspects a member, or confirms that others do, and tells it at once.
    fn accuse(&mut self, k: MemberKey, out: &mut Vec<Action>) {
        let Some(m) = self.view.member(k).filter(|m| m.state.is_live()).cloned() else {
            return;
        };
        if m.state != MemberState::Suspect {
            self.counters.suspected += 1;
        }
        self.learn(self.verdict(&m, MemberState::Suspect), true, out);
        let accusation = self.accusation(k);
        self.tell(k, accusation.into_iter().collect(), out);
    }

    fn verdict(&self, m: &Member, state: MemberState) -> Claim {
        Claim {
            id: m.id,
            incarnation: m.incarnation,
            state,
            by: self.me.id,
            detail: None,
        }
    }

    fn end_suspicions(&mut self, out: &mut Vec<Action>) {
        let (now, size, set) = (self.now, self.size(), &self.set);
        let over = self.view.iter().filter(|(_, e)| {
            let s = e.suspicion.as_ref();
            s.is_some_and(|s| s.deadline(set, size) <= now)
        });
        let over: Vec<Member> = over.map(|(_, e)| e.member.clone()).collect();
        for m in over {
            self.counters.declared_dead += 1;
            self.learn(self.verdict(&m, MemberState::Dead), true, out);
        }
        self.rearm_suspicions();
    }

    fn rearm_suspicions(&mut self) {
        let (size, set) = (self.size(), &self.set);
        let suspicions = self.view.iter().filter_map(|(_, e)| e.suspicion.as_ref());
        let first = suspicions.map(|s| s.deadline(set, size)).min();
        self.detect.suspicion_at = first.unwrap_or(Micros::MAX);
    }

    /// Reports pings for others that went unanswered.
    fn drop_relays(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let (over, open) = std::mem::take(&mut self.detect.relays)
            .into_iter()
            .partition(|r: &Relay| r.until <= now);
        self.detect.relays = open;
        for r in over {
            let mut p = Packet::new(Kind::Nack, r.answer);
            p.to = r.id.0;
            self.send(r.origin, p, out);
        }
    }
}
