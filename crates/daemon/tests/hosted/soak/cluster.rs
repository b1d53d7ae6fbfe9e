//! The processes, replicas and links of a soak run.

use std::collections::{BTreeMap, HashSet};
use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde_json::{json, Value};
use standin::hosted::replica::{CrashPoint, Fault, ReceivedRequest, Replica};
use standin::hosted::row_store;
use standin::link::{Link, LinkFault};
use standin::switch::{Conditions, Switch};
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

use crate::fleet::{self, Entry, Platform, Process, KEY, MODEL};

/// Number of entries.
pub const ENTRIES: usize = 3;
/// Number of engines, which come first among the replicas.
pub const ENGINES: usize = 2;
/// First of the seeds that also draw restores of the store, and clusters in which some or all
/// engines have no sidecar.
pub const FIRST_EXTENDED_SEED: u64 = 1_000;
/// Number of replicas; those that aren't engines belong to the plain service.
pub const REPLICAS: usize = 4;
/// Builds that replicas may have.
pub const BUILDS: [&str; 2] = ["v1", "v2"];
/// Prompt part that crashes engines in some runs.
pub const BAD_PART: &str = "bad1";
/// Names and keys of two teams that always send more than their limits allow.
pub const LIMITED_TEAMS: [(&str, &str); 2] = [("east", "key-east"), ("west", "key-west")];
/// Requests a second, and at once, of each of these teams; their callers send several times as many.
const LIMITED_RATE: f64 = 5.0;
/// How long a replica lets an answer stay unread.
const UNREAD_LIMIT: Duration = Duration::from_millis(300);
/// Number of events in a complete stream.
pub const EVENTS: u64 = 12;
/// Time limit for the end of a process after a signal: its grace period and the time for which it
/// may be paused.
const EXIT_TIMEOUT: Duration = Duration::from_secs(12);
/// Interval between two checks whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

/// Makes a call that may wait for the disk or another process, such as the start of a process. The
/// links, replicas and callers share the runtime, and all of them would stall with a worker that
/// waits.
fn run_blocking<R>(call: impl FnOnce() -> R) -> R {
    tokio::task::block_in_place(call)
}

/// The sample configuration with two limited teams.
fn config(version: u64) -> Value {
    let mut config = fleet::config(version);
    let teams = config["tenants"].as_array_mut().expect("teams");
    let limited = LIMITED_TEAMS.map(|(name, key)| {
        json!({"name": name, "api_keys": [key], "priority": 1, "isolated": false,
            "rate_per_s": LIMITED_RATE, "burst": LIMITED_RATE})
    });
    teams.extend(limited);
    config
}

/// A replica and the link through which it is reached.
pub struct LinkedReplica {
    pub replica: Arc<Replica>,
    pub link: Arc<Link>,
    service: &'static str,
}

/// A host with its link to the store and the entry or sidecar that runs on it.
pub struct Host<T> {
    pub name: String,
    pub store: Arc<Link>,
    daemon: Mutex<T>,
    /// Whether the process is being ended or replaced.
    is_ending: AtomicBool,
}

/// An entry or a sidecar, which runs on a host.
pub trait Daemon {
    /// The daemon's process.
    fn process(&mut self) -> &mut Process;
}

impl Daemon for Process {
    fn process(&mut self) -> &mut Process {
        self
    }
}

impl Daemon for Entry {
    fn process(&mut self) -> &mut Process {
        &mut self.process
    }
}

impl<T: Daemon> Host<T> {
    fn new(name: String, store: Arc<Link>, daemon: T) -> Self {
        Self {
            name,
            store,
            daemon: Mutex::new(daemon),
            is_ending: AtomicBool::new(false),
        }
    }

    /// The daemon that runs on the host.
    pub fn daemon(&self) -> MutexGuard<'_, T> {
        self.daemon.lock().expect("a process")
    }

    /// Calls `f` with the host's process.
    fn with_process<R>(&self, f: impl FnOnce(&mut Process) -> R) -> R {
        run_blocking(|| f(self.daemon().process()))
    }

    /// Whether the host's process has ended.
    pub fn has_ended(&self) -> bool {
        self.with_process(Process::has_ended)
    }

    /// Signals the host's process, unless that has ended.
    pub fn signal(&self, name: &str) {
        self.with_process(|process| {
            if !process.has_ended() {
                process.signal(name);
            }
        });
    }

    /// The process's log lines on a request, for failure messages.
    pub fn log_of_request(&self, id: &str) -> String {
        self.with_process(|process| process.log_of_request(id))
    }

    /// Ends the host's process by a signal and waits until it has ended. Returns false at once if
    /// the process is being ended already.
    async fn end(&self, signal: &str) -> bool {
        if self.is_ending.swap(true, Ordering::Relaxed) {
            return false;
        }
        self.signal(signal);
        let started = Instant::now();
        while !self.has_ended() {
            assert!(
                started.elapsed() < EXIT_TIMEOUT,
                "{} doesn't end after {signal}",
                self.name
            );
            sleep(POLL_INTERVAL).await;
        }
        let success = self.with_process(Process::wait_for_end);
        assert!(
            success || signal == "KILL",
            "{} exited with a failure",
            self.name
        );
        true
    }

    /// Replaces the daemon whose process has ended by a new one.
    fn replace(&self, daemon: T) {
        run_blocking(|| *self.daemon() = daemon);
        self.is_ending.store(false, Ordering::Relaxed);
    }
}

/// An entry's host and the link through which callers reach the entry.
pub struct LinkedEntry {
    pub host: Host<Entry>,
    pub link: Arc<Link>,
}

/// All processes, replicas and links of a run.
pub struct Cluster {
    pub platform: Platform,
    pub replicas: Vec<LinkedReplica>,
    pub entries: Vec<LinkedEntry>,
    pub sidecars: Vec<Host<Process>>,
    /// Latest announced version of the configuration and of the weights.
    pub version: Mutex<u64>,
    /// Carries datagrams and connections between entries and sidecars.
    pub switch: Arc<Switch>,
    _links: Mutex<Vec<JoinSet<()>>>,
    /// When all processes had been started.
    started: Instant,
    /// What has happened since then, for failure messages.
    timeline: Mutex<Vec<String>>,
}

/// Number of engines with a sidecar.
fn sidecar_count(seed: u64) -> usize {
    match seed < FIRST_EXTENDED_SEED {
        true => ENGINES,
        false => (seed % (ENGINES as u64 + 1)) as usize,
    }
}

/// Opens a link that is kept until the end of the run.
async fn open_link(tasks: &mut Vec<JoinSet<()>>, to: SocketAddr) -> Arc<Link> {
    let (link, link_tasks) = Link::start(to).await.expect("a link");
    tasks.push(link_tasks);
    link
}

/// Prints the timeline of a cluster if the test fails.
pub struct TimelineOnFailure(pub Arc<Cluster>);

impl Drop for TimelineOnFailure {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", self.0.timeline.lock().expect("a timeline").concat());
        }
    }
}

impl Cluster {
    /// Starts the processes and replicas of a seed's run.
    pub async fn start(seed: u64) -> Arc<Self> {
        let mut platform = Platform::start().await;
        platform.store.write("op", "config", &config(1));
        let switch = Switch::new(seed);
        platform.store.set_switch(Arc::clone(&switch));
        let mut links = Vec::new();
        let mut replicas = Vec::new();
        for n in 0..REPLICAS {
            let service = if n < ENGINES { "engines" } else { "plain" };
            let replica = Replica::new(&format!("r{n}"), EVENTS, EVENT_INTERVAL);
            replica.set_version(MODEL, 1);
            replica.set_unread_limit(Some(UNREAD_LIMIT));
            if n % 2 == 1 {
                replica.set_born(1);
            }
            replica.set_build(BUILDS[n % BUILDS.len()]);
            if Self::has_bad_part(seed) {
                let points = [
                    CrashPoint::BeforeHead,
                    CrashPoint::WithinEvent,
                    CrashPoint::AfterEvent,
                ];
                replica.add_crash_part(BAD_PART, points[seed as usize / 2 % points.len()]);
            }
            let at = platform.start_replica(&replica).await;
            let link = open_link(&mut links, at).await;
            platform.list(&replica, service, link.addr(), "ready");
            replicas.push(LinkedReplica {
                replica,
                link,
                service,
            });
        }
        let mut sidecars = Vec::new();
        for (n, engine) in replicas[..sidecar_count(seed)].iter().enumerate() {
            let name = format!("side-{n}");
            let store = open_link(&mut links, platform.store_addr).await;
            let process = platform.sidecar_on(&name, store.addr(), engine.link.addr());
            sidecars.push(Host::new(name, store, process));
        }
        let mut entries = Vec::new();
        for n in 0..ENTRIES {
            let name = format!("front-{n}");
            let store = open_link(&mut links, platform.store_addr).await;
            let entry = platform.entry_on(&name, store.addr(), REPLICAS).await;
            let link = open_link(&mut links, entry.callers).await;
            let host = Host::new(name, store, entry);
            entries.push(LinkedEntry { host, link });
        }
        Arc::new(Self {
            platform,
            replicas,
            entries,
            sidecars,
            version: Mutex::new(1),
            switch,
            _links: Mutex::new(links),
            started: Instant::now(),
            timeline: Mutex::default(),
        })
    }

    /// Ends an entry by a signal and then starts another entry on its host.
    pub async fn replace_entry(&self, n: usize, signal: &str) {
        let replaced = &self.entries[n];
        if !replaced.host.end(signal).await {
            return;
        }
        let store = replaced.host.store.addr();
        let entry = self.platform.start_entry(&replaced.host.name, store).await;
        replaced.link.redirect(entry.callers);
        replaced.host.replace(entry);
        self.record(format_args!("{} replaced", replaced.host.name));
    }

    /// Ends a sidecar by a signal and then starts another sidecar on its host.
    pub async fn replace_sidecar(&self, n: usize, signal: &str) {
        let sidecar = &self.sidecars[n];
        if !sidecar.end(signal).await {
            return;
        }
        let engine = self.replicas[n].link.addr();
        let start = || {
            self.platform
                .sidecar_on(&sidecar.name, sidecar.store.addr(), engine)
        };
        let process = run_blocking(start);
        sidecar.replace(process);
        self.record(format_args!("{} replaced", sidecar.name));
    }

    /// Ends a replica's incarnation and starts the next one at the same address.
    pub fn restart_replica(&self, n: usize) {
        let linked = &self.replicas[n];
        linked.replica.restart();
        if n % 2 == 1 {
            linked.replica.set_born(linked.replica.restarts() + 1);
        }
        linked.link.reset();
        self.list(linked, "ready");
    }

    /// Writes a replica's row again, as its heartbeat does.
    pub fn renew(&self, n: usize) {
        self.list(&self.replicas[n], "ready");
    }

    /// Why the entries that run now refused some requests, with the number of each reason.
    pub fn refusals<'a>(&self, ids: impl Iterator<Item = &'a str>) -> BTreeMap<String, usize> {
        let ids: HashSet<_> = ids.collect();
        let mut reasons = BTreeMap::new();
        for entry in &self.entries {
            let refused = entry.host.with_process(|p| p.events("refused"));
            let of_ids = |e: &&Value| e["request"].as_str().is_some_and(|id| ids.contains(id));
            for event in refused.iter().filter(of_ids) {
                let reason = event["reason"].as_str().unwrap_or_default();
                *reasons.entry(reason.to_owned()).or_default() += 1;
            }
        }
        reasons
    }

    /// Whether some prompts of a seed have a part that crashes engines. Their answers have a length or
    /// chunks, as nothing else shows that a stream was cut between two events.
    pub fn has_bad_part(seed: u64) -> bool {
        seed % 2 == 1
    }

    /// Whether a request got an answer without length or chunks.
    pub fn is_undelimited(&self, id: &str) -> bool {
        let requests = self.replicas.iter().flat_map(|r| r.replica.requests());
        requests.into_iter().any(|r| r.id == id && r.undelimited)
    }

    /// Starts a replica again that is down or has said that it leaves or wants rest.
    pub fn start_again(&self, n: usize) {
        let replica = &self.replicas[n].replica;
        replica.set_leaving(false);
        replica.set_rest(None);
        replica.recover();
        self.restart_replica(n);
    }

    /// The key with which a caller sends its requests: two of them belong to teams at their limits.
    pub fn key(caller: u64) -> &'static str {
        match LIMITED_TEAMS.get(caller as usize) {
            Some((_, key)) => key,
            None => KEY,
        }
    }

    /// Announces newer weights and a newer configuration.
    pub fn announce_version(&self) {
        let mut version = self.version.lock().expect("a version");
        *version += 1;
        let announcement = json!({"model": MODEL, "version": *version});
        self.platform.store.write("op", "config", &config(*version));
        self.platform
            .store
            .write("op", "version/lekha", &announcement);
    }

    /// Restores the store from a snapshot and then, after a delay, writes the rows of the operator
    /// and of the replicas again.
    pub async fn restore(&self, snapshot: &row_store::Snapshot, delay: Duration) {
        self.platform.store.restore(snapshot);
        sleep(delay).await;
        let version = *self.version.lock().expect("a version");
        let announcement = json!({"model": MODEL, "version": version});
        let store = &self.platform.store;
        store.write("op", "config", &config(version));
        store.write("op", "version/lekha", &announcement);
        for linked in &self.replicas {
            self.list(linked, "ready");
        }
    }

    /// Writes the row of a replica's current incarnation to the list of targets.
    fn list(&self, replica: &LinkedReplica, state: &str) {
        let (inner, at) = (&replica.replica, replica.link.addr());
        let incarnation = inner.restarts() + 1;
        self.platform
            .list_incarnation(inner, replica.service, at, state, incarnation);
    }

    /// All links, including those of the callers, and their names.
    pub fn links(&self) -> Vec<(String, Arc<Link>)> {
        let store_link = |host: &str, link| (format!("{host} to store"), Arc::clone(link));
        let replicas = self.replicas.iter();
        let replicas = replicas.map(|r| (r.replica.id.clone(), Arc::clone(&r.link)));
        let entries = self.entries.iter().flat_map(|e| {
            let callers = (format!("callers to {}", e.host.name), Arc::clone(&e.link));
            [callers, store_link(&e.host.name, &e.host.store)]
        });
        let sidecars = self.sidecars.iter();
        let sidecars = sidecars.map(|s| store_link(&s.name, &s.store));
        replicas.chain(entries).chain(sidecars).collect()
    }

    /// Adds a line to the timeline.
    pub fn record(&self, line: impl Display) {
        let line = format!("{:?} {line}\n", self.started.elapsed());
        self.timeline.lock().expect("a timeline").push(line);
    }

    /// What entries logged of a request and which replicas received it, for failure messages.
    pub fn account(&self, id: &str) -> String {
        let entries = self.entries.iter().map(|e| e.host.log_of_request(id));
        entries.chain([self.receipts(id)]).collect()
    }

    /// When and with which fault replicas received a request, for failure messages.
    pub fn receipts(&self, id: &str) -> String {
        let of_replica = |linked: &LinkedReplica| {
            let received = linked.replica.requests();
            let received = received.into_iter().filter(|r| r.id == id);
            let line = |r: ReceivedRequest| {
                let at = Instant::from_std(r.received).saturating_duration_since(self.started);
                format!(
                    "{at:?} {} received {id}, fault {:?}\n",
                    linked.replica.id, r.fault
                )
            };
            received.map(line).collect::<String>()
        };
        self.replicas.iter().map(of_replica).collect()
    }

    /// Removes all faults and resumes paused processes.
    pub fn clear_faults(&self) {
        self.platform.store.set_fault(row_store::Fault::None);
        self.links()
            .iter()
            .for_each(|(_, l)| l.set_fault(LinkFault::None));
        self.switch.set_conditions(Conditions::IDEAL);
        for linked in &self.replicas {
            linked.replica.set_fault(Fault::None);
            linked.replica.set_limit(None);
            linked.replica.set_undelimited(false);
            linked.replica.set_pace(None);
        }
        // Only the next start ends what a replica has said about itself.
        for n in 0..self.replicas.len() {
            self.start_again(n);
        }
        for entry in &self.entries {
            entry.host.signal("CONT");
        }
        for sidecar in &self.sidecars {
            sidecar.signal("CONT");
        }
    }
}
