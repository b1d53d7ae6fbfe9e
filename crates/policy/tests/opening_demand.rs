//! Copies of openings whose rate rises, in virtual time.

use model::Micros;
use policy::opening_demand::{Config, Holders, Openings};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Length of a step in milliseconds.
const STEP: u64 = 10;
/// Length of a run in milliseconds.
const RUN: u64 = 18_000;
/// When the rate begins to change and when it has changed, in milliseconds.
const CHANGE: (u64, u64) = (6_000, 9_000);
/// Milliseconds of an engine for a request at a holder.
const WORK: f64 = 70.0;
/// Milliseconds until a copy has been fetched and all entries know it.
const COPY_TIME: u64 = 150;
/// Queue in milliseconds at a holder above which a copy costs less than the wait, so that placement makes one anyway.
const COPY_COST: f64 = 200.0;

#[derive(Clone, Copy)]
struct Load {
    entries: usize,
    /// Probability that a report is lost.
    loss: f64,
    /// Requests per second at all entries, before and after the change.
    rates: (f64, f64),
}

/// What a run has shown.
#[derive(Debug)]
struct Outcome {
    copies: usize,
    /// Requests that found a queue for which a copy was worth its cost.
    late: usize,
}

/// Interval between two reports of an entry in milliseconds.
const REPORT_INTERVAL: u64 = 500;

/// Simulates one opening whose requests are spread over its holders. Other work takes 0.3 of an engine.
fn run(load: &Load, forecast: bool, seed: u64) -> Outcome {
    let config = Config::default();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut entries = vec![Openings::default(); load.entries];
    let (mut holders, mut pending) = (1, None);
    let (mut queue, mut late, mut copies) = (0.0_f64, 0, 0);
    for time in (0..RUN).step_by(STEP as usize) {
        let now = Micros::from_millis(10_000 + time);
        if pending.is_some_and(|ready| time >= ready) {
            holders += 1;
            pending = None;
        }
        let changed = time.saturating_sub(CHANGE.0) as f64 / (CHANGE.1 - CHANGE.0) as f64;
        let rate = load.rates.0 + (load.rates.1 - load.rates.0) * changed.min(1.0);
        let expected = rate * STEP as f64 / 1e3;
        queue = (queue - 0.7 * STEP as f64).max(0.0);
        for e in 0..load.entries {
            if !(time + e as u64 * 70).is_multiple_of(REPORT_INTERVAL) {
                continue;
            }
            for (key, requests) in entries[e].take_report(8) {
                for (i, other) in entries.iter_mut().enumerate() {
                    if i != e && !rng.random_bool(load.loss) {
                        other.record(&config, now, key, requests);
                    }
                }
            }
        }
        // At most one request in a step, as steps are short.
        if rng.random_bool(expected.min(1.0)) {
            let entry = &mut entries[rng.random_range(0..load.entries)];
            entry.record_own(&config, now, 7);
            let holders_now = Holders {
                count: holders,
                work: WORK,
            };
            let is_late = queue > COPY_COST;
            late += usize::from(is_late);
            let wanted = forecast && entry.needs_copy(&config, now, 7, &holders_now);
            if (wanted || is_late) && pending.is_none() {
                // The engine is the same for all entries, so a copy that is on its way isn't started elsewhere.
                pending = Some(time + COPY_TIME);
                copies += 1;
            } else {
                queue += WORK / holders as f64;
            }
        }
    }
    Outcome { copies, late }
}

/// Guards against copies that come only after a queue has built up, against copies of openings whose rate is steady or
/// falls, and against a copy on every engine.
#[test]
fn rising_opening_is_copied_late_or_a_steady_one_is_copied() {
    struct Case {
        name: &'static str,
        load: Load,
        copies: std::ops::RangeInclusive<usize>,
        /// Greatest number of late requests relative to a run without forecast, in all seeds together.
        late: f64,
    }
    let few = |rates| Load {
        entries: 4,
        loss: 0.0,
        rates,
    };
    #[rustfmt::skip]
    let cases = [
        Case { name: "rises", load: few((2.0, 30.0)), copies: 2..=8, late: 0.3 },
        Case { name: "rises at many entries", load: Load { entries: 31, loss: 0.0, rates: (2.0, 40.0) }, copies: 2..=10, late: 0.3 },
        Case { name: "rises at many entries, a third of the reports is lost", load: Load { entries: 31, loss: 0.33, rates: (2.0, 40.0) }, copies: 2..=10, late: 0.6 },
        Case { name: "falls", load: few((5.0, 1.0)), copies: 0..=2, late: 1.0 },
        Case { name: "steady, one holder suffices", load: few((2.0, 2.0)), copies: 0..=2, late: 1.0 },
        Case { name: "rises within what the holder serves", load: few((0.5, 2.0)), copies: 0..=2, late: 1.0 },
    ];
    for c in cases {
        let mut late = (0, 0);
        for seed in 1..=10 {
            let (without, with) = (run(&c.load, false, seed), run(&c.load, true, seed));
            assert!(
                c.copies.contains(&with.copies),
                "{} {seed}: {with:?}",
                c.name
            );
            late = (late.0 + without.late, late.1 + with.late);
        }
        println!("{}: {late:?}", c.name);
        assert!(
            late.1 as f64 <= late.0 as f64 * c.late,
            "{}: {late:?}",
            c.name
        );
    }
}

/// Guards against a copy without a holder to fetch from, and against memory that grows with the number of openings.
#[test]
fn opening_without_holder_is_copied_or_openings_are_kept_without_bound() {
    let config = Config {
        max_openings: 8,
        ..Config::default()
    };
    let mut openings = Openings::default();
    for i in 0..100_u64 {
        let now = Micros::from_millis(10_000 + i * 10);
        openings.record_own(&config, now, i);
        openings.record_own(&config, now, 1_000);
    }
    assert_eq!(openings.len(), 8);
    let now = Micros::from_millis(11_000);
    let holders = |count| Holders { count, work: WORK };
    assert!(openings.needs_copy(&config, now, 1_000, &holders(1)));
    assert!(!openings.needs_copy(&config, now, 1_000, &holders(0)));
}
