//! The state machine of one process, driven from its control thread.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use bytes::Bytes;
use model::{Incarnation, MemberId, Micros, Version};
use prost::Message;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::convict::Convictions;
use crate::detect::Detect;
use crate::in_force::VersionPoll;
use crate::join::Join;
use crate::packet::{wire_state, Kind, Packet, PacketError, Update, BODY_MAX};
use crate::rumor::Rumors;
use crate::spread::Spread;
use crate::suspicion::log_size;
use crate::table::TableReader;
use crate::view::{mix, MemberKey, View};
use crate::{
    Action, Answer, Conviction, Counters, Digest, Event, HostEntry, Keyring, Member, MemberState,
    PullScope, Settings,
};

/// Membership and configuration as seen by one process.
pub struct Fleet {
    pub(crate) settings: Settings,
    pub(crate) me: Member,
    pub(crate) view: View,
    pub(crate) rng: SmallRng,
    pub(crate) now: Micros,
    pub(crate) detect: Detect,
    pub(crate) rumors: Rumors,
    pub(crate) convictions: Convictions,
    pub(crate) spread: Spread,
    pub(crate) version_poll: VersionPoll,
    pub(crate) reader: TableReader,
    pub(crate) join: Join,
    pub(crate) counters: Counters,
    /// Hosts that are leaving according to the latest host list of the platform.
    leaving_hosts: BTreeSet<String>,
    /// Sequence number of the last probe.
    seq: u32,
    /// When to send the next round of gossip datagrams.
    gossip_at: Micros,
    /// The time of the last [`Action::WakeAt`].
    wake_at: Micros,
    /// Set by [`Event::Quit`]; later events are ignored.
    has_quit: bool,
}

impl Fleet {
    /// Creates the state of a process without any other member in its view; the first step starts the
    /// timers.
    ///
    /// `me.incarnation` must be higher than that of any earlier process at the same address, such
    /// as the wall clock's microseconds.
    pub fn new(settings: Settings, me: Member, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let seq = rng.random();
        Self {
            settings,
            me,
            view: View::default(),
            rng,
            now: Micros::ZERO,
            detect: Detect::default(),
            rumors: Rumors::default(),
            convictions: Convictions::default(),
            spread: Spread::default(),
            version_poll: VersionPoll::default(),
            reader: TableReader::default(),
            join: Join::default(),
            counters: Counters::default(),
            leaving_hosts: BTreeSet::new(),
            seq,
            gossip_at: Micros::MAX,
            wake_at: Micros::MAX,
            has_quit: false,
        }
    }

    /// Processes an event at time `now` and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        let first_step = self.wake_at == Micros::MAX;
        let was_paused = now.since(self.wake_at) > self.settings.probe_period;
        self.now = self.now.max(now);
        match first_step {
            true => self.start(),
            false if was_paused => self.resume(),
            false => {}
        }
        if self.has_quit {
            return;
        }
        self.handle(event, out);
        if !self.has_quit {
            self.run_due(out);
            self.schedule_wake(out);
        }
    }

    /// The live members other than this process.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.known_members().filter(|m| m.state.is_live())
    }

    /// Number of live members, including this process.
    pub fn live(&self) -> usize {
        self.size()
    }

    /// All members in the view other than this process, including tombstones.
    pub fn known_members(&self) -> impl Iterator<Item = &Member> {
        self.view.iter().map(|(_, e)| &e.member)
    }

    /// Whether a complete member list was received, or no seeds were given to get one from.
    pub fn has_joined(&self) -> bool {
        !self.join.is_waiting_for_list()
    }

    /// Looks up a member by its id.
    pub fn member(&self, id: MemberId) -> Option<&Member> {
        self.view.key(id).and_then(|k| self.view.member(k))
    }

    /// This process as a member.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Whether the platform has announced that the host of a member is leaving.
    pub fn is_host_leaving(&self, id: MemberId) -> bool {
        let e = self.view.key(id).and_then(|k| self.view.get(k));
        // Members that joined after the last host list are not marked yet.
        e.is_some_and(|e| e.host_leaving || self.leaving_hosts.contains(&e.member.host))
    }

    /// The version of the configuration in force here; zero if there is none.
    pub fn version(&self) -> Version {
        self.spread.row.version
    }

    /// The digest of the configuration in force here.
    pub fn digest(&self) -> Digest {
        self.spread.row.digest
    }

    /// The text of the configuration in force here.
    pub fn text(&self) -> &Bytes {
        &self.spread.row.text
    }

    /// The convictions that have not expired.
    pub fn convictions(&self) -> impl Iterator<Item = Conviction> + '_ {
        self.convictions.iter(self.now)
    }

    /// The answer to a pull by another member.
    pub fn answer(&self, scope: PullScope) -> Answer {
        let all = scope == PullScope::All;
        let epoch = self.settings.epoch;
        let members = std::iter::once(&self.me).chain(self.known_members());
        let wall = |c: Conviction| Conviction {
            until: c.until + epoch,
            ..c
        };
        Answer {
            version: self.version(),
            digest: self.digest(),
            text: self.text().clone(),
            members: members.filter(|_| all).cloned().collect(),
            convictions: self.convictions().filter(|_| all).map(wall).collect(),
        }
    }

    /// Event counts since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Replaces the keys, as during a key rotation.
    pub fn set_keys(&mut self, keys: Keyring) {
        self.settings.keys = keys;
    }

    /// Sets this process's tags and gossips the change.
    pub fn set_tags(&mut self, tags: impl Into<String>) {
        self.me.tags = tags.into();
        self.me.incarnation.0 += 1;
        self.rumors.push(Update::full(&self.me));
    }

    /// Number of live members, including this process.
    pub(crate) fn size(&self) -> usize {
        self.view.live() + 1
    }

    /// How many times an update is retransmitted.
    pub(crate) fn limit(&self) -> u32 {
        (self.settings.retransmit_mult * log_size(self.size())).ceil() as u32
    }

    /// Digest of the live members, including this process.
    pub(crate) fn view_hash(&self) -> u64 {
        self.view.hash() ^ mix(self.me.id.0, self.me.incarnation.0)
    }

    /// A random span between half and one and a half times the given one.
    pub(crate) fn jitter(&mut self, span: Micros) -> Micros {
        self.within(span) + Micros(span.0 / 2)
    }

    /// A random span between zero and the given one.
    pub(crate) fn within(&mut self, span: Micros) -> Micros {
        Micros(self.rng.random_range(0..=span.0))
    }

    pub(crate) fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// Sends a datagram with this process's header and as many piggybacked updates as fit.
    pub(crate) fn send(&mut self, to: SocketAddr, mut p: Packet, out: &mut Vec<Action>) {
        let row = &self.spread.row;
        p.from = self.me.id.0;
        p.incarnation = self.me.incarnation.0;
        p.state = wire_state(self.me.state) as i32;
        p.version = row.version.0;
        p.digest = row.digest.to_wire();
        p.proven = self.spread.proven;
        p.origin = self.spread.report_origin();
        p.view = self.view_hash();
        let limit = match self.rumors.is_backlogged() {
            true => self.limit() / 2,
            false => self.limit(),
        };
        let room = BODY_MAX.saturating_sub(p.encoded_len());
        self.convictions
            .fill(&mut p, room, limit, self.settings.epoch);
        let mut body = p.encode_to_vec();
        self.rumors.fill(&mut body, limit);
        self.spread.announcements_left = self.spread.announcements_left.saturating_sub(1);
        let bytes = self.settings.keys.seal(&body);
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        out.push(Action::Send { to, bytes });
    }

    /// Sends a datagram that needs no reply.
    pub(crate) fn send_gossip(
        &mut self,
        k: MemberKey,
        updates: Vec<Update>,
        out: &mut Vec<Action>,
    ) {
        let Some(to) = self.view.member(k).map(|m| m.udp) else {
            return;
        };
        let mut p = Packet::new(Kind::Gossip, 0);
        p.updates = updates;
        self.send(to, p, out);
    }

    fn handle(&mut self, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Datagram { from, bytes } => self.receive(from, bytes, out),
            Event::Seeds(seeds) => self.set_seeds(seeds),
            Event::Hosts(hosts) => self.apply_hosts(hosts, out),
            Event::Table(read) => self.table_read(read, out),
            Event::Pulled { from, answer } => self.pulled(from, answer, out),
            Event::PullFailed { from } => self.pull_failed(from),
            Event::Accepted(row) => self.accepted(row, out),
            Event::Convicted(c) => {
                self.convictions.add(self.now, c);
            }
            Event::PollVersions => self.poll_versions_now(),
            Event::Leave => self.set_own_state(MemberState::Leaving),
            Event::Quit => self.quit(out),
        }
    }

    fn start(&mut self) {
        self.rumors.push(Update::full(&self.me));
        self.detect.start(self.now);
        self.start_join();
        self.start_reads();
    }

    fn receive(&mut self, from: SocketAddr, bytes: Bytes, out: &mut Vec<Action>) {
        self.counters.received += 1;
        match Packet::open(&self.settings.keys, bytes) {
            Ok(p) if p.from == self.me.id.0 => {}
            Ok(p) => self.merge_packet(from, p, out),
            Err(PacketError::Seal(_)) => self.counters.bad_seal += 1,
            Err(_) => self.counters.bad_packet += 1,
        }
    }

    /// Runs all timers that are due.
    fn run_due(&mut self, out: &mut Vec<Action>) {
        self.run_detect(out);
        self.run_join(out);
        self.run_spread(out);
        self.run_version_poll(out);
        self.run_reads(out);
        if self.gossip_at <= self.now {
            self.gossip(out);
        }
        self.arm_gossip();
    }

    /// Sends a round of gossip datagrams while updates are queued.
    ///
    /// Piggybacking on probes alone would take as many periods to spread a change as the logarithm
    /// of the fleet size.
    fn gossip(&mut self, out: &mut Vec<Action>) {
        self.gossip_at = Micros::MAX;
        for k in self.view.sample(self.settings.fanout, &mut self.rng) {
            self.send_gossip(k, Vec::new(), out);
        }
    }

    /// Schedules the next round of gossip if something is queued.
    fn arm_gossip(&mut self) {
        let pending = !self.rumors.is_empty()
            || self.convictions.has_pending()
            || self.spread.announcements_left > 0;
        if pending && self.view.live() > 0 && self.gossip_at == Micros::MAX {
            let span = self.settings.gossip_interval;
            self.gossip_at = self.now + self.jitter(span);
        }
    }

    /// Requests the next tick, unless the driver already has that time.
    fn schedule_wake(&mut self, out: &mut Vec<Action>) {
        let due = [
            self.detect.due(),
            self.join.due(),
            self.spread.due(),
            self.version_poll.due(),
            self.reader.due(),
            self.gossip_at,
        ];
        let at = due.into_iter().min().unwrap_or(Micros::MAX);
        let at = at.max(self.now + Micros(1));
        if at != self.wake_at {
            out.push(Action::WakeAt(at));
        }
        self.wake_at = at;
    }

    /// Recovers after this process was paused.
    ///
    /// Nothing was received during the pause, so all open probes look unanswered. Without this
    /// step, a process that was stopped for a minute would declare live members dead when it
    /// resumes, and one member would cause a wave of suspicions.
    fn resume(&mut self) {
        self.counters.paused += 1;
        self.resume_detect();
    }

    /// Marks members by the platform's host list.
    fn apply_hosts(&mut self, hosts: Vec<HostEntry>, out: &mut Vec<Action>) {
        let gone = hosts.into_iter().filter(|h| h.leaving);
        self.leaving_hosts = gone.map(|h| h.name).collect();
        let leaving = |m: &Member| self.leaving_hosts.contains(&m.host);
        for (_, e) in self.view.iter_mut() {
            let host_leaving = e.member.state.is_live() && leaving(&e.member);
            if host_leaving != e.host_leaving {
                e.host_leaving = host_leaving;
                out.push(Action::Changed(e.member.clone()));
            }
        }
    }

    /// Changes the state of this process and gossips the change.
    fn set_own_state(&mut self, state: MemberState) {
        if self.me.state >= state {
            return;
        }
        self.me.state = state;
        self.me.incarnation = Incarnation(self.me.incarnation.0 + 1);
        self.rumors.push(Update::brief(&self.me, MemberId(0)));
    }

    /// Gossips the departure to some members, twice as many as for a configuration change, since
    /// this process cannot be asked again.
    fn quit(&mut self, out: &mut Vec<Action>) {
        self.set_own_state(MemberState::Left);
        for k in self
            .view
            .sample(2 * self.settings.config_fanout, &mut self.rng)
        {
            self.send_gossip(k, Vec::new(), out);
        }
        self.has_quit = true;
    }
}
