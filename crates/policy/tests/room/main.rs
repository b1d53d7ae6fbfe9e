//! Admission to a pool that is short, over all entries.

mod sim;

use model::Micros;
use policy::fair_share::{combined_rank, divide, Claim};
use policy::room::{Config, Decision, FlowKey, Report, Room};
use proptest::prelude::*;
use sim::{run, Case, Fault, Stream, Tally};

/// Long prompts of a team, which may wait.
fn long(team: u64, load: f64) -> Stream {
    Stream {
        team,
        rank: 2,
        units: 2_000,
        load,
        goal: 1.5,
        deadline: 5.0,
    }
}

/// Short questions of a team.
fn short(team: u64, load: f64) -> Stream {
    Stream {
        rank: 0,
        units: 200,
        goal: 0.5,
        deadline: 15.0,
        ..long(team, load)
    }
}

/// Both kinds of eight teams that are equally large.
fn teams(load: f64) -> Vec<Stream> {
    let both = |team| [long(team, load * 0.1), short(team, load * 0.025)];
    (1..=8).flat_map(both).collect()
}

fn case(entries: usize, streams: Vec<Stream>, faults: Vec<(f64, Fault)>) -> Case {
    Case {
        entries,
        streams,
        faults,
        ..Case::default()
    }
}

fn sum(tallies: &[Tally]) -> Tally {
    let add = |a: Tally, b: &Tally| Tally {
        arrived: a.arrived + b.arrived,
        served: a.served + b.served,
        late: a.late + b.late,
        refused: a.refused + b.refused,
    };
    tallies.iter().fold(Tally::default(), add)
}

#[test]
fn hot_team_takes_capacity_from_teams_within_their_shares() {
    // Guards against shares that depend on who comes first, or on which entries are in contact.
    let changes = [
        (11.0, Fault::Join),
        (12.0, Fault::Kill(1)),
        (13.0, Fault::Restart(2)),
        (14.0, Fault::Kill(3)),
    ];
    let cases = [(1, 0), (2, 0), (4, 4), (16, 0), (16, 4)];
    for (entries, changed) in cases {
        let served = |factor| {
            let mut faults = vec![(10.0, Fault::Demand(1, 2, factor))];
            faults.extend(&changes[..changed]);
            faults.push((16.5, Fault::Demand(1, 2, 1.0)));
            let case = case(entries, teams(0.85), faults);
            let seeds = (1..=3).map(|seed| sum(&run(&case, seed, 10.0, 16.5)[2..]));
            sum(&seeds.collect::<Vec<_>>()).fraction()
        };
        let (usual, hot) = (served(1.0), served(7.5));
        let name = format!("{entries} entries, {changed} changes");
        assert!(
            usual - hot <= 0.05,
            "{name}: {usual}, {hot} with a hot team"
        );
    }
}

#[test]
fn capacity_is_divided_by_the_number_of_callers_instead_of_weights() {
    // Guards against a team that gets more than its weight because it sends more.
    let case = Case {
        entries: 4,
        streams: vec![long(1, 1.0), long(2, 2.0)],
        weights: vec![(1, 3.0), (2, 1.0)],
        ..Case::default()
    };
    let t = run(&case, 1, 6.0, 20.0);
    let ratio = f64::from(t[0].served) / f64::from(t[1].served);
    assert!((2.0..4.0).contains(&ratio), "{t:?}");
}

#[test]
fn urgent_requests_wait_for_work_that_may_wait() {
    // Guards against memory that is full of long prompts when urgent requests arrive. Without room,
    // none of the urgent ones is served here.
    let case = case(
        4,
        vec![long(1, 2.0), short(2, 0.1)],
        vec![(12.0, Fault::Demand(2, 0, 5.0))],
    );
    for seed in 1..=3 {
        // A step is known after the window of the rates and an interval of reports, 1.5 s of 7 s.
        for (from, to, late) in [(6.0, 12.0, 0.05), (12.0, 19.0, 0.2)] {
            let t = run(&case, seed, from, to);
            assert_eq!(t[1].fraction(), 1.0, "seed {seed}: {t:?}");
            let was = f64::from(t[1].late) / f64::from(t[1].arrived);
            assert!(was <= late, "seed {seed}: {t:?}");
            assert!(t[0].served > 0, "seed {seed}: {t:?}");
        }
    }
}

#[test]
fn long_prompts_are_refused_more_often_than_short_ones_of_their_rank() {
    // Guards against a fixed order that admits every second request of a caller which sends long and
    // short ones in turn, and against admission by what is left for a size.
    let mut room = short_room(0.3);
    let mut admitted = [0; 2];
    for i in 0..4_000_u64 {
        let now = START + Micros(i * 2_000);
        let units = [500, 20][i as usize % 2];
        let key = FlowKey { team: 1, rank: 1 };
        let draw = (i as f64 * 0.754_877).fract();
        if room.offer(now, key, units, TIME_LEFT, draw) == Decision::Admit {
            admitted[i as usize % 2] += 1;
        }
    }
    let [long, short] = admitted.map(|n| f64::from(n) / 2_000.0);
    assert!(
        (long - short).abs() < 0.03,
        "{long} of long, {short} of short"
    );
    assert!((0.2..0.4).contains(&long), "{long}");
}

#[test]
fn requests_are_refused_although_the_pool_is_not_short() {
    // Guards against an estimate from usual load, a lost report or a lost entry that refuses work.
    let restarts = vec![(9.0, Fault::Restart(0)), (11.0, Fault::Kill(1))];
    let waves = (4..16).map(|i| {
        let factor = if i % 4 < 2 { 1.27 } else { 0.73 };
        (f64::from(i) * 1.0, Fault::Demand(1, 2, factor))
    });
    let chunky = Stream {
        units: 9_200,
        ..long(1, 0.8)
    };
    let burst = vec![
        (2.0, Fault::Demand(1, 2, 3.0)),
        (6.0, Fault::Demand(1, 2, 1.0)),
    ];
    let lost = vec![(8.0, Fault::Engines(0.75))];
    let cases = [
        ("restarts", teams(0.8), restarts, 0.0),
        ("waves", vec![long(1, 0.7)], waves.collect(), 0.0),
        ("engines lost", teams(0.6), lost, 0.0),
        ("large prompts", vec![chunky], vec![], 0.0),
        ("after a burst", vec![long(1, 0.8)], burst, 15.0),
    ];
    for (name, streams, faults, from) in cases {
        let case = case(16, streams, faults);
        for seed in 1..=3 {
            let all = sum(&run(&case, seed, from, 22.0));
            assert_eq!(all.refused, 0, "{name}, seed {seed}");
        }
    }
}

#[test]
fn entry_that_is_cut_off_uses_the_whole_capacity() {
    // Guards against two sides of a split that both admit what the pool serves.
    let mut room = short_room(0.4);
    room.set_entries(9);
    let own = FlowKey { team: 2, rank: 0 };
    room.offer(START, own, 1_000_000, TIME_LEFT, 0.0);
    room.receive(START + Micros(1), report(2, 1_000_000, 0.4));
    for ms in [100, 1_000, 2_000, 3_000] {
        room.update(START + Micros::from_millis(ms), 1);
    }
    let capacity = room.status().capacity.expect("a capacity");
    assert!((150_000.0..250_000.0).contains(&capacity), "{capacity}");
}

#[test]
fn refused_callers_return_at_the_same_moment() {
    // Guards against a retry time that is the same for all, or that exceeds what callers wait.
    let mut room = short_room(0.2);
    let mut waits = Vec::new();
    for i in 0..1_000 {
        let key = FlowKey { team: 1, rank: 1 };
        let draw = f64::from(i) / 1e3;
        match room.offer(START, key, 100, TIME_LEFT, draw) {
            Decision::Admit => {}
            Decision::Refuse { wait } => waits.push(wait.as_millis()),
        }
    }
    let (first, last) = (waits.iter().min(), waits.iter().max());
    let (first, last) = (*first.expect("refusals"), *last.expect("refusals"));
    assert!(last <= TIME_LEFT.as_millis() / 2 && last >= first * 3 / 2);
    let mut tenths = [0; 10];
    for wait in &waits {
        tenths[((wait - first) * 10 / (last - first + 1)) as usize] += 1;
    }
    let most = tenths.iter().max().expect("ten");
    assert!(*most <= waits.len() / 8, "{tenths:?}");
}

#[test]
fn first_refused_callers_of_all_teams_return_at_the_same_moment() {
    // Guards against a place in the span of returns that is the same for the first refusal of each
    // team.
    let mut room = short_room(0.9);
    let mut tenths = [0; 10];
    for team in 1..=200 {
        let key = FlowKey { team, rank: 2 };
        match room.offer(START, key, 100, TIME_LEFT, 0.0) {
            Decision::Admit => panic!("admitted"),
            // The span is half of the time left, 3 s, of which the second half is used.
            Decision::Refuse { wait } => tenths[((wait.as_millis() - 1_500) / 151) as usize] += 1,
        }
    }
    assert!(tenths.iter().all(|n| *n <= 40), "{tenths:?}");
}

#[test]
fn entry_without_demand_counts_as_lost() {
    // Guards against entries that take the silence of idle ones for being cut off, and then refuse
    // what exceeds a part of the capacity.
    let mut idle = Room::new(Micros::ZERO, Config::default(), 1);
    assert_eq!(idle.poll(START), None, "no entry has demand");
    idle.receive(START, report(2, 1, 0.4));
    let sent = idle.poll(START).expect("a report");
    assert_eq!(sent.flows, []);

    let mut busy = short_room(0.4);
    busy.set_entries(1);
    let second = START + Micros::from_secs(4);
    busy.receive(second, sent);
    busy.update(second, 1);
    assert_eq!(busy.status().reporters, 1);
    busy.update(second + Micros::from_secs(4), 1);
    assert_eq!(busy.status().reporters, 0);
    // Without another entry's demand, reports end.
    idle.update(START + Micros::from_secs(4), 1);
    assert_eq!(idle.poll(START + Micros::from_secs(4)), None);
}

#[test]
fn first_requests_of_a_less_urgent_rank_are_admitted_while_an_urgent_one_is_cut() {
    // Guards against work that may wait which is admitted until its demand is known.
    let mut room = short_room(0.9);
    let key = FlowKey { team: 2, rank: 2 };
    let decision = room.offer(START, key, 100, TIME_LEFT, 0.0);
    assert_ne!(decision, Decision::Admit);
}

#[test]
fn entry_that_has_just_started_refuses_requests() {
    // Guards against a decision on the demand of one entry as if it were that of all.
    let mut room = Room::new(START, Config::default(), 1);
    room.set_entries(3);
    room.receive(START, report(2, 1, 0.1));
    room.update(START + Micros::from_millis(400), 1);
    assert!(!room.status().short);
    room.receive(START + Micros::from_millis(500), report(2, 2, 0.1));
    room.update(START + Micros::from_millis(600), 1);
    assert!(room.status().short);
    room.update(START + Micros::from_secs(3), 1);
    assert_eq!(room.status().reporters, 0, "a report counts for ever");
}

proptest! {
    #[test]
    fn urgent_rank_is_cut_while_a_less_urgent_one_gets_capacity(
        claims in prop::collection::vec((0..3_u8, 1..9_u32, 0..1_000_u32), 1..20),
        capacity in 0..5_000_u32,
    ) {
        // Guards against capacity that is given twice or held back, and against shares that aren't
        // max-min fair.
        let claims: Vec<_> = claims.iter().map(|(rank, weight, demand)| Claim {
            rank: *rank,
            weight: f64::from(*weight),
            demand: f64::from(*demand),
        }).collect();
        let given = divide(f64::from(capacity), &claims, |_, demand| demand);
        let total: f64 = claims.iter().map(|c| c.demand).sum();
        let spent: f64 = given.iter().sum();
        prop_assert!((spent - total.min(f64::from(capacity))).abs() < 1e-6);
        for (a, cut) in claims.iter().zip(&given).filter(|(c, g)| **g < c.demand - 1e-6) {
            for (b, other) in claims.iter().zip(&given) {
                prop_assert!(b.rank <= a.rank || *other < 1e-6);
                prop_assert!(b.rank != a.rank || other / b.weight <= cut / a.weight + 1e-6);
            }
        }
    }
}

const START: Micros = Micros::from_secs(10);
const TIME_LEFT: Micros = Micros::from_secs(6);

/// Another entry's report of a pool with one engine, of which this share of team 1's demand at rank
/// 1 can be served.
fn report(process: u64, sent: u64, share: f64) -> Report {
    let flow = policy::room::FlowUse {
        key: FlowKey { team: 1, rank: 1 },
        offered: 1_000_000,
        admitted: (1e6 * share) as u64,
    };
    Report {
        process,
        sent: Micros(sent),
        capacity: Some(1e6 * share),
        flows: vec![flow],
        ..Report::default()
    }
}

/// A room in which this share of the requests of team 1 at rank 1 is admitted.
fn short_room(share: f64) -> Room {
    let mut room = Room::new(Micros::ZERO, Config::default(), 1 << 40);
    for sent in 1..=2 {
        room.receive(
            START + Micros::from_millis(sent * 500),
            report(2, sent, share),
        );
    }
    room.update(START + Micros::from_millis(1_100), 1);
    room
}

/// Guards against short questions that are cut like long work of the same team, whose own rank both have.
#[test]
fn route_ranks_separate_requests_of_equal_team_rank() {
    struct Case {
        name: &'static str,
        first: (u8, u8),
        second: (u8, u8),
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "routes of one team rank", first: (1, 0), second: (1, 2) },
        Case { name: "team before route", first: (0, 9), second: (1, 0) },
        Case { name: "routes without a team rank", first: (0, 0), second: (2, 2) },
        Case { name: "large route rank", first: (1, 200), second: (2, 0) },
    ];
    for c in cases {
        let rank = |(rank, route)| combined_rank(rank, route);
        assert!(rank(c.first) < rank(c.second), "{}", c.name);
    }
    assert_eq!(combined_rank(255, 255), 255);
}
