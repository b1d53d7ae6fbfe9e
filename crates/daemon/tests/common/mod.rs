//! A small fleet for process tests: stand-ins in this process, the real binary as children.
//!
//! Waiting is for events, with a limit so generous that only a fault reaches it.

#![allow(
    dead_code,
    unused_imports,
    unreachable_pub,
    reason = "each test file uses its own part"
)]

pub mod caller;
pub mod child;
pub mod cut;
pub mod probe;
pub mod program;

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::Value;
use standin::engine::{Engine, Settings};
use standin::freeze::FreezeSwitch;
use standin::platform::Platform;
use standin::service::Service;
use tokio::net::TcpSocket;
use viz::Router;

pub use caller::Caller;
pub use child::Child;
pub use cut::{Cut, How, Plan, Side};
pub use probe::{probe, Prompt};
pub use program::Program;

/// Longest wait for anything.
pub const LIMIT: Duration = Duration::from_secs(30);
/// A caller's key in the sample configuration.
pub const KEY: &str = "sample-key-one";
/// The operators' key.
pub const OPERATOR: &str = "sample-operator-key";
/// The configuration of most tests.
pub const QUICKSTART: &str = include_str!("../../../../examples/quickstart.toml");

/// A stand-in on a runtime of its own, so that it can be killed with all its connections.
pub struct StandIn {
    run: Option<tokio::runtime::Runtime>,
    /// Keeps the port while nobody listens: a connection of another test that got it by chance
    /// would keep the stand-in from coming back at its address.
    _port: TcpSocket,
    pub at: SocketAddr,
}

impl StandIn {
    /// Starts one at an address; port 0 for any.
    pub fn start(at: SocketAddr, router: Router) -> Self {
        Self::gated(at, router, Arc::default())
    }

    /// Starts one whose open connections can be frozen.
    pub fn gated(at: SocketAddr, router: Router, gate: Arc<FreezeSwitch>) -> Self {
        let run = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("runtime");
        let port = take_port(at);
        let at = port.local_addr().expect("address");
        let (at, server) = run
            .block_on(standin::listen_freezable(at, router, gate))
            .expect("listen");
        run.spawn(server);
        Self {
            run: Some(run),
            _port: port,
            at,
        }
    }

    /// Ends it at once; its connections break.
    pub fn kill(&mut self) {
        if let Some(run) = self.run.take() {
            run.shutdown_timeout(Duration::from_secs(5));
        }
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Takes a port, once it is free. A process that another test is starting holds copies of all sockets
/// until its program runs, so that a listener which has just been closed goes on listening for a moment.
fn take_port(at: SocketAddr) -> TcpSocket {
    let mut taken = None;
    wait_for("a free port", || {
        let port = TcpSocket::new_v4().expect("socket");
        port.set_reuseaddr(true).expect("reuse");
        match port.bind(at) {
            Ok(()) => taken = Some(port),
            Err(e) => assert_eq!(e.kind(), ErrorKind::AddrInUse, "{at}: {e}"),
        }
        taken.is_some()
    });
    taken.expect("waited for")
}

/// Any free port.
pub fn any() -> SocketAddr {
    "127.0.0.1:0".parse().expect("constant")
}

/// A model engine with its sidecar.
pub struct Replica {
    pub engine: Arc<Engine>,
    /// The engine's earlier lives.
    pub past: Vec<Arc<Engine>>,
    pub standin: StandIn,
    pub sidecar: Child,
}

impl Replica {
    /// Ids of the requests that it ran in any of its lives.
    pub fn requests(&self) -> impl Iterator<Item = String> + '_ {
        let lives = self.past.iter().chain([&self.engine]);
        lives.flat_map(|e| e.run_log()).map(|r| r.request)
    }
}

/// A fleet of the quickstart configuration.
pub struct Fleet {
    pub platform: Arc<Platform>,
    pub platform_at: StandIn,
    pub service: Arc<Service>,
    pub service_at: StandIn,
    pub fieldops: Child,
    /// More sidecars before the same service.
    pub spares: Vec<Child>,
    pub replicas: Vec<Replica>,
    pub cuts: Vec<Cut>,
    pub entries: Vec<Child>,
}

/// Settings of an engine that fits the quickstart configuration and answers quickly.
pub fn quick() -> Settings {
    Settings {
        weights: "1".to_owned(),
        decode_per_token: Duration::from_millis(2),
        prefill_per_block: Duration::from_micros(100),
        event_lag: Duration::from_millis(10),
        ..Settings::default()
    }
}

impl Fleet {
    /// Starts so many entries and engines and puts the quickstart configuration in force.
    pub fn start(entries: usize, engines: usize, set: &Settings) -> Self {
        let platform = Platform::new();
        let platform_at = StandIn::start(any(), platform.router());
        let service = Service::new(Duration::from_millis(1));
        let service_at = StandIn::start(any(), service.router());
        let url = format!("http://{}", platform_at.at);
        let fieldops = Child::sidecar(&url, "", service_at.at, "fieldops", "plain");
        let mut fleet = Self {
            platform,
            platform_at,
            service,
            service_at,
            fieldops,
            spares: Vec::new(),
            replicas: Vec::new(),
            cuts: Vec::new(),
            entries: Vec::new(),
        };
        for _ in 0..engines {
            fleet.add_replica(set);
        }
        for _ in 0..entries {
            fleet.add_entry();
        }
        fleet.wait_members();
        fleet.apply(QUICKSTART);
        fleet
    }

    /// The platform's URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.platform_at.at)
    }

    /// A membership address to start from.
    pub fn seed(&self) -> String {
        self.fieldops.address("gossip").to_string()
    }

    /// Adds an engine and its sidecar.
    pub fn add_replica(&mut self, set: &Settings) {
        let engine = Engine::new(set.clone());
        let router = engine.router();
        self.add_target(engine, router);
    }

    /// Adds an engine whose sidecar others reach through something that cuts connections.
    pub fn add_cut(&mut self, set: &Settings, plan: &Arc<Plan>) {
        let engine = Engine::new(set.clone());
        let standin = StandIn::gated(any(), engine.router(), engine.freeze_switch());
        let cut = Cut::start(plan);
        let target = format!("http://{}", standin.at);
        #[rustfmt::skip]
        let sidecar = Child::run(&[
            "sidecar", "--platform", &self.url(), "--seeds", &self.seed(), "--target", &target,
            "--pool", "lekha-llm", "--peer-announce", &cut.at.to_string(),
        ]);
        cut.lead(sidecar.address("peer"));
        self.cuts.push(cut);
        self.replicas.push(Replica {
            engine,
            past: Vec::new(),
            standin,
            sidecar,
        });
        self.wait_members();
    }

    /// Adds an engine behind an interface that may differ from its own, and its sidecar.
    pub fn add_target(&mut self, engine: Arc<Engine>, router: Router) {
        let standin = StandIn::gated(any(), router, engine.freeze_switch());
        let (url, seed) = (self.url(), self.seed());
        let sidecar = Child::sidecar(&url, &seed, standin.at, "lekha-llm", "model");
        self.replicas.push(Replica {
            engine,
            past: Vec::new(),
            standin,
            sidecar,
        });
    }

    /// Kills an engine with all its connections and brings it back at the same address, in a new
    /// life and with an empty cache.
    pub fn revive(&mut self, replica: usize, set: &Settings) {
        let r = &mut self.replicas[replica];
        r.standin.kill();
        let past = std::mem::replace(&mut r.engine, Engine::new(set.clone()));
        r.past.push(past);
        r.standin = StandIn::gated(r.standin.at, r.engine.router(), r.engine.freeze_switch());
    }

    /// What a replica's sidecar would tell an entry.
    pub fn offer(&self, replica: usize, prompt: Prompt<'_>) -> wire::Offer {
        probe(self.replicas[replica].sidecar.address("peer"), prompt)
    }

    /// The replica that runs a request at this moment, once one does.
    pub fn runner(&self) -> usize {
        let running = || self.replicas.iter().position(|r| r.engine.running() > 0);
        wait_for("a replica to run the request", || running().is_some());
        running().expect("it was there")
    }

    /// Adds a sidecar before the plain service, and waits until the entries know it.
    pub fn add_spare(&mut self) {
        let spare = Child::sidecar(
            &self.url(),
            &self.seed(),
            self.service_at.at,
            "fieldops",
            "plain",
        );
        self.spares.push(spare);
        self.wait_members();
    }

    /// Kills the plain service with all its connections and starts it again; its log is kept.
    pub fn revive_service(&mut self) {
        self.service_at.kill();
        self.service_at = StandIn::start(self.service_at.at, self.service.router());
    }

    /// How often the service ran a record.
    pub fn times(&self, body: &str) -> usize {
        self.service.bodies().iter().filter(|b| *b == body).count()
    }

    /// Adds an entry.
    pub fn add_entry(&mut self) {
        let entry = Child::entry(&self.url(), &self.seed());
        self.entries.push(entry);
    }

    /// A caller of an entry.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].address("callers"), KEY)
    }

    /// An operator at an entry.
    pub fn operator(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].address("admin"), OPERATOR)
    }

    /// Waits until every entry sees all processes.
    pub fn wait_members(&self) {
        let all = 1 + self.spares.len() + self.replicas.len() + self.entries.len();
        for n in 0..self.entries.len() {
            wait_for("all members to be seen", || self.live(n) == all);
        }
    }

    /// Live members as an entry sees them.
    pub fn live(&self, entry: usize) -> usize {
        let status = self.operator(entry).get("/admin/status").json();
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let live = |m: &&Value| m["state"] == "alive" || m["state"] == "suspect";
        members.iter().filter(live).count()
    }

    /// Puts a configuration in force at all entries; gives its version.
    pub fn apply(&self, text: &str) -> u64 {
        let operation = format!("{:032x}", rand::random::<u128>());
        let body = serde_json::json!({"text": text, "operation": operation, "author": "test"});
        let answer = self
            .operator(0)
            .put("/admin/configuration", &body.to_string());
        assert_eq!(answer.status, 200, "apply: {}", answer.text());
        let version = answer.json()["version"].as_u64().expect("version");
        for n in 0..self.entries.len() {
            self.wait_version(n, version);
        }
        version
    }

    /// Waits until an entry has a version or a later one in force.
    pub fn wait_version(&self, entry: usize, version: u64) {
        let operator = self.operator(entry);
        wait_for("the version to be in force", || {
            let v = operator.get("/admin/configuration").json();
            v["version"].as_u64() >= Some(version)
        });
    }
}

/// Waits until something holds.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < until, "waited in vain for {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A completion request.
pub fn completion(prompt: &str, tokens: usize, stream: bool) -> String {
    serde_json::json!({"model": "lekha", "prompt": prompt, "max_tokens": tokens, "stream": stream})
        .to_string()
}

/// The words that an engine answers.
pub fn words(prompt: &str, tokens: usize) -> Vec<String> {
    (0..tokens)
        .map(|i| standin::engine::answer_token(prompt, i))
        .collect()
}
