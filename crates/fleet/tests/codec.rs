//! Encoding of datagrams and answers: valid ones round-trip, invalid ones give errors.

mod net;

use assert_matches::assert_matches;
use bytes::Bytes;
use fleet::{
    Action, Answer, Conviction, Event, Fleet, Key, Keyring, Kind, Packet, PacketError, SealError,
    DATAGRAM_MAX,
};
use model::{Micros, Version};
use net::{row, settings, udp, Net};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 500;

/// A runner that generates the same cases each time.
fn runner() -> TestRunner {
    let config = ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

fn pair() -> (Fleet, Fleet) {
    let mut net = Net::settled(2, 41, 0.0);
    let b = net.nodes.remove(1).fleet;
    let a = net.nodes.remove(0).fleet;
    (a, b)
}

/// The next datagram that the fleet sends.
fn datagram(f: &mut Fleet) -> Bytes {
    let mut out = Vec::new();
    f.step(Micros::from_secs(1_000), Event::Tick, &mut out);
    let sent = out.into_iter().find_map(|a| match a {
        Action::Send { bytes, .. } => Some(bytes),
        _ => None,
    });
    sent.expect("a ping is due")
}

#[test]
fn seal_opens_with_either_key() {
    struct Case {
        seal: Keyring,
        open: Keyring,
        good: bool,
    }
    let cases = [
        Case {
            seal: Keyring::new("a"),
            open: Keyring::new("a"),
            good: true,
        },
        Case {
            seal: Keyring::new("a"),
            open: Keyring::new("b"),
            good: false,
        },
        Case {
            seal: Keyring::new("a"),
            open: Keyring::new("b").accept("a"),
            good: true,
        },
        Case {
            seal: Keyring::new("a").accept("b"),
            open: Keyring::new("b"),
            good: false,
        },
        Case {
            seal: Keyring::new("a").accept("b"),
            open: Keyring::new("a"),
            good: true,
        },
    ];
    for c in cases {
        let opened = c.open.open(c.seal.seal(b"body"));
        match c.good {
            true => assert_eq!(opened, Ok(Bytes::from_static(b"body"))),
            false => assert_eq!(opened, Err(SealError::Key)),
        }
    }
    assert_eq!(
        format!("{:?}", Key::new("a")),
        "Key(..)",
        "keys are not logged"
    );
}

/// Guards against damaged or forged datagrams crashing a process or being accepted.
#[test]
fn invalid_datagrams_give_specific_errors() {
    let keys = Keyring::new("a secret");
    let (mut a, _) = pair();
    let good = datagram(&mut a);
    struct Case {
        bytes: Bytes,
        error: PacketError,
    }
    let flip = |i: usize| {
        let mut b = good.to_vec();
        b[i] ^= 1;
        Bytes::from(b)
    };
    let cases = [
        Case {
            bytes: Bytes::new(),
            error: SealError::Short.into(),
        },
        Case {
            bytes: good.slice(..10),
            error: SealError::Short.into(),
        },
        Case {
            bytes: good.slice(..good.len() - 1),
            error: SealError::Key.into(),
        },
        Case {
            bytes: flip(0),
            error: SealError::Format(0).into(),
        },
        Case {
            bytes: flip(5),
            error: SealError::Key.into(),
        },
        Case {
            bytes: flip(30),
            error: SealError::Key.into(),
        },
        Case {
            bytes: Keyring::new("b").seal(b"x"),
            error: SealError::Key.into(),
        },
        Case {
            bytes: vec![1; DATAGRAM_MAX + 1].into(),
            error: PacketError::Large(DATAGRAM_MAX + 1),
        },
    ];
    for c in cases {
        assert_eq!(Packet::open(&keys, c.bytes), Err(c.error));
    }
    assert_matches!(Packet::open(&keys, good), Ok(_));
    let odd = Packet {
        kind: 99,
        ..Packet::default()
    };
    assert_eq!(
        Packet::open(&keys, odd.seal(&keys)),
        Err(PacketError::Number(99))
    );
    let odd = Packet {
        digest: Bytes::from_static(b"abc"),
        ..Packet::default()
    };
    assert_eq!(
        Packet::open(&keys, odd.seal(&keys)),
        Err(PacketError::Digest(3))
    );
    let odd = Packet {
        state: 7,
        ..Packet::default()
    };
    assert_eq!(
        Packet::open(&keys, odd.seal(&keys)),
        Err(PacketError::Number(7))
    );
}

/// Guards against nonsense sealed with a valid key, from a member of another release or with
/// faulty memory.
#[test]
fn sealed_random_bytes_change_nothing() {
    let keys = Keyring::new("a secret");
    let (mut a, _) = pair();
    let version = a.version();
    let mut out = Vec::new();
    let mut now = Micros::from_secs(1_000);
    let body = prop::collection::vec(any::<u8>(), 0..1_150);
    let bodies = std::cell::RefCell::new(Vec::new());
    runner()
        .run(&body, |b| {
            bodies.borrow_mut().push(b);
            Ok(())
        })
        .expect("all bodies are collected");
    for b in bodies.into_inner() {
        now = now + Micros(100);
        let bytes = keys.seal(&b);
        a.step(
            now,
            Event::Datagram {
                from: udp(9),
                bytes,
            },
            &mut out,
        );
    }
    assert_eq!(a.version(), version);
    assert_eq!(a.live(), 2);
    assert!(a.counters().bad_packet > 100);
}

/// Guards against overflows and oversized replies caused by extreme field values in valid
/// datagrams.
#[test]
fn extreme_field_values_do_not_overflow() {
    let keys = Keyring::new("a secret");
    let edge = prop_oneof![
        any::<u64>(),
        Just(0),
        Just(u64::MAX),
        Just(1_000),
        Just(2_000)
    ];
    let many = prop::collection::vec(edge, 7);
    runner()
        .run(&(0..7_i32, many, 0..5_i32), |(kind, n, state)| {
            let (mut a, _) = pair();
            let p = Packet {
                kind,
                state,
                seq: n[0] as u32,
                from: n[1],
                incarnation: n[2],
                version: n[3],
                origin: n[4],
                view: n[5],
                to: n[6],
                digest: Bytes::from_static(&[1; 16]),
                addr: Bytes::from_static(&[10, 0, 0, 9, 0, 1]),
                ask: true,
                ..Packet::default()
            };
            let mut out = Vec::new();
            let now = Micros::from_secs(1_000);
            let bytes = p.seal(&keys);
            a.step(
                now,
                Event::Datagram {
                    from: udp(9),
                    bytes,
                },
                &mut out,
            );
            a.step(now + Micros::from_secs(60), Event::Tick, &mut out);
            for x in out {
                if let Action::Send { bytes, .. } = x {
                    prop_assert!(bytes.len() <= DATAGRAM_MAX);
                }
            }
            Ok(())
        })
        .expect("extreme values are handled");
}

#[test]
fn unsealed_random_bytes_are_errors() {
    let keys = Keyring::new("a secret");
    let body = prop::collection::vec(any::<u8>(), 0..1_400);
    runner()
        .run(&body, |b| {
            prop_assert!(Packet::open(&keys, Bytes::from(b.clone())).is_err());
            let _ = Answer::decode(Bytes::from(b));
            Ok(())
        })
        .expect("unsealed bytes are rejected");
}

#[test]
fn packets_round_trip() {
    let keys = Keyring::new("a secret");
    let some = (0..7_i32, any::<u32>(), any::<[u64; 4]>(), any::<bool>());
    runner()
        .run(&some, |(kind, seq, n, flag)| {
            let p = Packet {
                kind,
                seq,
                from: n[0],
                incarnation: n[1],
                version: n[2],
                view: n[3],
                proven: flag,
                ..Packet::default()
            };
            prop_assert_eq!(Packet::open(&keys, p.seal(&keys)), Ok(p));
            Ok(())
        })
        .expect("packets round-trip");
    assert_eq!(Kind::try_from(3), Ok(Kind::PingReq));
}

#[test]
fn answers_round_trip() {
    let net = Net::settled(5, 42, 0.0);
    let member = net.member(3, 0);
    let text = prop::collection::vec(any::<u8>(), 0..2_000);
    runner()
        .run(
            &(text, any::<u128>(), "[a-z]{0,20}", any::<[u8; 4]>()),
            |(t, f, s, ip)| {
                let mut m = member.clone();
                m.http = Some((ip, 80).into());
                m.udp = "[::1]:9".parse().expect("valid address");
                m.pool = Some(s.clone()).filter(|s| !s.is_empty());
                m.tags = s;
                let a = Answer {
                    version: Version(3),
                    digest: fleet::Digest::of(&t),
                    text: t.into(),
                    members: vec![m],
                    convictions: vec![Conviction {
                        fingerprint: f,
                        until: Micros(5),
                    }],
                };
                prop_assert_eq!(Answer::decode(a.encode()), Ok(a));
                Ok(())
            },
        )
        .expect("answers round-trip");
}

#[test]
fn invalid_answers_give_specific_errors() {
    let net = Net::settled(2, 43, 0.0);
    let mut a = net.nodes[0].fleet.answer(fleet::PullScope::All);
    a.text = "another".into();
    assert_eq!(Answer::decode(a.encode()), Err(PacketError::Mismatch));
    let mut a = net.nodes[0].fleet.answer(fleet::PullScope::All);
    a.members[0].tags = "x".repeat(300);
    assert_eq!(Answer::decode(a.encode()), Err(PacketError::Text(300)));
    let cut = net.nodes[0].fleet.answer(fleet::PullScope::All).encode();
    let cut = cut.slice(..cut.len() - 1);
    assert_matches!(Answer::decode(cut), Err(PacketError::Format(_)));
}

/// Guards against oversized datagrams when more updates are queued than fit into one.
#[test]
fn full_datagrams_stay_within_the_limit() {
    let mut net = Net::settled(60, 44, 0.01);
    net.recorded = Some(Vec::new());
    (20..60).for_each(|i| net.restart(i));
    let until = net.now + Micros::from_secs(60);
    for fingerprint in 0..50 {
        net.deliver(0, Event::Convicted(Conviction { fingerprint, until }));
    }
    net.accept(0, row(2, "second"));
    net.run(Micros::from_secs(5));
    let recorded = net.recorded.take().unwrap_or_default();
    let largest = recorded.iter().map(|t| t.2.len()).max();
    assert_matches!(largest, Some(n) if n <= DATAGRAM_MAX && n > 900);
    assert!(settings().keys.open(recorded[0].2.clone()).is_ok());
}
