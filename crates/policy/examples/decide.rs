//! Measures the time of a placement decision: `cargo run --release -p policy --example decide`.

use std::hint::black_box;
use std::time::Instant;

use model::{BlockHash, Class, Incarnation, Micros, TargetKey};
use policy::probe_placement::{
    choose, home, replicas_to_probe, Config, Offer, Peer, PlacementRequest, State,
};
use policy::recent_replicas::{self, RecentReplicas};
use prefix::Marks;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slotmap::SlotMap;

/// Blocks of a prompt: 16,000 tokens.
const PROMPT_BLOCKS: usize = 1_000;
const ROUNDS: usize = 20_000;

fn random_offer(target: TargetKey, rng: &mut SmallRng) -> Offer {
    Offer {
        target,
        incarnation: Incarnation(1),
        matched: rng.random_range(0..PROMPT_BLOCKS as u32),
        wait: Micros(rng.random_range(0..1_000_000)),
        prefill: Micros(2_000),
        state: State::Serving,
        load: 3,
        busy: 0.5,
    }
}

/// Measures all steps of an entry: selects the replicas to probe, builds the marks of the probe,
/// chooses among the offers and records the choice.
fn measure(replicas: u64) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut keys: SlotMap<TargetKey, ()> = SlotMap::with_key();
    let mut peer = |id| Peer {
        target: keys.insert(()),
        id,
        wait: Micros::ZERO,
    };
    let peers: Vec<Peer> = (0..replicas).map(&mut peer).collect();
    let chains: Vec<Vec<BlockHash>> = (0..200)
        .map(|_| {
            (0..PROMPT_BLOCKS)
                .map(|_| BlockHash(rng.random()))
                .collect()
        })
        .collect();
    let config = Config::default();
    let mut recent = RecentReplicas::new(recent_replicas::Config::default());
    let start = Instant::now();
    for i in 0..ROUNDS {
        let chain = &chains[i % chains.len()];
        let probed = replicas_to_probe(&config, chain, &peers, &recent, &mut rng);
        black_box(Marks::new(chain));
        let offers: Vec<Offer> = probed.iter().map(|t| random_offer(*t, &mut rng)).collect();
        let heat = recent.share(chain) * replicas as f64;
        let request = PlacementRequest {
            class: Class::Call,
            blocks: PROMPT_BLOCKS as u32,
            heat,
            home: home(chain, &peers),
        };
        let choices = choose(&config, &request, &offers, |_| Micros(100));
        recent.record_request(chain);
        recent.record_use(chain, choices[0].target);
    }
    let us = start.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64;
    println!("{replicas:>4} replicas: {us:.1} us a decision");
}

fn main() {
    for replicas in [9, 277, 830] {
        measure(replicas);
    }
}
