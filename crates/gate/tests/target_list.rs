//! The list of targets: reads of the whole list, and the changes that are passed on.

use bytes::Bytes;
use gate::target_list::TargetList;
use model::{Micros, Position};
use platform::{Row, Rows};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

fn row(key: &str, at: Position) -> Row {
    Row {
        key: key.to_owned(),
        value: Some(Bytes::from_static(b"{}")),
        at,
    }
}

fn keys(list: &TargetList) -> Vec<&str> {
    list.rows().map(|r| r.key.as_str()).collect()
}

/// Guards against processes that get only changes and miss a deleted target, and against sending
/// the whole list at each change.
#[test]
fn changes_since_a_position_give_the_same_list_as_a_full_read() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store: Vec<Row> = Vec::new();
        let (mut era, mut version) = (1, 10_u64);
        let (mut reader, mut other) = (TargetList::default(), TargetList::default());
        let (mut total_rows, mut sent_rows) = (0, 0);
        for step in 0..300_u64 {
            let now = Micros::from_millis(600 * step);
            if rng.random_bool(0.01) {
                era += 1;
                version = version.saturating_sub(5).max(1);
                store.iter_mut().for_each(|r| r.at.era = era);
                store.retain(|r| r.at.version <= version);
            }
            for _ in 0..rng.random_range(0..3) {
                version += 1;
                let key = format!("t{}", rng.random_range(0..40));
                store.retain(|r| r.key != key);
                if rng.random_bool(0.6) {
                    store.push(row(&key, Position::new(era, version)));
                }
            }
            let read = Rows {
                rows: store.clone(),
                at: Position::new(era, version),
                clock_ms: 0,
            };
            reader.replace(now, read);
            // The other process reads at random times, and not at all for long periods.
            if !rng.random_bool(if step % 100 < 60 { 0.4 } else { 0.0 }) {
                continue;
            }
            let changes = reader.since(other.position);
            let only_changes = changes.is_some();
            let rows = match changes {
                Some(rows) => rows.cloned().collect(),
                None => reader.rows().cloned().collect::<Vec<_>>(),
            };
            total_rows += store.len();
            sent_rows += rows.len();
            let rows = Rows {
                rows,
                at: reader.position,
                clock_ms: 0,
            };
            match only_changes {
                true => other.merge(now, rows),
                false => other.replace(now, rows),
            }
            assert_eq!(keys(&other), keys(&reader), "seed {seed}, step {step}");
        }
        assert!(
            2 * sent_rows < total_rows,
            "seed {seed}: {sent_rows} of {total_rows} rows"
        );
    }
}

/// Guards against losing changes that were made while a feed was silent.
#[test]
fn changes_of_a_large_list_are_read_with_an_overlap_of_some_seconds() {
    struct Case {
        name: &'static str,
        rows: usize,
        last_read: u64,
        expected: Option<u64>,
    }
    let cases = [
        Case {
            name: "one call reads the whole list",
            rows: 400,
            last_read: 9_000,
            expected: None,
        },
        Case {
            name: "several calls read the whole list",
            rows: 600,
            last_read: 9_000,
            expected: Some(6),
        },
        Case {
            name: "process just started",
            rows: 600,
            last_read: 2_000,
            expected: None,
        },
    ];
    for c in cases {
        let mut list = TargetList::default();
        for (version, at) in (0..).zip((0..=c.last_read).step_by(1_000)) {
            let at = Micros::from_millis(at);
            let position = Position::new(1, version);
            let rows = (0..c.rows).map(|i| row(&format!("t{i}"), Position::new(1, 0)));
            let rows = Rows {
                rows: rows.collect(),
                at: position,
                clock_ms: 0,
            };
            list.replace(at, rows);
        }
        let from = list.changes_from(Micros::from_millis(c.last_read));
        assert_eq!(from.map(|p| p.version), c.expected, "{}", c.name);
    }
}

/// Guards against a late answer that replaces a row by an older one.
#[test]
fn older_rows_do_not_replace_newer_ones() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut list = TargetList::default();
    let all_rows: Vec<_> = (1..30)
        .map(|v| row(&format!("t{}", v % 5), Position::new(1, v)))
        .collect();
    list.replace(Micros::ZERO, Rows::default());
    for _ in 0..200 {
        let some = all_rows.iter().cloned().choose_multiple(&mut rng, 3);
        let rows = Rows {
            rows: some,
            at: Position::new(1, 29),
            clock_ms: 0,
        };
        list.merge(Micros::from_secs(1), rows);
    }
    let versions: Vec<_> = list.rows().map(|r| r.at.version).collect();
    assert_eq!(versions, [25, 26, 27, 28, 29]);
}
