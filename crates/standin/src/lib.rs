//! Stand-ins for what the router meets: model engines, plain services and the platform.
//!
//! They speak published forms (OpenAI-style completions with server-sent events, plain HTTP and
//! JSON) and misbehave on request. They are for development only and are not shipped; each is a
//! library function that tests can start in their own process and an example program for
//! `scripts/try` and the load tool.

pub mod cache;
pub mod engine;
pub mod platform;
pub mod reply;
pub mod service;

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use viz::Router;

/// Listens and gives the address together with the server to be awaited.
pub async fn listen(
    at: impl tokio::net::ToSocketAddrs,
    router: Router,
) -> io::Result<(SocketAddr, impl Future<Output = io::Result<()>>)> {
    let listener = TcpListener::bind(at).await?;
    let addr = listener.local_addr()?;
    Ok((
        addr,
        std::future::IntoFuture::into_future(viz::serve(listener, router)),
    ))
}
