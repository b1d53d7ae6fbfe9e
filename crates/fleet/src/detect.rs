//! Failure detection: direct probes, indirect probes and the local health score.
//!
//! The design is for a large fleet with some loss on every link and an occasional slow process.
//! Without indirect probes, 1% loss each way makes one probe in fifty fail: at 1,180 members and
//! two probes a second each, some fifty false suspicions a second. Without the local health score
//! (Lifeguard), a process that gets too little CPU time suspects members whose acks it was too
//! slow to read; the score lengthens its probe period and timeouts with each failure of its own.

use std::net::SocketAddr;

use model::{MemberId, Micros};

use crate::packet::{addr, put_addr, Kind, Packet, Update};
use crate::view::{Claim, MemberKey};
use crate::{Action, Fleet, Member, MemberState};

/// Bound on concurrent indirect probes on behalf of others. Requests from 16 members at once
/// already mean a storm.
const INDIRECT_PROBES_MAX: usize = 128;
/// Members sampled per helper needed, so that some are in other failure domains.
const CANDIDATES_PER_HELPER: usize = 4;

/// A direct probe by this process that has no ack yet.
struct Probe {
    key: MemberKey,
    id: MemberId,
    seq: u32,
    /// When to request indirect probes; [`Micros::MAX`] once requested.
    indirect_at: Micros,
    /// Helpers that were asked for an indirect probe.
    requested: u32,
    /// Helpers that reported no ack from the probed member.
    nacks: u32,
}

/// A probe that this process makes on behalf of another member.
struct IndirectProbe {
    id: MemberId,
    seq: u32,
    /// Address of the member that requested the probe.
    requester: SocketAddr,
    /// Sequence number of the request, repeated in the ack or nack.
    requester_seq: u32,
    deadline: Micros,
}

/// State of failure detection.
pub(crate) struct Detect {
    probe: Option<Probe>,
    probe_at: Micros,
    indirect_probes: Vec<IndirectProbe>,
    /// Local health score (Lifeguard): zero is healthy; each point lengthens the probe period and
    /// the ack timeout by their base value.
    health_score: u32,
    /// When the earliest suspicion expires.
    suspicion_at: Micros,
}

impl Default for Detect {
    fn default() -> Self {
        Self {
            probe: None,
            probe_at: Micros::MAX,
            indirect_probes: Vec::new(),
            health_score: 0,
            suspicion_at: Micros::MAX,
        }
    }
}

impl Detect {
    pub(crate) fn start(&mut self, now: Micros) {
        self.probe_at = now;
    }

    /// When failure detection has work to do next.
    pub(crate) fn due(&self) -> Micros {
        let indirect = self.probe.as_ref().map_or(Micros::MAX, |p| p.indirect_at);
        let deadlines = self.indirect_probes.iter().map(|r| r.deadline);
        let first = deadlines.min().unwrap_or(Micros::MAX);
        self.probe_at
            .min(self.suspicion_at)
            .min(indirect)
            .min(first)
    }

    fn scale_by_health(&self, span: Micros) -> Micros {
        Micros(span.0 * u64::from(self.health_score + 1))
    }

    fn degrade(&mut self, max: u32) {
        self.health_score = (self.health_score + 1).min(max);
    }

    fn recover(&mut self) {
        self.health_score = self.health_score.saturating_sub(1);
    }
}

impl Fleet {
    /// Runs the timers of failure detection.
    pub(crate) fn run_detect(&mut self, out: &mut Vec<Action>) {
        self.expire_indirect_probes(out);
        if self
            .detect
            .probe
            .as_ref()
            .is_some_and(|p| p.indirect_at <= self.now)
        {
            self.request_indirect_probes(out);
        }
        if self.detect.probe_at <= self.now {
            self.fail_probe(out);
            self.start_probe(out);
        }
        if self.detect.suspicion_at <= self.now {
            self.expire_suspicions(out);
        }
    }

    /// Drops open probes and restarts all suspicion timers after a pause of this process.
    pub(crate) fn resume_detect(&mut self) {
        self.detect.probe = None;
        self.detect.indirect_probes.clear();
        self.detect.probe_at = self.now;
        self.detect.degrade(self.settings.health_score_max);
        let now = self.now;
        self.reprobe_suspects();
        let suspicions = self
            .view
            .iter_mut()
            .filter_map(|(_, e)| e.suspicion.as_mut());
        suspicions.for_each(|s| s.restart(now));
        self.rearm_suspicions();
    }

    /// Probes suspected members first: their refutations may have been missed during the pause.
    fn reprobe_suspects(&mut self) {
        let suspects = self.view.iter().filter(|(_, e)| e.suspicion.is_some());
        let suspects =
            suspects.map(|(k, e)| (k, self.claim_about(&e.member, MemberState::Suspect)));
        for (k, c) in suspects.collect::<Vec<_>>() {
            self.view.queue_probe(k, c);
        }
    }

    /// Pings a member without tracking the ack.
    pub(crate) fn ping(&mut self, k: MemberKey, update: Option<Update>, out: &mut Vec<Action>) {
        let Some((id, udp)) = self.view.member(k).map(|m| (m.id, m.udp)) else {
            return;
        };
        let mut p = Packet::new(Kind::Ping, self.next_seq());
        p.to = id.0;
        p.updates.extend(update);
        self.send(udp, p, out);
    }

    /// Handles an ack to a probe by this process, or to one on behalf of another member.
    ///
    /// The ack must come from the probed member itself, directly or through a helper: a later
    /// process at the same address acks too, and that must not keep the earlier one alive.
    pub(crate) fn handle_ack(&mut self, k: Option<MemberKey>, p: &Packet, out: &mut Vec<Action>) {
        let probe = self.detect.probe.as_ref();
        let own = |o: &Probe| o.seq == p.seq && (o.id.0 == p.from || o.id.0 == p.to);
        let indirect = self
            .detect
            .indirect_probes
            .iter()
            .position(|r| r.seq == p.seq && r.id.0 == p.from);
        match indirect {
            _ if probe.is_some_and(own) => {
                self.detect.probe = None;
                self.detect.recover();
            }
            Some(i) => {
                let r = self.detect.indirect_probes.swap_remove(i);
                let mut ack = Packet::new(Kind::Ack, r.requester_seq);
                ack.to = r.id.0;
                self.send(r.requester, ack, out);
            }
            None => {}
        }
        if let Some(k) = k {
            self.compare_views(k, p.view, out);
        }
    }

    /// Counts a helper that got no ack from the probed member but is itself reachable.
    pub(crate) fn handle_nack(&mut self, seq: u32) {
        if let Some(p) = self.detect.probe.as_mut().filter(|p| p.seq == seq) {
            p.nacks += 1;
        }
    }

    /// Makes an indirect probe at the request of another member.
    pub(crate) fn probe_for(&mut self, from: SocketAddr, p: &Packet, out: &mut Vec<Action>) {
        let Ok(to) = addr(&p.addr) else {
            return;
        };
        if self.detect.indirect_probes.len() >= INDIRECT_PROBES_MAX {
            return;
        }
        let seq = self.next_seq();
        let wait = self.settings.ack_timeout;
        self.detect.indirect_probes.push(IndirectProbe {
            id: MemberId(p.to),
            seq,
            requester: from,
            requester_seq: p.seq,
            deadline: self.now + wait,
        });
        let mut ping = Packet::new(Kind::Ping, seq);
        ping.to = p.to;
        self.send(to, ping, out);
    }

    /// Moves the suspicion timer to an earlier time if this member's suspicion is the first to expire.
    pub(crate) fn arm_suspicion(&mut self, k: MemberKey) {
        let size = self.size();
        let s = self.view.get(k).and_then(|e| e.suspicion.as_ref());
        if let Some(s) = s {
            let at = s.deadline(&self.settings, size);
            self.detect.suspicion_at = self.detect.suspicion_at.min(at);
        }
    }

    /// Pings the next member and tracks the ack.
    fn start_probe(&mut self, out: &mut Vec<Action>) {
        self.detect.probe_at = self.now + self.detect.scale_by_health(self.settings.probe_period);
        let Some((key, claimed)) = self.next_probe() else {
            return;
        };
        let Some((id, udp)) = self.view.member(key).map(|m| (m.id, m.udp)) else {
            return;
        };
        let seq = self.next_seq();
        let mut p = Packet::new(Kind::Ping, seq);
        p.to = id.0;
        p.updates
            .extend(claimed.or_else(|| self.refutable_update(key)));
        self.detect.probe = Some(Probe {
            key,
            id,
            seq,
            indirect_at: self.now + self.detect.scale_by_health(self.settings.ack_timeout),
            requested: 0,
            nacks: 0,
        });
        self.send(udp, p, out);
    }

    /// The next member to probe, queued ones first, with the claim it may want to refute.
    fn next_probe(&mut self) -> Option<(MemberKey, Option<Update>)> {
        while let Some((k, c)) = self.view.priority_probes.pop_front() {
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
        self.view.next_to_probe(&mut self.rng).map(|k| (k, None))
    }

    /// Requests indirect probes from members in other failure domains, so that a fault near this
    /// process or on its links does not count as the death of the probed member.
    fn request_indirect_probes(&mut self, out: &mut Vec<Action>) {
        let Some((key, id, seq)) = self.detect.probe.as_ref().map(|p| (p.key, p.id, p.seq)) else {
            return;
        };
        let Some(m) = self.view.member(key).cloned() else {
            self.detect.probe = None;
            return;
        };
        let helpers = self.choose_helpers(key, &m);
        for &k in &helpers {
            let Some(to) = self.view.member(k).map(|r| r.udp) else {
                continue;
            };
            let mut p = Packet::new(Kind::PingReq, seq);
            p.to = id.0;
            p.addr = put_addr(m.udp);
            self.send(to, p, out);
        }
        if let Some(p) = self.detect.probe.as_mut() {
            p.indirect_at = Micros::MAX;
            p.requested = helpers.len() as u32;
        }
    }

    /// Samples members for indirect probes, preferring those outside the failure domains of both
    /// ends.
    fn choose_helpers(&mut self, key: MemberKey, m: &Member) -> Vec<MemberKey> {
        let mut candidates = self.view.sample(
            CANDIDATES_PER_HELPER * self.settings.indirect_probes,
            &mut self.rng,
        );
        candidates.retain(|&k| k != key);
        let is_near = |k: &MemberKey| {
            let domain = self.view.member(*k).map(|r| &r.domain);
            domain == Some(&m.domain) || domain == Some(&self.me.domain)
        };
        candidates.sort_by_key(is_near);
        candidates.truncate(self.settings.indirect_probes);
        candidates
    }

    /// Ends a probe that got no ack. The local health score worsens unless every helper sent a
    /// nack, since missing nacks hint at a fault near this process.
    fn fail_probe(&mut self, out: &mut Vec<Action>) {
        let Some(p) = self.detect.probe.take() else {
            return;
        };
        if p.requested == 0 || p.nacks < p.requested {
            self.detect.degrade(self.settings.health_score_max);
        }
        self.suspect(p.key, out);
    }

    /// Suspects a member or confirms the suspicion of others, and notifies the member at once so
    /// that it can refute.
    fn suspect(&mut self, k: MemberKey, out: &mut Vec<Action>) {
        let Some(m) = self.view.member(k).filter(|m| m.state.is_live()).cloned() else {
            return;
        };
        if m.state != MemberState::Suspect {
            self.counters.suspected += 1;
        }
        self.apply_claim(self.claim_about(&m, MemberState::Suspect), true, out);
        let refutable_update = self.refutable_update(k);
        self.send_gossip(k, refutable_update.into_iter().collect(), out);
    }

    /// A claim by this process that a member is in the given state.
    fn claim_about(&self, m: &Member, state: MemberState) -> Claim {
        Claim {
            id: m.id,
            incarnation: m.incarnation,
            state,
            by: self.me.id,
            detail: None,
        }
    }

    /// Declares members dead whose suspicion was not refuted in time.
    fn expire_suspicions(&mut self, out: &mut Vec<Action>) {
        let (now, size, settings) = (self.now, self.size(), &self.settings);
        let expired = self.view.iter().filter(|(_, e)| {
            let s = e.suspicion.as_ref();
            s.is_some_and(|s| s.deadline(settings, size) <= now)
        });
        let expired: Vec<Member> = expired.map(|(_, e)| e.member.clone()).collect();
        for m in expired {
            self.counters.declared_dead += 1;
            self.apply_claim(self.claim_about(&m, MemberState::Dead), true, out);
        }
        self.rearm_suspicions();
    }

    /// Sets the suspicion timer to the earliest deadline.
    fn rearm_suspicions(&mut self) {
        let (size, settings) = (self.size(), &self.settings);
        let suspicions = self.view.iter().filter_map(|(_, e)| e.suspicion.as_ref());
        let first = suspicions.map(|s| s.deadline(settings, size)).min();
        self.detect.suspicion_at = first.unwrap_or(Micros::MAX);
    }

    /// Sends a nack for each indirect probe that got no ack in time.
    fn expire_indirect_probes(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let (expired, open) = std::mem::take(&mut self.detect.indirect_probes)
            .into_iter()
            .partition(|r: &IndirectProbe| r.deadline <= now);
        self.detect.indirect_probes = open;
        for r in expired {
            let mut p = Packet::new(Kind::Nack, r.requester_seq);
            p.to = r.id.0;
            self.send(r.requester, p, out);
        }
    }
}
