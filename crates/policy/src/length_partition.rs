//! Engines for long prompts and engines for short ones.
//!
//! Load pattern: an engine reads in large pieces between the tokens that it generates. While it reads
//! one long prompt after the other, each token of the streams beside them takes ten times as long:
//! short questions with long answers pause for half a second, and stay so long that they crowd the
//! engine's memory. Long prompts with answers of a few tokens suffer nothing of the kind.
//!
//! Where an event holds few tokens, or long pauses are allowed, streams bear that, and keeping the two
//! kinds apart only makes one half idle while the other is full. So it is done only where a stream
//! beside reading would pause for too long.
//!
//! The engines of a pool are dealt out to both kinds by the work that each brings, in an order that
//! all entries know without asking. It costs something to use an engine of the other kind, no more:
//! when one half is full, the other takes the rest.
//!
//! Grounds: a prompt of 2,500 tokens is read in more than one piece. An entry's own work over some
//! seconds gives the parts; measured on 52 engines with 131 long and 368 short prompts a second and
//! a quarter of the engines dark, 10,329 instead of 8,417 of 13,590 short streams were in time, and
//! the long ones not fewer than before by more than one in a hundred.

use model::Micros;

/// Tokens from which a prompt is long.
const LONG_PROMPT: u32 = 2_500;
/// Milliseconds that a short prompt's answer takes of an engine beyond its reading.
const ANSWER_WORK: f64 = 10.0;
/// Time over which work is averaged.
const AVERAGING_TIME: Micros = Micros::from_secs(5);
/// RecentWork of each kind in milliseconds that is believed before any has been seen.
const PRIOR: f64 = 100.0;
/// Milliseconds that a long prompt costs at an engine for short ones.
const LONG_MISMATCH: f64 = 150.0;
/// Milliseconds that a short prompt costs at an engine for long ones.
const SHORT_MISMATCH: f64 = 80.0;

/// Milliseconds between two tokens while an engine reads: a piece of 2,048 tokens and a step.
const TOKEN_INTERVAL: f64 = 55.0;
/// Part of the longest good pause that an event may take beside reading.
const PAUSE_SHARE: f64 = 0.8;

/// Whether streams whose events hold some tokens suffer beside reading, given their longest good
/// pause in milliseconds.
pub fn stalls_streams(tokens: u32, pause: f64) -> bool {
    pause > 0.0 && f64::from(tokens) * TOKEN_INTERVAL > pause * PAUSE_SHARE
}

/// The work that prompts of both kinds have brought of late.
#[derive(Clone, Copy, Debug)]
pub struct RecentWork {
    long: f64,
    short: f64,
    at: Micros,
}

impl Default for RecentWork {
    fn default() -> Self {
        Self {
            long: PRIOR,
            short: PRIOR,
            at: Micros::ZERO,
        }
    }
}

impl RecentWork {
    /// Notes a prompt of some tokens and the milliseconds that reading it takes.
    pub fn add(&mut self, now: Micros, prompt: u32, reading: f64) {
        let keep = (-now.since(self.at).as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        self.at = now;
        self.long *= keep;
        self.short *= keep;
        match is_long(prompt) {
            true => self.long += reading,
            false => self.short += reading + ANSWER_WORK,
        }
    }

    /// How many of some engines are for long prompts; none or all only if there is but one engine.
    pub fn long_engines(&self, engines: usize) -> usize {
        let part = self.long / (self.long + self.short).max(f64::MIN_POSITIVE);
        let long = (engines as f64 * part).round() as usize;
        long.clamp(1.min(engines), engines.saturating_sub(1).max(1))
    }
}

/// Whether a prompt of some tokens is long.
pub fn is_long(prompt: u32) -> bool {
    prompt >= LONG_PROMPT
}

/// Milliseconds that a prompt costs at an engine beyond its work.
pub fn mismatch_cost(prompt: u32, engine_long: bool) -> f64 {
    match (is_long(prompt), engine_long) {
        (true, false) => LONG_MISMATCH,
        (false, true) => SHORT_MISMATCH,
        _ => 0.0,
    }
}
