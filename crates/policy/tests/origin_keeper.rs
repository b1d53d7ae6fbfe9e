//! Origins of streams while processes end in series, in virtual time.
//!
//! `ORIGIN_SEEDS=500 cargo test --release -p policy --test origin_keeper` plays more random series.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;

use assert_matches::assert_matches;
use model::Micros;
use policy::origin_keeper::{BatchKey, Keeper, Message, Outgoing, Record, MAX_BATCH};
use policy::stream_origin::{BuildKey, Config, Inquiry, Members, Peer, Step, StreamKey};
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, SeedableRng};

/// Interval at which processes check for confirmations, in milliseconds.
const CHECK_MS: u64 = 50;
/// Longest delay of a change of the list of members, in milliseconds.
const MEMBERS_LAG_MS: u64 = 1_000;
/// Longest delay with which entries see that an engine has left, in milliseconds.
const LIST_LAG_MS: u64 = 1_000;
/// Longest time until a process that was killed runs again, in milliseconds.
const MAX_RESTART_MS: u64 = 1_500;
/// Time that a process has to send on what it knows: the delays above, and some rounds of confirmations.
const HANDOVER_MS: u64 = MAX_RESTART_MS + MEMBERS_LAG_MS + 500;
/// Time for which origins are kept.
const KEEP: Micros = Micros::from_secs(120);
/// Time for which those of other callers' streams are kept.
const SHORT_KEEP: Micros = Micros::from_secs(3);
const BUILD: BuildKey = BuildKey(1);

fn at(ms: u64) -> Micros {
    Micros::from_millis(ms)
}

fn addr(host: usize, number: u8) -> SocketAddr {
    SocketAddr::from(([10, number, (host >> 8) as u8, host as u8], 7_000))
}

/// What a process receives.
#[derive(Clone, Debug)]
enum Input {
    Record(Record),
    ConfirmRecord(StreamKey),
    Batch(BatchKey, Vec<Record>),
    ConfirmBatch(BatchKey),
    /// Another process is in the list of members, at the place of one that has ended.
    Member {
        former: Option<SocketAddr>,
        peer: Peer,
        is_entry: bool,
    },
    /// The engine of a sidecar isn't listed any more.
    Unlisted(SocketAddr),
    /// The process starts again, or a new one in its place.
    Start {
        own: SocketAddr,
        is_new: bool,
    },
    Check,
}

struct Process {
    addr: SocketAddr,
    domain: u64,
    is_entry: bool,
    runs: bool,
    /// Whether it never starts again.
    gone: bool,
    keeper: Keeper,
    members: Members,
}

impl Process {
    fn peer(&self) -> Peer {
        let (addr, domain) = (self.addr, self.domain);
        Peer { addr, domain }
    }
}

/// Where a process starts that takes the place of one that was killed.
#[derive(Clone, Copy)]
enum Place {
    /// At the same address.
    Same,
    /// At another address of the same host.
    Moved,
    /// On a new host of the same failure domain.
    New,
}

/// Events by time and number, with the receiver and the sender.
type Events = BinaryHeap<Reverse<(u64, u64, usize)>>;

struct Sim {
    rng: SmallRng,
    now: u64,
    processes: Vec<Process>,
    events: Events,
    inputs: HashMap<u64, (SocketAddr, Input)>,
    count: u64,
    /// Share of datagrams that are lost.
    loss: f64,
    datagrams: u64,
}

impl Sim {
    fn new(seed: u64, entries: usize, sidecars: usize, loss: f64) -> Self {
        let process = |n: usize| Process {
            addr: addr(n, 0),
            domain: n as u64 % 4,
            is_entry: n < entries,
            runs: true,
            gone: false,
            keeper: Keeper::default(),
            members: Members::default(),
        };
        let mut sim = Self {
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            processes: (0..entries + sidecars).map(process).collect(),
            events: Events::new(),
            inputs: HashMap::new(),
            count: 0,
            loss,
            datagrams: 0,
        };
        for n in 0..sim.processes.len() {
            sim.processes[n].members = sim.members_of(n);
            sim.push(CHECK_MS, n, addr(n, 0), Input::Check);
        }
        sim
    }

    /// The other processes as the table names them.
    fn members_of(&self, own: usize) -> Members {
        let peers = |entries: bool| {
            let others = self.processes.iter().enumerate();
            let others = others.filter(|(n, p)| *n != own && p.is_entry == entries);
            others.map(|(_, p)| p.peer()).collect()
        };
        Members {
            entries: peers(true),
            sidecars: peers(false),
        }
    }

    fn push(&mut self, delay: u64, to: usize, from: SocketAddr, input: Input) {
        self.count += 1;
        self.inputs.insert(self.count, (from, input));
        self.events
            .push(Reverse((self.now + delay, self.count, to)));
    }

    /// Sends a datagram.
    fn send(&mut self, from: SocketAddr, to: SocketAddr, input: Input) {
        self.datagrams += 1;
        if self.rng.random_bool(self.loss) {
            return;
        }
        let receiver = self.processes.iter().position(|p| p.addr == to && p.runs);
        if let Some(n) = receiver {
            let delay = self.rng.random_range(1..4);
            self.push(delay, n, from, input);
        }
    }

    fn send_all(&mut self, from: SocketAddr, out: Vec<Outgoing>) {
        for Outgoing { to, message } in out {
            let input = match message {
                Message::Record(record) => Input::Record(record),
                Message::Batch(key, records) => {
                    assert!(records.len() <= MAX_BATCH);
                    Input::Batch(key, records)
                }
            };
            for to in to {
                self.send(from, to, input.clone());
            }
        }
    }

    /// Begins a stream at an entry.
    fn begin(&mut self, entry: usize, stream: StreamKey, keep: Micros) {
        let record = Record {
            stream,
            build: BUILD,
            keep,
        };
        let now = at(self.now);
        let p = &mut self.processes[entry];
        let (own, members) = (p.addr, p.members.clone());
        let out = p.keeper.begin(now, record, &members);
        self.send_all(own, vec![out]);
    }

    /// Plays until a time.
    fn run(&mut self, until: u64) {
        while let Some(Reverse((time, number, to))) = self.events.peek().copied() {
            if time > until {
                break;
            }
            self.events.pop();
            self.now = time;
            let (from, input) = self.inputs.remove(&number).expect("an input");
            self.handle(to, from, input);
        }
        self.now = until;
    }

    fn handle(&mut self, n: usize, from: SocketAddr, input: Input) {
        let now = at(self.now);
        if let Input::Start { own, is_new } = input {
            return self.start(n, own, is_new);
        }
        let p = &mut self.processes[n];
        let own = p.addr;
        if !p.runs {
            return;
        }
        let mut out = Vec::new();
        match input {
            Input::Record(record) => {
                p.keeper.receive(now, from, record, &p.members);
                self.send(own, from, Input::ConfirmRecord(record.stream));
            }
            Input::Batch(key, records) => {
                for record in records {
                    p.keeper.receive(now, from, record, &p.members);
                }
                self.send(own, from, Input::ConfirmBatch(key));
            }
            Input::ConfirmRecord(stream) => p.keeper.confirm_record(stream, from),
            Input::ConfirmBatch(key) => p.keeper.confirm_batch(key, from),
            Input::Member {
                former,
                peer,
                is_entry,
            } => {
                let peers = match is_entry {
                    true => &mut p.members.entries,
                    false => &mut p.members.sidecars,
                };
                if !peers.contains(&peer) {
                    peers.push(peer);
                }
                out = match former {
                    Some(ended) => p.keeper.replace(now, &[ended], &p.members),
                    // A process of the same domain may have been replaced.
                    None => {
                        let near = peers.iter().filter(|m| m.domain == peer.domain);
                        p.keeper.probe(now, near.map(|m| m.addr))
                    }
                };
            }
            Input::Unlisted(sidecar) => {
                p.members.sidecars.retain(|m| m.addr != sidecar);
                out = p.keeper.replace(now, &[sidecar], &p.members);
            }
            Input::Check => {
                out = p.keeper.check(now, &p.members);
                self.push(CHECK_MS, n, own, Input::Check);
            }
            Input::Start { .. } => {}
        }
        self.send_all(own, out);
    }

    fn start(&mut self, n: usize, own: SocketAddr, is_new: bool) {
        let former = std::mem::replace(&mut self.processes[n].addr, own);
        let former = (!is_new).then_some(former);
        let members = self.members_of(n);
        let p = &mut self.processes[n];
        p.runs = true;
        p.members = members;
        p.keeper = Keeper::default();
        let (peer, is_entry) = (p.peer(), p.is_entry);
        self.push(CHECK_MS, n, own, Input::Check);
        for other in 0..self.processes.len() {
            let lag = self.rng.random_range(0..MEMBERS_LAG_MS);
            let member = Input::Member {
                former,
                peer,
                is_entry,
            };
            if other != n {
                self.push(lag, other, own, member);
            }
        }
    }

    /// Kills a process, which starts again.
    fn kill(&mut self, n: usize, place: Place) {
        self.processes[n].runs = false;
        let number = self.rng.random_range(1..255);
        let own = match place {
            Place::Same => self.processes[n].addr,
            Place::Moved | Place::New => addr(n, number),
        };
        let delay = self.rng.random_range(100..MAX_RESTART_MS);
        let is_new = matches!(place, Place::New);
        self.push(delay, n, own, Input::Start { own, is_new });
    }

    /// Stops a process with a signal; it starts again.
    fn stop(&mut self, n: usize) {
        let now = at(self.now);
        let p = &mut self.processes[n];
        let (own, members) = (p.addr, p.members.clone());
        let out = p.keeper.leave(now, &members);
        self.send_all(own, out);
        self.kill(n, Place::Same);
    }

    /// Kills a sidecar for good; its engine leaves the list.
    fn remove(&mut self, n: usize) {
        self.processes[n].runs = false;
        self.processes[n].gone = true;
        let sidecar = self.processes[n].addr;
        for other in 0..self.processes.len() {
            if self.processes[other].is_entry {
                let lag = self.rng.random_range(0..LIST_LAG_MS);
                self.push(lag, other, sidecar, Input::Unlisted(sidecar));
            }
        }
    }

    fn knows(&mut self, n: usize, stream: StreamKey) -> bool {
        let now = at(self.now);
        let p = &mut self.processes[n];
        p.runs && p.keeper.get(now, stream).is_some()
    }

    /// Whether an entry finds an origin, in itself or by a search.
    fn finds(&mut self, entry: usize, stream: StreamKey) -> bool {
        if self.knows(entry, stream) {
            return true;
        }
        let mut now = at(self.now);
        let members = self.processes[entry].members.clone();
        let mut inquiry = Inquiry::new(now, Config::default(), stream, &members);
        loop {
            match inquiry.next(now) {
                Step::Query(to) => {
                    for addr in to {
                        let n = self.processes.iter().position(|p| p.addr == addr && p.runs);
                        match n {
                            Some(n) if self.knows(n, stream) => return true,
                            Some(_) => inquiry.record_unknown(now, addr),
                            None => {}
                        }
                    }
                }
                Step::Wait(until) => now = until,
                Step::Unknown => return false,
            }
        }
    }

    fn running(&self, entries: bool) -> Vec<usize> {
        let all = self.processes.iter().enumerate();
        let running = all.filter(|(_, p)| p.runs && p.is_entry == entries);
        running.map(|(n, _)| n).collect()
    }
}

/// An end of some processes.
#[derive(Clone, Copy, Debug)]
enum End {
    /// An entry or sidecar is killed and starts again.
    Kill,
    /// An entry or sidecar is killed and starts again at another address.
    Move,
    /// An entry or sidecar is lost with its host; a new host takes its place.
    Replace,
    /// An entry or sidecar is stopped with a signal and starts again.
    Stop,
    /// A sidecar leaves with its engine.
    Remove,
    /// All processes are killed but one that knows a given stream.
    AllButOne,
    /// All entries are killed at once.
    AllEntries,
}

const ENDS: [End; 7] = [
    End::Kill,
    End::Move,
    End::Replace,
    End::Stop,
    End::Remove,
    End::AllButOne,
    End::AllEntries,
];

/// Lets processes end.
fn play(sim: &mut Sim, end: End, stream: StreamKey) {
    let n = (0..sim.processes.len())
        .filter(|n| sim.processes[*n].runs)
        .choose(&mut sim.rng)
        .expect("a process");
    match end {
        End::Kill => sim.kill(n, Place::Same),
        End::Move => sim.kill(n, Place::Moved),
        End::Replace => sim.kill(n, Place::New),
        End::Stop => sim.stop(n),
        End::Remove => {
            let sidecars = sim.running(false);
            // The last sidecars stay.
            if let Some(n) = sidecars.choose(&mut sim.rng).filter(|_| sidecars.len() > 2) {
                sim.remove(*n);
            }
        }
        End::AllButOne => {
            let knowing: Vec<_> = (0..sim.processes.len())
                .filter(|n| sim.knows(*n, stream))
                .collect();
            let survivor = knowing.choose(&mut sim.rng).copied();
            for n in 0..sim.processes.len() {
                if sim.processes[n].runs && survivor.is_some_and(|s| s != n) {
                    sim.kill(n, Place::Same);
                }
            }
        }
        End::AllEntries => {
            let entries = sim.running(true);
            // Without sidecars no process that knows would be left.
            if sim.running(false).len() > 1 {
                entries.into_iter().for_each(|n| sim.kill(n, Place::Same));
            }
        }
    }
}

fn seeds(default: u64) -> u64 {
    let seeds = std::env::var("ORIGIN_SEEDS").ok();
    seeds.and_then(|s| s.parse().ok()).unwrap_or(default)
}

#[test]
fn origin_survives_any_series_of_ends_that_a_process_which_knows_it_outlives() {
    // Guards against origins that are handed over once, to processes that end later.
    struct Case {
        name: &'static str,
        entries: usize,
        sidecars: usize,
        loss: f64,
        /// Number of series that are played by default.
        seeds: u64,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "small", entries: 4, sidecars: 9, loss: 0.0, seeds: 8 },
        Case { name: "small, datagrams are lost", entries: 4, sidecars: 9, loss: 0.03, seeds: 8 },
        Case { name: "two of each", entries: 2, sidecars: 2, loss: 0.0, seeds: 8 },
        Case { name: "no sidecars", entries: 4, sidecars: 0, loss: 0.0, seeds: 8 },
        Case { name: "large, datagrams are lost", entries: 28, sidecars: 52, loss: 0.03, seeds: 1 },
    ];
    for c in cases {
        for seed in 0..seeds(c.seeds) {
            let mut sim = Sim::new(seed, c.entries, c.sidecars, c.loss);
            let streams: Vec<_> = (0..10).map(StreamKey).collect();
            for stream in &streams {
                let entry = sim.rng.random_range(0..c.entries);
                sim.begin(entry, *stream, KEEP);
            }
            sim.run(1_000);
            let mut series = Vec::new();
            let mut others = 1_000;
            while sim.now < 60_000 {
                let end = *ENDS.choose(&mut sim.rng).expect("an end");
                // All but one process survive any end for the first stream only.
                let is_alone = matches!(end, End::AllButOne);
                series.push((sim.now, end));
                play(&mut sim, end, streams[0]);
                let pause = match is_alone {
                    true => 2 * HANDOVER_MS,
                    false => sim.rng.random_range(HANDOVER_MS..2 * HANDOVER_MS),
                };
                let until = sim.now + pause;
                while sim.now < until {
                    // Streams of other callers begin all the time.
                    for entry in sim.running(true) {
                        others += 1;
                        sim.begin(entry, StreamKey(others), SHORT_KEEP);
                    }
                    let next = sim.now + 200;
                    sim.run(next);
                }
                let known = if series.iter().any(|(_, e)| matches!(e, End::AllButOne)) {
                    1
                } else {
                    streams.len()
                };
                for stream in &streams[..known] {
                    let entry = *sim.running(true).choose(&mut sim.rng).expect("an entry");
                    let found = sim.finds(entry, *stream);
                    assert!(found, "{}, seed {seed}, {stream:?}: {series:?}", c.name);
                }
                assert!(
                    !sim.finds(sim.running(true)[0], StreamKey(999)),
                    "{}",
                    c.name
                );
            }
        }
    }
}

#[test]
fn no_datagrams_are_added_while_no_process_ends() {
    // Guards against a load that grows with the number of streams that are kept.
    for (entries, sidecars) in [(10, 20), (100, 200)] {
        let mut sim = Sim::new(1, entries, sidecars, 0.0);
        let streams = 1_000;
        for n in 0..streams {
            sim.begin(n as usize % entries, StreamKey(n), KEEP);
            let next = sim.now + 10;
            sim.run(next);
        }
        sim.run(60_000);
        // Three records and their confirmations.
        assert_eq!(sim.datagrams, 6 * streams);
    }
}

#[test]
fn origins_of_a_process_that_has_ended_share_datagrams() {
    // Guards against bursts of datagrams when processes end.
    let mut sim = Sim::new(1, 4, 9, 0.0);
    let streams = 800;
    for n in 0..streams {
        sim.begin(n as usize % 4, StreamKey(n), KEEP);
    }
    sim.run(1_000);
    let before = sim.datagrams;
    sim.kill(0, Place::Same);
    sim.run(1_000 + 2 * HANDOVER_MS);
    let sent = sim.datagrams - before;
    // Each of the others sends what one process held to a few processes, and gets confirmations.
    let others = sim.processes.len() as u64 - 1;
    assert!(sent <= 2 * others * others, "{sent}");
}

#[test]
fn process_that_confirms_nothing_is_replaced_only_once_for_a_stream() {
    // Guards against records that are sent for as long as a stream lasts.
    let mut keeper = Keeper::default();
    let members = Members {
        entries: (1..4)
            .map(|n| Peer {
                addr: addr(n, 0),
                domain: 0,
            })
            .collect(),
        sidecars: Vec::new(),
    };
    let record = Record {
        stream: StreamKey(1),
        build: BUILD,
        keep: KEEP,
    };
    let out = keeper.begin(at(0), record, &members);
    assert_matches!(out.message, Message::Record(_));
    let mut sent = out.to.len();
    for round in 1..200 {
        let out = keeper.check(at(round * CHECK_MS), &members);
        sent += out.iter().map(|o| o.to.len()).sum::<usize>();
    }
    assert!(!keeper.is_waiting());
    // A record, and one question that isn't answered either, for each process.
    assert!(sent <= 6, "{sent}");
    let distinct: HashSet<_> = members.entries.iter().map(|p| p.addr).collect();
    assert_eq!(keeper.silent(), distinct.len());
}

#[test]
fn processes_that_were_silent_get_records_if_there_are_too_few_others() {
    // Guards against streams without any holder after all other processes were paused for a moment.
    let mut keeper = Keeper::default();
    let members = Members {
        entries: (1..3)
            .map(|n| Peer {
                addr: addr(n, 0),
                domain: 0,
            })
            .collect(),
        sidecars: Vec::new(),
    };
    let record = |stream| Record {
        stream: StreamKey(stream),
        build: BUILD,
        keep: KEEP,
    };
    keeper.begin(at(0), record(1), &members);
    for round in 1..10 {
        keeper.check(at(round * CHECK_MS), &members);
    }
    assert_eq!(keeper.silent(), 2);
    let out = keeper.begin(at(1_000), record(2), &members);
    assert_eq!(out.to.len(), 2);
}
