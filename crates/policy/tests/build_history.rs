//! Which builds a pool has had, from what a process has seen and what the store keeps.

use std::collections::BTreeMap;

use model::Micros;
use policy::build_history::{History, Stored};
use policy::stream_origin::BuildKey;

const POOL: &str = "engines";
const OLD: BuildKey = BuildKey(1);
const NEW: BuildKey = BuildKey(2);
/// The store's clock at the start of the process.
const CLOCK: u64 = 1_000_000;

fn at(s: u64) -> Micros {
    Micros::from_secs(s)
}

fn stored(builds: &[(BuildKey, Option<u64>)]) -> Stored {
    let builds: BTreeMap<_, _> = builds.iter().copied().collect();
    Stored([(POOL.to_owned(), builds)].into())
}

#[test]
fn pool_has_a_sole_build_only_if_neither_the_list_nor_the_store_names_another_one() {
    // Guards against a process that knows only what it has seen since its start.
    struct Case {
        name: &'static str,
        /// Builds listed at one second.
        listed: &'static [BuildKey],
        /// What the store keeps; `None` if that isn't known.
        stored: Option<Stored>,
        /// Seconds after the start of the process.
        now: u64,
        sole: Option<BuildKey>,
    }
    let left = |s: u64| Some(CLOCK + s * 1_000);
    #[rustfmt::skip]
    let cases = [
        Case { name: "one build", listed: &[NEW], stored: Some(stored(&[(NEW, None)])), now: 2, sole: Some(NEW) },
        Case { name: "not yet stored", listed: &[NEW], stored: Some(Stored::default()), now: 2, sole: Some(NEW) },
        Case { name: "store unknown", listed: &[NEW], stored: None, now: 2, sole: None },
        Case { name: "two listed", listed: &[OLD, NEW], stored: Some(stored(&[(NEW, None)])), now: 2, sole: None },
        Case { name: "another one is stored", listed: &[NEW], stored: Some(stored(&[(OLD, None), (NEW, None)])), now: 2, sole: None },
        Case { name: "another one has left", listed: &[NEW], stored: Some(stored(&[(OLD, left(0)), (NEW, None)])), now: 2, sole: None },
        Case { name: "another one left long ago", listed: &[NEW], stored: Some(stored(&[(OLD, left(0)), (NEW, None)])), now: 120, sole: Some(NEW) },
        Case { name: "none listed", listed: &[], stored: Some(stored(&[(OLD, left(0))])), now: 2, sole: Some(OLD) },
        Case { name: "none known", listed: &[], stored: Some(Stored::default()), now: 2, sole: None },
    ];
    for c in cases {
        let mut history = History::default();
        let listed = |n: u64| c.listed.iter().map(move |b| (POOL, *b, n));
        for second in [1, c.now] {
            history.record(at(second), listed(second).map(|(p, b, _)| (p, b)));
        }
        let clock = CLOCK + c.now * 1_000;
        let sole = history.sole(at(c.now), clock, c.stored.as_ref(), POOL);
        assert_eq!(sole, c.sole, "{}", c.name);
    }
}

#[test]
fn row_changes_when_a_build_appears_leaves_or_is_forgotten() {
    // Guards against builds that are never kept or never dropped, and against writes without a change.
    let mut history = History::default();
    let mut row = Stored::default();
    assert_eq!(history.update(CLOCK, &row), None, "before the first list");
    let mut writes = Vec::new();
    for second in 1..200 {
        let builds: &[BuildKey] = match second {
            ..10 => &[OLD],
            10..20 => &[OLD, NEW],
            _ => &[NEW],
        };
        history.record(at(second), builds.iter().map(|b| (POOL, *b)));
        let clock = CLOCK + second * 1_000;
        if let Some(updated) = history.update(clock, &row) {
            row = updated;
            writes.push((second, row.clone()));
        }
    }
    let left = Some(CLOCK + 24_000);
    let expected = [
        (1, stored(&[(OLD, None)])),
        (10, stored(&[(OLD, None), (NEW, None)])),
        // The last list with the build was that of second 19.
        (24, stored(&[(OLD, left), (NEW, None)])),
        (144, stored(&[(NEW, None)])),
    ];
    assert_eq!(writes, expected);
}

#[test]
fn time_of_leaving_that_lies_ahead_ends_with_the_memory() {
    // Guards against a row of another writer that keeps a pool from having a sole build for good.
    for ahead in [CLOCK + 3_600_000, u64::MAX] {
        let mut kept = stored(&[(OLD, Some(ahead)), (NEW, None)]);
        let mut history = History::default();
        for second in 1..=130 {
            history.record(at(second), [(POOL, NEW)]);
            let clock = CLOCK + second * 1_000;
            kept = history.update(clock, &kept).unwrap_or(kept);
        }
        let clock = CLOCK + 130_000;
        assert_eq!(history.sole(at(130), clock, Some(&kept), POOL), Some(NEW));
    }
}
