//! Decisions of an entry that reaches targets without a sidecar, each under the load that it answers.

use model::{Incarnation, MemberId, Micros};
use policy::broken::{Break, Broken};
use policy::hearing::{self, Hearers, Sidecar};
use policy::lateness::{judge, Prospect, Verdict};
use policy::ledger::Ledger;
use policy::quarantine::{Config, Crash, Fingerprint, Place, Quarantine, Verdict as Held};
use policy::readers::Readers;
use policy::shared::Need;
use policy::standing::{self, Standing};
use policy::versions::Versions;
use policy::{apart, shared, turns, urgency};

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
fn engines_take_new_weights_a_few_at_a_time_and_all_soon() {
    // New weights are named for a whole pool under load. At no moment is more than a fifth of it
    // loading, or two engines of a small pool, and the last is done a few loads after the first.
    struct Case {
        engines: usize,
        most: usize,
        rounds: u64,
    }
    let cases = [
        Case {
            engines: 1,
            most: 2,
            rounds: 1,
        },
        Case {
            engines: 9,
            most: 2,
            rounds: 5,
        },
        Case {
            engines: 52,
            most: 10,
            rounds: 6,
        },
        Case {
            engines: 830,
            most: 166,
            rounds: 5,
        },
    ];
    let load = ms(400);
    for c in cases {
        let config = turns::Config::default();
        let starts: Vec<_> = (0..c.engines)
            .map(|rank| turns::wait(&config, rank, c.engines, load))
            .collect();
        for at in &starts {
            let loading = starts.iter().filter(|s| **s <= *at && *at < **s + load);
            assert!(loading.count() <= c.most, "{} engines", c.engines);
        }
        let last = starts.iter().max().expect("an engine");
        assert_eq!(
            *last,
            Micros(load.0 * (c.rounds - 1)),
            "{} engines",
            c.engines
        );
    }
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
            0 => work.add(now, 9_000, 4_500),
            _ => work.add(now, 800, 600),
        }
    }
    let mixed = work.long_engines(9);
    assert!((4..=6).contains(&mixed), "{mixed}");
    for n in 2_000..6_000 {
        work.add(ms(n * 10), 800, 600);
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
    let mut entries: Vec<_> = (0..28).map(|_| Readers::default()).collect();
    let mut reads = Vec::new();
    for step in 0..100u64 {
        let now = ms(step * 100);
        let killed = |rank: u64| rank == 0 && now >= ms(5_000);
        if step % 7 == 0 {
            let due: Vec<u64> = (0..28u64)
                .filter(|r| !killed(*r) && entries[*r as usize].reads(now, *r))
                .collect();
            for entry in &mut entries {
                due.iter().for_each(|r| entry.hear(now, *r));
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
fn weights_grow_old_from_the_first_version_after_them() {
    // New weights are named every two seconds while one engine is cut off and keeps version 2. Its
    // age counts from the naming of version 3, however often something newer is named after that; a
    // caller doesn't get an answer on weights that were replaced seven seconds ago.
    let mut versions = Versions::default();
    for (version, at) in [(2, 1_000), (3, 4_000), (4, 6_000), (5, 8_000)] {
        assert!(versions.name(ms(at), version, false));
        assert!(!versions.name(ms(at), version, false), "told twice");
    }
    assert_eq!(versions.outdated(ms(10_000), 2), Some(ms(6_000)));
    assert_eq!(versions.outdated(ms(10_000), 4), Some(ms(2_000)));
    assert_eq!(versions.outdated(ms(10_000), 5), None);
    assert_eq!((versions.newest(), versions.heard()), (5, ms(8_000)));
    // A process that starts in the middle of it doesn't know when version 5 was named.
    let mut started = Versions::default();
    started.name(ms(100), 5, true);
    assert_eq!(started.outdated(ms(1_100), 2), Some(ms(3_500)));
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
        life: Incarnation(life),
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
        life: Incarnation(1),
    };
    let print = |body| Fingerprint { body, weights: 0 };
    for member in 1..=20 {
        let now = Micros::from_secs(member);
        let struck = quarantine.strike(now, print(1), crash(member));
        let vouched = member > 1;
        assert_eq!(struck == Held::Suspect, !vouched);
        quarantine.strike(now, print(2), crash(member));
        assert_eq!(quarantine.vouch(now, print(1)), !vouched);
    }
    let now = Micros::from_secs(21);
    assert_eq!(quarantine.verdict(now, print(1)), Held::Clear);
    assert_eq!(quarantine.verdict(now, print(2)), Held::Convicted);
    // Somebody else has had a good answer to it.
    assert!(quarantine.vouch(now, print(2)), "a convict wasn't cleared");
    assert_eq!(quarantine.verdict(now, print(2)), Held::Clear);
    // Crashes ten minutes apart are no series.
    quarantine.strike(now, print(3), crash(1));
    quarantine.strike(now, print(3), crash(2));
    let late = now + Config::default().lasts;
    let soon = now + Config::default().vouches;
    assert!(!quarantine.vouched(soon, print(1)), "vouched for too long");
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
    let of = 30;
    let mut entries: Vec<_> = (0..of).map(|_| Quarantine::new(strikes)).collect();
    for entry in &mut entries {
        for member in 1..=3 {
            let crash = Crash {
                member: MemberId(member),
                life: Incarnation(1),
            };
            entry.strike(ms(0), print, crash);
        }
    }
    let mut tries = Vec::new();
    for second in 0..600 {
        for (rank, entry) in entries.iter_mut().enumerate() {
            let place = Place { rank, of };
            if entry.retry(Micros::from_secs(second), print, place) {
                tries.push(second);
            }
        }
    }
    assert_eq!(tries, [15, 45, 105]);
}

#[test]
fn an_entry_hears_few_of_many_engines_and_the_near_ones_first() {
    // 350 entries stand before 830 engines in 11 failure domains. If each heard each, an entry would
    // take in 16,000 words a second for its eight requests.
    struct Case {
        name: &'static str,
        engines: usize,
        domains: usize,
        heard: usize,
        near: usize,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "a small fleet: all", engines: 9, domains: 3, heard: 9, near: 3 },
        Case { name: "as many as one hears", engines: 96, domains: 4, heard: 96, near: 24 },
        Case { name: "the domain and some others", engines: 830, domains: 11, heard: 96, near: 76 },
        Case { name: "a part of a large domain", engines: 830, domains: 2, heard: 96, near: 96 },
    ];
    let addr = |n: usize| std::net::SocketAddr::from(([127, 0, 0, 1], n as u16 + 1));
    for c in cases {
        let sidecars = (0..c.engines).map(|n| Sidecar {
            addr: addr(n),
            near: n % c.domains == 0,
            rank: (n as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15),
        });
        let wanted = hearing::wanted(sidecars);
        assert_eq!(wanted.len(), c.heard, "{}", c.name);
        let near = wanted
            .iter()
            .filter(|a| (a.port() as usize - 1).is_multiple_of(c.domains));
        assert_eq!(near.count(), c.near, "{}", c.name);
    }
}

#[test]
fn a_sidecar_tells_those_who_ask_and_forgets_those_who_stop() {
    // An entry is gone and nobody says so. A sidecar that told it for good would tell more and more
    // that nobody hears; one that forgot it after a single lost word would leave it without news.
    let entry = |n: u16| std::net::SocketAddr::from(([127, 0, 0, 1], n));
    let mut hearers = Hearers::default();
    assert!(
        hearers.ask(ms(0), entry(1)),
        "it lacks what was told before"
    );
    assert!(hearers.ask(ms(0), entry(2)));
    assert!(!hearers.ask(ms(2_000), entry(1)), "it was told all along");
    // Two words of the first are lost.
    assert!(!hearers.ask(ms(7_900), entry(1)));
    let told: Vec<_> = hearers.told(ms(8_000)).collect();
    assert_eq!(told, [entry(1)]);
    assert!(
        hearers.ask(ms(20_000), entry(1)),
        "it lacks what was told meanwhile"
    );
}
