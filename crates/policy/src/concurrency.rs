//! How many requests the engine gets at once.
//!
//! Load pattern: the number that an engine runs well depends on lengths, cache and hardware, and
//! changes within seconds; the load that it reports is older than that. With too few it idles
//! between tokens. With too many it queues them itself, in its own order: a call that arrives
//! then waits behind whatever was handed over before, and neither class nor deadline helps.
//!
//! The limit follows the latency that the sidecar measures. Each sample is a stretch, the time
//! taken over the time expected for that request alone, so that long and short requests compare.
//! While the stretch stays within [`Config::tolerance`] of the best one lately seen, the limit
//! grows by about its square root; beyond that it shrinks in proportion.
//!
//! A sidecar keeps two: one over requests in prefill, on time to first token, and one over all
//! that run, on the gap between tokens, since an engine is full in either respect without
//! the other.
//!
//! Grounds: a tolerance of 2 keeps about one prefill waiting while another runs, so that the
//! engine never idles and a call waits for one prefill at most. The best stretch is taken
//! over 10 to 20 s, during which an engine is idle at least once below full load.

use model::Micros;

/// How a limit follows the latency.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Smallest limit; 1.
    pub least: u32,
    /// Largest limit; 256, the usual bound of an engine's batch.
    pub most: u32,
    /// Limit before anything was measured; 4.
    pub first: u32,
    /// Stretch, as a multiple of the best one, up to which the limit grows; 2.
    pub tolerance: f64,
    /// Weight of a new sample; 0.1.
    pub smooth: f64,
    /// Half of the time over which the best stretch is remembered; 10 s.
    pub window: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            least: 1,
            most: 256,
            first: 4,
            tolerance: 2.0,
            smooth: 0.1,
            window: Micros::from_secs(10),
        }
    }
}

/// One measured latency.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// What it would take an idle engine.
    pub expected: Micros,
    /// What it took.
    pub took: Micros,
    /// Requests that the engine had when this one was handed over, with it.
    pub running: u32,
}

/// A limit that follows the latency.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    config: Config,
    limit: f64,
    stretch: Option<f64>,
    /// The least stretch of the current window and of the one before.
    best: [f64; 2],
    until: Micros,
}

impl Limit {
    /// A limit before any sample.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            limit: f64::from(config.first),
            stretch: None,
            best: [f64::MAX; 2],
            until: Micros::ZERO,
        }
    }

    /// Requests that the engine may have now.
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Whether one more may be handed over.
    pub fn allows(&self, running: u32) -> bool {
        running < self.get()
    }

    /// Takes a sample.
    pub fn measured(&mut self, now: Micros, sample: Sample) {
        let stretch = sample.took.0.max(1) as f64 / sample.expected.0.max(1) as f64;
        self.note_best(now, stretch);
        let last = self.stretch.unwrap_or(stretch);
        let smoothed = last + (stretch - last) * self.config.smooth;
        self.stretch = Some(smoothed);

        let best = self.best[0].min(self.best[1]);
        let gradient = (self.config.tolerance * best / smoothed).clamp(0.5, 1.0);
        let full = f64::from(sample.running) * 2.0 > self.limit;
        let target = match gradient {
            g if g < 1.0 => self.limit * g,
            // An engine that isn't in use to its limit says nothing of a higher one.
            _ if full => self.limit + self.limit.sqrt(),
            _ => self.limit,
        };
        self.limit += (target - self.limit) * self.config.smooth;
        let (least, most) = (self.config.least.max(1), self.config.most);
        self.limit = self
            .limit
            .clamp(f64::from(least), f64::from(most.max(least)));
    }

    /// Starts anew, for a new life of the engine.
    pub fn reset(&mut self) {
        *self = Self::new(self.config);
    }

    fn note_best(&mut self, now: Micros, stretch: f64) {
        if now >= self.until {
            self.best = [f64::MAX, self.best[0]];
            self.until = now + self.config.window;
        }
        self.best[0] = self.best[0].min(stretch);
    }
}
