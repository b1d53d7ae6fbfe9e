//! Effect of the platform's host list on members.

use std::net::SocketAddr;

use fleet::{Action, Event, Fleet, HostEntry, Keyring, Member, MemberState, Role, Settings};
use model::{Incarnation, MemberId, Micros};

fn at(id: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + id as u16))
}

fn member(id: u64, host: &str) -> Fleet {
    let me = Member {
        id: MemberId(id),
        role: Role::Sidecar,
        host: host.to_owned(),
        domain: "d".to_owned(),
        region: "r".to_owned(),
        udp: at(id),
        tcp: at(id),
        http: None,
        pool: Some("p".to_owned()),
        tags: String::new(),
        incarnation: Incarnation(1),
        state: MemberState::Alive,
    };
    Fleet::new(Settings::new(Keyring::new([1; 32])), me, id)
}

fn list(leaving: &[&str]) -> Event {
    let entry = |name: &&str| HostEntry {
        name: (*name).to_owned(),
        leaving: leaving.contains(name),
    };
    Event::Hosts(["one", "two"].iter().map(entry).collect())
}

/// Makes a member known to another by its first datagram.
fn introduce(known: &mut Fleet, fresh: &mut Fleet) {
    let mut out = Vec::new();
    fresh.step(Micros(1), Event::Seeds(vec![known.me().udp]), &mut out);
    fresh.step(Micros(2), Event::Tick, &mut out);
    for action in out {
        if let Action::Send { bytes, .. } = action {
            let from = fresh.me().udp;
            known.step(Micros(3), Event::Datagram { from, bytes }, &mut Vec::new());
        }
    }
    assert!(known.member(fresh.me().id).is_some(), "the member is known");
}

/// Guards against giving work to a member that joined on a leaving host after the last host list:
/// it would get work until the next one, ten seconds later.
#[test]
fn members_on_a_leaving_host_are_marked_whenever_they_join() {
    struct Case {
        what: &'static str,
        before: &'static [&'static str],
        after: &'static [&'static str],
        marked: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { what: "host stays", before: &[], after: &[], marked: false },
        Case { what: "another host is leaving", before: &["two"], after: &["two"], marked: false },
        Case { what: "host is leaving later", before: &[], after: &["one"], marked: true },
        Case { what: "host was leaving, but stays", before: &["one"], after: &[], marked: false },
    ];
    for c in cases {
        let (mut me, mut other) = (member(1, "two"), member(2, "one"));
        me.step(Micros(1), list(c.before), &mut Vec::new());
        introduce(&mut me, &mut other);
        let early = c.before.contains(&"one");
        assert_eq!(
            me.is_host_leaving(MemberId(2)),
            early,
            "{}, at first",
            c.what
        );
        let mut out = Vec::new();
        me.step(Micros(4), list(c.after), &mut out);
        assert_eq!(me.is_host_leaving(MemberId(2)), c.marked, "{}", c.what);
    }
}
