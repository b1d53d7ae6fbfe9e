//! Datagrams between entries and sidecars, and between sidecars.

use bytes::Bytes;
use prost::{Message as _, Oneof};

use crate::error::WireError;
use crate::frame::Peer;
use crate::seal::Keys;
use crate::PACKET_MAX;

/// One datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Packet {
    /// Content of the datagram.
    #[prost(oneof = "Message", tags = "1, 2, 3, 4")]
    pub message: Option<Message>,
}

/// Content of a datagram.
#[derive(Clone, PartialEq, Oneof)]
pub enum Message {
    /// Entry to sidecar: asks what it would take to serve a request.
    #[prost(message, tag = "1")]
    Probe(Probe),
    /// Sidecar to entry: the reply to a probe.
    #[prost(message, tag = "2")]
    Offer(Offer),
    /// Sidecar to sidecar: asks about requests that may crash their targets.
    #[prost(message, tag = "3")]
    Inquiry(Inquiry),
    /// Sidecar to sidecar: the reply to an inquiry.
    #[prost(message, tag = "4")]
    Findings(Findings),
}

/// A prefix of a prompt, identified by the hash of its last block.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Mark {
    /// Number of blocks in the prefix.
    #[prost(uint32, tag = "1")]
    pub blocks: u32,
    /// Hash of the last block, which covers all blocks before it.
    #[prost(fixed64, tag = "2")]
    pub hash: u64,
}

/// Asks a sidecar what it would take to serve a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Probe {
    /// Id of the probe, returned in the offer.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// [`model::Class`] by index.
    #[prost(uint32, tag = "2")]
    pub class: u32,
    /// Prefixes of the prompt, the shortest first.
    #[prost(message, repeated, tag = "3")]
    pub marks: Vec<Mark>,
    /// Number of blocks in the whole prompt.
    #[prost(uint32, tag = "4")]
    pub blocks: u32,
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "5")]
    pub fingerprint: u64,
    /// Team that sent the request.
    #[prost(string, tag = "6")]
    pub team: String,
}

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum State {
    /// Accepts new requests.
    Serving = 0,
    /// Will accept requests after its weights are loaded.
    Loading = 1,
    /// Finishes its requests and then stops.
    Leaving = 2,
    /// The engine doesn't respond.
    Down = 3,
    /// The queue is full.
    Full = 4,
}

/// Reply to a probe: what it would take to serve the request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Offer {
    /// Id of the probe.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Incarnation of the sidecar.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Incarnation of the engine.
    #[prost(uint64, tag = "3")]
    pub engine: u64,
    /// Number of the prompt's blocks that are in the engine's cache.
    #[prost(uint32, tag = "4")]
    pub matched: u32,
    /// Time in microseconds that a request of this class would wait in the queue.
    #[prost(uint64, tag = "5")]
    pub wait: u64,
    /// Measured prefill time per block, in nanoseconds.
    #[prost(uint64, tag = "6")]
    pub prefill: u64,
    /// State of the target.
    #[prost(enumeration = "State", tag = "7")]
    pub state: i32,
    /// Whether the request is known to crash targets.
    #[prost(bool, tag = "8")]
    pub convicted: bool,
    /// Milliseconds after which the request should be sent again, if the queue is full.
    #[prost(uint64, tag = "9")]
    pub retry: u64,
    /// Share of the last seconds in which the engine computed prompts, in thousandths.
    #[prost(uint32, tag = "10")]
    pub busy: u32,
}

/// Asks other sidecars whether requests that may crash their targets may run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Inquiry {
    /// Rank of the target whose sidecar sends the inquiry.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// Random id of the round, returned in the reply.
    #[prost(fixed64, tag = "2")]
    pub round: u64,
    /// Send time on the sender's clock in microseconds, returned in the reply.
    #[prost(uint64, tag = "3")]
    pub sent: u64,
    /// Requests that the inquiry is about.
    #[prost(message, repeated, tag = "4")]
    pub suspects: Vec<Suspect>,
}

/// A request that may crash its target and that a sidecar would run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Suspect {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Priority of the sidecar's claim: of two claims, the one with the lower rank may run.
    #[prost(fixed64, tag = "2")]
    pub rank: u64,
    /// Ids of the crashes that are attributed to the request.
    #[prost(fixed64, repeated, tag = "3")]
    pub crashes: Vec<u64>,
}

/// Reply to an inquiry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Findings {
    /// Rank of the target whose sidecar replies.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// Id of the inquiry's round.
    #[prost(fixed64, tag = "2")]
    pub round: u64,
    /// Send time of the inquiry.
    #[prost(uint64, tag = "3")]
    pub sent: u64,
    /// Finding for each request.
    #[prost(message, repeated, tag = "4")]
    pub findings: Vec<Finding>,
    /// Sidecars of the pool that the sender has listed last, which others may not list yet.
    #[prost(message, repeated, tag = "5")]
    pub peers: Vec<Peer>,
}

/// What a sidecar has recorded about a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Finding {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Ids of the crashes that are attributed to the request.
    #[prost(fixed64, repeated, tag = "2")]
    pub crashes: Vec<u64>,
    /// Whether the request runs at that sidecar, or that sidecar's claim has priority.
    #[prost(bool, tag = "3")]
    pub busy: bool,
    /// Whether the request was recently answered there without a crash.
    #[prost(bool, tag = "4")]
    pub good: bool,
}

impl Packet {
    /// Encodes and seals a message.
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

    /// Verifies a datagram's seal and decodes its message.
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
