//! The index of one engine's cache, with events that are late, repeated or lost.

use std::collections::BTreeMap;

use bytes::Bytes;
use model::{BlockHash, Incarnation, Micros};
use prefix::{chain, Block, Config, Event, Index, Kind, Marks, Need, Seed, BLOCK_BYTES};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const T0: Micros = Micros(1_000);
const LATER: Micros = Micros(1_000_000);

fn text(id: u64) -> Bytes {
    Bytes::from(vec![id as u8; BLOCK_BYTES])
}

fn block(id: u64, parent: Option<u64>, scope: &str) -> Block {
    Block {
        hash: id,
        parent,
        scope: scope.to_owned(),
        text: text(id),
    }
}

/// Blocks with the ids 1, 2, … up to `n`, each the parent of the next.
fn block_chain(n: u64) -> Vec<Block> {
    (1..=n)
        .map(|id| block(id, (id > 1).then(|| id - 1), "a"))
        .collect()
}

fn stored(seq: u64, id: u64, parent: Option<u64>) -> Event {
    event(seq, 1, Kind::Stored(block(id, parent, "a")))
}

fn event(seq: u64, incarnation: u64, kind: Kind) -> Event {
    Event {
        seq,
        incarnation: Incarnation(incarnation),
        kind,
    }
}

fn index() -> Index {
    Index::new(Config::default(), "m", "1")
}

fn hashes(scope: &str, weights: &str, ids: &[u64]) -> Vec<BlockHash> {
    let prompt: Vec<u8> = ids.iter().flat_map(|id| text(*id)).collect();
    chain(Seed::new(scope, "m", weights), prompt)
}

fn removed(hash: u64) -> Kind {
    Kind::Removed { hash }
}

/// Guards against blocks that are wrongly indexed as cached when events are lost or reordered: a
/// request would wait for a full prefill at a replica that was chosen for its cache.
#[test]
fn index_follows_the_events() {
    struct Case {
        name: &'static str,
        events: Vec<Event>,
        blocks: u32,
        need: Need,
    }
    let cases = [
        Case {
            name: "in order",
            events: vec![
                stored(1, 1, None),
                stored(2, 2, Some(1)),
                stored(3, 3, Some(2)),
            ],
            blocks: 3,
            need: Need::Nothing,
        },
        Case {
            name: "first number is zero",
            events: vec![stored(0, 1, None), stored(1, 2, Some(1))],
            blocks: 2,
            need: Need::Nothing,
        },
        Case {
            name: "reordered and repeated",
            events: vec![
                stored(1, 1, None),
                stored(3, 3, Some(2)),
                stored(3, 3, Some(2)),
                stored(2, 2, Some(1)),
                stored(1, 1, None),
            ],
            blocks: 3,
            need: Need::Nothing,
        },
        Case {
            name: "unknown parent",
            events: vec![stored(1, 2, Some(1)), stored(2, 3, Some(2))],
            blocks: 0,
            need: Need::Nothing,
        },
        Case {
            name: "parent removed, child still held",
            events: vec![
                stored(1, 1, None),
                stored(2, 2, Some(1)),
                stored(3, 3, Some(2)),
                event(4, 1, removed(2)),
            ],
            blocks: 1,
            need: Need::Nothing,
        },
        Case {
            name: "parent removed and stored again",
            events: vec![
                stored(1, 1, None),
                stored(2, 2, Some(1)),
                stored(3, 3, Some(2)),
                event(4, 1, removed(1)),
                stored(5, 1, None),
            ],
            blocks: 3,
            need: Need::Nothing,
        },
        Case {
            name: "cleared",
            events: vec![stored(1, 1, None), event(2, 1, Kind::Cleared)],
            blocks: 0,
            need: Need::Nothing,
        },
        Case {
            name: "other weights",
            events: vec![
                stored(1, 1, None),
                event(
                    2,
                    1,
                    Kind::Weights {
                        version: "2".to_owned(),
                    },
                ),
                stored(3, 1, None),
            ],
            blocks: 0,
            need: Need::Nothing,
        },
        Case {
            name: "first event is not the first of its incarnation",
            events: vec![stored(7, 1, None)],
            blocks: 0,
            need: Need::Snapshot,
        },
        Case {
            name: "a lost event, followed by a removal",
            events: vec![
                stored(1, 1, None),
                stored(2, 2, Some(1)),
                stored(4, 3, Some(2)),
                event(5, 1, removed(2)),
            ],
            blocks: 1,
            need: Need::Snapshot,
        },
    ];
    for case in cases {
        let mut index = index();
        for event in case.events {
            let _ = index.apply(T0, event);
        }
        assert_eq!(index.tick(LATER), case.need, "{}", case.name);
        let chain = hashes("a", "1", &[1, 2, 3]);
        assert_eq!(index.matched_chain(&chain), case.blocks, "{}", case.name);
        assert_eq!(
            index.matched(&Marks::new(&chain)),
            case.blocks,
            "{}",
            case.name
        );
        assert_eq!(index.matched(&Marks::new(&hashes("b", "1", &[1, 2, 3]))), 0);
    }
}

/// Guards against blocks of a crashed engine that stay in the index, or are added by late events of
/// its old connection: requests would be sent to an empty cache.
#[test]
fn blocks_and_late_events_of_an_earlier_incarnation_are_dropped() {
    let mut index = index();
    let _ = index.apply(T0, stored(1, 1, None));
    let _ = index.apply(T0, event(1, 2, Kind::Cleared));
    let _ = index.apply(T0, stored(2, 1, None));
    let _ = index.reset(T0, Incarnation(1), 9, block_chain(3));
    assert_eq!(index.matched_chain(&hashes("a", "1", &[1])), 0);
    assert_eq!((index.len(), index.incarnation()), (0, Incarnation(2)));
}

/// Guards against a snapshot that was taken before the lost event, and against lost blocks if a
/// snapshot lists children before their parents.
#[test]
fn snapshot_is_used_only_if_it_covers_the_lost_event() {
    let mut index = index();
    let _ = index.apply(T0, stored(1, 1, None));
    let _ = index.apply(T0, event(5, 1, removed(9)));
    assert_eq!(index.tick(LATER), Need::Snapshot);
    assert_eq!(
        index.reset(LATER, Incarnation(1), 4, block_chain(3)),
        Need::Snapshot
    );
    let backwards = block_chain(3).into_iter().rev();
    assert_eq!(
        index.reset(LATER, Incarnation(1), 5, backwards),
        Need::Nothing
    );
    assert_eq!(index.matched_chain(&hashes("a", "1", &[1, 2, 3])), 3);
    assert_eq!(index.apply(LATER, stored(6, 4, Some(3))), Need::Nothing);
    assert_eq!(index.len(), 4);
}

/// Guards against a burst with a new prefix that is spread over replicas before the prefix is
/// computed, and against a prompt that never ran but counts as cached for long.
#[test]
fn expected_prompt_counts_until_it_is_confirmed_or_expires() {
    let chain = hashes("a", "1", &[1, 2]);
    let mut index = index();
    let _ = index.apply(T0, event(1, 1, Kind::Cleared));
    index.expect(T0, &chain);
    assert_eq!(
        (index.matched_chain(&chain), index.held(&Marks::new(&chain))),
        (2, 0)
    );
    let _ = index.apply(T0, stored(2, 1, None));
    assert_eq!((index.matched_chain(&chain), index.expected()), (2, 1));
    let _ = index.tick(T0 + Config::default().expected_ttl);
    assert_eq!((index.matched_chain(&chain), index.expected()), (1, 0));
    index.expect(LATER, &chain);
    index.set_weights("2");
    assert_eq!((index.matched_chain(&chain), index.expected()), (0, 0));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Store(u8),
    Remove(u8),
    Clear,
    Restart,
}

#[derive(Clone, Copy, Debug)]
enum Delivery {
    Once,
    Never,
    Twice,
    Delay(u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (0u8..40).prop_map(Step::Store),
        6 => (0u8..40).prop_map(Step::Remove),
        1 => Just(Step::Clear),
        1 => Just(Step::Restart),
    ]
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        8 => Just(Delivery::Once),
        1 => Just(Delivery::Never),
        1 => Just(Delivery::Twice),
        2 => (1u8..20).prop_map(Delivery::Delay),
    ]
}

/// An engine whose block `id` follows block `id / 2`, so that the ids form a tree.
#[derive(Default)]
struct Engine {
    incarnation: u64,
    seq: u64,
    held: BTreeMap<u64, Block>,
}

impl Engine {
    fn step(&mut self, step: Step) -> Option<Event> {
        let kind = match step {
            Step::Store(n) => {
                let id = u64::from(n) + 1;
                let parent = (id > 1).then_some(id / 2);
                if parent.is_some_and(|p| !self.held.contains_key(&p)) {
                    return None;
                }
                let block = block(id, parent, "a");
                self.held.insert(id, block.clone());
                Kind::Stored(block)
            }
            Step::Remove(n) => {
                self.held.remove(&(u64::from(n) + 1))?;
                removed(u64::from(n) + 1)
            }
            Step::Clear => {
                self.held.clear();
                Kind::Cleared
            }
            Step::Restart => {
                self.held.clear();
                self.incarnation += 1;
                self.seq = 0;
                return None;
            }
        };
        self.seq += 1;
        Some(event(self.seq, self.incarnation, kind))
    }

    /// The paths from the first block to each block that can be reused.
    fn reusable(&self) -> Vec<Vec<u64>> {
        let whole = |ids: &Vec<u64>| ids.iter().all(|i| self.held.contains_key(i));
        self.held
            .keys()
            .map(|id| path_to(*id))
            .filter(whole)
            .collect()
    }
}

/// The ids from the first block to this one.
fn path_to(id: u64) -> Vec<u64> {
    let up = std::iter::successors(Some(id), |i| (*i > 1).then_some(*i / 2));
    let mut ids: Vec<u64> = up.collect();
    ids.reverse();
    ids
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Guards against an index that differs from the cache after all events or a snapshot arrived,
    /// or that ever contains a block not reported in the current incarnation.
    #[test]
    fn the_index_agrees_with_the_engine(steps in prop::collection::vec((step(), delivery()), 1..200)) {
        let mut engine = Engine { incarnation: 1, ..Engine::default() };
        let mut index = index();
        let mut queue: Vec<(usize, Event)> = Vec::new();
        let mut reported: BTreeMap<u64, u64> = BTreeMap::new();
        for (i, (step, delivery)) in steps.iter().copied().enumerate() {
            if let Some(event) = engine.step(step) {
                match delivery {
                    Delivery::Once => queue.push((i, event)),
                    Delivery::Never => {}
                    Delivery::Twice => queue.extend([(i, event.clone()), (i + 3, event)]),
                    Delivery::Delay(n) => queue.push((i + usize::from(n), event)),
                }
            }
            let (due, rest) = queue.into_iter().partition(|(at, _)| *at <= i);
            queue = rest;
            for (_, event) in due {
                if let Kind::Stored(b) = &event.kind {
                    let incarnation = reported.entry(b.hash).or_default();
                    *incarnation = event.incarnation.0.max(*incarnation);
                }
                let _ = index.apply(Micros(i as u64 * 20_000), event);
            }
            let incarnation = index.incarnation().0;
            for id in 1..=40u64 {
                let path = path_to(id);
                if index.matched_chain(&hashes("a", "1", &path)) == path.len() as u32 {
                    prop_assert!(path.iter().all(|i| reported.get(i) == Some(&incarnation)), "{path:?}");
                }
            }
        }
        // A last event always arrives, so that the index detects each lost event before it.
        queue.extend(engine.step(Step::Store(0)).map(|event| (0, event)));
        for (_, event) in queue {
            let _ = index.apply(Micros::from_secs(10), event);
        }
        if index.tick(Micros::from_secs(20)) == Need::Snapshot {
            let blocks: Vec<Block> = engine.held.values().rev().cloned().collect();
            let incarnation = Incarnation(engine.incarnation);
            let need = index.reset(Micros::from_secs(20), incarnation, engine.seq, blocks);
            prop_assert_eq!(need, Need::Nothing);
        }
        let reusable = engine.reusable();
        for path in &reusable {
            let chain = hashes("a", "1", path);
            prop_assert_eq!(index.matched_chain(&chain), path.len() as u32, "{:?}", path);
        }
        prop_assert_eq!(index.len(), reusable.len());
    }
}
