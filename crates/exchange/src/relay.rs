//! The entry's side of a request: what the caller gets, and how failures are handled.
//!
//! Three things can fail between an entry and a sidecar:
//!
//! - A connection breaks or falls silent. The exchange is resumed on a new connection, and nothing
//!   is computed again.
//! - The target crashes. Another replica continues the answer, and skips the events that the
//!   caller already has.
//! - The request did not run. It may be sent to another replica, also if it is not idempotent.
//!
//! A non-idempotent request is never sent to another replica after its target may have received
//! it; its caller gets the outcome "unknown".
//!
//! The caller's stream ends without an error only on [`Action::Finish`], which requires that the
//! count and hash in the end frame match the delivered chunks.

use bytes::Bytes;
use model::{Code, Micros, Outcome};

use crate::replay::MAX_BYTES;
use crate::state::{Failed, NotRun};

/// Consecutive resumptions without a new chunk after which the sidecar counts as lost. The first
/// has no delay, since the usual cause is a single broken connection; the later ones cover the
/// restart of a switch port.
pub const MAX_RESUMES: u32 = 4;
/// Delay before each resumption.
const RESUME_DELAYS: [Micros; MAX_RESUMES as usize] = [
    Micros::ZERO,
    Micros::from_millis(50),
    Micros::from_millis(200),
    Micros::from_millis(500),
];

/// Maximum number of chunks between two confirmations.
const CONFIRM_CHUNKS: u64 = 16;
/// Maximum number of bytes between two confirmations. A sidecar whose replay buffer is full stops
/// reading until it gets a confirmation; if [`CONFIRM_CHUNKS`] chunks didn't fit into the buffer,
/// entry and sidecar would wait for each other.
const CONFIRM_BYTES: usize = MAX_BYTES / 4;

/// Where the answer of an earlier attempt can be fetched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Token of the earlier attempt's exchange.
    pub token: Bytes,
    /// Address of the sidecar that serves the exchange.
    pub address: String,
    /// Incarnation of that sidecar.
    pub incarnation: u64,
}

/// What happened to the current exchange.
#[derive(Clone, Debug)]
pub enum Event {
    /// No byte of the request left this process.
    Unsent,
    /// The sidecar accepted the request.
    Accepted,
    /// A chunk of the answer.
    Chunk {
        /// Position among the answer's chunks.
        seq: u64,
        /// Content of the chunk.
        data: Bytes,
        /// Number of server-sent events that end in the chunk.
        events: u64,
    },
    /// The answer is complete.
    End {
        /// Number of chunks.
        count: u64,
        /// Hash of all bytes.
        digest: Bytes,
    },
    /// The sidecar refused the request; it did not run.
    Refused(NotRun),
    /// The request was attempted before under the same idempotency key.
    Claimed(Option<Owner>),
    /// The request was dispatched to the target and failed.
    Failed(Failed),
    /// The connection broke or fell silent after the request may have been sent.
    Lost,
    /// Resuming failed: no process answers at the sidecar's address, or a later incarnation does.
    Gone,
}

/// Error to be reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Reason for the failure.
    pub code: Code,
    /// Whether the request took effect.
    pub outcome: Outcome,
    /// How long the caller should wait before it sends the request again.
    pub retry: Option<Micros>,
}

/// What the entry has to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Wait for the next frame.
    Wait,
    /// Send these bytes to the caller.
    Deliver(Bytes),
    /// Resume the exchange at the same sidecar on a new connection, after a pause.
    Resume {
        /// First chunk that is missing.
        next: u64,
        /// How long to wait before the resumption.
        pause: Micros,
    },
    /// Send the request to another replica, which has to skip the delivered events.
    RetryElsewhere {
        /// Number of events that the caller already has.
        delivered: u64,
        /// Error to report if there is no other replica.
        failure: Failure,
    },
    /// Fetch the answer of the earlier attempt.
    Join(Owner),
    /// The caller has the complete answer; end its stream.
    Finish,
    /// Report this error to the caller.
    Fail(Failure),
}

/// State of one request at its entry.
#[derive(Debug)]
pub struct Relay {
    idempotent: bool,
    streamed: bool,
    /// First chunk of the current exchange that is missing.
    next: u64,
    /// Hash of the chunks of the current exchange.
    hash: blake3::Hasher,
    /// Server-sent events that the caller has, from all attempts.
    delivered: u64,
    /// Consecutive resumptions without a new chunk.
    resumes: u32,
    crashes: u32,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
    /// Whether the answer is fetched from an earlier attempt's exchange.
    joined: bool,
    /// First chunk that isn't confirmed.
    confirmed: u64,
    /// Bytes since the last confirmation.
    unconfirmed_bytes: usize,
}

impl Relay {
    /// Creates the state of a request that wasn't sent to any replica yet. Unless `streamed`, the
    /// caller gets nothing before the answer is complete, so another replica can start it over.
    pub fn new(idempotent: bool, streamed: bool) -> Self {
        Self {
            idempotent,
            streamed,
            next: 0,
            hash: blake3::Hasher::new(),
            delivered: 0,
            resumes: 0,
            crashes: 0,
            may_have_run: false,
            joined: false,
            confirmed: 0,
            unconfirmed_bytes: 0,
        }
    }

    /// First chunk of the current exchange that is missing.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Number of targets that crashed while they ran this request.
    pub fn crashes(&self) -> u32 {
        self.crashes
    }

    /// The position to confirm after a chunk was delivered, if a confirmation is due.
    pub fn confirm(&mut self) -> Option<u64> {
        let due =
            self.next - self.confirmed >= CONFIRM_CHUNKS || self.unconfirmed_bytes >= CONFIRM_BYTES;
        due.then(|| {
            self.confirmed = self.next;
            self.unconfirmed_bytes = 0;
            self.next
        })
    }

    /// Handles an event of the current exchange and returns the entry's next action.
    pub fn step(&mut self, event: Event) -> Action {
        match event {
            Event::Accepted => Action::Wait,
            Event::Unsent => {
                let failure = Failure {
                    outcome: self.outcome_if_refused(),
                    ..unsent()
                };
                self.retry_elsewhere(failure)
            }
            Event::Chunk { seq, data, events } if seq == self.next => {
                self.accept_chunk(data, events)
            }
            // Repeated after a resumption; the caller already has the chunk.
            Event::Chunk { seq, .. } if seq < self.next => Action::Wait,
            // Chunks were lost on this connection, so the exchange is resumed on another.
            Event::Chunk { .. } => self.resume(),
            Event::End { count, digest } => self.end(count, &digest),
            // A request that didn't run can't have sent chunks, so the frame is invalid. If it
            // were accepted, the request would run again at another replica, or the answer of an
            // earlier attempt would be appended to a partial answer.
            Event::Refused(_) | Event::Claimed(_) if self.next > 0 => {
                self.lose_target(Code::BadAnswer)
            }
            Event::Refused(n) => self.refused(n),
            Event::Claimed(Some(owner)) if !self.joined => {
                self.joined = true;
                self.reset_exchange();
                Action::Join(owner)
            }
            Event::Claimed(_) => Action::Fail(Failure {
                code: Code::AlreadyAttempted,
                outcome: Outcome::Unknown,
                retry: None,
            }),
            Event::Failed(f) => self.failed(f),
            Event::Lost => self.resume(),
            Event::Gone => self.lose_target(Code::TargetLost),
        }
    }

    fn accept_chunk(&mut self, data: Bytes, events: u64) -> Action {
        self.hash.update(&data);
        self.next += 1;
        self.unconfirmed_bytes += data.len();
        self.resumes = 0;
        self.delivered += events;
        Action::Deliver(data)
    }

    fn end(&mut self, count: u64, digest: &[u8]) -> Action {
        match self.hash.finalize().as_bytes() == digest {
            true if count == self.next => Action::Finish,
            // Chunks are missing; the sidecar still keeps them.
            _ if count > self.next => self.resume(),
            _ => self.lose_target(Code::BadAnswer),
        }
    }

    fn refused(&mut self, n: NotRun) -> Action {
        let failure = match self.joined {
            // The claim's owner did not run the request, and its claim prevents any other run.
            true => Failure {
                code: Code::AlreadyAttempted,
                outcome: Outcome::Unknown,
                retry: n.retry(),
            },
            false => Failure {
                code: n.code(),
                outcome: self.outcome_if_refused(),
                retry: n.retry(),
            },
        };
        match (self.joined, n.code()) {
            (true, _) => Action::Fail(failure),
            // Every replica would refuse the request for the same reason.
            (_, Code::Quarantined | Code::Deadline | Code::Limited | Code::BadRequest) => {
                Action::Fail(failure)
            }
            _ => self.retry_elsewhere(failure),
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
            false => self.lose_target(f.code),
        }
    }

    fn resume(&mut self) -> Action {
        let Some(&pause) = RESUME_DELAYS.get(self.resumes as usize) else {
            return self.lose_target(Code::TargetLost);
        };
        self.resumes += 1;
        Action::Resume {
            next: self.next,
            pause,
        }
    }

    fn lose_target(&mut self, code: Code) -> Action {
        self.may_have_run = true;
        let failure = Failure {
            // The caller joined an earlier attempt; losing that answer doesn't mean that this
            // attempt's own target was lost.
            code: if self.joined {
                Code::AlreadyAttempted
            } else {
                code
            },
            outcome: Outcome::Unknown,
            retry: None,
        };
        match self.idempotent && !self.joined {
            true => self.retry_elsewhere(failure),
            false => Action::Fail(failure),
        }
    }

    fn retry_elsewhere(&mut self, failure: Failure) -> Action {
        self.reset_exchange();
        let delivered = if self.streamed { self.delivered } else { 0 };
        Action::RetryElsewhere { delivered, failure }
    }

    fn reset_exchange(&mut self) {
        self.next = 0;
        self.confirmed = 0;
        self.unconfirmed_bytes = 0;
        self.resumes = 0;
        self.hash = blake3::Hasher::new();
    }

    /// Outcome of the whole request after a refusal: an earlier attempt may have run in part.
    fn outcome_if_refused(&self) -> Outcome {
        match self.may_have_run {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        }
    }
}

fn unsent() -> Failure {
    Failure {
        code: Code::NoTarget,
        outcome: Outcome::NotRun,
        retry: Some(RETRY_AFTER),
    }
}

/// Retry delay for callers if no target could be reached; membership has settled by then.
const RETRY_AFTER: Micros = Micros::from_secs(1);
