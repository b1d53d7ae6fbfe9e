//! Which requests a process that stops still starts.

use model::Micros;
use policy::late_start::{ends_in_time, RecentMax};

fn ms(ms: u64) -> Micros {
    Micros::from_millis(ms)
}

/// Guards against requests that are started although they end after the process, and against refusing those that don't.
#[test]
fn request_starts_only_if_it_ends_before_the_process() {
    struct Case {
        name: &'static str,
        now: u64,
        deadline: u64,
        expected: Option<u64>,
        starts: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "deadline before the exit", now: 1_000, deadline: 4_000, expected: None, starts: true },
        Case { name: "deadline after it, nothing known", now: 1_000, deadline: 6_000, expected: None, starts: false },
        Case { name: "short as a rule", now: 1_000, deadline: 20_000, expected: Some(200), starts: true },
        Case { name: "short as a rule, but too late", now: 4_900, deadline: 20_000, expected: Some(200), starts: false },
        Case { name: "long as a rule", now: 1_000, deadline: 20_000, expected: Some(4_500), starts: false },
        Case { name: "long as a rule, with an early deadline", now: 1_000, deadline: 4_000, expected: Some(9_000), starts: true },
        Case { name: "after the exit", now: 6_000, deadline: 20_000, expected: Some(0), starts: false },
    ];
    for c in cases {
        let starts = ends_in_time(ms(c.now), ms(5_000), ms(c.deadline), c.expected.map(ms));
        assert_eq!(starts, c.starts, "{}", c.name);
    }
}

/// Guards against durations that count for ever, or not long enough.
#[test]
fn longest_duration_is_forgotten_after_a_while() {
    let mut longest = RecentMax::default();
    assert_eq!(longest.get(ms(0)), None);
    longest.record(ms(1_000), ms(900));
    longest.record(ms(20_000), ms(300));
    for (at, expected) in [
        (29_000, Some(900)),
        (31_000, Some(900)),
        (59_000, Some(900)),
        (200_000, None),
    ] {
        assert_eq!(longest.get(ms(at)), expected.map(ms), "{at}");
    }
    longest.record(ms(201_000), ms(50));
    longest.record(ms(240_000), ms(40));
    assert_eq!(longest.get(ms(275_000)), Some(ms(40)));
}
