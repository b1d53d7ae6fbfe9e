//! Which replicas an entry probes, and which one it chooses.

use model::{BlockHash, Class, Incarnation, Micros, TargetKey};
use policy::probe_placement::{
    choose, rendezvous_order, replicas_to_probe, Config, Offer, Peer, PlacementRequest, State,
};
use policy::recent_replicas::{self, RecentReplicas};
use prefix::{chain, Seed, BLOCK_BYTES};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use slotmap::SlotMap;

fn peers(n: u64) -> Vec<Peer> {
    let mut map: SlotMap<TargetKey, ()> = SlotMap::with_key();
    let mut peer = |id| Peer {
        target: map.insert(()),
        id,
        wait: Micros::ZERO,
    };
    (0..n).map(&mut peer).collect()
}

fn hashes(blocks: usize, fill: u8) -> Vec<BlockHash> {
    chain(Seed::new("a", "m", "1"), vec![fill; blocks * BLOCK_BYTES])
}

fn offer(target: TargetKey, matched: u32, wait_ms: u64) -> Offer {
    Offer {
        target,
        incarnation: Incarnation(1),
        matched,
        wait: Micros::from_millis(wait_ms),
        prefill: Micros::from_millis(1),
        state: State::Serving,
        load: 0,
        busy: 0.0,
    }
}

#[test]
fn entries_without_a_memory_probe_the_same_replicas() {
    let (peers, chain, config) = (peers(200), hashes(1_000, 1), Config::default());
    let memory = RecentReplicas::new(recent_replicas::Config::default());
    let ask = |seed| {
        let mut rng = SmallRng::seed_from_u64(seed);
        replicas_to_probe(&config, &chain, &peers, &memory, &mut rng)
    };
    let (one, two) = (ask(1), ask(2));
    assert_eq!((one.len(), two.len()), (4, 4));
    assert_eq!(one[..3], two[..3]);
    assert!(rendezvous_order(&chain, &peers).starts_with(&one[..1]));
}

#[test]
fn recently_used_replicas_are_probed_first_while_they_are_live() {
    let (peers, long, config) = (peers(50), hashes(1_000, 1), Config::default());
    let mut rng = SmallRng::seed_from_u64(1);
    let mut memory = RecentReplicas::new(recent_replicas::Config::default());
    memory.record_use(&long, peers[7].target);
    memory.record_use(&long[..600], peers[8].target);
    let probed = replicas_to_probe(&config, &long[..520], &peers, &memory, &mut rng);
    assert_eq!(probed[0], peers[8].target);
    let probed = replicas_to_probe(&config, &long, &peers, &memory, &mut rng);
    assert_eq!(probed[0], peers[7].target);
    let probed = replicas_to_probe(&config, &long, &peers[..7], &memory, &mut rng);
    assert!(!probed.contains(&peers[7].target));
    assert!(replicas_to_probe(&config, &long, &[], &memory, &mut rng).is_empty());
    let alone = replicas_to_probe(&config, &[], &peers[..1], &memory, &mut rng);
    assert_eq!(alone, [peers[0].target]);
}

#[test]
fn the_memory_is_bounded_and_drops_missed_prefixes() {
    let peers = peers(2);
    let mut memory = RecentReplicas::new(recent_replicas::Config { prefixes: 100 });
    for fill in 0..50 {
        memory.record_use(&hashes(40, fill), peers[0].target);
    }
    assert!(memory.len() <= 200, "{}", memory.len());
    let chain = hashes(40, 49);
    let (mark, _) = memory.longest(&chain).expect("the last prefix is known");
    assert_eq!(mark.blocks, 40);
    memory.forget(mark.hash, peers[0].target);
    assert_eq!(memory.longest(&chain).map(|(m, _)| m.blocks), Some(32));
    assert!(memory.longest(&hashes(40, 0)).is_none());
}

#[test]
fn the_least_sum_of_wait_recomputation_and_delay_is_chosen() {
    struct Case {
        name: &'static str,
        heat: f64,
        home: Option<usize>,
        offers: Vec<Offer>,
        order: Vec<usize>,
    }
    let peers = peers(4);
    let at = |i: usize, matched, wait| offer(peers[i].target, matched, wait);
    let busy = |o: Offer| Offer { busy: 0.9, ..o };
    let cases = [
        Case {
            name: "the holder, despite a slightly longer wait",
            heat: 0.0,
            home: None,
            offers: vec![at(0, 0, 0), at(1, 1_000, 1_900)],
            order: vec![1, 0],
        },
        Case {
            name: "a hot prefix spreads once its holder's wait costs more than a copy",
            heat: 0.0,
            home: None,
            offers: vec![at(0, 0, 0), at(1, 1_000, 2_100)],
            order: vec![0, 1],
        },
        Case {
            name: "a very hot prefix spreads earlier",
            heat: 3.0,
            home: None,
            offers: vec![at(0, 0, 0), at(1, 1_000, 700)],
            order: vec![0, 1],
        },
        Case {
            name: "the nearer of two equals",
            heat: 0.0,
            home: None,
            offers: vec![at(3, 500, 0), at(2, 500, 0)],
            order: vec![2, 3],
        },
        Case {
            name: "the home replica, if no replica holds the prefix and its wait is little longer",
            heat: 0.0,
            home: Some(2),
            offers: vec![at(0, 0, 0), at(2, 0, 90), at(1, 0, 0)],
            order: vec![2, 0, 1],
        },
        Case {
            name: "only replicas that serve",
            heat: 0.0,
            home: None,
            offers: vec![
                Offer {
                    state: State::Leaving,
                    ..at(0, 1_000, 0)
                },
                Offer {
                    state: State::Full,
                    ..at(1, 0, 0)
                },
                Offer {
                    state: State::Loading,
                    ..at(2, 1_000, 0)
                },
                at(3, 0, 5_000),
            ],
            order: vec![3],
        },
        Case {
            name: "a full holder rules out copies once waiting for it costs less",
            heat: 0.0,
            home: None,
            offers: vec![
                Offer {
                    state: State::Full,
                    ..busy(at(1, 1_000, 9_000))
                },
                busy(at(0, 0, 0)),
                busy(at(2, 1_000, 100)),
            ],
            order: vec![2],
        },
        Case {
            name: "a full holder allows copies while there is room",
            heat: 0.0,
            home: None,
            offers: vec![
                Offer {
                    state: State::Full,
                    ..at(1, 1_000, 9_000)
                },
                at(0, 0, 0),
            ],
            order: vec![0],
        },
        Case {
            name: "no replica answered",
            heat: 0.0,
            home: None,
            offers: vec![],
            order: vec![],
        },
    ];
    for case in cases {
        let delay = |t| Micros(if t == peers[3].target { 1_000 } else { 100 });
        let request = PlacementRequest {
            class: Class::Call,
            blocks: 1_000,
            heat: case.heat,
            home: case.home.map(|i| peers[i].target),
        };
        let choices = choose(&Config::default(), &request, &case.offers, delay);
        let order: Vec<TargetKey> = choices.iter().map(|c| c.target).collect();
        let expected: Vec<TargetKey> = case.order.iter().map(|i| peers[*i].target).collect();
        assert_eq!(order, expected, "{}", case.name);
    }
}

/// Guards against two rounds of probes that reach only the two replicas of four that load weights: the request
/// would be refused although the other two are idle.
#[test]
fn two_rounds_of_probes_reach_a_serving_replica() {
    let (all, config) = (peers(4), Config::default());
    let memory = RecentReplicas::new(recent_replicas::Config::default());
    let loading = [all[0].target, all[1].target];
    for seed in 0..2_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut left = all.clone();
        let mut probed = Vec::new();
        for _ in 0..2 {
            let round = replicas_to_probe(&config, &[], &left, &memory, &mut rng);
            left.retain(|p| !round.contains(&p.target));
            probed.extend(round);
        }
        assert!(
            probed.iter().any(|t| !loading.contains(t)),
            "seed {seed}: {probed:?}"
        );
    }
}
