//! Conversion of wire frames and connection errors into events of an exchange.

use exchange::{events, Event, Failed, NotRun, Owner};
use model::{Code, Micros};
use wire::{Body, Refuse, WireError};

/// The event for a frame from a sidecar.
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
        Body::Refuse(r) => Event::Refused(refusal(&r)),
        Body::Fail(f) => Event::Failed(Failed {
            code: code(f.code),
            known: f.known,
            crashed: f.crashed,
        }),
        // No other frame is valid here, so the rest of the connection can't be trusted either.
        _ => Event::Lost,
    }
}

/// The event for a failed attempt to connect. A refused connection means that the process is gone;
/// other errors may be transient.
pub fn connect_failure(e: &WireError) -> Event {
    match e {
        WireError::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => Event::Gone,
        _ => Event::Lost,
    }
}

/// A refusal, with the time after which to retry if the frame has one.
fn refusal(r: &Refuse) -> NotRun {
    let retry = (r.retry > 0).then(|| Micros::from_millis(r.retry));
    NotRun::reported(code(r.code), retry)
}

/// Code for a number. Peers of a later version may send codes that this version doesn't know.
fn code(n: u32) -> Code {
    Code::from_number(n).unwrap_or(Code::Internal)
}
