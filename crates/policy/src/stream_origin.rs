//! Which build of a service's software began a stream, for a later attempt that takes it up.
//!
//! Load pattern: two builds serve side by side during a release, and what they write doesn't fit
//! together. Targets and entries end at the same time, and each of their callers takes its stream
//! up with a new attempt at any entry.
//!
//! The entry that passes on a stream's first event sends the build to [`holders`] before: one entry
//! and one sidecar that the stream's key selects among all processes. An entry that doesn't know
//! the origin of a stream queries the processes that may be its holders, and then all entries
//! ([`Inquiry`]). Without an answer the origin is unknown, and the stream doesn't go on. Origins
//! are kept for as long as the caller waits, up to a fixed number ([`Origins`]).

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use model::Micros;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash of the id of the attempt that brought a stream's first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamKey(pub u64);

/// Hash of a service's name and its software's version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BuildKey(pub u64);

/// How origins are kept and found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Number of origins that a process keeps; 50,000.
    pub capacity: usize,
    /// Processes of each kind that are queried first, as members may have come and gone since the
    /// holders were selected; 3.
    pub candidates: usize,
    /// Time after which a query is repeated, and all entries are queried; 50 ms.
    pub repeat: Micros,
    /// Time after which the origin is unknown; 250 ms.
    pub timeout: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            capacity: 50_000,
            candidates: 3,
            repeat: Micros::from_millis(50),
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

/// The other processes of the system.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Addresses of entries.
    pub entries: Vec<SocketAddr>,
    /// Addresses of sidecars.
    pub sidecars: Vec<SocketAddr>,
}

/// The first processes of a list in a stream's order.
fn first(stream: StreamKey, processes: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
    let mut ranked = processes.to_vec();
    let rank = |a: &SocketAddr| xxh3_64_with_seed(a.to_string().as_bytes(), stream.0);
    let count = count.min(ranked.len());
    if count > 0 {
        ranked.select_nth_unstable_by_key(count - 1, rank);
        ranked.truncate(count);
    }
    ranked
}

/// The processes that a stream's origin is sent to: an entry and a sidecar, or two entries if there
/// are no sidecars.
pub fn holders(stream: StreamKey, members: &Members) -> Vec<SocketAddr> {
    let entries = match members.sidecars.is_empty() {
        true => 2,
        false => 1,
    };
    let mut holders = first(stream, &members.entries, entries);
    holders.extend(first(stream, &members.sidecars, 1));
    holders
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
    /// Processes that are queried next.
    rest: Vec<SocketAddr>,
}

impl Inquiry {
    /// Starts a search.
    pub fn new(now: Micros, config: Config, stream: StreamKey, members: &Members) -> Self {
        let mut waiting = first(stream, &members.entries, config.candidates);
        let rest = members.entries.iter().filter(|a| !waiting.contains(a));
        let rest = rest.copied().collect();
        waiting.extend(first(stream, &members.sidecars, config.candidates));
        Self {
            config,
            end: now + config.timeout,
            next_query: now,
            waiting,
            rest,
        }
    }

    /// Records that a process doesn't know the origin.
    pub fn record_unknown(&mut self, now: Micros, from: SocketAddr) {
        self.waiting.retain(|a| *a != from);
        if self.waiting.is_empty() {
            self.next_query = now;
        }
    }

    /// The next step.
    pub fn next(&mut self, now: Micros) -> Step {
        match () {
            () if now >= self.end => Step::Unknown,
            () if now < self.next_query => Step::Wait(self.next_query.min(self.end)),
            () => {
                // The first round has been answered, or some of its processes are slow or gone.
                if self.next_query > self.end - self.config.timeout || self.waiting.is_empty() {
                    self.waiting.append(&mut self.rest);
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
