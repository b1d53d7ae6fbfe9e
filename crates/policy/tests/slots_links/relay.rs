//! What a single sidecar takes from relayed states of a peer that is out of its reach.

use model::Micros;
use policy::relay::Relay;
use policy::slots::{Group, ModelKey, OutdatedWeights, Slots, State};
use policy::versions::Versions;

const MODEL: ModelKey = ModelKey(7);
/// The peer out of reach, and its engine.
const SILENT: usize = 1;
/// The peer that relays states.
const THIRD: usize = 2;
/// Another peer that relays states.
const FOURTH: usize = 3;
/// When the new version is announced, in ms.
const ANNOUNCED: u64 = 1_000;
/// When the peer falls silent, in ms.
const CUT: u64 = 1_500;
/// Interval of polls, in ms.
const POLL: u64 = 50;

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

/// State of the silent peer.
#[derive(Clone, Copy)]
struct Observed {
    process: u64,
    /// When the state was sent, on the clock of the process, in ms.
    sent: u64,
    /// Whether the engine loads.
    loads: bool,
    /// When the state was received, in ms.
    received: u64,
}

impl Observed {
    fn state(&self) -> State {
        State {
            engine: SILENT as u64,
            weights: vec![(MODEL, 2)],
            loading: self.loads.then_some(Micros::ZERO),
            process: self.process,
            sent: ms(self.sent),
            ..State::default()
        }
    }
}

/// Polls a sidecar with old weights whose third and fourth peer answer each query and relay the given states.
/// Returns when the engine is ordered.
fn order_time(direct: Observed, relayed: [&[Observed]; 2]) -> Option<u64> {
    let mut slots = Slots::default();
    let mut announced = Versions::default();
    announced.record(ms(ANNOUNCED), 3, false);
    let group = Group {
        engine: 0,
        rank: 0,
        hosts: 4,
        allowed: ms(60_000),
    };
    (0..20_000).step_by(POLL as usize).find(|now| {
        let at = ms(*now);
        slots.report(at, &[(MODEL, 2)], false);
        let outdated = OutdatedWeights {
            model: MODEL,
            version: 2,
            announced: &announced,
        };
        slots.schedule(at, &group, (*now >= ANNOUNCED).then_some(&outdated));
        if *now >= direct.received && *now < direct.received + POLL {
            slots.receive(at, SILENT, Some(direct.state()));
        }
        let step = slots.step(at, &[SILENT, THIRD, FOURTH], *now >= CUT, now + 1);
        for (peer, states) in [THIRD, FOURTH].into_iter().zip(relayed) {
            let known = states.iter().rfind(|o| o.received <= *now);
            let relay = known.map(|o| Relay {
                received: ms(o.received),
                state: o.state(),
            });
            let state = State {
                engine: peer as u64,
                weights: vec![(MODEL, 3)],
                process: peer as u64,
                sent: ms(now + 5),
                relays: relay.into_iter().collect(),
                ..State::default()
            };
            slots.receive(ms(now + 5), peer, Some(state));
            if let Some((query, _)) = &step.query {
                slots.answered(ms(now + 5), peer, *query);
            }
        }
        step.orders
    })
}

/// Guards against a third peer that is out of date and frees the slot of a peer that loads, takes one for a peer that
/// doesn't, or doesn't report the end of a load.
#[test]
fn relayed_state_that_is_out_of_date_frees_or_takes_a_slot() {
    struct Case {
        name: &'static str,
        direct: Observed,
        third: &'static [Observed],
        fourth: &'static [Observed],
        /// Whether a slot is free soon.
        is_free: bool,
    }
    const fn observed(process: u64, sent: u64, loads: bool, received: u64) -> Observed {
        Observed {
            process,
            sent,
            loads,
            received,
        }
    }
    const IDLE: Observed = observed(1, 1_300, false, 1_300);
    const LOADS: Observed = observed(1, 1_400, true, 1_400);
    const LATE_IDLE: Observed = observed(1, 1_300, false, 2_600);
    const ENDED: Observed = observed(1, 2_000, false, 2_000);
    const RESTARTED: Observed = observed(2, 600, false, 2_600);
    const EARLIER: Observed = observed(5, 9_000, false, 1_450);
    const EARLIER_LOADS: Observed = observed(5, 9_000, true, 1_100);
    #[rustfmt::skip]
    let cases = [
        Case { name: "no relayed state", direct: IDLE, third: &[], fourth: &[], is_free: true },
        Case { name: "load seen by a third peer only", direct: IDLE, third: &[LOADS], fourth: &[], is_free: false },
        Case { name: "end of a load seen directly", direct: LOADS, third: &[ENDED], fourth: &[], is_free: true },
        Case { name: "end of a load seen by the peer that relayed it", direct: IDLE, third: &[LOADS, ENDED], fourth: &[], is_free: true },
        Case { name: "end of a load seen by another peer", direct: IDLE, third: &[LOADS], fourth: &[ENDED], is_free: true },
        Case { name: "state from before the load", direct: LOADS, third: &[IDLE], fourth: &[IDLE], is_free: false },
        Case { name: "late state from before the load", direct: IDLE, third: &[LOADS, LATE_IDLE], fourth: &[LATE_IDLE], is_free: false },
        Case { name: "idle state of an earlier process", direct: LOADS, third: &[EARLIER], fourth: &[], is_free: false },
        Case { name: "load of an earlier process", direct: IDLE, third: &[EARLIER_LOADS], fourth: &[], is_free: true },
        Case { name: "restart seen by the peer that relayed the load", direct: IDLE, third: &[LOADS, RESTARTED], fourth: &[], is_free: true },
        Case { name: "another process seen by another peer", direct: IDLE, third: &[LOADS], fourth: &[RESTARTED], is_free: false },
    ];
    let broken = cases.iter().filter_map(|c| {
        let ordered = order_time(c.direct, [c.third, c.fourth]);
        let is_free = ordered.is_some_and(|at| at < 8_000);
        (is_free != c.is_free).then(|| format!("{}: ordered at {ordered:?} ms", c.name))
    });
    let broken: Vec<_> = broken.collect();
    assert!(broken.is_empty(), "{broken:#?}");
}
