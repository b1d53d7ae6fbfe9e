//! Graceful shutdown of an entry, with the state machine of `policy::drain`.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use policy::drain::{Action, Config, Drain, Event, Role};
use tokio::sync::watch;

use crate::clock;
use crate::membership;

/// Interval at which the shutdown checks whether requests have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Shutdown state, shared by all requests.
#[derive(Debug)]
pub struct Stop {
    inner: Mutex<Inner>,
    closed: watch::Sender<bool>,
}

/// The state machine and its pending actions. Requests that end between two rounds of
/// [`Stop::run`] leave their actions here.
#[derive(Debug)]
struct Inner {
    drain: Drain,
    actions: Vec<Action>,
}

/// Counts a request as active until dropped.
#[derive(Debug)]
pub struct ActiveRequest(Arc<crate::entry::Context>);

impl Stop {
    /// State of a process that serves.
    pub fn new(config: Config) -> Self {
        Self {
            inner: Mutex::new(Inner {
                drain: Drain::new(config, Role::Entry),
                actions: Vec::new(),
            }),
            closed: watch::Sender::new(false),
        }
    }

    /// Whether the load balancer may send requests to this process.
    pub fn is_ready(&self) -> bool {
        self.lock().drain.is_ready()
    }

    /// Waits until the process stops accepting connections.
    pub async fn closed(&self) {
        let _ = self.closed.subscribe().wait_for(|c| *c).await;
    }

    /// Shuts down; returns once the last request has ended.
    pub async fn run(&self, membership: &membership::CommandSender) {
        let mut event = Event::Stop;
        loop {
            self.step(event);
            let actions = std::mem::take(&mut self.lock().actions);
            for action in actions {
                match action {
                    Action::Announce => {
                        let _ = membership.send(membership::Command::Leave);
                    }
                    // An entry has no queue.
                    Action::GiveBack => {}
                    Action::Close => {
                        self.closed.send_replace(true);
                    }
                    Action::Exit => return,
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
            event = Event::Tick;
        }
    }

    fn step(&self, event: Event) {
        let inner = &mut *self.lock();
        inner.drain.step(clock::now(), event, &mut inner.actions);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ActiveRequest {
    /// Counts a new request.
    pub fn new(cx: &Arc<crate::entry::Context>) -> Self {
        cx.stop.step(Event::Taken);
        Self(Arc::clone(cx))
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.stop.step(Event::Ended);
    }
}
