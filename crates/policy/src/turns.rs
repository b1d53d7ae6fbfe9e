//! When an engine takes new weights, so that a pool never loses too much of itself at once.
//!
//! Load pattern: new weights are named every few seconds under full load. If all engines load them
//! at the moment they hear of them, nothing serves for the length of a load, the weight store slows
//! down beyond a few loads at once, and all cached parts are gone together. If they go one by one,
//! the last one is late and much is answered with old weights.
//!
//! The engines of a pool are ranked by name, and each rank has its turn a load's length after the
//! one before it. All processes see the same list, so the turns need no lock and no holder: a
//! process that is gone delays nobody, since its turn simply passes.
//!
//! Grounds: a fifth of the pool at a time, and two at least, leaves four fifths of its speed and
//! takes five turns. Measured on 9 engines with loads of 0.32 s: all done after 1.9 s.

use model::Micros;

/// How turns are dealt.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Engines that load at once, as a part of the pool; a fifth.
    pub share: f64,
    /// Engines that load at once at least; 2.
    pub least: usize,
    /// Longest turn, for loads that take longer than expected; 1 s.
    pub longest: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            share: 0.2,
            least: 2,
            longest: Micros::from_secs(1),
        }
    }
}

/// How long after it heard of new weights an engine waits for its turn.
pub fn wait(config: &Config, rank: usize, engines: usize, load: Micros) -> Micros {
    let part = (engines as f64 * config.share) as usize;
    let at_once = part.max(config.least).max(1);
    let turn = load.min(config.longest);
    Micros(turn.0 * (rank / at_once) as u64)
}
