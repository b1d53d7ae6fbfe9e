//! What a request will take of an engine, from what earlier ones took.
//!
//! Load pattern: requests differ by a factor of a hundred in work, most of it saved where their
//! prefix is cached, and replicas differ in speed. Counting requests calls a replica with three
//! long ones idle beside one with five short ones; trusting a data sheet overloads a slow one.
//!
//! Grounds: prefill time is close to proportional to the blocks that aren't cached, so that one
//! slope is enough; it is measured as total time over total blocks, both decaying with each
//! sample, so that requests of few blocks, mostly overhead, weigh little. 5% for a new sample follows a
//! change of speed within some 20 requests, a few seconds of one replica's traffic.

use model::Micros;

/// How the cost is measured.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time to prefill one block before anything was measured; 2 ms, 8,000 tokens a second.
    pub first: Micros,
    /// Weight of a new sample; 0.05.
    pub smooth: f64,
    /// Engine time that a token of output takes of the engine's whole, while it decodes for a
    /// full batch; 800 µs, 25 ms a step for 32 requests.
    pub token: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            first: Micros::from_millis(2),
            smooth: 0.05,
            token: Micros(800),
        }
    }
}

/// The measured cost of one engine's work.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    config: Config,
    blocks: f64,
    time: f64,
}

/// Blocks that the first guess counts for.
const GUESSED: f64 = 64.0;

impl Cost {
    /// A cost before any sample.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            blocks: GUESSED,
            time: config.first.0 as f64 * GUESSED,
        }
    }

    /// Notes how long the prefill of this many uncached blocks took the engine.
    pub fn measured(&mut self, blocks: u32, took: Micros) {
        if blocks > 0 {
            let keep = 1.0 - self.config.smooth;
            self.blocks = self.blocks * keep + f64::from(blocks);
            self.time = self.time * keep + took.0 as f64;
        }
    }

    /// Time to prefill one block.
    pub fn block(&self) -> Micros {
        Micros((self.time / self.blocks) as u64)
    }

    /// Time to prefill this many blocks.
    pub fn prefill(&self, blocks: u32) -> Micros {
        Micros((self.time / self.blocks * f64::from(blocks)) as u64)
    }

    /// Engine time of a whole request.
    pub fn work(&self, blocks: u32, output: u32) -> Micros {
        self.prefill(blocks) + Micros(self.config.token.0 * u64::from(output))
    }
}
