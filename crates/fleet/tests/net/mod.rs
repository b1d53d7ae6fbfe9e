//! A simulated network in virtual time: delivers datagrams and pulls between the state machines,
//! with delay and loss.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::*;
use model::{Incarnation, MemberId, Micros, Version};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Bound on datagrams queued at a paused process; later ones are lost, as in a full socket buffer.
const INBOX: usize = 200;

/// An event scheduled for a node. A generation ties it to one start of the process.
pub(crate) enum Scheduled {
    /// A requested wake-up.
    Wake(u32),
    /// An event from the local driver.
    Local(u32, Event),
    /// A datagram, whichever process runs at the address when it arrives.
    Datagram(Event),
    /// A pull that this node is to answer.
    Serve {
        asker: usize,
        generation: u32,
        from: MemberId,
        scope: PullScope,
    },
}

/// A simulated process with a record of its actions.
pub(crate) struct Node {
    pub(crate) fleet: Fleet,
    pub(crate) up: bool,
    pub(crate) paused: bool,
    /// Nodes in different groups do not reach each other.
    pub(crate) group: u32,
    /// Whether the node reaches the table.
    pub(crate) table_reachable: bool,
    /// Number of restarts.
    pub(crate) generation: u32,
    wake: Micros,
    inbox: Vec<Event>,
    pub(crate) adopted: Vec<(Micros, Version, Digest)>,
    pub(crate) joined: Vec<(Micros, MemberId)>,
    pub(crate) gone: Vec<(Micros, MemberId)>,
    pub(crate) convicted: Vec<u128>,
    pub(crate) reads: u64,
    /// Bytes of received answers to pulls.
    pub(crate) pulled: u64,
    /// Wall time spent in `Fleet::step`.
    pub(crate) spent: Duration,
}

/// The network, the table and all nodes.
pub(crate) struct Net {
    pub(crate) now: Micros,
    pub(crate) nodes: Vec<Node>,
    pub(crate) loss: f64,
    pub(crate) delay: Micros,
    /// Row in the table.
    pub(crate) row: Option<TableRow>,
    /// Whether the table answers.
    pub(crate) table_up: bool,
    /// Datagrams recorded for a replay, if enabled.
    pub(crate) recorded: Option<Vec<(SocketAddr, SocketAddr, Bytes)>>,
    pub(crate) settings: Settings,
    /// Number of failure domains.
    pub(crate) domains: usize,
    /// Whether to measure the time spent in `Fleet::step`.
    pub(crate) timed: bool,
    /// Two nodes that do not reach each other.
    pub(crate) unlinked_nodes: Option<(usize, usize)>,
    /// Two failure domains whose members do not reach each other.
    pub(crate) unlinked_domains: Option<(usize, usize)>,
    scheduled: HashMap<u64, Scheduled>,
    heap: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    scheduled_count: u64,
    pub(crate) rng: SmallRng,
}

pub(crate) fn udp(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7_000))
}

pub(crate) fn index(a: SocketAddr) -> usize {
    match a {
        SocketAddr::V4(a) => a.ip().octets()[2] as usize * 250 + a.ip().octets()[3] as usize,
        SocketAddr::V6(_) => usize::MAX,
    }
}

pub(crate) fn row(version: u64, text: impl Into<String>) -> TableRow {
    let text = Bytes::from(text.into());
    TableRow {
        version: Version(version),
        digest: Digest::of(&text),
        text,
    }
}

pub(crate) fn settings() -> Settings {
    Settings::new(Keyring::new("a secret"))
}

impl Net {
    pub(crate) fn new(seed: u64, loss: f64) -> Self {
        Self {
            now: Micros::from_secs(1),
            nodes: Vec::new(),
            loss,
            delay: Micros::from_millis(5),
            row: None,
            table_up: true,
            recorded: None,
            settings: settings(),
            domains: 3,
            timed: false,
            unlinked_nodes: None,
            unlinked_domains: None,
            scheduled: HashMap::new(),
            heap: BinaryHeap::new(),
            scheduled_count: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// A fleet in which all members have found each other.
    pub(crate) fn settled(n: usize, seed: u64, loss: f64) -> Self {
        let mut net = Self::new(seed, loss);
        net.row = Some(row(1, "first"));
        net.add_nodes(n);
        net.run_until(Micros::from_secs(120), |net| net.is_complete());
        assert!(net.is_complete(), "all members have found each other");
        net.run(Micros::from_secs(20));
        net
    }

    pub(crate) fn add_nodes(&mut self, n: usize) {
        for _ in 0..n {
            let i = self.nodes.len();
            let fleet = self.new_fleet(i, 0);
            self.nodes.push(Node {
                fleet,
                up: true,
                paused: false,
                group: 0,
                table_reachable: true,
                generation: 0,
                wake: Micros::MAX,
                inbox: Vec::new(),
                adopted: Vec::new(),
                joined: Vec::new(),
                gone: Vec::new(),
                convicted: Vec::new(),
                reads: 0,
                pulled: 0,
                spent: Duration::ZERO,
            });
            self.seed(i);
        }
    }

    pub(crate) fn member(&self, i: usize, generation: u32) -> Member {
        let domain = i % self.domains;
        Member {
            id: MemberId((i as u64 + 1) * 1_000 + u64::from(generation)),
            role: if i % 10 < 3 {
                Role::Entry
            } else {
                Role::Sidecar
            },
            host: format!("host-{i:04}.example"),
            domain: format!("domain-{domain}"),
            region: format!("region-{}", domain % 3),
            udp: udp(i),
            tcp: udp(i),
            http: None,
            pool: Some("pool-a".to_owned()),
            tags: "weights-7".to_owned(),
            incarnation: Incarnation(1_700_000_000_000_000 + self.now.0),
            state: MemberState::Alive,
        }
    }

    fn new_fleet(&mut self, i: usize, generation: u32) -> Fleet {
        let seed = self.rng.random();
        Fleet::new(self.settings.clone(), self.member(i, generation), seed)
    }

    fn seed(&mut self, i: usize) {
        let seeds = (0..3).map(udp).collect();
        self.deliver(i, Event::Seeds(seeds));
    }

    /// Kills a process without notice and starts a new one at its address.
    pub(crate) fn restart(&mut self, i: usize) {
        self.restart_with_clock_back(i, Micros::ZERO);
    }

    /// Restarts a process with the wall clock set back.
    pub(crate) fn restart_with_clock_back(&mut self, i: usize, back: Micros) {
        let mut me = self.member(i, self.nodes[i].generation + 1);
        me.incarnation.0 -= back.0;
        self.replace(i, me);
        self.seed(i);
    }

    /// Kills a process and starts one at its address without seeds.
    pub(crate) fn replace(&mut self, i: usize, me: Member) {
        let generation = self.nodes[i].generation + 1;
        let fleet = Fleet::new(self.settings.clone(), me, self.rng.random());
        let n = &mut self.nodes[i];
        n.fleet = fleet;
        n.generation = generation;
        n.up = true;
        n.paused = false;
        n.wake = Micros::MAX;
        n.adopted.clear();
        n.joined.clear();
        n.gone.clear();
        n.convicted.clear();
        self.deliver(i, Event::Tick);
    }

    pub(crate) fn kill(&mut self, i: usize) {
        self.nodes[i].up = false;
    }

    pub(crate) fn pause(&mut self, i: usize) {
        self.nodes[i].paused = true;
    }

    pub(crate) fn resume(&mut self, i: usize) {
        self.nodes[i].paused = false;
        for e in std::mem::take(&mut self.nodes[i].inbox) {
            self.deliver(i, e);
        }
        self.deliver(i, Event::Tick);
    }

    /// Writes a configuration to the table through one process.
    pub(crate) fn accept(&mut self, i: usize, r: TableRow) {
        self.row = Some(r.clone());
        self.deliver(i, Event::Accepted(r));
    }

    /// Delivers a text that was not verified against the table.
    pub(crate) fn deliver_unproven(&mut self, i: usize, r: TableRow) {
        let from = MemberId(1);
        let answer = Answer {
            version: r.version,
            digest: r.digest,
            text: r.text,
            ..Answer::default()
        };
        self.deliver(i, Event::Pulled { from, answer });
    }

    pub(crate) fn up(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|n| n.up)
    }

    /// Whether each running process has exactly the others as live members.
    pub(crate) fn is_complete(&self) -> bool {
        let n = self.up().count();
        self.up().all(|x| x.fleet.live() == n)
    }

    pub(crate) fn all_have(&self, r: &TableRow) -> bool {
        let has = |f: &Fleet| f.version() == r.version && f.digest() == r.digest;
        self.up().all(|n| has(&n.fleet))
    }

    pub(crate) fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.run_next(end) {}
        self.now = end;
    }

    /// Runs until a condition holds, checking every 10 ms; returns the elapsed time.
    pub(crate) fn run_until(&mut self, span: Micros, ok: impl Fn(&Self) -> bool) -> Option<Micros> {
        let start = self.now;
        while self.now < start + span {
            if ok(self) {
                return Some(self.now.since(start));
            }
            self.run(Micros::from_millis(10));
        }
        ok(self).then(|| self.now.since(start))
    }

    /// Runs the next scheduled event; false if none is due by `end`.
    fn run_next(&mut self, end: Micros) -> bool {
        match self.heap.peek() {
            Some(Reverse((at, ..))) if *at <= end => {}
            _ => return false,
        }
        let Some(Reverse((at, id, i))) = self.heap.pop() else {
            return false;
        };
        let Some(scheduled) = self.scheduled.remove(&id) else {
            return true;
        };
        self.now = at;
        match scheduled {
            Scheduled::Wake(generation)
                if self.nodes[i].generation == generation && self.nodes[i].wake <= at =>
            {
                if self.nodes[i].up && !self.nodes[i].paused {
                    self.deliver(i, Event::Tick);
                }
            }
            Scheduled::Wake(_) => {}
            Scheduled::Local(generation, e) if self.nodes[i].generation == generation => {
                self.deliver(i, e)
            }
            Scheduled::Local(..) => {}
            Scheduled::Datagram(e) => self.deliver(i, e),
            Scheduled::Serve {
                asker,
                generation,
                from,
                scope,
            } => self.serve(i, asker, generation, from, scope),
        }
        true
    }

    fn serve(&mut self, i: usize, asker: usize, generation: u32, from: MemberId, scope: PullScope) {
        let n = &self.nodes[i];
        let ok = n.up && !n.paused && self.connected(i, asker);
        let ok = ok && !self.rng.random_bool(self.loss);
        let (wait, event) = match ok {
            true => {
                let bytes = self.nodes[i].fleet.answer(scope).encode();
                self.nodes[asker].pulled += bytes.len() as u64;
                let answer = Answer::decode(bytes).expect("a valid answer decodes");
                (self.delay, Event::Pulled { from, answer })
            }
            false => (Micros::from_secs(1), Event::PullFailed { from }),
        };
        self.schedule(self.now + wait, asker, Scheduled::Local(generation, event));
    }

    pub(crate) fn connected(&self, a: usize, b: usize) -> bool {
        let cut = self
            .unlinked_nodes
            .is_some_and(|(x, y)| (x, y) == (a, b) || (y, x) == (a, b));
        let (x, y) = (a % self.domains, b % self.domains);
        let apart = self
            .unlinked_domains
            .is_some_and(|d| d == (x, y) || d == (y, x));
        !cut && !apart && self.nodes[a].group == self.nodes[b].group
    }

    pub(crate) fn schedule(&mut self, at: Micros, i: usize, p: Scheduled) {
        self.scheduled_count += 1;
        self.scheduled.insert(self.scheduled_count, p);
        self.heap.push(Reverse((at, self.scheduled_count, i)));
    }

    /// Delivers an event to a process now.
    pub(crate) fn deliver(&mut self, i: usize, e: Event) {
        let n = &mut self.nodes[i];
        if !n.up {
            return;
        }
        if n.paused {
            if n.inbox.len() < INBOX {
                n.inbox.push(e);
            }
            return;
        }
        let mut out = Vec::new();
        let start = self.timed.then(Instant::now);
        n.fleet.step(self.now, e, &mut out);
        n.spent += start.map_or(Duration::ZERO, |s| s.elapsed());
        for a in out {
            self.perform(i, a);
        }
    }

    fn perform(&mut self, i: usize, a: Action) {
        let generation = self.nodes[i].generation;
        let now = self.now;
        match a {
            Action::Send { to, bytes } => self.transmit(i, to, bytes),
            Action::Pull { tcp, scope, from } => {
                let asker = i;
                let at = now + Micros(self.delay.0 * 3);
                self.schedule(
                    at,
                    index(tcp),
                    Scheduled::Serve {
                        asker,
                        generation,
                        from,
                        scope,
                    },
                );
            }
            Action::ReadTable => {
                self.nodes[i].reads += 1;
                let read = match self.table_up && self.nodes[i].table_reachable {
                    true => Ok(self.row.clone()),
                    false => Err(TableUnavailable),
                };
                let at = now + Micros::from_millis(20);
                self.schedule(at, i, Scheduled::Local(generation, Event::Table(read)));
            }
            Action::Adopt(r) => self.nodes[i].adopted.push((now, r.version, r.digest)),
            Action::Joined(m) => self.nodes[i].joined.push((now, m.id)),
            Action::Gone(id) => self.nodes[i].gone.push((now, id)),
            Action::Convict(c) => self.nodes[i].convicted.push(c.fingerprint),
            Action::Changed(_) => {}
            Action::WakeAt(at) => {
                self.nodes[i].wake = at;
                self.schedule(at, i, Scheduled::Wake(generation));
            }
        }
    }

    fn transmit(&mut self, i: usize, to: SocketAddr, bytes: Bytes) {
        if let Some(t) = self.recorded.as_mut() {
            t.push((udp(i), to, bytes.clone()));
        }
        assert!(bytes.len() <= DATAGRAM_MAX, "datagram within the limit");
        let j = index(to);
        let lost = self.rng.random_bool(self.loss);
        if lost || j >= self.nodes.len() || !self.connected(i, j) {
            return;
        }
        let spread = self.rng.random_range(0..=self.delay.0 / 5);
        let from = udp(i);
        let at = self.now + self.delay + Micros(spread);
        self.schedule(at, j, Scheduled::Datagram(Event::Datagram { from, bytes }));
    }
}
