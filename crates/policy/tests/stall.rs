//! Requests that are stuck before their first event.

use model::Micros;
use policy::retry_budget::{self, Budget, RetryReason};
use policy::stall::{decide, Config, Decision, Evidence, Held, History, Others, Signs};

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

fn signs(reported: Option<u64>, answered: Option<u64>) -> Signs {
    Signs {
        reported: reported.map(ms),
        answered: answered.map(ms),
    }
}

#[test]
fn request_moves_or_stays_by_each_kind_of_evidence() {
    // Guards against requests that stay at a silent engine until their deadline, leave one that makes
    // progress, or are started twice when the whole pool is slow or the entry is cut off.
    struct Case {
        name: &'static str,
        waited: u64,
        estimate: u64,
        reported: Option<u64>,
        answered: Option<u64>,
        refuses: bool,
        /// Last sign of others, and how many of them answer and are stuck.
        others: (Option<u64>, usize, usize),
        expected: Decision,
    }
    let wait = |n| Decision::Wait {
        until: ms(n),
        held: None,
    };
    let held = |held| Decision::Wait {
        until: ms(100),
        held: Some(held),
    };
    let reason = RetryReason::HasRun;
    let certain = Decision::Move { reason };
    let reason = RetryReason::Late;
    let late = Decision::Move { reason };
    #[rustfmt::skip]
    let cases = [
        Case { name: "just sent", waited: 0, estimate: 50, reported: Some(100), answered: None, refuses: false, others: (Some(10), 0, 0), expected: wait(950) },
        Case { name: "silent", waited: 950, estimate: 50, reported: Some(1_000), answered: None, refuses: false, others: (Some(10), 4, 1), expected: certain },
        Case { name: "silent, bytes long ago", waited: 950, estimate: 50, reported: Some(1_000), answered: Some(5_000), refuses: false, others: (Some(10), 4, 1), expected: certain },
        Case { name: "one report lost", waited: 900, estimate: 50, reported: Some(900), answered: None, refuses: false, others: (Some(10), 4, 1), expected: wait(50) },
        Case { name: "reports, nothing late yet", waited: 1_000, estimate: 50, reported: Some(100), answered: None, refuses: false, others: (Some(10), 4, 1), expected: wait(300) },
        Case { name: "sidecar gone, bytes", waited: 1_000, estimate: 50, reported: Some(9_000), answered: Some(20), refuses: false, others: (Some(10), 4, 1), expected: wait(300) },
        Case { name: "no sidecar, a queue", waited: 1_000, estimate: 600, reported: None, answered: None, refuses: false, others: (Some(10), 4, 1), expected: wait(200) },
        Case { name: "no sidecar", waited: 950, estimate: 50, reported: None, answered: None, refuses: false, others: (None, 0, 0), expected: certain },
        Case { name: "refuses connections", waited: 200, estimate: 50, reported: Some(300), answered: None, refuses: true, others: (Some(10), 0, 0), expected: certain },
        Case { name: "late, reports only", waited: 1_300, estimate: 50, reported: Some(100), answered: None, refuses: false, others: (Some(10), 0, 0), expected: late },
        Case { name: "late, others answer", waited: 1_300, estimate: 50, reported: Some(100), answered: Some(20), refuses: false, others: (Some(10), 4, 1), expected: late },
        Case { name: "late, engine makes progress", waited: 1_300, estimate: 50, reported: Some(100), answered: Some(20), refuses: false, others: (Some(10), 0, 0), expected: held(Held::NoneBetter) },
        Case { name: "whole pool slow", waited: 1_300, estimate: 50, reported: Some(100), answered: None, refuses: false, others: (Some(10), 1, 9), expected: held(Held::NoneBetter) },
        Case { name: "whole pool silent", waited: 1_300, estimate: 50, reported: Some(1_300), answered: None, refuses: false, others: (Some(10), 0, 9), expected: held(Held::NoneBetter) },
        Case { name: "entry cut off", waited: 1_300, estimate: 50, reported: Some(1_300), answered: None, refuses: false, others: (Some(1_200), 0, 0), expected: held(Held::CutOff) },
        Case { name: "all sidecars gone for long", waited: 1_300, estimate: 50, reported: Some(20_000), answered: None, refuses: false, others: (Some(15_000), 0, 0), expected: certain },
        Case { name: "half of the time used", waited: 7_500, estimate: 50, reported: Some(100), answered: None, refuses: false, others: (Some(10), 4, 1), expected: certain },
    ];
    let config = Config::default();
    for c in cases {
        let (heard, answering, stuck) = c.others;
        let evidence = Evidence {
            waited: ms(c.waited),
            estimate: ms(c.estimate),
            is_stream: true,
            goal: ms(500),
            time_left: ms(15_000 - c.waited),
            target: signs(c.reported, c.answered),
            refuses: c.refuses,
            others: Others {
                signs: signs(heard, None),
                answering,
                stuck,
            },
        };
        assert_eq!(decide(&config, &evidence), c.expected, "{}", c.name);
    }
}

/// A case in virtual time; times in ms.
struct Case {
    name: &'static str,
    silent: usize,
    silent_until: u64,
    answer: u64,
    free: u64,
    expected: Results,
}

/// A request in virtual time.
struct Request {
    sent_at: Micros,
    arrived: Micros,
    target: usize,
    runs: u32,
}

/// Results of a run.
#[derive(Debug, Default, PartialEq)]
struct Results {
    served: usize,
    /// Requests that ended at their deadline.
    overdue: usize,
    /// Requests that were sent a second time.
    moved: usize,
}

/// Runs 10 requests per second at one entry for 20 s on 20 targets. The first `silent` of them never
/// answer what was sent before `silent_until`; all other requests are answered after `answer` ms. No
/// retry is left before `free`.
fn run(c: &Case) -> Results {
    const TARGETS: usize = 20;
    const DEADLINE: Micros = Micros::from_secs(15);
    let config = Config::default();
    let mut budget = Budget::new(retry_budget::Config {
        ratio: 0.2,
        slack: 56.0,
        entries: 31,
        window: Micros::from_secs(10),
    });
    let mut open: Vec<Request> = Vec::new();
    let mut targets = vec![History::default(); TARGETS];
    let mut results = Results::default();
    for step in 0..3_600u64 {
        let now = ms(step * 10);
        if step.is_multiple_of(10) && step < 2_000 {
            budget.record_request(now);
            let target = (step / 10 * 7) as usize % TARGETS;
            targets[target].send(now);
            open.push(Request {
                sent_at: now,
                arrived: now,
                target,
                runs: 1,
            });
        }
        open.retain(|r| {
            let lost = r.target < c.silent && r.sent_at < ms(c.silent_until);
            let done = !lost && now.since(r.sent_at) >= ms(c.answer);
            let overdue = !done && now.since(r.arrived) >= DEADLINE;
            match done {
                true => targets[r.target].answer(now, r.sent_at),
                false if overdue => targets[r.target].end(r.sent_at),
                false => return true,
            }
            results.served += usize::from(done);
            results.overdue += usize::from(overdue);
            false
        });
        let reported_at = |t| match t < c.silent && now < ms(c.silent_until) {
            true => Some(Micros::ZERO),
            false => Some(ms(step / 50 * 500)),
        };
        for r in open.iter_mut().filter(|r| r.runs < 2) {
            let mut others = Others::default();
            for t in (0..TARGETS).filter(|t| *t != r.target) {
                others.add(now, r.sent_at, &targets[t], reported_at(t));
            }
            let evidence = Evidence {
                waited: now.since(r.sent_at),
                estimate: ms(100),
                is_stream: true,
                goal: ms(500),
                time_left: (r.arrived + DEADLINE).since(now),
                target: targets[r.target].signs(now, reported_at(r.target)),
                refuses: targets[r.target].refuses(),
                others,
            };
            let Decision::Move { reason } = decide(&config, &evidence) else {
                continue;
            };
            if now >= ms(c.free) && budget.spend(now, reason) {
                targets[r.target].end(r.sent_at);
                r.sent_at = now;
                r.runs += 1;
                r.target = c.silent + (step as usize + r.target) % (TARGETS - c.silent);
                targets[r.target].send(now);
                results.moved += 1;
            }
        }
    }
    results
}

#[test]
fn no_request_ends_at_its_deadline_while_a_quarter_is_silent() {
    // Guards against requests that are bound to a silent target because no retry was left when they
    // were sent, and against a slow pool in which each request is sent twice.
    let results = |served, overdue, moved| Results {
        served,
        overdue,
        moved,
    };
    #[rustfmt::skip]
    let cases = [
        Case { name: "all answer", silent: 0, silent_until: 0, answer: 100, free: 0, expected: results(200, 0, 0) },
        Case { name: "whole pool slow", silent: 0, silent_until: 0, answer: 4_000, free: 0, expected: results(200, 0, 0) },
        Case { name: "retries free", silent: 5, silent_until: 7_000, answer: 100, free: 0, expected: results(200, 0, 19) },
        Case { name: "retries free later", silent: 5, silent_until: 7_000, answer: 100, free: 8_000, expected: results(200, 0, 19) },
        Case { name: "more than the budget", silent: 5, silent_until: 20_000, answer: 100, free: 0, expected: results(190, 10, 40) },
        Case { name: "retries never free", silent: 5, silent_until: 7_000, answer: 100, free: 60_000, expected: results(181, 19, 0) },
    ];
    for c in cases {
        assert_eq!(run(&c), c.expected, "{}", c.name);
    }
}

#[test]
fn idle_target_counts_as_silent_after_one_late_request() {
    // Guards against a target that is ejected at once because it had no request before the late one.
    struct Case {
        reported: Option<u64>,
        answered: Option<u64>,
        waited: u64,
        expected: u64,
    }
    #[rustfmt::skip]
    let cases = [
        Case { reported: None, answered: Some(60_000), waited: 72, expected: 72 },
        Case { reported: None, answered: None, waited: 72, expected: 72 },
        Case { reported: None, answered: Some(60_000), waited: 1_000, expected: 1_000 },
        Case { reported: Some(20), answered: Some(60_000), waited: 1_000, expected: 20 },
    ];
    for c in cases {
        let silent_for = signs(c.reported, c.answered).silent_for(ms(c.waited));
        assert_eq!(silent_for, ms(c.expected));
    }
}

#[test]
fn late_requests_leave_retries_to_those_that_fail_otherwise() {
    // Guards against requests that are only late and use up the budget before others fail.
    let mut budget = Budget::new(retry_budget::Config {
        ratio: 0.2,
        slack: 56.0,
        entries: 28,
        window: Micros::from_secs(10),
    });
    (0..200).for_each(|n| budget.record_request(ms(n)));
    let late = (0..100).filter(|n| budget.spend(ms(200 + n), RetryReason::Late));
    let late = late.count();
    assert!(budget.ask(ms(299)).is_none(), "loans for late requests");
    let failing = (0..100).filter(|n| budget.spend(ms(300 + n), RetryReason::HasRun));
    let failing = failing.count();
    assert!(
        late >= 15 && failing >= 15,
        "{late} late, {failing} failing"
    );
}

#[test]
fn entries_return_to_a_full_target_at_different_times() {
    // Guards against entries that ask a full engine again all at once, ever more often, or never again.
    for refusals in [1, 2, 3, 10, 100] {
        let ends = (0..=10).map(|n| {
            let (mut history, mut now) = (History::default(), ms(0));
            for _ in 0..refusals {
                while history.is_full(now) {
                    now = now + ms(5);
                }
                history.full(now, f64::from(n) / 10.0);
            }
            let step = (0..300).find(|s| !history.is_full(now + ms(s * 5)));
            step.expect("an end") * 5
        });
        let ends: Vec<_> = ends.collect();
        assert!(ends.is_sorted_by(|a, b| a < b), "{refusals}: {ends:?}");
        assert_eq!(ends[10], ends[0] * 3, "{refusals}: {ends:?}");
        assert!(ends[10] <= 1_200, "{refusals}: {ends:?}");
    }
}
