//! Entries, sidecars and targets joined by queues of frames: no network, no clock, no tasks.
//!
//! The entry does what `daemon::entry::drive` does with each action, the sidecar what
//! `daemon::sidecar::{serve, live, run}` do with each frame. One call of [`World::act`] is one
//! step of one of them; after each, [`World::check`] holds the promises against the target's log.

#![allow(dead_code, unreachable_pub)]

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use exchange::{
    Action, Event, Exchange, Failed, Failure, Handed, Meant, NotRun, Owner, Queued, Registry,
    Relay, Retain, RetainError, Seen, Token,
};
use model::{Code, Micros, Outcome};

/// Steps after which a run counts as endless.
const STEPS: usize = 3_000;

#[derive(Clone, Debug)]
pub enum Up {
    Open {
        who: usize,
        token: Token,
        life: u64,
        skip: u64,
    },
    Resume {
        token: Token,
        next: u64,
        life: u64,
    },
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
    Handed(Exchange<Handed>, VecDeque<Bytes>),
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
    retain: Retain,
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
    engine: u64,
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

    pub fn kill_engine(&mut self, side: usize) {
        self.sides[side].engine += 1;
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
        let open = |r: &Run| matches!(r.state, State::Queued(_) | State::Handed(..));
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

    // The entry.

    fn ready(&self, i: usize) -> bool {
        let c = &self.callers[i];
        let readable = |n: usize| !self.conns[n].down.is_empty() || self.conns[n].broken;
        c.waits()
            && !c.paused
            && (c.at.is_none() || c.resume.is_some() || c.conn.is_none_or(readable))
    }

    /// Connections on which nothing moves any more; only those with a carrier have heartbeats.
    fn silence(&mut self) -> bool {
        let Some(i) = self.callers.iter().position(Caller::waits) else {
            return false;
        };
        let conn = self.callers[i].conn.expect("waits on a connection");
        let carry = self.conns[conn].carry.as_ref();
        assert!(carry.is_none_or(|c| c.over), "stalled for good");
        self.conns[conn].broken = true;
        true
    }

    /// A run that nobody reads goes on after a while, as `lifetime` in the sidecar has it.
    fn orphan(&mut self) -> bool {
        let stuck = |r: &Run| matches!(r.state, State::Handed(..)) && r.retain.full();
        let Some(i) = self.runs.iter().position(|r| stuck(r) && self.live(r)) else {
            return false;
        };
        self.runs[i].retain.confirm(u64::MAX);
        true
    }

    fn entry(&mut self, i: usize) {
        if self.callers[i].at.is_none() {
            return self.attempt(i);
        }
        if let Some(next) = self.callers[i].resume.take() {
            return self.resume(i, next);
        }
        let frame = self.callers[i]
            .conn
            .and_then(|n| self.conns[n].down.pop_front());
        let event = match frame {
            None => Event::Lost,
            Some(Down::Accepted(life)) => {
                self.callers[i].at.as_mut().expect("attempted").1 = life;
                return;
            }
            Some(Down::Head) => return,
            Some(Down::Chunk(seq, data)) => Event::Chunk {
                seq,
                events: u64::from(data[0]),
                data,
            },
            Some(Down::End(count, digest)) => Event::End { count, digest },
            Some(Down::Refuse(n, owner)) if n.code() == Code::AlreadyAttempted => {
                Event::Claimed(owner)
            }
            Some(Down::Refuse(n, _)) => Event::Refused(n),
            Some(Down::Fail(f)) => Event::Failed(f),
        };
        self.step(i, event);
    }

    fn attempt(&mut self, i: usize) {
        let ask = self.callers[i].ask;
        let side = self.callers[i].tried.len();
        self.callers[i].tried.push(side);
        self.tokens += 1;
        let token = Token(Bytes::copy_from_slice(&self.tokens.to_le_bytes()));
        let life = if ask.known { self.sides[side].life } else { 0 };
        self.callers[i].at = Some((side, life, token.clone()));
        if self.sides[side].gone {
            return self.step(i, Event::Unsent);
        }
        let pooled = self.idle.get_mut(&side).and_then(Vec::pop);
        let conn = pooled.filter(|&n| !self.conns[n].broken && self.conns[n].down.is_empty());
        let conn = conn.unwrap_or_else(|| self.dial(side));
        self.callers[i].conn = Some(conn);
        let who = i;
        let skip = self.callers[i].skip;
        self.send(
            conn,
            Up::Open {
                who,
                token,
                life,
                skip,
            },
        );
    }

    fn resume(&mut self, i: usize, next: u64) {
        self.callers[i].conn = None;
        let (side, life, token) = self.callers[i].at.clone().expect("attempted");
        if self.sides[side].gone {
            return self.step(i, Event::Gone);
        }
        let conn = self.dial(side);
        self.callers[i].conn = Some(conn);
        self.send(conn, Up::Resume { token, next, life });
    }

    fn step(&mut self, i: usize, event: Event) {
        match self.callers[i].relay().step(event) {
            Action::Wait => {}
            Action::Deliver(data) => {
                let n = usize::from(data[0]);
                self.callers[i].got.extend_from_slice(&data[1..=n]);
                self.confirm(i);
            }
            Action::Resume { next, pause } => {
                self.now = self.now + pause;
                self.callers[i].resume = Some(next);
            }
            Action::Join(owner) => {
                let side = self.sides.iter().position(|s| s.life == owner.incarnation);
                // An address whose process has begun a new life answers as that.
                let side = side.unwrap_or_else(|| owner.address.parse().expect("an index"));
                self.pool(i);
                let c = &mut self.callers[i];
                c.at = Some((side, owner.incarnation, Token(owner.token)));
                c.resume = Some(0);
            }
            Action::Elsewhere { delivered, failure } => {
                let more = self.callers[i].tried.len() < self.sides.len();
                let c = &mut self.callers[i];
                c.conn = None;
                c.skip = delivered;
                if !c.ask.streamed {
                    c.got.clear();
                }
                match more && (c.ask.idempotent || failure.outcome == Outcome::NotRun) {
                    true => c.at = None,
                    false => c.end = Some(Err(failure)),
                }
            }
            Action::Finish => {
                self.callers[i].end = Some(Ok(()));
                self.pool(i);
            }
            Action::Give(f) => self.callers[i].end = Some(Err(f)),
        }
    }

    fn confirm(&mut self, i: usize) {
        let c = &mut self.callers[i];
        let due = c.relay().confirm();
        let next = if c.ask.eager {
            Some(c.relay().next())
        } else {
            due
        };
        if let (Some(n), Some(conn)) = (next, c.conn) {
            self.send(conn, Up::Ack(n));
        }
    }

    fn pool(&mut self, i: usize) {
        if let Some(conn) = self.callers[i].conn.take() {
            let side = self.conns[conn].side;
            self.idle.entry(side).or_default().push(conn);
        }
    }

    // The connections.

    fn dial(&mut self, side: usize) -> usize {
        let cut = self.cuts.pop_front().flatten();
        self.conns.push(Conn {
            side,
            cut,
            ..Conn::default()
        });
        self.conns.len() - 1
    }

    /// Counts a frame; true if it gets through.
    fn passes(&mut self, conn: usize, up: bool) -> bool {
        let c = &mut self.conns[conn];
        let n = c.sent[usize::from(up)];
        c.sent[usize::from(up)] += 1;
        let struck = c.cut.is_some_and(|k| k.up == up && k.at == n) && !c.broken;
        if !struck {
            return !c.broken;
        }
        c.broken = true;
        let (side, half) = (c.side, c.cut.is_some_and(|k| k.late != Late::Never));
        if !half {
            c.carry = None;
        }
        match std::mem::replace(&mut self.fate, Fate::Same) {
            Fate::Same => {}
            Fate::Restarted => self.restart(side),
            Fate::Nobody => {
                self.restart(side);
                self.sides[side].gone = true;
            }
        }
        false
    }

    fn send(&mut self, conn: usize, frame: Up) {
        let passes = self.passes(conn, true);
        let c = &mut self.conns[conn];
        match (passes, c.cut) {
            (true, _) => c.up.push_back(frame),
            (false, Some(k)) if k.late != Late::Never => c.late.push_back(frame),
            _ => {}
        }
    }

    fn answer(&mut self, conn: usize, frame: Down) {
        if self.passes(conn, false) {
            self.conns[conn].down.push_back(frame);
        }
    }

    /// Lets arrive what comes late, after a frame was served on another connection.
    fn ripen(&mut self, served: usize) {
        for i in (0..self.conns.len()).filter(|&i| i != served) {
            if self.conns[i].cut.is_some_and(|c| c.late == Late::Next) {
                self.arrive(i);
            }
        }
    }

    fn arrive(&mut self, conn: usize) {
        for f in std::mem::take(&mut self.conns[conn].late) {
            self.serve(conn, f);
        }
    }

    // The sidecar.

    fn serve(&mut self, conn: usize, frame: Up) {
        let side = self.conns[conn].side;
        let mine = self.sides[side].life;
        match frame {
            Up::Open {
                who,
                token,
                life,
                skip,
            } => {
                let fresh = self.runs.len();
                let meant = Meant::of(life, mine);
                let registry = &mut self.sides[side].registry;
                match registry.open(meant, token.clone(), || fresh) {
                    Seen::Fresh => {
                        self.runs.push(self.arrived(side, who, token, skip));
                        self.carry(conn, fresh, 0);
                    }
                    Seen::Live(run) => self.carry(conn, run, 0),
                    Seen::Void => self.refuse(conn, Code::Cancelled),
                    Seen::Other => self.refuse(conn, Code::NoTarget),
                    Seen::Over => self.lost(conn),
                }
            }
            Up::Resume { token, next, life } => {
                let meant = Meant::of(life, mine);
                match self.sides[side].registry.resume(self.now, meant, token) {
                    Seen::Live(run) => {
                        self.runs[run].retain.confirm(next);
                        self.carry(conn, run, next);
                    }
                    Seen::Void | Seen::Fresh => self.refuse(conn, Code::NoTarget),
                    Seen::Over | Seen::Other => self.lost(conn),
                }
            }
            Up::Ack(n) => {
                if let Some(c) = self.conns[conn].carry.as_ref().filter(|c| !c.over) {
                    self.runs[c.run].retain.confirm(n);
                }
            }
        }
    }

    fn arrived(&self, side: usize, who: usize, token: Token, skip: u64) -> Run {
        let keyed = self.callers[who].ask.key.is_some();
        Run {
            side,
            life: self.sides[side].life,
            who,
            token,
            skip,
            state: State::Queued(Exchange::new()),
            retain: if keyed {
                Retain::keeping()
            } else {
                Retain::default()
            },
            engine: 0,
            head: false,
            sent: false,
        }
    }

    fn refuse(&mut self, conn: usize, code: Code) {
        let n = Exchange::new().refuse(code, None);
        self.answer(conn, Down::Refuse(n, None));
    }

    fn lost(&mut self, conn: usize) {
        let f = Exchange::new().hand().fail(Code::TargetLost, false, false);
        self.answer(conn, Down::Fail(f));
    }

    fn carry(&mut self, conn: usize, run: usize, seq: u64) {
        self.conns[conn].carry = Some(Carry {
            run,
            seq,
            ..Carry::default()
        });
    }

    /// Sends what there is on every connection.
    fn pump(&mut self) {
        for i in 0..self.conns.len() {
            while let Some(frame) = self.next(i) {
                self.answer(i, frame);
            }
        }
    }

    fn next(&mut self, conn: usize) -> Option<Down> {
        let side = self.conns[conn].side;
        let life = self.sides[side].life;
        let c = self.conns[conn].carry.as_mut().filter(|c| !c.over)?;
        let r = &mut self.runs[c.run];
        if !std::mem::replace(&mut c.accepted, true) {
            return Some(Down::Accepted(life));
        }
        if r.head && !std::mem::replace(&mut c.head, true) {
            return Some(Down::Head);
        }
        let chunk = r.retain.get(c.seq);
        if let Ok(Some(data)) = chunk {
            c.seq += 1;
            return Some(Down::Chunk(c.seq - 1, data));
        }
        if let Err(e) = chunk {
            c.over = true;
            let known = matches!(e, RetainError::Gone(_));
            assert!(known, "{e}");
            let f = Exchange::new().hand().fail(Code::TargetLost, false, false);
            return Some(Down::Fail(f));
        }
        let last = match &r.state {
            State::Queued(_) | State::Handed(..) => return None,
            State::Done => {
                let (count, digest) = r.retain.total().expect("ended");
                Down::End(count, digest)
            }
            State::NotRun(n, owner) => Down::Refuse(n.clone(), owner.clone()),
            State::Failed(f) => Down::Fail(f.clone()),
        };
        c.over = true;
        r.sent = true;
        Some(last)
    }

    // The target.

    fn busy(&self, i: usize) -> bool {
        let r = &self.runs[i];
        let open = matches!(r.state, State::Queued(_) | State::Handed(..));
        open && self.live(r) && (!r.retain.full() || self.struck(i))
    }

    fn live(&self, r: &Run) -> bool {
        let s = &self.sides[r.side];
        s.life == r.life && !s.paused
    }

    fn struck(&self, i: usize) -> bool {
        let r = &self.runs[i];
        matches!(r.state, State::Handed(..)) && r.engine != self.sides[r.side].engine
    }

    fn target(&mut self, i: usize) {
        let side = self.runs[i].side;
        let s = &mut self.sides[side];
        if s.dies
            .is_some_and(|n| n as u64 == self.runs[i].retain.next() && self.runs[i].head)
        {
            s.dies = None;
            s.engine += 1;
        }
        let struck = self.struck(i);
        let state = std::mem::replace(&mut self.runs[i].state, State::Done);
        let state = match state {
            State::Queued(ex) => self.admitted(i, ex),
            State::Handed(ex, _) if struck => State::Failed(ex.fail(Code::TargetLost, false, true)),
            State::Handed(ex, left) if !self.runs[i].head => {
                self.runs[i].head = true;
                State::Handed(ex, left)
            }
            State::Handed(ex, mut left) => match left.pop_front() {
                Some(data) => {
                    self.runs[i].retain.push(data);
                    State::Handed(ex, left)
                }
                None => {
                    self.runs[i].retain.end();
                    ex.complete();
                    State::Done
                }
            },
            over => over,
        };
        self.runs[i].state = state;
    }

    fn admitted(&mut self, i: usize, ex: Exchange<Queued>) -> State {
        let (side, who) = (self.runs[i].side, self.runs[i].who);
        if self.sides[side].dead {
            return State::NotRun(ex.refuse(Code::NoTarget, None), None);
        }
        let ask = self.callers[who].ask;
        let mine = Owner {
            token: self.runs[i].token.0.clone(),
            address: side.to_string(),
            incarnation: self.sides[side].life,
        };
        if let Some(key) = ask.key.filter(|_| !ask.idempotent) {
            let lossy = std::mem::take(&mut self.lossy);
            let owner = self.claims.entry(key).or_insert(mine.clone());
            if lossy {
                return State::NotRun(ex.refuse(Code::PlatformDown, None), None);
            }
            if *owner != mine {
                let n = ex.refuse(Code::AlreadyAttempted, None);
                return State::NotRun(n, Some(owner.clone()));
            }
        }
        self.log.push((who, side));
        self.runs[i].engine = self.sides[side].engine;
        let from = self.runs[i].skip as u8;
        State::Handed(ex.hand(), chunks(from..ask.events, 1 + side, ask.size))
    }
}

/// Events in chunks of so many, each led by their number.
fn chunks(events: std::ops::Range<u8>, group: usize, size: usize) -> VecDeque<Bytes> {
    let events: Vec<u8> = events.collect();
    let chunk = |g: &[u8]| {
        let mut data = vec![g.len() as u8];
        data.extend_from_slice(g);
        data.resize(data.len().max(size * g.len()), 0);
        Bytes::from(data)
    };
    events.chunks(group).map(chunk).collect()
}
