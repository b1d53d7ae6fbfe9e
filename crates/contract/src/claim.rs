//! A request that may run once: whoever inserts its row may run it.
//!
//! The same vote sent twice through two entries reaches two sidecars at the same moment; neither
//! can see the other. Without the row both would run it and one voter would count twice. The row
//! is written before the request is handed over, so a sidecar that dies in between leaves a
//! claimed request that never ran: its caller hears "unknown", never "not run", from anyone who
//! finds the row. That is the price of never running twice.
//!
//! If the table's answer to the insert is lost, the row is read back: our token in it means that
//! the claim is ours. If that can't be settled in [`MAX_READS`] reads, the request is refused; it has
//! not run, since it is only handed over on [`ClaimStep::Acquired`].

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::table::{Reply, Request, Row};

/// Reads tried to settle a lost answer. Each has the driver's own time limit; a caller on the line
/// would rather hear a refusal than wait for a fourth.
pub const MAX_READS: u32 = 3;

/// Who claimed a request, as the row holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The exchange, in hexadecimal; empty once the claim was given back.
    pub token: String,
    /// Address of the sidecar that holds the exchange.
    pub address: String,
    /// That sidecar's life.
    pub incarnation: u64,
    /// Seconds since the epoch, for sweeping old rows.
    pub since: u64,
    /// Hash of the request, in hexadecimal. One key on two requests would else give the second
    /// the first one's answer, and its caller would believe that it ran.
    #[serde(default)]
    pub body: String,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Call the table and feed the reply back.
    Call(Request),
    /// Run it.
    Acquired,
    /// Somebody claimed it before; `None` if the row can't be read as a holder, or is that of
    /// another request under the same key.
    HeldByOther(Option<Holder>),
    /// The table is away; refuse it as not run.
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
    /// A claim on a team's request with this idempotency key.
    pub fn new(team: impl AsRef<str>, key: impl AsRef<str>, holder: Holder) -> Self {
        Self {
            key: row_key(team.as_ref(), key.as_ref()),
            holder,
            reads: 0,
            version: 0,
        }
    }

    /// The first call.
    pub fn start(&self) -> ClaimStep {
        self.write(0)
    }

    /// Gives a claim of ours back, for a request that was not handed over after all. It may fail
    /// or be lost: then the claim stands, and nobody runs the request.
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

    /// Takes the reply to the last call.
    pub fn step(&mut self, reply: Reply) -> ClaimStep {
        match reply {
            Reply::Written(version) => {
                self.version = version;
                ClaimStep::Acquired
            }
            Reply::Row(Some(row)) => self.found(&row),
            Reply::Conflict => self.read(),
            // The insert was lost before it took effect, and it may still take effect later;
            // writing again could meet our own first write, which then reads as ours.
            Reply::Row(None) if self.reads < MAX_READS => self.start(),
            Reply::Lost if self.reads < MAX_READS => self.read(),
            // A read that fails may stand for a row of ours; only the first write is sure.
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

/// The row's name. The caller's key is hashed: it may hold any bytes and be long.
fn row_key(team: &str, key: &str) -> String {
    let mut h = blake3::Hasher::new();
    h.update(&(team.len() as u64).to_le_bytes())
        .update(team.as_bytes())
        .update(key.as_bytes());
    format!("claim/{}", &h.finalize().to_hex()[..32])
}
