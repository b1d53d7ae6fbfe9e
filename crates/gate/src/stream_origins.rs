//! Origins of streams that a process keeps and sends to others: drives [`policy::origin_keeper`] with
//! datagrams. Entries and sidecars are holders. A process learns that another one has ended from the
//! table of members, from the list of targets if it reads that, and from confirmations that don't come.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use model::Micros;
use policy::origin_keeper::{BatchKey, Keeper, Message, Outgoing, Record};
use policy::stream_origin::{BuildKey, Config, Members, Peer, StreamKey};
use site::Role;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::log::{self, Event};
use crate::meter;
use crate::node::{ClusterState, Member, SharedNode, Start};
use crate::update::{self, OriginBatch, OriginKind, StreamOrigin, Update};

/// Longest time for which a process keeps an origin for another one.
const MAX_KEEP: Micros = Micros::from_secs(120);
/// Time that a process which stops waits for the confirmation of what it has handed over.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// What another process says about an origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Statement {
    /// It answers a query of this process.
    Answer { known: bool },
}

/// The origins of a process, and their way to others.
pub(crate) struct StreamOrigins {
    node: SharedNode,
    socket: Rc<UdpSocket>,
    keeper: RefCell<Keeper>,
    /// Notified when confirmations are awaited.
    waiting: Notify,
    /// The other processes that can be holders.
    members: RefCell<Rc<Members>>,
    /// Engines whose sidecars can be holders; `None` if this process doesn't know which engines run.
    engines: Box<dyn Fn(Purpose) -> Option<HashSet<SocketAddr>>>,
}

/// What a set of processes is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// To hold origins: for as long as streams last.
    Hold,
    /// To answer what they hold: while they run.
    Query,
}

impl std::fmt::Debug for StreamOrigins {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StreamOrigins").finish_non_exhaustive()
    }
}

impl StreamOrigins {
    /// Creates the state of a process that keeps no origins. A sidecar of another engine than `engines` has
    /// ended with it, or soon does.
    pub(crate) fn new(
        node: &SharedNode,
        socket: &Rc<UdpSocket>,
        engines: impl Fn(Purpose) -> Option<HashSet<SocketAddr>> + 'static,
    ) -> Rc<Self> {
        Rc::new(Self {
            node: Rc::clone(node),
            socket: Rc::clone(socket),
            keeper: RefCell::default(),
            waiting: Notify::new(),
            members: RefCell::default(),
            engines: Box::new(engines),
        })
    }

    /// The other processes that can be holders.
    fn members(&self) -> Rc<Members> {
        Rc::clone(&self.members.borrow())
    }

    /// The other processes that may know an origin.
    pub(crate) fn queried(&self) -> Members {
        members(&self.node.cluster.borrow(), (self.engines)(Purpose::Query))
    }

    /// The build that began a stream.
    pub(crate) fn get(&self, stream: StreamKey) -> Option<BuildKey> {
        let known = self.keeper.borrow_mut().get(self.node.now(), stream);
        known.map(|(build, _)| build)
    }

    /// Updates the gauges.
    pub(crate) fn update_gauges(&self) {
        let keeper = self.keeper.borrow();
        meter::set(meter::STREAM_ORIGINS, keeper.len() as f64);
        meter::set(meter::SILENT_HOLDERS, keeper.silent() as f64);
    }

    /// Records the build that begins a stream here, and sends it to the holders.
    pub(crate) fn begin(&self, stream: StreamKey, build: BuildKey, keep: Micros) {
        let keep = keep.min(MAX_KEEP);
        let record = Record {
            stream,
            build,
            keep,
        };
        let members = self.members();
        let mut keeper = self.keeper.borrow_mut();
        let out = keeper.begin(self.node.now(), record, &members);
        drop(keeper);
        self.send(&[out]);
    }

    /// Receives a record, confirmation, query or answer; records and queries are answered at once.
    pub(crate) fn receive(&self, from: SocketAddr, received: &StreamOrigin) -> Option<Statement> {
        let stream = StreamKey(received.stream);
        self.keep(from, std::slice::from_ref(received));
        match OriginKind::try_from(received.kind) {
            Ok(OriginKind::Record) => {
                let confirmation = encode(OriginKind::Confirmation, stream, None);
                update::send(&self.socket, &confirmation, [from]);
                None
            }
            Ok(OriginKind::Query) => {
                let now = self.node.now();
                let known = self.keeper.borrow_mut().get(now, stream);
                let known = known.map(|(build, until)| (build, until.since(now)));
                let answer = encode(OriginKind::Answer, stream, known);
                update::send(&self.socket, &answer, [from]);
                None
            }
            Ok(OriginKind::Answer) => Some(Statement::Answer {
                known: received.build.is_some(),
            }),
            Ok(OriginKind::Confirmation) => {
                self.keeper.borrow_mut().confirm_record(stream, from);
                None
            }
            Err(_) => {
                meter::increment(meter::BAD_UPDATES, "reason", "origin");
                None
            }
        }
    }

    /// Receives origins of several streams, or their confirmation.
    pub(crate) fn receive_batch(&self, from: SocketAddr, batch: &OriginBatch) {
        if batch.confirms {
            let key = BatchKey(batch.key);
            return self.keeper.borrow_mut().confirm_batch(key, from);
        }
        self.keep(from, &batch.records);
        let confirmation = Update {
            entry: true,
            origin_batch: Some(OriginBatch {
                key: batch.key,
                records: Vec::new(),
                confirms: true,
            }),
            ..Update::default()
        };
        update::send(&self.socket, &confirmation, [from]);
    }

    /// Keeps what another process has sent.
    fn keep(&self, from: SocketAddr, received: &[StreamOrigin]) {
        let records = received.iter().filter_map(|r| {
            Some(Record {
                stream: StreamKey(r.stream),
                build: BuildKey(r.build?),
                keep: Micros::from_millis(r.keep_ms.into()).min(MAX_KEEP),
            })
        });
        let mut records = records.peekable();
        if records.peek().is_none() {
            return;
        }
        let members = self.members();
        let mut keeper = self.keeper.borrow_mut();
        records.for_each(|r| keeper.receive(self.node.now(), from, r, &members));
    }

    /// Replaces holders that end, for as long as the process runs.
    pub(crate) async fn follow(self: Rc<Self>) {
        self.replace_ended();
        loop {
            let is_waiting = self.keeper.borrow().is_waiting();
            tokio::select! {
                () = self.node.processes_changed.notified() => self.replace_ended(),
                () = self.waiting.notified(), if !is_waiting => {}
                () = sleep(Config::default().confirm.into()), if is_waiting => {
                    let out = self.keeper.borrow_mut().check(self.node.now(), &self.members());
                    self.send_on("unconfirmed", &out);
                }
            }
        }
    }

    /// Replaces the processes that have started again or are no members any more.
    fn replace_ended(&self) {
        let now = self.node.now();
        let members = Rc::new(members(
            &self.node.cluster.borrow(),
            (self.engines)(Purpose::Hold),
        ));
        let former = self.members.replace(Rc::clone(&members));
        let (known, running) = (holders(&former), holders(&members));
        let starts = self.node.starts.take();
        let gone = known.difference(&running).copied();
        let former = starts.iter().filter_map(|s| s.former);
        let again = starts.iter().filter(|s| s.former.is_some());
        let again = again.map(|s| s.member.addr);
        let mut ended: Vec<_> = gone.chain(former).chain(again).collect();
        ended.sort_unstable();
        ended.dedup();
        let mut keeper = self.keeper.borrow_mut();
        let mut out = keeper.replace(now, &ended, &members);
        let new = starts.iter().filter(|s| s.former.is_none());
        out.extend(keeper.probe(now, self.replaceable(new)));
        drop(keeper);
        self.send_on("ended", &out);
    }

    /// Processes that new ones may have replaced: those of the same role and failure domain.
    fn replaceable<'a>(&self, new: impl Iterator<Item = &'a Start>) -> HashSet<SocketAddr> {
        let place = |m: &Member| (m.role == Role::Entry, m.domain);
        let places: HashSet<_> = new.map(|s| place(&s.member)).collect();
        let cluster = self.node.cluster.borrow();
        let members = cluster.members.values();
        let members = members.filter(|m| places.contains(&place(m)));
        members.map(|m| m.addr).collect()
    }

    /// Hands over all origins, as the process stops.
    pub(crate) fn leave(&self) {
        let mut keeper = self.keeper.borrow_mut();
        let out = keeper.leave(self.node.now(), &self.members());
        drop(keeper);
        self.send_on("stopping", &out);
    }

    /// Waits until what was handed over has been confirmed.
    pub(crate) async fn confirmed(&self) {
        let confirmed = async {
            while self.keeper.borrow().is_waiting() {
                sleep(Config::default().confirm.into()).await;
            }
        };
        let _ = timeout(LEAVE_TIMEOUT, confirmed).await;
    }

    /// Sends messages, and logs those that are sent because of an end.
    fn send_on(&self, reason: &'static str, out: &[Outgoing]) {
        let records = |o: &Outgoing| match &o.message {
            Message::Record(_) => o.to.len(),
            Message::Batch(_, records) => records.len(),
        };
        let sent: usize = out.iter().map(records).sum();
        if sent > 0 {
            let processes: HashSet<_> = out.iter().flat_map(|o| &o.to).collect();
            meter::add(meter::ORIGINS_SENT, "reason", reason, sent as u64);
            log::event(&Event::OriginsSent {
                reason,
                processes: processes.len(),
                records: sent,
            });
        }
        self.send(out);
    }

    fn send(&self, out: &[Outgoing]) {
        for Outgoing { to, message } in out {
            let update = match message {
                Message::Record(r) => encode(OriginKind::Record, r.stream, Some((r.build, r.keep))),
                Message::Batch(key, records) => Update {
                    entry: true,
                    origin_batch: Some(OriginBatch {
                        key: key.0,
                        records: records.iter().map(encode_record).collect(),
                        confirms: false,
                    }),
                    ..Update::default()
                },
            };
            update::send(&self.socket, &update, to.iter().copied());
        }
        if self.keeper.borrow().is_waiting() {
            self.waiting.notify_one();
        }
    }
}

/// Addresses of all processes that can be holders.
fn holders(members: &Members) -> HashSet<SocketAddr> {
    let all = members.entries.iter().chain(&members.sidecars);
    all.map(|p| p.addr).collect()
}

/// The other processes, as [`policy::stream_origin`] needs them, without sidecars of other engines.
fn members(cluster: &ClusterState, engines: Option<HashSet<SocketAddr>>) -> Members {
    let runs = |engine| engines.as_ref().is_none_or(|e| e.contains(&engine));
    let of_role = |role| {
        let members = cluster.members.values().filter(move |m| m.role == role);
        members.filter(|m| m.engine.is_none_or(runs))
    };
    let peer = |m: &Member| Peer {
        addr: m.addr,
        domain: m.domain,
    };
    Members {
        entries: of_role(Role::Entry).map(peer).collect(),
        sidecars: of_role(Role::Sidecar).map(peer).collect(),
    }
}

fn encode_record(record: &Record) -> StreamOrigin {
    StreamOrigin {
        kind: OriginKind::Record.into(),
        stream: record.stream.0,
        build: Some(record.build.0),
        keep_ms: record.keep.as_millis() as u32,
    }
}

/// Encodes an origin; `build` is the build and the time left for which it is kept.
pub(crate) fn encode(
    kind: OriginKind,
    stream: StreamKey,
    build: Option<(BuildKey, Micros)>,
) -> Update {
    Update {
        entry: true,
        origin: Some(StreamOrigin {
            kind: kind.into(),
            stream: stream.0,
            build: build.map(|(b, _)| b.0),
            keep_ms: build.map_or(0, |(_, left)| left.as_millis() as u32),
        }),
        ..Update::default()
    }
}
