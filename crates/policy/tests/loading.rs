//! Requests that wait while all engines load.

use model::Micros;
use policy::loading::RemainingLoad;

/// A load, and a request that comes meanwhile.
struct Case {
    what: &'static str,
    lasted: u64,
    takes: Option<u64>,
    rest: u64,
    whole: u64,
    waits: bool,
}

/// Guards against refusing a request that could wait, by a guess at the length of a load.
#[test]
fn guess_at_a_loads_length_refuses_no_request() {
    #[rustfmt::skip]
    let cases = [
        Case { what: "ends soon", lasted: 500, takes: Some(900), rest: 3_000, whole: 3_000, waits: true },
        Case { what: "ends too late", lasted: 100, takes: Some(1_900), rest: 3_000, whole: 3_000, waits: false },
        Case { what: "lasts longer than usual", lasted: 1_000, takes: Some(900), rest: 3_000, whole: 3_000, waits: true },
        Case { what: "unknown, has lasted for long", lasted: 2_005, takes: None, rest: 2_999, whole: 3_000, waits: true },
        Case { what: "unknown, half of the time is used", lasted: 2_005, takes: None, rest: 1_500, whole: 3_000, waits: false },
        Case { what: "unknown, it has just begun", lasted: 0, takes: None, rest: 1_400, whole: 3_000, waits: false },
    ];
    for c in cases {
        let ms = Micros::from_millis;
        let left = RemainingLoad::new(ms(c.lasted), c.takes.map(ms));
        let waits = left.is_worth_waiting(ms(c.rest), ms(c.whole));
        assert_eq!(waits, c.waits, "{}", c.what);
    }
}
