//! Sizes of updates between agents.

use gate::room::encode;
use gate::update::{
    AgedPart, ClaimConfirmation, LimitUse, LoadedWeights, OriginKind, PartEvidence, RelayedState,
    RelayedWeights, RetryLoan, SlotQuery, StatedRate, StreamOrigin, TargetUse, TeamUse, Update,
    MAX_DATAGRAM,
};
use model::Micros;
use policy::crashing_parts::MAX_PARTS;
use policy::room::{Config, FlowKey, Room, REST};
use policy::slots::{MAX_CONFIRMED, MAX_RELAYS};
use prost::Message;

/// Number of sidecars that share slots on 300 machines.
const GROUP: usize = 75;
/// Longest times in the update.
const HOUR_MS: u32 = 3_600_000;
const DAY_US: u64 = 86_400_000_000;

fn answer() -> Update {
    Update {
        engine: "255.255.255.255:65535".to_owned(),
        alive: true,
        weights: vec![LoadedWeights {
            model: "a model with a name of 40 characters....".to_owned(),
            version: 1_000_000,
        }],
        busy: true,
        loading_ms: Some(HOUR_MS),
        load_ms: Some(HOUR_MS),
        wanted: 1_000_000,
        claims: true,
        process: u64::MAX,
        sent_us: DAY_US,
        slot_answer: Some(SlotQuery {
            round: u64::MAX,
            sent_us: DAY_US,
            delegate: 0,
        }),
        ..Update::default()
    }
}

fn confirmed() -> Vec<ClaimConfirmation> {
    let claim = ClaimConfirmation {
        engine: u32::MAX,
        sent_us: DAY_US,
    };
    vec![claim; MAX_CONFIRMED]
}

fn relayed() -> RelayedState {
    RelayedState {
        engine: u64::MAX,
        weights: vec![RelayedWeights {
            model: u64::MAX,
            version: 1_000_000,
        }],
        due_ms: None,
        loading_ms: Some(HOUR_MS),
        load_ms: Some(HOUR_MS),
        wanted: 1_000_000,
        claims: true,
        process: u64::MAX,
        sent_us: DAY_US,
        received_us: DAY_US,
        confirmed: confirmed(),
    }
}

/// Guards against updates that are fragmented because they relay states.
#[test]
fn update_with_relayed_states_exceeds_one_datagram() {
    struct Case {
        name: &'static str,
        silent: usize,
        relays: usize,
        confirmed: Vec<ClaimConfirmation>,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "all peers answer", silent: 0, relays: 0, confirmed: Vec::new() },
        Case { name: "one silent peer", silent: 1, relays: 0, confirmed: Vec::new() },
        Case { name: "one relayed state", silent: 1, relays: 1, confirmed: Vec::new() },
        Case { name: "all peers silent", silent: GROUP, relays: MAX_RELAYS, confirmed: confirmed() },
    ];
    let without = answer().encoded_len();
    for c in cases {
        let update = Update {
            silent: vec![u32::MAX; c.silent],
            known: if c.silent == GROUP { u64::MAX } else { 0 },
            relays: vec![relayed(); c.relays],
            confirmed: c.confirmed,
            ..answer()
        };
        let size = update.encoded_len();
        println!("{}: {size} bytes, {} more", c.name, size - without);
        assert!(size <= MAX_DATAGRAM, "{}: {size} bytes", c.name);
    }
}

/// Guards against reports on targets' limits that are fragmented.
#[test]
fn report_on_targets_limits_exceeds_one_datagram() {
    struct Case {
        name: &'static str,
        used: usize,
        stated: usize,
    }
    let cases = [
        Case {
            name: "no use",
            used: 0,
            stated: 1,
        },
        Case {
            name: "one target",
            used: 1,
            stated: 1,
        },
        Case {
            name: "most",
            used: 30,
            stated: 11,
        },
    ];
    let used = TeamUse {
        team: u64::MAX,
        spent: 1_000_000,
        recent: 1_000,
        level: Some(-1_000),
        demand: 10_000,
    };
    let stated = StatedRate {
        target: u64::MAX,
        rate: Some(1.2),
        number: 1_000,
    };
    for c in cases {
        let update = Update {
            entry: true,
            target_use: Some(TargetUse {
                used: Some(LimitUse {
                    process: u64::MAX,
                    sent_us: DAY_US,
                    beat_ms: 500,
                    teams: vec![used; c.used],
                }),
                stated: vec![stated; c.stated],
            }),
            ..Update::default()
        };
        println!("{}: {} bytes", c.name, update.encoded_len());
        assert!(update.encoded_len() <= MAX_DATAGRAM, "{}", c.name);
    }
}

/// Guards against a record that costs more than the stream it is for: two are sent for each.
#[test]
fn record_of_a_streams_origin_is_small() {
    let update = Update {
        entry: true,
        origin: Some(StreamOrigin {
            kind: OriginKind::Answer.into(),
            stream: u64::MAX,
            build: Some(u64::MAX),
            keep_ms: 120_000,
        }),
        ..Update::default()
    };
    println!("{} bytes", update.encoded_len());
    assert!(update.encoded_len() <= 40);
}

/// Guards against a crash of a busy engine that every entry reports in several datagrams.
#[test]
fn evidence_on_prompt_parts_fits_into_a_datagram() {
    struct Case {
        name: &'static str,
        parts: usize,
        running: bool,
    }
    let cases = [
        Case {
            name: "crash with one part",
            parts: 1,
            running: true,
        },
        Case {
            name: "crash with most parts",
            parts: MAX_PARTS,
            running: true,
        },
        Case {
            name: "one convicted part",
            parts: 1,
            running: false,
        },
        Case {
            name: "most convicted parts",
            parts: MAX_PARTS,
            running: false,
        },
    ];
    let part = AgedPart {
        part: u64::MAX,
        age_ms: 600_000,
        trials: 3,
    };
    for c in cases {
        let parts = vec![part; c.parts];
        let evidence = match c.running {
            true => PartEvidence {
                target: u64::MAX,
                born: 1_000,
                age_ms: 5_000,
                running: parts,
                ..PartEvidence::default()
            },
            false => PartEvidence {
                convicted: parts,
                ..PartEvidence::default()
            },
        };
        let update = Update {
            entry: true,
            part_evidence: Some(evidence),
            ..Update::default()
        };
        println!("{}: {} bytes", c.name, update.encoded_len());
        assert!(update.encoded_len() <= MAX_DATAGRAM, "{}", c.name);
    }
}

/// Guards against small messages that grow.
#[test]
fn loans_of_retries_and_notices_of_leaving_are_small() {
    let loan = Update {
        entry: true,
        retry_loan: Some(RetryLoan {
            pool: u64::MAX,
            wanted: 0,
            lent: 4,
        }),
        ..Update::default()
    };
    let leaving = Update {
        entry: true,
        leaving: vec![u64::MAX],
        ..Update::default()
    };
    for update in [loan, leaving] {
        println!("{} bytes", update.encoded_len());
        assert!(update.encoded_len() <= 20);
    }
}

/// Guards against reports on room that are fragmented, or that leave out the largest teams.
#[test]
fn report_on_room_exceeds_one_datagram() {
    let mut room = Room::new(Micros::ZERO, Config::default(), u64::MAX);
    let now = Micros(DAY_US);
    for team in 1..=1_100_u64 {
        for rank in 0..6 {
            let key = FlowKey {
                team: u64::MAX - team,
                rank,
            };
            room.offer(now, key, u64::from(u32::MAX) - team, Micros::ZERO, 0.0);
        }
    }
    let mut report = room.poll(now).expect("a report");
    report.served = f64::from(u32::MAX);
    report.capacity = Some(report.served);
    let update = encode(u64::MAX, &report);
    println!("{} bytes", update.encoded_len());
    assert!(update.encoded_len() <= MAX_DATAGRAM);
    let flows = update.room.expect("room").flows;
    assert_eq!(flows[0].team, u64::MAX - 1);
    assert_eq!(flows.iter().filter(|f| f.team == REST).count(), 6);
}

/// Guards against reports on room that exceed the budget for control, or that are sent less often
/// than twice a second in the first deployment.
#[test]
fn reports_on_room_exceed_the_budget_of_a_process() {
    // Largest report, with the headers of IP and UDP.
    const BYTES: f64 = 1_073.0 + 28.0;
    let mut room = Room::new(Micros::ZERO, Config::default(), 1);
    room.set_entries(30);
    assert_eq!(room.interval(), Micros::from_millis(500));
    for entries in [100, 200, 350] {
        let others = entries - 1;
        room.set_entries(others);
        let both_ways = 2.0 * others as f64 * BYTES / room.interval().as_secs_f64();
        assert!(both_ways <= 28e3, "{entries} entries: {both_ways} B/s");
    }
}
