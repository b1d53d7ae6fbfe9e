//! Admission on arrival, drain rate and reservations.

use assert_matches::assert_matches;
use model::{Class, Code, Micros};
use policy::admit::{admit, Arrival, Config, DrainRate, Refusal};
use policy::reserve::{self, Reservations};

const NOW: Micros = Micros::from_secs(100);

fn arrival(class: Class, wait_ms: u64, waiting: usize) -> Arrival {
    Arrival {
        class,
        wait: Micros::from_millis(wait_ms),
        work: Micros::from_millis(500),
        deadline: NOW + Micros::from_secs(10),
        waiting,
    }
}

#[test]
fn requests_that_would_wait_too_long_are_refused_with_a_retry_delay() {
    struct Case {
        name: &'static str,
        arrival: Arrival,
        refusal: Option<(Code, u64)>,
    }
    let late = Arrival {
        deadline: NOW,
        ..arrival(Class::Call, 0, 0)
    };
    let cases = [
        Case {
            name: "idle",
            arrival: arrival(Class::Call, 0, 0),
            refusal: None,
        },
        Case {
            name: "short wait",
            arrival: arrival(Class::Normal, 7_000, 9),
            refusal: None,
        },
        Case {
            name: "long wait",
            arrival: Arrival {
                deadline: NOW + Micros::from_secs(30),
                ..arrival(Class::Normal, 13_000, 9)
            },
            refusal: Some((Code::Overloaded, 7_000)),
        },
        Case {
            name: "would miss its deadline behind the others",
            arrival: arrival(Class::Batch, 9_800, 9),
            refusal: Some((Code::Overloaded, 5_050)),
        },
        Case {
            name: "past its deadline",
            arrival: late,
            refusal: Some((Code::Deadline, 250)),
        },
        Case {
            name: "the last places are reserved for calls",
            arrival: arrival(Class::Normal, 10, 896),
            refusal: Some((Code::Overloaded, 250)),
        },
        Case {
            name: "a call takes a reserved place",
            arrival: arrival(Class::Call, 10, 896),
            refusal: None,
        },
        Case {
            name: "no place left",
            arrival: arrival(Class::Call, 10, 1_024),
            refusal: Some((Code::Overloaded, 250)),
        },
        Case {
            name: "retry delay is bounded",
            arrival: arrival(Class::Call, 600_000, 9),
            refusal: Some((Code::Overloaded, 30_000)),
        },
    ];
    for case in cases {
        let got = admit(&Config::default(), NOW, &case.arrival, 0.0);
        let refusal = got.err().map(|r: Refusal| (r.code, r.after.as_millis()));
        assert_eq!(refusal, case.refusal, "{}", case.name);
    }
    let spread = admit(
        &Config::default(),
        NOW,
        &arrival(Class::Call, 9_000, 9),
        1.0,
    );
    assert_matches!(spread, Err(Refusal { after, .. }) if after.as_millis() == 10_500);
}

/// If an engine that isn't fully loaded counted as slow, waits would be overestimated.
/// An engine that runs at half of its expected speed needs twice the time for its queue.
#[test]
fn drain_rate_is_measured_only_while_requests_wait() {
    let run = |waiting: bool| {
        let mut drain = DrainRate::default();
        for i in 0..200u64 {
            drain.finished(
                Micros::from_millis(i * 100),
                Micros::from_millis(50),
                waiting,
            );
        }
        drain
    };
    assert_eq!(run(false).rate(), 1.0);
    let slow = run(true);
    assert!((0.45..0.62).contains(&slow.rate()), "{}", slow.rate());
    let wait = slow.wait(Micros::from_secs(1));
    assert!(wait > Micros::from_millis(1_600), "{wait:?}");
}

/// Many entries probe the same idle sidecar at once. Each answer must include the earlier probes,
/// and a request that never arrives must not count for long.
#[test]
fn reservation_counts_until_it_is_released_or_expires() {
    let mut held = Reservations::new(reserve::Config::default());
    let work = Micros::from_millis(400);
    for key in 0..3 {
        held.hold(NOW, key, work);
    }
    assert_eq!(held.total(NOW), Micros::from_millis(300));
    held.release(0);
    held.release(9);
    assert_eq!(held.total(NOW), Micros::from_millis(200));
    held.hold(NOW + Micros::from_millis(30), 1, work);
    assert_eq!(
        held.total(NOW + Micros::from_millis(50)),
        Micros::from_millis(100)
    );
    assert_eq!(held.total(NOW + Micros::from_millis(80)), Micros::ZERO);
}
