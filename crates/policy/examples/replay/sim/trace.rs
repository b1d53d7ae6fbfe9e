//! Requests of a trace, read from JSON lines or drawn by a seeded generator.

use std::rc::Rc;

use bytes::Bytes;
use model::{BlockHash, Class};
use prefix::{next, root, Seed, BLOCK_BYTES};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// Tokens in a block of the replay: four of an engine's usual ones, so that tests take seconds.
pub(crate) const GRAIN: u32 = 64;

/// One line of a trace.
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

/// A request's prompt in blocks, with what an engine says of each.
pub(crate) struct Prompt {
    pub(crate) chain: Vec<BlockHash>,
    pub(crate) texts: Vec<Bytes>,
}

/// Reads a trace.
pub(crate) fn parse(text: impl AsRef<str>) -> serde_json::Result<Vec<Request>> {
    text.as_ref().lines().map(serde_json::from_str).collect()
}

impl Request {
    /// The blocks of the prompt; `number` makes its last part unlike all others.
    pub(crate) fn prompt(&self, number: usize) -> Rc<Prompt> {
        let tail = (format!("tail {number}"), self.tail);
        let mut text = Vec::new();
        let mut fill = 0;
        for (id, tokens) in self.prefix.iter().chain([&tail]) {
            let part = blake(id);
            for token in 0..*tokens {
                // One sample of each eighth of a block stands for its bytes.
                if fill % (GRAIN / 8) == 0 {
                    text.extend((part ^ u64::from(token)).to_le_bytes());
                }
                fill += 1;
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

fn blake(id: &str) -> u64 {
    next(root(Seed::new(id, "", "")), b"part").0
}

/// Whose traffic to draw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Workload {
    /// Coding of open answers during calls: guides, codebooks, questions; short outputs.
    Association,
    /// Reading of driver cards: long regulations, a driver's week, several questions on it.
    Alpen,
}

impl Workload {
    /// Parts of call, normal and batch requests.
    fn classes(self) -> [f64; 3] {
        match self {
            Self::Association => [0.6, 0.25, 0.15],
            Self::Alpen => [0.25, 0.5, 0.25],
        }
    }

    /// Tokens that one engine caches.
    pub(crate) fn cache(self) -> u32 {
        match self {
            Self::Association => 80_000,
            Self::Alpen => 120_000,
        }
    }

    /// Failure domains of its replicas.
    pub(crate) fn domains(self) -> usize {
        match self {
            Self::Association => 4,
            Self::Alpen => 3,
        }
    }

    fn prefix(self, team: usize, shift: usize, rng: &mut SmallRng) -> Vec<(String, u32)> {
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
                // A week is asked about several times in a short while.
                let week = shift * 40 + zipf(60, 0.6, rng);
                vec![
                    (format!("h{team}"), 1_000),
                    (format!("h{team}r{text}"), 12_000),
                    (format!("h{team}r{text}w{week}"), 2_500),
                ]
            }
        }
    }

    fn output(self, rng: &mut SmallRng) -> u32 {
        match self {
            Self::Association => rng.random_range(12..48),
            Self::Alpen => rng.random_range(60..200),
        }
    }
}

/// Draws a trace of `count` requests at some 50 a second, whose hot prefixes shift four times.
pub(crate) fn generate(workload: Workload, count: usize, seed: u64) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut at = 0.0;
    (0..count)
        .map(|i| {
            let phase = i * 4 / count;
            // A burst of three times the rate for a tenth of each tenth of the trace.
            let rate = if (i * 100 / count).is_multiple_of(10) {
                120.0
            } else {
                45.0
            };
            at += -(1.0 - rng.random::<f64>()).ln() / rate * 1_000.0;
            let team = zipf(8, 0.8, &mut rng);
            let class = pick(workload.classes(), &mut rng);
            Request {
                at_ms: at as u64,
                team: format!("t{team}"),
                class: Class::from_index(class),
                path: "/v1/completions".to_owned(),
                prefix: workload.prefix(team, phase, &mut rng),
                tail: rng.random_range(40..200),
                output: workload.output(&mut rng),
                idempotent: rng.random_bool(0.9),
            }
        })
        .collect()
}

fn pick(parts: [f64; 3], rng: &mut SmallRng) -> usize {
    let mut x = rng.random::<f64>();
    let over = parts.iter().position(|p| {
        x -= p;
        x < 0.0
    });
    over.unwrap_or(0)
}

/// A number below `n` whose chance falls with the power `s` of its place.
fn zipf(n: usize, s: f64, rng: &mut SmallRng) -> usize {
    let weight = |i: usize| ((i + 1) as f64).powf(-s);
    let sum: f64 = (0..n).map(weight).sum();
    let mut x = rng.random::<f64>() * sum;
    let over = (0..n).find(|i| {
        x -= weight(*i);
        x < 0.0
    });
    over.unwrap_or(n - 1)
}
