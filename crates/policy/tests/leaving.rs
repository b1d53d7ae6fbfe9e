//! What targets say about themselves in answers: that they leave.

use model::Micros;
use policy::leaving::Leaving;

#[test]
fn target_that_leaves_is_excluded_until_its_next_start() {
    // Guards against a list that shows the target as ready and against state without an end.
    struct Case {
        name: &'static str,
        /// Times in seconds at which the target is in the list.
        listed: &'static [u64],
        /// Time in seconds at which the target is looked for.
        at: u64,
        leaves: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "at once", listed: &[], at: 1, leaves: true },
        Case { name: "listed as ready and renewed", listed: &[2, 3, 4], at: 5, leaves: true },
        Case { name: "list away for minutes", listed: &[], at: 600, leaves: true },
        Case { name: "gone and back", listed: &[2, 700], at: 701, leaves: true },
        Case { name: "listed for long", listed: &[800, 1_600, 2_400], at: 2_401, leaves: true },
        Case { name: "gone for long", listed: &[2], at: 1_000, leaves: false },
    ];
    for case in cases {
        let (mut leaving, key, next) = (Leaving::default(), 7, 8);
        assert!(leaving.record(Micros::from_secs(1), key), "{}", case.name);
        assert!(!leaving.record(Micros::from_secs(1), key), "{}", case.name);
        for at in case.listed {
            leaving.retain(Micros::from_secs(*at), |k| k == key);
        }
        leaving.retain(Micros::from_secs(case.at), |_| false);
        assert_eq!(leaving.contains(key), case.leaves, "{}", case.name);
        assert!(!leaving.contains(next), "{}: next start", case.name);
    }
}

#[test]
fn number_of_targets_that_leave_is_bounded() {
    // Guards against memory that grows with every target that ever left.
    let mut leaving = Leaving::default();
    for key in 0..10_000 {
        leaving.record(Micros(key), key);
    }
    assert!(leaving.len() <= 4_096, "{}", leaving.len());
    assert!(leaving.contains(9_999) && !leaving.contains(0));
}
