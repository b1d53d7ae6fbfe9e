//! Connections of callers: accepting, monitoring and closing them.
//!
//! The connections and what is held for them are in one account (`overload`), which closes those that are late and,
//! when it is full, those whose callers make least progress. A single task checks all connections, so that no
//! connection needs a timer. Connections of readiness checks have a few places of their own.
//!
//! A process that stops closes connections as they become idle. One that is new, or on which a head
//! arrives, gets an answer first, and so do those that the kernel has accepted.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use model::Micros;
use overload::{accept, AccountedStream, Callers, Connection, Phase, Timeouts};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};

use super::{serve, Ctx};
use crate::listener::{self, Listener};
use crate::log::{self, Event};

/// Interval between checks of all connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Least interval between log lines on connections that were closed for others.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time that the first request on a new connection may be on its way while the process stops.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);
/// Connections of readiness checks at a time; the platform has one.
const READINESS_CONNECTIONS: usize = 8;
/// Longest accepted head while there is no configuration.
const DEFAULT_MAX_HEAD: usize = 16_384;
/// Time limits while there is no configuration.
const DEFAULT_HEAD_TIMEOUT: Micros = Micros::from_secs(10);
const DEFAULT_IDLE_TIMEOUT: Micros = Micros::from_secs(60);

/// Closes idle connections, and the others once they have answered their request.
pub(super) fn close_idle(callers: &Callers) {
    callers.stop(FIRST_REQUEST_TIME);
}

/// Starts to accept connections of callers and the platform's readiness checks. The returned task accepts
/// callers until [`super::Entry::closing`].
pub(super) async fn serve(ctx: &Ctx) -> io::Result<JoinHandle<()>> {
    let (callers, ready) = {
        let s = ctx.node.settings.borrow();
        (s.callers, s.ready)
    };
    let Some(callers) = callers else {
        return Err(io::Error::other("the settings name no address for callers"));
    };
    let listener = accept::bind(callers)?;
    let callers = listener.local_addr()?;
    let mut ready_addr = callers;
    if let Some(ready) = ready.filter(|r| *r != callers) {
        let listener = accept::bind(ready)?;
        ready_addr = listener.local_addr()?;
        tokio::task::spawn_local(accept_readiness_checks(Rc::clone(ctx), listener));
    }
    log::event(&Event::Listening {
        callers: callers.to_string(),
        ready: ready_addr.to_string(),
        peer: ctx.node.settings.borrow().peer.to_string(),
    });
    let listening = tokio::task::spawn_local(accept_callers(Rc::clone(ctx), listener));
    tokio::task::spawn_local(check_connections(Rc::clone(ctx)));
    Ok(listening)
}

async fn accept_readiness_checks(ctx: Ctx, listener: TcpListener) {
    let listener = Listener::new("ready", listener, READINESS_CONNECTIONS);
    listener
        .serve(move |_| {
            let status = match is_ready(&ctx) {
                true => StatusCode::OK,
                false => StatusCode::SERVICE_UNAVAILABLE,
            };
            let mut response = Response::new(Empty::<bytes::Bytes>::new());
            *response.status_mut() = status;
            response
        })
        .await;
}

async fn accept_callers(ctx: Ctx, listener: TcpListener) {
    let mut closing = ctx.closing.subscribe();
    loop {
        tokio::select! {
            biased;
            _ = closing.wait_for(|c| *c) => break,
            (tcp, conn) = accept::accept(&listener, &ctx.callers) => handle_connection(&ctx, tcp, conn),
        }
    }
    accept::drain(listener, &ctx.callers, |tcp, conn| {
        handle_connection(&ctx, tcp, conn);
    });
}

/// Whether the process takes new connections: it has a configuration and isn't stopping.
pub(super) fn is_ready(ctx: &Ctx) -> bool {
    ctx.node.plan().is_some() && !ctx.node.stopping.get()
}

/// Closes connections whose time has run out, and reports those that were closed for others.
async fn check_connections(ctx: Ctx) {
    let mut reported: Option<Instant> = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        let limits = ctx.node.plan().map(|p| p.limits());
        ctx.callers.check(Timeouts {
            head: limits.map_or(DEFAULT_HEAD_TIMEOUT, |l| l.head_timeout.into()),
            idle: limits.map_or(DEFAULT_IDLE_TIMEOUT, |l| l.idle_timeout.into()),
            unread: ctx.callers.config().unread.into(),
        });
        if reported.is_none_or(|at| at.elapsed() >= REPORT_INTERVAL)
            && listener::report("callers", &ctx.callers)
        {
            reported = Some(Instant::now());
        }
    }
}

/// Handles a connection in a task of its own.
fn handle_connection(ctx: &Ctx, tcp: TcpStream, conn: Connection) {
    // A connection whose options can't be set has already ended.
    if let Ok(stream) = AccountedStream::new(tcp, conn.clone()) {
        tokio::task::spawn_local(drive(Rc::clone(ctx), stream, conn));
    }
}

async fn drive(ctx: Ctx, stream: AccountedStream, conn: Connection) {
    let plan = ctx.node.plan();
    let head = plan.map_or(DEFAULT_MAX_HEAD, |p| p.limits().max_head);
    let service = service_fn(|request: Request<Incoming>| {
        conn.set_phase(Phase::Work);
        // Boxed, as a connection has room for it from its beginning, and an idle one would keep that.
        Box::pin(serve::serve(Rc::clone(&ctx), conn.clone(), request))
    });
    overload::serve::serve(stream, &conn, head, service).await;
}
