//! Updates between processes: datagrams about one engine, from sidecars to the entries and to one another,
//! and between entries.
//!
//! An update is the state as of now, so a lost one isn't sent again; the next one replaces it. What the
//! engine holds is sent as changes, and in whole every few seconds, so that an entry that has missed a change
//! or has just started is right again soon. State that is out of date costs time, never an answer. What
//! mustn't rest on one datagram is asked for ([`SlotQuery`]) or repeated while it holds ([`Strike`]).

use std::net::SocketAddr;

use prost::Message;
use tokio::net::UdpSocket;

/// Bytes of a datagram at most; it must not be split on its way.
pub const MAX_DATAGRAM: usize = 1_200;
/// Parts in one datagram at most; at most 24 bytes each.
pub const MAX_PARTS: usize = 40;

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Update {
    /// Address of the engine, as targets are listed.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Whether the engine answers its sidecar.
    #[prost(bool, tag = "2")]
    pub alive: bool,
    /// Whether its process has ended; another that starts in its place is another target.
    #[prost(bool, tag = "21")]
    pub ended: bool,
    /// What it has loaded.
    #[prost(message, repeated, tag = "3")]
    pub weights: Vec<LoadedWeights>,
    /// Whether it is carrying out an order.
    #[prost(bool, tag = "4")]
    pub busy: bool,
    /// Requests whose prompt has been read.
    #[prost(uint32, tag = "5")]
    pub begun: u32,
    /// Requests whose prompt hasn't been read yet.
    #[prost(uint32, tag = "6")]
    pub unread: u32,
    /// Tokens of memory that can't yield.
    #[prost(uint32, tag = "7")]
    pub used: u32,
    /// Tokens of memory in all.
    #[prost(uint32, tag = "8")]
    pub total: u32,
    /// Milliseconds for which its turn to load has been there, if it has come.
    #[prost(uint32, optional, tag = "23")]
    pub due_ms: Option<u32>,
    /// Milliseconds for which it has been loading weights, if it is.
    #[prost(uint32, optional, tag = "24")]
    pub loading_ms: Option<u32>,
    /// Milliseconds that a load takes, as far as its sidecar knows.
    #[prost(uint32, optional, tag = "25")]
    pub load_ms: Option<u32>,
    /// The version that it lacks; 0 if it lacks none.
    #[prost(uint64, tag = "26")]
    pub wanted: u64,
    /// Whether its sidecar claims a slot to load.
    #[prost(bool, tag = "27")]
    pub claims: bool,
    /// Draw of the sidecar's process, another one after each start.
    #[prost(fixed64, tag = "28")]
    pub process: u64,
    /// Microseconds since the sidecar's start.
    #[prost(uint64, tag = "29")]
    pub sent_us: u64,
    /// Key of the engine if this comes from an entry that is its delegate; 0 otherwise. Of a note, the
    /// delegate that it is for.
    #[prost(fixed64, tag = "32")]
    pub delegate: u64,
    /// Milliseconds since its delegate ordered the engine, if it has.
    #[prost(uint32, optional, tag = "33")]
    pub ordered_ms: Option<u32>,
    /// The delegate's fencing token.
    #[prost(uint64, tag = "34")]
    pub fence: u64,
    /// A sidecar's question for another one's state as of now.
    #[prost(message, optional, tag = "30")]
    pub slot_ask: Option<SlotQuery>,
    /// The question that this answers.
    #[prost(message, optional, tag = "31")]
    pub slot_answer: Option<SlotQuery>,
    /// The engine's life, as its cache events tell it.
    #[prost(uint64, tag = "10")]
    pub epoch: u64,
    /// Parts stored or dropped.
    #[prost(message, repeated, tag = "11")]
    pub parts: Vec<HeldPart>,
    /// Whether this comes from an entry; it then tells only what the engine is to read.
    #[prost(bool, tag = "12")]
    pub entry: bool,
    /// Prompt tokens that it has yet to read, by step of urgency.
    #[prost(uint32, repeated, tag = "15")]
    pub tokens: Vec<u32>,
    /// What an entry tells a sidecar of one prompt.
    #[prost(message, optional, tag = "16")]
    pub note: Option<PromptNote>,
    /// Whether this is about a store of kept KV cache instead of an engine.
    #[prost(bool, tag = "14")]
    pub kept: bool,
    /// What an entry found when it read the platform's list of targets.
    #[prost(message, optional, tag = "18")]
    pub list: Option<ListRead>,
    /// A crash that an entry holds against a request, or takes back.
    #[prost(message, optional, tag = "19")]
    pub strike: Option<Strike>,
    /// Which life of which target the engine is, as an entry knows it from the list.
    #[prost(message, optional, tag = "22")]
    pub life: Option<Incarnation>,
    /// Whether an entry asks to be told of the engine from now on.
    #[prost(bool, tag = "20")]
    pub asks: bool,
    /// Parts that an entry has just sent the engine to read.
    #[prost(message, repeated, tag = "13")]
    pub expected: Vec<HeldPart>,
}

/// A sidecar's question for another one's state, which the answer repeats.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SlotQuery {
    /// Draw of the claim; 0 outside of one.
    #[prost(fixed64, tag = "1")]
    pub round: u64,
    /// Microseconds since the asking sidecar's start.
    #[prost(uint64, tag = "2")]
    pub sent_us: u64,
    /// Key of the engine whose delegate is asked; 0 for a sidecar.
    #[prost(fixed64, tag = "3")]
    pub delegate: u64,
}

/// The platform's list of targets as an entry has just read it.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ListRead {
    /// Rank of the entry among those that read.
    #[prost(fixed64, tag = "1")]
    pub rank: u64,
    /// Hash of the list.
    #[prost(fixed64, tag = "2")]
    pub hash: u64,
    /// Era of the store that it was read in.
    #[prost(uint64, tag = "3")]
    pub era: u64,
}

/// A crash held against a request.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Strike {
    /// Upper half of the request's fingerprint.
    #[prost(fixed64, tag = "1")]
    pub high: u64,
    /// Lower half of it.
    #[prost(fixed64, tag = "2")]
    pub low: u64,
    /// Hash of the id of the target that crashed.
    #[prost(fixed64, tag = "3")]
    pub target: u64,
    /// When the life of the target that crashed had begun.
    #[prost(uint64, tag = "4")]
    pub born: u64,
    /// Whether a good answer has cleared the request instead.
    #[prost(bool, tag = "5")]
    pub cleared: bool,
}

/// One life of a target.
#[derive(Clone, PartialEq, Message)]
pub struct Incarnation {
    /// The target's id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// When this life began.
    #[prost(uint64, tag = "2")]
    pub born: u64,
}

/// A prompt at an engine.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PromptNote {
    /// Hash of the request's id.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Tokens that the engine has yet to read; none if it has read the prompt or won't.
    #[prost(uint32, optional, tag = "2")]
    pub tokens: Option<u32>,
}

/// A model's weights.
#[derive(Clone, PartialEq, Message)]
pub struct LoadedWeights {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version of its weights.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// A part in an engine's cache.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct HeldPart {
    /// Key of its scope.
    #[prost(fixed64, tag = "1")]
    pub scope: u64,
    /// The part.
    #[prost(uint64, tag = "2")]
    pub part: u64,
    /// Tokens that are there; 0 if it is gone.
    #[prost(uint32, tag = "3")]
    pub tokens: u32,
}

/// Sends an update to some addresses. What can't be sent at once is dropped.
pub fn send(socket: &UdpSocket, update: &Update, to: impl IntoIterator<Item = SocketAddr>) {
    let bytes = update.encode_to_vec();
    for addr in to {
        // A full link or a host that is gone: the next datagram says more.
        let _ = socket.try_send_to(&bytes, addr);
    }
}

/// Sends an update with some parts to some addresses, in as many datagrams as the parts need.
pub fn send_parts(
    socket: &UdpSocket,
    update: Update,
    parts: &[HeldPart],
    to: impl IntoIterator<Item = SocketAddr> + Clone,
) {
    let mut chunks = parts.chunks(MAX_PARTS);
    loop {
        let parts = chunks.next().unwrap_or_default().to_vec();
        let update = Update {
            parts,
            ..update.clone()
        };
        send(socket, &update, to.clone());
        if chunks.len() == 0 {
            break;
        }
    }
}

/// Waits for the next datagram that can be read, with its sender.
pub async fn receive(socket: &UdpSocket) -> (Update, SocketAddr) {
    let mut buffer = [0; 2 * MAX_DATAGRAM];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((n, from)) => match Update::decode(&buffer[..n]) {
                Ok(update) => return (update, from),
                Err(_) => {
                    crate::meter::increment(crate::meter::BAD_UPDATES, "reason", "unreadable")
                }
            },
            // Only a port that nobody listens on at a former receiver comes back as an error.
            Err(_) => tokio::task::yield_now().await,
        }
    }
}
