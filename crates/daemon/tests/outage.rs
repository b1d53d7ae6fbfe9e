//! The platform is away or slow for long: what goes on, what is refused, and how it comes back.

mod common;

use common::caller::Answer;
use common::{completion, quick, wait_for, words, Fleet, QUICKSTART};
use serde_json::json;
use standin::platform::Faults;

/// Requests of each kind while the platform is away.
const MANY: usize = 8;

fn record(fleet: &Fleet, name: &str) -> common::caller::Pending {
    let key = [("idempotency-key", name)];
    fleet.caller(0).begin("POST", "/records/votes", &key, name)
}

/// Told as not run, with a time to come back.
fn refused(what: &str, a: &Answer) {
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

fn goes_on(fleet: &Fleet, what: &str, n: usize) {
    let prompt = format!("{what} {n}");
    let answer = fleet
        .caller(n % 2)
        .post("/v1/completions", &completion(&prompt, 6, true));
    assert!(
        answer.whole(),
        "{prompt}: {} {}",
        answer.status,
        answer.text()
    );
    assert_eq!(answer.words(), words(&prompt, 6), "{prompt}");
    let quota = fleet.caller(n % 2).get("/quota/north");
    assert_eq!(quota.status, 200, "{prompt}: {}", quota.text());
}

fn change(fleet: &Fleet, mark: &str) -> common::caller::Pending {
    let text = format!("{QUICKSTART}\n# {mark}\n");
    let body = json!({"text": text, "operation": mark, "author": "test"}).to_string();
    fleet
        .operator(1)
        .begin("PUT", "/admin/configuration", &[], &body)
}

/// The platform refuses, hangs, or takes longer than anybody waits. Whoever asks for what may run
/// twice notices nothing. What may run once can't be claimed and is refused as not run, so that
/// its caller may send it again; operators are told why nothing can be changed.
#[test]
fn traffic_goes_on_and_what_needs_the_table_is_refused() {
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
            s.spawn(move || away(what, faults));
        }
    });
}

fn away(what: &str, faults: Faults) {
    let fleet = Fleet::start(2, 1, &quick());
    fleet.platform.set_faults(faults);
    let once: Vec<_> = (0..MANY)
        .map(|n| record(&fleet, &format!("{what} {n}")))
        .collect();
    let operator = change(&fleet, what);
    for n in 0..MANY {
        goes_on(&fleet, what, n);
    }
    for pending in once {
        refused(what, &pending.end());
    }
    let answer = operator.end();
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
    let fresh = record(&fleet, "afterwards").end();
    assert_eq!(fresh.status, 201, "{what}: {}", fresh.text());
    assert_eq!(fleet.service.bodies(), ["afterwards"], "{what}");
    let answer = change(&fleet, "afterwards").end();
    assert_eq!(answer.status, 200, "{what}: {}", answer.text());
}

/// The platform comes back after an outage. If every process, and every request that was refused
/// meanwhile, then asked it at once, it would go down again under them.
#[test]
fn recovery_is_no_stampede() {
    let fleet = Fleet::start(3, 3, &quick());
    let processes = 7;
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    fleet.platform.set_faults(outage);
    let before = fleet.platform.counts();
    for n in 0..MANY {
        refused("down", &record(&fleet, &format!("lost {n}")).end());
    }
    wait_for("the fleet to have tried several times", || {
        goes_on(&fleet, "down", 1);
        fleet.platform.arrived() >= before.arrived + MANY as u64 + 5
    });
    let tries = fleet.platform.arrived() - before.arrived;
    fleet.platform.set_faults(Faults::default());
    let healed = fleet.platform.counts();
    let since = healed.seconds.last().map_or(0, |s| s.at);
    wait_for("the fleet to read the table for some seconds", || {
        let seconds = fleet.platform.counts().seconds;
        seconds.last().is_some_and(|s| s.at > since + 3)
    });
    let answer = change(&fleet, "afterwards").end();
    assert_eq!(answer.status, 200, "{}", answer.text());
    let version = answer.json()["version"].as_u64().expect("a version");
    (0..3).for_each(|e| fleet.wait_version(e, version));
    let after = fleet.platform.counts();
    let late = after.seconds.iter().filter(|s| s.at > since);
    let most = late.map(|s| s.reads).max();
    println!("{tries} calls while down; then at most {most:?} reads in a second by {processes} processes");
    assert!(
        most <= Some(processes),
        "{most:?} reads in one second: {:?}",
        after.seconds
    );
    // The operator's change is the only write: nothing that was refused is made up for.
    assert_eq!(after.writes, healed.writes + 1);
    assert!(
        fleet.service.bodies().is_empty(),
        "{:?}",
        fleet.service.bodies()
    );
}
