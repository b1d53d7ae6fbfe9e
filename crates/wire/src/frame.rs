//! Messages of an exchange, and of pulls between members.

use bytes::Bytes;
use prost::{Message, Oneof};

/// One message on a connection.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// What it says.
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
        /// What a frame says.
        #[derive(Clone, PartialEq, Oneof)]
        #[expect(
            clippy::large_enum_variant,
            reason = "an Open is moved once a request, the small frames a thousand times"
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
    /// Names this exchange; drawn at random for every attempt, so that an answer can't reach
    /// another request even if callers choose equal request ids.
    #[prost(bytes = "bytes", tag = "1")]
    pub token: Bytes,
    /// The request's id, for logs.
    #[prost(string, tag = "2")]
    pub request: String,
    /// The attempt at it.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
    /// Sidecar's life that the entry means.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Team.
    #[prost(string, tag = "5")]
    pub team: String,
    /// Weight of the team in fair sharing.
    #[prost(uint32, tag = "6")]
    pub share: u32,
    /// [`model::Class`] by index.
    #[prost(uint32, tag = "7")]
    pub class: u32,
    /// Milliseconds left until the answer is of no use.
    #[prost(uint64, tag = "8")]
    pub deadline: u64,
    /// Whether it may run more than once.
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
    /// Cache scope, the engine's cache salt.
    #[prost(string, tag = "15")]
    pub scope: String,
    /// Block hashes of the prompt, outermost first.
    #[prost(fixed64, repeated, tag = "16")]
    pub chain: Vec<u64>,
    /// Server-sent events that the caller already has from earlier attempts.
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
    /// Tokens that the answer may have, to estimate its length.
    #[prost(uint32, tag = "21")]
    pub output: u32,
    /// Earlier attempts whose target died under the request.
    #[prost(uint32, tag = "22")]
    pub strikes: u32,
    /// The probe whose offer this takes up; 0 if none was answered.
    #[prost(fixed64, tag = "23")]
    pub probe: u64,
    /// Names of the crashes that the entry holds against the request.
    #[prost(fixed64, repeated, tag = "24")]
    pub crashes: Vec<u64>,
}

/// Sidecar to entry: the request waits for its turn.
#[derive(Clone, PartialEq, Message)]
pub struct Accepted {
    /// The sidecar's life.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// The exchange it speaks of.
    #[prost(bytes = "bytes", tag = "2")]
    pub token: Bytes,
}

/// Sidecar to entry: the target began its answer.
#[derive(Clone, PartialEq, Message)]
pub struct Head {
    /// HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Headers of the answer.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// Microseconds the request waited in the queue.
    #[prost(uint64, tag = "3")]
    pub waited: u64,
}

/// Sidecar to entry: a piece of the answer's body; of a stream always whole events.
#[derive(Clone, PartialEq, Message)]
pub struct Chunk {
    /// Position among the chunks of this exchange, from 0.
    #[prost(uint64, tag = "1")]
    pub seq: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub data: Bytes,
}

/// Sidecar to entry: the answer is whole.
#[derive(Clone, PartialEq, Message)]
pub struct End {
    /// How many chunks there were.
    #[prost(uint64, tag = "1")]
    pub count: u64,
    /// Hash of all their bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub digest: Bytes,
}

/// Sidecar to entry: the request was not handed to the target and never will be.
#[derive(Clone, PartialEq, Message)]
pub struct Refuse {
    /// [`model::Code`] by number.
    #[prost(uint32, tag = "1")]
    pub code: u32,
    /// Milliseconds until it is worth coming back; 0 if not known.
    #[prost(uint64, tag = "2")]
    pub retry: u64,
    /// Where an earlier attempt with the same idempotency key runs or ran.
    #[prost(message, optional, tag = "3")]
    pub owner: Option<Join>,
}

/// Sidecar to entry: the request was handed to the target and can't be completed here.
#[derive(Clone, PartialEq, Message)]
pub struct Fail {
    /// [`model::Code`] by number.
    #[prost(uint32, tag = "1")]
    pub code: u32,
    /// Whether the target said itself that it failed; else the outcome is unknown.
    #[prost(bool, tag = "2")]
    pub known: bool,
    /// Whether the target died under it.
    #[prost(bool, tag = "3")]
    pub crashed: bool,
    /// Name of that crash; 0 if there is none.
    #[prost(fixed64, tag = "4")]
    pub crash: u64,
}

/// Entry to sidecar: go on with an exchange whose connection was lost.
#[derive(Clone, PartialEq, Message)]
pub struct Resume {
    /// The exchange.
    #[prost(bytes = "bytes", tag = "1")]
    pub token: Bytes,
    /// First chunk that is missing.
    #[prost(uint64, tag = "2")]
    pub next: u64,
    /// The sidecar's life in which the exchange was opened.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
}

/// Where the answer of a claimed request can be had.
#[derive(Clone, PartialEq, Message)]
pub struct Join {
    /// The exchange.
    #[prost(bytes = "bytes", tag = "1")]
    pub token: Bytes,
    /// The sidecar's exchange address.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The sidecar's life.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
}

/// Entry to sidecar: chunks before this one needn't be kept.
#[derive(Clone, PartialEq, Message)]
pub struct Ack {
    /// First chunk that is still missing.
    #[prost(uint64, tag = "1")]
    pub next: u64,
}

/// Sidecar to entry: alive, nothing to say yet.
#[derive(Clone, PartialEq, Message)]
pub struct Beat {}

/// Entry to sidecar: the caller went away.
#[derive(Clone, PartialEq, Message)]
pub struct Cancel {}

/// Member to member: tell me what you know.
#[derive(Clone, PartialEq, Message)]
pub struct Pull {
    /// The asker's encoded question; its shape is the `fleet` package's.
    #[prost(bytes = "bytes", tag = "1")]
    pub data: Bytes,
}

/// Member to member: answer to a [`Pull`].
#[derive(Clone, PartialEq, Message)]
pub struct Text {
    /// The encoded answer; its shape is the `fleet` package's.
    #[prost(bytes = "bytes", tag = "1")]
    pub data: Bytes,
}
