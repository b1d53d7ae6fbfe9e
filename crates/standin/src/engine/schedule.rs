//! Permits granted by priority: the lowest number first, equal priorities in order of arrival.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Mutex};

use tokio::sync::oneshot;

use crate::lock;

/// Rank of a request in a queue: by priority, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Lower numbers go first.
    pub priority: i64,
    /// Sequence number of the arrival.
    pub arrival: u64,
}

/// A fixed number of permits and a priority queue of waiters.
#[derive(Debug)]
pub struct Queue {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    free: usize,
    waiting: BinaryHeap<Reverse<Waiter>>,
}

impl State {
    fn wait(&mut self, rank: Rank) -> oneshot::Receiver<Permit> {
        let (grant, granted) = oneshot::channel();
        self.waiting.push(Reverse(Waiter { rank, grant }));
        granted
    }
}

#[derive(Debug)]
struct Waiter {
    rank: Rank,
    grant: oneshot::Sender<Permit>,
}

/// A permit; granted to the first waiter in the queue when dropped.
#[derive(Debug)]
pub struct Permit {
    queue: Option<Arc<Queue>>,
}

impl Queue {
    /// A queue with `permits` permits.
    pub fn new(permits: usize) -> Arc<Self> {
        let state = State {
            free: permits,
            waiting: BinaryHeap::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
        })
    }

    /// Waits for a permit. A waiter that is dropped leaves the queue.
    pub async fn acquire(self: &Arc<Self>, rank: Rank) -> Permit {
        let granted = {
            let mut s = lock(&self.state);
            if s.free > 0 {
                s.free -= 1;
                return self.permit();
            }
            s.wait(rank)
        };
        // The sender stays in the queue until the permit is granted, so this can't fail.
        granted.await.unwrap_or(Permit { queue: None })
    }

    /// If a waiter ranks before `rank`, gives up the permit and waits for another one.
    pub async fn yield_to(self: &Arc<Self>, permit: Permit, rank: Rank) -> Permit {
        let granted = {
            let mut s = lock(&self.state);
            if s.waiting.peek().is_none_or(|w| rank < w.0.rank) {
                return permit;
            }
            s.wait(rank)
        };
        drop(permit);
        granted.await.unwrap_or(Permit { queue: None })
    }

    /// Number of waiters.
    pub fn waiting(&self) -> usize {
        lock(&self.state).waiting.len()
    }

    /// Whether no permit is free.
    pub fn is_busy(&self) -> bool {
        lock(&self.state).free == 0
    }

    fn permit(self: &Arc<Self>) -> Permit {
        Permit {
            queue: Some(Arc::clone(self)),
        }
    }

    fn release(self: &Arc<Self>) {
        loop {
            let next = {
                let mut s = lock(&self.state);
                match s.waiting.pop() {
                    Some(w) => w.0.grant,
                    None => {
                        s.free += 1;
                        return;
                    }
                }
            };
            let Err(mut unclaimed) = next.send(self.permit()) else {
                return;
            };
            // The waiter was dropped; this disarms its permit, which would release a second time.
            unclaimed.queue = None;
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(queue) = self.queue.take() {
            queue.release();
        }
    }
}

impl PartialEq for Waiter {
    fn eq(&self, other: &Self) -> bool {
        self.rank == other.rank
    }
}

impl Eq for Waiter {}

impl PartialOrd for Waiter {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiter {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.rank.cmp(&other.rank)
    }
}
