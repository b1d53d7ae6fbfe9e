//! Requests that crash targets, and those that only were there.

use model::{Incarnation, MemberId, Micros};
use policy::broken::{Break, Broken};
use policy::quarantine::{Config, Crash, Fingerprint, ProcessRank, Quarantine, Verdict as Held};

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

#[test]
fn a_break_counts_only_with_its_targets_end() {
    // Connections break at once with a crash, with a network's fault, or long after the target was
    // seen to end. Were each break a crash, a faulty network would have good requests refused; were
    // each end to be known before the break, a fatal request would never be found.
    struct Case {
        name: &'static str,
        sent: u64,
        broke: u64,
        ended: Option<u64>,
        same: bool,
        struck: bool,
    }
    let crash = |life| Crash {
        member: MemberId(7),
        incarnation: Incarnation(life),
    };
    let print = Fingerprint {
        body: 1,
        weights: 0,
    };
    #[rustfmt::skip]
    let cases = [
        Case { name: "no end", sent: 0, broke: 100, ended: None, same: true, struck: false },
        Case { name: "break, then its end", sent: 0, broke: 100, ended: Some(900), same: true, struck: true },
        Case { name: "end, then the break", sent: 0, broke: 900, ended: Some(300), same: true, struck: true },
        Case { name: "another life's end", sent: 0, broke: 100, ended: Some(900), same: false, struck: false },
        Case { name: "sent after the end", sent: 400, broke: 900, ended: Some(300), same: true, struck: false },
        Case { name: "an end long after", sent: 0, broke: 100, ended: Some(6_000), same: true, struck: false },
    ];
    for case in cases {
        let mut broken = Broken::default();
        let end = crash(if case.same { 1 } else { 2 });
        let run = Break {
            print,
            crash: crash(1),
            sent: ms(case.sent),
            at: ms(case.broke),
        };
        let struck = match case.ended {
            None => broken.broke(run),
            Some(at) if at < case.broke => {
                broken.ended(ms(at), end);
                broken.broke(run)
            }
            Some(at) => {
                assert!(!broken.broke(run), "{}", case.name);
                broken.ended(ms(at), end) == [print]
            }
        };
        assert_eq!(struck, case.struck, "{}", case.name);
    }
}

#[test]
fn a_good_answer_clears_what_is_held_and_vouches_a_while() {
    // Engines of a failure domain crash together while they run good requests, and do so again. A
    // request that was served in between is no culprit; without this, traffic that is asked for all
    // the time would be refused after the third such crash.
    let mut quarantine = Quarantine::new(Config {
        strikes: 3,
        ..Config::default()
    });
    let crash = |member| Crash {
        member: MemberId(member),
        incarnation: Incarnation(1),
    };
    let print = |body| Fingerprint { body, weights: 0 };
    for member in 1..=20 {
        let now = Micros::from_secs(member);
        let struck = quarantine.strike(now, print(1), crash(member));
        let vouched = member > 1;
        assert_eq!(struck == Held::Suspect, !vouched);
        quarantine.strike(now, print(2), crash(member));
        assert_eq!(quarantine.record_success(now, print(1)), !vouched);
    }
    let now = Micros::from_secs(21);
    assert_eq!(quarantine.verdict(now, print(1)), Held::Clear);
    assert_eq!(quarantine.verdict(now, print(2)), Held::Convicted);
    // Somebody else has had a good answer to it.
    assert!(
        quarantine.record_success(now, print(2)),
        "a convict wasn't cleared"
    );
    assert_eq!(quarantine.verdict(now, print(2)), Held::Clear);
    // Crashes ten minutes apart are no series.
    quarantine.strike(now, print(3), crash(1));
    quarantine.strike(now, print(3), crash(2));
    let late = now + Config::default().lasts;
    let soon = now + Config::default().success_lasts;
    assert!(
        !quarantine.recently_succeeded(soon, print(1)),
        "vouched for too long"
    );
    assert_eq!(quarantine.strike(late, print(3), crash(3)), Held::Suspect);
    assert_eq!(
        quarantine.crashes(late, print(3)).map(|(c, _)| c.len()),
        Some(1)
    );
}

#[test]
fn a_convict_is_tried_again_a_few_times_through_one_process_each() {
    // Three engines ended one after the other while all of them ran what every caller asks for, and
    // nothing was answered in between. Refused for ten minutes, it would be missed by everybody; tried
    // again by each of thirty entries, a true culprit would end thirty engines.
    let strikes = Config {
        strikes: 3,
        ..Config::default()
    };
    let print = Fingerprint {
        body: 123_456,
        weights: 0,
    };
    let total = 30;
    let mut entries: Vec<_> = (0..total).map(|_| Quarantine::new(strikes)).collect();
    for entry in &mut entries {
        for member in 1..=3 {
            let crash = Crash {
                member: MemberId(member),
                incarnation: Incarnation(1),
            };
            entry.strike(ms(0), print, crash);
        }
    }
    let mut tries = Vec::new();
    for second in 0..600 {
        for (rank, entry) in entries.iter_mut().enumerate() {
            let place = ProcessRank { rank, total };
            if entry.take_retry(Micros::from_secs(second), print, place) {
                tries.push(second);
            }
        }
    }
    assert_eq!(tries, [15, 45, 105]);
}
