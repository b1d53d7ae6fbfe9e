//! Decisions of an entry that reaches targets without a sidecar, each under the load that it answers.

use model::Micros;
use policy::lateness::{judge, Prospect, Verdict};
use policy::ledger::Ledger;
use policy::pace::{Pace, GUESS};
use policy::pollers::Pollers;
use policy::shared::Need;
use policy::standing::{self, Standing};
use policy::versions::Versions;
use policy::{apart, shared, urgency};

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

#[test]
fn all_entries_together_stay_within_the_pools_budget() {
    // A pool fails in part and seven entries of very unequal traffic see it at once. Each sends what
    // it may again; together they stay below what the pool's owner allows in every window.
    const RATIO: f64 = 0.2;
    const SLACK: f64 = 56.0;
    let window = Micros::from_secs(10);
    let config = shared::Config {
        ratio: RATIO,
        slack: SLACK,
        entries: 7,
        window,
    };
    let mut entries: Vec<_> = (0..7).map(|_| shared::Budget::new(config)).collect();
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for step in 0..4_000u64 {
        let now = ms(step * 10);
        for (i, entry) in entries.iter_mut().enumerate() {
            // The n-th entry has a request every n steps, and all of them fail.
            if step % (i as u64 + 1) == 0 {
                entry.request(now);
                requests.push(now);
                if entry.spend(now, Need::HasRun) {
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
        "hardly used"
    );
}

#[test]
fn an_entry_with_little_traffic_may_still_retry() {
    // One request in a minute fails by chance. Its caller shouldn't pay for the entry's being idle.
    let mut budget = shared::Budget::new(shared::Config {
        ratio: 0.2,
        slack: 56.0,
        entries: 28,
        window: Micros::from_secs(10),
    });
    budget.request(ms(0));
    assert!(budget.spend(ms(1), Need::NotRun));
}

#[test]
fn streams_that_were_cut_find_retries_left() {
    // A third of the engines crash. First come hundreds of tries that were refused at the engines that
    // are left; a moment later the next third crashes, and streams that have begun are cut. The ones
    // refused could be told to come back; a stream that finds no retry left is lost.
    let mut budget = shared::Budget::new(shared::Config {
        ratio: 0.2,
        slack: 56.0,
        entries: 28,
        window: Micros::from_secs(10),
    });
    (0..200).for_each(|n| budget.request(ms(n)));
    let refused = (0..100).filter(|n| budget.spend(ms(200 + n), Need::NotRun));
    let refused = refused.count();
    let cut = (0..100).filter(|n| budget.spend(ms(300 + n), Need::HasRun));
    let cut = cut.count();
    assert!(refused >= 15, "{refused} tries that were refused went on");
    assert!(cut >= 15, "{cut} streams went on");
    assert!(refused + cut <= 42, "beyond the budget");
}

#[test]
fn a_target_that_fails_at_once_draws_no_more_traffic() {
    // A target refuses nine in ten at once and looks idle for it. It is left out after a few failures,
    // for longer each time, while one whose failures are as usual as its peers' stays.
    let config = standing::Config::default();
    let mut grey = Standing::default();
    let mut sent = 0;
    let mut now = ms(0);
    for n in 0..2_000 {
        now = now + ms(10);
        if grey.usable(now) {
            sent += 1;
            match n % 10 {
                0 => grey.good(&config),
                _ => grey.bad(&config, now, 0.05),
            }
        }
    }
    assert!(sent < 400, "{sent} of 2000 sent to it");
    let mut usual = Standing::default();
    for n in 0..2_000 {
        match n % 7 {
            0 => usual.bad(&config, ms(n * 10), 0.14),
            _ => usual.good(&config),
        }
        assert!(usual.usable(ms(n * 10)), "left out for usual failures");
    }
}

#[test]
fn a_dark_target_is_asked_ever_less_and_comes_back() {
    // A target can't be reached. Each try costs a caller a timeout, so tries become rare; once one
    // succeeds, it is as good as before.
    let config = standing::Config::default();
    let mut dark = Standing::default();
    let tries = (0..20_000u64).step_by(10).filter(|t| {
        let now = ms(*t);
        let tried = dark.usable(now);
        if tried {
            dark.unreachable(&config, now);
        }
        tried
    });
    let tries = tries.count();
    assert!((4..=12).contains(&tries), "{tries} tries in 20 s");
    dark.good(&config);
    assert!(dark.usable(ms(20_001)));
    assert!(!dark.on_trial(ms(20_001)));
}

#[test]
fn what_was_told_twice_late_or_never_again_doesn_t_count_for_good() {
    // Words about prompts are lost, repeated and come in any order. What an engine has yet to read
    // comes back to nothing all the same.
    let mut ledger = Ledger::default();
    ledger.sent(ms(0), 1, 500);
    ledger.sent(ms(0), 1, 500);
    ledger.sent(ms(0), 2, 4_000);
    ledger.sent(ms(1_000), 3, 9_000);
    assert_eq!(ledger.unread(), [500, 4_000, 9_000]);
    ledger.read(2);
    ledger.read(2);
    ledger.read(99);
    assert_eq!(ledger.unread(), [500, 0, 9_000]);
    ledger.expire(ms(3_500));
    assert_eq!(
        ledger.unread(),
        [0, 0, 9_000],
        "the word of its end was lost"
    );
    ledger.clear();
    assert_eq!(ledger.unread(), [0, 0, 0]);
}

#[test]
fn short_prompts_pass_long_ones_within_a_callers_rank() {
    // Engines read what is most urgent first. A caller's rank decides; among equals, a short prompt
    // isn't kept waiting by long ones, and counts only a part of them as being before it.
    let ranks = [(0, 100), (0, 3_000), (0, 20_000), (1, 100), (1, 20_000)];
    let ranks = ranks.map(|(caller, read)| urgency::rank(caller, read));
    assert!(
        ranks.is_sorted() && ranks.windows(2).all(|w| w[0] < w[1]),
        "{ranks:?}"
    );
    assert!(urgency::rank(200, 20_000) <= 9);
    let unread = [1_000, 10_000, 40_000];
    let before: Vec<_> = [0, 1, 2].map(|s| urgency::before(unread, s)).to_vec();
    assert!(before[0] < 17_000.0, "{before:?}");
    assert_eq!(before[2], 51_000.0);
}

#[test]
fn a_burst_of_prompts_is_read_shortest_first_and_more_are_in_time() {
    // A second's worth of prompts comes at once, one long for four short. By order of arrival half of
    // the short ones are late behind long ones; by urgency they are in time, and the last long one
    // ends no later than before.
    const READ: f64 = 1.0 / 45.0;
    const AIM: f64 = 400.0;
    let reads: Vec<u32> = (0..60)
        .map(|n| if n % 5 == 0 { 7_000 } else { 800 })
        .collect();
    let in_time = |order: &[u32]| {
        let mut clock = 0.0;
        let done = order.iter().map(|read| {
            clock += f64::from(*read) * READ;
            (*read, clock)
        });
        let short = done.filter(|(read, at)| *read < 1_500 && *at <= AIM);
        short.count()
    };
    let mut urgent = reads.clone();
    urgent.sort_by_key(|read| urgency::rank(0, *read));
    let (arrival, urgent) = (in_time(&reads), in_time(&urgent));
    assert!(
        urgent >= arrival * 2,
        "{arrival} by arrival, {urgent} by urgency"
    );
}

#[test]
fn long_prompts_are_judged_by_what_waits_before_them() {
    // A prompt of 25,000 tokens takes longer to read than its aim. It is served on an idle engine and
    // on a busy one, and refused only if its caller would have left before its answer.
    struct Case {
        name: &'static str,
        prospect: Prospect,
        sent: bool,
    }
    let prospect = |wait, own| Prospect {
        wait,
        own,
        aim: 600.0,
        left: 4_000.0,
    };
    let cases = [
        Case {
            name: "short, idle",
            prospect: prospect(0.0, 50.0),
            sent: true,
        },
        Case {
            name: "short, just in time",
            prospect: prospect(540.0, 50.0),
            sent: true,
        },
        Case {
            name: "short, late",
            prospect: prospect(650.0, 50.0),
            sent: false,
        },
        Case {
            name: "long, idle",
            prospect: prospect(0.0, 900.0),
            sent: true,
        },
        Case {
            name: "long, busy",
            prospect: prospect(1_200.0, 900.0),
            sent: true,
        },
        Case {
            name: "long, too late for its caller",
            prospect: prospect(2_000.0, 900.0),
            sent: false,
        },
    ];
    for c in cases {
        match judge(&c.prospect) {
            Verdict::Send => assert!(c.sent, "{}", c.name),
            Verdict::Refuse(over) => assert!(!c.sent && over > 0.0, "{}", c.name),
        }
    }
}

#[test]
fn at_twice_the_load_refusing_keeps_others_in_time() {
    // For ten seconds twice as much comes as one engine reads. If all is sent, the queue grows without
    // end and nearly nothing is in time; if what can't be in time is refused, about as much is in time
    // as the engine can read.
    let served = |refuse: bool| {
        let (aim, left, own) = (600.0, 4_000.0, 100.0);
        let mut queue: f64 = 0.0;
        let mut good = 0;
        for _ in 0..200 {
            queue = (queue - 50.0).max(0.0);
            let prospect = Prospect {
                wait: queue,
                own,
                aim,
                left,
            };
            if refuse && judge(&prospect) != Verdict::Send {
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
fn engines_are_dealt_out_by_the_work_of_both_kinds() {
    // Long prompts bring two thirds of the work, then nearly none. The engines kept for them follow
    // within seconds; each kind always has one, unless there is but one engine.
    let mut work = apart::Work::default();
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
    assert!(apart::cost(9_000, false) > 0.0 && apart::cost(9_000, true) == 0.0);
    assert!(apart::cost(800, true) > 0.0 && apart::cost(800, false) == 0.0);
    assert!(apart::suffers(8, 500.0) && !apart::suffers(4, 300.0));
    assert!(!apart::suffers(8, 0.0), "no pause is named");
}

#[test]
fn a_few_read_for_all_and_the_next_in_rank_when_one_falls_silent() {
    // Twenty-eight entries read the same list. After a first round two of them do; when one of the
    // two is killed, the next takes its place within two seconds, and at no time does nobody read.
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
fn a_silence_of_both_readers_is_noticed_in_time_whenever_it_begins() {
    // Two of four entries read the list for all, and both are killed right after a read. A target leaves
    // at that moment. The other two had looked for the readers' silence in steps of a pause: 1.2 s, and
    // up to 0.8 s more, so that callers' requests reached the target later than the two seconds allowed.
    let killed = 10_000;
    for read in (killed - 3_900..killed).step_by(50) {
        for draw in [0.0, 0.5, 1.0] {
            let mut pollers = Pollers::default();
            for told in (killed - 4_200..=killed).step_by(700) {
                pollers.record(ms(told), 0);
                pollers.record(ms(told), 1);
            }
            let next = pollers.next_poll(ms(read), 2, draw);
            let seldom = ms(read + 4_000);
            assert!(
                next <= ms(killed + 1_400),
                "last read at {read}, draw {draw}: {next:?}"
            );
            assert!(
                next >= seldom.min(ms(killed + 1_200)),
                "put off as long as others read"
            );
        }
    }
    // One who is needed reads every 0.6 to 0.8 s, also where it is alone.
    for (draw, want) in [(0.0, 600), (1.0, 800)] {
        assert_eq!(
            Pollers::default().next_poll(ms(5_000), 2, draw),
            ms(5_000 + want)
        );
    }
}

#[test]
fn weights_grow_old_from_the_first_version_after_them() {
    // New weights are named every two seconds while one engine is cut off and keeps version 2. Its
    // age counts from the naming of version 3, however often something newer is named after that; a
    // caller doesn't get an answer on weights that were replaced seven seconds ago.
    let mut versions = Versions::default();
    for (version, at) in [(2, 1_000), (3, 4_000), (4, 6_000), (5, 8_000)] {
        assert!(versions.record(ms(at), version, false));
        assert!(!versions.record(ms(at), version, false), "told twice");
    }
    assert_eq!(versions.outdated(ms(10_000), 2), Some(ms(6_000)));
    assert_eq!(versions.outdated(ms(10_000), 4), Some(ms(2_000)));
    assert_eq!(versions.outdated(ms(10_000), 5), None);
    assert_eq!((versions.newest(), versions.received_at()), (5, ms(8_000)));
    // A process that starts in the middle of it doesn't know when version 5 was named.
    let mut started = Versions::default();
    started.record(ms(100), 5, true);
    assert_eq!(started.outdated(ms(1_100), 2), Some(ms(3_500)));
}

#[test]
fn the_pace_of_reading_is_what_first_tokens_show() {
    // Engines read ten tokens in a millisecond at one site and three hundred at another. With one figure
    // for both, long prompts are refused that would be in time, or all go to an opening's holder however
    // much waits there.
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
        Case { name: "nothing seen", speed: 75.0, tokens: mixed, prompts: 0, want: GUESS, within: 0.0 },
        Case { name: "slow", speed: 10.0, tokens: mixed, prompts: 300, want: 1.0 / 10.0, within: 0.15 },
        Case { name: "middling", speed: 75.0, tokens: mixed, prompts: 300, want: 1.0 / 75.0, within: 0.15 },
        Case { name: "fast", speed: 300.0, tokens: mixed, prompts: 300, want: 1.0 / 300.0, within: 0.5 },
        Case { name: "all alike, which tells nothing", speed: 75.0, tokens: short, prompts: 300, want: GUESS, within: 0.02 },
    ];
    for c in cases {
        let mut pace = Pace::default();
        for n in 0..c.prompts {
            let tokens = (c.tokens)(n);
            // Each first token takes 70 ms and some chance beside what is read.
            let chance = (n * 31 % 17) as f64;
            pace.add(tokens, 70.0 + chance + f64::from(tokens) / c.speed);
        }
        let off = (pace.read() - c.want).abs() / c.want;
        assert!(
            off <= c.within + 1e-9,
            "{}: {} for {}",
            c.name,
            pace.read(),
            c.want
        );
    }
}
