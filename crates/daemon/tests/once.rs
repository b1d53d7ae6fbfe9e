//! A request that may run only once runs at most once, and its caller receives the true outcome.
//!
//! The checks read the service's own log: it holds a record at most once, and holds each record
//! that was confirmed to its caller.

mod common;

use std::time::Duration;

use common::caller::Answer;
use common::{wait_for, Caller, Fleet, StandIn};
use standin::platform;
use standin::service;

const KEY_HEADER: &str = "idempotency-key";

/// Starts entries, two sidecars of one service, and no engines.
fn start_fleet(entries: usize) -> Fleet {
    let mut fleet = Fleet::start(entries, 0, &common::quick());
    fleet.add_service_sidecar();
    fleet
}

/// Sends a record with an idempotency key.
fn write(caller: &Caller, key: &str, body: &str) -> Answer {
    caller.send("POST", "/records/vote", &[(KEY_HEADER, key)], body)
}

/// Asserts that the answer reports the record as written or as already attempted.
fn assert_written_or_attempted(a: &Answer, what: &str) {
    let allowed = matches!(
        (a.status, a.code().as_str()),
        (201, _) | (409, "already_attempted")
    );
    assert!(allowed, "{what}: {} {}", a.status, a.text());
}

/// Guards against running a record twice when a client sends it through two entries at once:
/// neither entry sees the other one's request, and a vote would count twice.
#[test]
fn same_key_through_two_entries_runs_once() {
    let fleet = start_fleet(2);
    for n in 0..20 {
        let (key, body) = (format!("key {n}"), format!("vote {n}"));
        let send = |entry: usize| {
            let caller = fleet.caller(entry);
            let (key, body) = (key.clone(), body.clone());
            std::thread::spawn(move || write(&caller, &key, &body))
        };
        let both = [send(0), send(1)].map(|t| t.join().expect("caller"));
        assert_eq!(fleet.run_count(&body), 1, "{n}");
        both.iter()
            .for_each(|a| assert_written_or_attempted(a, &body));
        let written: Vec<_> = both.iter().filter(|a| a.status == 201).collect();
        assert!(!written.is_empty(), "no answer reports {body} as written");
        assert!(written.iter().all(|a| a.text() == written[0].text()));
    }
}

/// Guards against answering a record with the stored answer of another one that has the same key:
/// the second record would seem written although it isn't.
#[test]
fn reused_key_does_not_return_the_answer_of_another_record() {
    let fleet = start_fleet(1);
    let caller = fleet.caller(0);
    assert_eq!(write(&caller, "one key", "first").status, 201);
    let other = write(&caller, "one key", "second");
    assert_eq!(
        (other.status, fleet.run_count("second")),
        (409, 0),
        "{}",
        other.text()
    );
    assert_eq!(other.code(), "already_attempted");
    let again = write(&caller, "one key", "first");
    assert_eq!(
        (again.status, fleet.run_count("first")),
        (201, 1),
        "{}",
        again.text()
    );
}

/// Guards against a sidecar that is paused around its claim, resumes with the claim, and runs a
/// record that was reported as not run or that ran elsewhere after the caller had sent it again.
#[test]
fn sidecar_paused_around_its_claim_runs_no_record_twice() {
    let run = |step: u64| {
        let mut fleet = start_fleet(2);
        fleet.platform.set_faults(platform::Faults {
            delay_ms: 200,
            ..platform::Faults::default()
        });
        let deadline = ("x-deadline-ms", "1200");
        let headers = [(KEY_HEADER, "paused"), deadline];
        let (first, second) = (fleet.caller(0), fleet.caller(1));
        let pending = first.begin("POST", "/records/vote", &headers, "vote");
        // The steps put the pause before, during or after the platform's answer to the claim.
        std::thread::sleep(Duration::from_millis(40 * step));
        fleet.fieldops.signal("STOP");
        fleet.extra_sidecars[0].signal("STOP");
        let mut answers = vec![pending.end()];
        let (resumed_first, resumed_last) = match step % 2 {
            0 => (&fleet.fieldops, &fleet.extra_sidecars[0]),
            _ => (&fleet.extra_sidecars[0], &fleet.fieldops),
        };
        resumed_first.signal("CONT");
        answers.push(second.send("POST", "/records/vote", &headers, "vote"));
        resumed_last.signal("CONT");
        answers.push(first.send("POST", "/records/vote", &[(KEY_HEADER, "paused")], "vote"));
        // A graceful stop ends only after the sidecar has finished all requests that it accepted.
        fleet.fieldops.stop();
        fleet.extra_sidecars[0].stop();
        assert!(fleet.fieldops.wait() && fleet.extra_sidecars[0].wait());

        let times = fleet.run_count("vote");
        let outcomes: Vec<_> = answers
            .iter()
            .map(|a| (a.status, a.code(), a.header("x-outcome").map(str::to_owned)))
            .collect();
        assert!(times <= 1, "step {step}: ran {times} times, {outcomes:?}");
        let written = answers.iter().any(|a| a.status == 201);
        assert!(
            !written || times == 1,
            "step {step}: never ran, {outcomes:?}"
        );
        let all_not_run = outcomes.iter().all(|t| t.2.as_deref() == Some("not-run"));
        assert!(!all_not_run || times == 0, "step {step}: ran, {outcomes:?}");
    };
    std::thread::scope(|s| {
        for step in 0..8 {
            s.spawn(move || run(step));
        }
    });
}

/// Guards against treating a claim as failed because the answer to its write was lost: the record
/// would be refused for ever though it never ran, or would run without a claim.
#[test]
fn claim_is_read_back_when_the_answer_to_its_write_is_lost() {
    let fleet = start_fleet(1);
    fleet.platform.set_faults(platform::Faults {
        lose: 1,
        ..platform::Faults::default()
    });
    let answer = write(&fleet.caller(0), "lost", "vote");
    assert_eq!(answer.status, 201, "{}", answer.text());
    assert_eq!(fleet.run_count("vote"), 1);
    let again = write(&fleet.caller(0), "lost", "vote");
    assert_eq!((again.status, fleet.run_count("vote")), (201, 1));
}

/// Guards against running a record whose claim has an unknown owner: the answer to the claim's
/// write was lost, and the platform is down when the claim is to be read.
#[test]
fn record_whose_claim_cannot_be_read_is_refused_as_not_run() {
    let fleet = start_fleet(1);
    let before = fleet.platform.counts().writes;
    fleet.platform.set_faults(platform::Faults {
        lose: 1,
        ..platform::Faults::default()
    });
    let caller = fleet.caller(0);
    let pending = caller.begin(
        "POST",
        "/records/vote",
        &[(KEY_HEADER, "unsettled")],
        "vote",
    );
    wait_for("the claim's write", || {
        fleet.platform.counts().writes > before
    });
    fleet.platform.set_faults(platform::Faults {
        outage: true,
        ..platform::Faults::default()
    });
    assert_platform_down(&pending.end());
    assert_eq!(fleet.run_count("vote"), 0);
    fleet.platform.set_faults(platform::Faults::default());
    let again = write(&caller, "unsettled", "vote");
    assert_eq!(again.status, 409, "{}", again.text());
    assert_eq!(fleet.run_count("vote"), 0);
}

/// Guards against running a record again, or reporting it as not run, when the service dies after
/// it ran the record and before it answered.
#[test]
fn record_is_not_retried_when_its_target_dies_after_dispatch() {
    let mut fleet = start_fleet(2);
    fleet.service.set_faults(service::Faults {
        hang_after: 1,
        ..service::Faults::default()
    });
    let pending = fleet
        .caller(0)
        .begin("POST", "/records/vote", &[(KEY_HEADER, "dead")], "vote");
    wait_for("the record to be run", || fleet.run_count("vote") == 1);
    fleet.service_at.kill();
    let answer = pending.end();
    assert_eq!(answer.status, 502, "{}", answer.text());
    assert_eq!(answer.header("x-outcome"), Some("unknown"));

    fleet.service_at = StandIn::start(fleet.service_at.at, fleet.service.router());
    let mut again = Answer::default();
    wait_for("the service to be a target again", || {
        again = write(&fleet.caller(1), "dead", "vote");
        again.code() != "no_target"
    });
    assert_eq!(again.code(), "already_attempted", "{}", again.text());
    assert_eq!(again.header("x-outcome"), Some("unknown"));
    assert_eq!(fleet.run_count("vote"), 1);
}

/// Guards against running a record without a claim while the platform is down, and against a
/// refusal that prevents the record from being written after the outage.
#[test]
fn record_is_refused_as_not_run_while_the_platform_is_down() {
    let fleet = start_fleet(1);
    fleet.platform.set_faults(platform::Faults {
        outage: true,
        ..platform::Faults::default()
    });
    assert_platform_down(&write(&fleet.caller(0), "down", "vote"));
    assert_eq!(fleet.run_count("vote"), 0);
    fleet.platform.set_faults(platform::Faults::default());
    let answer = write(&fleet.caller(0), "down", "vote");
    assert_eq!(
        (answer.status, fleet.run_count("vote")),
        (201, 1),
        "{}",
        answer.text()
    );
}

/// Asserts a refusal because of the platform, reported as not run and with a time for a retry.
fn assert_platform_down(answer: &Answer) {
    assert_eq!(answer.status, 503, "{}", answer.text());
    assert_eq!(answer.code(), "platform_down");
    assert_eq!(answer.header("x-outcome"), Some("not-run"));
    assert!(answer.header("retry-after").is_some());
}
