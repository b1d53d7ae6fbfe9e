//! Listeners for the platform and for other processes.
//!
//! Each has a few connections of its own beside those of callers, and closes those that stay without a request, so
//! that none of them takes the descriptors or the memory of the process.

use std::convert::Infallible;
use std::future::ready;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use model::Micros;
use overload::{accept, AccountedStream, Callers, Config, Connection, Timeouts};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::interval;

use crate::log::{self, Event};

/// Longest head.
const MAX_HEAD: usize = 8_192;
/// Time limits of the connections.
const TIMEOUTS: Timeouts = Timeouts {
    head: Micros::from_secs(2),
    idle: Micros::from_secs(60),
    unread: Micros::from_secs(2),
};
/// Interval between checks of the connections.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A listener with its connections.
pub(crate) struct Listener {
    name: &'static str,
    listener: TcpListener,
    conns: Callers,
}

impl Listener {
    /// A listener with a name for the log, and the most connections that it may have at a time.
    pub(crate) fn new(name: &'static str, listener: TcpListener, connections: usize) -> Self {
        Self {
            name,
            listener,
            conns: Callers::new(Config::for_other(connections)),
        }
    }

    /// Passes on each connection, for as long as the process runs.
    pub(crate) async fn accept(&self, mut handle: impl FnMut(TcpStream, Connection)) {
        let mut check = interval(CHECK_INTERVAL);
        loop {
            tokio::select! {
                (tcp, conn) = accept::accept(&self.listener, &self.conns) => {
                    // A connection whose options can't be set has already ended.
                    if tcp::options::set_common(&tcp, conn.unacked()).is_ok() {
                        handle(tcp, conn);
                    }
                }
                _ = check.tick() => {
                    self.conns.check(TIMEOUTS);
                    report(self.name, &self.conns);
                }
            }
        }
    }

    /// Answers HTTP requests, whose bodies aren't read.
    pub(crate) async fn serve<B>(
        &self,
        answer: impl Fn(Request<Incoming>) -> Response<B> + Clone + 'static,
    ) where
        B: Body<Data = bytes::Bytes, Error = Infallible> + 'static,
    {
        self.accept(|tcp, conn| {
            tokio::task::spawn_local(serve_connection(tcp, conn, answer.clone()));
        })
        .await;
    }
}

async fn serve_connection<B>(
    tcp: TcpStream,
    conn: Connection,
    answer: impl Fn(Request<Incoming>) -> Response<B>,
) where
    B: Body<Data = bytes::Bytes, Error = Infallible> + 'static,
{
    // A connection whose options can't be set has already ended.
    let Ok(stream) = AccountedStream::new(tcp, conn.clone()) else {
        return;
    };
    let service = service_fn(|request| {
        let response = answer(request);
        conn.set_answered();
        ready(Ok::<_, Infallible>(response))
    });
    overload::serve::serve(stream, &conn, MAX_HEAD, service).await;
}

/// Logs how many connections were closed for others, refused or left by vanished far ends since the last report;
/// returns whether there were any.
pub(crate) fn report(listener: &str, conns: &Callers) -> bool {
    let closed = conns.take_closed();
    if closed.vanished > 0 {
        let connections = closed.vanished;
        log::event(&Event::Vanished {
            listener,
            connections,
        });
    }
    if closed.evicted + closed.refused == 0 {
        return closed.vanished > 0;
    }
    let usage = conns.usage();
    log::event(&Event::Overloaded {
        listener,
        evicted: closed.evicted,
        refused: closed.refused,
        late: closed.late,
        bytes: usage.bytes,
        connections: usage.connections,
        waiting: usage.waiting,
        idle: usage.idle,
        address: usage.top_address.map(|(a, _)| a.to_string()),
        address_bytes: usage.top_address.map(|(_, n)| n),
        team: usage.top_team.as_ref().map(|(t, _)| t.as_str()),
        team_bytes: usage.top_team.as_ref().map(|(_, n)| *n),
    });
    true
}
