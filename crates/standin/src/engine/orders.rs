//! Orders to load weights, to load an adapter or to change the role.
//!
//! Some engines refuse an order whose fencing number is lower than the highest one received; others
//! carry out every order. The setting [`Fencing`] chooses between the two.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;
use viz::{Response, Result, StatusCode};

use crate::cache::Event;
use crate::engine::{Engine, Fencing};
use crate::{lock, micros, reply};

/// Number of replicas that can load weights at the same time without slowing one another down.
const FAST_LOADS: u32 = 2;
/// Ratio of the load time of the weights to that of an adapter.
const WEIGHTS_TO_ADAPTER: u32 = 8;

/// An order and its fencing number, as sent to the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the sender.
    pub fence: u64,
    /// What to do.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// The kinds of orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "lowercase")]
pub enum OrderKind {
    /// Load weights, of another model if one is named.
    Load {
        /// Name of the weights.
        weights: String,
        /// Name of the model, if it changes.
        #[serde(default)]
        model: Option<String>,
    },
    /// Load an adapter.
    Adapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Change the role.
    Role {
        /// Name of the role.
        role: String,
    },
}

/// The status of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// The order is being carried out.
    Running,
    /// The order was carried out.
    Done,
    /// Refused because its fencing number was lower than an earlier one.
    Fenced,
    /// Refused because another order was being carried out.
    Busy,
}

/// An order that the engine received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Microseconds since 1970 when it arrived.
    pub at: u64,
    /// The order as received.
    #[serde(flatten)]
    pub order: Order,
    /// The current status of the order.
    pub status: Status,
}

/// What an engine serves, as changed by orders, and the orders received.
#[derive(Clone, Debug)]
pub(super) struct ServingState {
    pub(super) model: String,
    pub(super) weights: String,
    pub(super) adapters: Vec<String>,
    pub(super) role: String,
    pub(super) loading: bool,
    pub(super) fence: u64,
    pub(super) orders: Vec<OrderRecord>,
}

impl ServingState {
    pub(super) fn new(model: &str, weights: &str) -> Self {
        Self {
            model: model.to_owned(),
            weights: weights.to_owned(),
            adapters: Vec::new(),
            role: "mixed".to_owned(),
            loading: false,
            fence: 0,
            orders: Vec::new(),
        }
    }
}

impl Engine {
    pub(super) fn order(self: &Arc<Self>, body: &[u8]) -> Result<Response> {
        let order = match serde_json::from_slice::<Order>(body) {
            Ok(o) => o,
            Err(e) => return reply::error(StatusCode::BAD_REQUEST, &e),
        };
        let (status, index, fence) = self.receive(&order);
        let code = match status {
            Status::Fenced => StatusCode::CONFLICT,
            Status::Busy => StatusCode::SERVICE_UNAVAILABLE,
            Status::Running | Status::Done => StatusCode::ACCEPTED,
        };
        if status == Status::Running {
            let engine = Arc::clone(self);
            tokio::spawn(async move { engine.carry_out(order.kind, index).await });
        }
        reply::json(code, &json!({"status": status, "fence": fence}))
    }

    fn receive(&self, order: &Order) -> (Status, usize, u64) {
        let mut s = lock(&self.served);
        let outdated = order.fence < s.fence && self.settings.fencing == Fencing::Honour;
        let status = match () {
            () if outdated => Status::Fenced,
            () if s.loading => Status::Busy,
            () => Status::Running,
        };
        s.fence = s.fence.max(order.fence);
        s.loading |= status == Status::Running;
        if status == Status::Running && matches!(order.kind, OrderKind::Load { .. }) {
            self.cut_running();
        }
        s.orders.push(OrderRecord {
            at: micros(),
            order: order.clone(),
            status,
        });
        (status, s.orders.len() - 1, s.fence)
    }

    async fn carry_out(&self, kind: OrderKind, index: usize) {
        match kind {
            OrderKind::Load { weights, model } => {
                tokio::time::sleep(self.load_time(1)).await;
                self.finish_load(weights, model);
            }
            OrderKind::Adapter { adapter } => {
                tokio::time::sleep(self.load_time(WEIGHTS_TO_ADAPTER)).await;
                lock(&self.served).adapters.push(adapter);
            }
            OrderKind::Role { role } => lock(&self.served).role = role,
        }
        let mut s = lock(&self.served);
        s.loading = false;
        s.orders[index].status = Status::Done;
    }

    fn load_time(&self, divisor: u32) -> Duration {
        let faults = self.faults.get();
        let slowdown = if faults.loads > FAST_LOADS { 2 } else { 1 };
        self.faults
            .slowed(self.settings.load_time * slowdown / divisor)
    }

    fn finish_load(&self, weights: String, model: Option<String>) {
        let mut s = lock(&self.served);
        let mut cache = lock(&self.cache);
        cache.clear();
        s.weights.clone_from(&weights);
        s.model = model.unwrap_or_else(|| s.model.clone());
        self.publish(vec![Event::Cleared, Event::Weights { version: weights }]);
    }
}
