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
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections kept to one address.
const IDLE: usize = 16;

/// A connection to one peer.
#[derive(Debug)]
pub struct Connection {
    /// Sends frames.
    pub tx: Tx,
    /// Receives frames.
    pub rx: Rx,
}

/// Idle connections by address.
#[derive(Debug)]
pub struct ConnectionPool {
    keys: Keys,
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl ConnectionPool {
    /// No connections yet.
    pub fn new(keys: Keys) -> Self {
        Self {
            keys,
            idle: Mutex::default(),
        }
    }

    /// An idle connection, or else a new one.
    pub async fn take(&self, to: SocketAddr) -> Result<Connection, WireError> {
        while let Some(mut link) = self.pop(to) {
            // Anything to read on an idle connection is its end.
            if link.rx.next().now_or_never().is_none() {
                return Ok(link);
            }
        }
        self.connect(to).await
    }

    /// A new connection.
    pub async fn connect(&self, to: SocketAddr) -> Result<Connection, WireError> {
        let dial = async {
            let tcp = TcpStream::connect(to).await?;
            wire::connect(tcp, &self.keys, rand::random()).await
        };
        let (tx, rx) = timeout(CONNECT_TIMEOUT, dial)
            .await
            .map_err(|_| WireError::Closed)??;
        Ok(Connection { tx, rx })
    }

    /// Returns a connection whose exchange has ended.
    pub fn put_back(&self, to: SocketAddr, link: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let links = idle.entry(to).or_default();
        if links.len() < IDLE {
            links.push(link);
        }
    }

    /// One question and its answer on a connection of its own.
    pub async fn request(&self, to: SocketAddr, body: impl Into<Body>) -> Result<Body, WireError> {
        let mut link = self.connect(to).await?;
        let both = async {
            link.tx.send(body).await?;
            link.rx.next().await
        };
        timeout(4 * CONNECT_TIMEOUT, both)
            .await
            .map_err(|_| WireError::Closed)?
    }

    fn pop(&self, to: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&to)?.pop()
    }
}
