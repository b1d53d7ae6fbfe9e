//! Failure detection: which members are declared dead, which are not, and how fast.

mod net;

use assert_matches::assert_matches;
use fleet::{Event, HostEntry, MemberState};
use model::Micros;
use net::Net;

const SECOND: Micros = Micros::from_secs(1);

fn secs(n: u64) -> Micros {
    Micros::from_secs(n)
}

/// Number of live processes that do not have node `i` as a live member.
fn gone(net: &Net, i: usize) -> usize {
    let id = net.nodes[i].fleet.me().id;
    net.up()
        .filter(|n| n.fleet.me().id != id)
        .filter(|n| n.fleet.member(id).is_none_or(|m| !m.state.is_live()))
        .count()
}

fn losses(net: &Net) -> usize {
    net.up().map(|n| n.gone.len()).sum()
}

/// Guards against lost probes, direct and indirect, adding up to the death of a live member. Its
/// targets would disappear and come back.
#[test]
fn packet_loss_causes_no_deaths() {
    struct Case {
        size: usize,
        loss: f64,
        span: Micros,
    }
    let cases = [
        Case {
            size: 10,
            loss: 0.01,
            span: secs(3_600),
        },
        Case {
            size: 40,
            loss: 0.01,
            span: secs(600),
        },
        Case {
            size: 20,
            loss: 0.10,
            span: secs(300),
        },
    ];
    for c in cases {
        let mut net = Net::settled(c.size, 3, c.loss);
        let before = losses(&net);
        net.run(c.span);
        assert_eq!(losses(&net), before, "{} members", c.size);
        assert!(net.is_complete());
    }
}

/// Guards against losing a member that hung long enough to be suspected and then resumed.
#[test]
fn suspected_member_refutes_after_a_hang() {
    let mut net = Net::settled(20, 5, 0.0);
    let id = net.nodes[4].fleet.me().id;
    let before = net.nodes[4].fleet.me().incarnation;
    let suspects = |net: &Net| {
        let state = |n: &net::Node| n.fleet.member(id).map(|m| m.state);
        net.up()
            .filter(|n| state(n) == Some(MemberState::Suspect))
            .count()
    };
    net.pause(4);
    let seen = net.run_until(secs(10), |net| suspects(net) >= 15);
    assert_matches!(seen, Some(_), "member is suspected");
    net.resume(4);
    let cleared = net.run_until(secs(5), |net| suspects(net) == 0);
    assert_matches!(cleared, Some(_), "member refutes the suspicion");
    assert!(net.nodes[4].fleet.me().incarnation > before);
    assert_eq!(gone(&net, 4), 0);
    assert_eq!(losses(&net), 0);
}

/// Guards against declaring a healthy member dead because one link to it is broken.
#[test]
fn indirect_probes_prevent_suspicion_over_a_broken_link() {
    struct Case {
        indirect_probes: usize,
        suspected: bool,
    }
    let cases = [
        Case {
            indirect_probes: 3,
            suspected: false,
        },
        Case {
            indirect_probes: 0,
            suspected: true,
        },
    ];
    for c in cases {
        let mut net = Net::settled(12, 6, 0.0);
        net.settings.indirect_probes = c.indirect_probes;
        net.add_nodes(1);
        net.run(secs(5));
        net.unlinked_nodes = Some((12, 2));
        net.run(secs(60));
        let suspected = net.nodes[12].fleet.counters().suspected > 0;
        assert_eq!(
            suspected, c.suspected,
            "{} indirect probes",
            c.indirect_probes
        );
        assert_eq!(gone(&net, 2), 0, "no other member declares it dead");
    }
}

/// Guards against a dead member staying in views, where its target would still get requests.
#[test]
fn killed_member_leaves_every_view() {
    struct Case {
        size: usize,
        within: Micros,
    }
    let cases = [
        Case {
            size: 3,
            within: secs(16),
        },
        Case {
            size: 12,
            within: secs(12),
        },
        Case {
            size: 40,
            within: secs(12),
        },
    ];
    for c in cases {
        let mut net = Net::settled(c.size, 7, 0.01);
        net.kill(1);
        let took = net.run_until(c.within, |net| gone(net, 1) == net.up().count());
        assert_matches!(took, Some(_), "{} members", c.size);
        let wrong = net
            .up()
            .flat_map(|n| &n.gone)
            .filter(|g| g.1 != net.nodes[1].fleet.me().id);
        assert_eq!(wrong.count(), 0, "no live member is lost");
    }
}

/// Guards against slow detection when a whole failure domain loses power, and against losing live
/// members along with it.
#[test]
fn dead_failure_domain_leaves_every_view() {
    let mut net = Net::settled(30, 8, 0.01);
    let dead: Vec<usize> = (0..30).filter(|i| i % 3 == 1).collect();
    dead.iter().for_each(|&i| net.kill(i));
    let took = net.run_until(secs(20), |net| dead.iter().all(|&i| gone(net, i) == 20));
    assert_matches!(took, Some(_));
    assert!(net.is_complete(), "live members stay");
    assert_eq!(losses(&net), 20 * 10);
}

/// Guards against a resumed process taking all its unanswered probes for dead members.
#[test]
fn paused_member_declares_no_deaths_on_resume() {
    let mut net = Net::settled(20, 9, 0.0);
    net.pause(3);
    net.run(secs(60));
    assert_eq!(gone(&net, 3), 19, "declared dead during the pause");
    net.resume(3);
    let before = losses(&net);
    let back = net.run_until(secs(30), Net::is_complete);
    assert_matches!(back, Some(_), "the paused member returns");
    net.run(secs(30));
    assert_eq!(losses(&net), before, "no other member is lost");
    assert_eq!(net.nodes[3].fleet.counters().paused, 1);
    assert_eq!(net.nodes[3].fleet.counters().declared_dead, 0);
}

/// Guards against two regions staying apart after an hour in which each declared the other dead.
#[test]
fn split_regions_reconnect() {
    let mut net = Net::settled(24, 10, 0.01);
    for i in 0..8 {
        net.nodes[i].group = 1;
    }
    net.run(secs(3_600));
    assert_eq!(net.nodes[0].fleet.members().count(), 7);
    assert_eq!(net.nodes[20].fleet.members().count(), 15);
    net.nodes.iter_mut().for_each(|n| n.group = 0);
    let before = losses(&net);
    let healed = net.run_until(secs(60), Net::is_complete);
    assert_matches!(healed, Some(_), "both sides reconnect");
    net.run(secs(60));
    assert_eq!(losses(&net), before, "no member is lost");
    assert!(net.is_complete());
}

/// Guards against a process staying isolated after its network is back.
#[test]
fn isolated_member_returns() {
    let mut net = Net::settled(12, 11, 0.01);
    net.nodes[7].group = 1;
    net.run(secs(300));
    assert_eq!(net.nodes[7].fleet.members().count(), 0);
    net.nodes[7].group = 0;
    let back = net.run_until(secs(60), Net::is_complete);
    assert_matches!(back, Some(_));
}

/// Guards against a host list that lags a minute behind overriding what a leaving member announced
/// itself.
#[test]
fn leaving_member_is_not_restored_by_the_host_list() {
    let mut net = Net::settled(15, 12, 0.01);
    let id = net.nodes[5].fleet.me().id;
    let stale = |leaving| {
        let name = "host-0005.example".to_owned();
        Event::Hosts(vec![HostEntry { name, leaving }])
    };
    let state = |net: &Net, s: MemberState| {
        let of = |n: &net::Node| n.fleet.member(id).map(|m| m.state);
        net.up().filter(|n| of(n) == Some(s)).count()
    };
    net.deliver(5, Event::Leave);
    let leaving = net.run_until(secs(3), |net| state(net, MemberState::Leaving) == 14);
    assert_matches!(leaving, Some(_), "all mark it as leaving within seconds");
    (0..15).for_each(|i| net.deliver(i, stale(false)));
    net.run(secs(10));
    assert_eq!(
        state(&net, MemberState::Leaving),
        14,
        "the host list does not restore it"
    );
    net.deliver(5, Event::Quit);
    net.kill(5);
    let left = net.run_until(secs(3), |net| state(net, MemberState::Left) == 14);
    assert_matches!(left, Some(_), "leaves without a suspicion");
    (0..15).for_each(|i| net.deliver(i, stale(false)));
    net.run(secs(120));
    assert_eq!(state(&net, MemberState::Left), 14);
    assert!(net.up().all(|n| n.fleet.counters().declared_dead == 0));
}

/// Guards against the host list declaring a live process dead; it may only shorten the suspicion
/// timeout.
#[test]
fn host_list_shortens_suspicion_but_causes_no_death() {
    struct Case {
        listed: bool,
        kill: bool,
    }
    let run = |c: &Case| {
        let mut net = Net::settled(2, 13, 0.0);
        let name = "host-0001.example".to_owned();
        let hosts = vec![HostEntry {
            name,
            leaving: c.listed,
        }];
        (0..2).for_each(|i| net.deliver(i, Event::Hosts(hosts.clone())));
        if c.kill {
            net.kill(1);
        }
        net.run_until(secs(60), |net| gone(net, 1) > 0)
    };
    let fast = run(&Case {
        listed: true,
        kill: true,
    });
    let slow = run(&Case {
        listed: false,
        kill: true,
    });
    assert_matches!((fast, slow), (Some(f), Some(s)) if f + SECOND < s);
    assert_eq!(
        run(&Case {
            listed: true,
            kill: false
        }),
        None
    );
}

/// Guards against replayed datagrams reviving dead members or removing live ones.
#[test]
fn replayed_datagrams_change_nothing() {
    let mut net = Net::new(14, 0.0);
    net.row = Some(net::row(1, "first"));
    net.recorded = Some(Vec::new());
    net.add_nodes(8);
    net.run(secs(30));
    net.kill(2);
    net.run(secs(40));
    net.accept(0, net::row(2, "second"));
    net.run(secs(5));
    net.restart(3);
    net.run(secs(10));
    let recorded = net.recorded.take().unwrap_or_default();
    let before = losses(&net);
    for (from, to, bytes) in recorded {
        net.deliver(net::index(to), Event::Datagram { from, bytes });
    }
    net.run(SECOND);
    assert_eq!(gone(&net, 2), 7, "dead members stay dead");
    assert_eq!(losses(&net), before, "live members stay");
    net.run(secs(60));
    assert!(net.is_complete());
    assert!(net.all_have(&net::row(2, "second")));
    assert!(net
        .up()
        .all(|n| n.adopted.iter().filter(|a| a.1 .0 == 1).count() <= 1));
    assert!(
        net.nodes[0].fleet.counters().stale > 0,
        "stale claims are counted"
    );
}

/// Guards against the former process at an address hiding the restarted one. After a clock set
/// back, the former has the higher incarnation.
#[test]
fn restarted_member_supersedes_its_predecessor() {
    struct Case {
        back: Micros,
    }
    for c in [Case { back: Micros::ZERO }, Case { back: secs(3_600) }] {
        let mut net = Net::settled(10, 15, 0.01);
        let old = net.nodes[6].fleet.me().id;
        net.restart_with_clock_back(6, c.back);
        let new = net.nodes[6].fleet.me().id;
        let known = |net: &Net| {
            let is_live = |n: &net::Node| n.fleet.member(new).is_some_and(|m| m.state.is_live());
            net.up().filter(|n| is_live(n)).count() == 9 && net.is_complete()
        };
        assert_matches!(
            net.run_until(secs(10), known),
            Some(_),
            "clock set back by {:?}",
            c.back
        );
        net.run(secs(20));
        assert!(known(&net));
        assert!(net
            .up()
            .all(|n| n.fleet.member(old).is_none_or(|m| !m.state.is_live())));
    }
}

/// Guards against a resumed process declaring a suspected member dead before it reads the
/// refutation that arrived during its pause.
#[test]
fn suspicion_timeout_restarts_after_a_pause() {
    let mut net = Net::settled(20, 16, 0.0);
    let id = net.nodes[4].fleet.me().id;
    let suspects = |net: &Net| net.nodes[3].fleet.member(id).map(|m| m.state);
    net.pause(4);
    let seen = net.run_until(secs(10), |net| suspects(net) == Some(MemberState::Suspect));
    assert_matches!(seen, Some(_), "member is suspected");
    net.pause(3);
    net.nodes[3].group = 1;
    net.resume(4);
    net.run(secs(30));
    net.nodes[3].group = 0;
    net.resume(3);
    net.run(secs(20));
    assert!(net.nodes[3].gone.is_empty(), "no member was declared dead");
    assert!(net.is_complete());
}

/// Guards against a restarted process with outdated seeds staying unknown, although others still
/// probe its address.
#[test]
fn restarted_member_without_seeds_is_found() {
    let mut net = Net::settled(10, 17, 0.01);
    let me = net.member(6, 1);
    net.replace(6, me);
    let found = net.run_until(secs(20), |net| {
        net.is_complete() && net.all_have(&net::row(1, "first"))
    });
    assert_matches!(found, Some(_));
}

/// Guards against false suspicions when two failure domains lose the link between them: helpers in
/// the third domain still reach both.
#[test]
fn indirect_probes_go_through_a_third_domain() {
    let mut net = Net::settled(12, 18, 0.0);
    net.unlinked_domains = Some((0, 1));
    net.run(secs(120));
    let suspected: u64 = net.up().map(|n| n.fleet.counters().suspected).sum();
    assert_eq!(suspected, 0);
    assert!(net.is_complete());
}
