//! A TCP proxy on this machine that injects the faults of real network links.
//!
//! Bytes are held back, not lost, just as TCP retransmits lost segments: once the fault is over,
//! they are delivered. A reset ends all connections of the link at once. A silenced connection stays
//! open and delivers nothing more, while new connections work.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::lock;

/// A fault of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// Each chunk of bytes is delayed by this much.
    Slow(Duration),
    /// Bytes towards the far end are held back.
    HoldUp,
    /// Bytes towards the near end are held back.
    HoldDown,
    /// Bytes are held back both ways; new connections are accepted but get no answer.
    HoldBoth,
    /// New connections are reset.
    Refuse,
}

impl LinkFault {
    fn holds(self, up: bool) -> bool {
        match self {
            Self::HoldUp => up,
            Self::HoldDown => !up,
            Self::HoldBoth => true,
            Self::None | Self::Slow(_) | Self::Refuse => false,
        }
    }
}

/// A link to one far end.
#[derive(Debug)]
pub struct Link {
    addr: SocketAddr,
    far_addr: Mutex<SocketAddr>,
    fault: watch::Sender<LinkFault>,
    resets: watch::Sender<u64>,
    silences: watch::Sender<u64>,
}

impl Link {
    /// Starts a link on a port of 127.0.0.1; it ends when the task set is dropped.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start(to: SocketAddr) -> io::Result<(Arc<Self>, JoinSet<()>)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (link, accept) = Self::from_listener(listener, to)?;
        let mut tasks = JoinSet::new();
        tasks.spawn(accept);
        Ok((link, tasks))
    }

    /// A link for the connections of a listener, and the task that accepts them.
    ///
    /// # Errors
    ///
    /// If the listener has no address.
    pub fn from_listener(
        listener: TcpListener,
        to: SocketAddr,
    ) -> io::Result<(Arc<Self>, impl Future<Output = ()>)> {
        let link = Arc::new(Self {
            addr: listener.local_addr()?,
            far_addr: Mutex::new(to),
            fault: watch::channel(LinkFault::None).0,
            resets: watch::channel(0).0,
            silences: watch::channel(0).0,
        });
        let accept = accept(Arc::clone(&link), listener);
        Ok((link, accept))
    }

    /// The address that the near end connects to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Connects new connections to another far end from now on.
    pub fn redirect(&self, to: SocketAddr) {
        *lock(&self.far_addr) = to;
    }

    /// Sets the fault of the link, or ends it with [`LinkFault::None`].
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.resets.send_modify(|n| *n += 1);
    }

    /// Leaves all connections open without delivering any more bytes on them.
    pub fn silence(&self) {
        self.silences.send_modify(|n| *n += 1);
    }
}

async fn accept(link: Arc<Link>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        if *link.fault.borrow() == LinkFault::Refuse {
            reset_on_close(&near);
            continue;
        }
        connections.spawn(forward(Arc::clone(&link), near));
        while connections.try_join_next().is_some() {}
    }
}

/// Makes the connection end with a reset instead of an orderly close.
fn reset_on_close(tcp: &TcpStream) {
    // The call fails only on a closed connection, which needs no reset.
    let _ = SockRef::from(tcp).set_linger(Some(Duration::ZERO));
}

async fn forward(link: Arc<Link>, mut near: TcpStream) {
    let mut resets = link.resets.subscribe();
    let mut silences = link.silences.subscribe();
    let to = *lock(&link.far_addr);
    let Ok(mut far) = TcpStream::connect(to).await else {
        reset_on_close(&near);
        return;
    };
    for tcp in [&near, &far] {
        // The call fails only on a closed connection.
        let _ = tcp.set_nodelay(true);
    }
    let ended = {
        let (near_in, near_out) = near.split();
        let (far_in, far_out) = far.split();
        let up = copy_bytes(&link, near_in, far_out, true);
        let down = copy_bytes(&link, far_in, near_out, false);
        tokio::select! {
            ended = async { tokio::try_join!(up, down) } => Some(ended.is_ok()),
            _ = resets.changed() => Some(false),
            _ = silences.changed() => None,
        }
    };
    let ended = match ended {
        Some(ended) => ended,
        None => resets.changed().await.is_err(),
    };
    if !ended {
        reset_on_close(&near);
        reset_on_close(&far);
    }
}

/// Forwards bytes one way until the sender closes.
async fn copy_bytes(
    link: &Link,
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    up: bool,
) -> io::Result<()> {
    let mut fault = link.fault.subscribe();
    let mut buffer = vec![0; 16 << 10];
    loop {
        let n = from.read(&mut buffer).await?;
        // The close of a connection is held back like its bytes.
        let released = fault.wait_for(|f| !f.holds(up)).await;
        released.map_err(io::Error::other)?;
        let current = *fault.borrow();
        if let LinkFault::Slow(delay) = current {
            sleep(delay).await;
        }
        match n {
            0 => return to.shutdown().await,
            n => to.write_all(&buffer[..n]).await?,
        }
    }
}
