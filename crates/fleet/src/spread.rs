//! Dissemination of the configuration.
//!
//! A change must be in force everywhere within seconds and must never be reverted. Each datagram
//! carries the sender's configuration version. A process with an older version pulls the text from
//! one with a newer version, then notifies a few others at once, so a change spreads as an
//! epidemic in which each step is one pull. Only higher versions are adopted; otherwise a process
//! that was paused, or an old datagram, could bring back an older text. Failed pulls back off with
//! jitter; otherwise all members would retry a member that cannot answer at the same moments.

use std::cmp::Ordering;

use bytes::Bytes;
use model::{Incarnation, MemberId, Micros, Version};

use crate::packet::{Kind, Packet};
use crate::view::MemberKey;
use crate::{Action, Answer, Digest, Fleet, PullScope, TableRow};

/// Bound on remembered members with a newer version; enough that some can fail.
const SOURCES_MAX: usize = 4;
/// A joining process doubles its backoff only after this many failures. It can ask any member of
/// the fleet, and after a mass restart two in five of the members it has learned of are gone.
const JOIN_FAILURES_PER_DOUBLING: u32 = 4;
/// Consecutive failed pulls after which the table is read instead.
const FAILURES_BEFORE_TABLE: u32 = 4;

/// A member that announced a newer configuration, or the text that the table holds for the version
/// here.
#[derive(Clone, Copy)]
pub(crate) struct Source {
    pub(crate) id: MemberId,
    version: Version,
    digest: Digest,
    /// Whether the digest is known to be the table's.
    proven: bool,
    /// The member that wrote the configuration to the table; zero if unknown.
    origin: MemberId,
}

/// A pull in progress.
struct Pull {
    from: MemberId,
    deadline: Micros,
    /// What the member had announced, if it was remembered as a source.
    source: Option<Source>,
}

/// The configuration in force here and the state of pulling the next one.
pub(crate) struct Spread {
    pub(crate) row: TableRow,
    /// Whether the table is known to hold this digest for this version.
    pub(crate) proven: bool,
    /// Number of datagrams that still announce the change as new.
    pub(crate) announcements_left: u32,
    /// Whether another text with the same version was seen.
    pub(crate) contested: bool,
    /// The member that wrote this configuration to the table and collects reports; zero if
    /// unknown.
    origin: MemberId,
    /// Members to pull from.
    sources: Vec<Source>,
    pull: Option<Pull>,
    /// Consecutive failed pulls.
    failures: u32,
    /// When the next pull may start.
    retry_at: Micros,
}

impl Default for Spread {
    fn default() -> Self {
        Self {
            row: TableRow {
                version: Version(0),
                digest: Digest::default(),
                text: Bytes::new(),
            },
            proven: false,
            announcements_left: 0,
            contested: false,
            origin: MemberId(0),
            sources: Vec::new(),
            pull: None,
            failures: 0,
            retry_at: Micros::ZERO,
        }
    }
}

impl Spread {
    /// When dissemination has work to do next.
    pub(crate) fn due(&self) -> Micros {
        match &self.pull {
            Some(p) => p.deadline,
            None if self.sources.is_empty() => Micros::MAX,
            None => self.retry_at,
        }
    }

    /// When the next pull can start at the latest.
    pub(crate) fn next_pull_at(&self) -> Micros {
        self.pull.as_ref().map_or(self.retry_at, |p| p.deadline)
    }

    /// The member to report the change to; zero once the change is no longer announced.
    pub(crate) fn report_origin(&self) -> u64 {
        match self.announcements_left {
            0 => 0,
            _ => self.origin.0,
        }
    }

    /// Whether the last pull failed.
    pub(crate) fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Whether a pull can start now.
    pub(crate) fn is_idle(&self, now: Micros) -> bool {
        self.pull.is_none() && self.retry_at <= now
    }

    /// Moves a member to the front of the list, which is pulled from last: it is asked again only
    /// if no other source has the version.
    fn deprioritize(&mut self, from: MemberId) {
        self.sources.sort_by_key(|s| s.id != from);
    }

    /// Adds or refreshes a source; the oldest one is dropped at the bound.
    fn add_source(&mut self, s: Source) {
        self.sources.retain(|o| o.id != s.id);
        if self.sources.len() >= SOURCES_MAX {
            self.sources.remove(0);
        }
        self.sources.push(s);
    }
}

impl Fleet {
    /// Ends a pull that timed out and starts the next one if due.
    pub(crate) fn run_spread(&mut self, out: &mut Vec<Action>) {
        if let Some(p) = self.spread.pull.as_ref().filter(|p| p.deadline <= self.now) {
            let from = p.from;
            self.pull_failed(from);
        }
        // A joining process gets the text with the complete member list.
        if self.spread.is_idle(self.now) && !self.join.is_trying() {
            self.pull_text(out);
        }
    }

    /// Compares a sender's configuration with the local one.
    pub(crate) fn compare_config(&mut self, k: MemberKey, p: &Packet, out: &mut Vec<Action>) {
        let digest = Digest::from_wire(&p.digest).unwrap_or_default();
        let version = Version(p.version);
        let Some(e) = self.view.get_mut(k) else {
            return;
        };
        e.record_version(Incarnation(p.incarnation), version);
        let s = Source {
            id: MemberId(p.from),
            version,
            digest,
            proven: p.proven,
            origin: MemberId(p.origin),
        };
        let (mine, own) = (self.spread.row.version, self.spread.row.digest);
        match version.cmp(&mine) {
            Ordering::Greater => self.spread.add_source(s),
            Ordering::Less => {}
            _ if digest == own => self.on_same_text(p, out),
            _ => self.on_conflicting_text(s),
        }
    }

    /// Puts a configuration in force.
    pub(crate) fn adopt(&mut self, row: TableRow, proven: bool, out: &mut Vec<Action>) {
        let version = row.version;
        self.spread.row = row.clone();
        self.spread.proven = proven;
        self.spread.contested = false;
        self.spread.origin = MemberId(0);
        self.spread.failures = 0;
        self.spread.sources.retain(|s| s.version > version);
        out.push(Action::Adopt(row));
    }

    /// Notifies a few members at once, and reports to the member that wrote the change.
    pub(crate) fn announce_config(&mut self, origin: MemberId, out: &mut Vec<Action>) {
        self.spread.origin = origin;
        self.spread.announcements_left = self.limit();
        for k in self.view.sample(self.settings.config_fanout, &mut self.rng) {
            self.send_gossip(k, Vec::new(), out);
        }
        self.send_report(out);
    }

    /// Takes over what a sender with the same configuration adds to it: whether the table
    /// holds it, and which member wrote it.
    ///
    /// A reader of the table may find a change at the same time as its writer, and what the reader
    /// spreads names no writer. Unless members that got the change from it report once they learn
    /// the writer, hundreds of them have to be polled, and an `apply` takes seconds longer now and
    /// then.
    fn on_same_text(&mut self, p: &Packet, out: &mut Vec<Action>) {
        if p.proven {
            self.mark_proven();
        }
        let known = self.spread.origin != MemberId(0);
        if p.origin != 0 && p.origin != self.me.id.0 && !known {
            self.spread.origin = MemberId(p.origin);
            self.send_report(out);
        }
    }

    /// Reports to the member that wrote the change that it is in force here.
    fn send_report(&mut self, out: &mut Vec<Action>) {
        let origin = self.view.key(self.spread.origin);
        let to = origin.and_then(|k| self.view.member(k)).map(|m| m.udp);
        if let Some(to) = to {
            let p = Packet::new(Kind::Report, 0);
            self.send(to, p, out);
        }
    }

    /// Handles a configuration that this process wrote to the table.
    pub(crate) fn accepted(&mut self, row: TableRow, out: &mut Vec<Action>) {
        let mine = &self.spread.row;
        match row.version.cmp(&mine.version) {
            Ordering::Less => return,
            // A reader of the table found the change before the writer got the table's answer.
            Ordering::Equal if row.digest == mine.digest => self.mark_proven(),
            _ => self.adopt(row, true, out),
        }
        self.announce_config(self.me.id, out);
        self.expect_reports();
    }

    /// Starts a pull. Callers check that none is in progress: one at a time bounds the traffic of
    /// a process.
    pub(crate) fn pull(&mut self, from: MemberId, scope: PullScope, out: &mut Vec<Action>) {
        let Some(m) = self.view.key(from).and_then(|k| self.view.member(k)) else {
            return;
        };
        let tcp = m.tcp;
        let source = self.spread.sources.iter().find(|s| s.id == from).copied();
        self.spread.pull = Some(Pull {
            from,
            deadline: self.now + self.pull_timeout(scope),
            source,
        });
        self.counters.pulls += 1;
        out.push(Action::Pull { from, tcp, scope });
    }

    /// Handles the answer to a pull.
    pub(crate) fn pulled(&mut self, from: MemberId, answer: Answer, out: &mut Vec<Action>) {
        let pull = self.spread.pull.take_if(|p| p.from == from);
        let source = pull.and_then(|p| p.source);
        self.spread.sources.retain(|s| s.id != from);
        if Digest::of(&answer.text) != answer.digest && answer.version.0 > 0 {
            self.spread.pull = None;
            return self.back_off();
        }
        let joining = self.join.is_list_pending();
        let has_list = !answer.members.is_empty();
        // A later process at the same address has no state yet, and its answer would look like an
        // empty fleet.
        let restarted = has_list && answer.members.iter().all(|m| m.id != from);
        let outdated = source.is_some_and(|s| answer.version < s.version);
        // Likewise a member that is itself still joining, as when all entries restart together. If
        // its list were taken as complete, this process would get the configuration only once
        // another member contacts it or it reads the table.
        let still_joining = joining
            && self
                .newest_source()
                .is_some_and(|s| answer.version < s.version);
        if restarted || outdated || still_joining {
            self.counters.pull_failures += 1;
            return self.back_off();
        }
        self.merge_list(from, answer.members, joining, out);
        for c in answer.convictions {
            self.convict(c, out);
        }
        let row = TableRow {
            version: answer.version,
            digest: answer.digest,
            text: answer.text,
        };
        self.adopt_if_newer(row, source, joining, out);
        if has_list {
            self.joined();
        }
    }

    /// The live member with the newest known version; none after too many failed pulls.
    pub(crate) fn newest_source(&self) -> Option<Source> {
        let live = |s: &&Source| self.view.key(s.id).is_some_and(|k| self.view.is_live(k));
        let sources = self.spread.sources.iter().filter(live);
        let top = sources.max_by_key(|s| s.version).copied();
        top.filter(|_| self.spread.failures < FAILURES_BEFORE_TABLE)
    }

    /// Handles a failed pull: the next one asks another member, after a growing backoff.
    pub(crate) fn pull_failed(&mut self, from: MemberId) {
        if self.spread.pull.take_if(|p| p.from == from).is_some() {
            self.counters.pull_failures += 1;
            self.spread.deprioritize(from);
            self.back_off();
        }
    }

    /// The timeout of a pull. That of a text pull is short at first, so that another member is
    /// asked before a lost connection would be noticed.
    fn pull_timeout(&self, scope: PullScope) -> Micros {
        let text = Micros(self.settings.config_pull_timeout.0 << self.spread.failures.min(8));
        match scope {
            PullScope::All if self.join.is_list_pending() => self.settings.join_pull_timeout,
            PullScope::All => self.settings.pull_timeout,
            PullScope::Config => text.min(self.settings.pull_timeout),
        }
    }

    /// Schedules the next pull after a failure, and a read of the table after several.
    fn back_off(&mut self) {
        self.spread.failures += 1;
        let doubled = match self.join.is_trying() {
            true => self.spread.failures / JOIN_FAILURES_PER_DOUBLING,
            false => self.spread.failures,
        };
        let wait = self.settings.pull_backoff.0 << doubled.min(16);
        let wait = self.jitter(Micros(wait).min(self.settings.pull_backoff_max));
        self.spread.retry_at = self.now + wait;
        self.retry_join(wait);
        if self.spread.failures >= FAILURES_BEFORE_TABLE {
            self.read_soon(wait);
        }
    }

    /// Adopts a pulled text if its version is newer, or if it is known to be the table's text for
    /// the version here and the local one is not.
    fn adopt_if_newer(
        &mut self,
        row: TableRow,
        source: Option<Source>,
        joining: bool,
        out: &mut Vec<Action>,
    ) {
        let mine = &self.spread.row;
        let source = source.filter(|s| s.digest == row.digest && s.version == row.version);
        let proven = source.is_some_and(|s| s.proven);
        let chosen = row.version == mine.version
            && row.digest != mine.digest
            && proven
            && !self.spread.proven;
        if row.version <= mine.version && !chosen {
            return;
        }
        self.adopt(row, proven, out);
        // A restarted process only catches up with the others, so it has nothing to announce.
        if !joining {
            let origin = source.map_or(MemberId(0), |s| s.origin);
            self.announce_config(origin, out);
        }
    }

    /// Pulls the text from the source with the newest version.
    fn pull_text(&mut self, out: &mut Vec<Action>) {
        let spread = &mut self.spread;
        let view = &self.view;
        spread
            .sources
            .retain(|s| view.key(s.id).is_some_and(|k| view.is_live(k)));
        let Some(top) = spread.sources.iter().map(|s| s.version).max() else {
            return;
        };
        let from = spread.sources.iter().rfind(|s| s.version == top);
        if let Some(from) = from.map(|s| s.id) {
            self.pull(from, PullScope::Config, out);
        }
    }

    /// Handles two texts of one version: the one known to be the table's wins; if that is known of
    /// neither or of both, the table is read.
    fn on_conflicting_text(&mut self, s: Source) {
        self.counters.version_conflicts += 1;
        match (s.proven, self.spread.proven) {
            (true, false) => self.spread.add_source(s),
            (false, true) => {}
            _ => self.resolve_by_table(),
        }
    }
}
