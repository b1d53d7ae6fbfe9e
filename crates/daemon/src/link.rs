//! Connections to other processes' peer ports, kept for reuse.
//!
//! A connection carries one exchange at a time and comes back only after the exchange's last
//! frame, so that a late frame of one request can't be read as another's.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use futures::FutureExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use wire::{Body, Keys, Rx, Tx, WireError};

/// Longest wait for a connection and its handshake; failure domains are milliseconds apart.
pub const CONNECT: Duration = Duration::from_millis(500);
/// Idle connections kept to one address.
const IDLE: usize = 16;

/// A connection to one peer.
#[derive(Debug)]
pub struct Link {
    /// Sends frames.
    pub tx: Tx,
    /// Receives frames.
    pub rx: Rx,
}

/// Idle connections by address.
#[derive(Debug)]
pub struct Pool {
    keys: Keys,
    idle: Mutex<HashMap<SocketAddr, Vec<Link>>>,
}

impl Pool {
    /// No connections yet.
    pub fn new(keys: Keys) -> Self {
        Self {
            keys,
            idle: Mutex::default(),
        }
    }

    /// An idle connection, or else a new one.
    pub async fn take(&self, to: SocketAddr) -> Result<Link, WireError> {
        while let Some(mut link) = self.pop(to) {
            // Anything to read on an idle connection is its end.
            if link.rx.next().now_or_never().is_none() {
                return Ok(link);
            }
        }
        self.fresh(to).await
    }

    /// A new connection.
    pub async fn fresh(&self, to: SocketAddr) -> Result<Link, WireError> {
        let dial = async {
            let tcp = TcpStream::connect(to).await?;
            wire::connect(tcp, &self.keys, rand::random()).await
        };
        let (tx, rx) = timeout(CONNECT, dial)
            .await
            .map_err(|_| WireError::Closed)??;
        Ok(Link { tx, rx })
    }

    /// Returns a connection whose exchange has ended.
    pub fn give(&self, to: SocketAddr, link: Link) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let links = idle.entry(to).or_default();
        if links.len() < IDLE {
            links.push(link);
        }
    }

    /// One question and its answer on a connection of its own.
    pub async fn ask(&self, to: SocketAddr, body: impl Into<Body>) -> Result<Body, WireError> {
        let mut link = self.fresh(to).await?;
        let both = async {
            link.tx.send(body).await?;
            link.rx.next().await
        };
        timeout(4 * CONNECT, both)
            .await
            .map_err(|_| WireError::Closed)?
    }

    fn pop(&self, to: SocketAddr) -> Option<Link> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&to)?.pop()
    }
}
