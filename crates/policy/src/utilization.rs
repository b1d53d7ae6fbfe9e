//! Which part of its time an engine has been computing prompts.
//!
//! Load pattern: near full load each avoidable recomputation delays all requests behind it, and
//! those make the waits that cause further recomputation. A queue's length says that too late and
//! jumps with each burst; what placement needs is the part of the last seconds in use.
//!
//! Grounds: 5 s span some ten to fifty prefills, and a burst of a second moves the average by a
//! fifth at most.

use model::{Class, Micros};

/// Time over which use is averaged.
const SPAN: f64 = 5.0;

/// An average of an engine's use, by the class that it worked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Utilization {
    average: [f64; 3],
    at: Micros,
    now: Option<Class>,
}

impl Utilization {
    /// Notes for which class the engine computes from now on, if for any.
    pub fn set(&mut self, now: Micros, class: Option<Class>) {
        self.average = Class::ALL.map(|c| self.of(now, c));
        self.at = self.at.max(now);
        self.now = class;
    }

    /// The part of the last seconds used for this class or more urgent ones, from 0 to 1.
    ///
    /// What less urgent ones use is left out: a request displaces them, as it is meant to.
    pub fn get(&self, now: Micros, class: Class) -> f64 {
        let urgent = Class::ALL.into_iter().filter(|c| *c <= class);
        urgent.map(|c| self.of(now, c)).sum()
    }

    fn of(&self, now: Micros, class: Class) -> f64 {
        let keep = (-now.since(self.at).as_secs_f64() / SPAN).exp();
        let current = f64::from(u8::from(self.now == Some(class)));
        self.average[class.index()] * keep + current * (1.0 - keep)
    }
}
