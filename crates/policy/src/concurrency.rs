//! How many requests the engine gets at once.
//!
//! Load pattern: the number that an engine runs well depends on lengths, cache and hardware, and
//! changes within seconds; the load that it reports is older than that. With too few it idles
//! between tokens. With too many it queues them itself, in its own order: a call that arrives
//! then waits behind whatever was handed over before, and neither class nor deadline helps.
//!
//! The limit follows the latency that the sidecar measures. Each sample is a stretch, the time
//! taken over the time expected for that request alone, so that long and short requests compare.
//! Both times are averaged before they are divided: one short request behind a long one, alone
//! a stretch of a hundred, would otherwise count for more than a hundred long ones.
//! While the stretch stays within [`Config::tolerance`] of the best one lately seen, the limit
//! grows by about its square root; beyond that it shrinks in proportion.
//!
//! Under lasting overload no request ever meets an idle engine, so that the best stretch would be
//! that of a long queue, and the limit would grow with it for ever. Therefore the limit falls to
//! a quarter whenever a window of time ends: if the stretch falls with it, the queue was
//! inside the engine, and the new best one holds the limit down.
//!
//! A sidecar keeps two: one over requests in prefill, on time to first token
//! ([`Config::prefill`]), and one over all that run, on the gap between tokens
//! ([`Config::running`]), since an engine is full in either respect without the other.
//!
//! Grounds: a tolerance of 2 keeps about one prefill waiting while another runs, so that the
//! engine never idles and a call waits for one prefill at most; a quarter is below
//! the half that the tolerance would make up for.

use model::Micros;

/// How a limit follows the latency.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Smallest limit; 1.
    pub least: u32,
    /// Largest limit; 256, the usual bound of an engine's batch.
    pub most: u32,
    /// Limit before anything was measured; 16.
    pub first: u32,
    /// Stretch, as a multiple of the best one, up to which the limit grows; 2.
    pub tolerance: f64,
    /// Weight of a new sample; 0.2.
    pub smooth: f64,
    /// Part of the way to its aim that the limit goes with each sample; 0.04, slower than the
    /// average follows, or the limit would swing.
    pub step: f64,
    /// Half of the time over which the best stretch is remembered; 10 s.
    pub window: Micros,
    /// By how much the limit falls when a window ends; 3 for all that run, below which the best one
    /// remembered would creep up with a queue inside the engine, and 4 for prefill.
    pub probe: f64,
}

impl Config {
    /// For all requests that an engine runs.
    pub const fn running() -> Self {
        Self {
            least: 1,
            most: 256,
            first: 16,
            tolerance: 2.0,
            smooth: 0.2,
            step: 0.04,
            window: Micros::from_secs(10),
            probe: 3.0,
        }
    }

    /// For the requests whose prompts it computes; at most 4, since prefill keeps an engine's
    /// arithmetic busy with one or two.
    pub const fn prefill() -> Self {
        Self {
            most: 4,
            first: 2,
            probe: 4.0,
            ..Self::running()
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
    /// Averages of the times expected and taken.
    average: Option<[f64; 2]>,
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
            average: None,
            best: [f64::MAX; 2],
            until: Micros::ZERO,
        }
    }

    /// Follows other settings from now on.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
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
        self.roll(now);
        let new = [sample.expected, sample.took].map(|t| t.0.max(1) as f64);
        let last = self.average.unwrap_or(new);
        let average = [0, 1].map(|i| last[i] + (new[i] - last[i]) * self.config.smooth);
        self.average = Some(average);
        let stretch = average[1] / average[0];
        self.best[0] = self.best[0].min(stretch);

        let best = self.best[0].min(self.best[1]);
        let gradient = (self.config.tolerance * best / stretch).clamp(0.5, 1.0);
        let full = f64::from(sample.running) * 2.0 > self.limit;
        let target = match gradient {
            g if g < 1.0 => self.limit * g,
            // An engine that isn't in use to its limit says nothing of a higher one.
            _ if full => self.limit + self.limit.sqrt(),
            _ => self.limit,
        };
        self.limit += (target - self.limit) * self.config.step;
        let (least, most) = (self.config.least.max(1), self.config.most);
        self.limit = self
            .limit
            .clamp(f64::from(least), f64::from(most.max(least)));
    }

    /// Starts anew, for a new life of the engine.
    pub fn reset(&mut self) {
        *self = Self::new(self.config);
    }

    /// Ends the window if its time is over.
    fn roll(&mut self, now: Micros) {
        if now >= self.until {
            self.best = [f64::MAX, self.best[0]];
            self.until = now + self.config.window;
            self.limit /= self.config.probe;
            // What was measured at the higher limit must not be taken for the lower one's.
            self.average = None;
        }
    }
}
