//! A small fleet for process tests: stand-ins in the test process, the real binary as child
//! processes.
//!
//! Tests wait for events; the timeout is so long that only a fault exceeds it.

#![allow(
    dead_code,
    unused_imports,
    unreachable_pub,
    reason = "each test file uses a part of this module"
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
pub use cut::{CutMode, CutPlan, CutProxy, Side};
pub use probe::{probe, Prompt};
pub use program::Program;

/// Timeout of each wait for an event or an answer.
pub const TIMEOUT: Duration = Duration::from_secs(30);
/// API key of the first team in the sample configuration.
pub const API_KEY: &str = "sample-key-one";
/// API key of operators.
pub const OPERATOR_KEY: &str = "sample-operator-key";
/// The configuration of most tests.
pub const QUICKSTART: &str = include_str!("../../../../examples/quickstart.toml");

/// A stand-in on a runtime of its own, so that it can be killed with all its connections.
pub struct StandIn {
    run: Option<tokio::runtime::Runtime>,
    /// Reserves the port while the stand-in is down: a connection of another test that got the same
    /// port by chance would prevent the stand-in from restarting at its address.
    _port: TcpSocket,
    /// The address at which the stand-in listens.
    pub at: SocketAddr,
}

impl StandIn {
    /// Starts a stand-in at an address; port 0 selects any free port.
    pub fn start(at: SocketAddr, router: Router) -> Self {
        Self::start_freezable(at, router, Arc::default())
    }

    /// Starts a stand-in whose open connections can be frozen.
    pub fn start_freezable(
        at: SocketAddr,
        router: Router,
        freeze_switch: Arc<FreezeSwitch>,
    ) -> Self {
        let run = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("runtime");
        let port = reserve_port(at);
        let at = port.local_addr().expect("address");
        let (at, server) = run
            .block_on(standin::listen_freezable(at, router, freeze_switch))
            .expect("listen");
        run.spawn(server);
        Self {
            run: Some(run),
            _port: port,
            at,
        }
    }

    /// Stops the stand-in at once and breaks its connections.
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

/// Binds a socket to a port, once the port is free. A process that another test is starting holds
/// copies of all sockets until its program runs, so a port may stay in use for a moment after its
/// listener was closed.
fn reserve_port(at: SocketAddr) -> TcpSocket {
    let mut bound = None;
    wait_for("a free port", || {
        let port = TcpSocket::new_v4().expect("socket");
        port.set_reuseaddr(true).expect("reuse");
        match port.bind(at) {
            Ok(()) => bound = Some(port),
            Err(e) => assert_eq!(e.kind(), ErrorKind::AddrInUse, "{at}: {e}"),
        }
        bound.is_some()
    });
    bound.expect("waited for")
}

/// The loopback address with any free port.
pub fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("constant")
}

/// A model engine with its sidecar.
pub struct Replica {
    pub engine: Arc<Engine>,
    /// The engines that ran at the same address before a restart.
    pub earlier_engines: Vec<Arc<Engine>>,
    pub standin: StandIn,
    pub sidecar: Child,
}

impl Replica {
    /// Ids of the requests that the engine ran, including those before its restarts.
    pub fn requests(&self) -> impl Iterator<Item = String> + '_ {
        let all = self.earlier_engines.iter().chain([&self.engine]);
        all.flat_map(|e| e.run_log()).map(|r| r.request)
    }
}

/// A fleet with the quickstart configuration.
pub struct Fleet {
    pub platform: Arc<Platform>,
    pub platform_at: StandIn,
    pub service: Arc<Service>,
    pub service_at: StandIn,
    pub fieldops: Child,
    /// Further sidecars of plain services.
    pub extra_sidecars: Vec<Child>,
    pub replicas: Vec<Replica>,
    pub proxies: Vec<CutProxy>,
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
    /// Starts entries and engines and puts the quickstart configuration in force.
    pub fn start(entries: usize, engines: usize, set: &Settings) -> Self {
        let platform = Platform::new();
        let platform_at = StandIn::start(any_port(), platform.router());
        let service = Service::new(Duration::from_millis(1));
        let service_at = StandIn::start(any_port(), service.router());
        let url = format!("http://{}", platform_at.at);
        let fieldops = Child::sidecar(&url, "", service_at.at, "fieldops", "plain");
        let mut fleet = Self {
            platform,
            platform_at,
            service,
            service_at,
            fieldops,
            extra_sidecars: Vec::new(),
            replicas: Vec::new(),
            proxies: Vec::new(),
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

    /// The membership address through which processes join the fleet.
    pub fn seed(&self) -> String {
        self.fieldops.address("gossip").to_string()
    }

    /// Adds an engine and its sidecar.
    pub fn add_replica(&mut self, set: &Settings) {
        let engine = Engine::new(set.clone());
        let router = engine.router();
        self.add_target(engine, router);
    }

    /// Adds an engine whose sidecar is reached through a proxy that can cut connections.
    pub fn add_replica_behind_proxy(&mut self, set: &Settings, plan: &Arc<CutPlan>) {
        let engine = Engine::new(set.clone());
        let standin = StandIn::start_freezable(any_port(), engine.router(), engine.freeze_switch());
        let proxy = CutProxy::start(plan);
        let target = format!("http://{}", standin.at);
        #[rustfmt::skip]
        let sidecar = Child::run(&[
            "sidecar", "--platform", &self.url(), "--seeds", &self.seed(), "--target", &target,
            "--pool", "lekha-llm", "--peer-announce", &proxy.at.to_string(),
        ]);
        proxy.redirect(sidecar.address("peer"));
        self.proxies.push(proxy);
        self.replicas.push(Replica {
            engine,
            earlier_engines: Vec::new(),
            standin,
            sidecar,
        });
        self.wait_members();
    }

    /// Adds an engine with a router that may differ from the engine's own, and its sidecar.
    pub fn add_target(&mut self, engine: Arc<Engine>, router: Router) {
        let standin = StandIn::start_freezable(any_port(), router, engine.freeze_switch());
        let (url, seed) = (self.url(), self.seed());
        let sidecar = Child::sidecar(&url, &seed, standin.at, "lekha-llm", "model");
        self.replicas.push(Replica {
            engine,
            earlier_engines: Vec::new(),
            standin,
            sidecar,
        });
    }

    /// Kills an engine with all its connections and restarts it at the same address, as a new
    /// incarnation with an empty cache.
    pub fn restart_engine(&mut self, replica: usize, set: &Settings) {
        let r = &mut self.replicas[replica];
        r.standin.kill();
        let earlier = std::mem::replace(&mut r.engine, Engine::new(set.clone()));
        r.earlier_engines.push(earlier);
        r.standin =
            StandIn::start_freezable(r.standin.at, r.engine.router(), r.engine.freeze_switch());
    }

    /// The offer with which a replica's sidecar answers a probe for a prompt.
    pub fn offer(&self, replica: usize, prompt: Prompt<'_>) -> wire::Offer {
        probe(self.replicas[replica].sidecar.address("peer"), prompt)
    }

    /// Waits until a replica runs a request, and returns its index.
    pub fn running_replica(&self) -> usize {
        let running = || self.replicas.iter().position(|r| r.engine.running() > 0);
        wait_for("a replica to run the request", || running().is_some());
        running().expect("it was there")
    }

    /// Adds another sidecar of the plain service, and waits until the entries list it.
    pub fn add_service_sidecar(&mut self) {
        let sidecar = Child::sidecar(
            &self.url(),
            &self.seed(),
            self.service_at.at,
            "fieldops",
            "plain",
        );
        self.extra_sidecars.push(sidecar);
        self.wait_members();
    }

    /// Kills the plain service with all its connections and starts it again; its log is kept.
    pub fn restart_service(&mut self) {
        self.service_at.kill();
        self.service_at = StandIn::start(self.service_at.at, self.service.router());
    }

    /// Number of times that the service ran a record.
    pub fn run_count(&self, body: &str) -> usize {
        self.service.bodies().iter().filter(|b| *b == body).count()
    }

    /// Adds an entry.
    pub fn add_entry(&mut self) {
        let entry = Child::entry(&self.url(), &self.seed());
        self.entries.push(entry);
    }

    /// A caller that sends to an entry's port for callers.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].address("callers"), API_KEY)
    }

    /// An operator that sends to an entry's admin port.
    pub fn operator(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].address("admin"), OPERATOR_KEY)
    }

    /// Waits until every entry lists all processes as live members.
    pub fn wait_members(&self) {
        let all = 1 + self.extra_sidecars.len() + self.replicas.len() + self.entries.len();
        for n in 0..self.entries.len() {
            wait_for("every entry to list all members", || {
                self.live_members(n) == all
            });
        }
    }

    /// Number of members that an entry lists as alive or suspect.
    pub fn live_members(&self, entry: usize) -> usize {
        let status = self.operator(entry).get("/admin/status").json();
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let live = |m: &&Value| m["state"] == "alive" || m["state"] == "suspect";
        members.iter().filter(live).count()
    }

    /// Puts a configuration in force at all entries and returns its version.
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

    /// Waits until an entry has this version or a later one in force.
    pub fn wait_version(&self, entry: usize, version: u64) {
        let operator = self.operator(entry);
        wait_for("the version to be in force", || {
            let v = operator.get("/admin/configuration").json();
            v["version"].as_u64() >= Some(version)
        });
    }
}

/// Waits until a condition holds; panics after the timeout.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// The body of a completion request.
pub fn completion(prompt: &str, tokens: usize, stream: bool) -> String {
    serde_json::json!({"model": "lekha", "prompt": prompt, "max_tokens": tokens, "stream": stream})
        .to_string()
}

/// The words that an engine answers to a prompt.
pub fn words(prompt: &str, tokens: usize) -> Vec<String> {
    (0..tokens)
        .map(|i| standin::engine::answer_token(prompt, i))
        .collect()
}
