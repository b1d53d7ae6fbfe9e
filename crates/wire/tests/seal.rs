//! Seals and codecs against whatever comes.

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

    /// Anybody can send anything to a port. It must end in a typed error, never in a panic, and
    /// never in a message.
    #[test]
    fn random_bytes_are_no_packet(bytes in prop::collection::vec(any::<u8>(), 0..PACKET_MAX + 100)) {
        let long = bytes.len() > PACKET_MAX;
        let short = bytes.len() < wire::seal::SEAL_LEN;
        let error = Packet::open(&Bytes::from(bytes), &keys(1, Some(2))).expect_err("no packet");
        let fits = match error {
            WireError::Large(_) => long,
            WireError::Short(_) => short,
            WireError::Seal => !long && !short,
            _ => false,
        };
        prop_assert!(fits, "{:?}", error);
    }

    /// A peer of another release, or one with a fault, seals bytes that are no message.
    #[test]
    fn sealed_random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..1_000)) {
        let _ = Frame::decode(&bytes[..]);
        match Packet::open(&keys(1, None).seal(&bytes), &keys(1, None)) {
            Ok(_) | Err(WireError::Decode(_) | WireError::Unexpected) => {}
            Err(e) => prop_assert!(false, "{e:?}"),
        }
    }

    /// What is sent is what arrives.
    #[test]
    fn packets_come_back_as_they_were(p in probe(), id in any::<u64>(), wait in any::<u64>()) {
        let ours = keys(1, None);
        let offer = Offer { id, wait, ..Offer::default() };
        for message in [Message::Probe(p), Message::Offer(offer)] {
            let sealed = Packet::seal(message.clone(), &ours).expect("small enough");
            prop_assert!(sealed.len() <= PACKET_MAX);
            prop_assert_eq!(Packet::open(&sealed, &ours).expect("ours"), message);
        }
    }

    /// A cable, a switch or a stranger changes one bit.
    #[test]
    fn a_flipped_bit_is_an_error(p in probe(), at in any::<prop::sample::Index>(), bit in 0..8_u8) {
        let ours = keys(1, Some(2));
        let mut bytes = Packet::seal(p, &ours).expect("small enough").to_vec();
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        let error = Packet::open(&Bytes::from(bytes), &ours).expect_err("changed");
        prop_assert!(matches!(error, WireError::Seal), "{:?}", error);
    }

    /// A datagram is cut short on its way.
    #[test]
    fn a_truncated_packet_is_an_error(p in probe(), at in any::<prop::sample::Index>()) {
        let ours = keys(1, None);
        let bytes = Packet::seal(p, &ours).expect("small enough");
        let cut = bytes.slice(..at.index(bytes.len()));
        let error = Packet::open(&cut, &ours).expect_err("cut");
        prop_assert!(matches!(error, WireError::Seal | WireError::Short(_)), "{:?}", error);
    }

    /// Frames decode to what was encoded.
    #[test]
    fn frames_come_back_as_they_were(seq in any::<u64>(), data in prop::collection::vec(any::<u8>(), 0..500)) {
        let chunk = Chunk { seq, data: Bytes::from(data) };
        for body in [Body::from(chunk), Body::from(Ack { next: seq })] {
            let bytes = Frame::new(body.clone()).encode_to_vec();
            prop_assert_eq!(Frame::decode(&bytes[..]).expect("a frame").body, Some(body));
        }
    }
}

/// Keys are rotated process by process: first each accepts both, then each seals with the new
/// one, then each forgets the old one. A step that cut some off would split the fleet.
#[test]
fn keys_can_be_rotated_without_a_gap() {
    struct Case {
        what: &'static str,
        from: Keys,
        to: Keys,
        fits: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { what: "before", from: keys(1, None), to: keys(1, None), fits: true },
        Case { what: "accepts both already", from: keys(1, None), to: keys(1, Some(2)), fits: true },
        Case { what: "seals with the new one", from: keys(2, Some(1)), to: keys(1, Some(2)), fits: true },
        Case { what: "still seals with the old one", from: keys(1, Some(2)), to: keys(2, Some(1)), fits: true },
        Case { what: "has forgotten the old one", from: keys(2, Some(1)), to: keys(2, None), fits: true },
        Case { what: "after", from: keys(2, None), to: keys(2, Some(1)), fits: true },
        Case { what: "one that was left out", from: keys(1, None), to: keys(2, None), fits: false },
        Case { what: "a stranger", from: keys(3, None), to: keys(2, Some(1)), fits: false },
    ];
    for c in cases {
        let sealed = Packet::seal(Probe::default(), &c.from).expect("small enough");
        let opened = Packet::open(&sealed, &c.to);
        assert_eq!(opened.is_ok(), c.fits, "{}: {opened:?}", c.what);
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
