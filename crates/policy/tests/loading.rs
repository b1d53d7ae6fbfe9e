//! Requests that wait while all engines of a pool load.

use model::Micros;
use policy::loading::RemainingLoad;

/// A load, and a request that arrives during the load.
struct Case {
    name: &'static str,
    lasted: u64,
    takes: Option<u64>,
    rest: u64,
    whole: u64,
    waits: bool,
}

/// Guards against refusing a request that could wait, because of an estimate of the load's duration.
#[test]
fn estimated_load_duration_refuses_no_request() {
    #[rustfmt::skip]
    let cases = [
        Case { name: "ends soon", lasted: 500, takes: Some(900), rest: 3_000, whole: 3_000, waits: true },
        Case { name: "ends too late", lasted: 100, takes: Some(1_900), rest: 3_000, whole: 3_000, waits: false },
        Case { name: "lasts longer than usual", lasted: 1_000, takes: Some(900), rest: 3_000, whole: 3_000, waits: true },
        Case { name: "unknown, has lasted for long", lasted: 2_005, takes: None, rest: 2_999, whole: 3_000, waits: true },
        Case { name: "unknown, half of the time is used", lasted: 2_005, takes: None, rest: 1_500, whole: 3_000, waits: false },
        Case { name: "unknown, has just started", lasted: 0, takes: None, rest: 1_400, whole: 3_000, waits: false },
    ];
    for c in cases {
        let ms = Micros::from_millis;
        let remaining = RemainingLoad::new(ms(c.lasted), c.takes.map(ms));
        let waits = remaining.is_worth_waiting(ms(c.rest), ms(c.whole));
        assert_eq!(waits, c.waits, "{}", c.name);
    }
}
