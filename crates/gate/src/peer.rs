//! Exchange of the store's rows between processes, for processes that can't reach the store.
//!
//! The store may refuse some hosts and serve the others. A process that gets no answer from the
//! store queries other processes for rows newer than its own, so that it still receives a new
//! configuration or the revocation of an API key. Entries also query other entries for the list of
//! targets: without that, an entry cut off from the store continued to send requests to engines
//! that had crashed, 30 attempts each in 12 s. Rows are passed on as they were read, with their
//! versions.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use model::Micros;
use platform::{Position, Row, Rows};
use prost::Message;
use rand::seq::IteratorRandom;
use site::{Boot, Target};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::listener::Listener;
use crate::log::{self, Event};
use crate::meter;
use crate::node::{OperatorRow, SharedNode, Source};
use crate::target_list::TargetList;

/// Pause between two rounds of queries. Several rounds fit into the time within which every process
/// must have a new configuration.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);
/// Number of processes queried per round, since some of them may not reach the store either.
const PEERS_PER_ROUND: usize = 3;
/// Timeout of a query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(250);
/// Age up to which a list of targets is passed on. Entries read the list every four seconds while
/// other entries confirm that it is unchanged.
const MAX_LIST_AGE: Micros = Micros::from_millis(5_000);
/// Connections of other processes at a time; each lasts for one query.
const CONNECTIONS: usize = 32;
/// Maximum size of an answer in bytes; the maximum size of a configuration is 4 MB.
const MAX_ANSWER: usize = 8 << 20;
/// Maximum size of a query in bytes, which names the operator's rows. All connections may send one at a time.
const MAX_QUERY: usize = 256 << 10;

/// Query for rows newer than those that the querying process has.
#[derive(Clone, PartialEq, Message)]
struct Request {
    /// Versions of the querying process's rows, by key.
    #[prost(map = "string, uint64", tag = "1")]
    versions: HashMap<String, u64>,
    /// Eras of those versions, by key.
    #[prost(map = "string, uint64", tag = "4")]
    eras: HashMap<String, u64>,
    /// Whether the query is for the list of targets instead.
    #[prost(bool, tag = "2")]
    targets: bool,
    /// Version at which the querying process last read the list of targets; 0 to get the whole
    /// list.
    #[prost(uint64, tag = "5")]
    after: u64,
    /// Era of the version in `after`.
    #[prost(uint64, tag = "6")]
    after_era: u64,
    /// If not empty, the query is for the rows of the targets at this address instead.
    #[prost(string, tag = "3")]
    target: String,
}

impl Request {
    /// Position from which changes of the list of targets are requested; `None` for the whole list.
    fn position(&self) -> Option<Position> {
        (self.after > 0).then(|| Position::new(self.after_era, self.after))
    }
}

/// Answer to a [`Request`].
#[derive(Clone, PartialEq, Message)]
struct Reply {
    /// Rows of the operator's table or of the list of targets, depending on the request.
    #[prost(message, repeated, tag = "1")]
    rows: Vec<ReplyRow>,
    /// Milliseconds since the list of targets was read.
    #[prost(uint64, tag = "2")]
    age_ms: u64,
    /// Newest version in the store when the list of targets was read; 0 without a list.
    #[prost(uint64, tag = "3")]
    version: u64,
    /// Era of that version.
    #[prost(uint64, tag = "6")]
    era: u64,
    /// Whether `rows` contains only the changes since the position in the request, not the whole
    /// list.
    #[prost(bool, tag = "7")]
    changes: bool,
    /// Whether a delegate of the requested engine has reported.
    #[prost(bool, tag = "4")]
    delegated: bool,
    /// Milliseconds since a delegate's last report, or since the start of the answering process.
    #[prost(uint64, tag = "5")]
    quiet_ms: u64,
}

/// A row of the store with its position.
#[derive(Clone, PartialEq, Message)]
struct ReplyRow {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(bytes = "bytes", tag = "3")]
    value: Bytes,
    #[prost(uint64, tag = "4")]
    era: u64,
    /// Whether the row was deleted.
    #[prost(bool, tag = "5")]
    gone: bool,
}

impl ReplyRow {
    fn new(key: &str, at: Position, value: Bytes) -> Self {
        Self {
            key: key.to_owned(),
            version: at.version,
            era: at.era,
            value,
            gone: false,
        }
    }

    /// Converts a row of the list of targets.
    fn from_list(row: &Row) -> Self {
        Self {
            gone: row.value.is_none(),
            ..Self::new(&row.key, row.at, row.value.clone().unwrap_or_default())
        }
    }

    fn at(&self) -> Position {
        Position::new(self.era, self.version)
    }
}

impl Reply {
    /// Position at which the list of targets was read.
    fn position(&self) -> Position {
        Position::new(self.era, self.version)
    }
}

/// Why a query has failed.
#[derive(Debug, Error)]
enum PeerError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("malformed message: {0}")]
    Malformed(#[from] prost::DecodeError),
    #[error("the connection was closed")]
    Ended,
    #[error("no answer within the time limit")]
    Timeout,
}

/// Messages of a connection, of `max` bytes at most.
fn framed(tcp: TcpStream, max: usize) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(max)
        .new_codec();
    Framed::new(tcp, codec)
}

/// Answers queries of other processes.
pub fn serve(node: &SharedNode, listener: TcpListener) {
    let node = Rc::clone(node);
    let listener = Listener::new("peers", listener, CONNECTIONS);
    tokio::task::spawn_local(async move {
        listener
            .accept(|tcp, conn| {
                let node = Rc::clone(&node);
                tokio::task::spawn_local(async move {
                    let answer = timeout(ROUND_INTERVAL * 4, answer(&node, tcp));
                    // After a failure the querying process queries another one.
                    tokio::select! {
                        answered = answer => if let Ok(Err(PeerError::Io(e))) = answered {
                            record_bad_query(&e);
                        },
                        () = conn.evicted() => {}
                    }
                });
            })
            .await;
    });
}

/// Counts queries that are too long.
fn record_bad_query(e: &io::Error) {
    if e.kind() == io::ErrorKind::InvalidData {
        meter::increment(meter::BAD_UPDATES, "reason", "query");
    }
}

/// Answers one request on a connection.
async fn answer(node: &SharedNode, tcp: TcpStream) -> Result<(), PeerError> {
    let mut frames = framed(tcp, MAX_QUERY);
    let message = frames.next().await.ok_or(PeerError::Ended)??;
    let request = Request::decode(message)?;
    let reply = match request.target.parse() {
        Ok(addr) => target_rows_at(node, addr),
        Err(_) if request.targets => list_reply(node, request.position()),
        Err(_) => newer_rows(node, &request),
    };
    frames.codec_mut().set_max_frame_length(MAX_ANSWER);
    frames.send(Bytes::from(reply.encode_to_vec())).await?;
    Ok(())
}

/// The operator's rows that are newer than those of the querying process.
fn newer_rows(node: &SharedNode, request: &Request) -> Reply {
    let cluster = node.cluster.borrow();
    let of = |map: &HashMap<String, u64>, key: &String| map.get(key).copied().unwrap_or_default();
    let known = |key: &String| Position::new(of(&request.eras, key), of(&request.versions, key));
    let rows = cluster
        .operator_rows
        .iter()
        .filter(|(k, r)| r.at > known(k));
    Reply {
        rows: rows
            .map(|(key, row)| ReplyRow::new(key, row.at, row.value.clone()))
            .collect(),
        ..Reply::default()
    }
}

/// The rows of the targets at an address, if the list of targets is recent.
fn target_rows_at(node: &SharedNode, addr: SocketAddr) -> Reply {
    let cluster = node.cluster.borrow();
    let now = node.now();
    let list = cluster.targets.as_ref();
    let recent_list = list.filter(|l| now.since(l.at) < MAX_LIST_AGE);
    // Decoding thousands of rows for each sidecar that starts would take too long, so rows that
    // don't contain the address are skipped first.
    let text = addr.to_string();
    let mentions_addr = |r: &&Row| {
        let value = r.value.as_deref().unwrap_or_default();
        value.windows(text.len()).any(|w| w == text.as_bytes())
    };
    let rows = recent_list
        .into_iter()
        .flat_map(TargetList::rows)
        .filter(mentions_addr);
    let mut rows: Vec<_> = rows.map(ReplyRow::from_list).collect();
    // Another writer may have written rows of unknown pools.
    let knows = |pool: &str| cluster.plan.as_ref().is_none_or(|p| p.pool(pool).is_some());
    rows.retain(|r| parse_target(r).is_some_and(|t| t.addr == addr && knows(&t.pool)));
    let last_report = cluster.delegate_reports.get(&addr).copied();
    Reply {
        rows,
        delegated: last_report.is_some(),
        quiet_ms: now.since(last_report.unwrap_or_default()).as_millis(),
        ..Reply::default()
    }
}

/// Parses a row of the list of targets; `None` if it is malformed.
fn parse_target(row: &ReplyRow) -> Option<Target> {
    platform::directory::decode_target(&row.key, row.at(), &row.value).ok()
}

/// The list of targets, if it is recent. Contains only the changes if those since the position
/// `after` are known.
fn list_reply(node: &SharedNode, after: Option<Position>) -> Reply {
    let cluster = node.cluster.borrow();
    let age = |list: &TargetList| node.now().since(list.at);
    let Some(list) = cluster.targets.as_ref().filter(|l| age(l) < MAX_LIST_AGE) else {
        return Reply::default();
    };
    let changes = after.and_then(|after| list.since(after));
    Reply {
        changes: changes.is_some(),
        rows: match changes {
            Some(rows) => rows.map(ReplyRow::from_list).collect(),
            None => list.rows().map(ReplyRow::from_list).collect(),
        },
        age_ms: age(list).as_millis(),
        version: list.position.version,
        era: list.position.era,
        ..Reply::default()
    }
}

/// List of targets received from another process.
#[derive(Debug)]
pub struct FetchedList {
    /// When the list was read from the store, on this process's clock.
    pub at: Micros,
    /// All rows, or only those that have changed.
    pub rows: Rows,
    /// Whether `rows` contains only changes.
    pub changes: bool,
}

/// Queries some other entries for the list of targets and returns the newest one.
pub async fn fetch_target_list(
    node: &SharedNode,
    entries: impl IntoIterator<Item = SocketAddr>,
) -> Option<FetchedList> {
    let peers = entries
        .into_iter()
        .choose_multiple(&mut rand::rng(), PEERS_PER_ROUND);
    let own = {
        let cluster = node.cluster.borrow();
        cluster.targets.as_ref().map(|l| l.position)
    };
    let own = own.unwrap_or_default();
    let request = Request {
        targets: true,
        after: own.version,
        after_era: own.era,
        ..Request::default()
    };
    let queries = peers
        .into_iter()
        .map(|a| timeout(QUERY_TIMEOUT, query(a, &request)));
    let replies = futures::future::join_all(queries).await;
    // Failures aren't logged here; the queries for the operator's rows log such failures.
    let replies = replies.into_iter().filter_map(|t| t.ok()?.ok());
    let newest = replies.max_by_key(Reply::position)?;
    let at = node.now() - Micros::from_millis(newest.age_ms);
    let position = newest.position();
    let row = |r: ReplyRow| Row {
        at: r.at(),
        key: r.key,
        value: (!r.gone).then_some(r.value),
    };
    let rows = Rows {
        rows: newest.rows.into_iter().map(row).collect(),
        at: position,
        clock_ms: 0,
    };
    (position.version > 0).then_some(FetchedList {
        at,
        rows,
        changes: newest.changes,
    })
}

/// What entries have reported about the engine of a sidecar.
#[derive(Debug, Default)]
pub struct EngineInfo {
    /// Incarnation of the engine in a recent list of targets.
    pub boot: Option<Boot>,
    /// For how long no entry has acted for the engine.
    pub quiet: Option<Micros>,
}

/// Queries some entries about the engine at an address.
pub async fn fetch_engine_info(node: &SharedNode, addr: SocketAddr) -> EngineInfo {
    let entries: Vec<_> = {
        let cluster = node.cluster.borrow();
        let entries = cluster.entries();
        entries.choose_multiple(&mut rand::rng(), PEERS_PER_ROUND)
    };
    let request = Request {
        target: addr.to_string(),
        ..Request::default()
    };
    let queries = entries
        .into_iter()
        .map(|a| timeout(QUERY_TIMEOUT, query(a, &request)));
    let answers = futures::future::join_all(queries).await;
    // The next round selects other entries in place of those that don't answer.
    let answers: Vec<_> = answers.into_iter().filter_map(|a| a.ok()?.ok()).collect();
    let rows = answers
        .iter()
        .flat_map(|a| &a.rows)
        .filter_map(parse_target);
    // An entry that has received a delegate's report is preferred to entries that haven't.
    let min_quiet = answers
        .iter()
        .filter(|a| a.delegated)
        .map(|a| a.quiet_ms)
        .min();
    let quiet = min_quiet.or_else(|| answers.iter().map(|a| a.quiet_ms).max());
    EngineInfo {
        boot: rows.max_by_key(|t| t.renewed).map(|t| t.boot),
        quiet: quiet.map(Micros::from_millis),
    }
}

/// Queries other processes for the operator's rows while the store doesn't answer, or the rows lack a
/// confirmation.
pub async fn query_while_store_is_lost(node: SharedNode) {
    loop {
        sleep(ROUND_INTERVAL).await;
        let lost = node.cluster.borrow().store_lost_since.is_some();
        let unconfirmed = node.tables.is_unconfirmed(node.now());
        if lost || unconfirmed || node.plan().is_none() {
            let queries = random_peers(&node)
                .into_iter()
                .map(|a| query_rows(&node, a));
            futures::future::join_all(queries).await;
        }
    }
}

/// Addresses of some random members and seeds.
fn random_peers(node: &SharedNode) -> Vec<SocketAddr> {
    let cluster = node.cluster.borrow();
    let members = cluster.members.values().map(|m| m.addr);
    let seeds = node.settings.borrow().seeds.clone();
    members
        .chain(seeds)
        .choose_multiple(&mut rand::rng(), PEERS_PER_ROUND)
}

/// Queries one process for the operator's rows and applies those that are newer.
async fn query_rows(node: &SharedNode, addr: SocketAddr) {
    let positions = positions(node);
    let request = Request {
        versions: positions
            .iter()
            .map(|(k, p)| (k.clone(), p.version))
            .collect(),
        eras: positions.into_iter().map(|(k, p)| (k, p.era)).collect(),
        ..Request::default()
    };
    let reply = match timeout(QUERY_TIMEOUT, query(addr, &request)).await {
        Ok(r) => r,
        Err(_) => Err(PeerError::Timeout),
    };
    match reply {
        Ok(reply) => apply_rows(node, reply),
        Err(e) => log::event(&Event::Lost {
            dependency: "peer",
            error: &e.to_string(),
        }),
    }
}

/// Positions of the operator's rows that are known to this process.
fn positions(node: &SharedNode) -> HashMap<String, Position> {
    let cluster = node.cluster.borrow();
    let rows = cluster.operator_rows.iter();
    rows.map(|(k, r)| (k.clone(), r.at)).collect()
}

/// Sends a request to a process and waits for the reply.
async fn query(addr: SocketAddr, request: &Request) -> Result<Reply, PeerError> {
    let mut frames = framed(platform::call::connect(addr).await?, MAX_ANSWER);
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    let reply = frames.next().await.ok_or(PeerError::Ended)??;
    Ok(Reply::decode(reply)?)
}

/// Applies the operator's rows in a reply.
fn apply_rows(node: &SharedNode, reply: Reply) {
    let now = node.now();
    let newest = reply.rows.iter().map(|r| r.era).max();
    if let Some(era) = newest {
        node.raise_era(era, Source::Peer);
    }
    let mut cluster = node.cluster.borrow_mut();
    for row in reply.rows {
        let value = OperatorRow {
            at: row.at(),
            value: row.value,
        };
        cluster.apply_row(now, &row.key, value, Source::Peer);
    }
}
