//! Graceful shutdown that cuts off no request.
//!
//! Load pattern: every process is replaced on an ordinary day, under load, often many in a row. A process
//! that exits on its signal cuts all its streams. One that stops listening first refuses requests that the
//! load balancer still sends, as the balancer learns of the shutdown late.
//!
//! Steps: readiness is withdrawn, so that the balancer and the entries choose other processes. Queued
//! requests are returned as not run and placed elsewhere. Until the notice ends, late arrivals are accepted
//! at an entry, and refused as not run at a sidecar. Running requests finish, then the process exits. There
//! is no time limit here: the sender of the signal decides how long a request may take.
//!
//! Balancers check readiness every second or two and need two failures, hence 5 s of notice at an entry. A
//! sidecar refuses at once, since entries retry elsewhere at no cost.

use model::Micros;

/// Kind of process that shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts late arrivals during its notice.
    Entry,
    /// Refuses late arrivals as not run.
    Sidecar,
}

/// Settings of the shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// How long late arrivals are expected after readiness is withdrawn; 5 s.
    pub notice: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            notice: Micros::from_secs(5),
        }
    }
}

/// Input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The process got the signal to stop.
    Stop,
    /// A request was accepted.
    Taken,
    /// An accepted request has ended, whatever its outcome.
    Ended,
    /// Time has passed.
    Tick,
}

/// What the caller has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Withdraw readiness and announce to the members that this process leaves.
    Announce,
    /// Return queued requests as not run.
    GiveBack,
    /// Stop listening.
    Close,
    /// Exit: no requests are running.
    Exit,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Serving,
    Notice { until: Micros },
    Finishing,
    Exited,
}

/// State machine of a process from serving to its exit.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    config: Config,
    role: Role,
    phase: Phase,
    running: u64,
}

impl Drain {
    /// A process in service.
    pub fn new(config: Config, role: Role) -> Self {
        Self {
            config,
            role,
            phase: Phase::Serving,
            running: 0,
        }
    }

    /// Handles an event and appends the resulting actions.
    pub fn step(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Taken => self.running += 1,
            Event::Ended => self.running = self.running.saturating_sub(1),
            Event::Stop if self.phase == Phase::Serving => self.stop(now, out),
            // A second signal must not shorten the notice or repeat the actions.
            Event::Stop | Event::Tick => {}
        }
        match self.phase {
            Phase::Notice { until } if now >= until => {
                out.push(Action::Close);
                self.phase = Phase::Finishing;
            }
            _ => {}
        }
        if self.phase == Phase::Finishing && self.running == 0 {
            out.push(Action::Exit);
            self.phase = Phase::Exited;
        }
    }

    /// Whether the process reports itself as ready to the load balancer.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether a request that arrives now is accepted.
    pub fn accepts(&self) -> bool {
        match (self.phase, self.role) {
            (Phase::Serving, _) | (Phase::Notice { .. }, Role::Entry) => true,
            (Phase::Notice { .. }, Role::Sidecar) | (Phase::Finishing | Phase::Exited, _) => false,
        }
    }

    /// When the next [`Event::Tick`] is due.
    pub fn wake(&self) -> Option<Micros> {
        match self.phase {
            Phase::Notice { until } => Some(until),
            _ => None,
        }
    }

    /// Number of running requests.
    pub fn running(&self) -> u64 {
        self.running
    }

    fn stop(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::Announce);
        out.push(Action::GiveBack);
        self.phase = Phase::Notice {
            until: now + self.config.notice,
        };
    }
}
