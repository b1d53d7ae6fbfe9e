//! The process that faces callers.

pub mod admin;
pub mod answer;
pub mod ask;
pub mod drive;
pub mod pick;
pub mod serve;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::net::{TcpListener, UdpSocket};
use viz::{Request, Router};

use crate::control::{stopped, Ready};
use crate::link::Pool;
use crate::settings::{Entry, Settings};
use crate::view::{Shared, View};

/// What every request of this process shares.
#[derive(Debug)]
pub struct Context {
    /// The fleet as last published.
    pub view: Shared,
    /// Connections to sidecars.
    pub links: Pool,
    /// Probes to sidecars.
    pub picker: pick::Picker,
    /// Settings of the role.
    pub role: Entry,
}

/// Runs until told to stop.
pub fn run(settings: &Settings, role: &Entry) -> io::Result<()> {
    let traffic = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.workers)
        .enable_all()
        .build()?;
    traffic.block_on(start(settings.clone(), role.clone()))
}

async fn start(settings: Settings, role: Entry) -> io::Result<()> {
    let callers = TcpListener::bind(role.listen).await?;
    let admin = TcpListener::bind(settings.admin).await?;
    let probes = UdpSocket::bind(SocketAddr::new(settings.peer.ip(), 0)).await?;
    let view: Shared = Arc::new(ArcSwap::from_pointee(View::new(
        &settings.domain,
        &settings.region,
        role.targets
            .iter()
            .enumerate()
            .map(|(i, (pool, peer))| crate::view::Announced {
                member: model::MemberId(i as u64),
                incarnation: model::Incarnation(0),
                peer: *peer,
                pool: pool.clone(),
                host: peer.to_string(),
                domain: settings.domain.clone(),
                region: settings.region.clone(),
            }),
    )));
    let cx = Arc::new(Context {
        view,
        links: Pool::new(settings.keys.clone()),
        picker: pick::Picker::new(probes, settings.keys.clone()),
        role,
    });
    let addresses = Ready {
        callers: Some(callers.local_addr()?),
        peer: settings.peer,
        admin: Some(admin.local_addr()?),
        gossip: None,
    };
    pick::listen(&cx);
    let serve = Arc::clone(&cx);
    let router = Router::new().any("/*", move |r: Request| serve::handle(Arc::clone(&serve), r));
    tokio::spawn(std::future::IntoFuture::into_future(viz::serve(
        callers, router,
    )));
    let router = admin::router(Arc::clone(&cx));
    tokio::spawn(std::future::IntoFuture::into_future(viz::serve(
        admin, router,
    )));
    addresses.print();
    stopped().await;
    Ok(())
}
