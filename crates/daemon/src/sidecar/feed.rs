//! What the engine says of itself: load, cache events, its whole cache when asked.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use model::Incarnation;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use store::{Call, Client};
use tokio::net::TcpStream;
use tokio::time::{interval, timeout};

use crate::settings::Kind;
use crate::sidecar::ask::{Ask, Asker, Load};

/// How often load and events are fetched; below the engines' own delay.
const PERIOD: Duration = Duration::from_millis(100);
/// Longest wait for the engine. An engine that can't say its load in this time, twice in a row,
/// isn't computing either.
const LIMIT: Duration = Duration::from_millis(1_000);
/// Failed calls in a row after which the engine counts as down.
const MISSES: u32 = 2;

#[derive(Deserialize)]
struct LoadBody {
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

/// Fetches for ever. A plain service publishes nothing; whether it takes connections is all that
/// is known of its health.
pub async fn run(target: SocketAddr, kind: Kind, control: Asker) {
    match kind {
        Kind::Model => engine(target, control).await,
        Kind::Plain => plain(target, control).await,
    }
}

async fn plain(target: SocketAddr, control: Asker) {
    let mut tick = interval(PERIOD);
    let mut misses = 0;
    loop {
        tick.tick().await;
        let up = timeout(LIMIT, TcpStream::connect(target)).await;
        misses = match up {
            Ok(Ok(_)) => 0,
            _ => misses + 1,
        };
        let load = Load {
            incarnation: Incarnation(0),
            model: String::new(),
            weights: String::new(),
            loading: false,
        };
        control.send(Ask::Load((misses < MISSES).then_some(load)));
    }
}

async fn engine(target: SocketAddr, mut control: Asker) {
    let mut feed = Feed {
        target,
        client: Client::default(),
        after: 0,
        life: 0,
    };
    let mut tick = interval(PERIOD);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut misses = 0;
    loop {
        tokio::select! {
            _ = tick.tick() => misses = feed.step(&control, misses).await,
            () = control.wanted() => feed.cache(&control).await,
        }
    }
}

struct Feed {
    target: SocketAddr,
    client: Client,
    /// The last event had.
    after: u64,
    /// The life whose events they are.
    life: u64,
}

impl Feed {
    async fn step(&mut self, control: &Asker, misses: u32) -> u32 {
        let Some(l) = self.get::<LoadBody>("/load").await else {
            if misses + 1 >= MISSES {
                control.send(Ask::Load(None));
            }
            return misses + 1;
        };
        let incarnation = Incarnation(l.incarnation);
        control.send(Ask::Load(Some(Load {
            incarnation,
            model: l.model,
            weights: l.weights,
            loading: l.loading,
        })));
        self.events(control).await;
        0
    }

    async fn events(&mut self, control: &Asker) {
        let path = format!("/events?after={}", self.after);
        let Some(e) = self.get::<EventsBody>(&path).await else {
            return;
        };
        if e.incarnation != self.life {
            // Another life's numbers begin anew; what came behind the old place is fetched next.
            let behind = self.after > 0;
            self.life = e.incarnation;
            self.after = 0;
            if behind {
                return;
            }
        }
        self.after = e.next;
        let incarnation = Incarnation(e.incarnation);
        let events = e.events.into_iter().map(|e| prefix::Event {
            seq: e.seq,
            incarnation,
            kind: kind(e.kind),
        });
        control.send(Ask::Events(events.collect()));
    }

    async fn cache(&mut self, control: &Asker) {
        let Some(c) = self.get::<CacheBody>("/cache").await else {
            return;
        };
        let blocks = c.blocks.into_iter().map(block).collect();
        control.send(Ask::Cache(Incarnation(c.incarnation), c.seq, blocks));
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Option<T> {
        get(&self.client, self.target, path).await
    }
}

/// What the engine says at a path; `None` if it can't be had.
pub async fn get<T: DeserializeOwned>(
    client: &Client,
    target: SocketAddr,
    path: &str,
) -> Option<T> {
    let call = Call::new(Method::GET, format!("http://{target}{path}"), LIMIT);
    match client.call(call).await {
        Ok((StatusCode::OK, body)) => serde_json::from_slice(&body).ok(),
        _ => None,
    }
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
