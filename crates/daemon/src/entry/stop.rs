//! A planned stop of an entry: `policy::drain` with its signals.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use policy::drain::{Action, Config, Drain, Event, Role};
use tokio::sync::watch;

use crate::clock;
use crate::membership;

/// Longest sleep while waiting for requests to end.
const SLEEP: Duration = Duration::from_millis(50);

/// The stop, shared by all requests.
#[derive(Debug)]
pub struct Stop {
    inner: Mutex<Inner>,
    closed: watch::Sender<bool>,
}

/// The state machine and what it wants done; requests that end between two turns of the run loop
/// leave their actions here.
#[derive(Debug)]
struct Inner {
    drain: Drain,
    out: Vec<Action>,
}

/// Counts a request for as long as it lives.
#[derive(Debug)]
pub struct Taken(Arc<crate::entry::Context>);

impl Stop {
    /// A process that serves.
    pub fn new(config: Config) -> Self {
        Self {
            inner: Mutex::new(Inner {
                drain: Drain::new(config, Role::Entry),
                out: Vec::new(),
            }),
            closed: watch::Sender::new(false),
        }
    }

    /// Whether the balancer may send requests here.
    pub fn is_ready(&self) -> bool {
        self.lock().drain.is_ready()
    }

    /// Waits until no more connections are to be taken.
    pub async fn closed(&self) {
        let _ = self.closed.subscribe().wait_for(|c| *c).await;
    }

    /// Stops: from the notice to the end of the last request.
    pub async fn run(&self, members: &membership::CommandSender) {
        let mut event = Event::Stop;
        loop {
            self.step(event);
            let out = std::mem::take(&mut self.lock().out);
            for action in out {
                match action {
                    Action::Announce => {
                        let _ = members.send(membership::Command::Leave);
                    }
                    // An entry queues nothing.
                    Action::GiveBack => {}
                    Action::Close => {
                        self.closed.send_replace(true);
                    }
                    Action::Exit => return,
                }
            }
            tokio::time::sleep(SLEEP).await;
            event = Event::Tick;
        }
    }

    fn step(&self, event: Event) {
        let inner = &mut *self.lock();
        inner.drain.step(clock::now(), event, &mut inner.out);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Taken {
    /// Takes a request.
    pub fn new(cx: &Arc<crate::entry::Context>) -> Self {
        cx.stop.step(Event::Taken);
        Self(Arc::clone(cx))
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.0.stop.step(Event::Ended);
    }
}
