//! Drives the fleet's membership: the gossip socket, pulls, the platform's table and host list.
//!
//! It runs on the control thread and is the only writer of the shared [`View`]. What traffic
//! threads want of it they send as an [`Command`].

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use contract::apply::CONFIGURATION_KEY;
use contract::{Head, Reply, Request};
use fleet::{
    Action, Answer, Conviction, Counters, Digest, Event, Fleet, HostEntry, InForce, Keyring,
    Member, MemberState, PullScope, TableRead, TableRow, TableUnavailable,
};
use model::{Incarnation, MemberId, Micros, Version};
use rules::RuleSet;
use store::{HostState, ListedHost, Platform, Table};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use wire::{Body, Keys, Pull};

use crate::connection_pool::ConnectionPool;
use crate::log;
use crate::settings::Settings;
use crate::view::{AnnouncedTarget, SharedView, View};
use crate::{clock, meter, view};

/// How often the host list is read; it lags by more than that.
const HOSTS: Duration = Duration::from_secs(10);
/// Largest gossip datagram that is looked at.
const DATAGRAM: usize = 2_048;

/// What traffic asks of membership.
#[derive(Debug)]
pub enum Command {
    /// Another member's pull, to be answered.
    Pull(Bytes, oneshot::Sender<Bytes>),
    /// Which version is where.
    Status(oneshot::Sender<Status>),
    /// The configuration in force.
    Text(oneshot::Sender<TableRow>),
    /// A configuration of ours was accepted by the table.
    Accepted(TableRow),
    /// A request was found to crash its targets.
    Convict(Conviction),
    /// The process will stop.
    Leave,
    /// The process stops now.
    Quit,
}

/// What membership knows.
#[derive(Clone, Debug)]
pub struct Status {
    /// Version in force here.
    pub version: Version,
    /// Its digest.
    pub digest: Digest,
    /// This process and all members that are remembered.
    pub members: Vec<Member>,
    /// How far the version is in force.
    pub force: InForce,
    /// What has happened since the start.
    pub counters: Counters,
}

/// The way to membership from other threads.
pub type CommandSender = mpsc::UnboundedSender<Command>;

/// A fleet member with its sockets.
pub struct Membership {
    fleet: Fleet,
    socket: Arc<UdpSocket>,
    links: Arc<ConnectionPool>,
    platform: Option<Platform>,
    shared: SharedView,
    view: View,
    asked: mpsc::UnboundedReceiver<Command>,
    feed: mpsc::UnboundedSender<Event>,
    fed: mpsc::UnboundedReceiver<Event>,
    wake: Option<Micros>,
    buf: Vec<u8>,
    convicted: VecDeque<Conviction>,
}

/// What a process tells the fleet of itself.
#[derive(Clone, Debug)]
pub struct LocalMember {
    /// Entry or sidecar.
    pub role: fleet::Role,
    /// Peer address.
    pub peer: SocketAddr,
    /// Operators' address.
    pub admin: Option<SocketAddr>,
    /// ConnectionPool of its target.
    pub pool: Option<String>,
    /// Its life.
    pub incarnation: u64,
}

impl Membership {
    /// Joins with the given socket. `platform` is needed only by those who may read its table.
    pub fn new(
        settings: &Settings,
        me: LocalMember,
        socket: UdpSocket,
        shared: SharedView,
        asked: mpsc::UnboundedReceiver<Command>,
    ) -> io::Result<Self> {
        let member = Member {
            id: MemberId(rand::random()),
            role: me.role,
            host: settings.host.clone(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            udp: socket.local_addr()?,
            tcp: me.peer,
            http: me.admin,
            pool: me.pool,
            tags: String::new(),
            incarnation: Incarnation(me.incarnation),
            state: MemberState::Alive,
        };
        let mut set = fleet::Settings::new(ring(&settings.keys));
        set.epoch = Micros(clock::incarnation()) - clock::now();
        let (feed, fed) = mpsc::unbounded_channel();
        let view = View::new(&settings.domain, &settings.region);
        shared.store(Arc::new(view.clone()));
        let client = store::Client::default();
        let platform = settings.platform.clone().map(|p| Platform::new(p, client));
        if let Some(p) = &platform {
            tokio::spawn(hosts(p.clone(), feed.clone(), settings.seeds.is_empty()));
        }
        let mut this = Self {
            fleet: Fleet::new(set, member, rand::random()),
            socket: Arc::new(socket),
            links: Arc::new(ConnectionPool::new(settings.keys.clone())),
            platform,
            shared,
            view,
            asked,
            feed,
            fed,
            wake: None,
            buf: vec![0; DATAGRAM],
            convicted: VecDeque::new(),
        };
        this.step(Event::Seeds(settings.seeds.clone()));
        Ok(this)
    }

    /// Waits for the next thing to happen and takes it in; false once the process quits.
    pub async fn run_once(&mut self) -> bool {
        let wake = self.wake.map(|w| Duration::from(w.since(clock::now())));
        let sleep = tokio::time::sleep(wake.unwrap_or(HOSTS));
        tokio::select! {
            got = self.socket.recv_from(&mut self.buf) => if let Ok((n, from)) = got {
                let bytes = Bytes::copy_from_slice(&self.buf[..n]);
                metrics::counter!(meter::GOSSIP_BYTES, "way" => "in")
                    .increment(n as u64);
                self.step(Event::Datagram { from, bytes });
                self.count();
            },
            Some(event) = self.fed.recv() => self.step(event),
            ask = self.asked.recv() => match ask {
                Some(Command::Quit) | None => {
                    self.step(Event::Quit);
                    return false;
                }
                Some(ask) => self.ask(ask),
            },
            () = sleep => self.step(Event::Tick),
        }
        true
    }

    /// A conviction that came from another member since the last call.
    pub fn convicted(&mut self) -> Option<Conviction> {
        self.convicted.pop_front()
    }

    /// This process's words for its peers.
    pub fn set_tags(&mut self, tags: impl Into<String>) {
        self.fleet.set_tags(tags);
    }

    fn ask(&mut self, ask: Command) {
        match ask {
            Command::Pull(data, out) => {
                let scope = if data.as_ref() == CONFIG {
                    PullScope::Config
                } else {
                    PullScope::All
                };
                let _ = out.send(self.fleet.answer(scope).encode());
            }
            Command::Status(out) => {
                self.step(Event::PollVersions);
                let _ = out.send(self.status());
            }
            Command::Text(out) => {
                let _ = out.send(TableRow {
                    version: self.fleet.version(),
                    digest: self.fleet.digest(),
                    text: self.fleet.text().clone(),
                });
            }
            Command::Accepted(row) => self.step(Event::Accepted(row)),
            Command::Convict(c) => self.step(Event::Convicted(c)),
            Command::Leave => self.step(Event::Leave),
            Command::Quit => {}
        }
    }

    fn status(&self) -> Status {
        let me = std::iter::once(self.fleet.me());
        Status {
            version: self.fleet.version(),
            digest: self.fleet.digest(),
            members: me.chain(self.fleet.known_members()).cloned().collect(),
            force: self.fleet.in_force(),
            counters: self.fleet.counters(),
        }
    }

    fn step(&mut self, event: Event) {
        let mut out = Vec::new();
        self.fleet.step(clock::now(), event, &mut out);
        let mut changed = false;
        for action in out {
            changed |= self.act(action);
        }
        meter::members(self.fleet.members().count() + 1, &self.fleet.counters());
        let entries = self.entries();
        let joined = self.fleet.has_joined();
        changed |= (entries, joined) != (self.view.entries, self.view.joined);
        (self.view.entries, self.view.joined) = (entries, joined);
        if changed {
            self.shared.store(Arc::new(self.view.clone()));
        }
    }

    /// Shows what was wrong with datagrams; without it, a member with another key, or somebody who
    /// replays old datagrams, would be noticed by nobody.
    fn count(&self) {
        let c = self.fleet.counters();
        let name = "clementinestep_gossip_faults_total";
        metrics::counter!(name, "kind" => "seal").absolute(c.bad_seal);
        metrics::counter!(name, "kind" => "packet").absolute(c.bad_packet);
        metrics::counter!(name, "kind" => "stale").absolute(c.stale);
    }

    fn entries(&self) -> usize {
        let all = std::iter::once(self.fleet.me()).chain(self.fleet.members());
        all.filter(|m| m.role == fleet::Role::Entry).count()
    }

    /// Performs an action; true if the view changed.
    fn act(&mut self, action: Action) -> bool {
        match action {
            Action::Send { to, bytes } => self.send(to, &bytes),
            Action::Pull { from, tcp, scope } => self.pull(from, tcp, scope),
            Action::ReadTable => self.read_table(),
            Action::WakeAt(at) => self.wake = Some(at),
            Action::Convict(c) => self.convicted.push_back(c),
            Action::Adopt(row) => {
                self.adopt(&row);
                return true;
            }
            Action::Joined(m) | Action::Changed(m) => {
                spdlog::info!(
                    logger: log::fleet(),
                    "member {:016x} {:?} at {} is {:?}", m.id.0, m.role, m.tcp, m.state
                );
                return self.place(&m);
            }
            Action::Gone(id) => {
                spdlog::info!(logger: log::fleet(), "member {:016x} is gone", id.0);
                self.view.remove(id);
                return true;
            }
        }
        false
    }

    fn send(&self, to: SocketAddr, bytes: &Bytes) {
        metrics::counter!(meter::GOSSIP_BYTES, "way" => "out").increment(bytes.len() as u64);
        // A datagram that can't be sent is one that was lost; the protocol reckons with both.
        let _ = self.socket.try_send_to(bytes, to);
    }

    fn pull(&self, from: MemberId, tcp: SocketAddr, scope: PullScope) {
        let (links, feed) = (Arc::clone(&self.links), self.feed.clone());
        tokio::spawn(async move {
            let data = match scope {
                PullScope::Config => Bytes::from_static(CONFIG),
                PullScope::All => Bytes::new(),
            };
            let answer = match links.request(tcp, Pull { data }).await {
                Ok(Body::Text(t)) => Answer::decode(t.data).ok(),
                _ => None,
            };
            let _ = feed.send(match answer {
                Some(answer) => Event::Pulled { from, answer },
                None => Event::PullFailed { from },
            });
        });
    }

    fn read_table(&self) {
        let (platform, feed) = (self.platform.clone(), self.feed.clone());
        tokio::spawn(async move {
            let read = match platform {
                Some(p) => read(&p).await,
                None => Err(TableUnavailable),
            };
            let _ = feed.send(Event::Table(read));
        });
    }

    /// Puts a configuration in force. One that doesn't compile here was checked by a later
    /// release of ours; the old rules then stay, and the log says so.
    fn adopt(&mut self, row: &TableRow) {
        let text = String::from_utf8_lossy(&row.text);
        match RuleSet::compile(&text) {
            Ok(rules) => {
                spdlog::info!(logger: log::fleet(), "configuration {} in force", row.version);
                self.view.rules = Some(Arc::new(rules));
            }
            Err(e) => spdlog::error!(
                logger: log::fleet(),
                "configuration {} can't be read here, old rules stay: {e}", row.version
            ),
        }
        self.view.version = row.version;
        metrics::gauge!(meter::VERSION).set(row.version.0 as f64);
    }

    fn place(&mut self, m: &Member) -> bool {
        let Some(pool) = &m.pool else { return false };
        if matches!(m.state, MemberState::Leaving) {
            return self.view.remove(m.id);
        }
        self.view.upsert(AnnouncedTarget {
            member: m.id,
            incarnation: m.incarnation,
            peer: m.tcp,
            pool: pool.clone(),
            host: m.host.clone(),
            domain: m.domain.clone(),
            region: m.region.clone(),
            leaving: self.fleet.is_host_leaving(m.id),
        })
    }
}

/// Asks for the configuration alone.
const CONFIG: &[u8] = b"config";

/// A shared view that nobody has written to yet.
pub fn empty_view() -> SharedView {
    Arc::new(ArcSwap::from_pointee(view::View::default()))
}

fn ring(keys: &Keys) -> Keyring {
    let mut all = keys.all();
    let first = all.next().map_or(&[][..], |k| k.bytes());
    match all.next() {
        Some(second) => Keyring::new(first).accept(second.bytes()),
        None => Keyring::new(first),
    }
}

async fn read(platform: &Platform) -> TableRead {
    let key = CONFIGURATION_KEY.to_owned();
    match platform.call(Request::Read { key }).await {
        Reply::Row(None) => Ok(None),
        Reply::Row(Some(row)) => match serde_json::from_slice::<Head>(&row.value) {
            Ok(head) => Ok(Some(row_of(head))),
            Err(_) => Err(TableUnavailable),
        },
        _ => Err(TableUnavailable),
    }
}

/// A configuration as members pass it on.
pub fn row_of(head: Head) -> TableRow {
    TableRow {
        version: Version(head.version),
        digest: Digest::of(&head.text),
        text: Bytes::from(head.text),
    }
}

/// Reads the host list for ever; without other seeds, its addresses serve as such.
async fn hosts(platform: Platform, feed: mpsc::UnboundedSender<Event>, seeds: bool) {
    loop {
        if let Some(list) = platform.hosts().await {
            if seeds {
                let _ = feed.send(Event::Seeds(peers(&list)));
            }
            let entries = list.iter().map(|h| HostEntry {
                name: h.name.clone(),
                leaving: h.state == HostState::Leaving,
            });
            if feed.send(Event::Hosts(entries.collect())).is_err() {
                return;
            }
        }
        // Half to one and a half of the period, so that a herd of restarts doesn't read in step.
        tokio::time::sleep(HOSTS.mul_f64(0.5 + rand::random::<f64>())).await;
    }
}

fn peers(list: &[ListedHost]) -> Vec<SocketAddr> {
    list.iter().flat_map(|h| h.peers.iter().copied()).collect()
}
