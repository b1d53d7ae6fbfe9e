//! Reuse of idle connections.

use model::Micros;
use policy::connection_reuse::max_idle;

/// Connections that an entry opens for requests at the given interval to one target.
fn opened(interval: Micros, idle_timeout: Micros, may_rerun: bool) -> usize {
    let reused = interval < max_idle(idle_timeout, may_rerun);
    let requests = 100;
    if reused {
        1
    } else {
        requests
    }
}

#[test]
fn entries_with_a_request_every_two_seconds_keep_their_connections() {
    // Guards against a new connection for every other request in a fleet where each entry rarely
    // reaches the same target, and against a request that is lost on a connection closed long ago.
    struct Case {
        name: &'static str,
        interval_ms: u64,
        idle_timeout_ms: u64,
        may_rerun: bool,
        opened: usize,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "resumable, each 2.2 s", interval_ms: 2_200, idle_timeout_ms: 4_000, may_rerun: true, opened: 1 },
        Case { name: "runs once, each 2.2 s", interval_ms: 2_200, idle_timeout_ms: 4_000, may_rerun: false, opened: 100 },
        Case { name: "runs once, each second", interval_ms: 1_000, idle_timeout_ms: 4_000, may_rerun: false, opened: 1 },
        Case { name: "runs once, target closes soon", interval_ms: 1_000, idle_timeout_ms: 1_000, may_rerun: false, opened: 100 },
        Case { name: "resumable, close to the timeout", interval_ms: 3_000, idle_timeout_ms: 4_000, may_rerun: true, opened: 100 },
    ];
    for c in cases {
        let [interval, timeout] = [c.interval_ms, c.idle_timeout_ms].map(Micros::from_millis);
        assert_eq!(
            opened(interval, timeout, c.may_rerun),
            c.opened,
            "{}",
            c.name
        );
    }
}
