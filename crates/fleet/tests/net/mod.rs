//! A queue of messages with delay and loss, and a loop that hands them to the state machines.

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

/// Datagrams that wait at a paused process; what comes after is lost, as in a socket's buffer.
const INBOX: usize = 200;

pub(crate) enum Post {
    Wake(u32),
    Hand(u32, Event),
    Mail(Event),
    Serve {
        asker: usize,
        life: u32,
        from: MemberId,
        scope: PullScope,
    },
}

pub(crate) struct Node {
    pub(crate) fleet: Fleet,
    pub(crate) up: bool,
    pub(crate) paused: bool,
    /// Nodes in different groups don't reach each other.
    pub(crate) group: u32,
    pub(crate) table: bool,
    pub(crate) life: u32,
    wake: Micros,
    inbox: Vec<Event>,
    pub(crate) adopted: Vec<(Micros, Version, Digest)>,
    pub(crate) joined: Vec<(Micros, MemberId)>,
    pub(crate) gone: Vec<(Micros, MemberId)>,
    pub(crate) convicted: Vec<u128>,
    pub(crate) reads: u64,
    /// Bytes of answers to pulls that it took in.
    pub(crate) pulled: u64,
    pub(crate) spent: Duration,
}

pub(crate) struct Net {
    pub(crate) now: Micros,
    pub(crate) nodes: Vec<Node>,
    pub(crate) loss: f64,
    pub(crate) delay: Micros,
    pub(crate) row: Option<TableRow>,
    pub(crate) up: bool,
    /// Keep what is sent, for a replay.
    pub(crate) tape: Option<Vec<(SocketAddr, SocketAddr, Bytes)>>,
    pub(crate) settings: Settings,
    pub(crate) domains: usize,
    pub(crate) timed: bool,
    /// These two don't reach each other.
    pub(crate) broken: Option<(usize, usize)>,
    /// Members of these two failure domains don't reach each other.
    pub(crate) apart: Option<(usize, usize)>,
    posts: HashMap<u64, Post>,
    heap: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    count: u64,
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
            up: true,
            tape: None,
            settings: settings(),
            domains: 3,
            timed: false,
            broken: None,
            apart: None,
            posts: HashMap::new(),
            heap: BinaryHeap::new(),
            count: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// A fleet that has found together.
    pub(crate) fn settled(n: usize, seed: u64, loss: f64) -> Self {
        let mut net = Self::new(seed, loss);
        net.row = Some(row(1, "first"));
        net.grow(n);
        net.until(Micros::from_secs(120), |net| net.is_whole());
        assert!(net.is_whole(), "members have found together");
        net.run(Micros::from_secs(20));
        net
    }

    pub(crate) fn grow(&mut self, n: usize) {
        for _ in 0..n {
            let i = self.nodes.len();
            let fleet = self.birth(i, 0);
            self.nodes.push(Node {
                fleet,
                up: true,
                paused: false,
                group: 0,
                table: true,
                life: 0,
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

    pub(crate) fn member(&self, i: usize, life: u32) -> Member {
        let domain = i % self.domains;
        Member {
            id: MemberId((i as u64 + 1) * 1_000 + u64::from(life)),
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

    fn birth(&mut self, i: usize, life: u32) -> Fleet {
        let seed = self.rng.random();
        Fleet::new(self.settings.clone(), self.member(i, life), seed)
    }

    fn seed(&mut self, i: usize) {
        let seeds = (0..3).map(udp).collect();
        self.hand(i, Event::Seeds(seeds));
    }

    /// Ends a process without a word and starts a new one in its place.
    pub(crate) fn restart(&mut self, i: usize) {
        self.restart_back(i, Micros::ZERO);
    }

    /// The same, with the wall clock set back meanwhile.
    pub(crate) fn restart_back(&mut self, i: usize, back: Micros) {
        let mut me = self.member(i, self.nodes[i].life + 1);
        me.incarnation.0 -= back.0;
        self.replace(i, me);
        self.seed(i);
    }

    /// Ends a process and starts one in its place that is given no seeds.
    pub(crate) fn replace(&mut self, i: usize, me: Member) {
        let life = self.nodes[i].life + 1;
        let fleet = Fleet::new(self.settings.clone(), me, self.rng.random());
        let n = &mut self.nodes[i];
        n.fleet = fleet;
        n.life = life;
        n.up = true;
        n.paused = false;
        n.wake = Micros::MAX;
        n.adopted.clear();
        n.joined.clear();
        n.gone.clear();
        n.convicted.clear();
        self.hand(i, Event::Tick);
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
            self.hand(i, e);
        }
        self.hand(i, Event::Tick);
    }

    /// Writes a configuration to the table through one process.
    pub(crate) fn accept(&mut self, i: usize, r: TableRow) {
        self.row = Some(r.clone());
        self.hand(i, Event::Accepted(r));
    }

    /// Gives a process a text that nobody has checked against the table.
    pub(crate) fn inject(&mut self, i: usize, r: TableRow) {
        let from = MemberId(1);
        let answer = Answer {
            version: r.version,
            digest: r.digest,
            text: r.text,
            ..Answer::default()
        };
        self.hand(i, Event::Pulled { from, answer });
    }

    pub(crate) fn up(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|n| n.up)
    }

    /// Whether each process knows exactly the others.
    pub(crate) fn is_whole(&self) -> bool {
        let n = self.up().count();
        self.up().all(|x| x.fleet.live() == n)
    }

    pub(crate) fn all_have(&self, r: &TableRow) -> bool {
        let has = |f: &Fleet| f.version() == r.version && f.digest() == r.digest;
        self.up().all(|n| has(&n.fleet))
    }

    pub(crate) fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.turn(end) {}
        self.now = end;
    }

    /// Runs until something holds, looking every 10 ms; gives the time it took.
    pub(crate) fn until(&mut self, span: Micros, ok: impl Fn(&Self) -> bool) -> Option<Micros> {
        let start = self.now;
        while self.now < start + span {
            if ok(self) {
                return Some(self.now.since(start));
            }
            self.run(Micros::from_millis(10));
        }
        ok(self).then(|| self.now.since(start))
    }

    fn turn(&mut self, end: Micros) -> bool {
        match self.heap.peek() {
            Some(Reverse((at, ..))) if *at <= end => {}
            _ => return false,
        }
        let Some(Reverse((at, id, i))) = self.heap.pop() else {
            return false;
        };
        let Some(post) = self.posts.remove(&id) else {
            return true;
        };
        self.now = at;
        match post {
            Post::Wake(life) if self.nodes[i].life == life && self.nodes[i].wake <= at => {
                if self.nodes[i].up && !self.nodes[i].paused {
                    self.hand(i, Event::Tick);
                }
            }
            Post::Wake(_) => {}
            Post::Hand(life, e) if self.nodes[i].life == life => self.hand(i, e),
            Post::Hand(..) => {}
            Post::Mail(e) => self.hand(i, e),
            Post::Serve {
                asker,
                life,
                from,
                scope,
            } => self.serve(i, asker, life, from, scope),
        }
        true
    }

    fn serve(&mut self, i: usize, asker: usize, life: u32, from: MemberId, scope: PullScope) {
        let n = &self.nodes[i];
        let ok = n.up && !n.paused && self.reach(i, asker);
        let ok = ok && !self.rng.random_bool(self.loss);
        let (wait, event) = match ok {
            true => {
                let bytes = self.nodes[i].fleet.answer(scope).encode();
                self.nodes[asker].pulled += bytes.len() as u64;
                let answer = Answer::decode(bytes).expect("an answer decodes");
                (self.delay, Event::Pulled { from, answer })
            }
            false => (Micros::from_secs(1), Event::PullFailed { from }),
        };
        self.post(self.now + wait, asker, Post::Hand(life, event));
    }

    pub(crate) fn reach(&self, a: usize, b: usize) -> bool {
        let cut = self
            .broken
            .is_some_and(|(x, y)| (x, y) == (a, b) || (y, x) == (a, b));
        let (x, y) = (a % self.domains, b % self.domains);
        let apart = self.apart.is_some_and(|d| d == (x, y) || d == (y, x));
        !cut && !apart && self.nodes[a].group == self.nodes[b].group
    }

    pub(crate) fn post(&mut self, at: Micros, i: usize, p: Post) {
        self.count += 1;
        self.posts.insert(self.count, p);
        self.heap.push(Reverse((at, self.count, i)));
    }

    /// Hands an event to a process now.
    pub(crate) fn hand(&mut self, i: usize, e: Event) {
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
        let life = self.nodes[i].life;
        let now = self.now;
        match a {
            Action::Send { to, bytes } => self.carry(i, to, bytes),
            Action::Pull { tcp, scope, from } => {
                let asker = i;
                let at = now + Micros(self.delay.0 * 3);
                self.post(
                    at,
                    index(tcp),
                    Post::Serve {
                        asker,
                        life,
                        from,
                        scope,
                    },
                );
            }
            Action::ReadTable => {
                self.nodes[i].reads += 1;
                let read = match self.up && self.nodes[i].table {
                    true => Ok(self.row.clone()),
                    false => Err(TableUnavailable),
                };
                let at = now + Micros::from_millis(20);
                self.post(at, i, Post::Hand(life, Event::Table(read)));
            }
            Action::Adopt(r) => self.nodes[i].adopted.push((now, r.version, r.digest)),
            Action::Joined(m) => self.nodes[i].joined.push((now, m.id)),
            Action::Gone(id) => self.nodes[i].gone.push((now, id)),
            Action::Convict(c) => self.nodes[i].convicted.push(c.fingerprint),
            Action::Changed(_) => {}
            Action::WakeAt(at) => {
                self.nodes[i].wake = at;
                self.post(at, i, Post::Wake(life));
            }
        }
    }

    fn carry(&mut self, i: usize, to: SocketAddr, bytes: Bytes) {
        if let Some(t) = self.tape.as_mut() {
            t.push((udp(i), to, bytes.clone()));
        }
        assert!(bytes.len() <= DATAGRAM_MAX, "a datagram is small enough");
        let j = index(to);
        let lost = self.rng.random_bool(self.loss);
        if lost || j >= self.nodes.len() || !self.reach(i, j) {
            return;
        }
        let spread = self.rng.random_range(0..=self.delay.0 / 5);
        let from = udp(i);
        let at = self.now + self.delay + Micros(spread);
        self.post(at, j, Post::Mail(Event::Datagram { from, bytes }));
    }
}
