//! Drives the fleet's membership: the gossip socket, pulls, the platform's table and host list.
//!
//! It runs on the control thread and is the only writer of the shared [`View`]. Other threads send
//! it a [`Command`].

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

/// Mean time between two reads of the host list. The list itself lags by more than that.
const HOSTS_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum size of a gossip datagram; longer ones are truncated.
const MAX_DATAGRAM: usize = 2_048;

/// Command from another thread.
#[derive(Debug)]
pub enum Command {
    /// Answer another member's pull.
    Pull(Bytes, oneshot::Sender<Bytes>),
    /// Report the version that each member has.
    Status(oneshot::Sender<Status>),
    /// Return the configuration in force.
    Configuration(oneshot::Sender<TableRow>),
    /// Put a configuration in force that this process has written to the table.
    Accepted(TableRow),
    /// Report to the fleet that a request crashes its targets.
    Convict(Conviction),
    /// Announce that the process will stop.
    Leave,
    /// End membership; the process exits.
    Quit,
}

/// State of the fleet as this member knows it.
#[derive(Clone, Debug)]
pub struct Status {
    /// Version in force at this process.
    pub version: Version,
    /// Hash of the configuration.
    pub digest: Digest,
    /// This process and all members that it remembers.
    pub members: Vec<Member>,
    /// Where the version is in force.
    pub in_force: InForce,
    /// Counts of events since the start.
    pub counters: Counters,
}

/// Sends commands to the membership task.
pub type CommandSender = mpsc::UnboundedSender<Command>;

/// This process as a fleet member, with its sockets.
pub struct Membership {
    fleet: Fleet,
    socket: Arc<UdpSocket>,
    connections: Arc<ConnectionPool>,
    platform: Option<Platform>,
    shared: SharedView,
    view: View,
    commands: mpsc::UnboundedReceiver<Command>,
    /// For background tasks, which send their results as events.
    event_sender: mpsc::UnboundedSender<Event>,
    events: mpsc::UnboundedReceiver<Event>,
    wake_at: Option<Micros>,
    buf: Vec<u8>,
    convictions: VecDeque<Conviction>,
}

/// What a process announces about itself.
#[derive(Clone, Debug)]
pub struct LocalMember {
    /// Entry or sidecar.
    pub role: fleet::Role,
    /// Address for other processes of the fleet.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: Option<SocketAddr>,
    /// Pool of its target, if it is a sidecar.
    pub pool: Option<String>,
    /// Incarnation of the process.
    pub incarnation: u64,
}

impl Membership {
    /// Joins the fleet. `socket` is for gossip, and `commands` has the commands of other threads.
    pub fn new(
        settings: &Settings,
        me: LocalMember,
        socket: UdpSocket,
        shared: SharedView,
        commands: mpsc::UnboundedReceiver<Command>,
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
        let mut fleet_settings = fleet::Settings::new(keyring(&settings.keys));
        fleet_settings.epoch = Micros(clock::incarnation()) - clock::now();
        let (event_sender, events) = mpsc::unbounded_channel();
        let view = View::new(&settings.domain, &settings.region);
        shared.store(Arc::new(view.clone()));
        let client = store::Client::default();
        let platform = settings.platform.clone().map(|p| Platform::new(p, client));
        if let Some(p) = &platform {
            tokio::spawn(poll_hosts(
                p.clone(),
                event_sender.clone(),
                settings.seeds.is_empty(),
            ));
        }
        let mut this = Self {
            fleet: Fleet::new(fleet_settings, member, rand::random()),
            socket: Arc::new(socket),
            connections: Arc::new(ConnectionPool::new(settings.keys.clone())),
            platform,
            shared,
            view,
            commands,
            event_sender,
            events,
            wake_at: None,
            buf: vec![0; MAX_DATAGRAM],
            convictions: VecDeque::new(),
        };
        this.step(Event::Seeds(settings.seeds.clone()));
        Ok(this)
    }

    /// Waits for the next event and handles it; false once the process quits.
    pub async fn run_once(&mut self) -> bool {
        let wake = self.wake_at.map(|w| Duration::from(w.since(clock::now())));
        let sleep = tokio::time::sleep(wake.unwrap_or(HOSTS_INTERVAL));
        tokio::select! {
            received = self.socket.recv_from(&mut self.buf) => if let Ok((n, from)) = received {
                let bytes = Bytes::copy_from_slice(&self.buf[..n]);
                metrics::counter!(meter::GOSSIP_BYTES, "way" => "in")
                    .increment(n as u64);
                self.step(Event::Datagram { from, bytes });
                self.count_datagram_faults();
            },
            Some(event) = self.events.recv() => self.step(event),
            command = self.commands.recv() => match command {
                Some(Command::Quit) | None => {
                    self.step(Event::Quit);
                    return false;
                }
                Some(command) => self.run_command(command),
            },
            () = sleep => self.step(Event::Tick),
        }
        true
    }

    /// The next conviction received from another member, if any.
    pub fn take_conviction(&mut self) -> Option<Conviction> {
        self.convictions.pop_front()
    }

    /// Sets the tags that this process announces.
    pub fn set_tags(&mut self, tags: impl Into<String>) {
        self.fleet.set_tags(tags);
    }

    fn run_command(&mut self, command: Command) {
        match command {
            Command::Pull(data, out) => {
                let scope = if data.as_ref() == CONFIGURATION_PULL {
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
            Command::Configuration(out) => {
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
            in_force: self.fleet.in_force(),
            counters: self.fleet.counters(),
        }
    }

    /// Passes an event to the state machine, performs its actions and publishes a changed view.
    fn step(&mut self, event: Event) {
        let mut out = Vec::new();
        self.fleet.step(clock::now(), event, &mut out);
        let mut changed = false;
        for action in out {
            changed |= self.perform(action);
        }
        meter::record_membership(self.fleet.members().count() + 1, &self.fleet.counters());
        let entries = self.entry_count();
        let joined = self.fleet.has_joined();
        changed |= (entries, joined) != (self.view.entries, self.view.joined);
        (self.view.entries, self.view.joined) = (entries, joined);
        if changed {
            self.shared.store(Arc::new(self.view.clone()));
        }
    }

    /// Exports why datagrams were dropped. A member with another key and replayed datagrams show
    /// nowhere else.
    fn count_datagram_faults(&self) {
        let c = self.fleet.counters();
        let name = "clementinestep_gossip_faults_total";
        metrics::counter!(name, "kind" => "seal").absolute(c.bad_seal);
        metrics::counter!(name, "kind" => "packet").absolute(c.bad_packet);
        metrics::counter!(name, "kind" => "stale").absolute(c.stale);
    }

    fn entry_count(&self) -> usize {
        let all = std::iter::once(self.fleet.me()).chain(self.fleet.members());
        all.filter(|m| m.role == fleet::Role::Entry).count()
    }

    /// Performs an action; true if the view changed.
    fn perform(&mut self, action: Action) -> bool {
        match action {
            Action::Send { to, bytes } => self.send(to, &bytes),
            Action::Pull { from, tcp, scope } => self.pull(from, tcp, scope),
            Action::ReadTable => self.read_table(),
            Action::WakeAt(at) => self.wake_at = Some(at),
            Action::Convict(c) => self.convictions.push_back(c),
            Action::Adopt(row) => {
                self.adopt(&row);
                return true;
            }
            Action::Joined(m) | Action::Changed(m) => {
                spdlog::info!(
                    logger: log::fleet(),
                    "member {:016x} {:?} at {} is {:?}", m.id.0, m.role, m.tcp, m.state
                );
                return self.update_target(&m);
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
        // The protocol tolerates lost datagrams, so one that can't be sent is dropped.
        let _ = self.socket.try_send_to(bytes, to);
    }

    /// Pulls the state of another member; the result comes as an event.
    fn pull(&self, from: MemberId, tcp: SocketAddr, scope: PullScope) {
        let (connections, events) = (Arc::clone(&self.connections), self.event_sender.clone());
        tokio::spawn(async move {
            let data = match scope {
                PullScope::Config => Bytes::from_static(CONFIGURATION_PULL),
                PullScope::All => Bytes::new(),
            };
            let answer = match connections.request(tcp, Pull { data }).await {
                Ok(Body::Text(t)) => Answer::decode(t.data).ok(),
                _ => None,
            };
            let _ = events.send(match answer {
                Some(answer) => Event::Pulled { from, answer },
                None => Event::PullFailed { from },
            });
        });
    }

    /// Reads the platform's table; the result comes as an event.
    fn read_table(&self) {
        let (platform, events) = (self.platform.clone(), self.event_sender.clone());
        tokio::spawn(async move {
            let read = match platform {
                Some(p) => read_configuration(&p).await,
                None => Err(TableUnavailable),
            };
            let _ = events.send(Event::Table(read));
        });
    }

    /// Puts a configuration in force. If it doesn't compile here, a later release has checked it;
    /// the old rules then stay in force, and an error is logged.
    fn adopt(&mut self, row: &TableRow) {
        let text = String::from_utf8_lossy(&row.text);
        match RuleSet::compile(&text) {
            Ok(rules) => {
                spdlog::info!(logger: log::fleet(), "configuration {} in force", row.version);
                self.view.rules = Some(Arc::new(rules));
            }
            Err(e) => spdlog::error!(
                logger: log::fleet(),
                "configuration {} doesn't compile, the old rules stay in force: {e}", row.version
            ),
        }
        self.view.version = row.version;
        metrics::gauge!(meter::VERSION).set(row.version.0 as f64);
    }

    /// Updates the view with a member's target, if it has one; true if the view changed.
    fn update_target(&mut self, m: &Member) -> bool {
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

/// Data of a pull that asks for the configuration only.
const CONFIGURATION_PULL: &[u8] = b"config";

/// A shared view without content.
pub fn empty_view() -> SharedView {
    Arc::new(ArcSwap::from_pointee(view::View::default()))
}

/// Seals datagrams with the first key and accepts both.
fn keyring(keys: &Keys) -> Keyring {
    let mut all = keys.all();
    let first = all.next().map_or(&[][..], |k| k.bytes());
    match all.next() {
        Some(second) => Keyring::new(first).accept(second.bytes()),
        None => Keyring::new(first),
    }
}

/// Reads the configuration from the platform's table.
async fn read_configuration(platform: &Platform) -> TableRead {
    let key = CONFIGURATION_KEY.to_owned();
    match platform.call(Request::Read { key }).await {
        Reply::Row(None) => Ok(None),
        Reply::Row(Some(row)) => match serde_json::from_slice::<Head>(&row.value) {
            Ok(head) => Ok(Some(table_row(head))),
            Err(_) => Err(TableUnavailable),
        },
        _ => Err(TableUnavailable),
    }
}

/// A configuration in the form in which members pass it on.
pub fn table_row(head: Head) -> TableRow {
    TableRow {
        version: Version(head.version),
        digest: Digest::of(&head.text),
        text: Bytes::from(head.text),
    }
}

/// Reads the host list periodically. If `seeds` is set, its addresses serve as seeds.
async fn poll_hosts(platform: Platform, events: mpsc::UnboundedSender<Event>, seeds: bool) {
    loop {
        if let Some(list) = platform.hosts().await {
            if seeds {
                let _ = events.send(Event::Seeds(peers(&list)));
            }
            let entries = list.iter().map(|h| HostEntry {
                name: h.name.clone(),
                leaving: h.state == HostState::Leaving,
            });
            if events.send(Event::Hosts(entries.collect())).is_err() {
                return;
            }
        }
        // 0.5 to 1.5 times the interval, so that processes restarted together don't read in step.
        tokio::time::sleep(HOSTS_INTERVAL.mul_f64(0.5 + rand::random::<f64>())).await;
    }
}

fn peers(list: &[ListedHost]) -> Vec<SocketAddr> {
    list.iter().flat_map(|h| h.peers.iter().copied()).collect()
}
