//! Simulation of entries, sidecars and targets connected by queues of frames, without a network,
//! a clock or tasks.
//!
//! The entry does what `daemon::entry::drive` does with each action, the sidecar what
//! `daemon::sidecar::{serve, active_exchange, run}` do with each frame. One call of
//! [`Simulation::act`] is one step of one of them; after each, [`Simulation::check`] compares what
//! callers got with the targets' log.

#![allow(dead_code, unreachable_pub)]

mod entry;
mod link;
mod sidecar;

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use exchange::{
    Dispatched, Exchange, Failed, Failure, NotRun, Owner, Queued, Registry, Relay, ReplayBuffer,
    Token,
};
use model::{Micros, Outcome};

/// Number of steps after which a simulation counts as endless.
const MAX_STEPS: usize = 3_000;

/// A frame from an entry to a sidecar.
#[derive(Clone, Debug)]
pub enum ToSidecar {
    /// Caller, token, addressed incarnation and number of events to skip.
    Open(usize, Token, u64, u64),
    /// Token, first missing chunk and addressed incarnation.
    Resume(Token, u64, u64),
    Ack(u64),
}

/// A frame from a sidecar to an entry.
#[derive(Clone, Debug)]
pub enum ToEntry {
    Accepted(u64),
    Head,
    Chunk(u64, Bytes),
    End(u64, Bytes),
    Refuse(NotRun, Option<Owner>),
    Fail(Failed),
}

/// Where a connection breaks: the frame at this position and all later ones are lost or late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cut {
    pub up: bool,
    pub at: usize,
    pub late: LateDelivery,
}

/// When the requests on a broken connection are delivered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LateDelivery {
    Never,
    /// Right after the next frame on another connection was handled.
    Next,
    /// When nothing else can make a step.
    Last,
}

#[derive(Debug, Default)]
struct Conn {
    sidecar: usize,
    up: VecDeque<ToSidecar>,
    down: VecDeque<ToEntry>,
    sent: [usize; 2],
    cut: Option<Cut>,
    broken: bool,
    late: VecDeque<ToSidecar>,
    sender: Option<Sender>,
}

/// The sidecar's sender on a connection: which execution it sends, and how far it is.
#[derive(Debug, Default)]
struct Sender {
    execution: usize,
    accepted: bool,
    head: bool,
    /// Next chunk to be sent.
    seq: u64,
    finished: bool,
}

#[derive(Debug, Default)]
enum State {
    Queued(Exchange<Queued>),
    Dispatched(Exchange<Dispatched>, VecDeque<Bytes>),
    #[default]
    Done,
    NotRun(NotRun, Option<Owner>),
    Failed(Failed),
}

/// An exchange at a sidecar incarnation.
#[derive(Debug)]
struct Execution {
    sidecar: usize,
    incarnation: u64,
    caller: usize,
    token: Token,
    /// Events of the answer that the caller already has.
    skip: u64,
    /// Incarnation of the target that runs the request.
    engine: u64,
    state: State,
    replay: ReplayBuffer,
    /// Whether the target has sent the head of its answer.
    head: bool,
    /// Whether the last frame was sent to an entry.
    sent: bool,
}

/// A sidecar with its target.
#[derive(Debug, Default)]
pub struct Sidecar {
    pub incarnation: u64,
    /// No process answers at the sidecar's address.
    pub gone: bool,
    /// The process is frozen: it neither reads nor sends.
    pub paused: bool,
    /// The target accepts no connections.
    pub refuses: bool,
    /// Number of chunks after which the target crashes.
    pub dies_after: Option<usize>,
    /// Incarnation of the target.
    pub engine: u64,
    registry: Registry<usize>,
}

/// A caller's request and how its entry treats it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestSpec {
    pub idempotent: bool,
    pub streamed: bool,
    pub key: Option<u32>,
    /// Number of events in the answer.
    pub events: u8,
    /// Size of each event in bytes.
    pub size: usize,
    /// Whether the entry knows the sidecar's incarnation when it opens the exchange.
    pub incarnation_known: bool,
    /// Whether the entry confirms each chunk instead of only when a confirmation is due.
    pub confirm_each: bool,
}

#[derive(Debug, Default)]
pub struct Caller {
    pub spec: RequestSpec,
    pub relay: Option<Relay>,
    pub received: Vec<u8>,
    pub end: Option<Result<(), Failure>>,
    /// Sidecar, its incarnation and the token of the current exchange.
    at: Option<(usize, u64, Token)>,
    conn: Option<usize>,
    pub tried: Vec<usize>,
    skip: u64,
    resume: Option<u64>,
    pub crashed: bool,
    pub paused: bool,
}

/// A fault in the frames of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Corruption {
    Repeat,
    Swap,
    Lose,
    /// The count in the end frame is one too high.
    More,
    /// The count in the end frame is one too low.
    Fewer,
    /// The hash in the end frame is wrong.
    Digest,
}

/// One step of one participant.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Entry(usize),
    Sidecar(usize),
    Target(usize),
    LateFrames(usize),
}

#[derive(Debug, Default)]
pub struct Simulation {
    pub sidecars: Vec<Sidecar>,
    pub callers: Vec<Caller>,
    /// Requests that reached a target: the caller and the replica.
    pub log: Vec<(usize, usize)>,
    /// Cuts of the connections, in the order in which connections are opened.
    pub cuts: VecDeque<Option<Cut>>,
    /// What happens to the sidecar of the first connection that is cut.
    pub after_cut: AfterCut,
    pub now: Micros,
    conns: Vec<Conn>,
    executions: Vec<Execution>,
    /// Whether the answer to the next claim is lost.
    pub lose_next_claim: bool,
    claims: HashMap<u32, Owner>,
    idle: HashMap<usize, Vec<usize>>,
    tokens: u32,
    steps: usize,
}

/// State of the sidecar when the entry resumes an exchange after a cut.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AfterCut {
    #[default]
    Same,
    Restarted,
    Gone,
}

impl Caller {
    fn relay(&mut self) -> &mut Relay {
        self.relay.as_mut().expect("every caller has a relay")
    }

    fn is_waiting(&self) -> bool {
        self.end.is_none() && !self.crashed
    }
}

impl Simulation {
    pub fn new(sidecars: usize) -> Self {
        let sidecar = |i| Sidecar {
            incarnation: 100 + i as u64,
            engine: 1,
            ..Sidecar::default()
        };
        Self {
            sidecars: (0..sidecars).map(sidecar).collect(),
            ..Self::default()
        }
    }

    pub fn call(&mut self, spec: RequestSpec) {
        self.callers.push(Caller {
            spec,
            relay: Some(Relay::new(spec.idempotent, spec.streamed)),
            ..Caller::default()
        });
    }

    /// Runs until no step is possible and no late frame is left.
    pub fn settle(&mut self) {
        self.sidecars.iter_mut().for_each(|s| s.paused = false);
        self.callers.iter_mut().for_each(|c| c.paused = false);
        loop {
            self.count();
            let moves = self.moves();
            for &m in moves.iter().filter(|m| !matches!(m, Step::LateFrames(_))) {
                self.act(m);
            }
            if moves.iter().any(|m| !matches!(m, Step::LateFrames(_)))
                || self.break_silent()
                || self.confirm_abandoned()
            {
                continue;
            }
            match moves.first() {
                Some(&m) => self.act(m),
                None => break,
            }
        }
    }

    fn count(&mut self) {
        self.steps += 1;
        assert!(self.steps < MAX_STEPS, "endless");
    }

    /// All steps that are possible now.
    pub fn moves(&self) -> Vec<Step> {
        let entry = (0..self.callers.len()).filter(|&i| self.ready(i));
        let awake = |c: &Conn| !self.sidecars[c.sidecar].paused;
        let up = (0..self.conns.len())
            .filter(|&i| !self.conns[i].up.is_empty() && awake(&self.conns[i]));
        let run = (0..self.executions.len()).filter(|&i| self.busy(i));
        let late = (0..self.conns.len()).filter(|&i| !self.conns[i].late.is_empty());
        let moves = up.map(Step::Sidecar).chain(entry.map(Step::Entry));
        let moves = moves.chain(run.map(Step::Target));
        moves.chain(late.map(Step::LateFrames)).collect()
    }

    pub fn act(&mut self, m: Step) {
        self.count();
        match m {
            Step::Entry(i) if self.ready(i) => self.entry(i),
            Step::Target(i) if self.busy(i) => self.target(i),
            Step::Sidecar(i) => {
                if let Some(f) = self.conns[i].up.pop_front() {
                    self.serve(i, f);
                    self.deliver_late(i);
                }
            }
            Step::LateFrames(i) => {
                self.deliver(i);
                self.conns[i].sender = None;
            }
            _ => {}
        }
        self.send_pending();
        self.check();
    }

    /// Checks the guarantees that must hold after every step.
    pub fn check(&self) {
        for (i, c) in self.callers.iter().enumerate() {
            let ran = self.log.iter().filter(|(caller, _)| *caller == i).count();
            let whole: Vec<u8> = (0..c.spec.events).collect();
            assert!(
                whole.starts_with(&c.received),
                "once and in order: {:?}",
                c.received
            );
            if !c.spec.idempotent {
                let same = |j: usize| j == i || c.spec.key.is_some_and(|k| self.key(j) == Some(k));
                let all = self.log.iter().filter(|(caller, _)| same(*caller)).count();
                assert!(all <= 1, "ran {all} times");
            }
            match &c.end {
                Some(Ok(())) => {
                    assert_eq!(c.received, whole, "finished early");
                    assert!(ran > 0 || c.spec.key.is_some(), "an answer from nowhere");
                }
                Some(Err(f)) if f.outcome == Outcome::NotRun => {
                    assert_eq!(ran, 0, "false not run: {f:?}");
                }
                _ => {}
            }
        }
    }

    pub fn restart(&mut self, sidecar: usize) {
        let s = &mut self.sidecars[sidecar];
        s.incarnation += 10;
        s.registry = Registry::default();
        for c in self.conns.iter_mut().filter(|c| c.sidecar == sidecar) {
            c.broken = true;
            c.sender = None;
            c.up.clear();
            c.late.clear();
        }
    }

    /// Crashes the caller's entry; frames that it has sent are still delivered.
    pub fn crash(&mut self, caller: usize) {
        let c = &mut self.callers[caller];
        c.crashed = true;
        if let Some(conn) = c.conn.take() {
            self.conns[conn].broken = true;
        }
    }

    /// Breaks the caller's connection.
    pub fn break_conn(&mut self, caller: usize) {
        if let Some(conn) = self.callers[caller].conn {
            self.conns[conn].broken = true;
            self.conns[conn].sender = None;
        }
    }

    /// Corrupts the next frame for the caller's entry; false if there is no suitable frame.
    pub fn corrupt(&mut self, caller: usize, how: Corruption) -> bool {
        let Some(conn) = self.callers[caller].conn else {
            return false;
        };
        let down = &mut self.conns[conn].down;
        match (how, down.len(), down.front_mut()) {
            (Corruption::Repeat, _, Some(f)) => {
                let f = f.clone();
                down.push_front(f);
            }
            (Corruption::Swap, 2.., _) => down.swap(0, 1),
            (Corruption::Lose, 1.., _) => drop(down.pop_front()),
            (Corruption::More, _, Some(ToEntry::End(count, _))) => *count += 1,
            (Corruption::Fewer, _, Some(ToEntry::End(count @ 1.., _))) => *count -= 1,
            (Corruption::Digest, _, Some(ToEntry::End(_, digest))) => {
                *digest = Bytes::from_static(&[0; 32])
            }
            _ => return false,
        }
        true
    }

    /// Removes ended exchanges from the registries, as sidecars do after a while.
    pub fn forget(&mut self) {
        for r in &self.executions {
            let ran = matches!(r.state, State::Done | State::Failed(_));
            if r.sent && self.sidecars[r.sidecar].incarnation == r.incarnation {
                let registry = &mut self.sidecars[r.sidecar].registry;
                registry.close(self.now, &r.token, ran);
            }
        }
    }

    /// Whether no execution holds a slot of its target.
    pub fn idle(&self) -> bool {
        let open = |r: &Execution| matches!(r.state, State::Queued(_) | State::Dispatched(..));
        !self.executions.iter().any(|r| open(r) && self.live(r))
    }

    /// The caller that a step belongs to.
    pub fn owner(&self, m: Step) -> usize {
        let of = |n: usize| self.callers.iter().position(|c| c.conn == Some(n));
        match m {
            Step::Entry(i) => i,
            Step::Target(i) => self.executions[i].caller,
            Step::Sidecar(n) | Step::LateFrames(n) => of(n).unwrap_or(0),
        }
    }

    fn key(&self, caller: usize) -> Option<u32> {
        self.callers[caller].spec.key
    }
}
