//! Claim on a request that must run at most once: only the sidecar that inserts its row runs it.
//!
//! The same vote sent through two entries may reach two sidecars at the same time, and neither
//! sees the other. Without the row both would run it and one voter would count twice. The row is
//! written before the request is dispatched to the target. A sidecar that crashes in between leaves
//! a claimed request that never ran; since a sidecar that finds the row can't know this, the caller
//! gets the outcome "unknown", never "not run". This is the price of at-most-once execution.
//!
//! If the table's answer to the insert is lost, the row is read back: if it holds the claim's own
//! token, the insert succeeded. If [`MAX_READS`] reads don't settle this, the request is refused.
//! It has not run then, because it is dispatched only on [`ClaimStep::Acquired`].

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::table::{Reply, Request, Row};

/// Maximum number of reads to settle a lost answer. Each read may take up to the driver's time
/// limit; for a caller who waits on the phone, a refusal is better than a fourth read.
pub const MAX_READS: u32 = 3;

/// The holder of a claim, as stored in the row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Token of the exchange in hexadecimal; empty after the claim was released.
    pub token: String,
    /// Address of the sidecar that holds the exchange.
    pub address: String,
    /// Incarnation of that sidecar.
    pub incarnation: u64,
    /// Time of the claim in seconds since the epoch, for deleting old rows.
    pub since: u64,
    /// Hash of the request in hexadecimal. Without it, a second request under the same idempotency
    /// key would get the first one's answer, and its caller would assume that the second ran.
    #[serde(default)]
    pub body: String,
}

/// Next step of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Call the table and pass the reply to [`Claim::step`].
    Call(Request),
    /// The claim is held; run the request.
    Acquired,
    /// Another attempt holds the claim. `None` if the row can't be decoded, or belongs to another
    /// request under the same idempotency key.
    HeldByOther(Option<Holder>),
    /// The claim can't be settled; refuse the request as not run.
    Refuse,
}

/// One attempt to claim one request.
#[derive(Clone, Debug)]
pub struct Claim {
    key: String,
    holder: Holder,
    reads: u32,
    version: u64,
}

impl Claim {
    /// Creates a claim on a team's request with this idempotency key.
    pub fn new(team: impl AsRef<str>, key: impl AsRef<str>, holder: Holder) -> Self {
        Self {
            key: row_key(team.as_ref(), key.as_ref()),
            holder,
            reads: 0,
            version: 0,
        }
    }

    /// Returns the first step.
    pub fn start(&self) -> ClaimStep {
        self.write(0)
    }

    /// The call that releases an acquired claim if the request was not dispatched after all. If the
    /// call fails or is lost, the claim remains and no sidecar runs the request.
    pub fn release(&self) -> Request {
        let value = encode(&Holder {
            token: String::new(),
            ..self.holder.clone()
        });
        Request::Write {
            key: self.key.clone(),
            version: self.version,
            value,
        }
    }

    /// Handles the reply to the last call and returns the next step.
    pub fn step(&mut self, reply: Reply) -> ClaimStep {
        match reply {
            Reply::Written(version) => {
                self.version = version;
                ClaimStep::Acquired
            }
            Reply::Row(Some(row)) => self.found(&row),
            Reply::Conflict => self.read(),
            // The insert didn't take effect, but it may still do so later. Inserting again is
            // safe: if it conflicts with the late insert, reading back finds the claim's own token.
            Reply::Row(None) if self.reads < MAX_READS => self.start(),
            Reply::Lost if self.reads < MAX_READS => self.read(),
            // If a read fails, an earlier insert may have taken effect. Only a failure of the
            // first insert means that there is no row of this claim.
            Reply::Down if self.reads > 0 && self.reads < MAX_READS => self.read(),
            Reply::Row(None) | Reply::Lost | Reply::Down => ClaimStep::Refuse,
        }
    }

    fn read(&mut self) -> ClaimStep {
        self.reads += 1;
        ClaimStep::Call(Request::Read {
            key: self.key.clone(),
        })
    }

    fn write(&self, version: u64) -> ClaimStep {
        let value = encode(&self.holder);
        ClaimStep::Call(Request::Write {
            key: self.key.clone(),
            version,
            value,
        })
    }

    fn found(&mut self, row: &Row) -> ClaimStep {
        self.version = row.version;
        match serde_json::from_slice::<Holder>(&row.value) {
            Ok(h) if h.token == self.holder.token => ClaimStep::Acquired,
            Ok(h) if h.token.is_empty() && self.reads < MAX_READS => self.write(row.version),
            Ok(h) if h.token.is_empty() => ClaimStep::Refuse,
            Ok(h) if h.body != self.holder.body => ClaimStep::HeldByOther(None),
            other => ClaimStep::HeldByOther(other.ok()),
        }
    }
}

fn encode(holder: &Holder) -> Bytes {
    serde_json::to_vec(holder)
        .map(Bytes::from)
        .unwrap_or_default()
}

/// Key of the claim's row. The idempotency key is hashed, since it may be long and contain any
/// bytes.
fn row_key(team: &str, key: &str) -> String {
    let mut h = blake3::Hasher::new();
    h.update(&(team.len() as u64).to_le_bytes())
        .update(team.as_bytes())
        .update(key.as_bytes());
    format!("claim/{}", &h.finalize().to_hex()[..32])
}
