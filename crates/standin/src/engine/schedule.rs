//! Waiting lines that honour priorities: the lowest number goes first, equals in order of arrival.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Mutex};

use tokio::sync::oneshot;

use crate::lock;

/// Where a request stands: its priority, then its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Lower goes first.
    pub priority: i64,
    /// Number of arrival.
    pub arrival: u64,
}

/// A number of seats and the line of those who wait for one.
#[derive(Debug)]
pub struct Line {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    free: usize,
    waiting: BinaryHeap<Reverse<Waiter>>,
}

impl State {
    fn wait(&mut self, place: Place) -> oneshot::Receiver<Seat> {
        let (grant, granted) = oneshot::channel();
        self.waiting.push(Reverse(Waiter { place, grant }));
        granted
    }
}

#[derive(Debug)]
struct Waiter {
    place: Place,
    grant: oneshot::Sender<Seat>,
}

/// A seat; given to the next in line when it is dropped.
#[derive(Debug)]
pub struct Seat {
    line: Option<Arc<Line>>,
}

impl Line {
    /// A line for `seats` seats.
    pub fn new(seats: usize) -> Arc<Self> {
        let state = State {
            free: seats,
            waiting: BinaryHeap::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
        })
    }

    /// Waits for a seat. A waiter that is dropped leaves the line.
    pub async fn seat(self: &Arc<Self>, place: Place) -> Seat {
        let granted = {
            let mut s = lock(&self.state);
            if s.free > 0 {
                s.free -= 1;
                return self.granted();
            }
            s.wait(place)
        };
        // The sender stays in the line until it grants, so that an error can't come.
        granted.await.unwrap_or(Seat { line: None })
    }

    /// Gives the seat up if somebody in line comes before `place`, and waits for it again.
    pub async fn pass(self: &Arc<Self>, seat: Seat, place: Place) -> Seat {
        let granted = {
            let mut s = lock(&self.state);
            if s.waiting.peek().is_none_or(|w| place < w.0.place) {
                return seat;
            }
            s.wait(place)
        };
        drop(seat);
        granted.await.unwrap_or(Seat { line: None })
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        lock(&self.state).waiting.len()
    }

    /// Whether no seat is free.
    pub fn taken(&self) -> bool {
        lock(&self.state).free == 0
    }

    fn granted(self: &Arc<Self>) -> Seat {
        Seat {
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
            // The waiter has gone; its seat isn't released a second time by the drop.
            back.line = None;
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        if let Some(line) = self.line.take() {
            line.release();
        }
    }
}

impl PartialEq for Waiter {
    fn eq(&self, other: &Self) -> bool {
        self.place == other.place
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
        self.place.cmp(&other.place)
    }
}
