//! Which member lists a joining process accepts as complete.

use std::net::SocketAddr;

use bytes::Bytes;
use fleet::{
    Action, Digest, Event, Fleet, Keyring, Member, MemberState, PullScope, Role, Settings, TableRow,
};
use model::{Incarnation, MemberId, Micros, Version};

const ESTABLISHED: u64 = 1;
const JUST_STARTED: u64 = 2;
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

/// Exchanges datagrams between three members until `puller` pulls; returns the member it asks.
fn until_pull(all: &mut [Fleet; 3], puller: u64, now: &mut Micros) -> MemberId {
    let mut in_transit: Vec<(SocketAddr, SocketAddr, Bytes)> = Vec::new();
    for _ in 0..10_000 {
        *now = *now + Micros::from_millis(1);
        let mut pulls = None;
        let batch = std::mem::take(&mut in_transit);
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
                    Action::Send { to, bytes } => in_transit.push((own, to, bytes)),
                    Action::Pull { from, .. } if id.0 == puller => pulls = Some(from),
                    _ => {}
                }
            }
        }
        if let Some(from) = pulls {
            return from;
        }
    }
    panic!("no pull was started");
}

/// Guards against accepting the list of a member that has itself just started: it has no
/// configuration, and callers would be refused for seconds.
#[test]
fn list_of_a_joining_member_is_not_complete() {
    let mut asked_just_started = 0;
    for seed in 0..40 {
        let mut all = [
            member(ESTABLISHED, 1),
            member(JUST_STARTED, 2),
            member(ME, seed),
        ];
        let text = Bytes::from_static(b"text");
        let row = TableRow {
            version: Version(3),
            digest: Digest::of(&text),
            text,
        };
        let mut now = Micros(1);
        all[0].step(now, Event::Accepted(row), &mut Vec::new());
        for joining in &mut all[1..] {
            joining.step(now, Event::Seeds(vec![at(ESTABLISHED)]), &mut Vec::new());
        }
        let first = until_pull(&mut all, ME, &mut now);
        let empty = member(JUST_STARTED, 2).answer(PullScope::All);
        if first == MemberId(JUST_STARTED) {
            asked_just_started += 1;
            let event = Event::Pulled {
                from: first,
                answer: empty,
            };
            all[2].step(now, event, &mut Vec::new());
            assert!(!all[2].has_joined(), "seed {seed}");
            let second = until_pull(&mut all, ME, &mut now);
            assert_eq!(second, MemberId(ESTABLISHED), "seed {seed}");
        }
        let answer = all[0].answer(PullScope::All);
        let from = MemberId(ESTABLISHED);
        all[2].step(now, Event::Pulled { from, answer }, &mut Vec::new());
        assert!(all[2].has_joined(), "seed {seed}");
        assert_eq!(all[2].version(), Version(3), "seed {seed}");
    }
    assert!(
        asked_just_started > 0,
        "no seed asked the just started member first"
    );
}
