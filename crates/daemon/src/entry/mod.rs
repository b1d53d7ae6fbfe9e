//! The process that faces callers.

pub mod admin;
pub mod answer;
pub mod ask;
mod attempt;
mod baseline;
pub mod drive;
pub mod frames;
pub mod job;
pub mod limits;
pub mod memory;
mod ours;
pub mod out;
pub mod pick;
pub mod prepare;
pub mod probe;
pub mod serve;
pub mod stop;

use std::future::IntoFuture;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use model::Version;
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
use crate::{clock, log, peer};

/// What every request of this process shares.
#[derive(Debug)]
pub struct Context {
    /// The fleet as last published.
    pub view: SharedView,
    /// Connections to sidecars.
    pub links: ConnectionPool,
    /// Probes to sidecars.
    pub probes: Arc<probe::Prober>,
    /// What is remembered from request to request.
    pub memory: Arc<memory::Shared>,
    /// Settings of the role.
    pub role: Entry,
    /// The way to membership.
    pub members: membership::CommandSender,
    /// The platform's table, if there is one.
    pub table: Option<Platform>,
    /// Planned stop.
    pub stop: stop::Stop,
}

/// Runs until told to stop and all that runs has ended.
pub fn run(settings: &Settings, role: &Entry) -> io::Result<()> {
    let start = start(settings.clone(), role.clone());
    process::traffic_runtime(settings.workers)?.block_on(start)
}

async fn start(settings: Settings, role: Entry) -> io::Result<()> {
    let sockets = Sockets::bind(&settings, &role).await?;
    let ready = sockets.ready()?;
    let view = membership::empty_view();
    let memory = Arc::new(memory::Shared::default());
    let (members, asked) = mpsc::unbounded_channel();
    let gossip = sockets.gossip.into_std()?;
    let thread = control(&settings, &ready, &gossip, &view, &memory, asked)?;
    let cx = Arc::new(Context {
        view,
        links: ConnectionPool::new(settings.keys.clone()),
        probes: probe::Prober::new(sockets.probes, settings.keys.clone()),
        memory,
        role,
        members: members.clone(),
        table: settings.platform.map(platform),
        stop: stop::Stop::new(drain::Config {
            notice: settings.notice.into(),
        }),
    });
    tokio::spawn(Arc::clone(&cx.probes).listen());
    let pulls = Arc::new(peer::PullsOnly);
    let peers = peer::listen(sockets.peer, settings.keys, members.clone(), pulls);
    tokio::spawn(peers);
    tokio::spawn(crate::admin::serve(sockets.admin, admin::router(&cx)));
    let server = serve_callers(&cx, sockets.callers);
    ready.print();
    spdlog::info!(logger: log::entry(), "serving callers at {:?}", ready.callers);

    stop_signal().await;
    spdlog::info!(logger: log::entry(), "leaving, late requests are still served");
    cx.stop.run(&members).await;
    let _ = server.await;
    let _ = members.send(membership::Command::Quit);
    process::join_control(thread).await
}

/// What the process listens on.
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
            callers: TcpListener::bind(role.listen).await?,
            admin: TcpListener::bind(settings.admin).await?,
            gossip: UdpSocket::bind(settings.gossip).await?,
            peer: wire::bind_both(settings.peer).await?.0,
            probes: UdpSocket::bind(SocketAddr::new(settings.peer.ip(), 0)).await?,
        })
    }

    /// The addresses to be told.
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

/// Serves callers until the stop has closed their listener and all answers are out.
fn serve_callers(cx: &Arc<Context>, callers: TcpListener) -> JoinHandle<io::Result<()>> {
    let (serve, closed) = (Arc::clone(cx), Arc::clone(cx));
    let router = Router::new().any("/*", move |r: Request| serve::handle(Arc::clone(&serve), r));
    let server = viz::serve(callers, router).signal(async move { closed.stop.closed().await });
    tokio::spawn(server.into_future())
}

/// Starts the control thread.
fn control(
    settings: &Settings,
    ready: &Ready,
    gossip: &std::net::UdpSocket,
    view: &SharedView,
    memory: &Arc<memory::Shared>,
    asked: mpsc::UnboundedReceiver<membership::Command>,
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
            let members = Membership::new(&settings, me, gossip, shared, asked)?;
            follow(members, &view, &memory).await;
            Ok(())
        })
    })
}

/// Runs membership, and tells the memory what it brings: configurations and convicted requests.
async fn follow(mut members: Membership, view: &SharedView, memory: &memory::Shared) {
    let mut version = Version(0);
    while members.run_once().await {
        let seen = view.load();
        if seen.version != version {
            version = seen.version;
            if let Some(rules) = &seen.rules {
                memory.lock().tune(&PolicyConfigs::from(rules.config()));
            }
        }
        while let Some(c) = members.convicted() {
            let mark = CrashReport::decode(c.fingerprint);
            memory.lock().told(clock::now(), mark, c.until);
        }
    }
}
