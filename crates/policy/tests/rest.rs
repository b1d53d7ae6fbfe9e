//! What targets say about themselves in answers: that they want no requests for some time.

use model::Micros;
use policy::rest::{Rests, MAX_REST};

#[test]
fn target_rests_for_as_long_as_it_has_asked() {
    // Guards against a rest that a later, shorter one ends, and one that never ends.
    struct Case {
        name: &'static str,
        /// Times in milliseconds at which the target asks, and for how long.
        asked: &'static [(u64, u64)],
        at: u64,
        left: Option<u64>,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "never asked", asked: &[], at: 5, left: None },
        Case { name: "just asked", asked: &[(0, 3_000)], at: 1, left: Some(2_999) },
        Case { name: "at its end", asked: &[(0, 3_000)], at: 3_000, left: None },
        Case { name: "asked again", asked: &[(0, 3_000), (2_000, 3_000)], at: 4_000, left: Some(1_000) },
        Case { name: "shorter answer overtaken", asked: &[(0, 3_000), (100, 500)], at: 1_000, left: Some(2_000) },
        Case { name: "no time", asked: &[(0, 0)], at: 1, left: None },
        Case { name: "huge", asked: &[(0, u64::MAX / 2_000)], at: 1_000, left: Some(599_000) },
        Case { name: "huge, at its end", asked: &[(0, u64::MAX / 2_000)], at: 600_000, left: None },
    ];
    for case in cases {
        let mut rests = Rests::default();
        for (at, rest) in case.asked {
            let given = rests.record(Micros::from_millis(*at), 7, Micros::from_millis(*rest));
            assert!(given <= MAX_REST, "{}", case.name);
        }
        let now = Micros::from_millis(case.at);
        let left = rests.left(now, 7).map(|l| l.as_millis());
        assert_eq!(left, case.left, "{}", case.name);
        assert_eq!(rests.left(now, 8), None, "{}: next start", case.name);
    }
}
