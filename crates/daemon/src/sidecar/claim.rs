//! Claims in the platform's table, for requests that may run only once.
//!
//! Two attempts with the same idempotency key may arrive at two sidecars at the same time. The
//! request runs at the sidecar whose row is written first; the other one returns the address of
//! that exchange, so that its entry can join it. Without the table such a request is refused,
//! because no sidecar can tell whether it is the first attempt.

use bytes::Bytes;
use contract::{Claim, ClaimStep, Holder};
use model::{Code, Micros};
use store::Table;
use tokio::time::{timeout_at, Instant};
use wire::{Join, Open};

use crate::clock;
use crate::sidecar::run::Context;
use crate::sidecar::scheduler::Refusal;

/// Failure to claim a request.
#[derive(Clone, Debug)]
pub struct ClaimError {
    /// Refusal to send to the entry.
    pub refusal: Refusal,
    /// The exchange that holds the claim, if known.
    pub owner: Option<Join>,
}

impl ClaimError {
    fn new(code: Code, retry: Option<Micros>) -> Self {
        Self {
            refusal: Refusal { code, retry },
            owner: None,
        }
    }
}

/// Claims a request that may run only once; `None` if it needs no claim.
pub async fn claim(
    cx: &Context,
    open: &Open,
    deadline: Instant,
) -> Result<Option<Claim>, ClaimError> {
    if open.idempotent || open.key.is_empty() {
        return Ok(None);
    }
    let unavailable = ClaimError::new(Code::PlatformDown, Some(Micros::from_secs(2)));
    let Some(table) = &cx.table else {
        return Err(unavailable);
    };
    let mut claim = Claim::new(&open.team, &open.key, holder(cx, open));
    let mut step = claim.start();
    loop {
        step = match step {
            ClaimStep::Call(request) => {
                let reply = timeout_at(deadline, table.call(request)).await;
                let reply = reply.map_err(|_| ClaimError::new(Code::Deadline, None))?;
                claim.step(reply)
            }
            ClaimStep::Acquired => return Ok(Some(claim)),
            ClaimStep::HeldByOther(h) => {
                return Err(ClaimError {
                    owner: h.and_then(join),
                    ..ClaimError::new(Code::AlreadyAttempted, None)
                });
            }
            ClaimStep::Refuse => return Err(unavailable),
        };
    }
}

/// Releases a claim whose request was not dispatched.
pub async fn release(cx: &Context, claim: Option<Claim>) {
    if let (Some(table), Some(claim)) = (&cx.table, claim) {
        table.call(claim.release()).await;
    }
}

fn holder(cx: &Context, open: &Open) -> Holder {
    Holder {
        token: hex(&open.token),
        address: cx.address.to_string(),
        incarnation: cx.incarnation,
        since: clock::unix_seconds(),
        body: digest(open),
    }
}

fn join(h: Holder) -> Option<Join> {
    let token = unhex(&h.token)?;
    Some(Join {
        token,
        address: h.address,
        incarnation: h.incarnation,
    })
}

/// Hash that distinguishes different requests with the same idempotency key.
fn digest(open: &Open) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [open.method.as_bytes(), open.path.as_bytes(), &open.body] {
        hasher
            .update(&(part.len() as u64).to_le_bytes())
            .update(part);
    }
    hex(&hasher.finalize().as_bytes()[..16])
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Option<Bytes> {
    let pair = |i| u8::from_str_radix(text.get(i..i + 2)?, 16).ok();
    (0..text.len()).step_by(2).map(pair).collect()
}
