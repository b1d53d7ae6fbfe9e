//! Whether a process may order an engine that another one may have ordered.
//!
//! Load pattern: the orders of an engine change hands between its sidecar and entries that act for it, while
//! processes are paused, killed and cut off from one another. Orders of two holders within a lease may cross
//! on their way, and an engine that doesn't check fencing tokens carries out the older one last.
//!
//! The engine counts the orders that it has accepted, and every holder reads that count. A holder that finds
//! it risen by an order that isn't its own waits for a lease. As an order also demands the count that was
//! read, the second of two that come together is refused.
//!
//! What happened before its start a process doesn't know, so it waits for a lease from the first count that
//! it has read. An engine's sidecar is spared that if an entry says that none has acted for the sidecar.

use model::Micros;

/// Age of a remote engine's report, which the lease is extended by.
const LAG: Micros = Micros::from_millis(500);

/// One process's right to order an engine.
#[derive(Clone, Copy, Debug)]
pub struct Holder {
    /// How long orders of two holders stay apart.
    lease: Micros,
    /// Orders that the engine has accepted, as last read.
    count: Option<u64>,
    /// Orders of this process that may have been accepted since the count was read.
    ours: u64,
    /// From when on an order of another process that is known may be followed.
    free: Micros,
    /// The same for orders from before this process's start; none once there are none.
    unknown: Option<Micros>,
}

impl Holder {
    /// A process that may order an engine.
    pub fn new(lease: Micros) -> Self {
        Self {
            lease,
            count: None,
            ours: 0,
            free: Micros::ZERO,
            unknown: Some(Micros::MAX),
        }
    }

    /// How long after an order of another process this one may order.
    fn apart(&self) -> Micros {
        self.lease + LAG
    }

    /// Takes over the count of orders from the engine's report; true if another process has ordered it.
    pub fn update_count(&mut self, now: Micros, orders: u64) -> bool {
        let Some(known) = self.count.replace(orders) else {
            let until = now + self.apart();
            self.unknown = self.unknown.map(|_| until);
            return false;
        };
        // A count that has fallen is that of another incarnation.
        if orders < known {
            self.ours = 0;
            return false;
        }
        let foreign = orders > known + self.ours;
        if foreign {
            self.record_other_holder(now);
        }
        if orders > known {
            self.ours = 0;
        }
        foreign
    }

    /// Notes an order of this process that the engine may have accepted.
    pub fn record_order(&mut self) {
        self.ours += 1;
    }

    /// Notes that another process may have ordered the engine up to some time.
    pub fn record_other_holder(&mut self, at: Micros) {
        self.free = self.free.max(at + self.apart());
    }

    /// Takes over how long no other process has acted for the engine, as an entry knows it.
    pub fn record_quiet(&mut self, now: Micros, quiet: Micros) {
        if quiet >= self.apart() {
            self.unknown = None;
        }
        self.record_other_holder(now - quiet);
    }

    /// Takes over that the whole system starts for the first time.
    pub fn record_first_start(&mut self) {
        self.unknown = None;
    }

    /// Whether orders from before its start may still matter.
    pub fn has_unknown_orders(&self, now: Micros) -> bool {
        self.unknown.is_some_and(|until| now < until)
    }

    /// Whether this process may order the engine.
    pub fn may_order(&self, now: Micros) -> bool {
        self.count.is_some() && !self.has_unknown_orders(now) && now >= self.free
    }
}
