//! A TCP link between two ends on this machine, with the troubles of real ones.
//!
//! What is cut is held back, not lost, as by the two ends' own repeats: once the link heals, it goes
//! on where it was. A reset ends all connections of the link at once.

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

/// What is wrong with a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Each piece takes this much longer.
    Slow(Duration),
    /// Nothing reaches the far end.
    HoldUp,
    /// Nothing comes back.
    HoldDown,
    /// Nothing passes either way; new connections are taken and get no answer.
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

/// A link to one address.
#[derive(Debug)]
pub struct Link {
    addr: SocketAddr,
    to: Mutex<SocketAddr>,
    fault: watch::Sender<LinkFault>,
    resets: watch::Sender<u64>,
}

impl Link {
    /// Opens a link on a port of 127.0.0.1; it ends with the task set.
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

    /// A link that takes connections from a listener, and the task that does so.
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
            to: Mutex::new(to),
            fault: watch::channel(LinkFault::None).0,
            resets: watch::channel(0).0,
        });
        let accept = accept(Arc::clone(&link), listener);
        Ok((link, accept))
    }

    /// Where the near end connects to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// New connections go to another far end from now on.
    pub fn redirect(&self, to: SocketAddr) {
        *lock(&self.to) = to;
    }

    /// Gets into some fault, or out of it.
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.resets.send_modify(|n| *n += 1);
    }
}

async fn accept(link: Arc<Link>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        if *link.fault.borrow() == LinkFault::Refuse {
            abort(&near);
            continue;
        }
        connections.spawn(carry(Arc::clone(&link), near));
        while connections.try_join_next().is_some() {}
    }
}

/// Has the connection end with a reset instead of an orderly close.
fn abort(tcp: &TcpStream) {
    // A connection that is gone already needs no reset.
    let _ = SockRef::from(tcp).set_linger(Some(Duration::ZERO));
}

async fn carry(link: Arc<Link>, mut near: TcpStream) {
    let mut resets = link.resets.subscribe();
    let to = *lock(&link.to);
    let Ok(mut far) = TcpStream::connect(to).await else {
        abort(&near);
        return;
    };
    for tcp in [&near, &far] {
        // Only a connection that is gone refuses it.
        let _ = tcp.set_nodelay(true);
    }
    let ended = {
        let (near_in, near_out) = near.split();
        let (far_in, far_out) = far.split();
        let up = pump(&link, near_in, far_out, true);
        let down = pump(&link, far_in, near_out, false);
        tokio::select! {
            ended = async { tokio::try_join!(up, down) } => ended.is_ok(),
            _ = resets.changed() => false,
        }
    };
    if !ended {
        abort(&near);
        abort(&far);
    }
}

/// Carries bytes one way until their end.
async fn pump(
    link: &Link,
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    up: bool,
) -> io::Result<()> {
    let mut fault = link.fault.subscribe();
    let mut buffer = vec![0; 16 << 10];
    loop {
        let n = from.read(&mut buffer).await?;
        // Ends are held back like bytes.
        let held = fault.wait_for(|t| !t.holds(up)).await;
        held.map_err(io::Error::other)?;
        let now = *fault.borrow();
        if let LinkFault::Slow(delay) = now {
            sleep(delay).await;
        }
        match n {
            0 => return to.shutdown().await,
            n => to.write_all(&buffer[..n]).await?,
        }
    }
}
