//! Sizes of updates between agents.

use gate::update::{
    ClaimConfirmation, LoadedWeights, RelayedState, RelayedWeights, SlotQuery, Update, MAX_DATAGRAM,
};
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
