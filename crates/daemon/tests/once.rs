//! A request that may run only once runs at most once, and its caller is told the truth of it.
//!
//! The service's own log is the judge: a record is in it once or not at all, and never missing if
//! its caller was told that it was written.

mod common;

use std::time::Duration;

use common::caller::Answer;
use common::{wait_for, Caller, Fleet, StandIn};
use standin::platform;
use standin::service;

const KEY: &str = "idempotency-key";

/// Entries and two sidecars before one service, no engines.
fn fleet(entries: usize) -> Fleet {
    let mut fleet = Fleet::start(entries, 0, &common::quick());
    fleet.add_spare();
    fleet
}

fn write(caller: &Caller, key: &str, body: &str) -> Answer {
    caller.send("POST", "/records/vote", &[(KEY, key)], body)
}

/// What a caller may be told of a record: it is written, or it was attempted before.
fn assert_known(a: &Answer, what: &str) {
    let known = matches!(
        (a.status, a.code().as_str()),
        (201, _) | (409, "already_attempted")
    );
    assert!(known, "{what}: {} {}", a.status, a.text());
}

/// A client sends the same record through two entries at the same moment, as one does whose first
/// connection seems dead. Neither entry sees the other; if both passed it on, one voter would
/// count twice.
#[test]
fn same_key_through_two_entries_runs_once() {
    let fleet = fleet(2);
    for n in 0..20 {
        let (key, body) = (format!("key {n}"), format!("vote {n}"));
        let send = |entry: usize| {
            let caller = fleet.caller(entry);
            let (key, body) = (key.clone(), body.clone());
            std::thread::spawn(move || write(&caller, &key, &body))
        };
        let both = [send(0), send(1)].map(|t| t.join().expect("caller"));
        assert_eq!(fleet.times(&body), 1, "{n}");
        both.iter().for_each(|a| assert_known(a, &body));
        let written: Vec<_> = both.iter().filter(|a| a.status == 201).collect();
        assert!(!written.is_empty(), "nobody was told of {body}");
        assert!(written.iter().all(|a| a.text() == written[0].text()));
    }
}

/// A client uses one key for two different records, or two clients of a team happen on the same
/// one. The second must not get the first one's answer: it would believe its record written.
#[test]
fn key_of_another_record_gives_no_false_answer() {
    let fleet = fleet(1);
    let caller = fleet.caller(0);
    assert_eq!(write(&caller, "one key", "first").status, 201);
    let other = write(&caller, "one key", "second");
    assert_eq!(
        (other.status, fleet.times("second")),
        (409, 0),
        "{}",
        other.text()
    );
    assert_eq!(other.code(), "already_attempted");
    let again = write(&caller, "one key", "first");
    assert_eq!(
        (again.status, fleet.times("first")),
        (201, 1),
        "{}",
        again.text()
    );
}

/// Sidecars are paused at some moment around their claim, and their caller sends the record again
/// through another entry while one of them sleeps and after it woke. A sleeper that wakes with a
/// claim in hand must not run what its caller was told did not run, nor run it a second time.
#[test]
fn pause_around_the_claim_runs_nothing_twice() {
    let run = |step: u64| {
        let mut fleet = fleet(2);
        fleet.platform.set_faults(platform::Faults {
            delay_ms: 200,
            ..platform::Faults::default()
        });
        let deadline = ("x-deadline-ms", "1200");
        let headers = [(KEY, "paused"), deadline];
        let (first, second) = (fleet.caller(0), fleet.caller(1));
        let pending = first.begin("POST", "/records/vote", &headers, "vote");
        // Before, in and after the platform's answer, whichever the step hits.
        std::thread::sleep(Duration::from_millis(40 * step));
        fleet.fieldops.signal("STOP");
        fleet.spares[0].signal("STOP");
        let mut answers = vec![pending.end()];
        let (wakes, sleeps) = match step % 2 {
            0 => (&fleet.fieldops, &fleet.spares[0]),
            _ => (&fleet.spares[0], &fleet.fieldops),
        };
        wakes.signal("CONT");
        answers.push(second.send("POST", "/records/vote", &headers, "vote"));
        sleeps.signal("CONT");
        answers.push(first.send("POST", "/records/vote", &[(KEY, "paused")], "vote"));
        // A planned stop ends after all that a sidecar has taken.
        fleet.fieldops.stop();
        fleet.spares[0].stop();
        assert!(fleet.fieldops.wait() && fleet.spares[0].wait());

        let times = fleet.times("vote");
        let told: Vec<_> = answers
            .iter()
            .map(|a| (a.status, a.code(), a.header("x-outcome").map(str::to_owned)))
            .collect();
        assert!(times <= 1, "step {step}: ran {times} times, {told:?}");
        let written = answers.iter().any(|a| a.status == 201);
        assert!(!written || times == 1, "step {step}: never ran, {told:?}");
        let denied = told.iter().all(|t| t.2.as_deref() == Some("not-run"));
        assert!(!denied || times == 0, "step {step}: ran, {told:?}");
    };
    std::thread::scope(|s| {
        for step in 0..8 {
            s.spawn(move || run(step));
        }
    });
}

/// The platform carries out the claim's write, and its answer is lost. Whoever took that for a
/// failure would refuse for ever a record that nobody has run, or run it without a claim.
#[test]
fn lost_answer_to_the_claim_is_read_back() {
    let fleet = fleet(1);
    fleet.platform.set_faults(platform::Faults {
        lose: 1,
        ..platform::Faults::default()
    });
    let answer = write(&fleet.caller(0), "lost", "vote");
    assert_eq!(answer.status, 201, "{}", answer.text());
    assert_eq!(fleet.times("vote"), 1);
    let again = write(&fleet.caller(0), "lost", "vote");
    assert_eq!((again.status, fleet.times("vote")), (201, 1));
}

/// The claim's write takes effect, its answer is lost, and then the platform is away, so that
/// nobody can tell whose the claim is. The record is refused as not run, and it did not run; who
/// sends it again learns that it was attempted.
#[test]
fn claim_that_cannot_be_settled_is_refused_as_not_run() {
    let fleet = fleet(1);
    let before = fleet.platform.counts().writes;
    fleet.platform.set_faults(platform::Faults {
        lose: 1,
        ..platform::Faults::default()
    });
    let caller = fleet.caller(0);
    let pending = caller.begin("POST", "/records/vote", &[(KEY, "unsettled")], "vote");
    wait_for("the claim's write", || {
        fleet.platform.counts().writes > before
    });
    fleet.platform.set_faults(platform::Faults {
        outage: true,
        ..platform::Faults::default()
    });
    assert_refused(&pending.end());
    assert_eq!(fleet.times("vote"), 0);
    fleet.platform.set_faults(platform::Faults::default());
    let again = write(&caller, "unsettled", "vote");
    assert_eq!(again.status, 409, "{}", again.text());
    assert_eq!(fleet.times("vote"), 0);
}

/// The service dies after it ran a record and before it answered. Nobody knows how far it came:
/// the caller is told so, and no second attempt runs the record again.
#[test]
fn target_dead_after_hand_over_is_not_tried_again() {
    let mut fleet = fleet(2);
    fleet.service.set_faults(service::Faults {
        hang_after: 1,
        ..service::Faults::default()
    });
    let pending = fleet
        .caller(0)
        .begin("POST", "/records/vote", &[(KEY, "dead")], "vote");
    wait_for("the record to be run", || fleet.times("vote") == 1);
    fleet.service_at.kill();
    let answer = pending.end();
    assert_eq!(answer.status, 502, "{}", answer.text());
    assert_eq!(answer.header("x-outcome"), Some("unknown"));

    fleet.service_at = StandIn::start(fleet.service_at.at, fleet.service.router());
    let mut again = Answer::default();
    wait_for("the service to be back", || {
        again = write(&fleet.caller(1), "dead", "vote");
        again.code() != "no_target"
    });
    assert_eq!(again.code(), "already_attempted", "{}", again.text());
    assert_eq!(again.header("x-outcome"), Some("unknown"));
    assert_eq!(fleet.times("vote"), 1);
}

/// The platform is down, so that no claim can be had. The record is refused at once and truly not
/// run, with the time to come back, and it is written once when the platform is back.
#[test]
fn platform_down_refuses_as_not_run() {
    let fleet = fleet(1);
    fleet.platform.set_faults(platform::Faults {
        outage: true,
        ..platform::Faults::default()
    });
    assert_refused(&write(&fleet.caller(0), "down", "vote"));
    assert_eq!(fleet.times("vote"), 0);
    fleet.platform.set_faults(platform::Faults::default());
    let answer = write(&fleet.caller(0), "down", "vote");
    assert_eq!(
        (answer.status, fleet.times("vote")),
        (201, 1),
        "{}",
        answer.text()
    );
}

fn assert_refused(answer: &Answer) {
    assert_eq!(answer.status, 503, "{}", answer.text());
    assert_eq!(answer.code(), "platform_down");
    assert_eq!(answer.header("x-outcome"), Some("not-run"));
    assert!(answer.header("retry-after").is_some());
}
