//! Telling requests that crash targets from requests that only ran beside them.

use model::{Incarnation, MemberId, Micros};
use policy::crash_attribution::{BrokenAnswer, CrashAttribution};
use policy::quarantine::{Config, Crash, Fingerprint, ProcessRank, Quarantine, Verdict};

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

#[test]
fn broken_connection_counts_only_with_the_end_of_its_target() {
    // Guards against network faults that count as crashes, so that good requests are refused, and against
    // crashes that aren't counted because the connection broke before the target's end was recorded.
    struct Case {
        name: &'static str,
        sent: u64,
        broke: u64,
        ended: Option<u64>,
        same: bool,
        struck: bool,
    }
    let crash = |incarnation| Crash {
        member: MemberId(7),
        incarnation: Incarnation(incarnation),
    };
    let fingerprint = Fingerprint {
        body: 1,
        weights: 0,
    };
    #[rustfmt::skip]
    let cases = [
        Case { name: "no end of the target", sent: 0, broke: 100, ended: None, same: true, struck: false },
        Case { name: "break before the end", sent: 0, broke: 100, ended: Some(900), same: true, struck: true },
        Case { name: "end before the break", sent: 0, broke: 900, ended: Some(300), same: true, struck: true },
        Case { name: "end of another incarnation", sent: 0, broke: 100, ended: Some(900), same: false, struck: false },
        Case { name: "sent after the end", sent: 400, broke: 900, ended: Some(300), same: true, struck: false },
        Case { name: "end long after the break", sent: 0, broke: 100, ended: Some(6_000), same: true, struck: false },
    ];
    for case in cases {
        let mut broken = CrashAttribution::default();
        let end = crash(if case.same { 1 } else { 2 });
        let run = BrokenAnswer {
            request: fingerprint,
            crash: crash(1),
            sent: ms(case.sent),
            at: ms(case.broke),
        };
        let struck = match case.ended {
            None => broken.answer_broken(run),
            Some(at) if at < case.broke => {
                broken.target_ended(ms(at), end);
                broken.answer_broken(run)
            }
            Some(at) => {
                assert!(!broken.answer_broken(run), "{}", case.name);
                broken.target_ended(ms(at), end) == [fingerprint]
            }
        };
        assert_eq!(struck, case.struck, "{}", case.name);
    }
}

#[test]
fn answer_that_ends_with_its_connection_is_complete_only_if_its_target_keeps_running() {
    // Guards against clearing a request whose answer ended because its target had crashed.
    struct Case {
        name: &'static str,
        ended: Option<u64>,
        struck: bool,
        complete: bool,
    }
    let crash = Crash {
        member: MemberId(7),
        incarnation: Incarnation(1),
    };
    let closed = |at| BrokenAnswer {
        request: 1,
        crash,
        sent: ms(100),
        at: ms(at),
    };
    #[rustfmt::skip]
    let cases = [
        Case { name: "target keeps running", ended: None, struck: false, complete: true },
        Case { name: "end known later", ended: Some(2_000), struck: true, complete: false },
        Case { name: "end known before", ended: Some(800), struck: true, complete: false },
        Case { name: "sent after the end", ended: Some(50), struck: false, complete: false },
    ];
    for case in cases {
        let mut answers = CrashAttribution::default();
        let struck = match case.ended {
            None => answers.answer_closed(closed(900)),
            Some(at) if at < 900 => {
                answers.target_ended(ms(at), crash);
                answers.answer_closed(closed(900))
            }
            Some(at) => {
                assert!(!answers.answer_closed(closed(900)), "{}", case.name);
                assert_eq!(answers.take_survived(ms(at)), [0; 0], "{}", case.name);
                answers.target_ended(ms(at), crash) == [1]
            }
        };
        assert_eq!(struck, case.struck, "{}", case.name);
        let complete = answers.take_survived(ms(6_000)) == [1];
        assert_eq!(complete, case.complete, "{}", case.name);
    }
}

#[test]
fn only_the_last_answers_of_a_crashed_target_are_broken() {
    // Guards against counting complete answers as broken because their target crashed some time later.
    struct Case {
        name: &'static str,
        /// Answers after which the target was checked, and whether it was reached.
        checks: &'static [(u64, bool)],
        /// Answers that count as complete after that.
        complete: &'static [u64],
        /// Answers that count as broken when the target ends.
        broken: &'static [u64],
    }
    let crash = Crash {
        member: MemberId(7),
        incarnation: Incarnation(1),
    };
    #[rustfmt::skip]
    let cases = [
        Case { name: "not checked", checks: &[], complete: &[], broken: &[380, 400] },
        Case { name: "reached after an earlier one", checks: &[(380, true)], complete: &[380], broken: &[400] },
        Case { name: "reached after the last", checks: &[(400, true)], complete: &[400], broken: &[380] },
        Case { name: "another process reached later", checks: &[(100, false), (400, true)], complete: &[400], broken: &[100, 380] },
    ];
    for case in cases {
        let mut answers = CrashAttribution::default();
        for at in [100, 380, 400] {
            let run = BrokenAnswer {
                request: at,
                crash,
                sent: ms(50),
                at: ms(at),
            };
            answers.answer_closed(run);
        }
        let mut complete = Vec::new();
        for (at, reached) in case.checks {
            complete.extend(answers.target_checked(crash, ms(*at), *reached));
        }
        assert_eq!(complete, case.complete, "{}", case.name);
        let broken = answers.target_ended(ms(800), crash);
        assert_eq!(broken, case.broken, "{}", case.name);
    }
}

#[test]
fn successful_answer_clears_a_request_and_protects_it_for_a_while() {
    // Guards against refusing frequently requested content after its third crash, when the engines of a failure
    // domain crash together repeatedly although the request succeeded in between.
    let mut quarantine = Quarantine::new(Config {
        strikes: 3,
        ..Config::default()
    });
    let crash = |member| Crash {
        member: MemberId(member),
        incarnation: Incarnation(1),
    };
    let fingerprint = |body| Fingerprint { body, weights: 0 };
    for member in 1..=20 {
        let now = Micros::from_secs(member);
        let struck = quarantine.strike(now, fingerprint(1), crash(member));
        let succeeded = member > 1;
        assert_eq!(struck == Verdict::Suspect, !succeeded);
        quarantine.strike(now, fingerprint(2), crash(member));
        assert_eq!(quarantine.record_success(now, fingerprint(1)), !succeeded);
    }
    let now = Micros::from_secs(21);
    assert_eq!(quarantine.verdict(now, fingerprint(1)), Verdict::Clear);
    assert_eq!(quarantine.verdict(now, fingerprint(2)), Verdict::Convicted);
    // The request succeeded through another process.
    assert!(
        quarantine.record_success(now, fingerprint(2)),
        "a convicted request wasn't cleared"
    );
    assert_eq!(quarantine.verdict(now, fingerprint(2)), Verdict::Clear);
    // Crashes ten minutes apart aren't counted together.
    quarantine.strike(now, fingerprint(3), crash(1));
    quarantine.strike(now, fingerprint(3), crash(2));
    let late = now + Config::default().lasts;
    let soon = now + Config::default().success_lasts;
    assert!(
        !quarantine.recently_succeeded(soon, fingerprint(1)),
        "protected for too long"
    );
    assert_eq!(
        quarantine.strike(late, fingerprint(3), crash(3)),
        Verdict::Suspect
    );
    assert_eq!(
        quarantine
            .crashes(late, fingerprint(3))
            .map(|(c, _)| c.len()),
        Some(1)
    );
}

#[test]
fn convicted_request_is_retried_a_few_times_through_one_process_each() {
    // Guards against refusing popular content for ten minutes after three crashes in a row that it didn't
    // cause, and against a real culprit that thirty entries retry and that crashes thirty engines.
    let strikes = Config {
        strikes: 3,
        ..Config::default()
    };
    let fingerprint = Fingerprint {
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
            entry.strike(ms(0), fingerprint, crash);
        }
    }
    let mut retries = Vec::new();
    for second in 0..600 {
        for (rank, entry) in entries.iter_mut().enumerate() {
            let process = ProcessRank { rank, total };
            if entry.take_retry(Micros::from_secs(second), fingerprint, process) {
                retries.push(second);
            }
        }
    }
    assert_eq!(retries, [15, 45, 105]);
}
