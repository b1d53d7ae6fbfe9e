//! The wait of a prompt at one engine, and factors for engines that are less reliable.
//!
//! Load pattern: engines differ in waiting prefill, in running generation and in memory, and some have
//! just failed or still serve outdated weights. A choice by one of these alone runs into the others:
//! the engine with the least waiting prefill is loading weights, or the one that holds the prompt's
//! opening has no memory left. With a quarter of the engines gone, nearly all of the rest are short of
//! some memory. If every shortage cost the same, prompts would leave the engines that hold their
//! openings for engines that are shorter still, and compute the openings again there.
//!
//! Whatever costs time is added up in milliseconds; whatever makes an answer less valuable or less
//! certain multiplies the sum by a factor.

use model::Micros;

use crate::engine_speed::Factors;

/// Milliseconds that each running request costs a new one: its part of a step.
const MS_PER_RUNNING: f64 = 0.5;
/// Least milliseconds that each request with pending prefill costs a new one, in case the messages with
/// its tokens are lost; the prefill of a short prompt.
const MS_PER_UNREAD: f64 = 8.0;
/// Milliseconds in which an engine's requests release as much memory as it has.
const MEMORY_TURNOVER_MS: f64 = 7_500.0;
/// Upper bound on the milliseconds until enough memory is released.
const MAX_MEMORY_WAIT_MS: f64 = 400.0;
/// Age of newer weights after which older ones count as worse; hardly any engine can have the newer
/// ones before that.
const OUTDATED_AFTER: Micros = Micros::from_millis(900);
/// Factor for outdated weights after that age.
const OUTDATED_FACTOR: f64 = 1.5;
/// Factor for targets on trial after failures, which still receive an occasional request.
const TRIAL_FACTOR: f64 = 2.0;
/// Weight of a target's failure rate; a target that fails a quarter of the time counts twice.
const FAILURE_WEIGHT: f64 = 4.0;

/// Load of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Prompt tokens that the engine computes before the new prompt.
    pub tokens_ahead: f64,
    /// Requests whose prefill is pending.
    pub unread_prompts: u32,
    /// Requests that it is answering.
    pub running: u32,
    /// Tokens of memory that can't be released for other requests.
    pub memory_used: u32,
    /// Tokens of memory in all; 0 if unknown.
    pub memory_total: u32,
    /// Milliseconds until the engine has loaded its new weights.
    pub loading_ms: f64,
}

impl Load {
    /// Milliseconds until the prefill of a prompt starts that needs `memory` tokens of memory, when a
    /// token takes `prefill_per_token` milliseconds to compute.
    pub fn wait(&self, memory: u32, prefill_per_token: f64) -> f64 {
        self.wait_at(memory, prefill_per_token, Factors::default())
    }

    /// The same at an engine of another speed; `prefill_per_token` is that of its pool.
    pub fn wait_at(&self, memory: u32, prefill_per_token: f64, speed: Factors) -> f64 {
        let prefill = (self.tokens_ahead * prefill_per_token)
            .max(f64::from(self.unread_prompts) * MS_PER_UNREAD);
        prefill * speed.prefill
            + f64::from(self.running) * MS_PER_RUNNING * speed.decode
            + self.memory_wait(memory) * speed.decode
            + self.loading_ms
    }

    /// Milliseconds until there is memory for a prompt in addition to those that wait before it.
    fn memory_wait(&self, memory: u32) -> f64 {
        let total = f64::from(self.memory_total);
        let needed = f64::from(self.memory_used) + self.tokens_ahead + f64::from(memory);
        match needed > total && self.memory_total > 0 {
            true => ((needed - total) / total * MEMORY_TURNOVER_MS).min(MAX_MEMORY_WAIT_MS),
            false => 0.0,
        }
    }
}

/// Factor for an engine whose weights have been out of date for this long.
pub fn outdated_weights_factor(outdated: Option<Micros>) -> f64 {
    match outdated {
        Some(age) if age > OUTDATED_AFTER => OUTDATED_FACTOR,
        _ => 1.0,
    }
}

/// Factor for a target with this share of failed answers.
pub fn failure_factor(failed: f64, on_trial: bool) -> f64 {
    let trial = if on_trial { TRIAL_FACTOR } else { 1.0 };
    (1.0 + FAILURE_WEIGHT * failed) * trial
}
