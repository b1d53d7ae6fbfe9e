//! Whether a sidecar takes a request or refuses it at once.
//!
//! Load pattern: twice the load that the engine can serve, for minutes. A queue without a bound
//! then grows until every request is answered after its caller has left: the engine works at full
//! speed and nobody receives anything, and clients that send again make it worse. A bound on the
//! number alone doesn't help where one request takes a hundred times as long as another.
//!
//! A request is refused when the wait that it would have exceeds its class's limit or its own
//! deadline. A refusal is final and given on arrival, while the caller can still try elsewhere.
//! A wait that turns out longer than was told is noticed by [`crate::queue::Queue::review`], and the
//! request is given back with [`refuse_queued`] before its deadline. The refusal tells when to
//! come back, from the rate at which the queue has been draining, spread a little so that the
//! refused don't come back together.
//!
//! Grounds: callers on the line hang up after some 10 s. The estimate of the wait leaves out
//! prefixes that are evicted meanwhile and most of what comes later and goes first, so that waits
//! at twice the load are up to twice as long as told; so 4 s may be waiting. Normal work, with 30 s,
//! may wait for 12 s: at twice the load of the alpen trace, 8 s refuse 368 of 651 and 12 s 280, but
//! with 16 s 83 in place of 33 wait and are given back. Batch may wait for a minute. The places
//! kept for calls, an eighth, are for the burst after a pause in which others filled the queue.

use model::{Class, Code, Micros};
use thiserror::Error;

/// How much may wait.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The longest expected wait of each class; 4 s for calls, 12 s for normal, 60 s for batch.
    pub wait: [Micros; 3],
    /// Most requests that wait at once; 1,024, which bounds the sidecar's memory.
    pub places: usize,
    /// The part of the places that only calls may take; 0.125.
    pub reserve: f64,
    /// Shortest time told to a refused caller; 250 ms.
    pub soonest: Micros,
    /// Longest time told to a refused caller; 30 s, since the load will have changed by then.
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

/// What is known of a request and of the queue when it comes.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Its urgency.
    pub class: Class,
    /// How long it would wait.
    pub wait: Micros,
    /// Engine time that it is expected to take to its first token.
    pub work: Micros,
    /// When its caller gives up.
    pub deadline: Micros,
    /// Requests that wait already.
    pub waiting: usize,
}

/// A refusal: the request was not run and waits nowhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{code}; it may come again in {} ms", after.as_millis())]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// When it may come again.
    pub after: Micros,
}

/// Takes or refuses a request; `spread` is a random number from 0 to 1.
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
    let after = after(config, arrival.wait, limit.min(slack), spread);
    Err(Refusal { code, after })
}

/// The refusal for a request that was taken and won't have its turn in time.
pub fn refuse_queued(config: &Config, class: Class, wait: Micros, spread: f64) -> Refusal {
    let after = after(config, wait, config.wait[class.index()], spread);
    let code = Code::Overloaded;
    Refusal { code, after }
}

/// When the wait will have fallen to half of what the request can bear, if nothing more came.
fn after(config: &Config, wait: Micros, limit: Micros, spread: f64) -> Micros {
    let excess = wait.since(Micros(limit.0 / 2));
    let spread = 1.0 + spread.clamp(0.0, 1.0) / 2.0;
    let after = Micros((excess.0 as f64 * spread) as u64);
    after.clamp(config.soonest, config.latest)
}

/// How fast the engine gets through its work, as measured.
///
/// Expected engine time is an estimate, prefixes are evicted while requests wait for them, and
/// engines slow down when they share their machine. The ratio of the work done to the time it took
/// corrects the waits that callers are told.
///
/// It is a ratio of sums. A mean of the ratios of short spans counts a long request, in whose
/// time little else is finished, no more than a short one: in the replay at twice the load it read
/// 1.0, while in the time that calls waited 0.65 was done.
#[derive(Clone, Copy, Debug)]
pub struct DrainRate {
    done: f64,
    time: f64,
    since: Option<Micros>,
}

/// Time over which the rate is averaged: ten to fifty requests at one engine.
const SPAN: Micros = Micros::from_secs(10);
/// Bounds of the rate.
const RATE: [f64; 2] = [0.05, 64.0];

impl Default for DrainRate {
    fn default() -> Self {
        // The first guess, a rate of 1, counts for as long as half a span.
        let guess = SPAN.0 as f64 / 2.0;
        Self {
            done: guess,
            time: guess,
            since: None,
        }
    }
}

impl DrainRate {
    /// Notes that work was finished while requests were waiting or not.
    pub fn finished(&mut self, now: Micros, work: Micros, waiting: bool) {
        let since = self.since.replace(now);
        if !waiting {
            // An engine that isn't full says nothing about how fast it could be.
            self.since = None;
        }
        if let Some(since) = since {
            let span = now.since(since).0 as f64;
            let keep = (-span / SPAN.0 as f64).exp();
            self.done = self.done * keep + work.0 as f64;
            self.time = self.time * keep + span;
        }
    }

    /// Engine time done in a unit of time.
    pub fn rate(&self) -> f64 {
        (self.done / self.time).clamp(RATE[0], RATE[1])
    }

    /// How long this much work will take.
    pub fn wait(&self, work: Micros) -> Micros {
        Micros((work.0 as f64 / self.rate()) as u64)
    }
}
