//! Stand-ins for what the router meets: model engines, plain services and the platform.
//!
//! They speak published forms (OpenAI-style completions with server-sent events, plain HTTP and
//! JSON) and misbehave on request. They are for development only and are not shipped; each is a
//! library function that tests can start in their own process and an example program for
//! `scripts/try` and the load tool.

pub mod cache;
pub mod call;
pub mod delayed_value;
pub mod engine;
pub mod freeze;
pub mod hosted;
pub mod link;
pub mod load;
pub mod platform;
pub mod reply;
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

/// Listens and gives the address together with the server to be awaited.
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

/// Microseconds since 1970; the clock that logs of several processes share.
pub fn micros() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |t| t.as_micros() as u64)
}

/// Locks, also after another holder has panicked.
pub(crate) fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}
