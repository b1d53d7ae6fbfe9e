//! From the wire to the exchange: what a sidecar's frames and a connection's faults mean.

use exchange::{events, Event, Failed, NotRun, Owner};
use model::{Code, Micros};
use wire::{Body, Refuse, WireError};

/// What a frame from a sidecar means to the exchange.
pub fn event(body: Body) -> Event {
    match body {
        Body::Chunk(c) => {
            let events = events::count(&c.data);
            Event::Chunk {
                seq: c.seq,
                data: c.data,
                events,
            }
        }
        Body::End(e) => Event::End {
            count: e.count,
            digest: e.digest,
        },
        Body::Refuse(r) if code(r.code) == Code::AlreadyAttempted => {
            Event::Claimed(r.owner.map(|o| Owner {
                token: o.token,
                address: o.address,
                incarnation: o.incarnation,
            }))
        }
        Body::Refuse(r) => Event::Refused(heard(&r)),
        Body::Fail(f) => Event::Failed(Failed {
            code: code(f.code),
            known: f.known,
            crashed: f.crashed,
        }),
        // Nothing else belongs here; a peer that sends it can't be trusted with the rest.
        _ => Event::Lost,
    }
}

/// A refused connection means that the process is gone; anything else may pass.
pub fn gone(e: &WireError) -> Event {
    match e {
        WireError::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => Event::Gone,
        _ => Event::Lost,
    }
}

/// A refusal, with its pause if it names one.
fn heard(r: &Refuse) -> NotRun {
    let retry = (r.retry > 0).then(|| Micros::from_millis(r.retry));
    NotRun::reported(code(r.code), retry)
}

/// A code by its number; peers of another version may know more codes.
fn code(n: u32) -> Code {
    Code::from_number(n).unwrap_or(Code::Internal)
}
