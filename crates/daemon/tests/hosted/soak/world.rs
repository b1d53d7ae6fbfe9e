//! The processes, replicas and links of a run.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde_json::json;
use standin::hosted::replica::{Fault, Replica};
use standin::hosted::row_store;
use standin::link::{Link, LinkFault};
use standin::switch::{Conditions, Switch};
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

use crate::fleet::{config, Entry, Platform, Process, MODEL};

/// Entries.
pub const ENTRIES: usize = 3;
/// Engines; the first of the replicas.
pub const ENGINES: usize = 2;
/// Seeds from here on also draw restores of the store, and fleets with sidecars for some or no engines.
pub const WIDER: u64 = 1_000;
/// Replicas in all; the others are of the plain service.
pub const REPLICAS: usize = 4;
/// Events of a whole stream.
pub const EVENTS: u64 = 12;
/// Longest time in which a process that was told to stop may end: its grace, and what it was paused.
const LEAVE: Duration = Duration::from_secs(12);
/// Pause between two looks at it.
const LOOK: Duration = Duration::from_millis(20);
/// Pause between two events of a stream.
const PAUSE: Duration = Duration::from_millis(10);

/// A replica behind its link.
pub struct Behind {
    pub replica: Arc<Replica>,
    pub link: Arc<Link>,
    service: &'static str,
}

/// Where an entry or a sidecar runs, and its link to the store.
pub struct Host<T> {
    pub name: String,
    pub store: Arc<Link>,
    process: Mutex<T>,
    leaving: AtomicBool,
}

/// What runs on a host.
pub trait Runs {
    fn process(&mut self) -> &mut Process;
}

impl Runs for Process {
    fn process(&mut self) -> &mut Process {
        self
    }
}

impl Runs for Entry {
    fn process(&mut self) -> &mut Process {
        &mut self.process
    }
}

impl<T: Runs> Host<T> {
    fn new(name: String, store: Arc<Link>, runs: T) -> Self {
        Self {
            name,
            store,
            process: Mutex::new(runs),
            leaving: AtomicBool::new(false),
        }
    }

    /// What runs there now.
    pub fn runs(&self) -> MutexGuard<'_, T> {
        self.process.lock().expect("a process")
    }

    /// Whether its process has ended.
    pub fn ended(&self) -> bool {
        self.runs().process().ended()
    }

    /// Signals its process, unless that has ended.
    pub fn signal(&self, name: &str) {
        let mut runs = self.runs();
        if !runs.process().ended() {
            runs.process().signal(name);
        }
    }

    /// Has its process end and waits for that; false if it was ending already.
    async fn end(&self, how: &str) -> bool {
        if self.leaving.swap(true, Ordering::Relaxed) {
            return false;
        }
        self.signal(how);
        let began = Instant::now();
        while !self.ended() {
            assert!(
                began.elapsed() < LEAVE,
                "{} doesn't end after {how}",
                self.name
            );
            sleep(LOOK).await;
        }
        let well = self.runs().process().wait();
        assert!(well || how == "KILL", "{} ended badly", self.name);
        true
    }

    /// Takes over a process in the place of the one that has ended.
    fn replace(&self, runs: T) {
        *self.runs() = runs;
        self.leaving.store(false, Ordering::Relaxed);
    }
}

/// An entry's host and the link that callers come on.
pub struct Front {
    pub host: Host<Entry>,
    pub link: Arc<Link>,
}

/// Everything that a run has.
pub struct World {
    pub platform: Platform,
    pub replicas: Vec<Behind>,
    pub fronts: Vec<Front>,
    pub sides: Vec<Host<Process>>,
    pub version: Mutex<u64>,
    /// Carries datagrams and connections between entries and sidecars.
    pub switch: Arc<Switch>,
    _links: Mutex<Vec<JoinSet<()>>>,
}

/// Engines with a sidecar.
fn sidecars(seed: u64) -> usize {
    match seed < WIDER {
        true => ENGINES,
        false => (seed % (ENGINES as u64 + 1)) as usize,
    }
}

/// Opens a link that lasts as long as the run.
async fn link(kept: &mut Vec<JoinSet<()>>, to: SocketAddr) -> Arc<Link> {
    let (link, tasks) = Link::start(to).await.expect("a link");
    kept.push(tasks);
    link
}

impl World {
    pub async fn start(seed: u64) -> Arc<Self> {
        let mut platform = Platform::start().await;
        let switch = Switch::new(seed);
        platform.store.set_switch(Arc::clone(&switch));
        let mut links = Vec::new();
        let mut replicas = Vec::new();
        for n in 0..REPLICAS {
            let service = if n < ENGINES { "engines" } else { "plain" };
            let replica = Replica::new(&format!("r{n}"), EVENTS, PAUSE);
            replica.set_version(MODEL, 1);
            let at = platform.serve(&replica).await;
            let link = link(&mut links, at).await;
            platform.list(&replica, service, link.addr(), "ready");
            replicas.push(Behind {
                replica,
                link,
                service,
            });
        }
        let mut sides = Vec::new();
        for (n, engine) in replicas[..sidecars(seed)].iter().enumerate() {
            let name = format!("side-{n}");
            let store = link(&mut links, platform.at).await;
            let process = platform.sidecar_on(&name, store.addr(), engine.link.addr());
            sides.push(Host::new(name, store, process));
        }
        let mut fronts = Vec::new();
        for n in 0..ENTRIES {
            let name = format!("front-{n}");
            let store = link(&mut links, platform.at).await;
            let entry = platform.entry_on(&name, store.addr(), REPLICAS).await;
            let link = link(&mut links, entry.callers).await;
            let host = Host::new(name, store, entry);
            fronts.push(Front { host, link });
        }
        Arc::new(Self {
            platform,
            replicas,
            fronts,
            sides,
            version: Mutex::new(1),
            switch,
            _links: Mutex::new(links),
        })
    }

    /// Has an entry end, and starts another in its place once it has.
    pub async fn replace_front(&self, n: usize, how: &str) {
        let front = &self.fronts[n];
        if !front.host.end(how).await {
            return;
        }
        let store = front.host.store.addr();
        let entry = self.platform.unready(&front.host.name, store).await;
        front.link.redirect(entry.callers);
        front.host.replace(entry);
    }

    /// Has a sidecar end, and starts another in its place once it has.
    pub async fn replace_side(&self, n: usize, how: &str) {
        let side = &self.sides[n];
        if !side.end(how).await {
            return;
        }
        let engine = self.replicas[n].link.addr();
        let process = self
            .platform
            .sidecar_on(&side.name, side.store.addr(), engine);
        side.replace(process);
    }

    /// Ends a replica's life and begins another at the same address.
    pub fn restart_replica(&self, n: usize) {
        let behind = &self.replicas[n];
        behind.replica.restart();
        behind.link.reset();
        self.enter(behind, "ready");
    }

    /// Names newer weights and a newer configuration.
    pub fn name_version(&self) {
        let mut version = self.version.lock().expect("a version");
        *version += 1;
        let named = json!({"model": MODEL, "version": *version});
        self.platform.store.write("op", "config", &config(*version));
        self.platform.store.write("op", "version/lekha", &named);
    }

    /// Brings the store back from a copy, and writes again what the operator and the replicas wrote.
    pub async fn restore(&self, copy: &row_store::Snapshot, after: Duration) {
        self.platform.store.restore(copy);
        sleep(after).await;
        let version = *self.version.lock().expect("a version");
        let named = json!({"model": MODEL, "version": version});
        let store = &self.platform.store;
        store.write("op", "config", &config(version));
        store.write("op", "version/lekha", &named);
        for behind in &self.replicas {
            self.enter(behind, "ready");
        }
    }

    fn enter(&self, behind: &Behind, state: &str) {
        let (replica, at) = (&behind.replica, behind.link.addr());
        let born = replica.restarts() + 1;
        self.platform
            .list_life(replica, behind.service, at, state, born);
    }

    /// All links, the callers' included.
    pub fn links(&self) -> Vec<Arc<Link>> {
        let replicas = self.replicas.iter().map(|r| &r.link);
        let fronts = self.fronts.iter().flat_map(|f| [&f.link, &f.host.store]);
        let sides = self.sides.iter().map(|s| &s.store);
        replicas.chain(fronts).chain(sides).cloned().collect()
    }

    /// Ends all troubles.
    pub fn heal(&self) {
        self.platform.store.set_fault(row_store::Fault::None);
        self.links()
            .iter()
            .for_each(|l| l.set_fault(LinkFault::None));
        self.switch.set_conditions(Conditions::IDEAL);
        for behind in &self.replicas {
            behind.replica.set_fault(Fault::None);
            self.enter(behind, "ready");
        }
        for front in &self.fronts {
            front.host.signal("CONT");
        }
        for side in &self.sides {
            side.signal("CONT");
        }
    }
}
