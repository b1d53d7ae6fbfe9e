//! Serving HTTP on a connection until it ends or has to be closed.
//!
//! A connection that is closed for others, or late, ends at once if no answer is due on it. One whose body hasn't
//! arrived gets a refusal first, and one whose request is at a target its answer. A connection on which a
//! request has started to arrive since the decision is kept.

use std::pin::pin;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use tokio::time::{sleep_until, Instant};

use crate::account::Phase;
use crate::connection::{Cause, Connection};
use crate::stream::AccountedStream;

/// Least buffer for a head that the HTTP library accepts.
const MIN_HEAD_BUFFER: usize = 8_192;
/// Time for a refusal before a connection is closed.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Serves a connection with heads of `max_head` bytes at most.
pub async fn serve<S, B>(stream: AccountedStream, conn: &Connection, max_head: usize, service: S)
where
    S: HttpService<Incoming, ResBody = B>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let http = http1::Builder::new()
        .max_buf_size(max_head.max(MIN_HEAD_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut http = pin!(http);
    let mut close = conn.subscribe();
    let (mut handled, mut end) = (None, None);
    loop {
        let is_new = |c: &Option<_>| c.is_some() && *c != handled;
        let decided = tokio::select! {
            // Broken connections and incomplete requests end here; requests that were read completely are logged
            // elsewhere.
            _ = &mut http => return,
            () = sleep_until(end.unwrap_or_else(Instant::now)), if end.is_some() => return,
            decided = close.wait_for(is_new) => decided.ok().and_then(|c| *c),
        };
        let Some(decided) = decided else {
            return;
        };
        match (decided.cause, decided.phase, conn.phase()) {
            (Cause::Stopping, _, Phase::Head) => conn.keep(),
            (Cause::Stopping, ..) => http.as_mut().graceful_shutdown(),
            (_, Phase::New | Phase::Idle, Phase::Head | Phase::Body | Phase::Work) => conn.keep(),
            (_, Phase::Head, Phase::Work) => conn.keep(),
            (_, Phase::Head | Phase::Unread, _) => return,
            _ => {
                http.as_mut().graceful_shutdown();
                end = Some(Instant::now() + REFUSAL_TIME);
            }
        }
        handled = *close.borrow();
    }
}
