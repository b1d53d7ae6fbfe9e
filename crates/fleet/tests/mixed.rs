//! Failures at any moment, together or twice, in an order drawn from a seed.

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

/// One failure or repair; the first process keeps running, so that something is left.
fn disturb(net: &mut Net, step: u64, version: &mut u64) {
    let i = net.rng.random_range(1..SIZE);
    match net.rng.random_range(0..12) {
        0 => net.kill(i),
        1 | 2 => net.restart(i),
        3 if net.nodes[i].up && !net.nodes[i].paused => net.pause(i),
        4 if net.nodes[i].paused => net.resume(i),
        5 => net.nodes[i].group = 1,
        6 => net.nodes[i].group = 0,
        7 => net.up = !net.up,
        8 => net.nodes[i].table = !net.nodes[i].table,
        9 => net.apart = net.apart.xor(Some((0, 1))),
        10 if net.nodes[i].up && !net.nodes[i].paused => net.hand(i, Event::Leave),
        _ if net.up => {
            *version += 1;
            net.accept(0, row(*version, format!("step {step}")));
        }
        _ => {}
    }
}

fn repair(net: &mut Net) {
    net.up = true;
    net.apart = None;
    for i in 0..SIZE {
        net.nodes[i].group = 0;
        net.nodes[i].table = true;
        match net.nodes[i].up {
            true if net.nodes[i].paused => net.resume(i),
            true => {}
            false => net.restart(i),
        }
    }
}

/// Processes die, hang, restart and lose each other or the platform while changes are made, and
/// nothing waits for the failure before to be over. A user would notice rules that go back, or a
/// fleet that doesn't find together again once all is repaired.
#[test]
fn any_order_ends_whole() {
    for seed in 0..12 {
        let mut net = Net::settled(SIZE, 100 + seed, 0.02);
        let mut version = 1;
        for step in 0..STEPS {
            disturb(&mut net, step, &mut version);
            let pause = net.rng.random_range(0..8_000);
            net.run(Micros::from_millis(pause));
            for n in net.up() {
                let forward = n.adopted.windows(2).all(|w| w[0].1 < w[1].1);
                assert!(forward, "seed {seed}, step {step}: {:?}", n.adopted);
            }
        }
        repair(&mut net);
        let last = net.row.clone().expect("the table has a row");
        let whole = net.until(secs(120), |net| net.is_whole() && net.all_have(&last));
        assert_matches!(whole, Some(_), "seed {seed}");
        net.run(secs(60));
        assert!(
            net.is_whole() && net.all_have(&last),
            "seed {seed} stays whole"
        );
    }
}
