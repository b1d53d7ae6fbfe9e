//! A model engine: completions as server-sent events, a bounded prefix cache, late cache events.
//!
//! | call | answer |
//! | --- | --- |
//! | `POST /v1/completions`, `/v1/chat/completions` | JSON, or events if `"stream": true` |
//! | `GET /load` | `{"incarnation","running","waiting","model","weights","blocks",…}` |
//! | `GET /events?after=N` | `{"incarnation","next","events":[{"seq","kind",…}]}` |
//! | `GET /cache` | `{"incarnation","seq","blocks":[…]}` |
//! | `GET /log` | what it ran |
//! | `GET /history` | every change of its cache, for measurements |
//! | `GET /kv/{hash}`, `POST /kv` | kept KV out and in |
//! | `POST /orders`, `GET /orders` | carry out an order; those that came |
//! | `POST /faults`, `GET /faults` | how it misbehaves |
//!
//! Besides the usual fields a request may have `cache_salt` (cache entries of one salt are never
//! found under another), `priority` (lower first) and `resume` (events that the caller has).
//! The answer to a prompt is always the same words, so that a resumed one can be compared.

mod ask;
mod faults;
mod feed;
mod http;
mod kv;
mod orders;
mod run;
mod schedule;
mod settings;

pub use ask::answer_token;
pub use faults::Faults;
pub use feed::Change;
pub use kv::KvExport;
pub use orders::{Order, OrderKind, OrderRecord, Status};
pub use schedule::{Permit, Queue, Rank};
pub use settings::{Fencing, FencingError, Settings};

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::cache::{Cache, Event};
use crate::freeze::FreezeSwitch;
use crate::{lock, micros};

use self::faults::Switch;
use self::feed::{Feed, Publishing};
use self::orders::Serving;

/// One request that the engine ran; times are microseconds since 1970, 0 if not reached.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Request id.
    pub request: String,
    /// Its priority.
    pub priority: i64,
    /// The weights it met.
    pub weights: String,
    /// Blocks found in the cache.
    pub cached: usize,
    /// Blocks of the prompt.
    pub blocks: usize,
    /// Tokens that its caller already had.
    pub resumed: usize,
    /// Tokens computed.
    pub tokens: usize,
    /// Whether the answer was computed to its end.
    pub whole: bool,
    /// When it came.
    pub arrived: u64,
    /// When it got a slot.
    pub started: u64,
    /// When the cache was searched.
    pub looked: u64,
    /// When its prompt was computed.
    pub computed: u64,
    /// When it ended.
    pub ended: u64,
}

/// One life of an engine.
#[derive(Debug)]
pub struct Engine {
    set: Settings,
    incarnation: u64,
    cache: Mutex<Cache>,
    feed: Feed,
    slots: Arc<Queue>,
    prefill: Arc<Queue>,
    arrivals: AtomicU64,
    cuts: watch::Sender<u64>,
    served: Mutex<Serving>,
    faults: Switch,
    freeze_switch: Arc<FreezeSwitch>,
    log: Mutex<Vec<RunRecord>>,
}

/// Lives begun in this process, so that two of one microsecond differ.
static LIVES: AtomicU64 = AtomicU64::new(0);

impl Engine {
    /// A new life with an empty cache.
    pub fn new(set: Settings) -> Arc<Self> {
        Arc::new(Self {
            incarnation: micros() + LIVES.fetch_add(1, Ordering::Relaxed),
            cache: Mutex::new(Cache::new(set.blocks, set.age)),
            feed: Feed::default(),
            slots: Queue::new(set.slots.max(1)),
            prefill: Queue::new(1),
            arrivals: AtomicU64::new(0),
            cuts: watch::Sender::new(0),
            served: Mutex::new(Serving::new(&set.model, &set.weights)),
            faults: Switch::default(),
            freeze_switch: Arc::default(),
            log: Mutex::default(),
            set,
        })
    }

    /// What it ran, in the order of its ends.
    pub fn run_log(&self) -> Vec<RunRecord> {
        lock(&self.log).clone()
    }

    /// Orders that came.
    pub fn orders(&self) -> Vec<OrderRecord> {
        lock(&self.served).orders.clone()
    }

    /// Requests that it computes at this moment.
    pub fn running(&self) -> usize {
        self.feed.running()
    }

    /// Which life it is.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Sets how it misbehaves.
    pub fn set_faults(&self, faults: Faults) {
        self.set_faults_except(faults, None);
    }

    /// Sets how it misbehaves, and spares one peer's connection if connections freeze.
    fn set_faults_except(&self, faults: Faults, except: Option<SocketAddr>) {
        if faults.freeze {
            self.freeze_switch.freeze(except);
        }
        self.faults.set(faults);
    }

    /// The switch that freezes its connections; for its listener.
    pub fn freeze_switch(&self) -> Arc<FreezeSwitch> {
        Arc::clone(&self.freeze_switch)
    }

    fn rank(&self, priority: i64) -> Rank {
        let arrival = self.arrivals.fetch_add(1, Ordering::Relaxed);
        Rank { priority, arrival }
    }

    fn cut_all(&self) {
        self.cuts.send_modify(|n| *n += 1);
    }

    /// Uses the cache and publishes what changes. Events are numbered while the cache is locked,
    /// so that their order is that of the changes.
    fn change<T>(&self, f: impl FnOnce(&mut Cache, &mut Vec<Event>) -> T) -> T {
        let mut out = Vec::new();
        let mut cache = lock(&self.cache);
        cache.expire(Instant::now(), &mut out);
        let value = f(&mut cache, &mut out);
        self.publish(out);
        value
    }

    fn publish(&self, events: Vec<Event>) {
        self.feed.publish(self.publishing(), events);
    }

    fn publishing(&self) -> Publishing {
        Publishing {
            lag: self.set.lag,
            lose: self.set.lose,
            reorder: self.set.reorder,
        }
    }
}
