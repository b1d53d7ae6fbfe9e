//! Sends a sidecar the probe of an entry: how many blocks of a prompt does its engine hold?

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use bytes::Bytes;
use prefix::{chain, Marks, Seed};
use wire::{Key, Keys, Message, Offer, Packet, Probe, PACKET_MAX};

use super::child::FLEET_KEY;

/// Time without an offer after which the probe is sent again, since datagrams may be lost.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// Number of probes after which the wait for an offer fails.
const MAX_PROBES: usize = 30;

/// A prompt, the cache scope of its team, and the weights for which it is cached.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    pub scope: &'a str,
    pub weights: &'a str,
    pub text: &'a str,
}

/// Sends a probe and waits for the offer.
pub fn probe(to: SocketAddr, prompt: Prompt<'_>) -> Offer {
    let keys = Keys::new(Key::from_hex(FLEET_KEY).expect("key"), None);
    let seed = Seed::new(prompt.scope, "lekha", prompt.weights);
    let marks = Marks::new(&chain(seed, prompt.text));
    let points = marks.points().iter().map(|m| wire::Mark {
        blocks: m.blocks,
        hash: m.hash.0,
    });
    let probe_message = Probe {
        id: rand::random(),
        class: 1,
        marks: points.collect(),
        blocks: marks.blocks(),
        fingerprint: rand::random(),
        team: prompt.scope.to_owned(),
    };
    let udp = UdpSocket::bind("127.0.0.1:0").expect("socket");
    udp.set_read_timeout(Some(RESEND_INTERVAL))
        .expect("timeout");
    let bytes = Packet::seal(probe_message, &keys).expect("packet");
    let mut buf = vec![0; PACKET_MAX];
    for _ in 0..MAX_PROBES {
        udp.send_to(&bytes, to).expect("probe");
        let Ok((n, _)) = udp.recv_from(&mut buf) else {
            continue;
        };
        let packet = Packet::open(&Bytes::copy_from_slice(&buf[..n]), &keys);
        if let Ok(Message::Offer(o)) = packet {
            return o;
        }
    }
    panic!("no offer from {to}");
}
