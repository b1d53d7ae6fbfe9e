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
const LIMIT: Duration = Duration::from_secs(4);
/// Part of a target's limit up to which a connection is used.
const PART: f64 = 0.6;
/// Longest idle time of a connection for what must not run twice.
const FRESH: Duration = Duration::from_millis(1_500);
/// Connections kept for a target at most; an entry seldom has more requests at one target at once.
const MOST: usize = 32;

/// A connection to a target; it ends with this value.
#[derive(Debug)]
pub(super) struct Upstream {
    /// Sends requests on it.
    pub(super) send: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    limit: Duration,
    used: Instant,
}

impl Upstream {
    /// A new connection that a task drives.
    pub(super) fn new(send: SendRequest<Full<Bytes>>, task: AbortHandle) -> Self {
        Self {
            send,
            task,
            limit: LIMIT,
            used: Instant::now(),
        }
    }

    /// Takes over the target's own limit.
    pub(super) fn limit(&mut self, limit: Duration) {
        self.limit = limit;
    }

    fn fresh(&self, once: bool) -> bool {
        let limit = match once {
            true => self.limit.mul_f64(PART).min(FRESH),
            false => self.limit.mul_f64(PART),
        };
        self.used.elapsed() < limit && self.send.is_ready()
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Kept connections, the one used last at the end.
#[derive(Debug, Default)]
pub(super) struct Idle(Vec<Upstream>);

impl Idle {
    /// A connection fit for a request, if there is one.
    pub(super) fn take(&mut self, once: bool) -> Option<Upstream> {
        self.0.retain(|u| u.fresh(false));
        let last = self.0.last()?;
        match last.fresh(once) {
            true => self.0.pop(),
            false => None,
        }
    }

    /// Keeps a connection whose answer has ended.
    pub(super) fn keep(&mut self, mut upstream: Upstream) {
        if self.0.len() < MOST && !upstream.send.is_closed() {
            upstream.used = Instant::now();
            self.0.push(upstream);
        }
    }

    /// Ends all of them.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}
