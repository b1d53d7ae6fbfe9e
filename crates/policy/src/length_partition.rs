//! Separate engines for long and for short prompts.
//!
//! Load pattern: an engine prefills in large chunks between the tokens that it generates. While it prefills
//! one long prompt after the other, each token of the streams beside them takes ten times as long. Short
//! questions with long answers then pause for half a second, and remain for so long that they fill the
//! engine's memory. Long prompts with answers of a few tokens don't suffer from this.
//!
//! Where an event holds few tokens, or long pauses are allowed, streams tolerate the pauses, and separating
//! the two kinds only leaves one half idle while the other is full. Engines are therefore separated only
//! where a stream beside a prefill would pause for too long.
//!
//! The engines of a pool are divided among both kinds in proportion to the work of each, in an order that all
//! entries derive without communication. Using an engine of the other kind only adds a cost: when one half is
//! full, the other takes the rest.
//!
//! A prompt of 2,500 tokens is prefilled in more than one chunk. The proportions come from an entry's own
//! work over some seconds. On 52 engines with 131 long and 368 short prompts a second and a quarter of the
//! engines unreachable, 10,329 instead of 8,417 of 13,590 short streams were in time, and the number of long
//! ones in time fell by no more than one in a hundred.

use model::Micros;

/// Least number of tokens in a long prompt.
const LONG_PROMPT: u32 = 2_500;
/// Engine time of a short prompt's answer in milliseconds, on top of its prefill.
const ANSWER_WORK: f64 = 10.0;
/// Time constant of the moving average of work.
const AVERAGING_TIME: Micros = Micros::from_secs(5);
/// Initial work of each kind in milliseconds, before any prompt.
const INITIAL_WORK: f64 = 100.0;
/// Cost in milliseconds of a long prompt at an engine for short ones.
const LONG_MISMATCH: f64 = 150.0;
/// Cost in milliseconds of a short prompt at an engine for long ones.
const SHORT_MISMATCH: f64 = 80.0;

/// Milliseconds between two output tokens while an engine prefills: a chunk of 2,048 tokens and a decode step.
const TOKEN_INTERVAL: f64 = 55.0;
/// Largest share of the longest allowed pause that an event may take beside a prefill.
const PAUSE_SHARE: f64 = 0.8;

/// Whether streams with `tokens` tokens an event pause for too long beside a prefill, given the longest allowed pause
/// in milliseconds, or 0 if there is no limit.
pub fn stalls_streams(tokens: u32, pause: f64) -> bool {
    pause > 0.0 && f64::from(tokens) * TOKEN_INTERVAL > pause * PAUSE_SHARE
}

/// Moving averages of the work of long and short prompts.
#[derive(Clone, Copy, Debug)]
pub struct RecentWork {
    long: f64,
    short: f64,
    at: Micros,
}

impl Default for RecentWork {
    fn default() -> Self {
        Self {
            long: INITIAL_WORK,
            short: INITIAL_WORK,
            at: Micros::ZERO,
        }
    }
}

impl RecentWork {
    /// Records a prompt with its number of tokens and the milliseconds of its prefill.
    pub fn add(&mut self, now: Micros, prompt: u32, prefill: f64) {
        let keep = (-now.since(self.at).as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        self.at = now;
        self.long *= keep;
        self.short *= keep;
        match is_long(prompt) {
            true => self.long += prefill,
            false => self.short += prefill + ANSWER_WORK,
        }
    }

    /// How many of a number of engines are for long prompts. If there are at least two engines, each kind gets one or
    /// more.
    pub fn long_engines(&self, engines: usize) -> usize {
        let share = self.long / (self.long + self.short).max(f64::MIN_POSITIVE);
        let long = (engines as f64 * share).round() as usize;
        long.clamp(1.min(engines), engines.saturating_sub(1).max(1))
    }
}

/// Whether a prompt with this number of tokens is long.
pub fn is_long(prompt: u32) -> bool {
    prompt >= LONG_PROMPT
}

/// Cost in milliseconds of running a prompt on an engine of the other kind; 0 on an engine of its own kind.
pub fn mismatch_cost(prompt: u32, engine_long: bool) -> f64 {
    match (is_long(prompt), engine_long) {
        (true, false) => LONG_MISMATCH,
        (false, true) => SHORT_MISMATCH,
        _ => 0.0,
    }
}
