//! The process beside one target: the only door to it.
//!
//! Exchanges arrive in `serve`; `run` takes each through its `turn`, its `claim` and the `target`.
//! `control` decides whose turn it is, by what `feed` fetches from the target and `ask` carries
//! from traffic. `orders` has the target load other weights.

pub mod ask;
pub mod claim;
pub mod control;
pub mod decide;
pub mod feed;
pub mod live;
pub mod news;
pub mod orders;
pub mod probe;
pub mod run;
pub mod serve;
pub mod target;
pub mod turn;

use std::io;
use std::sync::Arc;

use policy::liveness::State;
use store::{Client, Platform};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;

use crate::membership::{self, LocalMember};
use crate::process::{self, stop_signal, Ready};
use crate::settings::{Kind, Settings, Sidecar};
use crate::{admin, clock, log, peer};
use ask::Ask;
use control::Start;
use orders::Orders;
use run::Context;

/// Runs until told to stop and all that runs has ended.
pub fn run(settings: &Settings, role: &Sidecar) -> io::Result<()> {
    let start = start(settings.clone(), role.clone());
    process::traffic_runtime(settings.workers)?.block_on(start)
}

async fn start(settings: Settings, role: Sidecar) -> io::Result<()> {
    let life = clock::incarnation();
    let (tcp, probes) = wire::bind_both(settings.peer).await?;
    let gossip = UdpSocket::bind(settings.gossip).await?;
    let admin = TcpListener::bind(settings.admin).await?;
    let ready = Ready {
        callers: None,
        peer: tcp.local_addr()?,
        admin: admin.local_addr()?,
        gossip: gossip.local_addr()?,
    };
    let told = settings.announce.unwrap_or(ready.peer);
    let (mut asker, asked) = ask::channel();
    let (members, from_members) = mpsc::unbounded_channel();
    let view = membership::empty_view();
    let thread = control::spawn(Start {
        me: LocalMember {
            role: fleet::Role::Sidecar,
            peer: told,
            admin: Some(ready.admin),
            pool: Some(role.pool.clone()),
            incarnation: life,
        },
        settings: settings.clone(),
        role: role.clone(),
        probes: probes.into_std()?,
        gossip: gossip.into_std()?,
        asked,
        view: Arc::clone(&view),
        members: from_members,
        convict: members.clone(),
    })?;
    let table = settings.platform.clone();
    let table = table.map(|p| Platform::new(p, Client::default()));
    let orders = table.clone().map(|table| Orders {
        target: role.target,
        pool: role.pool.clone(),
        view,
        control: asker.clone(),
        table,
        who: format!("{life:x}-{:016x}", rand::random::<u64>()),
    });
    if let Some(orders) = orders.filter(|_| role.kind == Kind::Model) {
        tokio::spawn(orders.run());
    }
    let cx = Arc::new(Context {
        life,
        address: told,
        target: role.target,
        model: role.kind == Kind::Model,
        table,
        exchanges: serve::Exchanges::default(),
        control: asker.clone(),
    });
    let listen = peer::listen(tcp, settings.keys.clone(), members.clone(), cx);
    tokio::spawn(listen);
    tokio::spawn(feed::run(role.target, role.kind, asker.clone()));
    let up = asker.clone();
    tokio::spawn(admin::serve(
        admin,
        admin::router(move || up.health().state == State::Alive),
    ));
    ready.print();
    spdlog::info!(logger: log::sidecar(), "serving pool {} at {}", role.pool, ready.peer);

    stop_signal().await;
    asker.send(Ask::Stop);
    asker.exit().await;
    let _ = members.send(membership::Command::Quit);
    process::join_control(thread).await
}
