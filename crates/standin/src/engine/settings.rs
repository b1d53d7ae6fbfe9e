//! Settings of an engine.

use std::time::Duration;

/// Size, speed and faults of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Model served.
    pub model: String,
    /// Weights served at the start.
    pub weights: String,
    /// Number of blocks that the cache holds.
    pub blocks: usize,
    /// Unused blocks are evicted after this time.
    pub max_idle: Duration,
    /// Number of requests computed at a time.
    pub slots: usize,
    /// Time to compute one block of prompt.
    pub prefill_per_block: Duration,
    /// Number of prompt blocks computed without interruption.
    pub prefill_chunk: usize,
    /// Time to compute one token of answer.
    pub decode_per_token: Duration,
    /// Percentage by which each other running request lengthens a token's time.
    pub batch_penalty: u32,
    /// Percentage by which a prompt that is being computed lengthens a token's time.
    pub prefill_penalty: u32,
    /// Delay of published cache events.
    pub event_lag: Duration,
    /// Delay of the reported load.
    pub load_lag: Duration,
    /// One in this many cache events is lost; 0 for none.
    pub lose_every: u64,
    /// Whether adjacent cache events are published in swapped order.
    pub reorder: bool,
    /// Time to import one KV block.
    pub import_per_block: Duration,
    /// Time to load weights.
    pub load_time: Duration,
    /// Whether an order with a lower fencing number than an earlier one is refused.
    pub fencing: Fencing,
    /// A prompt that contains this text aborts the process.
    pub poison: Option<String>,
}

/// How an engine treats fencing numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// Refuses orders with a lower number than an earlier order.
    Honour,
    /// Carries out all orders.
    Ignore,
}

/// The text is neither `honour` nor `ignore`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is neither honour nor ignore")]
pub struct FencingError(String);

impl std::str::FromStr for Fencing {
    type Err = FencingError;

    fn from_str(s: &str) -> Result<Self, FencingError> {
        match s {
            "honour" => Ok(Self::Honour),
            "ignore" => Ok(Self::Ignore),
            _ => Err(FencingError(s.to_owned())),
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            model: "lekha".to_owned(),
            weights: "w1".to_owned(),
            blocks: 4_096,
            max_idle: Duration::from_secs(8),
            slots: 8,
            prefill_per_block: Duration::from_micros(400),
            prefill_chunk: 32,
            decode_per_token: Duration::from_millis(5),
            batch_penalty: 3,
            prefill_penalty: 50,
            event_lag: Duration::from_millis(50),
            load_lag: Duration::from_millis(200),
            lose_every: 0,
            reorder: false,
            import_per_block: Duration::from_micros(20),
            load_time: Duration::from_secs(2),
            fencing: Fencing::Honour,
            poison: None,
        }
    }
}
