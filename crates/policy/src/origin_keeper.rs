//! Keeps origins of streams at several processes while processes end one after the other.
//!
//! Load pattern: a stream lasts for many seconds, in which its entry and the holders of its origin are
//! restarted, leave with their targets or are replaced by other machines. Its caller takes it up again
//! after that.
//!
//! An origin is sent to its holders when its stream begins ([`Delivery`]). Each process that knows an
//! origin keeps which others hold it, and replaces each of them that has ended: by its next
//! incarnation or by the next process in the stream's order. Origins for one process share messages,
//! each of which is confirmed as a whole. A process that doesn't confirm one has ended as well. A
//! process that stops hands over all origins that it keeps. As long as one process that knows an
//! origin outlives the others by the time that this takes, the origin isn't lost.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use model::Micros;
use slab::Slab;

use crate::stream_origin::{
    holders, ranked, BuildKey, Config, Delivery, Members, Origins, Peer, Silent, StreamKey,
};

/// Most origins in one message; as many as fit into a datagram.
pub const MAX_BATCH: usize = 40;

/// An origin, as processes send it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// The stream.
    pub stream: StreamKey,
    /// The build that began it.
    pub build: BuildKey,
    /// Time for which it is kept.
    pub keep: Micros,
}

/// Key of a batch at its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BatchKey(pub u64);

/// What is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The origin of a stream that begins.
    Record(Record),
    /// Origins whose holders have ended; none if the message only asks for a confirmation.
    Batch(BatchKey, Vec<Record>),
}

/// A message and its receivers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Addresses of the receivers.
    pub to: Vec<SocketAddr>,
    /// The message.
    pub message: Message,
}

/// Key of a process among the holders of origins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PeerKey(usize);

/// Addresses of holders.
#[derive(Debug, Default)]
struct Peers {
    addrs: Slab<SocketAddr>,
    keys: HashMap<SocketAddr, PeerKey>,
}

impl Peers {
    fn insert(&mut self, addr: SocketAddr) -> PeerKey {
        let addrs = &mut self.addrs;
        *self
            .keys
            .entry(addr)
            .or_insert_with(|| PeerKey(addrs.insert(addr)))
    }

    /// Removes the addresses that aren't in use.
    fn retain(&mut self, in_use: impl Fn(PeerKey) -> bool) {
        let addrs = &mut self.addrs;
        self.keys.retain(|_, key| {
            let keep = in_use(*key);
            if !keep {
                addrs.remove(key.0);
            }
            keep
        });
    }
}

/// A batch that its receiver has yet to confirm.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    to: SocketAddr,
    sent_at: Micros,
}

/// The origins that one process keeps, and their way to others.
#[derive(Debug, Default)]
pub struct Keeper {
    config: Config,
    origins: Origins,
    /// Other processes that hold an origin, as far as this one knows.
    holders: HashMap<StreamKey, Vec<PeerKey>>,
    peers: Peers,
    /// Records that holders have yet to confirm.
    deliveries: HashMap<StreamKey, Delivery>,
    /// Batches that their receivers have yet to confirm, in the order of sending.
    transfers: BTreeMap<BatchKey, Transfer>,
    silent: Silent,
    next_batch: u64,
}

impl Keeper {
    /// The build that began a stream, and until when that is kept.
    pub fn get(&mut self, now: Micros, stream: StreamKey) -> Option<(BuildKey, Micros)> {
        self.origins.get(now, stream)
    }

    /// Number of origins kept.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Whether no origin is kept.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    /// Number of processes that have confirmed nothing lately.
    pub fn silent(&self) -> usize {
        self.silent.len()
    }

    /// Whether confirmations are awaited, so that [`Self::check`] has to be called.
    pub fn is_waiting(&self) -> bool {
        !self.deliveries.is_empty() || !self.transfers.is_empty()
    }

    /// Records the origin of a stream that begins here; returns the record for its holders.
    pub fn begin(&mut self, now: Micros, record: Record, members: &Members) -> Outgoing {
        let stream = record.stream;
        self.insert(now, record);
        let members = self.reachable(now, members);
        let (delivery, to) = Delivery::new(&self.config, now, stream, &members);
        self.hold(stream, &to);
        self.deliveries.insert(stream, delivery);
        Outgoing {
            to,
            message: Message::Record(record),
        }
    }

    /// Records an origin that another process has sent.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, record: Record, members: &Members) {
        self.insert(now, record);
        let is_new = !self.holders.contains_key(&record.stream);
        if is_new && self.origins.get(now, record.stream).is_some() {
            let mut known = holders(&self.config, record.stream, members);
            known.retain(|a| *a != from);
            known.push(from);
            self.hold(record.stream, &known);
        }
    }

    /// Records that a process has confirmed the record of a stream that began here.
    pub fn confirm_record(&mut self, stream: StreamKey, from: SocketAddr) {
        self.silent.clear(from);
        if let Some(delivery) = self.deliveries.get_mut(&stream) {
            delivery.confirm(from);
            if delivery.is_complete() {
                self.deliveries.remove(&stream);
            }
        }
    }

    /// Records that a process has confirmed a batch.
    pub fn confirm_batch(&mut self, batch: BatchKey, from: SocketAddr) {
        if self.transfers.get(&batch).is_some_and(|t| t.to == from) {
            self.transfers.remove(&batch);
            self.silent.clear(from);
        }
    }

    /// Replaces processes that have ended wherever they hold an origin. `members` has those of them that have
    /// started again.
    pub fn replace(
        &mut self,
        now: Micros,
        ended: &[SocketAddr],
        members: &Members,
    ) -> Vec<Outgoing> {
        let keys = ended.iter().filter_map(|a| self.peers.keys.get(a));
        let keys: Vec<_> = keys.copied().collect();
        ended.iter().for_each(|a| self.silent.clear(*a));
        let number = self.config.sidecars + 1;
        let mut lost = Vec::new();
        for (stream, known) in &mut self.holders {
            let before = known.len();
            known.retain(|k| !keys.contains(k));
            // While many processes have ended, there may be too few to replace them.
            let missing = (before - known.len()).max(number.saturating_sub(known.len()));
            if missing > 0 {
                lost.push((*stream, missing));
            }
        }
        let members = self.silent.without(now, members.clone());
        self.add_holders(now, &lost, &members)
    }

    /// Asks those of some processes that hold origins for a confirmation.
    pub fn probe(
        &mut self,
        now: Micros,
        addrs: impl IntoIterator<Item = SocketAddr>,
    ) -> Vec<Outgoing> {
        let addrs = addrs.into_iter();
        let holders: Vec<_> = addrs.filter(|a| self.peers.keys.contains_key(a)).collect();
        let probes = holders.into_iter().map(|a| self.batch(now, a, &[]));
        probes.collect()
    }

    /// Hands over all origins, as this process stops.
    pub fn leave(&mut self, now: Micros, members: &Members) -> Vec<Outgoing> {
        let members = self.reachable(now, members);
        let kept: Vec<_> = self.holders.keys().map(|s| (*s, 1)).collect();
        self.add_holders(now, &kept, &members)
    }

    /// Replaces processes that haven't confirmed a record or batch in time.
    pub fn check(&mut self, now: Micros, members: &Members) -> Vec<Outgoing> {
        let mut out = Vec::new();
        let mut unconfirmed = Vec::new();
        let mut replaced = Vec::new();
        for (stream, delivery) in &mut self.deliveries {
            let (next, late) = delivery.replace_silent(&self.config, now);
            if !late.is_empty() {
                replaced.push((*stream, next, late));
            }
        }
        for (stream, next, late) in replaced {
            let keys: Vec<_> = late.iter().filter_map(|a| self.peers.keys.get(a)).collect();
            if let Some(known) = self.holders.get_mut(&stream) {
                known.retain(|k| !keys.contains(&k));
            }
            self.hold(stream, &next);
            if let Some(record) = self.record_of(now, stream).filter(|_| !next.is_empty()) {
                let message = Message::Record(record);
                out.push(Outgoing { to: next, message });
            }
            unconfirmed.extend(late);
        }
        self.deliveries.retain(|_, d| !d.is_complete());
        unconfirmed.sort_unstable();
        unconfirmed.dedup();
        for addr in unconfirmed {
            self.silent.record(&self.config, now, addr);
            // A single lost datagram doesn't show that a process has ended.
            out.push(self.batch(now, addr, &[]));
        }
        let is_late = |t: &Transfer| now.since(t.sent_at) >= self.config.confirm;
        let late = self.transfers.iter().filter(|(_, t)| is_late(t));
        let late: Vec<_> = late.map(|(k, t)| (*k, t.to)).collect();
        let mut ended: Vec<_> = late.iter().map(|(_, to)| *to).collect();
        ended.sort_unstable();
        ended.dedup();
        for (key, _) in late {
            self.transfers.remove(&key);
        }
        if !ended.is_empty() {
            let replacements = self.replace_silent(now, &ended, members);
            out.extend(replacements);
        }
        out
    }

    /// The processes that have confirmed what they were sent, or all if these are too few: those that were
    /// silent may have been paused.
    fn reachable(&self, now: Micros, members: &Members) -> Members {
        let rest = self.silent.without(now, members.clone());
        match rest.entries.len() + rest.sidecars.len() {
            few if few <= self.config.sidecars => members.clone(),
            _ => rest,
        }
    }

    /// Replaces processes that have confirmed neither a record nor a batch.
    fn replace_silent(
        &mut self,
        now: Micros,
        ended: &[SocketAddr],
        members: &Members,
    ) -> Vec<Outgoing> {
        let is_ended = |p: &Peer| ended.contains(&p.addr);
        let mut rest = members.clone();
        rest.entries.retain(|p| !is_ended(p));
        rest.sidecars.retain(|p| !is_ended(p));
        let out = self.replace(now, ended, &rest);
        for addr in ended {
            self.silent.record(&self.config, now, *addr);
        }
        out
    }

    fn insert(&mut self, now: Micros, record: Record) {
        let until = now + record.keep;
        let Self {
            origins, holders, ..
        } = self;
        origins.record(now, record.stream, record.build, until);
        // Entries of dropped origins are removed once they are the larger part.
        if holders.len() > 2 * origins.len() + MAX_BATCH {
            holders.retain(|s, _| origins.contains(*s));
            let used: HashSet<_> = holders.values().flatten().copied().collect();
            self.peers.retain(|k| used.contains(&k));
        }
    }

    fn hold(&mut self, stream: StreamKey, addrs: &[SocketAddr]) {
        let known = self.holders.entry(stream).or_default();
        for addr in addrs {
            let key = self.peers.insert(*addr);
            if !known.contains(&key) {
                known.push(key);
            }
        }
    }

    fn record_of(&mut self, now: Micros, stream: StreamKey) -> Option<Record> {
        let (build, until) = self.origins.get(now, stream)?;
        Some(Record {
            stream,
            build,
            keep: until.since(now),
        })
    }

    /// Sends origins to as many further processes as given.
    fn add_holders(
        &mut self,
        now: Micros,
        streams: &[(StreamKey, usize)],
        members: &Members,
    ) -> Vec<Outgoing> {
        let mut batches: BTreeMap<SocketAddr, Vec<Record>> = BTreeMap::new();
        for (stream, count) in streams {
            let Some(record) = self.record_of(now, *stream) else {
                self.holders.remove(stream);
                continue;
            };
            let known = self.holders.get(stream).map_or(&[][..], Vec::as_slice);
            let is_holder = |a: &SocketAddr| {
                let key = self.peers.keys.get(a);
                key.is_some_and(|k| known.contains(k))
            };
            let first = holders(&self.config, *stream, members);
            let spare = ranked(*stream, &members.sidecars).into_iter();
            let spare = spare.chain(ranked(*stream, &members.entries));
            let mut next: Vec<SocketAddr> = Vec::new();
            for addr in first.into_iter().chain(spare.map(|p| p.addr)) {
                if next.len() == *count {
                    break;
                }
                if !is_holder(&addr) && !next.contains(&addr) {
                    next.push(addr);
                }
            }
            for addr in &next {
                batches.entry(*addr).or_default().push(record);
            }
            self.hold(*stream, &next);
        }
        let mut out = Vec::new();
        for (addr, records) in batches {
            for part in records.chunks(MAX_BATCH) {
                out.push(self.batch(now, addr, part));
            }
        }
        out
    }

    fn batch(&mut self, now: Micros, to: SocketAddr, records: &[Record]) -> Outgoing {
        let key = BatchKey(self.next_batch);
        self.next_batch += 1;
        let sent_at = now;
        self.transfers.insert(key, Transfer { to, sent_at });
        Outgoing {
            to: vec![to],
            message: Message::Batch(key, records.to_vec()),
        }
    }
}
