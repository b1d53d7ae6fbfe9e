//! Which build of a service's software began a stream, for a later attempt that takes it up.
//!
//! Load pattern: two builds serve side by side during a release, and what they write doesn't fit
//! together. Targets and entries end at the same time, and each of their callers takes its stream
//! up with a new attempt at any entry.
//!
//! The entry that passes on a stream's first event sends the build to [`holders`] before: one entry
//! and two sidecars of different failure domains that the stream's key selects among all processes.
//! The list of processes also names some that have ended, so each holder confirms the record, and
//! one that doesn't is replaced by the next process in the stream's order ([`Delivery`]). An entry
//! that doesn't know the origin of a stream queries the processes that may be its holders, and then
//! all entries and more sidecars ([`Inquiry`]). Without an answer the origin is unknown, and the
//! stream doesn't go on. Origins are kept for as long as the caller waits, up to a fixed number
//! ([`Origins`]).

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use model::Micros;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash of the id of the attempt that brought a stream's first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamKey(pub u64);

/// Hash of a service's name and its software's version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BuildKey(pub u64);

/// How origins are kept and found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Number of origins that a process keeps; 50,000.
    pub capacity: usize,
    /// Sidecars that hold an origin, each in another failure domain; 2.
    pub sidecars: usize,
    /// Processes of each kind that are queried first, as members may have come and gone since the
    /// holders were selected; 3.
    pub candidates: usize,
    /// Most sidecars that are queried; 64.
    pub most: usize,
    /// Time after which a query is repeated, all entries are queried, and four times as many sidecars;
    /// 50 ms.
    pub repeat: Micros,
    /// Time after which a holder that hasn't confirmed its record is replaced; 50 ms.
    pub confirm: Micros,
    /// Time for which a process that hasn't confirmed a record is passed over; 10 s.
    pub passed_over: Micros,
    /// Time after which the origin is unknown; 250 ms.
    pub timeout: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            capacity: 50_000,
            sidecars: 2,
            candidates: 3,
            most: 64,
            repeat: Micros::from_millis(50),
            confirm: Micros::from_millis(50),
            passed_over: Micros::from_secs(10),
            timeout: Micros::from_millis(250),
        }
    }
}

/// Origins of streams that a process knows.
#[derive(Debug, Default)]
pub struct Origins {
    config: Config,
    kept: HashMap<StreamKey, (BuildKey, Micros)>,
    /// The streams by the time at which they are dropped.
    ends: BTreeSet<(Micros, StreamKey)>,
}

impl Origins {
    /// Records the build that began a stream until a given time. The first record of a stream
    /// stays.
    pub fn record(&mut self, now: Micros, stream: StreamKey, build: BuildKey, until: Micros) {
        self.expire(now);
        let (build, end) = match self.kept.get(&stream) {
            Some((first, end)) => (*first, *end),
            None => (build, Micros::ZERO),
        };
        if until <= end.max(now) {
            return;
        }
        self.ends.remove(&(end, stream));
        self.ends.insert((until, stream));
        self.kept.insert(stream, (build, until));
        while self.kept.len() > self.config.capacity {
            self.drop_first();
        }
    }

    /// The build that began a stream, and until when that is kept.
    pub fn get(&mut self, now: Micros, stream: StreamKey) -> Option<(BuildKey, Micros)> {
        self.expire(now);
        self.kept.get(&stream).copied()
    }

    /// Whether an origin is kept, or was until just now.
    pub fn contains(&self, stream: StreamKey) -> bool {
        self.kept.contains_key(&stream)
    }

    /// Number of origins kept.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether no origin is kept.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    fn expire(&mut self, now: Micros) {
        while self.ends.first().is_some_and(|(end, _)| *end <= now) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, stream)) = self.ends.pop_first() {
            self.kept.remove(&stream);
        }
    }
}

/// Another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Address of the process.
    pub addr: SocketAddr,
    /// Key of its failure domain.
    pub domain: u64,
}

/// The other processes of the system. Some of them may have ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// The entries.
    pub entries: Vec<Peer>,
    /// The sidecars.
    pub sidecars: Vec<Peer>,
}

/// Processes in a stream's order.
pub(crate) fn ranked(stream: StreamKey, peers: &[Peer]) -> Vec<Peer> {
    let mut ranked = peers.to_vec();
    ranked.sort_by_cached_key(|p| xxh3_64_with_seed(p.addr.to_string().as_bytes(), stream.0));
    ranked
}

/// The first processes of a list that are in different failure domains, as far as there are enough.
fn spread(ranked: &[Peer], count: usize) -> Vec<SocketAddr> {
    let mut domains = BTreeSet::new();
    let (apart, rest): (Vec<&Peer>, Vec<&Peer>) =
        ranked.iter().partition(|p| domains.insert(p.domain));
    let spread = apart.into_iter().chain(rest).take(count);
    spread.map(|p| p.addr).collect()
}

/// The processes that a stream's origin is sent to: an entry and sidecars, and more entries if there are
/// too few sidecars.
pub fn holders(config: &Config, stream: StreamKey, members: &Members) -> Vec<SocketAddr> {
    let mut sidecars = spread(&ranked(stream, &members.sidecars), config.sidecars);
    let entries = 1 + config.sidecars - sidecars.len();
    let mut holders = spread(&ranked(stream, &members.entries), entries);
    holders.append(&mut sidecars);
    holders
}

/// Processes that have not confirmed a record, and are passed over for a time.
#[derive(Debug, Default)]
pub struct Silent(HashMap<SocketAddr, Micros>);

impl Silent {
    /// Records that a process hasn't confirmed a record.
    pub fn record(&mut self, config: &Config, now: Micros, addr: SocketAddr) {
        self.0.retain(|_, until| *until > now);
        self.0.insert(addr, now + config.passed_over);
    }

    /// Records that a process has confirmed a record.
    pub fn clear(&mut self, addr: SocketAddr) {
        self.0.remove(&addr);
    }

    /// Number of processes that are passed over.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no process is passed over.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The processes that aren't passed over.
    pub fn without(&self, now: Micros, members: Members) -> Members {
        let answers = |p: &Peer| self.0.get(&p.addr).is_none_or(|until| *until <= now);
        Members {
            entries: members.entries.into_iter().filter(answers).collect(),
            sidecars: members.sidecars.into_iter().filter(answers).collect(),
        }
    }
}

/// A record on its way to the holders.
#[derive(Clone, Debug)]
pub struct Delivery {
    /// Holders that haven't confirmed the record, and when it was sent to them.
    waiting: Vec<(SocketAddr, Micros)>,
    /// Processes that replace holders, in their order; sidecars before entries.
    spare: std::vec::IntoIter<SocketAddr>,
}

impl Delivery {
    /// Starts the delivery of a record; returns the holders to send it to as well.
    pub fn new(
        config: &Config,
        now: Micros,
        stream: StreamKey,
        members: &Members,
    ) -> (Self, Vec<SocketAddr>) {
        let holders = holders(config, stream, members);
        let sidecars = ranked(stream, &members.sidecars);
        let spare = sidecars
            .into_iter()
            .chain(ranked(stream, &members.entries))
            .map(|p| p.addr)
            .filter(|a| !holders.contains(a));
        let delivery = Self {
            waiting: holders.iter().map(|a| (*a, now)).collect(),
            spare: spare.collect::<Vec<_>>().into_iter(),
        };
        (delivery, holders)
    }

    /// Records that a process has confirmed the record.
    pub fn confirm(&mut self, from: SocketAddr) {
        self.waiting.retain(|(a, _)| *a != from);
    }

    /// Whether all holders have confirmed the record, or no process is left that could.
    pub fn is_complete(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Replaces holders that haven't confirmed the record in time; returns the processes to send it to,
    /// and those that are replaced.
    pub fn replace_silent(
        &mut self,
        config: &Config,
        now: Micros,
    ) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let late = |sent: &Micros| now.since(*sent) >= config.confirm;
        let silent = self.waiting.iter().filter(|(_, sent)| late(sent));
        let silent: Vec<_> = silent.map(|(a, _)| *a).collect();
        self.waiting.retain(|(_, sent)| !late(sent));
        let next: Vec<_> = self.spare.by_ref().take(silent.len()).collect();
        self.waiting.extend(next.iter().map(|a| (*a, now)));
        (next, silent)
    }
}

/// What to do next about a stream of unknown origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Query these processes.
    Query(Vec<SocketAddr>),
    /// Wait until this time, or until an answer arrives.
    Wait(Micros),
    /// Nobody knows the origin.
    Unknown,
}

/// Search for the origin of one stream.
#[derive(Clone, Debug)]
pub struct Inquiry {
    config: Config,
    /// When the origin counts as unknown.
    end: Micros,
    next_query: Micros,
    /// Processes that haven't answered yet.
    waiting: Vec<SocketAddr>,
    /// Entries that are queried in the second round.
    entries: Vec<SocketAddr>,
    /// Sidecars that are queried in later rounds, in the stream's order.
    sidecars: Vec<SocketAddr>,
    /// Sidecars queried up to now.
    queried: usize,
}

impl Inquiry {
    /// Starts a search.
    pub fn new(now: Micros, config: Config, stream: StreamKey, members: &Members) -> Self {
        let mut waiting = holders(&config, stream, members);
        let add = |waiting: &mut Vec<SocketAddr>, ranked: &[SocketAddr]| {
            for addr in ranked.iter().take(config.candidates) {
                if !waiting.contains(addr) {
                    waiting.push(*addr);
                }
            }
        };
        let order = |peers: &[Peer]| -> Vec<_> {
            let ranked = ranked(stream, peers);
            ranked.into_iter().map(|p| p.addr).collect()
        };
        let (mut entries, mut sidecars) = (order(&members.entries), order(&members.sidecars));
        add(&mut waiting, &entries);
        add(&mut waiting, &sidecars);
        entries.retain(|a| !waiting.contains(a));
        sidecars.retain(|a| !waiting.contains(a));
        Self {
            config,
            end: now + config.timeout,
            next_query: now,
            waiting,
            entries,
            sidecars,
            queried: config.candidates,
        }
    }

    /// Records that a process doesn't know the origin.
    pub fn record_unknown(&mut self, now: Micros, from: SocketAddr) {
        self.waiting.retain(|a| *a != from);
        if self.waiting.is_empty() {
            self.next_query = now;
        }
    }

    /// Number of processes that have been queried and haven't answered.
    pub fn unanswered(&self) -> usize {
        self.waiting.len()
    }

    /// Adds the processes of the next round.
    fn widen(&mut self) {
        self.waiting.append(&mut self.entries);
        let count = (self.queried * 3).min(self.config.most.saturating_sub(self.queried));
        let count = count.min(self.sidecars.len());
        self.waiting.extend(self.sidecars.drain(..count));
        self.queried += count;
    }

    /// The next step.
    pub fn next(&mut self, now: Micros) -> Step {
        match () {
            () if now >= self.end => Step::Unknown,
            () if now < self.next_query => Step::Wait(self.next_query.min(self.end)),
            () => {
                // The first round has been answered, or some of its processes are slow or gone.
                if self.next_query > self.end - self.config.timeout || self.waiting.is_empty() {
                    self.widen();
                }
                if self.waiting.is_empty() {
                    return Step::Unknown;
                }
                self.next_query = now + self.config.repeat;
                Step::Query(self.waiting.clone())
            }
        }
    }
}
