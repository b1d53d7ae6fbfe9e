//! Entries, sidecars and targets joined by queues of frames: no network, no clock, no tasks.
//!
//! The entry does what `daemon::entry::drive` does with each action, the sidecar what
//! `daemon::sidecar::{serve, live, run}` do with each frame. One call of [`World::act`] is one
//! step of one of them; after each, [`World::check`] holds the promises against the target's log.

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

/// Steps after which a run counts as endless.
const STEPS: usize = 3_000;

#[derive(Clone, Debug)]
pub enum Up {
    /// Of a caller, for a sidecar's life, after so many events.
    Open(usize, Token, u64, u64),
    /// From a chunk on, at a sidecar's life.
    Resume(Token, u64, u64),
    Ack(u64),
}

#[derive(Clone, Debug)]
pub enum Down {
    Accepted(u64),
    Head,
    Chunk(u64, Bytes),
    End(u64, Bytes),
    Refuse(NotRun, Option<Owner>),
    Fail(Failed),
}

/// Where a connection breaks: frames from this one on don't arrive, or arrive late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cut {
    pub up: bool,
    pub at: usize,
    pub late: Late,
}

/// What becomes of the requests on a broken connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Late {
    Never,
    /// Right after the next frame on another connection.
    Next,
    /// When all else has come to rest.
    Last,
}

#[derive(Debug, Default)]
struct Conn {
    side: usize,
    up: VecDeque<Up>,
    down: VecDeque<Down>,
    sent: [usize; 2],
    cut: Option<Cut>,
    broken: bool,
    late: VecDeque<Up>,
    carry: Option<Carry>,
}

#[derive(Debug, Default)]
struct Carry {
    run: usize,
    accepted: bool,
    head: bool,
    seq: u64,
    over: bool,
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

#[derive(Debug)]
struct Run {
    side: usize,
    life: u64,
    who: usize,
    token: Token,
    skip: u64,
    engine: u64,
    state: State,
    retain: ReplayBuffer,
    head: bool,
    sent: bool,
}

/// A sidecar and its target.
#[derive(Debug, Default)]
pub struct Side {
    pub life: u64,
    pub gone: bool,
    /// Neither reads nor sends for a while.
    pub paused: bool,
    pub dead: bool,
    /// The target dies when it has given so many chunks.
    pub dies: Option<usize>,
    /// Its target's life.
    pub engine: u64,
    registry: Registry<usize>,
}

/// What a caller asks for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ask {
    pub idempotent: bool,
    pub streamed: bool,
    pub key: Option<u32>,
    /// Events of the answer.
    pub events: u8,
    /// Bytes of each.
    pub size: usize,
    /// Whether the entry knows the sidecar's life before it opens.
    pub known: bool,
    /// Whether each chunk is confirmed, or as the entry does it.
    pub eager: bool,
}

#[derive(Debug, Default)]
pub struct Caller {
    pub ask: Ask,
    pub relay: Option<Relay>,
    pub got: Vec<u8>,
    pub end: Option<Result<(), Failure>>,
    at: Option<(usize, u64, Token)>,
    conn: Option<usize>,
    pub tried: Vec<usize>,
    skip: u64,
    resume: Option<u64>,
    pub crashed: bool,
    pub paused: bool,
}

/// What may be wrong with the frames of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Spoil {
    Repeat,
    Swap,
    Lose,
    /// The end counts one chunk more.
    More,
    /// Or one fewer.
    Fewer,
    /// Its hash is another.
    Digest,
}

/// One step of one participant.
#[derive(Clone, Copy, Debug)]
pub enum Move {
    Entry(usize),
    Up(usize),
    Target(usize),
    Late(usize),
}

#[derive(Debug, Default)]
pub struct World {
    pub sides: Vec<Side>,
    pub callers: Vec<Caller>,
    /// What the targets saw: the caller and the replica.
    pub log: Vec<(usize, usize)>,
    /// Cuts of the connections in the order in which they are made.
    pub cuts: VecDeque<Option<Cut>>,
    /// What the first cut does to its sidecar.
    pub fate: Fate,
    pub now: Micros,
    conns: Vec<Conn>,
    runs: Vec<Run>,
    /// The answer to the next claim is lost.
    pub lossy: bool,
    claims: HashMap<u32, Owner>,
    idle: HashMap<usize, Vec<usize>>,
    tokens: u32,
    steps: usize,
}

/// Whom the resumption meets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fate {
    #[default]
    Same,
    Restarted,
    Nobody,
}

impl Caller {
    fn relay(&mut self) -> &mut Relay {
        self.relay.as_mut().expect("made with it")
    }

    fn waits(&self) -> bool {
        self.end.is_none() && !self.crashed
    }
}

impl World {
    pub fn new(sides: usize) -> Self {
        let side = |i| Side {
            life: 100 + i as u64,
            engine: 1,
            ..Side::default()
        };
        Self {
            sides: (0..sides).map(side).collect(),
            ..Self::default()
        }
    }

    pub fn call(&mut self, ask: Ask) {
        self.callers.push(Caller {
            ask,
            relay: Some(Relay::new(ask.idempotent, ask.streamed)),
            ..Caller::default()
        });
    }

    /// Runs until nothing moves and no late frame is left.
    pub fn settle(&mut self) {
        self.sides.iter_mut().for_each(|s| s.paused = false);
        self.callers.iter_mut().for_each(|c| c.paused = false);
        loop {
            self.count();
            let moves = self.moves();
            for &m in moves.iter().filter(|m| !matches!(m, Move::Late(_))) {
                self.act(m);
            }
            if moves.iter().any(|m| !matches!(m, Move::Late(_))) || self.silence() || self.orphan()
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
        assert!(self.steps < STEPS, "endless");
    }

    /// All that can move now.
    pub fn moves(&self) -> Vec<Move> {
        let entry = (0..self.callers.len()).filter(|&i| self.ready(i));
        let awake = |c: &Conn| !self.sides[c.side].paused;
        let up = (0..self.conns.len())
            .filter(|&i| !self.conns[i].up.is_empty() && awake(&self.conns[i]));
        let run = (0..self.runs.len()).filter(|&i| self.busy(i));
        let late = (0..self.conns.len()).filter(|&i| !self.conns[i].late.is_empty());
        let moves = up.map(Move::Up).chain(entry.map(Move::Entry));
        let moves = moves.chain(run.map(Move::Target));
        moves.chain(late.map(Move::Late)).collect()
    }

    pub fn act(&mut self, m: Move) {
        self.count();
        match m {
            Move::Entry(i) if self.ready(i) => self.entry(i),
            Move::Target(i) if self.busy(i) => self.target(i),
            Move::Up(i) => {
                if let Some(f) = self.conns[i].up.pop_front() {
                    self.serve(i, f);
                    self.ripen(i);
                }
            }
            Move::Late(i) => {
                self.arrive(i);
                self.conns[i].carry = None;
            }
            _ => {}
        }
        self.pump();
        self.check();
    }

    /// The promises, at every step.
    pub fn check(&self) {
        for (i, c) in self.callers.iter().enumerate() {
            let ran = self.log.iter().filter(|(who, _)| *who == i).count();
            let whole: Vec<u8> = (0..c.ask.events).collect();
            assert!(whole.starts_with(&c.got), "once and in order: {:?}", c.got);
            if !c.ask.idempotent {
                let same = |j: usize| j == i || c.ask.key.is_some_and(|k| self.key(j) == Some(k));
                let all = self.log.iter().filter(|(who, _)| same(*who)).count();
                assert!(all <= 1, "ran {all} times");
            }
            match &c.end {
                Some(Ok(())) => {
                    assert_eq!(c.got, whole, "finished early");
                    assert!(ran > 0 || c.ask.key.is_some(), "an answer from nowhere");
                }
                Some(Err(f)) if f.outcome == Outcome::NotRun => {
                    assert_eq!(ran, 0, "false not run: {f:?}");
                }
                _ => {}
            }
        }
    }

    pub fn restart(&mut self, side: usize) {
        let s = &mut self.sides[side];
        s.life += 10;
        s.registry = Registry::default();
        for c in self.conns.iter_mut().filter(|c| c.side == side) {
            c.broken = true;
            c.carry = None;
            c.up.clear();
            c.late.clear();
        }
    }

    /// The entry dies; what it sent is still under way.
    pub fn crash(&mut self, caller: usize) {
        let c = &mut self.callers[caller];
        c.crashed = true;
        if let Some(conn) = c.conn.take() {
            self.conns[conn].broken = true;
        }
    }

    /// Every connection of a caller breaks now.
    pub fn break_conn(&mut self, caller: usize) {
        if let Some(conn) = self.callers[caller].conn {
            self.conns[conn].broken = true;
            self.conns[conn].carry = None;
        }
    }

    /// Spoils what the caller's entry reads next; false if there is nothing to spoil.
    pub fn spoil(&mut self, caller: usize, how: Spoil) -> bool {
        let Some(conn) = self.callers[caller].conn else {
            return false;
        };
        let down = &mut self.conns[conn].down;
        match (how, down.len(), down.front_mut()) {
            (Spoil::Repeat, _, Some(f)) => {
                let f = f.clone();
                down.push_front(f);
            }
            (Spoil::Swap, 2.., _) => down.swap(0, 1),
            (Spoil::Lose, 1.., _) => drop(down.pop_front()),
            (Spoil::More, _, Some(Down::End(count, _))) => *count += 1,
            (Spoil::Fewer, _, Some(Down::End(count @ 1.., _))) => *count -= 1,
            (Spoil::Digest, _, Some(Down::End(_, digest))) => {
                *digest = Bytes::from_static(&[0; 32])
            }
            _ => return false,
        }
        true
    }

    /// Ended exchanges are forgotten, as they are after a while.
    pub fn forget(&mut self) {
        for r in &self.runs {
            let ran = matches!(r.state, State::Done | State::Failed(_));
            if r.sent && self.sides[r.side].life == r.life {
                let registry = &mut self.sides[r.side].registry;
                registry.close(self.now, &r.token, ran);
            }
        }
    }

    /// Whether no run holds a slot of its target.
    pub fn idle(&self) -> bool {
        let open = |r: &Run| matches!(r.state, State::Queued(_) | State::Dispatched(..));
        !self.runs.iter().any(|r| open(r) && self.live(r))
    }

    /// The caller for whom a step is made.
    pub fn owner(&self, m: Move) -> usize {
        let of = |n: usize| self.callers.iter().position(|c| c.conn == Some(n));
        match m {
            Move::Entry(i) => i,
            Move::Target(i) => self.runs[i].who,
            Move::Up(n) | Move::Late(n) => of(n).unwrap_or(0),
        }
    }

    fn key(&self, caller: usize) -> Option<u32> {
        self.callers[caller].ask.key
    }
}
