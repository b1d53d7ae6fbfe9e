//! Whether a process that stops still starts a request, by when the request is expected to end.
//!
//! What ends after the process loses its answer, also if it may not run twice. Another process can serve it from the
//! start. Until a request of its kind has ended, one may take as long as its deadline allows.

use model::Micros;

/// Settings of [`RecentMax`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// How long a duration counts at least; it is forgotten after twice that. Default: 30 s.
    pub window: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            window: Micros::from_secs(30),
        }
    }
}

/// Longest of the recent durations.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentMax {
    config: Config,
    /// When the current window began.
    began: Micros,
    current: Option<Micros>,
    previous: Option<Micros>,
}

impl RecentMax {
    /// Records a duration.
    pub fn record(&mut self, now: Micros, took: Micros) {
        self.advance(now);
        self.current = self.current.max(Some(took));
    }

    /// The longest duration, if there was one lately.
    pub fn get(&mut self, now: Micros) -> Option<Micros> {
        self.advance(now);
        self.current.max(self.previous)
    }

    fn advance(&mut self, now: Micros) {
        let passed = now.since(self.began);
        if passed < self.config.window {
            return;
        }
        let is_next = passed < self.config.window + self.config.window;
        self.previous = self.current.take().filter(|_| is_next);
        self.began = now;
    }
}

/// Whether a request that starts now is expected to end before the process does.
pub fn ends_in_time(now: Micros, exit: Micros, deadline: Micros, expected: Option<Micros>) -> bool {
    let end = expected.map_or(deadline, |e| deadline.min(now + e));
    end <= exit
}
