//! A listener whose open connections can be frozen, as when a device between the two ends loses
//! track of a connection.
//!
//! Both ends of a frozen connection still consider it established, but no byte arrives any more,
//! while new connections work. A frozen connection accepts and discards what is written to it, and
//! never delivers what the other end sends.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

use crate::lock;

/// Most bytes discarded from a frozen connection in one read.
const DISCARD_BYTES: usize = 4_096;

/// Freezes the open connections of a listener.
#[derive(Debug, Default)]
pub struct FreezeSwitch {
    freezes: AtomicU64,
    except: Mutex<Option<SocketAddr>>,
}

impl FreezeSwitch {
    /// Freezes every connection that is open now, except that of one peer: the caller that requests
    /// the freeze waits for the response on its own connection.
    pub fn freeze(&self, except: Option<SocketAddr>) {
        *lock(&self.except) = except;
        self.freezes.fetch_add(1, Ordering::Relaxed);
    }

    fn freezes(&self) -> u64 {
        self.freezes.load(Ordering::Relaxed)
    }
}

/// A listener whose connections can be frozen.
#[derive(Debug)]
pub struct FreezableListener {
    inner: TcpListener,
    freeze_switch: Arc<FreezeSwitch>,
}

impl FreezableListener {
    /// Wraps a listener.
    pub fn new(inner: TcpListener, freeze_switch: Arc<FreezeSwitch>) -> Self {
        Self {
            inner,
            freeze_switch,
        }
    }
}

impl viz::Listener for FreezableListener {
    type Io = FreezableStream;
    type Addr = SocketAddr;

    async fn accept(&self) -> io::Result<(FreezableStream, SocketAddr)> {
        let (inner, peer) = self.inner.accept().await?;
        inner.set_nodelay(true)?;
        let freeze_switch = Arc::clone(&self.freeze_switch);
        let freezes_at_accept = freeze_switch.freezes();
        let stream = FreezableStream {
            inner,
            peer,
            freeze_switch,
            freezes_at_accept,
        };
        Ok((stream, peer))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }
}

/// A connection that can be frozen.
#[derive(Debug)]
pub struct FreezableStream {
    inner: TcpStream,
    peer: SocketAddr,
    freeze_switch: Arc<FreezeSwitch>,
    freezes_at_accept: u64,
}

impl FreezableStream {
    fn is_frozen(&self) -> bool {
        self.freeze_switch.freezes() > self.freezes_at_accept
            && *lock(&self.freeze_switch.except) != Some(self.peer)
    }
}

impl AsyncRead for FreezableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.is_frozen() {
            let mut buffer = [0; DISCARD_BYTES];
            let mut discarded = ReadBuf::new(&mut buffer);
            ready!(Pin::new(&mut self.inner).poll_read(cx, &mut discarded))?;
            if discarded.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for FreezableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_frozen() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_frozen() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
