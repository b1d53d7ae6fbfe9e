//! The speed of targets: observations and stated paces, at entries and at the agents of engines.
//!
//! An entry keeps a [`TargetSpeed`] for each incarnation of a target, and the [`Pools`] to compare it
//! with. What it observes of an engine goes to the engine's agent in the note that it sends anyway at
//! a prompt's first event. The agent ([`AgentSpeed`]) repeats the factors and the newest pace in its
//! updates, but sends none because of them.

use std::collections::HashMap;

use model::Micros;
use policy::engine_speed::{self, Config, Factors, Mean, Observation, PoolRatio, Speed};
use policy::pace::{self, Stated};

use crate::log::{self, Event};
use crate::meter;
use crate::update::{SpeedNote, StatedFactors, StatedPace, Update};

/// Time for which an agent's factors count after its last update; lost updates cost nothing within it,
/// as speeds are permanent.
const FACTORS_LIFETIME: Micros = Micros::from_secs(30);
/// Least number of gaps between events that are an observation.
const MIN_GAPS: u32 = 4;
/// Time between the receipt of an event and the request for the next one beyond which the caller was
/// slow, so that the gap isn't the engine's.
const MAX_CALLER_DELAY: Micros = Micros::from_millis(2);
/// Least and greatest pace that a target is taken to have.
const PACE_BOUNDS: (f64, f64) = (0.1, 10.0);
/// Least time between two paces of a target that count as two. Agents repeat a pace in each update, and
/// as ages leave out the time on the way, each repetition looks a little newer.
const MIN_PACE_INTERVAL: Micros = Micros::from_millis(5);
/// Change of a factor that is logged.
const LOGGED_CHANGE: f64 = 0.1;
/// Learnt factor from which a target counts as slow in the metrics.
const SLOW: f64 = 1.25;

/// What an entry knows of the speed of one incarnation of a target.
#[derive(Debug, Default)]
pub struct TargetSpeed {
    /// Factors by this entry's own observations.
    seen: Speed,
    /// Factors that the agent has last reported.
    reported: Option<(Factors, Micros)>,
    /// The newest known pace.
    pace: Option<Stated>,
    /// Observation of gaps between events that the agent hasn't got yet.
    unsent: Option<Observation>,
    /// Factors that were last logged.
    logged: Factors,
}

impl TargetSpeed {
    /// Learnt factors: those of the agent, which come from all entries, or else the entry's own.
    pub fn learnt(&self, now: Micros) -> Factors {
        let reported = self.reported;
        let reported = reported.filter(|(_, at)| now.since(*at) < FACTORS_LIFETIME);
        reported.map_or_else(|| self.seen.factors(&Config::default()), |(f, _)| f)
    }

    /// Whether the target is much slower than its pool.
    pub(crate) fn is_slow(&self, now: Micros) -> bool {
        let learnt = self.learnt(now);
        learnt.prefill.max(learnt.decode) >= SLOW
    }
}

/// A target and its speed.
#[derive(Debug)]
pub struct ObservedTarget<'a> {
    /// Name of the target's pool.
    pub pool: &'a str,
    /// Id of the target.
    pub id: &'a str,
    /// The speed of this incarnation.
    pub speed: &'a mut TargetSpeed,
}

/// Usual values of a pool's targets.
#[derive(Debug, Default)]
pub struct Pool {
    pace: Mean,
    gap: Mean,
    duration: Mean,
    prefills: PoolRatio,
    decodes: PoolRatio,
}

impl Pool {
    /// Duration of a target's work now, as multiples of the pool's.
    pub fn factors(&self, now: Micros, speed: &TargetSpeed) -> Factors {
        let (learnt, pace) = (speed.learnt(now), self.pace_factor(now, speed));
        Factors {
            prefill: learnt.prefill * pace,
            decode: learnt.decode * pace,
        }
    }

    /// Cost in milliseconds of the pauses in an answer of `events` events, where gaps of `allowed`
    /// milliseconds are allowed. The momentary pace is left out, as it changes while events arrive.
    pub fn pause_cost(&self, now: Micros, speed: &TargetSpeed, events: f64, allowed: f64) -> f64 {
        let gap = self.gap.get().unwrap_or_default() * speed.learnt(now).decode;
        engine_speed::pause_cost(events, gap, allowed)
    }

    fn pace_factor(&self, now: Micros, speed: &TargetSpeed) -> f64 {
        pace::factor(&pace::Config::default(), now, speed.pace, &self.pace)
    }

    /// Records a pace unless a newer one of the target is known.
    fn record_pace(&mut self, speed: &mut TargetSpeed, stated: Stated) {
        if is_newer(speed.pace, stated) {
            self.pace.record(stated.ratio);
            speed.pace = Some(stated);
        }
    }
}

/// The pools whose targets' speeds count.
#[derive(Debug, Default)]
pub struct Pools {
    pools: HashMap<String, Pool>,
}

impl Pools {
    /// A pool, if its targets state their pace or `pressure` is set, and anything was observed.
    pub fn get(&self, pool: &str, pressure: bool) -> Option<&Pool> {
        let pool = self.pools.get(pool)?;
        (pressure || pool.pace.get().is_some()).then_some(pool)
    }

    fn active(&mut self, name: &str, pressure: bool) -> Option<&mut Pool> {
        if pressure && !self.pools.contains_key(name) {
            self.pools.insert(name.to_owned(), Pool::default());
        }
        self.pools.get_mut(name)
    }

    /// Records the pace in an answer.
    pub fn record_pace(&mut self, now: Micros, target: ObservedTarget<'_>, percent: u32) {
        if let Some(pool) = self.active(target.pool, true) {
            pool.record_pace(target.speed, stated(now, percent, 0));
        }
    }

    /// Records an agent's update.
    pub fn receive(&mut self, now: Micros, target: ObservedTarget<'_>, update: &Update) {
        if let Some(pace) = update.pace {
            if let Some(pool) = self.active(target.pool, true) {
                pool.record_pace(target.speed, stated(now, pace.percent, pace.age_ms));
            }
        }
        if let Some(stated) = update.speed {
            target.speed.reported = Some((stated.into(), now));
            log_change(now, target, "agent");
        }
    }

    /// Records the first event of a prompt's answer. `prefill` is the pool's estimate of its prefill
    /// and the time by which it was exceeded, in milliseconds, if the engine was idle. Returns what the
    /// engine's agent needs to know.
    pub fn record_first_event(
        &mut self,
        now: Micros,
        pressure: bool,
        target: ObservedTarget<'_>,
        prefill: Option<(f64, f64)>,
    ) -> Option<SpeedNote> {
        let config = Config::default();
        let pool = self.active(target.pool, pressure)?;
        let pace = pool.pace_factor(now, target.speed);
        let seen = prefill
            .and_then(|(expected, excess)| Observation::prefill(&config, expected, excess, pace))
            .map(|seen| pool.prefills.normalize(&config, seen));
        if let Some(seen) = seen {
            target.speed.seen.prefill.record(&config, seen);
            meter::increment(meter::SPEED_OBSERVATIONS, "kind", "prefill");
        }
        let pace = target.speed.pace.and_then(|p| StatedPace::new(now, p));
        let note = SpeedNote {
            pace,
            prefill: seen.map(|s| thousandths(s.ratio)),
            weight: seen.map_or(0, |s| thousandths(s.weight)),
            decode: target.speed.unsent.take().map(|s| thousandths(s.ratio)),
        };
        log_change(now, target, "own");
        (note != SpeedNote::default()).then_some(note)
    }

    /// Records the mean gap between the events of an answer.
    pub fn record_gap(&mut self, pressure: bool, target: ObservedTarget<'_>, gap: Micros) {
        // Events that were read all at once show nothing of the engine, and a mean of 0 would make the
        // ratio undefined.
        if gap == Micros::ZERO {
            return;
        }
        let Some(pool) = self.active(target.pool, pressure) else {
            return;
        };
        let gap = gap.as_secs_f64() * 1e3;
        pool.gap.record(gap);
        // A stream lasts longer than a momentary pace.
        let seen = Observation::duration(gap, pool.gap.get().unwrap_or(gap), 1.0);
        let seen = pool.decodes.normalize(&Config::default(), seen);
        target.speed.seen.decode.record(&Config::default(), seen);
        target.speed.unsent = Some(seen);
        meter::increment(meter::SPEED_OBSERVATIONS, "kind", "decode");
    }

    /// Records the duration of a request to a plain service that didn't wait for a slot.
    pub fn record_duration(
        &mut self,
        now: Micros,
        pressure: bool,
        target: ObservedTarget<'_>,
        took: Micros,
    ) {
        let Some(pool) = self.active(target.pool, pressure) else {
            return;
        };
        let took = took.as_secs_f64() * 1e3;
        pool.duration.record(took);
        let pace = pool.pace_factor(now, target.speed);
        let seen = Observation::duration(took, pool.duration.get().unwrap_or(took), pace);
        let seen = pool.prefills.normalize(&Config::default(), seen);
        target.speed.seen.prefill.record(&Config::default(), seen);
        meter::increment(meter::SPEED_OBSERVATIONS, "kind", "plain");
        log_change(now, target, "own");
    }
}

/// Gaps between the events of a stream from one target.
#[derive(Debug)]
pub struct Gaps<K> {
    target: Option<K>,
    last: Micros,
    sum: Micros,
    count: u32,
}

impl<K> Default for Gaps<K> {
    fn default() -> Self {
        Self {
            target: None,
            last: Micros::ZERO,
            sum: Micros::ZERO,
            count: 0,
        }
    }
}

impl<K: PartialEq> Gaps<K> {
    /// Records that data was received at `now` that was waited for since `asked`.
    pub fn record(&mut self, target: K, asked: Micros, now: Micros) {
        if self.target.as_ref() != Some(&target) {
            *self = Self {
                target: Some(target),
                ..Self::default()
            };
        } else if asked.since(self.last) <= MAX_CALLER_DELAY {
            self.sum = self.sum + now.since(self.last);
            self.count += 1;
        }
        self.last = now;
    }

    /// The mean gap, if there are enough.
    pub fn mean(&self) -> Option<Micros> {
        (self.count >= MIN_GAPS).then(|| Micros(self.sum.0 / u64::from(self.count)))
    }
}

/// What an agent knows of the speed of its engine's present incarnation.
#[derive(Debug, Default)]
pub struct AgentSpeed {
    speed: Speed,
    pace: Option<Stated>,
}

impl AgentSpeed {
    /// Records an entry's note; `alone` is whether the prompt found no other one waiting.
    pub fn record(&mut self, now: Micros, note: &SpeedNote, alone: bool) {
        let config = Config::default();
        if let Some(ratio) = note.prefill.filter(|_| alone) {
            let seen = Observation {
                ratio: f64::from(ratio) / 1e3,
                weight: f64::from(note.weight) / 1e3,
            };
            self.speed.prefill.record(&config, seen);
        }
        if let Some(ratio) = note.decode {
            let seen = Observation {
                ratio: f64::from(ratio) / 1e3,
                weight: 1.0,
            };
            self.speed.decode.record(&config, seen);
        }
        if let Some(pace) = note.pace {
            let pace = stated(now, pace.percent, pace.age_ms);
            if is_newer(self.pace, pace) {
                self.pace = Some(pace);
            }
        }
    }

    /// Adds the pace and the factors to an update.
    pub fn fill_update(&self, now: Micros, update: &mut Update) {
        let factors = self.speed.factors(&Config::default());
        update.pace = self.pace.and_then(|p| StatedPace::new(now, p));
        update.speed = (factors != Factors::default()).then(|| factors.into());
    }
}

impl StatedPace {
    /// A pace as it is sent, unless it is so old that it doesn't count.
    fn new(now: Micros, stated: Stated) -> Option<Self> {
        let age = now.since(stated.at);
        (age < pace::Config::default().lifetime).then(|| Self {
            percent: (stated.ratio * 100.0).round() as u32,
            age_ms: age.as_millis() as u32,
        })
    }
}

impl From<Factors> for StatedFactors {
    fn from(factors: Factors) -> Self {
        Self {
            prefill: thousandths(factors.prefill),
            decode: thousandths(factors.decode),
        }
    }
}

impl From<StatedFactors> for Factors {
    fn from(stated: StatedFactors) -> Self {
        let bounds = Config::default().bounds;
        let factor = |n: u32| (f64::from(n) / 1e3).clamp(bounds.0, bounds.1);
        Self {
            prefill: factor(stated.prefill),
            decode: factor(stated.decode),
        }
    }
}

/// A pace that was stated some time ago.
fn stated(now: Micros, percent: u32, age_ms: u32) -> Stated {
    Stated {
        ratio: (f64::from(percent) / 100.0).clamp(PACE_BOUNDS.0, PACE_BOUNDS.1),
        at: now - Micros::from_millis(age_ms.into()),
    }
}

/// Whether a pace was stated after the known one.
fn is_newer(known: Option<Stated>, stated: Stated) -> bool {
    known.is_none_or(|k| k.at + MIN_PACE_INTERVAL < stated.at)
}

fn thousandths(value: f64) -> u32 {
    (value * 1e3).round() as u32
}

/// Logs a target's learnt factors if they differ much from those that were last logged.
fn log_change(now: Micros, target: ObservedTarget<'_>, source: &'static str) {
    let learnt = target.speed.learnt(now);
    let logged = target.speed.logged;
    let change = (learnt.prefill - logged.prefill)
        .abs()
        .max((learnt.decode - logged.decode).abs());
    if change < LOGGED_CHANGE {
        return;
    }
    target.speed.logged = learnt;
    log::event(&Event::Speed {
        target: target.id,
        prefill: learnt.prefill,
        decode: learnt.decode,
        source,
    });
}
