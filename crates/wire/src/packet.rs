//! Datagrams between entries and sidecars, and among sidecars.

use bytes::Bytes;
use prost::{Message as _, Oneof};

use crate::error::WireError;
use crate::seal::Keys;
use crate::PACKET_MAX;

/// One datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Packet {
    /// What it says.
    #[prost(oneof = "Message", tags = "1, 2, 3, 4")]
    pub message: Option<Message>,
}

/// What a datagram says.
#[derive(Clone, PartialEq, Oneof)]
pub enum Message {
    /// Entry to sidecar.
    #[prost(message, tag = "1")]
    Probe(Probe),
    /// Sidecar to entry.
    #[prost(message, tag = "2")]
    Offer(Offer),
    /// Sidecar to sidecar.
    #[prost(message, tag = "3")]
    Inquiry(Inquiry),
    /// Sidecar to sidecar.
    #[prost(message, tag = "4")]
    Findings(Findings),
}

/// A prompt's first blocks, as one number.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Mark {
    /// How many blocks.
    #[prost(uint32, tag = "1")]
    pub blocks: u32,
    /// Hash of the last of them, which stands for all.
    #[prost(fixed64, tag = "2")]
    pub hash: u64,
}

/// What would it take to serve this request?
#[derive(Clone, PartialEq, prost::Message)]
pub struct Probe {
    /// Returned with the offer.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// [`model::Class`] by index.
    #[prost(uint32, tag = "2")]
    pub class: u32,
    /// Points of the prompt, the shortest first.
    #[prost(message, repeated, tag = "3")]
    pub marks: Vec<Mark>,
    /// Blocks of the whole prompt.
    #[prost(uint32, tag = "4")]
    pub blocks: u32,
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "5")]
    pub fingerprint: u64,
    /// The team asking.
    #[prost(string, tag = "6")]
    pub team: String,
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum State {
    /// It does.
    Serving = 0,
    /// It will after its weights are loaded.
    Loading = 1,
    /// It finishes what it has and goes.
    Leaving = 2,
    /// Its engine doesn't answer.
    Down = 3,
    /// Its queue is full.
    Full = 4,
}

/// What it would take.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Offer {
    /// The probe's.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The sidecar's life.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The engine's life.
    #[prost(uint64, tag = "3")]
    pub engine: u64,
    /// Blocks of the prompt that the engine holds.
    #[prost(uint32, tag = "4")]
    pub matched: u32,
    /// Microseconds a request of this class would wait for its turn.
    #[prost(uint64, tag = "5")]
    pub wait: u64,
    /// Nanoseconds of prefill a block, as measured.
    #[prost(uint64, tag = "6")]
    pub prefill: u64,
    /// Whether it takes new work.
    #[prost(enumeration = "State", tag = "7")]
    pub state: i32,
    /// The request is known to crash targets.
    #[prost(bool, tag = "8")]
    pub convicted: bool,
    /// Milliseconds until it is worth coming back, if full.
    #[prost(uint64, tag = "9")]
    pub retry: u64,
    /// Thousandths of the last seconds in which the engine computed prompts.
    #[prost(uint32, tag = "10")]
    pub busy: u32,
}

/// May these requests run, which may crash their targets?
#[derive(Clone, PartialEq, prost::Message)]
pub struct Inquiry {
    /// The target that asks, by its rank.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// Draw of the round, returned with the answer.
    #[prost(fixed64, tag = "2")]
    pub round: u64,
    /// Microseconds on the asking process's clock, returned with the answer.
    #[prost(uint64, tag = "3")]
    pub sent: u64,
    /// The requests.
    #[prost(message, repeated, tag = "4")]
    pub suspects: Vec<Suspect>,
}

/// A request that may crash its target, and that a sidecar would run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Suspect {
    /// Its fingerprint.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Of two claims the lower one goes ahead.
    #[prost(fixed64, tag = "2")]
    pub rank: u64,
    /// Names of the crashes that are held against it.
    #[prost(fixed64, repeated, tag = "3")]
    pub crashes: Vec<u64>,
}

/// The answer to an inquiry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Findings {
    /// The target that answers, by its rank.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// The inquiry's.
    #[prost(fixed64, tag = "2")]
    pub round: u64,
    /// The inquiry's.
    #[prost(uint64, tag = "3")]
    pub sent: u64,
    /// What is known of each request.
    #[prost(message, repeated, tag = "4")]
    pub findings: Vec<Finding>,
}

/// What a sidecar knows of a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Finding {
    /// Its fingerprint.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Names of the crashes that are held against it.
    #[prost(fixed64, repeated, tag = "2")]
    pub crashes: Vec<u64>,
    /// Whether it runs there, or a claim of that sidecar goes ahead.
    #[prost(bool, tag = "3")]
    pub busy: bool,
    /// Whether it was answered well there of late.
    #[prost(bool, tag = "4")]
    pub good: bool,
}

impl Packet {
    /// Encodes and seals.
    pub fn seal(message: impl Into<Message>, keys: &Keys) -> Result<Bytes, WireError> {
        let out = keys.seal(
            &Self {
                message: Some(message.into()),
            }
            .encode_to_vec(),
        );
        match out.len() {
            n if n > PACKET_MAX => Err(WireError::Large(n)),
            _ => Ok(out),
        }
    }

    /// Checks the seal and decodes.
    pub fn open(bytes: &Bytes, keys: &Keys) -> Result<Message, WireError> {
        if bytes.len() > PACKET_MAX {
            return Err(WireError::Large(bytes.len()));
        }
        let (payload, _) = keys.open(bytes)?;
        Self::decode(payload)?.message.ok_or(WireError::Unexpected)
    }
}

impl From<Probe> for Message {
    fn from(p: Probe) -> Self {
        Self::Probe(p)
    }
}

impl From<Offer> for Message {
    fn from(o: Offer) -> Self {
        Self::Offer(o)
    }
}

impl From<Inquiry> for Message {
    fn from(i: Inquiry) -> Self {
        Self::Inquiry(i)
    }
}

impl From<Findings> for Message {
    fn from(f: Findings) -> Self {
        Self::Findings(f)
    }
}
