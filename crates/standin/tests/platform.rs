//! Tests of the platform stand-in: transactions, faults, budget, host list.

mod common;

use assert_matches::assert_matches;
use serde_json::{json, Value};
use standin::call::Call;
use standin::platform::{Budget, Faults, Platform};

use common::{eventually, serve};

fn transaction(at: std::net::SocketAddr, writes: &[(&str, u64)]) -> Call {
    let writes: Vec<_> = writes
        .iter()
        .map(|(key, version)| json!({"key": key, "version": version, "value": "v"}))
        .collect();
    Call::post(at, "/transact", json!({ "writes": writes }).to_string())
}

#[tokio::test]
async fn transaction_is_atomic() {
    struct Case {
        writes: &'static [(&'static str, u64)],
        status: u16,
        rows: [u64; 2],
    }
    let cases = [
        Case {
            writes: &[("a", 0), ("b", 0)],
            status: 200,
            rows: [1, 1],
        },
        Case {
            writes: &[("a", 1), ("b", 0)],
            status: 409,
            rows: [1, 1],
        },
        Case {
            writes: &[("a", 1)],
            status: 200,
            rows: [2, 1],
        },
    ];
    let platform = Platform::new();
    let at = serve(platform.router()).await;
    for c in cases {
        let (status, _) = transaction(at, c.writes).fetch().await.unwrap();
        assert_eq!(status, c.status);
        let rows = ["a", "b"].map(|k| platform.row(k).map_or(0, |r| r.0));
        assert_eq!(rows, c.rows);
    }
    assert_eq!(
        (platform.counts().writes, platform.counts().conflicts),
        (3, 1)
    );
}

/// The table is unavailable, or its answer is lost after the write took effect. A writer that takes
/// the second case for the first would run a request twice.
#[tokio::test]
async fn only_a_lost_answer_leaves_the_write_in_effect() {
    struct Case {
        faults: Faults,
        status: Option<u16>,
        effect: bool,
    }
    let (outage, paused) = (true, true);
    let cases = [
        Case {
            faults: Faults {
                outage,
                ..Faults::default()
            },
            status: Some(503),
            effect: false,
        },
        Case {
            faults: Faults {
                paused,
                ..Faults::default()
            },
            status: None,
            effect: false,
        },
        Case {
            faults: Faults {
                lose: 1,
                ..Faults::default()
            },
            status: None,
            effect: true,
        },
    ];
    for c in cases {
        let platform = Platform::new();
        let at = serve(platform.router()).await;
        platform.set_faults(c.faults);
        let call = tokio::spawn(transaction(at, &[("a", 0)]).fetch());
        match c.status {
            Some(s) => assert_eq!(call.await.unwrap().unwrap().0, s),
            None => {
                eventually(|| platform.arrived() == 1).await;
                eventually(|| platform.row("a").is_some() == c.effect).await;
                assert!(!call.is_finished());
            }
        }
        assert_eq!(platform.row("a").is_some(), c.effect);
    }
}

#[tokio::test]
async fn calls_beyond_the_budget_are_refused_with_retry_after() {
    let platform = Platform::with_budget(Budget {
        reads: 0,
        writes: 1_000,
    });
    let at = serve(platform.router()).await;
    let res = Call::get(at, "/table/a").send().await.unwrap();
    assert_eq!(res.status(), 503);
    assert_eq!(res.headers()["retry-after"], "1");
    let counts = platform.counts();
    assert_matches!((counts.reads, counts.refused), (0, 1));
    let (status, _) = transaction(at, &[("a", 0)]).fetch().await.unwrap();
    assert_eq!(status, 200);
    assert_matches!(platform.counts().seconds.as_slice(), [.., s] if s.writes == 1);
}

/// A host leaves, and the list of the platform shows it only later; in the meantime callers are
/// sent to a host that has left.
#[tokio::test]
async fn changes_of_the_host_list_are_shown_late() {
    let platform = Platform::new();
    let at = serve(platform.router()).await;
    let put = |list: Value| Call {
        method: "PUT",
        ..Call::post(at, "/hosts", list.to_string())
    };
    let hosts = || Call::get(at, "/hosts").json::<Value>();
    put(json!(["a"])).fetch().await.unwrap();
    assert_eq!(hosts().await.unwrap().1, json!(["a"]));
    platform.set_faults(Faults {
        hosts_lag_ms: 3_600_000,
        ..Faults::default()
    });
    put(json!(["b"])).fetch().await.unwrap();
    assert_eq!(hosts().await.unwrap().1, json!(["a"]));
}
