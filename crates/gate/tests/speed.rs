//! Speeds of targets at entries and at the agents of engines.

use gate::entry::Fleet;
use gate::speed::{AgentSpeed, Gaps, ObservedTarget, Pools, TargetSpeed};
use gate::update::{
    parts_per_datagram, HeldPart, LoadedWeights, SpeedNote, StatedFactors, StatedPace, Update,
    MAX_DATAGRAM, MAX_PARTS,
};
use model::{Micros, Position};
use policy::engine_speed::Factors;
use policy::row_expiry;
use prost::Message;
use site::{Boot, State, Target};

const POOL: &str = "engines";

fn at(ms: u64) -> Micros {
    Micros::from_millis(100_000 + ms)
}

fn subject(speed: &mut TargetSpeed) -> ObservedTarget<'_> {
    ObservedTarget {
        pool: POOL,
        id: "e",
        speed,
    }
}

fn note(prefill: u32) -> SpeedNote {
    SpeedNote {
        prefill: Some(prefill),
        weight: 1_000,
        ..SpeedNote::default()
    }
}

fn update(percent: u32, age_ms: u32) -> Update {
    Update {
        pace: Some(StatedPace { percent, age_ms }),
        ..Update::default()
    }
}

fn list_target(fleet: &mut Fleet, born: u64) {
    let config = row_expiry::Config {
        heartbeat: Micros::from_millis(1_200),
        reentry: Micros::from_millis(2_200),
    };
    let target = Target {
        boot: Boot {
            id: "e".to_owned(),
            born,
        },
        pool: POOL.to_owned(),
        addr: "127.0.0.1:9000".parse().expect("an address"),
        domain: "a".to_owned(),
        state: State::Ready,
        build: String::new(),
        slots: 8,
        renewed: Position::new(1, born),
        weights: Vec::new(),
    };
    fleet.apply_list(at(born), Position::new(1, born), vec![target], &config);
}

#[test]
fn speeds_count_where_nobody_asks_for_it() {
    // Guards against other placement where targets state no pace and the settings lack `pressure`.
    for (pressure, states_pace, counts) in [
        (false, false, false),
        (false, true, true),
        (true, false, true),
    ] {
        let (mut pools, mut speed) = (Pools::default(), TargetSpeed::default());
        if states_pace {
            pools.record_pace(at(0), subject(&mut speed), 100);
        }
        pools.record_gap(pressure, subject(&mut speed), Micros::from_millis(9));
        pools.record_duration(
            at(0),
            pressure,
            subject(&mut speed),
            Micros::from_millis(15),
        );
        let note =
            pools.record_first_event(at(0), pressure, subject(&mut speed), Some((60.0, 30.0)));
        assert_eq!(note.is_some(), counts, "{pressure} {states_pace}");
        assert_eq!(pools.get(POOL, pressure).is_some(), counts);
    }
}

#[test]
fn late_or_lost_updates_bring_back_an_old_pace() {
    // Guards against reordered datagrams, and against figures that outlive their engine's pace.
    let cases = [
        ("only its age counts", vec![(0, 250, 20)], 0, true),
        (
            "an older one comes later",
            vec![(0, 250, 20), (30, 100, 90)],
            30,
            true,
        ),
        (
            "a newer one replaces it",
            vec![(0, 250, 20), (30, 50, 10)],
            30,
            false,
        ),
        ("no further update", vec![(0, 250, 20)], 300, false),
    ];
    for (name, updates, now, slow) in cases {
        let (mut pools, mut speed) = (Pools::default(), TargetSpeed::default());
        pools.record_pace(at(0), subject(&mut TargetSpeed::default()), 100);
        for (ms, percent, age) in updates {
            pools.receive(at(ms), subject(&mut speed), &update(percent, age));
        }
        let pool = pools.get(POOL, false).expect("a pool");
        assert_eq!(pool.factors(at(now), &speed).prefill > 1.05, slow, "{name}");
    }
}

#[test]
fn a_repeated_pace_moves_the_mean_of_the_pool() {
    // Guards against repetitions of one pace that count as new ones because of their time on the way.
    let (mut pools, mut speed) = (Pools::default(), TargetSpeed::default());
    pools.record_pace(at(0), subject(&mut TargetSpeed::default()), 100);
    for i in 0..20 {
        // Each repetition took 0.1 ms longer than the one before.
        let received = at(u64::from(i) * 5) + Micros(u64::from(i) * 100);
        pools.receive(received, subject(&mut speed), &update(250, 20 + i * 5));
    }
    let pool = pools.get(POOL, false).expect("a pool");
    // The mean of 1 and 2.5 is 1.75, and a figure of 120 ms weighs 0.6.
    let factor = pool.factors(at(100), &speed).prefill;
    assert!((factor - 1.257).abs() < 0.01, "{factor}");
}

#[test]
fn a_lost_update_or_a_restart_keeps_the_wrong_factors() {
    // Guards against factors that end with one lost update, and against ones of the former process.
    let (mut pools, mut speed) = (Pools::default(), TargetSpeed::default());
    let stated = Update {
        speed: Some(StatedFactors {
            prefill: 1_400,
            decode: 1_200,
        }),
        ..Update::default()
    };
    pools.receive(at(0), subject(&mut speed), &stated);
    for (ms, prefill, decode) in [(0, 1.4, 1.2), (5_000, 1.4, 1.2), (31_000, 1.0, 1.0)] {
        assert_eq!(speed.learnt(at(ms)), Factors { prefill, decode }, "{ms}");
    }
    let mut fleet = Fleet::default();
    for (born, updated, expected) in [(1, true, 1.4), (2, false, 1.0)] {
        list_target(&mut fleet, born);
        if updated {
            let update = Update {
                engine: "127.0.0.1:9000".to_owned(),
                alive: true,
                ..stated.clone()
            };
            fleet.apply_update(at(1), &update, "127.0.0.1:1".parse().expect("an address"));
        }
        let factors = fleet
            .replicas
            .values()
            .map(|r| r.speed.learnt(at(2)).prefill);
        assert_eq!(factors.collect::<Vec<_>>(), [expected], "{born}");
    }
}

#[test]
fn an_agent_that_misses_a_restart_passes_on_the_former_factors() {
    // Guards against factors of the former process that count for 30 s after the agent notices the
    // restart, and against a restart of the agent alone that drops them.
    for (name, epochs, expected) in [
        ("the engine has restarted", vec![7, 8], 1.0),
        ("the agent has restarted", vec![7, 0, 7], 1.4),
    ] {
        let mut fleet = Fleet::default();
        list_target(&mut fleet, 1);
        for (i, epoch) in epochs.into_iter().enumerate() {
            let factors = StatedFactors {
                prefill: 1_400,
                decode: 1_200,
            };
            let update = Update {
                engine: "127.0.0.1:9000".to_owned(),
                alive: true,
                epoch,
                speed: (i == 0).then_some(factors),
                ..Update::default()
            };
            fleet.apply_update(at(1), &update, "127.0.0.1:1".parse().expect("an address"));
        }
        let factors = fleet
            .replicas
            .values()
            .map(|r| r.speed.learnt(at(2)).prefill);
        assert_eq!(factors.collect::<Vec<_>>(), [expected], "{name}");
    }
}

#[test]
fn prompts_that_found_others_waiting_make_an_engine_look_slow() {
    // Guards against waits that count as prefill, and against updates with factors of 1.
    for (alone, slow) in [(true, true), (false, false)] {
        let mut agent = AgentSpeed::default();
        (0..100).for_each(|_| agent.record(at(0), &note(1_800), alone));
        let mut update = Update::default();
        agent.fill_update(at(0), &mut update);
        assert_eq!(update.speed.is_some_and(|s| s.prefill > 1_300), slow);
        assert_eq!(update.speed.is_none(), !slow);
    }
}

#[test]
fn a_slow_caller_makes_an_engine_look_slow() {
    // Guards against gaps between events that the caller has caused.
    let mut gaps = Gaps::default();
    let mut now = 0;
    for i in 0..20 {
        let asked = if i % 2 == 0 { now } else { now + 300 };
        now = asked + 10;
        gaps.record(1, at(asked), at(now));
    }
    assert_eq!(gaps.mean(), Some(Micros::from_millis(10)));
    gaps.record(2, at(now), at(now + 10));
    assert_eq!(gaps.mean(), None, "another target");
}

#[test]
fn events_read_all_at_once_make_an_engine_look_fast() {
    // Guards against gaps of 0, whose undefined ratio went to the agent as the least possible one.
    let (mut pools, mut speed) = (Pools::default(), TargetSpeed::default());
    pools.record_gap(true, subject(&mut speed), Micros::ZERO);
    let note = pools.record_first_event(at(0), true, subject(&mut speed), None);
    assert_eq!(note, None);
}

#[test]
fn updates_with_speeds_exceed_a_datagram() {
    // Guards against fragments: speeds add 18 bytes to a delegate's update with all other fields.
    let part = HeldPart {
        scope: u64::MAX,
        part: u64::MAX,
        tokens: 100_000,
    };
    let plain = Update {
        engine: "255.255.255.255:65535".to_owned(),
        alive: true,
        busy: true,
        weights: vec![LoadedWeights {
            model: "a model with a name of 40 characters....".to_owned(),
            version: 1_000_000,
        }],
        unread: 1_000,
        used: 1_000_000,
        total: 1_000_000,
        loading_ms: Some(3_600_000),
        load_ms: Some(3_600_000),
        wanted: 1_000_000,
        claims: true,
        process: u64::MAX,
        sent_us: 86_400_000_000,
        delegate: u64::MAX,
        ordered_ms: Some(3_600_000),
        fence: 1_000_000,
        epoch: u64::MAX,
        tokens: vec![1_000_000; policy::prefill_priority::TIERS],
        ..Update::default()
    };
    let full = Update {
        pace: Some(StatedPace {
            percent: 1_000,
            age_ms: 299,
        }),
        speed: Some(StatedFactors {
            prefill: 3_000,
            decode: 3_000,
        }),
        ..plain.clone()
    };
    let with_parts = Update {
        parts: vec![part; parts_per_datagram(&full)],
        ..full.clone()
    };
    let size = with_parts.encoded_len();
    assert!(size <= MAX_DATAGRAM, "{size}");
    assert!(with_parts.parts.len() >= 38, "{}", with_parts.parts.len());
    assert_eq!(parts_per_datagram(&Update::default()), MAX_PARTS);
    assert_eq!(full.encoded_len() - plain.encoded_len(), 18);
    let note = SpeedNote {
        pace: full.pace,
        decode: Some(3_000),
        ..note(3_000)
    };
    assert_eq!(note.encoded_len(), 17);
}
