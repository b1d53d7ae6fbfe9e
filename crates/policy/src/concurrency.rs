//! How many requests the engine runs at once.
//!
//! Load pattern: the number that an engine runs well depends on lengths, cache and hardware, and
//! changes within seconds; the load that the engine reports is older than that. With too few
//! requests it idles between tokens. With too many it queues them itself, in its own order: a call
//! that arrives then waits behind all requests handed over before, whatever its class and deadline.
//!
//! The limit follows the latency that the sidecar measures. Each sample is a stretch, the time
//! taken divided by the time expected for that request alone, so that long and short requests are
//! comparable. Both times are averaged before they are divided: otherwise one short request behind a
//! long one, with a stretch of a hundred, would outweigh a hundred long ones.
//! While the stretch stays within [`Config::tolerance`] of the best recent one, the limit grows by
//! about its square root; beyond that it shrinks in proportion.
//!
//! Under lasting overload no request ever finds an idle engine, so that the best stretch would be
//! that of a long queue, and the limit would grow with it without bound. Therefore the limit falls to
//! a quarter (a third for [`Config::running`]) at the end of each window: if the stretch falls with it,
//! the queue was inside the engine, and the new best stretch holds the limit down.
//!
//! A sidecar keeps two limits, since an engine can be full in either respect without the other: one
//! over requests in prefill, on time to first token ([`Config::prefill`]), and one over all running
//! requests, on the time between tokens ([`Config::running`]).
//!
//! A tolerance of 2 keeps about one prefill waiting while another runs, so that the engine never
//! idles and a call waits for one prefill at most. The probe falls to a quarter, which is below the
//! half that the tolerance would make up for.

use model::Micros;

/// How a limit follows the latency.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Smallest limit; 1.
    pub least: u32,
    /// Largest limit; 256, the usual bound of an engine's batch.
    pub most: u32,
    /// Limit before any sample; 16.
    pub first: u32,
    /// Stretch, as a multiple of the best one, up to which the limit grows; 2.
    pub tolerance: f64,
    /// Weight of a new sample; 0.2.
    pub smoothing: f64,
    /// Share of the distance to the new limit that each sample covers; 0.04, slower than the average
    /// follows, or the limit would oscillate.
    pub step: f64,
    /// Half of the time over which the best stretch is remembered; 10 s.
    pub window: Micros,
    /// Divisor of the limit at the end of a window: 4 for prefill, and 3 for all running requests. With
    /// less than 3 the remembered best stretch would slowly rise with a queue inside the engine.
    pub probe: f64,
}

impl Config {
    /// Settings for the limit over all requests that an engine runs.
    pub const fn running() -> Self {
        Self {
            least: 1,
            most: 256,
            first: 16,
            tolerance: 2.0,
            smoothing: 0.2,
            step: 0.04,
            window: Micros::from_secs(10),
            probe: 3.0,
        }
    }

    /// Settings for the limit over requests in prefill; at most 4, since one or two prefills keep an
    /// engine's arithmetic busy.
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
    /// Time that the request would take on an idle engine.
    pub expected: Micros,
    /// Time that the request took.
    pub took: Micros,
    /// Requests at the engine when this one was handed over, including it.
    pub running: u32,
}

/// A limit that follows the latency.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    config: Config,
    limit: f64,
    /// Averages of the expected and the measured times.
    average: Option<[f64; 2]>,
    /// Least stretch of the current window and of the one before.
    best: [f64; 2],
    window_end: Micros,
}

impl Limit {
    /// Creates a limit without any samples.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            limit: f64::from(config.first),
            average: None,
            best: [f64::MAX; 2],
            window_end: Micros::ZERO,
        }
    }

    /// Applies new settings from the next sample on.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// Requests that the engine may run now.
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Whether one more request may be handed over while `running` run.
    pub fn allows(&self, running: u32) -> bool {
        running < self.get()
    }

    /// Records a sample and adjusts the limit.
    pub fn record(&mut self, now: Micros, sample: Sample) {
        self.start_due_window(now);
        let new = [sample.expected, sample.took].map(|t| t.0.max(1) as f64);
        let last = self.average.unwrap_or(new);
        let average = [0, 1].map(|i| last[i] + (new[i] - last[i]) * self.config.smoothing);
        self.average = Some(average);
        let stretch = average[1] / average[0];
        self.best[0] = self.best[0].min(stretch);

        let best = self.best[0].min(self.best[1]);
        let gradient = (self.config.tolerance * best / stretch).clamp(0.5, 1.0);
        let full = f64::from(sample.running) * 2.0 > self.limit;
        let goal = match gradient {
            g if g < 1.0 => self.limit * g,
            // An engine that doesn't use its limit doesn't show whether a higher one would do.
            _ if full => self.limit + self.limit.sqrt(),
            _ => self.limit,
        };
        self.limit += (goal - self.limit) * self.config.step;
        let (least, most) = (self.config.least.max(1), self.config.most);
        self.limit = self
            .limit
            .clamp(f64::from(least), f64::from(most.max(least)));
    }

    /// Discards all samples, for a new incarnation of the engine.
    pub fn reset(&mut self) {
        *self = Self::new(self.config);
    }

    /// Starts a new window if the current one is over.
    fn start_due_window(&mut self, now: Micros) {
        if now >= self.window_end {
            self.best = [f64::MAX, self.best[0]];
            self.window_end = now + self.config.window;
            self.limit /= self.config.probe;
            // Latencies measured at the higher limit say nothing about the lower one.
            self.average = None;
        }
    }
}
