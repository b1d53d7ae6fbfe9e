//! What a single sidecar takes from the states that it receives and the reports that it reads.

use model::Micros;
use policy::slots::{Group, ModelKey, Outcome, OutdatedWeights, Slots, State};
use policy::versions::Versions;

const MODEL: ModelKey = ModelKey(7);
const OTHER_MODEL: ModelKey = ModelKey(8);
const PEER: usize = 1;

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

fn peer_state(process: u64, sent: u64, loading: bool) -> State {
    State {
        engine: 1,
        weights: vec![(MODEL, 2)],
        loading: loading.then_some(Micros::ZERO),
        process,
        sent: ms(sent),
        ..State::default()
    }
}

/// Polls a sidecar with old weights and one peer that answers every query with the given state. Returns when an
/// engine is ordered.
fn order_time(
    slots: &mut Slots<usize>,
    weights: &[(ModelKey, u64)],
    peer: impl Fn(u64) -> Option<State>,
    polls: std::ops::Range<u64>,
) -> Option<u64> {
    let mut announced = Versions::default();
    announced.record(ms(1_000), 3, false);
    let group = Group {
        engine: 0,
        rank: 0,
        hosts: 2,
        allowed: ms(60_000),
    };
    polls.step_by(50).find(|now| {
        let at = ms(*now);
        slots.report(at, weights, false);
        let outdated = OutdatedWeights {
            model: MODEL,
            version: weights[0].1,
            announced: &announced,
        };
        let lacks = *now >= 1_000;
        slots.schedule(at, &group, lacks.then_some(&outdated));
        let step = slots.step(at, &[PEER], true, now + 1);
        if let (Some((query, _)), Some(state)) = (step.query, peer(*now)) {
            slots.receive(ms(now + 5), PEER, Some(state));
            slots.answered(ms(now + 5), PEER, query);
        }
        step.orders
    })
}

/// Guards against a late update of a peer's previous process, or an older release, after which all updates of its
/// running process are ignored.
#[test]
fn late_update_of_a_previous_process_hides_the_loads_of_the_running_one() {
    struct Case {
        name: &'static str,
        /// Processes in the order in which their first updates arrive.
        received: &'static [u64],
        running: u64,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "no other update", received: &[2], running: 2 },
        Case { name: "late, first start unseen", received: &[2, 1], running: 2 },
        Case { name: "late, after two starts", received: &[1, 2, 3, 1], running: 3 },
        Case { name: "back to a release without process numbers", received: &[0, 1], running: 0 },
    ];
    let broken = cases.iter().filter_map(|c| {
        let mut slots = Slots::default();
        for (n, process) in c.received.iter().enumerate() {
            slots.receive(ms(n as u64), PEER, Some(peer_state(*process, 1, false)));
        }
        let loads = |now| Some(peer_state(c.running, now, true));
        let ordered = order_time(&mut slots, &[(MODEL, 2)], loads, 0..8_000);
        ordered.map(|at| {
            format!(
                "{}: ordered at {at} ms though the peer answers that it loads",
                c.name
            )
        })
    });
    let broken: Vec<_> = broken.collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against an order without an answer that loses its slot because another model of the engine has a higher
/// version.
#[test]
fn version_of_another_model_ends_an_unanswered_load() {
    let weights = [(MODEL, 2), (OTHER_MODEL, 10)];
    let broken = [&weights[..1], &weights[..]].map(|weights| {
        let mut slots = Slots::default();
        let idle = |now| Some(peer_state(1, now, false));
        let at = order_time(&mut slots, weights, idle, 0..8_000).expect("a free slot is taken");
        slots.ordered(ms(at + 250), Outcome::Unknown);
        slots.report(ms(at + 300), weights, false);
        let state = slots.state(ms(at + 300), 0, Vec::new());
        state.loading.is_none().then_some(weights.len())
    });
    let broken: Vec<_> = broken.into_iter().flatten().collect();
    assert!(
        broken.is_empty(),
        "slot lost after 50 ms with models: {broken:?}"
    );
}

/// Guards against an update from before a load, overtaken by later ones, that removes the load.
#[test]
fn late_update_of_an_engine_that_did_not_answer_removes_its_later_load() {
    let mut slots = Slots::default();
    slots.receive(ms(500), PEER, Some(peer_state(1, 490, true)));
    slots.receive(ms(505), PEER, None);
    let ordered = order_time(&mut slots, &[(MODEL, 2)], |_| None, 0..8_000);
    assert_eq!(
        ordered, None,
        "ordered though the silent peer may still load"
    );
}
