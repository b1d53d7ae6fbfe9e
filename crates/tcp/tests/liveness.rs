//! When a far end counts as vanished, in virtual time.

use std::time::Duration;

use model::Micros;
use tcp::{Acks, Config, Liveness, Verdict};

const STEP: u64 = 250;

/// A stretch of time in which the kernel sends, probes or waits.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// All is acknowledged.
    Quiet(u64),
    /// The window is closed, and a probe is sent at this interval; each is acknowledged after a round trip.
    Probing {
        every: u64,
        round_trip: u64,
        for_ms: u64,
    },
    /// Sent data or a probe stays unanswered, and is repeated at this interval.
    Unanswered { every: u64, for_ms: u64 },
    /// The process doesn't run; the far end acknowledges meanwhile.
    Paused(u64),
    /// The process doesn't run, and nothing is acknowledged.
    PausedUnanswered(u64),
}

struct Case {
    name: &'static str,
    phases: &'static [Phase],
    /// When it counts as vanished, if it does: not before the first time, and by the second.
    vanished: Option<(u64, u64)>,
}

/// Plays a case; returns when the far end counted as vanished, in milliseconds.
fn play(case: &Case, config: Config) -> Option<u64> {
    let mut liveness = Liveness::new(config);
    let (mut now, mut acked_at) = (0_u64, 0_u64);
    liveness.record_sent(Micros::ZERO);
    for phase in case.phases {
        let began = now;
        let for_ms = match *phase {
            Phase::Quiet(ms) | Phase::Paused(ms) | Phase::PausedUnanswered(ms) => ms,
            Phase::Probing { for_ms, .. } | Phase::Unanswered { for_ms, .. } => for_ms,
        };
        let step = match phase {
            Phase::Paused(ms) | Phase::PausedUnanswered(ms) => *ms,
            _ => STEP,
        };
        while now < began + for_ms {
            now += step;
            let since = now - began;
            let mut acks = Acks {
                unsent: 1,
                ..Acks::default()
            };
            match *phase {
                Phase::Quiet(_) => (acks.unsent, acked_at) = (0, now),
                Phase::Paused(_) => {
                    // The last probe is on its way at the end of the pause.
                    acked_at = now - 1;
                    (acks.awaited, acks.unanswered) = (true, 1);
                }
                Phase::Probing {
                    every, round_trip, ..
                } => {
                    acks.awaited = since >= every && since % every < round_trip;
                    acks.unanswered = u32::from(acks.awaited);
                    if since >= round_trip {
                        acked_at = acked_at.max(began + (since - round_trip) / every * every);
                    }
                }
                Phase::Unanswered { every, .. } => {
                    acks.awaited = true;
                    acks.unanswered = 1 + u32::try_from(since / every).expect("a count");
                }
                Phase::PausedUnanswered(_) => (acks.awaited, acks.unanswered) = (true, 9),
            }
            acks.last_ack = Duration::from_millis(now - acked_at);
            if liveness.observe(Micros::from_millis(now), &acks) == Verdict::Vanished {
                return Some(now);
            }
        }
    }
    None
}

/// Guards against closing connections whose far end acknowledges, however seldom it takes anything, and against
/// keeping those whose far end has vanished.
#[test]
fn far_end_that_acknowledges_is_kept_and_a_vanished_one_is_not() {
    use Phase::{Paused, PausedUnanswered, Probing, Quiet, Unanswered};
    #[rustfmt::skip]
    let cases = [
        Case { name: "quiet", phases: &[Quiet(60_000)], vanished: None },
        Case { name: "window closed for minutes", phases: &[Probing { every: 2_000, round_trip: 1, for_ms: 600_000 }], vanished: None },
        Case { name: "rare probes", phases: &[Probing { every: 60_000, round_trip: 250, for_ms: 600_000 }], vanished: None },
        Case { name: "slow round trips", phases: &[Probing { every: 3_000, round_trip: 2_500, for_ms: 600_000 }], vanished: None },
        Case { name: "one probe lost", phases: &[Probing { every: 6_000, round_trip: 1, for_ms: 12_000 }, Unanswered { every: 6_000, for_ms: 5_750 }, Probing { every: 6_000, round_trip: 1, for_ms: 12_000 }], vanished: None },
        Case { name: "outage shorter than the limit", phases: &[Unanswered { every: 500, for_ms: 4_500 }, Quiet(1_000), Unanswered { every: 500, for_ms: 4_500 }, Quiet(1_000)], vanished: None },
        Case { name: "process paused, acknowledged meanwhile", phases: &[Probing { every: 500, round_trip: 300, for_ms: 3_000 }, Paused(30_000), Probing { every: 500, round_trip: 300, for_ms: 3_000 }], vanished: None },
        Case { name: "process paused again and again", phases: &[Paused(6_000), Paused(6_000), Paused(6_000)], vanished: None },
        Case { name: "vanished with data in flight", phases: &[Unanswered { every: 500, for_ms: 20_000 }], vanished: Some((5_000, 5_500)) },
        Case { name: "vanished behind a closed window", phases: &[Probing { every: 2_000, round_trip: 1, for_ms: 20_000 }, Unanswered { every: 2_000, for_ms: 20_000 }], vanished: Some((25_000, 26_000)) },
        Case { name: "vanished while probes are rare", phases: &[Probing { every: 30_000, round_trip: 1, for_ms: 60_000 }, Unanswered { every: 30_000, for_ms: 60_000 }], vanished: Some((90_000, 91_000)) },
        Case { name: "vanished during a pause of the process", phases: &[Unanswered { every: 500, for_ms: 1_000 }, PausedUnanswered(10_000)], vanished: Some((11_000, 11_000)) },
    ];
    for case in &cases {
        let vanished = play(case, Config::default());
        let fits = match (vanished, case.vanished) {
            (Some(at), Some((from, to))) => (from..=to).contains(&at),
            (at, expected) => at.is_none() && expected.is_none(),
        };
        assert!(fits, "{}: {vanished:?}", case.name);
    }
}

/// Guards against observations that are never repeated while something isn't acknowledged.
#[test]
fn connection_is_observed_until_all_is_acknowledged() {
    let mut liveness = Liveness::new(Config::default());
    let pending = |unsent, awaited| Acks {
        unsent,
        awaited,
        ..Acks::default()
    };
    let now = Micros::from_millis(1);
    for (acks, settled) in [
        (pending(0, false), true),
        (pending(1, false), false),
        (pending(0, true), false),
        (pending(1, true), false),
    ] {
        let verdict = liveness.observe(now, &acks);
        assert_eq!(verdict == Verdict::Settled, settled, "{acks:?}");
    }
}
