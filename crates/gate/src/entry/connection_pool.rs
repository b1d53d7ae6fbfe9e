//! Kept connections to one target.
//!
//! A kept connection may have been closed at the other end without this one knowing. What is sent on
//! it then is lost, and nobody can tell whether it ran. So a connection is used only while it is
//! younger than the target's own limit by a margin, and for what must not run twice only right after
//! its last use.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// A target's limit if it tells none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Part of a target's limit up to which a connection is used.
const MAX_IDLE_SHARE: f64 = 0.6;
/// Longest idle time of a connection for what must not run twice.
const MAX_IDLE_NON_REPEATABLE: Duration = Duration::from_millis(1_500);
/// Connections kept for a target at most; an entry seldom has more requests at one target at once.
const MAX_CONNECTIONS: usize = 32;

/// A connection to a target; it ends with this value.
#[derive(Debug)]
pub(super) struct Connection {
    /// Sends requests on it.
    pub(super) send: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    idle_timeout: Duration,
    last_used: Instant,
}

impl Connection {
    /// A new connection that a task drives.
    pub(super) fn new(send: SendRequest<Full<Bytes>>, task: AbortHandle) -> Self {
        Self {
            send,
            task,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            last_used: Instant::now(),
        }
    }

    /// Takes over the target's own limit.
    pub(super) fn set_idle_timeout(&mut self, idle_timeout: Duration) {
        self.idle_timeout = idle_timeout;
    }

    fn is_reusable(&self, non_repeatable: bool) -> bool {
        let max_idle = match non_repeatable {
            true => self
                .idle_timeout
                .mul_f64(MAX_IDLE_SHARE)
                .min(MAX_IDLE_NON_REPEATABLE),
            false => self.idle_timeout.mul_f64(MAX_IDLE_SHARE),
        };
        self.last_used.elapsed() < max_idle && self.send.is_ready()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Kept connections, the one used last at the end.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool(Vec<Connection>);

impl ConnectionPool {
    /// A connection fit for a request, if there is one.
    pub(super) fn take(&mut self, non_repeatable: bool) -> Option<Connection> {
        self.0.retain(|c| c.is_reusable(false));
        let last = self.0.last()?;
        match last.is_reusable(non_repeatable) {
            true => self.0.pop(),
            false => None,
        }
    }

    /// Keeps a connection whose answer has ended.
    pub(super) fn keep(&mut self, mut connection: Connection) {
        if self.0.len() < MAX_CONNECTIONS && !connection.send.is_closed() {
            connection.last_used = Instant::now();
            self.0.push(connection);
        }
    }

    /// Ends all of them.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}
