//! Answers that run while their engine loads new weights, in virtual time.

use model::Micros;
use policy::load_overlap::{lost_share, penalty, AnswerTime};
use policy::rollout::{self, Config, Engine, Pool};

#[test]
fn lost_share_follows_the_part_of_an_answer_after_the_load() {
    struct Case {
        name: &'static str,
        load: f64,
        first: f64,
        answer: f64,
        lost: f64,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "ends before the load", load: 900.0, first: 100.0, answer: 800.0, lost: 0.0 },
        Case { name: "half of it", load: 500.0, first: 100.0, answer: 800.0, lost: 0.5 },
        Case { name: "load before the first event", load: 0.0, first: 100.0, answer: 800.0, lost: 1.0 },
        Case { name: "no answer", load: 0.0, first: 100.0, answer: 0.0, lost: 0.0 },
    ];
    for c in cases {
        let lost = lost_share(c.load, c.first, c.answer);
        assert_eq!(lost, c.lost, "{}", c.name);
    }
}

#[test]
fn answer_time_follows_the_answers_and_no_exception() {
    let mut time = AnswerTime::default();
    (0..200).for_each(|_| time.record(60, 1_800.0));
    assert!((time.estimate(60) - 1_800.0).abs() < 30.0);
    time.record(10, 60_000.0);
    assert!(time.estimate(60) < 3_400.0);
}

/// Time until each of `waiting` engines loads, of a pool in which `loaded` have loaded already.
fn starts(loaded: usize, waiting: usize, load_time: Micros) -> Vec<f64> {
    let engine = |version, rank| Engine {
        version,
        rank,
        loading: None,
        due: None,
    };
    let all: Vec<_> = (0..loaded)
        .map(|r| engine(2, r as u64))
        .chain((0..waiting).map(|r| engine(1, r as u64)))
        .collect();
    let start = |own: usize| {
        let mut others = all.clone();
        let own = others.remove(own);
        let pool = Pool {
            newest: 2,
            others: &others,
            load_time: Some(load_time),
            allowed: Micros::from_millis(10_000),
            outdated_for: Micros::ZERO,
        };
        let at = rollout::time_to_load(&Config::default(), &pool, &own);
        at.as_millis() as f64
    };
    (loaded..loaded + waiting).map(start).collect()
}

/// Guards against long answers at engines whose turn to load comes before the answer ends.
#[test]
fn long_answers_avoid_the_engines_that_load_next() {
    const ENGINES: usize = 57;
    const ANSWER_MS: f64 = 1_200.0;
    const GOAL_MS: f64 = 500.0;
    /// Milliseconds that each running answer costs the next one at the same engine.
    const BUSY_MS: f64 = 8.0;
    let lost = |weigh: bool| {
        let mut lost = 0.0;
        for loaded in (0..ENGINES).step_by(11) {
            let starts = starts(loaded, ENGINES - loaded, Micros::from_millis(380));
            let load_in = |e: usize| e.checked_sub(loaded).map(|i| starts[i]);
            let mut running = [0.0; ENGINES];
            for _ in 0..135 {
                let share = |e: usize| load_in(e).map_or(0.0, |l| lost_share(l, 50.0, ANSWER_MS));
                let weight = f64::from(u8::from(weigh));
                let cost = |e: &usize| running[*e] * BUSY_MS + weight * penalty(share(*e), GOAL_MS);
                let best = (0..ENGINES).min_by(|a, b| cost(a).total_cmp(&cost(b)));
                let best = best.expect("an engine");
                running[best] += 1.0;
                lost += share(best);
            }
            let most = running.iter().copied().fold(0.0, f64::max);
            assert!(most * BUSY_MS < GOAL_MS, "answers pile up: {most}");
        }
        lost
    };
    let (before, with) = (lost(false), lost(true));
    assert!(with < before / 2.0, "{with} of {before}");
}
