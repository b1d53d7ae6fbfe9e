//! HTTP to the target: one connection an exchange, its request, its answer.
//!
//! The target may die at any byte, and HTTP shows that in few places. An answer counts as whole
//! only if the target said so itself: by a length, by chunks that end, or by the event with which
//! engines end a stream. All else fails as lost, so that no caller takes half an answer for all.

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

/// Longest silence of a target within an answer. A busy engine's longest pause between two bytes
/// is its longest prefill, a few seconds.
const SILENCE: Duration = Duration::from_secs(15);
/// Longest silence within a stream that has begun. An engine that prefills others meanwhile does so
/// in pieces, between which it decodes; a connection that fell silent for good would otherwise
/// keep a caller on the line until he hangs up.
const PAUSE: Duration = Duration::from_secs(4);
/// The event with which an engine ends a stream that is whole.
const DONE: &[u8] = b"data: [DONE]";
/// Longest time to connect to the target, which runs on this host.
const CONNECT: Duration = Duration::from_millis(500);
/// Headers that belong to one connection and aren't passed on.
const HOP: [&str; 6] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "te",
    "upgrade",
    "content-length",
];

/// A connection to the target; `None` if it takes none.
pub async fn connect(to: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    timeout(CONNECT, open(to)).await.ok()?.ok()
}

async fn open(to: SocketAddr) -> Result<SendRequest<Full<Bytes>>, WireError> {
    let tcp = TcpStream::connect(to).await?;
    tcp.set_nodelay(true)?;
    let (sender, conn) = handshake(TokioIo::new(tcp))
        .await
        .map_err(|_| WireError::Closed)?;
    tokio::spawn(conn);
    Ok(sender)
}

/// Sends the request over the connection and takes the answer to its end.
pub async fn answer(job: &Job<'_>, mut sender: SendRequest<Full<Bytes>>) -> Result<(), Code> {
    let req = request(job.open, job.hop)?;
    let res = timeout(SILENCE, sender.send_request(req)).await;
    let res = res.map_err(lost)?.map_err(lost)?;
    if is_busy(job, &res) {
        return Err(Code::NoTarget);
    }
    if unbounded(&res) {
        return Err(Code::BadAnswer);
    }
    job.live.begin(head(&res, job.waited));
    let (streamed, good) = (is_events(&res), res.status().is_success());
    body(job, res.into_body(), streamed).await?;
    if good {
        job.slot.served();
    }
    Ok(())
}

fn request(o: &Open, hop: trace::Context) -> Result<Request<Full<Bytes>>, Code> {
    let mut req = Request::builder()
        .method(o.method.as_str())
        .uri(&o.path)
        .header("host", "target")
        .header(trace::HEADER, hop.to_string());
    for h in o.headers.iter().filter(|h| !HOP.contains(&h.name.as_str())) {
        req = req.header(&h.name, h.value.as_ref());
    }
    let req = req.body(Full::new(o.body.clone()));
    req.map_err(|_| Code::BadRequest)
}

/// Passes the answer on as it comes, a stream in whole events.
async fn body(job: &Job<'_>, mut body: Incoming, streamed: bool) -> Result<(), Code> {
    let mut rest = BytesMut::new();
    let mut begun = false;
    let mut done = false;
    loop {
        let limit = if begun && streamed { PAUSE } else { SILENCE };
        let frame = timeout(limit, body.frame()).await.map_err(lost)?;
        let Some(frame) = frame else { break };
        let Ok(data) = frame.map_err(lost)?.into_data() else {
            continue;
        };
        job.slot.received();
        if !std::mem::replace(&mut begun, true) {
            job.slot.first();
        }
        if !streamed {
            job.live.push(data).await;
            continue;
        }
        rest.extend_from_slice(&data);
        if let Some(n) = events::whole(&rest) {
            job.slot.event();
            let whole = rest.split_to(n).freeze();
            done = events::trimmed(&whole).ends_with(DONE);
            job.live.push(whole).await;
        }
    }
    // A good end of the transfer doesn't say that the answer is whole: without a length it also
    // comes when the target's process goes away or something between closes the connection. The
    // caller would take half an answer for all of it.
    let whole = match streamed {
        true if job.slot.cx.model => done && rest.is_empty(),
        true => rest.is_empty(),
        false => true,
    };
    whole.then_some(()).ok_or(Code::TargetLost)
}

/// Whether an engine refuses for a while what another one may take, as it does when it has just
/// begun to load other weights and its load doesn't say so yet.
fn is_busy(job: &Job<'_>, res: &Response<Incoming>) -> bool {
    job.slot.cx.model && job.open.idempotent && res.status() == StatusCode::SERVICE_UNAVAILABLE
}

/// Whether only the end of the connection ends the answer. Half of such an answer can't be told
/// from all of it: it ends the same way when the target's process goes away.
fn unbounded(res: &Response<Incoming>) -> bool {
    let chunked = res.headers().contains_key("transfer-encoding");
    !chunked && res.body().size_hint().exact().is_none()
}

fn is_events(res: &Response<Incoming>) -> bool {
    let kind = res.headers().get("content-type");
    let kind = kind.and_then(|v| v.to_str().ok());
    kind.is_some_and(|k| k.starts_with("text/event-stream"))
}

fn head(res: &Response<Incoming>, waited: Micros) -> Head {
    let all = res.headers().iter();
    let passed = all.filter(|(n, _)| !HOP.contains(&n.as_str()));
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

fn lost<E>(_: E) -> Code {
    Code::TargetLost
}
