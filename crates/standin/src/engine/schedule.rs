//! Queues that honour priorities: the lowest number goes first, equals in order of arrival.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Mutex};

use tokio::sync::oneshot;

use crate::lock;

/// A request's rank in a queue: its priority, then its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Lower goes first.
    pub priority: i64,
    /// Number of arrival.
    pub arrival: u64,
}

/// A number of permits and the line of those who wait for one.
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

/// A permit; given to the next in line when it is dropped.
#[derive(Debug)]
pub struct Permit {
    line: Option<Arc<Queue>>,
}

impl Queue {
    /// A line for `permits` permits.
    pub fn new(permits: usize) -> Arc<Self> {
        let state = State {
            free: permits,
            waiting: BinaryHeap::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
        })
    }

    /// Waits for a permit. A waiter that is dropped leaves the line.
    pub async fn acquire(self: &Arc<Self>, rank: Rank) -> Permit {
        let granted = {
            let mut s = lock(&self.state);
            if s.free > 0 {
                s.free -= 1;
                return self.granted();
            }
            s.wait(rank)
        };
        // The sender stays in the line until it grants, so that an error can't come.
        granted.await.unwrap_or(Permit { line: None })
    }

    /// Gives the permit up if somebody in line comes before `rank`, and waits for it again.
    pub async fn yield_to(self: &Arc<Self>, permit: Permit, rank: Rank) -> Permit {
        let granted = {
            let mut s = lock(&self.state);
            if s.waiting.peek().is_none_or(|w| rank < w.0.rank) {
                return permit;
            }
            s.wait(rank)
        };
        drop(permit);
        granted.await.unwrap_or(Permit { line: None })
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        lock(&self.state).waiting.len()
    }

    /// Whether no permit is free.
    pub fn is_busy(&self) -> bool {
        lock(&self.state).free == 0
    }

    fn granted(self: &Arc<Self>) -> Permit {
        Permit {
            line: Some(Arc::clone(self)),
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
            let Err(mut back) = next.send(self.granted()) else {
                return;
            };
            // The waiter has gone; its permit isn't released a second time by the drop.
            back.line = None;
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(line) = self.line.take() {
            line.release();
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
