//! Pool of connections to the peer ports of other processes.
//!
//! A connection carries one exchange at a time. It returns to the pool only after the last frame of
//! its exchange, so that a late frame of one request can't be taken for another's.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use futures::FutureExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use wire::{Body, Keys, Rx, Tx, WireError};

/// Longest wait for a connection and its handshake. The network delay between failure domains is
/// a few milliseconds.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of idle connections kept for one address.
const MAX_IDLE: usize = 16;

/// Connection to one peer.
#[derive(Debug)]
pub struct Connection {
    /// Sender of frames.
    pub tx: Tx,
    /// Receiver of frames.
    pub rx: Rx,
}

/// Idle connections by address.
#[derive(Debug)]
pub struct ConnectionPool {
    keys: Keys,
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl ConnectionPool {
    /// Pool without connections.
    pub fn new(keys: Keys) -> Self {
        Self {
            keys,
            idle: Mutex::default(),
        }
    }

    /// Takes an idle connection, or opens a new one.
    pub async fn take(&self, to: SocketAddr) -> Result<Connection, WireError> {
        while let Some(mut connection) = self.pop(to) {
            // The peer sends nothing on an idle connection except when it closes it.
            if connection.rx.next().now_or_never().is_none() {
                return Ok(connection);
            }
        }
        self.connect(to).await
    }

    /// Opens a new connection.
    pub async fn connect(&self, to: SocketAddr) -> Result<Connection, WireError> {
        let connect = async {
            let tcp = TcpStream::connect(to).await?;
            wire::connect(tcp, &self.keys, rand::random()).await
        };
        let (tx, rx) = timeout(CONNECT_TIMEOUT, connect)
            .await
            .map_err(|_| WireError::Closed)??;
        Ok(Connection { tx, rx })
    }

    /// Returns a connection whose exchange has ended to the pool.
    pub fn put_back(&self, to: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(to).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(connection);
        }
    }

    /// Sends one frame and receives the reply, on a connection of its own.
    pub async fn request(&self, to: SocketAddr, body: impl Into<Body>) -> Result<Body, WireError> {
        let mut connection = self.connect(to).await?;
        let exchange = async {
            connection.tx.send(body).await?;
            connection.rx.next().await
        };
        timeout(4 * CONNECT_TIMEOUT, exchange)
            .await
            .map_err(|_| WireError::Closed)?
    }

    fn pop(&self, to: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&to)?.pop()
    }
}
