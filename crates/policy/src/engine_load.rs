//! What waits for a prompt at one engine, and how much an engine is doubted.
//!
//! Load pattern: engines differ in what they have to read, in what they generate, in memory, and some
//! have just failed or still serve old weights. A prompt that is sent by
//! one of these alone meets the others: the engine with least to read is the one that loads weights,
//! the one with the opening has no memory left. With a quarter of the engines gone nearly all of the rest
//! are short of some memory. If any shortage counts alike, prompts leave the engines that hold their
//! openings for others that are short by more, and read them anew there.
//!
//! What costs time is told in milliseconds and added up; what makes an answer worth less or less sure
//! is a factor on the whole.
//!
use model::Micros;

/// Milliseconds that each request being answered at an engine costs a new one: its part of a step.
const BEGUN: f64 = 0.5;
/// Milliseconds that each unread request costs a new one at least, should the words that tell its
/// tokens be lost; a short prompt's reading.
const UNREAD: f64 = 8.0;
/// Milliseconds in which an engine's requests release as much memory as it has.
const TURNOVER: f64 = 7_500.0;
/// Most milliseconds that are expected until enough memory is released.
const CROWDED: f64 = 400.0;
/// Age of newer weights from which older ones count as worse; before it nearly no engine can have
/// the newer ones.
const OLD: Micros = Micros::from_millis(900);
/// Factor for older weights then.
const OLD_FACTOR: f64 = 1.5;
/// Factor for targets on trial after failures: one request in some goes there.
const TRIAL: f64 = 2.0;
/// Weight of a target's failures; one that fails a quarter of the time counts twice.
const FAILED: f64 = 4.0;

/// What is known of an engine's load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Tokens that it reads before the prompt.
    pub tokens_ahead: f64,
    /// Requests that it hasn't begun.
    pub unread: u32,
    /// Requests that it answers.
    pub running: u32,
    /// Tokens of memory that can't yield.
    pub memory_used: u32,
    /// Tokens of memory in all; 0 if unknown.
    pub memory_total: u32,
    /// Milliseconds for which it goes on loading weights.
    pub loading_ms: f64,
}

impl Load {
    /// Milliseconds before the engine begins to read a prompt that takes some memory, if it takes so
    /// many to read a token.
    pub fn wait(&self, memory: u32, read: f64) -> f64 {
        let reading = (self.tokens_ahead * read).max(f64::from(self.unread) * UNREAD);
        reading + f64::from(self.running) * BEGUN + self.crowded(memory) + self.loading_ms
    }

    /// Milliseconds until there is memory for a prompt, beside those that wait and will take theirs first.
    fn crowded(&self, memory: u32) -> f64 {
        let total = f64::from(self.memory_total);
        let needed = f64::from(self.memory_used) + self.tokens_ahead + f64::from(memory);
        match needed > total && self.memory_total > 0 {
            true => ((needed - total) / total * TURNOVER).min(CROWDED),
            false => 0.0,
        }
    }
}

/// Factor for an engine whose weights have been out of date for a time.
pub fn outdated_weights_factor(outdated: Option<Micros>) -> f64 {
    match outdated {
        Some(age) if age > OLD => OLD_FACTOR,
        _ => 1.0,
    }
}

/// Factor for a target of which a part of the answers has failed.
pub fn failure_factor(failed: f64, on_trial: bool) -> f64 {
    let trial = if on_trial { TRIAL } else { 1.0 };
    (1.0 + FAILED * failed) * trial
}
