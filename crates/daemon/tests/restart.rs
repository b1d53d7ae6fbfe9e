//! A killed process serves right after its restart, also while the platform or other entries are
//! down.

mod common;

use std::time::{Duration, Instant};

use common::{completion, quick, wait_for, words, Fleet};
use standin::platform::Faults;

/// Asserts that the first completion after an entry is ready again is answered in full, without a
/// retry. Returns the time from the start of the process to the end of this answer.
fn time_to_first_answer(fleet: &Fleet, entry: usize, start: Instant) -> Duration {
    let caller = fleet.caller(entry);
    wait_for("the entry to be ready", || {
        caller.get("/health/ready").status == 200
    });
    let prompt = format!("first after the restart of {entry}");
    let answer = caller.post("/v1/completions", &completion(&prompt, 8, true));
    let took = start.elapsed();
    assert!(
        answer.is_complete_stream(),
        "{} {}",
        answer.status,
        answer.text()
    );
    assert_eq!(answer.words(), words(&prompt, 8));
    took
}

fn outage() -> Faults {
    Faults {
        outage: true,
        ..Faults::default()
    }
}

/// Guards against a slow restart of an entry that was killed, for example by a crash or by a lack
/// of memory on its host: until it serves, its share of the callers is refused.
#[test]
fn killed_entry_serves_at_once() {
    let mut fleet = Fleet::start(2, 2, &quick());
    let mut took = Vec::new();
    for _ in 0..3 {
        fleet.entries[1].kill();
        let start = Instant::now();
        fleet.entries[1].restart(&[]);
        took.push(time_to_first_answer(&fleet, 1, start));
        fleet.wait_version(1, 1);
    }
    println!("one entry: first answers after {took:?}");
}

/// Guards against an entry that can fetch the configuration from the platform's table only:
/// restarted while the platform is down, it would refuse all callers until the platform is back.
#[test]
fn killed_entry_serves_at_once_while_the_platform_is_down() {
    let mut fleet = Fleet::start(2, 2, &quick());
    let paused = Faults {
        paused: true,
        ..Faults::default()
    };
    let mut took = Vec::new();
    for faults in [outage(), paused] {
        fleet.platform.set_faults(faults);
        let start = Instant::now();
        fleet.entries[1].restart(&[]);
        took.push(time_to_first_answer(&fleet, 1, start));
        assert_eq!(
            fleet.operator(1).get("/admin/configuration").json()["text"],
            common::QUICKSTART,
        );
    }
    println!("platform down, then paused: first answers after {took:?}");
}

/// Guards against a loss of the configuration when all entries are killed at once, as by a faulty
/// release, while the platform is down: only sidecars hold the configuration then.
#[test]
fn all_entries_restarted_together_serve_at_once() {
    let mut fleet = Fleet::start(3, 2, &quick());
    let mut took = Vec::new();
    for faults in [Faults::default(), outage()] {
        fleet.platform.set_faults(faults);
        fleet.entries.iter_mut().for_each(common::Child::kill);
        let start = Instant::now();
        fleet.entries.iter_mut().for_each(|e| e.restart(&[]));
        let each = (0..3).map(|e| time_to_first_answer(&fleet, e, start));
        took.push(each.collect::<Vec<_>>());
    }
    println!("three entries, platform up, then down: first answers after {took:?}");
}

/// Guards against a restarted sidecar that isn't found again while the platform is down: its engine
/// would stay idle, and with a single replica all callers would wait.
#[test]
fn killed_sidecar_serves_again_while_the_platform_is_down() {
    let mut fleet = Fleet::start(1, 1, &quick());
    fleet.platform.set_faults(outage());
    let start = Instant::now();
    fleet.replicas[0].sidecar.restart(&[]);
    let caller = fleet.caller(0);
    let prompt = "after the restart of the sidecar";
    let mut answer = caller.post("/v1/completions", &completion(prompt, 8, true));
    wait_for("the engine to serve again", || {
        if !answer.is_complete_stream() {
            assert_eq!(
                answer.header("x-outcome"),
                Some("not-run"),
                "{}",
                answer.text()
            );
            answer = caller.post("/v1/completions", &completion(prompt, 8, true));
        }
        answer.is_complete_stream()
    });
    println!("one sidecar: first answer after {:?}", start.elapsed());
    assert_eq!(answer.words(), words(prompt, 8));
}
