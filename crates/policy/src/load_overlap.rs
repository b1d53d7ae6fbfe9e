//! Prompts whose answer would still run when its engine loads new weights.
//!
//! Load pattern: new weights are announced every few seconds, and a load takes less time than an answer of
//! fifty tokens. An engine that loads keeps its running answers, but what it makes of them afterwards mixes
//! two versions and is worth nothing to callers. With 57 engines, each of which answers ten questions at a
//! time, a tenth of the value of all answers was lost in this way.
//!
//! Engines load in an order that their sidecars know, so a sidecar can estimate when its engine's turn comes. A
//! prompt with a long answer goes to an engine that has loaded already, or that loads late; one with a short
//! answer is done before. Engines aren't kept idle and loads aren't delayed: if all other engines are busier by
//! more than the loss is worth, the engine still gets the prompt.
//!
//! The loss is expressed in the unit of placement, milliseconds until the first token: an answer that is lost as
//! a whole is as bad as one that is late by its latency goal.

/// Weight of a new observation of the time per token.
const SMOOTHING: f64 = 0.05;
/// Milliseconds per token of an answer until one was observed.
const INITIAL_MS_PER_TOKEN: f64 = 15.0;
/// Longest time per token that is taken from one answer; a stream that was interrupted for long is an exception.
const MAX_MS_PER_TOKEN: f64 = 500.0;

/// Time that answers take, in relation to the tokens that their requests allow.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTime {
    ms_per_token: f64,
}

impl Default for AnswerTime {
    fn default() -> Self {
        Self {
            ms_per_token: INITIAL_MS_PER_TOKEN,
        }
    }
}

impl AnswerTime {
    /// Records a complete answer: the tokens allowed and the milliseconds from its first to its last event.
    pub fn record(&mut self, tokens: u32, ms: f64) {
        let observed = ms / f64::from(tokens.max(1));
        self.ms_per_token +=
            (observed.clamp(0.0, MAX_MS_PER_TOKEN) - self.ms_per_token) * SMOOTHING;
    }

    /// Milliseconds that an answer of up to `tokens` tokens is expected to take after its first event.
    pub fn estimate(&self, tokens: u32) -> f64 {
        f64::from(tokens) * self.ms_per_token
    }
}

/// Share of an answer that is made after its engine has started to load. Times are in milliseconds from now:
/// until the load, until the first event, and from the first event to the last.
pub fn lost_share(load: f64, first: f64, answer: f64) -> f64 {
    let after = first + answer - load.max(first);
    (after / answer.max(1.0)).clamp(0.0, 1.0)
}

/// Milliseconds that the loss of this share of an answer counts against an engine.
pub fn penalty(lost_share: f64, latency_goal: f64) -> f64 {
    lost_share * latency_goal
}
