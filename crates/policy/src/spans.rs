//! How long answers of one kind take, as seen of late.
//!
//! Load pattern: an engine is about to take new weights, and requests of all kinds come. One that ends
//! in 200 ms can still be answered there; one that streams for 2 s would stand still while the weights
//! load and be worth nothing after it. Which is which can't be told from a prompt: it is seen in the
//! answers that went before it.
//!
//! Until an answer of a kind has been seen, it is taken to end at once: an engine is then used up to its
//! turn, as it would be without this.
//!
//! Grounds: the mean and its usual deviation, as in estimates of round trips; a weight of a tenth
//! follows a change within some twenty answers.

use std::collections::HashMap;

use model::Micros;

/// Weight of a new answer.
const SMOOTH: f64 = 0.1;
/// Kinds that are remembered; more than a configuration has routes for prompts.
const KINDS: usize = 1_024;

/// How long answers take, by kind.
#[derive(Clone, Debug, Default)]
pub struct Spans(HashMap<String, Span>);

#[derive(Clone, Copy, Debug)]
struct Span {
    mean: f64,
    deviation: f64,
}

impl Spans {
    /// Notes an answer that was given whole.
    pub fn add(&mut self, kind: &str, took: Micros) {
        let took = took.0 as f64;
        let Some(span) = self.0.get_mut(kind) else {
            if self.0.len() < KINDS {
                let span = Span {
                    mean: took,
                    deviation: took / 2.0,
                };
                self.0.insert(kind.to_owned(), span);
            }
            return;
        };
        let off = took - span.mean;
        span.mean += off * SMOOTH;
        span.deviation += (off.abs() - span.deviation) * SMOOTH;
    }

    /// Within which time most answers of a kind end; nothing if none was seen.
    pub fn most(&self, kind: &str) -> Micros {
        let most = |s: &Span| Micros((s.mean + s.deviation) as u64);
        self.0.get(kind).map_or(Micros::ZERO, most)
    }
}
