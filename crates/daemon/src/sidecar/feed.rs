//! Fetches the engine's reports, the events of its cache and, on request, its list of blocks.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use model::Incarnation;
use policy::liveness::Check;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use store::{Call, Client, HttpError};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{interval, timeout};

use crate::log;
use crate::meter;
use crate::settings::Kind;
use crate::sidecar::control_channel::{ControlHandle, ControlMessage, TargetReport};

/// Interval between fetches of the report and the events; shorter than the engines' own delay.
const FETCH_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a check counts as late; also the timeout for events and the list of blocks.
const LATE_AFTER: Duration = Duration::from_millis(1_000);
/// Timeout for the engine's report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Failure of a call to the engine.
#[derive(Debug, Error)]
pub enum FeedError {
    /// The call failed.
    #[error(transparent)]
    Call(#[from] HttpError),
    /// The engine answered with an error status.
    #[error("status {0}")]
    Status(StatusCode),
    /// The answer can't be decoded.
    #[error("unreadable answer: {0}")]
    Body(#[from] serde_json::Error),
}

impl FeedError {
    /// Result of a health check that failed with this error.
    pub fn check(&self) -> Check {
        match self {
            Self::Call(e) if e.is_refused() => Check::Refused,
            _ => Check::Late,
        }
    }
}

#[derive(Deserialize)]
struct ReportBody {
    incarnation: u64,
    model: String,
    weights: String,
    #[serde(default)]
    loading: bool,
}

#[derive(Deserialize)]
struct EventsBody {
    incarnation: u64,
    next: u64,
    events: Vec<EventBody>,
}

#[derive(Deserialize)]
struct EventBody {
    seq: u64,
    #[serde(flatten)]
    kind: KindBody,
}

#[derive(Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
enum KindBody {
    Stored(BlockBody),
    Removed { hash: u64 },
    Cleared,
    Weights { version: String },
}

#[derive(Deserialize)]
struct BlockBody {
    hash: u64,
    parent: Option<u64>,
    #[serde(default)]
    scope: String,
    text: String,
}

#[derive(Deserialize)]
struct CacheBody {
    incarnation: u64,
    seq: u64,
    blocks: Vec<BlockBody>,
}

/// Fetches until the process ends. A plain service publishes nothing; only whether it accepts
/// connections shows its health.
pub async fn run(target: SocketAddr, kind: Kind, control: ControlHandle) {
    match kind {
        Kind::Model => poll_engine(target, control).await,
        Kind::Plain => poll_plain(target, control).await,
    }
}

async fn poll_plain(target: SocketAddr, control: ControlHandle) {
    let mut tick = interval(FETCH_INTERVAL);
    loop {
        tick.tick().await;
        control.send(
            match timeout(LATE_AFTER, TcpStream::connect(target)).await {
                Ok(Ok(_)) => ControlMessage::Report(TargetReport::default()),
                Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                    ControlMessage::ReportMissed(Check::Refused)
                }
                // No file descriptors left here, or a full backlog: neither shows that the target's
                // process has exited.
                _ => ControlMessage::ReportMissed(Check::Late),
            },
        );
    }
}

async fn poll_engine(target: SocketAddr, mut control: ControlHandle) {
    let mut feed = Feed {
        target,
        client: Client::default(),
        last_seq: 0,
        incarnation: 0,
    };
    let mut tick = interval(FETCH_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = tick.tick() => feed.fetch(&control).await,
            () = control.snapshot_requested() => feed.fetch_block_list(&control).await,
        }
    }
}

struct Feed {
    target: SocketAddr,
    client: Client,
    /// Sequence number of the last event received.
    last_seq: u64,
    /// Incarnation that the events belong to.
    incarnation: u64,
}

impl Feed {
    async fn fetch(&mut self, control: &ControlHandle) {
        match self.report(control).await {
            Ok(report) => control.send(ControlMessage::Report(report)),
            Err(e) => return control.send(ControlMessage::ReportMissed(e.check())),
        }
        self.fetch_events(control).await;
    }

    /// Fetches the engine's report. A late answer is waited for, because it still shows that the
    /// engine is alive.
    async fn report(&self, control: &ControlHandle) -> Result<TargetReport, FeedError> {
        let call = fetch_report(&self.client, self.target);
        tokio::pin!(call);
        loop {
            match timeout(LATE_AFTER, &mut call).await {
                Ok(report) => return report,
                Err(_) => control.send(ControlMessage::ReportMissed(Check::Late)),
            }
        }
    }

    async fn fetch_events(&mut self, control: &ControlHandle) {
        let path = format!("/events?after={}", self.last_seq);
        let Ok(e) = self.get::<EventsBody>(&path, LATE_AFTER).await else {
            return;
        };
        if e.incarnation != self.incarnation {
            // A new incarnation numbers its events from the start, so this answer may lack the
            // first ones. The next fetch gets all of them.
            let had_events = self.last_seq > 0;
            self.incarnation = e.incarnation;
            self.last_seq = 0;
            if had_events {
                return;
            }
        }
        self.last_seq = e.next;
        let incarnation = Incarnation(e.incarnation);
        let events = e.events.into_iter().map(|e| prefix::Event {
            seq: e.seq,
            incarnation,
            kind: kind(e.kind),
        });
        control.send(ControlMessage::CacheEvents(events.collect()));
    }

    async fn fetch_block_list(&mut self, control: &ControlHandle) {
        let Ok(c) = self.get::<CacheBody>("/cache", LATE_AFTER).await else {
            return;
        };
        let blocks = c.blocks.into_iter().map(block).collect();
        control.send(ControlMessage::BlockList(
            Incarnation(c.incarnation),
            c.seq,
            blocks,
        ));
    }

    async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        max_wait: Duration,
    ) -> Result<T, FeedError> {
        get(&self.client, self.target, path, max_wait).await
    }
}

/// Fetches the engine's report.
pub async fn fetch_report(client: &Client, target: SocketAddr) -> Result<TargetReport, FeedError> {
    let body: ReportBody = get(client, target, "/load", REPORT_TIMEOUT).await?;
    Ok(TargetReport {
        incarnation: Incarnation(body.incarnation),
        model: body.model,
        weights: body.weights,
        loading: body.loading,
    })
}

/// Fetches and decodes a path of the engine.
async fn get<T: DeserializeOwned>(
    client: &Client,
    target: SocketAddr,
    path: &str,
    max_wait: Duration,
) -> Result<T, FeedError> {
    let call = Call::new(Method::GET, format!("http://{target}{path}"), max_wait);
    let answer = match client.call(call).await {
        Ok((StatusCode::OK, body)) => serde_json::from_slice(&body).map_err(FeedError::from),
        Ok((status, _)) => Err(FeedError::Status(status)),
        Err(e) => Err(e.into()),
    };
    if let Err(e) = &answer {
        metrics::counter!(meter::FEED_FAULTS, "path" => without_query(path)).increment(1);
        spdlog::debug!(logger: log::sidecar(), "target {target}{path}: {e}");
    }
    answer
}

/// The path without its query.
fn without_query(path: &str) -> String {
    path.split('?').next().unwrap_or_default().to_owned()
}

fn kind(k: KindBody) -> prefix::Kind {
    match k {
        KindBody::Stored(b) => prefix::Kind::Stored(block(b)),
        KindBody::Removed { hash } => prefix::Kind::Removed { hash },
        KindBody::Cleared => prefix::Kind::Cleared,
        KindBody::Weights { version } => prefix::Kind::Weights { version },
    }
}

fn block(b: BlockBody) -> prefix::Block {
    prefix::Block {
        hash: b.hash,
        parent: b.parent,
        scope: b.scope,
        text: Bytes::from(b.text),
    }
}
