//! One exchange from its turn in the queue to the target's last byte.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use contract::{Claim, ClaimStep, Holder};
use exchange::{events, Exchange, Queued};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use model::{Class, Code, Incarnation, Micros};
use store::{Platform, Table};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};
use tracing::Instrument;
use wire::{Head, Header, Join, Open, WireError};

use crate::clock;
use crate::log;
use crate::sidecar::ask::{Ask, Asker};
use crate::sidecar::decide::{Refusal, RunKey, Work};
use crate::sidecar::live::{Last, Live};
use crate::sidecar::serve::Exchanges;
use crate::{hop, trace};

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
/// Longest wait to learn whether an engine died: two failed calls of its feed.
const VERDICT: Duration = Duration::from_millis(400);
/// Events of a stream between two reports to control.
const PROGRESS: u64 = 4;
/// Headers that belong to one connection and aren't passed on.
const HOP: [&str; 6] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "te",
    "upgrade",
    "content-length",
];

/// What every exchange of this process shares.
#[derive(Debug)]
pub struct Context {
    /// This process's life.
    pub life: u64,
    /// Its peer address as others see it.
    pub address: SocketAddr,
    /// The target.
    pub target: SocketAddr,
    /// Whether the target streams server-sent events.
    pub model: bool,
    /// The platform's table, if there is one.
    pub table: Option<Platform>,
    /// All exchanges.
    pub exchanges: Exchanges,
    /// The control thread.
    pub control: Asker,
}

/// Runs an exchange to its end.
pub async fn run(cx: &Context, o: Open, live: &Live) {
    let ex = Exchange::new();
    let until = Instant::now() + Duration::from_millis(o.deadline);
    let enqueued = clock::now();
    let above = trace::Context::parse(&o.trace).unwrap_or_else(trace::Context::fresh);
    let queue = hop!("queue", above, above.child(), request = o.request);
    let last = tokio::select! {
        r = turn(cx, &o).instrument(queue) => match r {
            Ok(run) => {
                let slot = Slot {
                    cx,
                    run,
                    events: AtomicU64::new(0),
                };
                let hop = above.child();
                let span = hop!("target", above, hop, request = o.request);
                let running = admitted(&slot, &o, live, ex, until, enqueued, hop);
                running.instrument(span).await
            }
            Err(r) => Last::NotRun(ex.refuse(r.code, r.retry), None),
        },
        () = sleep_until(until) => Last::NotRun(ex.refuse(Code::Deadline, None), None),
        () = live.cancel.cancelled() => Last::NotRun(ex.refuse(Code::Cancelled, None), None),
    };
    live.end(last);
}

/// Waits for the request's turn.
async fn turn(cx: &Context, o: &Open) -> Result<RunKey, Refusal> {
    let (grant, granted) = oneshot::channel();
    let work = Work {
        team: o.team.clone(),
        share: o.share,
        class: Class::from_index(o.class as usize),
        chain: o.chain.iter().copied().map(model::BlockHash).collect(),
        output: o.output,
        deadline: clock::now() + Micros::from_millis(o.deadline),
        fingerprint: o.fingerprint,
        strikes: o.strikes,
        probe: o.probe,
        stream: o.stream,
    };
    cx.control.send(Ask::Enqueue { work, grant });
    let gone = Refusal {
        code: Code::Draining,
        retry: None,
    };
    let mut place = Place { cx, granted };
    (&mut place.granted).await.unwrap_or(Err(gone))
}

/// A place in the queue. Its request may end in the moment in which its turn comes; without this
/// the turn would be nobody's, and the target would have one slot less for good.
struct Place<'a> {
    cx: &'a Context,
    granted: oneshot::Receiver<Result<RunKey, Refusal>>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.granted.close();
        if let Ok(Ok(run)) = self.granted.try_recv() {
            self.cx.control.send(Ask::Finished(run, 0));
        }
    }
}

/// Has its turn: claims if it may run only once, then hands it over.
async fn admitted(
    slot: &Slot<'_>,
    o: &Open,
    live: &Live,
    ex: Exchange<Queued>,
    until: Instant,
    enqueued: Micros,
    hop: trace::Context,
) -> Last {
    let cx = slot.cx;
    let waited = clock::now().since(enqueued);
    // Connecting comes before claiming: a target that is down must not use the claim up.
    let Ok(Ok(sender)) = timeout(CONNECT, connect(cx.target)).await else {
        let soon = Some(Micros::from_secs(1));
        return Last::NotRun(ex.refuse(Code::NoTarget, soon), None);
    };
    let claim = match claimed(cx, o, until).await {
        Ok(c) => c,
        Err((r, owner)) => return Last::NotRun(ex.refuse(r.code, r.retry), owner),
    };
    // A process that was paused wakes here with a request whose caller has given up.
    if Instant::now() >= until || live.cancel.is_cancelled() {
        release(cx, claim).await;
        return Last::NotRun(ex.refuse(Code::Deadline, None), None);
    }
    let life = cx.control.health().life;
    let ex = ex.hand();
    let answer = tokio::select! {
        r = answer(slot, o, live, sender, waited, hop) => r,
        () = live.cancel.cancelled() => Err(Code::Cancelled),
        () = cx.control.lost(life) => Err(Code::TargetLost),
    };
    match answer {
        Ok(()) => Last::Done(ex.complete()),
        Err(code) => {
            let crashed = code == Code::TargetLost && died(cx, life).await;
            if crashed {
                cx.control.send(Ask::Crashed(slot.run));
            }
            spdlog::warn!(
                logger: log::sidecar(),
                "request {} ended: {code}, target died: {crashed}", o.request
            );
            Last::Failed(ex.fail(code, false, crashed))
        }
    }
}

/// Whether an engine died, rather than one connection to it. Only then does the request count as
/// one that may have killed it.
async fn died(cx: &Context, life: Incarnation) -> bool {
    if !cx.model {
        return false;
    }
    timeout(VERDICT, cx.control.lost(life)).await.is_ok()
}

/// Tells control, however the exchange ends, that its slot is free.
struct Slot<'a> {
    cx: &'a Context,
    run: RunKey,
    events: AtomicU64,
}

impl Slot<'_> {
    /// Counts an event of the stream. Control is told now and then, and not only at the end: from
    /// whole answers it would learn of a slower engine a minute late.
    fn event(&self) {
        let events = self.events.fetch_add(1, Ordering::Relaxed) + 1;
        if events.is_multiple_of(PROGRESS) {
            self.cx.control.send(Ask::Progress(self.run, PROGRESS));
        }
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let events = self.events.load(Ordering::Relaxed) % PROGRESS;
        self.cx.control.send(Ask::Finished(self.run, events));
    }
}

/// Claims a request that may run only once; `None` if it needs no claim.
async fn claimed(
    cx: &Context,
    o: &Open,
    until: Instant,
) -> Result<Option<Claim>, (Refusal, Option<Join>)> {
    if o.idempotent || o.key.is_empty() {
        return Ok(None);
    }
    let away = Refusal {
        code: Code::PlatformDown,
        retry: Some(Micros::from_secs(2)),
    };
    let Some(table) = &cx.table else {
        return Err((away, None));
    };
    let token = hex(&o.token);
    let address = cx.address.to_string();
    let holder = Holder {
        token,
        address,
        incarnation: cx.life,
        since: clock::epoch(),
        body: digest(o),
    };
    let mut claim = Claim::new(&o.team, &o.key, holder);
    let mut step = claim.start();
    loop {
        step = match step {
            ClaimStep::Call(r) => match timeout_at(until, table.call(r)).await {
                Ok(reply) => claim.step(reply),
                Err(_) => {
                    return Err((
                        Refusal {
                            code: Code::Deadline,
                            retry: None,
                        },
                        None,
                    ))
                }
            },
            ClaimStep::Ours => return Ok(Some(claim)),
            ClaimStep::Theirs(h) => {
                let r = Refusal {
                    code: Code::AlreadyAttempted,
                    retry: None,
                };
                return Err((r, h.and_then(join)));
            }
            ClaimStep::Refuse => return Err((away, None)),
        };
    }
}

/// What tells two requests with the same key apart.
fn digest(o: &Open) -> String {
    let mut h = blake3::Hasher::new();
    for part in [o.method.as_bytes(), o.path.as_bytes(), &o.body] {
        h.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    hex(&h.finalize().as_bytes()[..16])
}

async fn release(cx: &Context, claim: Option<Claim>) {
    if let (Some(table), Some(claim)) = (&cx.table, claim) {
        table.call(claim.release()).await;
    }
}

fn join(h: Holder) -> Option<Join> {
    let token = unhex(&h.token)?;
    Some(Join {
        token,
        address: h.address,
        incarnation: h.incarnation,
    })
}

async fn connect(to: SocketAddr) -> Result<SendRequest<Full<Bytes>>, WireError> {
    let tcp = TcpStream::connect(to).await?;
    tcp.set_nodelay(true)?;
    let (sender, conn) = handshake(TokioIo::new(tcp))
        .await
        .map_err(|_| WireError::Closed)?;
    tokio::spawn(conn);
    Ok(sender)
}

async fn answer(
    slot: &Slot<'_>,
    o: &Open,
    live: &Live,
    mut sender: SendRequest<Full<Bytes>>,
    waited: Micros,
    hop: trace::Context,
) -> Result<(), Code> {
    let mut req = hyper::Request::builder()
        .method(o.method.as_str())
        .uri(&o.path)
        .header("host", "target")
        .header(trace::HEADER, hop.to_string());
    for h in o.headers.iter().filter(|h| !HOP.contains(&h.name.as_str())) {
        req = req.header(&h.name, h.value.as_ref());
    }
    let req = req.body(Full::new(o.body.clone()));
    let req = req.map_err(|_| Code::BadRequest)?;
    let res = timeout(SILENCE, sender.send_request(req)).await;
    let res = res.map_err(lost)?.map_err(lost)?;
    if is_busy(slot.cx, o, &res) {
        return Err(Code::NoTarget);
    }
    if unbounded(&res) {
        return Err(Code::BadAnswer);
    }
    live.begin(head(&res, waited));
    let streamed = is_events(&res);
    body(slot, res.into_body(), live, streamed).await
}

/// Whether an engine refuses for a while what another one may take, as it does when it has just
/// begun to load other weights and its load doesn't say so yet.
fn is_busy(cx: &Context, o: &Open, res: &Response<Incoming>) -> bool {
    cx.model && o.idempotent && res.status() == StatusCode::SERVICE_UNAVAILABLE
}

async fn body(
    slot: &Slot<'_>,
    mut body: Incoming,
    live: &Live,
    streamed: bool,
) -> Result<(), Code> {
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
        if !std::mem::replace(&mut begun, true) {
            slot.cx.control.send(Ask::First(slot.run));
        }
        if !streamed {
            live.push(data).await;
            continue;
        }
        rest.extend_from_slice(&data);
        if let Some(n) = events::whole(&rest) {
            slot.event();
            let whole = rest.split_to(n).freeze();
            done = events::trimmed(&whole).ends_with(DONE);
            live.push(whole).await;
        }
    }
    // A good end of the transfer doesn't say that the answer is whole: without a length it also
    // comes when the target's process goes away or something between closes the connection. The
    // caller would take half an answer for all of it.
    let whole = match streamed {
        true if slot.cx.model => done && rest.is_empty(),
        true => rest.is_empty(),
        false => true,
    };
    whole.then_some(()).ok_or(Code::TargetLost)
}

/// Whether only the end of the connection ends the answer. Half of such an answer can't be told
/// from all of it: it ends the same way when the target's process goes away.
fn unbounded(res: &Response<Incoming>) -> bool {
    let chunked = res.headers().contains_key("transfer-encoding");
    !chunked && res.body().size_hint().exact().is_none()
}

fn lost<E>(_: E) -> Code {
    Code::TargetLost
}

fn is_events(res: &Response<Incoming>) -> bool {
    let kind = res
        .headers()
        .get("content-type")
        .and_then(|v| v.to_str().ok());
    kind.is_some_and(|k| k.starts_with("text/event-stream"))
}

fn head(res: &Response<Incoming>, waited: Micros) -> Head {
    let headers = res
        .headers()
        .iter()
        .filter(|(n, _)| !HOP.contains(&n.as_str()));
    let headers = headers.map(|(n, v)| Header {
        name: n.as_str().to_owned(),
        value: Bytes::copy_from_slice(v.as_bytes()),
    });
    Head {
        status: u32::from(res.status().as_u16()),
        headers: headers.collect(),
        waited: waited.0,
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Option<Bytes> {
    let pair = |i| u8::from_str_radix(text.get(i..i + 2)?, 16).ok();
    (0..text.len()).step_by(2).map(pair).collect()
}
