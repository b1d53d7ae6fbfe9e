//! Whether a process may order an engine that another one may have ordered.
//!
//! Load pattern: the orders of an engine change hands between its sidecar and entries that act for it, while
//! processes are paused, killed and cut off from one another. Orders of two holders within a lease may cross
//! on their way, and an engine that doesn't check fencing tokens carries out the older one last.
//!
//! The engine counts the orders that it has accepted, and every holder reads that count. A holder that finds
//! it risen by an order that isn't its own waits for a lease. One that isn't the engine's regular holder does
//! so from the first count that it has read. As an order also demands the count that was read, the second of
//! two that come together is refused.

use model::Micros;

/// Age of a remote engine's report, which the lease is extended by.
const LAG: Micros = Micros::from_millis(500);

/// One process's right to order an engine.
#[derive(Clone, Copy, Debug)]
pub struct Holder {
    /// Whether it is the engine's regular holder.
    regular: bool,
    /// How long orders of two holders stay apart.
    lease: Micros,
    /// Orders that the engine has accepted, as last read.
    count: Option<u64>,
    /// Orders of this process that may have been accepted since the count was read.
    ours: u64,
    /// From when on an order of another process may be followed by one of this process.
    free: Micros,
}

impl Holder {
    /// The process beside an engine.
    pub fn regular(lease: Micros) -> Self {
        Self {
            regular: true,
            lease,
            count: None,
            ours: 0,
            free: Micros::ZERO,
        }
    }

    /// A process that acts for the regular holder.
    pub fn delegate(lease: Micros) -> Self {
        Self {
            regular: false,
            ..Self::regular(lease)
        }
    }

    /// Takes over the count of orders from the engine's report; true if another process has ordered it.
    pub fn read(&mut self, now: Micros, orders: u64) -> bool {
        let known = self.count.replace(orders);
        // A count that has fallen is that of another incarnation, which no process has ordered yet.
        let Some(known) = known.filter(|k| *k <= orders) else {
            self.ours = 0;
            if !self.regular {
                self.yielded(now);
            }
            return false;
        };
        let foreign = orders > known + self.ours;
        if foreign {
            self.yielded(now);
        }
        if orders > known {
            self.ours = 0;
        }
        foreign
    }

    /// Notes an order of this process that the engine may have accepted.
    pub fn ordered(&mut self) {
        self.ours += 1;
    }

    /// Notes that another process may have ordered the engine at some time.
    pub fn yielded(&mut self, at: Micros) {
        self.free = self.free.max(at + self.lease + LAG);
    }

    /// Whether this process may order the engine.
    pub fn may_order(&self, now: Micros) -> bool {
        self.count.is_some() && now >= self.free
    }
}
