//! The account of what is held for callers, and the decision whose connection is closed for others.
//!
//! A caller's progress is measured while the process waits for it: for a head, a body, or for the caller to
//! read an answer. By how much a caller is behind grows with that time, and falls with each byte by the time
//! that it would take at [`Config::min_rate`]. Connections are closed for others in this order:
//!
//! 1. those that are behind by [`Config::patience`] or more;
//! 2. those that are idle after an answer;
//! 3. those that are behind by a part of it and haven't sent a whole head yet.
//!
//! While there is room, a caller keeps its connection for as long as it takes any of an answer, however slowly.
//!
//! Within each, the one that is furthest behind or longest idle goes first, and of several the one that holds
//! most. A request that waits for a target isn't behind, and its connection is never closed for others.
//!
//! One address or team may hold a share of the budget at most; beyond it, it competes with itself only. The
//! bodies of requests and answers together have a share as well, so that short requests are served beside them.

use std::collections::HashMap;
use std::net::IpAddr;

use model::Micros;
use slotmap::{new_key_type, SlotMap};
use xxhash_rust::xxh3::xxh3_64;

use crate::config::Config;

/// Part of the patience after which a connection without a whole head may be closed.
const HEAD_PATIENCE_PART: u64 = 10;

new_key_type! {
    /// Key of a connection.
    pub struct ConnKey;
}

/// Phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Without a request since it was opened.
    New,
    /// Without a request since an answer has ended.
    Idle,
    /// Receiving the head of a request.
    Head,
    /// Receiving the body of a request.
    Body,
    /// A target works on the request, or the caller takes the answer as fast as it comes.
    Work,
    /// The caller doesn't take the answer, or not as fast as it comes.
    Unread,
}

/// Time limits of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Longest time for a head.
    pub head: Micros,
    /// Longest time without a request.
    pub idle: Micros,
    /// Longest time in which a caller takes nothing of an answer.
    pub unread: Micros,
}

/// Team or address for which bytes are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Holder {
    Address(IpAddr),
    Team(u64),
}

#[derive(Clone, Copy, Debug, Default)]
struct Held {
    connections: usize,
    bytes: usize,
    content: usize,
}

#[derive(Debug)]
struct Conn {
    address: IpAddr,
    team: Option<u64>,
    phase: Phase,
    /// When the phase began.
    since: Micros,
    /// By how much the caller was behind at a time.
    behind: Micros,
    behind_at: Micros,
    /// Whether the answer has ended, but the caller hasn't taken all of it.
    answered: bool,
    bytes: usize,
    /// Bytes of bodies among them.
    content: usize,
    /// When the caller last took some of an answer.
    taken_at: Micros,
    /// Whether the kernel still has bytes for which the caller has no room.
    unsent: bool,
    closing: bool,
}

impl Conn {
    fn holders(&self) -> [Option<Holder>; 2] {
        let team = self.team.map(Holder::Team);
        [Some(Holder::Address(self.address)), team]
    }

    /// By how much the caller is behind.
    fn lag(&self, now: Micros) -> Micros {
        match self.phase {
            Phase::New | Phase::Head | Phase::Body | Phase::Unread => {
                self.behind + now.since(self.behind_at)
            }
            Phase::Idle | Phase::Work => self.behind,
        }
    }

    /// Order in which connections are closed for others, the highest first; `None` if it may not be closed.
    /// If more is in use than allowed, that is so for all callers that don't take their answers.
    fn rank(&self, now: Micros, config: &Config, exceeded: bool) -> Option<(u8, Micros, usize)> {
        if self.closing {
            return None;
        }
        let lag = self.lag(now);
        let patience: Micros = config.patience.into();
        let tier = match self.phase {
            Phase::Work => return None,
            Phase::Idle => return Some((1, now.since(self.since), self.bytes)),
            _ if lag >= patience => 2,
            Phase::New | Phase::Head if lag >= Micros(patience.0 / HEAD_PATIENCE_PART) => 0,
            Phase::Unread if exceeded => 0,
            Phase::New | Phase::Head | Phase::Body | Phase::Unread => return None,
        };
        Some((tier, lag, self.bytes))
    }
}

/// What is asked for.
#[derive(Clone, Copy, Debug, Default)]
struct Need {
    connections: usize,
    bytes: usize,
    content: usize,
}

/// What bytes are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The state of a connection or request.
    State,
    /// The body of a request or answer.
    Content,
}

/// The answer to a request for more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision<T> {
    /// Granted; these connections are to be closed for it.
    Granted(T, Vec<ConnKey>),
    /// There isn't enough, and no connection may be closed for it.
    Refused,
}

/// Current usage, and its largest holders.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Usage {
    /// Bytes held for callers.
    pub bytes: usize,
    /// Bytes of bodies among them.
    pub content: usize,
    /// Open connections.
    pub connections: usize,
    /// Connections that the process waits for, and those that are idle.
    pub waiting: usize,
    /// Idle connections.
    pub idle: usize,
    /// Address that holds most bytes, and how many.
    pub top_address: Option<(IpAddr, usize)>,
    /// Team that holds most bytes, and how many.
    pub top_team: Option<(String, usize)>,
}

/// Account of what is held for callers.
#[derive(Debug)]
pub struct Account {
    config: Config,
    /// Connections allowed now.
    max_connections: usize,
    conns: SlotMap<ConnKey, Conn>,
    all: Held,
    /// What connections that are being closed will return.
    closing: Held,
    holders: HashMap<Holder, Held>,
    /// Names of the teams among the holders.
    teams: HashMap<u64, String>,
}

impl Account {
    /// Creates an account.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            max_connections: config.connections,
            conns: SlotMap::with_key(),
            all: Held::default(),
            closing: Held::default(),
            holders: HashMap::new(),
            teams: HashMap::new(),
        }
    }

    /// Limits of the account.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Applies another limit of descriptors of the kernel; returns connections to close.
    pub fn set_kernel_limit(&mut self, now: Micros, descriptors: Option<u64>) -> Vec<ConnKey> {
        self.max_connections = self.config.connections_within(descriptors);
        let excess = self.open_connections().saturating_sub(self.max_connections);
        self.close_worst(now, excess)
    }

    fn open_connections(&self) -> usize {
        self.all.connections - self.closing.connections
    }

    /// Closes the connections that are first in order, `n` at most.
    pub fn close_worst(&mut self, now: Micros, n: usize) -> Vec<ConnKey> {
        let mut closed = Vec::new();
        while closed.len() < n {
            let Some(key) = self.worst(now, None, None, false) else {
                break;
            };
            self.mark(key);
            closed.push(key);
        }
        closed
    }

    /// Opens a connection.
    pub fn open(&mut self, now: Micros, address: IpAddr) -> Decision<ConnKey> {
        let need = Need {
            connections: 1,
            bytes: self.config.connection_bytes,
            content: 0,
        };
        let holders = [Some(Holder::Address(address)), None];
        let Some(closed) = self.make_room(now, None, holders, need) else {
            return Decision::Refused;
        };
        let key = self.conns.insert(Conn {
            address,
            team: None,
            phase: Phase::New,
            since: now,
            behind: Micros::ZERO,
            behind_at: now,
            answered: false,
            bytes: 0,
            content: 0,
            taken_at: now,
            unsent: false,
            closing: false,
        });
        self.all.connections += 1;
        self.holder(Holder::Address(address)).connections += 1;
        self.add(key, need.bytes, Kind::State);
        Decision::Granted(key, closed)
    }

    /// Takes bytes for a connection.
    pub fn take(&mut self, now: Micros, key: ConnKey, kind: Kind, bytes: usize) -> Decision<()> {
        let Some(conn) = self.conns.get(key) else {
            return Decision::Refused;
        };
        let holders = conn.holders();
        let need = Need {
            connections: 0,
            bytes,
            content: if kind == Kind::Content { bytes } else { 0 },
        };
        match self.make_room(now, Some(key), holders, need) {
            Some(closed) => {
                self.add(key, bytes, kind);
                Decision::Granted((), closed)
            }
            None => Decision::Refused,
        }
    }

    /// Takes bytes that are in use already; returns connections to close if that is too much, among which the
    /// connection itself may be.
    pub fn force(&mut self, now: Micros, key: ConnKey, bytes: usize) -> Vec<ConnKey> {
        self.add(key, bytes, Kind::State);
        let mut closed = Vec::new();
        while self.all.bytes - self.closing.bytes > self.config.bytes {
            let Some(worst) = self.worst(now, None, None, true) else {
                break;
            };
            self.mark(worst);
            closed.push(worst);
        }
        closed
    }

    /// Returns bytes of a connection.
    pub fn give_back(&mut self, key: ConnKey, kind: Kind, bytes: usize) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let bytes = bytes.min(conn.bytes);
        let content = if kind == Kind::Content {
            bytes.min(conn.content)
        } else {
            0
        };
        conn.bytes -= bytes;
        conn.content -= content;
        let (closing, holders) = (conn.closing, conn.holders());
        self.all.bytes -= bytes;
        self.all.content -= content;
        if closing {
            self.closing.bytes -= bytes;
            self.closing.content -= content;
        }
        for holder in holders.into_iter().flatten() {
            self.holder(holder).bytes -= bytes;
        }
    }

    /// Removes a connection.
    pub fn close(&mut self, key: ConnKey) {
        let Some(conn) = self.conns.get(key) else {
            return;
        };
        let (address, team, closing) = (conn.address, conn.team, conn.closing);
        let (bytes, content) = (conn.bytes, conn.content);
        self.give_back(key, Kind::Content, content);
        self.give_back(key, Kind::State, bytes - content);
        self.conns.remove(key);
        self.all.connections -= 1;
        if closing {
            self.closing.connections -= 1;
        }
        self.holder(Holder::Address(address)).connections -= 1;
        self.forget_unused(Holder::Address(address));
        if let Some(team) = team {
            self.forget_unused(Holder::Team(team));
        }
    }

    fn forget_unused(&mut self, holder: Holder) {
        let held = self.holders.get(&holder).copied().unwrap_or_default();
        if held.connections == 0 && held.bytes == 0 {
            self.holders.remove(&holder);
            if let Holder::Team(team) = holder {
                self.teams.remove(&team);
            }
        }
    }

    /// Records the team of a connection's request.
    pub fn set_team(&mut self, key: ConnKey, team: Option<&str>) {
        let hash = team.map(|t| xxh3_64(t.as_bytes()));
        let Some(conn) = self.conns.get_mut(key).filter(|c| c.team != hash) else {
            return;
        };
        let bytes = conn.bytes;
        let former = std::mem::replace(&mut conn.team, hash);
        if let Some(former) = former.map(Holder::Team) {
            self.holder(former).bytes -= bytes;
            self.forget_unused(former);
        }
        if let Some((hash, name)) = hash.zip(team) {
            self.holder(Holder::Team(hash)).bytes += bytes;
            self.teams.entry(hash).or_insert_with(|| name.to_owned());
        }
    }

    /// Whether so much is in use that connections are closed after their answer.
    pub fn is_pressed(&self) -> bool {
        let is_above = |used: usize, of: usize| used as f64 >= of as f64 * self.config.pressure;
        is_above(self.open_connections(), self.max_connections)
            || is_above(self.all.bytes - self.closing.bytes, self.config.bytes)
    }

    /// Connections that are being closed.
    pub fn closing(&self) -> Vec<ConnKey> {
        let closing = self.conns.iter().filter(|(_, c)| c.closing);
        closing.map(|(k, _)| k).collect()
    }

    /// Phase of a connection.
    pub fn phase(&self, key: ConnKey) -> Option<Phase> {
        self.conns.get(key).map(|c| c.phase)
    }

    /// Whether a request is in progress whose answer hasn't ended.
    pub fn is_serving(&self, key: ConnKey) -> bool {
        self.conns.get(key).is_some_and(|c| match c.phase {
            Phase::New | Phase::Idle | Phase::Head => false,
            Phase::Body | Phase::Work => true,
            Phase::Unread => !c.answered,
        })
    }

    /// Begins a phase. Progress is measured anew for each head, each body and each answer.
    pub fn set_phase(&mut self, now: Micros, key: ConnKey, phase: Phase) {
        let Some(conn) = self.conns.get_mut(key).filter(|c| c.phase != phase) else {
            return;
        };
        conn.behind = match (conn.phase, phase) {
            (Phase::Unread, Phase::Work) | (Phase::Work | Phase::Idle, Phase::Unread) => {
                conn.lag(now)
            }
            _ => Micros::ZERO,
        };
        conn.behind_at = now;
        match phase {
            Phase::Head => conn.answered = false,
            Phase::Unread => conn.taken_at = now,
            Phase::New | Phase::Idle | Phase::Body | Phase::Work => {}
        }
        conn.phase = phase;
        conn.since = now;
    }

    /// Records that an answer has ended. The connection is idle once its caller has taken the rest.
    pub fn set_answered(&mut self, now: Micros, key: ConnKey) {
        if let Some(conn) = self.conns.get_mut(key) {
            conn.answered = true;
            if conn.phase != Phase::Unread {
                self.set_phase(now, key, Phase::Idle);
            }
        }
    }

    /// Records bytes that a caller sent or took.
    pub fn record(&mut self, now: Micros, key: ConnKey, received: bool, bytes: usize) {
        let min_rate = self.config.min_rate.max(1);
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        if received && matches!(conn.phase, Phase::New | Phase::Idle) {
            self.set_phase(now, key, Phase::Head);
            return;
        }
        conn.behind = conn
            .lag(now)
            .since(Micros(bytes as u64 * 1_000_000 / min_rate));
        conn.behind_at = now;
        if !received {
            conn.taken_at = now;
        }
        match conn.phase {
            Phase::Unread if !received && conn.answered => self.set_phase(now, key, Phase::Idle),
            Phase::Unread if !received => self.set_phase(now, key, Phase::Work),
            _ => {}
        }
    }

    /// Records that a caller doesn't take what is sent to it.
    pub fn record_blocked(&mut self, now: Micros, key: ConnKey) {
        if matches!(self.phase(key), Some(Phase::Work | Phase::Idle)) {
            self.set_phase(now, key, Phase::Unread);
        }
    }

    /// Records whether a caller has acknowledged bytes since the last time, and whether it has no room for the rest.
    pub fn record_acked(&mut self, now: Micros, key: ConnKey, progress: bool, unsent: bool) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        if progress {
            conn.taken_at = now;
        }
        conn.unsent = unsent;
    }

    /// Connections whose time has run out. Requests that a target works on aren't among them.
    pub fn overdue(&mut self, now: Micros, timeouts: Timeouts) -> Vec<ConnKey> {
        let late = |c: &Conn| match c.phase {
            Phase::Idle if c.unsent => now.since(c.taken_at) > timeouts.unread,
            Phase::Idle => now.since(c.since.max(c.taken_at)) > timeouts.idle,
            Phase::New => now.since(c.since) > timeouts.idle,
            Phase::Head => now.since(c.since) > timeouts.head,
            Phase::Unread => now.since(c.taken_at) > timeouts.unread,
            // A body has a time limit of its own, and a target that of its request.
            Phase::Body | Phase::Work => false,
        };
        let keys = self.conns.iter().filter(|(_, c)| !c.closing && late(c));
        let keys: Vec<_> = keys.map(|(k, _)| k).collect();
        for key in &keys {
            self.mark(*key);
        }
        keys
    }

    /// Whether a process that stops closes a connection: it is idle, or is closed after its answer. One that is
    /// new is given a time for its first request.
    pub fn may_stop(&self, now: Micros, key: ConnKey, new_time: Micros) -> bool {
        self.conns.get(key).is_some_and(|c| match c.phase {
            Phase::New => now.since(c.since) > new_time,
            Phase::Head => false,
            Phase::Idle | Phase::Body | Phase::Work | Phase::Unread => true,
        })
    }

    /// What is in use.
    pub fn usage(&self) -> Usage {
        let top = |of: fn(&Holder) -> bool| {
            let holders = self.holders.iter().filter(move |(h, _)| of(h));
            holders.max_by_key(|(_, held)| held.bytes)
        };
        let address = top(|h| matches!(h, Holder::Address(_)));
        let team = top(|h| matches!(h, Holder::Team(_)));
        let idle = |c: &&Conn| matches!(c.phase, Phase::New | Phase::Idle);
        let waiting = |c: &&Conn| matches!(c.phase, Phase::Head | Phase::Body | Phase::Unread);
        Usage {
            bytes: self.all.bytes,
            content: self.all.content,
            connections: self.all.connections,
            waiting: self.conns.values().filter(waiting).count(),
            idle: self.conns.values().filter(idle).count(),
            top_address: address.and_then(|(h, held)| match h {
                Holder::Address(a) => Some((*a, held.bytes)),
                Holder::Team(_) => None,
            }),
            top_team: team.and_then(|(h, held)| match h {
                Holder::Team(t) => Some((self.teams.get(t)?.clone(), held.bytes)),
                Holder::Address(_) => None,
            }),
        }
    }

    fn holder(&mut self, holder: Holder) -> &mut Held {
        self.holders.entry(holder).or_default()
    }

    fn add(&mut self, key: ConnKey, bytes: usize, kind: Kind) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let content = if kind == Kind::Content { bytes } else { 0 };
        conn.bytes += bytes;
        conn.content += content;
        let (closing, holders) = (conn.closing, conn.holders());
        self.all.bytes += bytes;
        self.all.content += content;
        if closing {
            self.closing.bytes += bytes;
            self.closing.content += content;
        }
        for holder in holders.into_iter().flatten() {
            self.holder(holder).bytes += bytes;
        }
    }

    /// Marks a connection as being closed: what it holds is about to be returned.
    fn mark(&mut self, key: ConnKey) {
        if let Some(conn) = self.conns.get_mut(key).filter(|c| !c.closing) {
            conn.closing = true;
            self.closing.connections += 1;
            self.closing.bytes += conn.bytes;
            self.closing.content += conn.content;
        }
    }

    /// The connection that is closed first, of a holder if one is given.
    fn worst(
        &self,
        now: Micros,
        but: Option<ConnKey>,
        of: Option<Holder>,
        exceeded: bool,
    ) -> Option<ConnKey> {
        let is_of = |c: &Conn| of.is_none_or(|h| c.holders().contains(&Some(h)));
        let others = self.conns.iter().filter(|(k, _)| Some(*k) != but);
        let ranked = others
            .filter(|(_, c)| is_of(c))
            .filter_map(|(k, c)| Some((c.rank(now, &self.config, exceeded)?, k)));
        ranked.max_by_key(|(rank, _)| *rank).map(|(_, k)| k)
    }

    /// What a holder or all have, without what is about to be returned.
    fn held(&self, holder: Option<Holder>) -> Held {
        let Some(holder) = holder else {
            return Held {
                connections: self.open_connections(),
                bytes: self.all.bytes - self.closing.bytes,
                content: self.all.content - self.closing.content,
            };
        };
        let mut held = self.holders.get(&holder).copied().unwrap_or_default();
        if self.closing.connections > 0 {
            let closing = self.conns.values().filter(|c| c.closing);
            for conn in closing.filter(|c| c.holders().contains(&Some(holder))) {
                held.bytes -= conn.bytes;
                held.connections = held.connections.saturating_sub(1);
            }
        }
        held
    }

    /// Most that one holder, or all, may have.
    fn limit(&self, holder: Option<Holder>) -> Held {
        let share = |n: usize, share: f64| (n as f64 * share) as usize;
        let Config { bytes, .. } = self.config;
        match holder {
            Some(_) => Held {
                connections: share(self.max_connections, self.config.share).max(1),
                bytes: share(bytes, self.config.share),
                content: usize::MAX,
            },
            None => Held {
                connections: self.max_connections,
                bytes,
                content: share(bytes, self.config.content_share),
            },
        }
    }

    /// Makes room by marking connections; `None` if there can't be enough.
    fn make_room(
        &mut self,
        now: Micros,
        key: Option<ConnKey>,
        holders: [Option<Holder>; 2],
        need: Need,
    ) -> Option<Vec<ConnKey>> {
        let mut closed = Vec::new();
        let scopes = holders.into_iter().flatten().map(Some).chain([None]);
        for scope in scopes {
            let limit = self.limit(scope);
            loop {
                let held = self.held(scope);
                let fits = held.bytes.saturating_add(need.bytes) <= limit.bytes
                    && held.content.saturating_add(need.content) <= limit.content
                    && held.connections + need.connections <= limit.connections;
                if fits {
                    break;
                }
                let Some(worst) = self.worst(now, key, scope, false) else {
                    self.unmark(&closed);
                    return None;
                };
                self.mark(worst);
                closed.push(worst);
            }
        }
        Some(closed)
    }

    /// Takes back that a connection is being closed.
    pub fn keep(&mut self, key: ConnKey) {
        self.unmark(&[key]);
    }

    fn unmark(&mut self, keys: &[ConnKey]) {
        for key in keys {
            if let Some(conn) = self.conns.get_mut(*key).filter(|c| c.closing) {
                conn.closing = false;
                self.closing.connections -= 1;
                self.closing.bytes -= conn.bytes;
                self.closing.content -= conn.content;
            }
        }
    }
}
