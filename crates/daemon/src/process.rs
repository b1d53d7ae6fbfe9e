//! What both roles need of the operating system: ports, signals, the ready line.

use std::io;
use std::net::SocketAddr;
use std::thread::JoinHandle;

use serde::Serialize;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{signal, SignalKind};

use crate::log;

/// The runtime of a process's traffic threads.
pub fn traffic_runtime(workers: usize) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(workers)
        .enable_all()
        .build()
}

/// Waits for the control thread's end, the last of a process.
pub async fn join_control(control: JoinHandle<io::Result<()>>) -> io::Result<()> {
    let ended = tokio::task::spawn_blocking(move || control.join()).await;
    spdlog::info!(logger: log::main(), "stopped");
    match ended {
        Ok(Ok(r)) => r,
        _ => Err(io::Error::other("the control thread panicked")),
    }
}

/// Waits for the signal to stop.
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

/// The addresses that a process listens on, printed as one JSON line once it does.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Ready {
    /// For callers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub callers: Option<SocketAddr>,
    /// For other processes of the fleet.
    pub peer: SocketAddr,
    /// For health, metrics and operators.
    pub admin: SocketAddr,
    /// For membership datagrams.
    pub gossip: SocketAddr,
}

impl Ready {
    /// Prints it.
    pub fn print(&self) {
        let text = serde_json::to_string(self).unwrap_or_default();
        println!("{text}");
    }
}
