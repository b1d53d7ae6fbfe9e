//! The entry's side of a request: what reaches the caller, and what to do when a part is lost.
//!
//! Three things go wrong between an entry and a sidecar. A connection breaks or falls silent: the
//! exchange is resumed on a new one, and nothing is computed again. The target dies: the answer
//! goes on at another replica, told what the caller already has. The request never ran: it may
//! go elsewhere whatever it is. A request that may run only once is never sent elsewhere after
//! its target may have seen it; its caller is told that the outcome is unknown.
//!
//! The caller's stream ends cleanly only on [`Action::Finish`], which needs an end whose count and
//! hash fit what was delivered.

use bytes::Bytes;
use model::{Code, Micros, Outcome};

use crate::replay::MAX_BYTES;
use crate::state::{Failed, NotRun};

/// Resumptions in a row without a new byte before the sidecar counts as lost. The first comes at
/// once, since the usual cause is one connection; the later ones span a restart of a switch port.
pub const MAX_RESUMES: u32 = 4;
/// Pauses before each resumption.
const PAUSES: [Micros; MAX_RESUMES as usize] = [
    Micros::ZERO,
    Micros::from_millis(50),
    Micros::from_millis(200),
    Micros::from_millis(500),
];

/// Most chunks between confirmations.
const CONFIRM: u64 = 16;
/// Most bytes between them. A sidecar at its limit waits for a confirmation before it reads on;
/// if sixteen chunks were more than that limit, each side would wait for the other.
const CONFIRM_BYTES: usize = MAX_BYTES / 4;

/// Where the answer of an earlier attempt can be had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Its exchange.
    pub token: Bytes,
    /// Its sidecar's address.
    pub address: String,
    /// Its sidecar's life.
    pub incarnation: u64,
}

/// What happened to the current exchange.
#[derive(Clone, Debug)]
pub enum Event {
    /// No byte of the request left this process.
    Unsent,
    /// The sidecar took it.
    Accepted,
    /// A piece of the answer; `events` of a stream end in it.
    Chunk {
        /// Its position.
        seq: u64,
        /// Its bytes.
        data: Bytes,
        /// Server-sent events in it.
        events: u64,
    },
    /// The answer is whole.
    End {
        /// Chunks in it.
        count: u64,
        /// Hash of their bytes.
        digest: Bytes,
    },
    /// It didn't run.
    Refused(NotRun),
    /// It was attempted before.
    Claimed(Option<Owner>),
    /// It ran and failed.
    Failed(Failed),
    /// The connection broke or fell silent after the request may have been sent.
    Lost,
    /// Resuming found nobody at the sidecar's address, or a later life of it.
    Gone,
}

/// Why the caller gets no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why.
    pub code: Code,
    /// What is known of the request's effect.
    pub outcome: Outcome,
    /// When to come back.
    pub retry: Option<Micros>,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Wait for the next frame.
    Wait,
    /// Give these bytes to the caller.
    Deliver(Bytes),
    /// Ask the same sidecar on a new connection from this chunk on, after a pause.
    Resume {
        /// First chunk missing.
        next: u64,
        /// How long to wait before.
        pause: Micros,
    },
    /// Try another replica, which has to skip the events delivered.
    RetryElsewhere {
        /// Events that the caller has.
        delivered: u64,
        /// What to tell the caller if there is no other replica.
        failure: Failure,
    },
    /// Fetch the answer of the earlier attempt.
    Join(Owner),
    /// The caller has it all.
    Finish,
    /// Tell the caller.
    Fail(Failure),
}

/// One request on its way through an entry.
#[derive(Debug)]
pub struct Relay {
    idempotent: bool,
    streamed: bool,
    next: u64,
    hash: blake3::Hasher,
    delivered: u64,
    resumes: u32,
    crashes: u32,
    touched: bool,
    joined: bool,
    confirmed: u64,
    bytes: usize,
}

impl Relay {
    /// A request that wasn't sent anywhere yet. Unless `streamed`, the caller gets nothing before
    /// the answer is whole, so that another replica can start afresh.
    pub fn new(idempotent: bool, streamed: bool) -> Self {
        Self {
            idempotent,
            streamed,
            next: 0,
            hash: blake3::Hasher::new(),
            delivered: 0,
            resumes: 0,
            crashes: 0,
            touched: false,
            joined: false,
            confirmed: 0,
            bytes: 0,
        }
    }

    /// First chunk of the current exchange that is missing.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Targets that died under this request so far.
    pub fn crashes(&self) -> u32 {
        self.crashes
    }

    /// What to confirm after a chunk was delivered, if it is time.
    pub fn confirm(&mut self) -> Option<u64> {
        let due = self.next - self.confirmed >= CONFIRM || self.bytes >= CONFIRM_BYTES;
        due.then(|| {
            self.confirmed = self.next;
            self.bytes = 0;
            self.next
        })
    }

    /// Takes what happened, gives what to do.
    pub fn step(&mut self, event: Event) -> Action {
        match event {
            Event::Accepted => Action::Wait,
            Event::Unsent => {
                let failure = Failure {
                    outcome: self.known(),
                    ..unsent()
                };
                self.elsewhere(failure)
            }
            Event::Chunk { seq, data, events } if seq == self.next => self.take(data, events),
            // A repeat after a resumption; the caller has it.
            Event::Chunk { seq, .. } if seq < self.next => Action::Wait,
            // A gap means that the connection can't be trusted.
            Event::Chunk { .. } => self.resume(),
            Event::End { count, digest } => self.end(count, &digest),
            // Of what didn't run there can't be a part. Were it believed, the request would run
            // again elsewhere, or a joined answer begin behind half of another.
            Event::Refused(_) | Event::Claimed(_) if self.next > 0 => self.lost(Code::BadAnswer),
            Event::Refused(n) => self.refused(n),
            Event::Claimed(Some(owner)) if !self.joined => {
                self.joined = true;
                self.restart();
                Action::Join(owner)
            }
            Event::Claimed(_) => Action::Fail(Failure {
                code: Code::AlreadyAttempted,
                outcome: Outcome::Unknown,
                retry: None,
            }),
            Event::Failed(f) => self.failed(f),
            Event::Lost => self.resume(),
            Event::Gone => self.lost(Code::TargetLost),
        }
    }

    fn take(&mut self, data: Bytes, events: u64) -> Action {
        self.hash.update(&data);
        self.next += 1;
        self.bytes += data.len();
        self.resumes = 0;
        self.delivered += events;
        Action::Deliver(data)
    }

    fn end(&mut self, count: u64, digest: &[u8]) -> Action {
        match self.hash.finalize().as_bytes() == digest {
            true if count == self.next => Action::Finish,
            // Chunks are missing; they are still kept at the sidecar.
            _ if count > self.next => self.resume(),
            _ => self.lost(Code::BadAnswer),
        }
    }

    fn refused(&mut self, n: NotRun) -> Action {
        let failure = match self.joined {
            // The owner of the claim never ran it, yet the claim stands: nobody will.
            true => Failure {
                code: Code::AlreadyAttempted,
                outcome: Outcome::Unknown,
                retry: n.retry(),
            },
            false => Failure {
                code: n.code(),
                outcome: self.known(),
                retry: n.retry(),
            },
        };
        match (self.joined, n.code()) {
            (true, _) => Action::Fail(failure),
            // Final wherever it is asked.
            (_, Code::Quarantined | Code::Deadline | Code::Limited | Code::BadRequest) => {
                Action::Fail(failure)
            }
            _ => self.elsewhere(failure),
        }
    }

    fn failed(&mut self, f: Failed) -> Action {
        self.crashes += u32::from(f.crashed);
        match f.known {
            true => Action::Fail(Failure {
                code: f.code,
                outcome: f.outcome(),
                retry: None,
            }),
            false => self.lost(f.code),
        }
    }

    fn resume(&mut self) -> Action {
        let Some(&pause) = PAUSES.get(self.resumes as usize) else {
            return self.lost(Code::TargetLost);
        };
        self.resumes += 1;
        Action::Resume {
            next: self.next,
            pause,
        }
    }

    fn lost(&mut self, code: Code) -> Action {
        self.touched = true;
        let failure = Failure {
            // What became of an earlier attempt's answer is no failure of this one.
            code: if self.joined {
                Code::AlreadyAttempted
            } else {
                code
            },
            outcome: Outcome::Unknown,
            retry: None,
        };
        match self.idempotent && !self.joined {
            true => self.elsewhere(failure),
            false => Action::Fail(failure),
        }
    }

    fn elsewhere(&mut self, failure: Failure) -> Action {
        self.restart();
        let delivered = if self.streamed { self.delivered } else { 0 };
        Action::RetryElsewhere { delivered, failure }
    }

    fn restart(&mut self) {
        self.next = 0;
        self.confirmed = 0;
        self.bytes = 0;
        self.resumes = 0;
        self.hash = blake3::Hasher::new();
    }

    /// What a refusal says of the whole request: an earlier attempt may have run in part.
    fn known(&self) -> Outcome {
        match self.touched {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        }
    }
}

fn unsent() -> Failure {
    Failure {
        code: Code::NoTarget,
        outcome: Outcome::NotRun,
        retry: Some(RETRY),
    }
}

/// When to come back if no target could be reached: membership has settled by then.
const RETRY: Micros = Micros::from_secs(1);
