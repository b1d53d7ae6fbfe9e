//! Which part of its time an engine has been computing prompts.
//!
//! Load pattern: near full load each avoidable recomputation delays all requests behind it, and
//! those make the waits that cause further recomputation. A queue's length says that too late and
//! jumps with each burst; what placement needs is the part of the last seconds in use.
//!
//! Grounds: 5 s span some ten to fifty prefills, and a burst of a second moves the average by a
//! fifth at most.

use model::Micros;

/// Time over which use is averaged.
const SPAN: f64 = 5.0;

/// An average of an engine's use.
#[derive(Clone, Copy, Debug, Default)]
pub struct Busy {
    average: f64,
    at: Micros,
    now: bool,
}

impl Busy {
    /// Notes whether the engine computes from now on.
    pub fn set(&mut self, now: Micros, busy: bool) {
        self.average = self.get(now);
        self.at = self.at.max(now);
        self.now = busy;
    }

    /// The part of the last seconds in use, from 0 to 1.
    pub fn get(&self, now: Micros) -> f64 {
        let keep = (-now.since(self.at).as_secs_f64() / SPAN).exp();
        let current = f64::from(u8::from(self.now));
        self.average * keep + current * (1.0 - keep)
    }
}
