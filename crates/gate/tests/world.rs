//! What a process takes over from the store and from other processes.

use bytes::Bytes;
use gate::node::{ClusterState, OperatorRow, Source};
use model::{Micros, Position};

/// The key of a model's weights.
const KEY: &str = "version/lekha";

fn row(version: u64, weights: u64) -> OperatorRow {
    let value = format!(r#"{{"model":"lekha","version":{weights}}}"#);
    OperatorRow {
        at: Position::new(1, version),
        value: Bytes::from(value),
    }
}

/// Weights that were just named count as old at a process that has just started, which refuses callers.
#[test]
fn weights_from_the_feed_are_new_at_a_process_that_has_just_started() {
    struct Case {
        name: &'static str,
        source: Source,
        at: u64,
        old: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "first read", source: Source::Table, at: 1_000, old: true },
        Case { name: "read after a time", source: Source::Table, at: 60_000, old: false },
        Case { name: "feed", source: Source::Feed, at: 1_000, old: false },
        Case { name: "another process", source: Source::Peer, at: 1_000, old: true },
    ];
    for c in cases {
        let mut cluster = ClusterState::default();
        let now = Micros::from_millis(c.at);
        cluster.apply_row(now, KEY, row(7, 2), c.source);
        let outdated = cluster.announced_weights["lekha"]
            .outdated(now, 1)
            .expect("a newer version");
        assert_eq!(outdated > Micros::ZERO, c.old, "{}", c.name);
    }
}
