//! Whether a prompt is sent, or refused at once because of what waits before it.
//!
//! Load pattern: engines are gone or read everything anew, and more comes than can be read. If all of
//! it is sent, all of it waits, and nearly all of it is late; what is read for callers who have left
//! is lost twice. If all that would be late is refused, long prompts are never served, since their
//! reading alone takes longer than the aim, however idle the engines are.
//!
//! So a prompt is judged by whether it could be in time at all. One that could, but for what waits
//! before it, is refused once that makes it late: its caller is told to come back when the excess is
//! worked off. One that can't be in time in any case has nothing to lose
//! by waiting, and goes as long as it can be answered well within its time.
//!
//! Grounds: one aim, since estimates err to both sides alike; six tenths of the time left, since a
//! prompt that is read has to be answered too.

/// Multiple of the aim within which a prompt is sent that could be in time.
const AIMS: f64 = 1.0;
/// Part of the aim beyond which a prompt's own reading makes it late in any case.
const LONG: f64 = 0.7;
/// Part of the time left in which a prompt that is late in any case must be read.
const LEFT: f64 = 0.6;

/// What is known of a prompt's time, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// Until it begins to be read.
    pub wait: f64,
    /// Its own reading and fetching.
    pub prefill: f64,
    /// Its aim.
    pub latency_goal: f64,
    /// Until it is given up on.
    pub time_left: f64,
}

/// What is done with a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It is sent.
    Send,
    /// It is refused; what waits has to fall by so many milliseconds first.
    Refuse(f64),
}

/// Judges a prompt.
pub fn decide(p: &Estimate) -> Decision {
    let long = p.prefill > p.latency_goal * LONG;
    let over = match long {
        true => p.wait + p.prefill - p.time_left * LEFT,
        false => p.wait + p.prefill - p.latency_goal * AIMS,
    };
    match over > 0.0 {
        true => Decision::Refuse(over + p.latency_goal / 2.0),
        false => Decision::Send,
    }
}
