//! Spread of the configuration: in force everywhere within seconds, never back.

mod net;

use assert_matches::assert_matches;
use fleet::{Conviction, Event, Keyring, PullScope, TableRow};
use model::{MemberId, Micros, Version};
use net::{row, Net};

fn secs(n: u64) -> Micros {
    Micros::from_secs(n)
}

/// Each process adopts ever higher versions, but for a second text of the version before.
fn assert_forward(net: &Net) {
    for n in net.up() {
        let versions: Vec<_> = n.adopted.iter().map(|a| a.1).collect();
        let forward = versions.windows(2).all(|w| w[0] <= w[1]);
        assert!(forward, "{versions:?}");
    }
}

/// An operator changes the configuration while datagrams and pulls are lost. A user would notice
/// entries that still decide by the old rules.
#[test]
fn change_reaches_all() {
    struct Case {
        size: usize,
        loss: f64,
        within: Micros,
    }
    let cases = [
        Case {
            size: 2,
            loss: 0.0,
            within: secs(1),
        },
        Case {
            size: 10,
            loss: 0.01,
            within: secs(2),
        },
        Case {
            size: 60,
            loss: 0.01,
            within: secs(3),
        },
        Case {
            size: 30,
            loss: 0.2,
            within: secs(10),
        },
    ];
    for c in cases {
        let mut net = Net::settled(c.size, 21, c.loss);
        for v in 2..6 {
            let r = row(v, format!("text {v}"));
            net.accept(v as usize % c.size, r.clone());
            let took = net.until(c.within, |net| net.all_have(&r));
            assert_matches!(took, Some(_), "{} members, version {v}", c.size);
        }
        assert_forward(&net);
    }
}

/// The operator's `apply` waits until every live member reports the change and names those that
/// don't. A process hangs meanwhile; a user would notice an `apply` that claims too much.
#[test]
fn writer_knows_who_lags() {
    let mut net = Net::settled(20, 22, 0.01);
    net.pause(9);
    net.accept(0, row(2, "second"));
    let reported = net.until(secs(3), |net| net.nodes[0].fleet.in_force().current == 19);
    assert_matches!(reported, Some(_));
    let f = net.nodes[0].fleet.in_force();
    let names: Vec<_> = f.lagging.iter().map(|l| l.host.as_str()).collect();
    assert_eq!(names, ["host-0009.example"]);
    net.resume(9);
    let all = net.until(secs(3), |net| {
        net.nodes[0].fleet.in_force().lagging.is_empty()
    });
    assert_matches!(all, Some(_), "it reports as soon as it goes on");
}

/// Another process than the one that wrote is asked how far a change is in force.
#[test]
fn others_can_watch() {
    let mut net = Net::settled(30, 23, 0.01);
    net.accept(0, row(2, "second"));
    net.run(secs(2));
    net.hand(4, Event::PollVersions);
    let known = net.until(secs(3), |net| {
        net.nodes[4].fleet.in_force().lagging.is_empty()
    });
    assert_matches!(known, Some(_));
}

/// A process is paused while three changes are made, and its inbox still holds datagrams about
/// the first. A user would notice that it falls back to rules that were replaced.
#[test]
fn paused_across_three_changes() {
    let mut net = Net::settled(12, 24, 0.0);
    net.pause(5);
    for v in 2..5 {
        net.accept(v as usize, row(v, format!("text {v}")));
        net.run(secs(20));
    }
    net.resume(5);
    let last = row(4, "text 4");
    let took = net.until(secs(3), |net| net.all_have(&last));
    assert_matches!(took, Some(_));
    net.run(secs(30));
    assert!(net.all_have(&last));
    assert_forward(&net);
}

/// The process that wrote a change dies before it told anyone, or the write's answer was lost
/// and it never learned that it took effect. The table has the change and nobody else knows.
#[test]
fn lost_answer_is_read_back() {
    let mut net = Net::settled(12, 25, 0.01);
    let second = row(2, "second");
    net.row = Some(second.clone());
    let took = net.until(secs(4), |net| net.all_have(&second));
    assert_matches!(took, Some(_), "the readers find it");
}

/// Two processes hold different texts under one version, as after a fault in a writer. The
/// table decides; a user would notice rules that flip with every message.
#[test]
fn table_decides_between_two_texts() {
    struct Case {
        first: usize,
        table: bool,
    }
    let cases = [
        Case {
            first: 1,
            table: true,
        },
        Case {
            first: 6,
            table: true,
        },
        Case {
            first: 6,
            table: false,
        },
    ];
    for c in cases {
        let mut net = Net::settled(12, 26, 0.0);
        let (right, wrong) = (row(2, "right"), row(2, "wrong"));
        net.up = false;
        net.run(secs(5));
        for i in 0..12 {
            let r = if i < c.first { &wrong } else { &right };
            net.inject(i, r.clone());
        }
        net.row = Some(right.clone());
        net.up = c.table;
        net.run(secs(60));
        assert_eq!(net.all_have(&right), c.table, "{} wrong", c.first);
        let most = net
            .up()
            .map(|n| n.adopted.iter().filter(|a| a.1 == Version(2)).count());
        assert!(most.max() <= Some(2), "nobody flips back");
        net.up = true;
        net.run(secs(60));
        assert!(net.all_have(&right), "once the table is there");
    }
}

/// The table was restored from an old backup. What is in force must stay in force.
#[test]
fn older_table_changes_nothing() {
    let mut net = Net::settled(8, 27, 0.01);
    let second = row(2, "second");
    net.accept(0, second.clone());
    net.run(secs(5));
    net.row = Some(row(1, "first"));
    net.run(secs(30));
    assert!(net.all_have(&second));
    let behind: u64 = net.up().map(|n| n.fleet.counters().table_behind).sum();
    assert!(behind > 0, "and it is counted");
}

/// One process is cut off from the others, but not from the table, while a change is made; then
/// the other way round. A user would notice an entry that never learns of changes.
#[test]
fn cut_off_member_learns() {
    struct Case {
        group: u32,
        table: bool,
    }
    for c in [
        Case {
            group: 1,
            table: true,
        },
        Case {
            group: 0,
            table: false,
        },
    ] {
        let mut net = Net::settled(10, 28, 0.01);
        net.nodes[3].group = c.group;
        net.nodes[3].table = c.table;
        net.run(secs(60));
        let second = row(2, "second");
        net.accept(0, second.clone());
        let took = net.until(secs(10), |net| net.all_have(&second));
        assert_matches!(took, Some(_), "group {}", c.group);
    }
}

/// Most processes restart at once, with nothing remembered, while the platform is out. A user
/// would notice routers that don't serve until the platform is back.
#[test]
fn herd_restarts_in_an_outage() {
    let mut net = Net::settled(40, 29, 0.01);
    let second = row(2, "second");
    net.accept(0, second.clone());
    net.run(secs(5));
    net.up = false;
    (1..40).for_each(|i| net.restart(i));
    let served = net.until(secs(10), |net| net.all_have(&second));
    assert_matches!(
        served,
        Some(_),
        "all have the configuration from one that lived"
    );
    let whole = net.until(secs(30), Net::is_whole);
    assert_matches!(whole, Some(_));
    net.run(secs(60));
    let reads: u64 = net.up().map(|n| n.reads).sum();
    assert!(
        reads < 100,
        "the table isn't stormed in its outage: {reads} reads"
    );
}

/// Everything restarts at once, so that no process has the configuration, and the platform is
/// up. Nobody may storm the table.
#[test]
fn cold_start_reads_the_table() {
    let mut net = Net::new(30, 0.01);
    net.row = Some(row(7, "seventh"));
    net.grow(40);
    let r = row(7, "seventh");
    let took = net.until(secs(10), |net| net.all_have(&r));
    assert_matches!(took, Some(_));
    let reads: u64 = net.up().map(|n| n.reads).sum();
    assert!(reads < 40, "{reads} reads");
}

/// Each process would like to know of changes soon, and the table takes two thousand reads a
/// second for all. In a steady fleet only the few readers read.
#[test]
fn few_read_the_table() {
    for size in [1, 2, 10, 60] {
        let mut net = Net::settled(size, 31, 0.01);
        let sum = |net: &Net| net.up().map(|n| n.reads).sum::<u64>();
        let before = sum(&net);
        net.run(secs(60));
        let reads = sum(&net) - before;
        assert!(
            (6..=240).contains(&reads),
            "{reads} reads by {size} members"
        );
    }
}

/// A restarted process has an empty memory and hears first of all from one that is itself behind.
#[test]
fn lost_memory_does_no_harm() {
    let mut net = Net::settled(10, 32, 0.01);
    let second = row(2, "second");
    net.accept(0, second.clone());
    net.run(secs(5));
    for i in [0, 4, 0, 7] {
        net.restart(i);
        net.run(secs(1));
    }
    net.run(secs(10));
    assert!(net.all_have(&second));
    assert!(net.up().all(|n| n
        .adopted
        .iter()
        .all(|a| a.1 == Version(2) || a.1 == Version(1))));
    assert_forward(&net);
}

/// A peer's answer is cut or changed on its way. The text must match the digest.
#[test]
fn wrong_text_is_refused() {
    let mut net = Net::settled(3, 33, 0.0);
    let mut answer = net.nodes[1].fleet.answer(PullScope::Config);
    answer.version = Version(9);
    answer.text = "something else".into();
    let from = net.nodes[1].fleet.me().id;
    net.hand(0, Event::Pulled { from, answer });
    let bad = TableRow {
        digest: row(1, "x").digest,
        ..row(8, "y")
    };
    net.hand(0, Event::Table(Ok(Some(bad))));
    assert_eq!(net.nodes[0].fleet.version(), Version(1));
    net.inject(0, row(1, "another"));
    assert_eq!(net.nodes[0].fleet.digest(), row(1, "first").digest);
}

/// The same request crashes one target after another. All entries must know it within seconds,
/// and must forget it when its time is over, even if old datagrams are sent again.
#[test]
fn convictions_spread_and_expire() {
    let mut net = Net::settled(20, 34, 0.01);
    net.tape = Some(Vec::new());
    let until = net.now + secs(60);
    let c = Conviction {
        fingerprint: 77 << 70,
        until,
    };
    net.hand(3, Event::Convicted(c));
    let knows = |n: &net::Node| {
        n.fleet
            .convictions()
            .any(|k| k.fingerprint == c.fingerprint)
    };
    let told = net.until(secs(3), |net| net.up().all(knows));
    assert_matches!(told, Some(_));
    net.restart(8);
    net.run(secs(5));
    assert!(knows(&net.nodes[8]), "a restarted one learns it");
    let tape = net.tape.take().unwrap_or_default();
    net.run(secs(70));
    for (from, to, bytes) in tape {
        net.hand(net::index(to), Event::Datagram { from, bytes });
    }
    net.run(secs(1));
    assert!(!net.up().any(knows));
    assert!(
        net.up().all(|n| n.convicted.len() <= 1),
        "each is told once"
    );
}

/// Someone convicts more and more requests. Memory must stay bounded.
#[test]
fn convictions_are_bounded() {
    let mut net = Net::settled(2, 35, 0.0);
    let until = net.now + secs(3_000);
    for fingerprint in 0..2_000 {
        net.hand(0, Event::Convicted(Conviction { fingerprint, until }));
    }
    net.run(secs(60));
    assert!(net.up().all(|n| n.fleet.convictions().count() <= 256));
}

/// The fleet's key is replaced while it runs, member by member: first all accept the new key,
/// then all seal with it, then the old one is dropped.
#[test]
fn keys_rotate() {
    let rings = [
        Keyring::new("a secret").accept("another"),
        Keyring::new("another").accept("a secret"),
        Keyring::new("another"),
    ];
    let mut net = Net::settled(10, 36, 0.01);
    for ring in rings {
        for i in 0..10 {
            net.nodes[i].fleet.set_keys(ring.clone());
            net.run(secs(3));
        }
    }
    let lost: usize = net.up().map(|n| n.gone.len()).sum();
    assert_eq!(lost, 0);
    assert!(net.up().all(|n| n.fleet.counters().bad_seal == 0));
    net.nodes[2].fleet.set_keys(Keyring::new("a wrong one"));
    net.run(secs(30));
    assert!(
        net.nodes[0].fleet.counters().bad_seal > 0,
        "a wrong key is counted"
    );
    let id = net.nodes[2].fleet.me().id;
    let live = |n: &net::Node| n.fleet.member(id).is_some_and(|m| m.state.is_live());
    assert!(!net.up().any(live), "and shuts its holder out");
}

/// A process is found again under its id and the text of its description changes.
#[test]
fn tags_spread() {
    let mut net = Net::settled(10, 37, 0.01);
    let id: MemberId = net.nodes[6].fleet.me().id;
    net.nodes[6].fleet.set_tags("weights-8");
    let has = |n: &net::Node| n.fleet.member(id).is_some_and(|m| m.tags == "weights-8");
    let told = net.until(secs(3), |net| net.up().filter(|n| has(n)).count() == 9);
    assert_matches!(told, Some(_));
}

/// The table was restored from an old backup and the next change got a version that was in force
/// before with another text. Every process knows its own text to be the table's, so none may
/// believe another; each asks the table. A user would notice two sets of rules in force for good.
#[test]
fn reused_version_is_settled() {
    let mut net = Net::settled(20, 38, 0.01);
    net.accept(0, row(2, "before the restore"));
    net.run(secs(10));
    net.row = Some(row(1, "first"));
    net.run(secs(10));
    let after = row(2, "after the restore");
    net.accept(5, after.clone());
    let took = net.until(secs(60), |net| net.all_have(&after));
    assert_matches!(took, Some(_));
    let flips = net
        .up()
        .map(|n| n.adopted.iter().filter(|a| a.1 == Version(2)).count());
    assert!(flips.max() <= Some(2), "nobody flips back");
}

/// Two processes restart together, and one asks for everything at the other's address, where the
/// seeds still see the old life. The one that answers has just started and has nothing to tell; a user would notice an entry
/// that thinks itself alone and without rules.
#[test]
fn restarted_peer_is_no_source() {
    let mut net = Net::settled(6, 39, 0.0);
    let old = net.nodes[5].fleet.me().id;
    net.restart(4);
    net.restart(5);
    let answer = net.nodes[5].fleet.answer(PullScope::All);
    assert_eq!(answer.version, Version(0));
    net.hand(4, Event::Pulled { from: old, answer });
    assert_eq!(net.nodes[4].fleet.counters().pull_failures, 1);
    let first = row(1, "first");
    let took = net.until(secs(2), |net| net.all_have(&first) && net.is_whole());
    assert_matches!(took, Some(_), "it asks another one");
}

/// A process comes back under its old id, with nothing remembered. What it reported before must
/// not count; a user would notice an `apply` that returns before the change is in force there.
#[test]
fn reports_end_with_the_life() {
    let mut net = Net::settled(2, 40, 0.0);
    net.accept(0, row(2, "second"));
    net.run(secs(3));
    assert_eq!(net.nodes[0].fleet.in_force().current, 2);
    let me = net.member(1, 0);
    net.replace(1, me);
    net.nodes[1].table = false;
    net.hand(1, Event::Seeds(vec![net::udp(0)]));
    let lags = net.until(secs(1), |net| net.nodes[0].fleet.in_force().current == 1);
    assert_matches!(lags, Some(_), "it lags until it has the change again");
    let back = net.until(secs(3), |net| net.nodes[0].fleet.in_force().current == 2);
    assert_matches!(back, Some(_));
}

/// A reader finds the change in the table at the moment its writer learns that it took effect, so
/// half of the fleet has it from one who knows no writer. A user would notice an `apply` that
/// takes seconds longer now and then, as all these have to be asked.
#[test]
fn reader_beside_the_writer() {
    let mut net = Net::settled(60, 45, 0.0);
    let second = row(2, "second");
    net.row = Some(second.clone());
    net.hand(7, Event::Table(Ok(Some(second.clone()))));
    net.hand(0, Event::Accepted(second));
    net.run(Micros::from_millis(490));
    let lagging = net.nodes[0].fleet.in_force().lagging.len();
    assert!(lagging < 6, "{lagging} of 60 are left to be asked");
}
