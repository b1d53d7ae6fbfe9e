//! Retries, ejection, quarantine, concurrency limits, planned stops and rate limits.

use model::{Attempt, Incarnation, MemberId, Micros, Outcome, TargetKey};
use policy::concurrency::{self, Limit};
use policy::drain::{self, Action, Drain, Event, Role};
use policy::health::{self, Health, Use};
use policy::quarantine::{self, Crash, Fingerprint, Quarantine, Verdict};
use policy::retry::{self, Budget, Denied, Failure};
use slotmap::SlotMap;

const fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

const fn secs(n: u64) -> Micros {
    Micros::from_secs(n)
}

/// If half of the fleet fails and every failure is retried, the other half gets twice its load.
/// A payment retried after it may have run would be made twice.
#[test]
fn retries_are_bounded_and_never_unsafe() {
    struct Case {
        name: &'static str,
        failure: Failure,
        verdict: Result<(), Denied>,
    }
    let base = Failure {
        attempt: Attempt(0),
        outcome: Outcome::Unknown,
        idempotent: true,
        deadline: secs(10),
        least: ms(100),
    };
    let cases = [
        Case {
            name: "idempotent",
            failure: base,
            verdict: Ok(()),
        },
        Case {
            name: "may have run",
            failure: Failure {
                idempotent: false,
                ..base
            },
            verdict: Err(Denied::Unsafe),
        },
        Case {
            name: "known not to have run",
            failure: Failure {
                idempotent: false,
                outcome: Outcome::NotRun,
                ..base
            },
            verdict: Ok(()),
        },
        Case {
            name: "third attempt",
            failure: Failure {
                attempt: Attempt(2),
                ..base
            },
            verdict: Err(Denied::Attempts),
        },
        Case {
            name: "too late",
            failure: Failure {
                deadline: ms(99),
                ..base
            },
            verdict: Err(Denied::Deadline),
        },
    ];
    for case in cases {
        let mut budget = Budget::new(retry::Config::default());
        assert_eq!(
            budget.allow_retry(Micros::ZERO, &case.failure),
            case.verdict,
            "{}",
            case.name
        );
    }
    let mut budget = Budget::new(retry::Config::default());
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.record_first_attempt();
        retries += u32::from(budget.allow_retry(Micros::ZERO, &base).is_ok());
    }
    assert!((1_000..=1_010).contains(&retries), "{retries}");
}

fn targets(n: usize) -> Vec<TargetKey> {
    let mut map: SlotMap<TargetKey, ()> = SlotMap::with_key();
    (0..n).map(|_| map.insert(())).collect()
}

fn answered(stretch: u64) -> health::Sample {
    health::Sample::Answered {
        wait: ms(0),
        expected: ms(100),
        took: ms(100 * stretch),
    }
}

/// A target that runs at a tenth of its speed keeps its share of the callers waiting ten times as long.
#[test]
fn slow_target_is_ejected_until_its_trials_succeed() {
    let all = targets(9);
    let mut health = Health::new(health::Config::default());
    for _ in 0..20 {
        for (i, target) in all.iter().enumerate() {
            health.record(ms(0), *target, answered(if i == 4 { 10 } else { 1 }));
        }
    }
    assert_eq!(health.usable(ms(4_999), all[4]), Use::Out);
    assert_eq!(health.usable(ms(4_999), all[3]), Use::Normal);
    assert_eq!(health.usable(secs(5), all[4]), Use::Trial);
    health.start_trial(secs(5), all[4]);
    assert_eq!(health.usable(secs(5), all[4]), Use::Out);
    // Still slow: ejected for twice the time.
    health.record(secs(6), all[4], answered(10));
    assert_eq!(health.usable(secs(15), all[4]), Use::Out);
    for _ in 0..3 {
        assert_eq!(health.usable(secs(16), all[4]), Use::Trial);
        health.start_trial(secs(16), all[4]);
        health.record(secs(16), all[4], answered(1));
    }
    assert_eq!(health.usable(secs(16), all[4]), Use::Normal);
}

/// Under overload all targets are slow, or most of a pool fails. Ejecting all of them would turn a
/// slow service into none.
#[test]
fn ejection_is_bounded_and_relative_to_other_targets() {
    struct Case {
        name: &'static str,
        slow: usize,
        ejected: usize,
    }
    let cases = [
        Case {
            name: "none",
            slow: 0,
            ejected: 0,
        },
        Case {
            name: "one",
            slow: 1,
            ejected: 1,
        },
        Case {
            name: "four",
            slow: 4,
            ejected: 3,
        },
        Case {
            name: "all",
            slow: 12,
            ejected: 0,
        },
    ];
    let all = targets(12);
    for case in cases {
        let mut health = Health::new(health::Config::default());
        for round in 0..40 {
            for (i, target) in all.iter().enumerate() {
                let sample = match i < case.slow {
                    true if i % 2 == 0 => answered(15),
                    true => health::Sample::Failed,
                    false => answered(1 + round % 2),
                };
                health.record(ms(round), *target, sample);
            }
        }
        assert_eq!(health.ejected(), case.ejected, "{}", case.name);
    }
}

/// A request crashes each engine that runs it and is retried. Requests that ran beside it at the first
/// crash are suspects as well and must not be refused for it.
#[test]
fn second_crash_convicts_only_the_request_that_caused_it() {
    let mut quarantine = Quarantine::new(quarantine::Config::default());
    let print = |body| Fingerprint { body, weights: 1 };
    let crash = |member, life| Crash {
        member: MemberId(member),
        incarnation: Incarnation(life),
    };
    for body in 1..=5 {
        assert_eq!(
            quarantine.strike(ms(0), print(body), crash(1, 1)),
            Verdict::Suspect
        );
    }
    // Another process reports the same crash.
    assert_eq!(
        quarantine.strike(ms(1), print(2), crash(1, 1)),
        Verdict::Suspect
    );
    assert_eq!(
        quarantine.strike(ms(2), print(1), crash(2, 1)),
        Verdict::Convicted
    );
    assert_eq!(quarantine.verdict(ms(3), print(2)), Verdict::Suspect);
    assert_eq!(
        quarantine.verdict(
            ms(3),
            Fingerprint {
                body: 1,
                weights: 2
            }
        ),
        Verdict::Clear
    );
    assert_eq!(quarantine.convicted(ms(3)).count(), 1);
    assert_eq!(quarantine.verdict(secs(601), print(1)), Verdict::Clear);
    quarantine.retain_weights(|w| w == 2);
    assert!(quarantine.is_empty());
    let few = quarantine::Config {
        kept: 10,
        ..quarantine::Config::default()
    };
    let mut quarantine = Quarantine::new(few);
    for body in 0..100 {
        quarantine.strike(ms(body as u64), print(body), crash(1, body as u64));
    }
    assert_eq!(quarantine.len(), 10);
}

/// An engine queues requests beyond its capacity itself, regardless of class and deadline.
#[test]
fn limit_settles_near_the_engines_capacity() {
    struct Case {
        name: &'static str,
        capacity: u32,
        demand: u32,
        settles: std::ops::RangeInclusive<u32>,
    }
    let cases = [
        Case {
            name: "small",
            capacity: 4,
            demand: 500,
            settles: 5..=12,
        },
        Case {
            name: "large",
            capacity: 40,
            demand: 500,
            settles: 50..=110,
        },
        Case {
            name: "little demand",
            capacity: 40,
            demand: 2,
            settles: 4..=16,
        },
    ];
    for case in cases {
        let mut limit = Limit::new(concurrency::Config::running());
        for i in 0..5_000u64 {
            let running = limit.get().min(case.demand);
            let stretch = f64::from(running.max(case.capacity)) / f64::from(case.capacity);
            let took = Micros((100_000.0 * stretch) as u64);
            let sample = concurrency::Sample {
                expected: ms(100),
                took,
                running,
            };
            limit.record(ms(i * 10), sample);
        }
        assert!(
            case.settles.contains(&limit.get()),
            "{}: {}",
            case.name,
            limit.get()
        );
    }
}

/// Processes are replaced under load. A stop must neither cut a stream nor refuse requests that the
/// load balancer still sends.
#[test]
fn planned_stop_finishes_running_requests() {
    use Action::{Announce, Close, Exit, GiveBack};
    struct Case {
        name: &'static str,
        role: Role,
        events: Vec<(u64, Event)>,
        actions: Vec<Action>,
        accepts: bool,
    }
    let cases = [
        Case {
            name: "an entry accepts late arrivals and finishes them",
            role: Role::Entry,
            events: vec![
                (0, Event::Taken),
                (1_000, Event::Stop),
                (1_100, Event::Taken),
                (1_200, Event::Stop),
                (1_300, Event::Ended),
            ],
            actions: vec![Announce, GiveBack],
            accepts: true,
        },
        Case {
            name: "a sidecar refuses late arrivals",
            role: Role::Sidecar,
            events: vec![(0, Event::Taken), (1_000, Event::Stop)],
            actions: vec![Announce, GiveBack],
            accepts: false,
        },
        Case {
            name: "a long stream delays the exit",
            role: Role::Sidecar,
            events: vec![
                (0, Event::Taken),
                (1_000, Event::Stop),
                (600_000, Event::Tick),
            ],
            actions: vec![Announce, GiveBack, Close],
            accepts: false,
        },
        Case {
            name: "the process exits once after the last stream",
            role: Role::Sidecar,
            events: vec![
                (0, Event::Taken),
                (1_000, Event::Stop),
                (600_000, Event::Ended),
                (600_001, Event::Tick),
            ],
            actions: vec![Announce, GiveBack, Close, Exit],
            accepts: false,
        },
    ];
    for case in cases {
        let mut drain = Drain::new(drain::Config::default(), case.role);
        let mut actions = Vec::new();
        for (at, event) in case.events {
            drain.step(ms(at), event, &mut actions);
        }
        assert_eq!(actions, case.actions, "{}", case.name);
        assert_eq!(drain.accepts(), case.accepts, "{}", case.name);
        assert!(!drain.is_ready(), "{}", case.name);
    }
}
