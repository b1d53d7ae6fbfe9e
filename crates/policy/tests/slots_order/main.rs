//! Orders to load, forced event by event: what a claim, an answer, a load or a report rests on while nothing
//! arrives. No event is random ([`pool`]).

mod pool;
mod state;

use policy::slots::Outcome;

use pool::{announcement, run, Announcement, Fate, Script, Span};

/// Interval of polls in most cases, in ms.
const POLL: u64 = 50;
/// Time after the end of every run, in ms.
const ALWAYS: u64 = 30_000;
/// Maximum length of the trace of an engine that never loads.
const TRACE_LINES: usize = 12;

fn span(host: usize, from: u64, to: u64) -> Span {
    Span { host, from, to }
}

/// Hosts in the order in which their engines load `version` if nothing goes wrong.
fn load_order(hosts: usize, version: u64) -> Vec<usize> {
    let script = Script {
        hosts,
        announced: vec![announcement(version, 2_000)],
        ..Script::default()
    };
    let run = run(&script);
    assert_eq!(run.most, 1, "{}", run.trace);
    run.orders.iter().map(|(host, _)| *host).collect()
}

/// Host and time of an order, by its number among all orders of a run.
fn order_at(script: &Script, number: usize) -> (usize, u64) {
    run(script).orders[number]
}

/// Runs scripts in which one engine may load at a time, and panics with the traces of all that break it.
fn assert_one_loads(cases: impl IntoIterator<Item = (String, Script)>) {
    let broken = cases.into_iter().filter_map(|(name, script)| {
        let run = run(&script);
        (run.most > 1).then(|| format!("{name}: {} load at a time{}", run.most, run.trace))
    });
    let broken: Vec<_> = broken.collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Runs scripts in which all engines but one can load, and panics with the traces of all in which one didn't.
fn assert_others_load(except: usize, cases: impl IntoIterator<Item = (String, Script)>) {
    let broken = cases.into_iter().filter_map(|(name, script)| {
        let run = run(&script);
        let mut versions = run.versions;
        versions.remove(except);
        let lacks = versions.iter().any(|v| *v < 2);
        let trace = run.trace.lines().take(TRACE_LINES);
        let trace = trace.collect::<Vec<_>>().join("\n");
        lacks.then(|| format!("{name}: versions of the others {versions:?}{trace}"))
    });
    let broken: Vec<_> = broken.collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against a restarted sidecar that takes a missing report for an engine that isn't loading.
#[test]
fn restarted_sidecar_frees_the_slot_of_an_engine_that_reports_late() {
    let base = Script {
        loads: vec![1_500],
        ..Script::default()
    };
    let (host, at) = order_at(&base, 0);
    let script = Script {
        killed: vec![span(host, at + 200, at + 400)],
        late: vec![span(host, at + 200, at + 1_500)],
        ..base
    };
    assert_one_loads([("killed 200 ms after the order".to_owned(), script)]);
}

/// Guards against a second load when an engine neither answers its order nor reports while it loads.
#[test]
fn unanswered_order_of_an_engine_that_reports_late_loses_its_slot() {
    let base = Script {
        loads: vec![1_400],
        ..Script::default()
    };
    let (host, at) = order_at(&base, 0);
    let fate = Fate {
        host,
        number: 0,
        starts: Some(0),
        ends: 250,
        outcome: Outcome::Unknown,
    };
    let script = Script {
        late: vec![span(host, at + POLL, at + 1_400)],
        fates: vec![fate],
        ..base
    };
    assert_one_loads([("reports late".to_owned(), script)]);
}

/// Guards against an order whose answer comes during a pause, so that it counts as unanswered for as long.
#[test]
fn order_answered_during_a_pause_loses_its_slot() {
    let base = Script {
        loads: vec![2_000],
        ..Script::default()
    };
    let (host, at) = order_at(&base, 0);
    let fate = Fate {
        host,
        number: 0,
        starts: Some(0),
        ends: 250,
        outcome: Outcome::Unknown,
    };
    let script = Script {
        paused: vec![span(host, at + 5, at + 1_200)],
        late: vec![span(host, at + 1_200, at + 1_500)],
        fates: vec![fate],
        ..base
    };
    assert_one_loads([("paused for 1.2 s".to_owned(), script)]);
}

/// Guards against an unanswered order whose slot expires by the time of earlier orders that led to no load.
#[test]
fn unanswered_order_after_failed_orders_has_no_slot() {
    struct Case {
        name: &'static str,
        /// Times after which the first orders fail, and how.
        failed: Vec<(u64, Outcome)>,
        /// Time after the first order up to which the last one can't be sent.
        blocked: u64,
        /// Time after which the last order has failed.
        ends: u64,
    }
    let refused = (5, Outcome::Refused);
    #[rustfmt::skip]
    let cases = [
        Case { name: "lost", failed: vec![(500, Outcome::Unknown)], blocked: 0, ends: 250 },
        Case { name: "refused", failed: vec![refused, refused], blocked: 850, ends: 20 },
    ];
    let scripts = cases.map(|c| {
        let base = Script {
            loads: vec![1_400],
            ..Script::default()
        };
        let (host, at) = order_at(&base, 0);
        let fate = |number: usize, starts, (ends, outcome)| Fate {
            host,
            number,
            starts,
            ends,
            outcome,
        };
        let failed = c.failed.iter().enumerate();
        let mut fates: Vec<_> = failed.map(|(n, f)| fate(n, None, *f)).collect();
        fates.push(fate(c.failed.len(), Some(0), (c.ends, Outcome::Unknown)));
        let blocked = (c.blocked > 0).then(|| span(host, at + 600, at + c.blocked));
        let script = Script {
            unorderable: blocked.into_iter().collect(),
            fates,
            ..base
        };
        (c.name.to_owned(), script)
    });
    assert_one_loads(scripts);
}

/// Guards against a slot that ends before the report can show the load of an order that took long.
#[test]
fn slow_order_frees_its_slot_before_the_report_shows_the_load() {
    struct Case {
        name: &'static str,
        starts: u64,
        ends: u64,
        outcome: Outcome,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "accepted", starts: 400, ends: 490, outcome: Outcome::Accepted },
        Case { name: "unanswered", starts: 400, ends: 500, outcome: Outcome::Unknown },
    ];
    // The engine that loads first otherwise has its sidecar start late.
    let late = load_order(3, 2)[0];
    let scripts = cases.map(|c| {
        let base = Script {
            loads: vec![2_000],
            killed: vec![span(late, 0, ALWAYS)],
            ..Script::default()
        };
        let (host, at) = order_at(&base, 0);
        let fate = Fate {
            host,
            number: 0,
            starts: Some(c.starts),
            ends: c.ends,
            outcome: c.outcome,
        };
        let script = Script {
            killed: vec![span(late, 0, at - 200)],
            fates: vec![fate],
            ..base
        };
        (c.name.to_owned(), script)
    });
    assert_one_loads(scripts);
}

/// Guards against an engine that loses its slot though its pool knows how long loads take.
#[test]
fn first_load_of_an_engine_that_reports_late_ignores_the_load_time_of_its_pool() {
    let base = Script {
        loads: vec![3_000],
        ..Script::default()
    };
    let (host, at) = order_at(&base, 1);
    let script = Script {
        late: vec![span(host, at + POLL, at + 3_000)],
        ..base
    };
    assert_one_loads([("second of three".to_owned(), script)]);
}

/// Guards against a second load while the first load of a pool goes unreported.
#[test]
fn unreported_load_of_unknown_length_loses_its_slot() {
    struct Case {
        name: &'static str,
        paused: bool,
    }
    let cases = [
        Case {
            name: "reports are late",
            paused: false,
        },
        Case {
            name: "sidecar is paused",
            paused: true,
        },
    ];
    let scripts = cases.map(|c| {
        let base = Script {
            loads: vec![3_000],
            ..Script::default()
        };
        let (host, at) = order_at(&base, 0);
        let unreported = vec![span(host, at + POLL, at + 2_900)];
        let script = match c.paused {
            true => Script {
                paused: unreported,
                ..base
            },
            false => Script {
                late: unreported,
                ..base
            },
        };
        (c.name.to_owned(), script)
    });
    assert_one_loads(scripts);
}

/// A sidecar that is stopped right after its order, and whose pool knows how long loads take.
fn stopped_after_order(killed: bool, lost: bool) -> Script {
    let base = Script {
        loads: vec![3_000],
        announced: vec![announcement(2, 2_000), announcement(3, 16_000)],
        ..Script::default()
    };
    let (host, at) = order_at(&base, 3);
    assert!(at > 16_000);
    let stopped = vec![span(host, at + 5, at + 2_900)];
    let lost = lost.then_some(span(host, at, at + 5));
    let base = Script {
        lost: lost.into_iter().collect(),
        ..base
    };
    match killed {
        true => Script {
            killed: stopped,
            ..base
        },
        false => Script {
            paused: stopped,
            ..base
        },
    }
}

/// Guards against a second load when a sidecar stops after its order and the others have its update.
#[test]
fn sidecar_stopped_after_its_order_loses_its_slot() {
    assert_one_loads([
        ("paused".to_owned(), stopped_after_order(false, false)),
        ("killed".to_owned(), stopped_after_order(true, false)),
    ]);
}

/// Guards against a second load when a sidecar stops after its order and the update that names it is lost.
#[test]
fn stopped_sidecar_loses_its_slot_with_one_lost_update() {
    assert_one_loads([
        ("paused".to_owned(), stopped_after_order(false, true)),
        ("killed".to_owned(), stopped_after_order(true, true)),
    ]);
}

/// Guards against a load that the others forget while its sidecar is in touch, because no engine waits.
#[test]
fn load_that_no_engine_waits_for_is_forgotten() {
    let last = load_order(3, 2)[2];
    let mut loads = vec![600; 3];
    loads[last] = 6_000;
    let base = Script {
        loads,
        ..Script::default()
    };
    let (host, at) = order_at(&base, 2);
    assert_eq!(host, last);
    let script = Script {
        announced: vec![announcement(2, 2_000), announcement(3, at + 3_000)],
        paused: vec![span(host, at + 2_900, at + 3_900)],
        ..base
    };
    assert_one_loads([("paused 2.9 s after the order".to_owned(), script)]);
}

/// Guards against a claim whose steps were used up before a pause and that waits for no answer after it.
#[test]
fn paused_claim_takes_a_slot_without_an_answer_since_the_pause() {
    let order = load_order(3, 2);
    let base = Script {
        loads: vec![3_000],
        killed: vec![span(order[2], 0, ALWAYS)],
        allowed: 6_000,
        ..Script::default()
    };
    let (host, at) = order_at(&base, 0);
    let script = Script {
        paused: vec![span(host, at - POLL + 10, at + 3_000)],
        ..base
    };
    assert_one_loads([("paused before the last step".to_owned(), script)]);
}

/// Guards against a sidecar that resumes after a pause and still skips a peer that has come back meanwhile.
#[test]
fn peer_skipped_before_a_pause_is_skipped_after_it() {
    let base = Script {
        hosts: 2,
        loads: vec![3_000],
        killed: vec![span(0, 0, ALWAYS)],
        allowed: 6_000,
        ..Script::default()
    };
    let (host, at) = order_at(&base, 0);
    assert_eq!(host, 1);
    let script = Script {
        killed: vec![span(0, 0, at - 100)],
        paused: vec![span(1, at - POLL + 10, at + 3_000)],
        ..base
    };
    assert_one_loads([("paused before the order".to_owned(), script)]);
}

/// Two hosts, each of which has the version that puts its own engine first.
fn disagreeing(poll: u64, phase: u64) -> Script {
    let behind = load_order(2, 2)[0];
    let newer = (3..20).find(|v| load_order(2, *v)[0] != behind);
    let newer = newer.expect("ranks differ between versions");
    Script {
        hosts: 2,
        poll,
        phase,
        loads: vec![3_000],
        announced: vec![
            announcement(2, 2_000),
            Announcement {
                except: Some(behind),
                ..announcement(newer, 2_000)
            },
        ],
        ..Script::default()
    }
}

/// Guards against two claims at a time of sidecars that poll slowly.
#[test]
fn claims_of_slow_sidecars_both_succeed() {
    let times = [(50, 0), (50, 25), (300, 0), (300, 150), (600, 300)];
    let named = |(poll, phase)| (format!("{poll} ms, {phase}"), disagreeing(poll, phase));
    assert_one_loads(times.map(named));
}

/// Guards against two claims that don't see each other because steps lie further apart than a claim counts.
#[test]
fn claims_expire_between_steps_that_coincide() {
    assert_one_loads([("600 ms".to_owned(), disagreeing(600, 0))]);
}

/// A script for each relation between the polls of the hosts.
fn at_all_phases(name: &str, script: &Script) -> Vec<(String, Script)> {
    let times = [(0, 0), (5, 0), (10, 0), (25, 0), (40, 0), (0, 5), (10, 15)];
    let at = |(phase, drift)| {
        let script = Script {
            phase,
            drift,
            ..script.clone()
        };
        (
            format!("{name}, phase {phase} ms, drift {drift} ms"),
            script,
        )
    };
    times.map(at).to_vec()
}

/// All further orders to an engine fail in the same way, and it carries out none.
fn fails(host: usize, ends: u64, outcome: Outcome) -> Script {
    Script {
        last_fate: Some(Fate {
            host,
            number: 0,
            starts: None,
            ends,
            outcome,
        }),
        ..Script::default()
    }
}

/// Guards against an engine whose orders are lost and that keeps all engines behind it from loading.
#[test]
fn engine_whose_orders_are_lost_blocks_its_pool() {
    let first = load_order(3, 2)[0];
    let script = fails(first, 250, Outcome::Unknown);
    assert_others_load(first, at_all_phases("no answer", &script));
}

/// Guards against an engine that is due and can't load, and that keeps all engines behind it from loading.
#[test]
fn engine_that_cannot_load_blocks_its_pool() {
    let first = load_order(3, 2)[0];
    let unorderable = Script {
        unorderable: vec![span(first, 0, ALWAYS)],
        ..Script::default()
    };
    let refuses = fails(first, 5, Outcome::Refused);
    let scripts = [
        at_all_phases("no order can be sent", &unorderable),
        at_all_phases("all orders are refused", &refuses),
    ];
    assert_others_load(first, scripts.concat());
}

/// Guards against an engine out of reach that keeps all engines behind it from loading.
#[test]
fn engine_out_of_reach_blocks_its_pool() {
    let first = load_order(3, 2)[0];
    let always = || vec![span(first, 0, ALWAYS)];
    let dead = Script {
        killed: always(),
        ..Script::default()
    };
    let late = Script {
        late: always(),
        ..Script::default()
    };
    let scripts = [
        at_all_phases("its sidecar is dead", &dead),
        at_all_phases("its reports are late", &late),
    ];
    assert_others_load(first, scripts.concat());
}

/// Guards against a sidecar without the right to order, or without the announcement, that keeps all engines
/// behind its own from loading.
#[test]
fn engine_that_is_never_due_blocks_its_pool() {
    struct Case {
        name: &'static str,
        script: fn(usize) -> Script,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "no right to order", script: |host| Script { barred: vec![span(host, 0, ALWAYS)], ..Script::default() } },
        Case { name: "no announcement", script: |host| Script { announced: vec![Announcement { except: Some(host), ..announcement(2, 2_000) }], ..Script::default() } },
    ];
    let first = load_order(3, 2)[0];
    let scripts = cases.map(|c| (c.name.to_owned(), (c.script)(first)));
    assert_others_load(first, scripts);
}

/// Guards against a restarted sidecar that forgets a load of a silent peer because its own engine was up to date
/// when it started.
#[test]
fn load_from_before_a_restart_is_forgotten_by_an_engine_that_was_up_to_date() {
    let order = load_order(3, 2);
    let (restarted, loading) = (order[0], order[2]);
    let first = (3..40).find(|v| {
        let next = load_order(3, *v);
        let place = |host| next.iter().position(|h| *h == host);
        place(restarted) < place(order[1])
    });
    let first = first.expect("ranks differ between versions");
    let mut loads = vec![600; 3];
    loads[loading] = 12_000;
    let base = Script {
        loads,
        ..Script::default()
    };
    let (host, at) = order_at(&base, 2);
    assert_eq!(host, loading);
    let scripts = [1_000, 1_500, 2_000, 3_000].map(|after| {
        let script = Script {
            announced: vec![
                announcement(2, 2_000),
                announcement(first, at + 300 + after),
            ],
            killed: vec![span(restarted, at + 100, at + 300)],
            paused: vec![span(loading, at + 5, at + 12_000)],
            ..base.clone()
        };
        (format!("announced {after} ms after the start"), script)
    });
    assert_one_loads(scripts);
}

/// Guards against a pool of any size that doesn't finish, with all sidecars in touch and with one that was never
/// there.
#[test]
fn pool_of_any_size_never_finishes() {
    for hosts in [1, 2, 3, 9, 96] {
        for absent in [None, Some(hosts - 1)]
            .into_iter()
            .filter(|a| hosts > 1 || a.is_none())
        {
            let script = Script {
                hosts,
                poll: 50,
                phase: 5,
                killed: absent.map(|h| span(h, 0, 200_000)).into_iter().collect(),
                deadline: 70_000,
                ..Script::default()
            };
            let run = run(&script);
            let last = run.orders.iter().map(|(_, at)| *at).max();
            println!(
                "{hosts} hosts, absent {absent:?}: most {}, last order {last:?} ms",
                run.most
            );
            let lacking = run
                .versions
                .iter()
                .enumerate()
                .filter(|(h, v)| Some(*h) != absent && **v < 2);
            assert_eq!(lacking.count(), 0, "{hosts} hosts, absent {absent:?}");
        }
    }
}

/// Guards against sidecars that are killed for good after their claims or orders, and that keep the others from
/// loading in the time allowed.
#[test]
fn sidecars_killed_for_good_block_their_pool_for_longer_than_allowed() {
    struct Case {
        name: &'static str,
        hosts: usize,
        /// Time from the order of a sidecar to its death, in ms, by the number of the sidecar.
        deaths: &'static [i64],
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "order", hosts: 3, deaths: &[5] },
        Case { name: "claim", hosts: 3, deaths: &[-20] },
        Case { name: "two orders, one after the other", hosts: 4, deaths: &[5, 5] },
        Case { name: "two orders of nine", hosts: 9, deaths: &[5, 5] },
    ];
    let broken = cases.iter().filter_map(|c| {
        let mut script = Script {
            hosts: c.hosts,
            deadline: 130_000,
            ..Script::default()
        };
        for (number, after) in c.deaths.iter().enumerate() {
            let (host, at) = order_at(&script, number);
            let from = at.saturating_add_signed(*after);
            script.killed.push(span(host, from, 200_000));
        }
        let run = run(&script);
        let dead = |host| script.killed.iter().any(|s| s.host == host);
        let last = run
            .orders
            .iter()
            .filter(|(h, _)| !dead(*h))
            .map(|(_, at)| *at)
            .max();
        let lacking = (0..c.hosts)
            .filter(|h| !dead(*h) && run.versions[*h] < 2)
            .count();
        println!(
            "{}: last order {last:?} ms, {lacking} lack the version, most {}",
            c.name, run.most
        );
        let in_time = last.is_some_and(|at| at < 2_000 + script.allowed) && lacking == 0;
        (!in_time).then(|| {
            format!(
                "{}: last order {last:?} ms, {lacking} lack the version",
                c.name
            )
        })
    });
    let broken: Vec<_> = broken.collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against two loads while two sidecars can't reach each other and both reach a third.
#[test]
fn sidecars_that_reach_each_other_only_through_a_third_both_load() {
    let order = load_order(3, 2);
    let scripts = [500, 1_000, 1_500, 2_000, 3_000, 5_000].map(|length| {
        let script = Script {
            loads: vec![4_000],
            cuts: vec![(order[0], span(order[1], 2_000, 2_000 + length))],
            ..Script::default()
        };
        (format!("cut for {length} ms"), script)
    });
    assert_one_loads(scripts);
}
