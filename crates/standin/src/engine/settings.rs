//! How an engine behaves.

use std::time::Duration;

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Model it serves.
    pub model: String,
    /// Weights it serves.
    pub weights: String,
    /// Blocks its cache holds.
    pub blocks: usize,
    /// Unused blocks are evicted after this time.
    pub age: Duration,
    /// Requests it computes at a time.
    pub slots: usize,
    /// Time to compute one block of prompt.
    pub prefill: Duration,
    /// Blocks of prompt computed in one go.
    pub chunk: usize,
    /// Time to compute one token of answer.
    pub decode: Duration,
    /// Per cent by which each other running request lengthens a token's time.
    pub crowd: u32,
    /// Per cent by which a prompt that is being computed lengthens a token's time.
    pub disturb: u32,
    /// How late cache events are published.
    pub lag: Duration,
    /// How late load is reported.
    pub load_lag: Duration,
    /// One in this many cache events is lost; 0 for none.
    pub lose: u64,
    /// Whether neighbouring cache events are published in the wrong order.
    pub reorder: bool,
    /// Time to import one block of kept KV.
    pub import: Duration,
    /// Time to load weights.
    pub loading: Duration,
    /// Whether an order with an older fencing number is refused.
    pub fencing: Fencing,
    /// A prompt with this text in it kills the process.
    pub poison: Option<String>,
}

/// What an engine makes of fencing numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// Older numbers are refused.
    Honour,
    /// All orders are carried out.
    Ignore,
}

/// A word that is neither `honour` nor `ignore`.
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
            age: Duration::from_secs(8),
            slots: 8,
            prefill: Duration::from_micros(400),
            chunk: 32,
            decode: Duration::from_millis(5),
            crowd: 3,
            disturb: 50,
            lag: Duration::from_millis(50),
            load_lag: Duration::from_millis(200),
            lose: 0,
            reorder: false,
            import: Duration::from_micros(20),
            loading: Duration::from_secs(2),
            fencing: Fencing::Honour,
            poison: None,
        }
    }
}
