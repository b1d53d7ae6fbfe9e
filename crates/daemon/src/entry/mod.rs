//! The entry: the role that takes callers' requests and sends each to a sidecar.
//!
//! [`serve`] answers HTTP, [`prepare`] applies the rules, and [`drive`] makes attempts at the
//! replicas that [`pick`] chooses. [`admin`] is the interface for operators.

pub mod admin;
pub mod answer_sink;
mod attempt;
mod baseline;
mod by_probes;
pub mod completion;
pub mod drive;
pub mod frames;
pub mod job;
pub mod limits;
pub mod memory;
pub mod pick;
pub mod prepare;
pub mod probe;
pub mod problem;
pub mod serve;
pub mod stop;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use model::Version;
use overload::Callers;
use policy::drain;
use store::{Client, Platform};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use viz::{Request, Router};

use crate::connection_pool::ConnectionPool;
use crate::crash_report::CrashReport;
use crate::membership::{self, LocalMember, Membership};
use crate::policy_configs::PolicyConfigs;
use crate::process::{self, stop_signal, Ready};
use crate::settings::{Entry, Settings};
use crate::view::SharedView;
use crate::{clock, listener, log, peer};

/// State that all requests of an entry share.
#[derive(Debug)]
pub struct Context {
    /// The latest snapshot of the fleet.
    pub view: SharedView,
    /// Connections to sidecars.
    pub connections: ConnectionPool,
    /// Sends probes to sidecars.
    pub prober: Arc<probe::Prober>,
    /// What the entry remembers across requests.
    pub memory: Arc<memory::SharedMemory>,
    /// Settings of the entry.
    pub role: Entry,
    /// Sends commands to the membership task.
    pub membership: membership::CommandSender,
    /// The platform's table, if a platform is configured.
    pub table: Option<Platform>,
    /// Connections of callers, and what is held for them.
    pub callers: Callers,
    /// State of the shutdown.
    pub stop: stop::Stop,
}

/// Runs an entry until it is signalled to stop and all requests have ended.
pub fn run(settings: &Settings, role: &Entry) -> io::Result<()> {
    let start = start(settings.clone(), role.clone());
    process::traffic_runtime(settings.workers)?.block_on(start)
}

async fn start(settings: Settings, role: Entry) -> io::Result<()> {
    let sockets = Sockets::bind(&settings, &role).await?;
    let ready = sockets.ready()?;
    let view = membership::empty_view();
    let memory = Arc::new(memory::SharedMemory::default());
    let (membership, commands) = mpsc::unbounded_channel();
    let gossip = sockets.gossip.into_std()?;
    let thread = spawn_control(&settings, &ready, &gossip, &view, &memory, commands)?;
    let cx = Arc::new(Context {
        view,
        connections: ConnectionPool::new(settings.keys.clone()),
        prober: probe::Prober::new(sockets.probes, settings.keys.clone()),
        memory,
        callers: Callers::new(role.callers),
        role,
        membership: membership.clone(),
        table: settings.platform.map(platform),
        stop: stop::Stop::new(drain::Config {
            notice: settings.notice.into(),
        }),
    });
    tokio::spawn(Arc::clone(&cx.prober).listen());
    let pulls = Arc::new(peer::PullsOnly);
    let peers = peer::listen(sockets.peer, settings.keys, membership.clone(), pulls);
    tokio::spawn(peers);
    tokio::spawn(listener::serve_other(
        "admin",
        sockets.admin,
        admin::router(&cx),
    ));
    let server = serve_callers(&cx, sockets.callers);
    ready.print();
    spdlog::info!(logger: log::entry(), "serving callers at {:?}", ready.callers);

    stop_signal().await;
    spdlog::info!(logger: log::entry(), "stopping, late requests are still accepted");
    cx.stop.run(&membership).await;
    let _ = server.await;
    let _ = membership.send(membership::Command::Quit);
    process::join_control(thread).await
}

/// Sockets that an entry listens on.
struct Sockets {
    callers: TcpListener,
    admin: TcpListener,
    gossip: UdpSocket,
    peer: TcpListener,
    probes: UdpSocket,
}

impl Sockets {
    async fn bind(settings: &Settings, role: &Entry) -> io::Result<Self> {
        Ok(Self {
            callers: overload::accept::bind(role.listen)?,
            admin: overload::accept::bind(settings.admin)?,
            gossip: UdpSocket::bind(settings.gossip).await?,
            peer: wire::bind_both(settings.peer).await?.0,
            probes: UdpSocket::bind(SocketAddr::new(settings.peer.ip(), 0)).await?,
        })
    }

    /// The addresses that the process reports once it is ready.
    fn ready(&self) -> io::Result<Ready> {
        Ok(Ready {
            callers: Some(self.callers.local_addr()?),
            peer: self.peer.local_addr()?,
            admin: self.admin.local_addr()?,
            gossip: self.gossip.local_addr()?,
        })
    }
}

fn platform(base: String) -> Platform {
    Platform::new(base, Client::default())
}

/// Serves callers until the shutdown has closed their listener and all answers are sent.
fn serve_callers(cx: &Arc<Context>, listener: TcpListener) -> JoinHandle<()> {
    let (serve, closed) = (Arc::clone(cx), Arc::clone(cx));
    let router = Router::new().any("/*", move |r: Request| serve::handle(Arc::clone(&serve), r));
    let callers = cx.callers.clone();
    let timeouts = cx.role.timeouts;
    tokio::spawn(listener::check(
        listener::CALLERS,
        callers.clone(),
        timeouts,
    ));
    tokio::spawn(async move {
        let closed = closed.stop.closed();
        listener::serve_callers(listener, callers, router, closed).await;
    })
}

/// Starts the control thread.
fn spawn_control(
    settings: &Settings,
    ready: &Ready,
    gossip: &std::net::UdpSocket,
    view: &SharedView,
    memory: &Arc<memory::SharedMemory>,
    commands: mpsc::UnboundedReceiver<membership::Command>,
) -> io::Result<thread::JoinHandle<io::Result<()>>> {
    let me = LocalMember {
        role: fleet::Role::Entry,
        peer: settings.announce.unwrap_or(ready.peer),
        admin: Some(ready.admin),
        pool: None,
        incarnation: clock::incarnation(),
    };
    let (settings, gossip) = (settings.clone(), gossip.try_clone()?);
    let (view, memory) = (Arc::clone(view), Arc::clone(memory));
    let name = "control".to_owned();
    thread::Builder::new().name(name).spawn(move || {
        let run = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        run.block_on(async move {
            let gossip = UdpSocket::from_std(gossip)?;
            let shared = Arc::clone(&view);
            let membership = Membership::new(&settings, me, gossip, shared, commands)?;
            run_membership(membership, &view, &memory).await;
            Ok(())
        })
    })
}

/// Runs membership, and passes new configurations and crash reports on to the memory.
async fn run_membership(
    mut membership: Membership,
    view: &SharedView,
    memory: &memory::SharedMemory,
) {
    let mut version = Version(0);
    while membership.run_once().await {
        let current = view.load();
        if current.version != version {
            version = current.version;
            if let Some(rules) = &current.rules {
                memory
                    .lock()
                    .set_configs(&PolicyConfigs::from(rules.config()));
            }
        }
        while let Some(c) = membership.take_conviction() {
            let report = CrashReport::decode(c.fingerprint);
            memory.lock().apply_report(clock::now(), report, c.until);
        }
    }
}
