//! Seals and decoding, with arbitrary input.

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use prost::Message as _;
use wire::{
    Ack, Body, Chunk, Frame, Key, Keys, Mark, Message, Offer, Packet, Probe, WireError, PACKET_MAX,
};

fn key(n: u8) -> Key {
    Key::from_hex(format!("{n:064x}")).expect("a key")
}

fn keys(first: u8, second: Option<u8>) -> Keys {
    Keys::new(key(first), second.map(key))
}

fn seeded(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn probe() -> impl Strategy<Value = Probe> {
    let marks = prop::collection::vec((any::<u32>(), any::<u64>()), 0..20);
    (
        any::<u64>(),
        0..3_u32,
        marks,
        any::<u32>(),
        any::<u64>(),
        "[a-z]{0,20}",
    )
        .prop_map(|(id, class, marks, blocks, fingerprint, team)| Probe {
            id,
            class,
            marks: marks
                .into_iter()
                .map(|(blocks, hash)| Mark { blocks, hash })
                .collect(),
            blocks,
            fingerprint,
            team,
        })
}

proptest! {
    #![proptest_config(seeded(2_000))]

    /// Guards against a panic, or an accepted message, when a stray sender's datagram arrives.
    #[test]
    fn random_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..PACKET_MAX + 100)) {
        let long = bytes.len() > PACKET_MAX;
        let short = bytes.len() < wire::seal::SEAL_LEN;
        let error = Packet::open(&Bytes::from(bytes), &keys(1, Some(2))).expect_err("no packet");
        let matches = match error {
            WireError::Large(_) => long,
            WireError::Short(_) => short,
            WireError::Seal => !long && !short,
            _ => false,
        };
        prop_assert!(matches, "{:?}", error);
    }

    /// Guards against a panic when a faulty peer or another release seals an undecodable message.
    #[test]
    fn sealed_random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..1_000)) {
        let _ = Frame::decode(&bytes[..]);
        match Packet::open(&keys(1, None).seal(&bytes), &keys(1, None)) {
            Ok(_) | Err(WireError::Decode(_) | WireError::Unexpected) => {}
            Err(e) => prop_assert!(false, "{e:?}"),
        }
    }

    /// Guards against a packet that changes when it is sealed, opened and decoded.
    #[test]
    fn packets_round_trip(p in probe(), id in any::<u64>(), wait in any::<u64>()) {
        let fleet_keys = keys(1, None);
        let offer = Offer { id, wait, ..Offer::default() };
        for message in [Message::Probe(p), Message::Offer(offer)] {
            let sealed = Packet::seal(message.clone(), &fleet_keys).expect("small enough");
            prop_assert!(sealed.len() <= PACKET_MAX);
            prop_assert_eq!(Packet::open(&sealed, &fleet_keys).expect("sealed with the fleet's key"), message);
        }
    }

    /// Guards against accepting a packet in which the network or an attacker flipped a bit.
    #[test]
    fn a_flipped_bit_is_an_error(p in probe(), at in any::<prop::sample::Index>(), bit in 0..8_u8) {
        let fleet_keys = keys(1, Some(2));
        let mut bytes = Packet::seal(p, &fleet_keys).expect("small enough").to_vec();
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        let error = Packet::open(&Bytes::from(bytes), &fleet_keys).expect_err("changed");
        prop_assert!(matches!(error, WireError::Seal), "{:?}", error);
    }

    /// Guards against accepting a truncated datagram.
    #[test]
    fn a_truncated_packet_is_an_error(p in probe(), at in any::<prop::sample::Index>()) {
        let fleet_keys = keys(1, None);
        let bytes = Packet::seal(p, &fleet_keys).expect("small enough");
        let cut = bytes.slice(..at.index(bytes.len()));
        let error = Packet::open(&cut, &fleet_keys).expect_err("cut");
        prop_assert!(matches!(error, WireError::Seal | WireError::Short(_)), "{:?}", error);
    }

    /// Guards against a frame that changes when it is encoded and decoded.
    #[test]
    fn frames_round_trip(seq in any::<u64>(), data in prop::collection::vec(any::<u8>(), 0..500)) {
        let chunk = Chunk { seq, data: Bytes::from(data) };
        for body in [Body::from(chunk), Body::from(Ack { next: seq })] {
            let bytes = Frame::new(body.clone()).encode_to_vec();
            prop_assert_eq!(Frame::decode(&bytes[..]).expect("a frame").body, Some(body));
        }
    }
}

/// Guards against a split fleet during a key rotation: first each process accepts both keys, then
/// each seals with the new one, then each drops the old one.
#[test]
fn keys_can_be_rotated_without_a_gap() {
    struct Case {
        what: &'static str,
        from: Keys,
        to: Keys,
        matches: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { what: "before", from: keys(1, None), to: keys(1, None), matches: true },
        Case { what: "accepts both already", from: keys(1, None), to: keys(1, Some(2)), matches: true },
        Case { what: "seals with the new one", from: keys(2, Some(1)), to: keys(1, Some(2)), matches: true },
        Case { what: "still seals with the old one", from: keys(1, Some(2)), to: keys(2, Some(1)), matches: true },
        Case { what: "has dropped the old one", from: keys(2, Some(1)), to: keys(2, None), matches: true },
        Case { what: "after", from: keys(2, None), to: keys(2, Some(1)), matches: true },
        Case { what: "missed the rotation", from: keys(1, None), to: keys(2, None), matches: false },
        Case { what: "not part of the fleet", from: keys(3, None), to: keys(2, Some(1)), matches: false },
    ];
    for c in cases {
        let sealed = Packet::seal(Probe::default(), &c.from).expect("small enough");
        let opened = Packet::open(&sealed, &c.to);
        assert_eq!(opened.is_ok(), c.matches, "{}: {opened:?}", c.what);
    }
}

#[test]
fn a_packet_that_is_too_large_is_not_sent() {
    let mark = Mark { blocks: 1, hash: 1 };
    let large = Probe {
        marks: vec![mark; 200],
        ..Probe::default()
    };
    let error = Packet::seal(large, &keys(1, None)).expect_err("too large");
    assert!(matches!(error, WireError::Large(_)), "{error:?}");
    for bad in ["", "12", &"g".repeat(64), &"1".repeat(63), &"1".repeat(65)] {
        assert!(
            matches!(Key::from_hex(bad), Err(WireError::BadKey)),
            "{bad}"
        );
    }
}
