//! The share of its time that an engine has spent computing prompts.
//!
//! Load pattern: near full load each avoidable recomputation delays all requests behind it, and
//! the longer waits cause further recomputation. The length of a queue shows that too late and jumps
//! with each burst; placement needs the utilization over the last seconds.
//!
//! An average over 5 s covers some ten to fifty prefills, and a burst of one second changes it by a
//! fifth at most.

use model::{Class, Micros};

/// Time in seconds over which utilization is averaged.
const AVERAGING_SECS: f64 = 5.0;

/// Exponential moving average of an engine's utilization, by the class of its work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Utilization {
    average: [f64; 3],
    at: Micros,
    current: Option<Class>,
}

impl Utilization {
    /// Records the class that the engine computes for from now on, or none if it is idle.
    pub fn set(&mut self, now: Micros, class: Option<Class>) {
        self.average = Class::ALL.map(|c| self.of_class(now, c));
        self.at = self.at.max(now);
        self.current = class;
    }

    /// Utilization of the last seconds by this class and more urgent ones, from 0 to 1.
    ///
    /// Less urgent classes don't count, since a request of this class displaces theirs by design.
    pub fn get(&self, now: Micros, class: Class) -> f64 {
        let urgent = Class::ALL.into_iter().filter(|c| *c <= class);
        urgent.map(|c| self.of_class(now, c)).sum()
    }

    /// Utilization by one class.
    fn of_class(&self, now: Micros, class: Class) -> f64 {
        let keep = (-now.since(self.at).as_secs_f64() / AVERAGING_SECS).exp();
        let active = f64::from(u8::from(self.current == Some(class)));
        self.average[class.index()] * keep + active * (1.0 - keep)
    }
}
