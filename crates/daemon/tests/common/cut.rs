//! A proxy between two processes that closes or silences a connection after a given number of
//! frames.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::runtime::Runtime;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

/// Timeout for the answer to a datagram.
const DATAGRAM_TIMEOUT: Duration = Duration::from_secs(1);

/// The process whose frames are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The entry, which opens the connection.
    Entry,
    /// The sidecar, which accepts the connection.
    Sidecar,
}

/// What happens to the connection that is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutMode {
    /// The connection is closed.
    Break,
    /// The connection stays open, but no further frames are forwarded.
    Silent,
}

/// The next cut, after a number of frames of one side.
#[derive(Clone, Copy, Debug)]
struct NextCut {
    side: Side,
    frames_left: usize,
    mode: CutMode,
}

/// The next cut, shared by all proxies whose connections may reach it.
#[derive(Debug, Default)]
pub struct CutPlan {
    next: Mutex<Option<NextCut>>,
    /// Cancelled to close all open connections.
    open: Mutex<CancellationToken>,
}

impl CutPlan {
    /// Closes all connections; then cuts the one on which the side's frame after `frames_left`
    /// frames arrives.
    pub fn set(&self, side: Side, frames_left: usize, mode: CutMode) {
        lock(&self.open).cancel();
        *lock(&self.open) = CancellationToken::new();
        *lock(&self.next) = Some(NextCut {
            side,
            frames_left,
            mode,
        });
    }

    /// Whether the cut hasn't happened yet.
    pub fn pending(&self) -> bool {
        lock(&self.next).is_some()
    }

    /// Counts a frame; returns the kind of the cut if its connection is cut now.
    fn count(&self, side: Side) -> Option<CutMode> {
        let mut next = lock(&self.next);
        let n = next.as_mut().filter(|n| n.side == side)?;
        match n.frames_left.checked_sub(1) {
            Some(frames_left) => {
                n.frames_left = frames_left;
                None
            }
            None => next.take().map(|n| n.mode),
        }
    }
}

/// A proxy for one process; it cuts connections as planned and forwards datagrams.
pub struct CutProxy {
    pub at: SocketAddr,
    to: Arc<Mutex<Option<SocketAddr>>>,
    _run: Runtime,
}

impl CutProxy {
    /// Starts a proxy that has no destination yet.
    pub fn start(plan: &Arc<CutPlan>) -> Self {
        let run = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("runtime");
        let (tcp, udp) = run.block_on(bind());
        let at = tcp.local_addr().expect("address");
        let to = Arc::new(Mutex::new(None));
        run.spawn(forward_connections(tcp, Arc::clone(&to), Arc::clone(plan)));
        run.spawn(forward_datagrams(Arc::new(udp), Arc::clone(&to)));
        Self { at, to, _run: run }
    }

    /// Sets the destination.
    pub fn redirect(&self, to: SocketAddr) {
        *lock(&self.to) = Some(to);
    }
}

/// Binds a TCP and a UDP socket to the same port.
async fn bind() -> (TcpListener, UdpSocket) {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let at = tcp.local_addr().expect("address");
        if let Ok(udp) = UdpSocket::bind(at).await {
            return (tcp, udp);
        }
    }
}

/// The process to which a proxy forwards; none until it is set.
type Destination = Arc<Mutex<Option<SocketAddr>>>;

/// Forwards datagrams, and the answer to each.
async fn forward_datagrams(udp: Arc<UdpSocket>, to: Destination) {
    let mut buf = vec![0; 65_536];
    while let Ok((n, from)) = udp.recv_from(&mut buf).await {
        let Some(to) = *lock(&to) else { continue };
        let (request, udp) = (buf[..n].to_vec(), Arc::clone(&udp));
        tokio::spawn(async move {
            let own = UdpSocket::bind("127.0.0.1:0").await?;
            own.send_to(&request, to).await?;
            let mut answer = vec![0; 65_536];
            let received = tokio::time::timeout(DATAGRAM_TIMEOUT, own.recv(&mut answer)).await;
            if let Ok(Ok(n)) = received {
                udp.send_to(&answer[..n], from).await?;
            }
            io::Result::Ok(())
        });
    }
}

/// Accepts connections and forwards their frames until they are cut.
async fn forward_connections(tcp: TcpListener, to: Destination, plan: Arc<CutPlan>) {
    while let Ok((entry, _)) = tcp.accept().await {
        let Some(to) = *lock(&to) else { continue };
        let closed = lock(&plan.open).child_token();
        let plan = Arc::clone(&plan);
        tokio::spawn(async move {
            let sidecar = TcpStream::connect(to).await?;
            entry.set_nodelay(true)?;
            sidecar.set_nodelay(true)?;
            let (entry_in, entry_out) = entry.into_split();
            let (sidecar_in, sidecar_out) = sidecar.into_split();
            let silent = AtomicBool::new(false);
            let forwarder = |side| Forwarder {
                side,
                plan: &plan,
                silent: &silent,
            };
            tokio::select! {
                () = closed.cancelled() => {}
                _ = forwarder(Side::Entry).run(entry_in, sidecar_out) => {}
                _ = forwarder(Side::Sidecar).run(sidecar_in, entry_out) => {}
            }
            io::Result::Ok(())
        });
    }
}

/// Forwards one side's frames.
struct Forwarder<'a> {
    side: Side,
    plan: &'a CutPlan,
    silent: &'a AtomicBool,
}

impl Forwarder<'_> {
    /// Forwards frames; returns when the connection must be closed.
    async fn run(self, from: OwnedReadHalf, to: OwnedWriteHalf) -> io::Result<()> {
        let codec = || {
            LengthDelimitedCodec::builder()
                .max_frame_length(1 << 26)
                .new_codec()
        };
        let mut from = FramedRead::new(from, codec());
        let mut to = FramedWrite::new(to, codec());
        while let Some(frame) = from.next().await {
            let frame: Bytes = frame?.freeze();
            if self.silent.load(Ordering::Relaxed) {
                continue;
            }
            match self.plan.count(self.side) {
                None => to.send(frame).await?,
                Some(CutMode::Break) => return Ok(()),
                Some(CutMode::Silent) => self.silent.store(true, Ordering::Relaxed),
            }
        }
        Ok(())
    }
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}
