//! Frames of an exchange, and of state transfers between members of the fleet.

use bytes::Bytes;
use prost::{Message, Oneof};

/// One message on a connection.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Content of the frame.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub body: Option<Body>,
}

impl Frame {
    /// Wraps a message.
    pub fn new(body: impl Into<Body>) -> Self {
        Self {
            body: Some(body.into()),
        }
    }
}

macro_rules! bodies {
    ($($name:ident = $tag:literal),* $(,)?) => {
        /// Content of a frame.
        #[derive(Clone, PartialEq, Oneof)]
        #[expect(
            clippy::large_enum_variant,
            reason = "a request moves the large Open once and small frames a thousand times"
        )]
        pub enum Body {
            $(
                #[doc = concat!("See [`", stringify!($name), "`].")]
                #[prost(message, tag = $tag)]
                $name($name),
            )*
        }

        $(impl From<$name> for Body {
            fn from(m: $name) -> Self {
                Self::$name(m)
            }
        })*
    };
}

bodies! {
    Open = "1", Accepted = "2", Head = "3", Chunk = "4", End = "5", Refuse = "6", Fail = "7",
    Resume = "8", Ack = "9", Beat = "10", Cancel = "11", Pull = "12", Text = "13",
}

/// An HTTP header.
#[derive(Clone, PartialEq, Message)]
pub struct Header {
    /// Name in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// Entry to sidecar: serve this request.
#[derive(Clone, PartialEq, Message)]
pub struct Open {
    /// Token of the exchange; drawn at random for every attempt, so that an answer can't reach
    /// another request even if callers choose equal request ids.
    #[prost(bytes = "bytes", tag = "1")]
    pub token: Bytes,
    /// Request id, for logs.
    #[prost(string, tag = "2")]
    pub request: String,
    /// Number of the attempt.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
    /// Sidecar incarnation that the entry addresses; 0 if not known.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Name of the team.
    #[prost(string, tag = "5")]
    pub team: String,
    /// Weight of the team in fair sharing.
    #[prost(uint32, tag = "6")]
    pub share: u32,
    /// [`model::Class`] by index.
    #[prost(uint32, tag = "7")]
    pub class: u32,
    /// Time left until the request's deadline, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub deadline: u64,
    /// Whether the request may run more than once.
    #[prost(bool, tag = "9")]
    pub idempotent: bool,
    /// The caller's idempotency key, if any.
    #[prost(string, tag = "10")]
    pub key: String,
    /// HTTP method.
    #[prost(string, tag = "11")]
    pub method: String,
    /// Path and query.
    #[prost(string, tag = "12")]
    pub path: String,
    /// Headers for the target.
    #[prost(message, repeated, tag = "13")]
    pub headers: Vec<Header>,
    /// Body for the target.
    #[prost(bytes = "bytes", tag = "14")]
    pub body: Bytes,
    /// Cache scope, passed to the engine as its cache salt.
    #[prost(string, tag = "15")]
    pub scope: String,
    /// Block hashes of the prompt, in the order of its blocks.
    #[prost(fixed64, repeated, tag = "16")]
    pub chain: Vec<u64>,
    /// Number of server-sent events that the caller already has from earlier attempts.
    #[prost(uint64, tag = "17")]
    pub delivered: u64,
    /// Fingerprint of the request, to recognize one that crashes its targets.
    #[prost(fixed64, tag = "18")]
    pub fingerprint: u64,
    /// W3C trace context.
    #[prost(string, tag = "19")]
    pub trace: String,
    /// Whether the caller wants server-sent events.
    #[prost(bool, tag = "20")]
    pub stream: bool,
    /// Maximum number of tokens in the answer, to estimate its length.
    #[prost(uint32, tag = "21")]
    pub output: u32,
    /// Number of earlier attempts whose target crashed while it ran the request.
    #[prost(uint32, tag = "22")]
    pub strikes: u32,
    /// Id of the probe whose offer the entry accepts; 0 if there was no offer.
    #[prost(fixed64, tag = "23")]
    pub probe: u64,
    /// Ids of the crashes that the entry attributes to the request.
    #[prost(fixed64, repeated, tag = "24")]
    pub crashes: Vec<u64>,
    /// Sidecars of the pool as the entry lists them; empty unless the request may crash its target.
    #[prost(message, repeated, tag = "25")]
    pub peers: Vec<Peer>,
}

/// A sidecar of a pool.
#[derive(Clone, PartialEq, Message)]
pub struct Peer {
    /// Rank of its target.
    #[prost(fixed64, tag = "1")]
    pub rank: u64,
    /// Address for probes and inquiries.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// Sidecar to entry: the request is queued.
#[derive(Clone, PartialEq, Message)]
pub struct Accepted {
    /// Incarnation of the sidecar.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Token of the exchange.
    #[prost(bytes = "bytes", tag = "2")]
    pub token: Bytes,
}

/// Sidecar to entry: status and headers of the target's answer.
#[derive(Clone, PartialEq, Message)]
pub struct Head {
    /// HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Headers of the answer.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// Time that the request waited in the queue, in microseconds.
    #[prost(uint64, tag = "3")]
    pub waited: u64,
}

/// Sidecar to entry: a chunk of the answer's body; a chunk of a stream has only complete events.
#[derive(Clone, PartialEq, Message)]
pub struct Chunk {
    /// Position among the chunks of the exchange, starting at 0.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// Content of the chunk.
    #[prost(bytes = "bytes", tag = "2")]
    pub data: Bytes,
}

/// Sidecar to entry: the answer is complete.
#[derive(Clone, PartialEq, Message)]
pub struct End {
    /// Number of chunks.
    #[prost(uint64, tag = "1")]
    pub count: u64,
    /// Hash of the bytes of all chunks.
    #[prost(bytes = "bytes", tag = "2")]
    pub digest: Bytes,
}

/// Sidecar to entry: the request was not sent to the target and never will be.
#[derive(Clone, PartialEq, Message)]
pub struct Refuse {
    /// [`model::Code`] by number.
    #[prost(uint32, tag = "1")]
    pub code: u32,
    /// Milliseconds after which the request should be sent again; 0 if not known.
    #[prost(uint64, tag = "2")]
    pub retry: u64,
    /// Exchange of an earlier attempt with the same idempotency key.
    #[prost(message, optional, tag = "3")]
    pub owner: Option<Join>,
}

/// Sidecar to entry: the request was sent to the target and can't be completed here.
#[derive(Clone, PartialEq, Message)]
pub struct Fail {
    /// [`model::Code`] by number.
    #[prost(uint32, tag = "1")]
    pub code: u32,
    /// Whether the target itself reported the failure; otherwise the outcome is unknown.
    #[prost(bool, tag = "2")]
    pub known: bool,
    /// Whether the target crashed while it ran the request.
    #[prost(bool, tag = "3")]
    pub crashed: bool,
    /// Id of the crash; 0 if there was none.
    #[prost(fixed64, tag = "4")]
    pub crash: u64,
}

/// Entry to sidecar: continue an exchange whose connection was lost.
#[derive(Clone, PartialEq, Message)]
pub struct Resume {
    /// Token of the exchange.
    #[prost(bytes = "bytes", tag = "1")]
    pub token: Bytes,
    /// Position of the first chunk that is missing.
    #[prost(uint64, tag = "2")]
    pub next: u64,
    /// Sidecar incarnation in which the exchange was opened; 0 if not known.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
}

/// Where the answer of a claimed request can be fetched.
#[derive(Clone, PartialEq, Message)]
pub struct Join {
    /// Token of the exchange.
    #[prost(bytes = "bytes", tag = "1")]
    pub token: Bytes,
    /// Address at which the sidecar accepts exchanges.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Incarnation of the sidecar.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
}

/// Entry to sidecar: chunks before a position were delivered and needn't be kept.
#[derive(Clone, PartialEq, Message)]
pub struct Ack {
    /// Position of the first chunk that is still missing.
    #[prost(uint64, tag = "1")]
    pub next: u64,
}

/// Sidecar to entry: heartbeat while there is no other frame to send.
#[derive(Clone, PartialEq, Message)]
pub struct Beat {}

/// Entry to sidecar: the caller disconnected.
#[derive(Clone, PartialEq, Message)]
pub struct Cancel {}

/// Member to member: requests the other member's state.
#[derive(Clone, PartialEq, Message)]
pub struct Pull {
    /// Encoded query, as defined in the `fleet` crate.
    #[prost(bytes = "bytes", tag = "1")]
    pub data: Bytes,
}

/// Member to member: reply to a [`Pull`].
#[derive(Clone, PartialEq, Message)]
pub struct Text {
    /// Encoded reply, as defined in the `fleet` crate.
    #[prost(bytes = "bytes", tag = "1")]
    pub data: Bytes,
}
