//! How long a pool's engines take to read a token, as seen in first tokens.
//!
//! Load pattern: prompts of a hundred to forty thousand tokens, at engines that read ten or three
//! hundred tokens in a millisecond. Too slow a guess refuses long prompts that would be in time and
//! fetches what is sooner read; too fast a one sends everything to the holder of an opening, however
//! much waits there. Measured on nine engines that read 75, five days of faults: 0.016 less worth with
//! a guess of 22, 0.007 less with 90, against one of 45.
//!
//! The time to the first token is put against the tokens that were read for it, for prompts that found
//! their engine idle and fetched nothing; the slope of the line through them is the pace. What every
//! first token takes, whatever is read, drops out. All engines of a pool share one pace: what a slow
//! one has yet to read piles up at its sidecar and turns prompts away by itself, and a pace for each
//! engine moves openings away from their holders for differences that are noise.
//!
//! Until enough was seen, a guess counts as a few prompts would.
//!
//! Grounds: 45 tokens in a millisecond is what an engine of eight accelerators reads of a middling
//! model; it counts as five prompts that differ by 2,000 tokens, the first second of traffic.
//! Memory of some 200 prompts follows a change within seconds.

/// Milliseconds to read a token before any has been seen.
pub const INITIAL_MS_PER_TOKEN: f64 = 1.0 / 45.0;
/// What the guess counts for: a number of prompts by their squared difference in tokens.
const TRUST: f64 = 5.0 * 2_000.0 * 2_000.0;
/// Part of the earlier prompts' weight that is kept at each new one.
const KEEP: f64 = 0.995;
/// Fastest and slowest pace that is believed, in milliseconds for a token.
const BOUNDS: (f64, f64) = (0.000_5, 1.0);

/// A pool's pace, from a line through what was seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillRate {
    prompts: f64,
    tokens: f64,
    time: f64,
    squares: f64,
    products: f64,
}

impl PrefillRate {
    /// Notes a prompt that found its engine idle: the tokens read and the milliseconds to its first token.
    pub fn record(&mut self, tokens: u32, time: f64) {
        let tokens = f64::from(tokens);
        for sum in [
            &mut self.prompts,
            &mut self.tokens,
            &mut self.time,
            &mut self.squares,
            &mut self.products,
        ] {
            *sum *= KEEP;
        }
        self.prompts += 1.0;
        self.tokens += tokens;
        self.time += time;
        self.squares += tokens * tokens;
        self.products += tokens * time;
    }

    /// Milliseconds to read a token.
    pub fn ms_per_token(&self) -> f64 {
        let n = self.prompts.max(1.0);
        let spread = (self.squares - self.tokens * self.tokens / n).max(0.0);
        let common = self.products - self.tokens * self.time / n;
        let slope = (common + TRUST * INITIAL_MS_PER_TOKEN) / (spread + TRUST);
        slope.clamp(BOUNDS.0, BOUNDS.1)
    }
}
