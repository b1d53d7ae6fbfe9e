//! The entry's part: does what its relay says, as `daemon::entry::drive` does.

use bytes::Bytes;
use exchange::{Action, Event, Token};
use model::{Code, Outcome};

use super::{Caller, Down, Up, World};

impl World {
    pub(super) fn ready(&self, i: usize) -> bool {
        let c = &self.callers[i];
        let readable = |n: usize| !self.conns[n].down.is_empty() || self.conns[n].broken;
        c.waits()
            && !c.paused
            && (c.at.is_none() || c.resume.is_some() || c.conn.is_none_or(readable))
    }

    /// Connections on which nothing moves any more; only those with a carrier have heartbeats.
    pub(super) fn silence(&mut self) -> bool {
        let Some(i) = self.callers.iter().position(Caller::waits) else {
            return false;
        };
        let conn = self.callers[i].conn.expect("waits on a connection");
        let carry = self.conns[conn].carry.as_ref();
        assert!(carry.is_none_or(|c| c.over), "stalled for good");
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
        let skip = self.callers[i].skip;
        self.send(conn, Up::Open(i, token, life, skip));
    }

    fn resume(&mut self, i: usize, next: u64) {
        self.callers[i].conn = None;
        let (side, life, token) = self.callers[i].at.clone().expect("attempted");
        if self.sides[side].gone {
            return self.step(i, Event::Gone);
        }
        let conn = self.dial(side);
        self.callers[i].conn = Some(conn);
        self.send(conn, Up::Resume(token, next, life));
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
            Action::RetryElsewhere { delivered, failure } => {
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
            Action::Fail(f) => self.callers[i].end = Some(Err(f)),
        }
    }

    fn confirm(&mut self, i: usize) {
        let c = &mut self.callers[i];
        let due = c.relay().confirm();
        let next = due.or(c.ask.eager.then(|| c.relay().next()));
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
}
