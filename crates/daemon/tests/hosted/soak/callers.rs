//! Callers that ask one request after the other on connections that they keep.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use super::world::{World, ENTRIES};
use crate::fleet;

/// How long a caller waits for an answer: its deadline, the longest trouble of its link, a pause of
/// the entry, and some room. One that takes longer has been forgotten.
const PATIENCE: Duration = Duration::from_secs(8);

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    /// The request that the answer says it belongs to.
    pub id: Option<String>,
    /// Whether a replica has signed it.
    pub signed: bool,
    pub body: Bytes,
}

/// A caller's request and what came of it.
#[derive(Debug)]
pub struct Outcome {
    pub id: String,
    pub path: &'static str,
    /// Nothing for a connection that broke.
    pub answer: Option<Answer>,
    /// Whether nothing came for longer than anything may take.
    pub forgotten: bool,
    /// What its entry logged on it, if it was forgotten.
    pub log: String,
}

/// Asks until the end.
pub async fn ask(world: Arc<World>, caller: u64, seed: u64, end: Instant) -> Vec<Outcome> {
    let mut rng = StdRng::seed_from_u64(seed * 1_000 + caller);
    let mut kept: Vec<Option<SendRequest<Full<Bytes>>>> = (0..ENTRIES).map(|_| None).collect();
    let mut outcomes = Vec::new();
    while Instant::now() < end {
        let path = ["/code/1", "/probe/1", "/log/1", "/check/1"][rng.random_range(0..4)];
        let id = format!("{caller}-{}", outcomes.len());
        let front = rng.random_range(0..ENTRIES);
        let asked = timeout(PATIENCE, once(&world, front, &mut kept[front], path, &id)).await;
        if !matches!(asked, Ok(Some(_))) {
            kept[front] = None;
        }
        let log = match &asked {
            Err(_) => world.fronts[front].host.runs().process.about(&id),
            Ok(_) => String::new(),
        };
        outcomes.push(Outcome {
            id,
            path,
            forgotten: asked.is_err(),
            log,
            answer: asked.ok().flatten(),
        });
        sleep(Duration::from_millis(rng.random_range(0..20))).await;
    }
    outcomes
}

async fn once(
    world: &World,
    front: usize,
    kept: &mut Option<SendRequest<Full<Bytes>>>,
    path: &str,
    id: &str,
) -> Option<Answer> {
    let link = &world.fronts[front].link;
    let mut send = match kept.take().filter(SendRequest::is_ready) {
        Some(s) => s,
        None => {
            let tcp = TcpStream::connect(link.addr()).await.ok()?;
            let (send, conn) = handshake(TokioIo::new(tcp)).await.ok()?;
            tokio::spawn(conn);
            send
        }
    };
    let call = fleet::request_to(link.addr(), path, id);
    let mut request = Request::builder().method(call.method).uri(path);
    for (name, value) in &call.headers {
        request = request.header(*name, value);
    }
    let request = request.body(Full::new(call.body)).expect("a request");
    let response = send.send_request(request).await.ok()?;
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let (id, signed) = (header("attempt-id"), header("response-signature").is_some());
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    *kept = Some(send);
    Some(Answer {
        status,
        id,
        signed,
        body,
    })
}
