//! Dissemination of the configuration: in force everywhere within seconds, never reverted.

mod net;

use assert_matches::assert_matches;
use fleet::{Conviction, Event, Keyring, PullScope, TableRow};
use model::{MemberId, Micros, Version};
use net::{row, Net};

fn secs(n: u64) -> Micros {
    Micros::from_secs(n)
}

/// Asserts that versions never decrease; a second text of the same version is allowed.
fn assert_versions_rise(net: &Net) {
    for n in net.up() {
        let versions: Vec<_> = n.adopted.iter().map(|a| a.1).collect();
        let forward = versions.windows(2).all(|w| w[0] <= w[1]);
        assert!(forward, "{versions:?}");
    }
}

/// Guards against members that keep old rules because datagrams and pulls are lost.
#[test]
fn change_reaches_all_members_despite_loss() {
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
            let took = net.run_until(c.within, |net| net.all_have(&r));
            assert_matches!(took, Some(_), "{} members, version {v}", c.size);
        }
        assert_versions_rise(&net);
    }
}

/// Guards against an `apply` that reports a change in force on a member that hangs.
#[test]
fn writer_names_lagging_members() {
    let mut net = Net::settled(20, 22, 0.01);
    net.pause(9);
    net.accept(0, row(2, "second"));
    let reported = net.run_until(secs(3), |net| net.nodes[0].fleet.in_force().current == 19);
    assert_matches!(reported, Some(_));
    let f = net.nodes[0].fleet.in_force();
    let names: Vec<_> = f.lagging.iter().map(|l| l.host.as_str()).collect();
    assert_eq!(names, ["host-0009.example"]);
    net.resume(9);
    let all = net.run_until(secs(3), |net| {
        net.nodes[0].fleet.in_force().lagging.is_empty()
    });
    assert_matches!(all, Some(_), "reports as soon as it resumes");
}

/// Guards against only the writer of a change being able to find out where it is in force.
#[test]
fn other_members_can_poll_versions() {
    let mut net = Net::settled(30, 23, 0.01);
    net.accept(0, row(2, "second"));
    net.run(secs(2));
    net.deliver(4, Event::PollVersions);
    let known = net.run_until(secs(3), |net| {
        net.nodes[4].fleet.in_force().lagging.is_empty()
    });
    assert_matches!(known, Some(_));
}

/// Guards against a process falling back to replaced rules: it is paused during three changes
/// while its inbox holds datagrams about the first.
#[test]
fn paused_member_does_not_fall_back_to_old_versions() {
    let mut net = Net::settled(12, 24, 0.0);
    net.pause(5);
    for v in 2..5 {
        net.accept(v as usize, row(v, format!("text {v}")));
        net.run(secs(20));
    }
    net.resume(5);
    let last = row(4, "text 4");
    let took = net.run_until(secs(3), |net| net.all_have(&last));
    assert_matches!(took, Some(_));
    net.run(secs(30));
    assert!(net.all_have(&last));
    assert_versions_rise(&net);
}

/// Guards against a change staying in the table alone: its writer died before announcing it, or
/// never got the answer to its write.
#[test]
fn change_known_only_to_the_table_spreads() {
    let mut net = Net::settled(12, 25, 0.01);
    let second = row(2, "second");
    net.row = Some(second.clone());
    let took = net.run_until(secs(4), |net| net.all_have(&second));
    assert_matches!(took, Some(_), "the readers find the change");
}

/// Guards against rules that flip with every message while two texts of one version circulate.
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
        net.table_up = false;
        net.run(secs(5));
        for i in 0..12 {
            let r = if i < c.first { &wrong } else { &right };
            net.deliver_unproven(i, r.clone());
        }
        net.row = Some(right.clone());
        net.table_up = c.table;
        net.run(secs(60));
        assert_eq!(
            net.all_have(&right),
            c.table,
            "{} members with the wrong text",
            c.first
        );
        let most = net
            .up()
            .map(|n| n.adopted.iter().filter(|a| a.1 == Version(2)).count());
        assert!(most.max() <= Some(2), "no member flips back");
        net.table_up = true;
        net.run(secs(60));
        assert!(net.all_have(&right), "resolved once the table is available");
    }
}

/// Guards against a table restored from an old backup reverting the configuration.
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
    assert!(behind > 0, "older rows are counted");
}

/// Guards against a process missing changes when it reaches only the table, or only the other
/// members.
#[test]
fn member_without_table_or_peers_gets_changes() {
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
        net.nodes[3].table_reachable = c.table;
        net.run(secs(60));
        let second = row(2, "second");
        net.accept(0, second.clone());
        let took = net.run_until(secs(10), |net| net.all_have(&second));
        assert_matches!(took, Some(_), "group {}", c.group);
    }
}

/// Guards against restarted processes waiting for the platform during its outage, although one
/// member still has the configuration.
#[test]
fn mass_restart_works_while_the_platform_is_down() {
    let mut net = Net::settled(40, 29, 0.01);
    let second = row(2, "second");
    net.accept(0, second.clone());
    net.run(secs(5));
    net.table_up = false;
    (1..40).for_each(|i| net.restart(i));
    let served = net.run_until(secs(10), |net| net.all_have(&second));
    assert_matches!(
        served,
        Some(_),
        "all get the configuration from the member that kept running"
    );
    let complete = net.run_until(secs(30), Net::is_complete);
    assert_matches!(complete, Some(_));
    net.run(secs(60));
    let reads: u64 = net.up().map(|n| n.reads).sum();
    assert!(reads < 100, "too many reads during the outage: {reads}");
}

/// Guards against overloading the table when all processes start together without a configuration.
#[test]
fn cold_start_does_not_overload_the_table() {
    let mut net = Net::new(30, 0.01);
    net.row = Some(row(7, "seventh"));
    net.add_nodes(40);
    let r = row(7, "seventh");
    let took = net.run_until(secs(10), |net| net.all_have(&r));
    assert_matches!(took, Some(_));
    let reads: u64 = net.up().map(|n| n.reads).sum();
    assert!(reads < 40, "{reads} reads");
}

/// Guards against overloading the table, which handles two thousand reads a second for all
/// clients: only the few readers read it.
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

/// Guards against a restarted process adopting an old version because the first member it contacts
/// is itself behind.
#[test]
fn restarts_do_not_revert_the_configuration() {
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
    assert_versions_rise(&net);
}

/// Guards against adopting a text that was truncated or altered on its way.
#[test]
fn text_that_mismatches_its_digest_is_rejected() {
    let mut net = Net::settled(3, 33, 0.0);
    let mut answer = net.nodes[1].fleet.answer(PullScope::Config);
    answer.version = Version(9);
    answer.text = "something else".into();
    let from = net.nodes[1].fleet.me().id;
    net.deliver(0, Event::Pulled { from, answer });
    let bad = TableRow {
        digest: row(1, "x").digest,
        ..row(8, "y")
    };
    net.deliver(0, Event::Table(Ok(Some(bad))));
    assert_eq!(net.nodes[0].fleet.version(), Version(1));
    net.deliver_unproven(0, row(1, "another"));
    assert_eq!(net.nodes[0].fleet.digest(), row(1, "first").digest);
}

/// Guards against entries that miss a conviction, so that a request crashes one target after
/// another, and against replayed datagrams extending it.
#[test]
fn convictions_spread_and_expire() {
    let mut net = Net::settled(20, 34, 0.01);
    net.recorded = Some(Vec::new());
    let until = net.now + secs(60);
    let c = Conviction {
        fingerprint: 77 << 70,
        until,
    };
    net.deliver(3, Event::Convicted(c));
    let has_conviction = |n: &net::Node| {
        n.fleet
            .convictions()
            .any(|k| k.fingerprint == c.fingerprint)
    };
    let spread = net.run_until(secs(3), |net| net.up().all(has_conviction));
    assert_matches!(spread, Some(_));
    net.restart(8);
    net.run(secs(5));
    assert!(
        has_conviction(&net.nodes[8]),
        "a restarted member gets the conviction"
    );
    let recorded = net.recorded.take().unwrap_or_default();
    net.run(secs(70));
    for (from, to, bytes) in recorded {
        net.deliver(net::index(to), Event::Datagram { from, bytes });
    }
    net.run(secs(1));
    assert!(!net.up().any(has_conviction));
    assert!(
        net.up().all(|n| n.convicted.len() <= 1),
        "each driver is notified once"
    );
}

/// Guards against unbounded memory when more and more requests are convicted.
#[test]
fn convictions_are_bounded() {
    let mut net = Net::settled(2, 35, 0.0);
    let until = net.now + secs(3_000);
    for fingerprint in 0..2_000 {
        net.deliver(0, Event::Convicted(Conviction { fingerprint, until }));
    }
    net.run(secs(60));
    assert!(net.up().all(|n| n.fleet.convictions().count() <= 256));
}

/// Guards against losing members while keys are rotated one by one: first all accept the new key,
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
    assert!(!net.up().any(live), "a member with a wrong key is excluded");
}

/// Guards against changed tags of a known member not spreading.
#[test]
fn tags_spread() {
    let mut net = Net::settled(10, 37, 0.01);
    let id: MemberId = net.nodes[6].fleet.me().id;
    net.nodes[6].fleet.set_tags("weights-8");
    let has = |n: &net::Node| n.fleet.member(id).is_some_and(|m| m.tags == "weights-8");
    let spread = net.run_until(secs(3), |net| net.up().filter(|n| has(n)).count() == 9);
    assert_matches!(spread, Some(_));
}

/// Guards against two texts in force for good after a restore reuses a version: all members hold
/// their own text proven, so each must read the table.
#[test]
fn reused_version_is_resolved_by_the_table() {
    let mut net = Net::settled(20, 38, 0.01);
    net.accept(0, row(2, "before the restore"));
    net.run(secs(10));
    net.row = Some(row(1, "first"));
    net.run(secs(10));
    let after = row(2, "after the restore");
    net.accept(5, after.clone());
    let took = net.run_until(secs(60), |net| net.all_have(&after));
    assert_matches!(took, Some(_));
    let flips = net
        .up()
        .map(|n| n.adopted.iter().filter(|a| a.1 == Version(2)).count());
    assert!(flips.max() <= Some(2), "no member flips back");
}

/// Guards against taking the empty list of a just restarted process, pulled under the id of its
/// predecessor, for a fleet without members or rules.
#[test]
fn list_of_a_restarted_member_is_rejected() {
    let mut net = Net::settled(6, 39, 0.0);
    let old = net.nodes[5].fleet.me().id;
    net.restart(4);
    net.restart(5);
    let answer = net.nodes[5].fleet.answer(PullScope::All);
    assert_eq!(answer.version, Version(0));
    net.deliver(4, Event::Pulled { from: old, answer });
    assert_eq!(net.nodes[4].fleet.counters().pull_failures, 1);
    let first = row(1, "first");
    let took = net.run_until(secs(2), |net| net.all_have(&first) && net.is_complete());
    assert_matches!(took, Some(_), "pulls from another member");
}

/// Guards against an `apply` that counts a version reported before a restart: the process is back
/// under its old id, without that configuration.
#[test]
fn reported_version_is_dropped_on_restart() {
    let mut net = Net::settled(2, 40, 0.0);
    net.accept(0, row(2, "second"));
    net.run(secs(3));
    assert_eq!(net.nodes[0].fleet.in_force().current, 2);
    let me = net.member(1, 0);
    net.replace(1, me);
    net.nodes[1].table_reachable = false;
    net.deliver(1, Event::Seeds(vec![net::udp(0)]));
    let lags = net.run_until(secs(1), |net| net.nodes[0].fleet.in_force().current == 1);
    assert_matches!(lags, Some(_), "lags until it has the change again");
    let back = net.run_until(secs(3), |net| net.nodes[0].fleet.in_force().current == 2);
    assert_matches!(back, Some(_));
}

/// Guards against a slow `apply`: a reader finds the change when its writer does, and members that
/// got it from the reader know no writer to report to.
#[test]
fn members_report_once_they_learn_the_writer() {
    let mut net = Net::settled(60, 45, 0.0);
    let second = row(2, "second");
    net.row = Some(second.clone());
    net.deliver(7, Event::Table(Ok(Some(second.clone()))));
    net.deliver(0, Event::Accepted(second));
    net.run(Micros::from_millis(490));
    let lagging = net.nodes[0].fleet.in_force().lagging.len();
    assert!(lagging < 6, "{lagging} of 60 members have not reported");
}
