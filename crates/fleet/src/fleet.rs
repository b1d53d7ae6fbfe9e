//! The state machine: one per process, driven from its control thread.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use bytes::Bytes;
use model::{Incarnation, MemberId, Micros, Version};
use prost::Message;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::convict::Convictions;
use crate::detect::Detect;
use crate::force::Watch;
use crate::join::Join;
use crate::packet::{wire_state, Kind, Packet, PacketError, Update, BODY_MAX};
use crate::rumor::Rumors;
use crate::spread::Spread;
use crate::suspicion::log_size;
use crate::table::Reader;
use crate::view::{mix, MemberKey, View};
use crate::{
    Action, Answer, Conviction, Counters, Digest, Event, HostEntry, Keyring, Member, MemberState,
    PullScope, Settings,
};

/// Membership and configuration as one process sees them.
pub struct Fleet {
    pub(crate) set: Settings,
    pub(crate) me: Member,
    pub(crate) view: View,
    pub(crate) rng: SmallRng,
    pub(crate) now: Micros,
    pub(crate) detect: Detect,
    pub(crate) rumors: Rumors,
    pub(crate) convictions: Convictions,
    pub(crate) spread: Spread,
    pub(crate) watch: Watch,
    pub(crate) reader: Reader,
    pub(crate) join: Join,
    pub(crate) counters: Counters,
    /// Hosts that go, as the platform listed them last.
    leaving: BTreeSet<String>,
    seq: u32,
    gossip_at: Micros,
    wake: Micros,
    quit: bool,
}

impl Fleet {
    /// A process that knows nobody; its first step starts the timers.
    ///
    /// `me.incarnation` must be higher than in earlier lives at the same address: the wall
    /// clock's microseconds will do.
    pub fn new(set: Settings, me: Member, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let seq = rng.random();
        Self {
            set,
            me,
            view: View::default(),
            rng,
            now: Micros::ZERO,
            detect: Detect::default(),
            rumors: Rumors::default(),
            convictions: Convictions::default(),
            spread: Spread::default(),
            watch: Watch::default(),
            reader: Reader::default(),
            join: Join::default(),
            counters: Counters::default(),
            leaving: BTreeSet::new(),
            seq,
            gossip_at: Micros::MAX,
            wake: Micros::MAX,
            quit: false,
        }
    }

    /// Takes in what happened by `now` and adds what is to be done to `out`.
    pub fn step(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        let start = self.wake == Micros::MAX;
        let late = now.since(self.wake) > self.set.period;
        self.now = self.now.max(now);
        match start {
            true => self.start(),
            false if late => self.resume(),
            false => {}
        }
        if self.quit {
            return;
        }
        self.take(event, out);
        if !self.quit {
            self.run_due(out);
            self.sleep(out);
        }
    }

    /// The live members other than this process.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.known_members().filter(|m| m.state.is_live())
    }

    /// How many live members there are, this process included.
    pub fn live(&self) -> usize {
        self.size()
    }

    /// All members other than this process that are remembered, the dead included.
    pub fn known_members(&self) -> impl Iterator<Item = &Member> {
        self.view.iter().map(|(_, e)| &e.member)
    }

    /// Whether some member's whole list came in, or there was nobody to ask for one.
    pub fn has_joined(&self) -> bool {
        !self.join.is_awaited()
    }

    /// A member by its id.
    pub fn member(&self, id: MemberId) -> Option<&Member> {
        self.view.key(id).and_then(|k| self.view.member(k))
    }

    /// This process.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Whether the platform has announced that a member's host goes.
    pub fn is_host_leaving(&self, id: MemberId) -> bool {
        let e = self.view.key(id).and_then(|k| self.view.get(k));
        // One that has joined since the last list came is not marked yet.
        e.is_some_and(|e| e.announced || self.leaving.contains(&e.member.host))
    }

    /// The configuration's version here; zero if there is none yet.
    pub fn version(&self) -> Version {
        self.spread.row.version
    }

    /// The digest of the configuration here.
    pub fn digest(&self) -> Digest {
        self.spread.row.digest
    }

    /// The configuration's text here.
    pub fn text(&self) -> &Bytes {
        &self.spread.row.text
    }

    /// The convictions that hold.
    pub fn convictions(&self) -> impl Iterator<Item = Conviction> + '_ {
        self.convictions.iter(self.now)
    }

    /// What to answer to another member's pull.
    pub fn answer(&self, scope: PullScope) -> Answer {
        let all = scope == PullScope::All;
        let epoch = self.set.epoch;
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

    /// What has happened since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Changes the keys, as when they are rotated.
    pub fn set_keys(&mut self, keys: Keyring) {
        self.set.keys = keys;
    }

    /// Changes this process's words for its peers.
    pub fn set_tags(&mut self, tags: impl Into<String>) {
        self.me.tags = tags.into();
        self.me.incarnation.0 += 1;
        self.rumors.push(Update::full(&self.me));
    }

    /// Live members, this process included.
    pub(crate) fn size(&self) -> usize {
        self.view.live() + 1
    }

    /// How often an update is passed on.
    pub(crate) fn limit(&self) -> u32 {
        (self.set.retransmit * log_size(self.size())).ceil() as u32
    }

    /// Digest of the live members, this process included.
    pub(crate) fn view_hash(&self) -> u64 {
        self.view.hash() ^ mix(self.me.id.0, self.me.incarnation.0)
    }

    /// A span between half and one and a half of the given one.
    pub(crate) fn jitter(&mut self, span: Micros) -> Micros {
        self.within(span) + Micros(span.0 / 2)
    }

    /// A span from nothing to the given one.
    pub(crate) fn within(&mut self, span: Micros) -> Micros {
        Micros(self.rng.random_range(0..=span.0))
    }

    pub(crate) fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// Sends a datagram with the sender's header and as many updates as fit.
    pub(crate) fn send(&mut self, to: SocketAddr, mut p: Packet, out: &mut Vec<Action>) {
        let row = &self.spread.row;
        p.from = self.me.id.0;
        p.incarnation = self.me.incarnation.0;
        p.state = wire_state(self.me.state) as i32;
        p.version = row.version.0;
        p.digest = row.digest.to_wire();
        p.proven = self.spread.proven;
        p.origin = self.spread.reports_to();
        p.view = self.view_hash();
        let limit = match self.rumors.is_flood() {
            true => self.limit() / 2,
            false => self.limit(),
        };
        let room = BODY_MAX.saturating_sub(p.encoded_len());
        self.convictions.fill(&mut p, room, limit, self.set.epoch);
        let mut body = p.encode_to_vec();
        self.rumors.fill(&mut body, limit);
        self.spread.hot = self.spread.hot.saturating_sub(1);
        let bytes = self.set.keys.seal(&body);
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        out.push(Action::Send { to, bytes });
    }

    /// Sends a datagram that asks for nothing.
    pub(crate) fn tell(&mut self, k: MemberKey, updates: Vec<Update>, out: &mut Vec<Action>) {
        let Some(to) = self.view.member(k).map(|m| m.udp) else {
            return;
        };
        let mut p = Packet::new(Kind::Gossip, 0);
        p.updates = updates;
        self.send(to, p, out);
    }

    fn take(&mut self, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Datagram { from, bytes } => self.receive(from, bytes, out),
            Event::Seeds(seeds) => self.set_seeds(seeds),
            Event::Hosts(hosts) => self.hint(hosts, out),
            Event::Table(read) => self.table_read(read, out),
            Event::Pulled { from, answer } => self.pulled(from, answer, out),
            Event::PullFailed { from } => self.pull_failed(from),
            Event::Accepted(row) => self.accepted(row, out),
            Event::Convicted(c) => {
                self.convictions.add(self.now, c);
            }
            Event::PollVersions => self.watch_now(),
            Event::Leave => self.announce(MemberState::Leaving),
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
        match Packet::open(&self.set.keys, bytes) {
            Ok(p) if p.from == self.me.id.0 => {}
            Ok(p) => self.merge_packet(from, p, out),
            Err(PacketError::Seal(_)) => self.counters.bad_seal += 1,
            Err(_) => self.counters.bad_packet += 1,
        }
    }

    /// Timers that are due; each sets its next time.
    fn run_due(&mut self, out: &mut Vec<Action>) {
        self.run_detect(out);
        self.run_join(out);
        self.run_spread(out);
        self.run_watch(out);
        self.run_reads(out);
        if self.gossip_at <= self.now {
            self.gossip(out);
        }
        self.arm_gossip();
    }

    /// Spare datagrams while there is something to tell.
    ///
    /// Pings alone would spread a change in as many periods as the fleet's logarithm.
    fn gossip(&mut self, out: &mut Vec<Action>) {
        self.gossip_at = Micros::MAX;
        for k in self.view.sample(self.set.fanout, &mut self.rng) {
            self.tell(k, Vec::new(), out);
        }
    }

    fn arm_gossip(&mut self) {
        let news = !self.rumors.is_empty() || self.convictions.is_hot() || self.spread.hot > 0;
        if news && self.view.live() > 0 && self.gossip_at == Micros::MAX {
            let span = self.set.gossip_every;
            self.gossip_at = self.now + self.jitter(span);
        }
    }

    /// Asks for the next tick, if it isn't the one asked for last.
    fn sleep(&mut self, out: &mut Vec<Action>) {
        let due = [
            self.detect.due(),
            self.join.due(),
            self.spread.due(),
            self.watch.due(),
            self.reader.due(),
            self.gossip_at,
        ];
        let at = due.into_iter().min().unwrap_or(Micros::MAX);
        let at = at.max(self.now + Micros(1));
        if at != self.wake {
            out.push(Action::WakeAt(at));
        }
        self.wake = at;
    }

    /// Takes up work after this process was paused.
    ///
    /// Nobody was heard during the pause, so each open question looks unanswered. Without this,
    /// a process that was stopped for a minute would declare live members dead when it goes on;
    /// one would notice a wave of suspicions from one member.
    fn resume(&mut self) {
        self.counters.paused += 1;
        self.resume_detect();
    }

    fn hint(&mut self, hosts: Vec<HostEntry>, out: &mut Vec<Action>) {
        let gone = hosts.into_iter().filter(|h| h.leaving);
        self.leaving = gone.map(|h| h.name).collect();
        let leaving = |m: &Member| self.leaving.contains(&m.host);
        for (_, e) in self.view.iter_mut() {
            let announced = e.member.state.is_live() && leaving(&e.member);
            if announced != e.announced {
                e.announced = announced;
                out.push(Action::Changed(e.member.clone()));
            }
        }
    }

    /// Says of itself that it stops.
    fn announce(&mut self, state: MemberState) {
        if self.me.state >= state {
            return;
        }
        self.me.state = state;
        self.me.incarnation = Incarnation(self.me.incarnation.0 + 1);
        self.rumors.push(Update::brief(&self.me, MemberId(0)));
    }

    /// Tells some members of the departure, twice as many as a change, since it can't be asked
    /// again.
    fn quit(&mut self, out: &mut Vec<Action>) {
        self.announce(MemberState::Left);
        for k in self.view.sample(2 * self.set.burst, &mut self.rng) {
            self.tell(k, Vec::new(), out);
        }
        self.quit = true;
    }
}
