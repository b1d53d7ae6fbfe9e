//! Stand-ins for the systems around the router: model engines, plain services and the platform.
//!
//! They implement published interfaces (OpenAI-style completions with server-sent events, plain
//! HTTP and JSON) and inject faults on request. They are for development only and are not shipped.
//! Each is available as a library type that tests run in their own process, and as an example
//! program for `scripts/try` and the load tool.

pub mod cache;
pub mod call;
pub mod delayed_value;
pub mod endless;
pub mod engine;
pub mod freeze;
pub mod hosted;
pub mod link;
pub mod load;
pub mod platform;
pub mod reply;
pub mod scripted;
pub mod service;
pub mod switch;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::SystemTime;

use tokio::net::TcpListener;
use viz::Router;

use crate::freeze::{FreezableListener, FreezeSwitch};

/// Binds an address and returns the bound address and the server, which runs while awaited.
pub async fn listen(
    at: impl tokio::net::ToSocketAddrs,
    router: Router,
) -> io::Result<(SocketAddr, impl Future<Output = io::Result<()>>)> {
    listen_freezable(at, router, Arc::default()).await
}

/// Like [`listen`], with connections that `freeze_switch` can freeze.
pub async fn listen_freezable(
    at: impl tokio::net::ToSocketAddrs,
    router: Router,
    freeze_switch: Arc<FreezeSwitch>,
) -> io::Result<(SocketAddr, impl Future<Output = io::Result<()>>)> {
    let listener = TcpListener::bind(at).await?;
    let addr = listener.local_addr()?;
    let server = viz::serve(FreezableListener::new(listener, freeze_switch), router);
    Ok((addr, std::future::IntoFuture::into_future(server)))
}

/// Microseconds since 1970. Unlike a monotonic clock, comparable between the logs of several
/// processes.
pub fn micros() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |t| t.as_micros() as u64)
}

/// Locks a mutex, also if another holder of the lock has panicked.
pub(crate) fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}
