//! Estimating the engine time of a request from measured prefills.
//!
//! Load pattern: requests differ by a factor of a hundred in work, most of which is saved where their prefix
//! is cached, and replicas differ in speed. Counting requests makes a replica with three long ones look idle
//! beside one with five short ones; relying on a data sheet overloads a slow replica.
//!
//! Prefill time is close to proportional to the number of uncached blocks, so one slope is enough. It is
//! measured as total time over total blocks, both decaying with each sample, so that requests of few blocks,
//! which are mostly overhead, have little weight. With a weight of 5% for a new sample the estimate follows a
//! change of speed within some 20 requests, a few seconds of one replica's traffic.

use model::Micros;

/// Settings of the estimate.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time to prefill one block before the first sample; 2 ms, 8,000 tokens a second.
    pub initial: Micros,
    /// Weight of a new sample; 0.05.
    pub smoothing: f64,
    /// An output token's share of the engine's time when it decodes a full batch; 800 µs, 25 ms a step for 32
    /// requests.
    pub decode_per_token: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            initial: Micros::from_millis(2),
            smoothing: 0.05,
            decode_per_token: Micros(800),
        }
    }
}

/// Estimated cost of work at one engine.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    config: Config,
    blocks: f64,
    time: f64,
}

/// Number of blocks that the initial value weighs as much as.
const INITIAL_WEIGHT: f64 = 64.0;

impl Cost {
    /// The initial estimate, without samples.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            blocks: INITIAL_WEIGHT,
            time: config.initial.0 as f64 * INITIAL_WEIGHT,
        }
    }

    /// Records how long the engine took to prefill a number of uncached blocks.
    pub fn record(&mut self, blocks: u32, took: Micros) {
        if blocks > 0 {
            let keep = 1.0 - self.config.smoothing;
            self.blocks = self.blocks * keep + f64::from(blocks);
            self.time = self.time * keep + took.0 as f64;
        }
    }

    /// Estimated time to prefill one block.
    pub fn prefill_per_block(&self) -> Micros {
        Micros((self.time / self.blocks) as u64)
    }

    /// Estimated time to prefill a number of blocks.
    pub fn prefill(&self, blocks: u32) -> Micros {
        Micros((self.time / self.blocks * f64::from(blocks)) as u64)
    }

    /// Estimated engine time of a whole request, given its uncached blocks and output tokens.
    pub fn work(&self, blocks: u32, output: u32) -> Micros {
        self.prefill(blocks) + Micros(self.config.decode_per_token.0 * u64::from(output))
    }
}
