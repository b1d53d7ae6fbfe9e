//! Failure detection: who is taken for dead, who isn't, and how fast.

mod net;

use assert_matches::assert_matches;
use fleet::{Event, HostEntry, MemberState};
use model::Micros;
use net::Net;

const SECOND: Micros = Micros::from_secs(1);

fn secs(n: u64) -> Micros {
    Micros::from_secs(n)
}

/// Times at which live members lost `i` from their view.
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

/// Datagrams are lost now and then, so some pings and the pings through others fail together. A
/// user would notice targets that vanish and come back although nothing is wrong with them.
#[test]
fn loss_kills_nobody() {
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
        assert!(net.is_whole());
    }
}

/// A process hangs for some seconds, long enough to be suspected, and then goes on. A user would
/// notice that a target that works again stays without work.
#[test]
fn suspect_refutes() {
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
    let seen = net.until(secs(10), |net| suspects(net) >= 15);
    assert_matches!(seen, Some(_), "it is suspected");
    net.resume(4);
    let cleared = net.until(secs(5), |net| suspects(net) == 0);
    assert_matches!(cleared, Some(_), "it refutes the suspicion");
    assert!(net.nodes[4].fleet.me().incarnation > before);
    assert_eq!(gone(&net, 4), 0);
    assert_eq!(losses(&net), 0);
}

/// A link between two processes fails while both work. The one can't reach the other and would
/// have it declared dead; a user would notice that a healthy target leaves everyone's view.
#[test]
fn others_reach_it() {
    struct Case {
        relays: usize,
        suspected: bool,
    }
    let cases = [
        Case {
            relays: 3,
            suspected: false,
        },
        Case {
            relays: 0,
            suspected: true,
        },
    ];
    for c in cases {
        let mut net = Net::settled(12, 6, 0.0);
        net.settings.indirect_probes = c.relays;
        net.grow(1);
        net.run(secs(5));
        net.broken = Some((12, 2));
        net.run(secs(60));
        let suspected = net.nodes[12].fleet.counters().suspected > 0;
        assert_eq!(suspected, c.suspected, "{} relays", c.relays);
        assert_eq!(gone(&net, 2), 0, "nobody else believes it dead");
    }
}

/// A process is killed. A user would notice requests that are sent to a target that is no longer
/// there, until it has left every view.
#[test]
fn killed_is_gone() {
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
        let took = net.until(c.within, |net| gone(net, 1) == net.up().count());
        assert_matches!(took, Some(_), "{} members", c.size);
        let wrong = net
            .up()
            .flat_map(|n| &n.gone)
            .filter(|g| g.1 != net.nodes[1].fleet.me().id);
        assert_eq!(wrong.count(), 0, "nobody else is lost");
    }
}

/// A whole failure domain loses power. A user would notice that a third of the requests wait for
/// targets that are gone, and live targets must not be lost along with them.
#[test]
fn dead_domain_is_gone() {
    let mut net = Net::settled(30, 8, 0.01);
    let dead: Vec<usize> = (0..30).filter(|i| i % 3 == 1).collect();
    dead.iter().for_each(|&i| net.kill(i));
    let took = net.until(secs(20), |net| dead.iter().all(|&i| gone(net, i) == 20));
    assert_matches!(took, Some(_));
    assert!(net.is_whole(), "the live ones stay");
    assert_eq!(losses(&net), 20 * 10);
}

/// A process is stopped for a minute and goes on. All its questions look unanswered then; without
/// care it would accuse everyone. A user would notice a wave of targets that vanish.
#[test]
fn paused_accuses_nobody() {
    let mut net = Net::settled(20, 9, 0.0);
    net.pause(3);
    net.run(secs(60));
    assert_eq!(gone(&net, 3), 19, "it is taken for dead meanwhile");
    net.resume(3);
    let before = losses(&net);
    let back = net.until(secs(30), Net::is_whole);
    assert_matches!(back, Some(_), "it comes back");
    net.run(secs(30));
    assert_eq!(losses(&net), before, "it takes nobody with it");
    assert_eq!(net.nodes[3].fleet.counters().paused, 1);
    assert_eq!(net.nodes[3].fleet.counters().declared_dead, 0);
}

/// Two regions lose each other for an hour, each takes the other for dead, then the links come
/// back. A user would notice that targets of the other region stay without work for good.
#[test]
fn split_heals() {
    let mut net = Net::settled(24, 10, 0.01);
    for i in 0..8 {
        net.nodes[i].group = 1;
    }
    net.run(secs(3_600));
    assert_eq!(net.nodes[0].fleet.members().count(), 7);
    assert_eq!(net.nodes[20].fleet.members().count(), 15);
    net.nodes.iter_mut().for_each(|n| n.group = 0);
    let before = losses(&net);
    let healed = net.until(secs(60), Net::is_whole);
    assert_matches!(healed, Some(_), "both sides find each other");
    net.run(secs(60));
    assert_eq!(losses(&net), before, "nobody is lost over it");
    assert!(net.is_whole());
}

/// One process loses its network and gets it back later. It must not end up alone for good,
/// which a user would notice as an entry that refuses everything.
#[test]
fn cut_off_member_returns() {
    let mut net = Net::settled(12, 11, 0.01);
    net.nodes[7].group = 1;
    net.run(secs(300));
    assert_eq!(net.nodes[7].fleet.members().count(), 0);
    net.nodes[7].group = 0;
    let back = net.until(secs(60), Net::is_whole);
    assert_matches!(back, Some(_));
}

/// A process that will stop says so, finishes its work, and says goodbye, while the platform's
/// list of hosts still shows it for a minute. A user would notice new work that goes to it.
#[test]
fn leaves_ahead_of_the_list() {
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
    net.hand(5, Event::Leave);
    let told = net.until(secs(3), |net| state(net, MemberState::Leaving) == 14);
    assert_matches!(told, Some(_), "all know within seconds");
    (0..15).for_each(|i| net.hand(i, stale(false)));
    net.run(secs(10));
    assert_eq!(
        state(&net, MemberState::Leaving),
        14,
        "the list doesn't bring it back"
    );
    net.hand(5, Event::Quit);
    net.kill(5);
    let left = net.until(secs(3), |net| state(net, MemberState::Left) == 14);
    assert_matches!(left, Some(_), "it goes without a suspicion");
    (0..15).for_each(|i| net.hand(i, stale(false)));
    net.run(secs(120));
    assert_eq!(state(&net, MemberState::Left), 14);
    assert!(net.up().all(|n| n.fleet.counters().declared_dead == 0));
}

/// The platform says that a host goes, and the process on it is suddenly gone. The list may make
/// its death known sooner, but a live process stays whatever the list says.
#[test]
fn list_only_hastens() {
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
        (0..2).for_each(|i| net.hand(i, Event::Hosts(hosts.clone())));
        if c.kill {
            net.kill(1);
        }
        net.until(secs(60), |net| gone(net, 1) > 0)
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

/// Someone who recorded datagrams, or a switch that repeats them, sends them again later. Old
/// reports must not bring the dead back or take the living away.
#[test]
fn replay_changes_nothing() {
    let mut net = Net::new(14, 0.0);
    net.row = Some(net::row(1, "first"));
    net.tape = Some(Vec::new());
    net.grow(8);
    net.run(secs(30));
    net.kill(2);
    net.run(secs(40));
    net.accept(0, net::row(2, "second"));
    net.run(secs(5));
    net.restart(3);
    net.run(secs(10));
    let tape = net.tape.take().unwrap_or_default();
    let before = losses(&net);
    for (from, to, bytes) in tape {
        net.hand(net::index(to), Event::Datagram { from, bytes });
    }
    net.run(SECOND);
    assert_eq!(gone(&net, 2), 7, "the dead stay dead");
    assert_eq!(losses(&net), before, "the living stay");
    net.run(secs(60));
    assert!(net.is_whole());
    assert!(net.all_have(&net::row(2, "second")));
    assert!(net
        .up()
        .all(|n| n.adopted.iter().filter(|a| a.1 .0 == 1).count() <= 1));
    assert!(
        net.nodes[0].fleet.counters().stale > 0,
        "old reports are counted"
    );
}

/// A process is restarted at its address, and the wall clock was set back meanwhile. The dead
/// life has the higher incarnation; a user would notice a target that nobody knows.
#[test]
fn new_life_supersedes_the_old() {
    struct Case {
        back: Micros,
    }
    for c in [Case { back: Micros::ZERO }, Case { back: secs(3_600) }] {
        let mut net = Net::settled(10, 15, 0.01);
        let old = net.nodes[6].fleet.me().id;
        net.restart_back(6, c.back);
        let new = net.nodes[6].fleet.me().id;
        let known = |net: &Net| {
            let knows = |n: &net::Node| n.fleet.member(new).is_some_and(|m| m.state.is_live());
            net.up().filter(|n| knows(n)).count() == 9 && net.is_whole()
        };
        assert_matches!(net.until(secs(10), known), Some(_), "back by {:?}", c.back);
        net.run(secs(20));
        assert!(known(&net));
        assert!(net
            .up()
            .all(|n| n.fleet.member(old).is_none_or(|m| !m.state.is_live())));
    }
}

/// A process is stopped just after it began to suspect another one, which meanwhile refutes that.
/// When it goes on, the time for the refutation is over by its clock, but it has read nothing
/// yet. A user would notice a healthy target that leaves one entry's view after each pause.
#[test]
fn suspicion_waits_through_a_pause() {
    let mut net = Net::settled(20, 16, 0.0);
    let id = net.nodes[4].fleet.me().id;
    let suspects = |net: &Net| net.nodes[3].fleet.member(id).map(|m| m.state);
    net.pause(4);
    let seen = net.until(secs(10), |net| suspects(net) == Some(MemberState::Suspect));
    assert_matches!(seen, Some(_), "it is suspected");
    net.pause(3);
    net.nodes[3].group = 1;
    net.resume(4);
    net.run(secs(30));
    net.nodes[3].group = 0;
    net.resume(3);
    net.run(secs(20));
    assert!(net.nodes[3].gone.is_empty(), "nobody was taken for dead");
    assert!(net.is_whole());
}

/// A process is restarted at its address, but its list of seeds is out of date. The others still
/// ping that address for the old life, and so find the new one. A user would notice a target
/// that is up and gets no work.
#[test]
fn found_without_seeds() {
    let mut net = Net::settled(10, 17, 0.01);
    let me = net.member(6, 1);
    net.replace(6, me);
    let found = net.until(secs(20), |net| {
        net.is_whole() && net.all_have(&net::row(1, "first"))
    });
    assert_matches!(found, Some(_));
}

/// Two failure domains lose the link between them while both reach the third. Whoever asks its
/// neighbours to ping across that link learns nothing; a user would notice that half of the
/// targets come and go.
#[test]
fn third_domain_relays() {
    let mut net = Net::settled(12, 18, 0.0);
    net.apart = Some((0, 1));
    net.run(secs(120));
    let suspected: u64 = net.up().map(|n| n.fleet.counters().suspected).sum();
    assert_eq!(suspected, 0);
    assert!(net.is_whole());
}
