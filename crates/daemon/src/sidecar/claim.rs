//! Claims at the platform's table, for requests that may run only once.
//!
//! Two attempts with one key may arrive at two sidecars at once. The one whose row is written
//! first runs; the other one is told where, so that its entry can join. Without the table such a
//! request is refused: it can't be known to be the first.

use bytes::Bytes;
use contract::{Claim, ClaimStep, Holder};
use model::{Code, Micros};
use store::Table;
use tokio::time::{timeout_at, Instant};
use wire::{Join, Open};

use crate::clock;
use crate::sidecar::decide::Refusal;
use crate::sidecar::run::Context;

/// Why nothing was claimed.
#[derive(Clone, Debug)]
pub struct Unclaimed {
    /// What the entry is told.
    pub refusal: Refusal,
    /// Who has claimed it, if known.
    pub owner: Option<Join>,
}

impl Unclaimed {
    fn new(code: Code, retry: Option<Micros>) -> Self {
        Self {
            refusal: Refusal { code, retry },
            owner: None,
        }
    }
}

/// Claims a request that may run only once; `None` if it needs no claim.
pub async fn claim(cx: &Context, o: &Open, until: Instant) -> Result<Option<Claim>, Unclaimed> {
    if o.idempotent || o.key.is_empty() {
        return Ok(None);
    }
    let away = Unclaimed::new(Code::PlatformDown, Some(Micros::from_secs(2)));
    let Some(table) = &cx.table else {
        return Err(away);
    };
    let mut claim = Claim::new(&o.team, &o.key, holder(cx, o));
    let mut step = claim.start();
    loop {
        step = match step {
            ClaimStep::Call(request) => {
                let reply = timeout_at(until, table.call(request)).await;
                let reply = reply.map_err(|_| Unclaimed::new(Code::Deadline, None))?;
                claim.step(reply)
            }
            ClaimStep::Acquired => return Ok(Some(claim)),
            ClaimStep::HeldByOther(h) => {
                return Err(Unclaimed {
                    owner: h.and_then(join),
                    ..Unclaimed::new(Code::AlreadyAttempted, None)
                });
            }
            ClaimStep::Refuse => return Err(away),
        };
    }
}

/// Gives a claim back under which nothing was handed over.
pub async fn release(cx: &Context, claim: Option<Claim>) {
    if let (Some(table), Some(claim)) = (&cx.table, claim) {
        table.call(claim.release()).await;
    }
}

fn holder(cx: &Context, o: &Open) -> Holder {
    Holder {
        token: hex(&o.token),
        address: cx.address.to_string(),
        incarnation: cx.life,
        since: clock::unix_seconds(),
        body: digest(o),
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

/// What tells two requests with the same key apart.
fn digest(o: &Open) -> String {
    let mut h = blake3::Hasher::new();
    for part in [o.method.as_bytes(), o.path.as_bytes(), &o.body] {
        h.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    hex(&h.finalize().as_bytes()[..16])
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Option<Bytes> {
    let pair = |i| u8::from_str_radix(text.get(i..i + 2)?, 16).ok();
    (0..text.len()).step_by(2).map(pair).collect()
}
