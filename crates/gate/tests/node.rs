//! Rows that a process applies from the store and from other processes.

use bytes::Bytes;
use gate::node::{ClusterState, OperatorRow, Source};
use model::{Micros, Position};

/// Key of the row that announces the weights of the test's model.
const KEY: &str = "version/lekha";

fn row(version: u64, weights: u64) -> OperatorRow {
    let value = format!(r#"{{"model":"lekha","version":{weights}}}"#);
    OperatorRow {
        at: Position::new(1, version),
        value: Bytes::from(value),
    }
}

/// Guards against regarding just announced weights as announced long ago at a newly started
/// process, which would then refuse callers.
#[test]
fn weights_from_the_feed_are_new_at_a_newly_started_process() {
    struct Case {
        name: &'static str,
        source: Source,
        at: u64,
        assumed_old: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "first read of the table", source: Source::Table, at: 1_000, assumed_old: true },
        Case { name: "later read of the table", source: Source::Table, at: 60_000, assumed_old: false },
        Case { name: "feed", source: Source::Feed, at: 1_000, assumed_old: false },
        Case { name: "another process", source: Source::Peer, at: 1_000, assumed_old: true },
    ];
    for c in cases {
        let mut cluster = ClusterState::default();
        let now = Micros::from_millis(c.at);
        cluster.apply_row(now, KEY, row(7, 2), c.source);
        let outdated = cluster.announced_weights["lekha"]
            .outdated(now, 1)
            .expect("a newer version");
        assert_eq!(outdated > Micros::ZERO, c.assumed_old, "{}", c.name);
    }
}
