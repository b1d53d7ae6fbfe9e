//! The local view: all other members known to this process.

use std::cmp::Ordering;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use model::{Incarnation, MemberId, Micros, Version};
use rand::seq::SliceRandom;
use rand::Rng;
use slotmap::{new_key_type, SlotMap};

use crate::suspicion::Suspicion;
use crate::{Member, MemberState};

new_key_type! {
    pub(crate) struct MemberKey;
}

/// Bound on members queued for a probe ahead of the regular order.
const PRIORITY_PROBES_MAX: usize = 64;
/// Bound on tombstones (dead and departed members), in addition to four per live member.
const GONE_MAX: usize = 1_024;

/// A claim about the state of a member, from a datagram, a pulled list or this process.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) id: MemberId,
    pub(crate) incarnation: Incarnation,
    pub(crate) state: MemberState,
    /// The member that suspects it or served the list; zero if none is named.
    pub(crate) by: MemberId,
    /// Description of the member, if the claim carries one.
    pub(crate) detail: Option<Box<Member>>,
}

impl Claim {
    /// Precedence of the claim; the higher one wins.
    pub(crate) const fn rank(&self) -> (u64, MemberState) {
        (self.incarnation.0, self.state)
    }
}

/// A member with the state that only this process keeps about it.
#[derive(Debug)]
pub(crate) struct MemberRecord {
    pub(crate) member: Member,
    /// The configuration version it reported last; zero if none.
    pub(crate) version: Version,
    /// The incarnation that reported `version`.
    version_incarnation: Incarnation,
    pub(crate) suspicion: Option<Suspicion>,
    /// When the record last changed; for a dead or departed member, when it went.
    pub(crate) gone_since: Micros,
    /// Whether the platform has announced that its host is leaving.
    pub(crate) host_leaving: bool,
}

impl MemberRecord {
    /// Records the version that a member reports; a later incarnation starts over.
    pub(crate) fn record_version(&mut self, incarnation: Incarnation, version: Version) {
        match incarnation.cmp(&self.version_incarnation) {
            Ordering::Less => {}
            Ordering::Equal => self.version = self.version.max(version),
            Ordering::Greater => (self.version_incarnation, self.version) = (incarnation, version),
        }
    }
}

/// Members in an arena, with indices by id and address and the probe order.
#[derive(Debug, Default)]
pub(crate) struct View {
    arena: SlotMap<MemberKey, MemberRecord>,
    ids: HashMap<MemberId, MemberKey>,
    addrs: HashMap<SocketAddr, MemberKey>,
    /// Members in the shuffled order of the current round of probes.
    probe_order: Vec<MemberKey>,
    cursor: usize,
    /// Number of live members.
    live: usize,
    /// XOR over the live members and their incarnations.
    hash: u64,
    /// Members to probe ahead of the regular order, each with the claim it may want to refute.
    pub(crate) priority_probes: VecDeque<(MemberKey, Claim)>,
}

impl View {
    pub(crate) fn key(&self, id: MemberId) -> Option<MemberKey> {
        self.ids.get(&id).copied()
    }

    pub(crate) fn key_at(&self, addr: SocketAddr) -> Option<MemberKey> {
        self.addrs.get(&addr).copied()
    }

    pub(crate) fn get(&self, k: MemberKey) -> Option<&MemberRecord> {
        self.arena.get(k)
    }

    pub(crate) fn get_mut(&mut self, k: MemberKey) -> Option<&mut MemberRecord> {
        self.arena.get_mut(k)
    }

    pub(crate) fn member(&self, k: MemberKey) -> Option<&Member> {
        self.arena.get(k).map(|e| &e.member)
    }

    pub(crate) fn is_live(&self, k: MemberKey) -> bool {
        self.member(k).is_some_and(|m| m.state.is_live())
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (MemberKey, &MemberRecord)> {
        self.arena.iter()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (MemberKey, &mut MemberRecord)> {
        self.arena.iter_mut()
    }

    /// Live members other than this process.
    pub(crate) fn live(&self) -> usize {
        self.live
    }

    /// Digest of the live members and their incarnations, independent of order.
    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }

    /// Adds a member at a random position in the probe order; none if it is dead or departed and
    /// the tombstones are full.
    pub(crate) fn insert(
        &mut self,
        m: Member,
        now: Micros,
        rng: &mut impl Rng,
    ) -> Option<MemberKey> {
        let live = m.state.is_live();
        if !live && self.arena.len() > 4 * self.live + GONE_MAX {
            return None;
        }
        let (id, udp) = (m.id, m.udp);
        self.update_totals(m.id, m.rank(), true);
        let k = self.arena.insert(MemberRecord {
            member: m,
            version: Version(0),
            version_incarnation: Incarnation(0),
            suspicion: None,
            gone_since: now,
            host_leaving: false,
        });
        self.ids.insert(id, k);
        self.addrs.insert(udp, k);
        if live {
            self.add_to_probe_order(k, rng);
        }
        Some(k)
    }

    /// Overwrites incarnation, state and, if the claim carries one, the description.
    pub(crate) fn update(&mut self, k: MemberKey, c: &Claim, now: Micros, rng: &mut impl Rng) {
        let Some(e) = self.arena.get_mut(k) else {
            return;
        };
        let (id, old, from) = (e.member.id, e.member.rank(), e.member.udp);
        if let Some(m) = &c.detail {
            e.member = (**m).clone();
        }
        e.member.incarnation = c.incarnation;
        e.member.state = c.state;
        e.suspicion = None;
        e.gone_since = now;
        let to = e.member.udp;
        if from != to {
            self.addrs.remove(&from);
            self.addrs.insert(to, k);
        }
        self.update_totals(id, old, false);
        self.update_totals(id, c.rank(), true);
        if !old.1.is_live() && c.state.is_live() {
            self.add_to_probe_order(k, rng);
        }
    }

    /// Removes tombstones of members that went before the given time.
    pub(crate) fn forget(&mut self, before: Micros) {
        let old = self.arena.iter();
        let old = old.filter(|(_, e)| !e.member.state.is_live() && e.gone_since < before);
        let old: Vec<_> = old.map(|(k, _)| k).collect();
        for k in old {
            if let Some(e) = self.arena.remove(k) {
                self.ids.remove(&e.member.id);
                self.release_addr(&e.member);
            }
        }
    }

    /// The next member to probe; each live member comes up once a round.
    pub(crate) fn next_to_probe(&mut self, rng: &mut impl Rng) -> Option<MemberKey> {
        for _ in 0..=self.probe_order.len() {
            if self.cursor >= self.probe_order.len() {
                self.reshuffle(rng);
            }
            let k = *self.probe_order.get(self.cursor)?;
            self.cursor += 1;
            if self.is_live(k) {
                return Some(k);
            }
        }
        None
    }

    /// Up to `n` distinct live members, chosen at random.
    pub(crate) fn sample(&self, n: usize, rng: &mut impl Rng) -> Vec<MemberKey> {
        if self.probe_order.len() <= 4 * n {
            let mut all = self.probe_order.clone();
            all.retain(|&k| self.is_live(k));
            all.shuffle(rng);
            all.truncate(n);
            return all;
        }
        let mut sampled = Vec::with_capacity(n);
        for _ in 0..4 * n {
            let k = self.probe_order[rng.random_range(0..self.probe_order.len())];
            if sampled.len() < n && self.is_live(k) && !sampled.contains(&k) {
                sampled.push(k);
            }
        }
        sampled
    }

    /// Queues a member for a probe ahead of the regular order, with a claim it may want to refute.
    pub(crate) fn queue_probe(&mut self, k: MemberKey, c: Claim) {
        let known = self.priority_probes.iter().any(|(u, _)| *u == k);
        if !known && self.priority_probes.len() < PRIORITY_PROBES_MAX {
            self.priority_probes.push_back((k, c));
        }
    }

    fn add_to_probe_order(&mut self, k: MemberKey, rng: &mut impl Rng) {
        // A member that died and came back within one round is still in the order.
        if self.probe_order.contains(&k) {
            return;
        }
        let i = rng.random_range(0..=self.probe_order.len());
        self.probe_order.push(k);
        let last = self.probe_order.len() - 1;
        self.probe_order.swap(i, last);
    }

    fn reshuffle(&mut self, rng: &mut impl Rng) {
        let mut order = std::mem::take(&mut self.probe_order);
        order.retain(|&k| self.is_live(k));
        order.shuffle(rng);
        self.probe_order = order;
        self.cursor = 0;
    }

    /// Adds a live member to the count and the hash, or removes it.
    fn update_totals(&mut self, id: MemberId, rank: (u64, MemberState), add: bool) {
        if !rank.1.is_live() {
            return;
        }
        self.hash ^= mix(id.0, rank.0);
        self.live = if add { self.live + 1 } else { self.live - 1 };
    }

    /// Removes the address of a removed member from the index, unless another member took it.
    fn release_addr(&mut self, m: &Member) {
        let holder = self.addrs.get(&m.udp).copied();
        if holder.is_some_and(|k| !self.arena.contains_key(k)) {
            self.addrs.remove(&m.udp);
        }
    }
}

/// Hashes two numbers into 64 bits (the finalizer of SplitMix64).
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
