//! The process beside one target: the only door to it.

pub mod control;
pub mod feed;
pub mod live;
pub mod run;
pub mod serve;

use std::io;
use std::sync::Arc;

use store::{Client, Platform};

use crate::control::{bind_peer, stopped, Ready};
use crate::settings::{Kind, Settings, Sidecar};
use crate::{clock, log};
use run::Context;

/// Runs until told to stop.
pub fn run(settings: &Settings, role: &Sidecar) -> io::Result<()> {
    let traffic = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.workers)
        .enable_all()
        .build()?;
    let life = clock::life();
    let (tcp, udp) = traffic.block_on(bind_peer(settings.peer))?;
    let address = tcp.local_addr()?;
    let (asker, asked) = control::channel();
    let cx = Arc::new(Context {
        keys: settings.keys.clone(),
        life,
        address,
        target: role.target,
        model: role.kind == Kind::Model,
        table: settings
            .platform
            .clone()
            .map(|p| Platform::new(p, Client::default())),
        exchanges: serve::Exchanges::default(),
        control: asker.clone(),
    });
    let thread = control::spawn(settings, role, udp, life, asked)?;
    traffic.spawn(serve::listen(tcp, Arc::clone(&cx)));
    if role.kind == Kind::Model {
        traffic.spawn(feed::run(role.target, asker.clone()));
    }
    Ready {
        callers: None,
        peer: address,
        admin: None,
        gossip: None,
    }
    .print();
    spdlog::info!(logger: log::sidecar(), "serving pool {} at {address}", role.pool);
    traffic.block_on(stopped());
    drop(thread);
    Ok(())
}
