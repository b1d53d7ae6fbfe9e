//! Policies of an entry that reaches targets without a sidecar, each under the load pattern that it is for.

use model::Micros;
use policy::backlog::Backlog;
use policy::circuit_breaker::{self, CircuitBreaker};
use policy::latency_admission::{decide, Decision, Estimate};
use policy::pollers::Pollers;
use policy::prefill_rate::{PrefillRate, INITIAL_MS_PER_TOKEN};
use policy::retry_budget::RetryReason;
use policy::versions::Versions;
use policy::{length_partition, prefill_priority, retry_budget};

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

#[test]
fn all_entries_together_stay_within_the_pools_budget() {
    // Guards against entries that each stay within a budget of their own and exceed the pool's budget together
    // in some window. Seven entries of very unequal traffic see the same failures.
    const RATIO: f64 = 0.2;
    const SLACK: f64 = 56.0;
    let window = Micros::from_secs(10);
    let config = retry_budget::Config {
        ratio: RATIO,
        slack: SLACK,
        entries: 7,
        window,
    };
    let mut entries: Vec<_> = (0..7).map(|_| retry_budget::Budget::new(config)).collect();
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for step in 0..4_000u64 {
        let now = ms(step * 10);
        for (i, entry) in entries.iter_mut().enumerate() {
            // The entry at index i has a request every i + 1 steps, and all of them fail.
            if step % (i as u64 + 1) == 0 {
                entry.record_request(now);
                requests.push(now);
                if entry.spend(now, RetryReason::HasRun) {
                    retries.push(now);
                }
            }
        }
    }
    let within = |times: &[Micros], from: Micros| {
        let inside = times.iter().filter(|t| **t >= from && **t < from + window);
        inside.count() as f64
    };
    for from in (0..30_000).step_by(250).map(ms) {
        let allowed = RATIO * within(&requests, from) + SLACK;
        let used = within(&retries, from);
        assert!(used <= allowed, "{used} of {allowed} from {from:?}");
    }
    assert!(
        retries.len() as f64 > 0.1 * requests.len() as f64,
        "the budget is hardly used"
    );
}

#[test]
fn retries_follow_callers_that_all_move_to_one_entry() {
    // Guards against an entry that gets all callers and has only its own small part of the slack, and
    // against loans that let all entries together exceed the pool's budget in some window.
    const RATIO: f64 = 0.2;
    const SLACK: f64 = 56.0;
    struct Case {
        name: &'static str,
        entries: usize,
        /// Time for which one entry gets all requests, before the next one does.
        turn: u64,
        /// Share of the loans that are lost.
        lost: u64,
        /// Least share of the slack that is used in the first ten seconds.
        used: f64,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "6 entries", entries: 6, turn: 60_000, lost: 0, used: 0.6 },
        // Only whole retries are lent, one of each part of 1.6.
        Case { name: "28 entries", entries: 28, turn: 60_000, lost: 0, used: 0.4 },
        Case { name: "moving on", entries: 6, turn: 3_000, lost: 0, used: 0.3 },
        Case { name: "loans lost", entries: 6, turn: 7_000, lost: 3, used: 0.3 },
    ];
    let window = Micros::from_secs(10);
    for case in cases {
        let config = retry_budget::Config {
            ratio: RATIO,
            slack: SLACK,
            entries: case.entries,
            window,
        };
        let new = |_| retry_budget::Budget::new(config);
        let mut entries: Vec<_> = (0..case.entries).map(new).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for step in 0..4_000u64 {
            let now = ms(step * 10);
            let hot = (step * 10 / case.turn) as usize % case.entries;
            // Half of the requests come with a stream that was cut elsewhere.
            if step % 20 == 0 {
                entries[hot].record_request(now);
                requests.push(now);
            }
            if step % 2 == 0 && entries[hot].spend(now, RetryReason::HasRun) {
                retries.push(now);
            }
            let Some(wanted) = entries[hot].ask(now) else {
                continue;
            };
            for other in (0..case.entries).filter(|i| *i != hot) {
                let lent = entries[other].lend(now, wanted);
                if case.lost == 0 || !(step + other as u64).is_multiple_of(case.lost) {
                    entries[hot].borrow(now, lent);
                }
            }
        }
        let within = |times: &[Micros], from: Micros| {
            let inside = times.iter().filter(|t| **t >= from && **t < from + window);
            inside.count() as f64
        };
        for from in (0..30_000).step_by(100).map(ms) {
            let allowed = RATIO * within(&requests, from) + SLACK;
            let used = within(&retries, from);
            assert!(used <= allowed, "{}: {used} of {allowed}", case.name);
        }
        let earned = RATIO * within(&requests, ms(0));
        let used = (within(&retries, ms(0)) - earned) / SLACK;
        assert!(used >= case.used, "{}: {used}", case.name);
    }
}

#[test]
fn an_entry_with_little_traffic_may_still_retry() {
    // Guards against an idle entry that has no retry for the only request in a minute, which fails by chance.
    let mut budget = retry_budget::Budget::new(retry_budget::Config {
        ratio: 0.2,
        slack: 56.0,
        entries: 28,
        window: Micros::from_secs(10),
    });
    budget.record_request(ms(0));
    assert!(budget.spend(ms(1), RetryReason::NotRun));
}

#[test]
fn interrupted_streams_find_retries_left() {
    // Guards against refused attempts that use up all retries after a third of the engines crash. When the next
    // third crashes, interrupted streams without a retry are lost; refused requests could come back later.
    let mut budget = retry_budget::Budget::new(retry_budget::Config {
        ratio: 0.2,
        slack: 56.0,
        entries: 28,
        window: Micros::from_secs(10),
    });
    (0..200).for_each(|n| budget.record_request(ms(n)));
    let refused = (0..100).filter(|n| budget.spend(ms(200 + n), RetryReason::NotRun));
    let refused = refused.count();
    let cut = (0..100).filter(|n| budget.spend(ms(300 + n), RetryReason::HasRun));
    let cut = cut.count();
    assert!(refused >= 15, "{refused} refused attempts were retried");
    assert!(cut >= 15, "{cut} interrupted streams were retried");
    assert!(refused + cut <= 42, "beyond the budget");
}

#[test]
fn a_target_that_fails_at_once_attracts_no_more_traffic() {
    // Guards against a target that refuses nine requests in ten, looks idle and gets ever more, and against
    // ejecting a target whose failure rate is that of its peers.
    let config = circuit_breaker::Config::default();
    let mut grey = CircuitBreaker::default();
    let mut sent = 0;
    let mut now = ms(0);
    for n in 0..2_000 {
        now = now + ms(10);
        if grey.usable(now) {
            sent += 1;
            match n % 10 {
                0 => grey.success(&config),
                _ => grey.failure(&config, now, 0.05),
            }
        }
    }
    assert!(sent < 400, "{sent} of 2000 sent to it");
    let mut usual = CircuitBreaker::default();
    for n in 0..2_000 {
        match n % 7 {
            0 => usual.failure(&config, ms(n * 10), 0.14),
            _ => usual.success(&config),
        }
        assert!(
            usual.usable(ms(n * 10)),
            "ejected for the usual failure rate"
        );
    }
}

#[test]
fn an_unreachable_target_is_tried_less_and_less_and_recovers() {
    // Guards against frequent attempts at an unreachable target, each of which costs a caller a timeout, and
    // against a restriction that remains after a success.
    let config = circuit_breaker::Config::default();
    let mut dark = CircuitBreaker::default();
    let attempts = (0..20_000u64).step_by(10).filter(|t| {
        let now = ms(*t);
        let attempted = dark.usable(now);
        if attempted {
            dark.unreachable(&config, now);
        }
        attempted
    });
    let attempts = attempts.count();
    assert!((4..=12).contains(&attempts), "{attempts} attempts in 20 s");
    dark.success(&config);
    assert!(dark.usable(ms(20_001)));
    assert!(!dark.on_trial(ms(20_001)));
}

#[test]
fn repeated_late_or_lost_updates_leave_no_permanent_backlog() {
    // Guards against an engine that looks busy forever because updates about its prompts are lost, repeated or
    // reordered.
    let mut backlog = Backlog::default();
    backlog.add(ms(0), 1, 500);
    backlog.add(ms(0), 1, 500);
    backlog.add(ms(0), 2, 4_000);
    backlog.add(ms(1_000), 3, 9_000);
    assert_eq!(backlog.unread_tokens(), [500, 4_000, 9_000]);
    backlog.remove(2);
    backlog.remove(2);
    backlog.remove(99);
    assert_eq!(backlog.unread_tokens(), [500, 0, 9_000]);
    backlog.expire(ms(3_500));
    assert_eq!(
        backlog.unread_tokens(),
        [0, 0, 9_000],
        "the update of its end was lost"
    );
    backlog.clear();
    assert_eq!(backlog.unread_tokens(), [0, 0, 0]);
}

#[test]
fn short_prompts_overtake_long_ones_within_a_callers_rank() {
    // Guards against short prompts that wait behind long ones of the same caller's rank, and against estimates that
    // count all of the long ones as being ahead.
    let ranks = [(0, 100), (0, 3_000), (0, 20_000), (1, 100), (1, 20_000)];
    let ranks = ranks.map(|(caller, read)| prefill_priority::rank(caller, read));
    assert!(
        ranks.is_sorted() && ranks.windows(2).all(|w| w[0] < w[1]),
        "{ranks:?}"
    );
    assert!(prefill_priority::rank(200, 20_000) <= 9);
    let unread = [1_000, 10_000, 40_000];
    let before: Vec<_> = [0, 1, 2]
        .map(|s| prefill_priority::tokens_ahead(unread, s))
        .to_vec();
    assert!(before[0] < 17_000.0, "{before:?}");
    assert_eq!(before[2], 51_000.0);
}

#[test]
fn prefilling_a_burst_shortest_first_gets_more_prompts_in_time() {
    // Guards against prefill in order of arrival: in a burst with one long prompt for four short ones, half of the
    // short ones are late behind long ones. By urgency they are in time, and the last long one ends no later.
    const PREFILL: f64 = 1.0 / 45.0;
    const AIM: f64 = 400.0;
    let prompts: Vec<u32> = (0..60)
        .map(|n| if n % 5 == 0 { 7_000 } else { 800 })
        .collect();
    let in_time = |order: &[u32]| {
        let mut clock = 0.0;
        let done = order.iter().map(|tokens| {
            clock += f64::from(*tokens) * PREFILL;
            (*tokens, clock)
        });
        let short = done.filter(|(tokens, at)| *tokens < 1_500 && *at <= AIM);
        short.count()
    };
    let mut urgent = prompts.clone();
    urgent.sort_by_key(|tokens| prefill_priority::rank(0, *tokens));
    let (arrival, urgent) = (in_time(&prompts), in_time(&urgent));
    assert!(
        urgent >= arrival * 2,
        "{arrival} by arrival, {urgent} by urgency"
    );
}

#[test]
fn long_prompts_are_judged_by_what_waits_before_them() {
    // Guards against refusing a prompt of 25,000 tokens because its own prefill exceeds the targeted time. It is
    // refused only if its caller would have left before the answer.
    struct Case {
        name: &'static str,
        estimate: Estimate,
        sent: bool,
    }
    let estimate = |wait, own| Estimate {
        wait,
        prefill: own,
        latency_goal: 600.0,
        time_left: 4_000.0,
    };
    let cases = [
        Case {
            name: "short, idle",
            estimate: estimate(0.0, 50.0),
            sent: true,
        },
        Case {
            name: "short, just in time",
            estimate: estimate(540.0, 50.0),
            sent: true,
        },
        Case {
            name: "short, late",
            estimate: estimate(650.0, 50.0),
            sent: false,
        },
        Case {
            name: "long, idle",
            estimate: estimate(0.0, 900.0),
            sent: true,
        },
        Case {
            name: "long, busy",
            estimate: estimate(1_200.0, 900.0),
            sent: true,
        },
        Case {
            name: "long, too late for its caller",
            estimate: estimate(2_000.0, 900.0),
            sent: false,
        },
    ];
    for c in cases {
        match decide(&c.estimate) {
            Decision::Send => assert!(c.sent, "{}", c.name),
            Decision::Refuse(over) => assert!(!c.sent && over > 0.0, "{}", c.name),
        }
    }
}

#[test]
fn at_twice_the_load_refusing_keeps_others_in_time() {
    // Guards against a queue without bound when for ten seconds twice as many prompts arrive as an engine can
    // prefill: nearly none would be in time. With refusals, about as many are in time as the engine can prefill.
    let served = |refuse: bool| {
        let (aim, left, own) = (600.0, 4_000.0, 100.0);
        let mut queue: f64 = 0.0;
        let mut good = 0;
        for _ in 0..200 {
            queue = (queue - 50.0).max(0.0);
            let estimate = Estimate {
                wait: queue,
                prefill: own,
                latency_goal: aim,
                time_left: left,
            };
            if refuse && decide(&estimate) != Decision::Send {
                continue;
            }
            good += usize::from(queue + own <= aim);
            queue += own;
        }
        good
    };
    let (all, judged) = (served(false), served(true));
    assert!(all < 25, "{all}");
    assert!(judged >= 95, "{judged}");
}

#[test]
fn engines_are_divided_by_the_work_of_both_kinds() {
    // Guards against a division that doesn't follow the work within seconds, when long prompts go from two thirds
    // of it to nearly none, and against a kind of prompt without an engine.
    let mut work = length_partition::RecentWork::default();
    for n in 0..2_000 {
        let now = ms(n * 10);
        match n % 4 {
            0 => work.add(now, 9_000, 100.0),
            _ => work.add(now, 800, 13.3),
        }
    }
    let mixed = work.long_engines(9);
    assert!((4..=6).contains(&mixed), "{mixed}");
    for n in 2_000..6_000 {
        work.add(ms(n * 10), 800, 13.3);
    }
    assert_eq!(work.long_engines(9), 1);
    assert_eq!(work.long_engines(1), 1);
    assert_eq!(work.long_engines(0), 0);
    assert!(
        length_partition::mismatch_cost(9_000, false) > 0.0
            && length_partition::mismatch_cost(9_000, true) == 0.0
    );
    assert!(
        length_partition::mismatch_cost(800, true) > 0.0
            && length_partition::mismatch_cost(800, false) == 0.0
    );
    assert!(
        length_partition::stalls_streams(8, 500.0) && !length_partition::stalls_streams(4, 300.0)
    );
    assert!(
        !length_partition::stalls_streams(8, 0.0),
        "no pause limit is set"
    );
}

#[test]
fn two_entries_poll_for_all_and_the_next_rank_replaces_a_killed_one() {
    // Guards against all 28 entries polling the same list, and against a time in which none polls it after one of
    // the two that do is killed; the next rank takes over within two seconds.
    let mut entries: Vec<_> = (0..28).map(|_| Pollers::default()).collect();
    let mut reads = Vec::new();
    for step in 0..100u64 {
        let now = ms(step * 100);
        let killed = |rank: u64| rank == 0 && now >= ms(5_000);
        if step % 7 == 0 {
            let due: Vec<u64> = (0..28u64)
                .filter(|r| !killed(*r) && entries[*r as usize].should_poll(now, *r))
                .collect();
            for entry in &mut entries {
                due.iter().for_each(|r| entry.record(now, *r));
            }
            reads.push((now, due));
        }
    }
    assert_eq!(reads[0].1.len(), 28);
    let steady = |from: u64, to: u64| {
        let within = reads.iter();
        let within = within.filter(move |(at, _)| *at >= ms(from) && *at < ms(to));
        within.map(|(_, due)| due.clone())
    };
    assert!(steady(700, 5_000).all(|due| due == [0, 1]));
    assert!(steady(5_000, 7_000).all(|due| due.contains(&1)));
    assert!(steady(7_000, 10_000).all(|due| due == [1, 2]));
}

#[test]
fn the_silence_of_both_pollers_is_noticed_in_time_whenever_it_begins() {
    // Guards against checking for silence only between polls: after both polling entries are killed, 1.2 s of silence
    // and up to 0.8 s until the next check let requests reach a target that left more than two seconds ago.
    let killed = 10_000;
    for read in (killed - 3_900..killed).step_by(50) {
        for draw in [0.0, 0.5, 1.0] {
            let mut pollers = Pollers::default();
            for at in (killed - 4_200..=killed).step_by(700) {
                pollers.record(ms(at), 0);
                pollers.record(ms(at), 1);
            }
            let next = pollers.next_poll(ms(read), 2, draw);
            let seldom = ms(read + 4_000);
            assert!(
                next <= ms(killed + 1_400),
                "last read at {read}, draw {draw}: {next:?}"
            );
            assert!(
                next >= seldom.min(ms(killed + 1_200)),
                "not postponed while others poll"
            );
        }
    }
    // An entry that has to poll does so every 0.6 to 0.8 s, even if it is the only entry.
    for (draw, want) in [(0.0, 600), (1.0, 800)] {
        assert_eq!(
            Pollers::default().next_poll(ms(5_000), 2, draw),
            ms(5_000 + want)
        );
    }
}

#[test]
fn weights_are_outdated_from_the_first_newer_version_on() {
    // Guards against an age that restarts with each newer version: while an engine keeps version 2, its age counts
    // from version 3, so that no caller gets an answer on weights that were replaced seven seconds ago.
    let mut versions = Versions::default();
    for (version, at) in [(2, 1_000), (3, 4_000), (4, 6_000), (5, 8_000)] {
        assert!(versions.record(ms(at), version, false));
        assert!(!versions.record(ms(at), version, false), "recorded twice");
    }
    assert_eq!(versions.outdated(ms(10_000), 2), Some(ms(6_000)));
    assert_eq!(versions.outdated(ms(10_000), 4), Some(ms(2_000)));
    assert_eq!(versions.outdated(ms(10_000), 5), None);
    assert_eq!((versions.newest(), versions.received_at()), (5, ms(8_000)));
    // A process that starts later has no record of when version 5 was published.
    let mut started = Versions::default();
    started.record(ms(100), 5, true);
    assert_eq!(started.outdated(ms(1_100), 2), Some(ms(3_500)));
}

#[test]
fn the_prefill_rate_follows_the_times_to_first_tokens() {
    // Guards against one fixed prefill rate for sites with ten and with three hundred tokens a millisecond: prompts
    // that would be in time are refused, or all go to an opening's holder however long its queue is.
    struct Case {
        name: &'static str,
        speed: f64,
        tokens: fn(u64) -> u32,
        prompts: u64,
        want: f64,
        within: f64,
    }
    let mixed = |n: u64| 200 + (n * 7_919 % 6_000) as u32;
    let short = |n: u64| 600 + (n % 2) as u32;
    #[rustfmt::skip]
    let cases = [
        Case { name: "no samples", speed: 75.0, tokens: mixed, prompts: 0, want: INITIAL_MS_PER_TOKEN, within: 0.0 },
        Case { name: "slow", speed: 10.0, tokens: mixed, prompts: 300, want: 1.0 / 10.0, within: 0.15 },
        Case { name: "middling", speed: 75.0, tokens: mixed, prompts: 300, want: 1.0 / 75.0, within: 0.15 },
        Case { name: "fast", speed: 300.0, tokens: mixed, prompts: 300, want: 1.0 / 300.0, within: 0.5 },
        Case { name: "prompts of equal length, which give no slope", speed: 75.0, tokens: short, prompts: 300, want: INITIAL_MS_PER_TOKEN, within: 0.02 },
    ];
    for c in cases {
        let mut prefill_rate = PrefillRate::default();
        for n in 0..c.prompts {
            let tokens = (c.tokens)(n);
            // Each first token takes 70 ms and some variation on top of the prefill.
            let chance = (n * 31 % 17) as f64;
            prefill_rate.record(tokens, 70.0 + chance + f64::from(tokens) / c.speed);
        }
        let off = (prefill_rate.ms_per_token() - c.want).abs() / c.want;
        assert!(
            off <= c.within + 1e-9,
            "{}: {} for {}",
            c.name,
            prefill_rate.ms_per_token(),
            c.want
        );
    }
}
