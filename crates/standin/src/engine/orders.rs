//! Orders to load weights or an adapter or to change role.
//!
//! Some engines refuse an order whose fencing number is older than the highest that they have
//! seen; others carry out whatever comes. Which of the two is a setting.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;
use viz::{Response, Result, StatusCode};

use crate::cache::Event;
use crate::engine::{Engine, Fencing};
use crate::{lock, micros, reply};

/// Replicas that may load at once without slowing one another.
const LOADS: u32 = 2;
/// An adapter is this many times smaller than the weights.
const ADAPTER: u32 = 8;

/// An order as it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of whoever sends it.
    pub fence: u64,
    /// What is to be done.
    #[serde(flatten)]
    pub what: What,
}

/// What an engine can be ordered to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "lowercase")]
pub enum What {
    /// Load weights, and another model if one is named.
    Load {
        /// Their name.
        weights: String,
        /// The model's name, if it changes.
        #[serde(default)]
        model: Option<String>,
    },
    /// Load an adapter.
    Adapter {
        /// Its name.
        adapter: String,
    },
    /// Change role.
    Role {
        /// Its name.
        role: String,
    },
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fate {
    /// It is being carried out.
    Running,
    /// It was carried out.
    Done,
    /// Its number was old.
    Fenced,
    /// Another order was being carried out.
    Busy,
}

/// An order that arrived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Given {
    /// Microseconds since 1970 when it arrived.
    pub at: u64,
    /// What arrived.
    #[serde(flatten)]
    pub order: Order,
    /// What became of it.
    pub fate: Fate,
}

/// What the orders have made of an engine.
#[derive(Clone, Debug)]
pub(super) struct Served {
    pub(super) model: String,
    pub(super) weights: String,
    pub(super) adapters: Vec<String>,
    pub(super) role: String,
    pub(super) loading: bool,
    pub(super) fence: u64,
    pub(super) given: Vec<Given>,
}

impl Served {
    pub(super) fn new(model: &str, weights: &str) -> Self {
        Self {
            model: model.to_owned(),
            weights: weights.to_owned(),
            adapters: Vec::new(),
            role: "mixed".to_owned(),
            loading: false,
            fence: 0,
            given: Vec::new(),
        }
    }
}

impl Engine {
    pub(super) fn order(self: &Arc<Self>, body: &[u8]) -> Result<Response> {
        let order = match serde_json::from_slice::<Order>(body) {
            Ok(o) => o,
            Err(e) => return reply::refused(StatusCode::BAD_REQUEST, &e),
        };
        let (fate, at, seen) = self.receive(&order);
        let status = match fate {
            Fate::Fenced => StatusCode::CONFLICT,
            Fate::Busy => StatusCode::SERVICE_UNAVAILABLE,
            Fate::Running | Fate::Done => StatusCode::ACCEPTED,
        };
        if fate == Fate::Running {
            let this = Arc::clone(self);
            tokio::spawn(async move { this.carry_out(order.what, at).await });
        }
        reply::json(status, &json!({"fate": fate, "fence": seen}))
    }

    fn receive(&self, order: &Order) -> (Fate, usize, u64) {
        let mut s = lock(&self.served);
        let old = order.fence < s.fence && self.set.fencing == Fencing::Honour;
        let fate = match () {
            () if old => Fate::Fenced,
            () if s.loading => Fate::Busy,
            () => Fate::Running,
        };
        s.fence = s.fence.max(order.fence);
        s.loading |= fate == Fate::Running;
        if fate == Fate::Running && matches!(order.what, What::Load { .. }) {
            self.cut_all();
        }
        s.given.push(Given {
            at: micros(),
            order: order.clone(),
            fate,
        });
        (fate, s.given.len() - 1, s.fence)
    }

    async fn carry_out(&self, what: What, at: usize) {
        match what {
            What::Load { weights, model } => {
                tokio::time::sleep(self.loading(1)).await;
                self.reload(weights, model);
            }
            What::Adapter { adapter } => {
                tokio::time::sleep(self.loading(ADAPTER)).await;
                lock(&self.served).adapters.push(adapter);
            }
            What::Role { role } => lock(&self.served).role = role,
        }
        let mut s = lock(&self.served);
        s.loading = false;
        s.given[at].fate = Fate::Done;
    }

    fn loading(&self, part: u32) -> Duration {
        let faults = self.faults.get();
        let slower = if faults.loads > LOADS { 2 } else { 1 };
        self.faults.slowed(self.set.loading * slower / part)
    }

    fn reload(&self, weights: String, model: Option<String>) {
        let mut s = lock(&self.served);
        let mut cache = lock(&self.cache);
        cache.clear();
        s.weights.clone_from(&weights);
        s.model = model.unwrap_or_else(|| s.model.clone());
        self.publish(vec![Event::Cleared, Event::Weights { version: weights }]);
    }
}
