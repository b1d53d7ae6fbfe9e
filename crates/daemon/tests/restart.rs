//! A killed process serves at once after its restart, whatever else is away.

mod common;

use std::time::{Duration, Instant};

use common::{completion, quick, wait_for, words, Fleet};
use standin::platform::Faults;

/// Callers that ask the very moment an entry listens again hear an answer: a second one isn't
/// needed. Gives the time from the start of the process to its first answer.
fn serves_at_once(fleet: &Fleet, entry: usize, start: Instant) -> Duration {
    let ready = fleet.caller(entry);
    wait_for("readiness", || ready.get("/health/ready").status == 200);
    let prompt = format!("first after the restart of {entry}");
    let answer = ready.post("/v1/completions", &completion(&prompt, 8, true));
    let took = start.elapsed();
    assert!(answer.whole(), "{} {}", answer.status, answer.text());
    assert_eq!(answer.words(), words(&prompt, 8));
    took
}

fn away() -> Faults {
    Faults {
        outage: true,
        ..Faults::default()
    }
}

/// An entry dies at once, as of a fault of ours or of its host's memory, and is started again.
/// Until it serves, its share of the callers is refused.
#[test]
fn killed_entry_serves_at_once() {
    let mut fleet = Fleet::start(2, 2, &quick());
    let mut took = Vec::new();
    for _ in 0..3 {
        fleet.entries[1].kill();
        let start = Instant::now();
        fleet.entries[1].restart(&[]);
        took.push(serves_at_once(&fleet, 1, start));
        fleet.wait_version(1, 1);
    }
    println!("one entry: first answers after {took:?}");
}

/// The platform is down when an entry dies. Were the configuration only to be had from its
/// table, the entry would refuse everybody until the platform is back.
#[test]
fn killed_entry_serves_at_once_while_the_platform_is_down() {
    let mut fleet = Fleet::start(2, 2, &quick());
    let paused = Faults {
        paused: true,
        ..Faults::default()
    };
    let mut took = Vec::new();
    for faults in [away(), paused] {
        fleet.platform.set_faults(faults);
        let start = Instant::now();
        fleet.entries[1].restart(&[]);
        took.push(serves_at_once(&fleet, 1, start));
        assert_eq!(
            fleet.operator(1).get("/admin/configuration").json()["text"],
            common::QUICKSTART,
        );
    }
    println!("platform down, then paused: first answers after {took:?}");
}

/// All entries die together, as when a release of ours crashes everywhere, while the platform is
/// down. Only sidecars still know the configuration.
#[test]
fn all_entries_restarted_together_serve_at_once() {
    let mut fleet = Fleet::start(3, 2, &quick());
    let mut took = Vec::new();
    for faults in [Faults::default(), away()] {
        fleet.platform.set_faults(faults);
        fleet.entries.iter_mut().for_each(common::Child::kill);
        let start = Instant::now();
        fleet.entries.iter_mut().for_each(|e| e.restart(&[]));
        let each = (0..3).map(|e| serves_at_once(&fleet, e, start));
        took.push(each.collect::<Vec<_>>());
    }
    println!("three entries, platform up, then down: first answers after {took:?}");
}

/// A sidecar dies and is started again before the same engine, while the platform is down. Until
/// it is found again, its engine does nothing; with the only replica, all callers wait.
#[test]
fn killed_sidecar_takes_work_again_while_the_platform_is_down() {
    let mut fleet = Fleet::start(1, 1, &quick());
    fleet.platform.set_faults(away());
    let start = Instant::now();
    fleet.replicas[0].sidecar.restart(&[]);
    let caller = fleet.caller(0);
    let prompt = "after the restart of the sidecar";
    let mut answer = caller.post("/v1/completions", &completion(prompt, 8, true));
    wait_for("the engine to be found again", || {
        if !answer.whole() {
            assert_eq!(
                answer.header("x-outcome"),
                Some("not-run"),
                "{}",
                answer.text()
            );
            answer = caller.post("/v1/completions", &completion(prompt, 8, true));
        }
        answer.whole()
    });
    println!("one sidecar: first answer after {:?}", start.elapsed());
    assert_eq!(answer.words(), words(prompt, 8));
}
