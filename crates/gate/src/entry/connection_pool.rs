//! Idle connections to one target; `policy::connection_reuse` decides how long they are used.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use policy::connection_reuse::max_idle;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Idle timeout assumed for a target that doesn't state one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of idle connections per target; an entry rarely has more requests at one target
/// at once.
const MAX_CONNECTIONS: usize = 32;

/// A connection to a target. Dropping it closes the connection.
#[derive(Debug)]
pub(super) struct Connection {
    /// Sends requests on the connection.
    pub(super) send: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    idle_timeout: Duration,
    opened: Instant,
    last_used: Instant,
}

impl Connection {
    /// Creates a connection that is driven by the task.
    pub(super) fn new(send: SendRequest<Full<Bytes>>, task: AbortHandle) -> Self {
        Self {
            send,
            task,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            opened: Instant::now(),
            last_used: Instant::now(),
        }
    }

    /// When the connection was opened.
    pub(super) fn opened(&self) -> Instant {
        self.opened
    }

    /// Sets the idle timeout that the target states.
    pub(super) fn set_idle_timeout(&mut self, idle_timeout: Duration) {
        self.idle_timeout = idle_timeout;
    }

    fn is_reusable(&self, may_rerun: bool) -> bool {
        let max_idle: Duration = max_idle(self.idle_timeout.into(), may_rerun).into();
        self.last_used.elapsed() < max_idle && self.send.is_ready()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections, the most recently used last.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool(Vec<Connection>);

impl ConnectionPool {
    /// Takes a connection that can be used for the request, if there is one.
    pub(super) fn take(&mut self, may_rerun: bool) -> Option<Connection> {
        self.0.retain(|c| c.is_reusable(true));
        let last = self.0.last()?;
        match last.is_reusable(may_rerun) {
            true => self.0.pop(),
            false => None,
        }
    }

    /// Returns a connection to the pool after its answer has ended.
    pub(super) fn keep(&mut self, mut connection: Connection) {
        if self.0.len() < MAX_CONNECTIONS && !connection.send.is_closed() {
            connection.last_used = Instant::now();
            self.0.push(connection);
        }
    }

    /// Adds a connection on which nothing has been sent. Its idle time counts from its opening, as it
    /// does at the target: a request that is sent just before the target closes it ends unknown.
    pub(super) fn keep_unused(&mut self, connection: Connection) {
        if self.0.len() < MAX_CONNECTIONS && !connection.send.is_closed() {
            let at = self
                .0
                .partition_point(|c| c.last_used <= connection.last_used);
            self.0.insert(at, connection);
        }
    }

    /// Closes all connections.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}
