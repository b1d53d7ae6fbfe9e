//! Startup settings of a process.

use std::net::SocketAddr;
use std::time::Duration;

/// The function of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts and routes callers' requests.
    Entry,
    /// Runs next to an engine and orders it to load weights.
    Sidecar,
}

/// Limits that the platform guarantees or requires.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time between the stop signal and the kill of the process.
    pub grace: Duration,
    /// Time after the announcement of new weights by which no request may start on older ones.
    pub weights_deadline: Duration,
    /// Minimum time between orders of two different processes to the same engine.
    pub lease: Duration,
    /// Retries per request that all entries together may send to a pool.
    pub retry_ratio: f64,
    /// Retries allowed in addition to `retry_ratio`, for all entries together.
    pub retry_slack: f64,
    /// Length of the window in which requests and retries are counted.
    pub retry_window: Duration,
    /// Length of the window in which the use of a team's limit is counted.
    pub limit_window: Duration,
    /// Share of a team's limit by which its use in a window may exceed it.
    pub limit_overage: f64,
    /// Units by which a team's use in a window may exceed its limit, in addition.
    pub limit_slack: f64,
}

/// Settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the host.
    pub host: String,
    /// Function of the process.
    pub role: Role,
    /// Failure domain of the host.
    pub domain: String,
    /// Address on which callers connect; only entries have one.
    pub callers: Option<SocketAddr>,
    /// Address of the platform's readiness check for new connections.
    pub ready: Option<SocketAddr>,
    /// Address on which other processes of the system connect.
    pub peer: SocketAddr,
    /// Addresses of other hosts that are probably running, with the port of `peer`.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system is starting for the first time.
    pub bootstrap: bool,
    /// Address of the engine that a sidecar manages.
    pub engine: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Whether the deployment's engines run short of room at times, so that entries share it out.
    pub pressure: bool,
    /// Cost of a megabyte between failure domains, in milliseconds of a request's time to its first token; `None` if
    /// demand isn't balanced between domains.
    pub domain_cost: Option<f64>,
    /// Memory limit of the process in bytes, if it has one.
    pub memory: Option<usize>,
    /// Limit of the process's descriptors, if it has one.
    pub descriptors: Option<usize>,
    /// Bytes that may be held for callers; `None` for a part of the memory limit.
    pub caller_bytes: Option<usize>,
    /// Connections of callers that may be open; `None` for a part of the descriptors.
    pub caller_connections: Option<usize>,
    /// How long a caller may acknowledge nothing; `None` for the default.
    pub caller_unacked: Option<Duration>,
    /// How long a caller may take nothing of an answer; `None` for the default.
    pub caller_unread: Option<Duration>,
    /// Interval at which a target renews its entry in the store.
    pub heartbeat: Duration,
    /// Limits that the platform guarantees or requires.
    pub bounds: Bounds,
}
