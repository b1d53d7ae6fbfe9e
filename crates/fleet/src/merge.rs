//! Merging of claims about members into the local view.
//!
//! A claim wins if its incarnation is higher or, within one incarnation, if its state comes later
//! in [`MemberState`]. Only a member itself raises its incarnation. The result therefore does not
//! depend on the order of claims, and a replayed claim changes nothing.

use std::cmp::Ordering;
use std::net::SocketAddr;

use model::{Incarnation, MemberId, Micros};
use rand::seq::IndexedRandom;

use crate::packet::{Kind, Packet, PacketError, Update};
use crate::suspicion::Suspicion;
use crate::view::{Claim, MemberKey};
use crate::{Action, Conviction, Fleet, Member, MemberState};

/// Claims from one pulled list that are gossiped on; other members spread the rest from their own
/// pulls.
const LIST_GOSSIP_MAX: usize = 64;
/// Members of one pulled list that are pinged because this process holds them for dead.
const LIST_PINGS_MAX: usize = 16;

impl Fleet {
    /// Processes a valid datagram: merges its claims, then replies according to its kind.
    pub(crate) fn merge_packet(&mut self, from: SocketAddr, p: Packet, out: &mut Vec<Action>) {
        let limit = self.limit();
        for u in &p.updates {
            self.rumors.count_received(u, limit);
            match self.claim(u) {
                Ok(c) => self.apply_claim(c, true, out),
                Err(_) => self.counters.bad_packet += 1,
            }
        }
        if let Ok(own) = self.claim(&p.header()) {
            self.apply_claim(own, true, out);
        }
        for m in &p.marks {
            self.convict(m.read(), out);
        }
        let sender = self.view.key(MemberId(p.from));
        if let Some(k) = sender {
            self.compare_config(k, &p, out);
        }
        if p.ask {
            self.describe_self(from, out);
        }
        self.reply(from, sender, &p, out);
    }

    /// Reads a claim. The description is decoded only if the claim is new, as most claims arrive
    /// many times.
    fn claim(&self, u: &Update) -> Result<Claim, PacketError> {
        let mut c = Claim {
            id: MemberId(u.id),
            incarnation: Incarnation(u.incarnation),
            state: u.member_state(),
            by: MemberId(u.by),
            detail: None,
        };
        let known = self.view.key(c.id).and_then(|k| self.view.member(k));
        let is_new = known.is_none_or(|m| m.rank() < c.rank());
        if is_new && u.detail.is_some() {
            c.detail = Some(Box::new(u.member()?));
        }
        Ok(c)
    }

    /// Merges one claim; `gossip` says whether to pass it on if it is new.
    pub(crate) fn apply_claim(&mut self, c: Claim, gossip: bool, out: &mut Vec<Action>) {
        let udp = c.detail.as_ref().map(|m| m.udp);
        match self.view.key(c.id) {
            _ if c.id == self.me.id => self.refute(&c),
            _ if udp == Some(self.me.udp) => self.supersede_older(&c),
            Some(k) => self.merge_claim(k, c, gossip, out),
            None => self.add_member(c, gossip, out),
        }
    }

    /// Stores a conviction, and queues it for gossip and for the driver if it is new here. Its
    /// expiry is given as wall-clock time.
    pub(crate) fn convict(&mut self, c: Conviction, out: &mut Vec<Action>) {
        let until = c.until - self.settings.epoch;
        let c = Conviction { until, ..c };
        if self.convictions.add(self.now, c) {
            out.push(Action::Convict(c));
        }
    }

    /// The suspicion, death or departure recorded for a member, for sending to the member itself:
    /// it may not have received that claim and can refute it. None if it is alive or leaving.
    pub(crate) fn refutable_update(&self, k: MemberKey) -> Option<Update> {
        let m = self.view.member(k)?;
        match m.state {
            MemberState::Alive | MemberState::Leaving => None,
            _ => Some(Update::brief(m, self.me.id)),
        }
    }

    /// Refutes a claim about this process with a higher incarnation.
    fn refute(&mut self, c: &Claim) {
        let must_refute = !matches!(c.state, MemberState::Alive | MemberState::Leaving);
        match c.incarnation.cmp(&self.me.incarnation) {
            _ if self.me.state == MemberState::Left => return,
            Ordering::Less => return,
            Ordering::Equal if !must_refute => return,
            _ => {}
        }
        self.counters.refuted += u64::from(must_refute);
        self.me.incarnation = Incarnation(c.incarnation.0.saturating_add(1));
        self.rumors.push(Update::brief(&self.me, MemberId(0)));
    }

    /// Raises the incarnation above that of an earlier process at this address.
    ///
    /// If the wall clock was set back between the two starts, the earlier process has the higher
    /// incarnation and would keep the address, so the restarted process would be missing from
    /// every view.
    fn supersede_older(&mut self, c: &Claim) {
        if c.incarnation >= self.me.incarnation {
            self.me.incarnation = Incarnation(c.incarnation.0.saturating_add(1));
            self.rumors.push(Update::full(&self.me));
        }
    }

    /// Adds a member that is not in the view yet.
    fn add_member(&mut self, c: Claim, gossip: bool, out: &mut Vec<Action>) {
        let Some(detail) = c.detail else {
            return;
        };
        let m = *detail;
        if !self.free_address(&m, out) {
            self.counters.stale += 1;
            return;
        }
        let live = m.state.is_live();
        let suspect = m.state == MemberState::Suspect;
        let Some(k) = self.view.insert(m.clone(), self.now, &mut self.rng) else {
            return;
        };
        if suspect {
            self.start_suspicion(k, c.by);
        }
        if live && gossip {
            self.rumors.push(Update::full(&m));
        }
        if live {
            out.push(Action::Joined(m));
        }
    }

    /// Frees the address of a new member; false if a later process already has it.
    fn free_address(&mut self, m: &Member, out: &mut Vec<Action>) -> bool {
        let Some(k) = self.view.key_at(m.udp) else {
            return true;
        };
        let old = self.view.member(k);
        let later = old.is_none_or(|o| (m.incarnation, m.id) > (o.incarnation, o.id));
        if later {
            self.supersede(k, out);
        }
        later
    }

    /// Marks a member as left because a later process took its address.
    fn supersede(&mut self, k: MemberKey, out: &mut Vec<Action>) {
        let Some(m) = self.view.member(k).cloned() else {
            return;
        };
        let c = Claim {
            id: m.id,
            incarnation: m.incarnation,
            state: MemberState::Left,
            by: self.me.id,
            detail: None,
        };
        self.view.update(k, &c, self.now, &mut self.rng);
        if m.state.is_live() {
            out.push(Action::Gone(m.id));
        }
    }

    /// Merges a claim about a member of the view.
    fn merge_claim(&mut self, k: MemberKey, c: Claim, gossip: bool, out: &mut Vec<Action>) {
        let Some(known) = self.view.member(k).map(Member::rank) else {
            return;
        };
        match c.rank().cmp(&known) {
            Ordering::Less => self.counters.stale += 1,
            Ordering::Equal => self.confirm(k, &c),
            Ordering::Greater => self.overwrite(k, c, gossip, out),
        }
    }

    /// Applies a newer claim and reports the change to the driver.
    fn overwrite(&mut self, k: MemberKey, c: Claim, gossip: bool, out: &mut Vec<Action>) {
        let Some(old) = self.view.member(k).cloned() else {
            return;
        };
        self.view.update(k, &c, self.now, &mut self.rng);
        if c.state == MemberState::Suspect {
            self.start_suspicion(k, c.by);
        }
        let Some(m) = self.view.member(k).cloned() else {
            return;
        };
        if gossip {
            self.rumors.push(match c.detail {
                Some(_) => Update::full(&m),
                None => Update::brief(&m, c.by),
            });
        }
        match (old.state.is_live(), m.state.is_live()) {
            (true, false) => out.push(Action::Gone(m.id)),
            (false, true) => {
                self.sync_soon();
                out.push(Action::Joined(m));
            }
            (true, true) if is_visible_change(&old, &m) => out.push(Action::Changed(m)),
            _ => {}
        }
    }

    /// Records another member that confirms a suspicion.
    fn confirm(&mut self, k: MemberKey, c: &Claim) {
        let settings = &self.settings;
        let Some(e) = self.view.get_mut(k) else {
            return;
        };
        let is_new = e
            .suspicion
            .as_mut()
            .is_some_and(|s| s.confirm(c.by, settings));
        if is_new {
            let update = Update::brief(&e.member, c.by);
            self.rumors.push(update);
            self.arm_suspicion(k);
        }
    }

    /// Starts the time in which a suspicion can be refuted.
    fn start_suspicion(&mut self, k: MemberKey, by: MemberId) {
        if let Some(e) = self.view.get_mut(k) {
            e.suspicion = Some(Suspicion::new(self.now, by, e.host_leaving));
            self.arm_suspicion(k);
        }
    }

    /// Merges a pulled list of members.
    ///
    /// After a network split each side holds the other for dead. If a list alone were enough to
    /// mark members dead, the live side would be suspected as a whole, faster than it can refute.
    /// So a death that is new here is verified by a probe first, and members that are dead here
    /// but alive in the list are pinged so that they can refute it.
    pub(crate) fn merge_list(
        &mut self,
        from: MemberId,
        list: Vec<Member>,
        joining: bool,
        out: &mut Vec<Action>,
    ) {
        let mut dead_here = Vec::new();
        let mut gossiped = 0;
        for m in list {
            let known = self.view.key(m.id);
            let here = known.and_then(|k| self.view.member(k)).cloned();
            let c = claim_from_list(m, from);
            match (known, here) {
                (Some(k), Some(h)) if c.state == MemberState::Dead && h.state.is_live() => {
                    if c.rank() > h.rank() {
                        self.view.queue_probe(k, c);
                    }
                }
                (Some(k), Some(h)) if c.state.is_live() && c.rank() < h.rank() => {
                    if h.state == MemberState::Dead {
                        dead_here.push(k);
                    }
                }
                (_, here) => {
                    let is_new = here.is_none_or(|h| c.rank() > h.rank());
                    gossiped += usize::from(is_new);
                    self.apply_claim(c, !joining && gossiped <= LIST_GOSSIP_MAX, out);
                }
            }
        }
        let to_ping: Vec<_> = dead_here
            .choose_multiple(&mut self.rng, LIST_PINGS_MAX)
            .copied()
            .collect();
        for k in to_ping {
            let refutable_update = self.refutable_update(k);
            self.ping(k, refutable_update, out);
        }
    }

    /// Replies to a datagram according to its kind.
    fn reply(
        &mut self,
        from: SocketAddr,
        sender: Option<MemberKey>,
        p: &Packet,
        out: &mut Vec<Action>,
    ) {
        match Kind::try_from(p.kind) {
            Ok(Kind::Ping) => self.send_ack(from, sender, p.seq, out),
            Ok(Kind::Join) => self.answer_join(from, p.seq, out),
            Ok(Kind::PingReq) => self.probe_for(from, p, out),
            Ok(Kind::Ack) => self.handle_ack(sender, p, out),
            Ok(Kind::Nack) => self.handle_nack(p.seq),
            _ => {}
        }
    }

    /// Acks a ping; carries the claim that the sender may want to refute, or asks an unknown
    /// sender for its description.
    fn send_ack(
        &mut self,
        from: SocketAddr,
        k: Option<MemberKey>,
        seq: u32,
        out: &mut Vec<Action>,
    ) {
        let mut p = Packet::new(Kind::Ack, seq);
        p.ask = k.is_none();
        p.updates = k
            .and_then(|k| self.refutable_update(k))
            .into_iter()
            .collect();
        self.send(from, p, out);
    }

    /// Sends the description of this process to a member that lacks it.
    fn describe_self(&mut self, to: SocketAddr, out: &mut Vec<Action>) {
        let mut p = Packet::new(Kind::Gossip, 0);
        p.updates.push(Update::full(&self.me));
        self.send(to, p, out);
    }

    /// Removes tombstones that are older than
    /// [`Settings::tombstone_ttl`](crate::Settings::tombstone_ttl).
    pub(crate) fn forget_gone(&mut self) {
        let before = self.now - self.settings.tombstone_ttl;
        if before > Micros::ZERO {
            self.view.forget(before);
        }
    }
}

/// Whether the driver would act on the change; a raised incarnation alone is not reported.
fn is_visible_change(old: &Member, new: &Member) -> bool {
    let mut same = new.clone();
    same.incarnation = old.incarnation;
    same != *old
}

/// The claim that an entry of a pulled list makes.
pub(crate) fn claim_from_list(m: Member, by: MemberId) -> Claim {
    Claim {
        id: m.id,
        incarnation: m.incarnation,
        state: m.state,
        by,
        detail: Some(Box::new(m)),
    }
}
