//! What one process is told when it starts.

use std::net::SocketAddr;
use std::time::Duration;

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Stands beside an engine and orders its weights.
    Sidecar,
}

/// Figures that the platform promises or asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// From the signal to stop until the process is killed.
    pub grace: Duration,
    /// From the naming of new weights until no request may begin on older ones.
    pub weights_deadline: Duration,
    /// How long orders of two processes to one engine stay apart.
    pub lease: Duration,
    /// Retries per request that all entries together may send to a pool.
    pub retry_ratio: f64,
    /// Retries beyond that ratio, for all entries together.
    pub retry_slack: f64,
    /// The window in which both are counted.
    pub retry_window: Duration,
}

/// Settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the host.
    pub host: String,
    /// What the process does.
    pub role: Role,
    /// Its failure domain.
    pub domain: String,
    /// Where callers connect.
    pub callers: Option<SocketAddr>,
    /// Where the platform asks whether the process takes new connections.
    pub ready: Option<SocketAddr>,
    /// Where other processes of the system reach this one.
    pub peer: SocketAddr,
    /// Hosts that are likely to be up, at the port of `peer`.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// The engine beside a sidecar.
    pub engine: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// How often a target renews its entry in the store.
    pub heartbeat: Duration,
    /// Promised figures.
    pub bounds: Bounds,
}
