//! How a process finds the others, and finds them again after a split.
//!
//! Hundreds of members may start together. Each asks a few seeds, which answer with their own
//! description and some others', and then pulls everything from one of all those it heard of; so
//! the pulls spread over the fleet although all know the same seeds. Later, views are compared by
//! a digest that rides on each answer, and a whole list is pulled only if they differ. Now and
//! then a dead member or a seed nobody knows is tried: without that, regions that lost each
//! other for longer than a suspicion would never look for each other again.

use std::net::SocketAddr;

use model::Micros;
use prost::Message;
use rand::seq::IndexedRandom;

use crate::packet::{Kind, Packet, Update, BODY_MAX};
use crate::view::MemberKey;
use crate::{Action, Fleet, MemberState, PullScope};

/// Seeds asked in one round.
const SEEDS_PER_ROUND: usize = 3;
/// Others that a seed describes in its answer; what doesn't fit is left out.
const MEMBERS_IN_ANSWER: usize = 12;
/// Wait for more answers before one member is chosen for the pull.
const PICK_WAIT: Micros = Micros::from_millis(100);
/// Size up to which views are compared at the plain interval.
const SMALL_FLEET: f64 = 32.0;
/// Wait before views are compared when something hints that they differ.
const HINTED_SYNC_WAIT: Micros = Micros::from_secs(6);
/// Wait before views are compared after a start.
const FIRST_SYNC_WAIT: Micros = Micros::from_secs(2);
/// Answers in a row that differ, with no news on its way here, before views are compared at
/// once. One that misses an update differs from all; all others differ from it alone.
const MISMATCHES_MAX: u32 = 3;
/// Wait before that, so that many who missed it don't pull in step.
const MISMATCH_SYNC_WAIT: Micros = Micros::from_secs(1);
/// Shortest time between two pulls of a whole list, for each member in it; at some 100 bytes a
/// member that bounds them to 20 KB/s.
const SYNC_INTERVAL_PER_MEMBER: Micros = Micros::from_millis(5);
/// Tag and length in front of an update in a datagram.
const UPDATE_OVERHEAD: usize = 3;

/// State of joining and comparing.
pub(crate) struct Join {
    seeds: Vec<SocketAddr>,
    join_at: Micros,
    attempts: u32,
    sync_at: Micros,
    reconnect_at: Micros,
    list_pending: bool,
    mismatches: u32,
    last_sync: Micros,
}

impl Default for Join {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            join_at: Micros::MAX,
            attempts: 0,
            sync_at: Micros::MAX,
            reconnect_at: Micros::MAX,
            list_pending: true,
            mismatches: 0,
            last_sync: Micros::ZERO,
        }
    }
}

impl Join {
    pub(crate) fn due(&self) -> Micros {
        self.join_at.min(self.reconnect_at)
    }

    /// Whether a whole list will be asked for soon.
    pub(crate) fn is_trying(&self) -> bool {
        self.list_pending && self.join_at < Micros::MAX
    }

    /// Whether the first whole list is still to come from seeds that were given.
    pub(crate) fn is_waiting_for_list(&self) -> bool {
        self.list_pending && !self.seeds.is_empty()
    }

    /// Whether the first whole list is still to come.
    pub(crate) fn is_list_pending(&self) -> bool {
        self.list_pending
    }
}

impl Fleet {
    pub(crate) fn start_join(&mut self) {
        self.join.reconnect_at = self.now + self.settings.reconnect_interval;
        self.join.sync_at = self.now + FIRST_SYNC_WAIT;
    }

    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        let me = self.me.udp;
        self.join.seeds = seeds.into_iter().filter(|&s| s != me).collect();
        if self.join.list_pending && !self.join.seeds.is_empty() {
            self.join.join_at = self.now;
            self.delay_reads();
        }
    }

    pub(crate) fn run_join(&mut self, out: &mut Vec<Action>) {
        if self.join.join_at <= self.now {
            self.try_join(out);
        }
        if self.join.reconnect_at <= self.now {
            let span = self.settings.reconnect_interval;
            self.join.reconnect_at = self.now + self.jitter(span);
            self.reconnect(out);
            self.forget_gone();
        }
    }

    /// Asks another member for the whole list after a failed pull.
    pub(crate) fn retry_join(&mut self, wait: Micros) {
        if self.join.is_trying() {
            self.join.join_at = self.join.join_at.min(self.now + wait);
        }
    }

    /// The first whole list came in.
    pub(crate) fn joined(&mut self) {
        if self.join.list_pending {
            self.join.list_pending = false;
            self.join.join_at = Micros::MAX;
            self.join.sync_at = self.now + self.jitter(FIRST_SYNC_WAIT);
        }
    }

    /// Answers a process that joins: who this is, and some others to pull from.
    pub(crate) fn answer_join(&mut self, to: SocketAddr, seq: u32, out: &mut Vec<Action>) {
        let mut p = Packet::new(Kind::Ack, seq);
        p.updates.push(Update::full(&self.me));
        let mut room = BODY_MAX / 2;
        for k in self.view.sample(MEMBERS_IN_ANSWER, &mut self.rng) {
            let Some(m) = self
                .view
                .member(k)
                .filter(|m| m.state == MemberState::Alive)
            else {
                continue;
            };
            let u = Update::full(m);
            let len = u.encoded_len() + UPDATE_OVERHEAD;
            if m.udp != to && len <= room {
                room -= len;
                p.updates.push(u);
            }
        }
        self.send(to, p, out);
    }

    /// Compares views on an answer, if it is time to.
    pub(crate) fn compare_views(&mut self, k: MemberKey, theirs: u64, out: &mut Vec<Action>) {
        if self.join.list_pending {
            let soon = self.now + self.within(PICK_WAIT);
            self.join.join_at = self.join.join_at.min(soon);
            return;
        }
        let differs = theirs != self.view_hash();
        self.count_mismatches(differs);
        if self.join.sync_at > self.now || !self.spread.is_idle(self.now) {
            return;
        }
        let large = (self.size() as f64 / SMALL_FLEET).log2().max(1.0);
        let every = Micros((self.settings.sync_interval.0 as f64 * large) as u64);
        self.join.sync_at = self.now + self.jitter(every);
        if let Some(id) = self.view.member(k).filter(|_| differs).map(|m| m.id) {
            self.join.last_sync = self.now;
            self.join.mismatches = 0;
            self.pull(id, PullScope::All, out);
        }
    }

    /// Compares views soon, as when a member came back from the dead.
    pub(crate) fn sync_soon(&mut self) {
        let soon = self.now + self.jitter(HINTED_SYNC_WAIT);
        self.join.sync_at = self.join.sync_at.min(soon);
    }

    fn count_mismatches(&mut self, differs: bool) {
        let quiet = self.rumors.is_empty() || self.rumors.is_backlogged();
        self.join.mismatches = match differs && quiet {
            true => self.join.mismatches + 1,
            false => 0,
        };
        if self.join.mismatches >= MISMATCHES_MAX {
            self.join.mismatches = 0;
            let soon = self.now + self.within(MISMATCH_SYNC_WAIT);
            let least = Micros(SYNC_INTERVAL_PER_MEMBER.0 * self.size() as u64);
            let soon = soon.max(self.join.last_sync + least);
            self.join.sync_at = self.join.sync_at.min(soon);
        }
    }

    fn try_join(&mut self, out: &mut Vec<Action>) {
        if !self.spread.is_idle(self.now) {
            self.join.join_at = self.spread.next_pull_at();
            return;
        }
        let wait = Micros(self.settings.join_backoff.0 << self.join.attempts.min(8));
        let wait = self.jitter(wait.min(self.settings.reconnect_interval));
        self.join.join_at = self.now + wait;
        self.join.attempts += 1;
        // The first choice is any, so that the pulls of many spread over the fleet.
        let known = self.view.sample(1, &mut self.rng).first().copied();
        let known = known.and_then(|k| self.view.member(k)).map(|m| m.id);
        let ahead = self.newest_source().filter(|_| self.spread.has_failed());
        match ahead.map(|s| s.id).or(known) {
            Some(id) => self.pull(id, PullScope::All, out),
            None => self.contact_seeds(SEEDS_PER_ROUND, out),
        }
    }

    fn contact_seeds(&mut self, n: usize, out: &mut Vec<Action>) {
        let view = &self.view;
        let live = |s: &SocketAddr| view.key_at(*s).is_some_and(|k| view.is_live(k));
        let unknown: Vec<_> = self
            .join
            .seeds
            .iter()
            .filter(|s| !live(s))
            .copied()
            .collect();
        let some: Vec<_> = unknown.choose_multiple(&mut self.rng, n).copied().collect();
        for to in some {
            let mut p = Packet::new(Kind::Join, self.next_seq());
            p.updates.push(Update::full(&self.me));
            self.send(to, p, out);
        }
    }

    fn reconnect(&mut self, out: &mut Vec<Action>) {
        self.contact_seeds(1, out);
        let dead = self.view.iter();
        let dead = dead.filter(|(_, e)| e.member.state == MemberState::Dead);
        let dead: Vec<_> = dead.map(|(k, _)| k).collect();
        if let Some(&k) = dead.choose(&mut self.rng) {
            let refutable_update = self.refutable_update(k);
            self.ping(k, refutable_update, out);
        }
    }
}
