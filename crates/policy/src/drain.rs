//! A planned stop that cuts off no request.
//!
//! Load pattern: every process is replaced on an ordinary day, under load, often many in a row. A
//! process that exits on its signal cuts all its streams; one that stops listening first refuses
//! the requests that the balancer, which learns of it late, still sends.
//!
//! The steps: not ready, so that the balancer and the entries look elsewhere; what is queued goes
//! back as not run and is placed elsewhere; late arrivals are still taken (at an entry) or refused
//! as not run (at a sidecar) until the notice is over; what runs is finished; exit. There is no
//! time limit here: whoever sends the signal decides how long a request may take.
//!
//! Grounds: balancers check readiness every second or two and need two failures, hence 5 s of
//! notice at an entry. A sidecar refuses at once, since entries try elsewhere at no cost.

use model::Micros;

/// What kind of process stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes late arrivals for the time of its notice.
    Entry,
    /// Refuses late arrivals as not run.
    Sidecar,
}

/// How a process stops.
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

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// It is told to stop.
    Stop,
    /// A request was taken.
    Taken,
    /// A request that was taken has ended, in whatever way.
    Ended,
    /// Time has passed.
    Tick,
}

/// What the driver is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Withdraw readiness and announce the leave to members.
    Announce,
    /// Give queued requests back as not run.
    GiveBack,
    /// Stop listening.
    Close,
    /// Exit; nothing runs.
    Exit,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Serving,
    Notice { until: Micros },
    Finishing,
    Gone,
}

/// The life of a process from serving to its exit.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    config: Config,
    role: Role,
    phase: Phase,
    running: u64,
}

impl Drain {
    /// A process that serves.
    pub fn new(config: Config, role: Role) -> Self {
        Self {
            config,
            role,
            phase: Phase::Serving,
            running: 0,
        }
    }

    /// Takes an event.
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
            self.phase = Phase::Gone;
        }
    }

    /// Whether the balancer may send requests here.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether a request that comes now is taken.
    pub fn accepts(&self) -> bool {
        match (self.phase, self.role) {
            (Phase::Serving, _) | (Phase::Notice { .. }, Role::Entry) => true,
            (Phase::Notice { .. }, Role::Sidecar) | (Phase::Finishing | Phase::Gone, _) => false,
        }
    }

    /// When [`Event::Tick`] is next needed.
    pub fn wake(&self) -> Option<Micros> {
        match self.phase {
            Phase::Notice { until } => Some(until),
            _ => None,
        }
    }

    /// Requests that are not yet ended.
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
