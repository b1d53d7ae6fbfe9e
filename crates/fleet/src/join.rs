//! Joining the fleet, and reconnecting after a network split.
//!
//! Hundreds of members may start together. Each contacts a few seeds, which answer with
//! descriptions of themselves and of some other members; the joining process then pulls the
//! complete list from one of the members it learned of. So the pulls are spread over the fleet
//! although all members have the same seeds. Later, views are compared by a digest in each ack,
//! and a complete list is pulled only if they differ (anti-entropy). Now and then a dead member or
//! an unknown seed is contacted; otherwise regions that lost each other for longer than the
//! suspicion timeout would never reconnect.

use std::net::SocketAddr;

use model::Micros;
use prost::Message;
use rand::seq::IndexedRandom;

use crate::packet::{Kind, Packet, Update, BODY_MAX};
use crate::view::MemberKey;
use crate::{Action, Fleet, MemberState, PullScope};

/// Seeds contacted in one round.
const SEEDS_PER_ROUND: usize = 3;
/// Other members that a seed describes in its answer; those that do not fit are omitted.
const MEMBERS_IN_ANSWER: usize = 12;
/// Wait for more answers before a member is chosen for the pull.
const PICK_WAIT: Micros = Micros::from_millis(100);
/// Fleet size up to which views are compared at the base interval.
const SMALL_FLEET: f64 = 32.0;
/// Wait before views are compared when an event hints that they differ.
const HINTED_SYNC_WAIT: Micros = Micros::from_secs(6);
/// Wait before views are compared after the start.
const FIRST_SYNC_WAIT: Micros = Micros::from_secs(2);
/// Consecutive mismatching digests after which views are compared early. They count only while no
/// updates are queued that may explain the difference, or too many to spread soon. A member that
/// missed an update mismatches with all others, while all others mismatch with it alone.
const MISMATCHES_MAX: u32 = 3;
/// Random delay of that comparison, so that many members that missed an update do not pull at the
/// same moment.
const MISMATCH_SYNC_WAIT: Micros = Micros::from_secs(1);
/// Shortest time between two such pulls per member in the list. At some 100 bytes a member, this
/// bounds them to 20 KB/s.
const SYNC_INTERVAL_PER_MEMBER: Micros = Micros::from_millis(5);
/// Bytes of tag and length in front of an update in a datagram.
const UPDATE_OVERHEAD: usize = 3;

/// State of joining and of comparing views.
pub(crate) struct Join {
    seeds: Vec<SocketAddr>,
    /// When to try to join next.
    join_at: Micros,
    /// Attempts to join; determines the backoff.
    attempts: u32,
    /// When to compare views next.
    sync_at: Micros,
    /// When to contact a dead member or an unknown seed next.
    reconnect_at: Micros,
    /// Whether the first complete list is still missing.
    list_pending: bool,
    /// Consecutive acks whose view digest differs.
    mismatches: u32,
    /// When the last comparison led to a pull.
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
    /// When joining or reconnecting has work to do next.
    pub(crate) fn due(&self) -> Micros {
        self.join_at.min(self.reconnect_at)
    }

    /// Whether an attempt to join is scheduled.
    pub(crate) fn is_trying(&self) -> bool {
        self.list_pending && self.join_at < Micros::MAX
    }

    /// Whether the first complete list is still missing although seeds were given.
    pub(crate) fn is_waiting_for_list(&self) -> bool {
        self.list_pending && !self.seeds.is_empty()
    }

    /// Whether the first complete list is still missing.
    pub(crate) fn is_list_pending(&self) -> bool {
        self.list_pending
    }
}

impl Fleet {
    /// Schedules the first contact of seeds or dead members and the first comparison of views.
    pub(crate) fn start_join(&mut self) {
        self.join.reconnect_at = self.now + self.settings.reconnect_interval;
        self.join.sync_at = self.now + FIRST_SYNC_WAIT;
    }

    /// Replaces the seeds, and starts joining through them if the complete list is missing.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        let me = self.me.udp;
        self.join.seeds = seeds.into_iter().filter(|&s| s != me).collect();
        if self.join.list_pending && !self.join.seeds.is_empty() {
            self.join.join_at = self.now;
            self.delay_reads();
        }
    }

    /// Runs the timers of joining and reconnecting.
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

    /// Schedules the next attempt to join after a failed pull.
    pub(crate) fn retry_join(&mut self, wait: Micros) {
        if self.join.is_trying() {
            self.join.join_at = self.join.join_at.min(self.now + wait);
        }
    }

    /// Ends joining: the first complete list was received.
    pub(crate) fn joined(&mut self) {
        if self.join.list_pending {
            self.join.list_pending = false;
            self.join.join_at = Micros::MAX;
            self.join.sync_at = self.now + self.jitter(FIRST_SYNC_WAIT);
        }
    }

    /// Answers a joining process with descriptions of this process and of some others to pull
    /// from.
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

    /// Compares view digests on an ack, and pulls the complete list if a comparison is due and
    /// they differ. While joining, schedules the first pull instead.
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

    /// Schedules an early comparison of views, as when a dead member came back.
    pub(crate) fn sync_soon(&mut self) {
        let soon = self.now + self.jitter(HINTED_SYNC_WAIT);
        self.join.sync_at = self.join.sync_at.min(soon);
    }

    /// Counts consecutive mismatches and schedules an early comparison at the bound.
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

    /// Pulls the complete list from a known member, or contacts seeds if none is known.
    fn try_join(&mut self, out: &mut Vec<Action>) {
        if !self.spread.is_idle(self.now) {
            self.join.join_at = self.spread.next_pull_at();
            return;
        }
        let wait = Micros(self.settings.join_backoff.0 << self.join.attempts.min(8));
        let wait = self.jitter(wait.min(self.settings.reconnect_interval));
        self.join.join_at = self.now + wait;
        self.join.attempts += 1;
        // The first member is chosen at random, so that the pulls of many processes spread over
        // the fleet.
        let known = self.view.sample(1, &mut self.rng).first().copied();
        let known = known.and_then(|k| self.view.member(k)).map(|m| m.id);
        let ahead = self.newest_source().filter(|_| self.spread.has_failed());
        match ahead.map(|s| s.id).or(known) {
            Some(id) => self.pull(id, PullScope::All, out),
            None => self.contact_seeds(SEEDS_PER_ROUND, out),
        }
    }

    /// Sends a join request to up to `n` random seeds that are not live members.
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
        let to_contact: Vec<_> = unknown.choose_multiple(&mut self.rng, n).copied().collect();
        for to in to_contact {
            let mut p = Packet::new(Kind::Join, self.next_seq());
            p.updates.push(Update::full(&self.me));
            self.send(to, p, out);
        }
    }

    /// Contacts a random unknown seed and a random dead member.
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
