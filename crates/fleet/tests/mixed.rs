//! Overlapping failures in a random order drawn from a seed.

mod net;

use assert_matches::assert_matches;
use fleet::Event;
use model::Micros;
use net::{row, Net};
use rand::Rng;

const SIZE: usize = 16;
const STEPS: u64 = 40;

fn secs(n: u64) -> Micros {
    Micros::from_secs(n)
}

/// Applies one random failure or repair. The first process keeps running, so that the
/// configuration is not lost.
fn inject_failure(net: &mut Net, step: u64, version: &mut u64) {
    let i = net.rng.random_range(1..SIZE);
    match net.rng.random_range(0..12) {
        0 => net.kill(i),
        1 | 2 => net.restart(i),
        3 if net.nodes[i].up && !net.nodes[i].paused => net.pause(i),
        4 if net.nodes[i].paused => net.resume(i),
        5 => net.nodes[i].group = 1,
        6 => net.nodes[i].group = 0,
        7 => net.table_up = !net.table_up,
        8 => net.nodes[i].table_reachable = !net.nodes[i].table_reachable,
        9 => net.unlinked_domains = net.unlinked_domains.xor(Some((0, 1))),
        10 if net.nodes[i].up && !net.nodes[i].paused => net.deliver(i, Event::Leave),
        _ if net.table_up => {
            *version += 1;
            net.accept(0, row(*version, format!("step {step}")));
        }
        _ => {}
    }
}

fn repair(net: &mut Net) {
    net.table_up = true;
    net.unlinked_domains = None;
    for i in 0..SIZE {
        net.nodes[i].group = 0;
        net.nodes[i].table_reachable = true;
        match net.nodes[i].up {
            true if net.nodes[i].paused => net.resume(i),
            true => {}
            false => net.restart(i),
        }
    }
}

/// Guards against rules that are reverted, or a fleet that stays incomplete after repair, when
/// failures and changes overlap.
#[test]
fn overlapping_failures_end_with_a_complete_fleet() {
    for seed in 0..12 {
        let mut net = Net::settled(SIZE, 100 + seed, 0.02);
        let mut version = 1;
        for step in 0..STEPS {
            inject_failure(&mut net, step, &mut version);
            let pause = net.rng.random_range(0..8_000);
            net.run(Micros::from_millis(pause));
            for n in net.up() {
                let forward = n.adopted.windows(2).all(|w| w[0].1 < w[1].1);
                assert!(forward, "seed {seed}, step {step}: {:?}", n.adopted);
            }
        }
        repair(&mut net);
        let last = net.row.clone().expect("the table has a row");
        let complete = net.run_until(secs(120), |net| net.is_complete() && net.all_have(&last));
        assert_matches!(complete, Some(_), "seed {seed}");
        net.run(secs(60));
        assert!(
            net.is_complete() && net.all_have(&last),
            "seed {seed} stays complete"
        );
    }
}
