//! Connections cut at each frame of an exchange, once and twice, in both directions.

mod common;

use common::{AfterCut, Corruption, Cut, LateDelivery, RequestSpec, Simulation, Step};
use model::{Code, Outcome};

const SPEC: RequestSpec = RequestSpec {
    idempotent: true,
    streamed: true,
    key: None,
    events: 6,
    size: 1,
    incarnation_known: true,
    confirm_each: true,
};

/// Every kind of request whose answer may depend on its properties.
fn specs(events: u8) -> Vec<RequestSpec> {
    let mut all = Vec::new();
    for bits in 0..12 {
        all.push(RequestSpec {
            idempotent: bits & 1 == 0,
            streamed: bits & 2 == 0,
            key: (bits / 4 == 1).then_some(7),
            incarnation_known: bits / 4 != 2,
            events,
            ..SPEC
        });
    }
    all
}

/// Every cut of a connection that carries `events` chunks, and `None` for no cut.
fn cuts(events: u8) -> Vec<Option<Cut>> {
    let n = usize::from(events);
    let down = (0..n + 4).map(|at| Cut {
        up: false,
        at,
        late: LateDelivery::Never,
    });
    let late = [LateDelivery::Never, LateDelivery::Next, LateDelivery::Last];
    let up = (0..n + 2).flat_map(|at| late.map(|late| Cut { up: true, at, late }));
    down.chain(up).map(Some).chain([None]).collect()
}

fn run(
    spec: RequestSpec,
    sidecars: usize,
    after_cut: AfterCut,
    cuts: [Option<Cut>; 2],
) -> Simulation {
    let mut w = Simulation::new(sidecars);
    w.after_cut = after_cut;
    w.cuts = cuts.into();
    w.call(spec);
    w.settle();
    w
}

/// Guards against lost, repeated or reordered events when connections break, twice in a row if a
/// switch restarts, and against a second run when a broken connection delivers its request late.
#[test]
fn cut_after_each_frame_once_and_twice() {
    let mut runs = 0;
    for events in 0..=6 {
        let cuts = cuts(events);
        for spec in specs(events) {
            for (&a, &b) in cuts.iter().flat_map(|a| cuts.iter().map(move |b| (a, b))) {
                for (after_cut, sidecars) in [
                    (AfterCut::Same, 1),
                    (AfterCut::Same, 3),
                    (AfterCut::Restarted, 1),
                    (AfterCut::Restarted, 3),
                    (AfterCut::Gone, 1),
                    (AfterCut::Gone, 3),
                ] {
                    let w = run(spec, sidecars, after_cut, [a, b]);
                    let end = w.callers[0].end.as_ref();
                    // If the request was lost and the entry doesn't know the sidecar's
                    // incarnation, an earlier incarnation may have run it.
                    let unknown = !spec.incarnation_known && a.is_some_and(|c| c.up && c.at == 0);
                    let safe = spec.idempotent || after_cut == AfterCut::Same && !unknown;
                    let whole = sidecars == 3 && safe;
                    assert!(
                        !whole || end == Some(&Ok(())),
                        "{spec:?} {after_cut:?} {a:?} {b:?}: {end:?}"
                    );
                    runs += 1;
                }
            }
        }
    }
    println!("{runs} runs");
}

/// Guards against a stream that ends without an error when the engine crashes under it, and
/// against a second run of a request that isn't idempotent.
#[test]
fn engine_crash_at_each_chunk() {
    for events in 0..=6 {
        for spec in specs(events) {
            for (at, sidecars) in (0..=usize::from(events)).flat_map(|at| [(at, 1), (at, 2)]) {
                let mut w = Simulation::new(sidecars);
                w.sidecars[0].dies_after = Some(at);
                w.call(spec);
                w.settle();
                let whole = spec.idempotent && sidecars == 2;
                match (&w.callers[0].end, whole) {
                    (Some(Ok(())), true) => {}
                    (Some(Err(f)), false) => {
                        assert_eq!((f.code, f.outcome), (Code::TargetLost, Outcome::Unknown));
                    }
                    (end, _) => panic!("{spec:?} crash at {at}: {end:?}"),
                }
            }
        }
    }
}

/// Guards against a stall when large chunks fill the replay buffer before a confirmation is due,
/// or a cut loses the confirmation: sidecar and entry would wait for each other.
#[test]
fn large_answers_flow_through_cuts() {
    for key in [None, Some(7)] {
        for cut in cuts(6) {
            let spec = RequestSpec {
                key,
                size: 300 << 10,
                confirm_each: false,
                ..SPEC
            };
            let w = run(spec, 1, AfterCut::Same, [cut, None]);
            let end = w.callers[0].end.as_ref();
            // Without another replica, a request that never arrived is refused.
            let lost = cut.is_some_and(|c| c.up && c.at == 0);
            assert!(lost || end == Some(&Ok(())), "{cut:?}: {end:?}");
        }
    }
}

/// Guards against frames that a faulty peer repeats, swaps or loses, and against a wrong count or
/// hash in the end frame: the caller would get a corrupted answer that seems complete.
#[test]
fn spoiled_frames_never_reach_the_caller() {
    use Corruption::{Digest, Fewer, Lose, More, Repeat, Swap};
    for (how, events) in [Repeat, Swap, Lose, More, Fewer, Digest]
        .into_iter()
        .flat_map(|how| (0..=6).map(move |events| (how, events)))
    {
        let mut corrupted = 0;
        for (spec, at) in specs(events)
            .into_iter()
            .flat_map(|a| (0..14).map(move |n| (a, n)))
        {
            let mut w = Simulation::new(3);
            w.call(spec);
            let mut reads = 0;
            // The target makes its steps first, so that there are frames to be swapped.
            while let Some(&m) = w.moves().last() {
                if matches!(m, Step::Entry(_)) {
                    reads += 1;
                    corrupted += usize::from(reads == at && w.corrupt(0, how));
                }
                w.act(m);
            }
            w.settle();
            let end = w.callers[0].end.as_ref().expect("settled");
            // Only an impossible end frame is a failure; lost frames are requested again.
            let bad = matches!(how, Fewer | Digest) && !spec.idempotent;
            match end {
                Ok(()) => {}
                Err(f) => assert_eq!((bad, f.code), (true, Code::BadAnswer), "{how:?} {at}"),
            }
        }
        assert!(corrupted > 0 || events == 0, "{how:?}");
    }
}
