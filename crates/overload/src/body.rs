//! Collecting the body of a request within the account.

use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use thiserror::Error;
use tokio::time::sleep;

use crate::account::Phase;
use crate::connection::Connection;

/// Bytes of a body that are counted with its request.
const COUNTED_BYTES: usize = 8 << 10;

/// Longest time for which the rest of a refused request's body is read.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Why a body wasn't collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The connection or the body's framing broke.
    #[error("the body was cut short")]
    Incomplete,
    /// The body is longer than allowed.
    #[error("the body is too long")]
    TooLong,
    /// There is no room for the body, or its connection is closed for others.
    #[error("too much is held for callers")]
    Full,
    /// The body hasn't arrived in time.
    #[error("the body has not arrived in time")]
    Late,
}

/// Collects a body of `max` bytes at most, which has to arrive within a time.
///
/// The bytes are copied, as frames are slices of longer buffers, and the buffer grows with what has arrived: a
/// length that is stated only takes no memory.
pub async fn collect(
    conn: &Connection,
    body: &mut Incoming,
    max: usize,
    time: Duration,
) -> Result<Bytes, BodyError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    conn.set_phase(Phase::Body);
    let collected = collect_frames(conn, body, max, time).await;
    conn.set_phase(Phase::Work);
    collected
}

async fn collect_frames(
    conn: &Connection,
    body: &mut Incoming,
    max: usize,
    time: Duration,
) -> Result<Bytes, BodyError> {
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated > max {
        return Err(BodyError::TooLong);
    }
    let longest = body.size_hint().exact().map_or(max, |_| stated);
    let mut evicted = pin!(conn.evicted());
    let mut late = pin!(sleep(time));
    let mut charge = conn.charge_content();
    let mut whole = Vec::new();
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = &mut evicted => return Err(BodyError::Full),
            () = &mut late => return Err(BodyError::Late),
        };
        let Some(frame) = frame else {
            break;
        };
        let Ok(data) = frame.map_err(|_| BodyError::Incomplete)?.into_data() else {
            continue;
        };
        let len = whole.len() + data.len();
        if len > max {
            return Err(BodyError::TooLong);
        }
        if len > whole.capacity() {
            let capacity = len.max((whole.capacity() * 2).min(longest));
            if !charge.grow(capacity.saturating_sub(COUNTED_BYTES)) {
                return Err(BodyError::Full);
            }
            whole.reserve_exact(capacity - whole.len());
        }
        whole.extend_from_slice(&data);
    }
    match conn.is_evicted() {
        true => Err(BodyError::Full),
        false => Ok(charge.hold(Bytes::from(whole))),
    }
}

/// Reads and drops what a caller still sends, so that the refusal reaches it: a connection that is closed with
/// unread bytes is reset, and the caller may lose the answer.
pub async fn discard(conn: &Connection, body: &mut Incoming) {
    if body.is_end_stream() {
        return;
    }
    conn.set_phase(Phase::Body);
    let dropped = async { while let Some(Ok(_)) = body.frame().await {} };
    // A caller that is still sending then is refused all the same.
    tokio::select! {
        () = dropped => {}
        () = conn.evicted() => {}
        () = sleep(DISCARD_TIME) => {}
    }
    conn.set_phase(Phase::Work);
}
