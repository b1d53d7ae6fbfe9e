//! The operator's rows from one process to another, for those whom the store turns away.
//!
//! The store may refuse some hosts and serve the others. A process that gets no answer from it asks
//! other processes for what is newer than its own, so that a configuration or a key that was taken
//! away reaches it all the same. Rows are passed on as they were read, with their versions.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use prost::Message;
use rand::seq::IteratorRandom;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::log::{self, Event};
use crate::world::{OperatorRow, Shared};

/// Pause between two rounds of questions; several fit into the time in which a configuration must
/// be known.
const PAUSE: Duration = Duration::from_millis(300);
/// Others asked in a round; one of them may be turned away too.
const ASKED: usize = 3;
/// How long one of them may take.
const PATIENCE: Duration = Duration::from_millis(250);
/// Bytes of a message at most; a configuration has 4 MB at most.
const LARGEST: usize = 8 << 20;

/// What a process has.
#[derive(Clone, PartialEq, Message)]
struct Ask {
    /// Versions of its rows by their keys.
    #[prost(map = "string, uint64", tag = "1")]
    versions: HashMap<String, u64>,
}

/// What is newer.
#[derive(Clone, PartialEq, Message)]
struct Told {
    #[prost(message, repeated, tag = "1")]
    rows: Vec<ToldRow>,
}

#[derive(Clone, PartialEq, Message)]
struct ToldRow {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(bytes = "bytes", tag = "3")]
    value: Bytes,
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
pub fn serve(node: &Shared, listener: TcpListener) {
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

async fn answer(node: &Shared, tcp: TcpStream) -> Result<(), PeerError> {
    let mut frames = framed(tcp);
    let asked = frames.next().await.ok_or(PeerError::Ended)??;
    let ask = Ask::decode(asked)?;
    let told = newer(node, &ask);
    frames.send(Bytes::from(told.encode_to_vec())).await?;
    Ok(())
}

fn newer(node: &Shared, ask: &Ask) -> Told {
    let world = node.world.borrow();
    let known = |key: &String| ask.versions.get(key).copied().unwrap_or_default();
    let rows = world.rows.iter().filter(|(k, r)| r.version > known(k));
    Told {
        rows: rows
            .map(|(key, row)| ToldRow {
                key: key.clone(),
                version: row.version,
                value: row.value.clone(),
            })
            .collect(),
    }
}

/// Asks others for as long as the store doesn't answer.
pub async fn ask(node: Shared) {
    loop {
        sleep(PAUSE).await;
        let lost = node.world.borrow().lost.is_some();
        if lost || node.plan().is_none() {
            let asked = others(&node).into_iter().map(|a| round(&node, a));
            futures::future::join_all(asked).await;
        }
    }
}

fn others(node: &Shared) -> Vec<SocketAddr> {
    let world = node.world.borrow();
    let members = world.members.values().map(|m| m.addr);
    let seeds = node.settings.borrow().seeds.clone();
    members
        .chain(seeds)
        .choose_multiple(&mut rand::rng(), ASKED)
}

async fn round(node: &Shared, addr: SocketAddr) {
    let told = match timeout(PATIENCE, question(node, addr)).await {
        Ok(r) => r,
        Err(_) => Err(PeerError::Timeout),
    };
    match told {
        Ok(told) => adopt(node, told),
        Err(e) => log::event(&Event::Lost {
            dependency: "peer",
            error: &e.to_string(),
        }),
    }
}

async fn question(node: &Shared, addr: SocketAddr) -> Result<Told, PeerError> {
    let mut frames = framed(platform::call::connect(addr).await?);
    let versions = {
        let world = node.world.borrow();
        world
            .rows
            .iter()
            .map(|(k, r)| (k.clone(), r.version))
            .collect()
    };
    let ask = Ask { versions };
    frames.send(Bytes::from(ask.encode_to_vec())).await?;
    let told = frames.next().await.ok_or(PeerError::Ended)??;
    Ok(Told::decode(told)?)
}

fn adopt(node: &Shared, told: Told) {
    let now = node.now();
    let mut world = node.world.borrow_mut();
    for row in told.rows {
        let value = OperatorRow {
            version: row.version,
            value: row.value,
        };
        world.adopt(now, &row.key, value, "peer");
    }
}
