//! Whether an entry sends a prompt or refuses it at once because of the work that waits before it.
//!
//! Load pattern: engines are gone or recompute all prompts, and more prompts arrive than can be
//! computed. If all are sent, all wait and nearly all are late; prefill for callers who have given up
//! is wasted as well. If all that would be late are refused, long prompts are never served, since
//! their prefill alone exceeds the latency goal, however idle the engines are.
//!
//! The decision therefore depends on whether a prompt could be in time on an idle engine. If so, it is
//! refused once the work before it makes it late, and its caller is asked to retry when the excess is
//! worked off. A prompt that is late in any case has nothing to lose by waiting, and is sent as long
//! as its prefill can finish well before its deadline.
//!
//! The limit is exactly one latency goal, since estimates err equally in both directions. A long prompt
//! must be computed within six tenths of the time left, since its answer takes time too.

/// Multiple of the latency goal within which a prompt that could be in time is sent.
const GOAL_FACTOR: f64 = 1.0;
/// Share of the latency goal beyond which a prompt's own prefill makes it late in any case.
const LONG_SHARE: f64 = 0.7;
/// Share of the time left within which a prompt that is late in any case must be computed.
const TIME_LEFT_SHARE: f64 = 0.6;

/// Estimated times of a prompt at the chosen engine, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// Until its prefill starts.
    pub wait: f64,
    /// Its own prefill, with fetching of cached blocks.
    pub prefill: f64,
    /// Latency goal for the first token.
    pub latency_goal: f64,
    /// Until its deadline.
    pub time_left: f64,
}

/// Whether to send a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send the prompt.
    Send,
    /// Refuse the prompt; the wait has to fall by this many milliseconds first.
    Refuse(f64),
}

/// Decides whether to send a prompt.
pub fn decide(p: &Estimate) -> Decision {
    let long = p.prefill > p.latency_goal * LONG_SHARE;
    let over = match long {
        true => p.wait + p.prefill - p.time_left * TIME_LEFT_SHARE,
        false => p.wait + p.prefill - p.latency_goal * GOAL_FACTOR,
    };
    match over > 0.0 {
        true => Decision::Refuse(over + p.latency_goal / 2.0),
        false => Decision::Send,
    }
}
