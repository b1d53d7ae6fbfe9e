//! A listener whose open connections can be made silent.
//!
//! Something between the two ends has lost track of a connection: both sides think that it
//! stands, but no byte arrives any more, while new connections work. A frozen connection takes
//! what is written to it and forgets it, and never hands up what the other end sends.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

use crate::lock;

/// Bytes that a frozen connection throws away at a time.
const SCRAP: usize = 4_096;

/// The switch that freezes connections.
#[derive(Debug, Default)]
pub struct Gate {
    freezes: AtomicU64,
    spared: Mutex<Option<SocketAddr>>,
}

impl Gate {
    /// Freezes every connection that is open now, but for that of a peer who is spared: whoever
    /// orders the freeze waits for an answer.
    pub fn freeze(&self, spared: Option<SocketAddr>) {
        *lock(&self.spared) = spared;
        self.freezes.fetch_add(1, Ordering::Relaxed);
    }

    fn freezes(&self) -> u64 {
        self.freezes.load(Ordering::Relaxed)
    }
}

/// A listener with a gate.
#[derive(Debug)]
pub struct Gated {
    inner: TcpListener,
    gate: Arc<Gate>,
}

impl Gated {
    /// Puts a gate before a listener.
    pub fn new(inner: TcpListener, gate: Arc<Gate>) -> Self {
        Self { inner, gate }
    }
}

impl viz::Listener for Gated {
    type Io = GatedStream;
    type Addr = SocketAddr;

    async fn accept(&self) -> io::Result<(GatedStream, SocketAddr)> {
        let (inner, peer) = self.inner.accept().await?;
        inner.set_nodelay(true)?;
        let gate = Arc::clone(&self.gate);
        let born = gate.freezes();
        let stream = GatedStream {
            inner,
            peer,
            gate,
            born,
        };
        Ok((stream, peer))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }
}

/// A connection that its gate may freeze.
#[derive(Debug)]
pub struct GatedStream {
    inner: TcpStream,
    peer: SocketAddr,
    gate: Arc<Gate>,
    born: u64,
}

impl GatedStream {
    fn frozen(&self) -> bool {
        self.gate.freezes() > self.born && *lock(&self.gate.spared) != Some(self.peer)
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.frozen() {
            let mut scrap = [0; SCRAP];
            let mut into = ReadBuf::new(&mut scrap);
            ready!(Pin::new(&mut self.inner).poll_read(cx, &mut into))?;
            if into.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.frozen() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.frozen() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
