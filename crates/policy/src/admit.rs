//! Whether a sidecar admits a request or refuses it on arrival.
//!
//! Load pattern: twice the load that the engine can serve, for minutes. An unbounded queue then
//! grows until every request is answered after its caller has given up: the engine works at full
//! speed without any useful result, and clients that retry add to the load. A bound on the number
//! of requests doesn't suffice where one request takes a hundred times as long as another.
//!
//! A request is refused when its expected wait exceeds the limit of its class or its own deadline.
//! A refusal is final and given on arrival, while the caller can still try another replica. When a
//! wait turns out longer than estimated, [`crate::queue::Queue::review`] removes the request, and
//! [`refuse_queued`] builds its refusal before the deadline. Each refusal states when to retry,
//! computed from the rate at which the queue drains and jittered so that refused requests don't
//! return together.
//!
//! Callers on the phone hang up after some 10 s. The estimated wait ignores prefixes that are
//! evicted in the meantime and most of the later requests that go first, so that waits at twice the
//! load are up to twice the estimate; hence the limit of 4 s for calls. Normal requests have 30 s
//! in all and may wait for 12 s: at twice the load of the alpen trace, a limit of 8 s refuses 368 of 651
//! and 12 s refuses 280, but with 16 s, 83 instead of 33 wait and are returned. Batch may wait for a
//! minute. An eighth of the places is reserved for calls, for the burst after a pause in which other
//! classes filled the queue.

use model::{Class, Code, Micros};
use thiserror::Error;

/// Limits on waiting requests.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Longest expected wait of each class: 4 s for calls, 12 s for normal, 60 s for batch.
    pub wait: [Micros; 3],
    /// Most requests that wait at once; 1,024, which bounds the sidecar's memory.
    pub places: usize,
    /// Share of the places that only calls may take; 0.125.
    pub reserve: f64,
    /// Shortest retry delay given to a refused caller; 250 ms.
    pub soonest: Micros,
    /// Longest retry delay given to a refused caller; 30 s, since the load will have changed by then.
    pub latest: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            wait: [4, 12, 60].map(Micros::from_secs),
            places: 1_024,
            reserve: 0.125,
            soonest: Micros::from_millis(250),
            latest: Micros::from_secs(30),
        }
    }
}

/// A request and the state of the queue when it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Urgency of the request.
    pub class: Class,
    /// Expected wait.
    pub wait: Micros,
    /// Expected engine time up to the first token.
    pub work: Micros,
    /// When the caller gives up.
    pub deadline: Micros,
    /// Number of requests already waiting.
    pub waiting: usize,
}

/// A refusal: the request was not run and is in no queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{code}; retry after {} ms", after.as_millis())]
pub struct Refusal {
    /// Reason for the refusal.
    pub code: Code,
    /// Delay after which the caller may retry.
    pub after: Micros,
}

/// Admits or refuses a request; `spread` is a random number from 0 to 1 that jitters the retry delay.
pub fn admit(config: &Config, now: Micros, arrival: &Arrival, spread: f64) -> Result<(), Refusal> {
    let limit = config.wait[arrival.class.index()];
    let kept = match arrival.class {
        Class::Call => 0,
        _ => (config.places as f64 * config.reserve) as usize,
    };
    let code = match arrival {
        a if a.waiting + kept >= config.places => Code::Overloaded,
        a if a.wait > limit => Code::Overloaded,
        a if now + a.work > a.deadline => Code::Deadline,
        a if now + a.wait + a.work > a.deadline => Code::Overloaded,
        _ => return Ok(()),
    };
    let slack = arrival.deadline.since(now + arrival.work);
    let after = retry_delay(config, arrival.wait, limit.min(slack), spread);
    Err(Refusal { code, after })
}

/// The refusal for a request that was admitted and won't start in time.
pub fn refuse_queued(config: &Config, class: Class, wait: Micros, spread: f64) -> Refusal {
    let after = retry_delay(config, wait, config.wait[class.index()], spread);
    let code = Code::Overloaded;
    Refusal { code, after }
}

/// Retry delay: the time in which the wait falls to half of what the request can bear if no more
/// requests arrive.
fn retry_delay(config: &Config, wait: Micros, limit: Micros, spread: f64) -> Micros {
    let excess = wait.since(Micros(limit.0 / 2));
    let spread = 1.0 + spread.clamp(0.0, 1.0) / 2.0;
    let after = Micros((excess.0 as f64 * spread) as u64);
    after.clamp(config.soonest, config.latest)
}

/// Measured rate at which the engine works off expected engine time.
///
/// Expected engine time is an estimate, prefixes are evicted while requests wait for them, and
/// engines slow down when they share their machine. The ratio of the work done to the time that it
/// took corrects the estimated waits.
///
/// The rate is a ratio of sums. A mean of the ratios of short spans would give a long request, during
/// which little else finishes, no more weight than a short one: in the replay at twice the load that
/// mean was 1.0, while the rate during the calls' waits was 0.65.
#[derive(Clone, Copy, Debug)]
pub struct DrainRate {
    done: f64,
    time: f64,
    since: Option<Micros>,
}

/// Time over which the rate is averaged: ten to fifty requests at one engine.
const AVERAGING_TIME: Micros = Micros::from_secs(10);
/// Least and greatest rate.
const RATE_BOUNDS: [f64; 2] = [0.05, 64.0];

impl Default for DrainRate {
    fn default() -> Self {
        // The initial rate of 1 has the weight of half a span.
        let guess = AVERAGING_TIME.0 as f64 / 2.0;
        Self {
            done: guess,
            time: guess,
            since: None,
        }
    }
}

impl DrainRate {
    /// Records finished work; `waiting` says whether other requests were waiting.
    pub fn finished(&mut self, now: Micros, work: Micros, waiting: bool) {
        let since = self.since.replace(now);
        if !waiting {
            // An engine that isn't fully loaded doesn't show its maximum rate.
            self.since = None;
        }
        if let Some(since) = since {
            let span = now.since(since).0 as f64;
            let keep = (-span / AVERAGING_TIME.0 as f64).exp();
            self.done = self.done * keep + work.0 as f64;
            self.time = self.time * keep + span;
        }
    }

    /// Expected engine time completed per unit of time.
    pub fn rate(&self) -> f64 {
        (self.done / self.time).clamp(RATE_BOUNDS[0], RATE_BOUNDS[1])
    }

    /// Time that this much work will take.
    pub fn wait(&self, work: Micros) -> Micros {
        Micros((work.0 as f64 / self.rate()) as u64)
    }
}
