//! The sidecar and its target, as in `daemon::sidecar::{serve, active_exchange, run}`.

use std::collections::VecDeque;

use bytes::Bytes;
use exchange::{
    Exchange, IncarnationMatch, Lookup, Owner, Queued, ReplayBuffer, ReplayError, Token,
};
use model::Code;

use super::{Execution, Sender, Simulation, State, ToEntry, ToSidecar};

impl Simulation {
    /// Lets an abandoned execution continue although its replay buffer is full and no entry reads
    /// it, as `lifetime` in the sidecar does after a while.
    pub(super) fn confirm_abandoned(&mut self) -> bool {
        let stuck = |r: &Execution| matches!(r.state, State::Dispatched(..)) && r.replay.full();
        let Some(i) = self
            .executions
            .iter()
            .position(|r| stuck(r) && self.live(r))
        else {
            return false;
        };
        self.executions[i].replay.confirm(u64::MAX);
        true
    }

    pub(super) fn serve(&mut self, conn: usize, frame: ToSidecar) {
        let sidecar = self.conns[conn].sidecar;
        let mine = self.sidecars[sidecar].incarnation;
        match frame {
            ToSidecar::Open(caller, token, incarnation, skip) => {
                let fresh = self.executions.len();
                let matched = IncarnationMatch::compare(incarnation, mine);
                let registry = &mut self.sidecars[sidecar].registry;
                match registry.open(matched, token.clone(), || fresh) {
                    Lookup::New => {
                        self.executions
                            .push(self.arrived(sidecar, caller, token, skip));
                        self.attach_sender(conn, fresh, 0);
                    }
                    Lookup::Active(run) => self.attach_sender(conn, run, 0),
                    Lookup::Voided => self.refuse(conn, Code::Cancelled),
                    Lookup::OtherIncarnation => self.refuse(conn, Code::NoTarget),
                    Lookup::Ended => self.lost(conn),
                }
            }
            ToSidecar::Resume(token, next, incarnation) => {
                let matched = IncarnationMatch::compare(incarnation, mine);
                match self.sidecars[sidecar]
                    .registry
                    .resume(self.now, matched, token)
                {
                    Lookup::Active(run) => {
                        self.executions[run].replay.confirm(next);
                        self.attach_sender(conn, run, next);
                    }
                    Lookup::Voided | Lookup::New => self.refuse(conn, Code::NoTarget),
                    Lookup::Ended | Lookup::OtherIncarnation => self.lost(conn),
                }
            }
            ToSidecar::Ack(n) => {
                if let Some(c) = self.conns[conn].sender.as_ref().filter(|c| !c.finished) {
                    self.executions[c.execution].replay.confirm(n);
                }
            }
        }
    }

    fn arrived(&self, sidecar: usize, caller: usize, token: Token, skip: u64) -> Execution {
        let keyed = self.callers[caller].spec.key.is_some();
        Execution {
            sidecar,
            incarnation: self.sidecars[sidecar].incarnation,
            caller,
            token,
            skip,
            state: State::Queued(Exchange::new()),
            replay: if keyed {
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
        self.answer(conn, ToEntry::Refuse(n, None));
    }

    fn lost(&mut self, conn: usize) {
        let f = Exchange::new()
            .dispatch()
            .fail(Code::TargetLost, false, false);
        self.answer(conn, ToEntry::Fail(f));
    }

    fn attach_sender(&mut self, conn: usize, run: usize, seq: u64) {
        self.conns[conn].sender = Some(Sender {
            execution: run,
            seq,
            ..Sender::default()
        });
    }

    /// Sends all available frames on every connection.
    pub(super) fn send_pending(&mut self) {
        for i in 0..self.conns.len() {
            while let Some(frame) = self.next(i) {
                self.answer(i, frame);
            }
        }
    }

    fn next(&mut self, conn: usize) -> Option<ToEntry> {
        let sidecar = self.conns[conn].sidecar;
        let incarnation = self.sidecars[sidecar].incarnation;
        let c = self.conns[conn].sender.as_mut().filter(|c| !c.finished)?;
        let r = &mut self.executions[c.execution];
        if !std::mem::replace(&mut c.accepted, true) {
            return Some(ToEntry::Accepted(incarnation));
        }
        if r.head && !std::mem::replace(&mut c.head, true) {
            return Some(ToEntry::Head);
        }
        let chunk = r.replay.get(c.seq);
        if let Ok(Some(data)) = chunk {
            c.seq += 1;
            return Some(ToEntry::Chunk(c.seq - 1, data));
        }
        if let Err(e) = chunk {
            c.finished = true;
            let known = matches!(e, ReplayError::Gone(_));
            assert!(known, "{e}");
            let f = Exchange::new()
                .dispatch()
                .fail(Code::TargetLost, false, false);
            return Some(ToEntry::Fail(f));
        }
        let last = match &r.state {
            State::Queued(_) | State::Dispatched(..) => return None,
            State::Done => {
                let (count, digest) = r.replay.total().expect("ended");
                ToEntry::End(count, digest)
            }
            State::NotRun(n, owner) => ToEntry::Refuse(n.clone(), owner.clone()),
            State::Failed(f) => ToEntry::Fail(f.clone()),
        };
        c.finished = true;
        r.sent = true;
        Some(last)
    }

    pub(super) fn busy(&self, i: usize) -> bool {
        let r = &self.executions[i];
        let open = matches!(r.state, State::Queued(_) | State::Dispatched(..));
        open && self.live(r) && (!r.replay.full() || self.engine_died(i))
    }

    pub(super) fn live(&self, r: &Execution) -> bool {
        let s = &self.sidecars[r.sidecar];
        s.incarnation == r.incarnation && !s.paused
    }

    fn engine_died(&self, i: usize) -> bool {
        let r = &self.executions[i];
        matches!(r.state, State::Dispatched(..)) && r.engine != self.sidecars[r.sidecar].engine
    }

    pub(super) fn target(&mut self, i: usize) {
        let sidecar = self.executions[i].sidecar;
        let s = &mut self.sidecars[sidecar];
        if s.dies_after.is_some_and(|n| {
            n as u64 == self.executions[i].replay.next() && self.executions[i].head
        }) {
            s.dies_after = None;
            s.engine += 1;
        }
        let struck = self.engine_died(i);
        let state = std::mem::replace(&mut self.executions[i].state, State::Done);
        let state = match state {
            State::Queued(ex) => self.admitted(i, ex),
            State::Dispatched(ex, _) if struck => {
                State::Failed(ex.fail(Code::TargetLost, false, true))
            }
            State::Dispatched(ex, left) if !self.executions[i].head => {
                self.executions[i].head = true;
                State::Dispatched(ex, left)
            }
            State::Dispatched(ex, mut left) => match left.pop_front() {
                Some(data) => {
                    self.executions[i].replay.push(data);
                    State::Dispatched(ex, left)
                }
                None => {
                    self.executions[i].replay.end();
                    ex.complete();
                    State::Done
                }
            },
            finished => finished,
        };
        self.executions[i].state = state;
    }

    fn admitted(&mut self, i: usize, ex: Exchange<Queued>) -> State {
        let (sidecar, caller) = (self.executions[i].sidecar, self.executions[i].caller);
        if self.sidecars[sidecar].refuses {
            return State::NotRun(ex.refuse(Code::NoTarget, None), None);
        }
        let spec = self.callers[caller].spec;
        let mine = Owner {
            token: self.executions[i].token.0.clone(),
            address: sidecar.to_string(),
            incarnation: self.sidecars[sidecar].incarnation,
        };
        if let Some(key) = spec.key.filter(|_| !spec.idempotent) {
            let lose_next_claim = std::mem::take(&mut self.lose_next_claim);
            let owner = self.claims.entry(key).or_insert(mine.clone());
            if lose_next_claim {
                return State::NotRun(ex.refuse(Code::PlatformDown, None), None);
            }
            if *owner != mine {
                let n = ex.refuse(Code::AlreadyAttempted, None);
                return State::NotRun(n, Some(owner.clone()));
            }
        }
        self.log.push((caller, sidecar));
        self.executions[i].engine = self.sidecars[sidecar].engine;
        let from = self.executions[i].skip as u8;
        State::Dispatched(
            ex.dispatch(),
            chunks(from..spec.events, 1 + sidecar, spec.size),
        )
    }
}

/// Splits events into chunks of `group` events; the first byte of a chunk is their number.
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
