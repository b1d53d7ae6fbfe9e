//! The sidecar: the process beside one target, through which all requests to the target pass.
//!
//! Exchanges arrive in `serve`. `run` takes each one through the queue (`slot`), its claim if it
//! may run only once (`claim`), and the call to the target (`target`). The thread in `control` runs
//! the `scheduler`, which decides when a request is dispatched; it receives the target's state from
//! `feed` and messages from traffic through `control_channel`. `weight_loader` orders the engine to
//! load other weights.

pub mod active_exchange;
pub mod claim;
pub mod control;
pub mod control_channel;
pub mod crash_report_updates;
pub mod engine_work;
pub mod feed;
pub mod probe;
pub mod run;
pub mod scheduler;
pub mod serve;
pub mod slot;
pub mod target;
pub mod weight_loader;

use std::io;
use std::sync::Arc;

use policy::liveness::State;
use store::{Client, Platform};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::listener;
use crate::membership::{self, LocalMember};
use crate::process::{self, stop_signal, Ready};
use crate::settings::{Kind, Settings, Sidecar};
use crate::{admin, clock, log, peer};
use control::Start;
use control_channel::ControlMessage;
use run::Context;
use weight_loader::WeightLoader;

/// Runs until the process is told to stop and all exchanges have ended.
pub fn run(settings: &Settings, role: &Sidecar) -> io::Result<()> {
    let start = start(settings.clone(), role.clone());
    process::traffic_runtime(settings.workers)?.block_on(start)
}

async fn start(settings: Settings, role: Sidecar) -> io::Result<()> {
    let incarnation = clock::incarnation();
    let (tcp, probes) = wire::bind_both(settings.peer).await?;
    let gossip = UdpSocket::bind(settings.gossip).await?;
    let admin = overload::accept::bind(settings.admin)?;
    let ready = Ready {
        callers: None,
        peer: tcp.local_addr()?,
        admin: admin.local_addr()?,
        gossip: gossip.local_addr()?,
    };
    let announced = settings.announce.unwrap_or(ready.peer);
    let (mut control, endpoint) = control_channel::channel();
    let (member_sender, member_requests) = mpsc::unbounded_channel();
    let view = membership::empty_view();
    let thread = control::spawn(Start {
        me: LocalMember {
            role: fleet::Role::Sidecar,
            peer: announced,
            admin: Some(ready.admin),
            pool: Some(role.pool.clone()),
            incarnation,
        },
        settings: settings.clone(),
        role: role.clone(),
        probe_socket: probes.into_std()?,
        gossip_socket: gossip.into_std()?,
        endpoint,
        view: Arc::clone(&view),
        member_requests,
        member_sender: member_sender.clone(),
    })?;
    let table = settings.platform.clone();
    let table = table.map(|p| Platform::new(p, Client::default()));
    let loader = table.clone().map(|table| WeightLoader {
        host: announced.ip(),
        target: role.target,
        pool: role.pool.clone(),
        view,
        control: control.clone(),
        table,
        process: format!("{incarnation:x}-{:016x}", rand::random::<u64>()),
    });
    if let Some(loader) = loader.filter(|_| role.kind == Kind::Model) {
        tokio::spawn(loader.run());
    }
    let cx = Arc::new(Context {
        incarnation,
        address: announced,
        target: role.target,
        is_model: role.kind == Kind::Model,
        table,
        exchanges: serve::Exchanges::default(),
        control: control.clone(),
    });
    let listener = peer::listen(tcp, settings.keys.clone(), member_sender.clone(), cx);
    tokio::spawn(listener);
    tokio::spawn(feed::run(role.target, role.kind, control.clone()));
    let health_source = control.clone();
    tokio::spawn(listener::serve_other(
        "admin",
        admin,
        admin::router(move || health_source.health().state == State::Alive),
    ));
    ready.print();
    spdlog::info!(logger: log::sidecar(), "serving pool {} at {}", role.pool, ready.peer);

    stop_signal().await;
    control.send(ControlMessage::Stop);
    control.until_may_exit().await;
    let _ = member_sender.send(membership::Command::Quit);
    process::join_control(thread).await
}
