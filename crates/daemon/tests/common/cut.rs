//! Something between two processes that breaks or silences a connection after a certain frame.

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

/// Longest wait for the answer to a datagram.
const ANSWER: Duration = Duration::from_secs(1);

/// Whose frames are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The entry's.
    Entry,
    /// The sidecar's.
    Sidecar,
}

/// What becomes of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// It is closed.
    Break,
    /// It stays open and carries nothing more.
    Silent,
}

#[derive(Clone, Copy, Debug)]
struct Next {
    side: Side,
    left: usize,
    how: How,
}

/// The next cut, shared by all places where it may come.
#[derive(Debug, Default)]
pub struct Plan {
    next: Mutex<Option<Next>>,
    all: Mutex<CancellationToken>,
}

impl Plan {
    /// Closes all connections and cuts the one on which one more than so many frames come.
    pub fn set(&self, side: Side, left: usize, how: How) {
        lock(&self.all).cancel();
        *lock(&self.all) = CancellationToken::new();
        *lock(&self.next) = Some(Next { side, left, how });
    }

    /// Whether the cut is still to come.
    pub fn pending(&self) -> bool {
        lock(&self.next).is_some()
    }

    /// Counts a frame; says how its connection is cut, if it is.
    fn count(&self, side: Side) -> Option<How> {
        let mut next = lock(&self.next);
        let n = next.as_mut().filter(|n| n.side == side)?;
        match n.left.checked_sub(1) {
            Some(left) => {
                n.left = left;
                None
            }
            None => next.take().map(|n| n.how),
        }
    }
}

/// The place where connections to one process are cut.
pub struct Cut {
    pub at: SocketAddr,
    to: Arc<Mutex<Option<SocketAddr>>>,
    _run: Runtime,
}

impl Cut {
    /// Starts one that leads nowhere yet.
    pub fn start(plan: &Arc<Plan>) -> Self {
        let run = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("runtime");
        let (tcp, udp) = run.block_on(bind());
        let at = tcp.local_addr().expect("address");
        let to = Arc::new(Mutex::new(None));
        run.spawn(connections(tcp, Arc::clone(&to), Arc::clone(plan)));
        run.spawn(datagrams(Arc::new(udp), Arc::clone(&to)));
        Self { at, to, _run: run }
    }

    /// Where it leads.
    pub fn lead(&self, to: SocketAddr) {
        *lock(&self.to) = Some(to);
    }
}

async fn bind() -> (TcpListener, UdpSocket) {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let at = tcp.local_addr().expect("address");
        if let Ok(udp) = UdpSocket::bind(at).await {
            return (tcp, udp);
        }
    }
}

type To = Arc<Mutex<Option<SocketAddr>>>;

async fn datagrams(udp: Arc<UdpSocket>, to: To) {
    let mut buf = vec![0; 65_536];
    while let Ok((n, from)) = udp.recv_from(&mut buf).await {
        let Some(to) = *lock(&to) else { continue };
        let (question, udp) = (buf[..n].to_vec(), Arc::clone(&udp));
        tokio::spawn(async move {
            let own = UdpSocket::bind("127.0.0.1:0").await?;
            own.send_to(&question, to).await?;
            let mut answer = vec![0; 65_536];
            let got = tokio::time::timeout(ANSWER, own.recv(&mut answer)).await;
            if let Ok(Ok(n)) = got {
                udp.send_to(&answer[..n], from).await?;
            }
            io::Result::Ok(())
        });
    }
}

async fn connections(tcp: TcpListener, to: To, plan: Arc<Plan>) {
    while let Ok((near, _)) = tcp.accept().await {
        let Some(to) = *lock(&to) else { continue };
        let closed = lock(&plan.all).child_token();
        let plan = Arc::clone(&plan);
        tokio::spawn(async move {
            let far = TcpStream::connect(to).await?;
            near.set_nodelay(true)?;
            far.set_nodelay(true)?;
            let (near_in, near_out) = near.into_split();
            let (far_in, far_out) = far.into_split();
            let silent = AtomicBool::new(false);
            let pump = |side| Pump {
                side,
                plan: &plan,
                silent: &silent,
            };
            tokio::select! {
                () = closed.cancelled() => {}
                _ = pump(Side::Entry).run(near_in, far_out) => {}
                _ = pump(Side::Sidecar).run(far_in, near_out) => {}
            }
            io::Result::Ok(())
        });
    }
}

/// Carries one side's frames.
struct Pump<'a> {
    side: Side,
    plan: &'a Plan,
    silent: &'a AtomicBool,
}

impl Pump<'_> {
    /// Ends when the connection is to be closed.
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
                Some(How::Break) => return Ok(()),
                Some(How::Silent) => self.silent.store(true, Ordering::Relaxed),
            }
        }
        Ok(())
    }
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}
