//! A team's limit over the whole fleet, in virtual time: never exceeded in any window, and nothing
//! is refused below it.

mod sim;

use model::Micros;
use policy::limit::{Config, Limit, LimitKey, Limiter, Purpose, Report};

use sim::{play, Case, Fault, TEAM};

/// Environment variable with the number of seeds for each case.
const SEEDS_VARIABLE: &str = "LIMIT_SEEDS";

fn seeds() -> u64 {
    let seeds = std::env::var(SEEDS_VARIABLE).ok();
    seeds.and_then(|s| s.parse().ok()).unwrap_or(1)
}

fn cases() -> Vec<Case> {
    let base = Case::default;
    let large = Limit {
        rate: 578_000.0,
        burst: 578_000.0,
    };
    let small = Limit {
        rate: 12_000.0,
        burst: 12_000.0,
    };
    let rolling = |n: usize| (0..n).map(|i| (8_000 + 1_000 * i as u64, Fault::Restart(i, i + 1)));
    #[rustfmt::skip]
    let cases = vec![
        Case { name: "below the limit", below: true, ..base() },
        Case { name: "below the limit, large team", limit: large, below: true, ..base() },
        Case { name: "below the limit, one entry gets half", first_share: 0.5, below: true, ..base() },
        Case { name: "below the limit, 3 entries", entries: 3, below: true, ..base() },
        Case { name: "below the limit, 100 entries", entries: 100, below: true, seconds: 28, ..base() },
        Case { name: "below the limit, an entry killed", faults: vec![(10_000, Fault::Kill(2, 3))], below: true, ..base() },
        Case { name: "below the limit, entries restarted in turn", faults: rolling(29).collect(), below: true, ..base() },
        Case { name: "below the limit, entries added", faults: vec![(10_000, Fault::Add(12))], below: true, ..base() },
        Case { name: "below the limit, all to one entry, then to another", faults: vec![(10_000, Fault::Focus(Some(4))), (16_000, Fault::Focus(Some(20))), (22_000, Fault::Focus(None))], below: true, ..base() },
        Case { name: "hot, all to one entry, then to another", demand: 5.0, faults: vec![(10_000, Fault::Focus(Some(4))), (16_000, Fault::Focus(Some(20))), (30_000, Fault::Focus(None))], ..base() },
        Case { name: "hot", demand: 5.0, ..base() },
        Case { name: "hot, large team", demand: 5.0, limit: large, ..base() },
        Case { name: "hot, small team", demand: 7.5, limit: small, ..base() },
        Case { name: "hot, 3 entries", demand: 5.0, entries: 3, ..base() },
        Case { name: "hot, 100 entries", demand: 5.0, entries: 100, seconds: 26, ..base() },
        Case { name: "hot, one entry gets most", demand: 5.0, first_share: 0.8, ..base() },
        Case { name: "hot, one datagram in three lost", demand: 5.0, loss: 0.33, ..base() },
        Case { name: "turns hot", faults: vec![(12_000, Fault::Demand(7.5)), (20_000, Fault::Demand(0.3)), (28_000, Fault::Demand(7.5))], ..base() },
        Case { name: "turns hot, large team", limit: large, faults: vec![(12_000, Fault::Demand(5.0)), (20_000, Fault::Demand(0.3)), (28_000, Fault::Demand(5.0))], ..base() },
        Case { name: "hot, entries cut off one by one", demand: 5.0, faults: vec![(10_000, Fault::Isolate(0, 10)), (22_000, Fault::Heal)], ..base() },
        Case { name: "hot, every entry cut off", demand: 5.0, faults: vec![(10_000, Fault::Isolate(0, 29)), (25_000, Fault::Heal)], ..base() },
        Case { name: "hot, a third split off", demand: 5.0, faults: vec![(10_000, Fault::Split(0, 10)), (22_000, Fault::Heal)], ..base() },
        Case { name: "hot, half split off, large team", demand: 5.0, limit: large, faults: vec![(10_000, Fault::Split(0, 15)), (22_000, Fault::Heal)], ..base() },
        Case { name: "turns hot while a third is split off", faults: vec![(10_000, Fault::Split(0, 10)), (11_000, Fault::Demand(5.0)), (22_000, Fault::Heal)], ..base() },
        Case { name: "hot, cut off again and again", demand: 5.0, faults: (5..19).map(|i| (i * 2_000, match i % 2 { 0 => Fault::Heal, _ => Fault::Isolate(0, 8) })).collect(), ..base() },
        Case { name: "hot, all killed at once", demand: 5.0, faults: vec![(12_000, Fault::Restart(0, 29))], ..base() },
        Case { name: "hot, all killed at once, large team", demand: 5.0, limit: large, faults: vec![(12_000, Fault::Restart(0, 29))], ..base() },
        Case { name: "hot, entries restarted in turn", demand: 5.0, faults: rolling(29).collect(), ..base() },
        Case { name: "hot, entries paused", demand: 5.0, faults: vec![(10_000, Fault::Pause(0, 9)), (21_000, Fault::Pause(5, 12))], ..base() },
        Case { name: "hot, entries added", demand: 5.0, faults: vec![(10_000, Fault::Add(15))], ..base() },
        Case { name: "hot, limit lowered", demand: 5.0, faults: vec![(12_000, Fault::Limit(0.3))], ..base() },
        Case { name: "hot, limit raised and lowered", demand: 5.0, faults: vec![(12_000, Fault::Limit(1.8)), (22_000, Fault::Limit(0.4))], ..base() },
    ];
    cases
}

#[test]
fn limit_is_kept_in_every_window_and_refuses_nothing_below_it() {
    // Guards against entries that use more together than a team is allowed, and against refusals of
    // a team that is within its limit.
    let mut wrong = Vec::new();
    for case in cases() {
        for seed in 0..seeds() {
            let o = play(&case, seed);
            println!(
                "{:45} {seed}: excess {:9.0}, refused {:.3}, late rate {:.2}, {} datagrams/s",
                case.name,
                o.excess,
                o.refused / (o.admitted + o.refused),
                o.late_rate,
                o.datagrams / case.seconds,
            );
            if o.excess > 0.0 {
                wrong.push(format!(
                    "{} {seed}: {:.0} over the limit",
                    case.name, o.excess
                ));
            }
            if case.below && o.refused > 0.0 {
                let refused = o.refused;
                wrong.push(format!("{} {seed}: {refused:.0} refused", case.name));
            }
            let unhurt = case.faults.is_empty() && !case.below;
            if unhurt && o.late_rate < 0.95 {
                wrong.push(format!(
                    "{} {seed}: only {:.2} used",
                    case.name, o.late_rate
                ));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[test]
fn limit_is_kept_if_a_team_turns_hot_at_the_moment_of_a_split() {
    // Guards against a burst that both sides of a split use before they notice it.
    let large = Limit {
        rate: 578_000.0,
        burst: 578_000.0,
    };
    for at in (10_900..=11_100).step_by(50) {
        let case = Case {
            limit: large,
            faults: vec![
                (11_000, Fault::Split(0, 15)),
                (at, Fault::Demand(5.0)),
                (22_000, Fault::Heal),
            ],
            ..Case::default()
        };
        for seed in 0..seeds() {
            let excess = play(&case, seed).excess;
            assert!(excess <= 0.0, "hot at {at} ms, {seed}: {excess:.0} over");
        }
    }
}

const MS: Micros = Micros::from_millis(1);

fn at(ms: u64) -> Micros {
    Micros::from_millis(ms)
}

/// A limiter of one entry without tolerance, which has run for a window.
fn exact(limit: Limit) -> Limiter {
    let config = Config {
        overage: 0.0,
        ..Config::default()
    };
    let mut limiter = Limiter::new(Micros::ZERO, config, 1);
    limiter.set_limits(at(10_000), [(TEAM, limit)]);
    limiter
}

fn take(limiter: &mut Limiter, now: Micros, units: u64) -> Result<(), Micros> {
    let taken = limiter.take(now, TEAM, units, Purpose::First, at(60_000));
    taken.map_err(|refusal| refusal.wait)
}

#[test]
fn single_entry_keeps_the_rate_and_states_when_a_request_passes() {
    // Guards against a rate that is exceeded, and a stated time at which the request is refused again.
    let limit = Limit {
        rate: 100.0,
        burst: 20.0,
    };
    let mut limiter = exact(limit);
    let passed = (10_000..20_000)
        .filter(|ms| take(&mut limiter, at(*ms), 1).is_ok())
        .count();
    assert!((1_010..=1_021).contains(&passed), "{passed}");
    // One request larger than the burst passes, and the next waits for the debt.
    let mut limiter = exact(limit);
    assert_eq!(take(&mut limiter, at(10_000), 100), Ok(()));
    let wait = take(&mut limiter, at(10_000), 1).expect_err("the team is in debt");
    assert!((at(800)..=at(820)).contains(&wait), "{wait:?}");
    assert_eq!(take(&mut limiter, at(10_000) + wait + MS, 1), Ok(()));
}

#[test]
fn refused_requests_are_told_to_return_one_after_another() {
    // Guards against refused requests that all return at the moment at which only one of them passes.
    let mut limiter = exact(Limit {
        rate: 100.0,
        burst: 20.0,
    });
    assert_eq!(take(&mut limiter, at(10_000), 20), Ok(()));
    let waits = (0..5).map(|_| take(&mut limiter, at(10_000), 50));
    let waits: Vec<_> = waits.map(|w| w.expect_err("nothing is left")).collect();
    for pair in waits.windows(2) {
        let apart = pair[1].since(pair[0]);
        assert!((at(499)..=at(501)).contains(&apart), "{waits:?}");
    }
}

#[test]
fn request_that_did_not_run_gives_its_units_back() {
    // Guards against units that are used up by requests which were refused elsewhere.
    let mut limiter = exact(Limit {
        rate: 1.0,
        burst: 20.0,
    });
    for _ in 0..10 {
        assert_eq!(take(&mut limiter, at(10_000), 20), Ok(()));
        limiter.give_back(at(10_000), TEAM, 20);
    }
}

#[test]
fn admitted_request_runs_again_though_its_team_is_short() {
    // Guards against a stream that breaks off because its team has reached its limit meanwhile.
    let config = Config {
        slack: 1_000.0,
        ..Config::default()
    };
    let mut limiter = Limiter::new(Micros::ZERO, config, 1);
    let limit = Limit {
        rate: 100.0,
        burst: 100.0,
    };
    limiter.set_limits(at(10_000), [(TEAM, limit)]);
    while take(&mut limiter, at(10_000), 10).is_ok() {}
    let rerun = |l: &mut Limiter| l.take(at(10_000), TEAM, 10, Purpose::Rerun, at(4_000));
    let reruns = std::iter::from_fn(|| rerun(&mut limiter).ok()).take(1_000);
    let units = reruns.count() as f64 * 10.0;
    // Reruns alone don't use up the tolerance.
    assert!((10.0..config.slack).contains(&units), "{units}");
}

#[test]
fn team_without_a_limit_is_never_refused() {
    // Guards against a rate of 0 that refuses everything.
    let mut limiter = exact(Limit {
        rate: 0.0,
        burst: 0.0,
    });
    assert_eq!(take(&mut limiter, at(10_000), 1 << 40), Ok(()));
    assert!(!limiter.has_limits());
}

#[test]
fn lost_report_is_made_up_for_by_the_next_one_and_an_old_one_is_ignored() {
    // Guards against use that a lost datagram hides, and against use that is counted twice.
    let limit = Limit {
        rate: 1.0,
        burst: 1_000.0,
    };
    let from = "10.0.0.2:7000".parse().expect("an address");
    let report = |sent: u64, spent: i64| Report {
        process: 5,
        sent: at(sent),
        beat: at(500),
        usage: vec![policy::limit::Usage {
            key: TEAM,
            spent,
            recent: spent as u64,
            demand: 0,
            level: None,
        }],
    };
    let mut limiter = exact(limit);
    limiter.set_peers(at(10_000), [from]);
    let now = at(10_001);
    limiter.receive(now, from, &report(100, 100));
    limiter.receive(now, from, &report(300, 400));
    limiter.receive(now, from, &report(200, 250));
    limiter.receive(now, from, &report(300, 400));
    let level = limiter.level(TEAM).expect("a limit");
    assert!((595.0..=605.0).contains(&level), "{level}");
    assert_eq!(limiter.level(LimitKey(8)), None);
}

#[test]
fn use_of_many_teams_is_reported_in_several_datagrams() {
    // Guards against teams that are left out of reports, or ignored, because others fill a datagram.
    let teams = || (0..100).map(LimitKey);
    let limit = Limit {
        rate: 1.0,
        burst: 100.0,
    };
    let addrs = [2, 3].map(|n| std::net::SocketAddr::from(([10, 0, 0, n], 7_000)));
    let [mut sender, mut receiver] = [5, 6].map(|process| {
        let config = Config {
            overage: 0.0,
            ..Config::default()
        };
        let mut limiter = Limiter::new(Micros::ZERO, config, process);
        limiter.set_limits(at(10_000), teams().map(|t| (t, limit)));
        limiter
    });
    sender.set_peers(at(10_000), [addrs[1]]);
    receiver.set_peers(at(10_000), [addrs[0]]);
    for team in teams() {
        let taken = sender.take(at(10_000), team, 60, Purpose::First, at(4_000));
        assert!(taken.is_ok());
    }
    let reports = sender.poll(at(10_000));
    assert!(reports.iter().all(|r| r.usage.len() <= 30));
    for report in &reports {
        receiver.receive(at(10_001), addrs[0], report);
    }
    for team in teams() {
        let level = receiver.level(team).expect("a limit");
        assert!(level < 50.0, "{team:?}: {level}");
    }
}
