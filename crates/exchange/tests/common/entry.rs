//! The entry: performs the actions of its relay, as `daemon::entry::drive` does.

use bytes::Bytes;
use exchange::{Action, Event, Token};
use model::{Code, Outcome};

use super::{Caller, Simulation, ToEntry, ToSidecar};

impl Simulation {
    pub(super) fn ready(&self, i: usize) -> bool {
        let c = &self.callers[i];
        let readable = |n: usize| !self.conns[n].down.is_empty() || self.conns[n].broken;
        c.is_waiting()
            && !c.paused
            && (c.at.is_none() || c.resume.is_some() || c.conn.is_none_or(readable))
    }

    /// Breaks a silent connection that an entry waits on, as its time limit would. A connection
    /// with a sender has heartbeats and is never silent.
    pub(super) fn break_silent(&mut self) -> bool {
        let Some(i) = self.callers.iter().position(Caller::is_waiting) else {
            return false;
        };
        let conn = self.callers[i].conn.expect("the caller has a connection");
        let sender = self.conns[conn].sender.as_ref();
        assert!(sender.is_none_or(|c| c.finished), "the answer stalled");
        self.conns[conn].broken = true;
        true
    }

    pub(super) fn entry(&mut self, i: usize) {
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
            Some(ToEntry::Accepted(incarnation)) => {
                self.callers[i].at.as_mut().expect("attempted").1 = incarnation;
                return;
            }
            Some(ToEntry::Head) => return,
            Some(ToEntry::Chunk(seq, data)) => Event::Chunk {
                seq,
                events: u64::from(data[0]),
                data,
            },
            Some(ToEntry::End(count, digest)) => Event::End { count, digest },
            Some(ToEntry::Refuse(n, owner)) if n.code() == Code::AlreadyAttempted => {
                Event::Claimed(owner)
            }
            Some(ToEntry::Refuse(n, _)) => Event::Refused(n),
            Some(ToEntry::Fail(f)) => Event::Failed(f),
        };
        self.step(i, event);
    }

    fn attempt(&mut self, i: usize) {
        let spec = self.callers[i].spec;
        let sidecar = self.callers[i].tried.len();
        self.callers[i].tried.push(sidecar);
        self.tokens += 1;
        let token = Token(Bytes::copy_from_slice(&self.tokens.to_le_bytes()));
        let incarnation = if spec.incarnation_known {
            self.sidecars[sidecar].incarnation
        } else {
            0
        };
        self.callers[i].at = Some((sidecar, incarnation, token.clone()));
        if self.sidecars[sidecar].gone {
            return self.step(i, Event::Unsent);
        }
        let pooled = self.idle.get_mut(&sidecar).and_then(Vec::pop);
        let conn = pooled.filter(|&n| !self.conns[n].broken && self.conns[n].down.is_empty());
        let conn = conn.unwrap_or_else(|| self.dial(sidecar));
        self.callers[i].conn = Some(conn);
        let skip = self.callers[i].skip;
        self.send(conn, ToSidecar::Open(i, token, incarnation, skip));
    }

    fn resume(&mut self, i: usize, next: u64) {
        self.callers[i].conn = None;
        let (sidecar, incarnation, token) = self.callers[i].at.clone().expect("attempted");
        if self.sidecars[sidecar].gone {
            return self.step(i, Event::Gone);
        }
        let conn = self.dial(sidecar);
        self.callers[i].conn = Some(conn);
        self.send(conn, ToSidecar::Resume(token, next, incarnation));
    }

    fn step(&mut self, i: usize, event: Event) {
        match self.callers[i].relay().step(event) {
            Action::Wait => {}
            Action::Deliver(data) => {
                let n = usize::from(data[0]);
                self.callers[i].received.extend_from_slice(&data[1..=n]);
                self.confirm(i);
            }
            Action::Resume { next, pause } => {
                self.now = self.now + pause;
                self.callers[i].resume = Some(next);
            }
            Action::Join(owner) => {
                let sidecar = self
                    .sidecars
                    .iter()
                    .position(|s| s.incarnation == owner.incarnation);
                // If that incarnation has ended, the process at its address answers.
                let sidecar = sidecar.unwrap_or_else(|| owner.address.parse().expect("an index"));
                self.pool(i);
                let c = &mut self.callers[i];
                c.at = Some((sidecar, owner.incarnation, Token(owner.token)));
                c.resume = Some(0);
            }
            Action::RetryElsewhere { delivered, failure } => {
                let more = self.callers[i].tried.len() < self.sidecars.len();
                let c = &mut self.callers[i];
                c.conn = None;
                c.skip = delivered;
                if !c.spec.streamed {
                    c.received.clear();
                }
                match more && (c.spec.idempotent || failure.outcome == Outcome::NotRun) {
                    true => c.at = None,
                    false => c.end = Some(Err(failure)),
                }
            }
            Action::Finish => {
                self.callers[i].end = Some(Ok(()));
                self.pool(i);
            }
            Action::Fail(f) => self.callers[i].end = Some(Err(f)),
        }
    }

    fn confirm(&mut self, i: usize) {
        let c = &mut self.callers[i];
        let due = c.relay().confirm();
        let next = due.or(c.spec.confirm_each.then(|| c.relay().next()));
        if let (Some(n), Some(conn)) = (next, c.conn) {
            self.send(conn, ToSidecar::Ack(n));
        }
    }

    fn pool(&mut self, i: usize) {
        if let Some(conn) = self.callers[i].conn.take() {
            let sidecar = self.conns[conn].sidecar;
            self.idle.entry(sidecar).or_default().push(conn);
        }
    }
}
