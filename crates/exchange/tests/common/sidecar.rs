//! The sidecar's part and its target's, as `daemon::sidecar::{serve, live, run}` have them.

use std::collections::VecDeque;

use bytes::Bytes;
use exchange::{
    Exchange, IncarnationMatch, Lookup, Owner, Queued, ReplayBuffer, ReplayError, Token,
};
use model::Code;

use super::{Carry, Down, Run, State, Up, World};

impl World {
    /// A run that nobody reads goes on after a while, as `lifetime` in the sidecar has it.
    pub(super) fn orphan(&mut self) -> bool {
        let stuck = |r: &Run| matches!(r.state, State::Dispatched(..)) && r.retain.full();
        let Some(i) = self.runs.iter().position(|r| stuck(r) && self.live(r)) else {
            return false;
        };
        self.runs[i].retain.confirm(u64::MAX);
        true
    }

    pub(super) fn serve(&mut self, conn: usize, frame: Up) {
        let side = self.conns[conn].side;
        let mine = self.sides[side].life;
        match frame {
            Up::Open(who, token, life, skip) => {
                let fresh = self.runs.len();
                let meant = IncarnationMatch::compare(life, mine);
                let registry = &mut self.sides[side].registry;
                match registry.open(meant, token.clone(), || fresh) {
                    Lookup::New => {
                        self.runs.push(self.arrived(side, who, token, skip));
                        self.carry(conn, fresh, 0);
                    }
                    Lookup::Active(run) => self.carry(conn, run, 0),
                    Lookup::Voided => self.refuse(conn, Code::Cancelled),
                    Lookup::OtherIncarnation => self.refuse(conn, Code::NoTarget),
                    Lookup::Ended => self.lost(conn),
                }
            }
            Up::Resume(token, next, life) => {
                let meant = IncarnationMatch::compare(life, mine);
                match self.sides[side].registry.resume(self.now, meant, token) {
                    Lookup::Active(run) => {
                        self.runs[run].retain.confirm(next);
                        self.carry(conn, run, next);
                    }
                    Lookup::Voided | Lookup::New => self.refuse(conn, Code::NoTarget),
                    Lookup::Ended | Lookup::OtherIncarnation => self.lost(conn),
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
                ReplayBuffer::keep_all()
            } else {
                ReplayBuffer::default()
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
        let f = Exchange::new()
            .dispatch()
            .fail(Code::TargetLost, false, false);
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
    pub(super) fn pump(&mut self) {
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
            let known = matches!(e, ReplayError::Gone(_));
            assert!(known, "{e}");
            let f = Exchange::new()
                .dispatch()
                .fail(Code::TargetLost, false, false);
            return Some(Down::Fail(f));
        }
        let last = match &r.state {
            State::Queued(_) | State::Dispatched(..) => return None,
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

    pub(super) fn busy(&self, i: usize) -> bool {
        let r = &self.runs[i];
        let open = matches!(r.state, State::Queued(_) | State::Dispatched(..));
        open && self.live(r) && (!r.retain.full() || self.struck(i))
    }

    pub(super) fn live(&self, r: &Run) -> bool {
        let s = &self.sides[r.side];
        s.life == r.life && !s.paused
    }

    fn struck(&self, i: usize) -> bool {
        let r = &self.runs[i];
        matches!(r.state, State::Dispatched(..)) && r.engine != self.sides[r.side].engine
    }

    pub(super) fn target(&mut self, i: usize) {
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
            State::Dispatched(ex, _) if struck => {
                State::Failed(ex.fail(Code::TargetLost, false, true))
            }
            State::Dispatched(ex, left) if !self.runs[i].head => {
                self.runs[i].head = true;
                State::Dispatched(ex, left)
            }
            State::Dispatched(ex, mut left) => match left.pop_front() {
                Some(data) => {
                    self.runs[i].retain.push(data);
                    State::Dispatched(ex, left)
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
        State::Dispatched(ex.dispatch(), chunks(from..ask.events, 1 + side, ask.size))
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
