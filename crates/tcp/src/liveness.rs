//! Whether the far end of a connection has vanished, by what it acknowledges.

use std::time::Duration;

use model::Micros;

use crate::info::Acks;

/// Sent segments or probes without an answer, at least, before a far end counts as vanished: a single one may be
/// lost.
const MIN_UNANSWERED: u32 = 2;

/// Limits for the far end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// How long it may acknowledge nothing of what was sent. Default: 5 s.
    pub unacked: Duration,
    /// Time between two observations while something isn't acknowledged. Default: 500 ms.
    pub interval: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            unacked: Duration::from_secs(5),
            interval: Duration::from_millis(500),
        }
    }
}

/// What an observation shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All that was sent is acknowledged.
    Settled,
    /// Something isn't sent or acknowledged yet; the connection is to be observed again after this time.
    Pending(Micros),
    /// The far end has vanished.
    Vanished,
}

/// Observations of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Liveness {
    config: Config,
    /// Since when something is sent and nothing is acknowledged.
    unanswered_since: Option<Micros>,
}

impl Liveness {
    /// Starts without observations.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            unanswered_since: None,
        }
    }

    /// Records that bytes were sent.
    pub fn record_sent(&mut self, now: Micros) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Judges what the kernel says now. Time in which this process didn't run counts only if nothing was
    /// acknowledged in it.
    pub fn observe(&mut self, now: Micros, acks: &Acks) -> Verdict {
        let interval = self.config.interval.into();
        if !acks.awaited {
            self.unanswered_since = None;
            return match acks.unsent {
                0 => Verdict::Settled,
                _ => Verdict::Pending(interval),
            };
        }
        let acked_at = now.since(acks.last_ack.into());
        let since = match self.unanswered_since {
            Some(since) if acked_at <= since => since,
            _ => now,
        };
        self.unanswered_since = Some(since);
        let end = since + self.config.unacked.into();
        match now >= end {
            true if acks.unanswered >= MIN_UNANSWERED => Verdict::Vanished,
            true => Verdict::Pending(interval),
            false => Verdict::Pending(interval.min(end.since(now))),
        }
    }
}
