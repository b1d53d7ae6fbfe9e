//! Whose list of members a process takes for whole when it joins.

use std::net::SocketAddr;

use bytes::Bytes;
use fleet::{
    Action, Digest, Event, Fleet, Keyring, Member, MemberState, PullScope, Role, Settings, TableRow,
};
use model::{Incarnation, MemberId, Micros, Version};

const OLD: u64 = 1;
const FRESH: u64 = 2;
const ME: u64 = 3;

fn at(id: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + id as u16))
}

fn member(id: u64, seed: u64) -> Fleet {
    let me = Member {
        id: MemberId(id),
        role: Role::Entry,
        host: "h".to_owned(),
        domain: "d".to_owned(),
        region: "r".to_owned(),
        udp: at(id),
        tcp: at(id),
        http: None,
        pool: None,
        tags: String::new(),
        incarnation: Incarnation(1),
        state: MemberState::Alive,
    };
    Fleet::new(Settings::new(Keyring::new([1; 32])), me, seed)
}

/// Hands over datagrams between three members until one of them pulls; gives whom it asks.
fn until_pull(all: &mut [Fleet; 3], who: u64, now: &mut Micros) -> MemberId {
    let mut mail: Vec<(SocketAddr, SocketAddr, Bytes)> = Vec::new();
    for _ in 0..10_000 {
        *now = *now + Micros::from_millis(1);
        let mut pulls = None;
        let batch = std::mem::take(&mut mail);
        for f in all.iter_mut() {
            let mut out = Vec::new();
            let (own, id) = (f.me().udp, f.me().id);
            for (from, _, bytes) in batch.iter().filter(|(_, to, _)| *to == own) {
                let (from, bytes) = (*from, bytes.clone());
                f.step(*now, Event::Datagram { from, bytes }, &mut out);
            }
            f.step(*now, Event::Tick, &mut out);
            for action in out {
                match action {
                    Action::Send { to, bytes } => mail.push((own, to, bytes)),
                    Action::Pull { from, .. } if id.0 == who => pulls = Some(from),
                    _ => {}
                }
            }
        }
        if let Some(from) = pulls {
            return from;
        }
    }
    panic!("no pull");
}

/// All entries restart together. One asks another that has just started as well, and gets a list
/// of two and no configuration. Taken for whole, it leaves the process without configuration
/// until a later round; its callers are refused for seconds.
#[test]
fn list_of_one_that_joins_itself_is_not_whole() {
    let mut met = 0;
    for seed in 0..40 {
        let mut all = [member(OLD, 1), member(FRESH, 2), member(ME, seed)];
        let text = Bytes::from_static(b"text");
        let row = TableRow {
            version: Version(3),
            digest: Digest::of(&text),
            text,
        };
        let mut now = Micros(1);
        all[0].step(now, Event::Accepted(row), &mut Vec::new());
        for joins in &mut all[1..] {
            joins.step(now, Event::Seeds(vec![at(OLD)]), &mut Vec::new());
        }
        let first = until_pull(&mut all, ME, &mut now);
        let empty = member(FRESH, 2).answer(PullScope::All);
        if first == MemberId(FRESH) {
            met += 1;
            let event = Event::Pulled {
                from: first,
                answer: empty,
            };
            all[2].step(now, event, &mut Vec::new());
            assert!(!all[2].has_joined(), "seed {seed}");
            let second = until_pull(&mut all, ME, &mut now);
            assert_eq!(second, MemberId(OLD), "seed {seed}");
        }
        let answer = all[0].answer(PullScope::All);
        let from = MemberId(OLD);
        all[2].step(now, Event::Pulled { from, answer }, &mut Vec::new());
        assert!(all[2].has_joined(), "seed {seed}");
        assert_eq!(all[2].version(), Version(3), "seed {seed}");
    }
    assert!(met > 0, "none asked the fresh one first");
}
