//! Whether a process may order an engine to load weights after another process may have done so.
//!
//! Load pattern: the right to order an engine passes between its sidecar and entries that act for it, while
//! processes are paused, killed and partitioned from one another. Orders that two holders send within one
//! lease may arrive out of order, and an engine that doesn't check fencing tokens executes the older one
//! last.
//!
//! The engine counts the orders that it has accepted, and every holder reads this count. A holder that finds
//! the count raised by another process's order waits for one lease. Each order also carries the count that
//! was read, and the engine refuses it if the count has changed, so the second of two simultaneous orders
//! fails.
//!
//! A process has no record of orders from before its start, so it waits for one lease after it first reads
//! the count. An engine's sidecar needn't wait if an entry reports that no other process has acted for the
//! engine in that time.

use model::Micros;

/// Largest age of a report from an engine on another host; extends the lease.
const LAG: Micros = Micros::from_millis(500);

/// One process's right to send orders to an engine.
#[derive(Clone, Copy, Debug)]
pub struct Holder {
    /// Least time between orders of two holders.
    lease: Micros,
    /// Number of orders that the engine has accepted, as last read.
    count: Option<u64>,
    /// Number of this process's orders that the engine may have accepted since the count was read.
    own_orders: u64,
    /// Earliest time of an order by this process, given the known orders of other processes.
    earliest: Micros,
    /// Earliest time given possible orders from before this process's start; `None` once such orders are ruled out.
    unknown_until: Option<Micros>,
}

impl Holder {
    /// A process that hasn't read the engine's count yet.
    pub fn new(lease: Micros) -> Self {
        Self {
            lease,
            count: None,
            own_orders: 0,
            earliest: Micros::ZERO,
            unknown_until: Some(Micros::MAX),
        }
    }

    /// How long this process waits after an order of another one.
    fn handover_delay(&self) -> Micros {
        self.lease + LAG
    }

    /// Updates the count of orders from the engine's report; true if it shows an order of another process.
    pub fn update_count(&mut self, now: Micros, orders: u64) -> bool {
        let Some(known) = self.count.replace(orders) else {
            let until = now + self.handover_delay();
            self.unknown_until = self.unknown_until.map(|_| until);
            return false;
        };
        // A lower count is that of a new incarnation of the engine.
        if orders < known {
            self.own_orders = 0;
            return false;
        }
        let other_ordered = orders > known + self.own_orders;
        if other_ordered {
            self.record_other_holder(now);
        }
        if orders > known {
            self.own_orders = 0;
        }
        other_ordered
    }

    /// Records an order of this process that the engine may have accepted.
    pub fn record_order(&mut self) {
        self.own_orders += 1;
    }

    /// Records that another process may have sent orders until a time.
    pub fn record_other_holder(&mut self, at: Micros) {
        self.earliest = self.earliest.max(at + self.handover_delay());
    }

    /// Records an entry's report that no other process has acted for the engine for a time.
    pub fn record_quiet(&mut self, now: Micros, quiet: Micros) {
        if quiet >= self.handover_delay() {
            self.unknown_until = None;
        }
        self.record_other_holder(now - quiet);
    }

    /// Records that the whole system starts for the first time, so there are no earlier orders.
    pub fn record_first_start(&mut self) {
        self.unknown_until = None;
    }

    /// Whether orders from before this process's start may still conflict with its own.
    pub fn has_unknown_orders(&self, now: Micros) -> bool {
        self.unknown_until.is_some_and(|until| now < until)
    }

    /// Whether this process may send an order now.
    pub fn may_order(&self, now: Micros) -> bool {
        self.count.is_some() && !self.has_unknown_orders(now) && now >= self.earliest
    }
}
