//! A model engine: completions as server-sent events, a bounded prefix cache, and cache events that
//! are published with a delay.
//!
//! | call | answer |
//! | --- | --- |
//! | `POST /v1/completions`, `/v1/chat/completions` | JSON, or events if `"stream": true` |
//! | `GET /load` | `{"incarnation","running","waiting","model","weights","blocks",…}` |
//! | `GET /events?after=N` | `{"incarnation","next","events":[{"seq","kind",…}]}` |
//! | `GET /cache` | `{"incarnation","seq","blocks":[…]}` |
//! | `GET /log` | the requests that ran |
//! | `GET /history` | every change of the cache, for measurements |
//! | `GET /kv/{hash}`, `POST /kv` | export and import of cached KV blocks |
//! | `POST /orders`, `GET /orders` | carry out an order; list the orders received |
//! | `POST /faults`, `GET /faults` | set or show the injected faults |
//!
//! Besides the usual fields a request may have `cache_salt` (cache entries of one salt are never
//! found under another), `priority` (lower runs first) and `resume` (number of events that the
//! caller already has). The answer to a prompt always consists of the same tokens, so that a
//! resumed answer can be checked.

mod faults;
mod feed;
mod http;
mod kv;
mod orders;
mod request;
mod run;
mod schedule;
mod settings;

pub use faults::Faults;
pub use feed::Change;
pub use kv::KvExport;
pub use orders::{Order, OrderKind, OrderRecord, Status};
pub use request::answer_token;
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

use self::faults::ActiveFaults;
use self::feed::{Feed, Publishing};
use self::orders::ServingState;

/// Log entry of one request. Times are microseconds since 1970, 0 for steps that were not reached.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Request id.
    pub request: String,
    /// Priority; lower runs first.
    pub priority: i64,
    /// The weights in use when the request arrived.
    pub weights: String,
    /// Number of the prompt's blocks found in the cache.
    pub cached: usize,
    /// Number of blocks of the prompt.
    pub blocks: usize,
    /// Number of tokens that the caller already had.
    pub resumed: usize,
    /// Number of tokens computed.
    pub tokens: usize,
    /// Whether the answer was computed to its end.
    pub whole: bool,
    /// When the request arrived.
    pub arrived: u64,
    /// When the request got a slot.
    pub started: u64,
    /// When the cache was searched.
    pub looked: u64,
    /// When the prompt had been computed.
    pub computed: u64,
    /// When the request ended, complete or not.
    pub ended: u64,
}

/// One incarnation of an engine.
#[derive(Debug)]
pub struct Engine {
    settings: Settings,
    incarnation: u64,
    cache: Mutex<Cache>,
    feed: Feed,
    slots: Arc<Queue>,
    prefill: Arc<Queue>,
    arrivals: AtomicU64,
    cuts: watch::Sender<u64>,
    served: Mutex<ServingState>,
    faults: ActiveFaults,
    freeze_switch: Arc<FreezeSwitch>,
    log: Mutex<Vec<RunRecord>>,
}

/// Number of engines started in this process; keeps the incarnations of two that start within one
/// microsecond apart.
static STARTED: AtomicU64 = AtomicU64::new(0);

impl Engine {
    /// Starts a new incarnation with an empty cache.
    pub fn new(settings: Settings) -> Arc<Self> {
        Arc::new(Self {
            incarnation: micros() + STARTED.fetch_add(1, Ordering::Relaxed),
            cache: Mutex::new(Cache::new(settings.blocks, settings.max_idle)),
            feed: Feed::default(),
            slots: Queue::new(settings.slots.max(1)),
            prefill: Queue::new(1),
            arrivals: AtomicU64::new(0),
            cuts: watch::Sender::new(0),
            served: Mutex::new(ServingState::new(&settings.model, &settings.weights)),
            faults: ActiveFaults::default(),
            freeze_switch: Arc::default(),
            log: Mutex::default(),
            settings,
        })
    }

    /// Log of the requests that ran, in the order in which they ended.
    pub fn run_log(&self) -> Vec<RunRecord> {
        lock(&self.log).clone()
    }

    /// Orders received.
    pub fn orders(&self) -> Vec<OrderRecord> {
        lock(&self.served).orders.clone()
    }

    /// Number of requests being computed at this moment.
    pub fn running(&self) -> usize {
        self.feed.running()
    }

    /// The incarnation of this engine.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.set_faults_except(faults, None);
    }

    /// Replaces the injected faults; if connections freeze, those of one peer are spared.
    fn set_faults_except(&self, faults: Faults, except: Option<SocketAddr>) {
        if faults.freeze {
            self.freeze_switch.freeze(except);
        }
        self.faults.set(faults);
    }

    /// Freezes the connections of this engine; to be passed to its listener.
    pub fn freeze_switch(&self) -> Arc<FreezeSwitch> {
        Arc::clone(&self.freeze_switch)
    }

    fn rank(&self, priority: i64) -> Rank {
        let arrival = self.arrivals.fetch_add(1, Ordering::Relaxed);
        Rank { priority, arrival }
    }

    fn cut_running(&self) {
        self.cuts.send_modify(|n| *n += 1);
    }

    /// Runs `f` on the cache and publishes the changes. Events get their sequence numbers while the
    /// cache is locked, so that they have the order of the changes.
    fn with_cache<T>(&self, f: impl FnOnce(&mut Cache, &mut Vec<Event>) -> T) -> T {
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
            lag: self.settings.event_lag,
            lose: self.settings.lose_every,
            reorder: self.settings.reorder,
        }
    }
}
