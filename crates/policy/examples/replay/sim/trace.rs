//! Requests of a trace, read from JSON lines or drawn by a seeded generator.

use std::rc::Rc;

use bytes::Bytes;
use model::{BlockHash, Class};
use prefix::{next, root, Seed, BLOCK_BYTES};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// Tokens in a block of the replay: four times an engine's usual size, so that tests take seconds.
pub(crate) const REPLAY_BLOCK_TOKENS: u32 = 64;

/// A request, as one line of a trace.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Request {
    pub(crate) at_ms: u64,
    pub(crate) team: String,
    pub(crate) class: Class,
    pub(crate) path: String,
    pub(crate) prefix: Vec<(String, u32)>,
    pub(crate) tail: u32,
    pub(crate) output: u32,
    pub(crate) idempotent: bool,
}

/// A request's prompt in blocks, with the text of each that an engine reports in its events.
pub(crate) struct Prompt {
    pub(crate) chain: Vec<BlockHash>,
    pub(crate) texts: Vec<Bytes>,
}

/// Parses a trace of one JSON object per line.
pub(crate) fn parse(text: impl AsRef<str>) -> serde_json::Result<Vec<Request>> {
    text.as_ref().lines().map(serde_json::from_str).collect()
}

impl Request {
    /// The blocks of the prompt; `number` makes its last part different from all others.
    pub(crate) fn prompt(&self, number: usize) -> Rc<Prompt> {
        let tail = (format!("tail {number}"), self.tail);
        let mut text = Vec::new();
        let mut position = 0;
        for (id, tokens) in self.prefix.iter().chain([&tail]) {
            let seed = part_hash(id);
            for token in 0..*tokens {
                // One sample for each eighth of a block represents its bytes.
                if position % (REPLAY_BLOCK_TOKENS / 8) == 0 {
                    text.extend((seed ^ u64::from(token)).to_le_bytes());
                }
                position += 1;
            }
        }
        let text = Bytes::from(text);
        let texts: Vec<Bytes> = (0..text.len() / BLOCK_BYTES)
            .map(|i| text.slice(i * BLOCK_BYTES..(i + 1) * BLOCK_BYTES))
            .collect();
        let mut parent = root(Seed::new(&self.team, "m", "1"));
        let chain = texts.iter().map(|t| {
            parent = next(parent, t);
            parent
        });
        Rc::new(Prompt {
            chain: chain.collect(),
            texts: texts.clone(),
        })
    }
}

/// Hash of the name of a prompt part.
fn part_hash(id: &str) -> u64 {
    next(root(Seed::new(id, "", "")), b"part").0
}

/// Kind of traffic to generate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Workload {
    /// Coding of open survey answers during calls: prompts of guide, codebook and question; short
    /// outputs.
    Association,
    /// Analysis of driver cards: prompts of long regulations and a driver's week, with several
    /// questions on each week.
    Alpen,
}

impl Workload {
    /// Shares of call, normal and batch requests.
    fn class_shares(self) -> [f64; 3] {
        match self {
            Self::Association => [0.6, 0.25, 0.15],
            Self::Alpen => [0.25, 0.5, 0.25],
        }
    }

    /// Number of tokens that an engine can cache.
    pub(crate) fn cache_tokens(self) -> u32 {
        match self {
            Self::Association => 80_000,
            Self::Alpen => 120_000,
        }
    }

    /// Number of failure domains of the replicas.
    pub(crate) fn domains(self) -> usize {
        match self {
            Self::Association => 4,
            Self::Alpen => 3,
        }
    }

    fn draw_prefix(self, team: usize, shift: usize, rng: &mut SmallRng) -> Vec<(String, u32)> {
        match self {
            Self::Association => {
                let book = (zipf(20, 0.9, rng) + shift) % 20;
                let question = zipf(12, 0.5, rng);
                let length = 4_000 + (book * 7 + team) as u32 % 5 * 1_000;
                vec![
                    (format!("g{team}"), 2_500),
                    (format!("g{team}b{book}"), length),
                    (format!("g{team}b{book}q{question}"), 600),
                ]
            }
            Self::Alpen => {
                let text = (zipf(5, 0.8, rng) + shift) % 5;
                // Several requests in a short time refer to the same week.
                let week = shift * 40 + zipf(60, 0.6, rng);
                vec![
                    (format!("h{team}"), 1_000),
                    (format!("h{team}r{text}"), 12_000),
                    (format!("h{team}r{text}w{week}"), 2_500),
                ]
            }
        }
    }

    fn draw_output(self, rng: &mut SmallRng) -> u32 {
        match self {
            Self::Association => rng.random_range(12..48),
            Self::Alpen => rng.random_range(60..200),
        }
    }
}

/// Generates a trace of `count` requests at some 50 per second, in four phases with different
/// popular prefixes.
pub(crate) fn generate(workload: Workload, count: usize, seed: u64) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut at = 0.0;
    (0..count)
        .map(|i| {
            let phase = i * 4 / count;
            // A burst, 120 requests per second instead of 45, at the start of each tenth of the
            // trace, for a tenth of its requests.
            let rate = if (i * 100 / count).is_multiple_of(10) {
                120.0
            } else {
                45.0
            };
            at += -(1.0 - rng.random::<f64>()).ln() / rate * 1_000.0;
            let team = zipf(8, 0.8, &mut rng);
            let class = draw_index(workload.class_shares(), &mut rng);
            Request {
                at_ms: at as u64,
                team: format!("t{team}"),
                class: Class::from_index(class),
                path: "/v1/completions".to_owned(),
                prefix: workload.draw_prefix(team, phase, &mut rng),
                tail: rng.random_range(40..200),
                output: workload.draw_output(&mut rng),
                idempotent: rng.random_bool(0.9),
            }
        })
        .collect()
}

/// An index drawn with the given shares.
fn draw_index(shares: [f64; 3], rng: &mut SmallRng) -> usize {
    let mut x = rng.random::<f64>();
    let drawn = shares.iter().position(|p| {
        x -= p;
        x < 0.0
    });
    drawn.unwrap_or(0)
}

/// A number below `n`, Zipf-distributed: number `i` has a weight of `(i + 1)^-s`.
fn zipf(n: usize, s: f64, rng: &mut SmallRng) -> usize {
    let weight = |i: usize| ((i + 1) as f64).powf(-s);
    let sum: f64 = (0..n).map(weight).sum();
    let mut x = rng.random::<f64>() * sum;
    let drawn = (0..n).find(|i| {
        x -= weight(*i);
        x < 0.0
    });
    drawn.unwrap_or(n - 1)
}
