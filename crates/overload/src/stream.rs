//! A caller's connection, with what it sends and receives recorded in the account.
//!
//! While a caller doesn't take what is sent to it, nothing more is read from it, so that requests which are sent
//! without reading the answers wait in the kernel's buffer of the caller.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use tcp::{options, Watch};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

use crate::connection::{Charge, Connection};

/// Longest time for which bytes are dropped at the end of a connection.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Bytes that are dropped at once, and how often before other tasks have their turn.
const DROPPED_AT_ONCE: usize = 4 << 10;
const DROPS_PER_POLL: usize = 16;

/// A caller's connection.
#[derive(Debug)]
pub struct AccountedStream {
    tcp: TcpStream,
    conn: Connection,
    /// Whether the last write found no room.
    blocked: bool,
    /// What is read ahead of the caller meanwhile.
    unread: Option<Charge>,
    /// Whether the caller still acknowledges.
    watch: Watch,
    /// Bytes that it has acknowledged.
    acked: u64,
    /// Time for which a kernel that ends the connection itself keeps it while the caller's window is closed.
    patience: Duration,
    /// End of the time in which bytes are dropped at the end of the connection.
    linger: Option<Pin<Box<Sleep>>>,
}

impl AccountedStream {
    /// Wraps a connection.
    ///
    /// # Errors
    ///
    /// If the connection has ended.
    pub fn new(tcp: TcpStream, conn: Connection) -> io::Result<Self> {
        let limits = conn.liveness();
        Ok(Self {
            watch: Watch::new(&tcp, "caller", limits)?,
            acked: 0,
            patience: limits.unacked,
            tcp,
            conn,
            blocked: false,
            unread: None,
            linger: None,
        })
    }

    /// Checks whether the caller still acknowledges, if it is time to.
    fn check(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        match self.watch.poll(cx, &self.tcp) {
            Ok(Some(acks)) => {
                let progress = acks.acked > self.acked;
                self.acked = acks.acked;
                self.conn.record_acked(progress, acks.unsent > 0);
            }
            Ok(None) => {}
            Err(e) => {
                if e.kind() == io::ErrorKind::TimedOut {
                    self.conn.record_vanished();
                }
                return Err(e);
            }
        }
        Ok(())
    }

    /// The connection, for writing.
    fn writer(&mut self) -> Pin<&mut TcpStream> {
        if self.watch.is_left_to_kernel() {
            let patience = self.conn.patience();
            // A connection whose options can't be set has ended, as the write shows.
            if patience > self.patience && options::set_user_timeout(&self.tcp, patience).is_ok() {
                self.patience = patience;
            }
        }
        Pin::new(&mut self.tcp)
    }

    fn record_write(&mut self, polled: &Poll<io::Result<usize>>) {
        match polled {
            Poll::Ready(Ok(n)) => {
                self.conn.record(false, *n);
                self.watch.record_sent();
                if std::mem::take(&mut self.blocked) {
                    self.conn.set_blocked(false);
                }
                self.unread = None;
            }
            Poll::Pending if !self.blocked => {
                self.blocked = true;
                self.conn.set_blocked(true);
                self.conn.record_blocked();
                self.unread = Some(self.conn.charge_unread());
            }
            Poll::Pending | Poll::Ready(Err(_)) => {}
        }
    }
}

impl AsyncRead for AccountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(cx)?;
        // The task is woken once the caller takes more, and reads again then. While a request is in progress, its
        // caller may leave.
        if self.blocked && !self.conn.is_serving() {
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.tcp).poll_read(cx, buf);
        match buf.filled().len() - before {
            0 => {}
            n => self.conn.record(true, n),
        }
        polled
    }
}

impl AsyncWrite for AccountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = self.writer().poll_write(cx, buf);
        self.record_write(&polled);
        self.check(cx)?;
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check(cx)?;
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    /// Ends what is sent, waits while the caller has no room for it, and drops what has been received or still
    /// arrives: the kernel resets a connection that is closed with unread bytes, and the caller may lose the answer.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.tcp).poll_shutdown(cx))?;
        self.watch.record_sent();
        self.check(cx)?;
        if self.watch.unsent(&self.tcp) > 0 {
            return Poll::Pending;
        }
        let mut dropped = [0; DROPPED_AT_ONCE];
        for _ in 0..DROPS_PER_POLL {
            let mut buf = ReadBuf::new(&mut dropped);
            match Pin::new(&mut self.tcp).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {}
                Poll::Ready(_) => return Poll::Ready(Ok(())),
                Poll::Pending if self.linger.is_none() => return Poll::Ready(Ok(())),
                Poll::Pending => break,
            }
            self.linger
                .get_or_insert_with(|| Box::pin(sleep(LINGER_TIME)));
        }
        let Some(linger) = &mut self.linger else {
            return Poll::Ready(Ok(()));
        };
        ready!(linger.as_mut().poll(cx));
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = self.writer().poll_write_vectored(cx, bufs);
        self.record_write(&polled);
        self.check(cx)?;
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }
}

impl Drop for AccountedStream {
    fn drop(&mut self) {
        if !self.watch.is_left_to_kernel() {
            options::probe_rarely(&self.tcp);
        }
    }
}
