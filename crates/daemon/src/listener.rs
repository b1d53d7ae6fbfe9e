//! Listeners: for callers, for administration and for other processes.
//!
//! Callers have most of the descriptors; each other listener has a few connections of its own, and closes those that
//! stay without a request.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::service::{service_fn, Service};
use hyper::Request;
use model::Micros;
use overload::{accept, AccountedStream, AnswerBody, Callers, Config, Connection, Phase, Timeouts};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{interval, sleep};
use viz::{Responder, Router, Tree};

use crate::log;

/// Name of the listener for callers, whose connections the gauges count.
pub(crate) const CALLERS: &str = "callers";
/// Connections at a time of a listener that isn't for callers.
pub(crate) const OTHER_CONNECTIONS: usize = 32;
/// Longest head.
const MAX_HEAD: usize = 16_384;
/// Interval between checks of the connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Checks between two log lines at least.
const CHECKS_PER_REPORT: u32 = 4;
/// Time that the first request on a new connection may be on its way while the process stops.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);
/// Interval between checks whether a stopping process has answered all requests.
const STOP_INTERVAL: Duration = Duration::from_millis(20);

/// Time limits of connections that aren't callers'.
pub(crate) const OTHER_TIMEOUTS: Timeouts = Timeouts {
    head: Micros::from_secs(2),
    idle: Micros::from_secs(60),
    unread: Micros::from_secs(2),
};

/// Connections of a listener that isn't for callers.
pub(crate) fn other_connections() -> Callers {
    Callers::new(Config::for_other(OTHER_CONNECTIONS))
}

/// Checks connections while the process runs, and logs those that were closed for others.
pub(crate) async fn check(name: &'static str, conns: Callers, timeouts: Timeouts) {
    let mut ticks = interval(CHECK_INTERVAL);
    for n in 0_u32.. {
        ticks.tick().await;
        conns.check(timeouts);
        if n.is_multiple_of(CHECKS_PER_REPORT) {
            report(name, &conns);
        }
    }
}

fn report(name: &str, conns: &Callers) {
    let closed = conns.take_closed();
    let usage = conns.usage();
    if name == CALLERS {
        overload::meter::set_usage(&usage);
    }
    if closed.vanished > 0 {
        let n = closed.vanished;
        spdlog::info!(logger: log::entry(), "{n} connections of {name} closed: their far ends acknowledged nothing");
    }
    if closed.evicted + closed.refused == 0 {
        return;
    }
    let (address, address_bytes) = usage.top_address.unzip();
    let (team, team_bytes) = usage.top_team.unzip();
    spdlog::warn!(
        logger: log::entry(),
        "{name} overloaded: {} connections evicted, {} refused, {} late; {} bytes held by {} connections, {} of them \
         waited for, {} idle; most by {address:?} ({address_bytes:?} bytes) and {team:?} ({team_bytes:?} bytes)",
        closed.evicted, closed.refused, closed.late, usage.bytes, usage.connections, usage.waiting, usage.idle
    );
}

/// Serves a router on a listener that isn't for callers; never returns.
pub async fn serve_other(name: &'static str, listener: TcpListener, router: Router) {
    let conns = other_connections();
    tokio::spawn(check(name, conns.clone(), OTHER_TIMEOUTS));
    let tree = Arc::new(Tree::from(router));
    loop {
        let (tcp, conn) = accept::accept(&listener, &conns).await;
        tokio::spawn(serve(tcp, conn, Arc::clone(&tree)));
    }
}

/// Serves callers until `closed`, and then what they have sent.
pub async fn serve_callers(
    listener: TcpListener,
    callers: Callers,
    router: Router,
    closed: impl Future<Output = ()>,
) {
    let tree = Arc::new(Tree::from(router));
    tokio::pin!(closed);
    loop {
        tokio::select! {
            biased;
            () = &mut closed => break,
            (tcp, conn) = accept::accept(&listener, &callers) => {
                tokio::spawn(serve(tcp, conn, Arc::clone(&tree)));
            }
        }
    }
    accept::drain(listener, &callers, |tcp, conn| {
        tokio::spawn(serve(tcp, conn, Arc::clone(&tree)));
    });
    while !callers.is_empty() {
        callers.stop(FIRST_REQUEST_TIME);
        sleep(STOP_INTERVAL).await;
    }
}

async fn serve(tcp: TcpStream, conn: Connection, tree: Arc<Tree>) {
    // A connection without an address has ended.
    let Ok(from) = tcp.peer_addr() else {
        return;
    };
    // A connection whose options can't be set has ended.
    let Ok(stream) = AccountedStream::new(tcp, conn.clone()) else {
        return;
    };
    let responder = Responder::<SocketAddr>::new(tree, Some(from));
    let service = service_fn(|mut request: Request<Incoming>| {
        conn.set_phase(Phase::Work);
        request.extensions_mut().insert(conn.clone());
        let (answer, conn) = (responder.call(request), conn.clone());
        async move {
            let mut answer = answer.await?;
            if conn.is_pressed() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, std::convert::Infallible>(answer.map(|body| AnswerBody::new(body, conn)))
        }
    });
    overload::serve::serve(stream, &conn, MAX_HEAD, service).await;
}
