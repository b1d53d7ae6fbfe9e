//! Generated traffic that resembles that of the router's two users, deterministic for a seed.
//!
//! Prompts have nested prefixes: a system text, a long document, a section of the document, then a
//! tail that no other request shares. The popularity of documents follows Zipf's law, and the
//! popular ones change every few seconds. Arrivals are a Poisson process with bursts. Two of the
//! eight teams send most of the traffic.

use std::str::FromStr;

use model::Class;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::load::trace::{Arrival, MAX_ARRIVALS};

/// The kinds of generated traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// Short answers for a waiting respondent; many codebooks of a few thousand tokens.
    Association,
    /// Few but expensive requests about long regulation texts, and reports for which no caller
    /// waits.
    Alpen,
    /// Tiny prompts at an even rate, to measure the latency between caller and engine.
    Hops,
}

/// The text names no kind of traffic.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is none of association, alpen, hops")]
pub struct WorkloadError(String);

impl FromStr for Workload {
    type Err = WorkloadError;

    fn from_str(s: &str) -> Result<Self, WorkloadError> {
        match s {
            "association" => Ok(Self::Association),
            "alpen" => Ok(Self::Alpen),
            "hops" => Ok(Self::Hops),
            _ => Err(WorkloadError(s.to_owned())),
        }
    }
}

/// Kind and amount of the traffic to generate.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Kind of traffic.
    pub user: Workload,
    /// Seed of the random generator.
    pub seed: u64,
    /// Average number of requests per second.
    pub rate: f64,
    /// Duration in seconds.
    pub seconds: u64,
}

/// Shares of the teams in the traffic.
const TEAM_SHARES: [f64; 8] = [0.35, 0.25, 0.10, 0.08, 0.07, 0.06, 0.05, 0.04];
/// Exponent of Zipf's law; the popularity of shared texts in practice has an exponent near one.
const ZIPF_EXPONENT: f64 = 1.1;
/// Seconds after which other documents become popular.
const SHIFT_PERIOD: f64 = 10.0;
/// Number of documents by which the popularity ranking shifts.
const SHIFT_STEP: usize = 7;
/// Seconds from the start of a burst to that of the next.
const BURST_PERIOD: f64 = 5.0;
/// Duration of a burst in seconds.
const BURST_LENGTH: f64 = 0.5;
/// Ratio of the rate in a burst to the rate outside.
const BURST_FACTOR: f64 = 3.0;

/// Sizes in tokens and shares of the requests of one kind of traffic. `call` and `normal` are the
/// shares of these classes, the rest is batch; `plain` is the share of calls of the plain service.
#[derive(Clone, Copy, Debug)]
struct WorkloadMix {
    system: usize,
    documents: usize,
    document: (usize, usize),
    sections: usize,
    section: usize,
    tail: (usize, usize),
    output: (usize, usize),
    call: f64,
    normal: f64,
    plain: f64,
}

const ASSOCIATION: WorkloadMix = WorkloadMix {
    system: 1_000,
    documents: 40,
    document: (2_000, 6_000),
    sections: 12,
    section: 400,
    tail: (40, 150),
    output: (8, 32),
    call: 0.7,
    normal: 0.2,
    plain: 0.2,
};

const ALPEN: WorkloadMix = WorkloadMix {
    system: 2_000,
    documents: 12,
    document: (8_000, 12_000),
    sections: 50,
    section: 2_000,
    tail: (60, 200),
    output: (48, 128),
    call: 0.2,
    normal: 0.4,
    plain: 0.1,
};

/// Generates arrivals in order of time.
pub fn generate(plan: &Plan) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let mix = match plan.user {
        Workload::Association => ASSOCIATION,
        Workload::Alpen => ALPEN,
        Workload::Hops => return even_arrivals(plan),
    };
    let mut generator = Generator {
        mix,
        documents: zipf_cumulated(mix.documents),
        sections: zipf_cumulated(mix.sections),
        teams: cumulated_sums(TEAM_SHARES.iter().copied()),
    };
    times(plan, &mut rng)
        .into_iter()
        .map(|t| generator.arrival(t, &mut rng))
        .collect()
}

fn even_arrivals(plan: &Plan) -> Vec<Arrival> {
    let count = (plan.rate * plan.seconds as f64) as usize;
    let arrival = |i: usize| Arrival {
        at_ms: (i as f64 * 1_000.0 / plan.rate) as u64,
        team: "t1".to_owned(),
        class: Class::Call,
        path: "/v1/completions".to_owned(),
        prefix: Vec::new(),
        tail: 8,
        output: 4,
        idempotent: true,
    };
    (0..count.min(MAX_ARRIVALS)).map(arrival).collect()
}

/// Times of arrival in seconds: a Poisson process at the burst rate, thinned outside the bursts.
fn times(plan: &Plan, rng: &mut StdRng) -> Vec<f64> {
    let share = BURST_LENGTH / BURST_PERIOD;
    let base = plan.rate / (1.0 - share + share * BURST_FACTOR);
    let peak = base * BURST_FACTOR;
    let mut out = Vec::new();
    let mut t = 0.0;
    while out.len() < MAX_ARRIVALS {
        t += -(1.0 - rng.random::<f64>()).ln() / peak;
        if t >= plan.seconds as f64 {
            break;
        }
        let in_burst = t % BURST_PERIOD < BURST_LENGTH;
        if in_burst || rng.random::<f64>() < 1.0 / BURST_FACTOR {
            out.push(t);
        }
    }
    out
}

struct Generator {
    mix: WorkloadMix,
    documents: Vec<f64>,
    sections: Vec<f64>,
    teams: Vec<f64>,
}

impl Generator {
    fn arrival(&mut self, t: f64, rng: &mut StdRng) -> Arrival {
        let at_ms = (t * 1_000.0) as u64;
        let team = format!("t{}", draw_index(&self.teams, rng) + 1);
        if rng.random::<f64>() < self.mix.plain {
            return plain_call(at_ms, team, rng);
        }
        let shift = (t / SHIFT_PERIOD) as usize * SHIFT_STEP;
        let document = (draw_index(&self.documents, rng) + shift) % self.mix.documents;
        let section = draw_index(&self.sections, rng);
        let name = format!("doc-{document}");
        let within = format!("doc-{document}-{section}");
        Arrival {
            at_ms,
            team,
            class: self.class(rng),
            path: "/v1/completions".to_owned(),
            prefix: vec![
                ("sys".to_owned(), self.mix.system),
                (name, self.document_length(document)),
                (within, self.mix.section),
            ],
            tail: draw_between(self.mix.tail, rng),
            output: draw_between(self.mix.output, rng),
            idempotent: true,
        }
    }

    fn class(&self, rng: &mut StdRng) -> Class {
        let x = rng.random::<f64>();
        match () {
            () if x < self.mix.call => Class::Call,
            () if x < self.mix.call + self.mix.normal => Class::Normal,
            () => Class::Batch,
        }
    }

    /// Length of a document, always the same for the same document.
    fn document_length(&self, document: usize) -> usize {
        let (low, high) = self.mix.document;
        let h = xxhash_rust::xxh3::xxh3_64(&document.to_le_bytes());
        low + (h % (high - low) as u64) as usize
    }
}

/// A quota check, or less often a record, which may be created only once.
fn plain_call(at_ms: u64, team: String, rng: &mut StdRng) -> Arrival {
    let record = rng.random::<f64>() < 0.25;
    let path = match record {
        true => "/records".to_owned(),
        false => format!("/quota/district-{}", rng.random_range(0..33)),
    };
    Arrival {
        at_ms,
        team,
        class: Class::Call,
        path,
        prefix: Vec::new(),
        tail: 16,
        output: 0,
        idempotent: !record,
    }
}

fn zipf_cumulated(n: usize) -> Vec<f64> {
    cumulated_sums((1..=n).map(|rank| (rank as f64).powf(-ZIPF_EXPONENT)))
}

fn cumulated_sums(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    weights
        .map(|w| {
            sum += w;
            sum
        })
        .collect()
}

fn draw_index(cumulated: &[f64], rng: &mut StdRng) -> usize {
    let x = rng.random::<f64>() * cumulated.last().copied().unwrap_or(0.0);
    cumulated
        .partition_point(|c| *c <= x)
        .min(cumulated.len() - 1)
}

fn draw_between((low, high): (usize, usize), rng: &mut StdRng) -> usize {
    rng.random_range(low..=high)
}
