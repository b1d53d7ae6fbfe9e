//! Process management that both roles share: the runtime, signals, and the ready line.

use std::io;
use std::net::SocketAddr;
use std::thread::JoinHandle;

use serde::Serialize;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{signal, SignalKind};

use crate::log;

/// Creates the runtime of the traffic threads.
pub fn traffic_runtime(workers: usize) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(workers)
        .enable_all()
        .build()
}

/// Waits for the control thread, which is the last to end.
pub async fn join_control(control: JoinHandle<io::Result<()>>) -> io::Result<()> {
    let joined = tokio::task::spawn_blocking(move || control.join()).await;
    spdlog::info!(logger: log::main(), "stopped");
    match joined {
        Ok(Ok(r)) => r,
        _ => Err(io::Error::other("the control thread panicked")),
    }
}

/// Waits for SIGTERM or SIGINT.
pub async fn stop_signal() {
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

/// Addresses that a process listens on, printed as one line of JSON once it is ready.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Ready {
    /// Address for callers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub callers: Option<SocketAddr>,
    /// Address for other processes of the fleet.
    pub peer: SocketAddr,
    /// Address for health, metrics and operators.
    pub admin: SocketAddr,
    /// Address for membership datagrams.
    pub gossip: SocketAddr,
}

impl Ready {
    /// Prints the addresses to standard output.
    pub fn print(&self) {
        let text = serde_json::to_string(self).unwrap_or_default();
        println!("{text}");
    }
}
