//! Spread of the configuration.
//!
//! A change must be in force everywhere within seconds and never revert. Each datagram names the
//! sender's version; whoever is behind pulls the text from whoever is ahead, then tells a few
//! others at once, so a change travels as an epidemic whose every step is one pull. Only higher
//! versions are adopted: without that, a process that was paused, or an old datagram, could bring
//! back an older text. Failed pulls back off with jitter; without it, a member that can't answer
//! would be asked by all others in step.

use bytes::Bytes;
use model::{MemberId, Micros, Version};
use rand::seq::IndexedRandom;

use crate::merge::listed;
use crate::packet::{Kind, Packet, PacketError};
use crate::view::MemberKey;
use crate::{Action, Answer, Fleet, Member, MemberState, TableRow, What};

/// Bound on members known to be ahead; enough that some can be lost.
const SOURCES_MAX: usize = 4;
/// Failed pulls in a row after which the table is asked instead.
const TABLE_AFTER: u32 = 4;
/// Members asked in one round for the version they have.
const ASK_MAX: usize = 64;
/// Time that members have to report a change by themselves.
const REPORT_WAIT: Micros = Micros::from_secs(1);
/// Time between two rounds of asking.
const ASK_EVERY: Micros = Micros::from_millis(500);
/// How long to go on asking.
const WATCH_MAX: Micros = Micros::from_secs(60);
/// Most reports of one pulled list that are passed on; the rest is left to others' pulls.
const PASS_MAX: usize = 64;
/// Most members of one pulled list that are told they are taken for dead.
const WARN_MAX: usize = 16;

/// 128 bits of a configuration's BLAKE3.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// The digest of a text.
    pub fn of(text: impl AsRef<[u8]>) -> Self {
        let hash = blake3::hash(text.as_ref());
        let mut d = [0; 16];
        d.copy_from_slice(&hash.as_bytes()[..16]);
        Self(d)
    }

    pub(crate) fn to_wire(self) -> Bytes {
        match self == Self::default() {
            true => Bytes::new(),
            false => Bytes::copy_from_slice(&self.0),
        }
    }

    pub(crate) fn from_wire(b: &Bytes) -> Result<Self, PacketError> {
        match b.len() {
            0 => Ok(Self::default()),
            n => Ok(Self(b[..].try_into().map_err(|_| PacketError::Digest(n))?)),
        }
    }
}

impl std::fmt::Display for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

/// A live member without the newest configuration, as far as is known here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lag {
    /// Which member.
    pub id: MemberId,
    /// Where it runs.
    pub host: String,
    /// What it last reported; none if nothing was heard.
    pub version: Option<Version>,
}

/// How far the configuration here is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    /// The version asked about.
    pub version: Version,
    /// Live members, this process included.
    pub live: usize,
    /// Those that report it or a later one, this process included.
    pub current: usize,
    /// The others.
    pub lagging: Vec<Lag>,
}

/// A member that is ahead.
#[derive(Clone, Copy)]
pub(crate) struct Source {
    pub(crate) id: MemberId,
    version: Version,
    digest: Digest,
    proven: bool,
    origin: MemberId,
}

struct Pull {
    from: MemberId,
    until: Micros,
    source: Option<Source>,
}

/// The configuration here and what is under way for the next one.
pub(crate) struct Spread {
    pub(crate) row: TableRow,
    /// The table is known to hold this digest for this version.
    pub(crate) proven: bool,
    /// Datagrams in which the change is still told.
    pub(crate) hot: u32,
    /// Another text of the same version is about.
    pub(crate) contested: bool,
    origin: MemberId,
    sources: Vec<Source>,
    pull: Option<Pull>,
    fails: u32,
    retry_at: Micros,
    watch_at: Micros,
    watch_until: Micros,
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
            hot: 0,
            contested: false,
            origin: MemberId(0),
            sources: Vec::new(),
            pull: None,
            fails: 0,
            retry_at: Micros::ZERO,
            watch_at: Micros::MAX,
            watch_until: Micros::ZERO,
        }
    }
}

impl Spread {
    pub(crate) fn due(&self) -> Micros {
        let pull = match &self.pull {
            Some(p) => p.until,
            None if self.sources.is_empty() => Micros::MAX,
            None => self.retry_at,
        };
        pull.min(self.watch_at)
    }

    /// Whom to tell that the change is in force; nobody once it is old.
    pub(crate) fn reports_to(&self) -> u64 {
        match self.hot {
            0 => 0,
            _ => self.origin.0,
        }
    }

    /// Whether the last pull failed.
    pub(crate) fn has_failed(&self) -> bool {
        self.fails > 0
    }

    pub(crate) fn is_idle(&self, now: Micros) -> bool {
        self.pull.is_none() && self.retry_at <= now
    }

    /// Asks a member again only if nobody else is ahead.
    fn put_last(&mut self, from: MemberId) {
        self.sources.sort_by_key(|s| s.id != from);
    }

    fn note(&mut self, s: Source) {
        self.sources.retain(|o| o.id != s.id);
        if self.sources.len() >= SOURCES_MAX {
            self.sources.remove(0);
        }
        self.sources.push(s);
    }
}

impl Fleet {
    /// Who among the live members has the configuration that is in force here.
    pub fn in_force(&self) -> InForce {
        let version = self.version();
        let live = self.view.iter().filter(|(_, e)| e.member.state.is_live());
        let behind = live.filter(|(_, e)| e.version < version);
        let lagging: Vec<Lag> = behind
            .map(|(_, e)| Lag {
                id: e.member.id,
                host: e.member.host.clone(),
                version: Some(e.version).filter(|v| v.0 > 0),
            })
            .collect();
        InForce {
            version,
            live: self.size(),
            current: self.size() - lagging.len(),
            lagging,
        }
    }

    pub(crate) fn run_spread(&mut self, out: &mut Vec<Action>) {
        if let Some(p) = self.spread.pull.as_ref().filter(|p| p.until <= self.now) {
            let from = p.from;
            self.pull_failed(from);
        }
        // A process that joins gets the text with the whole list.
        if self.spread.is_idle(self.now) && !self.join.is_trying() {
            self.pull_text(out);
        }
        if self.spread.watch_at <= self.now {
            self.ask_versions(out);
        }
    }

    /// Compares a sender's configuration with the one here.
    pub(crate) fn hear_config(&mut self, k: MemberKey, p: &Packet) {
        let digest = Digest::from_wire(&p.digest).unwrap_or_default();
        let version = Version(p.version);
        let Some(e) = self.view.get_mut(k) else {
            return;
        };
        e.version = e.version.max(version);
        let s = Source {
            id: MemberId(p.from),
            version,
            digest,
            proven: p.proven,
            origin: MemberId(p.origin),
        };
        let (mine, own) = (self.spread.row.version, self.spread.row.digest);
        match version.cmp(&mine) {
            std::cmp::Ordering::Greater => self.spread.note(s),
            std::cmp::Ordering::Less => {}
            _ if digest == own && p.proven => self.settle(),
            _ if digest == own => {}
            _ => self.conflict(s),
        }
    }

    /// Puts a configuration in force and tells a few members.
    pub(crate) fn adopt(&mut self, row: TableRow, proven: bool, out: &mut Vec<Action>) {
        let version = row.version;
        self.spread.row = row.clone();
        self.spread.proven = proven;
        self.spread.contested = false;
        self.spread.fails = 0;
        self.spread.sources.retain(|s| s.version > version);
        out.push(Action::Adopt(row));
    }

    /// Tells a few members at once, and whoever waits for the change that it is here.
    pub(crate) fn announce_config(&mut self, origin: MemberId, out: &mut Vec<Action>) {
        self.spread.origin = origin;
        self.spread.hot = self.limit();
        for k in self.view.sample(self.set.burst, &mut self.rng) {
            self.tell(k, Vec::new(), out);
        }
        let to = self.view.key(origin).and_then(|k| self.view.member(k));
        if let Some(to) = to.map(|m| m.udp) {
            let p = Packet::new(Kind::Report, 0);
            self.send(to, p, out);
        }
    }

    /// A configuration that this process wrote to the table.
    pub(crate) fn accepted(&mut self, row: TableRow, out: &mut Vec<Action>) {
        let mine = &self.spread.row;
        let other = row.version == mine.version && row.digest != mine.digest;
        if row.version > mine.version || other {
            self.adopt(row, true, out);
            self.announce_config(self.me.id, out);
            self.spread.watch_at = self.now + REPORT_WAIT;
            self.spread.watch_until = self.now + WATCH_MAX;
        }
    }

    /// Begins to ask members that haven't reported the configuration.
    pub(crate) fn watch(&mut self) {
        self.spread.watch_at = self.now;
        self.spread.watch_until = self.now + WATCH_MAX;
    }

    /// Starts a pull if none is under way; at most one at a time bounds what a process fetches.
    pub(crate) fn pull(&mut self, from: MemberId, what: What, out: &mut Vec<Action>) {
        let Some(m) = self.view.key(from).and_then(|k| self.view.member(k)) else {
            return;
        };
        let tcp = m.tcp;
        let source = self.spread.sources.iter().find(|s| s.id == from).copied();
        self.spread.pull = Some(Pull {
            from,
            until: self.now + self.pull_wait(what),
            source,
        });
        self.counters.pulls += 1;
        out.push(Action::Pull { from, tcp, what });
    }

    pub(crate) fn pulled(&mut self, from: MemberId, answer: Answer, out: &mut Vec<Action>) {
        let pull = self.spread.pull.take_if(|p| p.from == from);
        let source = pull.and_then(|p| p.source);
        self.spread.sources.retain(|s| s.id != from);
        if Digest::of(&answer.text) != answer.digest && answer.version.0 > 0 {
            self.spread.pull = None;
            return self.back_off();
        }
        let joining = self.join.is_open();
        let whole = !answer.members.is_empty();
        // A later life at the same address knows nothing yet and would look like an empty fleet.
        let other = whole && answer.members.iter().all(|m| m.id != from);
        let behind = source.is_some_and(|s| answer.version < s.version);
        // So does one that joins itself, as when all entries restart together. Were its list taken
        // for whole, this process would serve only once it is found or reads the table.
        let fresh = joining && self.ahead().is_some_and(|s| answer.version < s.version);
        if other || behind || fresh {
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
        self.take_row(row, source, joining, out);
        if whole {
            self.joined();
        }
    }

    /// The live member that is known to be the furthest ahead, while pulls from others may fail.
    pub(crate) fn ahead(&self) -> Option<Source> {
        let live = |s: &&Source| self.view.key(s.id).is_some_and(|k| self.view.is_live(k));
        let sources = self.spread.sources.iter().filter(live);
        let top = sources.max_by_key(|s| s.version).copied();
        top.filter(|_| self.spread.fails < TABLE_AFTER)
    }

    /// A pull came to nothing: another member is asked, later and later.
    pub(crate) fn pull_failed(&mut self, from: MemberId) {
        if self.spread.pull.take_if(|p| p.from == from).is_some() {
            self.counters.pull_failures += 1;
            self.spread.put_last(from);
            self.back_off();
        }
    }

    /// A text comes from the next member sooner than a lost connection is noticed.
    fn pull_wait(&self, what: What) -> Micros {
        let text = Micros(self.set.text_wait.0 << self.spread.fails.min(8));
        match what {
            What::All => self.set.pull_wait,
            What::Config => text.min(self.set.pull_wait),
        }
    }

    fn back_off(&mut self) {
        self.spread.fails += 1;
        let wait = self.set.pull_retry.0 << self.spread.fails.min(16);
        let wait = self.jitter(Micros(wait).min(self.set.pull_max));
        self.spread.retry_at = self.now + wait;
        self.retry_join(wait);
        if self.spread.fails >= TABLE_AFTER {
            self.read_soon(wait);
        }
    }

    /// Adopts a pulled text if it is newer, or if it is the table's choice of two.
    fn take_row(
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
        // A restarted process gets what all others have; that is no news.
        if !joining {
            let origin = source.map_or(MemberId(0), |s| s.origin);
            self.announce_config(origin, out);
        }
    }

    /// Weighs a pulled list of members.
    ///
    /// After a split each side takes the other for dead. Were that believed from a list, the
    /// live side would be accused as a whole and faster than it can refute. So a death that
    /// isn't known here is checked by a ping, and those that are dead here but alive in the list
    /// are told of it.
    fn merge_list(
        &mut self,
        from: MemberId,
        list: Vec<Member>,
        joining: bool,
        out: &mut Vec<Action>,
    ) {
        let mut wronged = Vec::new();
        let mut passed = 0;
        for m in list {
            let known = self.view.key(m.id);
            let here = known.and_then(|k| self.view.member(k)).cloned();
            let c = listed(m, from);
            match (known, here) {
                (Some(k), Some(h)) if c.state == MemberState::Dead && h.state.is_live() => {
                    if c.rank() > h.rank() {
                        self.view.hurry(k, c);
                    }
                }
                (Some(k), Some(h)) if c.state.is_live() && c.rank() < h.rank() => {
                    if h.state == MemberState::Dead {
                        wronged.push(k);
                    }
                }
                (_, here) => {
                    let news = here.is_none_or(|h| c.rank() > h.rank());
                    passed += usize::from(news);
                    self.learn(c, !joining && passed <= PASS_MAX, out);
                }
            }
        }
        let some: Vec<_> = wronged
            .choose_multiple(&mut self.rng, WARN_MAX)
            .copied()
            .collect();
        for k in some {
            let charge = self.charge(k);
            self.poke(k, charge, out);
        }
    }

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
            self.pull(from, What::Config, out);
        }
    }

    /// Two texts of one version: the one that is known to be the table's is taken; if neither
    /// is, the table is asked.
    fn conflict(&mut self, s: Source) {
        self.counters.forks += 1;
        match (s.proven, self.spread.proven) {
            (true, false) => self.spread.note(s),
            (false, true) => {}
            _ => self.contest(),
        }
    }

    fn ask_versions(&mut self, out: &mut Vec<Action>) {
        let version = self.version();
        let live = self.view.iter().filter(|(_, e)| e.member.state.is_live());
        let behind: Vec<_> = live
            .filter(|(_, e)| e.version < version)
            .map(|(k, _)| k)
            .collect();
        let over = behind.is_empty() || self.now > self.spread.watch_until;
        self.spread.watch_at = match over {
            true => Micros::MAX,
            false => self.now + ASK_EVERY,
        };
        let some: Vec<_> = behind
            .choose_multiple(&mut self.rng, ASK_MAX)
            .copied()
            .collect();
        for k in some {
            self.poke(k, None, out);
        }
    }
}
