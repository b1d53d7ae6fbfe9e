//! A long outage or slowness of the platform: what is served, what is refused, and the recovery.

mod common;

use common::caller::Answer;
use common::{completion, quick, wait_for, words, Fleet, QUICKSTART};
use serde_json::json;
use standin::platform::Faults;

/// Number of requests of each kind during an outage.
const REQUESTS: usize = 8;

/// Sends a record, which needs a claim in the table.
fn send_record(fleet: &Fleet, name: &str) -> common::caller::Pending {
    let key = [("idempotency-key", name)];
    fleet.caller(0).begin("POST", "/records/votes", &key, name)
}

/// Asserts a refusal because of the platform, reported as not run and with a time for a retry.
fn assert_platform_down(what: &str, a: &Answer) {
    assert_eq!(
        (a.status, a.code().as_str()),
        (503, "platform_down"),
        "{what}: {}",
        a.text()
    );
    assert_eq!(a.header("x-outcome"), Some("not-run"), "{what}");
    let retry = a.header("retry-after").and_then(|t| t.parse::<u64>().ok());
    assert!(retry >= Some(1), "{what}: {retry:?}");
}

/// Asserts that a completion and a read are served.
fn assert_serves(fleet: &Fleet, what: &str, n: usize) {
    let prompt = format!("{what} {n}");
    let answer = fleet
        .caller(n % 2)
        .post("/v1/completions", &completion(&prompt, 6, true));
    assert!(
        answer.is_complete_stream(),
        "{prompt}: {} {}",
        answer.status,
        answer.text()
    );
    assert_eq!(answer.words(), words(&prompt, 6), "{prompt}");
    let quota = fleet.caller(n % 2).get("/quota/north");
    assert_eq!(quota.status, 200, "{prompt}: {}", quota.text());
}

/// Sends an operator's change of the configuration through the second entry.
fn send_change(fleet: &Fleet, mark: &str) -> common::caller::Pending {
    let text = format!("{QUICKSTART}\n# {mark}\n");
    let body = json!({"text": text, "operation": mark, "author": "test"}).to_string();
    fleet
        .operator(1)
        .begin("PUT", "/admin/configuration", &[], &body)
}

/// Guards against failing idempotent requests, running a record without a claim, or accepting a
/// change, while the platform refuses calls, hangs, or answers after every timeout.
#[test]
fn outage_refuses_only_what_needs_the_table() {
    let cases = [
        (
            "down",
            Faults {
                outage: true,
                ..Faults::default()
            },
        ),
        (
            "hanging",
            Faults {
                paused: true,
                ..Faults::default()
            },
        ),
        (
            "slow",
            Faults {
                delay_ms: 4_000,
                ..Faults::default()
            },
        ),
    ];
    std::thread::scope(|s| {
        for (what, faults) in cases {
            s.spawn(move || run_case(what, faults));
        }
    });
}

fn run_case(what: &str, faults: Faults) {
    let fleet = Fleet::start(2, 1, &quick());
    fleet.platform.set_faults(faults);
    let records: Vec<_> = (0..REQUESTS)
        .map(|n| send_record(&fleet, &format!("{what} {n}")))
        .collect();
    let change = send_change(&fleet, what);
    for n in 0..REQUESTS {
        assert_serves(&fleet, what, n);
    }
    for pending in records {
        assert_platform_down(what, &pending.end());
    }
    let answer = change.end();
    assert_eq!(
        (answer.status, answer.code().as_str()),
        (503, "platform_down"),
        "{what}"
    );
    let history = fleet.operator(0).get("/admin/history");
    assert_eq!(
        (history.status, history.code().as_str()),
        (503, "platform_down"),
        "{what}"
    );
    let shown = fleet.operator(0).get("/admin/configuration").json();
    assert_eq!(shown["text"], QUICKSTART, "{what}");
    assert!(
        fleet.service.bodies().is_empty(),
        "{what}: {:?}",
        fleet.service.bodies()
    );

    fleet.platform.set_faults(Faults::default());
    let new_record = send_record(&fleet, "afterwards").end();
    assert_eq!(new_record.status, 201, "{what}: {}", new_record.text());
    assert_eq!(fleet.service.bodies(), ["afterwards"], "{what}");
    let answer = send_change(&fleet, "afterwards").end();
    assert_eq!(answer.status, 200, "{what}: {}", answer.text());
}

/// Guards against overloading the platform after an outage, if all processes call it at once or if
/// requests refused during the outage are sent to it later.
#[test]
fn recovery_causes_no_burst_of_calls_to_the_platform() {
    let fleet = Fleet::start(3, 3, &quick());
    let processes = 7;
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    fleet.platform.set_faults(outage);
    let before = fleet.platform.counts();
    for n in 0..REQUESTS {
        assert_platform_down("down", &send_record(&fleet, &format!("lost {n}")).end());
    }
    wait_for(
        "the fleet to have called the platform several times",
        || {
            assert_serves(&fleet, "down", 1);
            fleet.platform.arrived() >= before.arrived + REQUESTS as u64 + 5
        },
    );
    let calls = fleet.platform.arrived() - before.arrived;
    fleet.platform.set_faults(Faults::default());
    let at_recovery = fleet.platform.counts();
    let since = at_recovery.seconds.last().map_or(0, |s| s.at);
    wait_for("the fleet to read the table for some seconds", || {
        let seconds = fleet.platform.counts().seconds;
        seconds.last().is_some_and(|s| s.at > since + 3)
    });
    let answer = send_change(&fleet, "afterwards").end();
    assert_eq!(answer.status, 200, "{}", answer.text());
    let version = answer.json()["version"].as_u64().expect("a version");
    (0..3).for_each(|e| fleet.wait_version(e, version));
    let after = fleet.platform.counts();
    let later = after.seconds.iter().filter(|s| s.at > since);
    let most = later.map(|s| s.reads).max();
    println!("{calls} calls while down; then at most {most:?} reads in a second by {processes} processes");
    assert!(
        most <= Some(processes),
        "{most:?} reads in one second: {:?}",
        after.seconds
    );
    // The operator's change is the only write: no refused request is run afterwards.
    assert_eq!(after.writes, at_recovery.writes + 1);
    assert!(
        fleet.service.bodies().is_empty(),
        "{:?}",
        fleet.service.bodies()
    );
}
