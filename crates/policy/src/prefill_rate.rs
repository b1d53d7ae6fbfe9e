//! The prefill time per token of a pool's engines, estimated from times to the first token.
//!
//! Load pattern: prompts of a hundred to forty thousand tokens, at engines that compute ten or three
//! hundred tokens in a millisecond. An estimate that is too slow refuses long prompts that would be in
//! time, and fetches blocks that are sooner computed; one that is too fast sends every prompt to the
//! engine that holds its opening, however much waits there. On nine engines that compute 75 tokens in a
//! millisecond, with five days of faults, an initial estimate of 22 tokens in a millisecond gave 0.016 less
//! value than one of 45, and one of 90 gave 0.007 less.
//!
//! The estimate is the slope of a line through the time to the first token over the tokens computed for
//! it, for prompts that found their engine idle and fetched nothing. The constant part of the time to
//! the first token is the line's intercept and doesn't affect the slope. All engines of a pool share one
//! estimate: pending prefill of a slow engine accumulates at its sidecar and diverts prompts anyway, and
//! an estimate for each engine would move openings away from their holders because of noise.
//!
//! The initial estimate has the weight of a few prompts until enough have been observed.
//!
//! 45 tokens in a millisecond is what an engine of eight accelerators computes with a model of medium
//! size. It weighs as much as five prompts that differ by 2,000 tokens, about the first second of
//! traffic. A memory of some 200 prompts follows a change within seconds.

/// Initial estimate in milliseconds per token.
pub const INITIAL_MS_PER_TOKEN: f64 = 1.0 / 45.0;
/// Weight of the initial estimate: a number of prompts by the square of their difference in tokens.
const INITIAL_WEIGHT: f64 = 5.0 * 2_000.0 * 2_000.0;
/// Factor on the weight of earlier prompts at each new one.
const DECAY: f64 = 0.995;
/// Least and greatest estimate, in milliseconds per token.
const BOUNDS: (f64, f64) = (0.000_5, 1.0);

/// Prefill time per token of one pool: exponentially weighted sums for a linear regression.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillRate {
    prompts: f64,
    tokens: f64,
    time: f64,
    squares: f64,
    products: f64,
}

impl PrefillRate {
    /// Records a prompt that found its engine idle: tokens computed and milliseconds to the first token.
    pub fn record(&mut self, tokens: u32, time: f64) {
        let tokens = f64::from(tokens);
        for sum in [
            &mut self.prompts,
            &mut self.tokens,
            &mut self.time,
            &mut self.squares,
            &mut self.products,
        ] {
            *sum *= DECAY;
        }
        self.prompts += 1.0;
        self.tokens += tokens;
        self.time += time;
        self.squares += tokens * tokens;
        self.products += tokens * time;
    }

    /// Milliseconds to compute a token.
    pub fn ms_per_token(&self) -> f64 {
        let n = self.prompts.max(1.0);
        let spread = (self.squares - self.tokens * self.tokens / n).max(0.0);
        let common = self.products - self.tokens * self.time / n;
        let slope = (common + INITIAL_WEIGHT * INITIAL_MS_PER_TOKEN) / (spread + INITIAL_WEIGHT);
        slope.clamp(BOUNDS.0, BOUNDS.1)
    }

    /// Milliseconds by which the time to the first token exceeds the estimate for a prompt; `None`
    /// before any prompt.
    pub fn excess(&self, tokens: u32, time: f64) -> Option<f64> {
        let mean = |sum: f64| sum / self.prompts;
        let line = mean(self.time) + (f64::from(tokens) - mean(self.tokens)) * self.ms_per_token();
        (self.prompts > 0.0).then_some(time - line)
    }
}
