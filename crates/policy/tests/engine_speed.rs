//! Permanent and momentary speeds of targets, in virtual time.

use std::collections::VecDeque;

use model::Micros;
use policy::engine_load::Load;
use policy::engine_speed::{
    pause_cost, takes, Config, Factors, Mean, Observation, PoolRatio, Speed,
};
use policy::pace::{self, Stated};
use policy::prefill_rate::PrefillRate;
use policy::ttft_placement::{choose, Candidate, Sources};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use xxhash_rust::xxh3::xxh3_64;

/// Milliseconds to compute a token at an engine of the usual speed.
const MS_PER_TOKEN: f64 = 1.0 / 49.6;
/// Milliseconds after which the pace of the engines changes.
const PACE_INTERVAL: f64 = 600.0;
/// Engines and entries of a pool.
const ENGINES: usize = 26;
const ENTRIES: usize = 31;

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    /// Speeds of the engines, which are repeated.
    speeds: &'static [f64],
    /// Share of the engines that take 2.5 times as long.
    slow: f64,
    /// Greatest age in milliseconds of the pace that entries know; the least is half of it.
    age: f64,
}

/// A prompt at an engine: milliseconds of its start and end, tokens, and the entry that sent it.
struct Prompt {
    from: f64,
    to: f64,
    tokens: u32,
    entry: usize,
}

#[derive(Default)]
struct Engine {
    prompts: VecDeque<Prompt>,
    speed: Speed,
}

impl Engine {
    /// Tokens that wait at a time, as the engine's sidecar reports them, and those that the entry has
    /// sent since.
    fn unread(&self, at: f64, entry: usize) -> f64 {
        let counts = |p: &&Prompt| p.to > at && (p.from <= at || p.entry == entry);
        let tokens = self.prompts.iter().filter(counts).map(|p| p.tokens);
        tokens.map(f64::from).sum()
    }
}

/// Momentary pace of an engine.
fn pace_at(case: &Case, engine: usize, at: f64) -> f64 {
    let step = (at.max(0.0) / PACE_INTERVAL) as u64;
    let draw = xxh3_64(format!("{engine} {step}").as_bytes()) as f64 / u64::MAX as f64;
    if draw < case.slow {
        2.5
    } else {
        1.0
    }
}

struct Outcome {
    /// Prompts whose first event came later than 0.4 s.
    late: u32,
    /// Prompts sent to the engine that looked fastest, as a multiple of an equal share.
    herd: f64,
}

/// Sends 21,000 prompts of two sizes in a minute, with or without the factors.
fn play(case: &Case, weighs: bool, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let (config, mut rate, mut mean) = (Config::default(), PrefillRate::default(), Mean::default());
    let mut ratios: Vec<_> = (0..ENTRIES).map(|_| PoolRatio::default()).collect();
    let (mut late, mut herd, mut now) = (0u32, 0u32, 0.0f64);
    const PROMPTS: u32 = 21_000;
    for _ in 0..PROMPTS {
        now += -(1.0 - rng.random::<f64>()).ln() / 0.355;
        let entry = rng.random_range(0..ENTRIES);
        let tokens = if rng.random_bool(0.4) { 2_890 } else { 628 };
        // Sidecars report a change within 50 ms, and datagrams are lost.
        let reported_at = now - rng.random_range(20.0..120.0);
        let paced_at = now - case.age * rng.random_range(0.5..1.0);
        let factors: Vec<Factors> = (0..ENGINES)
            .map(|e| {
                let stated = Stated {
                    ratio: pace_at(case, e, paced_at),
                    at: Micros((paced_at.max(0.0) * 1e3) as u64),
                };
                mean.record(stated.ratio);
                let at = Micros((now * 1e3) as u64);
                let pace = pace::factor(&pace::Config::default(), at, Some(stated), &mean);
                let learnt = engines[e].speed.factors(&config);
                Factors {
                    prefill: learnt.prefill * pace,
                    decode: learnt.decode * pace,
                }
            })
            .collect();
        let none = Sources::<usize>::new([]);
        let start = rng.random_range(0..ENGINES);
        let candidates = (0..ENGINES).map(|i| {
            let key = (start + i) % ENGINES;
            let load = Load {
                tokens_ahead: engines[key].unread(reported_at, entry),
                ..Load::default()
            };
            let factors = if weighs {
                factors[key]
            } else {
                Factors::default()
            };
            let candidate = Candidate {
                key,
                addr: key,
                domain: 0,
                wait: load.wait_at(0, rate.ms_per_token(), factors),
                prefill_per_token: rate.ms_per_token() * factors.prefill,
                held: 0,
                eviction_cost: 0.0,
                network_delay: 0.0,
                penalty: rng.random_range(0.0..12.0),
                discount: 0.0,
                cost_factor: 1.0,
            };
            (candidate, &none)
        });
        let candidates: Vec<_> = candidates.collect();
        let choice = choose(tokens, candidates).expect("a choice");
        let by_factor = |a: &usize, b: &usize| factors[*a].prefill.total_cmp(&factors[*b].prefill);
        let fastest = (0..ENGINES).min_by(by_factor).expect("engines");
        herd += u32::from(choice.key == fastest);
        let speed = case.speeds[choice.key % case.speeds.len()];
        let engine = &mut engines[choice.key];
        engine.prompts.retain(|p| p.to > now - 500.0);
        let begins = engine.prompts.back().map_or(now, |p| p.to.max(now));
        let pace = pace_at(case, choice.key, begins);
        let noise = rng.random_range(0.7..1.3);
        let ends = begins + f64::from(tokens) * MS_PER_TOKEN / speed * pace * noise;
        engine.prompts.push_back(Prompt {
            from: now,
            to: ends,
            tokens,
            entry,
        });
        late += u32::from(ends - now > 400.0);
        // The agent knows that another entry's prompt was waiting.
        if choice.wait > 10.0 || begins > now {
            continue;
        }
        let pace = pace / mean.get().unwrap_or(1.0);
        let seen = rate.excess(tokens, ends - now).and_then(|excess| {
            let expected = f64::from(tokens) * rate.ms_per_token();
            Observation::prefill(&config, expected, excess, pace)
        });
        if let Some(seen) = seen {
            let seen = ratios[entry].normalize(&config, seen);
            engine.speed.prefill.record(&config, seen);
        }
        rate.record(tokens, ends - now);
    }
    Outcome {
        late,
        herd: f64::from(herd) / f64::from(PROMPTS) * ENGINES as f64,
    }
}

/// Plays a case with several seeds; returns the late prompts with and without the factors.
fn check(case: &Case) -> (u32, u32) {
    let (mut with, mut without) = (0, 0);
    for seed in 0..10 {
        let outcome = play(case, true, seed);
        assert!(outcome.herd <= 2.0, "{}: {:.2}", case.name, outcome.herd);
        with += outcome.late;
        without += play(case, false, seed).late;
    }
    println!("{}: {with} late, {without} without", case.name);
    (with, without)
}

const CHANGING: Case = Case {
    name: "changing pace",
    speeds: &[1.0],
    slow: 0.15,
    age: 200.0,
};
const UNEVEN: Case = Case {
    name: "uneven, and changing pace",
    speeds: &[0.55, 1.2, 1.0, 0.8, 0.65, 1.1, 0.9, 1.2],
    ..CHANGING
};

#[test]
fn uneven_engines_make_prompts_late() {
    // Guards against factors that draw all entries to one engine, or that don't help.
    let cases = [
        (CHANGING, 0.9),
        (UNEVEN, 0.75),
        (
            Case {
                name: "permanent speeds alone",
                speeds: &[0.55, 1.2],
                slow: 0.0,
                ..CHANGING
            },
            0.5,
        ),
    ];
    for (case, most) in cases {
        let (with, without) = check(&case);
        let limit = f64::from(without) * most;
        assert!(f64::from(with) <= limit, "{}: {with}, {without}", case.name);
    }
}

#[test]
fn old_figures_make_prompts_late_or_flood_an_engine() {
    // Guards against old figures that count: they are wrong as often as right.
    for (case, age) in [(CHANGING, 500.0), (CHANGING, 2_000.0), (UNEVEN, 2_000.0)] {
        let (with, without) = check(&Case { age, ..case });
        let limit = f64::from(without) * 1.15;
        assert!(
            f64::from(with) <= limit,
            "{} {age}: {with}, {without}",
            case.name
        );
    }
}

#[test]
fn an_old_or_missing_pace_draws_or_repels_requests() {
    // Guards against figures that count for longer than the pace lasts.
    struct Case {
        name: &'static str,
        ratio: f64,
        age: u64,
        factor: f64,
    }
    let case = |name, ratio, age, factor| Case {
        name,
        ratio,
        age,
        factor,
    };
    let cases = [
        case("new and good", 1.0, 0, 0.8),
        case("new and bad", 2.5, 0, 2.0),
        case("half as old as it may be", 2.5, 150, 1.5),
        case("old and good", 1.0, 300, 1.0),
        case("old and bad", 2.5, 5_000, 1.0),
    ];
    let mut mean = Mean::default();
    mean.record(1.25);
    let (config, now) = (pace::Config::default(), Micros::from_secs(10));
    for c in cases {
        let stated = Stated {
            ratio: c.ratio,
            at: now - Micros::from_millis(c.age),
        };
        let factor = pace::factor(&config, now, Some(stated), &mean);
        assert!((factor - c.factor).abs() < 1e-9, "{}: {factor}", c.name);
        assert_eq!(
            pace::factor(&config, now, Some(stated), &Mean::default()),
            1.0
        );
    }
    assert_eq!(pace::factor(&config, now, None, &mean), 1.0);
}

#[test]
fn a_few_observations_move_openings() {
    // Guards against factors from noise, and against ones that never reach the observed ratio.
    let cases = [
        (0, 2.0, 1.0, 1.0),
        (3, 2.0, 1.0, 1.05),
        (300, 1.04, 1.0, 1.0),
        (300, 1.8, 1.5, 1.7),
    ];
    for (count, ratio, least, most) in cases {
        let (config, mut speed) = (Config::default(), Speed::default());
        for _ in 0..count {
            let seen = Observation { ratio, weight: 1.0 };
            speed.prefill.record(&config, seen);
        }
        let factor = speed.factors(&config).prefill;
        assert!(
            (least..=most).contains(&factor),
            "{count} of {ratio}: {factor}"
        );
        assert_eq!(speed.factors(&config).decode, 1.0);
    }
}

#[test]
fn a_slow_replica_gets_an_equal_share_or_none() {
    // Guards against a cost by factor, with which the fastest replica gets all requests.
    for (factor, share) in [(1.0, 1.0), (1.25, 0.8), (2.0, 0.5), (4.0, 0.25)] {
        let taken = (0..1_000).filter(|i| takes(factor, 1.0, f64::from(*i) / 1e3));
        let taken = taken.count() as f64 / 1e3;
        assert!((taken - share).abs() < 0.002, "{factor}: {taken}");
    }
}

#[test]
fn long_answers_pause_at_a_slow_engine() {
    // Guards against a cost where no pause is too long, or that doesn't grow with the answer.
    let cases = [
        (58.0, 20.0, 0.0, 0.0),
        (58.0, 20.0, 40.0, 0.0),
        (58.0, 36.0, 40.0, 232.0),
        (10.0, 36.0, 40.0, 40.0),
        (1_000.0, 90.0, 40.0, 400.0),
    ];
    for (events, gap, allowed, cost) in cases {
        let got = pause_cost(events, gap, allowed);
        assert!((got - cost).abs() < 1e-6, "{events} {gap} {allowed}: {got}");
    }
}
