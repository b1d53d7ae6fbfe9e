//! Which targets count as dead, by their health checks and the bytes of their answers.

use model::Micros;
use policy::liveness::{Check, Liveness, State};

/// Interval between checks.
const PERIOD: Micros = Micros::from_millis(500);

/// A sequence of checks, and the bytes that arrive between them.
struct Case {
    what: &'static str,
    checks: &'static [Check],
    /// Interval between bytes, if any arrive.
    bytes: Option<Micros>,
    state: State,
}

/// Guards against cutting the answers of a target whose checks are late under load.
#[test]
fn only_a_refused_connection_ends_answers() {
    use Check::{Answered, Late, Refused};
    let often = Some(Micros::from_millis(50));
    let seldom = Some(Micros::from_secs(3));
    #[rustfmt::skip]
    let cases = [
        Case { what: "unknown", checks: &[], bytes: None, state: State::Alive },
        Case { what: "answers", checks: &[Answered; 9], bytes: None, state: State::Alive },
        Case { what: "one late", checks: &[Answered, Late], bytes: None, state: State::Alive },
        Case { what: "silent", checks: &[Answered, Late, Late], bytes: None, state: State::Unresponsive },
        Case { what: "hung", checks: &[Late; 12], bytes: None, state: State::Hung },
        Case { what: "late, tokens flow", checks: &[Late; 40], bytes: often, state: State::Alive },
        Case { what: "late, few tokens", checks: &[Late; 11], bytes: seldom, state: State::Unresponsive },
        Case { what: "always late, but answered", checks: &[Late, Late, Answered, Late, Late, Answered, Late, Late, Answered, Late], bytes: None, state: State::Alive },
        Case { what: "one refused", checks: &[Answered, Refused], bytes: None, state: State::Alive },
        Case { what: "exited", checks: &[Answered, Refused, Refused], bytes: None, state: State::Exited },
        Case { what: "exited after tokens", checks: &[Refused; 2], bytes: often, state: State::Exited },
        Case { what: "late, then refused once", checks: &[Answered, Late, Refused], bytes: None, state: State::Unresponsive },
        Case { what: "two refused, one late between them", checks: &[Refused, Late, Refused], bytes: often, state: State::Alive },
        Case { what: "back", checks: &[Refused, Refused, Answered], bytes: None, state: State::Alive },
    ];
    for c in cases {
        let mut live = Liveness::default();
        let mut now = Micros::from_secs(10);
        let mut last = now;
        for check in c.checks {
            now = now + PERIOD;
            if c.bytes.is_some_and(|i| now.since(last) >= i) {
                last = now;
                live.received(now);
            }
            live.checked(now, *check);
        }
        assert_eq!(live.state(now), c.state, "{}", c.what);
    }
}
