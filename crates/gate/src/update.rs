//! Updates: datagrams about one engine that processes send one another.
//!
//! An update contains the current state, so a lost update isn't sent again; the next one replaces
//! it. Parts in the engine's cache are sent as changes, and all of them every few seconds, so that
//! an entry that has missed a change or has just started is soon up to date. Outdated state makes
//! requests slower but never fails one. Information that mustn't depend on a single datagram is
//! queried ([`SlotQuery`]) or repeated while it is valid ([`Strike`]).

use std::net::SocketAddr;

use prost::Message;
use tokio::net::UdpSocket;

/// Maximum size of a datagram in bytes; larger ones might be fragmented on the way.
pub const MAX_DATAGRAM: usize = 1_200;
/// Maximum number of parts in one datagram, each of `PART_BYTES`.
pub const MAX_PARTS: usize = 40;
/// Size in bytes of an encoded part of up to 2 million tokens, with its tag and length.
const PART_BYTES: usize = 26;

/// Content of a datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Update {
    /// Address of the engine, as in the list of targets.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Whether the engine answers its agent.
    #[prost(bool, tag = "2")]
    pub alive: bool,
    /// Whether the engine's process has ended; an engine that starts in its place is another
    /// target.
    #[prost(bool, tag = "21")]
    pub ended: bool,
    /// Weights that the engine has loaded.
    #[prost(message, repeated, tag = "3")]
    pub weights: Vec<LoadedWeights>,
    /// Whether the engine is executing an order.
    #[prost(bool, tag = "4")]
    pub busy: bool,
    /// Number of requests that have finished prefill.
    #[prost(uint32, tag = "5")]
    pub begun: u32,
    /// Number of requests that haven't finished prefill.
    #[prost(uint32, tag = "6")]
    pub unread: u32,
    /// KV cache in use that can't be evicted, in tokens.
    #[prost(uint32, tag = "7")]
    pub used: u32,
    /// Total KV cache, in tokens.
    #[prost(uint32, tag = "8")]
    pub total: u32,
    /// Milliseconds since the engine became due to load, if it is due.
    #[prost(uint32, optional, tag = "23")]
    pub due_ms: Option<u32>,
    /// Milliseconds since the engine started to load weights, if it is loading.
    #[prost(uint32, optional, tag = "24")]
    pub loading_ms: Option<u32>,
    /// Estimated milliseconds until the engine starts to load newer weights, if it lacks them.
    #[prost(uint32, optional, tag = "49")]
    pub load_in_ms: Option<u32>,
    /// Duration of a load in milliseconds, if the agent knows it.
    #[prost(uint32, optional, tag = "25")]
    pub load_ms: Option<u32>,
    /// Version that the engine still has to load; 0 if it is up to date.
    #[prost(uint64, tag = "26")]
    pub wanted: u64,
    /// Whether the agent claims a slot to load.
    #[prost(bool, tag = "27")]
    pub claims: bool,
    /// Random number of the agent's process, a new one after each start.
    #[prost(fixed64, tag = "28")]
    pub process: u64,
    /// When the update was sent, in microseconds since the start of the agent's process.
    #[prost(uint64, tag = "29")]
    pub sent_us: u64,
    /// Key of the engine if its delegate has sent the update; 0 otherwise. In an update with a
    /// note, the delegate that the note is for.
    #[prost(fixed64, tag = "32")]
    pub delegate: u64,
    /// Milliseconds since the delegate last ordered the engine, if it has.
    #[prost(uint32, optional, tag = "33")]
    pub ordered_ms: Option<u32>,
    /// Fencing token of the delegate's orders.
    #[prost(uint64, tag = "34")]
    pub fence: u64,
    /// Query for the current state of another agent.
    #[prost(message, optional, tag = "30")]
    pub slot_ask: Option<SlotQuery>,
    /// The query that this update answers.
    #[prost(message, optional, tag = "31")]
    pub slot_answer: Option<SlotQuery>,
    /// Engines whose agents are silent, by the lower half of their keys.
    #[prost(fixed32, repeated, tag = "36")]
    pub silent: Vec<u32>,
    /// Digest of the engines that the agent knows, if it lacks the state of a listed one; 0 otherwise.
    #[prost(fixed64, tag = "37")]
    pub known: u64,
    /// Claims of slots that the agent has received through other agents.
    #[prost(message, repeated, tag = "38")]
    pub confirmed: Vec<ClaimConfirmation>,
    /// States of the engines that other agents have named as silent.
    #[prost(message, repeated, tag = "39")]
    pub relays: Vec<RelayedState>,
    /// Incarnation of the engine according to its cache events.
    #[prost(uint64, tag = "10")]
    pub epoch: u64,
    /// Parts stored in the engine's cache or evicted from it.
    #[prost(message, repeated, tag = "11")]
    pub parts: Vec<HeldPart>,
    /// Whether an entry has sent the update; it then contains only prompts that the engine has to
    /// read.
    #[prost(bool, tag = "12")]
    pub entry: bool,
    /// Prompt tokens that the engine hasn't read yet, by priority tier.
    #[prost(uint32, repeated, tag = "15")]
    pub tokens: Vec<u32>,
    /// An entry's note to an agent on one prompt.
    #[prost(message, optional, tag = "16")]
    pub note: Option<PromptNote>,
    /// Whether the update is about a KV store instead of an engine.
    #[prost(bool, tag = "14")]
    pub kept: bool,
    /// An entry's read of the platform's list of targets.
    #[prost(message, optional, tag = "18")]
    pub list: Option<ListRead>,
    /// A crash that an entry counts against a request, or clears.
    #[prost(message, optional, tag = "19")]
    pub strike: Option<Strike>,
    /// The engine's target id and incarnation, as an entry has read them from the list of targets.
    #[prost(message, optional, tag = "22")]
    pub life: Option<Incarnation>,
    /// Whether an entry subscribes to the agent's updates.
    #[prost(bool, tag = "20")]
    pub asks: bool,
    /// An entry's use of the teams' limits.
    #[prost(message, optional, tag = "35")]
    pub limit_use: Option<LimitUse>,
    /// An entry's use of the rates that targets state.
    #[prost(message, optional, tag = "40")]
    pub target_use: Option<TargetUse>,
    /// Which build began a stream, or a query for it.
    #[prost(message, optional, tag = "41")]
    pub origin: Option<StreamOrigin>,
    /// Evidence on prompt parts that crash targets.
    #[prost(message, optional, tag = "42")]
    pub part_evidence: Option<PartEvidence>,
    /// Retries that an entry asks for or lends.
    #[prost(message, optional, tag = "43")]
    pub retry_loan: Option<RetryLoan>,
    /// Hashes of the incarnations of targets that have said to an entry that they leave.
    #[prost(fixed64, repeated, tag = "44")]
    pub leaving: Vec<u64>,
    /// Demand for an engine pool at an entry, and what the pool serves.
    #[prost(message, optional, tag = "45")]
    pub room: Option<RoomUse>,
    /// Newest pace that the engine has stated, if it isn't old.
    #[prost(message, optional, tag = "46")]
    pub pace: Option<StatedPace>,
    /// Factors that the agent has learnt from entries' observations; `None` while they are 1.
    #[prost(message, optional, tag = "47")]
    pub speed: Option<StatedFactors>,
    /// Parts of a prompt that an entry has just sent to the engine.
    #[prost(message, repeated, tag = "13")]
    pub expected: Vec<HeldPart>,
    /// Requests for openings that an entry has received.
    #[prost(message, optional, tag = "48")]
    pub opening_demand: Option<OpeningDemand>,
    /// What the sender knows of the tables that every process follows.
    #[prost(message, optional, tag = "50")]
    pub tables: Option<TablePositions>,
    /// Origins of streams whose holders have ended.
    #[prost(message, optional, tag = "51")]
    pub origin_batch: Option<OriginBatch>,
}

/// What a process knows of the tables that every process follows.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct TablePositions {
    /// Rank of the process among those that check the tables.
    #[prost(fixed64, tag = "1")]
    pub rank: u64,
    /// Milliseconds since its copy of the operator's rows was last confirmed.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
    /// Newest of the operator's rows, if any is known.
    #[prost(message, optional, tag = "3")]
    pub operator: Option<RowPosition>,
    /// Newest row of the list of members, if any is known.
    #[prost(message, optional, tag = "4")]
    pub members: Option<RowPosition>,
    /// Whether this answers lower positions of the receiver.
    #[prost(bool, tag = "5")]
    pub reply: bool,
    /// Whether the process has checked the operator's rows last.
    #[prost(bool, tag = "6")]
    pub checked: bool,
}

/// Position of a row in the store.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RowPosition {
    /// Era of the store.
    #[prost(uint64, tag = "1")]
    pub era: u64,
    /// Version within the era.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// Requests for openings that an entry has received since its last report.
#[derive(Clone, PartialEq, Message)]
pub struct OpeningDemand {
    /// The openings with the most requests.
    #[prost(message, repeated, tag = "1")]
    pub counts: Vec<OpeningCount>,
}

/// Requests for one opening.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct OpeningCount {
    /// Hash of the opening's last part, the pool and, if it is isolated, the team.
    #[prost(fixed64, tag = "1")]
    pub opening: u64,
    /// Number of requests.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
}

/// An entry's use of the teams' limits, as in [`policy::limit::Report`].
#[derive(Clone, PartialEq, Message)]
pub struct LimitUse {
    /// Random number of the process.
    #[prost(fixed64, tag = "1")]
    pub process: u64,
    /// When the report was made, in microseconds since the start of the process.
    #[prost(uint64, tag = "2")]
    pub sent_us: u64,
    /// Longest interval until the next report, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub beat_ms: u32,
    /// Teams with recent use.
    #[prost(message, repeated, tag = "3")]
    pub teams: Vec<TeamUse>,
}

/// Use of a team's limit through one entry.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct TeamUse {
    /// Hash of the team's name.
    #[prost(fixed64, tag = "1")]
    pub team: u64,
    /// Units used since the start of the process.
    #[prost(sint64, tag = "2")]
    pub spent: i64,
    /// Units used recently.
    #[prost(uint64, tag = "3")]
    pub recent: u64,
    /// Units left, if the entry knows the use before its start.
    #[prost(sint64, optional, tag = "4")]
    pub level: Option<i64>,
    /// Requests lately that may have needed units, in hundredths.
    #[prost(uint32, tag = "5")]
    pub demand: u32,
}

/// Which build began a stream.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct StreamOrigin {
    /// Whether this is a record, its confirmation, a query or the answer to one.
    #[prost(enumeration = "OriginKind", tag = "1")]
    pub kind: i32,
    /// Hash of the id of the attempt that brought the first event.
    #[prost(fixed64, tag = "2")]
    pub stream: u64,
    /// Hash of the service and its version; `None` if unknown.
    #[prost(fixed64, optional, tag = "3")]
    pub build: Option<u64>,
    /// Milliseconds for which the origin is kept.
    #[prost(uint32, tag = "4")]
    pub keep_ms: u32,
}

/// Origins of several streams.
#[derive(Clone, PartialEq, Message)]
pub struct OriginBatch {
    /// Key of the batch at its sender.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// The origins, each a record.
    #[prost(message, repeated, tag = "2")]
    pub records: Vec<StreamOrigin>,
    /// Whether this confirms the batch.
    #[prost(bool, tag = "3")]
    pub confirms: bool,
}

/// Kind of a [`StreamOrigin`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum OriginKind {
    /// The sender has passed on the stream's first event.
    Record = 0,
    /// The sender asks for the build.
    Query = 1,
    /// The sender answers a query.
    Answer = 2,
    /// The sender keeps what a record said.
    Confirmation = 3,
}

/// An entry's use of the rates that targets state, as in [`policy::target_limit::Report`].
#[derive(Clone, PartialEq, Message)]
pub struct TargetUse {
    /// Requests to targets with a limit; the keys are hashes of their incarnations.
    #[prost(message, optional, tag = "1")]
    pub used: Option<LimitUse>,
    /// What targets state.
    #[prost(message, repeated, tag = "2")]
    pub stated: Vec<StatedRate>,
}

/// A rate that a target states.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct StatedRate {
    /// Hash of the target's incarnation.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Requests per second from all entries; `None` if the target takes any number.
    #[prost(double, optional, tag = "2")]
    pub rate: Option<f64>,
    /// Number of statements of this target before this one.
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

/// Evidence on prompt parts that crash targets, as in [`policy::crashing_parts::Message`]. Ages are in
/// milliseconds at the time of sending.
#[derive(Clone, PartialEq, Message)]
pub struct PartEvidence {
    /// Hash of the id of a target that crashed; 0 if the message is about no crash.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// Start time of the incarnation that crashed.
    #[prost(uint64, tag = "2")]
    pub born: u64,
    /// Age of the crash.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// Parts that were running there, with the age of the latest request.
    #[prost(message, repeated, tag = "4")]
    pub running: Vec<AgedPart>,
    /// Parts that the sender is about to convict.
    #[prost(fixed64, repeated, tag = "5")]
    pub proposed: Vec<u64>,
    /// Parts with complete answers, with the age of the latest one.
    #[prost(message, repeated, tag = "6")]
    pub answered: Vec<AgedPart>,
    /// Parts that the sender has convicted, with the age of the first crash.
    #[prost(message, repeated, tag = "7")]
    pub convicted: Vec<AgedPart>,
    /// Whether the sender asks for the receiver's convictions.
    #[prost(bool, tag = "8")]
    pub asks: bool,
}

/// Retries of a pool's budget that an entry asks of another one, or lends to it.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RetryLoan {
    /// Hash of the pool's name.
    #[prost(fixed64, tag = "1")]
    pub pool: u64,
    /// Number of retries that the sender asks for; 0 in an answer.
    #[prost(uint32, tag = "2")]
    pub wanted: u32,
    /// Number of retries that the sender lends.
    #[prost(uint32, tag = "3")]
    pub lent: u32,
}

/// Demand for an engine pool at an entry, as in [`policy::room::Report`].
#[derive(Clone, PartialEq, Message)]
pub struct RoomUse {
    /// Random number of the process.
    #[prost(fixed64, tag = "1")]
    pub process: u64,
    /// When the report was made, in microseconds since the start of the process.
    #[prost(uint64, tag = "2")]
    pub sent_us: u64,
    /// Hash of the pool's name.
    #[prost(fixed64, tag = "3")]
    pub pool: u64,
    /// Tokens per second whose first events arrived.
    #[prost(uint32, tag = "4")]
    pub served: u32,
    /// Recent requests for which an engine was looked for, in hundredths.
    #[prost(uint32, tag = "5")]
    pub picked: u32,
    /// Those of them for which all engines had a wait, in hundredths.
    #[prost(uint32, tag = "6")]
    pub waited: u32,
    /// Tokens per second that an engine serves, if the sender has observed it.
    #[prost(uint32, optional, tag = "7")]
    pub capacity: Option<u32>,
    /// Active teams and ranks, the largest first.
    #[prost(message, repeated, tag = "8")]
    pub flows: Vec<RoomFlow>,
}

/// Recent tokens per second of a team at a rank.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RoomFlow {
    /// Hash of the team's name; 0 for the teams that the report leaves out.
    #[prost(fixed64, tag = "1")]
    pub team: u64,
    /// Rank.
    #[prost(uint32, tag = "2")]
    pub rank: u32,
    /// Tokens offered.
    #[prost(uint32, tag = "3")]
    pub offered: u32,
    /// Tokens admitted.
    #[prost(uint32, tag = "4")]
    pub admitted: u32,
}

/// A prompt part and an age.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct AgedPart {
    /// Hash of the model and the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Age in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Number of trials of a convicted part.
    #[prost(uint32, tag = "3")]
    pub trials: u32,
}

/// Query for the current state of another agent. The answer repeats the query.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SlotQuery {
    /// Random number of the claim that the query belongs to; 0 outside of a claim.
    #[prost(fixed64, tag = "1")]
    pub round: u64,
    /// When the query was sent, in microseconds since the start of the querying agent's process.
    #[prost(uint64, tag = "2")]
    pub sent_us: u64,
    /// Key of the engine whose delegate is queried; 0 for a sidecar.
    #[prost(fixed64, tag = "3")]
    pub delegate: u64,
}

/// Confirmation of a slot claim that was received through other agents.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ClaimConfirmation {
    /// Lower half of the key of the claim's engine.
    #[prost(fixed32, tag = "1")]
    pub engine: u32,
    /// When the claim was sent, in microseconds since the start of its agent's process.
    #[prost(uint64, tag = "2")]
    pub sent_us: u64,
}

/// State of an engine as another agent has received it, with the fields of an [`Update`].
#[derive(Clone, PartialEq, Message)]
pub struct RelayedState {
    /// Key of the engine.
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// Weights that the engine has loaded.
    #[prost(message, repeated, tag = "2")]
    pub weights: Vec<RelayedWeights>,
    /// Milliseconds since the engine became due to load, if it is due.
    #[prost(uint32, optional, tag = "3")]
    pub due_ms: Option<u32>,
    /// Milliseconds since the engine started to load weights, if it is loading.
    #[prost(uint32, optional, tag = "4")]
    pub loading_ms: Option<u32>,
    /// Duration of a load in milliseconds, if known.
    #[prost(uint32, optional, tag = "5")]
    pub load_ms: Option<u32>,
    /// Version that the engine still has to load; 0 if it is up to date.
    #[prost(uint64, tag = "6")]
    pub wanted: u64,
    /// Whether the engine's agent claims a slot to load.
    #[prost(bool, tag = "7")]
    pub claims: bool,
    /// Random number of the process of the engine's agent.
    #[prost(fixed64, tag = "8")]
    pub process: u64,
    /// When the state was sent, in microseconds since the start of that process.
    #[prost(uint64, tag = "9")]
    pub sent_us: u64,
    /// When the state was received, in microseconds since the start of the relaying process.
    #[prost(uint64, tag = "10")]
    pub received_us: u64,
    /// Claims of slots that the engine's agent has received through other agents.
    #[prost(message, repeated, tag = "11")]
    pub confirmed: Vec<ClaimConfirmation>,
}

/// Loaded weights in a relayed state.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RelayedWeights {
    /// Hash of the model's name.
    #[prost(fixed64, tag = "1")]
    pub model: u64,
    /// Version of its weights.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// Result of an entry's read of the platform's list of targets.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ListRead {
    /// Rank of the entry among the entries that read the list.
    #[prost(fixed64, tag = "1")]
    pub rank: u64,
    /// Hash of the list.
    #[prost(fixed64, tag = "2")]
    pub hash: u64,
    /// Era of the store at the time of the read.
    #[prost(uint64, tag = "3")]
    pub era: u64,
}

/// A crash counted against a request.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Strike {
    /// Upper half of the request's fingerprint.
    #[prost(fixed64, tag = "1")]
    pub high: u64,
    /// Lower half of the request's fingerprint.
    #[prost(fixed64, tag = "2")]
    pub low: u64,
    /// Hash of the id of the target that crashed.
    #[prost(fixed64, tag = "3")]
    pub target: u64,
    /// Start time of the incarnation that crashed.
    #[prost(uint64, tag = "4")]
    pub born: u64,
    /// Whether the request is cleared instead, after a successful answer.
    #[prost(bool, tag = "5")]
    pub cleared: bool,
}

/// One incarnation of a target.
#[derive(Clone, PartialEq, Message)]
pub struct Incarnation {
    /// The target's id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Start time of the incarnation.
    #[prost(uint64, tag = "2")]
    pub born: u64,
}

/// Note on a prompt that was sent to an engine.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PromptNote {
    /// Hash of the request's id.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Prompt tokens that the engine has to read; `None` once it has read the prompt or won't read
    /// it.
    #[prost(uint32, optional, tag = "2")]
    pub tokens: Option<u32>,
    /// What the entry has observed of the engine's speed.
    #[prost(message, optional, tag = "3")]
    pub speed: Option<SpeedNote>,
}

/// Observations of an engine's speed.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SpeedNote {
    /// Newest pace that the engine has stated, if it isn't old.
    #[prost(message, optional, tag = "1")]
    pub pace: Option<StatedPace>,
    /// Duration of the prompt's prefill, in thousandths of the pool's.
    #[prost(uint32, optional, tag = "2")]
    pub prefill: Option<u32>,
    /// Weight of that observation, in thousandths.
    #[prost(uint32, tag = "3")]
    pub weight: u32,
    /// Gap between events of an earlier answer, in thousandths of the pool's.
    #[prost(uint32, optional, tag = "4")]
    pub decode: Option<u32>,
}

/// Momentary pace that an engine has stated.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct StatedPace {
    /// Duration of work, in percent of the usual one.
    #[prost(uint32, tag = "1")]
    pub percent: u32,
    /// Age in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// Learnt durations of an engine's work, in thousandths of the pool's.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct StatedFactors {
    /// Prefill.
    #[prost(uint32, tag = "1")]
    pub prefill: u32,
    /// Generation of tokens.
    #[prost(uint32, tag = "2")]
    pub decode: u32,
}

/// Loaded weights of a model.
#[derive(Clone, PartialEq, Message)]
pub struct LoadedWeights {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version of its weights.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// A part in the cache of an engine or KV store.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct HeldPart {
    /// Key of the part's scope.
    #[prost(fixed64, tag = "1")]
    pub scope: u64,
    /// Id of the part.
    #[prost(uint64, tag = "2")]
    pub part: u64,
    /// Number of tokens held; 0 if the part was evicted.
    #[prost(uint32, tag = "3")]
    pub tokens: u32,
}

/// Sends an update to the given addresses. Datagrams that can't be sent at once are dropped.
pub fn send(socket: &UdpSocket, update: &Update, to: impl IntoIterator<Item = SocketAddr>) {
    let bytes = update.encode_to_vec();
    for addr in to {
        // An overloaded link or an unreachable host; the next update replaces this one.
        let _ = socket.try_send_to(&bytes, addr);
    }
}

/// Number of parts that fit into one datagram with an update that has none yet.
pub fn parts_per_datagram(update: &Update) -> usize {
    let room = MAX_DATAGRAM.saturating_sub(update.encoded_len());
    (room / PART_BYTES).clamp(1, MAX_PARTS)
}

/// Sends an update with parts to the given addresses, in as many datagrams as the parts need.
pub fn send_parts(
    socket: &UdpSocket,
    update: Update,
    parts: &[HeldPart],
    to: impl IntoIterator<Item = SocketAddr> + Clone,
) {
    let mut chunks = parts.chunks(parts_per_datagram(&update));
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

/// Waits for the next valid datagram and returns it with its sender.
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
            // The only error is an ICMP reply that an earlier receiver's port is closed.
            Err(_) => tokio::task::yield_now().await,
        }
    }
}
