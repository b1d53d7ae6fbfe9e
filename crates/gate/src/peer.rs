//! The store's rows from one process to another, for those whom the store turns away.
//!
//! The store may refuse some hosts and serve the others. A process that gets no answer from it asks
//! other processes for what is newer than its own, so that a configuration or a key that was taken
//! away reaches it all the same. Entries ask others for the list of targets as well; for as long as
//! they were cut off they sent to engines that had crashed meanwhile, 30 tries each in 12 s. Rows are
//! passed on as they were read, with their versions.

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

use crate::log::{self, Event};
use crate::node::{OperatorRow, SharedNode, Source};
use crate::target_list::TargetList;

/// Pause between two rounds of questions; several fit into the time in which a configuration must
/// be known.
const PAUSE: Duration = Duration::from_millis(300);
/// Others asked in a round; one of them may be turned away too.
const ASKED: usize = 3;
/// How long one of them may take.
const PATIENCE: Duration = Duration::from_millis(250);
/// Age up to which a list of targets is passed on; entries that hear that it hasn't changed read it
/// every four seconds.
const FRESH: Micros = Micros::from_millis(5_000);
/// Bytes of a message at most; a configuration has 4 MB at most.
const LARGEST: usize = 8 << 20;

/// What a process has.
#[derive(Clone, PartialEq, Message)]
struct Request {
    /// Versions of its rows by their keys, and the eras that they are of.
    #[prost(map = "string, uint64", tag = "1")]
    versions: HashMap<String, u64>,
    #[prost(map = "string, uint64", tag = "4")]
    eras: HashMap<String, u64>,
    /// Whether it asks for the list of targets instead.
    #[prost(bool, tag = "2")]
    targets: bool,
    /// Position of its list of targets, if it asks for what has changed in that.
    #[prost(uint64, tag = "5")]
    after: u64,
    #[prost(uint64, tag = "6")]
    after_era: u64,
    /// An address; set, it asks for the rows of the targets there instead.
    #[prost(string, tag = "3")]
    target: String,
}

impl Request {
    /// Position of the list of targets that is there, if one is.
    fn position(&self) -> Option<Position> {
        (self.after > 0).then(|| Position::new(self.after_era, self.after))
    }
}

/// What is newer.
#[derive(Clone, PartialEq, Message)]
struct Reply {
    #[prost(message, repeated, tag = "1")]
    rows: Vec<ReplyRow>,
    /// Milliseconds since the list of targets was read.
    #[prost(uint64, tag = "2")]
    age_ms: u64,
    /// Newest version in the store when the list of targets was read; 0 without a list.
    #[prost(uint64, tag = "3")]
    version: u64,
    /// The era that it is of.
    #[prost(uint64, tag = "6")]
    era: u64,
    /// Whether these are the rows that have changed since the position that was named, not the whole list.
    #[prost(bool, tag = "7")]
    changes: bool,
    /// Whether a delegate of the engine that was asked about has reported.
    #[prost(bool, tag = "4")]
    delegated: bool,
    /// Milliseconds for which none has, or since this process's start.
    #[prost(uint64, tag = "5")]
    quiet_ms: u64,
}

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
    /// Whether the row went.
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

    /// A row of the list of targets.
    fn listed(row: &Row) -> Self {
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
    /// Where the list of targets was read.
    fn position(&self) -> Position {
        Position::new(self.era, self.version)
    }
}

/// Why a question has no answer.
#[derive(Debug, Error)]
enum PeerError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("the message can't be read: {0}")]
    Malformed(#[from] prost::DecodeError),
    #[error("the connection ended")]
    Ended,
    #[error("no answer in time")]
    Timeout,
}

fn framed(tcp: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(LARGEST)
        .new_codec();
    Framed::new(tcp, codec)
}

/// Answers other processes' questions.
pub fn serve(node: &SharedNode, listener: TcpListener) {
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        loop {
            let Ok((tcp, _)) = listener.accept().await else {
                sleep(PAUSE).await;
                continue;
            };
            let node = Rc::clone(&node);
            tokio::task::spawn_local(async move {
                // The other side asks somebody else.
                let _ = timeout(PAUSE * 4, answer(&node, tcp)).await;
            });
        }
    });
}

async fn answer(node: &SharedNode, tcp: TcpStream) -> Result<(), PeerError> {
    let mut frames = framed(tcp);
    let asked = frames.next().await.ok_or(PeerError::Ended)??;
    let ask = Request::decode(asked)?;
    let reply = match ask.target.parse() {
        Ok(addr) => at(node, addr),
        Err(_) if ask.targets => listed(node, ask.position()),
        Err(_) => newer(node, &ask),
    };
    frames.send(Bytes::from(reply.encode_to_vec())).await?;
    Ok(())
}

fn newer(node: &SharedNode, ask: &Request) -> Reply {
    let cluster = node.cluster.borrow();
    let of = |map: &HashMap<String, u64>, key: &String| map.get(key).copied().unwrap_or_default();
    let known = |key: &String| Position::new(of(&ask.eras, key), of(&ask.versions, key));
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

/// The rows of targets at an address, if this process has read the list of late.
fn at(node: &SharedNode, addr: SocketAddr) -> Reply {
    let cluster = node.cluster.borrow();
    let now = node.now();
    let listed = cluster.targets.as_ref();
    let listed = listed.filter(|l| now.since(l.at) < FRESH);
    // Thousands of rows would take too long to decode for each sidecar that starts.
    let text = addr.to_string();
    let named = |r: &&Row| {
        let value = r.value.as_deref().unwrap_or_default();
        value.windows(text.len()).any(|w| w == text.as_bytes())
    };
    let rows = listed.into_iter().flat_map(TargetList::rows).filter(named);
    let mut rows: Vec<_> = rows.map(ReplyRow::listed).collect();
    rows.retain(|r| target(r).is_some_and(|t| t.addr == addr));
    let delegated = cluster.delegate_reports.get(&addr).copied();
    Reply {
        rows,
        delegated: delegated.is_some(),
        quiet_ms: now.since(delegated.unwrap_or_default()).as_millis(),
        ..Reply::default()
    }
}

/// The target that a row of the list names; none if the row can't be read.
fn target(row: &ReplyRow) -> Option<Target> {
    platform::directory::decode_target(&row.key, row.at(), &row.value).ok()
}

/// The list of targets, if this process has it of late; its changes where the position that the other one
/// has is still known.
fn listed(node: &SharedNode, after: Option<Position>) -> Reply {
    let cluster = node.cluster.borrow();
    let age = |list: &TargetList| node.now().since(list.at);
    let Some(list) = cluster.targets.as_ref().filter(|l| age(l) < FRESH) else {
        return Reply::default();
    };
    let changes = after.and_then(|after| list.since(after));
    Reply {
        changes: changes.is_some(),
        rows: match changes {
            Some(rows) => rows.map(ReplyRow::listed).collect(),
            None => list.rows().map(ReplyRow::listed).collect(),
        },
        age_ms: age(list).as_millis(),
        version: list.position.version,
        era: list.position.era,
        ..Reply::default()
    }
}

/// The list of targets as another process has it.
#[derive(Debug)]
pub struct FetchedList {
    /// When it was read, on this process's clock.
    pub at: Micros,
    /// The whole list, or the rows that have changed.
    pub rows: Rows,
    /// Whether these are changes only.
    pub changes: bool,
}

/// The list of targets as some other entries have it of late, the newest that any of them has.
pub async fn fetch_target_list(
    node: &SharedNode,
    entries: impl IntoIterator<Item = SocketAddr>,
) -> Option<FetchedList> {
    let some = entries.into_iter().choose_multiple(&mut rand::rng(), ASKED);
    let own = {
        let cluster = node.cluster.borrow();
        cluster.targets.as_ref().map(|l| l.position)
    };
    let own = own.unwrap_or_default();
    let ask = Request {
        targets: true,
        after: own.version,
        after_era: own.era,
        ..Request::default()
    };
    let asked = some
        .into_iter()
        .map(|a| timeout(PATIENCE, question(a, &ask)));
    let replies = futures::future::join_all(asked).await;
    // Of those that don't answer the operator's rows are asked too, which tells how it failed.
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

/// What entries know of an engine beside a sidecar.
#[derive(Debug, Default)]
pub struct EngineInfo {
    /// Its incarnation, by the list of late.
    pub boot: Option<Boot>,
    /// How long no entry has acted for its sidecar.
    pub quiet: Option<Micros>,
}

/// Asks some entries about the engine at an address.
pub async fn fetch_engine_info(node: &SharedNode, addr: SocketAddr) -> EngineInfo {
    let entries: Vec<_> = {
        let cluster = node.cluster.borrow();
        let entries = cluster.entries();
        entries.choose_multiple(&mut rand::rng(), ASKED)
    };
    let ask = Request {
        target: addr.to_string(),
        ..Request::default()
    };
    let asked = entries
        .into_iter()
        .map(|a| timeout(PATIENCE, question(a, &ask)));
    let answers = futures::future::join_all(asked).await;
    // An entry that doesn't answer is replaced by another one in the next round.
    let answers: Vec<_> = answers.into_iter().filter_map(|a| a.ok()?.ok()).collect();
    let rows = answers.iter().flat_map(|a| &a.rows).filter_map(target);
    // One that has seen a delegate knows better than one that hasn't.
    let seen = answers
        .iter()
        .filter(|a| a.delegated)
        .map(|a| a.quiet_ms)
        .min();
    let quiet = seen.or_else(|| answers.iter().map(|a| a.quiet_ms).max());
    EngineInfo {
        boot: rows.max_by_key(|t| t.renewed).map(|t| t.boot),
        quiet: quiet.map(Micros::from_millis),
    }
}

/// Asks others for as long as the store doesn't answer.
pub async fn query_while_store_is_lost(node: SharedNode) {
    loop {
        sleep(PAUSE).await;
        let lost = node.cluster.borrow().store_lost_since.is_some();
        if lost || node.plan().is_none() {
            let asked = others(&node).into_iter().map(|a| round(&node, a));
            futures::future::join_all(asked).await;
        }
    }
}

fn others(node: &SharedNode) -> Vec<SocketAddr> {
    let cluster = node.cluster.borrow();
    let members = cluster.members.values().map(|m| m.addr);
    let seeds = node.settings.borrow().seeds.clone();
    members
        .chain(seeds)
        .choose_multiple(&mut rand::rng(), ASKED)
}

async fn round(node: &SharedNode, addr: SocketAddr) {
    let known = positions(node);
    let ask = Request {
        versions: known.iter().map(|(k, p)| (k.clone(), p.version)).collect(),
        eras: known.into_iter().map(|(k, p)| (k, p.era)).collect(),
        ..Request::default()
    };
    let reply = match timeout(PATIENCE, question(addr, &ask)).await {
        Ok(r) => r,
        Err(_) => Err(PeerError::Timeout),
    };
    match reply {
        Ok(reply) => adopt(node, reply),
        Err(e) => log::event(&Event::Lost {
            dependency: "peer",
            error: &e.to_string(),
        }),
    }
}

/// Positions of the operator's rows that this process has.
fn positions(node: &SharedNode) -> HashMap<String, Position> {
    let cluster = node.cluster.borrow();
    let rows = cluster.operator_rows.iter();
    rows.map(|(k, r)| (k.clone(), r.at)).collect()
}

async fn question(addr: SocketAddr, ask: &Request) -> Result<Reply, PeerError> {
    let mut frames = framed(platform::call::connect(addr).await?);
    frames.send(Bytes::from(ask.encode_to_vec())).await?;
    let reply = frames.next().await.ok_or(PeerError::Ended)??;
    Ok(Reply::decode(reply)?)
}

fn adopt(node: &SharedNode, reply: Reply) {
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
