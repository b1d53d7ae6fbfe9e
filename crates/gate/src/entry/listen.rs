//! Connections of callers: accepting, monitoring and closing them.
//!
//! A connection is new, idle, receives a head or is busy. Idle connections are closed after the
//! configured idle timeout, and connections on which a head takes too long are closed too; neither
//! may happen to a request whose head has been read. A single task checks all connections, so that
//! no connection needs a timer.
//!
//! A process that stops closes connections as they become idle. One that is new, or on which a head
//! arrives, gets an answer first, and so do those that the kernel has accepted.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use platform::call::{set_unacked_timeout, UNACKED_TIMEOUT};
use slab::Slab;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};

use super::{serve, Ctx};
use crate::log::{self, Event};

/// Interval between checks of all connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time that the first request on a new connection may be on its way while the process stops.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);
/// Longest time for which a caller may leave its window closed.
const MAX_PATIENCE: Duration = Duration::from_secs(600);
/// Least buffer for a head that the HTTP library accepts.
const MIN_HEAD_BUFFER: usize = 8_192;
/// Longest accepted head while there is no configuration.
const DEFAULT_MAX_HEAD: usize = 16_384;

/// Phase of a connection.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Without a request since it was opened at the given time.
    New(Instant),
    /// Idle since the given time.
    Idle(Instant),
    /// Receiving the head of a request since the given time.
    Arriving(Instant),
    /// Reading the body of a request or answering it.
    Busy,
}

/// State of a connection that is shared with the task that checks all of them.
#[derive(Debug)]
pub(super) struct ConnectionState {
    phase: Cell<Phase>,
    close: Notify,
    /// How long the caller may leave its window closed.
    patience: Cell<Duration>,
}

impl ConnectionState {
    /// Records that the head of a request has been received.
    pub(super) fn set_busy(&self) {
        self.phase.set(Phase::Busy);
    }

    /// Keeps the connection for as long as its caller waits, although the caller may read slowly.
    pub(super) fn keep_for(&self, wait: Duration) {
        let wait = (wait + UNACKED_TIMEOUT).min(MAX_PATIENCE);
        self.patience.set(self.patience.get().max(wait));
    }

    /// Records that an answer has ended.
    pub(super) fn set_idle(&self) {
        self.phase.set(Phase::Idle(Instant::now()));
    }
}

/// All connections of callers.
#[derive(Debug, Default)]
pub(super) struct CallerConnections(Slab<Rc<ConnectionState>>);

impl CallerConnections {
    /// Whether there are no connections.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Closes idle connections, and the others once they have answered their request.
    pub(super) fn close_idle(&self) {
        for (_, c) in &self.0 {
            let close = match c.phase.get() {
                Phase::New(since) => since.elapsed() > FIRST_REQUEST_TIME,
                Phase::Arriving(_) => false,
                Phase::Idle(_) | Phase::Busy => true,
            };
            if close {
                c.close.notify_one();
            }
        }
    }

    /// Closes connections that have been idle, or receiving a head, for too long.
    fn close_late(&self, limits: site::Limits) {
        for (_, c) in &self.0 {
            let late = match c.phase.get() {
                Phase::New(since) | Phase::Idle(since) => since.elapsed() > limits.idle_timeout,
                Phase::Arriving(since) => since.elapsed() > limits.head_timeout,
                Phase::Busy => false,
            };
            if late {
                c.close.notify_one();
            }
        }
    }
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
    let listener = TcpListener::bind(callers).await?;
    let callers = listener.local_addr()?;
    let mut ready_addr = callers;
    if let Some(ready) = ready.filter(|r| *r != callers) {
        let listener = TcpListener::bind(ready).await?;
        ready_addr = listener.local_addr()?;
        tokio::task::spawn_local(accept_readiness_checks(Rc::clone(ctx), listener));
    }
    log::event(&Event::Listening {
        callers: callers.to_string(),
        ready: ready_addr.to_string(),
        peer: ctx.node.settings.borrow().peer.to_string(),
    });
    let listening = tokio::task::spawn_local(accept_callers(Rc::clone(ctx), listener));
    tokio::task::spawn_local(close_late_connections(Rc::clone(ctx)));
    Ok(listening)
}

/// Accepts a connection and sets its options.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            // A connection whose options can't be set has already ended.
            Ok((tcp, _)) if set_options(&tcp).is_ok() => return tcp,
            Ok(_) => {}
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

fn set_options(tcp: &TcpStream) -> io::Result<()> {
    platform::call::enable_dead_peer_detection(tcp)?;
    platform::call::bound_buffers(tcp)
}

async fn accept_readiness_checks(ctx: Ctx, listener: TcpListener) {
    loop {
        let tcp = accept(&listener).await;
        tokio::task::spawn_local(serve_readiness(Rc::clone(&ctx), tcp));
    }
}

async fn accept_callers(ctx: Ctx, listener: TcpListener) {
    let mut closing = ctx.closing.subscribe();
    loop {
        tokio::select! {
            biased;
            _ = closing.wait_for(|c| *c) => break,
            tcp = accept(&listener) => handle_connection(&ctx, tcp),
        }
    }
    // The kernel would reset the connections in the backlog.
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((tcp, _)) = listener.accept() {
        let tcp = tcp
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(tcp));
        if let Ok(tcp) = tcp.and_then(|t| set_options(&t).map(|()| t)) {
            handle_connection(&ctx, tcp);
        }
    }
}

async fn serve_readiness(ctx: Ctx, tcp: TcpStream) {
    let answer = service_fn(|_: Request<Incoming>| {
        let status = match is_ready(&ctx) {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = Response::new(Empty::<bytes::Bytes>::new());
        *response.status_mut() = status;
        async move { Ok::<_, Infallible>(response) }
    });
    // A failed readiness check is repeated by the platform.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(tcp), answer)
        .await;
}

/// Whether the process takes new connections: it has a configuration and isn't stopping.
pub(super) fn is_ready(ctx: &Ctx) -> bool {
    ctx.node.plan().is_some() && !ctx.node.stopping.get()
}

async fn close_late_connections(ctx: Ctx) {
    loop {
        sleep(CHECK_INTERVAL).await;
        if let Some(plan) = ctx.node.plan() {
            ctx.connections.borrow().close_late(plan.limits());
        }
    }
}

fn is_head_late(ctx: &Ctx, since: Instant) -> bool {
    let plan = ctx.node.plan();
    plan.is_some_and(|p| since.elapsed() > p.limits().head_timeout)
}

/// Handles a connection in a task of its own.
fn handle_connection(ctx: &Ctx, tcp: TcpStream) {
    let state = Rc::new(ConnectionState {
        phase: Cell::new(Phase::New(Instant::now())),
        close: Notify::new(),
        patience: Cell::new(UNACKED_TIMEOUT),
    });
    let key = ctx.connections.borrow_mut().0.insert(Rc::clone(&state));
    let ctx = Rc::clone(ctx);
    tokio::task::spawn_local(async move {
        drive(&ctx, tcp, &state).await;
        ctx.connections.borrow_mut().0.remove(key);
    });
}

async fn drive(ctx: &Ctx, tcp: TcpStream, state: &Rc<ConnectionState>) {
    let io = TokioIo::new(MonitoredStream {
        tcp,
        patience: UNACKED_TIMEOUT,
        state: Rc::clone(state),
    });
    let head = ctx
        .node
        .plan()
        .map_or(DEFAULT_MAX_HEAD, |p| p.limits().max_head);
    let service = service_fn(|request| {
        state.set_busy();
        serve::serve(Rc::clone(ctx), Rc::clone(state), request)
    });
    let conn = http1::Builder::new()
        .max_buf_size(head.max(MIN_HEAD_BUFFER))
        .serve_connection(io, service);
    let mut conn = pin!(conn);
    loop {
        tokio::select! {
            // Broken connections and incomplete requests end here; the end of a request that was
            // read completely is logged elsewhere.
            _ = &mut conn => return,
            () = state.close.notified() => match state.phase.get() {
                Phase::Arriving(since) if is_head_late(ctx, since) => return,
                // The head began to arrive after the decision to close an idle connection.
                Phase::Arriving(_) => {}
                Phase::New(_) | Phase::Idle(_) | Phase::Busy => conn.as_mut().graceful_shutdown(),
            }
        }
    }
}

/// A caller's connection that records when a head begins to arrive, and is kept while its caller waits.
struct MonitoredStream {
    tcp: TcpStream,
    /// Time for which the kernel keeps the connection while the caller's window is closed.
    patience: Duration,
    state: Rc<ConnectionState>,
}

impl MonitoredStream {
    /// The connection, for writing.
    fn writer(&mut self) -> Pin<&mut TcpStream> {
        let patience = self.state.patience.get();
        // A connection whose options can't be set has ended, as the write shows.
        if patience > self.patience && set_unacked_timeout(&self.tcp, patience).is_ok() {
            self.patience = patience;
        }
        Pin::new(&mut self.tcp)
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.tcp).poll_read(cx, buf);
        if buf.filled().len() > before
            && matches!(self.state.phase.get(), Phase::New(_) | Phase::Idle(_))
        {
            self.state.phase.set(Phase::Arriving(Instant::now()));
        }
        polled
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.writer().poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.writer().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }
}
