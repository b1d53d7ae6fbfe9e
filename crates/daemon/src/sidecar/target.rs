//! HTTP to the target: one connection per exchange, the request and its answer.
//!
//! The target may crash at any byte, and HTTP shows a truncated answer only in some cases. An
//! answer counts as complete only if the target marked its end: by a length, by chunks that end, or
//! by the event with which engines end a stream. All other answers count as lost, so that no caller
//! takes part of an answer for all of it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use exchange::events;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use model::{Code, Micros};
use tokio::net::TcpStream;
use tokio::time::timeout;
use wire::{Head, Header, Open, WireError};

use crate::sidecar::run::Job;
use crate::trace;

/// Longest time without a byte before and within an answer. The longest pause of a busy engine
/// between two bytes is its longest prefill, a few seconds.
const ANSWER_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest time without a byte within a stream. An engine that prefills other prompts meanwhile
/// does so in pieces and decodes between them, so its pauses are short. A connection that has
/// failed silently would otherwise keep a caller waiting until they hang up.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Most bytes of an incomplete event that are kept; events have some hundred bytes.
const MAX_EVENT: usize = 1 << 20;
/// The event with which an engine ends a complete stream.
const FINAL_EVENT: &[u8] = b"data: [DONE]";
/// Timeout for connecting to the target, which runs on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Headers of a single connection, which are not passed on.
const HOP_HEADERS: [&str; 6] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "te",
    "upgrade",
    "content-length",
];

/// Connects to the target; `None` if it accepts no connection.
pub async fn connect(to: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    timeout(CONNECT_TIMEOUT, try_connect(to)).await.ok()?.ok()
}

async fn try_connect(to: SocketAddr) -> Result<SendRequest<Full<Bytes>>, WireError> {
    let tcp = TcpStream::connect(to).await?;
    tcp.set_nodelay(true)?;
    let (sender, conn) = handshake(TokioIo::new(tcp))
        .await
        .map_err(|_| WireError::Closed)?;
    tokio::spawn(conn);
    Ok(sender)
}

/// Sends the request and forwards the answer to its end.
pub async fn forward(job: &Job<'_>, mut sender: SendRequest<Full<Bytes>>) -> Result<(), Code> {
    let req = request(job.open, job.hop)?;
    let res = timeout(ANSWER_IDLE_TIMEOUT, sender.send_request(req)).await;
    let res = res.map_err(target_lost)?.map_err(target_lost)?;
    if is_busy(job, &res) {
        return Err(Code::NoTarget);
    }
    if ends_on_close(&res) || !is_final(&res) {
        return Err(Code::BadAnswer);
    }
    job.active.set_head(answer_head(&res, job.waited));
    let (is_stream, is_success) = (is_event_stream(&res), res.status().is_success());
    forward_body(job, res.into_body(), is_stream).await?;
    if is_success {
        job.slot.record_success();
    }
    Ok(())
}

fn request(open: &Open, hop: trace::Context) -> Result<Request<Full<Bytes>>, Code> {
    let mut req = Request::builder()
        .method(open.method.as_str())
        .uri(&open.path)
        .header("host", "target")
        .header(trace::HEADER, hop.to_string());
    for h in open
        .headers
        .iter()
        .filter(|h| !HOP_HEADERS.contains(&h.name.as_str()))
    {
        req = req.header(&h.name, h.value.as_ref());
    }
    let req = req.body(Full::new(open.body.clone()));
    req.map_err(|_| Code::BadRequest)
}

/// Forwards the answer as it arrives; a stream is split between events.
async fn forward_body(job: &Job<'_>, mut body: Incoming, is_stream: bool) -> Result<(), Code> {
    let mut buffered = BytesMut::new();
    let mut started = false;
    let mut final_event_seen = false;
    loop {
        let limit = if started && is_stream {
            STREAM_IDLE_TIMEOUT
        } else {
            ANSWER_IDLE_TIMEOUT
        };
        let frame = timeout(limit, body.frame()).await.map_err(target_lost)?;
        let Some(frame) = frame else { break };
        let Ok(data) = frame.map_err(target_lost)?.into_data() else {
            continue;
        };
        job.slot.record_byte();
        if !std::mem::replace(&mut started, true) {
            job.slot.first_byte();
        }
        if !is_stream {
            job.active.push(data).await;
            continue;
        }
        buffered.extend_from_slice(&data);
        if let Some(n) = events::whole(&buffered) {
            job.slot.record_event();
            let events = buffered.split_to(n).freeze();
            final_event_seen = events::trimmed(&events).ends_with(FINAL_EVENT);
            job.active.push(events).await;
        }
        if buffered.len() > MAX_EVENT {
            return Err(Code::TargetLost);
        }
    }
    // A regular end of the transfer doesn't show that the answer is complete: without a length the
    // transfer also ends regularly when the target's process exits or a proxy closes the
    // connection. The caller would take part of the answer for all of it.
    let complete = match is_stream {
        true if job.slot.cx.is_model => final_event_seen && buffered.is_empty(),
        true => buffered.is_empty(),
        false => true,
    };
    complete.then_some(()).ok_or(Code::TargetLost)
}

/// Whether the engine refuses a request for now that another engine may accept. This happens when
/// it has just started to load other weights and its report doesn't show the load yet.
fn is_busy(job: &Job<'_>, res: &Response<Incoming>) -> bool {
    job.slot.cx.is_model && job.open.idempotent && res.status() == StatusCode::SERVICE_UNAVAILABLE
}

/// Whether only the end of the connection ends the answer. A truncated answer can't be
/// distinguished from a complete one then, since the connection also ends when the target's process
/// exits.
fn ends_on_close(res: &Response<Incoming>) -> bool {
    let chunked = res.headers().contains_key("transfer-encoding");
    !chunked && res.body().size_hint().exact().is_none()
}

/// Whether the status is a final one of HTTP; anything else is no answer.
fn is_final(res: &Response<Incoming>) -> bool {
    (200..600).contains(&res.status().as_u16())
}

fn is_event_stream(res: &Response<Incoming>) -> bool {
    let kind = res.headers().get("content-type");
    let kind = kind.and_then(|v| v.to_str().ok());
    kind.is_some_and(|k| k.starts_with("text/event-stream"))
}

fn answer_head(res: &Response<Incoming>, waited: Micros) -> Head {
    let all = res.headers().iter();
    let passed = all.filter(|(n, _)| !HOP_HEADERS.contains(&n.as_str()));
    let headers = passed.map(|(n, v)| Header {
        name: n.as_str().to_owned(),
        value: Bytes::copy_from_slice(v.as_bytes()),
    });
    Head {
        status: u32::from(res.status().as_u16()),
        headers: headers.collect(),
        waited: waited.0,
    }
}

fn target_lost<E>(_: E) -> Code {
    Code::TargetLost
}
